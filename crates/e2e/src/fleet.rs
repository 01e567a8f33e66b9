//! Starts, stops and restarts the processes of a test fleet and injects faults on the links between
//! them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::{Context as _, Result};
use radishpaddle_control::ControlSettings;
use radishpaddle_control::settings::{OperatorSettings, WitnessAddress};
use radishpaddle_entry::EntrySettings;
use radishpaddle_entry::settings::{
    AdvertiseSettings, LimitSettings, ListenSettings, WitnessSettings,
};
use radishpaddle_kernel::CommonSettings;
use radishpaddle_model::{AvailabilityZone, InstanceId};
use radishpaddle_testkit::backend::{self, BackendSettings, CallerIdentity, RunningBackend};
use radishpaddle_testkit::fault_proxy::{
    self, FaultProxySettings, Loss, ProxyPlan, RunningFaultProxy,
};
use radishpaddle_testkit::process::{ProcessBuilder, TestProcess, free_address, workspace_binary};
use sha2::{Digest, Sha256};

use crate::operator::Operator;
use crate::plan::{FleetPlan, SERVICE, entry_name, zone};

/// Bearer token of the operator that the control instances accept.
pub const OPERATOR_TOKEN: &str = "test-operator-token";

/// Token with which backend servers announce themselves to entry instances.
const BACKEND_TOKEN: &str = "test-backend-token";

/// Timeout for a process to become ready after its start, and for the bootstrap of the control group.
const PROCESS_START_TIMEOUT: Duration = Duration::from_secs(30);

/// Identifies a process of the fleet by its zero-based index among the processes of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A control instance.
    Control(usize),
    /// An entry instance.
    Entry(usize),
}

/// Listening addresses of one process.
#[derive(Debug, Clone, Copy)]
struct NodeAddresses {
    /// Callers of an entry instance, operators of a control instance.
    clients: SocketAddr,
    /// Backend servers. Unused by control instances.
    backends: SocketAddr,
    /// Other instances of the fleet.
    peers: SocketAddr,
    /// Admin pages: status, metrics and readiness.
    admin: SocketAddr,
}

/// A running process with the command line that restarts it.
struct RunningNode {
    process: TestProcess,
    program: PathBuf,
    arguments: Vec<String>,
    addresses: NodeAddresses,
}

/// A running fleet. Every process is killed when it is dropped.
pub struct ProcessFleet {
    plan: FleetPlan,
    nodes: BTreeMap<Node, RunningNode>,
    links: BTreeMap<(Node, Node), RunningFaultProxy>,
    /// Fault proxies for the caller address of each entry instance and the peer address of each
    /// control instance. The processes advertise the addresses of these proxies.
    front_proxies: BTreeMap<Node, RunningFaultProxy>,
    backends: Vec<RunningBackend>,
    backend_proxies: Vec<RunningFaultProxy>,
}

