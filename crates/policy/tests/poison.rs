//! Poison requests: the bound on crashed servers, and the size of the quarantine list.

use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_model::{Fingerprint, Incarnation, InstanceId};
use radishpaddle_policy::poison::{MAX_ENTRIES, MAX_TICKET_LIFETIME, QUARANTINE_LIFETIME};
use radishpaddle_policy::quarantine::{Admission, PoisonState};
use radishpaddle_policy::{
    CrashId, CrashWatch, PoisonRegistry, QuarantineView, ServerKey, TicketId, TicketOutcome,
    TicketResponse,
};

const INSTANCES: usize = 4;
const POISON: Fingerprint = Fingerprint([7; 16]);

fn instance(index: usize) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

/// Returns a crash of the server with this number; each test crash hits another server.
fn crash(number: usize) -> CrashId {
    CrashId {
        server: ServerKey(number as u64),
        incarnation: Incarnation(1),
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Step of an interleaving at one instance.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends the poison request.
    Arrive(usize),
    /// The copy that has been in flight longest crashes its server, and the instance detects it at
    /// once.
    Crash(usize),
    /// The instance reports its crashes to the leader and gets the list.
    Sync(usize),
    /// The leader is replaced by one without state; the instances report their lists.
    ChangeLeader,
    /// The instance is lost with its state.
    Lose(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..INSTANCES;
    prop_oneof![
        6 => index.clone().prop_map(Step::Arrive),
        4 => index.clone().prop_map(Step::Crash),
        4 => index.clone().prop_map(Step::Sync),
        1 => Just(Step::ChangeLeader),
        1 => index.prop_map(Step::Lose),
        2 => (1_u64..20).prop_map(Step::Wait),
    ]
}

#[derive(Default)]
struct Entry {
    view: QuarantineView,
    /// Ticket of each copy, and the time at which the copy is cancelled.
    in_flight: Vec<(Option<TicketId>, Duration)>,
    unreported: Vec<(Option<TicketId>, CrashId)>,
}

struct Fleet {
    now: Duration,
    epoch: u64,
    leader: PoisonRegistry,
    entries: Vec<Entry>,
    crashes: usize,
    /// Copies that were dispatched without a ticket before the instance knew of a crash.
    copies_without_ticket: usize,
}

impl Fleet {
    fn new() -> Self {
        Self {
            now: seconds(1),
            epoch: 1,
            leader: PoisonRegistry::new(1, seconds(1)),
            entries: (0..INSTANCES).map(|_| Entry::default()).collect(),
            crashes: 0,
            copies_without_ticket: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Arrive(index) => self.arrive(index),
            Step::Crash(index) => self.crash(index),
            Step::Sync(index) => self.sync(index),
            Step::ChangeLeader => self.change_leader(),
            Step::Lose(index) => self.lose(index),
            Step::Wait(count) => self.now += seconds(count),
        }
    }

    fn arrive(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        let ticket = match entry.view.admit(&POISON, self.now) {
            Admission::Run => None,
            Admission::Refuse { .. } => return,
            Admission::NeedsTicket => {
                let holder = instance(index);
                match self
                    .leader
                    .request_ticket(POISON, &holder, seconds(5), self.now)
                {
                    TicketResponse::Granted { ticket, .. } => Some(ticket),
                    TicketResponse::NotSuspect => None,
                    TicketResponse::Busy { .. } | TicketResponse::Refused { .. } => return,
                }
            }
        };
        self.copies_without_ticket += usize::from(ticket.is_none());
        entry.in_flight.push((ticket, self.now + seconds(5)));
    }

    fn crash(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        entry.in_flight.retain(|(_, until)| self.now < *until);
        if entry.in_flight.is_empty() {
            return;
        }
        let (ticket, _) = entry.in_flight.remove(0);
        self.crashes += 1;
        let crash = crash(self.crashes);
        entry.view.mark_suspect(POISON, crash, self.now);
        entry.unreported.push((ticket, crash));
        // The crash is reported before the caller is answered, so before the request is resent.
        self.sync(index);
        for other in 0..INSTANCES {
            self.sync(other);
        }
    }

    fn sync(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        self.leader.adopt(&entry.view.entries(self.now), self.now);
        for (ticket, crash) in entry.unreported.drain(..) {
            match ticket {
                Some(ticket) => {
                    let outcome = TicketOutcome::Crashed { crash };
                    self.leader.finish_ticket(POISON, ticket, outcome, self.now);
                }
                None => {
                    self.leader.crashed(POISON, crash, self.now);
                }
            }
        }
        self.leader.expire(self.now);
        entry.view.replace(&self.leader.entries(self.now), self.now);
    }

    fn change_leader(&mut self) {
        self.epoch += 1;
        self.leader = PoisonRegistry::new(self.epoch, self.now);
        for index in 0..INSTANCES {
            self.sync(index);
        }
    }

    fn lose(&mut self, index: usize) {
        // The requests of a lost instance are cancelled by the closed connections.
        self.entries[index] = Entry::default();
        self.sync(index);
    }
}

proptest! {
    /// Guards against a request that crashes more servers than two plus the copies that were in
    /// flight without a ticket, under any interleaving with leader changes and lost instances.
    #[test]
    fn one_request_costs_two_servers_plus_copies(steps in prop::collection::vec(step(), 1..200)) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(step);
            // The bound applies to one quarantine, which ends after ten minutes.
            if fleet.now > QUARANTINE_LIFETIME {
                break;
            }
            let bound = 2 + fleet.copies_without_ticket.saturating_sub(1);
            prop_assert!(fleet.crashes <= bound, "{} crashes", fleet.crashes);
        }
    }
}

