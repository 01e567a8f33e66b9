//! Signals of a sample backend server to the instances that call it: that it leaves, or that it wants no
//! requests for a time. Records what was signalled to whom, and what arrived afterwards.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use radishpaddle_model::Incarnation;
use serde::{Deserialize, Serialize};

use crate::clock::now_us;

/// Response header with which a backend server says that it leaves the service.
pub const LEAVING_HEADER: &str = "x-leaving";

/// Time after a response with `Retry-After` during which requests that were on their way may still arrive,
/// in microseconds.
pub const PAUSE_GRACE_US: u64 = 500_000;

/// Number of arrivals that are kept; further ones are counted only.
const RECORDED_ARRIVALS: usize = 100_000;

/// Kind of a response, to which a header can be restricted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResponseKind {
    /// Response with status 200 after an execution.
    Success,
    /// Response with status 500 after an execution.
    Failure,
    /// Status 503 with `X-Shed: 1`.
    Shed,
    /// Response to a health or load probe.
    Probe,
}

/// Header that is added to responses.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResponseHeader {
    /// Name of the header.
    pub name: String,
    /// Value as text, also an invalid or empty one. Only text that HTTP does not allow is not sent.
    pub value: String,
    /// Kinds of responses that carry the header; empty means all kinds.
    #[serde(default)]
    pub on: BTreeSet<ResponseKind>,
}

impl ResponseHeader {
    /// Returns a header for responses of all kinds.
    #[must_use]
    pub fn new(name: &str, value: &str) -> Self {
        Self {
            name: name.to_owned(),
            value: value.to_owned(),
            on: BTreeSet::new(),
        }
    }

    /// Restricts the header to responses of these kinds.
    #[must_use]
    pub fn only_on(mut self, kinds: &[ResponseKind]) -> Self {
        self.on = kinds.iter().copied().collect();
        self
    }

    /// Adds the header to a response of this kind, beside other values of the same header.
    pub(super) fn add_to(&self, headers: &mut HeaderMap, kind: ResponseKind) {
        if !self.on.is_empty() && !self.on.contains(&kind) {
            return;
        }
        let name = HeaderName::from_bytes(self.name.as_bytes());
        let value = HeaderValue::from_bytes(self.value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// How the server tells apart the instances that call it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerIdentity {
    /// By the IP address of the connection.
    PeerAddress,
    /// By the part of `X-Request-Id` before the last hyphen, in which entry instances put their name and
    /// incarnation. Needed behind fault proxies, which share an address.
    RequestIdPrefix,
}

/// First response in which an incarnation told an instance that it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeavingSignal {
    /// Instance that got the response.
    pub caller: String,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Time of the response, in microseconds since the Unix epoch.
    pub sent_us: u64,
}

/// Response with status 503 that asked an instance for a pause.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PauseSignal {
    /// Instance that got the response.
    pub caller: String,
    /// Incarnation of the server.
    pub incarnation: Incarnation,
    /// Time of the response, in microseconds since the Unix epoch.
    pub sent_us: u64,
    /// End of the pause.
    pub until_us: u64,
}

/// Request or probe that arrived from an instance which had been told of a pause or of the end of the
/// incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Arrival {
    /// Instance that sent the request.
    pub caller: String,
    /// Incarnation at which it arrived.
    pub incarnation: Incarnation,
    /// Time of the arrival, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// Path and query.
    pub path: String,
    /// Value of the `X-Request-Id` header.
    pub request_id: Option<String>,
}

/// Signals that a server sent, and the arrivals after them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SignalRecord {
    /// First leaving response to each instance, for each incarnation.
    pub leaving: Vec<LeavingSignal>,
    /// Responses that asked for a pause.
    pub pauses: Vec<PauseSignal>,
    /// Arrivals while a signal was in force for their instance.
    pub arrivals: Vec<Arrival>,
    /// Arrivals that are not kept in the list.
    pub unrecorded_arrivals: u64,
}

