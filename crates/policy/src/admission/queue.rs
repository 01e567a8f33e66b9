//! Waiting requests of one service at one gateway.
//!
//! Ordered by rank (urgency, then whether the target latency can still be kept). Within a rank, organisations are served by
//! start-time fair queueing, where a request costs its expected service time. Each operation takes O(log n).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use super::{AdmissionRequest, Ticket};
use crate::fair_order::{FairOrder, virtual_cost};
use crate::urgency::Urgency;

/// Order in which waiting requests are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) urgency: Urgency,
    /// Whether the target latency can no longer be kept.
    pub(super) late: bool,
}

/// Sum of the expected costs of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Backlog {
    pub(super) work: Duration,
    pub(super) bytes: u64,
    pub(super) requests: u32,
}

impl Backlog {
    fn add(&mut self, request: &AdmissionRequest) {
        self.work += request.cost.mean;
        self.bytes = self.bytes.saturating_add(request.bytes());
        self.requests += 1;
    }

    fn remove(&mut self, request: &AdmissionRequest) {
        self.work = self.work.saturating_sub(request.cost.mean);
        self.bytes = self.bytes.saturating_sub(request.bytes());
        self.requests -= 1;
    }

    pub(super) fn merge(&mut self, other: &Self) {
        self.work += other.work;
        self.bytes = self.bytes.saturating_add(other.bytes);
        self.requests += other.requests;
    }
}

/// Waiting requests of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceQueue {
    levels: BTreeMap<Rank, Level>,
    positions: HashMap<Ticket, Position>,
    /// Times at which the rank of a request changes or it leaves the queue.
    by_change: BTreeSet<(Duration, Ticket)>,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    rank: Rank,
    flow: usize,
    changes_at: Duration,
}

/// Waiting requests of one rank.
#[derive(Debug, Clone, Default)]
struct Level {
    order: FairOrder,
    index: HashMap<Arc<str>, usize>,
    flows: Vec<Flow>,
    backlog: Backlog,
    active_shares: u64,
}

/// Waiting requests of one organisation.
#[derive(Debug, Clone, Default)]
struct Flow {
    share: u32,
    start_tag: u128,
    requests: BTreeMap<Ticket, AdmissionRequest>,
    backlog: Backlog,
}

