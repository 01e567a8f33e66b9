//! Protocol rules that random schedules rarely exercise, tested on a single replica with explicit
//! messages.

use std::sync::Arc;

use radishpaddle_consensus::{
    Body, Config, Entry, HardState, Member, MemberRole, Membership, MembershipChange, Message,
    Payload, PersistedState, ProposeError, ReadId, ReadResult, Ready, Replica, ReplicaId, Role,
    Snapshot, SnapshotMeta,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const LOCAL: ReplicaId = ReplicaId(1);
const SECOND: ReplicaId = ReplicaId(2);
const THIRD: ReplicaId = ReplicaId(3);

fn data_entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Data(Arc::from(b"data".as_slice()));
    Entry {
        index,
        term,
        payload,
    }
}

/// Creates one of three voters in term 2, with the given entries after index 1.
fn replica(entries: Vec<Entry>) -> Replica {
    replica_with(Config::default(), entries)
}

fn replica_with(config: Config, entries: Vec<Entry>) -> Replica {
    let member = |id| {
        let address = Arc::from("address");
        let role = MemberRole::Voter;
        (id, Member { role, address })
    };
    let membership = Membership {
        group: 9,
        members: [LOCAL, SECOND, THIRD].map(member).into(),
    };
    let meta = SnapshotMeta {
        index: 1,
        term: 1,
        membership,
        membership_index: 1,
    };
    let hard_state = HardState {
        replica_id: LOCAL,
        term: 2,
        voted_for: None,
    };
    let state = PersistedState {
        hard_state,
        snapshot: Some(Snapshot {
            meta,
            data: Arc::from([]),
        }),
        entries,
    };
    Replica::new(config, state, SmallRng::seed_from_u64(1)).unwrap()
}

fn receive(replica: &mut Replica, from: ReplicaId, term: u64, body: Body) {
    replica.receive(Message {
        from,
        to: LOCAL,
        group: 9,
        term,
        body,
    });
}

fn sync_all(replica: &mut Replica) -> Vec<Ready> {
    let mut all = Vec::new();
    while let Some(ready) = replica.take_ready() {
        replica.confirm_synced(ready.number);
        all.push(ready);
    }
    all
}

fn campaign(replica: &mut Replica, term: u64) {
    while replica.role() == Role::Follower {
        replica.tick();
    }
    receive(
        replica,
        SECOND,
        term,
        Body::PreVoteResponse { granted: true },
    );
    assert_eq!(replica.role(), Role::Candidate);
}

fn acknowledge(replica: &mut Replica, match_index: u64, read_round: u64) {
    let term = replica.term();
    receive(
        replica,
        SECOND,
        term,
        Body::Accepted {
            match_index,
            read_round,
        },
    );
}

fn elect(replica: &mut Replica) {
    elect_in(replica, 3);
}

fn elect_in(replica: &mut Replica, term: u64) {
    campaign(replica, term);
    sync_all(replica);
    receive(replica, SECOND, term, Body::VoteResponse { granted: true });
    assert_eq!(replica.role(), Role::Leader);
}

fn vote(last_index: u64, last_term: u64) -> Body {
    Body::VoteRequest {
        last_index,
        last_term,
        membership_index: 1,
        transfer: false,
    }
}

fn count_bodies(messages: &[Message], matches: fn(&Body) -> bool) -> usize {
    let bodies = messages.iter().map(|message| &message.body);
    bodies.filter(|body| matches(body)).count()
}

/// Guards against a vote that is lost in a crash after it was sent.
#[test]
fn vote_is_sent_after_it_is_durable() {
    let mut replica = replica(Vec::new());
    receive(&mut replica, SECOND, 5, vote(9, 4));

    let ready = replica.take_ready().unwrap();

    let grants_vote = |body: &Body| matches!(body, Body::VoteResponse { granted: true });
    assert_eq!(ready.writes.hard_state.unwrap().voted_for, Some(SECOND));
    assert_eq!(count_bodies(&ready.messages, grants_vote), 0);
    assert_eq!(count_bodies(&ready.messages_after_sync, grants_vote), 1);
}

