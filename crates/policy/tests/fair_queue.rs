//! The fair queue stays within its bounds, serves organisations by share and refuses only requests
//! that have not run.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_model::{OrganisationId, Outcome, ResultCode};
use radishpaddle_policy::fair_queue::{
    DispatchWindow, FairQueue, QueueLimits, QueueTicket, Waiting,
};

const LIMITS: QueueLimits = QueueLimits {
    per_organisation: 20,
    total: 50,
};

fn organisation(index: u8) -> OrganisationId {
    format!("org-{index}").parse().unwrap()
}

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn request(org: u8, weight: u32, deadline: Duration, payload: u64) -> Waiting<u64> {
    Waiting {
        organisation: organisation(org),
        weight,
        deadline,
        expected_service: ms(50),
        payload,
    }
}

fn pop(queue: &mut FairQueue<u64>, now: Duration) -> Option<(OrganisationId, u64)> {
    let ready = queue.pop(now, &mut Vec::new())?;
    Some((ready.request.organisation, ready.request.payload))
}

fn served(queue: &mut FairQueue<u64>, pops: usize) -> BTreeMap<OrganisationId, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..pops {
        let (organisation, _) = pop(queue, ms(1)).unwrap();
        *counts.entry(organisation).or_default() += 1;
    }
    counts
}

/// Guards against an organisation at several times its rate that delays the others. A request of an
/// organisation without a queue waits for at most one request of each other organisation.
#[test]
fn long_queue_of_one_organisation_does_not_delay_another() {
    let mut queue = FairQueue::new(LIMITS);
    for payload in 0..20 {
        queue.push(ms(0), request(0, 1, ms(9000), payload)).unwrap();
    }
    for payload in 0..5 {
        pop(&mut queue, ms(payload)).unwrap();
    }
    queue.push(ms(5), request(1, 1, ms(9000), 100)).unwrap();

    let next = [pop(&mut queue, ms(6)), pop(&mut queue, ms(7))];

    assert!(next.contains(&Some((organisation(1), 100))), "{next:?}");
}

/// Guards against shares that are ignored. An organisation with three times the rate gets three
/// times the service while both have waiting requests.
#[test]
fn service_follows_shares() {
    let mut queue = FairQueue::new(LIMITS);
    queue.set_share(organisation(0), 30);
    queue.set_share(organisation(1), 10);
    for payload in 0..20 {
        for org in [0, 1] {
            queue
                .push(ms(0), request(org, 1, ms(9000), payload))
                .unwrap();
        }
    }

    let counts = served(&mut queue, 20);

    assert_eq!(counts[&organisation(0)], 15);
    assert_eq!(counts[&organisation(1)], 5);
}

/// Guards against request kinds that get equal service although one has a higher weight.
#[test]
fn heavier_kind_gets_more_service_within_an_organisation() {
    let mut queue = FairQueue::new(LIMITS);
    for payload in 0..10 {
        queue.push(ms(0), request(0, 1, ms(9000), payload)).unwrap();
        queue
            .push(ms(0), request(0, 3, ms(9000), 100 + payload))
            .unwrap();
    }

    let heavy = (0..8)
        .filter(|_| pop(&mut queue, ms(1)).unwrap().1 >= 100)
        .count();

    assert_eq!(heavy, 6);
}

/// Guards against a full queue in which the organisation with the longest queue blocks the others.
#[test]
fn full_queue_makes_room_at_the_longest_queue() {
    let limits = QueueLimits {
        per_organisation: 50,
        total: 20,
    };
    let mut queue = FairQueue::new(limits);
    for payload in 0..20 {
        queue.push(ms(0), request(0, 1, ms(9000), payload)).unwrap();
    }

    let queued = queue.push(ms(1), request(1, 1, ms(9000), 100)).unwrap();

    let evicted = queued.evicted.unwrap();
    assert_eq!(evicted.request.organisation, organisation(0));
    assert_eq!(evicted.request.payload, 19);
    assert_eq!(evicted.code, ResultCode::Overloaded);
    assert_eq!(queue.len(), 20);
    let own = queue.push(ms(1), request(0, 1, ms(9000), 101));
    assert_eq!(own.unwrap_err().code, ResultCode::Overloaded);
}

/// Guards against a request that is queued although the dequeue rate shows that it cannot be served
/// in time.
#[test]
fn request_behind_a_slow_queue_is_refused_early() {
    let mut queue = FairQueue::new(LIMITS);
    let mut now = ms(0);
    for payload in 0..40 {
        let _ = queue.push(now, request(0, 1, now + ms(60_000), payload));
        if queue.len() > 15 {
            now += ms(100);
            pop(&mut queue, now);
        }
    }

    let tight = queue.push(now, request(0, 1, now + ms(400), 100));
    let loose = queue.push(now, request(0, 1, now + ms(5000), 101));

    assert_eq!(tight.unwrap_err().code, ResultCode::Overloaded);
    assert!(loose.is_ok());
}

