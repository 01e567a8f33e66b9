//! Starts and stops the processes of a fleet.

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
use radishpaddle_testkit::backend::{self, BackendSettings, RunningBackend};
use radishpaddle_testkit::fault_proxy::{
    self, FaultProxySettings, Loss, ProxyPlan, RunningFaultProxy,
};
use radishpaddle_testkit::process::{ProcessBuilder, TestProcess, free_address, workspace_binary};
use sha2::{Digest, Sha256};

use crate::operator::Operator;
use crate::plan::{FleetPlan, SERVICE, entry_name, zone};

/// Token of the operator.
pub const OPERATOR_TOKEN: &str = "test-operator-token";

/// Token of the backend servers.
const BACKEND_TOKEN: &str = "test-backend-token";

/// Longest start of a process.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A process of the fleet by its position among those of its kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// A control instance.
    Control(usize),
    /// An entry instance.
    Entry(usize),
}

/// Addresses of one process.
#[derive(Debug, Clone, Copy)]
struct Ports {
    /// Callers or operators.
    front: SocketAddr,
    /// Backend servers.
    backends: SocketAddr,
    /// Peers.
    peers: SocketAddr,
    /// Admin.
    admin: SocketAddr,
}

/// A running process with what is needed to start it again.
struct Running {
    process: TestProcess,
    program: PathBuf,
    arguments: Vec<String>,
    ports: Ports,
}

/// A running fleet. Dropping it kills every process.
pub struct ProcessFleet {
    plan: FleetPlan,
    nodes: BTreeMap<Node, Running>,
    links: BTreeMap<(Node, Node), RunningFaultProxy>,
    /// In front of the caller address of each entry instance and the peer address of each control
    /// instance; these are the addresses that the processes advertise.
    fronts: BTreeMap<Node, RunningFaultProxy>,
    backends: Vec<RunningBackend>,
    backend_proxies: Vec<RunningFaultProxy>,
}

impl ProcessFleet {
    /// Starts every process and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Fails when a binary is not built or a process does not become ready.
    pub async fn start(plan: FleetPlan) -> Result<Self> {
        let ports = allocate_ports(&plan)?;
        let links = start_links(&plan, &ports).await?;
        let fronts = start_fronts(&ports).await?;
        let mut fleet = Self {
            plan,
            nodes: BTreeMap::new(),
            links,
            fronts,
            backends: Vec::new(),
            backend_proxies: Vec::new(),
        };
        for (node, ports) in &ports {
            let running = fleet.spawn(*node, *ports)?;
            fleet.nodes.insert(*node, running);
        }
        tokio::task::block_in_place(|| fleet.wait_ready(START_TIMEOUT))?;
        fleet.start_backends().await?;
        Ok(fleet)
    }

    /// Operator with the addresses of all control instances.
    #[must_use]
    pub fn operator(&self) -> Operator {
        let controls =
            (0..self.plan.controls).map(|control| self.ports(Node::Control(control)).front);
        Operator::new(controls.collect(), OPERATOR_TOKEN)
    }

