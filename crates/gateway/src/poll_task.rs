//! Follows the coordinators: reports this gateway, and takes configuration, backend servers and evidence.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::{Keep, boot_clock, incarnation};
use radishpaddle_model::{GatewayPresence, name_hash};
use radishpaddle_wire::message::{Hello, request};
use radishpaddle_wire::{
    ClientIdentity, GatewayPoll, PROTOCOL_VERSION, PeerClient, PeerSecurity, PollReply, WireError,
};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway::Shared;

/// Time without an answer after which a coordinator counts as lost. An answer is held back for 100 ms and
/// may wait for a proof for a few times as long.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// The same for the first poll at a coordinator, whose answer is many times larger.
const WHOLE_TABLE_LIMIT: Duration = Duration::from_secs(1);

/// Time for which a coordinator that was lost is asked only when there is no other one.
const AVOID_FOR: Duration = Duration::from_secs(4);

/// Shortest time between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a coordinator that does not answer, before the next one is asked.
const FAILED_PAUSE: Duration = Duration::from_millis(30);

/// Age of a proof above which another coordinator is asked.
const OLD_PROOF: Duration = Duration::from_millis(1_200);

/// Starts the task.
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
        known: Known::default(),
        reachable: true,
        shared,
    };
    tokio::spawn(task.run());
}

/// Positions of the newest answer.
#[derive(Default)]
struct Known {
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
    coordinators: Vec<(SocketAddr, Option<Arc<str>>)>,
    lost_at: HashMap<SocketAddr, Instant>,
    client: Option<PeerClient>,
    sequence: u64,
    known: Known,
    reachable: bool,
}

impl PollTask {
    async fn run(mut self) {
        loop {
            let started_at = Instant::now();
            let sent_at = boot_clock::now();
            let client = self.client();
            let address = client.address();
            let poll = self.poll(false);
            match self.exchange(client, &poll).await {
                Ok(Some(reply)) => self.take(&poll, reply, sent_at, address),
                Ok(None) => self.lost(address, "no content in the answer"),
                Err(error) => {
                    self.lost(address, &error.to_string());
                    sleep(FAILED_PAUSE).await;
                }
            }
            self.update_metrics();
            sleep_until(started_at + POLL_PAUSE).await;
        }
    }

    /// Waits for the answer to a poll, and reports failures meanwhile.
    async fn exchange(
        &mut self,
        client: PeerClient,
        poll: &GatewayPoll,
    ) -> Result<Option<PollReply>, WireError> {
        let limit = if poll.coordinator == 0 {
            WHOLE_TABLE_LIMIT
        } else {
            LOST_AFTER
        };
        let answer = client.exchange(request::Kind::GatewayPoll, poll, limit);
        tokio::pin!(answer);
        let mut reported_at = Instant::now();
        loop {
            let urgent = async {
                self.shared.urgent.notified().await;
                // Failures come in groups, and each report costs both sides.
                sleep_until(reported_at + POLL_PAUSE).await;
            };
            tokio::select! {
                result = &mut answer => return result,
                () = urgent => (),
            }
            reported_at = Instant::now();
            self.report(client.clone());
        }
    }

    /// Reports failures beside the poll that waits. Replacing the poll would have its answer sent twice, and a large
    /// configuration would fill a slow link with copies.
    fn report(&mut self, client: PeerClient) {
        let report = self.poll(true);
        tokio::spawn(async move {
            let sent = client.exchange(request::Kind::GatewayPoll, &report, LOST_AFTER);
            // The poll beside it notices a coordinator that does not answer.
            let _: Result<Option<PollReply>, WireError> = sent.await;
        });
    }

    fn update_metrics(&self) {
        let metrics = &self.shared.metrics;
        metrics.fresh.set(self.shared.is_fresh().into());
        let dropped = i64::try_from(self.shared.log.dropped()).unwrap_or(i64::MAX);
        metrics.log_dropped.set(dropped);
    }

