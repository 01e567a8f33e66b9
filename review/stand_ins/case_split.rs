//! BUDGET: a request that crashes the workers that run it comes again after changes of the configuration.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::case_poison::{CRASH_AFTER, judge};
use crate::client::{self, Call, Client, SentList};
use crate::common::{Scene, tenant, usual};
use crate::record::Record;
use crate::worker::{Plan, Run};

/// Prefix of the route that the versions split.
const ROUTE: &str = "/pufi791/";

/// Prefixes below it that the second and the third configuration split off, and the request below both.
struct Paths {
    splits: [String; 2],
    poison: String,
}

impl Paths {
    fn new() -> Self {
        let first = format!("{ROUTE}north/");
        let second = format!("{first}east/");
        let poison = format!("{second}spoilt");
        Self {
            splits: [first, second],
            poison,
        }
    }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let paths = Paths::new();
    let plans: Vec<Plan> = (0..12)
        .map(|number| Plan {
            crashes_at: Some((paths.poison.clone(), CRASH_AFTER)),
            ..Plan::sound(number)
        })
        .collect();
    let document = |version: u32| {
        let count = if trouble { version as usize - 1 } else { 0 };
        let splits: Vec<&str> = paths
            .splits
            .iter()
            .take(count)
            .map(String::as_str)
            .collect();
        client::config(version, &[tenant(600, 600)], &splits)
    };
    let mut scene = Scene::start(record, 3, &document(1), &plans)?;
    scene.start_clients(50);
    std::thread::sleep(Duration::from_secs(2));
    let poison = Call {
        path: paths.poison.clone(),
        ..usual()
    };
    let poison_sent: SentList = Arc::default();
    let mut client = Client::new(100, &scene.fleet.directory(), record, &poison_sent);
    for version in 1..=3 {
        if version > 1 {
            let control = scene.fleet.control();
            client::put_config(&control, &document(version), record)
                .ok_or("the configuration was not acknowledged")?;
        }
        for _ in 0..8 {
            client.send(&poison);
            std::thread::sleep(Duration::from_millis(1_500));
        }
    }
    scene.end();
    let (sent, served) = scene.served();
    if served * 10 < sent || sent == 0 {
        return Err("the usual requests were not served".to_owned());
    }
    let runs = scene.runs.lock().unwrap();
    let arrivals: Vec<&Run> = runs.iter().filter(|run| run.path == paths.poison).collect();
    Ok(judge(record, &poison_sent, &arrivals, true))
}
