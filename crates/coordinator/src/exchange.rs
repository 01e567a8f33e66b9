//! Exchange of announcements, gateway reports and evidence between coordinators, in batches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_kernel::boot_clock;
use radishpaddle_wire::message::request;
use radishpaddle_wire::{ClientIdentity, PeerClient, PresenceExchange};
use tokio::time::MissedTickBehavior;

use crate::coordinator::Coordinator;

/// Period of batches. Evidence about failing backend servers waits at most this long.
const PERIOD: Duration = Duration::from_millis(50);

/// Longest wait for the acknowledgement of a batch.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(800);

/// Batches that may be unanswered before a peer counts as unreachable and gets everything again.
const MAX_UNSENT: usize = 40;

/// Starts the task.
pub fn spawn(coordinator: Coordinator, identity: ClientIdentity) {
    tokio::spawn(run(coordinator, identity));
}

struct Peer {
    client: PeerClient,
    /// Life that has everything sent so far; 0 when it needs the whole board.
    life: u64,
    waiting: Vec<PresenceExchange>,
    calls: tokio::task::JoinSet<Option<u64>>,
}

async fn run(coordinator: Coordinator, identity: ClientIdentity) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
    loop {
        ticks.tick().await;
        let now = boot_clock::now();
        let news = {
            let mut board = coordinator.board();
            board.expire(now);
            board.take_unsent()
        };
        let members = coordinator.coordinators();
        peers.retain(|address, _| members.contains(address));
        for address in members {
            if address == coordinator.settings().peer_listen {
                continue;
            }
            let peer = peers.entry(address).or_insert_with(|| Peer {
                client: PeerClient::spawn(address, identity.clone()),
                life: 0,
                waiting: Vec::new(),
                calls: tokio::task::JoinSet::new(),
            });
            peer.advance(&coordinator, &news, &identity);
        }
    }
}

impl Peer {
    fn advance(
        &mut self,
        coordinator: &Coordinator,
        news: &PresenceExchange,
        identity: &ClientIdentity,
    ) {
        while let Some(ended) = self.calls.try_join_next() {
            match ended.ok().flatten() {
                Some(life) if self.life == 0 || self.life == life => self.life = life,
                // Another life has not seen what was sent before; a lost call may be lost too.
                Some(_) => self.life = 0,
                None => {
                    self.life = 0;
                    self.client = PeerClient::spawn(self.client.address(), identity.clone());
                }
            }
        }
        if !news.is_empty() {
            self.waiting.push(news.clone());
        }
        if !self.calls.is_empty() {
            if self.waiting.len() > MAX_UNSENT {
                self.waiting.clear();
                self.life = 0;
            }
            return;
        }
        let batch = if self.life == 0 {
            self.waiting.clear();
            coordinator.board().everything(boot_clock::now())
        } else {
            join(news, std::mem::take(&mut self.waiting))
        };
        if self.life != 0 && batch.is_empty() {
            return;
        }
        let client = self.client.clone();
        self.calls.spawn(async move {
            let sent = client.exchange(request::Kind::PresenceExchange, &batch, EXCHANGE_TIMEOUT);
            sent.await.ok()
        });
    }
}

fn join(sender: &PresenceExchange, parts: Vec<PresenceExchange>) -> PresenceExchange {
    let mut joined = sender.without_content();
    for part in parts {
        joined.servers.extend(part.servers);
        joined.gateways.extend(part.gateways);
        joined.evidence.extend(part.evidence);
        joined.crashes.extend(part.crashes);
        joined.answered.extend(part.answered);
    }
    joined
}
