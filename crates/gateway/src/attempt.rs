//! Attempts of one request: selects a server, sends the request, and retries at another server when that is
//! safe. The result is a complete answer, or a refusal that states whether the request may have run.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderValue;
use radishpaddle_kernel::boot_clock;
use radishpaddle_model::{Fingerprint, RoutingRule, ServerIncarnation};
use radishpaddle_policy::admission::Ticket;
use radishpaddle_policy::placement::{PlacedWork, RequestTerms};
use radishpaddle_policy::{AnswerSource, Observation, RequestKind, Urgency};
use tokio::time::{Instant, timeout_at};

use crate::answer_check::check_answer;
use crate::answer_progress::AnswerProgress;
use crate::attempt_record::AttemptRecord;
use crate::backend_connection::{
    BackendAnswer, BackendConnection, ConnectFailure, Reception, SendOutcome,
};
use crate::crash_watch::{LostRequest, ObservedCrash};
use crate::forward::ForwardRequest;
use crate::gateway::Shared;
use crate::left_out::LeftOut;
use crate::next_step::{AttemptEnd, AttemptLabel, NextStep, preferred_outcome};
use crate::pool::ChosenServer;
use crate::relay::{Relay, RelayOutcome, RelayRecord};
use crate::response::{CallerResponse, Refusal};
use crate::server::AttemptResult;

/// Maximum number of servers that one request is sent to. It limits requests that each server refuses without
/// running them or that cannot be delivered, which do not count as runs.
const MAX_SERVERS_TRIED: usize = 5;

/// Remaining time below which no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(15);

/// Outcome of a request after all attempts.
pub struct RequestOutcome {
    /// Answer of a backend server, or the refusal for the caller.
    pub answer: Result<CallerResponse, Refusal>,
    /// Attempts in the order in which they were made.
    pub attempts: Vec<AttemptRecord>,
    /// Gateways to which the request was relayed.
    pub relays: Vec<RelayRecord>,
    /// Servers that were left out of the last selection.
    pub left_out: LeftOut,
    /// Local time at which the first server becomes warm, if all are cold.
    pub first_warm_at: Option<Duration>,
}

/// Input for the attempts of one request.
pub struct RequestPlan {
    /// State of the gateway.
    pub shared: Arc<Shared>,
    /// Route of the request.
    pub rule: Arc<RoutingRule>,
    /// Service that the request is routed to.
    pub service: Arc<str>,
    /// Urgency of the request, while load is managed.
    pub urgency: Option<Urgency>,
    /// Admission of the request, while load is managed.
    pub(crate) ticket: Option<Ticket>,
    /// Request as it is forwarded.
    pub request: ForwardRequest,
    /// Time by which the complete answer must have arrived.
    pub deadline: Instant,
}

/// Guard that counts a request as in flight at its server until it is finished or dropped.
struct InFlightGuard<'a> {
    shared: &'a Shared,
    server: &'a ServerIncarnation,
    work: PlacedWork,
    finished: bool,
}

impl InFlightGuard<'_> {
    fn finish(mut self, result: AttemptResult, connection: Option<BackendConnection>) {
        self.finished = true;
        self.shared
            .finish_attempt(self.server, self.work, result, connection);
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            // The caller closed its connection, which says nothing about the server.
            self.shared
                .finish_attempt(self.server, self.work, AttemptResult::Neutral, None);
        }
    }
}

/// Next step after one copy of the request, and its log entry.
pub(crate) type CopyEnd = (NextStep, AttemptRecord);

