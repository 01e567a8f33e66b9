//! Change of the configuration that raises the limit of request heads, and requests on connections that were open before.

#[path = "fleet.rs"]
mod fleet;

use std::io::Write as _;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use fleet::{
    Call, Connection, Fleet, HOST, Handler, Record, Route, Tenant, Verdict, Worker, answer_head,
    config, format_request, has_trouble, run_case, wait_served,
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Limits of the first and the second configuration.
const LIMITS: [u32; 2] = [16_384, 32_768];

/// Size of the largest header of the later requests: their heads are above the first limit and below the second.
const NOTE_BYTES: usize = 24_000;

const CONNECTIONS: usize = 20;

/// Time after the acknowledgement; longer than `config-apply-s`, which is 2 s.
const APPLY_TIME: Duration = Duration::from_secs(4);

/// Sends a request with a large head on an open connection. Returns the status of the answer, if there is one.
fn send_large(connection: &mut Connection, id: &str, note: &str) -> Option<u16> {
    let authorization = format!("Bearer {KEY}");
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "4000"),
        ("Authorization", &authorization),
        ("X-Note", note),
    ];
    connection
        .send(&format_request("PUT", "/lohu930/2f", &headers, b""))
        .then_some(())?;
    connection.receive().map(|answer| answer.status)
}

fn case(record: &Arc<Record>) -> Verdict {
    let fleet = Fleet::start(2, record);
    let log = Arc::clone(record);
    let handler: Handler = Arc::new(move |request, stream| {
        log.line(&format!(
            "a server runs {}",
            request.header("x-request-id").unwrap_or_default()
        ));
        stream
            .write_all(answer_head(request, "200 OK", "", 0).as_bytes())
            .is_ok()
    });
    let workers =
        ["i-1", "i-2"].map(|id| Worker::start(&fleet, id, "collect", Arc::clone(&handler)));
    let tenants = [Tenant {
        name: "huka270",
        key: KEY,
    }];
    let route = Route {
        prefix: "/lohu930/",
        kind: "unsafe",
        public: false,
        timeout_s: 4,
    };
    let front = fleet.front(0);
    // Without the disruption the first configuration has the higher limit already.
    let first_limit = if has_trouble() { LIMITS[0] } else { LIMITS[1] };
    if fleet
        .put_config(&config(7, first_limit, &tenants, &route))
        .is_none()
        || !fleet.wait_ready()
        || !wait_served(&fleet, &front, "/lohu930/first", Some(KEY))
    {
        return Verdict::CannotRun("the deployment does not serve".to_owned());
    }
    let mut kept: Vec<Connection> = (0..CONNECTIONS)
        .filter_map(|_| Connection::open(&front, 5_000))
        .collect();
    for (number, connection) in kept.iter_mut().enumerate() {
        let id = format!("small-{number}");
        let call = Call {
            method: "PUT",
            path: "/lohu930/2f",
            id: &id,
            key: Some(KEY),
            deadline_ms: 4_000,
            body: b"",
        };
        connection.send(&call.bytes());
        if connection.receive().map(|answer| answer.status) != Some(200) {
            return Verdict::CannotRun(format!("{id} was not served"));
        }
    }
    if has_trouble()
        && fleet
            .put_config(&config(9, LIMITS[1], &tenants, &route))
            .is_none()
    {
        return Verdict::CannotRun("the second configuration was not acknowledged".to_owned());
    }
    thread::sleep(APPLY_TIME);
    let note = "a".repeat(NOTE_BYTES);
    let mut denied = 0;
    for (number, connection) in kept.iter_mut().enumerate() {
        let id = format!("kept-{number}");
        let status = send_large(connection, &id, &note);
        record.line(&format!(
            "{id} on a connection from before the change answered: {status:?}"
        ));
        denied += u32::from(status.is_some_and(|status| (300..500).contains(&status)));
    }
    let fresh = Connection::open(&front, 5_000)
        .and_then(|mut fresh| send_large(&mut fresh, "new-0", &note));
    record.line(&format!("new-0 on a new connection answered: {fresh:?}"));
    drop(workers);
    let total = 2 * CONNECTIONS + 2;
    let text = format!(
        "{denied} of {total} requests, all proper, got a status of the gateway's own from 300 to 499"
    );
    // The rule allows five and one in 500.
    if denied > 5 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

fn main() {
    run_case(case)
}
