//! Gateways that are cut off from all backend servers while callers, coordinators and other gateways reach them.

use std::io::{BufRead, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use radishpaddle_gateway::gateway::Gateway;
use radishpaddle_gateway::settings::{
    GatewaySettings, HeaderNames, LoadManagement, PlacementPolicy, QuotaSettings,
    RetryBudgetSettings, WarmupSettings,
};
use radishpaddle_kernel::DecisionLog;
use radishpaddle_kernel::incarnation::unix_ms;
use radishpaddle_model::{
    BackendState, CallerLimits, HostRoutes, RoutePart, RoutedService, RoutingConfig, RoutingRule,
    ServerPresence,
};
use radishpaddle_wire::message::{Empty, Hello, request, response};
use radishpaddle_wire::{
    GatewayPoll, PROTOCOL_VERSION, PeerHandler, PeerIdentity, PeerSecurity, PeerServer, PollReply,
    ServerIdentity, ServerUpdate, decode, encode,
};
use socket2::SockRef;
use tokio::time::sleep;

/// Name of the gateways that know only servers which refuse connections.
const ISOLATED: &str = "gateway-isolated";

/// Name of the gateways that reach the servers of `avail`, and know servers of `permits` of which none runs.
const HALF_SERVED: &str = "gateway-half-served";

/// Name of the gateway whose coordinator lags behind: its configuration has no route for `lookups`.
const OUTDATED: &str = "gateway-outdated";

/// Requests of each test.
const REQUESTS: u32 = 20;

/// Time within which a gateway reports that it reaches no server, and learns of the others.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(2);

/// Time in which bytes on the loopback interface have arrived: a reset discards what the receiver has not read.
const ARRIVAL_TIME: Duration = Duration::from_millis(5);

/// Fake coordinator. Isolated gateways get unreachable servers and the relays; the others get the server.
struct Coordinator {
    server: SocketAddr,
    relays: Vec<SocketAddr>,
    /// Whether an isolated gateway has reported that it reaches no server.
    isolation_reported: AtomicBool,
}

impl PeerHandler for Coordinator {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        let request::Kind::GatewayPoll(bytes) = request else {
            return response::Kind::Empty(Empty {});
        };
        let poll: GatewayPoll = decode(&bytes).unwrap();
        sleep(Duration::from_millis(30)).await;
        let isolated = !poll.presence.reaches_servers;
        self.isolation_reported
            .fetch_or(isolated, Ordering::Relaxed);
        let mut reply = reply();
        if isolated {
            reply.relays.clone_from(&self.relays);
        }
        let is_cut_off = poll.presence.instance.starts_with(ISOLATED);
        reply.servers = if is_cut_off {
            unused_servers("avail")
        } else {
            vec![update(1, "avail", self.server)]
        };
        if poll.presence.instance.starts_with(HALF_SERVED) {
            let more = (2..=20).map(|number| update(number, "avail", self.server));
            reply.servers.extend(more);
            reply.servers.extend(unused_servers("permits"));
        }
        if poll.presence.instance.starts_with(OUTDATED) {
            reply.config_version = 1;
            reply.config = Some(Arc::new(outdated_config()));
        }
        let answer = (!poll.report_only).then_some(reply);
        response::Kind::Payload(encode(&answer).unwrap())
    }
}

/// Address on which no process listens.
fn unused_address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 77, 41, number], 9))
}

/// Servers of a service that refuse connections.
fn unused_servers(service: &str) -> Vec<ServerUpdate> {
    let servers = (101..=106).map(|number| update(number, service, unused_address(number)));
    servers.collect()
}

fn update(number: u8, service: &str, address: SocketAddr) -> ServerUpdate {
    ServerUpdate {
        presence: ServerPresence {
            id: format!("server-{number}").into(),
            service: service.into(),
            address,
            zone: "yard".into(),
            slots: 3,
            state: BackendState::Serving,
            started_at_ms: 1,
            sequence: 1,
            warmup_left_ms: 0,
        },
        silent: false,
    }
}

fn rule(name: &str, service: &str, idempotent: bool) -> RoutingRule {
    RoutingRule {
        name: name.into(),
        path_prefix: format!("/{name}/").into(),
        idempotent,
        open: true,
        priority: 0,
        parts: vec![RoutePart {
            service: service.into(),
            weight: 1.0,
        }],
        timeout_ms: 2_000,
        objective_ms: 1_000,
        max_attempts: 2,
    }
}

