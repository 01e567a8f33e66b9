//! Measures the overhead of one entry instance in a single run: the p50 and p99 latency that it adds to a
//! direct call of the backend server, and the throughput of its process per processor core.

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
use radishpaddle_e2e::plan::{HOST, service_document};
use radishpaddle_e2e::{FleetPlan, ProcessFleet};
use serde_json::json;
use tokio::net::TcpStream;

/// Number of requests per client and kind before the measurement. They warm the caches and let the entry
/// instance fill its rate allocation.
const WARM_UP_REQUESTS: usize = 2_000;

/// Clock ticks per second in `/proc/PID/stat` on Linux (`USER_HZ`).
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Number of connections that send requests without pause in the throughput measurement.
const THROUGHPUT_CONNECTIONS: usize = 16;

struct Options {
    /// Number of measured requests per kind and client.
    requests: usize,
    /// Duration of the throughput measurement.
    throughput_duration: Duration,
}

/// HTTP client with one connection.
struct Client {
    sender: SendRequest<Full<Bytes>>,
    key: Option<String>,
    requests_sent: u64,
}

#[derive(Clone, Copy)]
enum RequestKind {
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
        throughput_duration: Duration::from_secs(5),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("requests") => {
                options.requests = parser.value()?.to_string_lossy().parse()?;
            }
            lexopt::Arg::Long("busy-ms") => {
                let ms = parser.value()?.to_string_lossy().parse()?;
                options.throughput_duration = Duration::from_millis(ms);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    ensure!(
        options.requests >= 1_000,
        "--requests must be at least 1000"
    );
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
    operator.submit_document(&service_document(1_000_000.0, 1_000_000)?)?;
    let key = operator.create_key("north", "north-1")?;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let entry = fleet.caller_addresses()[0];
    let backend = fleet.backend_proxies()[0].address();

    let mut direct_client = Client::connect(backend, None).await?;
    let mut proxied_client = Client::connect(entry, Some(key.clone())).await?;
    let (direct, lookup) = measure_alternating(
        &mut direct_client,
        &mut proxied_client,
        RequestKind::Lookup,
        options,
    )
    .await?;
    let (_, action) = measure_alternating(
        &mut direct_client,
        &mut proxied_client,
        RequestKind::Action,
        options,
    )
    .await?;
    let pid = fleet.process(Node::Entry(0)).id();
    let throughput = measure_throughput(entry, &key, pid, options.throughput_duration).await?;

    print_row("direct", &direct);
    print_row("lookup through the entry", &lookup);
    print_row("action through the entry", &action);
    let added = |sample: &LatencySample, quantile: f64| {
        sample.quantile(quantile) - direct.quantile(quantile)
    };
    println!(
        "added to a lookup: p50 {:.3} ms, p99 {:.3} ms; to an action: p50 {:.3} ms, p99 {:.3} ms",
        added(&lookup, 0.5),
        added(&lookup, 0.99),
        added(&action, 0.5),
        added(&action, 0.99),
    );
    println!(
        "entry process: {:.0} requests/s at {:.2} cores, {:.0} requests/s per core",
        throughput.requests_per_s,
        throughput.cores,
        throughput.requests_per_s / throughput.cores
    );
    let report = json!({
        "requests": options.requests,
        "added_lookup_p50_ms": added(&lookup, 0.5),
        "added_lookup_p99_ms": added(&lookup, 0.99),
        "added_action_p50_ms": added(&action, 0.5),
        "added_action_p99_ms": added(&action, 0.99),
        "requests_per_s": throughput.requests_per_s,
        "cores": throughput.cores,
    });
    println!("{report}");
    Ok(())
}

/// Latencies in milliseconds, in ascending order.
struct LatencySample(Vec<f64>);

impl LatencySample {
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
    fn quantile(&self, quantile: f64) -> f64 {
        let index = (self.0.len() as f64 * quantile) as usize;
        self.0[index.min(self.0.len() - 1)]
    }
}

/// Measures direct requests and requests through the entry instance in alternation, so that both are
/// subject to the same load of the machine.
async fn measure_alternating(
    direct: &mut Client,
    proxied: &mut Client,
    kind: RequestKind,
    options: &Options,
) -> Result<(LatencySample, LatencySample)> {
    for _ in 0..WARM_UP_REQUESTS {
        proxied.send(kind).await?;
        direct.send(kind).await?;
    }
    let mut direct_ms = Vec::with_capacity(options.requests);
    let mut proxied_ms = Vec::with_capacity(options.requests);
    for _ in 0..options.requests {
        direct_ms.push(direct.send(kind).await?);
        proxied_ms.push(proxied.send(kind).await?);
    }
    Ok((
        LatencySample::new(direct_ms),
        LatencySample::new(proxied_ms),
    ))
}

struct Throughput {
    requests_per_s: f64,
    /// Processor cores that the entry process used on average.
    cores: f64,
}

/// Sends lookups over several connections without pause and measures the throughput and the processor
/// time of the entry process.
async fn measure_throughput(
    entry: SocketAddr,
    key: &str,
    pid: u32,
    throughput_duration: Duration,
) -> Result<Throughput> {
    let cpu_before = cpu_seconds(pid)?;
    let started_at = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..THROUGHPUT_CONNECTIONS {
        let mut client = Client::connect(entry, Some(key.to_owned())).await?;
        tasks.push(tokio::spawn(async move {
            let mut count = 0_u32;
            while started_at.elapsed() < throughput_duration {
                client.send(RequestKind::Lookup).await?;
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
        requests_per_s: total / elapsed_s,
        cores: (cpu_seconds(pid)? - cpu_before) / elapsed_s,
    })
}

/// Returns the processor time of a process in seconds: the sum of `utime` and `stime`, the 14th and 15th
/// fields of `/proc/PID/stat`.
fn cpu_seconds(pid: u32) -> Result<f64> {
    let path = format!("/proc/{pid}/stat");
    let text = std::fs::read_to_string(Path::new(&path))?;
    let fields = text
        .rsplit_once(") ")
        .context("/proc/PID/stat contains no process name")?
        .1;
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / CLOCK_TICKS_PER_S)
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
            requests_sent: 0,
        })
    }

    /// Sends a request and returns its latency in milliseconds.
    async fn send(&mut self, kind: RequestKind) -> Result<f64> {
        self.requests_sent += 1;
        let (method, path) = match kind {
            RequestKind::Lookup => ("GET", "/lookup/1"),
            RequestKind::Action => ("POST", "/holds"),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("Host", HOST)
            .header(
                "Idempotency-Key",
                format!("overhead-{}", self.requests_sent),
            );
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

fn print_row(name: &str, sample: &LatencySample) {
    println!(
        "{name:<26} p50 {:.3} ms  p99 {:.3} ms  p99.9 {:.3} ms",
        sample.quantile(0.5),
        sample.quantile(0.99),
        sample.quantile(0.999)
    );
}
