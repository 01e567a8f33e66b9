//! Polls the coordinators: reports the state of this gateway, and applies the configuration, backend servers and
//! evidence in their replies.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::{LogSampling, boot_clock, incarnation};
use radishpaddle_model::{GatewayPresence, name_hash};
use radishpaddle_wire::message::{Hello, PollExtension, PollReplyExtension, request};
use radishpaddle_wire::{
    ClientIdentity, FEATURES, GatewayPoll, PROTOCOL_VERSION, PeerClient, PeerSecurity, PollReply,
    WireError,
};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::demand_reports::DemandReports;
use crate::gateway::Shared;

/// Time without a reply to a poll after which a coordinator counts as lost. A coordinator holds a reply back for
/// 100 ms and may wait for a freshness proof for a few times as long.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of the first poll at a coordinator, whose reply holds the whole table and is many times larger.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the loss of a coordinator for which it is polled only when all others were lost as well.
const LOST_BACKOFF: Duration = Duration::from_secs(4);

/// Minimum time between the starts of two polls, and between two reports during a poll.
const MIN_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Delay between a failed poll and the poll of the next coordinator.
const FAILOVER_DELAY: Duration = Duration::from_millis(30);

/// Age of the freshness proof in a reply above which another coordinator is polled.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1_200);

/// Starts the task that polls the coordinators.
pub fn spawn(shared: Arc<Shared>) {
    let incarnation = incarnation::from_wall_clock().0;
    let settings = &shared.settings;
    let identity = ClientIdentity {
        hello: Hello {
            fleet: settings.fleet.to_string(),
            instance: settings.instance.to_string(),
            incarnation,
            protocol_version: PROTOCOL_VERSION,
        },
        security: PeerSecurity::Plain,
    };
    let task = PollTask {
        incarnation,
        coordinators: settings
            .contacts
            .iter()
            .map(|contact| (*contact, None))
            .collect(),
        lost_at: HashMap::new(),
        client: None,
        identity,
        sequence: 0,
        positions: Positions::default(),
        demand_reports: DemandReports::default(),
        reachable: true,
        shared,
    };
    tokio::spawn(task.run());
}

/// Positions in the data of a coordinator up to the newest reply; the default values request everything.
#[derive(Default)]
struct Positions {
    /// Identifier of the run of the coordinator process; 0 before its first reply.
    coordinator: u64,
    table_position: u64,
    evidence_position: u64,
    applied_index: u64,
    suspects_position: u64,
}

struct PollTask {
    shared: Arc<Shared>,
    incarnation: u64,
    identity: ClientIdentity,
    /// Peer address and availability zone of each known coordinator.
    coordinators: Vec<(SocketAddr, Option<Arc<str>>)>,
    lost_at: HashMap<SocketAddr, Instant>,
    client: Option<PeerClient>,
    sequence: u64,
    positions: Positions,
    demand_reports: DemandReports,
    /// Whether the newest poll got a reply with a recent freshness proof.
    reachable: bool,
}

impl PollTask {
    async fn run(mut self) {
        loop {
            let started_at = Instant::now();
            let sent_at = boot_clock::now();
            let client = self.preferred_client();
            let address = client.address();
            let (poll, extension) = self.build_poll(false);
            match self.exchange(client, &poll, extension).await {
                Ok((Some(reply), extension)) => {
                    self.apply_reply(&poll, reply, &extension, sent_at, address);
                }
                Ok((None, _)) => self.mark_lost(address, "empty reply to the poll"),
                Err(error) => {
                    self.mark_lost(address, &error.to_string());
                    sleep(FAILOVER_DELAY).await;
                }
            }
            self.update_metrics();
            sleep_until(started_at + MIN_POLL_PERIOD).await;
        }
    }

    /// Sends a poll and waits for the reply; reports failures that occur while it waits.
    async fn exchange(
        &mut self,
        client: PeerClient,
        poll: &GatewayPoll,
        extension: PollExtension,
    ) -> Result<(Option<PollReply>, PollReplyExtension), WireError> {
        let limit = if poll.coordinator == 0 {
            FIRST_POLL_TIMEOUT
        } else {
            POLL_TIMEOUT
        };
        let reply = client.call_with_extension(request::Kind::GatewayPoll, poll, &extension, limit);
        tokio::pin!(reply);
        let mut reported_at = Instant::now();
        loop {
            let report_due = async {
                self.shared.report_now.notified().await;
                // Failures come in groups, and each report costs both sides, so reports are limited.
                sleep_until(reported_at + MIN_POLL_PERIOD).await;
            };
            tokio::select! {
                result = &mut reply => return result,
                () = report_due => (),
            }
            reported_at = Instant::now();
            self.send_report(client.clone());
        }
    }

    /// Reports failures in a separate request while the poll waits. Replacing the poll would cause its reply to be sent
    /// twice, and copies of a large configuration would saturate a slow link.
    fn send_report(&mut self, client: PeerClient) {
        let (report, extension) = self.build_poll(true);
        tokio::spawn(async move {
            let kind = request::Kind::GatewayPoll;
            let sent = client.call_with_extension(kind, &report, &extension, POLL_TIMEOUT);
            // The waiting poll detects a coordinator that does not answer.
            let _: Result<(Option<PollReply>, PollReplyExtension), WireError> = sent.await;
        });
    }

    fn update_metrics(&self) {
        let metrics = &self.shared.metrics;
        metrics.fresh.set(self.shared.is_fresh().into());
        let dropped = i64::try_from(self.shared.log.dropped()).unwrap_or(i64::MAX);
        metrics.log_dropped.set(dropped);
    }

