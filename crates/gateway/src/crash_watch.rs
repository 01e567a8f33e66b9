//! Requests that crash backend servers: what this gateway saw, and what all gateways saw together.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Fingerprint, RequestCrash, SuspectRequest};

/// A request that was in flight at this many crashes is refused.
const REFUSED_AFTER: u32 = 3;

/// Pause between the loss of a connection and the look whether the server still accepts connections.
pub const CRASH_CHECK_PAUSE: Duration = Duration::from_millis(50);

/// Own crashes that are remembered, for coordinators that start anew.
const MAX_OWN: usize = 256;

/// A crash that this gateway saw.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenCrash {
    /// The request.
    pub request: Fingerprint,
    /// Life of the backend server.
    pub server: u64,
    /// Local time at which the request was sent.
    pub sent_at: Duration,
    /// Local time at which the connection broke off.
    pub ended_at: Duration,
}

#[derive(Debug, Clone, Copy)]
struct OwnCrash {
    seen: SeenCrash,
    reported: bool,
}

/// Suspect requests as one gateway knows them.
#[derive(Debug, Default)]
pub struct CrashWatch {
    own: Vec<OwnCrash>,
    answered: Vec<Fingerprint>,
    suspects: HashMap<Fingerprint, u32>,
}

impl CrashWatch {
    /// Whether no request is a suspect, so that requests need no fingerprint.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Whether a request must not be sent to a backend server.
    #[must_use]
    pub fn is_refused(&self, request: &Fingerprint) -> bool {
        let crashes = self.suspects.get(request);
        crashes.is_some_and(|crashes| *crashes >= REFUSED_AFTER)
    }

    /// Counts a crash that this gateway saw.
    pub fn record_crash(&mut self, seen: SeenCrash) {
        let key = (seen.request, seen.server);
        if self.own.iter().any(|own| own.key() == key) {
            return;
        }
        if self.own.len() >= MAX_OWN {
            self.own.remove(0);
        }
        self.own.push(OwnCrash {
            seen,
            reported: false,
        });
    }

    /// Counts an answer of a backend server: the request does not crash its servers.
    pub fn record_answer(&mut self, request: Fingerprint) {
        if self.suspects.contains_key(&request) && !self.answered.contains(&request) {
            self.answered.push(request);
        }
    }

    /// What a coordinator has to know: news, or everything that this gateway saw.
    #[must_use]
    pub fn report(&self, everything: bool, now: Duration) -> (Vec<RequestCrash>, Vec<Fingerprint>) {
        let own = self.own.iter();
        let news = own.filter(|own| everything || !own.reported);
        let crashes = news.map(|own| own.report(now)).collect();
        (crashes, self.answered.clone())
    }

    /// Marks a report as taken by a coordinator.
    pub fn acknowledge(&mut self, crashes: &[RequestCrash], answered: &[Fingerprint]) {
        for own in &mut self.own {
            let taken = |crash: &RequestCrash| (crash.request, crash.server) == own.key();
            own.reported |= crashes.iter().any(taken);
        }
        self.own.retain(|own| !answered.contains(&own.seen.request));
        self.answered.retain(|request| !answered.contains(request));
    }

    /// Takes the list of a coordinator; `continued` when it follows one of the same coordinator, so that what is
    /// missing was answered or expired. Returns requests that are refused from now on.
    pub fn set_suspects(
        &mut self,
        list: Vec<SuspectRequest>,
        continued: bool,
    ) -> Vec<SuspectRequest> {
        let before = std::mem::take(&mut self.suspects);
        let list_of = list
            .iter()
            .map(|suspect| (suspect.request, suspect.crashes));
        self.suspects = list_of.collect();
        if continued {
            let suspects = &self.suspects;
            self.own
                .retain(|own| !own.reported || suspects.contains_key(&own.seen.request));
        }
        let refused = list.into_iter().filter(|suspect| {
            let known = before.get(&suspect.request).copied().unwrap_or_default();
            suspect.crashes >= REFUSED_AFTER && known < REFUSED_AFTER
        });
        refused.collect()
    }
}

impl OwnCrash {
    const fn key(&self) -> (Fingerprint, u64) {
        (self.seen.request, self.seen.server)
    }

    fn report(&self, now: Duration) -> RequestCrash {
        let ago = |at: Duration| {
            let age = now.saturating_sub(at).as_millis();
            u32::try_from(age).unwrap_or(u32::MAX)
        };
        RequestCrash {
            request: self.seen.request,
            server: self.seen.server,
            sent_ms_ago: ago(self.seen.sent_at),
            ended_ms_ago: ago(self.seen.ended_at),
        }
    }
}
