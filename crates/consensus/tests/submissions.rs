//! Tests of the state machine for operator submissions.

use std::sync::Arc;

use proptest::prelude::*;
use radishpaddle_consensus::submissions::{MAX_CHANGE_RECORDS, MAX_STORED_RESULTS};
use radishpaddle_consensus::{Submission, SubmissionResult, Submissions};
use radishpaddle_model::{Change, FleetConfig, OrganisationKey, ResultCode, Revision};

fn put(id: &str, service: &str, replaces: u64, floor_percent: f64) -> Submission {
    let document = serde_json::json!({
        "service": service,
        "hosts": [format!("{service}.example")],
        "routes": [],
        "organisations": [],
        "floor_percent": floor_percent,
        "objective": { "success_percent": 99.9, "latency_ms": 500 },
    });
    let document = Arc::new(serde_json::from_value(document).unwrap());
    Submission {
        id: id.parse().unwrap(),
        replaces: Revision(replaces),
        change: Change::PutService { document },
    }
}

fn key(id: &str, key_id: &str, secret: u64) -> Submission {
    let secret: OrganisationKey = format!("secret-of-{secret:08}").parse().unwrap();
    Submission {
        id: id.parse().unwrap(),
        replaces: Revision(0),
        change: Change::AddKey {
            key_id: key_id.parse().unwrap(),
            organisation: "organisation".parse().unwrap(),
            hash: secret.hash(),
        },
    }
}

fn withdraw(id: &str, key_id: &str) -> Submission {
    Submission {
        id: id.parse().unwrap(),
        replaces: Revision(0),
        change: Change::WithdrawKey {
            key_id: key_id.parse().unwrap(),
        },
    }
}

fn apply(state: &mut Submissions, submission: &Submission) -> SubmissionResult {
    state.apply(&submission.encode().unwrap()).unwrap()
}

fn committed(revision: u64) -> SubmissionResult {
    let revision = Revision(revision);
    SubmissionResult::Committed { revision }
}

/// Guards against two submissions that both succeed in replacing the same revision.
#[test]
fn equal_numbers_have_one_winner() {
    let mut state = Submissions::default();
    assert_eq!(
        apply(&mut state, &put("a", "ledger", 0, 50.0)),
        committed(1)
    );
    apply(&mut state, &put("b", "collect", 0, 50.0));

    let winner = apply(&mut state, &put("c", "ledger", 1, 60.0));
    let loser = apply(&mut state, &put("d", "ledger", 1, 70.0));

    assert_eq!(winner, committed(3));
    let current = Revision(3);
    assert_eq!(loser, SubmissionResult::RevisionConflict { current });
    assert_eq!(loser.code(), ResultCode::RevisionConflict);
}

/// Guards against a resent submission that is applied twice, also after a restore from a snapshot.
#[test]
fn resend_gets_the_first_result() {
    let mut state = Submissions::default();
    let first = put("a", "ledger", 0, 50.0);
    let conflict = put("b", "ledger", 0, 60.0);
    let results = [apply(&mut state, &first), apply(&mut state, &conflict)];
    apply(&mut state, &put("c", "ledger", 1, 70.0));
    let mut restored = Submissions::decode(&state.encode().unwrap()).unwrap();
    assert_eq!(restored, state);

    let again = [
        apply(&mut restored, &first),
        apply(&mut restored, &conflict),
    ];

    assert_eq!(again, results);
    assert_eq!(restored, state);
}

/// Guards against a submission that is taken for a resend because it reuses an id.
#[test]
fn reused_id_with_other_content_is_refused() {
    let mut state = Submissions::default();
    let first = put("a", "ledger", 0, 50.0);
    apply(&mut state, &first);

    let other = apply(&mut state, &put("a", "ledger", 1, 60.0));

    assert_eq!(other.code(), ResultCode::SubmissionIdReused);
    assert_eq!(apply(&mut state, &first), committed(1));
}

/// Guards against a withdrawn key that is added again, and against a key that replaces another one.
#[test]
fn key_id_and_key_have_to_be_new() {
    let mut state = Submissions::default();
    assert_eq!(apply(&mut state, &key("a", "first", 1)), committed(1));
    let same_id = apply(&mut state, &key("b", "first", 2));
    let same_key = apply(&mut state, &key("c", "second", 1));
    assert_eq!(apply(&mut state, &withdraw("d", "first")), committed(2));
    let withdrawn = apply(&mut state, &key("e", "first", 1));

    assert_eq!(
        [same_id, same_key, withdrawn],
        [const { SubmissionResult::KeyNotNew }; 3]
    );
    let unknown = apply(&mut state, &withdraw("f", "first"));
    assert_eq!(unknown.code(), ResultCode::NotFound);
    assert!(state.config().keys.is_empty());
}

