//! Evidence about backend servers, collected by one entry instance from real requests.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::key::{RequestClass, ServerKey};
use crate::latency::Histogram;

/// Period at which an entry instance drains its cells and sends them to the leader.
pub const DRAIN_PERIOD: Duration = Duration::from_millis(250);

/// Number of cells from which a recorder no longer separates new request classes. Further requests
/// are counted under [`RequestClass::OTHER`], which bounds the number of cells by this value plus
/// the number of backend servers.
pub const MAX_CELLS: usize = 4096;

/// Result of a dispatched request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Completion {
    /// Complete response. Statuses from 500 count as errors.
    Answered {
        /// HTTP status.
        status: u16,
    },
    /// The response ended early or was malformed.
    Truncated,
    /// No complete response arrived within the time-out of the attempt.
    TimedOut,
    /// The backend server refused the request because it is busy.
    Shed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection was lost while the request was in flight.
    ConnectionLost,
    /// The entry instance cancelled the request: another copy of a hedged request won, the caller
    /// disconnected, or the deadline of the caller expired.
    Cancelled,
    /// The backend server crashed while it ran a suspect or quarantined request. This is not
    /// evidence against the server.
    ChargedToRequest,
}

/// Evidence of one entry instance about one backend server and request class over one drain period.
/// `in_flight` is the state at the end of the period; all other counts cover the period.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EvidenceCell {
    /// Backend server.
    pub server: ServerKey,
    /// Request class.
    pub class: RequestClass,
    /// Dispatched requests.
    pub dispatched: u32,
    /// Responses with a status below 500.
    pub succeeded: u32,
    /// Responses with a status of 500 or above.
    pub errors: u32,
    /// Truncated or malformed responses.
    pub truncated: u32,
    /// Timed-out requests that were dispatched while the server had a free slot.
    pub timed_out: u32,
    /// Failed connection attempts.
    pub connect_failed: u32,
    /// Connections lost while a request was in flight.
    pub connection_lost: u32,
    /// Shed requests; not a fault of the server.
    pub shed: u32,
    /// Cancelled requests, and time-outs of requests that were dispatched while all slots were in
    /// use. Not a fault of the server.
    pub cancelled: u32,
    /// Requests in flight at the end of the period.
    pub in_flight: u32,
    /// Integral of the requests in flight over the period, in request-milliseconds.
    pub busy_ms: u32,
    /// Service times of the successful responses to requests that were dispatched while the server
    /// had a free slot. Used for reports only; the latency test uses `busy_ms` and the responses.
    pub latency: Histogram,
}

impl EvidenceCell {
    fn new(server: ServerKey, class: RequestClass) -> Self {
        Self {
            server,
            class,
            dispatched: 0,
            succeeded: 0,
            errors: 0,
            truncated: 0,
            timed_out: 0,
            connect_failed: 0,
            connection_lost: 0,
            shed: 0,
            cancelled: 0,
            in_flight: 0,
            busy_ms: 0,
            latency: Histogram::default(),
        }
    }

    /// Returns the number of requests that failed through a fault of the server or the path.
    #[must_use]
    pub fn failures(&self) -> u32 {
        let faulty = self.errors.saturating_add(self.truncated);
        faulty.saturating_add(self.unreached())
    }

    /// Returns the number of requests that got no response through a fault of the server or the
    /// path.
    #[must_use]
    pub fn unreached(&self) -> u32 {
        let lost = self.connect_failed.saturating_add(self.connection_lost);
        lost.saturating_add(self.timed_out)
    }

    /// Returns the number of responses, successful or not. Shed requests do not count, since they
    /// used no slot.
    #[must_use]
    pub fn responses(&self) -> u32 {
        let faulty = self.errors.saturating_add(self.truncated);
        self.succeeded.saturating_add(faulty)
    }

    fn is_idle(&self) -> bool {
        let counts = [
            self.dispatched,
            self.succeeded,
            self.failures(),
            self.shed,
            self.cancelled,
            self.in_flight,
        ];
        counts.iter().all(|count| *count == 0)
    }
}

/// Identifies a dispatched request until its completion is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DispatchId {
    index: usize,
    generation: u32,
}

/// Completed request, as returned by [`Recorder::completed`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CompletedDispatch {
    /// Backend server that the request was dispatched to.
    pub server: ServerKey,
    /// Time from dispatch to completion.
    pub elapsed: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Dispatch {
    server: ServerKey,
    class: RequestClass,
    at: Duration,
    over_slots: bool,
}

/// Entry of the table of requests in flight. The generation invalidates the identifiers of earlier
/// dispatches in the same entry.
#[derive(Debug, Default)]
struct DispatchTableEntry {
    generation: u32,
    dispatch: Option<Dispatch>,
}

#[derive(Debug)]
struct OpenCell {
    cell: EvidenceCell,
    /// Integral of the requests in flight up to `integrated_until`, in request-microseconds.
    busy_us: u64,
    integrated_until: Duration,
}

/// Aggregates the events of requests into cells.
///
/// An event costs one hash look-up. It allocates only when a cell is created or the table of
/// requests in flight grows. Memory is bounded by the requests in flight plus the cells of the
/// period.
#[derive(Debug, Default)]
pub struct Recorder {
    cells: HashMap<(ServerKey, RequestClass), OpenCell>,
    in_flight: HashMap<ServerKey, u32>,
    dispatch_table: Vec<DispatchTableEntry>,
    free_indices: Vec<usize>,
}

