//! Start, configuration and stop of an embedded fleet.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context as _, Result, bail};
use radishpaddle_consensus::submissions::{Submission, SubmissionResult};
use radishpaddle_control::control_state::LogCommand;
use radishpaddle_control::maintenance;
use radishpaddle_control::replica::ReplicaHandle;
use radishpaddle_entry::fleet_view::FleetViewReceiver;
use radishpaddle_kernel::admin::Readiness;
use radishpaddle_kernel::{Kernel, Program};
use radishpaddle_model::{
    Change, OrganisationId, OrganisationKey, Revision, ServiceDocument, ServiceId,
};
use radishpaddle_testkit::backend::{self, BackendSettings, RunningBackend};

use crate::layout::{BACKEND_TOKEN, FleetLayout, zone};

/// Timeout for each wait: until the fleet is ready, knows its backend servers or has applied a configuration.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the state of the fleet is polled during a wait.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Control instance, entry instances and sample backend servers that run in this process.
pub struct EmbeddedFleet {
    control: Kernel,
    entries: Vec<Kernel>,
    backends: Vec<RunningBackend>,
}

impl EmbeddedFleet {
    /// Creates the control group if the data directory has none, starts the control and entry instances and waits
    /// until they are ready.
    ///
    /// # Errors
    ///
    /// Fails when a port is in use, the data directory is unusable, or the fleet does not become ready within 30 s.
    pub async fn spawn(layout: &FleetLayout) -> Result<Self> {
        let control = layout.control_settings()?;
        if !layout.data_directory.join("hard-state").exists() {
            maintenance::bootstrap_group(&control)?;
        }
        let control = Kernel::spawn(Program::Control, Arc::new(control)).await?;
        let mut entries = Vec::new();
        for entry in 1..=layout.entries {
            let settings = Arc::new(layout.entry_settings(entry)?);
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

    /// Starts sample backend servers of a service and waits until all entry instances know them.
    ///
    /// # Errors
    ///
    /// Fails when a port cannot be bound or the announcements do not reach all entry instances within 30 s.
    pub async fn add_backends(
        &mut self,
        layout: &FleetLayout,
        service: &ServiceId,
        count: u16,
    ) -> Result<()> {
        for number in 1..=count {
            let name = format!("{service}-{number}").parse()?;
            let settings = BackendSettings {
                entries: layout.announcement_addresses(),
                token: BACKEND_TOKEN.to_owned(),
                ..BackendSettings::new(service.clone(), name, zone(number)?)
            };
            self.backends.push(backend::spawn(settings).await?);
        }
        let expected = usize::from(count);
        self.wait_until(|fleet| {
            fleet.entries.iter().all(|entry| {
                entry
                    .context()
                    .get::<FleetViewReceiver>()
                    .is_ok_and(|view| {
                        let view = view.borrow();
                        let servers = view.backend_servers.iter();
                        servers.filter(|server| server.service == *service).count() >= expected
                    })
            })
        })
        .await
        .context("the backend servers did not become known to all entry instances")
    }

    /// Submits a configuration change directly to the control replica and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails when the control replica refuses the submission or gives no result.
    pub async fn submit(&self, id: &str, replaces: Revision, change: Change) -> Result<Revision> {
        let replica = self.control.context().get::<ReplicaHandle>()?;
        let submission = Submission {
            id: id.parse()?,
            replaces,
            change,
        };
        match replica.propose(LogCommand::Submit(submission)).await {
            Ok(Some(SubmissionResult::Committed { revision })) => Ok(revision),
            other => bail!("submission {id} was not committed: {other:?}"),
        }
    }

    /// Submits the first document of a service and a key for each given organisation, then waits until all entry
    /// instances have applied them.
    ///
    /// # Errors
    ///
    /// Fails when a submission is refused or the entry instances do not apply it within 30 s.
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
            let change = Change::AddKey {
                key_id: format!("{organisation}-1").parse()?,
                organisation: organisation.clone(),
                hash: key.hash(),
            };
            let id = format!("give-{organisation}");
            revision = self.submit(&id, Revision(0), change).await?;
        }
        self.wait_until(|fleet| {
            fleet
                .entries
                .iter()
                .all(|entry| applied_revision(entry) >= revision)
        })
        .await
        .context("the configuration was not applied by all entry instances")
    }

    /// Returns the entry instances.
    #[must_use]
    pub fn entries(&self) -> &[Kernel] {
        &self.entries
    }

    /// Returns the sample backend servers.
    #[must_use]
    pub fn backends(&self) -> &[RunningBackend] {
        &self.backends
    }

    /// Stops all instances at once, without waiting for requests in flight.
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
        self.wait_until(|fleet| ready(&fleet.control) && fleet.entries.iter().all(ready))
            .await
            .context("the fleet did not become ready")
    }

    /// Polls until the condition holds; fails after [`WAIT_TIMEOUT`].
    async fn wait_until(&self, condition: impl Fn(&Self) -> bool) -> Result<()> {
        let waiting = async {
            while !condition(self) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting).await?;
        Ok(())
    }
}

/// Returns the configuration revision that an entry instance has applied, or 0 if it has none.
fn applied_revision(entry: &Kernel) -> Revision {
    let config = entry
        .context()
        .get::<radishpaddle_entry::config_store::ConfigStore>();
    config.map_or(Revision(0), |config| config.revision())
}
