//! Task that detects requests which crash backend servers, and holds this instance's copy of the
//! quarantine list (design 4.8).

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
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_wire::WireError;
use radishpaddle_wire::message::request;
use radishpaddle_wire::{decode_response, encode};
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use crate::backend_info::BackendInfo;
use crate::clock::Clock;
use crate::fleet_view::FleetViewReceiver;
use crate::sync_message::{CrashReport, TicketRequest};
use crate::witness_client::{WitnessClient, WitnessClients};

/// Capacity of the command channel of the task.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Time limit for the reply to a crash report. The leader replies within 300 ms.
const CRASH_REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the reply to a ticket request.
const TICKET_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of the probe that checks, after a lost connection, whether the server refuses
/// connections.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Time within which a request that loses its connection at two servers counts as the cause of two
/// crashes.
const REPEATED_LOSS_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of lost requests that are compared within [`REPEATED_LOSS_WINDOW`].
const MAX_RECENT_LOSSES: usize = 1024;

/// Handle to the task. The task ends when the last handle is dropped.
#[derive(Clone)]
pub struct PoisonHandle {
    commands: mpsc::Sender<Command>,
    is_empty: Arc<AtomicBool>,
}

/// When the connection of a request was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// Before the response began.
    BeforeResponse,
    /// Within the response. Servers and intermediaries also cut responses without a crash, so this loss needs evidence
    /// from its own server.
    WithinResponse,
}

/// Request whose connection was lost before its response was complete.
#[derive(Debug, Clone)]
pub struct LostRequest {
    /// Server to which the request was sent.
    pub server: Arc<BackendInfo>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Ticket under which the request ran, if it was suspect.
    pub ticket: Option<TicketId>,
    /// When the connection was lost.
    pub loss: Loss,
}

type CrashReplySender = oneshot::Sender<Option<CrashId>>;

enum Command {
    Admit(Fingerprint, oneshot::Sender<Admission>),
    ReportLoss(LostRequest, CrashReplySender),
    ProbeFinished(LostRequest, bool, CrashReplySender),
    ListEntries(oneshot::Sender<Vec<QuarantineEntry>>),
    ReplaceEntries(Vec<QuarantineEntry>),
}

/// Decision whether a request may be dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchPermission {
    /// The request is not suspect and may run without a ticket.
    Run,
    /// The request is suspect and may run once under the ticket, within the given time.
    Ticket(TicketId, Duration),
    /// The request may not run at present.
    Refused,
}

impl PoisonHandle {
    /// Starts the task.
    #[must_use]
    pub fn spawn(
        life: InstanceIncarnation,
        witnesses: WitnessClients,
        fleet: FleetViewReceiver,
        journal: Journal,
        clock: Clock,
    ) -> Self {
        let (commands, receiver) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let is_empty = Arc::new(AtomicBool::new(true));
        let task = PoisonTask {
            life,
            witnesses,
            fleet,
            journal,
            clock,
            quarantine: QuarantineView::new(),
            crash_watch: CrashWatch::new(),
            incarnations: HashMap::new(),
            recent_losses: VecDeque::new(),
            commands: commands.downgrade(),
            is_empty: Arc::clone(&is_empty),
        };
        tokio::spawn(task.run(receiver));
        Self { commands, is_empty }
    }

    /// Returns whether the quarantine list is empty, in which case requests need no check.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.is_empty.load(Ordering::Relaxed)
    }

    /// Returns whether the quarantine list admits a request.
    pub async fn admit(&self, fingerprint: Fingerprint) -> Admission {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(Command::Admit(fingerprint, reply)).await;
        response.await.unwrap_or(Admission::Run)
    }

    /// Reports a request whose connection was lost. If the server crashed, returns the crash after
    /// the report to the leader has been answered or has timed out. The leader answers once the
    /// other instances know the request as suspect, so that a resend through one of them is
    /// checked.
    pub async fn report_lost_request(&self, lost: LostRequest) -> Option<CrashId> {
        let (reply, response) = oneshot::channel();
        self.commands
            .send(Command::ReportLoss(lost, reply))
            .await
            .ok()?;
        response.await.ok().flatten()
    }

    /// Returns the quarantine list, for the report to a new leader.
    pub async fn quarantine_entries(&self) -> Vec<QuarantineEntry> {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(Command::ListEntries(reply)).await;
        response.await.unwrap_or_default()
    }

    /// Replaces the quarantine list by that of the leader.
    pub async fn replace_quarantine(&self, entries: Vec<QuarantineEntry>) {
        let _ = self.commands.send(Command::ReplaceEntries(entries)).await;
    }
}