    /// Returns a client of the preferred coordinator; a change of the coordinator resets the positions.
    fn preferred_client(&mut self) -> PeerClient {
        let address = self.preferred_coordinator();
        if let Some(client) = &self.client
            && client.address() == address
        {
            return client.clone();
        }
        let client = PeerClient::spawn(address, self.identity.clone());
        self.client = Some(client.clone());
        self.positions = Positions::default();
        self.demand_reports.reset();
        client
    }

    /// Returns a coordinator that was not lost recently, preferably in the own availability zone. Rendezvous hashing
    /// distributes the gateways over the coordinators.
    fn preferred_coordinator(&self) -> SocketAddr {
        let settings = &self.shared.settings;
        let rank = |(address, zone): &(SocketAddr, Option<Arc<str>>)| {
            let lost_at = self.lost_at.get(address);
            let lost_for = lost_at
                .map(Instant::elapsed)
                .filter(|lost| *lost < LOST_BACKOFF);
            let other_zone = zone.as_ref() != Some(&settings.zone);
            let hash = name_hash(&format!("{}{address}", settings.instance));
            // If all were lost recently, the one whose loss is the longest ago is preferred.
            (
                lost_for.is_some(),
                std::cmp::Reverse(lost_for),
                other_zone,
                hash,
            )
        };
        let preferred = self.coordinators.iter().min_by_key(|known| rank(known));
        preferred.map_or(settings.contacts[0], |(address, _)| *address)
    }

    /// Builds a poll with the state and new evidence of this gateway. With `report_only` the coordinator replies at once
    /// without content.
    fn build_poll(&mut self, report_only: bool) -> (GatewayPoll, PollExtension) {
        let settings = &self.shared.settings;
        self.sequence += 1;
        let own_demand = self.shared.own_demand();
        let (demand, changes) =
            self.demand_reports
                .report(self.sequence, own_demand, boot_clock::now());
        let extension = PollExtension {
            demand: changes,
            totals_position: self.demand_reports.totals_position(),
            ..self.build_extension()
        };
        let (crashes, answered) = self.shared.report_crashes(self.positions.coordinator == 0);
        let poll = GatewayPoll {
            report_only,
            crashes,
            answered,
            suspects_position: self.positions.suspects_position,
            presence: GatewayPresence {
                instance: Arc::clone(&settings.instance),
                incarnation: self.incarnation,
                sequence: self.sequence,
                address: settings.callers_listen,
                zone: Arc::clone(&settings.zone),
                ready: self.shared.is_ready(),
                reaches_servers: !self.shared.is_isolated(),
                demand,
            },
            evidence: self.shared.take_evidence(),
            coordinator: self.positions.coordinator,
            table_position: self.positions.table_position,
            evidence_position: self.positions.evidence_position,
            config_version: self.shared.table().config().version,
            applied_index: self.positions.applied_index,
        };
        (poll, extension)
    }

    fn build_extension(&self) -> PollExtension {
        let (zone_orders, evacuated_requests) = self.shared.zone_report();
        PollExtension {
            zone_orders,
            evacuated_requests,
            roster_number: self.shared.roster_number(),
            features: FEATURES,
            details_version: self.shared.details_version(),
            ..PollExtension::default()
        }
    }

    /// Applies a reply, and marks the coordinator as lost if its freshness proof is too old.
    fn apply_reply(
        &mut self,
        poll: &GatewayPoll,
        mut reply: PollReply,
        extension: &PollReplyExtension,
        sent_at: Duration,
        address: SocketAddr,
    ) {
        let sequence = poll.presence.sequence;
        let completed = self
            .demand_reports
            .complete_reply(sequence, &mut reply, extension);
        if let Err(error) = completed {
            self.shared.metrics.invalid_replies.inc();
            self.mark_lost(address, &error.to_string());
            return;
        }
        self.shared
            .acknowledge_crashes(&poll.crashes, &poll.answered);
        if let Some(list) = reply.suspects.take() {
            let continued = poll.coordinator == reply.coordinator;
            self.shared.set_suspects(list, continued);
        }
        self.positions = Positions {
            coordinator: reply.coordinator,
            table_position: reply.table_position,
            evidence_position: reply.evidence_position,
            applied_index: reply.applied_index,
            suspects_position: reply.suspects_position,
        };
        if !reply.coordinators.is_empty() {
            self.coordinators.clone_from(&reply.coordinators);
        }
        self.shared.set_relays(std::mem::take(&mut reply.relays));
        let proof_age = reply.proof_age_ms;
        let is_stale =
            proof_age.is_none_or(|age| Duration::from_millis(age.into()) > MAX_PROOF_AGE);
        self.shared.apply_poll_reply(reply, extension, sent_at);
        if is_stale {
            self.mark_lost(address, "no recent proof");
        } else if !self.reachable {
            self.reachable = true;
            self.shared.log.record(
                "coordinator_regained",
                LogSampling::Each,
                || json!({"coordinator": address, "proof_age_ms": proof_age}),
            );
        }
    }

    /// Marks a coordinator as lost, so that the next one is polled. The connection is closed, because one that got no
    /// reply in time may never deliver anything.
    fn mark_lost(&mut self, address: SocketAddr, reason: &str) {
        self.client = None;
        self.positions = Positions::default();
        self.demand_reports.reset();
        self.lost_at.insert(address, Instant::now());
        if self.reachable {
            self.reachable = false;
            let proof_age = self.shared.proof_age();
            self.shared
                .log
                .record("coordinator_lost", LogSampling::Each, || {
                    json!({"coordinator": address, "reason": reason,
                       "proof_age_ms": proof_age.map(|age| age.as_millis().to_string())})
                });
        }
        for contact in self.shared.contacts() {
            if self.coordinators.iter().all(|(known, _)| *known != contact) {
                self.coordinators.push((contact, None));
            }
        }
    }
}
