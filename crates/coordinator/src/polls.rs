//! Answers to the polls of gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::{Keep, boot_clock};
use radishpaddle_wire::{GatewayPoll, PollReply, ServerNews};
use serde_json::json;
use tokio::time::{Instant, timeout};

use crate::board::Board;
use crate::coordinator::Coordinator;

/// Longest time that the poll of a gateway waits for news.
const POLL_HOLD: Duration = Duration::from_millis(100);

/// Pause after news before a poll is answered, so that one answer carries several items.
const NEWS_PAUSE: Duration = Duration::from_millis(25);

/// Age of a proof above which a poll waits for a new one.
const OLD_PROOF: Duration = Duration::from_millis(600);

/// Longest time that a poll waits for a proof.
const PROOF_WAIT: Duration = Duration::from_millis(250);

/// Heartbeat periods after the start until every backend server was heard.
const COMPLETE_AFTER_PERIODS: u32 = 3;

impl Coordinator {
    /// Answers the poll of a gateway, at once when there is news and otherwise after a while; nothing when the gateway
    /// only reports.
    pub async fn poll(&self, poll: GatewayPoll) -> Option<PollReply> {
        self.shared.metrics.polls.inc();
        let has_failures = poll.evidence.iter().any(|item| item.failed > 0);
        self.board()
            .report(poll.presence.clone(), &poll.evidence, boot_clock::now());
        let suspects_changed = self.report_crashes(&poll);
        if has_failures || suspects_changed {
            self.shared.news.notify_waiters();
        }
        if poll.report_only {
            return None;
        }
        // An answer without a recent proof is of little use, so it waits for one.
        if self
            .shared
            .confirmer
            .proof_age()
            .is_none_or(|age| age > OLD_PROOF)
        {
            let _ = timeout(PROOF_WAIT, self.shared.confirmer.confirm()).await;
        }
        let hold_until = Instant::now() + POLL_HOLD;
        loop {
            let notified = self.shared.news.notified();
            if self.has_news(&poll) {
                tokio::time::sleep(NEWS_PAUSE).await;
                break;
            }
            let left = hold_until.saturating_duration_since(Instant::now());
            if timeout(left, notified).await.is_err() {
                break;
            }
        }
        Some(self.reply(&poll))
    }

    fn report_crashes(&self, poll: &GatewayPoll) -> bool {
        let now = boot_clock::now();
        let changed = self
            .board()
            .report_crashes(&poll.crashes, &poll.answered, now);
        if changed {
            let crashes = poll.crashes.iter().map(|crash| crash.request.to_string());
            let crashes: Vec<String> = crashes.collect();
            let answered: Vec<String> = poll.answered.iter().map(ToString::to_string).collect();
            self.shared.log.record("suspect_requests", Keep::Each, || {
                json!({"gateway": poll.presence.instance, "crashes": crashes,
                           "answered": answered})
            });
        }
        changed
    }

    fn has_news(&self, poll: &GatewayPoll) -> bool {
        let view = self.shared.replica.view();
        let board = self.board();
        poll.coordinator != self.shared.incarnation
            || poll.table_position != board.table.position()
            || poll.config_version < view.state.version()
            || poll.applied_index < view.applied_index
            || poll.evidence_position < board.failure_position()
            || poll.suspects_position != board.suspects.position()
    }

    fn reply(&self, poll: &GatewayPoll) -> PollReply {
        let instance = &*poll.presence.instance;
        let proof_age = self.shared.confirmer.proof_age();
        let proof_age_ms = proof_age.and_then(|age| u32::try_from(age.as_millis()).ok());
        let view = self.shared.replica.view();
        let board = self.board();
        let whole = poll.coordinator != self.shared.incarnation || poll.table_position == 0;
        let position = if whole { 0 } else { poll.table_position };
        let (changed, removed) = board.table.since(position);
        let servers = changed.into_iter().map(|entry| ServerNews {
            presence: entry.presence.clone(),
            silent: entry.silent,
        });
        let config = view.state.config();
        let newer = config.filter(|stored| stored.config.version > poll.config_version);
        let evidence_position = if whole {
            board.evidence_position()
        } else {
            poll.evidence_position
        };
        let (demand, gateways) = board.demand(boot_clock::now());
        let complete_after =
            Duration::from_millis(self.shared.settings.heartbeat_ms) * COMPLETE_AFTER_PERIODS;
        let moved = whole || poll.applied_index != view.applied_index;
        PollReply {
            coordinator: self.shared.incarnation,
            proof_age_ms,
            complete: self.shared.started_at.elapsed() >= complete_after,
            whole,
            table_position: board.table.position(),
            servers: servers.collect(),
            removed: if whole { Vec::new() } else { removed },
            retired: moved.then(|| view.state.retirements().cloned().collect()),
            applied_index: view.applied_index,
            evidence_position: board.evidence_position(),
            evidence: board.evidence_since(evidence_position, instance),
            suspects: (whole || poll.suspects_position != board.suspects.position())
                .then(|| board.suspects.list()),
            suspects_position: board.suspects.position(),
            config_version: view.state.version(),
            config: newer.map(|stored| Arc::new(stored.config.clone())),
            demand,
            own_demand: board.demand_of(instance),
            gateways,
            coordinators: self.coordinators_with_zones(&board),
        }
    }

    fn coordinators_with_zones(&self, board: &Board) -> Vec<(SocketAddr, Option<Arc<str>>)> {
        let settings = &self.shared.settings;
        let zone = |address: &SocketAddr| {
            if *address == settings.peer_listen {
                Some(Arc::clone(&settings.zone))
            } else {
                board.zone_of(address)
            }
        };
        let addresses = self.coordinators().into_iter();
        addresses.map(|address| (address, zone(&address))).collect()
    }
}
