//! A running embedded fleet.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use radishpaddle_consensus::submissions::{Submission, SubmissionResult};
use radishpaddle_control::control_state::LogCommand;
use radishpaddle_control::maintenance;
use radishpaddle_control::replica::ReplicaHandle;
use radishpaddle_entry::fleet_view::FleetWatch;
use radishpaddle_kernel::admin::Readiness;
use radishpaddle_kernel::{Kernel, Program};
use radishpaddle_model::{
    Change, OrganisationId, OrganisationKey, Revision, ServiceDocument, ServiceId,
};
use radishpaddle_testkit::backend::{self, BackendSettings, RunningBackend};

use crate::layout::{BACKEND_TOKEN, FleetLayout, zone};

/// Longest wait until the fleet serves.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between two looks at the state of the fleet.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Control, entry instances and sample backend servers of one process.
pub struct EmbeddedFleet {
    control: Kernel,
    entries: Vec<Kernel>,
    backends: Vec<RunningBackend>,
}

impl EmbeddedFleet {
    /// Founds a control group if the data directory is new, and starts control and entry instances.
    ///
    /// # Errors
    ///
    /// Fails when a port is taken, the data directory cannot be used, or the fleet does not become
    /// ready in time.
    pub async fn spawn(layout: &FleetLayout) -> Result<Self> {
        let control = layout.control()?;
        if !layout.data_directory.join("hard-state").exists() {
            maintenance::found_in(&control)?;
        }
        let control = Kernel::spawn(Program::Control, Arc::new(control)).await?;
        let mut entries = Vec::new();
        for entry in 1..=layout.entries {
            let settings = Arc::new(layout.entry(entry)?);
            entries.push(Kernel::spawn(Program::Entry, settings).await?);
        }
        let fleet = Self {
            control,
            entries,
            backends: Vec::new(),
        };
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts sample backend servers of a service and waits until every entry instance knows them.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or the announcements do not arrive in time.
    pub async fn add_backends(
        &mut self,
        layout: &FleetLayout,
        service: &ServiceId,
        count: u16,
    ) -> Result<()> {
        for number in 1..=count {
            let name = format!("{service}-{number}").parse()?;
            let settings = BackendSettings {
                entries: layout.backend_addresses(),
                token: BACKEND_TOKEN.to_owned(),
                ..BackendSettings::new(service.clone(), name, zone(number)?)
            };
            self.backends.push(backend::spawn(settings).await?);
        }
        let known = usize::from(count);
        self.wait(|fleet| {
            fleet.entries.iter().all(|entry| {
                entry.context().get::<FleetWatch>().is_ok_and(|view| {
                    let view = view.borrow();
                    let servers = view.backend_servers.iter();
                    servers.filter(|server| server.service == *service).count() >= known
                })
            })
        })
        .await
        .context("backend servers did not become known")
    }

    /// Submits a change as an operator would.
    ///
    /// # Errors
    ///
    /// Fails when the change is refused.
    pub async fn submit(&self, id: &str, replaces: Revision, change: Change) -> Result<Revision> {
        let replica = self.control.context().get::<ReplicaHandle>()?;
        let submission = Submission {
            id: id.parse()?,
            replaces,
            change,
        };
        match replica.propose(LogCommand::Submit(submission)).await {
            Ok(Some(SubmissionResult::Committed { revision })) => Ok(revision),
            other => bail!("submission {id} was refused: {other:?}"),
        }
    }

    /// Puts a document in force for the first time and gives a key to each of its organisations.
    ///
    /// # Errors
    ///
    /// Fails when a submission is refused.
    pub async fn add_service(
        &self,
        document: ServiceDocument,
        keys: &[(OrganisationId, OrganisationKey)],
    ) -> Result<()> {
        let id = format!("put-{}", document.service);
        let change = Change::PutService {
            document: Arc::new(document),
        };
        let mut revision = self.submit(&id, Revision(0), change).await?;
        for (organisation, key) in keys {
            let change = Change::GiveKey {
                key_id: format!("{organisation}-1").parse()?,
                organisation: organisation.clone(),
                hash: key.hash(),
            };
            let id = format!("give-{organisation}");
            revision = self.submit(&id, Revision(0), change).await?;
        }
        self.wait(|fleet| fleet.entries.iter().all(|entry| applied(entry) >= revision))
            .await
            .context("the configuration did not reach every instance")
    }

    /// Entry instances.
    #[must_use]
    pub fn entries(&self) -> &[Kernel] {
        &self.entries
    }

    /// Sample backend servers.
    #[must_use]
    pub fn backends(&self) -> &[RunningBackend] {
        &self.backends
    }

    /// Stops everything; callers that are still connected are cut off.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop_within(Duration::ZERO).await;
        }
        self.control.stop_within(Duration::ZERO).await;
    }

    async fn wait_ready(&self) -> Result<()> {
        let ready = |kernel: &Kernel| {
            let readiness = kernel.context().get::<Readiness>();
            readiness.is_ok_and(|readiness| readiness.is_ready())
        };
        self.wait(|fleet| ready(&fleet.control) && fleet.entries.iter().all(ready))
            .await
            .context("the fleet did not become ready")
    }

    async fn wait(&self, condition: impl Fn(&Self) -> bool) -> Result<()> {
        let waiting = async {
            while !condition(self) {
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        };
        tokio::time::timeout(START_TIMEOUT, waiting).await?;
        Ok(())
    }
}

fn applied(entry: &Kernel) -> Revision {
    let config = entry
        .context()
        .get::<radishpaddle_entry::config_store::ConfigStore>();
    config.map_or(Revision(0), |config| config.revision())
}
