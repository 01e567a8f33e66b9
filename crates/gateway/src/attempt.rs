//! Attempts of one request: choose a server, send, and try another one when that is safe. The result is a
//! complete answer or a refusal that says truthfully whether the request may have run.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use radishpaddle_kernel::{boot_clock, http_headers};
use radishpaddle_model::{Fingerprint, RoutingRule};
use serde::Serialize;
use tokio::time::{Instant, timeout_at};

use crate::answer::{Answer, Refusal};
use crate::backend_connection::{BackendAnswer, BackendConnection, SendFailure, Sent};
use crate::crash_watch::SeenCrash;
use crate::forward::ForwardRequest;
use crate::gateway::Shared;
use crate::pool::Chosen;
use crate::server::AttemptResult;

/// Servers that one request may be offered to when each of them refuses it unrun or cannot be reached.
const MAX_OFFERS: usize = 5;

/// Time below which no further attempt is worth making.
const LEAST_TIME: Duration = Duration::from_millis(15);

/// One attempt in the decision log.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct AttemptRecord {
    /// Backend server.
    pub server: Arc<str>,
    /// Estimated probability of failure when it was chosen.
    pub failure_probability: f64,
    /// Requests known to be in flight there when it was chosen.
    pub in_flight: u32,
    /// Whether the connection was used before.
    pub reused: bool,
    /// How it ended.
    pub result: &'static str,
    /// Time that it took.
    pub elapsed_ms: u64,
}

/// End of a request.
pub struct RequestEnd {
    /// Answer of a backend server, or why there is none.
    pub answer: Result<Answer, Refusal>,
    /// Attempts that were made.
    pub attempts: Vec<AttemptRecord>,
}

/// Everything that the attempts of one request need.
pub struct RequestPlan {
    /// Parts of the gateway.
    pub shared: Arc<Shared>,
    /// Route of the request.
    pub rule: Arc<RoutingRule>,
    /// Service that was chosen for it.
    pub service: Arc<str>,
    /// What is sent.
    pub request: ForwardRequest,
    /// Time by which the answer must be there.
    pub deadline: Instant,
}

/// Counts a request as in flight until it is finished or dropped.
struct InFlight<'a> {
    shared: &'a Shared,
    id: &'a str,
    finished: bool,
}

impl InFlight<'_> {
    fn finish(mut self, result: AttemptResult, connection: Option<BackendConnection>) {
        self.finished = true;
        self.shared.finish_attempt(self.id, result, connection);
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        if !self.finished {
            // The caller is gone: that says nothing about the server.
            self.shared
                .finish_attempt(self.id, AttemptResult::Neutral, None);
        }
    }
}

/// What follows after an attempt.
enum Next {
    /// The request is over.
    End(Result<Answer, Refusal>),
    /// Another server may be tried; otherwise this is the end.
    Another {
        otherwise: Result<Answer, Refusal>,
        /// Whether the request arrived at the server, so that the next send is a repeat.
        arrived: bool,
        /// Whether the server may have run it.
        may_have_run: bool,
    },
}