impl ProcessFleet {
    /// Starts every process and waits until all of them are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a binary has not been built or a process is not ready within 30 s.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let addresses = allocate_addresses(&plan)?;
        let links = start_links(&plan, &addresses).await?;
        let front_proxies = start_front_proxies(&addresses).await?;
        let mut fleet = Self {
            plan,
            nodes: BTreeMap::new(),
            links,
            front_proxies,
            backends: Vec::new(),
            backend_proxies: Vec::new(),
        };
        for (node, addresses) in &addresses {
            let running = fleet.spawn(*node, *addresses)?;
            fleet.nodes.insert(*node, running);
        }
        tokio::task::block_in_place(|| fleet.wait_ready(PROCESS_START_TIMEOUT))?;
        fleet.start_backends().await?;
        Ok(fleet)
    }

    /// Returns an operator that knows the addresses of all control instances.
    #[must_use]
    pub fn operator(&self) -> Operator {
        let controls =
            (0..self.plan.controls).map(|control| self.addresses(Node::Control(control)).clients);
        Operator::new(controls.collect(), OPERATOR_TOKEN)
    }

    /// Returns the address that each entry instance advertises to callers, which is that of its fault
    /// proxy.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        (0..self.plan.entries)
            .map(|entry| self.front_proxy(Node::Entry(entry)).address())
            .collect()
    }

    /// Returns the address on which an entry instance accepts callers. No fault proxy is on this link, so that
    /// a test sees whether the instance refuses connections.
    #[must_use]
    pub fn caller_listen_address(&self, entry: usize) -> SocketAddr {
        self.addresses(Node::Entry(entry)).clients
    }

    /// Returns the address of the operator API of a control instance. No fault proxy is on this link.
    #[must_use]
    pub fn operator_address(&self, control: usize) -> SocketAddr {
        self.addresses(Node::Control(control)).clients
    }

    /// Returns the plan from which the fleet was started.
    #[must_use]
    pub const fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns the address of the admin pages of a process. No fault proxy is on this link.
    #[must_use]
    pub fn admin_address(&self, node: Node) -> SocketAddr {
        self.addresses(node).admin
    }

    /// Returns the fault proxy on the link on which one process opens connections to another.
    ///
    /// # Panics
    ///
    /// Panics if the first process never calls the second.
    #[must_use]
    pub fn link(&self, from: Node, to: Node) -> &RunningFaultProxy {
        self.links.get(&(from, to)).expect("the link exists")
    }

    /// Returns the fault proxy through which callers reach an entry instance, or through which all
    /// other processes reach a control instance.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such node.
    #[must_use]
    pub fn front_proxy(&self, node: Node) -> &RunningFaultProxy {
        self.front_proxies.get(&node).expect("the node exists")
    }

    /// Stalls everything that one process sends to another, requests and responses, until
    /// [`Self::heal`]. The other direction is not affected. The stalled bytes arrive after the heal, as
    /// with TCP retransmission.
    pub fn stall_one_way(&self, from: Node, to: Node) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.modify_plan(|plan| plan.to_target.loss = Loss::Stall);
        }
        if let Some(link) = self.links.get(&(to, from)) {
            link.modify_plan(|plan| plan.to_client.loss = Loss::Stall);
        }
    }

    /// Stalls everything that others send to a control instance on connections that they open, until
    /// [`Self::heal`]. What the instance sends still arrives.
    pub fn stall_incoming(&self, node: Node) {
        self.front_proxy(node)
            .modify_plan(|plan| plan.to_target.loss = Loss::Stall);
    }

    /// Removes the faults of every fault proxy: on the links between processes, on their advertised
    /// addresses and in front of the backend servers.
    pub fn heal(&self) {
        let links = self.links.values().chain(self.front_proxies.values());
        for proxy in links.chain(&self.backend_proxies) {
            proxy.set_plan(ProxyPlan::default());
        }
    }

    /// Returns the fault proxies on all links to or from a process.
    pub fn links_of(&self, node: Node) -> impl Iterator<Item = &RunningFaultProxy> {
        let has_endpoint = move |(from, to): &(Node, Node)| *from == node || *to == node;
        let links = self.links.iter();
        links
            .filter(move |(pair, _)| has_endpoint(pair))
            .map(|(_, link)| link)
    }

    /// Returns the backend servers.
    #[must_use]
    pub fn backends(&self) -> &[RunningBackend] {
        &self.backends
    }

    /// Returns the fault proxies in front of the backend servers, in the order of
    /// [`Self::backends`].
    #[must_use]
    pub fn backend_proxies(&self) -> &[RunningFaultProxy] {
        &self.backend_proxies
    }

    /// Returns the process of a node.
    ///
    /// # Panics
    ///
    /// Panics if the fleet has no such node.
    pub fn process(&mut self, node: Node) -> &mut TestProcess {
        &mut self.nodes.get_mut(&node).expect("the node exists").process
    }

    /// Restarts a process that has exited, with the same settings and data directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is still running.
    pub fn restart(&mut self, node: Node) -> Result<()> {
        let running = self.nodes.get_mut(&node).context("no such node")?;
        running
            .process
            .restart(&running.program, &running.arguments)
    }

    /// Kills a control instance and restarts it with an empty data directory, as after the replacement
    /// of its disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be removed or the process cannot be started.
    pub fn replace_disk(&mut self, control: usize) -> Result<()> {
        let process = self.process(Node::Control(control));
        if process.try_wait()?.is_none() {
            process.kill()?;
        }
        std::fs::remove_dir_all(process.directory().join("data"))?;
        self.restart(Node::Control(control))
    }

    /// Waits until one process is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the process is not ready within the limit.
    pub fn wait_node_ready(&mut self, node: Node, limit: Duration) -> Result<()> {
        let running = self.nodes.get_mut(&node).context("no such node")?;
        let admin = running.addresses.admin;
        running.process.wait_ready(admin, "/ready", limit)
    }

    /// Waits until every process is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process is not ready within the limit. The limit applies to each process.
    pub fn wait_ready(&mut self, limit: Duration) -> Result<()> {
        let nodes: Vec<Node> = self.nodes.keys().copied().collect();
        for node in nodes {
            self.wait_node_ready(node, limit)
                .with_context(|| format!("{node:?} is not ready"))?;
        }
        Ok(())
    }

    /// Reads the log of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be read.
    pub fn log(&self, node: Node) -> Result<String> {
        let running = self.nodes.get(&node).context("no such node")?;
        Ok(running.process.log()?)
    }

    fn addresses(&self, node: Node) -> NodeAddresses {
        self.nodes[&node].addresses
    }

    fn spawn(&self, node: Node, addresses: NodeAddresses) -> Result<RunningNode> {
        match node {
            Node::Control(control) => self.spawn_control(control, addresses),
            Node::Entry(entry) => self.spawn_entry(entry, addresses),
        }
    }

    fn spawn_control(&self, control: usize, addresses: NodeAddresses) -> Result<RunningNode> {
        let program = workspace_binary("radishpaddle-control")?;
        let name = format!("control-{}", control + 1);
        let builder = ProcessBuilder::new(name.clone(), &program)?;
        let settings = ControlSettings {
            common: self.common_settings(name.parse()?, zone(control)?, addresses.admin),
            operator_listen: addresses.clients,
            peer_listen: addresses.peers,
            peer_advertise: Some(self.front_proxy(Node::Control(control)).address()),
            data_directory: builder.directory().join("data"),
            controls: self.control_peer_addresses(),
            witnesses: self
                .witness_nodes()
                .map(|(entry, node)| {
                    Ok(WitnessAddress {
                        instance: entry_name(entry)?,
                        peer_address: self.link(Node::Control(control), node).address(),
                    })
                })
                .collect::<Result<_>>()?,
            operators: vec![OperatorSettings {
                name: "tester".into(),
                token_sha256: sha256_hex(OPERATOR_TOKEN).into(),
            }],
            target_voters: self.plan.controls,
            repair_after_ms: 5_000,
        };
        let file = builder.write("settings.json", &serde_json::to_string_pretty(&settings)?)?;
        let argument = file.display().to_string();
        if control == 0 {
            bootstrap_control_group(&program, &argument)?;
        }
        let process = builder.argument(argument.clone()).spawn()?;
        Ok(RunningNode {
            process,
            program,
            arguments: vec![argument],
            addresses,
        })
    }

    fn spawn_entry(&self, entry: usize, addresses: NodeAddresses) -> Result<RunningNode> {
        let program = workspace_binary("radishpaddle-entry")?;
        let name = entry_name(entry)?;
        let builder = ProcessBuilder::new(name.to_string(), &program)?;
        let this_node = Node::Entry(entry);
        let witnesses = self
            .witness_nodes()
            .map(|(witness, node)| {
                let peer_address = if node == this_node {
                    addresses.peers
                } else {
                    self.link(this_node, node).address()
                };
                Ok(WitnessSettings {
                    instance: entry_name(witness)?,
                    availability_zone: zone(witness)?,
                    peer_address,
                })
            })
            .collect::<Result<_>>()?;
        let settings = EntrySettings {
            common: self.common_settings(name, zone(entry)?, addresses.admin),
            listen: ListenSettings {
                callers: addresses.clients,
                backend_servers: addresses.backends,
                peers: addresses.peers,
            },
            advertise: AdvertiseSettings {
                callers: Some(self.front_proxy(this_node).address()),
            },
            witnesses,
            backend_token: BACKEND_TOKEN.into(),
            limits: LimitSettings::default(),
            timing: self.plan.timing.clone(),
        };
        let file = builder.write("settings.json", &serde_json::to_string_pretty(&settings)?)?;
        let argument = file.display().to_string();
        let process = builder.argument(argument.clone()).spawn()?;
        Ok(RunningNode {
            process,
            program,
            arguments: vec![argument],
            addresses,
        })
    }

    /// Returns the peer addresses that the control instances advertise.
    fn control_peer_addresses(&self) -> Vec<SocketAddr> {
        (0..self.plan.controls)
            .map(|control| self.front_proxy(Node::Control(control)).address())
            .collect()
    }

    fn witness_nodes(&self) -> impl Iterator<Item = (usize, Node)> + use<> {
        (0..self.plan.witnesses()).map(|entry| (entry, Node::Entry(entry)))
    }

    fn common_settings(
        &self,
        instance: InstanceId,
        availability_zone: AvailabilityZone,
        admin_listen: SocketAddr,
    ) -> CommonSettings {
        CommonSettings {
            fleet: "test".into(),
            instance,
            availability_zone,
            admin_listen,
            log: self.plan.log.clone(),
            journal_events: 10_000,
            stop_deadline_ms: self.plan.stop_deadline_ms,
            peer_tls: None,
        }
    }

    async fn start_backends(&mut self) -> Result<()> {
        let entries: Vec<SocketAddr> = (0..self.plan.entries)
            .map(|entry| self.addresses(Node::Entry(entry)).backends)
            .collect();
        for number in 0..self.plan.backends {
            let (backend, proxy) = self.start_backend(number, &entries).await?;
            self.backends.push(backend);
            self.backend_proxies.push(proxy);
        }
        Ok(())
    }

    /// Starts a backend server behind a fault proxy, and retries with another port if the chosen one is in
    /// use. A process that another test forks at this moment inherits all sockets until it calls exec,
    /// including the one that probed for a free port.
    async fn start_backend(
        &self,
        number: usize,
        entries: &[SocketAddr],
    ) -> Result<(RunningBackend, RunningFaultProxy)> {
        const MAX_BIND_ATTEMPTS: usize = 10;
        let mut last_error = None;
        for _ in 0..MAX_BIND_ATTEMPTS {
            let listen = free_address()?;
            let proxy = fault_proxy::spawn(FaultProxySettings::new(listen)).await?;
            let settings = BackendSettings {
                listen,
                announced_address: self.plan.backend_proxies.then(|| proxy.address()),
                entries: entries.to_vec(),
                token: BACKEND_TOKEN.to_owned(),
                slots: self.plan.slots,
                service_time_ms: self.plan.service_time_ms,
                caller_identity: CallerIdentity::RequestIdPrefix,
                seed: u64::try_from(number)? + 1,
                ..BackendSettings::new(
                    SERVICE.parse()?,
                    format!("{SERVICE}-{}", number + 1).parse()?,
                    zone(number)?,
                )
            };
            match backend::spawn(settings).await {
                Ok(backend) => return Ok((backend, proxy)),
                Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {
                    last_error = Some(error);
                }
                Err(error) => return Err(error.into()),
            }
        }
        Err(last_error
            .context("no attempt to bind a port was made")?
            .into())
    }
}

