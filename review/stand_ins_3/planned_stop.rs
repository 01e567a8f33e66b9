//! Planned stop of a gateway while its backend servers work on answers that they have begun.

#[path = "fleet.rs"]
mod fleet;

use std::collections::HashMap;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{
    Call, Fleet, Handler, Record, Route, SIGTERM, Tenant, Verdict, Worker, answer_head, config,
    has_trouble, run_case, wait_served,
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Time for which a server works between the two halves of an answer.
const WORK: Duration = Duration::from_millis(1_800);

/// Time budget of the requests, and timeout of their route.
const BUDGET: Duration = Duration::from_secs(4);

/// Number of requests in progress at the stop.
const REQUESTS: usize = 6;

/// Time between the requests and the stop.
const STOP_DELAY: Duration = Duration::from_millis(200);

/// Whether each run of a request was written to its end; `None` while the server works.
type Runs = Arc<Mutex<HashMap<String, Vec<Option<bool>>>>>;

/// Answers in two halves, and works in between if the path asks for it. A server goes on with an answer whose connection
/// was closed, which it does not notice while it works.
fn handler(record: &Arc<Record>, runs: &Runs) -> Handler {
    let (record, runs) = (Arc::clone(record), Arc::clone(runs));
    Arc::new(move |request, stream| {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let body = "0123456789".repeat(20);
        let (first, second) = body.as_bytes().split_at(100);
        let run = {
            let mut runs = runs.lock().unwrap();
            let of_request = runs.entry(id.clone()).or_default();
            of_request.push(None);
            of_request.len() - 1
        };
        let target = request
            .header("x-target-instance")
            .unwrap_or_default()
            .to_owned();
        record.line(&format!("{target} begins to run {id}"));
        let head = answer_head(request, "200 OK", "", body.len());
        let begun = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(first));
        if request.path().ends_with("/report") {
            thread::sleep(WORK);
        }
        let written = begun.and_then(|()| stream.write_all(second)).is_ok();
        record.line(&format!(
            "{target} has sent the whole answer to {id}: {written}"
        ));
        runs.lock().unwrap().get_mut(&id).unwrap()[run] = Some(written);
        written
    })
}

/// Answer that a caller got to one request.
struct Answer {
    id: String,
    status: Option<u16>,
    has_seal: bool,
    took: Duration,
}

fn send(front: &str, id: String, record: &Record) -> Answer {
    let sent_at = Instant::now();
    let deadline_ms = u64::try_from(BUDGET.as_millis()).unwrap();
    let call = Call {
        method: "GET",
        path: "/lohu930/report",
        id: &id,
        key: Some(KEY),
        deadline_ms,
        body: b"",
    };
    record.line(&format!("{id} sent to {front}"));
    let answer = call.send(front);
    let took = sent_at.elapsed();
    let status = answer.as_ref().map(|answer| answer.status);
    let has_seal = answer
        .as_ref()
        .is_some_and(|answer| answer.header("x-server-seal").is_some());
    record.line(&format!(
        "{id} answered after {} ms: {status:?}, seal of a server: {has_seal}, body {:?}",
        took.as_millis(),
        answer.map(|answer| answer.text())
    ));
    Answer {
        id,
        status,
        has_seal,
        took,
    }
}

fn case(record: &Arc<Record>) -> Verdict {
    let fleet = Fleet::start(2, record);
    let runs = Runs::default();
    let handler = handler(record, &runs);
    let workers =
        ["i-1", "i-2", "i-3"].map(|id| Worker::start(&fleet, id, "collect", Arc::clone(&handler)));
    let tenants = [Tenant {
        name: "huka270",
        key: KEY,
    }];
    let route = Route {
        prefix: "/lohu930/",
        kind: "safe",
        public: false,
        timeout_s: 4,
    };
    let front = fleet.front(0);
    if fleet
        .put_config(&config(7, 16_384, &tenants, &route))
        .is_none()
        || !fleet.wait_ready()
        || !wait_served(&fleet, &front, "/lohu930/first", Some(KEY))
    {
        return Verdict::CannotRun("the deployment does not serve".to_owned());
    }
    // Nothing but the planned stop happens from `contact-s` before it.
    thread::sleep(Duration::from_millis(3_500));
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (front, record) = (front.clone(), Arc::clone(record));
            thread::spawn(move || send(&front, format!("report-{number}"), &record))
        })
        .collect();
    thread::sleep(STOP_DELAY);
    if has_trouble() {
        record.line("SIGTERM to front-10");
        fleet.gateways[0].signal(SIGTERM);
    }
    let answers: Vec<Answer> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    thread::sleep(WORK);
    drop(workers);
    let runs = runs.lock().unwrap();
    let is_replaced = |answer: &&Answer| {
        let has_run = runs.get(&answer.id).is_some_and(|runs| !runs.is_empty());
        has_run && !answer.has_seal && answer.took + Duration::from_millis(100) < BUDGET
    };
    let replaced = answers.iter().filter(is_replaced).count();
    let statuses: Vec<_> = answers.iter().map(|answer| answer.status).collect();
    let text = format!(
        "{replaced} of {REQUESTS} requests at which servers were at work got an answer of the gateway's own: {statuses:?}"
    );
    if has_trouble() && replaced > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(format!(
            "{text}; the rule concerns requests at a planned stop"
        ))
    }
}

fn main() {
    run_case(case)
}
