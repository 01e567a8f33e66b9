//! Selection of gateways: those that callers connect to, and those that relay the requests of a gateway that
//! reaches no backend server. Both select from the gateways that are ready and reported recently.

use std::net::SocketAddr;

use radishpaddle_model::{GatewayPresence, mix_hash, name_hash};

/// Number of selectable gateways in the caller's availability zone below which callers get the gateways of all
/// zones. They also do when fewer than half of the zone's gateways are selectable.
const MIN_ZONE_GATEWAYS: usize = 3;

/// Returns at most `limit` addresses of gateways for callers in an availability zone. If there are more
/// gateways, the selection depends on the coordinator, so that different coordinators return different
/// gateways, and it is stable, because callers close connections to addresses that a lookup no longer returns.
///
/// Gateways that reach no backend server are left out, unless that applies to all: if all backend servers are
/// down, callers still need gateways that answer them.
#[must_use]
pub fn caller_addresses(
    ready: &[&GatewayPresence],
    zone: Option<&str>,
    coordinator: SocketAddr,
    limit: usize,
) -> Vec<SocketAddr> {
    let any_reaches_servers = ready.iter().any(|gateway| gateway.reaches_servers);
    let selectable = || {
        let ready = ready.iter();
        ready.filter(|gateway| gateway.reaches_servers || !any_reaches_servers)
    };
    let is_in_zone = |gateway: &&&GatewayPresence| Some(&*gateway.zone) == zone;
    let in_zone = || selectable().filter(is_in_zone);
    let zone_gateways = ready.iter().filter(is_in_zone).count();
    // A few gateways that are left must not get the callers of all others of their zone.
    let min_selectable = MIN_ZONE_GATEWAYS.max(zone_gateways.div_ceil(2));
    let mut addresses: Vec<_> = if in_zone().count() >= min_selectable {
        in_zone().map(|gateway| gateway.address).collect()
    } else {
        selectable().map(|gateway| gateway.address).collect()
    };
    addresses.sort_by_cached_key(|address| name_hash(&format!("{coordinator}{address}")));
    addresses.truncate(limit);
    addresses
}

/// Returns at most `limit` addresses of other gateways that can relay requests for the gateway `asking`, those
/// of its availability zone first. Within a zone and outside of it, rendezvous hashing orders them differently
/// for each asking gateway, so that the relayed requests spread over the gateways.
#[must_use]
pub fn relay_addresses(
    ready: &[&GatewayPresence],
    asking: &str,
    zone: &str,
    limit: usize,
) -> Vec<SocketAddr> {
    let mut relays: Vec<_> = ready
        .iter()
        .filter(|gateway| gateway.reaches_servers && &*gateway.instance != asking)
        .collect();
    relays.sort_by_cached_key(|gateway| {
        let hash = name_hash(&format!("{asking}{}", gateway.address));
        // Gateways may differ only in the last digit of their port, which `name_hash` hardly spreads.
        (&*gateway.zone != zone, mix_hash(hash))
    });
    relays.truncate(limit);
    relays.iter().map(|gateway| gateway.address).collect()
}
