//! At most one dispatch per idempotency key, and true refusals (design section 4.3, P7 and P8).

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Clock, Cuts, Faults, Queue, group, instance, life, ms, rng};
use proptest::prelude::*;
use radishpaddle_model::InstanceId;
use radishpaddle_model::Revision;
use radishpaddle_quorum::claim::{
    AbandonReply, AbandonRequest, Answer, AttemptId, ClaimAttempt, ClaimDecision, ClaimKey,
    ClaimRegister, ClaimReply, ClaimRequest, ClaimSettings, ClaimVote, CompleteRequest,
    Fingerprint, HeldState, Stored, VoteRefusal,
};
use radishpaddle_quorum::witness::{GenerationStart, Witness, WitnessCopy, WitnessMessage};
use rand::Rng;
use rand::rngs::SmallRng;

const WITNESSES: usize = 5;
const ENTRIES: usize = 3;
const END: Duration = Duration::from_secs(30);

fn key(number: u64) -> ClaimKey {
    ClaimKey {
        organisation: "harbour".parse().expect("a valid id"),
        service: "ledger".parse().expect("a valid id"),
        idempotency_key: format!("key-{number}").into(),
    }
}

fn attempt_id(entry: usize, number: u64) -> AttemptId {
    AttemptId {
        life: life(WITNESSES + entry, 1),
        number,
    }
}

fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint([number; 32])
}

fn answer(text: &str) -> Answer {
    Answer::Whole {
        status: 200,
        encoded: text.as_bytes().into(),
    }
}

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
    Finish(usize, Answer),
    Complete(usize, CompleteRequest),
    Abandon(usize, usize, AbandonRequest),
    Fenced(usize, AbandonReply),
}

/// Attempts of one key: which was dispatched, which was told "not run" or an answer.
#[derive(Debug, Default)]
struct History {
    dispatched: Vec<usize>,
    refused: Vec<usize>,
    replayed: Vec<Answer>,
}

struct World {
    queue: Queue<Event>,
    rng: SmallRng,
    faults: Faults,
    cuts: Cuts,
    clocks: Vec<Clock>,
    witnesses: Vec<Witness>,
    attempts: Vec<(usize, ClaimAttempt)>,
    history: BTreeMap<ClaimKey, History>,
}

