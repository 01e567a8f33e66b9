//! BUDGET: a request that crashes the workers that run it comes again, from several clients at a time.

use std::sync::{Arc, Barrier};
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, Call, Client, SentList};
use crate::common::{Scene, number, tenant, usual};
use crate::record::Record;
use crate::worker::{Plan, Run};

const POISON: &str = "/pufi791/spoilt";

/// `contact-s`.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which a worker runs the request before it crashes.
pub const CRASH_AFTER: Duration = Duration::from_millis(300);

/// Retries that may reach workers after the third crash and `contact-s`.
const ALLOWED_RETRIES: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let callers = number("CALLERS", 4) as usize;
    let waves = number("WAVES", 6);
    let period = Duration::from_millis(u64::from(number("PERIOD_MS", 4_000)));
    let plans: Vec<Plan> = (0..number("WORKERS", 20) as usize)
        .map(|number| Plan {
            crashes_at: trouble.then(|| (POISON.to_owned(), CRASH_AFTER)),
            ..Plan::sound(number)
        })
        .collect();
    let document = client::config(1, &[tenant(600, 600)], &[]);
    let mut scene = Scene::start(record, 3, &document, &plans)?;
    scene.start_clients(50);
    std::thread::sleep(Duration::from_secs(2));
    let poison = Call {
        path: POISON.to_owned(),
        ..usual()
    };
    let poison_sent: SentList = Arc::default();
    let barrier = Arc::new(Barrier::new(callers));
    let callers = (0..callers).map(|caller| {
        let mut client = Client::new(100 + caller, &scene.fleet.directory(), record, &poison_sent);
        let (poison, barrier) = (poison.clone(), Arc::clone(&barrier));
        std::thread::spawn(move || {
            for _ in 0..waves {
                barrier.wait();
                client.send(&poison);
                std::thread::sleep(period);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for caller in callers {
        let _ = caller.join();
    }
    scene.end();
    let (sent, served) = scene.served();
    if served * 10 < sent || sent == 0 {
        return Err("the usual requests were not served".to_owned());
    }
    let runs = scene.runs.lock().unwrap();
    let arrivals: Vec<&Run> = runs.iter().filter(|run| run.path == POISON).collect();
    Ok(judge(record, &poison_sent, &arrivals, trouble))
}

/// Counts the arrivals that were sent later than `contact-s` after the third crash.
pub fn judge(record: &Record, poison: &SentList, arrivals: &[&Run], trouble: bool) -> Verdict {
    let poison = poison.lock().unwrap();
    let refused = poison.iter().filter(|sent| sent.status == 503).count();
    record.say(&format!(
        "{} spoilt requests sent, {} arrived, {refused} refused with 503",
        poison.len(),
        arrivals.len()
    ));
    let Some(third) = arrivals.get(2).filter(|_| trouble) else {
        return Verdict::Held;
    };
    let from = third.at + CRASH_AFTER + CONTACT;
    let is_late = |run: &&&Run| {
        poison
            .iter()
            .any(|sent| sent.id == run.id && sent.at > from)
    };
    let late = arrivals.iter().filter(is_late).count();
    record.say(&format!(
        "{late} arrived that were sent later than {:.3} s, which is contact-s after the third crash; allowed {ALLOWED_RETRIES}",
        from.as_secs_f64()
    ));
    Verdict::of(late <= ALLOWED_RETRIES)
}
