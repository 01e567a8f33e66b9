//! Compares the report on the documented example with values that were computed by hand.
//!
//! Service `ledger` has an objective of 99 % within 250 ms. Route `read` has weight 1, route `post` is an
//! action of weight 5. Requests between the first two samples (1 h):
//!
//! - `large` on `read`: 900 answered (20 of them late), 50 refused by the rate limit, 4 failed with a lost
//!   backend connection, 6 refused as overloaded
//! - `large` on `post`: 18 answered, 2 timed out
//! - `small`: 95 answered, 5 refused as not fresh
//!
//! Between the last two samples (5 min): 100 requests of `large`, all answered in time.

use radishpaddle_model::ServiceDocument;
use radishpaddle_report::burn::{Budget, Report, build_report};
use radishpaddle_report::samples::{Counts, Sample, SeriesKey, from_metrics, increases};
use radishpaddle_report::source::parse_documents;
use radishpaddle_report::{events, exposition};

const SERVICES: &str = include_str!("../../../docs/examples/burn-report/services.json");
const JOURNAL: &str = include_str!("../../../docs/examples/burn-report/journal.jsonl");
const METRICS: [(u64, &str); 3] = [
    (
        0,
        include_str!("../../../docs/examples/burn-report/metrics-1.txt"),
    ),
    (
        3_600_000,
        include_str!("../../../docs/examples/burn-report/metrics-2.txt"),
    ),
    (
        3_900_000,
        include_str!("../../../docs/examples/burn-report/metrics-3.txt"),
    ),
];

const START_MS: u64 = 1_800_000_000_000;

fn documents() -> Vec<ServiceDocument> {
    parse_documents(SERVICES).unwrap()
}

fn samples() -> Vec<Sample> {
    let read = |(at, text): (u64, &str)| {
        from_metrics(START_MS + at, "e-1", &exposition::parse(text).unwrap())
    };
    METRICS.into_iter().map(read).collect()
}

fn example_report() -> Report {
    build_report(&samples(), &documents(), &events::parse(JOURNAL).unwrap())
}

fn organisation_budget<'a>(report: &'a Report, name: &str) -> &'a Budget {
    let mut organisations = report.services[0].organisations.iter();
    &organisations
        .find(|(organisation, _)| organisation == name)
        .unwrap()
        .1
}

fn assert_close(actual: Option<f64>, expected: f64) {
    let actual = actual.unwrap();
    assert!(
        (actual - expected).abs() < 1e-9,
        "{actual} instead of {expected}"
    );
}

/// Guards against ignored route weights and against requests counted under the wrong outcome.
#[test]
fn spending_is_classified_and_weighted() {
    let report = example_report();

    let large = &organisation_budget(&report, "large").tally;
    // 880 + 100 on `read`, 18 with weight 5 on `post`
    assert_close(Some(large.in_time), 1_070.0);
    assert_close(Some(large.late), 20.0);
    assert_close(Some(large.refused), 6.0);
    assert_close(Some(large.failed), 4.0);
    assert_close(Some(large.outcome_unknown), 2.0 * 5.0);
    assert_close(Some(large.rate_refused), 50.0);
    assert_close(Some(large.entitled()), 1_110.0);
    assert_close(large.served_share(), 1_090.0 / 1_110.0);
}

/// Guards against a budget or burn rate over the wrong window. The 1 h window covers the second interval
/// (5 min) and 55 of the 60 minutes of the first one.
#[test]
fn budget_and_burn_rates_match_the_hand_computation() {
    let report = example_report();

    let large = organisation_budget(&report, "large");
    let overlap = 55.0 / 60.0;
    assert_close(large.left, 1.0 - 40.0 / 1_110.0 / 0.01);
    assert_close(large.burn[0].rate, 0.0);
    assert_close(
        large.burn[1].rate,
        40.0 * overlap / (1_010.0 * overlap + 100.0) / 0.01,
    );
    assert_close(large.burn[2].rate, 40.0 / 1_110.0 / 0.01);
    assert_eq!(
        (large.burn[0].covered_ms, large.burn[2].covered_ms),
        (300_000, 3_900_000)
    );
    let small = organisation_budget(&report, "small");
    assert_eq!(small.burn[0].rate, None, "no requests in the last 5 min");
    assert_close(small.burn[1].rate, 5.0);
    assert_close(report.services[0].total.left, 1.0 - 45.0 / 1_210.0 / 0.01);
}

