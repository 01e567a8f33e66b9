//! Rules of the protocol that random schedules seldom reach, on one replica driven by hand.

use std::sync::Arc;

use radishpaddle_consensus::{
    Body, Config, Entry, HardState, Member, MemberRole, Membership, MembershipChange, Message,
    Payload, PersistedState, ProposeError, ReadId, ReadResult, Ready, Replica, ReplicaId, Role,
    Snapshot, SnapshotMeta,
};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const ME: ReplicaId = ReplicaId(1);
const SECOND: ReplicaId = ReplicaId(2);
const THIRD: ReplicaId = ReplicaId(3);

fn data(index: u64, term: u64) -> Entry {
    let payload = Payload::Data(Arc::from(b"data".as_slice()));
    Entry {
        index,
        term,
        payload,
    }
}

/// One of three voters in term 2, with the given entries behind index 1.
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
        members: [ME, SECOND, THIRD].map(member).into(),
    };
    let meta = SnapshotMeta {
        index: 1,
        term: 1,
        membership,
        membership_index: 1,
    };
    let hard_state = HardState {
        replica_id: ME,
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
        to: ME,
        group: 9,
        term,
        body,
    });
}

fn sync_all(replica: &mut Replica) -> Vec<Ready> {
    let mut all = Vec::new();
    while let Some(ready) = replica.take_ready() {
        replica.synced(ready.number);
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

fn accept(replica: &mut Replica, matched: u64, round: u64) {
    let term = replica.term();
    receive(replica, SECOND, term, Body::Accepted { matched, round });
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
    Body::Vote {
        last_index,
        last_term,
        membership_index: 1,
        transfer: false,
    }
}

fn kinds(messages: &[Message], matches: fn(&Body) -> bool) -> usize {
    let bodies = messages.iter().map(|message| &message.body);
    bodies.filter(|body| matches(body)).count()
}

/// Guards against a vote that a crash forgets after it was sent.
#[test]
fn vote_is_sent_after_it_is_durable() {
    let mut replica = replica(Vec::new());
    receive(&mut replica, SECOND, 5, vote(9, 4));

    let ready = replica.take_ready().unwrap();

    let is_vote = |body: &Body| matches!(body, Body::VoteResponse { granted: true });
    assert_eq!(ready.writes.hard_state.unwrap().voted_for, Some(SECOND));
    assert_eq!(kinds(&ready.messages, is_vote), 0);
    assert_eq!(kinds(&ready.messages_after_sync, is_vote), 1);
}

/// Guards against a candidate that asks for votes in a term that it may forget.
#[test]
fn vote_request_is_sent_after_the_term_is_durable() {
    let mut replica = replica(Vec::new());
    campaign(&mut replica, 3);

    let ready = replica.take_ready().unwrap();

    let is_request = |body: &Body| matches!(body, Body::Vote { .. });
    assert_eq!(ready.writes.hard_state.unwrap().term, 3);
    assert_eq!(kinds(&ready.messages, is_request), 0);
    assert_eq!(kinds(&ready.messages_after_sync, is_request), 2);
}

/// Guards against a candidate that leads on a vote of its own that is not durable.
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

    replica.synced(ready.number);

    assert_eq!(replica.role(), Role::Leader);
}

/// Guards against an acknowledgement of entries that a crash loses.
#[test]
fn entries_are_acknowledged_after_they_are_durable() {
    let mut replica = replica(Vec::new());
    let append = Body::Append {
        prev_index: 1,
        prev_term: 1,
        commit: 2,
        round: 0,
        entries: vec![data(2, 2)],
    };
    receive(&mut replica, SECOND, 2, append);

    let ready = replica.take_ready().unwrap();

    let accepts_entry = |body: &Body| matches!(body, Body::Accepted { matched: 2, .. });
    assert_eq!(ready.writes.entries, [data(2, 2)]);
    assert_eq!(kinds(&ready.messages, accepts_entry), 0);
    assert_eq!(kinds(&ready.messages_after_sync, accepts_entry), 1);
    assert_eq!(
        ready.committed,
        [],
        "an entry that is not durable is applied"
    );
}

/// Guards against a hole in the log after a malformed message.
#[test]
fn entries_that_do_not_follow_are_ignored() {
    let mut replica = replica(Vec::new());
    let append = Body::Append {
        prev_index: 1,
        prev_term: 1,
        commit: 1,
        round: 0,
        entries: vec![data(3, 2)],
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

/// Guards against counting replicas for an entry of an earlier term (Raft paper, figure 8): a
/// later leader could still replace it.
#[test]
fn entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut replica = replica(vec![data(2, 2)]);
    elect(&mut replica);
    sync_all(&mut replica);

    accept(&mut replica, 2, 0);
    assert_eq!(replica.commit_index(), 1);
    accept(&mut replica, 3, 0);
    assert_eq!(replica.commit_index(), 3);
}

/// Guards against a leader that commits with its own copy before that copy is durable.
#[test]
fn own_entry_counts_after_it_is_durable() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    let ready = replica.take_ready().unwrap();
    accept(&mut replica, 2, 0);
    assert_eq!(replica.commit_index(), 1);

    replica.synced(ready.number);

    assert_eq!(replica.commit_index(), 2);
}

/// Guards against a read by a leader that was replaced without noticing.
#[test]
fn read_waits_for_a_quorum_after_it_was_asked() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    sync_all(&mut replica);
    accept(&mut replica, 2, 0);
    replica.read(ReadId(7)).unwrap();
    sync_all(&mut replica);

    accept(&mut replica, 2, 0);
    let early = sync_all(&mut replica);
    accept(&mut replica, 2, 1);
    let late = sync_all(&mut replica);

    let reads = |all: &[Ready]| -> Vec<ReadResult> {
        all.iter().flat_map(|ready| ready.reads.clone()).collect()
    };
    assert_eq!(reads(&early), []);
    assert_eq!(reads(&late), [ReadResult::Confirmed(ReadId(7))]);
}