/// Guards against the removal of a service that another operator has changed in the meantime.
#[test]
fn removal_names_the_revision_that_it_replaces() {
    let mut state = Submissions::default();
    apply(&mut state, &put("a", "ledger", 0, 50.0));
    let remove = |id: &str, replaces| Submission {
        id: id.parse().unwrap(),
        replaces: Revision(replaces),
        change: Change::RemoveService {
            service: "ledger".parse().unwrap(),
        },
    };

    let outdated = apply(&mut state, &remove("b", 0));
    let current = apply(&mut state, &remove("c", 1));
    let absent = apply(&mut state, &remove("d", 1));

    assert_eq!(outdated.code(), ResultCode::RevisionConflict);
    assert_eq!(current, committed(2));
    assert_eq!(absent, SubmissionResult::NotFound);
}

/// Guards against state that grows without bound, and against a delta with missing changes.
#[test]
fn results_and_records_are_bounded() {
    let mut state = Submissions::default();
    let mut submission = put("s", "ledger", 0, 50.0);
    for number in 0..=MAX_STORED_RESULTS as u64 {
        submission.id = format!("s{number}").parse().unwrap();
        submission.replaces = Revision(number);
        apply(&mut state, &submission);
    }
    let newest = MAX_STORED_RESULTS as u64 + 1;
    let kept = MAX_CHANGE_RECORDS as u64;

    assert!(state.result(&"s0".parse().unwrap()).is_none());
    assert!(state.result(&"s1".parse().unwrap()).is_some());
    assert!(state.delta_since(Revision(newest - kept - 1)).is_none());
    let delta = state.delta_since(Revision(newest - kept)).unwrap();
    assert_eq!(delta.len(), MAX_CHANGE_RECORDS);
    assert_eq!(state.delta_since(Revision(newest)), Some(Vec::new()));
    assert!(state.delta_since(Revision(newest + 1)).is_none());
}

/// Guards against a restored state that instances consider older than the one they have.
#[test]
fn restored_state_continues_above_the_highest_known_revision() {
    let mut state = Submissions::default();
    apply(&mut state, &put("a", "ledger", 0, 50.0));

    state.advance_revision_above(Revision(40));

    assert_eq!(state.config().revision, Revision(41));
    assert!(state.delta_since(Revision(40)).is_none());
    assert_eq!(
        apply(&mut state, &put("b", "ledger", 1, 60.0)),
        committed(42)
    );
}

fn any_submission() -> impl Strategy<Value = Submission> {
    let services = prop::sample::select(vec!["ledger", "collect"]);
    (0..40u32, services, 0..30u64, 0..4u8, 0..6u64).prop_map(
        |(id, service, replaces, kind, number)| {
            let id = format!("s{id}");
            let key_id = format!("k{number}");
            match kind {
                0 => key(&id, &key_id, number),
                1 => withdraw(&id, &key_id),
                _ => put(&id, service, replaces, 50.0),
            }
        },
    )
}

proptest! {
    /// Guards against replicas that diverge when some of them restart from snapshots, against two
    /// submissions that commit the same revision, and against deltas that produce a different
    /// configuration.
    #[test]
    fn replicas_and_deltas_agree(
        submissions in prop::collection::vec((any_submission(), any::<bool>()), 1..80),
    ) {
        let mut steady = Submissions::default();
        let mut restarted = Submissions::default();
        let mut follower = FleetConfig::default();
        for (submission, restart) in submissions {
            let before = steady.config().revision;
            let result = apply(&mut steady, &submission);
            prop_assert_eq!(&apply(&mut restarted, &submission), &result);
            if restart {
                restarted = Submissions::decode(&restarted.encode().unwrap()).unwrap();
                for record in steady.delta_since(follower.revision).unwrap() {
                    prop_assert!(follower.apply(&record));
                }
                prop_assert_eq!(&follower, steady.config());
            }
            let is_resend = result == committed(steady.config().revision.0)
                && before == steady.config().revision;
            let grew = steady.config().revision.0 - before.0;
            prop_assert!(grew == 0 || (grew == 1 && !is_resend));
        }
        prop_assert_eq!(steady, restarted);
    }
}