/// Client for the tickets of suspect requests, which the witness leader grants.
#[derive(Clone)]
pub struct TicketClient {
    /// Instance and incarnation of this process.
    pub life: InstanceIncarnation,
    /// Clients for the witnesses.
    pub witnesses: WitnessClients,
    /// State of the fleet from the last polls.
    pub fleet: FleetViewReceiver,
}

impl TicketClient {
    /// Requests a ticket for a suspect request. Without a reply of the leader the request may not
    /// run.
    pub async fn request(
        &self,
        fingerprint: Fingerprint,
        remaining: Duration,
    ) -> DispatchPermission {
        let request = TicketRequest::Ask {
            life: self.life.clone(),
            fingerprint,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        };
        match self.exchange(&request).await {
            Ok(TicketResponse::Granted { ticket, valid_ms }) => {
                DispatchPermission::Ticket(ticket, Duration::from_millis(valid_ms))
            }
            Ok(TicketResponse::NotSuspect) => DispatchPermission::Run,
            Ok(TicketResponse::Busy { .. } | TicketResponse::Refused { .. }) | Err(_) => {
                DispatchPermission::Refused
            }
        }
    }

    /// Reports the outcome of a request that ran under a ticket.
    pub async fn report_outcome(
        &self,
        fingerprint: Fingerprint,
        ticket: TicketId,
        outcome: TicketOutcome,
    ) {
        let request = TicketRequest::Finish {
            fingerprint,
            ticket,
            outcome,
        };
        let _ = self.exchange(&request).await;
    }

    async fn exchange(&self, request: &TicketRequest) -> Result<TicketResponse, WireError> {
        let client = leader_client(&self.fleet, &self.witnesses).ok_or(WireError::Stopped)?;
        client
            .call_with_payload(request::Kind::Ticket, request, TICKET_TIMEOUT)
            .await
    }
}

fn leader_client(fleet: &FleetViewReceiver, witnesses: &WitnessClients) -> Option<WitnessClient> {
    let leader = fleet.borrow().leader.clone()?;
    witnesses.get(&leader.life.instance).cloned()
}

struct PoisonTask {
    life: InstanceIncarnation,
    witnesses: WitnessClients,
    fleet: FleetViewReceiver,
    journal: Journal,
    clock: Clock,
    quarantine: QuarantineView,
    crash_watch: CrashWatch,
    incarnations: HashMap<ServerKey, Incarnation>,
    recent_losses: VecDeque<(Duration, LostRequest)>,
    commands: mpsc::WeakSender<Command>,
    is_empty: Arc<AtomicBool>,
}

