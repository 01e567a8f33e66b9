//! Fleet of holders and pools for one limit.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use radishpaddle_quorum::allocation::{
    Admission, AllocationReply, AllocationRequest, AllocationSettings, Holder, Limit, LimitKey,
    Pool, TOKENS_PER_REQUEST,
};
use radishpaddle_quorum::lease::{Leader, Leadership};
use radishpaddle_quorum::{Epoch, Life};
use rand::Rng;
use rand::rngs::SmallRng;

use super::{Clock, Cuts, Faults, Queue, life, ms};

/// Time for which a member stays known to the witnesses after its end.
const REMEMBERED: Duration = Duration::from_secs(15);

#[derive(Debug, Clone)]
enum Event {
    Arrival(usize),
    Tick(usize),
    Wake(usize),
    Learn(usize, usize),
    Lead(usize),
    Restart(usize),
    Stop(usize),
    Limit(Limit),
    Request(usize, AllocationRequest),
    Reply(usize, AllocationReply),
}

struct Node {
    clock: Clock,
    life: Life,
    alive: bool,
    holder: Holder,
    pool: Option<Pool>,
    waiting: VecDeque<Duration>,
    wake_at: Option<Duration>,
}

/// One lease: node, start, end; true times.
#[derive(Debug, Clone, Copy)]
pub struct Term {
    pub node: usize,
    pub start: Duration,
    pub end: Duration,
}

pub struct Fleet {
    queue: Queue<Event>,
    rng: SmallRng,
    faults: Faults,
    pub cuts: Cuts,
    nodes: Vec<Node>,
    ended: Vec<(Life, Duration)>,
    terms: Vec<Term>,
    ready: BTreeSet<usize>,
    settings: AllocationSettings,
    key: LimitKey,
    limit: Limit,
    /// Time until the deadline of each request.
    pub patience: Duration,
    pub admitted: Vec<Duration>,
    pub refused: Vec<Duration>,
    pub longest_wait: Duration,
}

impl Fleet {
    pub fn new(
        mut rng: SmallRng,
        nodes: usize,
        limit: Limit,
        faults: Faults,
        max_ppm: i64,
        settings: AllocationSettings,
    ) -> Self {
        let key = LimitKey {
            service: "dispatch".parse().expect("a valid id"),
            organisation: "harbour".parse().expect("a valid id"),
        };
        let node = |number| Node {
            clock: if max_ppm == 0 {
                Clock::exact()
            } else {
                Clock::random(&mut rng, max_ppm)
            },
            life: life(number, 1),
            alive: true,
            holder: Holder::new(life(number, 1), settings.clone()),
            pool: None,
            waiting: VecDeque::new(),
            wake_at: None,
        };
        let nodes: Vec<Node> = (0..nodes).map(node).collect();
        let mut queue = Queue::new();
        for number in 0..nodes.len() {
            queue.at(ms(rng.random_range(0..20)), Event::Tick(number));
        }
        Self {
            queue,
            rng,
            faults,
            cuts: Cuts::default(),
            nodes,
            ended: Vec::new(),
            terms: Vec::new(),
            ready: BTreeSet::new(),
            settings,
            key,
            limit,
            patience: ms(1000),
            admitted: Vec::new(),
            refused: Vec::new(),
            longest_wait: Duration::ZERO,
        }
    }

    /// Adds a lease; each node learns of it within half a second, as by its polls.
    pub fn lead(&mut self, term: Term) {
        let number = self.terms.len();
        self.terms.push(term);
        self.queue.at(term.start, Event::Lead(number));
        for node in 0..self.nodes.len() {
            let delay = if node == term.node {
                Duration::ZERO
            } else {
                ms(self.rng.random_range(1..500))
            };
            self.queue
                .at(term.start + delay, Event::Learn(node, number));
        }
    }

    pub fn arrive(&mut self, time: Duration, node: usize) {
        self.queue.at(time, Event::Arrival(node));
    }

    pub fn restart(&mut self, time: Duration, node: usize) {
        self.queue.at(time, Event::Restart(node));
    }

    /// Ends a node; its callers go to the next one.
    pub fn stop(&mut self, time: Duration, node: usize) {
        self.queue.at(time, Event::Stop(node));
    }

    pub fn change_limit(&mut self, time: Duration, limit: Limit) {
        self.queue.at(time, Event::Limit(limit));
    }