/// Guards against a poison request that is resent repeatedly, one copy at a time.
#[test]
fn resent_poison_request_costs_two_servers() {
    let mut fleet = Fleet::new();

    for step in 0..100 {
        fleet.apply(Step::Arrive(step % INSTANCES));
        fleet.apply(Step::Crash(step % INSTANCES));
        fleet.apply(Step::Wait(1));
    }

    assert_eq!(fleet.crashes, 2);
}

/// Guards against a request that is refused indefinitely.
#[test]
fn quarantine_ends_after_ten_minutes() {
    let mut registry = PoisonRegistry::new(1, Duration::ZERO);
    registry.crashed(POISON, crash(1), seconds(100));
    assert_eq!(
        registry.crashed(POISON, crash(2), seconds(110)),
        PoisonState::Quarantined
    );
    assert!(registry.is_charged(&POISON));

    let mut view = QuarantineView::new();
    view.replace(&registry.entries(seconds(110)), seconds(110));

    let before = view.admit(&POISON, seconds(709));
    assert!(matches!(before, Admission::Refuse { .. }));
    assert_eq!(view.admit(&POISON, seconds(711)), Admission::Run);
}

/// Guards against an innocent request that stays suspect because it was in flight at a crash.
#[test]
fn answered_request_is_no_longer_suspect() {
    let mut registry = PoisonRegistry::new(1, Duration::ZERO);
    registry.crashed(POISON, crash(1), seconds(100));
    let granted = registry.request_ticket(POISON, &instance(1), seconds(5), seconds(101));
    let TicketResponse::Granted { ticket, .. } = granted else {
        panic!("{granted:?}");
    };

    let other = registry.request_ticket(POISON, &instance(2), seconds(5), seconds(101));
    let state = registry.finish_ticket(POISON, ticket, TicketOutcome::Answered, seconds(102));

    assert!(matches!(other, TicketResponse::Busy { .. }), "{other:?}");
    assert_eq!(state, None);
    assert!(registry.entries(seconds(102)).is_empty());
}

/// Guards against the quarantine of a popular request because one crash hit several of its copies,
/// or was reported by several instances, or by one instance to two leaders.
#[test]
fn one_crash_counts_once() {
    let mut registry = PoisonRegistry::new(1, Duration::ZERO);
    let mut view = QuarantineView::new();
    view.mark_suspect(POISON, crash(1), seconds(100));

    registry.adopt(&view.entries(seconds(100)), seconds(100));
    registry.crashed(POISON, crash(1), seconds(100));
    let state = registry.crashed(POISON, crash(1), seconds(101));

    assert_eq!(state, PoisonState::Suspect);
    registry.adopt(&view.entries(seconds(101)), seconds(101));
    assert!(!registry.is_charged(&POISON));
}

/// Guards against a second ticket while the holder of the first is lost and may have crashed a
/// server.
#[test]
fn ticket_without_result_counts_as_crash() {
    let mut registry = PoisonRegistry::new(1, Duration::ZERO);
    registry.crashed(POISON, crash(1), seconds(100));
    registry.request_ticket(POISON, &instance(1), seconds(5), seconds(101));

    let later = registry.request_ticket(POISON, &instance(2), seconds(5), seconds(120));

    assert!(matches!(later, TicketResponse::Refused { .. }), "{later:?}");
}

/// Guards against two outstanding tickets for one suspect from two leaders.
#[test]
fn new_leader_grants_no_ticket_while_an_old_one_may_be_out() {
    let mut old = PoisonRegistry::new(1, Duration::ZERO);
    old.crashed(POISON, crash(1), seconds(100));
    old.request_ticket(POISON, &instance(1), seconds(30), seconds(101));

    let start = seconds(102);
    let mut new = PoisonRegistry::new(2, start);
    new.adopt(&old.entries(start), start);
    let early = new.request_ticket(POISON, &instance(2), seconds(5), start);
    let late = new.request_ticket(
        POISON,
        &instance(2),
        seconds(5),
        start + MAX_TICKET_LIFETIME,
    );

    assert!(matches!(early, TicketResponse::Busy { .. }), "{early:?}");
    assert!(matches!(late, TicketResponse::Granted { .. }), "{late:?}");
}

/// Guards against a list that grows with the number of crashing requests, and against many suspects
/// that evict a quarantined request.
#[test]
fn list_is_bounded_and_keeps_quarantined_requests() {
    let mut registry = PoisonRegistry::new(1, Duration::ZERO);
    registry.crashed(POISON, crash(1), seconds(1));
    registry.crashed(POISON, crash(2), seconds(1));

    for number in 0..2 * MAX_ENTRIES {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&number.to_le_bytes());
        registry.crashed(Fingerprint(bytes), crash(1), seconds(2));
    }

    assert!(registry.entries(seconds(3)).len() <= MAX_ENTRIES);
    assert!(registry.is_charged(&POISON));
}

/// Guards against a lost connection that is mistaken for a crash, and against a crash that is
/// missed.
#[test]
fn crash_is_a_lost_connection_with_a_refusal_or_a_new_incarnation() {
    let (server, other) = (ServerKey(1), ServerKey(2));
    let mut watch = CrashWatch::new();
    watch.record_lost(server, Incarnation(1), POISON, None, seconds(1));

    assert_eq!(watch.record_refused(other, seconds(2)), None);
    assert_eq!(
        watch.record_announced(server, Incarnation(1), seconds(2)),
        None
    );
    let crash = watch
        .record_announced(server, Incarnation(2), seconds(3))
        .unwrap();
    assert_eq!(crash.requests, vec![(POISON, None)]);
    assert_eq!(watch.record_refused(server, seconds(4)), None);
}