impl PoisonTask {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                changed = self.fleet.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    self.detect_restarts();
                }
            }
            let is_empty = self.quarantine.is_empty();
            self.is_empty.store(is_empty, Ordering::Relaxed);
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Admit(fingerprint, reply) => {
                let _ = reply.send(self.quarantine.admit(&fingerprint, now));
            }
            Command::ReportLoss(lost, reply) => self.on_connection_lost(lost, reply, now),
            Command::ProbeFinished(lost, refused, reply) => {
                self.on_probe_finished(&lost, refused, reply, now);
            }
            Command::ListEntries(reply) => {
                let _ = reply.send(self.quarantine.entries(now));
            }
            Command::ReplaceEntries(entries) => self.quarantine.replace(&entries, now),
        }
    }

    fn on_connection_lost(&mut self, lost: LostRequest, reply: CrashReplySender, now: Duration) {
        let server = &lost.server;
        self.crash_watch.record_lost(
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
            let refused = refuses_connections(&lost.server).await;
            let _ = commands
                .send(Command::ProbeFinished(lost, refused, reply))
                .await;
        });
    }

    fn on_probe_finished(
        &mut self,
        lost: &LostRequest,
        refused: bool,
        reply: CrashReplySender,
        now: Duration,
    ) {
        let crashes: Vec<Crash> = if refused {
            self.crash_watch
                .record_refused(lost.server.key, now)
                .into_iter()
                .collect()
        } else {
            let earlier = self.earlier_crash_at_other_server(lost, now);
            earlier
                .into_iter()
                .flat_map(|earlier| [earlier, crash_for(lost)])
                .collect()
        };
        if lost.loss == Loss::BeforeResponse {
            self.add_recent_loss(lost, now);
        }
        if crashes.is_empty() {
            let _ = reply.send(None);
        } else {
            self.report_crashes(crashes, Some(reply));
        }
    }

    /// Returns the earlier crash if the request has lost its connection at another server within
    /// [`REPEATED_LOSS_WINDOW`]. Such a request counts as the cause of a crash of both servers,
    /// even if they accepted connections again before the probe.
    fn earlier_crash_at_other_server(&self, lost: &LostRequest, now: Duration) -> Option<Crash> {
        if lost.loss == Loss::WithinResponse {
            return None;
        }
        let earlier = self.recent_losses.iter().find(|(at, known)| {
            now < *at + REPEATED_LOSS_WINDOW
                && known.fingerprint == lost.fingerprint
                && known.server.key != lost.server.key
        });
        earlier.map(|(_, known)| crash_for(known))
    }

    fn add_recent_loss(&mut self, lost: &LostRequest, now: Duration) {
        if self.recent_losses.len() == MAX_RECENT_LOSSES {
            self.recent_losses.pop_front();
        }
        self.recent_losses.push_back((now, lost.clone()));
    }

    fn detect_restarts(&mut self) {
        let now = self.clock.now();
        let servers = self.fleet.borrow().backend_servers.clone();
        for server in servers.iter() {
            let known = self.incarnations.insert(server.key, server.incarnation);
            if known.is_some_and(|known| known < server.incarnation)
                && let Some(crash) =
                    self.crash_watch
                        .record_announced(server.key, server.incarnation, now)
            {
                self.report_crashes(vec![crash], None);
            }
        }
        if self.incarnations.len() > servers.len() * 2 + 64 {
            let keys: std::collections::HashSet<_> =
                servers.iter().map(|server| server.key).collect();
            self.incarnations.retain(|key, _| keys.contains(key));
        }
    }

    /// Marks the requests as suspect on this instance at once and reports the crashes to the
    /// leader.
    fn report_crashes(&mut self, crashes: Vec<Crash>, reply: Option<CrashReplySender>) {
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
                self.quarantine.mark_suspect(*fingerprint, *crash, now);
            }
            let requests: Vec<String> = fingerprints.iter().map(ToString::to_string).collect();
            let detail = json!({"server": crash.server.to_string(), "requests": requests});
            self.journal.record("crash_seen", None, None, detail);
        }
        let report = CrashReport {
            life: self.life.clone(),
            crashes,
        };
        let client = leader_client(&self.fleet, &self.witnesses);
        tokio::spawn(async move {
            if let Some(client) = client {
                let _ = send_report(&client, &report).await;
            }
            if let Some(reply) = reply {
                let _ = reply.send(newest);
            }
        });
    }
}

/// Returns the crash of the server incarnation to which the request was sent.
fn crash_for(lost: &LostRequest) -> Crash {
    Crash {
        id: CrashId {
            server: lost.server.key,
            incarnation: lost.server.incarnation,
        },
        requests: vec![(lost.fingerprint, lost.ticket)],
    }
}

async fn send_report(client: &WitnessClient, report: &CrashReport) -> Result<(), WireError> {
    let kind = request::Kind::Crash(encode(report)?);
    match client.call(kind, CRASH_REPORT_TIMEOUT).await? {
        radishpaddle_wire::message::response::Kind::Empty(_) => Ok(()),
        other => decode_response::<()>(other),
    }
}

/// Returns whether the server refuses connections. A fault of the network path does not cause a
/// refusal.
async fn refuses_connections(server: &BackendInfo) -> bool {
    let connected =
        tokio::time::timeout(CRASH_PROBE_TIMEOUT, TcpStream::connect(server.address)).await;
    match connected {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