    pub fn run(&mut self, end: Duration) {
        while let Some(event) = self.queue.pop() {
            if self.queue.now > end {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(node) => self.on_arrival(node),
            Event::Tick(node) => {
                self.tick(node);
                self.queue.at(self.queue.now + ms(20), Event::Tick(node));
            }
            Event::Wake(node) if self.nodes[node].wake_at != Some(self.queue.now) => {}
            Event::Wake(node) => {
                self.nodes[node].wake_at = None;
                self.serve_waiting(node);
            }
            Event::Learn(node, term) => {
                let leader = Leader {
                    life: self.life(self.terms[term].node),
                    epoch: epoch(term),
                };
                self.nodes[node].holder.set_leader(leader);
                self.tick(node);
            }
            Event::Lead(term) => self.start_pool(term),
            Event::Restart(node) => self.on_restart(node),
            Event::Stop(node) => self.on_stop(node),
            Event::Limit(limit) => self.on_limit(limit),
            Event::Request(node, request) => self.on_request(node, &request),
            Event::Reply(node, reply) => {
                let now = self.local(node);
                self.nodes[node].holder.on_reply(now, &reply);
                self.serve_waiting(node);
            }
        }
    }

    fn life(&self, node: usize) -> Life {
        self.nodes[node].life.clone()
    }

    fn local(&self, node: usize) -> Duration {
        self.nodes[node].clock.local(self.queue.now)
    }

    fn on_arrival(&mut self, first: usize) {
        let count = self.nodes.len();
        let node = (first..first + count)
            .map(|node| node % count)
            .find(|node| self.nodes[*node].alive);
        let Some(node) = node else { return };
        let now = self.local(node);
        match self.nodes[node].holder.admit(now, &self.key) {
            Admission::Admitted => self.admitted.push(self.queue.now),
            Admission::RateExceeded | Admission::Unavailable => self.refused.push(self.queue.now),
            Admission::Wait { until, .. } => {
                self.nodes[node].waiting.push_back(self.queue.now);
                self.wake(node, until);
            }
        }
        self.send_urgent(node);
    }

    fn serve_waiting(&mut self, node: usize) {
        let now = self.local(node);
        let waiting = std::mem::take(&mut self.nodes[node].waiting);
        for arrived in waiting {
            let waited = self.queue.now.saturating_sub(arrived);
            match self.nodes[node].holder.admit_waiting(now, &self.key) {
                Admission::Admitted => {
                    self.longest_wait = self.longest_wait.max(waited);
                    self.admitted.push(self.queue.now);
                }
                Admission::RateExceeded | Admission::Unavailable => self.refused.push(arrived),
                Admission::Wait { .. } if waited >= self.patience => {
                    self.nodes[node].holder.leave_waiting(&self.key);
                    self.refused.push(arrived);
                }
                Admission::Wait { until, .. } => {
                    self.nodes[node].waiting.push_back(arrived);
                    self.wake(node, until);
                }
            }
        }
        self.send_urgent(node);
    }

    fn wake(&mut self, node: usize, until: Duration) {
        let time = self.nodes[node]
            .clock
            .true_time(until)
            .max(self.queue.now + ms(1));
        if self.nodes[node]
            .wake_at
            .is_none_or(|wake_at| time < wake_at)
        {
            self.nodes[node].wake_at = Some(time);
            self.queue.at(time, Event::Wake(node));
        }
    }

    fn send_urgent(&mut self, node: usize) {
        let now = self.local(node);
        if let Some(request) = self.nodes[node].holder.take_urgent(now) {
            self.send_request(node, request);
        }
    }

    fn tick(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        let now = self.local(node);
        if let Some(request) = self.nodes[node].holder.tick(now) {
            self.send_request(node, request);
        }
        self.tick_pool(node);
    }

    fn tick_pool(&mut self, node: usize) {
        let now = self.local(node);
        let term = self
            .terms
            .iter()
            .rposition(|term| term.node == node && term.start <= self.queue.now);
        let unsettled = self.nodes[node]
            .pool
            .as_ref()
            .is_some_and(|pool| !pool.is_settled());
        let lives = if unsettled {
            self.remembered_lives()
        } else {
            BTreeSet::new()
        };
        let Some((pool, term)) = self.nodes[node].pool.as_mut().zip(term) else {
            return;
        };
        pool.tick(now);
        if unsettled {
            pool.settle_early(now, &lives);
        }
        if pool.is_ready() && self.queue.now < self.terms[term].end {
            self.ready.insert(term);
        }
    }

    fn remembered_lives(&self) -> BTreeSet<Life> {
        let alive = (0..self.nodes.len()).filter(|node| self.nodes[*node].alive);
        let mut lives: BTreeSet<Life> = alive.map(|node| self.life(node)).collect();
        let ended = self
            .ended
            .iter()
            .filter(|(_, end)| *end + REMEMBERED > self.queue.now);
        lives.extend(ended.map(|(life, _)| life.clone()));
        lives
    }

    fn send_request(&mut self, node: usize, request: AllocationRequest) {
        let Some(leader) = self.nodes[node].holder.leader() else {
            return;
        };
        let instance = &leader.life.instance;
        let to = (0..self.nodes.len()).find(|to| self.nodes[*to].life.instance == *instance);
        let to = to.expect("leaders are nodes");
        self.send(node, to, Event::Request(to, request));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.queue.at(self.queue.now, event);
        } else if !self.cuts.drops(from, to, self.queue.now) {
            self.queue.send(&mut self.rng, &self.faults, &event);
        }
    }

