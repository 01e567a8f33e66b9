//! Maintenance commands on the data directory of a stopped control instance: found, export and restore.

use std::path::Path;
use std::sync::Arc;

use anyhow::{Context as _, Result, bail};
use radishpaddle_consensus::{Payload, PersistedState, ReplicaId};
use radishpaddle_kernel::settings;
use radishpaddle_model::Revision;
use radishpaddle_replication::disk;
use radishpaddle_storage::{Export, LocalFileSystem, Storage};

use crate::control_state::{ControlState, LogCommand};
use crate::settings::ControlSettings;

/// Bootstraps a new control group in the empty data directory named in a settings file. Runs `--found`.
///
/// # Errors
///
/// Fails when the settings are invalid or the data directory already holds a state.
pub fn bootstrap(settings_file: &Path) -> Result<()> {
    let settings: ControlSettings = settings::load(settings_file)?;
    bootstrap_group(&settings)?;
    println!(
        "founded a control group in {}",
        settings.data_directory.display()
    );
    Ok(())
}

/// Bootstraps a new control group in the empty data directory named in the settings.
///
/// # Errors
///
/// Fails when the data directory already holds a state or cannot be written.
pub fn bootstrap_group(settings: &ControlSettings) -> Result<()> {
    bootstrap_from(settings, 0, None)
}

fn bootstrap_from(settings: &ControlSettings, index: u64, data: Option<Arc<[u8]>>) -> Result<()> {
    let (mut storage, recovered) = Storage::open(&settings.data_directory, disk::new_replica_id())?;
    let id = ReplicaId(recovered.hard_state.replica_id);
    let address = settings.peer_address().to_string().into();
    let state = PersistedState::bootstrap_from_export(id, address, index, data);
    let snapshot = state
        .snapshot
        .context("the founding state has no snapshot")?;
    let hard_state = disk::stored_hard_state(&state.hard_state);
    storage.bootstrap(hard_state, disk::stored_snapshot(&snapshot))?;
    Ok(())
}

/// Exports the state of a stopped instance to a portable file. Runs `--export`.
///
/// # Errors
///
/// Fails when the data directory is in use or damaged, or the file cannot be written.
pub fn export(settings_file: &Path, file: &Path) -> Result<()> {
    let settings: ControlSettings = settings::load(settings_file)?;
    let (_storage, recovered) = Storage::open(&settings.data_directory, disk::new_replica_id())?;
    if recovered.is_new {
        bail!(
            "data directory {} contains no state",
            settings.data_directory.display()
        );
    }
    let persisted = disk::persisted_state(&recovered)?;
    let mut state = ControlState::default();
    let mut index = 0;
    if let Some(snapshot) = &persisted.snapshot {
        state = ControlState::decode(&snapshot.data)?;
        index = snapshot.meta.index;
    }
    // The last entries may not be committed. They are exported too, because an acknowledged change must not be
    // lost in a restore.
    for entry in persisted.entries.iter().filter(|entry| entry.index > index) {
        if let Payload::Data(bytes) = &entry.payload {
            state.apply(&serde_json::from_slice::<LogCommand>(bytes)?)?;
        }
    }
    let index = persisted.entries.last().map_or(index, |entry| entry.index);
    let data = state.encode()?;
    Export { index, data }.write(Arc::new(LocalFileSystem), file)?;
    let revision = state.config().revision;
    println!("exported revision {revision} to {}", file.display());
    Ok(())
}

/// Founds a new control group from an export. The restored configuration gets a revision higher than `above`.
/// Runs `--restore`.
///
/// # Errors
///
/// Fails when the file is not a valid export or the data directory already holds a state.
pub fn restore(settings_file: &Path, file: &Path, above: Revision) -> Result<()> {
    let settings: ControlSettings = settings::load(settings_file)?;
    let export = Export::read(Arc::new(LocalFileSystem), file)?;
    let mut state = ControlState::decode(&export.data)
        .context("cannot decode the control state in the export")?;
    state.advance_revision_above(above);
    let data: Arc<[u8]> = state.encode()?.into();
    bootstrap_from(&settings, export.index, Some(data))?;
    let revision = state.config().revision;
    println!("restored as revision {revision}; start the instance now");
    Ok(())
}
