//! Stand-ins for clients and for the operator.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::ZONES;
use crate::http::{self, Connection};
use crate::record::Record;

/// Host of the routes of all cases.
pub const HOST: &str = "ficu95.example";

/// Time limit that clients send.
const TIME_LIMIT: Duration = Duration::from_secs(4);

/// Time for which a client uses the addresses of a lookup.
const LOOKUP_TTL: Duration = Duration::from_secs(2);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A request that a client sent.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub at: Duration,
    /// Status of the answer; 0 when there was none.
    pub status: u16,
}

/// Requests of all clients.
pub type SentList = Arc<Mutex<Vec<Sent>>>;

/// What a client sends.
#[derive(Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub key: String,
    pub body: String,
}

/// Client with one connection, which asks the directory for addresses as the pages say.
pub struct Client {
    number: usize,
    directory: Vec<SocketAddr>,
    record: Arc<Record>,
    sent: SentList,
    connection: Option<(SocketAddr, Connection)>,
    addresses: Vec<SocketAddr>,
    looked_up_at: Option<Instant>,
    random: u64,
}

impl Client {
    pub fn new(
        number: usize,
        directory: &[SocketAddr],
        record: &Arc<Record>,
        sent: &SentList,
    ) -> Self {
        Self {
            number,
            directory: directory.to_vec(),
            record: Arc::clone(record),
            sent: Arc::clone(sent),
            connection: None,
            addresses: Vec::new(),
            looked_up_at: None,
            random: 0x2545_f491_4f6c_dd1d ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
        }
    }

    fn next_random(&mut self) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 33) as usize
    }

    fn look_up(&mut self) {
        if self
            .looked_up_at
            .is_some_and(|at| at.elapsed() < LOOKUP_TTL)
            && !self.addresses.is_empty()
        {
            return;
        }
        let zone = ZONES[self.number % ZONES.len()];
        for node in 0..self.directory.len().min(3) {
            let address = self.directory[(self.number + node) % self.directory.len()];
            let head = format!(
                "GET /-/lookup?name={HOST}&region=ch-mittelland&zone={zone} HTTP/1.1\r\nHost: {address}\r\n"
            );
            let Ok(answer) = http::call(address, &head, b"", Duration::from_secs(1)) else {
                continue;
            };
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            let addresses: Vec<SocketAddr> = body
                .split('"')
                .filter_map(|part| part.parse().ok())
                .collect();
            if answer.status() == 200 && !addresses.is_empty() {
                self.addresses = addresses;
                self.looked_up_at = Some(Instant::now());
                let known = |address: &SocketAddr| self.addresses.contains(address);
                self.connection = self.connection.take().filter(|(address, _)| known(address));
                return;
            }
        }
    }

    /// Sends one request with a new id and waits for its answer. Returns its status, or 0.
    pub fn send(&mut self, call: &Call) -> u16 {
        self.look_up();
        let id = new_id();
        if self.connection.is_none() && !self.open() {
            return 0;
        }
        let Some((address, mut connection)) = self.connection.take() else {
            return 0;
        };
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n",
            call.method,
            call.path,
            TIME_LIMIT.as_millis(),
            call.key
        );
        let at = self.record.line(&format!(
            "send {id} to {address} {} {}",
            call.method, call.path
        ));
        let answer = connection.call(&head, call.body.as_bytes(), TIME_LIMIT);
        let status = answer.as_ref().map_or(0, http::Message::status);
        self.record.line(&format!("answer {id} {status}"));
        let sent = Sent { id, at, status };
        self.sent.lock().unwrap().push(sent);
        match answer {
            Ok(answer) if !answer.closes() => self.connection = Some((address, connection)),
            Ok(_) => (),
            Err(_) => self.addresses.retain(|known| *known != address),
        }
        status
    }

    fn open(&mut self) -> bool {
        while !self.addresses.is_empty() {
            let index = self.next_random() % self.addresses.len();
            let address = self.addresses[index];
            match Connection::open(address, Duration::from_secs(1)) {
                Ok(connection) => {
                    self.connection = Some((address, connection));
                    return true;
                }
                Err(_) => self.addresses.retain(|known| *known != address),
            }
        }
        false
    }
}

/// Starts clients that each send the same call in a period until `ended` is set.
pub fn spread(
    count: usize,
    period: Duration,
    call: &Call,
    directory: &[SocketAddr],
    record: &Arc<Record>,
    sent: &SentList,
    ended: &Arc<AtomicBool>,
) -> Vec<std::thread::JoinHandle<()>> {
    let start = |number: usize| {
        let mut client = Client::new(number, directory, record, sent);
        let (call, ended) = (call.clone(), Arc::clone(ended));
        std::thread::spawn(move || {
            let offset = period.mul_f64(number as f64 / count as f64);
            std::thread::sleep(offset);
            let mut next = Instant::now();
            while !ended.load(Ordering::Relaxed) {
                client.send(&call);
                next += period;
                let now = Instant::now();
                // A client whose answer came late goes on in its next period.
                while next < now {
                    next += period;
                }
                std::thread::sleep(next - now);
            }
        })
    };
    (0..count).map(start).collect()
}

/// Submits a configuration until it is acknowledged, at any node. Returns when that was.
pub fn put_config(control: &[SocketAddr], document: &str, record: &Record) -> Option<Duration> {
    for address in control.iter().cycle().take(control.len() * 20) {
        let head = format!(
            "PUT /-/config HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        );
        if let Ok(answer) = http::call(*address, &head, document.as_bytes(), Duration::from_secs(1))
        {
            if answer.status() == 200 {
                return Some(record.line(&format!("config acknowledged by {address}")));
            }
            if answer.status() < 500 {
                record.say(&format!("config refused with {}", answer.status()));
                return None;
            }
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    None
}

/// A tenant of a configuration.
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    pub per_s: u32,
    pub burst: u32,
}

/// Configuration like the one of the pages: an unsafe and a safe route of one service. The part of the unsafe route below
/// each of `split_prefixes` is a route of its own.
pub fn config(version: u32, tenants: &[Tenant], split_prefixes: &[&str]) -> String {
    let tenants: Vec<String> = tenants
        .iter()
        .map(|tenant| {
            format!(
                r#"{{"name":"{}","api-keys":["{}"],"priority":1,"per-s":{},"burst":{}}}"#,
                tenant.name, tenant.key, tenant.per_s, tenant.burst
            )
        })
        .collect();
    let tenants = tenants.join(",");
    let prefixes = ["/pufi791/"]
        .into_iter()
        .chain(split_prefixes.iter().copied());
    let unsafe_routes = prefixes.enumerate().map(|(number, prefix)| {
        format!(
            r#"{{"name":"r-puxsr7i{number}","kind":"unsafe","target-latency-s":1.2,"priority":1,"public":false,"match":{{"path-prefix":"{prefix}"}},"action":{{"service":"collect","timeout-s":2.5,"max-attempts":2}}}}"#
        )
    });
    let unsafe_routes = unsafe_routes.collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version":{version},"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}},"tenants":[{tenants}],"listeners":[{{"host":"{HOST}","rules":[{unsafe_routes},{{"name":"r-y35ieis","kind":"safe","target-latency-s":1.2,"priority":2,"public":false,"match":{{"path-prefix":"/lohu930/"}},"action":{{"service":"collect","timeout-s":4,"max-attempts":2}}}}]}}],"clusters":[{{"name":"collect","health-path":"/health","max-conns":390,"protocol":"h1","tls":false}}]}}"#
    )
}
