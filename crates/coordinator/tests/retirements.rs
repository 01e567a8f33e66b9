//! Replicated list of the backend servers that drain or have left.

use radishpaddle_coordinator::state::{Command, CoordinatorState, Outcome};
use radishpaddle_model::{BackendState, Retirement};
use radishpaddle_replication::ReplicatedState;

/// Maximum number of retirements in the state.
const MAX_RETIREMENTS: usize = 4_096;

fn leave(state: &mut CoordinatorState, id: &str, started_at_ms: u64) -> Outcome {
    let retirement = Retirement {
        id: id.into(),
        started_at_ms,
        state: BackendState::Left,
    };
    state.apply(&Command::Retire(retirement)).unwrap()
}

fn leave_others(state: &mut CoordinatorState, count: usize) {
    for number in 0..count {
        leave(state, &format!("other-{number}"), 1);
    }
}

/// Guards against requests to a backend server that has just left, because it left before under the same id and its
/// retirement was evicted in the order of the first departures.
#[test]
fn a_server_that_leaves_again_is_the_newest_retirement() {
    let mut state = CoordinatorState::default();
    leave(&mut state, "returning", 1);
    leave_others(&mut state, MAX_RETIREMENTS - 1);

    let second_departure = leave(&mut state, "returning", 2);
    leave(&mut state, "last", 1);

    assert_eq!(second_departure, Outcome::Changed);
    assert!(state.retirement("returning", 2).is_some());
    assert!(state.retirement("other-0", 1).is_none());
    assert_eq!(state.retirements().count(), MAX_RETIREMENTS);
}

/// Guards against a state that evicts too early or never because a returning id has several places in the order, also
/// after its snapshot was read.
#[test]
fn departures_under_one_id_take_one_place() {
    let mut state = CoordinatorState::default();
    for started_at_ms in 1..100 {
        leave(&mut state, "returning", started_at_ms);
    }
    let mut state = CoordinatorState::decode(&state.encode().unwrap()).unwrap();

    leave_others(&mut state, MAX_RETIREMENTS - 1);
    let kept = state.retirement("returning", 99).is_some();
    leave(&mut state, "last", 1);

    assert!(kept);
    assert!(state.retirement("returning", 99).is_none());
    assert_eq!(state.retirements().count(), MAX_RETIREMENTS);
}