fn allocate_addresses(plan: &FleetPlan) -> Result<BTreeMap<Node, NodeAddresses>> {
    let controls = (0..plan.controls).map(Node::Control);
    let entries = (0..plan.entries).map(Node::Entry);
    controls
        .chain(entries)
        .map(|node| {
            let addresses = NodeAddresses {
                clients: free_address()?,
                backends: free_address()?,
                peers: free_address()?,
                admin: free_address()?,
            };
            Ok((node, addresses))
        })
        .collect()
}

/// Starts a fault proxy for each pair of processes in which the first opens connections to the second.
/// Control instances are reached through their front proxies instead.
async fn start_links(
    plan: &FleetPlan,
    addresses: &BTreeMap<Node, NodeAddresses>,
) -> Result<BTreeMap<(Node, Node), RunningFaultProxy>> {
    let mut links = BTreeMap::new();
    for from in addresses.keys() {
        for (to, target) in addresses {
            let called = match (from, to) {
                (_, Node::Entry(entry)) => *entry < plan.witnesses(),
                (_, Node::Control(_)) => false,
            };
            if from != to && called {
                let proxy = fault_proxy::spawn(FaultProxySettings::new(target.peers)).await?;
                links.insert((*from, *to), proxy);
            }
        }
    }
    Ok(links)
}

/// Starts a fault proxy in front of the address that each process advertises.
async fn start_front_proxies(
    addresses: &BTreeMap<Node, NodeAddresses>,
) -> Result<BTreeMap<Node, RunningFaultProxy>> {
    let mut front_proxies = BTreeMap::new();
    for (node, addresses) in addresses {
        let target = match node {
            Node::Control(_) => addresses.peers,
            Node::Entry(_) => addresses.clients,
        };
        let proxy = fault_proxy::spawn(FaultProxySettings::new(target)).await?;
        front_proxies.insert(*node, proxy);
    }
    Ok(front_proxies)
}

/// Runs the control binary once to initialise the control group in the data directory of the settings.
fn bootstrap_control_group(program: &std::path::Path, settings: &str) -> Result<()> {
    let mut process = ProcessBuilder::new("found", program)?
        .argument("--found")
        .argument(settings)
        .spawn()?;
    let status = process.wait_for_exit(PROCESS_START_TIMEOUT)?;
    anyhow::ensure!(
        status.success(),
        "bootstrap of the control group failed: {}",
        process.log()?
    );
    Ok(())
}

fn sha256_hex(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}
