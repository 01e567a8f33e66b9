//! Handle to a replica, with its settings, its published view and its commands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use radishpaddle_consensus::{
    GroupHealth, Membership, MembershipChange, Message, ProposeError, ReplicaId, Role,
};
use radishpaddle_storage::{FileSystem, LocalFileSystem};
use radishpaddle_wire::ClientIdentity;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::state::ReplicatedState;
use crate::supervisor::{OpenReplica, ReplicaInputs, Supervisor};

/// Capacity of the queue between the handles and the replica task, in commands.
const COMMAND_QUEUE_CAPACITY: usize = 1024;

/// Maximum time for which a stopping leader waits for its successor. Longer than the 10 ticks of 50 ms after which the
/// leader gives up a transfer.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_millis(600);

/// Reason why a command or read failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaError {
    /// This replica is not the leader.
    NotLeader,
    /// Too many proposals or reads are pending; the command was not proposed.
    Busy,
    /// The encoded command exceeds the size limit of a log entry; it was not proposed.
    TooLarge,
    /// Leadership was lost after the proposal; the command may still be committed.
    Unknown,
    /// The data directory cannot be written.
    StorageFailed,
}

/// Published view of the replica: its role, its group and the state applied so far.
#[derive(Debug, Clone)]
pub struct ReplicaView<S> {
    /// Id of the replica, stored in its data directory.
    pub id: ReplicaId,
    /// Role of this replica in consensus.
    pub role: Role,
    /// Current term of the replica.
    pub term: u64,
    /// Peer address of the leader, if one is known.
    pub leader: Option<Arc<str>>,
    /// Membership of the group, as far as this replica knows it.
    pub membership: Membership,
    /// Health of the group; only the leader knows it.
    pub health: Option<GroupHealth>,
    /// Index of the last log entry that was applied to the state. Never decreases, not even when the data directory is
    /// opened again.
    pub applied_index: u64,
    /// Applied state. On a follower it may lag behind the leader.
    pub state: Arc<S>,
    /// Whether the data directory can be written.
    pub storage_works: bool,
}

impl<S> ReplicaView<S> {
    /// Keeps the state of the previous view as long as it is newer. A replica that was opened again starts with the
    /// state of its snapshot and applies the log anew, and callers rely on what the replica has already shown: a
    /// proof of freshness covers every later view. What was applied is committed, so it stays correct.
    pub(crate) fn not_older_than(mut self, previous: &Self) -> Self {
        if previous.applied_index > self.applied_index {
            self.applied_index = previous.applied_index;
            self.state = Arc::clone(&previous.state);
        }
        self
    }
}

/// Result of a linearizable read: the state with every command acknowledged before the read began.
#[derive(Debug, Clone)]
pub struct ConfirmedState<S> {
    /// Index of the last log entry that was applied to the state.
    pub index: u64,
    /// Applied state at that index.
    pub state: Arc<S>,
}

/// Number of voters that automatic repair maintains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterTarget {
    /// Number of voters set by the operator.
    Fixed(usize),
    /// Every reachable member votes, up to the largest allowed voting set, for groups without a
    /// configured size. Unreachable voters are removed while more than `minimum` remain.
    LiveMembers {
        /// Number of voters that is kept even when some of them are unreachable.
        minimum: usize,
    },
}

/// How soon automatic repair replaces an unreachable voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepairPace {
    /// Once the voter has been unreachable for this time.
    After(Duration),
    /// Soon enough that the group tolerates another loss within this time after the start of a replacement.
    Within(Duration),
}

/// Settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Directory of the log and the snapshots. Only one process may use it at a time.
    pub data_directory: PathBuf,
    /// Peer address at which the other replicas reach this one.
    pub own_address: SocketAddr,
    /// Peer addresses to which join requests are sent. May include the replica's own address.
    pub contacts: Vec<SocketAddr>,
    /// Number of voters that automatic repair maintains.
    pub voter_target: VoterTarget,
    /// How soon automatic repair replaces an unreachable voter.
    pub repair: RepairPace,
    /// Time for which a member without a vote may be unreachable before it is removed.
    pub remove_after: Duration,
    /// Whether to found a new group when the data directory is empty. Exactly one replica of a fleet
    /// may do so.
    pub found: bool,
}

/// Request of a replica to be added to the group as a learner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JoinRequest {
    /// Id of the joining replica, stored in its data directory.
    pub id: u64,
    /// Peer address of the joining replica.
    pub address: Arc<str>,
    /// Whether a follower has already forwarded the request to its leader. A request is forwarded only
    /// once, so that it cannot loop between two replicas that each consider the other the leader.
    pub passed_on: bool,
}

/// Command from a handle to the replica task.
pub(crate) enum ReplicaCommand<S: ReplicatedState> {
    Propose(Box<S::Command>, oneshot::Sender<ProposeReply<S>>),
    Read(oneshot::Sender<ReadReply<S>>),
    Receive(Box<Message>),
    Join(JoinRequest),
    Change(MembershipChange, oneshot::Sender<Result<(), ProposeError>>),
    StepDown,
}

pub(crate) type ProposeReply<S> = Result<<S as ReplicatedState>::Outcome, ReplicaError>;
pub(crate) type ReadReply<S> = Result<ConfirmedState<S>, ReplicaError>;

/// Handle to the replica task of this process. Clones control the same replica.
pub struct ReplicaHandle<S: ReplicatedState> {
    commands: mpsc::Sender<ReplicaCommand<S>>,
    contacts: watch::Sender<Vec<SocketAddr>>,
    view: watch::Receiver<ReplicaView<S>>,
}

