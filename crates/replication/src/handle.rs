//! Handle to a replica: settings, what others may know of it, and the commands that it takes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Result;
use radishpaddle_consensus::{
    Membership, MembershipChange, Message, ProposeError, ReplicaId, Role,
};
use radishpaddle_wire::ClientIdentity;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};

use crate::state::ReplicatedState;
use crate::supervisor::{self, Inputs, Opened};

/// Commands that wait for the task.
const COMMAND_QUEUE: usize = 1024;

/// Why a command gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another replica leads, or none.
    NotLeader,
    /// Too much waits; nothing was done.
    Busy,
    /// The command is too large; nothing was done.
    TooLarge,
    /// Leadership was lost after the proposal; it may still be committed.
    Unknown,
    /// The data directory cannot be written.
    StorageFailed,
}

/// What others may know of the replica.
#[derive(Debug, Clone)]
pub struct ReplicaView<S> {
    /// Identity of the replica and its disk.
    pub id: ReplicaId,
    /// What it does.
    pub role: Role,
    /// Current term.
    pub term: u64,
    /// Peer address of the leader.
    pub leader: Option<Arc<str>>,
    /// Members of the group.
    pub membership: Membership,
    /// Index up to which the state is applied.
    pub applied_index: u64,
    /// Applied state. Changes may be newer at the leader.
    pub state: Arc<S>,
    /// Whether the data directory can be written.
    pub storage_works: bool,
}

/// State that contains every command acknowledged before it was asked for.
#[derive(Debug, Clone)]
pub struct Confirmed<S> {
    /// Index up to which the state is applied.
    pub index: u64,
    /// The state.
    pub state: Arc<S>,
}

/// Number of voters that automatic repair aims for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VoterTarget {
    /// A number set by the operator.
    Fixed(usize),
    /// Every member that answers votes, up to the largest voting set, for groups whose size nobody
    /// tells. Lost members are removed down to `least`.
    Live {
        /// Voters that are kept although some of them do not answer.
        least: usize,
    },
}

/// Settings of one replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Directory of the log; used by one process at a time.
    pub data_directory: PathBuf,
    /// Address at which the other replicas reach this one.
    pub own_address: SocketAddr,
    /// Replicas that are asked to let this one join.
    pub contacts: Vec<SocketAddr>,
    /// Voters that repair aims for.
    pub voters: VoterTarget,
    /// Time after which an unreachable voter is replaced.
    pub repair_after: Duration,
    /// Whether an empty data directory founds a group. Exactly one replica of a fleet may.
    pub found: bool,
}

/// A replica asks to become a learner.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JoinRequest {
    /// Identity of the replica and its disk.
    pub id: u64,
    /// Its peer address.
    pub address: Arc<str>,
    /// Whether another replica passed the request on to the one that it takes for the leader. It is passed on once, so
    /// that two replicas that take each other for the leader do not go on for ever.
    pub passed_on: bool,
}

pub(crate) enum Command<S: ReplicatedState> {
    Propose(Box<S::Command>, oneshot::Sender<ProposeReply<S>>),
    Read(oneshot::Sender<ReadReply<S>>),
    Receive(Box<Message>),
    Join(JoinRequest),
    Change(MembershipChange, oneshot::Sender<Result<(), ProposeError>>),
    StepDown,
}

pub(crate) type ProposeReply<S> = Result<<S as ReplicatedState>::Outcome, ReplicaError>;
pub(crate) type ReadReply<S> = Result<Confirmed<S>, ReplicaError>;

/// Handle to the replica of this process.
pub struct ReplicaHandle<S: ReplicatedState> {
    commands: mpsc::Sender<Command<S>>,
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
    /// Opens the data directory and starts the replica. When the disk fails later, the directory is
    /// opened again until it works.
    ///
    /// # Errors
    ///
    /// Fails when the data directory is in use, damaged, or holds something else.
    pub fn open(settings: ReplicaSettings, identity: ClientIdentity) -> Result<Self> {
        let opened = Opened::<S>::open(&settings)?;
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let (view, watch) = watch::channel(opened.view());
        let contacts = watch::Sender::new(settings.contacts.clone());
        let inputs = Inputs {
            commands: receiver,
            contacts: contacts.subscribe(),
        };
        tokio::spawn(supervisor::run(settings, identity, opened, inputs, view));
        Ok(Self {
            commands,
            contacts,
            view: watch,
        })
    }

    /// What is known of the replica now.
    #[must_use]
    pub fn view(&self) -> ReplicaView<S> {
        self.view.borrow().clone()
    }

    /// Wakes on each change of [`Self::view`].
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaView<S>> {
        self.view.clone()
    }

    /// Commits a command and returns its result.
    ///
    /// # Errors
    ///
    /// With `Unknown` the command may be committed later; every other error means that it is not.
    pub async fn propose(&self, command: S::Command) -> ProposeReply<S> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Propose(Box::new(command), reply))
            .await?;
        answer.await.unwrap_or(Err(ReplicaError::Unknown))
    }

    /// State that contains every change that was acknowledged before the call.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or loses the leadership meanwhile.
    pub async fn read(&self) -> Result<Arc<S>, ReplicaError> {
        self.read_confirmed().await.map(|confirmed| confirmed.state)
    }

    /// Like [`Self::read`], with the index of the state.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or loses the leadership meanwhile.
    pub async fn read_confirmed(&self) -> Result<Confirmed<S>, ReplicaError> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Read(reply)).await?;
        answer.await.unwrap_or(Err(ReplicaError::NotLeader))
    }

    /// Takes a message of another replica.
    pub async fn receive(&self, message: Message) {
        let _ = self.send(Command::Receive(Box::new(message))).await;
    }

    /// Another replica asks to become a learner. A leader admits it, others pass the request on.
    pub async fn join(&self, request: JoinRequest) {
        let _ = self.send(Command::Join(request)).await;
    }

    /// Proposes a change of the members.
    ///
    /// # Errors
    ///
    /// Fails when this replica does not lead or the change is not possible now.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), ProposeError> {
        let (reply, answer) = oneshot::channel();
        let not_leader = ProposeError::NotLeader { leader: None };
        if self.send(Command::Change(change, reply)).await.is_err() {
            return Err(not_leader);
        }
        answer.await.unwrap_or(Err(not_leader))
    }

    /// Replaces the replicas that are asked to let this one join.
    pub fn set_contacts(&self, contacts: Vec<SocketAddr>) {
        self.contacts.send_replace(contacts);
    }

    /// Hands the leadership over before a planned stop.
    pub async fn step_down(&self) {
        let _ = self.send(Command::StepDown).await;
    }

    async fn send(&self, command: Command<S>) -> Result<(), ReplicaError> {
        let sent = self.commands.send(command).await;
        sent.map_err(|_| ReplicaError::StorageFailed)
    }
}

impl<S: ReplicatedState> Command<S> {
    /// Answers that the disk does not work.
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