    fn on_request(&mut self, node: usize, request: &AllocationRequest) {
        let now = self.local(node);
        let leadership = self.leadership(node);
        if !self.nodes[node].alive {
            return;
        }
        let Some(pool) = &mut self.nodes[node].pool else {
            return;
        };
        let Some(reply) = pool.on_request(now, leadership.as_ref(), request) else {
            return;
        };
        self.tick_pool(node);
        let count = self.nodes.len();
        let to = (0..count).find(|to| self.nodes[*to].life == request.holder);
        if let Some(to) = to {
            self.send(node, to, Event::Reply(to, reply));
        }
    }

    fn leadership(&self, node: usize) -> Option<Leadership> {
        let now = self.queue.now;
        let held = |term: &Term| term.node == node && (term.start..term.end).contains(&now);
        let term = self.terms.iter().position(held)?;
        Some(Leadership {
            epoch: epoch(term),
            since_epoch: epoch(term),
            until: Duration::MAX,
        })
    }

    fn start_pool(&mut self, term: usize) {
        let node = self.terms[term].node;
        let (now, own) = (self.local(node), self.life(node));
        let Some(leadership) = self.leadership(node) else {
            return;
        };
        let before = term
            .checked_sub(1)
            .filter(|before| self.ready.contains(before));
        let before = before.map(|before| self.terms[before]);
        let lives = self.ended.iter().map(|(life, _)| life.clone());
        let predecessor = before.map(|before| {
            let instance = self.life(before.node).instance;
            let mut earlier = lives.filter(|life| life.instance == instance);
            // The predecessor is the life that led; a restart since then is another life.
            earlier
                .next_back()
                .filter(|_| !self.nodes[before.node].alive)
                .unwrap_or(self.life(before.node))
        });
        let mut pool = Pool::new(own, &leadership, predecessor, self.settings.clone(), now);
        pool.set_limit(now, &self.key, Some(self.limit));
        self.nodes[node].pool = Some(pool);
    }

    fn on_restart(&mut self, node: usize) {
        self.ended.push((self.life(node), self.queue.now));
        let settings = self.settings.clone();
        let ended = &mut self.nodes[node];
        ended.life = life(node, ended.life.incarnation.0 + 1);
        ended.holder = Holder::new(ended.life.clone(), settings);
        ended.pool = None;
        self.refused.extend(ended.waiting.drain(..));
        let known = self
            .terms
            .iter()
            .rposition(|term| term.start <= self.queue.now);
        if let Some(term) = known {
            self.queue
                .at(self.queue.now + ms(500), Event::Learn(node, term));
        }
    }

    /// Requests in flight at the instance are lost with it; they are not refusals.
    fn on_stop(&mut self, node: usize) {
        self.ended.push((self.life(node), self.queue.now));
        self.nodes[node].alive = false;
        self.nodes[node].pool = None;
        self.nodes[node].waiting.clear();
    }

    fn on_limit(&mut self, limit: Limit) {
        self.limit = limit;
        for node in 0..self.nodes.len() {
            let now = self.local(node);
            let key = self.key.clone();
            if let Some(pool) = &mut self.nodes[node].pool {
                pool.set_limit(now, &key, Some(limit));
            }
        }
    }
}

fn epoch(term: usize) -> Epoch {
    Epoch(u64::try_from(term).expect("few terms") + 1)
}

/// Bucket that starts full and admits whenever it holds a token: the most that the limit allows.
pub struct Reference {
    limit: Limit,
    level: u128,
    at: Duration,
}

impl Reference {
    const UNIT: u128 = 1_000_000_000;

    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            level: u128::from(limit.burst) * Self::UNIT,
            at: Duration::ZERO,
        }
    }

    /// Takes a token; false when that would exceed `burst + rate * w` in some window that ends now.
    pub fn admit(&mut self, time: Duration) -> bool {
        let gained = time.saturating_sub(self.at).as_nanos() * u128::from(self.limit.rate);
        self.at = time;
        self.level = (self.level + gained).min(u128::from(self.limit.burst) * Self::UNIT);
        let cost = u128::from(TOKENS_PER_REQUEST) * Self::UNIT;
        let allowed = self.level >= cost;
        if allowed {
            self.level -= cost;
        }
        allowed
    }
}

/// First admission that exceeds the bound.
pub fn over_admission(admitted: &[Duration], limit: Limit) -> Option<Duration> {
    let mut sorted = admitted.to_vec();
    sorted.sort_unstable();
    let mut reference = Reference::new(limit);
    sorted.into_iter().find(|time| !reference.admit(*time))
}
