//! Ports and settings of the instances of an embedded fleet.

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

/// Number of consecutive ports reserved for each instance.
const PORTS_PER_INSTANCE: u16 = 10;

/// Port offset of the operator API of the control instance.
const OPERATOR_PORT: u16 = 0;

/// Port offset of an entry instance for callers.
const CALLER_PORT: u16 = 0;

/// Port offset of an entry instance for announcements of backend servers.
const ANNOUNCEMENT_PORT: u16 = 1;

/// Port offset of the peer protocol.
const PEER_PORT: u16 = 2;

/// Port offset of the admin server.
pub const ADMIN_PORT: u16 = 3;

/// Availability zones of the fleet, assigned to the instances in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Token with which sample backend servers authenticate.
pub const BACKEND_TOKEN: &str = "development-backend-token";

/// Token with which the operator authenticates.
pub const OPERATOR_TOKEN: &str = "development-operator-token";

/// Size, ports and data directory of an embedded fleet.
#[derive(Debug, Clone)]
pub struct FleetLayout {
    /// First port of the fleet; instance `n` uses the ten ports from `base_port + 10 * n`.
    pub base_port: u16,
    /// Number of entry instances.
    pub entries: u16,
    /// Directory for the state of the control instance.
    pub data_directory: PathBuf,
    /// Log specification, such as `warn`.
    pub log: Arc<str>,
    /// Timing settings of the entry instances.
    pub timing: TimingSettings,
}

impl FleetLayout {
    /// Creates a layout with three entry instances and base port 7800.
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

    /// Returns the loopback address of an instance at a port offset. Instance 0 is the control instance, instance 1
    /// the first entry instance.
    #[must_use]
    pub fn address(&self, instance: u16, port_offset: u16) -> SocketAddr {
        let port = self.base_port + instance * PORTS_PER_INSTANCE + port_offset;
        SocketAddr::from((Ipv4Addr::LOCALHOST, port))
    }

    /// Returns the address of the operator API.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.address(0, OPERATOR_PORT)
    }

    /// Returns the addresses of the entry instances for callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.entries)
            .map(|entry| self.address(entry, CALLER_PORT))
            .collect()
    }

    /// Returns the addresses of the entry instances for announcements of backend servers.
    #[must_use]
    pub fn announcement_addresses(&self) -> Vec<SocketAddr> {
        (1..=self.entries)
            .map(|entry| self.address(entry, ANNOUNCEMENT_PORT))
            .collect()
    }

    /// Returns the settings of the control instance.
    ///
    /// # Errors
    ///
    /// Fails when an instance or zone name is not a valid identifier.
    pub fn control_settings(&self) -> Result<ControlSettings> {
        let witnesses = self
            .witness_entries()
            .map(|entry| {
                Ok(WitnessAddress {
                    instance: entry_name(entry)?,
                    peer_address: self.address(entry, PEER_PORT),
                })
            })
            .collect::<Result<_>>()?;
        Ok(ControlSettings {
            common: self.common_settings(
                "control-1".parse()?,
                zone(0)?,
                self.address(0, ADMIN_PORT),
            ),
            operator_listen: self.operator_address(),
            peer_listen: self.address(0, PEER_PORT),
            peer_advertise: None,
            data_directory: self.data_directory.clone(),
            controls: vec![self.address(0, PEER_PORT)],
            witnesses,
            operators: vec![OperatorSettings {
                name: "developer".into(),
                token_sha256: sha256_hex(OPERATOR_TOKEN).into(),
            }],
            target_voters: 1,
            repair_after_ms: 30_000,
        })
    }

    /// Returns the settings of an entry instance; the first one has the number 1.
    ///
    /// # Errors
    ///
    /// Fails when an instance or zone name is not a valid identifier.
    pub fn entry_settings(&self, entry: u16) -> Result<EntrySettings> {
        let witnesses = self
            .witness_entries()
            .map(|witness| {
                Ok(WitnessSettings {
                    instance: entry_name(witness)?,
                    availability_zone: zone(witness)?,
                    peer_address: self.address(witness, PEER_PORT),
                })
            })
            .collect::<Result<_>>()?;
        let common = self.common_settings(
            entry_name(entry)?,
            zone(entry)?,
            self.address(entry, ADMIN_PORT),
        );
        Ok(EntrySettings {
            common,
            listen: ListenSettings {
                callers: self.address(entry, CALLER_PORT),
                backend_servers: self.address(entry, ANNOUNCEMENT_PORT),
                peers: self.address(entry, PEER_PORT),
            },
            advertise: AdvertiseSettings::default(),
            witnesses,
            backend_token: BACKEND_TOKEN.into(),
            limits: LimitSettings::default(),
            timing: self.timing.clone(),
        })
    }

    /// Returns the numbers of the entry instances that are witnesses: an odd number of them, at most 5.
    fn witness_entries(&self) -> impl Iterator<Item = u16> + use<> {
        let odd = if self.entries.is_multiple_of(2) {
            self.entries - 1
        } else {
            self.entries
        };
        1..=odd.min(5)
    }

    fn common_settings(
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

/// Returns the availability zone of the instance with this number.
///
/// # Errors
///
/// Fails if the name of the zone is not a valid identifier, which does not happen with the built-in zones.
pub fn zone(number: u16) -> Result<AvailabilityZone> {
    let name = ZONES[usize::from(number) % ZONES.len()];
    name.parse().context("invalid zone name")
}

fn entry_name(entry: u16) -> Result<InstanceId> {
    Ok(format!("entry-{entry}").parse()?)
}

fn sha256_hex(text: &str) -> String {
    Sha256::digest(text)
        .iter()
        .fold(String::new(), |hex, byte| hex + &format!("{byte:02x}"))
}
