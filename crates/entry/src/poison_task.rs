//! The task that owns what this instance knows about requests that crash backend servers
//! (design 4.8).

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use radishpaddle_kernel::Journal;
use radishpaddle_model::{Fingerprint, Incarnation};
use radishpaddle_policy::quarantine::{Admission, Crash, QuarantineEntry};
use radishpaddle_policy::{
    CrashId, CrashWatch, QuarantineView, ServerKey, TicketId, TicketOutcome, TicketResponse,
};
use radishpaddle_quorum::Life;
use radishpaddle_wire::WireError;
use radishpaddle_wire::message::request;
use radishpaddle_wire::{decode_response, encode};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::fleet_view::FleetWatch;
use crate::sync_message::{CrashReport, TicketRequest};
use crate::witness_port::{WitnessPort, WitnessPorts};

/// Commands that wait for the task.
const COMMAND_QUEUE: usize = 4096;

/// Longest wait for the answer to a crash report: the leader answers within 300 ms.
const CRASH_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for a ticket.
const TICKET_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a refused connection is looked for after a connection was lost.
const CRASH_CHECK: Duration = Duration::from_millis(200);

/// Time within which one request that loses its connection at two servers counts as their cause.
const SAME_REQUEST_WINDOW: Duration = Duration::from_secs(10);

/// Lost requests remembered for [`SAME_REQUEST_WINDOW`].
const MAX_RECENT: usize = 1024;

/// Handle to the task. It ends when the last handle is dropped.
#[derive(Clone)]
pub struct PoisonHandle {
    commands: mpsc::Sender<Command>,
    is_empty: Arc<AtomicBool>,
}

/// A request whose connection was lost.
#[derive(Debug, Clone)]
pub struct LostRequest {
    /// Server that had it.
    pub server: Arc<BackendInfo>,
    /// The request.
    pub fingerprint: Fingerprint,
    /// Ticket under which it ran.
    pub ticket: Option<TicketId>,
}

type CrashReply = oneshot::Sender<Option<CrashId>>;

enum Command {
    Admit(Fingerprint, oneshot::Sender<Admission>),
    Lost(LostRequest, CrashReply),
    Checked(LostRequest, bool, CrashReply),
    Entries(oneshot::Sender<Vec<QuarantineEntry>>),
    Replace(Vec<QuarantineEntry>),
}

/// Permission to dispatch a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// No crash is known.
    Run,
    /// Runs once under a ticket, for this time at most.
    Ticket(TicketId, Duration),
    /// May not run now.
    Refused,
}

impl PoisonHandle {
    /// Starts the task.
    #[must_use]
    pub fn spawn(
        life: Life,
        ports: WitnessPorts,
        fleet: FleetWatch,
        journal: Journal,
        clock: Clock,
    ) -> Self {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
        let is_empty = Arc::new(AtomicBool::new(true));
        let task = PoisonTask {
            life,
            ports,
            fleet,
            journal,
            clock,
            view: QuarantineView::new(),
            watch: CrashWatch::new(),
            incarnations: HashMap::new(),
            recent: VecDeque::new(),
            commands: commands.downgrade(),
            is_empty: Arc::clone(&is_empty),
        };
        tokio::spawn(task.run(receiver));
        Self { commands, is_empty }
    }

    /// Whether no fingerprint is known, so that requests need not be hashed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.is_empty.load(Ordering::Relaxed)
    }

    /// Whether a request may be dispatched.
    pub async fn admit(&self, fingerprint: Fingerprint) -> Admission {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Admit(fingerprint, reply)).await;
        answer.await.unwrap_or(Admission::Run)
    }

    /// Reports a request whose connection was lost. Returns the crash, if it was one, once the fleet
    /// knows of it, so that a resend through another instance is seen as suspect there.
    pub async fn lost(&self, lost: LostRequest) -> Option<CrashId> {
        let (reply, done) = oneshot::channel();
        self.commands.send(Command::Lost(lost, reply)).await.ok()?;
        done.await.ok().flatten()
    }

    /// List to report to a new leader.
    pub async fn entries(&self) -> Vec<QuarantineEntry> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Entries(reply)).await;
        answer.await.unwrap_or_default()
    }

    /// Takes over the list of the leader.
    pub async fn replace(&self, entries: Vec<QuarantineEntry>) {
        let _ = self.commands.send(Command::Replace(entries)).await;
    }
}

