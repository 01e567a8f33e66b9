//! Second copies of requests whose answers are late.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::hedge::{HedgeQuery, stall_limit};
use tokio::time::{Instant, sleep_until};

use crate::answer_progress::AnswerProgress;
use crate::attempt::{CopyEnd, RequestPlan};
use crate::attempt_record::{AttemptRecord, HedgeReason};
use crate::next_step::NextStep;
use crate::pool::ChosenServer;
use crate::server::AttemptResult;

/// Period in which a late request is checked again for a second copy that was not permitted before.
const HEDGE_RECHECK_PERIOD: Duration = Duration::from_millis(100);

/// What came first: the end of the first copy, or the time for a second one.
enum FirstCopy {
    Ended(CopyEnd),
    Hedged(ChosenServer, HedgeReason),
}

/// End of a race between two copies.
enum RaceEnd {
    /// The request ends or goes on with this step.
    Decided(NextStep),
    /// The second copy failed with this step, and the first one goes on.
    SecondFailed(NextStep),
}

/// First copy of a request in flight.
struct CopyInFlight<'a> {
    server: ServerIncarnation,
    record: AttemptRecord,
    progress: &'a AnswerProgress,
    started_at: Instant,
}

/// When a copy in flight may be followed by another one.
#[derive(Debug, Clone, Copy)]
struct HedgeTerms {
    /// Attempts so far that may have run.
    attempts: u32,
    /// Time at which a late answer permits another copy; `None` after a second copy has failed. A stalled answer permits one
    /// at any time.
    hedge_at: Option<Instant>,
    /// Time without a byte after which the answer counts as stalled.
    stall_limit: Duration,
}

impl RequestPlan {
    /// Makes an attempt. If the answer of an idempotent request is late or stalls and a hedge is permitted, sends a second
    /// copy to another server; the first answer wins and the other copy is cancelled. If the second copy fails, the first
    /// one goes on, and may be hedged again when its answer stalls. Returns the next step and the number of further copies.
    pub(crate) async fn attempt_with_hedge(
        &self,
        chosen: ChosenServer,
        runs: u32,
        excluded: &mut Vec<Arc<str>>,
        attempts: &mut Vec<AttemptRecord>,
    ) -> (NextStep, u32) {
        let progress = AnswerProgress::default();
        let copy = CopyInFlight {
            server: chosen.server.clone(),
            record: AttemptRecord::new(&chosen),
            progress: &progress,
            started_at: Instant::now(),
        };
        let first = self.attempt(chosen, &progress);
        tokio::pin!(first);
        let mut hedges = 0;
        let mut failed: Option<NextStep> = None;
        loop {
            let ended = self
                .wait_for_hedge(first.as_mut(), &copy, runs, hedges, excluded)
                .await;
            let (second, reason) = match ended {
                FirstCopy::Ended((next, record)) => {
                    attempts.push(record);
                    return (NextStep::after(failed, next), hedges);
                }
                FirstCopy::Hedged(second, reason) => (second, reason),
            };
            hedges += 1;
            excluded.push(Arc::clone(&second.server.name));
            let ended = self
                .race(first.as_mut(), &copy, second, reason, attempts)
                .await;
            match ended {
                RaceEnd::Decided(next) => return (NextStep::after(failed, next), hedges),
                RaceEnd::SecondFailed(next) => failed = Some(NextStep::after(failed, next)),
            }
        }
    }

    /// Sends a second copy and waits until one of the copies is answered, or the second one fails.
    async fn race(
        &self,
        mut first: impl Future<Output = CopyEnd> + Unpin,
        copy: &CopyInFlight<'_>,
        second: ChosenServer,
        reason: HedgeReason,
        attempts: &mut Vec<AttemptRecord>,
    ) -> RaceEnd {
        let mut second_record = AttemptRecord::new(&second);
        second_record.hedge = Some(reason);
        let hedged_at = Instant::now();
        let progress = AnswerProgress::default();
        let second = self.attempt(second, &progress);
        tokio::pin!(second);
        tokio::select! {
            (next, record) = &mut first => {
                attempts.push(record);
                if next.is_answer() {
                    second_record.cancel(hedged_at);
                    attempts.push(second_record);
                    return RaceEnd::Decided(next);
                }
                let (newer, mut record) = second.await;
                record.hedge = Some(reason);
                attempts.push(record);
                RaceEnd::Decided(next.followed_by(newer))
            }
            (next, mut record) = &mut second => {
                record.hedge = Some(reason);
                attempts.push(record);
                if !next.is_answer() {
                    return RaceEnd::SecondFailed(next);
                }
                self.record_overtaken(&copy.server, copy.started_at);
                let mut first_record = copy.record.clone();
                first_record.cancel(copy.started_at);
                attempts.push(first_record);
                RaceEnd::Decided(next)
            }
        }
    }

