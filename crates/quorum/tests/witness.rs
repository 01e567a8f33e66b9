//! State of one witness: recovery, generations, members, backend servers and table deltas.

mod common;

use std::time::Duration;

use common::{group, instance, life, ms, rng};
use proptest::prelude::*;
use radishpaddle_model::{Announcement, BackendState, Incarnation, Revision};
use radishpaddle_quorum::Generation;
use radishpaddle_quorum::claim::{
    AttemptId, ClaimKey, ClaimRequest, ClaimSettings, ClaimVote, Fingerprint, VoteRefusal,
};
use radishpaddle_quorum::group::RESTART_QUIET_PERIOD;
use radishpaddle_quorum::table::{Cursor, TableView, VersionedTable};
use radishpaddle_quorum::witness::{
    AnnounceOutcome, BACKEND_LEASE_DURATION, BackendKey, GenerationError, GenerationStart,
    InstanceState, MembershipView, PollRequest, RecoverRequest, TOMBSTONE_RETENTION, Witness,
    WitnessMessage,
};
use rand::Rng;

const WITNESSES: usize = 5;

fn restarted(number: usize, incarnation: u64, now: Duration) -> Witness {
    let peers = (0..WITNESSES).map(instance);
    Witness::new(
        life(number, incarnation),
        peers,
        ClaimSettings::default(),
        now,
    )
}

fn start(number: usize, incarnation: u64, generation: u64) -> GenerationStart {
    GenerationStart {
        group: group(generation, WITNESSES),
        witness: life(number, incarnation),
        revision: Revision(3),
        claims_lost: generation > 1,
    }
}

fn witness(number: usize) -> Witness {
    let mut witness = restarted(number, 1, ms(0));
    witness
        .start_generation(ms(0), &start(number, 1, 1))
        .expect("the first generation starts");
    witness
}

fn poll(number: usize, incarnation: u64, poll: u64, state: InstanceState) -> PollRequest {
    PollRequest {
        generation: Generation(1),
        life: life(number, incarnation),
        number: poll,
        address: format!("127.0.0.1:{}", 1000 + number)
            .parse()
            .expect("an address"),
        availability_zone: "a".parse().expect("a valid id"),
        state,
        applied: Revision(3),
        instances: Cursor::default(),
    }
}

fn announcement(incarnation: u64, state: BackendState, sequence: u64) -> Announcement {
    Announcement {
        service: "ledger".parse().expect("a valid id"),
        backend_server: "ledger-1".parse().expect("a valid id"),
        incarnation: Incarnation(incarnation),
        sequence,
        address: "127.0.0.1:9000".parse().expect("an address"),
        availability_zone: "a".parse().expect("a valid id"),
        slots: 6,
        state,
    }
}

fn backend_key() -> BackendKey {
    let announcement = announcement(1, BackendState::Serving, 1);
    BackendKey {
        service: announcement.service,
        backend_server: announcement.backend_server,
    }
}

fn claim(number: u64, entry: usize) -> ClaimRequest {
    ClaimRequest {
        generation: Generation(1),
        key: ClaimKey {
            organisation: "harbour".parse().expect("a valid id"),
            service: "ledger".parse().expect("a valid id"),
            idempotency_key: format!("key-{number}").into(),
        },
        attempt: AttemptId {
            life: life(10 + entry, 1),
            number,
        },
        fingerprint: Fingerprint([1; 32]),
    }
}

fn request(number: usize, incarnation: u64) -> RecoverRequest {
    RecoverRequest {
        witness: life(number, incarnation),
    }
}

fn state_of(witness: &Witness, key: &BackendKey) -> Option<BackendState> {
    let backends = witness.backends().expect("a serving witness");
    backends.get(key).map(|announcement| announcement.state)
}

