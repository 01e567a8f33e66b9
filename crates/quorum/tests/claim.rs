//! At most one dispatch per idempotency key, and no "not run" for an attempt that ran (design section 4.3, P7 and P8).

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::claims::{answer, attempt_id, fingerprint, key};
use common::{Clock, EventQueue, Faults, LinkFailures, group, instance, life, ms, rng};
use proptest::prelude::*;
use radishpaddle_model::InstanceId;
use radishpaddle_model::Revision;
use radishpaddle_quorum::claim::{
    AbandonReply, AbandonRequest, ClaimAttempt, ClaimDecision, ClaimKey, ClaimReply, ClaimRequest,
    ClaimSettings, CompleteRequest, RecordedResponse,
};
use radishpaddle_quorum::witness::{GenerationStart, Witness, WitnessCopy, WitnessMessage};
use rand::Rng;
use rand::rngs::SmallRng;

const WITNESSES: usize = 5;
const ENTRIES: usize = 3;
const END: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Event {
    TickWitness(usize),
    RestartWitness(usize),
    Control,
    Message(usize, usize, WitnessMessage),
    Copy(usize, Box<WitnessCopy>),
    Submit(usize, u64),
    Resend(usize),
    Claim(usize, usize, ClaimRequest),
    Vote(usize, ClaimReply),
    Finish(usize, RecordedResponse),
    Complete(usize, CompleteRequest),
    Abandon(usize, usize, AbandonRequest),
    Fenced(usize, AbandonReply),
}

/// Decisions on the attempts of one key: which were dispatched, which were refused as not run, and which answers were
/// replayed.
#[derive(Debug, Default)]
struct History {
    dispatched: Vec<usize>,
    refused: Vec<usize>,
    replayed: Vec<RecordedResponse>,
}

struct Simulation {
    queue: EventQueue<Event>,
    rng: SmallRng,
    faults: Faults,
    link_failures: LinkFailures,
    clocks: Vec<Clock>,
    witnesses: Vec<Witness>,
    attempts: Vec<(usize, ClaimAttempt)>,
    history: BTreeMap<ClaimKey, History>,
}

