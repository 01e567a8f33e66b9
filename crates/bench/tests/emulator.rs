//! Tests of the emulator: repeatability, agreement with calculated results, and complete accounting.

use std::ffi::OsString;
use std::time::Duration;

use radishpaddle_bench::deployment::{
    ACTION_FRACTION, ACTION_MEAN_TIME, Deployment, READ_MEAN_TIME, mean_service_time,
};
use radishpaddle_bench::emulator::Emulator;
use radishpaddle_bench::fault::Fault;
use radishpaddle_bench::figures::{Figures, OrganisationFigures, RunFigures};
use radishpaddle_bench::number::ratio;
use radishpaddle_bench::policy::Policy;
use radishpaddle_bench::run::run;
use radishpaddle_bench::settings::{Command, Settings};

fn emulate(fault: Fault, policy: Policy, seed: u64, seconds: u64) -> RunFigures {
    let length = Duration::from_secs(seconds);
    Emulator::new(Deployment::M, fault, policy, seed, length).run()
}

fn sum(run: &RunFigures, field: fn(&OrganisationFigures) -> u64) -> u64 {
    run.organisations.iter().map(field).sum()
}

fn settings(arguments: &[&str]) -> Settings {
    match Command::parse(arguments.iter().map(OsString::from)).unwrap() {
        Command::Run(settings) => settings,
        other => panic!("{other:?} is no run"),
    }
}

fn output(arguments: &[&str]) -> String {
    let mut out = Vec::new();
    run(&settings(arguments), &mut out).unwrap();
    String::from_utf8(out).unwrap()
}

/// Guards against figures that differ between runs with the same seed, for example because they depend
/// on the iteration order of a hash map. Covers every policy, with a fault that exercises most of the
/// code.
#[test]
fn same_seed_gives_the_same_output() {
    let arguments = ["--user", "m", "--fault", "crash-loop", "--seed", "7"];
    let arguments = [&arguments[..], &["--seconds", "9", "--json"]].concat();

    let first = output(&arguments);

    assert_eq!(first.lines().count(), Policy::ALL.len());
    assert_eq!(output(&arguments), first);
}

/// Guards against an ignored seed, which would make runs with several seeds copies of one measurement.
#[test]
fn another_seed_gives_another_output() {
    let figures =
        |seed| Figures::of_runs(&[(seed, emulate(Fault::None50, Policy::NoEjection, seed, 6))]);

    assert_ne!(figures(1).offered, figures(2).offered);
}

/// Guards against an emulator that serves more or much less than its capacity. At 120 % load a sixth of
/// the work cannot be served. If idempotent requests and actions are refused alike, that is a sixth of
/// the requests. Because actions have the higher weight, up to all of it may be refused as the shorter
/// idempotent requests, which takes more of them. The refused fraction lies between the two cases.
#[test]
fn overload_refuses_what_arithmetic_predicts() {
    let run = emulate(Fault::None120, Policy::Radishpaddle, 1, 18);

    let least = 1.0 - 1.0 / 1.2;
    let most = least * mean_service_time().as_secs_f64() / READ_MEAN_TIME.as_secs_f64();
    let lost = ratio(
        sum(&run, |f| f.offered - f.delivered),
        sum(&run, |f| f.offered),
        0.0,
    );
    assert!(
        lost > least - 0.02,
        "{lost} lost, at least {least} expected"
    );
    assert!(lost < most + 0.03, "{lost} lost, at most {most} expected");
}

/// Guards against an offered load that differs from the one in the table heading: at 50 % load, requests
/// must arrive at the rate that keeps half of the slots busy.
#[test]
fn offered_load_is_half_of_the_capacity() {
    let run = emulate(Fault::None50, Policy::NoEjection, 3, 30);

    let slots = f64::from(26 * 3);
    let measured_s = 25.0;
    let expected = 0.5 * slots / mean_service_time().as_secs_f64() * measured_s;
    let offered = ratio(sum(&run, |f| f.offered), 1, 0.0);
    assert!(
        (offered / expected - 1.0).abs() < 0.02,
        "{offered} offered, {expected} expected"
    );
    let mean =
        READ_MEAN_TIME.mul_f64(1.0 - ACTION_FRACTION) + ACTION_MEAN_TIME.mul_f64(ACTION_FRACTION);
    assert_eq!(mean, Duration::from_millis(50));
}

/// Guards against requests that are lost or counted twice: every offered request must end exactly once.
#[test]
fn every_request_ends_once() {
    for fault in [Fault::CrashLoop, Fault::InstanceLoss, Fault::ZoneCut] {
        let run = emulate(fault, Policy::Radishpaddle, 2, 12);

        let ended = sum(&run, |f| f.delivered + f.refused + f.failed);
        assert_eq!(ended, sum(&run, |f| f.offered), "{}", fault.name());
    }
}

/// Guards against an emulator that cannot reproduce duplicated actions. Without claims, an action runs
/// twice when its server crashes and the caller resends it because its outcome is unknown.
#[test]
fn crash_without_claims_duplicates_actions() {
    let duplicates = |policy| emulate(Fault::CrashLoop, policy, 1, 24).duplicated_actions;

    assert!(duplicates(Policy::NoEjection) > 0);
    assert_eq!(duplicates(Policy::Radishpaddle), 0);
}

/// Guards against a flood that stays within the rate limit, with which the scenario would test nothing.
#[test]
fn flood_exceeds_the_rate_of_one_organisation() {
    let run = emulate(Fault::Flood, Policy::Radishpaddle, 1, 12);

    let over_rate: Vec<&str> = run
        .organisations
        .iter()
        .filter(|figures| figures.offered > figures.entitled * 3 / 2)
        .map(|figures| figures.organisation.as_str())
        .collect();
    assert_eq!(over_rate, ["org-1", "org-1"]);
}

/// Guards against arguments that are ignored or misread without an error.
#[test]
fn unknown_arguments_are_refused() {
    for arguments in [
        ["--user", "x"],
        ["--fault", "x"],
        ["--seconds", "5"],
        ["--x", "1"],
    ] {
        let parsed = Command::parse(arguments.iter().map(OsString::from));

        assert!(parsed.is_err(), "{arguments:?} was accepted");
    }
    let settings = settings(&["--seed", "4", "--seed", "5", "--fault", "slow"]);
    assert_eq!(settings.seeds, [4, 5]);
    assert_eq!(settings.faults, [Fault::Slow]);
}
