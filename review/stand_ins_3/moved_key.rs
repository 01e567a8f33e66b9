//! Gateway that freezes while a key moves to another organisation, and wakes with requests on a public route.

#[path = "fleet.rs"]
mod fleet;

use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use fleet::{
    Call, Fleet, Handler, Record, Route, SIGCONT, SIGSTOP, Tenant, Verdict, Worker, answer_head,
    config, has_trouble, run_case, wait_served,
};

const MOVED_KEY: &str = "2b9wu3fexd9dnn2ctnfz";
const FIRST_KEY: &str = "s989anu6wsjnbanfqasn";
const SECOND_KEY: &str = "q7x2mnd4kzt9w8ypa3cv";

/// Organisation that holds the key at first.
const FORMER: &str = "huka270";

/// Organisation that holds it from the second configuration on.
const HOLDER: &str = "zora115";

/// Time between the acknowledgement of the second configuration and the requests; longer than `revoke-s`, which is 5 s.
const REQUEST_DELAY: Duration = Duration::from_millis(5_500);

const REQUESTS: usize = 5;

fn second_config(route: &Route<'_>) -> String {
    let tenants = [
        Tenant {
            name: FORMER,
            key: FIRST_KEY,
        },
        Tenant {
            name: HOLDER,
            key: MOVED_KEY,
        },
    ];
    config(9, 16_384, &tenants, route)
}

fn case(record: &Arc<Record>) -> Verdict {
    let fleet = Fleet::start(2, record);
    let runs: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let (log, seen) = (Arc::clone(record), Arc::clone(&runs));
    let handler: Handler = Arc::new(move |request, stream| {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let tenant = request.header("x-tenant").unwrap_or("(none)").to_owned();
        log.line(&format!("a server runs {id} with X-Tenant: {tenant}"));
        seen.lock().unwrap().push((id, tenant));
        stream
            .write_all(answer_head(request, "200 OK", "", 0).as_bytes())
            .is_ok()
    });
    let workers =
        ["i-1", "i-2"].map(|id| Worker::start(&fleet, id, "collect", Arc::clone(&handler)));
    let route = Route {
        prefix: "/lohu930/",
        kind: "safe",
        public: true,
        timeout_s: 4,
    };
    let first = [
        Tenant {
            name: FORMER,
            key: MOVED_KEY,
        },
        Tenant {
            name: HOLDER,
            key: SECOND_KEY,
        },
    ];
    let front = fleet.front(0);
    if fleet
        .put_config(&config(7, 16_384, &first, &route))
        .is_none()
        || !fleet.wait_ready()
        || !wait_served(&fleet, &front, "/lohu930/first", Some(MOVED_KEY))
    {
        return Verdict::CannotRun("the deployment does not serve".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble() {
        record.line("SIGSTOP to front-10");
        fleet.gateways[0].signal(SIGSTOP);
    }
    if fleet.put_config(&second_config(&route)).is_none() {
        return Verdict::CannotRun("the second configuration was not acknowledged".to_owned());
    }
    thread::sleep(REQUEST_DELAY);
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (front, record) = (front.clone(), Arc::clone(record));
            thread::spawn(move || {
                let id = format!("later-{number}");
                let path = "/lohu930/2f";
                let call = Call {
                    method: "GET",
                    path,
                    id: &id,
                    key: Some(MOVED_KEY),
                    deadline_ms: 4_000,
                    body: b"",
                };
                record.line(&format!("{id} sent with the key of {HOLDER}"));
                let answer = call.send(&front);
                record.line(&format!(
                    "{id} answered: {:?}",
                    answer.map(|answer| answer.status)
                ));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        record.line("SIGCONT to front-10");
        fleet.gateways[0].signal(SIGCONT);
    }
    for call in calls {
        let _ = call.join();
    }
    drop(workers);
    let runs = runs.lock().unwrap();
    let later = runs.iter().filter(|(id, _)| id.starts_with("later"));
    let wrong = later.clone().filter(|(_, tenant)| tenant != HOLDER).count();
    let text = format!(
        "{wrong} of {} runs had another X-Tenant than {HOLDER}, which holds the key",
        later.count()
    );
    if wrong > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

fn main() {
    run_case(case)
}
