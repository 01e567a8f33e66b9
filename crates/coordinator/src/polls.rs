//! Handling of the long polls of gateways.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::{LogSampling, boot_clock};
use radishpaddle_wire::message::{LimitLevel, PollExtension, PollReplyExtension};
use radishpaddle_wire::{FEATURES, GatewayPoll, PollReply, ServerUpdate};
use serde_json::json;
use tokio::time::{Instant, timeout};

use crate::coordinator::Coordinator;
use crate::soft_state::SoftState;

/// Maximum time for which a poll is held open while there are no updates for the gateway.
const POLL_HOLD_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay between the first update and the reply to a held poll, so that one reply carries several updates.
const UPDATE_BATCH_DELAY: Duration = Duration::from_millis(25);

/// Age of the newest freshness proof above which a poll waits for a new one.
const MAX_PROOF_AGE: Duration = Duration::from_millis(600);

/// Maximum time for which a poll waits for a new freshness proof.
const PROOF_WAIT_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of heartbeat periods after the start of the coordinator by which every live backend server must have
/// announced itself, so that the table counts as complete.
const COMPLETE_AFTER_HEARTBEATS: u32 = 3;

/// Maximum number of relays in a reply to a gateway that reaches no backend server.
const RELAY_LIMIT: usize = 16;

impl Coordinator {
    /// Handles the poll of a gateway: stores its report and replies as soon as there are updates, or after
    /// `POLL_HOLD_TIMEOUT`. Returns `None` without waiting when the gateway only reports.
    pub async fn poll(
        &self,
        poll: GatewayPoll,
        extension: &PollExtension,
    ) -> Option<(PollReply, PollReplyExtension)> {
        self.shared.metrics.polls.inc();
        let has_failures = poll.evidence.iter().any(|item| item.failed > 0);
        self.report_gateway(&poll, extension);
        let suspects_changed = self.report_crashes(&poll);
        if has_failures || suspects_changed {
            self.notify_polls();
        }
        if poll.report_only {
            return None;
        }
        self.zone_reports()
            .store(&poll.presence.instance, extension, boot_clock::now());
        // Gateways cannot use a reply without a recent freshness proof for long, so wait for a new one.
        if self
            .shared
            .confirmer
            .proof_age()
            .is_none_or(|age| age > MAX_PROOF_AGE)
        {
            let _ = timeout(PROOF_WAIT_TIMEOUT, self.shared.confirmer.confirm()).await;
        }
        let hold_until = Instant::now() + POLL_HOLD_TIMEOUT;
        loop {
            let notified = self.shared.updates.notified();
            if self.has_updates(&poll, extension) {
                tokio::time::sleep(UPDATE_BATCH_DELAY).await;
                break;
            }
            let remaining = hold_until.saturating_duration_since(Instant::now());
            if timeout(remaining, notified).await.is_err() {
                break;
            }
        }
        let mut reply_extension = self.reply_extension(extension);
        let reply = self.reply(&poll, extension, &mut reply_extension);
        Some((reply, reply_extension))
    }

    /// Stores the report in a poll. Evidence is stored even if the demand cannot be completed; the gateway then sends its
    /// whole demand with the next poll.
    fn report_gateway(&self, poll: &GatewayPoll, extension: &PollExtension) {
        let now = boot_clock::now();
        let instance = &poll.presence.instance;
        let mut soft_state = self.soft_state();
        let completed =
            soft_state.complete_report(poll.presence.clone(), extension.demand.as_ref(), now);
        match completed {
            Ok(Some(presence)) => soft_state.report_gateway(presence, &poll.evidence, now),
            Ok(None) => soft_state.report_evidence(instance, &poll.evidence),
            Err(error) => {
                soft_state.report_evidence(instance, &poll.evidence);
                soft_state.count_invalid_report();
                log::warn!("coordinator: report of gateway {instance} refused: {error}");
            }
        }
    }

    fn report_crashes(&self, poll: &GatewayPoll) -> bool {
        let now = boot_clock::now();
        let changed = self
            .soft_state()
            .report_crashes(&poll.crashes, &poll.answered, now);
        if changed {
            let crashes = poll.crashes.iter().map(|crash| crash.request.to_string());
            let crashes: Vec<String> = crashes.collect();
            let answered: Vec<String> = poll.answered.iter().map(ToString::to_string).collect();
            self.shared
                .log
                .record("suspect_requests", LogSampling::Each, || {
                    json!({"gateway": poll.presence.instance, "crashes": crashes,
                           "answered": answered})
                });
        }
        changed
    }

    /// Returns whether this coordinator has updates that the gateway lacks.
    fn has_updates(&self, poll: &GatewayPoll, extension: &PollExtension) -> bool {
        let view = self.shared.replica.view();
        let soft_state = self.soft_state();
        poll.coordinator != self.shared.incarnation
            || poll.table_position != soft_state.table.position()
            || poll.config_version < view.state.version()
            || poll.applied_index < view.applied_index
            || extension.zone_orders < view.state.zone_orders().newest()
            || poll.evidence_position < soft_state.failure_position()
            || poll.suspects_position != soft_state.suspects.position()
    }

