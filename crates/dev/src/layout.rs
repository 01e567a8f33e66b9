//! Settings of the processes of an embedded fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use radishpaddle_control::ControlSettings;
use radishpaddle_control::settings::{OperatorSettings, WitnessAddress};
use radishpaddle_entry::EntrySettings;
use radishpaddle_entry::settings::{
    AdvertiseSettings, LimitSettings, ListenSettings, TimingSettings, WitnessSettings,
};
use radishpaddle_kernel::CommonSettings;
use radishpaddle_model::{AvailabilityZone, InstanceId};
use sha2::{Digest, Sha256};

/// Ports that one process takes at most.
const PORTS_PER_PROCESS: u16 = 10;

/// Availability zones of the fleet; instances take turns.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Token that sample backend servers present.
pub const BACKEND_TOKEN: &str = "development-backend-token";

/// Token of the operator.
pub const OPERATOR_TOKEN: &str = "development-operator-token";

/// Size and place of an embedded fleet.
#[derive(Debug, Clone)]
pub struct FleetLayout {
    /// First port; the fleet uses the ports above it.
    pub base_port: u16,
    /// Entry instances.
    pub entries: u16,
    /// Directory for the control state.
    pub data_directory: PathBuf,
    /// Log specification.
    pub log: Arc<str>,
    /// Periods and lifetimes of the entry instances.
    pub timing: TimingSettings,
}

impl FleetLayout {
    /// Three entry instances above port 7800.
    #[must_use]
    pub fn new(data_directory: PathBuf) -> Self {
        Self {
            base_port: 7800,
            entries: 3,
            data_directory,
            log: "warn".into(),
            timing: TimingSettings::default(),
        }
    }

    /// Address of a port of a process; process 0 is control, 1 is the first entry instance.
    #[must_use]
    pub fn address(&self, process: u16, port: u16) -> SocketAddr {
        let port = self.base_port + process * PORTS_PER_PROCESS + port;
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }

    /// Address of the operator API.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.address(0, 0)
    }

    /// Addresses for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.entries)
            .map(|entry| self.address(entry, 0))
            .collect()
    }

    /// Addresses for announcements of backend servers.
    #[must_use]
    pub fn backend_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.entries)
            .map(|entry| self.address(entry, 1))
            .collect()
    }

    /// Settings of the control process.
    ///
    /// # Errors
    ///
    /// Fails when a name is not an identifier.
    pub fn control(&self) -> Result<ControlSettings> {
        let witnesses = self
            .witness_entries()
            .map(|entry| {
                Ok(WitnessAddress {
                    instance: entry_name(entry)?,
                    peer_address: self.address(entry, 2),
                })
            })
            .collect::<Result<_>>()?;
        Ok(ControlSettings {
            common: self.common("control-1".parse()?, zone(0)?, self.address(0, 3)),
            operator_listen: self.operator_address(),
            peer_listen: self.address(0, 2),
            peer_advertise: None,
            data_directory: self.data_directory.clone(),
            controls: vec![self.address(0, 2)],
            witnesses,
            operators: vec![OperatorSettings {
                name: "developer".into(),
                token_sha256: sha256_hex(OPERATOR_TOKEN).into(),
            }],
            target_voters: 1,
            repair_after_ms: 30_000,
        })
    }

    /// Settings of an entry instance, from 1.
    ///
    /// # Errors
    ///
    /// Fails when a name is not an identifier.
    pub fn entry(&self, entry: u16) -> Result<EntrySettings> {
        let witnesses = self
            .witness_entries()
            .map(|witness| {
                Ok(WitnessSettings {
                    instance: entry_name(witness)?,
                    availability_zone: zone(witness)?,
                    peer_address: self.address(witness, 2),
                })
            })
            .collect::<Result<_>>()?;
        let common = self.common(entry_name(entry)?, zone(entry)?, self.address(entry, 3));
        Ok(EntrySettings {
            common,
            listen: ListenSettings {
                callers: self.address(entry, 0),
                backend_servers: self.address(entry, 1),
                peers: self.address(entry, 2),
            },
            advertise: AdvertiseSettings::default(),
            witnesses,
            backend_token: BACKEND_TOKEN.into(),
            limits: LimitSettings::default(),
            timing: self.timing.clone(),
        })
    }

    /// Entry instances that are witnesses: an odd number, 5 at most.
    fn witness_entries(&self) -> impl Iterator<Item = u16> + use<> {
        let odd = if self.entries.is_multiple_of(2) {
            self.entries - 1
        } else {
            self.entries
        };
        1..=odd.min(5)
    }

    fn common(
        &self,
        instance: InstanceId,
        availability_zone: AvailabilityZone,
        admin_listen: SocketAddr,
    ) -> CommonSettings {
        CommonSettings {
            fleet: "development".into(),
            instance,
            availability_zone,
            admin_listen,
            log: Arc::clone(&self.log),
            journal_events: 10_000,
            stop_deadline_ms: 60_000,
            peer_tls: None,
        }
    }
}

/// Availability zone of the process with this number.
///
/// # Errors
///
/// Never fails for the zones that are built in.
pub fn zone(number: u16) -> Result<AvailabilityZone> {
    let name = ZONES[usize::from(number) % ZONES.len()];
    name.parse().context("zone name")
}

fn entry_name(entry: u16) -> Result<InstanceId> {
    Ok(format!("entry-{entry}").parse()?)
}

fn sha256_hex(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}
