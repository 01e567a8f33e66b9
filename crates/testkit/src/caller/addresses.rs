//! Discovery: which entry instances a caller uses, and for how long.

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

/// Where every entry instance answers with addresses.
pub const ADDRESSES_PATH: &str = "/.well-known/radishpaddle/addresses";

/// Largest address response, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Longest lifetime that a caller accepts, so that a malformed answer does not stay for ever.
const MAX_LIFETIME_MS: u64 = 600_000;

/// How long a caller does not use an address that failed, unless all have failed.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// Response of `GET /.well-known/radishpaddle/addresses`; unknown fields are ignored.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct AddressAnswer {
    /// Instances to connect to, the preferred ones first.
    pub addresses: Vec<AddressEntry>,
    /// How long the answer may be used, in milliseconds.
    pub lifetime_ms: u64,
}

/// One entry instance of an address response.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct AddressEntry {
    /// Where it accepts callers.
    pub address: SocketAddr,
}

/// The text is not a usable address response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseAddressesError(String);

impl std::fmt::Display for ParseAddressesError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "address response: {}", self.0)
    }
}

impl std::error::Error for ParseAddressesError {}

/// Parses an address response.
///
/// # Errors
///
/// Returns an error when the body is not JSON of the expected form or names no address. A lifetime
/// above 10 minutes is shortened.
pub fn parse_addresses(body: &[u8]) -> Result<AddressAnswer, ParseAddressesError> {
    let parsed: Result<AddressAnswer, _> = serde_json::from_slice(body);
    let mut answer = parsed.map_err(|error| ParseAddressesError(error.to_string()))?;
    if answer.addresses.is_empty() {
        return Err(ParseAddressesError("no address".into()));
    }
    answer.lifetime_ms = answer.lifetime_ms.min(MAX_LIFETIME_MS);
    Ok(answer)
}

/// Addresses in use.
#[derive(Debug)]
pub(super) struct Addresses {
    seeds: Vec<SocketAddr>,
    ask_timeout: Duration,
    loopback_only: bool,
    seeds_only: bool,
    cache: Mutex<Cache>,
}

#[derive(Debug, Default)]
struct Cache {
    /// Answers by host, since services may use different instances.
    answers: BTreeMap<String, (Vec<SocketAddr>, Instant)>,
    avoided: BTreeMap<SocketAddr, Instant>,
    turn: usize,
}

impl Addresses {
    pub(super) fn new(settings: &CallerSettings) -> Self {
        Self {
            seeds: settings.seeds.clone(),
            ask_timeout: Duration::from_millis(settings.ask_timeout_ms),
            loopback_only: settings.loopback_only,
            seeds_only: settings.seeds_only,
            cache: Mutex::default(),
        }
    }

    /// Next address in turn; asks again when the answer has expired.
    pub(super) async fn next(&self, key: Option<&str>, host: &str) -> Result<SocketAddr> {
        if self.seeds_only {
            let chosen = self.lock().choose(&self.seeds);
            return chosen.context("no instance to call");
        }
        if let Some(address) = self.lock().next(host) {
            return Ok(address);
        }
        let answer = self.ask_any(key, host).await?;
        let entries = answer.addresses.iter();
        let addresses: Vec<SocketAddr> = entries.map(|entry| entry.address).collect();
        let remote = addresses.iter().find(|address| !address.ip().is_loopback());
        if let (true, Some(address)) = (self.loopback_only, remote) {
            bail!("{address} is not a loopback address");
        }
        let until = Instant::now() + Duration::from_millis(answer.lifetime_ms);
        let first = addresses[0];
        let mut cache = self.lock();
        let known = (addresses, until);
        cache.answers.insert(host.to_owned(), known);
        Ok(cache.next(host).unwrap_or(first))
    }

    /// Prefers other addresses for a while.
    pub(super) fn avoid(&self, address: SocketAddr) {
        let until = Instant::now() + AVOID_TIME;
        self.lock().avoided.insert(address, until);
    }

    async fn ask_any(&self, key: Option<&str>, host: &str) -> Result<AddressAnswer> {
        let turn = self.lock().next_turn();
        let mut last_error = None;
        for offset in 0..self.seeds.len() {
            let seed = self.seeds[(turn + offset) % self.seeds.len()];
            match tokio::time::timeout(self.ask_timeout, ask(seed, key, host)).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(error)) => last_error = Some(format!("{seed}: {error}")),
                Err(_) => last_error = Some(format!("{seed}: no answer in time")),
            }
        }
        let error = last_error.unwrap_or_else(|| "no instance to ask".into());
        bail!("no instance returned addresses; last: {error}")
    }

    fn lock(&self) -> MutexGuard<'_, Cache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Cache {
    fn next_turn(&mut self) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.turn
    }

    fn next(&mut self, host: &str) -> Option<SocketAddr> {
        let (addresses, until) = self.answers.get(host)?;
        if *until <= Instant::now() {
            return None;
        }
        let addresses = addresses.clone();
        self.choose(&addresses)
    }

    /// The next address in turn that is not avoided; the next one if all are.
    fn choose(&mut self, addresses: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        self.avoided.retain(|_, until| *until > now);
        let turn = self.next_turn();
        let start = turn.checked_rem(addresses.len())?;
        let mut in_turn = addresses[start..].iter().chain(&addresses[..start]);
        let usable = in_turn.find(|address| !self.avoided.contains_key(address));
        usable.or(addresses.get(start)).copied()
    }
}

async fn ask(seed: SocketAddr, key: Option<&str>, host: &str) -> Result<AddressAnswer> {
    let mut request = Request::get(ADDRESSES_PATH).header("host", host);
    if let Some(key) = key {
        request = request.header("x-api-key", key);
    }
    let request = request.body(Full::new(Bytes::new()))?;
    let response = http::connect(seed).await?.send_request(request).await?;
    if response.status() != StatusCode::OK {
        bail!("status {}", response.status());
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    match body.collect().await {
        Ok(body) => Ok(parse_addresses(&body.to_bytes())?),
        Err(error) => bail!("incomplete response: {error}"),
    }
}
