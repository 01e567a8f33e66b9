//! Follows the coordinators: reports this gateway, and takes configuration, backend servers and evidence.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::{Keep, boot_clock, incarnation};
use radishpaddle_model::{GatewayPresence, server_key};
use radishpaddle_wire::message::{Hello, request};
use radishpaddle_wire::{
    ClientIdentity, GatewayPoll, PROTOCOL_VERSION, PeerClient, PeerSecurity, PollReply, WireError,
};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::gateway::Shared;

/// Longest wait for the answer to a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(900);

/// Shortest time between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a coordinator that does not answer, before the next one is asked.
const FAILED_PAUSE: Duration = Duration::from_millis(50);

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
        coordinators: settings.contacts.clone(),
        next: usize::try_from(server_key(&settings.instance) % 1_009).unwrap_or(0),
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
}

struct PollTask {
    shared: Arc<Shared>,
    incarnation: u64,
    identity: ClientIdentity,
    coordinators: Vec<SocketAddr>,
    next: usize,
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
            let poll = self.poll();
            let client = self.client();
            let address = client.address();
            let exchange = client.exchange(request::Kind::GatewayPoll, &poll, POLL_TIMEOUT);
            let urgent = async {
                self.shared.urgent.notified().await;
                // Failures come in groups, and each poll costs both sides.
                sleep_until(started_at + POLL_PAUSE).await;
            };
            let result: Result<PollReply, WireError> = tokio::select! {
                result = exchange => result,
                () = urgent => continue,
            };
            match result {
                Ok(reply) => self.take(reply, sent_at, address),
                Err(error) => {
                    self.lost(address, &error.to_string());
                    sleep(FAILED_PAUSE).await;
                }
            }
            let fresh = self.shared.is_fresh();
            self.shared.metrics.fresh.set(fresh.into());
            let dropped = i64::try_from(self.shared.log.dropped()).unwrap_or(i64::MAX);
            self.shared.metrics.log_dropped.set(dropped);
            sleep_until(started_at + POLL_PAUSE).await;
        }
    }

    fn client(&mut self) -> PeerClient {
        if let Some(client) = &self.client {
            return client.clone();
        }
        let address = self.coordinators[self.next % self.coordinators.len()];
        let client = PeerClient::spawn(address, self.identity.clone());
        self.client = Some(client.clone());
        client
    }

    fn poll(&mut self) -> GatewayPoll {
        let settings = &self.shared.settings;
        self.sequence += 1;
        GatewayPoll {
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

    fn take(&mut self, reply: PollReply, sent_at: Duration, address: SocketAddr) {
        self.known = Known {
            coordinator: reply.coordinator,
            table_position: reply.table_position,
            evidence_position: reply.evidence_position,
            applied_index: reply.applied_index,
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
            self.shared.log.record("coordinator_regained", Keep::Each, || {
                json!({"coordinator": address, "proof_age_ms": proof_age})
            });
        }
    }

    /// Turns to the next coordinator. An open connection may be silent for good, so it is closed.
    fn lost(&mut self, address: SocketAddr, reason: &str) {
        self.client = None;
        self.known = Known::default();
        self.next = self.next.wrapping_add(1);
        if self.reachable {
            self.reachable = false;
            let proof_age = self.shared.proof_age();
            self.shared.log.record("coordinator_lost", Keep::Each, || {
                json!({"coordinator": address, "reason": reason,
                       "proof_age_ms": proof_age.map(|age| age.as_millis().to_string())})
            });
        }
        for contact in self.shared.contacts() {
            if !self.coordinators.contains(&contact) {
                self.coordinators.push(contact);
            }
        }
    }
}