    /// Waits until the first copy ends or another copy may be sent.
    async fn wait_for_hedge(
        &self,
        mut first: impl Future<Output = CopyEnd> + Unpin,
        copy: &CopyInFlight<'_>,
        runs: u32,
        hedges: u32,
        excluded: &[Arc<str>],
    ) -> FirstCopy {
        let Some(terms) = self.hedge_terms(copy, runs, hedges) else {
            return FirstCopy::Ended(first.await);
        };
        let mut check_at = terms.hedge_at;
        let mut is_stalled = false;
        loop {
            tokio::select! {
                ended = &mut first => return FirstCopy::Ended(ended),
                () = sleep_until(check_at.unwrap_or(self.deadline)), if check_at.is_some() => (),
                () = copy.progress.stalled(terms.stall_limit), if !is_stalled => (),
            }
            is_stalled = copy.progress.is_stalled(terms.stall_limit);
            if let Some(second) = self.choose_hedge(copy, terms, is_stalled, excluded) {
                let reason = if is_stalled {
                    HedgeReason::Stalled
                } else {
                    HedgeReason::Late
                };
                return FirstCopy::Hedged(second, reason);
            }
            let now = Instant::now();
            // The load may drop, or the server may meanwhile count as silent.
            let recheck = is_stalled || terms.hedge_at.is_some() && self.shared.manages_load();
            check_at = if recheck {
                Some(now + HEDGE_RECHECK_PERIOD)
            } else {
                terms.hedge_at.filter(|at| *at > now)
            };
        }
    }

    /// When a copy in flight may be followed by another one; `None` if it may not.
    fn hedge_terms(&self, copy: &CopyInFlight<'_>, runs: u32, hedges: u32) -> Option<HedgeTerms> {
        let attempts = runs + hedges + 1;
        if !self.rule.idempotent || attempts >= self.rule.max_attempts {
            return None;
        }
        let placed = self.terms(copy.started_at);
        let delay = self.shared.hedge_delay(&self.rule, placed.as_ref())?;
        Some(HedgeTerms {
            attempts,
            hedge_at: (hedges == 0).then_some(copy.started_at + delay),
            stall_limit: stall_limit(self.shared.slow_after(&self.rule.name)),
        })
    }

    /// Selects the server for another copy, if one is permitted now.
    fn choose_hedge(
        &self,
        copy: &CopyInFlight<'_>,
        terms: HedgeTerms,
        is_stalled: bool,
        excluded: &[Arc<str>],
    ) -> Option<ChosenServer> {
        if !is_stalled && terms.hedge_at.is_none() {
            return None;
        }
        let query = HedgeQuery {
            idempotent: self.rule.idempotent,
            objective: Some(Duration::from_millis(self.rule.objective_ms)),
            elapsed: copy.started_at.elapsed(),
            remaining: self.remaining(),
            attempts: terms.attempts,
            in_flight: 0,
            slots: 0,
            other_server_free: false,
            stalled: is_stalled,
        };
        let placed = self.terms(copy.started_at);
        let (rule, service) = (&self.rule, &self.service);
        self.shared
            .choose_hedge(rule, service, self.urgency, query, excluded, placed)
    }

    /// Counts a copy that was overtaken by a later one against its server, unless it was counted as overdue before.
    fn record_overtaken(&self, server: &ServerIncarnation, started_at: Instant) {
        if started_at.elapsed() < self.shared.slow_after(&self.rule.name) {
            self.shared.record_result(server, AttemptResult::Failed);
        }
    }
}