/// Guards against a window that stays large while servers shed, and against one that never grows
/// again afterwards.
#[test]
fn window_shrinks_on_sheds_and_grows_while_used() {
    let mut window = DispatchWindow::new(60, 10);
    assert!(window.has_room(11) && !window.has_room(12));

    for index in 0..100 {
        window.shed(ms(index * 100));
    }
    assert!(window.has_room(0) && !window.has_room(1));

    (0..10).for_each(|_| window.answered(1));
    assert!(
        window.has_room(1) && !window.has_room(2),
        "grew although unused"
    );
    (0..10).for_each(|_| window.answered(2));
    assert!(window.has_room(2));
}

/// Guards against a burst of sheds that shrinks the window several times.
#[test]
fn sheds_of_one_burst_count_once() {
    let mut window = DispatchWindow::new(60, 10);

    (0..50).for_each(|_| window.shed(ms(5)));

    // A single decrease by 30 % from 12 requests.
    assert!(window.has_room(7) && !window.has_room(8));
}

#[derive(Debug, Clone)]
enum Step {
    Push {
        org: u8,
        weight: u32,
        deadline_in_ms: u64,
    },
    Pop,
    Cancel(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..6_u8, 1..4_u32, 0..400_u64)
            .prop_map(|(org, weight, deadline_in_ms)| Step::Push { org, weight, deadline_in_ms }),
        2 => Just(Step::Pop),
        1 => (0..100_usize).prop_map(Step::Cancel),
        2 => (0..30_u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 0..400)
}

#[derive(Default)]
struct History {
    waiting: BTreeMap<u64, QueueTicket>,
    left: BTreeSet<u64>,
}

impl History {
    fn leave(&mut self, payload: u64) {
        assert!(self.waiting.remove(&payload).is_some(), "left twice");
        assert!(self.left.insert(payload), "left twice");
    }
}

proptest! {
    /// Guards against a request that is lost or returned twice, a bound that is exceeded, and a
    /// request that is served after its latest start.
    #[test]
    fn every_request_leaves_once_and_bounds_hold(steps in steps()) {
        let mut queue = FairQueue::new(LIMITS);
        let mut history = History::default();
        let mut now = ms(0);
        for (payload, step) in (0_u64..).zip(&steps) {
            let mut refused = Vec::new();
            match *step {
                Step::Push { org, weight, deadline_in_ms } => {
                    let request = request(org, weight, now + ms(deadline_in_ms), payload);
                    if let Ok(queued) = queue.push(now, request) {
                        history.waiting.insert(payload, queued.ticket);
                        refused.extend(queued.evicted);
                    }
                }
                Step::Pop => {
                    if let Some(ready) = queue.pop(now, &mut refused) {
                        prop_assert!(now + ms(50) < ready.request.deadline);
                        history.leave(ready.request.payload);
                    }
                }
                Step::Cancel(index) => {
                    let chosen = history.waiting.iter().nth(index).map(|(&id, &ticket)| (id, ticket));
                    if let Some((id, ticket)) = chosen {
                        prop_assert!(queue.cancel(ticket).is_some());
                        prop_assert!(queue.cancel(ticket).is_none());
                        history.leave(id);
                    }
                }
                Step::Wait(time_ms) => {
                    now += ms(time_ms);
                    queue.expire(now, &mut refused);
                    prop_assert!(queue.next_expiry().is_none_or(|time| time > now));
                }
            }
            for refusal in refused {
                prop_assert_eq!(refusal.code.outcome(), Outcome::NotRun);
                history.leave(refusal.request.payload);
            }
            prop_assert_eq!(queue.len(), history.waiting.len());
            prop_assert!(queue.len() <= LIMITS.total);
            let lengths: Vec<usize> = (0..6).map(|org| queue.organisation_len(&organisation(org))).collect();
            prop_assert!(lengths.iter().all(|&length| length <= LIMITS.per_organisation));
            prop_assert_eq!(lengths.iter().sum::<usize>(), queue.len());
        }
    }

    /// Guards against unequal service of organisations that always have waiting requests. It
    /// differs by at most one request, whatever the queue lengths are.
    #[test]
    fn backlogged_organisations_get_equal_service(
        lengths in proptest::collection::vec(5..20_usize, 2..5),
        pops in 1..10_usize,
    ) {
        let limits = QueueLimits { per_organisation: 20, total: 200 };
        let mut queue = FairQueue::new(limits);
        for (org, &length) in (0_u8..).zip(&lengths) {
            for payload in 0..length as u64 {
                queue.push(ms(0), request(org, 1, ms(9000), payload)).unwrap();
            }
        }

        let counts = served(&mut queue, pops.min(5 * lengths.len()));

        let least = if counts.len() < lengths.len() { 0 } else { *counts.values().min().unwrap() };
        prop_assert!(counts.values().max().unwrap() - least <= 1, "{:?}", counts);
    }
}
