//! Claim register of a witness, and the decisions that follow from its votes (design section 4.3).

mod common;

use common::claims::{answer, attempt_id, fingerprint, key};
use common::{group, instance, ms};
use radishpaddle_quorum::claim::{
    AbandonRequest, AttemptId, ClaimAttempt, ClaimDecision, ClaimRegister, ClaimReply,
    ClaimRequest, ClaimSettings, ClaimVote, CompleteRequest, Fingerprint, HeldState,
    RecordedResponse, StoredPart, VoteRefusal,
};

const WITNESSES: usize = 5;

fn claim(attempt: &AttemptId, fingerprint: Fingerprint) -> ClaimRequest {
    ClaimRequest {
        generation: group(1, WITNESSES).generation,
        key: key(1),
        attempt: attempt.clone(),
        fingerprint,
    }
}

fn complete(attempt: &AttemptId, answer: RecordedResponse) -> CompleteRequest {
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

/// Returns the decision of an attempt that receives the votes in this order, and no others until its deadline.
fn decide(votes: &[ClaimVote]) -> Option<ClaimDecision> {
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

/// Guards against a wrong decision for each combination of votes, and so against a wrong response to the caller.
#[test]
fn votes_lead_to_the_decision_of_the_design() {
    use ClaimVote::{Granted, Refused};
    let (in_flight, lost) = (HeldState::InFlight, HeldState::DispatcherLost);
    let other_request = ClaimVote::Held {
        attempt: attempt_id(1, 1),
        fingerprint: fingerprint(2),
        state: in_flight,
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
                held(1, in_flight),
                held(2, in_flight),
                held(1, in_flight),
            ],
            ClaimDecision::Contended,
        ),
        (
            vec![held(1, in_flight), held(1, in_flight), held(1, in_flight)],
            ClaimDecision::InProgress,
        ),
        (
            vec![held(1, in_flight), held(1, lost), held(1, in_flight)],
            ClaimDecision::EarlierAttemptUnknown,
        ),
        (vec![held(1, in_flight), Granted], ClaimDecision::InProgress),
        (
            vec![held(1, HeldState::Disputed), Granted, Granted],
            ClaimDecision::EarlierAttemptUnknown,
        ),
        (
            vec![completed(answer("done"))],
            ClaimDecision::Replay(answer("done")),
        ),
        (
            vec![completed(RecordedResponse::Unknown)],
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
    for (votes, decision) in cases {
        assert_eq!(decide(&votes), Some(decision), "{votes:?}");
    }
}

/// Guards against a delayed claim request of an abandoned attempt that blocks a later attempt.
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

/// Guards against an attempt that is dispatched after it was abandoned.
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
    assert!(
        attempt
            .complete_request(RecordedResponse::Unknown)
            .is_none()
    );
}

/// Guards against unbounded memory, and against claims that are evicted to make room for others.
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

/// Guards against large answers that use up the memory for claims: of such an answer only the status is recorded.
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

    assert_eq!(stored, StoredPart::StatusOnly);
    let answer = RecordedResponse::StatusOnly { status: 200 };
    assert_eq!(
        vote,
        ClaimVote::Completed {
            fingerprint: fingerprint(1),
            answer
        }
    );
}

/// Guards against claims that never expire or expire before the retention time.
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

/// Guards against a recovered witness that grants a second attempt although the vote it lost in the restart may have
/// completed the majority of the first. The copies name two attempts, and it may have voted for either.
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