/// Guards against a candidate that requests votes in a term that it may lose in a crash.
#[test]
fn vote_request_is_sent_after_the_term_is_durable() {
    let mut replica = replica(Vec::new());
    campaign(&mut replica, 3);

    let ready = replica.take_ready().unwrap();

    let is_request = |body: &Body| matches!(body, Body::VoteRequest { .. });
    assert_eq!(ready.writes.hard_state.unwrap().term, 3);
    assert_eq!(count_bodies(&ready.messages, is_request), 0);
    assert_eq!(count_bodies(&ready.messages_after_sync, is_request), 2);
}

/// Guards against a candidate that becomes leader with its own vote before that vote is durable.
#[test]
fn own_vote_counts_after_it_is_durable() {
    let mut replica = replica(Vec::new());
    campaign(&mut replica, 3);
    let ready = replica.take_ready().unwrap();
    receive(
        &mut replica,
        SECOND,
        3,
        Body::VoteResponse { granted: true },
    );
    assert_eq!(replica.role(), Role::Candidate);

    replica.confirm_synced(ready.number);

    assert_eq!(replica.role(), Role::Leader);
}

/// Guards against an acknowledgement of entries that may be lost in a crash.
#[test]
fn entries_are_acknowledged_after_they_are_durable() {
    let mut replica = replica(Vec::new());
    let append = Body::AppendEntries {
        prev_index: 1,
        prev_term: 1,
        commit_index: 2,
        read_round: 0,
        entries: vec![data_entry(2, 2)],
    };
    receive(&mut replica, SECOND, 2, append);

    let ready = replica.take_ready().unwrap();

    let accepts_entry = |body: &Body| matches!(body, Body::Accepted { match_index: 2, .. });
    assert_eq!(ready.writes.entries, [data_entry(2, 2)]);
    assert_eq!(count_bodies(&ready.messages, accepts_entry), 0);
    assert_eq!(count_bodies(&ready.messages_after_sync, accepts_entry), 1);
    assert_eq!(
        ready.committed,
        [],
        "an entry that is not durable is applied"
    );
}

/// Guards against a gap in the log after a malformed message.
#[test]
fn entries_that_do_not_follow_are_ignored() {
    let mut replica = replica(Vec::new());
    let append = Body::AppendEntries {
        prev_index: 1,
        prev_term: 1,
        commit_index: 1,
        read_round: 0,
        entries: vec![data_entry(3, 2)],
    };
    receive(&mut replica, SECOND, 2, append);

    assert_eq!(replica.last_index(), 1);
}

/// Guards against two votes in one term.
#[test]
fn second_candidate_of_a_term_gets_no_vote() {
    let mut replica = replica(Vec::new());
    receive(&mut replica, SECOND, 5, vote(9, 4));
    sync_all(&mut replica);

    receive(&mut replica, THIRD, 5, vote(9, 4));

    let ready = replica.take_ready().unwrap();
    let refusal = Body::VoteResponse { granted: false };
    assert_eq!(ready.messages[0].body, refusal);
}

/// Guards against committing an entry of an earlier term because a quorum holds it (Raft paper,
/// figure 8): a later leader could still replace it.
#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut replica = replica(vec![data_entry(2, 2)]);
    elect(&mut replica);
    sync_all(&mut replica);

    acknowledge(&mut replica, 2, 0);
    assert_eq!(replica.commit_index(), 1);
    acknowledge(&mut replica, 3, 0);
    assert_eq!(replica.commit_index(), 3);
}

/// Guards against a leader that counts its own copy of an entry before that copy is durable.
#[test]
fn own_entry_counts_after_it_is_durable() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    let ready = replica.take_ready().unwrap();
    acknowledge(&mut replica, 2, 0);
    assert_eq!(replica.commit_index(), 1);

    replica.confirm_synced(ready.number);

    assert_eq!(replica.commit_index(), 2);
}