/// Guards against a restarted witness that answers with empty state, or with the state of less than a majority.
#[test]
fn a_restarted_witness_answers_nothing_until_a_majority_has_sent_copies() {
    let peers: Vec<Witness> = (1..WITNESSES).map(witness).collect();
    let mut recovering = restarted(0, 2, ms(0));
    let mut rng = rng(1);

    assert!(
        recovering
            .tick(RESTART_QUIET_PERIOD.saturating_sub(ms(1)), &mut rng)
            .is_empty(),
        "requested copies too early"
    );
    let asked = recovering.tick(RESTART_QUIET_PERIOD, &mut rng);
    assert_eq!(asked.len(), WITNESSES - 1);
    assert!(
        asked
            .iter()
            .all(|(_, message)| matches!(message, WitnessMessage::Recover(_)))
    );
    for (count, peer) in peers.iter().enumerate() {
        assert_eq!(
            recovering
                .poll(ms(3000), &poll(7, 1, 1, InstanceState::Serving))
                .is_some(),
            count >= 3
        );
        assert_eq!(
            recovering.claim(ms(3000), &claim(1, 0)).is_some(),
            count >= 3
        );
        assert_eq!(
            recovering.copy_for(ms(3000), &request(4, 2)).is_some(),
            count >= 3
        );
        let copy = peer.copy_for(ms(3000), &request(0, 2)).expect("a copy");
        recovering.on_copy(ms(3000), copy.clone());
        recovering.on_copy(ms(3000), copy);
    }
    assert!(!recovering.is_recovering());
}

/// Guards against state copies that were sent for an earlier incarnation and may be older than the votes of that
/// incarnation.
#[test]
fn copies_for_an_earlier_life_are_ignored() {
    let mut recovering = restarted(0, 3, ms(0));
    for peer in (1..WITNESSES).map(witness) {
        let copy = peer.copy_for(ms(3000), &request(0, 2)).expect("a copy");
        recovering.on_copy(ms(3000), copy);
    }

    assert!(recovering.is_recovering());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(64) })]

    /// Guards against the loss of a claim or revision that a majority has stored, when witnesses restart in turn, up
    /// to two at a time.
    #[test]
    fn recovered_witnesses_keep_what_a_majority_stored(seed in any::<u64>()) {
        let mut rng = rng(seed);
        let mut witnesses: Vec<Witness> = (0..WITNESSES).map(witness).collect();
        let claims: Vec<ClaimRequest> = (0..10).map(|number| claim(number, 0)).collect();
        for request in &claims {
            let skipped = [rng.random_range(0..WITNESSES), rng.random_range(0..WITNESSES)];
            for (number, witness) in witnesses.iter_mut().enumerate() {
                if !skipped.contains(&number) {
                    witness.claim(ms(100), request);
                    witness.store(Generation(1), Revision(9));
                }
            }
        }
        let mut now = ms(1000);
        for incarnation in 2..8 {
            let lost = [rng.random_range(0..WITNESSES), rng.random_range(0..WITNESSES)];
            for number in lost {
                witnesses[number] = restarted(number, incarnation, now);
            }
            now += RESTART_QUIET_PERIOD;
            for number in lost {
                for peer in 0..WITNESSES {
                    if let Some(copy) = witnesses[peer].copy_for(now, &request(number, incarnation)) {
                        witnesses[number].on_copy(now, copy);
                    }
                }
                prop_assert!(!witnesses[number].is_recovering());
            }
        }

        let revisions: Vec<_> = witnesses.iter().filter_map(Witness::revision).collect();
        prop_assert!(revisions.iter().filter(|revision| **revision == Revision(9)).count() >= 3);
        for stored in &claims {
            let other = ClaimRequest { attempt: claim(99, 1).attempt, ..stored.clone() };
            let votes = witnesses.iter_mut().filter_map(|witness| witness.claim(now, &other));
            let granted = votes.filter(|reply| reply.vote == ClaimVote::Granted).count();
            prop_assert!(granted < 3, "{} was granted again", stored.key.idempotency_key);
        }
    }

    /// Guards against a reader of deltas that misses a change or a removal, also if an earlier delta is applied again.
    #[test]
    fn a_reader_of_deltas_sees_the_whole_table(seed in any::<u64>()) {
        let mut rng = rng(seed);
        let mut table = VersionedTable::new(Incarnation(1));
        let mut view = TableView::default();
        let mut late = None;
        for _ in 0..200 {
            let key = rng.random_range(0..20_u32);
            if rng.random_bool(0.7) {
                table.insert(key, rng.random::<u32>());
            } else {
                table.remove(&key);
            }
            if rng.random_bool(0.2) {
                let delta = table.delta_since(view.cursor());
                view.apply(&delta);
                late = late.or(Some(delta));
            }
            if rng.random_bool(0.1) && let Some(delta) = late.take() {
                view.apply(&delta);
            }
        }
        view.apply(&table.delta_since(view.cursor()));

        let expected = table.iter().map(|(key, value)| (*key, *value)).collect();
        prop_assert_eq!(view.entries(), &expected);
        prop_assert!(table.delta_since(view.cursor()).changed.is_empty());
    }
}

