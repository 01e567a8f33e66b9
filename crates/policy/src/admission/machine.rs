//! What one gateway itself can carry: bytes on its link, processor time and bytes in memory.
//!
//! Link and processor are paced as virtual queues: each request occupies them for its share of their rate, and further
//! requests are admitted while the queue is short. The queue follows what was admitted, not what is in flight, so long
//! service times do not make a link look busy.

use std::time::Duration;

use super::RejectReason;

/// Part of the link and of the processor that requests may use. The rest is left to exchange with coordinators, second
/// copies and retransmissions.
const USABLE_SHARE: f64 = 0.9;

/// Virtual queue up to which requests are admitted. Shorter queues leave the resource idle between arrivals.
const MAX_QUEUE: Duration = Duration::from_millis(250);

/// Bytes of a request besides its bodies: heads, and the frames of both connections.
const OVERHEAD_BYTES: u64 = 1_500;

/// Processor time of a rejection as a share of that of a served request, which has a second connection. The time per
/// request is learned with the same share, so that an error of it hardly changes the total.
const REJECTION_COST: f64 = 0.2;

/// Weight of the latest measurement in the average processor time of a request.
const PROCESSOR_EMA_WEIGHT: f64 = 0.3;

/// Minimum period between two measurements of the processor time.
const MEASURE_PERIOD: Duration = Duration::from_millis(200);

/// Minimum number of requests in a measurement that is learned from.
const MIN_MEASURED_REQUESTS: f64 = 5.0;

/// Minimum used part of the processor share in a measurement that is learned from. Below it, background work is a large
/// part of the time, and requests would look expensive.
const MIN_LEARNED_USE: f64 = 0.5;

/// Minimum processor share in computations.
const MIN_CPU_SHARE: f64 = 0.001;

/// Part of the memory that bodies of admitted and waiting requests may use.
const BODY_MEMORY_SHARE: f64 = 0.5;

/// Resources of the machine of a gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Machine {
    /// Bandwidth of the link in bytes per second, in each direction.
    pub link_bytes_per_s: u64,
    /// Share of a processor core.
    pub cpu_share: f64,
    /// Memory of the process in bytes.
    pub memory_bytes: u64,
}

/// Load of the machine by admitted and waiting requests.
#[derive(Debug, Clone)]
pub struct MachineLoad {
    machine: Option<Machine>,
    link_free_at: Duration,
    processor_free_at: Duration,
    held_bytes: u64,
    processor: ProcessorTime,
}

/// Processor time of a request, learned from the process time and the requests between two measurements.
#[derive(Debug, Clone, Default)]
struct ProcessorTime {
    per_request_s: Option<f64>,
    requests: f64,
    /// Time and process time of the last measurement.
    last: Option<(Duration, Duration)>,
}

impl ProcessorTime {
    fn measure(&mut self, now: Duration, process_time: Duration, cpu_share: f64) {
        let Some((last_at, last_time)) = self.last else {
            self.last = Some((now, process_time));
            self.requests = 0.0;
            return;
        };
        let elapsed = now.saturating_sub(last_at);
        if elapsed < MEASURE_PERIOD {
            return;
        }
        let used_s = process_time.saturating_sub(last_time).as_secs_f64();
        let in_use = used_s / elapsed.as_secs_f64() / cpu_share.max(MIN_CPU_SHARE);
        if self.requests >= MIN_MEASURED_REQUESTS {
            let sample = used_s / self.requests;
            self.per_request_s = if in_use >= MIN_LEARNED_USE {
                let average = self.per_request_s.unwrap_or(sample);
                Some(average + (sample - average) * PROCESSOR_EMA_WEIGHT)
            } else {
                // Background work makes the sample too large, so it is an upper bound.
                self.per_request_s.map(|average| average.min(sample))
            };
        }
        self.last = Some((now, process_time));
        self.requests = 0.0;
    }
}

impl MachineLoad {
    /// Creates the load of an idle machine; without limits it always has room.
    #[must_use]
    pub fn new(machine: Option<Machine>) -> Self {
        Self {
            machine,
            link_free_at: Duration::ZERO,
            processor_free_at: Duration::ZERO,
            held_bytes: 0,
            processor: ProcessorTime::default(),
        }
    }

    /// Records the processor time that the process has used since its start.
    pub fn measure_processor(&mut self, now: Duration, process_time: Duration) {
        if let Some(machine) = &self.machine {
            self.processor.measure(now, process_time, machine.cpu_share);
        }
    }