/// Guards against a stale read on a leader that does not know that it was replaced.
#[test]
fn read_waits_for_a_quorum_after_it_was_asked() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    sync_all(&mut replica);
    acknowledge(&mut replica, 2, 0);
    replica.read(ReadId(7)).unwrap();
    sync_all(&mut replica);

    acknowledge(&mut replica, 2, 0);
    let early = sync_all(&mut replica);
    acknowledge(&mut replica, 2, 1);
    let late = sync_all(&mut replica);

    let reads = |all: &[Ready]| -> Vec<ReadResult> {
        all.iter().flat_map(|ready| ready.reads.clone()).collect()
    };
    assert_eq!(reads(&early), []);
    assert_eq!(reads(&late), [ReadResult::Confirmed(ReadId(7))]);
}

/// Guards against a leader that keeps its role although it gets no response from a quorum.
#[test]
fn leader_without_a_quorum_steps_down() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);

    for _ in 0..Config::default().election_ticks {
        replica.tick();
    }

    assert_ne!(replica.role(), Role::Leader);
    assert!(replica.propose(Arc::from([])).is_err());
}

/// Guards against learners that are promoted, and a quorum that grows, because a new leader takes silent members for
/// live ones.
#[test]
fn a_new_leader_counts_only_members_that_have_responded() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    sync_all(&mut replica);
    let before = replica.responsive_member_count();
    acknowledge(&mut replica, 2, 0);
    let after = replica.responsive_member_count();
    let health = replica.group_health().unwrap();

    assert_eq!(before, 1, "no member has responded yet");
    assert_eq!(after, 2);
    assert_eq!(health.silent, [THIRD]);
    assert_eq!(health.tolerated_losses, 0);
}

/// Guards against two memberships whose quorums do not overlap: a new leader may not know yet
/// whether the change of an earlier leader is committed.
#[test]
fn new_leader_changes_no_members_before_it_has_committed() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    let change = MembershipChange::AddLearner {
        id: ReplicaId(4),
        address: Arc::from("address"),
    };

    let early = replica.propose_membership(&change);
    sync_all(&mut replica);
    acknowledge(&mut replica, 2, 0);
    let late = replica.propose_membership(&change);
    let second = replica.propose_membership(&MembershipChange::Remove(THIRD));

    assert_eq!(early, Err(ProposeError::ChangePending));
    assert_eq!(late, Ok(3));
    let match_index: Vec<_> = replica
        .peers()
        .iter()
        .map(|peer| peer.match_index)
        .collect();
    assert_eq!(match_index, [2, 0, 0]);
    assert_eq!(second, Err(ProposeError::ChangePending));
}

/// Guards against an acknowledgement of a snapshot that is not durable: the snapshot arrives during
/// a write and would be lost in a crash.
#[test]
fn snapshot_is_acknowledged_after_it_is_durable() {
    let mut replica = replica(Vec::new());
    let append = |prev_index, prev_term, entries| Body::AppendEntries {
        prev_index,
        prev_term,
        commit_index: 1,
        read_round: 0,
        entries,
    };
    receive(
        &mut replica,
        SECOND,
        2,
        append(1, 1, vec![data_entry(2, 2)]),
    );
    let first = replica.take_ready().unwrap();
    let meta = SnapshotMeta {
        index: 10,
        term: 2,
        membership: replica.membership().clone(),
        membership_index: 1,
    };
    let chunk = Body::SnapshotChunk {
        meta,
        total_bytes: 4,
        offset: 0,
        read_round: 0,
        data: Arc::from(b"data".as_slice()),
    };
    receive(&mut replica, SECOND, 2, chunk);
    replica.confirm_synced(first.number);
    receive(&mut replica, SECOND, 2, append(10, 2, Vec::new()));

    let ready = replica.take_ready().unwrap();
    let accepts = |body: &Body| {
        matches!(
            body,
            Body::Accepted {
                match_index: 10,
                ..
            }
        )
    };
    assert_eq!(ready.writes.snapshot.unwrap().meta.index, 10);
    assert_eq!(ready.snapshot_to_install, None);
    assert_eq!(count_bodies(&ready.messages, accepts), 0);
    assert_eq!(count_bodies(&ready.messages_after_sync, accepts), 1);
    replica.confirm_synced(ready.number);
    let installed = replica.take_ready().unwrap().snapshot_to_install.unwrap();
    assert_eq!(installed.meta.index, 10);
}

