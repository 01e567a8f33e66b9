//! Starts each request at its scheduled time, whether or not earlier ones have finished.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Result;
use radishpaddle_testkit::caller::{
    AttemptResult, Bytes, Caller, CallerSettings, Method, Operation,
};
use radishpaddle_testkit::clock::now_us;
use tokio::runtime::{Handle, Runtime};
use tokio::sync::{Semaphore, mpsc};

use super::schedule::{Arrival, Schedule};
use super::settings::{LoadSettings, Stream};
use super::stats::{Finished, Stats};

/// Time after the longest deadline of the traffic, counted from the end of the schedule, within which all
/// requests must have a result. The run fails otherwise.
const COMPLETION_GRACE: Duration = Duration::from_secs(5);

/// State that all requests of a run share.
struct Run {
    settings: LoadSettings,
    /// Callers by stream.
    callers: Vec<Caller>,
    /// Limits the requests in flight.
    in_flight: Semaphore,
    /// Prefix of the request ids and idempotency keys, so that those of different runs differ.
    key_prefix: u64,
    start: Instant,
}

/// Generates the load and returns its statistics.
///
/// # Errors
///
/// Fails when the runtime cannot be started or requests do not finish in time.
pub fn generate(settings: &LoadSettings, allow_remote: bool) -> Result<Stats> {
    let runtime = Runtime::new()?;
    let callers = settings.traffic.iter();
    let run = Arc::new(Run {
        callers: callers
            .map(|stream| caller(settings, stream, allow_remote))
            .collect(),
        in_flight: Semaphore::new(settings.max_in_flight.min(Semaphore::MAX_PERMITS)),
        key_prefix: now_us(),
        start: Instant::now(),
        settings: settings.clone(),
    });
    let (results, received) = mpsc::unbounded_channel();
    let collector = runtime.spawn(collect(received));
    let scheduled = start_requests(&run, runtime.handle(), &results);
    drop(results);
    let longest = settings
        .traffic
        .iter()
        .map(|stream| stream.deadline_ms)
        .max();
    let limit = Duration::from_millis(longest.unwrap_or(0)) + COMPLETION_GRACE;
    let mut stats = runtime.block_on(async {
        let abort = collector.abort_handle();
        if let Ok(stats) = tokio::time::timeout(limit, collector).await {
            return Ok(stats?);
        }
        abort.abort();
        anyhow::bail!("requests did not finish within {limit:?} of the end of the schedule")
    })?;
    stats.scheduled = scheduled;
    stats.elapsed = run.start.elapsed();
    // Address requests may still wait for an answer; their results are not needed.
    runtime.shutdown_background();
    Ok(stats)
}

fn caller(settings: &LoadSettings, stream: &Stream, allow_remote: bool) -> Caller {
    let mut caller = CallerSettings::new(settings.seeds.clone());
    caller.organisation = Some(stream.organisation.clone());
    caller.key.clone_from(&stream.key);
    caller.max_attempts = settings.max_attempts;
    caller.loopback_only = !allow_remote;
    Caller::new(caller, None)
}

/// Starts every request at its scheduled time and returns the number of requests. Blocks the calling
/// thread, because a thread sleeps with a finer resolution than the 1 ms of the runtime's timer.
fn start_requests(
    run: &Arc<Run>,
    runtime: &Handle,
    results: &mpsc::UnboundedSender<Finished>,
) -> u64 {
    let end = Duration::from_millis(run.settings.duration_ms);
    let schedule = Schedule::new(&run.settings.traffic, end, run.settings.seed);
    let limit = usize::try_from(run.settings.max_requests).unwrap_or(usize::MAX);
    let mut scheduled = 0;
    for arrival in schedule.take(limit) {
        let due = run.start + arrival.at;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        scheduled += 1;
        let (run, results, number) = (Arc::clone(run), results.clone(), scheduled);
        runtime.spawn(async move {
            let finished = run.request(arrival, number).await;
            // Fails only if the collector was aborted because the run took too long.
            let _ = results.send(finished);
        });
    }
    scheduled
}

async fn collect(mut received: mpsc::UnboundedReceiver<Finished>) -> Stats {
    let mut stats = Stats::default();
    while let Some(finished) = received.recv().await {
        stats.add(&finished);
    }
    stats
}

impl Run {
    async fn request(&self, arrival: Arrival, number: u64) -> Finished {
        let stream = &self.settings.traffic[arrival.stream];
        let due = self.start + arrival.at;
        let deadline = due + Duration::from_millis(stream.deadline_ms);
        let permit = tokio::time::timeout_at(deadline.into(), self.in_flight.acquire()).await;
        let started = Instant::now();
        let remaining = deadline.saturating_duration_since(started);
        let told = if permit.is_err() || remaining.is_zero() {
            None
        } else {
            let operation = self.operation(stream, arrival.action, number, remaining);
            Some(self.callers[arrival.stream].perform(&operation).await)
        };
        Finished {
            organisation: stream.organisation.clone(),
            service: stream.service.clone(),
            action: arrival.action,
            told: told.map(without_content),
            latency: due.elapsed(),
            start_lag: started.saturating_duration_since(due),
        }
    }

    fn operation(
        &self,
        stream: &Stream,
        action: bool,
        number: u64,
        remaining: Duration,
    ) -> Operation {
        let id = format!("load-{}-{number}", self.key_prefix);
        let body = if action {
            vec![b'x'; stream.action_body_bytes]
        } else {
            Vec::new()
        };
        let path = if action {
            &stream.action_path
        } else {
            &stream.idempotent_path
        };
        Operation {
            idempotency_key: action.then(|| id.clone()),
            id,
            service: stream.service.clone(),
            host: stream.host.clone(),
            method: if action { Method::POST } else { Method::GET },
            path: path.clone(),
            body: Bytes::from(body),
            open: stream.key.is_none(),
            idempotent: !action,
            deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Removes the contents of an answer, which the statistics do not need.
fn without_content(told: AttemptResult) -> AttemptResult {
    match told {
        AttemptResult::Answer { status, code, .. } => AttemptResult::Answer {
            status,
            code,
            digest: String::new(),
            operation: None,
        },
        told => told,
    }
}
