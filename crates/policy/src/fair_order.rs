//! Order of service of flows by start-time fair queueing (Goyal, Vin and Cheng 1996).
//!
//! Holds the start tags of the flows that have waiting requests, and the virtual time. The owner keeps the requests of
//! each flow and the start tag that it was inserted with.

use std::collections::BTreeSet;

/// Virtual time by which one unit of cost advances a flow with share 1.
const VIRTUAL_TIME_PER_UNIT: u128 = 1 << 32;

/// Flows with waiting requests, ordered by start tag.
#[derive(Debug, Clone, Default)]
pub struct FairOrder {
    virtual_time: u128,
    by_start_tag: BTreeSet<(u128, usize)>,
}

impl FairOrder {
    /// Start tag of a flow that becomes active; `last_tag` is its tag when it was last active. A flow earns no credit
    /// while it has no waiting request.
    pub fn activate(&self, last_tag: u128) -> u128 {
        last_tag.max(self.virtual_time)
    }

    pub fn insert(&mut self, start_tag: u128, flow: usize) {
        self.by_start_tag.insert((start_tag, flow));
    }

    pub fn remove(&mut self, start_tag: u128, flow: usize) {
        self.by_start_tag.remove(&(start_tag, flow));
    }

    /// Flow that is served next.
    pub fn first(&self) -> Option<usize> {
        self.by_start_tag.first().map(|&(_, flow)| flow)
    }

    /// Begins to serve the first flow, and advances the virtual time to its start tag.
    pub fn begin_first(&mut self) -> Option<usize> {
        let &(start_tag, flow) = self.by_start_tag.first()?;
        self.virtual_time = start_tag;
        Some(flow)
    }

    /// Restarts the virtual time. No flow is owed service while none has a waiting request.
    pub fn reset(&mut self) {
        self.virtual_time = 0;
        self.by_start_tag.clear();
    }
}

/// Virtual time by which `units` of cost advance a flow with a share.
pub fn virtual_cost(units: u128, share: u32) -> u128 {
    units * VIRTUAL_TIME_PER_UNIT / u128::from(share.max(1))
}