/// Guards against a leader whose disk hangs: it would keep its leadership through heartbeats but
/// apply no entries.
#[test]
fn leader_with_a_stalled_disk_hands_over() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    sync_all(&mut replica);
    replica.propose(Arc::from([])).unwrap();
    let stalled = replica.take_ready().unwrap();
    let process_heartbeat_response = |replica: &mut Replica| {
        replica.tick();
        acknowledge(replica, 3, 0);
        let ready = replica.take_ready();
        ready.is_some_and(|ready| !ready.messages_after_sync.is_empty())
    };

    for _ in 0..=2 * Config::default().election_ticks {
        process_heartbeat_response(&mut replica);
    }
    assert_ne!(replica.role(), Role::Leader);

    for _ in 0..100 {
        assert!(!process_heartbeat_response(&mut replica));
        assert_eq!(
            replica.role(),
            Role::Follower,
            "a replica with a stalled disk starts an election"
        );
    }
    replica.confirm_synced(stalled.number);
    elect_in(&mut replica, 4);
}

/// Guards against a log that grows without bound, and against one that stays full after a snapshot
/// because of the entries retained for slow followers.
#[test]
fn full_log_takes_proposals_again_after_a_snapshot() {
    let config = Config {
        max_log_bytes: 1 << 20,
        ..Config::default()
    };
    let mut replica = replica_with(config, Vec::new());
    elect(&mut replica);
    let payload: Arc<[u8]> = vec![0; 100 << 10].into();
    while replica.propose(Arc::clone(&payload)).is_ok() {
        sync_all(&mut replica);
        let match_index = replica.last_index();
        acknowledge(&mut replica, match_index, 0);
        assert!(replica.log_bytes() < 2 << 20);
    }
    sync_all(&mut replica);

    let index = replica.applied_index();
    let snapshot = replica.make_snapshot(index, Arc::from([])).unwrap();
    replica.compact(snapshot);

    assert!(replica.propose(payload).is_ok());
}

/// Guards against a replica with an empty log that votes in an election, which would happen if its
/// disk was emptied but its identity was kept.
#[test]
fn replica_that_has_not_joined_does_not_vote() {
    let rng = SmallRng::seed_from_u64(1);
    let state = PersistedState::empty(LOCAL);
    let mut replica = Replica::new(Config::default(), state, rng).unwrap();

    receive(&mut replica, SECOND, 5, vote(9, 4));
    for _ in 0..100 {
        replica.tick();
    }

    assert_eq!(replica.take_ready(), None);
}

/// Guards against an election that takes a further timeout because one request for a vote was lost. After a loss the
/// group may need the vote of every live voter.
#[test]
fn lost_vote_request_is_repeated_within_the_election() {
    let mut replica = replica(Vec::new());
    campaign(&mut replica, 3);
    sync_all(&mut replica);

    let mut messages = Vec::new();
    for _ in 0..6 {
        replica.tick();
        let ready = sync_all(&mut replica);
        messages.extend(ready.into_iter().flat_map(|ready| ready.messages));
    }

    assert_eq!(replica.term(), 3);
    let requests = |body: &Body| matches!(body, Body::VoteRequest { .. });
    assert!(count_bodies(&messages, requests) >= 2);
}
