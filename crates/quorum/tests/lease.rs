//! Election of the witness leader: never two leaseholders, and a new one within 3 s (design section 5).

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Clock, EventQueue, Faults, LinkFailures, group, instance, life, ms, rng};
use proptest::prelude::*;
use radishpaddle_quorum::Epoch;
use radishpaddle_quorum::group::RESTART_QUIET_PERIOD;
use radishpaddle_quorum::lease::{Election, LEASE_DURATION, LeaseKind, LeaseReply, LeaseRequest};
use rand::Rng;
use rand::rngs::SmallRng;

const WITNESSES: usize = 5;
const END: Duration = Duration::from_secs(40);

#[derive(Debug, Clone)]
enum Event {
    Tick(usize),
    Restart(usize),
    Request(usize, LeaseRequest),
    Reply(usize, LeaseReply),
}

struct Simulation {
    queue: EventQueue<Event>,
    rng: SmallRng,
    faults: Faults,
    link_failures: LinkFailures,
    clocks: Vec<Clock>,
    members: Vec<Option<Election>>,
    incarnations: Vec<u64>,
    /// Leaseholder of each epoch so far.
    leaseholders: BTreeMap<Epoch, usize>,
}

impl Simulation {
    fn new(mut rng: SmallRng, faults: Faults, max_ppm: i64) -> Self {
        let clocks = (0..WITNESSES)
            .map(|_| Clock::random(&mut rng, max_ppm))
            .collect();
        let mut simulation = Self {
            queue: EventQueue::new(),
            rng,
            faults,
            link_failures: LinkFailures::default(),
            clocks,
            members: vec![None; WITNESSES],
            incarnations: vec![0; WITNESSES],
            leaseholders: BTreeMap::new(),
        };
        for number in 0..WITNESSES {
            simulation.restart(number);
            simulation.queue.schedule(ms(0), Event::Tick(number));
        }
        simulation
    }

    fn restart(&mut self, number: usize) {
        let now = self.clocks[number].local(self.queue.now);
        self.incarnations[number] += 1;
        let life = life(number, self.incarnations[number]);
        let mut member = Election::new(life, group(1, WITNESSES), now);
        // A restarted witness takes over the latest grants of the others, as in its recovery.
        let others: Vec<_> = self
            .members
            .iter()
            .flatten()
            .filter_map(Election::promise)
            .cloned()
            .collect();
        for promise in others {
            member.adopt(now, promise);
        }
        self.members[number] = Some(member);
    }

    fn send(&mut self, from: usize, to: usize, event: &Event) {
        if !self.link_failures.drops(from, to, self.queue.now) {
            self.queue.send(&mut self.rng, &self.faults, event);
        }
    }

    fn send_all(
        &mut self,
        from: usize,
        requests: Vec<(radishpaddle_model::InstanceId, LeaseRequest)>,
    ) {
        for (to, request) in requests {
            let to = (0..WITNESSES)
                .find(|other| instance(*other) == to)
                .expect("a witness");
            self.send(from, to, &Event::Request(to, request));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(number) => {
                let now = self.clocks[number].local(self.queue.now);
                if let Some(member) = &mut self.members[number] {
                    let requests = member.tick(now, &mut self.rng);
                    self.send_all(number, requests);
                }
                self.queue
                    .schedule(self.queue.now + ms(50), Event::Tick(number));
            }
            Event::Restart(number) => self.restart(number),
            Event::Request(to, request) => {
                let now = self.clocks[to].local(self.queue.now);
                let reply = self.members[to]
                    .as_mut()
                    .and_then(|member| member.on_request(now, &request));
                let from =
                    (0..WITNESSES).find(|other| instance(*other) == request.candidate.instance);
                if let (Some(reply), Some(from)) = (reply, from) {
                    self.send(to, from, &Event::Reply(from, reply));
                }
            }
            Event::Reply(to, reply) => {
                let now = self.clocks[to].local(self.queue.now);
                if let Some(member) = &mut self.members[to] {
                    let requests = member.on_reply(now, &reply);
                    self.send_all(to, requests);
                }
            }
        }
    }

    /// Returns the current leaseholders and their epochs.
    fn leaders(&self) -> Vec<(usize, Epoch)> {
        let held = |(number, member): (usize, &Option<Election>)| {
            let now = self.clocks[number].local(self.queue.now);
            Some((number, member.as_ref()?.leadership(now)?.epoch))
        };
        self.members.iter().enumerate().filter_map(held).collect()
    }

    fn run(&mut self, end: Duration) -> Result<(), TestCaseError> {
        while let Some(event) = self.queue.pop() {
            if self.queue.now > end {
                break;
            }
            self.handle(event);
            let leaders = self.leaders();
            prop_assert!(
                leaders.len() <= 1,
                "{leaders:?} hold the lease at {:?}",
                self.queue.now
            );
            for (number, epoch) in leaders {
                let known = *self.leaseholders.entry(epoch).or_insert(number);
                prop_assert_eq!(known, number, "two leaseholders used epoch {}", epoch);
                let last = self.leaseholders.last_key_value().map(|(last, _)| *last);
                prop_assert_eq!(last, Some(epoch), "a lower epoch followed a higher one");
            }
        }
        Ok(())
    }

    /// Returns the longest time without a leader between `start` and `end`.
    fn longest_gap(&mut self, start: Duration, end: Duration) -> Duration {
        let (mut longest, mut last_held) = (Duration::ZERO, start);
        while let Some(event) = self.queue.pop() {
            if self.queue.now > end {
                break;
            }
            self.handle(event);
            if !self.leaders().is_empty() {
                longest = longest.max(self.queue.now.saturating_sub(last_held));
                last_held = self.queue.now.max(start);
            }
        }
        longest.max(end.saturating_sub(last_held))
    }
}

