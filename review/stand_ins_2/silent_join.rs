//! Case: the open connections of a coordinator that has just replaced another one go silent, while new ones work.

#[path = "fleet.rs"]
mod fleet;

use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Fleet, Record, Shape, Worker, call, client_request, finish, has_trouble};

const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// `recovery-s` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);
/// Time between the end of a coordinator and the start of its successor.
const SUCCESSOR_AFTER: Duration = Duration::from_millis(200);
/// Time after the start of the successor at which its open connections go silent.
const SILENT_AFTER: Duration = Duration::from_millis(300);
/// Time after the start of the successor at which the next machine loses its disk; `catch-up-s` is 4.
const NEXT_LOSS_AFTER: Duration = Duration::from_secs(20);
const JUDGED: Duration = Duration::from_secs(15);

fn config() -> String {
    format!(
        r#"{{"version":7,"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}},"tenants":[{{"name":"huka270","api-keys":["{KEY}"],"priority":1,"per-s":200,"burst":200}}],"listeners":[{{"host":"ficu95.example","rules":[{{"name":"r-puxsr7i","kind":"unsafe","target-latency-s":1.2,"priority":1,"public":false,"match":{{"path-prefix":"/pufi791/"}},"action":{{"service":"huvo11a","timeout-s":2.5,"max-attempts":2}}}}]}}],"clusters":[{{"name":"huvo11a","health-path":"/health","max-conns":390,"protocol":"h1","tls":false}}]}}"#
    )
}

/// Path between the successor and one other coordinator.
struct Link {
    /// Flags of the open connections; a set one is silent for good.
    open: Mutex<Vec<Arc<AtomicBool>>>,
}

impl Link {
    fn start(record: &Record, listen: &str, target: String) -> Arc<Self> {
        let link = Arc::new(Self { open: Mutex::default() });
        let listener = match TcpListener::bind(listen) {
            Ok(listener) => listener,
            Err(error) => fleet::fail(record, &format!("cannot bind the proxy: {error}")),
        };
        let (accepting, record) = (Arc::clone(&link), record.clone());
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(&target) else {
                    continue;
                };
                record.line(format!("link to {target}: new connection"));
                let silent = Arc::new(AtomicBool::new(false));
                accepting.open.lock().unwrap().push(Arc::clone(&silent));
                for (mut from, mut to) in [(client.try_clone().unwrap(), server.try_clone().unwrap()), (server, client)] {
                    let silent = Arc::clone(&silent);
                    thread::spawn(move || {
                        let mut chunk = [0; 64 << 10];
                        while let Ok(count) = from.read(&mut chunk) {
                            if silent.load(Ordering::Relaxed) {
                                // Neither bytes nor the end of the connection arrive.
                                thread::sleep(Duration::from_secs(1_000));
                            }
                            if count == 0 || to.write_all(&chunk[..count]).is_err() {
                                break;
                            }
                        }
                        let _ = to.shutdown(std::net::Shutdown::Both);
                    });
                }
            }
        });
        link
    }

    /// Silences the open connections for good. Those that are opened later work.
    fn silence(&self) -> usize {
        let open = self.open.lock().unwrap();
        for silent in open.iter() {
            silent.store(true, Ordering::Relaxed);
        }
        open.len()
    }
}

fn main() {
    let record = Record::new();
    let mut fleet = Fleet::start(&record, Shape::default());
    let worker = Worker::start(&record, "i-7f3a91c2", "huvo11a", Duration::from_millis(20));
    let controls: Vec<String> = fleet.controls().into_iter().chain([fleet.control(4)]).collect();
    worker.keep_announcing(controls);
    fleet.put_config(&config());
    fleet.wait_ready();
    // The group is complete when all three vote.
    let deadline = Instant::now() + Duration::from_secs(15);
    while !fleet.group_lines(1).last().is_some_and(|line| line.contains("\"voters\":3")) {
        if Instant::now() > deadline {
            fleet::fail(&record, "the group has not three voters");
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(5));

    // Clients send throughout, each second one request to each gateway.
    let results: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    for front in fleet.fronts() {
        let (record, results, stop) = (record.clone(), Arc::clone(&results), Arc::clone(&stop));
        thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let sent_at = Instant::now();
                let (_, answer) = client_request(&record, &front, "POST", "/pufi791/1", Some(KEY), b"");
                results.lock().unwrap().push((sent_at, answer.is_some_and(|answer| answer.status == 200)));
                thread::sleep(Duration::from_millis(400));
            }
        });
    }
    thread::sleep(Duration::from_secs(2));

    let Some(leader) = fleet.leader() else {
        fleet::fail(&record, "no leader is known");
    };
    let others: Vec<u32> = (1..=3).filter(|number| *number != leader).collect();
    fleet.coordinators[leader as usize - 1].kill();
    record.line(format!("core-{leader} is gone for good"));
    thread::sleep(SUCCESSOR_AFTER);
    // The successor reaches the others over links that can go silent.
    let links: Vec<_> = others
        .iter()
        .map(|number| Link::start(&record, &format!("{}:7660", fleet.proxy_ip(*number)), fleet.peer_address(*number)))
        .collect();
    fleet.seeds = others.iter().map(|number| format!("{}:8407", fleet.proxy_ip(*number))).collect();
    let successor = fleet.add_coordinator();
    let started_at = Instant::now();
    record.line(format!("core-{successor} starts in its place, with an empty disk"));
    thread::sleep(SILENT_AFTER);
    if has_trouble() {
        let silenced: usize = links.iter().map(|link| link.silence()).sum();
        record.line(format!("{silenced} open connections of core-{successor} are silent from now on, new ones work"));
    }
    thread::sleep(NEXT_LOSS_AFTER.saturating_sub(started_at.elapsed()));
    let before_fault = Instant::now();

    let lost = others[1];
    fleet.coordinators[lost as usize - 1].kill();
    let _ = fs::remove_dir_all(fleet.data_folder(lost));
    record.line(format!("core-{lost} loses its disk"));
    thread::sleep(Duration::from_secs(1));
    fleet.seeds = [others[0], successor, lost].iter().map(|number| fleet.control(*number)).collect();
    fleet.restart_coordinator(lost);
    let back_at = Instant::now();
    record.line(format!("core-{lost} is back at its address, with an empty disk"));
    thread::sleep(RECOVERY + JUDGED);
    stop.store(true, Ordering::Relaxed);
    for number in [others[0], lost, successor] {
        let answer = call(&fleet.control(number), "GET", "/-/config", "", Duration::from_secs(2));
        record.line(format!("operator: GET /-/config at core-{number} answered {:?}", answer.map(|answer| answer.status)));
        for line in fleet.group_lines(number).iter().rev().take(3).rev() {
            record.line(format!("log of core-{number}: {line}"));
        }
    }
    let results = results.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let sent: Vec<bool> = results.iter().filter(|(at, _)| *at >= from && *at < to).map(|(_, served)| *served).collect();
        (sent.iter().filter(|served| **served).count(), sent.len())
    };
    let (served_before, sent_before) = share(before_fault - Duration::from_secs(8), before_fault);
    let (served_after, sent_after) = share(back_at + RECOVERY, Instant::now());
    let summary = format!(
        "served {served_before} of {sent_before} before the loss of the disk, and {served_after} of {sent_after} later than {} s after the machine was back",
        RECOVERY.as_secs()
    );
    let broken = served_after * 4 < sent_after && served_before * 4 >= sent_before;
    finish(&record, &mut fleet, broken, &summary);
}
