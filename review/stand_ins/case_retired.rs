//! DRAIN: a worker leaves under an id that has left before, after many other workers have left.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::common::{Scene, number, tenant};
use crate::http::Connection;
use crate::record::Record;
use crate::worker::{self, Plan};

/// `drain-s`.
const DRAIN: Duration = Duration::from_secs(2);

/// Threads that announce the workers that come and go.
const THREADS: usize = 24;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Verdict, String> {
    let plans: Vec<Plan> = (0..6)
        .map(|number| Plan {
            keeps_id: true,
            ..Plan::sound(number)
        })
        .collect();
    let document = client::config(1, &[tenant(1_000, 1_000)], &[]);
    let mut scene = Scene::start(record, number("GATEWAYS", 9) as usize, &document, &plans)?;
    scene.start_clients(number("ASKED", 90));
    let id = scene.workers[0].id();
    scene.workers[0]
        .leave()
        .ok_or("leaving was not acknowledged")?;
    std::thread::sleep(Duration::from_secs(3));
    scene.workers[0].crash();
    scene.workers[0].wait_until_up();
    record.say(&format!("{id} has left and is back under its id"));
    if trouble {
        let others = number("OTHERS", 4_095) as usize;
        come_and_go(&scene, record, others)?;
    }
    std::thread::sleep(Duration::from_secs(4));
    let left_at = scene.workers[0]
        .leave()
        .ok_or("leaving was not acknowledged")?;
    std::thread::sleep(Duration::from_secs(1));
    scene.workers[1]
        .leave()
        .ok_or("leaving was not acknowledged")?;
    std::thread::sleep(Duration::from_secs(12));
    scene.end();
    let (sent, served) = scene.served();
    if served * 2 < sent {
        return Err("the usual requests were not served".to_owned());
    }
    let runs = scene.runs.lock().unwrap();
    let at_worker: Vec<_> = runs.iter().filter(|run| run.worker == id).collect();
    let late = at_worker
        .iter()
        .filter(|run| run.at > left_at + DRAIN)
        .count();
    record.say(&format!(
        "{} requests ran at {id}, {late} of them later than drain-s after {:.3} s, when it was acknowledged that it is gone",
        at_worker.len(),
        left_at.as_secs_f64()
    ));
    Ok(Verdict::of(late == 0))
}

/// Workers of another service that announce themselves and leave.
fn come_and_go(scene: &Scene, record: &Arc<Record>, count: usize) -> Result<(), String> {
    let control = scene.fleet.control();
    let network = scene.fleet.network.clone();
    let next = Arc::new(AtomicUsize::new(0));
    let failed = Arc::new(AtomicUsize::new(0));
    let threads = (0..THREADS).map(|thread| {
        let (next, failed) = (Arc::clone(&next), Arc::clone(&failed));
        let address = control[thread % control.len()];
        let network = network.clone();
        std::thread::spawn(move || {
            let mut connection = None;
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                if number >= count {
                    return;
                }
                let born = worker::unix_ms();
                let body = format!(
                    r#"{{"born":{born},"address":"{network}.90:{}","info":{{"service":"other","version":"v1","zone":"bern-a","slots":6}},"status":{{"state":"ready","seq":1,"warmup-left-s":0}}}}"#,
                    10_000 + number
                );
                let path = format!("/-/workers/i-other-{number}");
                let is_known = until_acknowledged(&mut connection, address, "PUT", &path, &body);
                let leave = format!("{{\"born\":{born}}}");
                if !is_known || !until_acknowledged(&mut connection, address, "DELETE", &path, &leave) {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
            }
        })
    });
    let threads: Vec<_> = threads.collect();
    for thread in threads {
        let _ = thread.join();
    }
    let failed = failed.load(Ordering::Relaxed);
    record.say(&format!(
        "{} other workers have come and left",
        count - failed
    ));
    if failed > 0 {
        Err("some workers could not leave".to_owned())
    } else {
        Ok(())
    }
}

/// Repeats a call until it is acknowledged; gives up after a while.
fn until_acknowledged(
    connection: &mut Option<Connection>,
    address: std::net::SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> bool {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
    );
    for _ in 0..20 {
        if connection.is_none() {
            *connection = Connection::open(address, Duration::from_secs(1)).ok();
        }
        let answer = connection.as_mut().and_then(|open| {
            open.call(&head, body.as_bytes(), Duration::from_secs(2))
                .ok()
        });
        match answer {
            Some(answer) if answer.status() / 100 == 2 => return true,
            Some(_) => (),
            None => *connection = None,
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