/// Guards against a generation that is started twice, or by a delayed message for an earlier incarnation.
#[test]
fn a_generation_starts_once_and_only_in_the_life_that_control_means() {
    let mut recovering = restarted(0, 2, ms(0));

    let delayed = recovering.start_generation(ms(0), &start(0, 1, 1));
    let first = recovering.start_generation(ms(0), &start(0, 2, 2));
    let again = recovering.start_generation(ms(0), &start(0, 2, 2));

    assert_eq!(delayed, Err(GenerationError::OtherIncarnation));
    assert_eq!(first, Ok(()));
    assert_eq!(again, Err(GenerationError::NotHigher(Generation(2))));
    assert_eq!(recovering.revision(), Some(Revision(3)));
}

/// Guards against an action that runs again because the claims of the previous generation were lost. A witness that
/// recovers into the new generation refuses claims for the remaining time.
#[test]
fn a_new_generation_refuses_claims_for_the_retention_time() {
    let mut witnesses: Vec<Witness> = (0..WITNESSES).map(witness).collect();
    for (number, witness) in witnesses.iter_mut().enumerate() {
        witness
            .start_generation(ms(1000), &start(number, 1, 2))
            .expect("a higher generation starts");
    }
    let mut recovered = restarted(0, 2, ms(100_000));
    for peer in &witnesses[1..] {
        recovered.on_copy(
            ms(110_000),
            peer.copy_for(ms(110_000), &request(0, 2)).expect("a copy"),
        );
    }
    witnesses[0] = recovered;
    let request = ClaimRequest {
        generation: Generation(2),
        ..claim(1, 0)
    };
    let old = claim(2, 0);

    for witness in &mut witnesses {
        let early = witness.claim(ms(600_999), &request).expect("a vote").vote;
        let later = witness.claim(ms(601_000), &request).expect("a vote").vote;

        assert_eq!(early, ClaimVote::Refused(VoteRefusal::NewGeneration));
        assert_eq!(later, ClaimVote::Granted);
        assert_eq!(
            witness.claim(ms(601_000), &old),
            None,
            "a claim of the previous generation was answered"
        );
    }
}

/// Guards against members that are lost or known to less than half of the witnesses, and against a leaving member that
/// counts as serving. Callers would be directed to them.
#[test]
fn members_are_those_that_half_of_the_witnesses_hear() {
    let mut witnesses: Vec<Witness> = (0..WITNESSES).map(witness).collect();
    let mut view = MembershipView::default();
    let mut rng = rng(1);
    for (number, witness) in witnesses.iter_mut().enumerate() {
        witness.poll(ms(100), &poll(7, 1, 1, InstanceState::Serving));
        witness.poll(ms(100), &poll(8, 1, 1, InstanceState::Serving));
        let state = if number == 4 {
            InstanceState::Leaving
        } else {
            InstanceState::Serving
        };
        witness.poll(ms(200), &poll(8, 1, 2, state));
        if number < 2 {
            witness.poll(ms(200), &poll(9, 1, 1, InstanceState::Serving));
        }
        witness.tick(ms(3150), &mut rng);
        let reply = witness
            .poll(ms(3150), &poll(0, 1, 1, InstanceState::Serving))
            .expect("an answer");
        view.apply(ms(3150), &instance(number), &reply.instances);
    }

    let members = view.instances(ms(3200));

    let known: Vec<_> = members
        .iter()
        .map(|(life, record)| (life.clone(), record.state))
        .collect();
    assert_eq!(
        known,
        [
            (life(0, 1), InstanceState::Serving),
            (life(8, 1), InstanceState::Leaving)
        ]
    );
    let lives = view
        .lives_since(ms(3150), &group(1, WITNESSES))
        .expect("a majority has answered");
    assert!(
        lives.contains(&life(7, 1)),
        "a lost member may still hold an allocation"
    );
    assert_eq!(view.lives_since(ms(3151), &group(1, WITNESSES)), None);
}

