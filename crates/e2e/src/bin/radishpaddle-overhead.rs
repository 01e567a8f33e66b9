//! Measures what one entry instance adds to a request, against calling the backend server directly,
//! in one run: latency at p50 and p99, and requests per second and core of the entry process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, ensure};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::{HOST, document};
use radishpaddle_e2e::{FleetPlan, ProcessFleet};
use serde_json::json;
use tokio::net::TcpStream;

/// Requests before the measurement, for warm caches and a filled rate allocation.
const WARM_UP_REQUESTS: usize = 2_000;

/// Clock ticks per second of `/proc/PID/stat` on Linux.
const TICKS_PER_S: f64 = 100.0;

/// Connections that send without pause for the throughput figure.
const BUSY_CONNECTIONS: usize = 16;

struct Options {
    requests: usize,
    busy_for: Duration,
}

/// One kind of request on one connection.
struct Client {
    sender: SendRequest<Full<Bytes>>,
    key: Option<String>,
    sent: u64,
}

#[derive(Clone, Copy)]
enum Kind {
    Lookup,
    Action,
}

fn main() -> Result<()> {
    let options = parse(lexopt::Parser::from_env())?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(&options))
}

fn parse(mut parser: lexopt::Parser) -> Result<Options> {
    let mut options = Options {
        requests: 10_000,
        busy_for: Duration::from_secs(5),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("requests") => {
                options.requests = parser.value()?.to_string_lossy().parse()?;
            }
            lexopt::Arg::Long("busy-ms") => {
                let ms = parser.value()?.to_string_lossy().parse()?;
                options.busy_for = Duration::from_millis(ms);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    ensure!(options.requests >= 1_000, "at least 1000 requests");
    Ok(options)
}

async fn run(options: &Options) -> Result<()> {
    let plan = FleetPlan {
        backends: 2,
        slots: 64,
        service_time_ms: 0.0,
        log: "warn".into(),
        ..FleetPlan::default()
    };
    let mut fleet = ProcessFleet::start(plan).await?;
    let operator = fleet.operator();
    operator.put(&document(1_000_000.0, 1_000_000)?)?;
    let key = operator.give("north", "north-1")?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let entry = fleet.caller_addresses()[0];
    let backend = fleet.backend_proxies()[0].address();

    let mut direct = Client::connect(backend, None).await?;
    let mut through = Client::connect(entry, Some(key.clone())).await?;
    let (base, lookup) = alternate(&mut direct, &mut through, Kind::Lookup, options).await?;
    let (_, action) = alternate(&mut direct, &mut through, Kind::Action, options).await?;
    let pid = fleet.process(Node::Entry(0)).id();
    let busy = throughput(entry, &key, pid, options.busy_for).await?;

    print_row("direct", &base);
    print_row("lookup through the entry", &lookup);
    print_row("action through the entry", &action);
    let added = |sample: &Sample, part: f64| sample.quantile(part) - base.quantile(part);
    println!(
        "added to a lookup: p50 {:.3} ms, p99 {:.3} ms; to an action: p50 {:.3} ms, p99 {:.3} ms",
        added(&lookup, 0.5),
        added(&lookup, 0.99),
        added(&action, 0.5),
        added(&action, 0.99),
    );
    println!(
        "entry process: {:.0} requests/s at {:.2} cores, {:.0} requests/s per core",
        busy.rate,
        busy.cores,
        busy.rate / busy.cores
    );
    let report = json!({
        "requests": options.requests,
        "added_lookup_p50_ms": added(&lookup, 0.5),
        "added_lookup_p99_ms": added(&lookup, 0.99),
        "added_action_p50_ms": added(&action, 0.5),
        "added_action_p99_ms": added(&action, 0.99),
        "requests_per_s": busy.rate,
        "cores": busy.cores,
    });
    println!("{report}");
    Ok(())
}

/// Latencies in milliseconds, sorted.
struct Sample(Vec<f64>);

impl Sample {
    fn new(mut latencies_ms: Vec<f64>) -> Self {
        latencies_ms.sort_by(f64::total_cmp);
        Self(latencies_ms)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "an index below the length of the sample"
    )]
    fn quantile(&self, part: f64) -> f64 {
        let index = (self.0.len() as f64 * part) as usize;
        self.0[index.min(self.0.len() - 1)]
    }
}

/// Sends one request directly and one through the entry, in turns, so that both see the same machine.
async fn alternate(
    direct: &mut Client,
    through: &mut Client,
    kind: Kind,
    options: &Options,
) -> Result<(Sample, Sample)> {
    for _ in 0..WARM_UP_REQUESTS {
        through.send(kind).await?;
        direct.send(kind).await?;
    }
    let mut base = Vec::with_capacity(options.requests);
    let mut measured = Vec::with_capacity(options.requests);
    for _ in 0..options.requests {
        base.push(direct.send(kind).await?);
        measured.push(through.send(kind).await?);
    }
    Ok((Sample::new(base), Sample::new(measured)))
}

struct Throughput {
    rate: f64,
    cores: f64,
}

async fn throughput(
    entry: SocketAddr,
    key: &str,
    pid: u32,
    busy_for: Duration,
) -> Result<Throughput> {
    let cpu_before = cpu_seconds(pid)?;
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..BUSY_CONNECTIONS {
        let mut client = Client::connect(entry, Some(key.to_owned())).await?;
        tasks.push(tokio::spawn(async move {
            let mut count = 0_u32;
            while started_at.elapsed() < busy_for {
                client.send(Kind::Lookup).await?;
                count += 1;
            }
            anyhow::Ok(count)
        }));
    }
    let mut total = 0.0;
    for task in tasks {
        total += f64::from(task.await??);
    }
    let elapsed_s = started_at.elapsed().as_secs_f64();
    Ok(Throughput {
        rate: total / elapsed_s,
        cores: (cpu_seconds(pid)? - cpu_before) / elapsed_s,
    })
}

/// Processor time of a process in seconds, from the 14th and 15th field of its `stat` file.
fn cpu_seconds(pid: u32) -> Result<f64> {
    let path = format!("/proc/{pid}/stat");
    let text = std::fs::read_to_string(Path::new(&path))?;
    let fields = text.rsplit_once(") ").context("stat has a name")?.1;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_S)
}

impl Client {
    async fn connect(address: SocketAddr, key: Option<String>) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            key,
            sent: 0,
        })
    }

    /// Sends a request and returns its time in milliseconds.
    async fn send(&mut self, kind: Kind) -> Result<f64> {
        self.sent += 1;
        let (method, path) = match kind {
            Kind::Lookup => ("GET", "/lookup/1"),
            Kind::Action => ("POST", "/holds"),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", HOST)
            .header("Idempotency-Key", format!("overhead-{}", self.sent));
        if let Some(key) = &self.key {
            request = request.header("X-Api-Key", key);
        }
        let request = request.body(Full::new(Bytes::new()))?;
        self.sender.ready().await?;
        let started_at = Instant::now();
        let response = self.sender.send_request(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        let elapsed_ms = started_at.elapsed().as_secs_f64() * 1000.0;
        ensure!(
            status.is_success(),
            "{status}: {}",
            String::from_utf8_lossy(&body)
        );
        Ok(elapsed_ms)
    }
}

fn print_row(name: &str, sample: &Sample) {
    println!(
        "{name:<26} p50 {:.3} ms  p99 {:.3} ms  p99.9 {:.3} ms",
        sample.quantile(0.5),
        sample.quantile(0.99),
        sample.quantile(0.999)
    );
}
