//! Freshness proofs: a read-index round of the replicated log proves that the local state contains every
//! command acknowledged before the round began. Concurrent callers share one round.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use radishpaddle_consensus::Role;
use radishpaddle_kernel::boot_clock;
use radishpaddle_replication::ReplicaHandle;
use radishpaddle_wire::message::{Empty, request};
use radishpaddle_wire::{ClientIdentity, PeerClient, decode_response};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::state::CoordinatorState;

/// Timeout of one proof round, after which the proof has failed.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Age of the newest proof after which the next poll starts a new round.
pub const PROOF_PERIOD: Duration = Duration::from_millis(150);

/// Maximum number of callers that wait for the next proof round.
const MAX_WAITING_CALLERS: usize = 4_096;

/// Handle to the task that runs proof rounds.
#[derive(Clone)]
pub struct Confirmer {
    /// Queue of reply channels of the callers that wait for the next round.
    waiting: mpsc::Sender<oneshot::Sender<bool>>,
    /// Local time at which the newest successful proof round began.
    proved_at: Arc<Mutex<Option<Duration>>>,
}

impl Confirmer {
    /// Starts the task that runs proof rounds.
    #[must_use]
    pub fn spawn(replica: ReplicaHandle<CoordinatorState>, leader: LeaderClient) -> Self {
        let (waiting, receiver) = mpsc::channel(MAX_WAITING_CALLERS);
        let proved_at = Arc::default();
        tokio::spawn(run(replica, leader, receiver, Arc::clone(&proved_at)));
        Self { waiting, proved_at }
    }

    /// Returns the age of the newest proof, or `None` before the first one. Starts a new round without waiting
    /// for it when the proof is older than [`PROOF_PERIOD`].
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        let proved_at = *self
            .proved_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let age = proved_at.map(|at| boot_clock::now().saturating_sub(at));
        if age.is_none_or(|age| age > PROOF_PERIOD) {
            // The result is not awaited. If the queue is full, a round is already pending.
            let _ = self.waiting.try_send(oneshot::channel().0);
        }
        age
    }

    /// Waits until the local state contains every command acknowledged before the call. Returns `false` if
    /// this is not proved within two proof timeouts: the current round and the one for this call.
    pub async fn confirm(&self) -> bool {
        let (reply, result) = oneshot::channel();
        if self.waiting.try_send(reply).is_err() {
            return false;
        }
        matches!(timeout(CONFIRM_TIMEOUT * 2, result).await, Ok(Ok(true)))
    }
}

async fn run(
    replica: ReplicaHandle<CoordinatorState>,
    leader: LeaderClient,
    mut waiting: mpsc::Receiver<oneshot::Sender<bool>>,
    proved_at: Arc<Mutex<Option<Duration>>>,
) {
    while let Some(first) = waiting.recv().await {
        let mut batch = vec![first];
        while let Ok(next) = waiting.try_recv() {
            batch.push(next);
        }
        let started_at = boot_clock::now();
        let proved = timeout(CONFIRM_TIMEOUT, run_round(&replica, &leader)).await;
        let proved = proved == Ok(Some(()));
        if proved {
            *proved_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(started_at);
        }
        for reply in batch {
            let _ = reply.send(proved);
        }
    }
}

/// Runs one round: obtains a read index and waits until the view contains it. The view never falls back behind it.
async fn run_round(replica: &ReplicaHandle<CoordinatorState>, leader: &LeaderClient) -> Option<()> {
    let index = if replica.view().role == Role::Leader {
        replica.read_confirmed().await.ok()?.index
    } else {
        leader.read_index(replica).await?
    };
    // The proof covers what the view shows, and a confirmed read may be answered before the view is updated.
    let mut view = replica.watch();
    let reached = view.wait_for(|view| view.applied_index >= index).await;
    reached.ok().map(|_| ())
}

/// Client for calls to the leader of the coordinator group.
#[derive(Clone)]
pub struct LeaderClient {
    identity: ClientIdentity,
    current: Arc<Mutex<Option<LeaderConnection>>>,
}

/// Peer address of a leader and the client connected to it.
type LeaderConnection = (Arc<str>, PeerClient);

impl LeaderClient {
    /// Creates a client. It connects to the leader on first use.
    #[must_use]
    pub fn new(identity: ClientIdentity) -> Self {
        Self {
            identity,
            current: Arc::default(),
        }
    }

    /// Returns a client of the current leader, or `None` if no leader is known. Reuses the connection while
    /// the leader stays the same.
    #[must_use]
    pub fn connect(&self, replica: &ReplicaHandle<CoordinatorState>) -> Option<PeerClient> {
        let leader = replica.view().leader?;
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((address, client)) = &*current
            && *address == leader
        {
            return Some(client.clone());
        }
        let address: SocketAddr = leader.parse().ok()?;
        let client = PeerClient::spawn(address, self.identity.clone());
        *current = Some((leader, client.clone()));
        Some(client)
    }

    /// Drops the connection, so that the next call opens a new one. Called after a failed call, because an
    /// established connection may never deliver anything again.
    pub fn disconnect(&self) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn read_index(&self, replica: &ReplicaHandle<CoordinatorState>) -> Option<u64> {
        let client = self.connect(replica)?;
        let call = client.call(request::Kind::ReadIndex(Empty {}), CONFIRM_TIMEOUT / 2);
        match call.await.and_then(decode_response) {
            Ok(index) => Some(index),
            Err(error) => {
                log::debug!("coordinator: read index request to the leader failed: {error}");
                self.disconnect();
                None
            }
        }
    }
}
