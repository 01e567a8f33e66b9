//! Case: clients that send further requests before the first one is answered leave.

#[path = "fleet.rs"]
mod fleet;

use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, Record, Shape, Worker, client_head, client_request, finish, has_trouble, read_answer, request_id};

const KEY: &str = "irth5mgjy5rcpihhacru";
/// Time after a close from which work for it counts.
const ALLOWED: Duration = Duration::from_millis(500);
/// Requests that may reach a worker later than that.
const A_FEW: usize = 5;
const CLIENTS: usize = 100;
/// Of ten clients, those that leave.
const LEAVING_OF_TEN: usize = 3;
/// Time after which they leave.
const LEAVE_AFTER: Duration = Duration::from_millis(200);
/// Requests that a client sends before the first one is answered.
const IN_LINE: usize = 4;
/// Service time; the longest one on the sheet is 1.7 s.
const WORK: Duration = Duration::from_millis(900);
const BETWEEN_CLIENTS: Duration = Duration::from_millis(150);

/// The three kinds of requests of the sheet.
fn config() -> String {
    format!(
        r#"{{"version":7,"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}},"tenants":[{{"name":"kaje80","api-keys":["{KEY}"],"priority":1,"per-s":194,"burst":194}}],"listeners":[{{"host":"ficu95.example","rules":[{{"name":"r-u7y5tau","kind":"unsafe","target-latency-s":1,"priority":1,"public":false,"match":{{"path-prefix":"/pufi791/"}},"action":{{"service":"huvo11a","timeout-s":1.5,"max-attempts":2}}}},{{"name":"r-w85w2ku","kind":"safe","target-latency-s":1,"priority":2,"public":false,"match":{{"path-prefix":"/lohu930/"}},"action":{{"service":"huvo11a","timeout-s":1.2,"max-attempts":2}}}},{{"name":"r-a19vd3e","kind":"upload","target-latency-s":1.5,"priority":1,"public":false,"match":{{"path-prefix":"/pule252/"}},"action":{{"service":"wuno96b","timeout-s":4,"max-attempts":2}}}}]}}],"clusters":[{{"name":"huvo11a","health-path":"/health","max-conns":1680,"protocol":"h1","tls":false}},{{"name":"wuno96b","health-path":"/health","max-conns":1680,"protocol":"h1","tls":false}}]}}"#
    )
}

/// Requests of a client that left, and the time at which its connection was closed.
struct Left {
    ids: Vec<String>,
    closed_at: Instant,
}

/// Sends requests in line and leaves, or reads all answers.
fn play_client(record: &Record, front: &str, number: usize, leaves: bool) -> Option<Left> {
    let mut stream = TcpStream::connect(front).ok()?;
    let _ = stream.set_nodelay(true);
    let ids: Vec<String> = (0..IN_LINE).map(|_| request_id()).collect();
    let mut bytes = Vec::new();
    for id in &ids {
        bytes.extend(client_head("GET", &format!("/lohu930/{id}"), id, Some(KEY), 2_000).into_bytes());
        bytes.extend(b"\r\n");
    }
    stream.write_all(&bytes).ok()?;
    record.line(format!("client {number}: sent {ids:?} to {front}"));
    if !leaves {
        let mut buffer = Vec::new();
        for id in &ids {
            let answer = read_answer(&mut stream, &mut buffer, Instant::now() + Duration::from_secs(5));
            record.line(format!("client {number}: {id} answered {:?}", answer.map(|answer| answer.status)));
        }
        return None;
    }
    thread::sleep(LEAVE_AFTER);
    drop(stream);
    record.line(format!("client {number}: closed its connection"));
    Some(Left { ids, closed_at: Instant::now() })
}

fn main() {
    let record = Record::new();
    let shape = Shape {
        gateway_limits: r#"{"cpu-share": 0.1, "cores": 1, "memory-mb": 160, "max-fds": 4100, "link-mbps": 3.7, "disk-mb": 0}"#,
        ..Shape::default()
    };
    let mut fleet = Fleet::start(&record, shape);
    let workers: Vec<Worker> = (0..6)
        .map(|number| Worker::start(&record, &format!("i-02d9e6b{number}"), "huvo11a", WORK))
        .collect();
    for worker in &workers {
        worker.keep_announcing(fleet.controls());
    }
    fleet.put_config(&config());
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(2));
    for front in fleet.fronts() {
        client_request(&record, &front, "GET", "/lohu930/warm", Some(KEY), b"");
    }

    let left = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let front = fleet.fronts()[number % fleet.fronts().len()].clone();
        let leaves = has_trouble() && number % 10 < LEAVING_OF_TEN;
        let (record, left) = (record.clone(), Arc::clone(&left));
        clients.push(thread::spawn(move || {
            let gone = play_client(&record, &front, number, leaves);
            left.lock().unwrap().extend(gone);
        }));
        thread::sleep(BETWEEN_CLIENTS);
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(4));
    let arrivals: Vec<_> = workers.iter().flat_map(Worker::runs).collect();
    let left = left.lock().unwrap();
    let mut late = Vec::new();
    for gone in left.iter() {
        let own = arrivals.iter().filter(|arrival| gone.ids.contains(&arrival.id));
        late.extend(own.map(|arrival| arrival.at.saturating_duration_since(gone.closed_at)).filter(|after| *after > ALLOWED));
    }
    let longest = late.iter().max().map_or(0.0, Duration::as_secs_f64);
    let summary = format!(
        "{} clients left; {} of their requests reached a worker over {} s after the close, the last one {longest:.2} s after it",
        left.len(), late.len(), ALLOWED.as_secs_f64()
    );
    finish(&record, &mut fleet, late.len() > A_FEW, &summary);
}
