//! Freshness of instances, and acknowledgement of revisions by control (design section 4.1, P4 and P11).

mod common;

use std::time::Duration;

use common::{Clock, EventQueue, Faults, LinkFailures, group, instance, life, ms, rng};
use proptest::prelude::*;
use radishpaddle_model::{InstanceId, Revision};
use radishpaddle_quorum::Generation;
use radishpaddle_quorum::claim::ClaimSettings;
use radishpaddle_quorum::freshness::{FRESHNESS_LIMIT, Freshness, Propagation};
use radishpaddle_quorum::table::Cursor;
use radishpaddle_quorum::witness::{
    GenerationStart, InstanceState, PollRequest, Witness, WitnessMessage,
};
use rand::Rng;
use rand::rngs::SmallRng;

const WITNESSES: usize = 5;
const CONTROL: usize = 5;
const ENTRIES: usize = 3;
const END: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    Restart(usize),
    Message(usize, usize, WitnessMessage),
    Copy(usize, Box<radishpaddle_quorum::witness::WitnessCopy>),
    Poll(usize),
    PollReceived(usize, usize, Duration),
    PollReply(usize, usize, Duration, Revision),
    Push,
    PushReceived(usize, Duration, Revision),
    PushReply(usize, Duration, Revision),
    Apply(usize, Revision),
}

struct Simulation {
    queue: EventQueue<Event>,
    rng: SmallRng,
    faults: Faults,
    link_failures: LinkFailures,
    clocks: Vec<Clock>,
    witnesses: Vec<Witness>,
    entries: Vec<Freshness>,
    propagation: Propagation,
    committed: Revision,
    /// True time at which each revision was acknowledged.
    acknowledged_at: Vec<(Duration, Revision)>,
}