/// Stops the leader, or makes it receive no messages, and checks the time without a leader.
fn check_replacement_of_leader(seed: u64, receives_nothing: bool) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(rng(seed), Faults::none(), 10_000);
    simulation.run(ms(6000))?;
    let leaders = simulation.leaders();
    prop_assert_eq!(leaders.len(), 1, "no leader without a fault");
    let lost = leaders[0].0;
    if receives_nothing {
        let links = (0..WITNESSES).map(|from| (from, lost, ms(6000), Duration::MAX));
        simulation.link_failures = LinkFailures(links.collect());
    } else {
        simulation.members[lost] = None;
    }

    let gap = simulation.longest_gap(ms(6000), ms(16_000));

    prop_assert!(gap <= Duration::from_secs(3), "no leader for {:?}", gap);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(128) })]

    /// Guards against two leaders that allocate the same rate. Covers lost, delayed and duplicated messages, one-way
    /// partitions, clocks that differ from true time by up to 1 % in rate and by any offset, and restarts that lose a
    /// grant.
    #[test]
    fn at_most_one_witness_holds_the_lease(seed in any::<u64>()) {
        let mut rng = rng(seed);
        let faults = Faults::random(&mut rng);
        let mut simulation = Simulation::new(rng.clone(), faults, 10_000);
        simulation.link_failures = LinkFailures::random(&mut rng, WITNESSES, END);
        for _ in 0..rng.random_range(0..8) {
            let time = ms(rng.random_range(0..40_000));
            simulation.queue.schedule(time, Event::Restart(rng.random_range(0..WITNESSES)));
        }

        simulation.run(END)?;
    }

    /// Guards against more than 3 s without a leader after the leader has stopped, or can send but not receive.
    #[test]
    fn a_lost_leader_is_replaced_within_3_s(seed in any::<u64>(), receives_nothing in any::<bool>()) {
        check_replacement_of_leader(seed, receives_nothing)?;
    }
}

/// Guards against repeated split elections. With a retry after 300 ms, these seeds have no leader for 3.01 s and 3.16
/// s.
#[test]
fn split_elections_end_in_time() {
    for (seed, receives_nothing) in [
        (13_471_871_926_927_678_903, true),
        (16_634_315_145_585_274_976, false),
    ] {
        check_replacement_of_leader(seed, receives_nothing).expect("a leader within 3 s");
    }
}

/// Guards against a leader that is left with a bare majority because a split election made other witnesses grant a
/// higher epoch.
#[test]
fn a_leader_wins_back_witnesses_that_promised_a_higher_epoch() {
    let mut simulation = Simulation::new(rng(3), Faults::none(), 0);
    simulation.run(ms(6000)).expect("one leader");
    let (leader, epoch) = simulation.leaders()[0];
    let other = (leader + 1) % WITNESSES;
    let mut promise = simulation.members[leader]
        .as_ref()
        .and_then(Election::promise)
        .cloned()
        .expect("a promise");
    promise.epoch = Epoch(epoch.0 + 5);
    promise.candidate = life(other, 99);
    let now = simulation.clocks[other].local(simulation.queue.now);
    simulation.members[other]
        .as_mut()
        .expect("a member")
        .adopt(now, promise);

    simulation.run(ms(12_000)).expect("one leader");

    let known = simulation.members[other]
        .as_ref()
        .and_then(Election::promise)
        .map(|promise| promise.candidate.clone());
    assert_eq!(known, Some(life(leader, 1)));
    assert_eq!(simulation.leaders()[0].0, leader, "the leader changed");
}

fn request(kind: LeaseKind, candidate: usize, epoch: u64) -> LeaseRequest {
    LeaseRequest {
        generation: group(1, WITNESSES).generation,
        candidate: life(candidate, 1),
        epoch: Epoch(Epoch::floor(group(1, WITNESSES).generation).0 + epoch),
        number: 1,
        kind,
        ready: false,
    }
}

/// Guards against a delayed duplicate of a campaign, whose grant is short, that shortens the grant of a later renewal.
#[test]
fn a_late_campaign_does_not_shorten_a_grant() {
    let mut member = Election::new(life(0, 1), group(1, WITNESSES), ms(0));
    let start = RESTART_QUIET_PERIOD;
    member.on_request(start, &request(LeaseKind::Campaign, 1, 1));
    member.on_request(start + ms(5), &request(LeaseKind::Renewal, 1, 1));
    member.on_request(start + ms(10), &request(LeaseKind::Campaign, 1, 1));

    let reply = member.on_request(start + LEASE_DURATION, &request(LeaseKind::Campaign, 2, 2));

    assert!(
        !reply.expect("an answer").granted,
        "the first leaseholder may still rely on the grant"
    );
}

/// Guards against a restarted witness that grants a second candidate while the lease of the first still relies on the
/// grant that the witness lost in the restart.
#[test]
fn a_restarted_witness_grants_nothing_while_an_old_lease_may_run() {
    let mut member = Election::new(life(0, 2), group(1, WITNESSES), ms(0));

    let early = member.on_request(LEASE_DURATION, &request(LeaseKind::Campaign, 2, 2));
    let later = member.on_request(RESTART_QUIET_PERIOD, &request(LeaseKind::Campaign, 2, 2));

    assert_eq!(early, None);
    assert!(later.expect("an answer").granted);
}