    /// Learned processor time of one request; `None` before enough requests were seen.
    #[must_use]
    pub fn processor_time_per_request(&self) -> Option<Duration> {
        self.processor.per_request_s.map(seconds)
    }

    /// Resource that has no room for another request now.
    pub(super) fn shortage(&self, now: Duration) -> Option<RejectReason> {
        self.machine?;
        if self.link_free_at.saturating_sub(now) > MAX_QUEUE {
            return Some(RejectReason::Link);
        }
        (self.processor_queue(now) > MAX_QUEUE).then_some(RejectReason::Processor)
    }

    /// Whether the bodies of another request fit into the memory. One request always fits, so that the largest bodies
    /// are not refused forever.
    pub(super) fn has_memory(&self, bytes: u64) -> bool {
        let Some(machine) = &self.machine else {
            return true;
        };
        let limit = share_of(machine.memory_bytes, BODY_MEMORY_SHARE);
        self.held_bytes == 0 || self.held_bytes.saturating_add(bytes) <= limit
    }

    /// Counts the bodies of a request that waits or was admitted.
    pub(super) const fn hold(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Forgets the bodies of a request that ended.
    pub(super) const fn release(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Counts an admitted request.
    pub(super) fn admit(&mut self, now: Duration, bytes: u64) {
        self.transfer(now, bytes.saturating_add(OVERHEAD_BYTES));
        self.process(now, 1.0);
    }

    /// Counts a rejected request.
    pub(super) fn reject(&mut self, now: Duration) {
        self.process(now, REJECTION_COST);
    }

    /// Counts bytes of an admitted request that were not expected.
    pub(super) fn transfer(&mut self, now: Duration, bytes: u64) {
        let time = self.link_time(bytes);
        self.link_free_at = self.link_free_at.max(now) + time;
    }

    fn process(&mut self, now: Duration, requests: f64) {
        self.processor.requests += requests;
        let time = self.processor_time(requests);
        self.processor_free_at = now + self.processor_queue(now) + time;
    }

    /// Expected time until there is room for a request behind `requests` others with `bytes` together, and the resource
    /// that it waits for.
    pub(super) fn expected_wait(
        &self,
        now: Duration,
        bytes: u64,
        requests: f64,
    ) -> (Duration, RejectReason) {
        let overhead = OVERHEAD_BYTES.saturating_mul(whole(requests));
        let link =
            self.link_free_at.saturating_sub(now) + self.link_time(bytes.saturating_add(overhead));
        let processor = self.processor_queue(now) + self.processor_time(requests);
        if link >= processor {
            (link.saturating_sub(MAX_QUEUE), RejectReason::Link)
        } else {
            (processor.saturating_sub(MAX_QUEUE), RejectReason::Processor)
        }
    }

    /// Time in which link and processor carry one request with bodies of a size.
    pub(super) fn interval(&self, bytes: u64) -> Duration {
        let link = self.link_time(bytes.saturating_add(OVERHEAD_BYTES));
        link.max(self.processor_time(1.0))
    }

    /// Time for which the link is occupied by bytes.
    #[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
    pub(super) fn link_time(&self, bytes: u64) -> Duration {
        self.machine.map_or(Duration::ZERO, |machine| {
            let rate = machine.link_bytes_per_s.max(1) as f64 * USABLE_SHARE;
            seconds(bytes as f64 / rate)
        })
    }

    /// Time until the processor has worked off the admitted requests.
    const fn processor_queue(&self, now: Duration) -> Duration {
        self.processor_free_at.saturating_sub(now)
    }

    fn processor_time(&self, requests: f64) -> Duration {
        let per_request_s = self.processor.per_request_s.unwrap_or(0.0);
        self.machine.map_or(Duration::ZERO, |machine| {
            seconds(
                requests * per_request_s / (machine.cpu_share.max(MIN_CPU_SHARE) * USABLE_SHARE),
            )
        })
    }
}

/// Duration of a number of seconds; at most an hour, and zero for values that are not finite.
pub(super) fn seconds(seconds: f64) -> Duration {
    let finite = if seconds.is_finite() { seconds } else { 0.0 };
    Duration::from_secs_f64(finite.clamp(0.0, 3_600.0))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range"
)]
fn whole(value: f64) -> u64 {
    value.clamp(0.0, 1e9) as u64
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are far below 2^52 and not negative"
)]
fn share_of(bytes: u64, share: f64) -> u64 {
    (bytes as f64 * share) as u64
}
