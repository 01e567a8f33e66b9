//! Case: a worker starts again under its id and leaves; its first heartbeat arrives seconds late.

#[path = "fleet.rs"]
mod fleet;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, Record, Shape, Worker, client_request, finish, has_trouble};

/// `drain-s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Time by which the heartbeat is late.
const LATE: Duration = Duration::from_secs(4);
/// Time for which the worker serves on after its departure was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(14);
const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

fn config() -> String {
    format!(
        r#"{{"version":7,"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}},"tenants":[{{"name":"huka270","api-keys":["{KEY}"],"priority":1,"per-s":200,"burst":200}}],"listeners":[{{"host":"ficu95.example","rules":[{{"name":"r-puxsr7i","kind":"unsafe","target-latency-s":1.2,"priority":1,"public":false,"match":{{"path-prefix":"/pufi791/"}},"action":{{"service":"huvo11a","timeout-s":2.5,"max-attempts":2}}}}]}}],"clusters":[{{"name":"huvo11a","health-path":"/health","max-conns":390,"protocol":"h1","tls":false}}]}}"#
    )
}

fn main() {
    let record = Record::new();
    let mut fleet = Fleet::start(&record, Shape::default());
    let work = Duration::from_millis(50);
    let others: Vec<Worker> = (0..6)
        .map(|number| Worker::start(&record, &format!("i-02d9e6b{number}"), "huvo11a", work))
        .collect();
    for other in &others {
        other.keep_announcing(fleet.controls());
    }
    let first_life = Worker::start(&record, "i-7f3a91c2", "huvo11a", work);
    let beats = first_life.keep_announcing(fleet.controls());
    fleet.put_config(&config());
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(3));

    // Clients send throughout.
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = fleet
        .fronts()
        .into_iter()
        .map(|front| {
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    client_request(&record, &front, "POST", "/pufi791/1", Some(KEY), b"");
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    beats.store(true, Ordering::Relaxed);
    first_life.end();
    record.line("worker i-7f3a91c2 crashed");
    thread::sleep(Duration::from_millis(1_000));
    let second_life = Worker::start_at(&record, first_life.address, "i-7f3a91c2", "huvo11a", work);
    record.line("worker i-7f3a91c2 started again under its id");
    let control = fleet.control(1);
    let late_beat = second_life.beat("ready");
    if has_trouble() {
        record.line(format!("worker i-7f3a91c2: a heartbeat is on its way and arrives {} s late: {late_beat}", LATE.as_secs()));
    } else {
        second_life.send_beat(&control, &late_beat);
    }
    let beat_sent_at = Instant::now();
    thread::sleep(Duration::from_millis(1_000));
    second_life.state.lock().unwrap().leaving = true;
    if !second_life.leave(&fleet.control(2)) {
        fleet::fail(&record, "the departure was not acknowledged");
    }
    let acknowledged_at = Instant::now();
    if has_trouble() {
        thread::sleep(LATE.saturating_sub(beat_sent_at.elapsed()));
        second_life.send_beat(&control, &late_beat);
    }
    thread::sleep(SERVES_ON.saturating_sub(acknowledged_at.elapsed()));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let runs = second_life.runs();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.at.saturating_duration_since(acknowledged_at) > DRAIN)
        .collect();
    let last = late.last().map_or(0.0, |run| run.at.duration_since(acknowledged_at).as_secs_f64());
    let summary = format!(
        "{} requests reached the worker later than {} s after its departure was acknowledged, the last one {last:.1} s after it; before that it had {}",
        late.len(), DRAIN.as_secs(), runs.len() - late.len()
    );
    finish(&record, &mut fleet, !late.is_empty(), &summary);
}