impl<S: ReplicatedState> Clone for ReplicaHandle<S> {
    fn clone(&self) -> Self {
        Self {
            commands: self.commands.clone(),
            contacts: self.contacts.clone(),
            view: self.view.clone(),
        }
    }
}

impl<S: ReplicatedState> ReplicaHandle<S> {
    /// Opens the data directory and starts the replica. After a later storage failure, the data
    /// directory is reopened until that succeeds.
    ///
    /// # Errors
    ///
    /// Fails when the data directory is in use, damaged, or not a data directory of this version.
    pub fn open(settings: ReplicaSettings, identity: ClientIdentity) -> Result<Self> {
        Self::open_on(Arc::new(LocalFileSystem), settings, identity)
    }

    /// Opens the data directory on the given file system and starts the replica, as [`Self::open`] does.
    ///
    /// # Errors
    ///
    /// Fails when the data directory is in use, damaged, or not a data directory of this version.
    pub fn open_on(
        file_system: Arc<dyn FileSystem>,
        settings: ReplicaSettings,
        identity: ClientIdentity,
    ) -> Result<Self> {
        let opened = OpenReplica::<S>::open(&file_system, &settings)?;
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (view, watch) = watch::channel(opened.first_view());
        let contacts = watch::Sender::new(settings.contacts.clone());
        let inputs = ReplicaInputs {
            commands: receiver,
            contacts: contacts.subscribe(),
        };
        let supervisor = Supervisor {
            file_system,
            settings,
            identity,
        };
        tokio::spawn(supervisor.run(opened, inputs, view));
        Ok(Self {
            commands,
            contacts,
            view: watch,
        })
    }

    /// Returns the latest view of the replica.
    #[must_use]
    pub fn view(&self) -> ReplicaView<S> {
        self.view.borrow().clone()
    }

    /// Returns a receiver that is notified of each change to [`Self::view`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaView<S>> {
        self.view.clone()
    }

    /// Proposes a command and waits until it is committed and applied. Returns the result of
    /// [`ReplicatedState::apply`].
    ///
    /// # Errors
    ///
    /// [`ReplicaError::Unknown`] means that the command may still be committed; after every other error
    /// it is not committed.
    pub async fn propose(&self, command: S::Command) -> ProposeReply<S> {
        let (reply, result) = oneshot::channel();
        self.send(ReplicaCommand::Propose(Box::new(command), reply))
            .await?;
        result.await.unwrap_or(Err(ReplicaError::Unknown))
    }

    /// Returns a state that contains every command acknowledged before the call (a linearizable read).
    ///
    /// # Errors
    ///
    /// Fails when this replica is not the leader or loses leadership during the read.
    pub async fn read(&self) -> Result<Arc<S>, ReplicaError> {
        self.read_confirmed().await.map(|confirmed| confirmed.state)
    }

    /// Performs the same read as [`Self::read`] and also returns the applied index of the state.
    ///
    /// # Errors
    ///
    /// Fails when this replica is not the leader or loses leadership during the read.
    pub async fn read_confirmed(&self) -> Result<ConfirmedState<S>, ReplicaError> {
        let (reply, result) = oneshot::channel();
        self.send(ReplicaCommand::Read(reply)).await?;
        result.await.unwrap_or(Err(ReplicaError::NotLeader))
    }

    /// Handles a consensus message from another replica.
    pub async fn receive(&self, message: Message) {
        let _ = self.send(ReplicaCommand::Receive(Box::new(message))).await;
    }

    /// Handles a join request from another replica. The leader adds the sender as a learner; other
    /// replicas forward the request to the leader.
    pub async fn receive_join(&self, request: JoinRequest) {
        let _ = self.send(ReplicaCommand::Join(request)).await;
    }

    /// Proposes a membership change. Returns once the change is proposed, before it is committed.
    ///
    /// # Errors
    ///
    /// Fails when this replica is not the leader or the change is not allowed at present.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ProposeError> {
        let (reply, result) = oneshot::channel();
        let not_leader = ProposeError::NotLeader { leader: None };
        if self
            .send(ReplicaCommand::Change(change, reply))
            .await
            .is_err()
        {
            return Err(not_leader);
        }
        result.await.unwrap_or(Err(not_leader))
    }

    /// Replaces the peer addresses to which join requests are sent.
    pub fn set_contacts(&self, contacts: Vec<SocketAddr>) {
        self.contacts.send_replace(contacts);
    }

    /// Transfers the leadership to another replica, before a planned stop. Returns once this replica does not lead, or
    /// after [`TRANSFER_TIMEOUT`]. A process that ended earlier would not have asked the other replica yet.
    pub async fn step_down(&self) {
        let mut view = self.watch();
        let _ = self.send(ReplicaCommand::StepDown).await;
        let transferred = view.wait_for(|view| view.role != Role::Leader);
        let _ = tokio::time::timeout(TRANSFER_TIMEOUT, transferred).await;
    }

    async fn send(&self, command: ReplicaCommand<S>) -> Result<(), ReplicaError> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| ReplicaError::StorageFailed)
    }
}

impl<S: ReplicatedState> ReplicaCommand<S> {
    /// Rejects the command because the data directory cannot be written.
    pub(crate) fn fail(self) {
        match self {
            Self::Propose(_, reply) => {
                let _ = reply.send(Err(ReplicaError::StorageFailed));
            }
            Self::Read(reply) => {
                let _ = reply.send(Err(ReplicaError::StorageFailed));
            }
            Self::Change(_, reply) => {
                let _ = reply.send(Err(ProposeError::NotLeader { leader: None }));
            }
            Self::Receive(_) | Self::Join(_) | Self::StepDown => (),
        }
    }
}