/// Guards against a delayed poll of an earlier incarnation that hides the restart of an instance.
#[test]
fn a_restarted_member_ends_its_earlier_life() {
    let mut witness = witness(0);
    witness.poll(ms(100), &poll(7, 2, 1, InstanceState::Serving));
    witness.poll(ms(200), &poll(7, 1, 90, InstanceState::Serving));

    let members = witness.instances().expect("a serving witness");

    assert!(members.is_alive(&life(7, 2)));
    assert!(!members.is_alive(&life(7, 1)));
}

/// Guards against an outdated announcement that makes a backend server that has left serve again (P9).
#[test]
fn an_older_announcement_does_not_bring_a_backend_server_back() {
    let mut witness = witness(0);
    let key = backend_key();
    witness.announce(ms(0), &announcement(1, BackendState::Serving, 1));
    witness.announce(ms(100), &announcement(1, BackendState::Left, 2));

    let late = witness.announce(ms(200), &announcement(1, BackendState::Serving, 3));
    let stale = witness.announce(ms(200), &announcement(0, BackendState::Serving, 9));

    assert_eq!(
        late,
        Some(AnnounceOutcome::Stored),
        "the sender need not repeat the announcement"
    );
    assert_eq!(stale, Some(AnnounceOutcome::Stale));
    assert_eq!(state_of(&witness, &key), Some(BackendState::Left));
    witness.announce(ms(300), &announcement(2, BackendState::Serving, 1));
    assert_eq!(
        state_of(&witness, &key),
        Some(BackendState::Serving),
        "a new incarnation may serve again"
    );
}

/// Guards against duplicated announcements that keep a dead backend server in rotation, and delayed ones that add a
/// removed backend server again.
#[test]
fn a_backend_server_that_does_not_renew_is_removed() {
    let mut witness = witness(0);
    let mut rng = rng(1);
    let old = announcement(1, BackendState::Serving, 1);
    witness.announce(ms(0), &old);
    witness.announce(ms(1000), &announcement(1, BackendState::Serving, 2));
    witness.announce(ms(5000), &old);

    witness.tick(BACKEND_LEASE_DURATION, &mut rng);
    assert!(state_of(&witness, &backend_key()).is_some());
    witness.tick(BACKEND_LEASE_DURATION + ms(1000), &mut rng);
    assert_eq!(state_of(&witness, &backend_key()), None);
    witness.announce(TOMBSTONE_RETENTION, &old);
    assert_eq!(
        state_of(&witness, &backend_key()),
        None,
        "a delayed announcement added it again"
    );
    witness.announce(
        TOMBSTONE_RETENTION,
        &announcement(1, BackendState::Serving, 3),
    );
    assert!(
        state_of(&witness, &backend_key()).is_some(),
        "a new announcement adds it again"
    );
}

/// Guards against the removal of a backend server before all readers know that it has left, and against deltas that
/// contain mere renewals.
#[test]
fn a_left_backend_server_is_kept_until_every_member_has_read_it() {
    let mut witness = witness(0);
    let mut rng = rng(1);
    witness.announce(ms(0), &announcement(1, BackendState::Serving, 1));
    witness.poll(ms(0), &poll(7, 1, 1, InstanceState::Serving));
    let read = witness
        .backend_delta(&life(7, 1), Cursor::default())
        .expect("a delta")
        .cursor;
    witness.announce(ms(1000), &announcement(1, BackendState::Serving, 2));
    assert!(
        witness
            .backend_delta(&life(7, 1), read)
            .expect("a delta")
            .changed
            .is_empty()
    );
    witness.announce(ms(2000), &announcement(1, BackendState::Left, 3));

    witness.poll(ms(9000), &poll(7, 1, 2, InstanceState::Serving));
    witness.tick(ms(9000), &mut rng);
    assert_eq!(state_of(&witness, &backend_key()), Some(BackendState::Left));
    let read = witness.backend_delta(&life(7, 1), read).expect("a delta");
    assert_eq!(read.changed.len(), 1);
    witness.backend_delta(&life(7, 1), read.cursor);
    witness.tick(ms(9100), &mut rng);
    assert_eq!(state_of(&witness, &backend_key()), None);
}
