//! Server that is cut off from the coordinators, crashes, starts again under its id and address, and leaves. Its answers
//! say that it leaves; its first heartbeat after the start arrives when the cut has ended.

#[path = "fleet.rs"]
mod fleet;

use std::collections::HashMap;
use std::io::Write as _;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{
    Call, Connection, Fleet, Handler, Message, Record, Route, Tenant, Verdict, Worker, answer_head,
    config, exchange, has_trouble, now_ms, read_message, run_case, wait_served,
};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

const GATEWAYS: usize = 3;

/// Id of the server that leaves.
const LEAVING_ID: &str = "i-1";

/// `drain-s` of the site.
const DRAIN: Duration = Duration::from_secs(2);

/// Times after the beginning of the cut.
const CRASH_AT: Duration = Duration::from_millis(500);
const START_AT: Duration = Duration::from_millis(1_000);
const LEAVE_AT: Duration = Duration::from_millis(2_000);
const CUT_ENDS_AT: Duration = Duration::from_millis(6_000);

/// Time between the end of the cut and the next heartbeat of the server, less than `heartbeat-s` (1.5 s).
const NEXT_HEARTBEAT: Duration = Duration::from_millis(1_000);

/// Period of the requests of one caller.
const REQUEST_PERIOD: Duration = Duration::from_millis(60);

const CALLERS_PER_GATEWAY: usize = 2;

/// One run of the process of the leaving server.
struct Process {
    born: u64,
    address: String,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    sequence: AtomicU64,
}

/// Requests that reached the second run of the server, with the time of their arrival.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

impl Process {
    /// Starts the process at an address; port 0 selects a free one.
    fn start(address: &str, arrivals: &Arrivals, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("the address of the server is free");
        let address = listener.local_addr().unwrap().to_string();
        let process = Arc::new(Self {
            born: now_ms(),
            address,
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            connections: Mutex::default(),
            sequence: AtomicU64::new(0),
        });
        record.line(&format!("{LEAVING_ID} starts, born {}", process.born));
        let (accepting, arrivals) = (Arc::clone(&process), Arc::clone(arrivals));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let kept = stream.try_clone().unwrap();
                accepting.connections.lock().unwrap().push(kept);
                let (serving, arrivals) = (Arc::clone(&accepting), Arc::clone(&arrivals));
                thread::spawn(move || serving.serve(stream, &arrivals));
            }
        });
        process
    }

    fn serve(&self, mut stream: TcpStream, arrivals: &Arrivals) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest) {
            if self.has_ended.load(Ordering::SeqCst)
                || !self.answer(&request, &mut stream, arrivals)
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream, arrivals: &Arrivals) -> bool {
        if request
            .header("x-target-instance")
            .is_some_and(|target| target != LEAVING_ID)
        {
            let refusal = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(refusal.as_bytes()).is_ok();
        }
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let extra = if self.is_leaving.load(Ordering::SeqCst) {
            format!(
                "X-Born: {}\r\nServer-Leaving: 1\r\nConnection: close\r\n",
                self.born
            )
        } else {
            format!("X-Born: {}\r\n", self.born)
        };
        arrivals
            .lock()
            .unwrap()
            .push((format!("{} {id}", self.born), Instant::now()));
        let written = stream.write_all(answer_head(request, "200 OK", &extra, 0).as_bytes());
        written.is_ok() && !self.is_leaving.load(Ordering::SeqCst)
    }

    /// Body of the next heartbeat.
    fn heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_leaving.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"collect","version":"v1","zone":"bern-a","slots":6}},"status":{{"state":"{state}","seq":{sequence},"warmup-left-s":0}}}}"#,
            self.address, self.born
        )
    }

    /// Ends the process: its port refuses connections, and its open connections close.
    fn crash(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(&self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Sends a heartbeat to the coordinators until one acknowledges it.
fn send_heartbeat(controls: &[String], body: &str, record: &Record) -> bool {
    let path = format!("/-/workers/{LEAVING_ID}");
    let acknowledged = controls.iter().any(|control| {
        let headers = [
            ("Host", control.as_str()),
            ("Content-Type", "application/json"),
        ];
        let answer = exchange(control, "PUT", &path, &headers, body.as_bytes(), 1_000);
        answer.is_some_and(|answer| answer.status == 200)
    });
    record.line(&format!(
        "heartbeat arrives, acknowledged: {acknowledged}: {body}"
    ));
    acknowledged
}

/// What a caller saw: id, time of sending, gateway, and whether the second run of the server said that it leaves.
struct Sent {
    id: String,
    gateway: usize,
    sent_at: Instant,
    answered_at: Option<Instant>,
    is_leaving: bool,
}

fn call_until(fleet_front: &str, gateway: usize, caller: usize, stop: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("g{gateway}-c{caller}-{number}");
        let call = Call {
            method: "GET",
            path: "/lohu930/2f",
            id: &id,
            key: Some(KEY),
            deadline_ms: 4_000,
            body: b"",
        };
        let sent_at = Instant::now();
        let answer = Connection::open(fleet_front, 5_000).and_then(|mut connection| {
            connection.send(&call.bytes()).then_some(())?;
            connection.receive()
        });
        let is_leaving = answer
            .as_ref()
            .is_some_and(|answer| answer.header("server-leaving") == Some("1"));
        let answered_at = answer.map(|_| Instant::now());
        sent.push(Sent {
            id,
            gateway,
            sent_at,
            answered_at,
            is_leaving,
        });
        thread::sleep(REQUEST_PERIOD);
    }
    sent
}

fn sleep_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}

