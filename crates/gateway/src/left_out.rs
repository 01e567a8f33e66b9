//! Backend servers of a service that get no new requests because of what they said in their answers.

use std::time::Duration;

use radishpaddle_policy::NoNewRequests;
use serde::Serialize;

/// Number of backend servers that were left out of a selection, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LeftOut {
    /// Servers that are leaving.
    pub leaving: u32,
    /// Servers that asked for a pause.
    pub paused: u32,
    /// Local time at which the first of the pauses ends.
    #[serde(skip)]
    pub first_pause_ends_at: Option<Duration>,
}

impl LeftOut {
    /// Counts a server that is left out.
    pub(crate) fn add(&mut self, reason: NoNewRequests) {
        match reason {
            NoNewRequests::Leaving => self.leaving += 1,
            NoNewRequests::Paused { ends_at } => {
                self.paused += 1;
                let first = self.first_pause_ends_at;
                self.first_pause_ends_at = Some(first.map_or(ends_at, |first| first.min(ends_at)));
            }
        }
    }

    /// Whether no server was left out.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.leaving == 0 && self.paused == 0
    }
}

/// No backend server was selected: those that accept requests, if there are any, were excluded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoServer {
    /// Servers that were left out.
    pub left_out: LeftOut,
    /// Whether a server accepts requests, and was excluded.
    pub any_accepting: bool,
    /// Servers in evacuated availability zones.
    pub evacuated: u32,
    /// Cold servers that get no request of this gateway now.
    pub cold: u32,
    /// Local time at which the first of these becomes warm.
    pub first_warm_at: Option<Duration>,
}

impl NoServer {
    /// Whether each server that would otherwise accept requests asked for a pause.
    #[must_use]
    pub const fn all_paused(&self) -> bool {
        !self.any_accepting && self.left_out.paused > 0
    }

    /// Whether each server that would otherwise accept requests is in an evacuated availability zone.
    #[must_use]
    pub const fn all_evacuated(&self) -> bool {
        !self.any_accepting && self.left_out.paused == 0 && self.cold == 0 && self.evacuated > 0
    }

    /// Whether each server that would otherwise accept requests is cold.
    #[must_use]
    pub const fn all_cold(&self) -> bool {
        !self.any_accepting && self.left_out.paused == 0 && self.cold > 0
    }

    /// Counts a cold server.
    pub(crate) fn add_cold(&mut self, until: Duration) {
        self.cold += 1;
        let first = self.first_warm_at;
        self.first_warm_at = Some(first.map_or(until, |first| first.min(until)));
    }
}