/// Tickets for suspect requests, from the leader.
#[derive(Clone)]
pub struct Tickets {
    /// Life of the process.
    pub life: Life,
    /// Witnesses.
    pub ports: WitnessPorts,
    /// Fleet as known here.
    pub fleet: FleetWatch,
}

impl Tickets {
    /// Asks for the ticket of a suspect request. Without an answer the request may not run.
    pub async fn ask(&self, fingerprint: Fingerprint, remaining: Duration) -> Permission {
        let request = TicketRequest::Ask {
            life: self.life.clone(),
            fingerprint,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        match self.exchange(&request).await {
            Ok(TicketResponse::Granted { ticket, valid_ms }) => {
                Permission::Ticket(ticket, Duration::from_millis(valid_ms))
            }
            Ok(TicketResponse::NotSuspect) => Permission::Run,
            Ok(TicketResponse::Busy { .. } | TicketResponse::Refused { .. }) | Err(_) => {
                Permission::Refused
            }
        }
    }

    /// Reports the end of a request that ran under a ticket.
    pub async fn finish(&self, fingerprint: Fingerprint, ticket: TicketId, outcome: TicketOutcome) {
        let request = TicketRequest::Finish {
            fingerprint,
            ticket,
            outcome,
        };
        let _ = self.exchange(&request).await;
    }

    async fn exchange(&self, request: &TicketRequest) -> Result<TicketResponse, WireError> {
        let port = leader_port(&self.fleet, &self.ports).ok_or(WireError::Stopped)?;
        port.exchange(request::Kind::Ticket, request, TICKET_TIMEOUT)
            .await
    }
}

fn leader_port(fleet: &FleetWatch, ports: &WitnessPorts) -> Option<WitnessPort> {
    let leader = fleet.borrow().leader.clone()?;
    ports.get(&leader.life.instance).cloned()
}

struct PoisonTask {
    life: Life,
    ports: WitnessPorts,
    fleet: FleetWatch,
    journal: Journal,
    clock: Clock,
    view: QuarantineView,
    watch: CrashWatch,
    incarnations: HashMap<ServerKey, Incarnation>,
    recent: VecDeque<(Duration, LostRequest)>,
    commands: mpsc::WeakSender<Command>,
    is_empty: Arc<AtomicBool>,
}

impl PoisonTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                changed = self.fleet.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.look_for_new_incarnations();
                }
            }
            let is_empty = self.view.is_empty();
            self.is_empty.store(is_empty, Ordering::Relaxed);
        }
    }

    fn take(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit(fingerprint, reply) => {
                let _ = reply.send(self.view.admit(&fingerprint, now));
            }
            Command::Lost(lost, reply) => self.note_lost(lost, reply, now),
            Command::Checked(lost, refused, reply) => self.checked(&lost, refused, reply, now),
            Command::Entries(reply) => {
                let _ = reply.send(self.view.entries(now));
            }
            Command::Replace(entries) => self.view.replace(&entries, now),
        }
    }

    fn note_lost(&mut self, lost: LostRequest, reply: CrashReply, now: Duration) {
        let server = &lost.server;
        self.watch.lost(
            server.key,
            server.incarnation,
            lost.fingerprint,
            lost.ticket,
            now,
        );
        let Some(commands) = self.commands.upgrade() else {
            return;
        };
        tokio::spawn(async move {
            let refused = is_refusing(&lost.server).await;
            let _ = commands.send(Command::Checked(lost, refused, reply)).await;
        });
    }

    fn checked(&mut self, lost: &LostRequest, refused: bool, reply: CrashReply, now: Duration) {
        let crashes: Vec<Crash> = if refused {
            self.watch
                .refused(lost.server.key, now)
                .into_iter()
                .collect()
        } else {
            let earlier = self.lost_elsewhere(lost, now);
            earlier
                .into_iter()
                .flat_map(|earlier| [earlier, crash_of(lost)])
                .collect()
        };
        self.remember(lost, now);
        if crashes.is_empty() {
            let _ = reply.send(None);
        } else {
            self.report(crashes, Some(reply));
        }
    }

    /// A request that lost its connection at two servers within a short time counts as the crash of
    /// both, also when they were back before the check. Returns the earlier one.
    fn lost_elsewhere(&self, lost: &LostRequest, now: Duration) -> Option<Crash> {
        let earlier = self.recent.iter().find(|(at, known)| {
            now < *at + SAME_REQUEST_WINDOW
                && known.fingerprint == lost.fingerprint
                && known.server.key != lost.server.key
        });
        earlier.map(|(_, known)| crash_of(known))
    }

    fn remember(&mut self, lost: &LostRequest, now: Duration) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, lost.clone()));
    }

    fn look_for_new_incarnations(&mut self) {
        let now = self.clock.now();
        let servers = self.fleet.borrow().backend_servers.clone();
        for server in servers.iter() {
            let known = self.incarnations.insert(server.key, server.incarnation);
            if known.is_some_and(|known| known < server.incarnation)
                && let Some(crash) = self.watch.announced(server.key, server.incarnation, now)
            {
                self.report(vec![crash], None);
            }
        }
        if self.incarnations.len() > servers.len() * 2 + 64 {
            let keys: std::collections::HashSet<_> =
                servers.iter().map(|server| server.key).collect();
            self.incarnations.retain(|key, _| keys.contains(key));
        }
    }

    /// Marks the requests here at once and tells the leader.
    fn report(&mut self, crashes: Vec<Crash>, reply: Option<CrashReply>) {
        let now = self.clock.now();
        let newest = crashes.last().map(|crash| crash.id);
        let crashes: Vec<(CrashId, Vec<Fingerprint>)> = crashes
            .into_iter()
            .map(|crash| {
                let requests = crash.requests.into_iter();
                (
                    crash.id,
                    requests.map(|(fingerprint, _)| fingerprint).collect(),
                )
            })
            .collect();
        for (crash, fingerprints) in &crashes {
            for fingerprint in fingerprints {
                self.view.suspect(*fingerprint, *crash, now);
            }
            let requests: Vec<String> = fingerprints.iter().map(ToString::to_string).collect();
            let detail = json!({"server": crash.server.to_string(), "requests": requests});
            self.journal.record("crash_seen", None, None, detail);
        }
        let report = CrashReport {
            life: self.life.clone(),
            crashes,
        };
        let port = leader_port(&self.fleet, &self.ports);
        tokio::spawn(async move {
            if let Some(port) = port {
                let _ = send_report(&port, &report).await;
            }
            if let Some(reply) = reply {
                let _ = reply.send(newest);
            }
        });
    }
}

/// The end of the life of the server that had the request.
fn crash_of(lost: &LostRequest) -> Crash {
    Crash {
        id: CrashId {
            server: lost.server.key,
            incarnation: lost.server.incarnation,
        },
        requests: vec![(lost.fingerprint, lost.ticket)],
    }
}

async fn send_report(port: &WitnessPort, report: &CrashReport) -> Result<(), WireError> {
    let kind = request::Kind::Crash(encode(report)?);
    match port.call(kind, CRASH_TIMEOUT).await? {
        radishpaddle_wire::message::response::Kind::Empty(_) => Ok(()),
        other => decode_response::<()>(other),
    }
}

/// Whether the server refuses connections, which a lost path does not explain.
async fn is_refusing(server: &BackendInfo) -> bool {
    let connected = tokio::time::timeout(CRASH_CHECK, TcpStream::connect(server.address)).await;
    match connected {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
