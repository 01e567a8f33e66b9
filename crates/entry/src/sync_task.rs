//! Task that syncs with the witness leader, every 250 ms by default. It sends evidence and
//! in-flight counts, and receives verdicts, the in-flight counts of other instances and the
//! quarantine list.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_kernel::Context;
use radishpaddle_policy::{EvidenceCell, HealthReport, ServerKey, VerdictView};
use radishpaddle_quorum::InstanceIncarnation;
use radishpaddle_quorum::lease::Leader;
use radishpaddle_wire::message::request;
use tokio::time::MissedTickBehavior;

use crate::clock::Clock;
use crate::fleet_view::FleetViewReceiver;
use crate::poison_task::PoisonHandle;
use crate::services::Services;
use crate::sync_message::{SyncReply, SyncRequest};
use crate::witness_client::WitnessClients;

/// Time limit for the reply of the leader: two default periods.
const SYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Inputs of the task.
pub struct SyncInputs {
    /// Context of the process, for instance id and availability zone.
    pub context: Arc<Context>,
    /// Instance and incarnation of this process.
    pub life: InstanceIncarnation,
    /// Clients for the witnesses.
    pub witnesses: WitnessClients,
    /// State of the fleet from the last polls.
    pub fleet: FleetViewReceiver,
    /// Handles of the service tasks.
    pub services: Services,
    /// Handle to the task that owns the quarantine list.
    pub poison: PoisonHandle,
    /// Clock of the process.
    pub clock: Clock,
    /// Time between two sync requests.
    pub period: Duration,
}

/// Starts the task. It ends when the sender of the fleet state is dropped.
pub fn spawn(inputs: SyncInputs) {
    let verdicts = VerdictView::new(inputs.context.instance.clone());
    let task = SyncTask {
        inputs,
        verdicts,
        quarantine_generation: 0,
    };
    tokio::spawn(task.run());
}

struct SyncTask {
    inputs: SyncInputs,
    verdicts: VerdictView,
    quarantine_generation: u64,
}

impl SyncTask {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(self.inputs.period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.sync_with_leader().await,
                changed = self.inputs.fleet.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    async fn sync_with_leader(&mut self) {
        let leader = self.inputs.fleet.borrow().leader.clone();
        let Some(leader) = leader else {
            return;
        };
        let Some(client) = self.inputs.witnesses.get(&leader.life.instance).cloned() else {
            return;
        };
        let request = self.build_request(&leader).await;
        let sent_at = self.inputs.clock.now();
        let exchanged = client.call_with_payload(request::Kind::Sync, &request, SYNC_TIMEOUT);
        if let Ok(reply) = exchanged.await {
            self.apply(reply, sent_at).await;
        }
    }

    async fn build_request(&self, leader: &Leader) -> SyncRequest {
        let mut cells: Vec<EvidenceCell> = Vec::new();
        for handle in self.inputs.services.all().into_values() {
            cells.extend(handle.take_evidence().await);
        }
        let now = self.inputs.clock.now();
        let applied = self.verdicts.applied(now);
        let is_new_epoch = applied.epoch != leader.epoch.0;
        let mut in_flight: HashMap<ServerKey, u32> = HashMap::new();
        for cell in cells.iter().filter(|cell| cell.in_flight > 0) {
            *in_flight.entry(cell.server).or_default() += cell.in_flight;
        }
        let quarantine = if is_new_epoch {
            self.inputs.poison.quarantine_entries().await
        } else {
            Vec::new()
        };
        SyncRequest {
            life: self.inputs.life.clone(),
            epoch: leader.epoch,
            health: HealthReport {
                zone: Some(self.inputs.context.availability_zone.clone()),
                cells,
                applied,
                held: if is_new_epoch {
                    self.verdicts.held(now)
                } else {
                    Vec::new()
                },
            },
            in_flight: in_flight.into_iter().collect(),
            quarantine_generation: self.quarantine_generation,
            quarantine,
        }
    }

    async fn apply(&mut self, reply: SyncReply, sent_at: Duration) {
        let update = reply.health.update;
        if !self.verdicts.apply(update.clone(), sent_at) {
            return;
        }
        for handle in self.inputs.services.all().into_values() {
            handle.apply_verdicts(update.clone(), sent_at).await;
            handle
                .set_others_in_flight(reply.others_in_flight.clone())
                .await;
            for server in &reply.health.avoid {
                handle.avoid_path(*server).await;
            }
        }
        self.quarantine_generation = reply.quarantine_generation;
        if let Some(entries) = reply.quarantine {
            self.inputs.poison.replace_quarantine(entries).await;
        }
    }
}
