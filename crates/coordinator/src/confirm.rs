//! Proof that the local state contains everything that was acknowledged: the read index of the log.
//! Callers that wait at the same time share one round trip.

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

/// Longest wait for a proof; afterwards the caller learns that there is none.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Age of a proof after which the next poll begins a new one.
pub const PROOF_PERIOD: Duration = Duration::from_millis(150);

/// Callers that may wait for a proof.
const MAX_WAITING: usize = 4_096;

/// Handle to the task that asks for proofs.
#[derive(Clone)]
pub struct Confirmer {
    waiting: mpsc::Sender<oneshot::Sender<bool>>,
    /// Local time at which the newest successful proof began.
    proved_at: Arc<Mutex<Option<Duration>>>,
}

impl Confirmer {
    /// Starts the task.
    #[must_use]
    pub fn spawn(replica: ReplicaHandle<CoordinatorState>, leader: LeaderClient) -> Self {
        let (waiting, receiver) = mpsc::channel(MAX_WAITING);
        let proved_at = Arc::default();
        tokio::spawn(run(replica, leader, receiver, Arc::clone(&proved_at)));
        Self { waiting, proved_at }
    }

    /// Age of the newest proof. Begins a new one when it is older than [`PROOF_PERIOD`].
    #[must_use]
    pub fn proof_age(&self) -> Option<Duration> {
        let proved_at = *self
            .proved_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let age = proved_at.map(|at| boot_clock::now().saturating_sub(at));
        if age.is_none_or(|age| age > PROOF_PERIOD) {
            // Nobody waits for the result itself; a full queue means that a proof is on its way.
            let _ = self.waiting.try_send(oneshot::channel().0);
        }
        age
    }

    /// Waits until the local state contains every change acknowledged before the call. `false` when
    /// that could not be proved in time.
    pub async fn confirm(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        if self.waiting.try_send(reply).is_err() {
            return false;
        }
        matches!(timeout(CONFIRM_TIMEOUT * 2, answer).await, Ok(Ok(true)))
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
        let began_at = boot_clock::now();
        let proved = timeout(CONFIRM_TIMEOUT, confirm_once(&replica, &leader)).await;
        let proved = proved == Ok(Some(()));
        if proved {
            *proved_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(began_at);
        }
        for reply in batch {
            let _ = reply.send(proved);
        }
    }
}

async fn confirm_once(
    replica: &ReplicaHandle<CoordinatorState>,
    leader: &LeaderClient,
) -> Option<()> {
    if replica.view().role == Role::Leader {
        return replica.read_confirmed().await.ok().map(|_| ());
    }
    let index = leader.read_index(replica).await?;
    let mut view = replica.watch();
    let reached = view.wait_for(|view| view.applied_index >= index).await;
    reached.ok().map(|_| ())
}

/// Calls to the coordinator that leads.
#[derive(Clone)]
pub struct LeaderClient {
    identity: ClientIdentity,
    current: Arc<Mutex<Option<LeaderConnection>>>,
}

/// Address of a leader, and the connection to it.
type LeaderConnection = (Arc<str>, PeerClient);

impl LeaderClient {
    /// Client that connects when it is used.
    #[must_use]
    pub fn new(identity: ClientIdentity) -> Self {
        Self {
            identity,
            current: Arc::default(),
        }
    }

    /// Client of the leader, when one is known.
    #[must_use]
    pub fn of(&self, replica: &ReplicaHandle<CoordinatorState>) -> Option<PeerClient> {
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

    /// Drops the connection, so that the next call makes a new one: an open one may be silent for good.
    pub fn reset(&self) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn read_index(&self, replica: &ReplicaHandle<CoordinatorState>) -> Option<u64> {
        let client = self.of(replica)?;
        let call = client.call(request::Kind::ReadIndex(Empty {}), CONFIRM_TIMEOUT / 2);
        match call.await.and_then(decode_response) {
            Ok(index) => Some(index),
            Err(error) => {
                log::debug!("coordinator: the leader gave no read index: {error}");
                self.reset();
                None
            }
        }
    }
}
