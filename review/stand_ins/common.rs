//! Steps that all cases share.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{self, Call, SentList, Tenant};
use crate::fleet::Fleet;
use crate::record::Record;
use crate::worker::{Plan, Runs, Worker};

/// Key of the tenant of all cases.
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Whole number from the environment, for trials.
pub fn number(name: &str, default: u32) -> u32 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Tenant with a limit.
pub const fn tenant(per_s: u32, burst: u32) -> Tenant {
    Tenant {
        name: "huka270",
        key: KEY,
        per_s,
        burst,
    }
}

/// A fleet of the project's programs with workers that serve.
pub struct Scene {
    pub fleet: Fleet,
    pub workers: Vec<Worker>,
    pub runs: Runs,
    pub sent: SentList,
    record: Arc<Record>,
    ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Scene {
    /// Starts three coordinators, gateways and a worker for each plan, and waits until all are in touch.
    pub fn start(
        record: &Arc<Record>,
        gateways: usize,
        document: &str,
        plans: &[Plan],
    ) -> Result<Self, String> {
        let fleet = Fleet::start(record, 3, gateways);
        let control = fleet.control();
        client::put_config(&control, document, record)
            .ok_or("the configuration was not acknowledged")?;
        let runs: Runs = Arc::default();
        let workers = plans.iter().enumerate().map(|(number, plan)| {
            let ip = format!("{}.{}", fleet.network, 100 + number);
            Worker::start(
                &format!("w{number}"),
                &ip,
                plan.clone(),
                &control,
                record,
                &runs,
            )
        });
        let workers = workers.collect();
        if !fleet.wait_until_ready(Duration::from_secs(15)) {
            return Err("the gateways are not ready".to_owned());
        }
        // All machines are in touch, and all workers known, contact-s after they have started.
        std::thread::sleep(Duration::from_secs(6));
        Ok(Self {
            fleet,
            workers,
            runs,
            sent: Arc::default(),
            record: Arc::clone(record),
            ended: Arc::default(),
            clients: Vec::new(),
        })
    }

    /// Starts clients that together send the usual request this often.
    pub fn start_clients(&mut self, per_s: u32) {
        let directory = self.fleet.directory();
        let period = Duration::from_millis(200);
        let count = (per_s / 5).max(1) as usize;
        let clients = client::spread(
            count,
            period,
            &usual(),
            &directory,
            &self.record,
            &self.sent,
            &self.ended,
        );
        self.clients.extend(clients);
    }

    /// Ends the clients and the heartbeats.
    pub fn end(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
        for worker in &self.workers {
            worker.stop();
        }
    }

    /// Number of requests that the clients sent, and of those that were served.
    pub fn served(&self) -> (usize, usize) {
        let sent = self.sent.lock().unwrap();
        let served = sent.iter().filter(|sent| sent.status == 200).count();
        let text = format!("{} usual requests sent, {served} served", sent.len());
        self.record.say(&text);
        (sent.len(), served)
    }
}

/// Request that cannot be repeated.
pub fn usual() -> Call {
    Call {
        method: "POST",
        path: "/pufi791/2f".to_owned(),
        key: KEY.to_owned(),
        body: "one booking".to_owned(),
    }
}
