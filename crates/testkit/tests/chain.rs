//! The checker detects the faults of a deliberately faulty proxy from what callers and backend servers
//! recorded.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use radishpaddle_model::{Refusal, ResultCode};
use radishpaddle_testkit::backend::{self, BackendSettings, FaultPlan, RunningBackend};
use radishpaddle_testkit::caller::{Caller, CallerSettings, Method, Operation};
use radishpaddle_testkit::history::{AttemptRecorder, Guarantee, History, KeyGrant, RateLimit};
use radishpaddle_testkit::http;
use tokio::net::TcpListener;

const KEY: &str = "rk_large_0123456789";

/// Fault of the proxy under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// No fault.
    None,
    /// Forwards the organisation key to the backend server.
    ForwardsKey,
    /// Sends every action twice.
    RepeatsActions,
    /// Refuses with "not run" after the backend server has run the request.
    DeniesExecution,
    /// Truncates the response and presents it as complete.
    ShortensResponse,
    /// Forwards requests without a key.
    IgnoresMissingKey,
    /// Admits requests above the rate limit.
    IgnoresRate,
}

/// Minimal proxy in front of one backend server, without claims and rate limits.
struct TestProxy {
    address: SocketAddr,
    backend: SocketAddr,
    fault: Fault,
}

async fn start_proxy(backend: SocketAddr, fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let proxy = Arc::new(TestProxy {
        address,
        backend,
        fault,
    });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let proxy = Arc::clone(&proxy);
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let proxy = Arc::clone(&proxy);
                    async move { proxy.handle(request).await }
                });
                let io = TokioIo::new(stream);
                let _ = http1::Builder::new().serve_connection(io, service).await;
            });
        }
    });
    address
}

impl TestProxy {
    async fn handle(&self, request: Request<Incoming>) -> anyhow::Result<Response<Full<Bytes>>> {
        if request.uri().path().starts_with("/.well-known") {
            let entry = serde_json::json!({"address": self.address});
            let body = serde_json::json!({"addresses": [entry], "lifetime_ms": 60_000});
            return Ok(Response::new(Full::new(body.to_string().into())));
        }
        let has_key = request.headers().contains_key("x-api-key");
        if !has_key && self.fault != Fault::IgnoresMissingKey {
            return refusal(ResultCode::KeyMissing);
        }
        let repeat = self.fault == Fault::RepeatsActions && request.method() == Method::POST;
        let request = self.forwarded(request).await?;
        if repeat {
            self.send(request.clone()).await?;
        }
        let Ok((status, mut body)) = self.send(request).await else {
            return refusal(ResultCode::BackendFailed);
        };
        match self.fault {
            Fault::DeniesExecution => return refusal(ResultCode::Overloaded),
            Fault::ShortensResponse => body.truncate(10),
            _ => {}
        }
        let answer = Response::builder()
            .status(status)
            .header("x-result-code", "1000");
        Ok(answer.body(Full::new(body))?)
    }