/// Guards against refusals by the rate limit that count as wrongful, and against a wrong sort order.
#[test]
fn wrongful_refusals_and_worst_served_come_first() {
    let report = example_report();

    let refused: Vec<(&str, f64)> = report
        .wrongly_refused
        .iter()
        .map(|entry| (entry.organisation.as_str(), entry.refused))
        .collect();
    assert_eq!(refused, [("small", 5.0), ("large", 6.0)]);
    assert_eq!(
        report.wrongly_refused[0].by_code.keys().collect::<Vec<_>>(),
        [&2003]
    );
    let worst = report.worst_served.unwrap();
    assert_eq!(worst.organisation, "small");
    assert_close(Some(worst.share), 0.95);
    assert_eq!(report.services[0].organisations[0].0, "small");
}

/// Guards against listing events of another service or of another time.
#[test]
fn events_of_the_interval_that_spent_explain_it() {
    let report = example_report();

    let kinds: Vec<&str> = report.services[0]
        .events
        .iter()
        .map(|event| event.kind.as_str())
        .collect();
    assert_eq!(kinds, ["ejected", "not_fresh"]);
}

/// Sample with one counter of answered requests.
fn counter_sample(at_unix_ms: u64, instance: &str, answered: f64) -> Sample {
    let key = SeriesKey {
        service: "ledger".into(),
        organisation: "large".into(),
        route: "read".into(),
    };
    let counts = Counts {
        by_code: [(1_000, answered)].into(),
        buckets: vec![],
    };
    Sample {
        at_unix_ms,
        instance: instance.into(),
        series: vec![(key, counts)],
    }
}

/// Sum of the increases of all counters.
fn total_increase(samples: &[Sample]) -> f64 {
    let increases = increases(samples);
    let counts = increases
        .iter()
        .flat_map(|increase| increase.series.values());
    counts.flat_map(|counts| counts.by_code.values()).sum()
}

/// Guards against negative or doubled counts when an instance restarts, joins later or has a single
/// sample.
#[test]
fn counters_survive_restarts_and_new_instances() {
    let restarted = [
        counter_sample(0, "a", 100.0),
        counter_sample(60, "a", 150.0),
        counter_sample(120, "a", 30.0),
    ];
    let joined = [
        counter_sample(0, "a", 100.0),
        counter_sample(60, "a", 110.0),
        counter_sample(60, "b", 7.0),
    ];
    let single = [counter_sample(0, "a", 100.0), counter_sample(0, "b", 7.0)];

    assert_close(Some(total_increase(&restarted)), 50.0 + 30.0);
    assert_close(Some(total_increase(&joined)), 10.0 + 7.0);
    assert_close(Some(total_increase(&single)), 107.0);
}

/// Guards against a latency limit that is evaluated only at bucket bounds. 250 ms lies in the middle of
/// the bucket from 200 ms to 300 ms, which holds 40 requests.
#[test]
fn latency_limit_within_a_bucket_is_interpolated() {
    let buckets = vec![(0.2, 60.0), (0.3, 100.0), (f64::MAX, 110.0)];
    let counts = Counts {
        by_code: [].into(),
        buckets,
    };

    assert_close(Some(counts.requests_within(0.25)), 80.0);
    assert_close(Some(counts.requests_within(0.3)), 100.0);
    assert_close(Some(counts.requests_within(9.0)), 100.0);
    assert_close(Some(counts.histogram_total()), 110.0);
    assert_close(Some(Counts::default().requests_within(0.25)), 0.0);
}

/// Guards against a division by zero when the objective allows no failed request.
#[test]
fn objective_of_100_percent_has_no_burn_rate() {
    let text = SERVICES.replace("\"success_percent\": 99", "\"success_percent\": 100");
    let documents = parse_documents(&text).unwrap();

    let report = build_report(&samples(), &documents, &[]);

    assert_eq!(report.services[0].total.left, None);
    assert_eq!(report.services[0].total.burn[1].rate, None);
}

/// Guards against services that are missing from the report because no document was submitted for them.
#[test]
fn service_without_document_is_named() {
    let report = build_report(&samples(), &[], &[]);

    assert_eq!(report.without_document, ["ledger"]);
    assert!(report.services.is_empty() && report.worst_served.is_none());
}
