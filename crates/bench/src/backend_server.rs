//! Simulated backend server with slots, a bounded backlog, load shedding, cancellation and crashes.

use std::collections::VecDeque;

/// Maximum backlog of a backend server per slot; further requests are shed.
pub const MAX_BACKLOG_PER_SLOT: usize = 2;

/// Outcome of the arrival of an attempt at a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// The attempt runs in a free slot.
    Started,
    /// The attempt waits in the backlog.
    Queued,
    /// The attempt is refused without having run.
    Shed,
}

/// Attempts that run or wait at one backend server.
#[derive(Debug, Clone)]
pub struct BackendServer {
    slots: usize,
    running: Vec<u64>,
    backlog: VecDeque<u64>,
}

impl BackendServer {
    /// Creates an idle server that runs up to `slots` attempts at the same time.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots as usize,
            running: Vec::new(),
            backlog: VecDeque::new(),
        }
    }

    /// Returns the number of attempts that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.backlog.len()
    }

    /// Starts, queues or sheds an arriving attempt.
    pub fn arrive(&mut self, attempt: u64) -> ArrivalOutcome {
        if self.running.len() < self.slots {
            self.running.push(attempt);
            ArrivalOutcome::Started
        } else if self.backlog.len() < self.slots * MAX_BACKLOG_PER_SLOT {
            self.backlog.push_back(attempt);
            ArrivalOutcome::Queued
        } else {
            ArrivalOutcome::Shed
        }
    }

    /// Removes an attempt that has ended or whose connection is closed. Returns whether it ran or
    /// waited at this server.
    pub fn leave(&mut self, attempt: u64) -> bool {
        let before = self.in_flight();
        self.running.retain(|other| *other != attempt);
        self.backlog.retain(|other| *other != attempt);
        self.in_flight() < before
    }

    /// Returns whether the attempt occupies a slot.
    #[must_use]
    pub fn runs(&self, attempt: u64) -> bool {
        self.running.contains(&attempt)
    }

    /// Moves the oldest waiting attempt into a free slot and returns it.
    pub fn start_next(&mut self) -> Option<u64> {
        if self.running.len() >= self.slots {
            return None;
        }
        let attempt = self.backlog.pop_front()?;
        self.running.push(attempt);
        Some(attempt)
    }

    /// Removes and returns all attempts that run or wait, as a crash of the process loses them.
    pub fn crash(&mut self) -> Vec<u64> {
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.backlog.drain(..));
        lost
    }
}
