//! Replicas that run in one process, each with a data directory and an address of its own.

use std::fmt;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

use anyhow::Result;
use radishpaddle_consensus::Message;
use radishpaddle_replication::{
    JoinRequest, RepairPace, ReplicaHandle, ReplicaSettings, ReplicatedState, VoterTarget,
};
use radishpaddle_storage::{DataFile, FileSystem, LocalFileSystem};
use radishpaddle_wire::message::{Empty, Hello, request, response};
use radishpaddle_wire::{
    ClientIdentity, PROTOCOL_VERSION, PeerHandler, PeerIdentity, PeerSecurity, PeerServer,
    ServerIdentity, decode,
};

const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a silent replica without a vote is removed.
const REMOVE_AFTER: Duration = Duration::from_millis(1_500);

/// State machine that adds up the committed numbers.
#[derive(Debug, Clone, Default)]
pub struct Sum(pub u64);

impl ReplicatedState for Sum {
    type Command = u64;
    type Outcome = u64;

    fn apply(&mut self, command: &u64) -> Result<u64> {
        self.0 += command;
        Ok(self.0)
    }

    fn encode(&self) -> Result<Vec<u8>> {
        Ok(self.0.to_be_bytes().to_vec())
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        Ok(Self(u64::from_be_bytes(bytes.try_into()?)))
    }
}

pub struct Handler(ReplicaHandle<Sum>);

impl PeerHandler for Handler {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        match request {
            request::Kind::Consensus(bytes) => {
                self.0.receive(Message::decode(&bytes).unwrap()).await;
            }
            request::Kind::Join(bytes) => {
                let join: JoinRequest = decode(&bytes).unwrap();
                self.0.receive_join(join).await;
            }
            _ => (),
        }
        response::Kind::Empty(Empty {})
    }
}

pub struct Node {
    pub address: SocketAddr,
    pub replica: ReplicaHandle<Sum>,
    pub server: Option<PeerServer>,
}

impl Node {
    pub async fn start_server(&mut self) {
        let identity = ServerIdentity {
            hello: hello(),
            security: PeerSecurity::Plain,
        };
        let handler = Arc::new(Handler(self.replica.clone()));
        let server = PeerServer::bind(self.address, identity, handler).await;
        self.server = Some(server.unwrap());
    }
}

pub fn hello() -> Hello {
    Hello {
        fleet: "test".to_owned(),
        instance: "replica".to_owned(),
        incarnation: 1,
        protocol_version: PROTOCOL_VERSION,
    }
}

/// Disk that refuses every write while it is full. Clones share the same disk.
#[derive(Debug, Clone, Default)]
pub struct Disk {
    pub full: Arc<AtomicBool>,
}

impl Disk {
    fn check_space(&self) -> io::Result<()> {
        if self.full.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }
}

impl FileSystem for Disk {
    fn create_directory(&self, path: &Path) -> io::Result<()> {
        LocalFileSystem.create_directory(path)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        LocalFileSystem.list(directory)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        LocalFileSystem.read(path)
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn DataFile>> {
        if !path.exists() {
            self.check_space()?;
        }
        Ok(Box::new(File {
            disk: self.clone(),
            file: LocalFileSystem.open(path)?,
        }))
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn fmt::Debug + Send>> {
        LocalFileSystem.lock(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.check_space()?;
        LocalFileSystem.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        LocalFileSystem.remove(path)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        LocalFileSystem.sync_directory(path)
    }
}

#[derive(Debug)]
struct File {
    disk: Disk,
    file: Box<dyn DataFile>,
}

impl DataFile for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.disk.check_space()?;
        self.file.write(bytes)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        self.disk.check_space()?;
        self.file.write_at(offset, bytes)
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.disk.check_space()?;
        self.file.set_length(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync()
    }
}

/// Starts a replica, which founds the group if it is its own first contact.
pub async fn start(
    directory: &Path,
    address: SocketAddr,
    contacts: &[SocketAddr],
    repair: RepairPace,
    disk: &Disk,
) -> Node {
    let settings = ReplicaSettings {
        data_directory: directory.join(address.to_string()),
        own_address: address,
        contacts: contacts.to_vec(),
        voter_target: VoterTarget::LiveMembers { minimum: 3 },
        repair,
        remove_after: REMOVE_AFTER,
        found: contacts.first() == Some(&address),
    };
    let identity = ClientIdentity {
        hello: hello(),
        security: PeerSecurity::Plain,
    };
    let mut node = Node {
        address,
        replica: ReplicaHandle::open_on(Arc::new(disk.clone()), settings, identity).unwrap(),
        server: None,
    };
    node.start_server().await;
    node
}

/// Starts a replica for each disk. All have the first three as contacts.
pub async fn start_replicas(directory: &Path, disks: &[Disk], repair: RepairPace) -> Vec<Node> {
    let addresses: Vec<SocketAddr> = disks.iter().map(|_| free_address()).collect();
    let contacts = &addresses[..3];
    let mut nodes = Vec::new();
    for (address, disk) in addresses.iter().zip(disks) {
        nodes.push(start(directory, *address, contacts, repair, disk).await);
    }
    nodes
}

/// Returns a free address with an IP of its own. Outgoing connections come from 127.0.0.1, so none of them takes the port
/// before it is bound.
pub fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let host = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let listener = std::net::TcpListener::bind((Ipv4Addr::new(127, 88, 1, host), 0)).unwrap();
    listener.local_addr().unwrap()
}

pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let waited = tokio::time::timeout(CONDITION_TIMEOUT, async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
    assert!(
        waited.await.is_ok(),
        "condition not met within {CONDITION_TIMEOUT:?}: {description}"
    );
}

pub fn voters(node: &Node) -> usize {
    node.replica.view().membership.voters().count()
}