    fn reply_extension(&self, poll: &PollExtension) -> PollReplyExtension {
        let view = self.shared.replica.view();
        let config = view.state.config();
        let unknown = config.filter(|stored| stored.config.version != poll.details_version);
        let (zone_orders, zones) = self.zones_after(poll.zone_orders);
        let roster = view.state.roster();
        let names = roster.gateways.iter().map(ToString::to_string);
        PollReplyExtension {
            zone_orders,
            zones,
            roster_number: roster.number,
            roster: if poll.roster_number == roster.number {
                Vec::new()
            } else {
                names.collect()
            },
            features: FEATURES,
            details_version: unknown.map_or(0, |stored| stored.config.version),
            config_details: unknown.map_or_else(Vec::new, |stored| {
                serde_json::to_vec(&stored.details).unwrap_or_default()
            }),
            ..PollReplyExtension::default()
        }
    }

    fn reply(
        &self,
        poll: &GatewayPoll,
        extension: &PollExtension,
        reply_extension: &mut PollReplyExtension,
    ) -> PollReply {
        let instance = &*poll.presence.instance;
        let proof_age = self.shared.confirmer.proof_age();
        let proof_age_ms = proof_age.and_then(|age| u32::try_from(age.as_millis()).ok());
        let view = self.shared.replica.view();
        let mut soft_state = self.soft_state();
        // Positions are valid only for the incarnation that issued them.
        let full = poll.coordinator != self.shared.incarnation || poll.table_position == 0;
        let position = if full { 0 } else { poll.table_position };
        let (changed, removed) = soft_state.table.changes_since(position);
        let servers = changed.into_iter().map(|entry| ServerUpdate {
            presence: entry.presence.clone(),
            silent: entry.silent,
        });
        let servers: Vec<ServerUpdate> = servers.collect();
        let config = view.state.config();
        let newer_config = config.filter(|stored| stored.config.version > poll.config_version);
        let evidence_position = if full {
            soft_state.evidence_position()
        } else {
            poll.evidence_position
        };
        let now = boot_clock::now();
        let levels = &mut soft_state.levels;
        let organisations = config.map_or(&[][..], |stored| &stored.config.organisations);
        levels.set_limits(
            view.state.version(),
            organisations,
            proof_age.is_some(),
            now,
        );
        if poll.config_version == 0 && self.shared.settings.hand_over_limits {
            reply_extension.levels = limit_levels(levels.tokens(now));
        }
        let held_position = if full { 0 } else { extension.totals_position };
        let extension = PollExtension {
            totals_position: held_position,
            ..extension.clone()
        };
        let (demand, own_demand) =
            soft_state.reply_demand(&poll.presence, &extension, reply_extension, now);
        let relays = if poll.presence.reaches_servers {
            Vec::new()
        } else {
            soft_state.relays(instance, &poll.presence.zone, RELAY_LIMIT, now)
        };
        let complete_after =
            Duration::from_millis(self.shared.settings.heartbeat_ms) * COMPLETE_AFTER_HEARTBEATS;
        let log_changed = full || poll.applied_index != view.applied_index;
        PollReply {
            coordinator: self.shared.incarnation,
            proof_age_ms,
            complete: self.shared.started_at.elapsed() >= complete_after,
            whole: full,
            table_position: soft_state.table.position(),
            servers,
            removed: if full { Vec::new() } else { removed },
            retired: log_changed.then(|| view.state.retirements().cloned().collect()),
            applied_index: view.applied_index,
            evidence_position: soft_state.evidence_position(),
            evidence: soft_state.evidence_since(evidence_position, instance),
            suspects: (full || poll.suspects_position != soft_state.suspects.position())
                .then(|| soft_state.suspects.list()),
            suspects_position: soft_state.suspects.position(),
            config_version: view.state.version(),
            config: newer_config.map(|stored| Arc::new(stored.config.clone())),
            demand: demand.organisations,
            unknown_gateways: demand.unknown_gateways,
            own_demand,
            gateways: demand.gateways,
            relays,
            coordinators: self.coordinators_with_zones(&soft_state),
        }
    }

    /// Returns the peer addresses of the group's members, each with its availability zone if known.
    fn coordinators_with_zones(
        &self,
        soft_state: &SoftState,
    ) -> Vec<(SocketAddr, Option<Arc<str>>)> {
        let settings = &self.shared.settings;
        let zone = |address: &SocketAddr| {
            if *address == settings.peer_listen {
                Some(Arc::clone(&settings.zone))
            } else {
                soft_state.zone_of(address)
            }
        };
        let addresses = self.coordinators().into_iter();
        addresses.map(|address| (address, zone(&address))).collect()
    }
}

fn limit_levels(tokens: Vec<(Arc<str>, f64)>) -> Vec<LimitLevel> {
    let levels = tokens.into_iter().map(|(organisation, tokens)| LimitLevel {
        organisation: organisation.to_string(),
        tokens,
    });
    levels.collect()
}