/// Guards against a leader that goes on for a group that it cannot hear.
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

/// Guards against two voting sets without a common member: a new leader may not know yet whether
/// the change of an earlier leader is committed.
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
    accept(&mut replica, 2, 0);
    let late = replica.propose_membership(&change);
    let second = replica.propose_membership(&MembershipChange::Remove(THIRD));

    assert_eq!(early, Err(ProposeError::ChangePending));
    assert_eq!(late, Ok(3));
    let matched: Vec<_> = replica.peers().iter().map(|peer| peer.matched).collect();
    assert_eq!(matched, [2, 0, 0]);
    assert_eq!(second, Err(ProposeError::ChangePending));
}

/// Guards against an acknowledgement of a snapshot that arrives during a write and is lost in a
/// crash.
#[test]
fn snapshot_is_acknowledged_after_it_is_durable() {
    let mut replica = replica(Vec::new());
    let append = |prev_index, prev_term, entries| Body::Append {
        prev_index,
        prev_term,
        commit: 1,
        round: 0,
        entries,
    };
    receive(&mut replica, SECOND, 2, append(1, 1, vec![data(2, 2)]));
    let first = replica.take_ready().unwrap();
    let meta = SnapshotMeta {
        index: 10,
        term: 2,
        membership: replica.membership().clone(),
        membership_index: 1,
    };
    let chunk = Body::Chunk {
        meta,
        total_bytes: 4,
        offset: 0,
        round: 0,
        data: Arc::from(b"data".as_slice()),
    };
    receive(&mut replica, SECOND, 2, chunk);
    replica.synced(first.number);
    receive(&mut replica, SECOND, 2, append(10, 2, Vec::new()));

    let ready = replica.take_ready().unwrap();
    let accepts = |body: &Body| matches!(body, Body::Accepted { matched: 10, .. });
    assert_eq!(ready.writes.snapshot.unwrap().meta.index, 10);
    assert_eq!(ready.install, None);
    assert_eq!(kinds(&ready.messages, accepts), 0);
    assert_eq!(kinds(&ready.messages_after_sync, accepts), 1);
    replica.synced(ready.number);
    let installed = replica.take_ready().unwrap().install.unwrap();
    assert_eq!(installed.meta.index, 10);
}

/// Guards against a leader whose disk hangs: it answers heartbeats and applies nothing.
#[test]
fn leader_with_a_stalled_disk_hands_over() {
    let mut replica = replica(Vec::new());
    elect(&mut replica);
    sync_all(&mut replica);
    replica.propose(Arc::from([])).unwrap();
    let stalled = replica.take_ready().unwrap();
    let answer_heartbeats = |replica: &mut Replica| {
        replica.tick();
        accept(replica, 3, 0);
        let ready = replica.take_ready();
        ready.is_some_and(|ready| !ready.messages_after_sync.is_empty())
    };

    for _ in 0..=2 * Config::default().election_ticks {
        answer_heartbeats(&mut replica);
    }
    assert_ne!(replica.role(), Role::Leader);

    for _ in 0..100 {
        assert!(!answer_heartbeats(&mut replica));
        assert_eq!(replica.role(), Role::Follower, "it campaigns");
    }
    replica.synced(stalled.number);
    elect_in(&mut replica, 4);
}

/// Guards against a log that grows without bound, and against one that stays full after a snapshot
/// because of the entries kept for slow followers.
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
        let matched = replica.last_index();
        accept(&mut replica, matched, 0);
        assert!(replica.log_bytes() < 2 << 20);
    }
    sync_all(&mut replica);

    let index = replica.applied_index();
    let snapshot = replica.make_snapshot(index, Arc::from([])).unwrap();
    replica.compact(snapshot);

    assert!(replica.propose(payload).is_ok());
}

/// Guards against a replica without a log that takes part in an election, as one would whose disk
/// was emptied under its old identity.
#[test]
fn replica_that_has_not_joined_does_not_vote() {
    let rng = SmallRng::seed_from_u64(1);
    let state = PersistedState::empty(ME);
    let mut replica = Replica::new(Config::default(), state, rng).unwrap();

    receive(&mut replica, SECOND, 5, vote(9, 4));
    for _ in 0..100 {
        replica.tick();
    }

    assert_eq!(replica.take_ready(), None);
}
