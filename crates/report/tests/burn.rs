//! Figures of the report on known data, computed by hand.
//!
//! Service `ledger`: 99 % within 250 ms; route `read` has weight 1, `post` is an action of weight 5. Between
//! the first two samples (1 h), `large` has on `read` 900 answered (20 late), 50 refused for the rate, 4 with
//! a lost backend connection and 6 refused as overloaded, and on `post` 18 answered and 2 timed out; `small`
//! has 95 answered and 5 refused as not fresh. In the last 5 min, `large` has 100 answered in time.

use radishpaddle_model::ServiceDocument;
use radishpaddle_report::burn::{Budget, Report, report};
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

fn example() -> Report {
    report(&samples(), &documents(), &events::parse(JOURNAL).unwrap())
}

fn organisation<'a>(report: &'a Report, name: &str) -> &'a Budget {
    let mut organisations = report.services[0].organisations.iter();
    &organisations.find(|(known, _)| known == name).unwrap().1
}

fn assert_close(found: Option<f64>, expected: f64) {
    let found = found.unwrap();
    assert!(
        (found - expected).abs() < 1e-9,
        "{found} instead of {expected}"
    );
}

/// Guards against a route weight that is ignored, and against spending in the wrong class.
#[test]
fn spending_is_classified_and_weighted() {
    let report = example();

    let large = &organisation(&report, "large").tally;
    // read 880 + 100, post 18 * 5
    assert_close(Some(large.in_time), 1_070.0);
    assert_close(Some(large.late), 20.0);
    assert_close(Some(large.refused), 6.0);
    assert_close(Some(large.failed), 4.0);
    assert_close(Some(large.outcome_unknown), 2.0 * 5.0);
    assert_close(Some(large.rate_refused), 50.0);
    assert_close(Some(large.entitled()), 1_110.0);
    assert_close(large.served_share(), 1_090.0 / 1_110.0);
}

/// Guards against a budget or burn rate that counts the wrong window. The 1 h window holds 55 of the 60
/// minutes of the first interval.
#[test]
fn budget_and_burn_rates_match_the_hand_computation() {
    let report = example();

    let large = organisation(&report, "large");
    let part = 55.0 / 60.0;
    assert_close(large.left, 1.0 - 40.0 / 1_110.0 / 0.01);
    assert_close(large.burn[0].rate, 0.0);
    assert_close(
        large.burn[1].rate,
        40.0 * part / (1_010.0 * part + 100.0) / 0.01,
    );
    assert_close(large.burn[2].rate, 40.0 / 1_110.0 / 0.01);
    assert_eq!(
        (large.burn[0].covered_ms, large.burn[2].covered_ms),
        (300_000, 3_900_000)
    );
    let small = organisation(&report, "small");
    assert_eq!(small.burn[0].rate, None, "no requests in the last 5 min");
    assert_close(small.burn[1].rate, 5.0);
    assert_close(report.services[0].total.left, 1.0 - 45.0 / 1_210.0 / 0.01);
}

/// Guards against rate refusals that count as wrongful, and against the wrong order.
#[test]
fn wrongful_refusals_and_worst_served_come_first() {
    let report = example();

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

/// Guards against events of another service or another time as explanation.
#[test]
fn events_of_the_interval_that_spent_explain_it() {
    let report = example();

    let kinds: Vec<&str> = report.services[0]
        .events
        .iter()
        .map(|event| event.kind.as_str())
        .collect();
    assert_eq!(kinds, ["ejected", "not_fresh"]);
}

fn counter(at: u64, instance: &str, answered: f64) -> Sample {
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
        at_unix_ms: at,
        instance: instance.into(),
        series: vec![(key, counts)],
    }
}

fn total(samples: &[Sample]) -> f64 {
    let increases = increases(samples);
    let counts = increases
        .iter()
        .flat_map(|increase| increase.series.values());
    counts.flat_map(|counts| counts.by_code.values()).sum()
}

/// Guards against negative or doubled counts when an instance restarts, joins or is read once.
#[test]
fn counters_survive_restarts_and_new_instances() {
    let restarted = [
        counter(0, "a", 100.0),
        counter(60, "a", 150.0),
        counter(120, "a", 30.0),
    ];
    let joined = [
        counter(0, "a", 100.0),
        counter(60, "a", 110.0),
        counter(60, "b", 7.0),
    ];
    let once = [counter(0, "a", 100.0), counter(0, "b", 7.0)];

    assert_close(Some(total(&restarted)), 50.0 + 30.0);
    assert_close(Some(total(&joined)), 10.0 + 7.0);
    assert_close(Some(total(&once)), 107.0);
}

/// Guards against a latency limit that is read only at bucket bounds: 250 ms lies in the middle of the
/// bucket from 200 ms to 300 ms, with 40 of its requests.
#[test]
fn latency_limit_within_a_bucket_is_interpolated() {
    let buckets = vec![(0.2, 60.0), (0.3, 100.0), (f64::MAX, 110.0)];
    let counts = Counts {
        by_code: [].into(),
        buckets,
    };

    assert_close(Some(counts.within(0.25)), 80.0);
    assert_close(Some(counts.within(0.3)), 100.0);
    assert_close(Some(counts.within(9.0)), 100.0);
    assert_close(Some(counts.measured()), 110.0);
    assert_close(Some(Counts::default().within(0.25)), 0.0);
}

/// Guards against a division by zero when the objective allows no bad request.
#[test]
fn objective_of_100_percent_has_no_burn_rate() {
    let text = SERVICES.replace("\"success_percent\": 99", "\"success_percent\": 100");
    let documents = parse_documents(&text).unwrap();

    let report = report(&samples(), &documents, &[]);

    assert_eq!(report.services[0].total.left, None);
    assert_eq!(report.services[0].total.burn[1].rate, None);
}

/// Guards against services that vanish from the report because nobody submitted their document.
#[test]
fn service_without_document_is_named() {
    let report = report(&samples(), &[], &[]);

    assert_eq!(report.without_document, ["ledger"]);
    assert!(report.services.is_empty() && report.worst_served.is_none());
}