    /// Addresses for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        (0..self.plan.entries)
            .map(|entry| self.front(Node::Entry(entry)).address())
            .collect()
    }

    /// Address of the operator API of a control instance.
    #[must_use]
    pub fn operator_address(&self, control: usize) -> SocketAddr {
        self.ports(Node::Control(control)).front
    }

    /// What the fleet consists of.
    #[must_use]
    pub const fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Admin address of a process.
    #[must_use]
    pub fn admin_address(&self, node: Node) -> SocketAddr {
        self.ports(node).admin
    }

    /// Fault proxy on the link from one process to another.
    ///
    /// # Panics
    ///
    /// Panics when the first process never calls the second.
    #[must_use]
    pub fn link(&self, from: Node, to: Node) -> &RunningFaultProxy {
        self.links.get(&(from, to)).expect("the link exists")
    }

    /// Fault proxy through which callers reach an entry instance, or all other processes reach a
    /// control instance.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    #[must_use]
    pub fn front(&self, node: Node) -> &RunningFaultProxy {
        self.fronts.get(&node).expect("the node exists")
    }

    /// Loses everything that one process sends to another, requests and responses, until
    /// [`Self::heal`]. The other direction works. Bytes arrive late after the heal, as TCP sends
    /// them again.
    pub fn lose(&self, from: Node, to: Node) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.change(|plan| plan.to_target.loss = Loss::Stall);
        }
        if let Some(link) = self.links.get(&(to, from)) {
            link.change(|plan| plan.to_client.loss = Loss::Stall);
        }
    }

    /// Loses everything that others send to a control instance on connections that they open. What it
    /// sends arrives.
    pub fn isolate_incoming(&self, node: Node) {
        self.front(node)
            .change(|plan| plan.to_target.loss = Loss::Stall);
    }

    /// Ends every fault on the links and fronts between processes and in front of backend servers.
    pub fn heal(&self) {
        let links = self.links.values().chain(self.fronts.values());
        for proxy in links.chain(&self.backend_proxies) {
            proxy.set_plan(ProxyPlan::default());
        }
    }

    /// Fault proxies on every link that touches a process.
    pub fn links_of(&self, node: Node) -> impl Iterator<Item = &RunningFaultProxy> {
        let touches = move |(from, to): &(Node, Node)| *from == node || *to == node;
        let links = self.links.iter();
        links
            .filter(move |(pair, _)| touches(pair))
            .map(|(_, link)| link)
    }

    /// Backend servers.
    #[must_use]
    pub fn backends(&self) -> &[RunningBackend] {
        &self.backends
    }

    /// Fault proxies in front of the backend servers, in their order.
    #[must_use]
    pub fn backend_proxies(&self) -> &[RunningFaultProxy] {
        &self.backend_proxies
    }

    /// Process of a node.
    ///
    /// # Panics
    ///
    /// Panics when there is no such node.
    pub fn process(&mut self, node: Node) -> &mut TestProcess {
        &mut self.nodes.get_mut(&node).expect("the node exists").process
    }

    /// Starts a process again after it ended, with the same settings and data directory.
    ///
    /// # Errors
    ///
    /// Fails while the process runs.
    pub fn restart(&mut self, node: Node) -> Result<()> {
        let running = self.nodes.get_mut(&node).context("the node exists")?;
        running
            .process
            .restart(&running.program, &running.arguments)
    }

    /// Kills a control instance and starts it with an empty data directory.
    ///
    /// # Errors
    ///
    /// Fails when the directory cannot be removed or the process not started.
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
    /// Fails when it is not ready in time.
    pub fn wait_node(&mut self, node: Node, limit: Duration) -> Result<()> {
        let running = self.nodes.get_mut(&node).context("the node exists")?;
        let admin = running.ports.admin;
        running.process.wait_ready(admin, "/ready", limit)
    }

    /// Waits until every process is ready.
    ///
    /// # Errors
    ///
    /// Fails when one is not ready in time.
    pub fn wait_ready(&mut self, limit: Duration) -> Result<()> {
        let nodes: Vec<Node> = self.nodes.keys().copied().collect();
        for node in nodes {
            self.wait_node(node, limit)
                .with_context(|| format!("{node:?} is not ready"))?;
        }
        Ok(())
    }

    /// Log of a process.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be read.
    pub fn log(&self, node: Node) -> Result<String> {
        let running = self.nodes.get(&node).context("the node exists")?;
        Ok(running.process.log()?)
    }

    fn ports(&self, node: Node) -> Ports {
        self.nodes[&node].ports
    }

    fn spawn(&self, node: Node, ports: Ports) -> Result<Running> {
        match node {
            Node::Control(control) => self.spawn_control(control, ports),
            Node::Entry(entry) => self.spawn_entry(entry, ports),
        }
    }

    fn spawn_control(&self, control: usize, ports: Ports) -> Result<Running> {
        let program = workspace_binary("radishpaddle-control")?;
        let name = format!("control-{}", control + 1);
        let builder = ProcessBuilder::new(name.clone(), &program)?;
        let settings = ControlSettings {
            common: self.common(name.parse()?, zone(control)?, ports.admin),
            operator_listen: ports.front,
            peer_listen: ports.peers,
            peer_advertise: Some(self.front(Node::Control(control)).address()),
            data_directory: builder.directory().join("data"),
            controls: self.control_peers(),
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
            found(&program, &argument)?;
        }
        let process = builder.argument(argument.clone()).spawn()?;
        Ok(Running {
            process,
            program,
            arguments: vec![argument],
            ports,
        })
    }

    fn spawn_entry(&self, entry: usize, ports: Ports) -> Result<Running> {
        let program = workspace_binary("radishpaddle-entry")?;
        let name = entry_name(entry)?;
        let builder = ProcessBuilder::new(name.to_string(), &program)?;
        let own = Node::Entry(entry);
        let witnesses = self
            .witness_nodes()
            .map(|(witness, node)| {
                let peer_address = if node == own {
                    ports.peers
                } else {
                    self.link(own, node).address()
                };
                Ok(WitnessSettings {
                    instance: entry_name(witness)?,
                    availability_zone: zone(witness)?,
                    peer_address,
                })
            })
            .collect::<Result<_>>()?;
        let settings = EntrySettings {
            common: self.common(name, zone(entry)?, ports.admin),
            listen: ListenSettings {
                callers: ports.front,
                backend_servers: ports.backends,
                peers: ports.peers,
            },
            advertise: AdvertiseSettings {
                callers: Some(self.front(own).address()),
            },
            witnesses,
            backend_token: BACKEND_TOKEN.into(),
            limits: LimitSettings::default(),
            timing: self.plan.timing.clone(),
        };
        let file = builder.write("settings.json", &serde_json::to_string_pretty(&settings)?)?;
        let argument = file.display().to_string();
        let process = builder.argument(argument.clone()).spawn()?;
        Ok(Running {
            process,
            program,
            arguments: vec![argument],
            ports,
        })
    }

    /// Advertised addresses of all control instances.
    fn control_peers(&self) -> Vec<SocketAddr> {
        (0..self.plan.controls)
            .map(|control| self.front(Node::Control(control)).address())
            .collect()
    }

    fn witness_nodes(&self) -> impl Iterator<Item = (usize, Node)> + use<> {
        (0..self.plan.witnesses()).map(|entry| (entry, Node::Entry(entry)))
    }

    fn common(
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
            stop_deadline_ms: 30_000,
            peer_tls: None,
        }
    }

    async fn start_backends(&mut self) -> Result<()> {
        let entries: Vec<SocketAddr> = (0..self.plan.entries)
            .map(|entry| self.ports(Node::Entry(entry)).backends)
            .collect();
        for number in 0..self.plan.backends {
            let (backend, proxy) = self.start_backend(number, &entries).await?;
            self.backends.push(backend);
            self.backend_proxies.push(proxy);
        }
        Ok(())
    }

    /// A process that another test starts at this moment holds copies of all sockets until it runs its
    /// program, also of the one with which the port was found free. Then another port is taken.
    async fn start_backend(
        &self,
        number: usize,
        entries: &[SocketAddr],
    ) -> Result<(RunningBackend, RunningFaultProxy)> {
        const ATTEMPTS: usize = 10;
        let mut last = None;
        for _ in 0..ATTEMPTS {
            let listen = free_address()?;
            let proxy = fault_proxy::spawn(FaultProxySettings::new(listen)).await?;
            let settings = BackendSettings {
                listen,
                announced_address: self.plan.backend_proxies.then(|| proxy.address()),
                entries: entries.to_vec(),
                token: BACKEND_TOKEN.to_owned(),
                slots: self.plan.slots,
                service_time_ms: self.plan.service_time_ms,
                seed: u64::try_from(number)? + 1,
                ..BackendSettings::new(
                    SERVICE.parse()?,
                    format!("{SERVICE}-{}", number + 1).parse()?,
                    zone(number)?,
                )
            };
            match backend::spawn(settings).await {
                Ok(backend) => return Ok((backend, proxy)),
                Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => last = Some(error),
                Err(error) => return Err(error.into()),
            }
        }
        Err(last.context("no attempt was made")?.into())
    }
}

