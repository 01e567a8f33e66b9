//! Case: the operator takes away the key of the last tenant by removing the tenant.

#[path = "fleet.rs"]
mod fleet;

use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, Record, Shape, Worker, client_request, finish, has_trouble};

/// `revoke-s` of the settings.
const REVOKE: Duration = Duration::from_secs(5);
/// Key that the tenant holds in the first config.
const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// Key that no config ever holds.
const UNKNOWN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(6);

fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}},"tenants":{tenants},"listeners":[{{"host":"ficu95.example","rules":[{{"name":"r-puxsr7i","kind":"unsafe","target-latency-s":1.2,"priority":1,"public":false,"match":{{"path-prefix":"/pufi791/"}},"action":{{"service":"huvo11a","timeout-s":2.5,"max-attempts":2}}}}]}}],"clusters":[{{"name":"huvo11a","health-path":"/health","max-conns":390,"protocol":"h1","tls":false}}]}}"#
    )
}

fn main() {
    let record = Record::new();
    let mut fleet = Fleet::start(&record, Shape::default());
    let worker = Worker::start(&record, "i-7f3a91c2", "huvo11a", Duration::from_millis(50));
    worker.keep_announcing(fleet.controls());
    let tenant = format!(r#"[{{"name":"huka270","api-keys":["{KEY}"],"priority":1,"per-s":200,"burst":200}}]"#);
    fleet.put_config(&config(7, &tenant));
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(2));
    for front in fleet.fronts() {
        let (_, served) = client_request(&record, &front, "POST", "/pufi791/1", Some(KEY), b"");
        if served.map(|answer| answer.status) != Some(200) {
            fleet::fail(&record, "the key does not work at first");
        }
        let (_, refused) = client_request(&record, &front, "POST", "/pufi791/1", Some(UNKNOWN_KEY), b"");
        if refused.map(|answer| answer.status) != Some(401) {
            fleet::fail(&record, "an unknown key is not refused at first");
        }
    }

    // Without the trouble, the tenant loses its key and stays in the config.
    let tenants = if has_trouble() {
        "[]".to_owned()
    } else {
        r#"[{"name":"huka270","api-keys":[],"priority":1,"per-s":200,"burst":200}]"#.to_owned()
    };
    let acknowledged_at = fleet.put_config(&config(8, &tenants));
    thread::sleep(REVOKE + Duration::from_millis(500));
    record.line(format!("requests from here on are sent {:.1} s after the acknowledgement", acknowledged_at.elapsed().as_secs_f64()));
    let (mut revoked, mut unknown) = (Vec::new(), Vec::new());
    let judged_until = Instant::now() + JUDGED;
    while Instant::now() < judged_until {
        for front in fleet.fronts() {
            let (id, _) = client_request(&record, &front, "POST", "/pufi791/2", Some(KEY), b"");
            revoked.push(id);
            let (id, _) = client_request(&record, &front, "POST", "/pufi791/2", Some(UNKNOWN_KEY), b"");
            unknown.push(id);
        }
        thread::sleep(Duration::from_millis(200));
    }
    let runs = worker.runs();
    let count = |ids: &[String]| runs.iter().filter(|run| ids.contains(&run.id)).count();
    let (revoked_runs, unknown_runs) = (count(&revoked), count(&unknown));
    let summary = format!(
        "{revoked_runs} of {} requests with the revoked key ran, sent over {} s after the acknowledgement; {unknown_runs} of {} with a key that no config ever held ran",
        revoked.len(), REVOKE.as_secs(), unknown.len()
    );
    finish(&record, &mut fleet, revoked_runs > 0 || unknown_runs > 0, &summary);
}
