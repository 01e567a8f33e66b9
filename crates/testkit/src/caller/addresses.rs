//! Discovery of entry instances: requests, caches and rotates their addresses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result, bail};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use serde::Deserialize;

use super::CallerSettings;
use crate::http;

/// Path at which every entry instance returns the addresses of the entry instances to use.
pub const ADDRESSES_PATH: &str = "/.well-known/radishpaddle/addresses";

/// Largest accepted body of an address response, in bytes.
const MAX_ADDRESS_RESPONSE_BYTES: usize = 1 << 20;

/// Upper bound on the lifetime of a cached address response, so that a malformed response is not kept
/// forever.
const MAX_ADDRESS_LIFETIME_MS: u64 = 600_000;

/// Time during which an address is skipped after a failure, unless every address has failed.
const FAILED_ADDRESS_BACKOFF: Duration = Duration::from_secs(2);

/// Body of a response to `GET /.well-known/radishpaddle/addresses`; unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename = "AddressAnswer")]
pub struct AddressResponse {
    /// Entry instances to connect to, in order of preference.
    pub addresses: Vec<AddressEntry>,
    /// Time for which the response may be cached, in milliseconds.
    pub lifetime_ms: u64,
}

/// Entry instance listed in an address response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct AddressEntry {
    /// Address at which it accepts callers.
    pub address: SocketAddr,
}

/// Error of [`parse_addresses`], with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseAddressesError(String);

impl std::fmt::Display for ParseAddressesError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "address response: {}", self.0)
    }
}

impl std::error::Error for ParseAddressesError {}

/// Parses the body of an address response. A lifetime above 10 minutes is reduced to 10 minutes.
///
/// # Errors
///
/// Returns an error when the body is not JSON of the expected form or lists no address.
pub fn parse_addresses(body: &[u8]) -> Result<AddressResponse, ParseAddressesError> {
    let parsed: Result<AddressResponse, _> = serde_json::from_slice(body);
    let mut response = parsed.map_err(|error| ParseAddressesError(error.to_string()))?;
    if response.addresses.is_empty() {
        return Err(ParseAddressesError("no address".into()));
    }
    response.lifetime_ms = response.lifetime_ms.min(MAX_ADDRESS_LIFETIME_MS);
    Ok(response)
}

/// Chooses the entry instance for each attempt of a caller.
#[derive(Debug)]
pub(super) struct AddressResolver {
    seeds: Vec<SocketAddr>,
    request_timeout: Duration,
    loopback_only: bool,
    seeds_only: bool,
    cache: Mutex<AddressCache>,
}

/// Cached address responses, recent failures and the round-robin position.
#[derive(Debug, Default)]
struct AddressCache {
    /// Addresses and expiry time by host, since services may use different entry instances.
    responses: BTreeMap<String, (Vec<SocketAddr>, Instant)>,
    /// End of the back-off of each address that failed.
    failed_until: BTreeMap<SocketAddr, Instant>,
    /// Round-robin position, shared by all hosts.
    turn: usize,
}

impl AddressResolver {
    pub(super) fn new(settings: &CallerSettings) -> Self {
        Self {
            seeds: settings.seeds.clone(),
            request_timeout: Duration::from_millis(settings.address_request_timeout_ms),
            loopback_only: settings.loopback_only,
            seeds_only: settings.seeds_only,
            cache: Mutex::default(),
        }
    }

    /// Returns the next address in round-robin order. Requests addresses from a seed when the cached
    /// response has expired.
    pub(super) async fn next(&self, key: Option<&str>, host: &str) -> Result<SocketAddr> {
        if self.seeds_only {
            let chosen = self.lock().choose(&self.seeds);
            return chosen.context("no seed address is configured");
        }
        if let Some(address) = self.lock().next(host) {
            return Ok(address);
        }
        let response = self.request_from_any_seed(key, host).await?;
        let listed = response.addresses.iter();
        let addresses: Vec<SocketAddr> = listed.map(|entry| entry.address).collect();
        let remote = addresses.iter().find(|address| !address.ip().is_loopback());
        if let (true, Some(address)) = (self.loopback_only, remote) {
            bail!("{address} is not a loopback address");
        }
        let expires_at = Instant::now() + Duration::from_millis(response.lifetime_ms);
        let first = addresses[0];
        let mut cache = self.lock();
        cache
            .responses
            .insert(host.to_owned(), (addresses, expires_at));
        Ok(cache.next(host).unwrap_or(first))
    }

    /// Starts the back-off of an address, during which others are preferred.
    pub(super) fn mark_failed(&self, address: SocketAddr) {
        let backoff_end = Instant::now() + FAILED_ADDRESS_BACKOFF;
        self.lock().failed_until.insert(address, backoff_end);
    }

    async fn request_from_any_seed(
        &self,
        key: Option<&str>,
        host: &str,
    ) -> Result<AddressResponse> {
        let turn = self.lock().next_turn();
        let mut last_error = None;
        for offset in 0..self.seeds.len() {
            let seed = self.seeds[(turn + offset) % self.seeds.len()];
            match tokio::time::timeout(self.request_timeout, request_addresses(seed, key, host))
                .await
            {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(error)) => last_error = Some(format!("{seed}: {error}")),
                Err(_) => {
                    last_error = Some(format!(
                        "{seed}: no response within {:?}",
                        self.request_timeout
                    ));
                }
            }
        }
        let error = last_error.unwrap_or_else(|| "no seed address is configured".into());
        bail!("no seed returned addresses; last error: {error}")
    }

    fn lock(&self) -> MutexGuard<'_, AddressCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl AddressCache {
    fn next_turn(&mut self) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn
    }

    fn next(&mut self, host: &str) -> Option<SocketAddr> {
        let (addresses, expires_at) = self.responses.get(host)?;
        if *expires_at <= Instant::now() {
            return None;
        }
        let addresses = addresses.clone();
        self.choose(&addresses)
    }

    /// Returns the next address in round-robin order that is not in back-off, or the next one if all are.
    fn choose(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        self.failed_until
            .retain(|_, backoff_end| *backoff_end > now);
        let turn = self.next_turn();
        let start = turn.checked_rem(addresses.len())?;
        let mut rotated = addresses[start..].iter().chain(&addresses[..start]);
        let usable = rotated.find(|address| !self.failed_until.contains_key(address));
        usable.or(addresses.get(start)).copied()
    }
}

async fn request_addresses(
    seed: SocketAddr,
    key: Option<&str>,
    host: &str,
) -> Result<AddressResponse> {
    let mut request = Request::get(ADDRESSES_PATH).header("host", host);
    if let Some(key) = key {
        request = request.header("x-api-key", key);
    }
    let request = request.body(Full::new(Bytes::new()))?;
    let response = http::connect(seed).await?.send_request(request).await?;
    if response.status() != StatusCode::OK {
        bail!("address request failed with status {}", response.status());
    }
    let body = Limited::new(response.into_body(), MAX_ADDRESS_RESPONSE_BYTES);
    match body.collect().await {
        Ok(body) => Ok(parse_addresses(&body.to_bytes())?),
        Err(error) => bail!("incomplete address response: {error}"),
    }
}
