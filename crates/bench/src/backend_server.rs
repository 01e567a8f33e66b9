//! Fake of a backend server: slots, a short backlog, shedding, cancellation and crashes.

use std::collections::VecDeque;

/// Requests that wait in a backend server, as a multiple of its slots, before it sheds.
pub const BACKLOG_PER_SLOT: usize = 2;

/// What a backend server does with a request that reaches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It runs at once.
    Started,
    /// It waits for a slot.
    Queued,
    /// It is refused without having run.
    Shed,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct BackendServer {
    slots: usize,
    running: Vec<u64>,
    backlog: VecDeque<u64>,
}

impl BackendServer {
    /// An idle server.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: Vec::new(),
            backlog: VecDeque::new(),
        }
    }

    /// Requests that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.backlog.len()
    }

    /// A request arrives.
    pub fn arrive(&mut self, attempt: u64) -> Arrival {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            Arrival::Started
        } else if self.backlog.len() < self.slots * BACKLOG_PER_SLOT {
            self.backlog.push_back(attempt);
            Arrival::Queued
        } else {
            Arrival::Shed
        }
    }

    /// A running request ends, or the connection of a request is closed. Returns whether the
    /// request was here.
    pub fn leave(&mut self, attempt: u64) -> bool {
        let before = self.in_flight();
        self.running.retain(|other| *other != attempt);
        self.backlog.retain(|other| *other != attempt);
        self.in_flight() < before
    }

    /// Whether the request runs.
    #[must_use]
    pub fn runs(&self, attempt: u64) -> bool {
        self.running.contains(&attempt)
    }

    /// Moves the next waiting request into a free slot.
    pub fn start_next(&mut self) -> Option<u64> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self.backlog.pop_front()?;
        self.running.push(attempt);
        Some(attempt)
    }

    /// The process ends; returns the requests that were in flight.
    pub fn crash(&mut self) -> Vec<u64> {
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.backlog.drain(..));
        lost
    }
}
