//! Periodic exchange of announcements, gateway reports and evidence between coordinators.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_kernel::boot_clock;
use radishpaddle_wire::message::ExchangeExtension;
use radishpaddle_wire::message::request;
use radishpaddle_wire::{
    ClientIdentity, FEATURE_DEMAND_CHANGES, FEATURES, PeerClient, PresenceExchange, WireError,
};
use tokio::time::MissedTickBehavior;

use crate::coordinator::Coordinator;
use crate::peer_reports::PeerReports;

/// Period in which batches are sent. Bounds the delay of evidence about failing backend servers.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(50);

/// Timeout of the acknowledgement of a batch.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of batches queued for a peer that has not acknowledged the previous one. Beyond it the queue is
/// discarded, and the peer receives the full soft state next.
const MAX_QUEUED_BATCHES: usize = 40;

/// Starts the task that sends the soft state of this coordinator to the others.
pub fn spawn(coordinator: Coordinator, identity: ClientIdentity) {
    tokio::spawn(run(coordinator, identity));
}

struct Peer {
    client: PeerClient,
    /// Incarnation that has received every update so far, or 0 if the peer needs the full soft state.
    synced_incarnation: u64,
    queued: Vec<PresenceExchange>,
    /// Reports of gateways that the peer holds.
    reports: PeerReports,
    /// At most one call, which returns the incarnation and the extension of the peer, or `None` if it failed.
    calls: tokio::task::JoinSet<Option<(u64, ExchangeExtension)>>,
}

async fn run(coordinator: Coordinator, identity: ClientIdentity) {
    let mut ticks = tokio::time::interval(EXCHANGE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
    loop {
        ticks.tick().await;
        let now = boot_clock::now();
        let update = {
            let mut soft_state = coordinator.soft_state();
            soft_state.expire(now);
            soft_state.take_unsent()
        };
        let members = coordinator.coordinators();
        peers.retain(|address, _| members.contains(address));
        for address in members {
            if address == coordinator.settings().peer_listen {
                continue;
            }
            let peer = peers.entry(address).or_insert_with(|| Peer {
                client: PeerClient::spawn(address, identity.clone()),
                synced_incarnation: 0,
                queued: Vec::new(),
                reports: PeerReports::default(),
                calls: tokio::task::JoinSet::new(),
            });
            peer.send_update(&coordinator, &update, &identity);
        }
    }
}

impl Peer {
    fn send_update(
        &mut self,
        coordinator: &Coordinator,
        update: &PresenceExchange,
        identity: &ClientIdentity,
    ) {
        while let Some(ended) = self.calls.try_join_next() {
            match ended.ok().flatten() {
                Some((incarnation, extension))
                    if self.synced_incarnation == 0 || self.synced_incarnation == incarnation =>
                {
                    self.synced_incarnation = incarnation;
                    self.reports.acknowledge(&extension.missing_gateways);
                }
                // The peer has restarted and lost the earlier updates.
                Some(_) => self.synced_incarnation = 0,
                // It is unknown whether the peer received the batch.
                None => {
                    self.synced_incarnation = 0;
                    self.client = PeerClient::spawn(self.client.address(), identity.clone());
                }
            }
        }
        if !update.is_empty() {
            self.queued.push(update.clone());
        }
        if !self.calls.is_empty() {
            if self.queued.len() > MAX_QUEUED_BATCHES {
                self.queued.clear();
                self.synced_incarnation = 0;
            }
            return;
        }
        let now = boot_clock::now();
        let mut batch = if self.synced_incarnation == 0 {
            self.queued.clear();
            self.reports.reset();
            coordinator.soft_state().full_exchange(now)
        } else {
            merge_batches(update, std::mem::take(&mut self.queued))
        };
        if self.synced_incarnation != 0 && batch.is_empty() {
            return;
        }
        let client = self.client.clone();
        let mut extension = ExchangeExtension {
            features: FEATURES,
            ..ExchangeExtension::default()
        };
        let address = client.address();
        if coordinator
            .soft_state()
            .supports(&address, FEATURE_DEMAND_CHANGES)
        {
            let gateways = std::mem::take(&mut batch.gateways);
            (batch.gateways, extension.gateways) = self.reports.split(gateways, now);
        } else {
            self.reports.reset();
        }
        let coordinator = coordinator.clone();
        self.calls.spawn(async move {
            let sent = client.call_with_extension(
                request::Kind::PresenceExchange,
                &batch,
                &extension,
                EXCHANGE_TIMEOUT,
            );
            let acknowledged: Result<(u64, ExchangeExtension), WireError> = sent.await;
            let (incarnation, extension) = acknowledged.ok()?;
            // A peer without updates sends no message of its own.
            let mut soft_state = coordinator.soft_state();
            soft_state.record_features(client.address(), &extension);
            Some((incarnation, extension))
        });
    }
}

fn merge_batches(sender: &PresenceExchange, batches: Vec<PresenceExchange>) -> PresenceExchange {
    let mut merged = sender.empty_from_same_sender();
    for batch in batches {
        merged.servers.extend(batch.servers);
        merged.gateways.extend(batch.gateways);
        merged.evidence.extend(batch.evidence);
        merged.crashes.extend(batch.crashes);
        merged.answered.extend(batch.answered);
    }
    merged
}