fn allocate_ports(plan: &FleetPlan) -> Result<BTreeMap<Node, Ports>> {
    let controls = (0..plan.controls).map(Node::Control);
    let entries = (0..plan.entries).map(Node::Entry);
    controls
        .chain(entries)
        .map(|node| {
            let ports = Ports {
                front: free_address()?,
                backends: free_address()?,
                peers: free_address()?,
                admin: free_address()?,
            };
            Ok((node, ports))
        })
        .collect()
}

/// A fault proxy for every pair of processes of which the first calls the second.
async fn start_links(
    plan: &FleetPlan,
    ports: &BTreeMap<Node, Ports>,
) -> Result<BTreeMap<(Node, Node), RunningFaultProxy>> {
    let mut links = BTreeMap::new();
    for from in ports.keys() {
        for (to, target) in ports {
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

/// A fault proxy in front of each process, for the address that it advertises.
async fn start_fronts(ports: &BTreeMap<Node, Ports>) -> Result<BTreeMap<Node, RunningFaultProxy>> {
    let mut fronts = BTreeMap::new();
    for (node, ports) in ports {
        let target = match node {
            Node::Control(_) => ports.peers,
            Node::Entry(_) => ports.front,
        };
        let proxy = fault_proxy::spawn(FaultProxySettings::new(target)).await?;
        fronts.insert(*node, proxy);
    }
    Ok(fronts)
}

fn found(program: &std::path::Path, settings: &str) -> Result<()> {
    let mut process = ProcessBuilder::new("found", program)?
        .argument("--found")
        .argument(settings)
        .spawn()?;
    let status = process.wait(START_TIMEOUT)?;
    anyhow::ensure!(status.success(), "founding failed: {}", process.log()?);
    Ok(())
}

fn sha256_hex(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}