impl RequestPlan {
    /// Makes attempts until there is an answer or no further one is permitted.
    pub async fn run(&self) -> RequestEnd {
        let mut attempts = Vec::new();
        let mut excluded: Vec<Arc<str>> = Vec::new();
        let mut runs = 0;
        let mut arrived = false;
        let mut otherwise = Err(Refusal::NoServer);
        let answer = loop {
            let permitted = attempts.len() < MAX_OFFERS && runs < self.rule.max_attempts;
            if !permitted || self.left() < LEAST_TIME {
                break otherwise;
            }
            if self.shared.refuses(|| self.fingerprint()) {
                break better(otherwise, Err(Refusal::CrashesServers));
            }
            let is_last = runs + 1 >= self.rule.max_attempts;
            let idempotent = self.rule.idempotent;
            let chosen = self
                .shared
                .choose(&self.service, idempotent, is_last, &excluded);
            let Some(chosen) = chosen else {
                break otherwise;
            };
            if arrived && !self.shared.try_repeat(&self.service) {
                self.shared
                    .finish_attempt(&chosen.id, AttemptResult::Neutral, chosen.connection);
                break otherwise;
            }
            excluded.push(Arc::clone(&chosen.id));
            match self.attempt(chosen, &mut attempts).await {
                Next::End(answer) => break better(otherwise, answer),
                Next::Another {
                    otherwise: end,
                    arrived: here,
                    may_have_run,
                } => {
                    otherwise = better(otherwise, end);
                    arrived |= here;
                    runs += u32::from(may_have_run);
                }
            }
        };
        RequestEnd { answer, attempts }
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn fingerprint(&self) -> Fingerprint {
        let headers = &self.shared.headers;
        self.request.fingerprint(&self.rule.name, headers)
    }

    /// The connection broke off with the request in flight: the server may be gone because of it.
    fn check_crash(&self, chosen: &Chosen, started_at: Instant) {
        let shared = Arc::clone(&self.shared);
        let server = (Arc::clone(&chosen.id), chosen.address);
        let request_id = self.request.id(&self.shared.headers).map(str::to_owned);
        let now = boot_clock::now();
        let crash = SeenCrash {
            request: self.fingerprint(),
            server: chosen.life,
            sent_at: now.saturating_sub(started_at.elapsed()),
            ended_at: now,
        };
        tokio::spawn(async move { shared.check_crash(server, request_id, crash).await });
    }

    async fn attempt(&self, mut chosen: Chosen, attempts: &mut Vec<AttemptRecord>) -> Next {
        let started_at = Instant::now();
        let in_flight = InFlight {
            shared: &self.shared,
            id: &chosen.id,
            finished: false,
        };
        let reused = chosen.connection.is_some();
        let connection = match chosen.connection.take() {
            Some(connection) => Ok(connection),
            None => BackendConnection::open(chosen.address, self.left()).await,
        };
        let (next, result, name, connection) = match connection {
            Ok(connection) => self.send(connection, &chosen.id).await,
            Err(_) => not_sent("not_connected", AttemptResult::NotConnected),
        };
        in_flight.finish(result, connection);
        match name {
            "connection_lost" => self.check_crash(&chosen, started_at),
            "answered" => self.shared.record_answer(|| self.fingerprint()),
            _ => (),
        }
        self.shared.metrics.attempted(&self.service, name);
        let elapsed = started_at.elapsed();
        attempts.push(AttemptRecord {
            server: Arc::clone(&chosen.id),
            failure_probability: (chosen.failure_probability * 1000.0).round() / 1000.0,
            in_flight: chosen.in_flight,
            reused,
            result: name,
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        });
        next
    }

    async fn send(&self, connection: BackendConnection, server: &str) -> Sending {
        let request = self
            .request
            .attempt(server, self.left(), &self.shared.headers);
        let started_at = Instant::now();
        let slow_after = self.shared.slow_after(&self.rule.name);
        let sending = connection.send(request, &self.shared.headers.request_id);
        tokio::pin!(sending);
        let slow_at = (started_at + slow_after).min(self.deadline);
        let mut overdue = false;
        let sent = if let Ok(sent) = timeout_at(slow_at, &mut sending).await {
            Some(sent)
        } else {
            // Waiting goes on: a late answer is delivered as well.
            overdue = true;
            self.shared.note(server, AttemptResult::Failed);
            timeout_at(self.deadline, &mut sending).await.ok()
        };
        match sent {
            Some(Sent::Answered(answer, connection)) => {
                if !overdue && answer.status.is_success() {
                    self.shared
                        .record_time(&self.rule.name, started_at.elapsed());
                }
                self.answered(answer, connection, overdue)
            }
            Some(Sent::NotSent) => not_sent("not_sent", AttemptResult::Neutral),
            Some(Sent::Unknown(failure)) => self.unknown(failure, overdue),
            None => {
                let result = if overdue {
                    AttemptResult::Neutral
                } else {
                    AttemptResult::Failed
                };
                (Next::End(Err(Refusal::TimedOut)), result, "timed_out", None)
            }
        }
    }

    fn answered(
        &self,
        answer: BackendAnswer,
        connection: Option<BackendConnection>,
        overdue: bool,
    ) -> Sending {
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            let next = refused_unrun();
            return (next, AttemptResult::Moved, "moved", None);
        }
        if answer.headers.contains_key(&self.shared.headers.not_run) {
            return (refused_unrun(), AttemptResult::Shed, "shed", connection);
        }
        if !answer.status.is_server_error() {
            let result = if overdue {
                AttemptResult::Neutral
            } else {
                AttemptResult::Succeeded
            };
            return (
                Next::End(Ok(self.passed_on(answer))),
                result,
                "answered",
                connection,
            );
        }
        // A server that says 503 or 429 without the proof may have run the request, and these
        // statuses would promise the opposite.
        let promises = answer.status == StatusCode::SERVICE_UNAVAILABLE;
        let end = if promises {
            Err(Refusal::OutcomeUnknown)
        } else {
            Ok(self.passed_on(answer))
        };
        let next = if self.rule.idempotent {
            Next::Another {
                otherwise: end,
                arrived: true,
                may_have_run: true,
            }
        } else {
            Next::End(end)
        };
        let result = if overdue {
            AttemptResult::Neutral
        } else {
            AttemptResult::Failed
        };
        (next, result, "server_error", connection)
    }

    fn passed_on(&self, mut answer: BackendAnswer) -> Answer {
        http_headers::strip_answer(&mut answer.headers, self.request.is_head());
        Answer {
            status: answer.status,
            headers: answer.headers,
            body: answer.body,
        }
    }

    fn unknown(&self, failure: SendFailure, overdue: bool) -> Sending {
        let name = match failure {
            SendFailure::ConnectionLost => "connection_lost",
            SendFailure::AnswerInvalid => "answer_invalid",
            SendFailure::AnswerCrossed => "answer_crossed",
        };
        let next = if self.rule.idempotent {
            Next::Another {
                otherwise: Err(Refusal::OutcomeUnknown),
                arrived: true,
                may_have_run: true,
            }
        } else {
            Next::End(Err(Refusal::OutcomeUnknown))
        };
        let result = if overdue {
            AttemptResult::Neutral
        } else {
            AttemptResult::Failed
        };
        (next, result, name, None)
    }
}

/// End of a request after two attempts: an answer that is there is delivered, and after an attempt that
/// may have run nothing may say that the request was not run.
fn better(
    before: Result<Answer, Refusal>,
    newer: Result<Answer, Refusal>,
) -> Result<Answer, Refusal> {
    match (&before, &newer) {
        (Ok(_) | Err(Refusal::OutcomeUnknown), Err(_)) => before,
        _ => newer,
    }
}

type Sending = (Next, AttemptResult, &'static str, Option<BackendConnection>);

fn not_sent(name: &'static str, result: AttemptResult) -> Sending {
    let next = Next::Another {
        otherwise: Err(Refusal::NotRun),
        arrived: false,
        may_have_run: false,
    };
    (next, result, name, None)
}

const fn refused_unrun() -> Next {
    Next::Another {
        otherwise: Err(Refusal::NotRun),
        arrived: true,
        may_have_run: false,
    }
}