    async fn forwarded(&self, request: Request<Incoming>) -> anyhow::Result<Request<Full<Bytes>>> {
        let (mut head, body) = request.into_parts();
        if self.fault != Fault::ForwardsKey {
            head.headers.remove("x-api-key");
        }
        Ok(Request::from_parts(
            head,
            Full::new(body.collect().await?.to_bytes()),
        ))
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> anyhow::Result<(u16, Bytes)> {
        let response = http::connect(self.backend)
            .await?
            .send_request(request)
            .await?;
        let status = response.status().as_u16();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }
}

fn refusal(code: ResultCode) -> anyhow::Result<Response<Full<Bytes>>> {
    let body = serde_json::to_vec(&Refusal::new(code, "test"))?;
    let answer = Response::builder().status(code.http_status());
    let answer = answer.header("x-result-code", code.number().to_string());
    Ok(answer.body(Full::new(body.into()))?)
}

async fn start_backend(faults: FaultPlan) -> RunningBackend {
    let (service, name, zone) = ("ledger".parse(), "l-1".parse(), "zone-a".parse());
    let mut settings = BackendSettings::new(service.unwrap(), name.unwrap(), zone.unwrap());
    settings.service_time_ms = 1.0;
    settings.faults = faults;
    backend::spawn(settings).await.unwrap()
}

fn operation(number: u32) -> Operation {
    let action = number.is_multiple_of(2);
    let id = format!("op{number}");
    Operation {
        service: "ledger".parse().unwrap(),
        host: "ledger.test".into(),
        method: if action { Method::POST } else { Method::GET },
        path: "/entries".into(),
        body: Bytes::new(),
        open: false,
        idempotent: !action,
        idempotency_key: action.then(|| id.clone()),
        deadline_ms: 1_000,
        id,
    }
}

/// Runs 20 operations with a key and one without, and returns the history.
async fn run_operations(fault: Fault, faults: FaultPlan) -> History {
    let backend = start_backend(faults).await;
    let proxy = start_proxy(backend.address(), fault).await;
    let recorder = AttemptRecorder::default();
    let keyed = CallerSettings::new(vec![proxy]).with_key("large".parse().unwrap(), KEY);
    let caller = Caller::new(keyed, Some(recorder.clone()));
    for number in 0..20 {
        caller.perform(&operation(number)).await;
    }
    let without_key = Caller::new(CallerSettings::new(vec![proxy]), Some(recorder.clone()));
    without_key.perform(&operation(21)).await;
    History {
        attempts: recorder.attempts(),
        executions: backend.executions(),
        keys: vec![KeyGrant {
            key: KEY.into(),
            organisation: "large".parse().unwrap(),
            withdrawn_us: None,
        }],
        limits: vec![RateLimit {
            service: "ledger".parse().unwrap(),
            organisation: "large".parse().unwrap(),
            rate_per_s: if fault == Fault::IgnoresRate {
                1.0
            } else {
                1_000.0
            },
            burst: if fault == Fault::IgnoresRate { 5 } else { 100 },
        }],
        withdrawal_grace_us: 4_000_000,
        organisation_header: None,
    }
}

/// Returns the guarantees that the checker reports as violated.
async fn violated_guarantees(fault: Fault, faults: FaultPlan) -> Vec<Guarantee> {
    let violations = run_operations(fault, faults).await.violations();
    let mut found: Vec<Guarantee> = violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect();
    found.dedup();
    found
}

/// Guards against a checker that attributes gray failures of a backend server to a correct proxy. Only
/// P8 may be reported, since this proxy keeps no claims for actions.
#[tokio::test]
async fn plain_proxy_violates_only_at_most_once() {
    let plans = [
        FaultPlan::default(),
        FaultPlan {
            error_share: 0.3,
            shed_share: 0.2,
            ..FaultPlan::default()
        },
        FaultPlan {
            truncate_after_bytes: Some(5),
            ..FaultPlan::default()
        },
        FaultPlan {
            length_error_bytes: 7,
            chunked: false,
            ..FaultPlan::default()
        },
    ];
    for plan in plans {
        let mut history = run_operations(Fault::None, plan.clone()).await;
        if plan.shed_share > 0.0 {
            // This proxy forwards a shed response like any other, although no execution sent it; marking
            // it as broken excludes it from the check of responses.
            history.attempts.iter_mut().for_each(mark_shed_as_broken);
        }

        // An action whose response is lost is resent, and this proxy does not detect the repetition.
        let violations = history.violations();
        let expected = if plan.truncate_after_bytes.is_some() || plan.length_error_bytes > 0 {
            vec![Guarantee::P8]
        } else {
            vec![]
        };
        let mut found: Vec<Guarantee> = violations
            .iter()
            .map(|violation| violation.guarantee)
            .collect();
        found.dedup();
        assert_eq!(found, expected, "{plan:?}: {violations:?}");
    }
}

fn mark_shed_as_broken(attempt: &mut radishpaddle_testkit::caller::Attempt) {
    use radishpaddle_testkit::caller::AttemptResult;

    if matches!(attempt.told, AttemptResult::Answer { status: 503, .. }) {
        attempt.told = AttemptResult::Broken {
            error: "shed".into(),
        };
    }
}

/// Guards against a violation whose evidence is lost between the proxy, the backend server and the checker.
#[tokio::test]
async fn each_fault_of_a_proxy_is_found() {
    let cases = [
        (Fault::IgnoresMissingKey, vec![Guarantee::P2]),
        (Fault::ForwardsKey, vec![Guarantee::P3]),
        (Fault::IgnoresRate, vec![Guarantee::P5]),
        (Fault::ShortensResponse, vec![Guarantee::P6]),
        (Fault::DeniesExecution, vec![Guarantee::P7, Guarantee::P8]),
        (Fault::RepeatsActions, vec![Guarantee::P8]),
    ];
    for (fault, expected) in cases {
        assert_eq!(
            violated_guarantees(fault, FaultPlan::default()).await,
            expected,
            "{fault:?}"
        );
    }
}