impl RequestPlan {
    /// Makes attempts until there is a final outcome or no further attempt is permitted.
    pub async fn run(&self) -> RequestOutcome {
        let mut attempts = Vec::new();
        let mut relays = Vec::new();
        let mut excluded: Vec<Arc<str>> = Vec::new();
        let mut runs = 0;
        let mut arrived = false;
        let mut left_out = LeftOut::default();
        let mut first_warm_at = None;
        let mut fallback = Err(Refusal::NoServer);
        let started_at = Instant::now();
        let answer = loop {
            let permitted = attempts.len() < MAX_SERVERS_TRIED && runs < self.rule.max_attempts;
            if !permitted || self.remaining() < MIN_ATTEMPT_TIME {
                break fallback;
            }
            if runs == 0 && relays.is_empty() {
                let relayed = self.relay_if_isolated().await;
                relays = relayed.records;
                if let Some(answer) = relayed.answer {
                    break preferred_outcome(fallback, answer);
                }
            }
            if self.shared.is_quarantined(|| self.fingerprint()) {
                break preferred_outcome(fallback, Err(Refusal::CrashesServers));
            }
            let is_last = runs + 1 >= self.rule.max_attempts;
            let idempotent = self.rule.idempotent;
            let terms = self.terms(started_at);
            let chosen =
                self.shared
                    .choose_server(&self.service, idempotent, is_last, &excluded, terms);
            let chosen = match chosen {
                Ok(chosen) => chosen,
                Err(none) => {
                    left_out = none.left_out;
                    if none.all_paused() {
                        fallback = preferred_outcome(fallback, Err(Refusal::Paused));
                    } else if none.all_cold() {
                        first_warm_at = none.first_warm_at;
                        fallback = preferred_outcome(fallback, Err(Refusal::Cold));
                    } else if none.all_evacuated() {
                        fallback = preferred_outcome(fallback, Err(Refusal::Evacuated));
                    }
                    break fallback;
                }
            };
            if let Some(ticket) = self.ticket {
                self.shared.admission.start(ticket);
            }
            left_out = chosen.left_out;
            if arrived && !self.shared.try_retry(&self.service, self.urgency) {
                self.shared.finish_attempt(
                    &chosen.server,
                    chosen.work,
                    AttemptResult::Neutral,
                    chosen.connection,
                );
                break fallback;
            }
            excluded.push(Arc::clone(&chosen.server.name));
            let (next, hedges) = self
                .attempt_with_hedge(chosen, runs, &mut excluded, &mut attempts)
                .await;
            runs += hedges;
            match next {
                NextStep::Finish(answer) => break preferred_outcome(fallback, answer),
                NextStep::TryAnother {
                    fallback: newer,
                    arrived: arrived_here,
                    may_have_run,
                } => {
                    fallback = preferred_outcome(fallback, newer);
                    arrived |= arrived_here;
                    runs += u32::from(may_have_run);
                }
            }
        };
        RequestOutcome {
            answer,
            attempts,
            relays,
            left_out,
            first_warm_at,
        }
    }

    /// Relays the request if this gateway reaches no backend server.
    async fn relay_if_isolated(&self) -> RelayOutcome {
        if !self.shared.is_isolated() || self.request.is_relayed() {
            return RelayOutcome::default();
        }
        let relay = Relay {
            shared: &self.shared,
            request: &self.request,
            idempotent: self.rule.idempotent,
            deadline: self.deadline,
        };
        relay.run().await
    }

    /// Terms of a placement by expected work; `None` while load is not managed.
    pub(crate) fn terms(&self, started_at: Instant) -> Option<RequestTerms> {
        let objective = Duration::from_millis(self.rule.objective_ms);
        let left = objective.saturating_sub(started_at.elapsed());
        self.shared.request_terms(&self.kind(), left)
    }