/// Configuration before the route for `lookups` was added.
fn outdated_config() -> RoutingConfig {
    let mut config = config();
    config.version = 1;
    config.hosts[0]
        .routes
        .retain(|rule| &*rule.name != "lookups");
    config
}

fn config() -> RoutingConfig {
    RoutingConfig {
        version: 2,
        limits: CallerLimits::default(),
        organisations: Vec::new(),
        hosts: vec![HostRoutes {
            host: "hire.example".into(),
            routes: vec![
                rule("holds", "avail", false),
                rule("lookups", "avail", true),
                rule("permits", "permits", false),
            ],
        }],
        services: vec![service("avail"), service("permits")],
        ..RoutingConfig::default()
    }
}

fn service(name: &str) -> RoutedService {
    RoutedService {
        name: name.into(),
        max_connections: 100,
    }
}

fn reply() -> PollReply {
    PollReply {
        coordinator: 7,
        proof_age_ms: Some(10),
        complete: true,
        whole: true,
        table_position: 1,
        servers: Vec::new(),
        removed: Vec::new(),
        retired: None,
        applied_index: 1,
        evidence_position: 1,
        evidence: Vec::new(),
        suspects: None,
        suspects_position: 0,
        config_version: 2,
        config: Some(Arc::new(config())),
        demand: Vec::new(),
        unknown_gateways: 0,
        own_demand: Vec::new(),
        gateways: 2,
        relays: Vec::new(),
        coordinators: Vec::new(),
    }
}

fn settings(instance: &str, callers: SocketAddr, contact: SocketAddr) -> GatewaySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    GatewaySettings {
        fleet: "test".into(),
        instance: instance.into(),
        zone: "yard".into(),
        callers_listen: callers,
        ready_listen: any,
        metrics_listen: any,
        contacts: vec![contact],
        headers: HeaderNames::default(),
        freshness_limit_ms: 3_000,
        retry_budget: RetryBudgetSettings {
            ratio: 0.2,
            slack: 10.0,
            window_ms: 10_000,
        },
        quota: QuotaSettings {
            window_ms: 5_000,
            overage: 0.1,
            slack: 10.0,
        },
        stop_accepting_after_ms: 100,
        stop_deadline_ms: 1_000,
        load_management: LoadManagement::default(),
        placement: PlacementPolicy::default(),
        machine: None,
        warmup: WarmupSettings::default(),
        control_bytes_per_s: 8_000,
    }
}

/// Starts a coordinator that knows this server and these relays.
async fn start_coordinator(
    server: SocketAddr,
    relays: Vec<SocketAddr>,
) -> (PeerServer, Arc<Coordinator>) {
    let identity = ServerIdentity {
        hello: Hello {
            fleet: "test".to_owned(),
            instance: "coordinator-1".to_owned(),
            incarnation: 1,
            protocol_version: PROTOCOL_VERSION,
        },
        security: PeerSecurity::Plain,
    };
    let coordinator = Arc::new(Coordinator {
        server,
        relays,
        isolation_reported: AtomicBool::new(false),
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = PeerServer::bind(any, identity, Arc::clone(&coordinator)).await;
    (listener.unwrap(), coordinator)
}

async fn start_gateway(instance: &str, callers: SocketAddr, contact: SocketAddr) -> Gateway {
    let log = DecisionLog::spawn(instance.into());
    let gateway = Gateway::spawn(settings(instance, callers, contact), log).await;
    let gateway = gateway.unwrap();
    wait_until("the gateway is ready", || gateway.is_ready()).await;
    gateway
}

async fn wait_until(condition: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + DETECTION_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "condition not met: {condition}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Sends requests until the gateway has reported that it reaches no server and its next poll was answered.
async fn isolate(callers: SocketAddr, coordinator: &Coordinator) {
    send(callers, "lookups", "warm-up").await;
    wait_until("the gateway reports that it is isolated", || {
        coordinator.isolation_reported.load(Ordering::Relaxed)
    })
    .await;
    sleep(Duration::from_millis(200)).await;
}

/// Reads the head of a request and returns its id, or `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return None;
        }
    }
    let head = head.to_ascii_lowercase();
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    Some(id.unwrap_or_default().to_owned())
}