impl ServiceQueue {
    pub(super) fn len(&self) -> usize {
        self.positions.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    pub(super) fn next_change(&self) -> Option<Duration> {
        self.by_change.first().map(|&(at, _)| at)
    }

    pub(super) fn insert(&mut self, now: Duration, ticket: Ticket, request: AdmissionRequest) {
        let late = request.latest_start_in_time() <= now;
        let rank = Rank {
            urgency: request.urgency,
            late,
        };
        let changes_at = if late {
            request.latest_start()
        } else {
            request.latest_start_in_time().min(request.latest_start())
        };
        let flow = self.levels.entry(rank).or_default().insert(ticket, request);
        self.by_change.insert((changes_at, ticket));
        let position = Position {
            rank,
            flow,
            changes_at,
        };
        self.positions.insert(ticket, position);
    }

    pub(super) fn remove(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let position = self.positions.remove(&ticket)?;
        self.by_change.remove(&(position.changes_at, ticket));
        let level = self.levels.get_mut(&position.rank)?;
        let request = level.remove(position.flow, ticket);
        if level.backlog.requests == 0 {
            self.levels.remove(&position.rank);
        }
        request
    }

    /// Rank and ticket of the request that is served next.
    pub(super) fn first(&self) -> Option<(Rank, Ticket)> {
        let (&rank, level) = self.levels.first_key_value()?;
        Some((rank, level.first()?))
    }

    /// Takes the request that is served next.
    pub(super) fn pop(&mut self) -> Option<(Ticket, AdmissionRequest)> {
        let (&rank, _) = self.levels.first_key_value()?;
        let ticket = self.levels.get_mut(&rank)?.begin_first()?;
        Some((ticket, self.remove(ticket)?))
    }

    /// Moves requests that can no longer keep their target latency behind the others of their urgency. Returns a request
    /// that cannot be served in time any more.
    pub(super) fn expire(&mut self, now: Duration) -> Option<(Ticket, AdmissionRequest)> {
        while let Some(&(at, ticket)) = self.by_change.first() {
            if at > now {
                return None;
            }
            let request = self.remove(ticket)?;
            if request.latest_start() <= now {
                return Some((ticket, request));
            }
            self.insert(now, ticket, request);
        }
        None
    }

    /// Requests that are expected to be served before a further one of an organisation.
    pub(super) fn ahead(&self, rank: Rank, organisation: &str, share: u32) -> Backlog {
        let mut ahead = Backlog::default();
        for level in self.levels.range(..rank).map(|(_, level)| level) {
            ahead.merge(&level.backlog);
        }
        if let Some(level) = self.levels.get(&rank) {
            ahead.merge(&level.ahead(organisation, share));
        }
        ahead
    }
}

impl Level {
    fn insert(&mut self, ticket: Ticket, request: AdmissionRequest) -> usize {
        let flow = *self
            .index
            .entry(Arc::clone(&request.organisation))
            .or_insert_with(|| {
                self.flows.push(Flow::default());
                self.flows.len() - 1
            });
        self.backlog.add(&request);
        let state = &mut self.flows[flow];
        state.backlog.add(&request);
        if state.requests.is_empty() {
            state.share = request.share.max(1);
            state.start_tag = self.order.activate(state.start_tag);
            self.order.insert(state.start_tag, flow);
            self.active_shares += u64::from(state.share);
        }
        state.requests.insert(ticket, request);
        flow
    }

    fn remove(&mut self, flow: usize, ticket: Ticket) -> Option<AdmissionRequest> {
        let state = &mut self.flows[flow];
        let request = state.requests.remove(&ticket)?;
        state.backlog.remove(&request);
        self.backlog.remove(&request);
        if state.requests.is_empty() {
            self.order.remove(state.start_tag, flow);
            self.active_shares -= u64::from(state.share);
        }
        Some(request)
    }

    fn first(&self) -> Option<Ticket> {
        let flow = self.order.first()?;
        self.flows[flow].requests.keys().next().copied()
    }

    /// Ticket of the request that is served next; charges its organisation for it.
    fn begin_first(&mut self) -> Option<Ticket> {
        let flow = self.order.begin_first()?;
        let state = &mut self.flows[flow];
        let (&ticket, request) = state.requests.first_key_value()?;
        let cost_us = request.cost.mean.as_micros().max(1);
        self.order.remove(state.start_tag, flow);
        state.start_tag += virtual_cost(cost_us, state.share);
        self.order.insert(state.start_tag, flow);
        Some(ticket)
    }

    /// An organisation waits for its own requests and, meanwhile, for those of the others in proportion to the shares.
    #[expect(clippy::cast_precision_loss, reason = "sums are far below 2^52")]
    fn ahead(&self, organisation: &str, share: u32) -> Backlog {
        let own = self.index.get(organisation).map(|&flow| &self.flows[flow]);
        let own_work = own.map_or(Duration::ZERO, |flow| flow.backlog.work);
        let total = self.backlog.work.as_secs_f64();
        if total <= 0.0 {
            return self.backlog;
        }
        let share = own.map_or(share, |flow| flow.share).max(1);
        let others = (self.active_shares as f64 / f64::from(share)).max(1.0);
        let part = (own_work.as_secs_f64() * others / total).min(1.0);
        self.backlog.scaled(part)
    }
}

impl Backlog {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the part is from 0 to 1, and sums are far below 2^52"
    )]
    fn scaled(&self, part: f64) -> Self {
        Self {
            work: self.work.mul_f64(part),
            bytes: (self.bytes as f64 * part) as u64,
            requests: (f64::from(self.requests) * part).ceil() as u32,
        }
    }
}