impl SignalRecord {
    /// Returns the requests that reached an incarnation later than `grace_us` after it had told their
    /// instance that it leaves.
    #[must_use]
    pub fn arrivals_after_leaving(&self, grace_us: u64) -> Vec<&Arrival> {
        let is_late = |arrival: &Arrival, signal: &LeavingSignal| {
            signal.caller == arrival.caller
                && signal.incarnation == arrival.incarnation
                && arrival.at_us > signal.sent_us + grace_us
        };
        self.arrivals
            .iter()
            .filter(|arrival| self.leaving.iter().any(|signal| is_late(arrival, signal)))
            .collect()
    }

    /// Returns the arrivals of the instance of a pause from [`PAUSE_GRACE_US`] after the response until the
    /// end of the pause.
    #[must_use]
    pub fn arrivals_in_pause(&self, pause: &PauseSignal) -> Vec<&Arrival> {
        let window = pause.sent_us + PAUSE_GRACE_US..pause.until_us;
        self.arrivals
            .iter()
            .filter(|arrival| {
                arrival.caller == pause.caller
                    && arrival.incarnation == pause.incarnation
                    && window.contains(&arrival.at_us)
            })
            .collect()
    }

    /// Returns the largest number of arrivals in one pause.
    #[must_use]
    pub fn max_arrivals_in_pause(&self) -> usize {
        let counts = self
            .pauses
            .iter()
            .map(|pause| self.arrivals_in_pause(pause).len());
        counts.max().unwrap_or(0)
    }
}

/// Records signals and arrivals while the server runs.
#[derive(Debug, Default)]
pub(super) struct SignalLog(Mutex<SignalRecord>);

impl SignalLog {
    pub(super) fn record(&self) -> SignalRecord {
        self.lock().clone()
    }

    pub(super) fn clear(&self) {
        *self.lock() = SignalRecord::default();
    }

    /// Records an arrival if a signal of this incarnation is in force for its instance.
    pub(super) fn record_arrival(&self, arrival: Arrival) {
        let mut record = self.lock();
        let told_to_leave = record.leaving.iter().any(|signal| {
            signal.caller == arrival.caller && signal.incarnation == arrival.incarnation
        });
        let paused = record.pauses.iter().rev().any(|pause| {
            pause.caller == arrival.caller
                && pause.incarnation == arrival.incarnation
                && arrival.at_us < pause.until_us
        });
        if !told_to_leave && !paused {
            return;
        }
        if record.arrivals.len() < RECORDED_ARRIVALS {
            record.arrivals.push(arrival);
        } else {
            record.unrecorded_arrivals += 1;
        }
    }

    /// Records the signals in a response. Returns whether it is the first leaving response of the
    /// incarnation to any instance.
    pub(super) fn record_response(
        &self,
        caller: &str,
        incarnation: Incarnation,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> bool {
        let sent_us = now_us();
        let mut record = self.lock();
        if status == StatusCode::SERVICE_UNAVAILABLE
            && let Some(pause_us) = requested_pause_us(headers)
        {
            record.pauses.push(PauseSignal {
                caller: caller.to_owned(),
                incarnation,
                sent_us,
                until_us: sent_us.saturating_add(pause_us),
            });
        }
        if !says_leaving(headers) {
            return false;
        }
        let of_incarnation = |signal: &LeavingSignal| signal.incarnation == incarnation;
        let is_first = !record.leaving.iter().any(of_incarnation);
        let known = record
            .leaving
            .iter()
            .any(|signal| of_incarnation(signal) && signal.caller == caller);
        if !known {
            record.leaving.push(LeavingSignal {
                caller: caller.to_owned(),
                incarnation,
                sent_us,
            });
        }
        is_first
    }

    fn lock(&self) -> MutexGuard<'_, SignalRecord> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn says_leaving(headers: &HeaderMap) -> bool {
    headers
        .get_all(LEAVING_HEADER)
        .iter()
        .any(|value| value.as_bytes() == b"1")
}

/// Returns the pause that a response asks for; `None` unless it has exactly one value, which is a finite
/// positive number of seconds.
fn requested_pause_us(headers: &HeaderMap) -> Option<u64> {
    let mut values = headers.get_all(RETRY_AFTER).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let seconds: f64 = value.trim().parse().ok()?;
    let pause = std::time::Duration::try_from_secs_f64(seconds).ok()?;
    u64::try_from(pause.as_micros()).ok().filter(|us| *us > 0)
}