fn peers() -> Vec<InstanceId> {
    (0..WITNESSES).map(instance).collect()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = rng(seed);
        let mut simulation = Self {
            queue: EventQueue::new(),
            faults: Faults::random(&mut rng),
            link_failures: LinkFailures::random(&mut rng, WITNESSES + ENTRIES, END),
            clocks: (0..WITNESSES + ENTRIES)
                .map(|_| Clock::random(&mut rng, 10_000))
                .collect(),
            witnesses: Vec::new(),
            attempts: Vec::new(),
            history: BTreeMap::new(),
            rng,
        };
        for number in 0..WITNESSES {
            let now = simulation.local(number);
            let mut witness = Witness::new(life(number, 1), peers(), ClaimSettings::default(), now);
            witness
                .start_generation(now, &start(number, 1))
                .expect("the first generation starts");
            simulation.witnesses.push(witness);
            simulation.queue.schedule(ms(0), Event::TickWitness(number));
        }
        for _ in 0..simulation.rng.random_range(0..8) {
            let time = ms(simulation.rng.random_range(0..20_000));
            let number = simulation.rng.random_range(0..WITNESSES);
            simulation
                .queue
                .schedule(time, Event::RestartWitness(number));
        }
        simulation.submit_requests();
        simulation.queue.schedule(ms(0), Event::Control);
        simulation
    }

    /// Schedules each key at several entry instances, half of the time within 5 ms and otherwise over 8 s.
    fn submit_requests(&mut self) {
        for number in 0..20 {
            let first = self.rng.random_range(0..18_000);
            for _ in 0..self.rng.random_range(2..5) {
                let spread = if self.rng.random_bool(0.5) { 5 } else { 8000 };
                let time = ms(first + self.rng.random_range(0..spread));
                let entry = self.rng.random_range(0..ENTRIES);
                self.queue.schedule(time, Event::Submit(entry, number));
            }
        }
    }

    fn local(&self, node: usize) -> Duration {
        self.clocks[node].local(self.queue.now)
    }

    fn send(&mut self, from: usize, to: usize, event: &Event) {
        if !self.link_failures.drops(from, to, self.queue.now) {
            self.queue.send(&mut self.rng, &self.faults, event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::TickWitness(number) => self.tick_witness(number),
            Event::RestartWitness(number) => {
                let incarnation = self.witnesses[number].life().incarnation.0 + 1;
                let now = self.local(number);
                let settings = ClaimSettings::default();
                self.witnesses[number] =
                    Witness::new(life(number, incarnation), peers(), settings, now);
            }
            Event::Control => self.replace_lost_generation(),
            Event::Message(from, to, WitnessMessage::Recover(request)) => {
                let now = self.local(to);
                if let Some(copy) = self.witnesses[to].copy_for(now, &request) {
                    self.send(to, from, &Event::Copy(from, Box::new(copy)));
                }
            }
            Event::Message(..) => {}
            Event::Copy(to, copy) => {
                let now = self.local(to);
                self.witnesses[to].on_copy(now, *copy);
            }
            Event::Submit(entry, number) => self.submit(entry, number),
            Event::Resend(number) => self.resend(number),
            Event::Claim(number, to, request) => {
                let now = self.local(to);
                if let Some(reply) = self.witnesses[to].claim(now, &request) {
                    self.send(to, self.attempts[number].0, &Event::Vote(number, reply));
                }
            }
            Event::Vote(number, reply) => {
                let now = self.local(self.attempts[number].0);
                let decision = self.attempts[number].1.on_reply(now, &reply);
                self.conclude(number, decision);
            }
            Event::Finish(number, answer) => self.finish(number, answer),
            Event::Complete(to, request) => {
                let now = self.local(to);
                self.witnesses[to].complete(now, &request);
            }
            Event::Abandon(number, to, request) => {
                let now = self.local(to);
                if let Some(reply) = self.witnesses[to].abandon(now, &request) {
                    self.send(to, self.attempts[number].0, &Event::Fenced(number, reply));
                }
            }
            Event::Fenced(number, reply) => self.attempts[number].1.on_abandon_reply(&reply),
        }
    }

    fn tick_witness(&mut self, number: usize) {
        let now = self.local(number);
        let messages = self.witnesses[number].tick(now, &mut self.rng);
        for (to, message) in messages {
            let to = (0..WITNESSES)
                .find(|other| instance(*other) == to)
                .expect("a witness");
            self.send(number, to, &Event::Message(number, to, message));
        }
        self.queue
            .schedule(self.queue.now + ms(100), Event::TickWitness(number));
    }

    /// Simulates control: starts a new generation at every witness if a majority has lost its state.
    fn replace_lost_generation(&mut self) {
        let lost = self
            .witnesses
            .iter()
            .filter(|witness| witness.is_recovering())
            .count();
        if lost > WITNESSES / 2 {
            let groups = self.witnesses.iter().filter_map(Witness::group);
            let newest = groups.map(|group| group.generation.0).max().unwrap_or(1);
            for number in 0..WITNESSES {
                let now = self.local(number);
                let mut start = start(number, newest + 1);
                start.witness = self.witnesses[number].life().clone();
                self.witnesses[number]
                    .start_generation(now, &start)
                    .expect("a higher generation starts");
            }
        }
        self.queue
            .schedule(self.queue.now + ms(200), Event::Control);
    }

    fn submit(&mut self, entry: usize, key_number: u64) {
        let now = self.local(WITNESSES + entry);
        let number = self.attempts.len();
        let id = attempt_id(entry, u64::try_from(number).expect("few attempts"));
        let generation = self
            .witnesses
            .iter()
            .find_map(Witness::group)
            .map_or(1, |group| group.generation.0);
        let members = group(generation, WITNESSES);
        let attempt = ClaimAttempt::new(members, key(key_number), id, fingerprint(1), now);
        self.attempts.push((WITNESSES + entry, attempt));
        self.resend(number);
    }

    fn resend(&mut self, number: usize) {
        let (node, attempt) = &mut self.attempts[number];
        let now = self.clocks[*node].local(self.queue.now);
        let (node, decision) = (*node, attempt.on_tick(now));
        self.conclude(number, decision);
        let attempt = &self.attempts[number].1;
        let mut messages = Vec::new();
        for to in 0..WITNESSES {
            if let Some(request) = attempt.abandon_request() {
                if attempt
                    .unconfirmed_abandonments()
                    .any(|witness| *witness == instance(to))
                {
                    messages.push((to, Event::Abandon(number, to, request)));
                }
            } else if attempt.decision().is_none()
                && attempt.unanswered().any(|witness| *witness == instance(to))
            {
                messages.push((to, Event::Claim(number, to, attempt.request().clone())));
            }
        }
        for (to, message) in messages {
            self.send(node, to, &message);
        }
        if self.attempts[number].1.decision() != Some(&ClaimDecision::Dispatch) {
            self.queue
                .schedule(self.queue.now + ms(300), Event::Resend(number));
        }
    }

    fn conclude(&mut self, number: usize, decision: Option<ClaimDecision>) {
        let Some(decision) = decision else { return };
        let key = self.attempts[number].1.request().key.clone();
        let history = self.history.entry(key).or_default();
        match decision {
            ClaimDecision::Dispatch => {
                history.dispatched.push(number);
                let duration = ms(self.rng.random_range(1..3000));
                let event = Event::Finish(number, answer(&format!("attempt {number}")));
                if self.rng.random_bool(0.8) {
                    self.queue.schedule(self.queue.now + duration, event);
                }
            }
            ClaimDecision::Replay(answer) => history.replayed.push(answer),
            ClaimDecision::Contended | ClaimDecision::Unavailable | ClaimDecision::KeyReused => {
                history.refused.push(number);
            }
            ClaimDecision::InProgress | ClaimDecision::EarlierAttemptUnknown => {}
        }
    }

    fn finish(&mut self, number: usize, answer: RecordedResponse) {
        let node = self.attempts[number].0;
        let Some(request) = self.attempts[number].1.complete_request(answer) else {
            return;
        };
        for to in 0..WITNESSES {
            self.send(node, to, &Event::Complete(to, request.clone()));
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (key, history) in &self.history {
            prop_assert!(
                history.dispatched.len() <= 1,
                "{key:?} was dispatched by {:?}",
                history.dispatched
            );
            let ran = |number: &&usize| history.dispatched.contains(*number);
            prop_assert_eq!(
                history.refused.iter().find(ran),
                None,
                "an attempt told \"not run\" has run"
            );
            for replayed in &history.replayed {
                let dispatched = history
                    .dispatched
                    .first()
                    .expect("an attempt that ran before it was replayed");
                prop_assert_eq!(replayed, &answer(&format!("attempt {dispatched}")));
            }
        }
        Ok(())
    }
}

fn start(number: usize, generation: u64) -> GenerationStart {
    GenerationStart {
        group: group(generation, WITNESSES),
        witness: life(number, 1),
        revision: Revision(0),
        claims_lost: generation > 1,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(96) })]

    /// Guards against an action that runs twice, a "not run" for an attempt that runs, and a replayed answer of another
    /// attempt. Covers concurrent attempts, lost, delayed and duplicated messages, one-way partitions, witnesses that
    /// restart without state, and the loss of a majority.
    #[test]
    fn a_key_is_dispatched_at_most_once(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);
        while let Some(event) = simulation.queue.pop() {
            if simulation.queue.now > END {
                break;
            }

            simulation.handle(event);

            simulation.check()?;
        }
    }
}