    fn kind(&self) -> RequestKind<'_> {
        RequestKind {
            service: &self.service,
            route: &self.rule.name,
            organisation: self.request.organisation(&self.shared.headers),
            body_bytes: self.request.body_bytes(),
        }
    }

    /// Time until the deadline of the request.
    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn fingerprint(&self) -> Fingerprint {
        self.request.fingerprint(&self.shared.headers)
    }

    /// Starts a check whether the server crashed, after the connection was lost with the request in flight.
    fn check_crash(&self, chosen: &ChosenServer, started_at: Instant) {
        let shared = Arc::clone(&self.shared);
        let now = boot_clock::now();
        let lost = LostRequest {
            server: chosen.server.clone(),
            address: chosen.address,
            request_id: self.request.id(&self.shared.headers).map(Into::into),
            crash: ObservedCrash {
                request: self.fingerprint(),
                server_incarnation: chosen.incarnation_key,
                sent_at: now.saturating_sub(started_at.elapsed()),
                ended_at: now,
            },
        };
        tokio::spawn(async move { shared.check_crash(lost).await });
    }

    /// Sends one copy of the request and records the progress of its answer.
    pub(crate) async fn attempt(
        &self,
        mut chosen: ChosenServer,
        progress: &AnswerProgress,
    ) -> CopyEnd {
        let started_at = Instant::now();
        let id = self.request.id(&self.shared.headers);
        chosen.connection = chosen
            .connection
            .filter(|connection| connection.can_identify_answer(id));
        let mut record = AttemptRecord::new(&chosen);
        let in_flight = InFlightGuard {
            shared: &self.shared,
            server: &chosen.server,
            work: chosen.work,
            finished: false,
        };
        let end = match chosen.connection.take() {
            Some(_) if !self.may_leave(&chosen) => left_out(),
            Some(connection) => self.send(connection, &chosen, progress).await,
            None => match self.open(&chosen).await {
                Ok(_) if !self.may_leave(&chosen) => left_out(),
                Ok(connection) => self.send_first(connection, &chosen, progress).await,
                Err(_) => {
                    AttemptEnd::not_sent(AttemptLabel::NotConnected, AttemptResult::NotConnected)
                }
            },
        };
        in_flight.finish(end.result, end.connection);
        match end.label {
            AttemptLabel::ConnectionLost | AttemptLabel::AnswerCut => {
                self.check_crash(&chosen, started_at);
            }
            AttemptLabel::Answered => self.shared.record_answer(|| self.fingerprint()),
            _ => (),
        }
        let label = end.label.as_str();
        self.shared.metrics.record_attempt(&self.service, label);
        record.end(end.label, started_at);
        (end.next, record)
    }

    async fn open(&self, chosen: &ChosenServer) -> Result<BackendConnection, ConnectFailure> {
        let connection = BackendConnection::open(chosen.address, self.remaining()).await;
        match &connection {
            Ok(_) => self.shared.record_connected(),
            Err(_) => self.shared.record_connect_failure(&chosen.server.name),
        }
        connection
    }

    fn may_leave(&self, chosen: &ChosenServer) -> bool {
        self.shared.may_leave(&chosen.server, chosen.permitted_at)
    }

    /// Sends the request over a connection that was just opened, unless the server has said meanwhile that it wants no
    /// new requests.
    async fn send_first(
        &self,
        connection: BackendConnection,
        chosen: &ChosenServer,
        progress: &AnswerProgress,
    ) -> AttemptEnd {
        if self.shared.no_new_requests(&chosen.server).is_none() {
            return self.send(connection, chosen, progress).await;
        }
        left_out().with_connection(Some(connection))
    }

    /// Sends the request over an open connection and classifies the result.
    async fn send(
        &self,
        connection: BackendConnection,
        chosen: &ChosenServer,
        progress: &AnswerProgress,
    ) -> AttemptEnd {
        let server = &chosen.server;
        let request =
            self.request
                .for_attempt(&server.name, self.remaining(), &self.shared.headers);
        let started_at = Instant::now();
        let slow_after = self.shared.slow_after(&self.rule.name);
        let reception = Reception {
            progress: Some(progress),
            ..self.shared.reception()
        };
        let source = AnswerSource::of_connection(server.clone(), connection.opened_at_ms());
        let sending = connection.send(request, reception);
        tokio::pin!(sending);
        let slow_at = (started_at + slow_after).min(self.deadline);
        let mut overdue = false;
        let sent = if let Ok(sent) = timeout_at(slow_at, &mut sending).await {
            Some(sent)
        } else {
            // The slow answer counts against the server but is still delivered if it arrives before the deadline.
            overdue = true;
            self.shared.record_result(server, AttemptResult::Failed);
            timeout_at(self.deadline, &mut sending).await.ok()
        };
        let headers = &self.shared.headers;
        match sent.map(|outcome| check_answer(outcome, headers)) {
            Some(SendOutcome::Answered(mut answer, connection)) => {
                let stated = self.shared.record_intake(source, &answer);
                self.name_server(&mut answer, server);
                if answer.status.is_success() {
                    self.record_times(chosen, &answer, started_at.elapsed(), overdue);
                }
                // A server that asks for a pause is not faulty, and gets requests again when the pause has ended.
                let counted = overdue || stated.pause.is_some();
                self.classify_answer(answer, connection, counted)
            }
            Some(SendOutcome::NotSent) => {
                AttemptEnd::not_sent(AttemptLabel::NotSent, AttemptResult::Neutral)
            }
            Some(SendOutcome::Unknown(failure)) => self.classify_failure(failure, overdue),
            None => {
                let result = if overdue {
                    AttemptResult::Neutral
                } else {
                    AttemptResult::Failed
                };
                let next = NextStep::Finish(Err(Refusal::TimedOut));
                AttemptEnd::new(next, result, AttemptLabel::TimedOut)
            }
        }
    }

    /// Records the service time and the cost of a successful answer. Late answers count for the cost, which would
    /// otherwise never follow a service that has become slower than the limit.
    fn record_times(
        &self,
        chosen: &ChosenServer,
        answer: &BackendAnswer,
        elapsed: Duration,
        overdue: bool,
    ) {
        if !overdue {
            self.shared.record_service_time(&self.rule, elapsed);
        }
        let observed = Observation {
            server: &chosen.server.name,
            elapsed,
            answer_bytes: answer.body.len() as u64,
            in_flight: chosen.in_flight,
            slots: chosen.slots,
        };
        self.shared.record_cost(&self.kind(), &observed);
    }

    /// Names the server in the answer to a relayed request, for the gateway that relayed it.
    fn name_server(&self, answer: &mut BackendAnswer, server: &ServerIncarnation) {
        if !self.request.is_relayed() {
            return;
        }
        let name = &self.shared.headers.served_by;
        answer.headers.remove(name);
        if let Ok(value) = HeaderValue::from_str(&server.to_string()) {
            answer.headers.insert(name.clone(), value);
        }
    }
}

/// End of an attempt whose server said that it wants no new requests before the request was sent.
const fn left_out() -> AttemptEnd {
    AttemptEnd::not_sent(AttemptLabel::LeftOut, AttemptResult::Neutral)
}