    /// Client of the coordinator that this gateway should ask now.
    fn client(&mut self) -> PeerClient {
        let address = self.preferred();
        if let Some(client) = &self.client
            && client.address() == address
        {
            return client.clone();
        }
        let client = PeerClient::spawn(address, self.identity.clone());
        self.client = Some(client.clone());
        self.known = Known::default();
        client
    }

    /// Of the coordinators that were not lost lately, one in the own availability zone. Rendezvous hashing
    /// spreads the gateways over them.
    fn preferred(&self) -> SocketAddr {
        let settings = &self.shared.settings;
        let rank = |(address, zone): &(SocketAddr, Option<Arc<str>>)| {
            let lost_at = self.lost_at.get(address);
            let lost_for = lost_at
                .map(Instant::elapsed)
                .filter(|lost| *lost < AVOID_FOR);
            let far = zone.as_ref() != Some(&settings.zone);
            let hash = name_hash(&format!("{}{address}", settings.instance));
            // Of those that were lost lately, the one that was lost first.
            (lost_for.is_some(), std::cmp::Reverse(lost_for), far, hash)
        };
        let preferred = self.coordinators.iter().min_by_key(|known| rank(known));
        preferred.map_or(settings.contacts[0], |(address, _)| *address)
    }

    fn poll(&mut self, report_only: bool) -> GatewayPoll {
        let settings = &self.shared.settings;
        self.sequence += 1;
        let (crashes, answered) = self.shared.report_crashes(self.known.coordinator == 0);
        GatewayPoll {
            report_only,
            crashes,
            answered,
            suspects_position: self.known.suspects_position,
            presence: GatewayPresence {
                instance: Arc::clone(&settings.instance),
                incarnation: self.incarnation,
                sequence: self.sequence,
                address: settings.callers_listen,
                zone: Arc::clone(&settings.zone),
                ready: self.shared.is_ready(),
                demand: self.shared.own_demand(),
            },
            evidence: self.shared.take_evidence(),
            coordinator: self.known.coordinator,
            table_position: self.known.table_position,
            evidence_position: self.known.evidence_position,
            config_version: self.shared.table().config().version,
            applied_index: self.known.applied_index,
        }
    }

    fn take(
        &mut self,
        poll: &GatewayPoll,
        mut reply: PollReply,
        sent_at: Duration,
        address: SocketAddr,
    ) {
        self.shared
            .acknowledge_crashes(&poll.crashes, &poll.answered);
        if let Some(list) = reply.suspects.take() {
            let continued = poll.coordinator == reply.coordinator;
            self.shared.set_suspects(list, continued);
        }
        self.known = Known {
            coordinator: reply.coordinator,
            table_position: reply.table_position,
            evidence_position: reply.evidence_position,
            applied_index: reply.applied_index,
            suspects_position: reply.suspects_position,
        };
        if !reply.coordinators.is_empty() {
            self.coordinators.clone_from(&reply.coordinators);
        }
        let proof_age = reply.proof_age_ms;
        let is_old = proof_age.is_none_or(|age| Duration::from_millis(age.into()) > OLD_PROOF);
        self.shared.apply(reply, sent_at);
        if is_old {
            self.lost(address, "no recent proof");
        } else if !self.reachable {
            self.reachable = true;
            self.shared.log.record(
                "coordinator_regained",
                Keep::Each,
                || json!({"coordinator": address, "proof_age_ms": proof_age}),
            );
        }
    }

    /// Turns to the next coordinator. An open connection may be silent for good, so it is closed.
    fn lost(&mut self, address: SocketAddr, reason: &str) {
        self.client = None;
        self.known = Known::default();
        self.lost_at.insert(address, Instant::now());
        if self.reachable {
            self.reachable = false;
            let proof_age = self.shared.proof_age();
            self.shared.log.record("coordinator_lost", Keep::Each, || {
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