fn case(record: &Arc<Record>) -> Verdict {
    let fleet = Fleet::start(u32::try_from(GATEWAYS).unwrap(), record);
    let handler: Handler = Arc::new(|request, stream| {
        stream
            .write_all(answer_head(request, "200 OK", "", 0).as_bytes())
            .is_ok()
    });
    let others =
        ["i-2", "i-3"].map(|id| Worker::start(&fleet, id, "collect", Arc::clone(&handler)));
    let arrivals = Arrivals::default();
    let first = Process::start(&format!("{}.100:0", fleet.network), &arrivals, record);
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
    if fleet
        .put_config(&config(7, 16_384, &tenants, &route))
        .is_none()
        || !fleet.wait_ready()
        || !send_heartbeat(&fleet.controls(), &first.heartbeat(), record)
        || !wait_served(&fleet, &fleet.front(0), "/lohu930/first", Some(KEY))
    {
        return Verdict::CannotRun("the deployment does not serve".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..GATEWAYS)
        .flat_map(|gateway| (0..CALLERS_PER_GATEWAY).map(move |caller| (gateway, caller)))
        .map(|(gateway, caller)| {
            let (front, stop) = (fleet.front(gateway), Arc::clone(&stop));
            thread::spawn(move || call_until(&front, gateway, caller, &stop))
        })
        .collect();
    // Heartbeats of the first run in calm.
    for _ in 0..2 {
        thread::sleep(Duration::from_millis(1_500));
        send_heartbeat(&fleet.controls(), &first.heartbeat(), record);
    }
    let cut_at = Instant::now();
    record.line(&format!(
        "{LEAVING_ID} is cut off from the coordinators: {}",
        has_trouble()
    ));
    sleep_until(cut_at + CRASH_AT);
    record.line(&format!("{LEAVING_ID} crashes"));
    first.crash();
    sleep_until(cut_at + START_AT);
    let second = Process::start(&first.address, &arrivals, record);
    let delayed = second.heartbeat();
    if !has_trouble() {
        send_heartbeat(&fleet.controls(), &delayed, record);
    }
    sleep_until(cut_at + LEAVE_AT);
    record.line(&format!(
        "{LEAVING_ID} leaves, and says so in all its answers"
    ));
    second.is_leaving.store(true, Ordering::SeqCst);
    if !has_trouble() {
        send_heartbeat(&fleet.controls(), &second.heartbeat(), record);
    }
    sleep_until(cut_at + CUT_ENDS_AT);
    if has_trouble() {
        record.line("the cut ends, and the heartbeat that was sent at the start arrives");
        send_heartbeat(&fleet.controls(), &delayed, record);
    }
    sleep_until(cut_at + CUT_ENDS_AT + NEXT_HEARTBEAT);
    send_heartbeat(&fleet.controls(), &second.heartbeat(), record);
    thread::sleep(DRAIN);
    stop.store(true, Ordering::SeqCst);
    let sent: Vec<Sent> = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect();
    drop(others);
    let verdict = judge(&sent, &arrivals.lock().unwrap(), second.born, record);
    second.crash();
    verdict
}

/// Counts the requests that callers sent to a gateway later than `drain-s` after it had passed on that the server leaves,
/// and that reached that run of the server.
fn judge(sent: &[Sent], arrivals: &[(String, Instant)], born: u64, record: &Record) -> Verdict {
    let mut said_at: HashMap<usize, Instant> = HashMap::new();
    for request in sent.iter().filter(|request| request.is_leaving) {
        if let Some(at) = request.answered_at {
            let first = said_at.entry(request.gateway).or_insert(at);
            *first = (*first).min(at);
        }
    }
    if said_at.is_empty() && has_trouble() {
        return Verdict::CannotRun(
            "no gateway passed on an answer of the leaving server".to_owned(),
        );
    }
    let mut late = 0;
    for request in sent {
        let reached = arrivals
            .iter()
            .any(|(arrival, _)| *arrival == format!("{born} {}", request.id));
        let Some(said_at) = said_at.get(&request.gateway).filter(|_| reached) else {
            continue;
        };
        let after = request.sent_at.saturating_duration_since(*said_at);
        if after > DRAIN {
            late += 1;
            record.line(&format!(
                "{} reached the leaving server; it was sent {} ms after gateway {} had passed on that it leaves",
                request.id,
                after.as_millis(),
                request.gateway
            ));
        }
    }
    let text = format!(
        "{late} requests reached a server more than 2 s after the same gateway had passed on that it leaves ({} gateways had)",
        said_at.len()
    );
    if late > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    }
}

fn main() {
    run_case(case)
}
