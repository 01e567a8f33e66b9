//! QUOTA: a tenant asks more than its limit while all processes are killed at the same moment and start again.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, SentList};
use crate::common::{Scene, number, tenant};
use crate::record::Record;
use crate::worker::{Plan, Runs};

/// `quota-window-s`.
const WINDOW: Duration = Duration::from_secs(5);

/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(920);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let (per_s, burst) = (number("PER_S", 67), number("BURST", 400));
    let only_gateways = number("ONLY_GATEWAYS", 0) == 1;
    let plans: Vec<Plan> = (0..12).map(Plan::sound).collect();
    let document = |version| client::config(version, &[tenant(per_s, burst)], &[]);
    let mut scene = Scene::start(record, 3, &document(1), &plans)?;
    record.say("the tenant begins to ask");
    scene.start_clients(number("ASKED", 300));
    std::thread::sleep(Duration::from_millis(u64::from(number("BEFORE_MS", 1_400))));
    let control = scene.fleet.control();
    client::put_config(&control, &document(2), record)
        .ok_or("the configuration was not acknowledged")?;
    if trouble {
        let fleet = &mut scene.fleet;
        record.say("the processes are killed");
        for process in fleet.gateways.iter_mut() {
            process.kill(record);
        }
        for process in fleet.coordinators.iter_mut().filter(|_| !only_gateways) {
            process.kill(record);
        }
        std::thread::sleep(DOWN);
        for index in 0..3 {
            if !only_gateways {
                fleet.start_coordinator(index, false);
            }
            fleet.start_gateway(index, false);
        }
    }
    std::thread::sleep(Duration::from_secs(10));
    scene.end();
    Ok(judge(record, &scene.sent, &scene.runs, per_s, burst))
}

fn judge(record: &Record, sent: &SentList, runs: &Runs, per_s: u32, burst: u32) -> Verdict {
    let sent = sent.lock().unwrap();
    let sent_at: HashMap<&str, Duration> = sent
        .iter()
        .map(|sent| (sent.id.as_str(), sent.at))
        .collect();
    let runs = runs.lock().unwrap();
    let span = |id: &str, ran_at| sent_at.get(id).map(|sent_at| (*sent_at, ran_at));
    let mut spans: Vec<(Duration, Duration)> = runs
        .iter()
        .filter_map(|run| span(&run.id, run.at))
        .collect();
    spans.sort();
    // Both the sending and the arrival have to lie in the window.
    let in_window = |from: Duration| {
        let is_inside =
            |(sent, ran): &&(Duration, Duration)| *sent >= from && *ran <= from + WINDOW;
        spans.iter().filter(is_inside).count()
    };
    let counts = spans.iter().map(|(from, _)| (in_window(*from), *from));
    let (most, from) = counts.max().unwrap_or_default();
    let mut per_second = BTreeMap::new();
    for (_, ran_at) in &spans {
        *per_second.entry(ran_at.as_secs()).or_insert(0) += 1;
    }
    let allowed = (f64::from(per_s) * WINDOW.as_secs_f64() + f64::from(burst)) * 1.1 + 20.0;
    record.say(&format!("run in each second: {per_second:?}"));
    record.say(&format!(
        "{} requests sent, {} run; {most} in the 5 s from {:.3} s, allowed {allowed:.1}",
        sent.len(),
        spans.len(),
        from.as_secs_f64()
    ));
    if spans.len() < 100 {
        return Verdict::CannotRun("too few requests ran".to_owned());
    }
    Verdict::of(most as f64 <= allowed)
}