/// Accepts connections and counts their requests; answers them, or closes the connection instead.
fn start_server(address: SocketAddr, answers: bool) -> (SocketAddr, Arc<AtomicU32>) {
    start_server_with(address, answers.then_some("200 OK"))
}

/// Accepts connections and counts their requests; answers them with this status line and headers, or closes the connection
/// instead.
fn start_server_with(
    address: SocketAddr,
    head: Option<&'static str>,
) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind(address).unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&requests);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, counter) = (stream.unwrap(), Arc::clone(&counter));
            std::thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(id) = read_request(&mut reader) {
                    counter.fetch_add(1, Ordering::Relaxed);
                    let Some(head) = head else {
                        return;
                    };
                    let answer = format!(
                        "HTTP/1.1 {head}\r\nX-Request-Id: {id}\r\nContent-Length: 4\r\n\r\nheld"
                    );
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, requests)
}

/// Accepts connections, answers each request with one byte more of an answer than the one before, up to the last byte but
/// one, and closes or resets the connection. Returns the number of requests that it received.
fn start_dying_gateway(address: SocketAddr, resets: bool) -> Arc<AtomicU32> {
    let listener = TcpListener::bind(address).unwrap();
    let requests = Arc::new(AtomicU32::new(0));
    let counter = Arc::clone(&requests);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let Some(id) = read_request(&mut reader) else {
                continue;
            };
            let number = counter.fetch_add(1, Ordering::Relaxed) as usize;
            let answer = relayed_answer(&id);
            let sent = number % answer.len();
            stream.write_all(&answer.as_bytes()[..sent]).unwrap();
            if resets {
                std::thread::sleep(ARRIVAL_TIME);
                let socket = SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
            }
        }
    });
    requests
}

/// Answer of another gateway to a relayed request.
fn relayed_answer(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Proof: 3e1b\r\nX-Request-Id: {id}\r\nContent-Length: 4\r\n\r\nheld"
    )
}

/// Sends one request over a new connection and returns the status, or `None` without an answer.
async fn send(callers: SocketAddr, route: &'static str, id: &str) -> Option<u16> {
    let answer = exchange(callers, route, id).await?;
    answer.split(' ').nth(1)?.parse().ok()
}

/// Sends one request over a new connection and returns the text of the answer.
async fn exchange(callers: SocketAddr, route: &'static str, id: &str) -> Option<String> {
    let head = format!(
        "GET /{route}/7 HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    let exchange = move || {
        let mut stream = TcpStream::connect(callers).ok()?;
        stream.write_all(head.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    };
    tokio::task::spawn_blocking(exchange).await.unwrap()
}

async fn send_all(callers: SocketAddr, route: &'static str) -> Vec<Option<u16>> {
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        statuses.push(send(callers, route, &format!("id-{number}")).await);
    }
    statuses
}

fn local(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 77, 42, host], 8_405))
}

/// Guards against callers that are refused because their gateway reaches no server, although other gateways do.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_gateway_without_servers_are_refused() {
    let (server, runs) = start_server(SocketAddr::from(([127, 0, 0, 1], 0)), true);
    let (listener, coordinator) = start_coordinator(server, vec![local(2)]).await;
    let _isolated = start_gateway(ISOLATED, local(1), listener.address()).await;
    let _relay = start_gateway("gateway-relay", local(2), listener.address()).await;
    isolate(local(1), &coordinator).await;

    let before = runs.load(Ordering::Relaxed);
    let statuses = send_all(local(1), "holds").await;

    assert_eq!(statuses, vec![Some(200); REQUESTS as usize]);
    assert_eq!(runs.load(Ordering::Relaxed) - before, REQUESTS, "runs");
}

/// Guards against requests that isolated gateways relay to each other without end, and against one that waits although
/// none of them can serve it.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_gateways_relay_to_each_other_without_end() {
    let (server, runs) = start_server(SocketAddr::from(([127, 0, 0, 1], 0)), true);
    let (listener, coordinator) = start_coordinator(server, vec![local(3), local(4)]).await;
    let first = format!("{ISOLATED}-1");
    let second = format!("{ISOLATED}-2");
    let _first = start_gateway(&first, local(3), listener.address()).await;
    let _second = start_gateway(&second, local(4), listener.address()).await;
    isolate(local(3), &coordinator).await;
    isolate(local(4), &coordinator).await;

    let started_at = Instant::now();
    let statuses = send_all(local(3), "holds").await;

    assert_eq!(statuses, vec![Some(503); REQUESTS as usize]);
    assert_eq!(runs.load(Ordering::Relaxed), 0);
    assert!(started_at.elapsed() < Duration::from_secs(1), "waited");
}

