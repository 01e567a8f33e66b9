//! Budgets in bytes for the bodies that a process holds.
//!
//! Handles large uploads and downloads on machines with little memory: callers that send many large bodies at the same
//! time, servers that send answers without end, and callers that do not read their answers.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Memory that is assumed where the settings do not state it. It is the smallest one whose budget holds a body of the
/// default maximum size, 64 MiB.
pub const DEFAULT_MEMORY_BYTES: u64 = 512 << 20;

/// Part of the memory that bodies may take. A buffer that grows exists twice while it is copied, and the rest of the
/// process needs its memory too.
const BODY_DIVISOR: u64 = 4;

/// Part of the budget that request bodies may take. The rest remains for the answers to requests that have run, which
/// would otherwise be lost.
const REQUEST_DIVISOR: u64 = 2;

/// Share of the budget, as numerator and denominator, above which no further request is accepted.
const ACCEPT_SHARE: (u64, u64) = (3, 4);

/// Time without progress after which the connection of a caller that does not read its answer is closed.
const MAX_STALL: Duration = Duration::from_secs(10);

/// Value that replaces [`MAX_STALL`] while more than half of the budget is in use.
const MAX_STALL_WHEN_SCARCE: Duration = Duration::from_secs(2);

/// Share of the link that large bodies may take together; the rest is for small answers and control traffic.
const LARGE_BODY_LINK_SHARE: f64 = 0.85;

/// What held bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ByteUse {
    /// Body of a request.
    Request,
    /// Body of an answer that is being received.
    Receiving,
    /// Body of an answer until it is written to the caller.
    Answer,
}

impl ByteUse {
    /// All uses.
    pub const ALL: [Self; 3] = [Self::Request, Self::Receiving, Self::Answer];

    /// Name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Receiving => "receiving",
            Self::Answer => "answer",
        }
    }
}

impl fmt::Display for ByteUse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Budget of a process. Clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<Counts>);

#[derive(Debug)]
struct Counts {
    limit_bytes: u64,
    held_bytes: [AtomicU64; ByteUse::ALL.len()],
    refused: AtomicU64,
}

impl Default for ByteBudget {
    fn default() -> Self {
        Self::for_memory(None)
    }
}

impl ByteBudget {
    /// Creates the budget of a process with this memory, or with [`DEFAULT_MEMORY_BYTES`] if it is not known.
    #[must_use]
    pub fn for_memory(memory_bytes: Option<u64>) -> Self {
        let memory_bytes = memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        Self(Arc::new(Counts {
            limit_bytes: memory_bytes / BODY_DIVISOR,
            held_bytes: [const { AtomicU64::new(0) }; ByteUse::ALL.len()],
            refused: AtomicU64::new(0),
        }))
    }

    /// Maximum number of bytes of all bodies.
    #[must_use]
    pub fn limit_bytes(&self) -> u64 {
        self.0.limit_bytes
    }

    /// Maximum size of one request body. A longer one never fits, so its caller must not send it again.
    #[must_use]
    pub fn max_request_bytes(&self) -> u64 {
        self.limit_bytes() / REQUEST_DIVISOR
    }

    /// Bytes that are held for one use.
    #[must_use]
    pub fn held_bytes(&self, usage: ByteUse) -> u64 {
        self.0.held_bytes[usage as usize].load(Ordering::Relaxed)
    }

    /// Bytes that are held for all uses.
    #[must_use]
    pub fn total_bytes(&self) -> u64 {
        let held = ByteUse::ALL.map(|usage| self.held_bytes(usage));
        held.iter().sum()
    }

    /// Bodies that were refused since the start of the process.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    /// Whether a request with a body of this size may be accepted: part of the budget stays free for the answers to
    /// requests that are running.
    #[must_use]
    pub fn accepts_request(&self, body_bytes: u64) -> bool {
        let (numerator, denominator) = ACCEPT_SHARE;
        let accept_limit = self.limit_bytes() / denominator * numerator;
        let accepted = self.total_bytes() < accept_limit && self.fits(ByteUse::Request, body_bytes);
        if !accepted {
            self.0.refused.fetch_add(1, Ordering::Relaxed);
        }
        accepted
    }

    /// Creates an empty reservation.
    #[must_use]
    pub fn reserve(&self, usage: ByteUse) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            usage,
            bytes: 0,
        }
    }

    /// Time without progress after which the connection of a caller that does not read its answer is closed.
    #[must_use]
    pub fn max_stall(&self) -> Duration {
        if self.total_bytes() > self.limit_bytes() / 2 {
            MAX_STALL_WHEN_SCARCE
        } else {
            MAX_STALL
        }
    }

    fn fits(&self, usage: ByteUse, more_bytes: u64) -> bool {
        let within = |held: u64, limit: u64| held.saturating_add(more_bytes) <= limit;
        let request_fits = usage != ByteUse::Request
            || within(self.held_bytes(ByteUse::Request), self.max_request_bytes());
        request_fits && within(self.total_bytes(), self.limit_bytes())
    }
}

/// Bytes of one body; they are returned to the budget when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: ByteBudget,
    usage: ByteUse,
    bytes: u64,
}

impl HeldBytes {
    /// Adds bytes. Returns `false`, and adds nothing, if the budget does not have them.
    pub fn try_add(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        if !self.budget.fits(self.usage, bytes) {
            self.budget.0.refused.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.count().fetch_add(bytes, Ordering::Relaxed);
        self.bytes += bytes;
        true
    }

    /// Number of bytes.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Counts the bytes for another use from now on.
    #[must_use]
    pub fn moved_to(mut self, usage: ByteUse) -> Self {
        self.count().fetch_sub(self.bytes, Ordering::Relaxed);
        self.usage = usage;
        self.count().fetch_add(self.bytes, Ordering::Relaxed);
        self
    }

    fn count(&self) -> &AtomicU64 {
        &self.budget.0.held_bytes[self.usage as usize]
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.count().fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Pace of large bodies on the link of a machine. Each body waits after each part until the link has had the time to
/// carry it, so bodies share the link in turns and small answers find it nearly idle.
#[derive(Debug, Clone)]
pub struct LinkPace {
    bytes_per_s: f64,
    /// Time at which the link has carried all parts that have been handed over.
    free_at: Duration,
}

impl LinkPace {
    /// Creates the pace on a link of this bandwidth.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        #[expect(
            clippy::cast_precision_loss,
            reason = "a bandwidth needs no more than 52 bits of precision"
        )]
        let link_bytes_per_s = link_bytes_per_s.max(1) as f64;
        Self {
            bytes_per_s: link_bytes_per_s * LARGE_BODY_LINK_SHARE,
            free_at: Duration::ZERO,
        }
    }

    /// Hands over a part of a body. Returns the time until the next part of the same body may follow.
    pub fn send(&mut self, bytes: u32, now: Duration) -> Duration {
        let carried_in = Duration::from_secs_f64(f64::from(bytes) / self.bytes_per_s);
        self.free_at = self.free_at.max(now).saturating_add(carried_in);
        self.free_at.saturating_sub(now)
    }
}
