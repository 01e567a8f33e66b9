//! Second copies of requests whose answers are late.

use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::hedge::HedgeQuery;
use tokio::time::{Instant, sleep};

use crate::attempt::{CopyEnd, RequestPlan};
use crate::attempt_record::AttemptRecord;
use crate::next_step::NextStep;
use crate::pool::ChosenServer;
use crate::server::AttemptResult;

/// Period in which a late request is checked again for a second copy that was not permitted before.
const HEDGE_RECHECK_PERIOD: Duration = Duration::from_millis(100);

/// What came first: the end of the first copy, or the time for a second one.
enum FirstCopy {
    Ended(CopyEnd),
    Hedged(ChosenServer),
}

impl RequestPlan {
    /// Makes an attempt. If the answer of an idempotent request is late and a hedge is permitted, sends a second copy to
    /// another server; the first answer wins and the other copy is cancelled. Returns the next step and the number of
    /// second copies.
    pub(crate) async fn attempt_with_hedge(
        &self,
        chosen: ChosenServer,
        runs: u32,
        excluded: &mut Vec<Arc<str>>,
        attempts: &mut Vec<AttemptRecord>,
    ) -> (NextStep, u32) {
        let started_at = Instant::now();
        let mut first_record = AttemptRecord::new(&chosen);
        let first_server = chosen.server.clone();
        let first = self.attempt(chosen);
        tokio::pin!(first);
        let second = match self.wait_for_hedge(first.as_mut(), runs, excluded).await {
            FirstCopy::Ended((next, record)) => {
                attempts.push(record);
                return (next, 0);
            }
            FirstCopy::Hedged(second) => second,
        };
        excluded.push(Arc::clone(&second.server.name));
        let mut second_record = AttemptRecord::new(&second);
        let hedged_at = Instant::now();
        let second = self.attempt(second);
        tokio::pin!(second);
        let (next, record, other_record) = tokio::select! {
            (next, record) = &mut first => {
                if matches!(next, NextStep::Finish(Ok(_))) {
                    second_record.cancel(hedged_at);
                    (next, record, second_record)
                } else {
                    let (newer, other) = second.await;
                    (next.followed_by(newer), record, other)
                }
            }
            (next, record) = &mut second => {
                if matches!(next, NextStep::Finish(Ok(_))) {
                    self.record_overtaken(&first_server, started_at);
                    first_record.cancel(started_at);
                    (next, record, first_record)
                } else {
                    let (newer, other) = first.await;
                    (next.followed_by(newer), record, other)
                }
            }
        };
        attempts.extend([record, other_record]);
        (next, 1)
    }

    /// Waits until the first copy ends or a second copy may be sent.
    async fn wait_for_hedge(
        &self,
        mut first: impl Future<Output = CopyEnd> + Unpin,
        runs: u32,
        excluded: &[Arc<str>],
    ) -> FirstCopy {
        let started_at = Instant::now();
        let mut terms = self.terms(started_at);
        let delay = self.shared.hedge_delay(&self.rule, terms.as_ref());
        let may_hedge = self.rule.idempotent && runs + 1 < self.rule.max_attempts;
        let Some(mut delay) = delay.filter(|_| may_hedge) else {
            return FirstCopy::Ended(first.await);
        };
        loop {
            tokio::select! {
                ended = &mut first => return FirstCopy::Ended(ended),
                () = sleep(delay) => (),
            }
            let query = HedgeQuery {
                idempotent: self.rule.idempotent,
                objective: Some(Duration::from_millis(self.rule.objective_ms)),
                elapsed: started_at.elapsed(),
                remaining: self.remaining(),
                attempts: runs + 1,
                in_flight: 0,
                slots: 0,
                other_server_free: false,
            };
            let shared = &self.shared;
            let (rule, service) = (&self.rule, &self.service);
            let second = shared.choose_hedge(rule, service, self.urgency, query, excluded, terms);
            if let Some(second) = second {
                return FirstCopy::Hedged(second);
            }
            if terms.is_none() {
                return FirstCopy::Ended(first.await);
            }
            // The load may have dropped, or the server may meanwhile count as silent.
            terms = self.terms(started_at);
            delay = HEDGE_RECHECK_PERIOD;
        }
    }

    /// Counts a copy that was overtaken by a later one against its server, unless it was counted as overdue before.
    fn record_overtaken(&self, server: &ServerIncarnation, started_at: Instant) {
        if started_at.elapsed() < self.shared.slow_after(&self.rule.name) {
            self.shared.record_result(server, AttemptResult::Failed);
        }
    }
}