/// Guards against a promise that a request was not run, and against a second run, after the connection to the other gateway
/// was lost with the request in flight, or its answer had an invalid status.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_lost_between_two_gateways_counts_as_not_run() {
    for (host, head) in [(5, None), (40, Some("600 Odd"))] {
        let (server, _) = start_server(SocketAddr::from(([127, 0, 0, 1], 0)), true);
        let (failing, arrivals) = start_server_with(local(host + 1), head);
        let (listener, coordinator) = start_coordinator(server, vec![failing, failing]).await;
        let _isolated = start_gateway(ISOLATED, local(host), listener.address()).await;
        isolate(local(host), &coordinator).await;

        let before = arrivals.load(Ordering::Relaxed);
        let statuses = send_all(local(host), "holds").await;

        assert_eq!(statuses, vec![Some(502); REQUESTS as usize], "{head:?}");
        assert_eq!(arrivals.load(Ordering::Relaxed) - before, REQUESTS, "sent");
    }
}

/// Guards against an idempotent request that fails although another gateway is left.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_lost_between_two_gateways_is_not_sent_again() {
    let (server, _) = start_server(SocketAddr::from(([127, 0, 0, 1], 0)), true);
    let (closing, _) = start_server(local(9), false);
    let (listener, coordinator) = start_coordinator(server, vec![closing, local(8)]).await;
    let _isolated = start_gateway(ISOLATED, local(7), listener.address()).await;
    let _relay = start_gateway("gateway-relay", local(8), listener.address()).await;
    isolate(local(7), &coordinator).await;

    let statuses = send_all(local(7), "lookups").await;

    assert_eq!(statuses, vec![Some(200); REQUESTS as usize]);
}

/// Guards against gateways that count as cut off because all servers of one service are down, and then send the requests of
/// other services to each other instead of to the servers that they reach.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_without_servers_isolates_gateways_that_reach_others() {
    let (server, _) = start_server(SocketAddr::from(([127, 0, 0, 1], 0)), true);
    let (listener, coordinator) = start_coordinator(server, vec![local(11)]).await;
    let (first, second) = (format!("{HALF_SERVED}-1"), format!("{HALF_SERVED}-2"));
    let _first = start_gateway(&first, local(10), listener.address()).await;
    let _second = start_gateway(&second, local(11), listener.address()).await;

    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("id-{number}");
        send(local(10), "permits", &id).await;
        send(local(11), "permits", &id).await;
        statuses.push(send(local(10), "holds", &id).await);
        sleep(Duration::from_millis(50)).await;
    }

    assert_eq!(statuses, vec![Some(200); REQUESTS as usize]);
    assert!(!coordinator.isolation_reported.load(Ordering::Relaxed));
}

/// Guards against a gateway that uses a new configuration, and answers the next request by an older one because the gateway
/// to which it relays has not got the new one.
#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_request_is_handled_by_an_older_configuration() {
    let (server, _) = start_server(SocketAddr::from(([127, 0, 0, 1], 0)), true);
    let (listener, coordinator) = start_coordinator(server, vec![local(13), local(14)]).await;
    let _isolated = start_gateway(ISOLATED, local(12), listener.address()).await;
    let _outdated = start_gateway(OUTDATED, local(13), listener.address()).await;
    let _relay = start_gateway("gateway-relay", local(14), listener.address()).await;
    isolate(local(12), &coordinator).await;

    let statuses = send_all(local(12), "lookups").await;

    assert_eq!(statuses, vec![Some(200); REQUESTS as usize]);
}