fn peers() -> Vec<InstanceId> {
    (0..WITNESSES).map(instance).collect()
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = rng(seed);
        let mut world = Self {
            queue: Queue::new(),
            faults: Faults::random(&mut rng),
            cuts: Cuts::random(&mut rng, WITNESSES + ENTRIES, END),
            clocks: (0..WITNESSES + ENTRIES)
                .map(|_| Clock::random(&mut rng, 10_000))
                .collect(),
            witnesses: Vec::new(),
            attempts: Vec::new(),
            history: BTreeMap::new(),
            rng,
        };
        for number in 0..WITNESSES {
            let now = world.local(number);
            let mut witness = Witness::new(life(number, 1), peers(), ClaimSettings::default(), now);
            witness
                .start_generation(now, &start(number, 1))
                .expect("the first generation starts");
            world.witnesses.push(witness);
            world.queue.at(ms(0), Event::TickWitness(number));
        }
        for _ in 0..world.rng.random_range(0..8) {
            let time = ms(world.rng.random_range(0..20_000));
            let number = world.rng.random_range(0..WITNESSES);
            world.queue.at(time, Event::RestartWitness(number));
        }
        world.submit_requests();
        world.queue.at(ms(0), Event::Control);
        world
    }

    /// Each key is sent to several entry instances, often at the same time, and sent again later.
    fn submit_requests(&mut self) {
        for number in 0..20 {
            let first = self.rng.random_range(0..18_000);
            for _ in 0..self.rng.random_range(2..5) {
                let spread = if self.rng.random_bool(0.5) { 5 } else { 8000 };
                let time = ms(first + self.rng.random_range(0..spread));
                let entry = self.rng.random_range(0..ENTRIES);
                self.queue.at(time, Event::Submit(entry, number));
            }
        }
    }

    fn local(&self, node: usize) -> Duration {
        self.clocks[node].local(self.queue.now)
    }

    fn send(&mut self, from: usize, to: usize, event: &Event) {
        if !self.cuts.drops(from, to, self.queue.now) {
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
            Event::Control => self.start_lost_generation(),
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
            .at(self.queue.now + ms(100), Event::TickWitness(number));
    }

    /// When a majority has lost its memory, control starts a generation at every witness.
    fn start_lost_generation(&mut self) {
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
        self.queue.at(self.queue.now + ms(200), Event::Control);
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
                if attempt.unfenced().any(|witness| *witness == instance(to)) {
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
                .at(self.queue.now + ms(300), Event::Resend(number));
        }
    }

    fn conclude(&mut self, number: usize, decision: Option<ClaimDecision>) {
        let Some(decision) = decision else { return };
        let key = self.attempts[number].1.request().key.clone();
        let history = self.history.entry(key).or_default();
        match decision {
            ClaimDecision::Dispatch => {
                history.dispatched.push(number);
                let lasts = ms(self.rng.random_range(1..3000));
                let event = Event::Finish(number, answer(&format!("attempt {number}")));
                if self.rng.random_bool(0.8) {
                    self.queue.at(self.queue.now + lasts, event);
                }
            }
            ClaimDecision::Replay(answer) => history.replayed.push(answer),
            ClaimDecision::Contended | ClaimDecision::Unavailable | ClaimDecision::KeyReused => {
                history.refused.push(number);
            }
            ClaimDecision::InProgress | ClaimDecision::EarlierAttemptUnknown => {}
        }
    }

    fn finish(&mut self, number: usize, answer: Answer) {
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

    /// Guards against an action that runs twice, against "not run" for an attempt that runs, and against the answer of
    /// another attempt: with attempts at the same time, lost, late and repeated messages, one-way partitions, witnesses
    /// that restart without memory, and lost majorities.
    #[test]
    fn a_key_is_dispatched_at_most_once(seed in any::<u64>()) {
        let mut world = World::new(seed);
        while let Some(event) = world.queue.pop() {
            if world.queue.now > END {
                break;
            }

            world.handle(event);

            world.check()?;
        }
    }
}

fn claim(attempt: &AttemptId, fingerprint: Fingerprint) -> ClaimRequest {
    ClaimRequest {
        generation: group(1, WITNESSES).generation,
        key: key(1),
        attempt: attempt.clone(),
        fingerprint,
    }
}

fn complete(attempt: &AttemptId, answer: Answer) -> CompleteRequest {
    CompleteRequest {
        generation: group(1, WITNESSES).generation,
        key: key(1),
        attempt: attempt.clone(),
        fingerprint: fingerprint(1),
        answer,
    }
}

fn abandon(attempt: &AttemptId) -> AbandonRequest {
    AbandonRequest {
        generation: group(1, WITNESSES).generation,
        key: key(1),
        attempt: attempt.clone(),
    }
}

fn votes(votes: &[ClaimVote]) -> Option<ClaimDecision> {
    let mut attempt = ClaimAttempt::new(
        group(1, WITNESSES),
        key(1),
        attempt_id(0, 1),
        fingerprint(1),
        ms(0),
    );
    let mut decision = None;
    for (number, vote) in votes.iter().enumerate() {
        let reply = ClaimReply {
            generation: group(1, WITNESSES).generation,
            witness: instance(number),
            attempt: attempt_id(0, 1),
            vote: vote.clone(),
        };
        decision = decision.or(attempt.on_reply(ms(1), &reply));
    }
    decision.or_else(|| attempt.on_tick(ms(5000)))
}

fn held(entry: usize, state: HeldState) -> ClaimVote {
    ClaimVote::Held {
        attempt: attempt_id(entry, 1),
        fingerprint: fingerprint(1),
        state,
    }
}

/// Guards against a wrong answer to the caller for each state of another attempt.
#[test]
fn votes_lead_to_the_decision_of_the_design() {
    use ClaimVote::{Granted, Refused};
    let (flight, lost) = (HeldState::InFlight, HeldState::DispatcherLost);
    let other_request = ClaimVote::Held {
        attempt: attempt_id(1, 1),
        fingerprint: fingerprint(2),
        state: flight,
    };
    let completed = |answer| ClaimVote::Completed {
        fingerprint: fingerprint(1),
        answer,
    };
    let cases = [
        (vec![Granted, Granted, Granted], ClaimDecision::Dispatch),
        (vec![Granted, Granted], ClaimDecision::Unavailable),
        (
            vec![
                Granted,
                Granted,
                held(1, flight),
                held(2, flight),
                held(1, flight),
            ],
            ClaimDecision::Contended,
        ),
        (
            vec![held(1, flight), held(1, flight), held(1, flight)],
            ClaimDecision::InProgress,
        ),
        (
            vec![held(1, flight), held(1, lost), held(1, flight)],
            ClaimDecision::EarlierAttemptUnknown,
        ),
        (vec![held(1, flight), Granted], ClaimDecision::InProgress),
        (
            vec![held(1, HeldState::Disputed), Granted, Granted],
            ClaimDecision::EarlierAttemptUnknown,
        ),
        (
            vec![completed(answer("done"))],
            ClaimDecision::Replay(answer("done")),
        ),
        (
            vec![completed(Answer::Unknown)],
            ClaimDecision::EarlierAttemptUnknown,
        ),
        (vec![other_request, Granted], ClaimDecision::KeyReused),
        (
            vec![
                Refused(VoteRefusal::Full),
                Refused(VoteRefusal::Full),
                Refused(VoteRefusal::Full),
            ],
            ClaimDecision::Unavailable,
        ),
    ];
    for (cast, decision) in cases {
        assert_eq!(votes(&cast), Some(decision), "{cast:?}");
    }
}

/// Guards against a delayed claim that takes the place of a later attempt after its own attempt was given up.
#[test]
fn an_abandoned_attempt_is_never_granted_again() {
    let mut register = ClaimRegister::new(ClaimSettings::default());
    let (first, second) = (attempt_id(0, 1), attempt_id(1, 1));
    assert!(register.abandon(ms(0), &abandon(&first)));

    let late = register.claim(ms(10), &claim(&first, fingerprint(1)), |_| true);
    let other = register.claim(ms(20), &claim(&second, fingerprint(1)), |_| true);

    assert_eq!(late, ClaimVote::Fenced);
    assert_eq!(other, ClaimVote::Granted);
}

/// Guards against an attempt that dispatches after it was given up, or after its votes have expired.
#[test]
fn a_decided_attempt_does_not_change_its_mind() {
    let mut attempt = ClaimAttempt::new(
        group(1, WITNESSES),
        key(1),
        attempt_id(0, 1),
        fingerprint(1),
        ms(0),
    );
    attempt.abandon();
    let reply = |witness| ClaimReply {
        generation: group(1, WITNESSES).generation,
        witness: instance(witness),
        attempt: attempt_id(0, 1),
        vote: ClaimVote::Granted,
    };

    let decisions: Vec<_> = (0..WITNESSES)
        .map(|witness| attempt.on_reply(ms(1), &reply(witness)))
        .collect();

    assert_eq!(decisions, vec![None; WITNESSES]);
    assert!(attempt.abandon_request().is_some());
    assert!(attempt.complete_request(Answer::Unknown).is_none());
}

/// Guards against memory that grows without bound, and against claims that are dropped to make room.
#[test]
fn a_full_register_refuses_and_forgets_nothing() {
    let settings = ClaimSettings {
        max_bytes: 10_000,
        max_answers_bytes: 3000,
        max_answer_bytes: 2000,
        ..ClaimSettings::default()
    };
    let mut register = ClaimRegister::new(settings);
    let mut granted = Vec::new();
    for number in 0..100 {
        let mut request = claim(&attempt_id(0, number), fingerprint(1));
        request.key = key(number);
        if register.claim(ms(0), &request, |_| true) == ClaimVote::Granted {
            granted.push(request);
        }
    }

    assert!(!granted.is_empty() && granted.len() < 100);
    assert!(register.used_bytes() <= 10_000);
    for request in granted {
        let other = ClaimRequest {
            attempt: attempt_id(1, 1),
            ..request
        };
        let vote = register.claim(ms(599_000), &other, |_| true);
        assert!(
            matches!(vote, ClaimVote::Held { .. }),
            "the claim was lost: {vote:?}"
        );
    }
}

/// Guards against answers that push out claims: a large answer is recorded by its status.
#[test]
fn an_answer_without_room_is_recorded_by_its_status() {
    let mut register = ClaimRegister::new(ClaimSettings::default());
    let first = attempt_id(0, 1);
    register.claim(ms(0), &claim(&first, fingerprint(1)), |_| true);

    let stored = register.complete(
        ms(10),
        &complete(&first, answer(&"x".repeat((64 << 10) + 1))),
    );
    let vote = register.claim(ms(20), &claim(&attempt_id(1, 1), fingerprint(1)), |_| true);

    assert_eq!(stored, Stored::StatusOnly);
    let answer = Answer::StatusOnly { status: 200 };
    assert_eq!(
        vote,
        ClaimVote::Completed {
            fingerprint: fingerprint(1),
            answer
        }
    );
}

/// Guards against claims that are kept for ever, and against claims that end before the retention time.
#[test]
fn a_claim_is_kept_for_the_retention_time_after_the_last_event() {
    let mut register = ClaimRegister::new(ClaimSettings::default());
    let first = attempt_id(0, 1);
    register.claim(ms(0), &claim(&first, fingerprint(1)), |_| true);
    register.complete(ms(100_000), &complete(&first, answer("done")));
    let other = claim(&attempt_id(1, 1), fingerprint(1));

    let kept = register.claim(ms(699_000), &other, |_| true);
    let expired = register.claim(ms(700_000), &other, |_| true);

    assert!(matches!(kept, ClaimVote::Completed { .. }), "{kept:?}");
    assert_eq!(expired, ClaimVote::Granted);
}

/// Guards against a recovered witness that helps a second attempt although its forgotten vote may have decided the first:
/// the copies name two attempts, and either of them may have had its vote.
#[test]
fn a_recovered_witness_grants_nobody_when_copies_disagree() {
    let (first, second) = (attempt_id(0, 1), attempt_id(1, 1));
    let mut registers = [&first, &second].map(|attempt| {
        let mut register = ClaimRegister::new(ClaimSettings::default());
        register.claim(ms(0), &claim(attempt, fingerprint(1)), |_| true);
        register
    });
    let mut recovered = ClaimRegister::new(ClaimSettings::default());
    for register in &registers {
        register
            .copies(ms(5))
            .for_each(|copy| recovered.merge(ms(5), &copy));
    }

    for attempt in [&first, &second, &attempt_id(2, 1)] {
        let vote = recovered.claim(ms(10), &claim(attempt, fingerprint(1)), |_| true);
        assert!(
            matches!(
                vote,
                ClaimVote::Held {
                    state: HeldState::Disputed,
                    ..
                }
            ),
            "{vote:?}"
        );
    }
    registers[0].abandon(ms(20), &abandon(&first));
    registers[0]
        .copies(ms(20))
        .for_each(|copy| recovered.merge(ms(20), &copy));
    let vote = recovered.claim(ms(30), &claim(&second, fingerprint(1)), |_| true);
    assert_eq!(
        vote,
        ClaimVote::Granted,
        "the abandoned attempt still counts"
    );
}
