//! Events in the order of their time; events of one time keep the order of their insertion.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

/// Events that have not happened.
#[derive(Debug)]
pub struct Schedule<E> {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: HashMap<u64, E>,
    next: u64,
}

impl<E> Default for Schedule<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
        }
    }
}

impl<E> Schedule<E> {
    /// Adds an event.
    pub fn add(&mut self, at: Duration, event: E) {
        self.heap.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Takes the earliest event.
    pub fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse((at, number)) = self.heap.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}