fn peers() -> Vec<InstanceId> {
    (0..WITNESSES).map(instance).collect()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = rng(seed);
        let faults = Faults::random(&mut rng);
        let link_failures = LinkFailures::random(&mut rng, CONTROL + 1 + ENTRIES, END);
        let clocks: Vec<Clock> = (0..=CONTROL + ENTRIES)
            .map(|_| Clock::random(&mut rng, 10_000))
            .collect();
        let mut simulation = Self {
            queue: EventQueue::new(),
            faults,
            link_failures,
            witnesses: Vec::new(),
            entries: vec![Freshness::new(group(1, WITNESSES)); ENTRIES],
            propagation: Propagation::new(group(1, WITNESSES)),
            committed: Revision(0),
            acknowledged_at: Vec::new(),
            clocks,
            rng,
        };
        for number in 0..WITNESSES {
            let witness = simulation.started(number);
            simulation.witnesses.push(witness);
            simulation.queue.schedule(ms(0), Event::Tick(number));
        }
        for entry in 0..ENTRIES {
            simulation.queue.schedule(ms(10), Event::Poll(entry));
        }
        simulation.queue.schedule(ms(0), Event::Push);
        for _ in 0..simulation.rng.random_range(0..6) {
            let time = ms(simulation.rng.random_range(0..30_000));
            let number = simulation.rng.random_range(0..WITNESSES);
            simulation.queue.schedule(time, Event::Restart(number));
        }
        simulation
    }

    fn local(&self, node: usize) -> Duration {
        self.clocks[node].local(self.queue.now)
    }

    fn started(&self, number: usize) -> Witness {
        let now = self.local(number);
        let mut witness = Witness::new(life(number, 1), peers(), ClaimSettings::default(), now);
        let start = GenerationStart {
            group: group(1, WITNESSES),
            witness: life(number, 1),
            revision: Revision(0),
            claims_lost: false,
        };
        witness
            .start_generation(now, &start)
            .expect("the first generation starts");
        witness
    }

    fn send(&mut self, from: usize, to: usize, event: &Event) {
        if !self.link_failures.drops(from, to, self.queue.now) {
            self.queue.send(&mut self.rng, &self.faults, event);
        }
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (number, entry) in self.entries.iter().enumerate() {
            if !entry.is_fresh(self.local(CONTROL + 1 + number)) {
                continue;
            }
            let applied = entry
                .applied()
                .expect("a fresh instance has a configuration");
            for (time, revision) in &self.acknowledged_at {
                let overdue = *revision > applied && self.queue.now > *time + FRESHNESS_LIMIT;
                prop_assert!(
                    !overdue,
                    "entry {number} is fresh at {:?} with {applied}",
                    self.queue.now
                );
            }
        }
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(number) => {
                let now = self.local(number);
                let messages = self.witnesses[number].tick(now, &mut self.rng);
                for (to, message) in messages {
                    let to = (0..WITNESSES)
                        .find(|other| instance(*other) == to)
                        .expect("a witness");
                    self.send(number, to, &Event::Message(number, to, message));
                }
                self.queue
                    .schedule(self.queue.now + ms(50), Event::Tick(number));
            }
            Event::Restart(number) => {
                let incarnation = self.witnesses[number].life().incarnation.0 + 1;
                let now = self.local(number);
                let settings = ClaimSettings::default();
                self.witnesses[number] =
                    Witness::new(life(number, incarnation), peers(), settings, now);
            }
            Event::Message(from, to, WitnessMessage::Recover(request)) => {
                let now = self.local(to);
                if let Some(copy) = self.witnesses[to].copy_for(now, &request) {
                    self.send(to, from, &Event::Copy(from, Box::new(copy)));
                }
            }
            Event::Message(_, _, WitnessMessage::Lease(_)) => {}
            Event::Copy(to, copy) => {
                let now = self.local(to);
                self.witnesses[to].on_copy(now, *copy);
            }
            Event::Poll(entry) => {
                let sent_at = self.local(CONTROL + 1 + entry);
                for witness in 0..WITNESSES {
                    self.send(
                        CONTROL + 1 + entry,
                        witness,
                        &Event::PollReceived(entry, witness, sent_at),
                    );
                }
                self.queue
                    .schedule(self.queue.now + ms(500), Event::Poll(entry));
            }
            Event::PollReceived(entry, witness, sent_at) => self.on_poll(entry, witness, sent_at),
            Event::PollReply(entry, witness, sent_at, revision) => {
                let freshness = &mut self.entries[entry];
                freshness.record_poll_reply(sent_at, &instance(witness), Generation(1), revision);
                if freshness.highest_reported() > freshness.applied() && self.rng.random_bool(0.5) {
                    let delay = ms(self.rng.random_range(1..6000));
                    self.queue
                        .schedule(self.queue.now + delay, Event::Apply(entry, revision));
                }
            }
            Event::Apply(entry, revision) => self.entries[entry].set_applied(revision),
            Event::Push => self.push(),
            Event::PushReceived(witness, sent_at, revision) => {
                if let Some(stored) = self.witnesses[witness].store(Generation(1), revision) {
                    self.send(
                        witness,
                        CONTROL,
                        &Event::PushReply(witness, sent_at, stored.revision),
                    );
                }
            }
            Event::PushReply(witness, sent_at, revision) => {
                self.on_push_reply(witness, sent_at, revision);
            }
        }
    }

    fn on_poll(&mut self, entry: usize, witness: usize, sent_at: Duration) {
        let request = PollRequest {
            generation: Generation(1),
            life: life(CONTROL + 1 + entry, 1),
            number: u64::try_from(sent_at.as_micros()).expect("a short time"),
            address: "127.0.0.1:80".parse().expect("an address"),
            availability_zone: "a".parse().expect("a valid id"),
            state: InstanceState::Serving,
            applied: Revision(0),
            instances: Cursor::default(),
        };
        let now = self.local(witness);
        if let Some(reply) = self.witnesses[witness].poll(now, &request) {
            let answer = Event::PollReply(entry, witness, sent_at, reply.revision);
            self.send(witness, CONTROL + 1 + entry, &answer);
        }
    }

    /// Commits a new revision in a fifth of the calls, and pushes the latest one.
    fn push(&mut self) {
        if self.rng.random_bool(0.2) {
            self.committed = self.committed.next();
        }
        let sent_at = self.local(CONTROL);
        for witness in 0..WITNESSES {
            self.send(
                CONTROL,
                witness,
                &Event::PushReceived(witness, sent_at, self.committed),
            );
        }
        self.queue.schedule(self.queue.now + ms(300), Event::Push);
    }

    fn on_push_reply(&mut self, witness: usize, sent_at: Duration, revision: Revision) {
        let now = self.local(CONTROL);
        let before = self.propagation.acknowledged();
        self.propagation
            .record_stored(now, sent_at, &instance(witness), Generation(1), revision);
        let after = self.propagation.acknowledged();
        if after > before {
            self.acknowledged_at
                .push((self.queue.now, after.expect("a revision")));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against a withdrawn key that is still accepted more than 4 s after its withdrawal was acknowledged.
    /// Covers instances behind a one-way partition, delayed replies, clocks that run 1 % slow, and witnesses that lose
    /// the revision in a restart.
    #[test]
    fn no_instance_without_an_acknowledged_change_is_fresh_4_s_later(seed in any::<u64>()) {
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

fn record_replies(freshness: &mut Freshness, sent_at: Duration, revisions: &[(usize, u64)]) {
    for (witness, revision) in revisions {
        freshness.record_poll_reply(
            sent_at,
            &instance(*witness),
            Generation(1),
            Revision(*revision),
        );
    }
}

/// Guards against an instance that stops although a majority of the witnesses answers, and against one that continues
/// without a majority.
#[test]
fn a_majority_keeps_an_instance_fresh() {
    let mut freshness = Freshness::new(group(1, 5));
    freshness.set_applied(Revision(7));

    record_replies(&mut freshness, ms(1000), &[(0, 7), (1, 6)]);
    assert!(
        !freshness.is_fresh(ms(1000)),
        "two of five witnesses are not a majority"
    );
    record_replies(&mut freshness, ms(1000), &[(4, 7)]);

    assert!(freshness.is_fresh(ms(4900)));
    assert!(!freshness.is_fresh(ms(5000)));
}

/// Guards against an instance that counts replies with a revision that it has not applied.
#[test]
fn a_higher_answer_does_not_count_until_it_is_applied() {
    let mut freshness = Freshness::new(group(1, 5));
    freshness.set_applied(Revision(7));

    record_replies(&mut freshness, ms(1000), &[(0, 8), (1, 7), (2, 7)]);
    assert!(!freshness.is_fresh(ms(1000)));
    assert_eq!(freshness.highest_reported(), Some(Revision(8)));
    freshness.set_applied(Revision(8));

    assert!(freshness.is_fresh(ms(1000)));
    freshness.set_applied(Revision(7));
    assert_eq!(
        freshness.applied(),
        Some(Revision(8)),
        "the configuration reverted"
    );
}

/// Guards against counting replies of a previous generation, whose witnesses may not know the changes of the new one.
#[test]
fn a_new_generation_forgets_the_answers_of_the_last_one() {
    let mut freshness = Freshness::new(group(1, 5));
    freshness.set_applied(Revision(7));
    record_replies(&mut freshness, ms(1000), &[(0, 7), (1, 7), (2, 7)]);

    freshness.set_group(group(2, 5));
    record_replies(&mut freshness, ms(1100), &[(0, 7), (1, 7), (2, 7)]);

    assert!(!freshness.is_fresh(ms(1100)));
}
