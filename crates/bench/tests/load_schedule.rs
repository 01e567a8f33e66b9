//! Tests of the schedule of the load generator and of the checks of its settings.

#[allow(dead_code)]
#[path = "../src/load/schedule.rs"]
mod schedule;
#[allow(dead_code)]
#[path = "../src/load/settings.rs"]
mod settings;

use std::time::Duration;

use schedule::{Arrival, Schedule};
use settings::{Arrivals, LoadSettings};

/// Text that the error must contain, and the change that makes the settings not valid.
type Case = (&'static str, fn(&mut LoadSettings));

fn arrivals(settings: &LoadSettings, seconds: u64) -> Vec<Arrival> {
    let end = Duration::from_secs(seconds);
    Schedule::new(&settings.traffic, end, settings.seed).collect()
}

/// Guards against rates and action shares that differ from the settings. The bounds are more than four
/// standard deviations of the Poisson and binomial counts from the mean.
#[test]
fn rates_and_action_share_are_kept() {
    let settings = LoadSettings::example();

    let list = arrivals(&settings, 100);

    let of = |stream: usize| list.iter().filter(move |arrival| arrival.stream == stream);
    let actions = of(0).filter(|arrival| arrival.action).count();
    assert!((7_640..8_360).contains(&of(0).count()), "{}", of(0).count());
    assert!((870..1_130).contains(&of(1).count()), "{}", of(1).count());
    assert!((680..920).contains(&actions), "{actions}");
}

/// Guards against arrivals that are out of order, after the end of the run, or not repeatable with the
/// same seed.
#[test]
fn arrivals_are_in_order_and_repeatable() {
    let mut settings = LoadSettings::example();
    settings.traffic[1].arrivals = Arrivals::Even;

    let list = arrivals(&settings, 10);

    assert!(list.is_sorted_by_key(|arrival| arrival.at));
    assert!(
        list.iter()
            .all(|arrival| arrival.at < Duration::from_secs(10))
    );
    assert_eq!(list, arrivals(&settings, 10));
    let mut even = list.iter().filter(|arrival| arrival.stream == 1);
    assert_eq!(even.next().unwrap().at, Duration::from_millis(100));
    settings.seed = 2;
    assert_ne!(list, arrivals(&settings, 10));
}

/// Guards against settings that make a run unbounded, send no requests or target remote machines.
#[test]
fn settings_outside_their_range_are_refused() {
    let cases: [Case; 8] = [
        ("seeds", |settings| settings.seeds.clear()),
        ("not a loopback", |settings| {
            settings.seeds = vec!["192.0.2.1:80".parse().unwrap()];
        }),
        ("duration_ms", |settings| settings.duration_ms = 0),
        ("max_requests", |settings| settings.max_requests = u64::MAX),
        ("max_in_flight", |settings| settings.max_in_flight = 0),
        ("rate_per_s", |settings| {
            settings.traffic[0].rate_per_s = f64::NAN;
        }),
        ("action_share", |settings| {
            settings.traffic[0].action_share = 1.5;
        }),
        ("idempotent_path", |settings| {
            settings.traffic[1].idempotent_path.clear();
        }),
    ];
    assert!(LoadSettings::example().check(false).is_ok());
    for (field, change) in cases {
        let mut settings = LoadSettings::example();
        change(&mut settings);

        let error = settings.check(false).unwrap_err().to_string();

        assert!(error.contains(field), "{error}");
    }
}