impl Recorder {
    /// Creates a recorder without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the dispatch of a request. `over_slots` states that all slots of the server were in
    /// use as far as this instance knows ([`crate::Pick::over_slots`]). Such a request is excluded
    /// from the latency evidence.
    pub fn dispatched(
        &mut self,
        server: ServerKey,
        class: RequestClass,
        over_slots: bool,
        now: Duration,
    ) -> DispatchId {
        let class = self.class_within_limit(server, class);
        let open = self.open_cell(server, class, now);
        open.integrate_in_flight(now);
        open.cell.dispatched += 1;
        open.cell.in_flight += 1;
        *self.in_flight.entry(server).or_insert(0) += 1;
        self.insert_dispatch(Dispatch {
            server,
            class,
            at: now,
            over_slots,
        })
    }

    /// Records the completion of a request. Returns `None` when it has been recorded already.
    pub fn completed(
        &mut self,
        id: DispatchId,
        completion: Completion,
        now: Duration,
    ) -> Option<CompletedDispatch> {
        let dispatch = self.take_dispatch(id)?;
        let elapsed = now.saturating_sub(dispatch.at);
        let open = self.open_cell(dispatch.server, dispatch.class, now);
        open.integrate_in_flight(now);
        open.cell.in_flight = open.cell.in_flight.saturating_sub(1);
        count_completion(&mut open.cell, completion, dispatch.over_slots, elapsed);
        self.decrement_in_flight(dispatch.server);
        Some(CompletedDispatch {
            server: dispatch.server,
            elapsed,
        })
    }

    /// Returns the number of requests that this instance has in flight at a server.
    #[must_use]
    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.in_flight.get(&server).copied().unwrap_or(0)
    }

    /// Ends the period and returns its cells. Visits every cell.
    pub fn drain(&mut self, now: Duration) -> Vec<EvidenceCell> {
        let mut drained = Vec::with_capacity(self.cells.len());
        for open in self.cells.values_mut() {
            let cell = open.close_period(now);
            if !cell.is_idle() {
                drained.push(cell);
            }
        }
        self.cells.retain(|_, open| open.cell.in_flight > 0);
        drained.sort_unstable_by_key(|cell| (cell.server, cell.class));
        drained
    }

    fn class_within_limit(&self, server: ServerKey, class: RequestClass) -> RequestClass {
        if self.cells.len() < MAX_CELLS || self.cells.contains_key(&(server, class)) {
            class
        } else {
            RequestClass::OTHER
        }
    }

    fn open_cell(
        &mut self,
        server: ServerKey,
        class: RequestClass,
        now: Duration,
    ) -> &mut OpenCell {
        self.cells
            .entry((server, class))
            .or_insert_with(|| OpenCell {
                cell: EvidenceCell::new(server, class),
                busy_us: 0,
                integrated_until: now,
            })
    }

    fn insert_dispatch(&mut self, dispatch: Dispatch) -> DispatchId {
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.dispatch_table.push(DispatchTableEntry::default());
            self.dispatch_table.len() - 1
        });
        let entry = &mut self.dispatch_table[index];
        entry.dispatch = Some(dispatch);
        DispatchId {
            index,
            generation: entry.generation,
        }
    }

    fn take_dispatch(&mut self, id: DispatchId) -> Option<Dispatch> {
        let entry = self.dispatch_table.get_mut(id.index)?;
        if entry.generation != id.generation {
            return None;
        }
        let dispatch = entry.dispatch.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        self.free_indices.push(id.index);
        Some(dispatch)
    }

    fn decrement_in_flight(&mut self, server: ServerKey) {
        if let Some(count) = self.in_flight.get_mut(&server) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(&server);
            }
        }
    }
}

impl OpenCell {
    fn integrate_in_flight(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.integrated_until);
        let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        let busy_us = elapsed_us.saturating_mul(u64::from(self.cell.in_flight));
        self.busy_us = self.busy_us.saturating_add(busy_us);
        self.integrated_until = now;
    }

    fn close_period(&mut self, now: Duration) -> EvidenceCell {
        self.integrate_in_flight(now);
        self.cell.busy_ms = u32::try_from(self.busy_us / 1000).unwrap_or(u32::MAX);
        self.busy_us = 0;
        let mut next = EvidenceCell::new(self.cell.server, self.cell.class);
        next.in_flight = self.cell.in_flight;
        std::mem::replace(&mut self.cell, next)
    }
}

fn count_completion(
    cell: &mut EvidenceCell,
    completion: Completion,
    over_slots: bool,
    elapsed: Duration,
) {
    match completion {
        Completion::Answered { status } if status >= 500 => cell.errors += 1,
        Completion::Answered { .. } => {
            cell.succeeded += 1;
            if !over_slots {
                cell.latency.add(elapsed);
            }
        }
        Completion::Truncated => cell.truncated += 1,
        // With all slots in use, the time may have been spent in the queue of the server.
        Completion::TimedOut if over_slots => cell.cancelled += 1,
        Completion::TimedOut => cell.timed_out += 1,
        Completion::Shed => cell.shed += 1,
        Completion::ConnectFailed => cell.connect_failed += 1,
        Completion::ConnectionLost => cell.connection_lost += 1,
        Completion::Cancelled => cell.cancelled += 1,
        Completion::ChargedToRequest => {}
    }
}