/// Guards against a part of an answer that a caller gets as complete, against a promise that its request was not run, and
/// against a second run, after the other gateway has died in the middle of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_cut_between_two_gateways_counts_as_complete() {
    for (resets, first) in [(false, 20), (true, 23)] {
        let (server, _) = start_server(SocketAddr::from(([127, 0, 0, 1], 0)), true);
        let dying = local(first + 1);
        let arrivals = start_dying_gateway(dying, resets);
        let relays = vec![dying, unused_address(9)];
        let (listener, coordinator) = start_coordinator(server, relays).await;
        let _isolated = start_gateway(ISOLATED, local(first), listener.address()).await;
        isolate(local(first), &coordinator).await;

        let before = arrivals.load(Ordering::Relaxed);
        let mut statuses = Vec::new();
        let cuts = u32::try_from(relayed_answer("id-100").len()).unwrap();
        for number in 0..cuts {
            let id = format!("id-{}", 100 + number);
            statuses.push(send(local(first), "holds", &id).await);
        }

        assert_eq!(statuses, vec![Some(502); cuts as usize], "resets {resets}");
        let sent = arrivals.load(Ordering::Relaxed) - before;
        assert_eq!(sent, cuts, "resets {resets}");
    }
}

/// Guards against a gateway that passes on through another one that a server is leaving, and sends it requests itself when
/// it reaches servers again; and against the name of the server in answers to callers.
#[tokio::test(flavor = "multi_thread")]
async fn the_relaying_gateway_forgets_a_leaving_server() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let head = "200 OK\r\nX-Leaving: 1\r\nX-Served-By: 9/another";
    let (server, runs) = start_server_with(any, Some(head));
    let (listener, coordinator) = start_coordinator(server, vec![local(31)]).await;
    let isolated = start_gateway(ISOLATED, local(30), listener.address()).await;
    let relay = start_gateway("gateway-relay", local(31), listener.address()).await;
    isolate(local(30), &coordinator).await;
    let before = runs.load(Ordering::Relaxed);

    let first = exchange(local(30), "holds", "id-1").await.unwrap();
    let second = exchange(local(30), "holds", "id-2").await.unwrap();
    let direct = exchange(local(31), "holds", "id-3").await.unwrap();

    let first = first.to_ascii_lowercase();
    assert!(first.starts_with("http/1.1 200"), "{first}");
    assert!(first.contains("x-leaving: 1"), "{first}");
    assert!(!first.contains("x-served-by"), "{first}");
    assert_eq!(runs.load(Ordering::Relaxed) - before, 1, "runs");
    for answer in [second, direct] {
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(relay.shared().metrics.leaving.get(), 1, "at the relay");
    let leaving = isolated.shared().metrics.leaving.get();
    assert_eq!(leaving, 1, "at the isolated gateway");
    let is_leaving = |text: &str| isolated.shared().is_leaving(&text.parse().unwrap());
    assert!(is_leaving("1/server-1"), "it may get requests");
    assert!(!is_leaving("9/another"), "the server named another one");
    let announced_later = format!("{}/server-1", unix_ms() - 60_000);
    assert!(is_leaving(&announced_later), "a start before the answer");
    let started_later = format!("{}/server-1", unix_ms() + 60_000);
    assert!(!is_leaving(&started_later), "a start after the answer");
}

/// Guards against a pause of a gateway that has not asked any server, and against a refusal of another gateway that counts
/// as one of a server.
#[tokio::test(flavor = "multi_thread")]
async fn a_relayed_refusal_pauses_a_server() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let head = "503 Service Unavailable\r\nX-Shed: 1\r\nRetry-After: 3";
    let (server, runs) = start_server_with(any, Some(head));
    let (listener, coordinator) = start_coordinator(server, vec![local(33)]).await;
    let isolated = start_gateway(ISOLATED, local(32), listener.address()).await;
    let relay = start_gateway("gateway-relay", local(33), listener.address()).await;
    isolate(local(32), &coordinator).await;
    let before = runs.load(Ordering::Relaxed);

    let answers = [
        exchange(local(32), "holds", "id-1").await.unwrap(),
        exchange(local(32), "holds", "id-2").await.unwrap(),
    ];

    assert_eq!(runs.load(Ordering::Relaxed) - before, 1, "runs");
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains(r#"{"refused":"paused"}"#), "{answer}");
        assert!(!answer.contains("x-served-by"), "{answer}");
    }
    assert_eq!(relay.shared().metrics.pauses.get(), 1, "at the relay");
    let pauses = isolated.shared().metrics.pauses.get();
    assert_eq!(pauses, 0, "at the isolated gateway");
}
