//! Verdicts at an entry instance: expiry, order, and local avoidance within the capacity floor.

use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_model::{AvailabilityZone, InstanceId, Percent};
use radishpaddle_policy::verdict::VERDICT_LIFETIME;
use radishpaddle_policy::{
    Balancer, Completion, LocalStanding, Member, PathAvoidance, PickRequest, ServerKey, ServiceKey,
    Standing, Verdict, VerdictUpdate, VerdictVersion, VerdictView,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn instance() -> InstanceId {
    "entry-1".parse().unwrap()
}

fn zone() -> AvailabilityZone {
    "zone-1".parse().unwrap()
}

fn version(epoch: u64, sequence: u64) -> VerdictVersion {
    VerdictVersion { epoch, sequence }
}

fn update(version: VerdictVersion, out: &[u64]) -> VerdictUpdate {
    let verdicts = out.iter().map(|server| Verdict {
        server: ServerKey(*server),
        service: ServiceKey(1),
        version,
        standing: Standing::Ejected,
        strikes: 1,
        remaining_ms: 5000,
    });
    VerdictUpdate {
        version,
        verdicts: Some(verdicts.collect()),
    }
}

fn is_out(view: &VerdictView, server: u64, now: Duration) -> bool {
    view.standing(ServerKey(server), now) == LocalStanding::Out
}

proptest! {
    /// Guards against a verdict that outlives its renewal, and against an older list that replaces
    /// a newer one, with responses in any order.
    #[test]
    fn verdict_is_in_force_for_five_seconds_after_its_last_request(
        responses in prop::collection::vec((0_u64..20_000, 1_u64..4, 1_u64..6, any::<bool>()), 1..40),
        probe in 0_u64..30_000,
    ) {
        let mut view = VerdictView::new(instance());
        let mut highest = VerdictVersion::default();
        let mut last_request = None;
        for (requested_ms, epoch, sequence, renews) in responses {
            let requested_at = Duration::from_millis(requested_ms);
            let version = version(epoch, sequence);
            let mut response = update(version, &[sequence]);
            if renews {
                response.verdicts = None;
            }
            let accepted = view.apply(response, requested_at);
            // A renewal without a list applies only to the list that the view has.
            let expected = version == highest || (version > highest && !renews);
            prop_assert_eq!(accepted, expected, "{:?} after {:?}", version, highest);
            if accepted {
                highest = version;
                last_request = last_request.max(Some(requested_at));
            }
        }
        let now = Duration::from_millis(probe);
        let in_force = last_request.is_some_and(|at| now < at + VERDICT_LIFETIME);
        prop_assert_eq!(is_out(&view, highest.sequence, now), in_force);
    }

    /// Guards against an instance that uses fewer slots than the floor because it avoids servers.
    #[test]
    fn avoidance_leaves_the_floor(
        floor_percent in 0.0..100.0_f64,
        ejected in prop::collection::btree_set(0_u64..10, 0..4),
        avoided in prop::collection::btree_set(0_u64..10, 0..10),
    ) {
        let now = Duration::from_secs(10);
        let floor = Percent::try_from(floor_percent).unwrap();
        let (mut balancer, paths) = (balancer(floor), avoiding(&avoided, now));
        let mut view = VerdictView::new(instance());
        let out: Vec<u64> = ejected.iter().copied().collect();
        view.apply(update(version(1, 1), &out), now);

        let usable = balancer.usable_slots(&view, &paths, now);

        let not_ejected = 3 * (10 - u32::try_from(ejected.len()).unwrap());
        let floor_slots = radishpaddle_policy::floor::floor_slots(30, floor);
        prop_assert!(usable >= floor_slots.min(not_ejected));
        prop_assert!(usable > 0);
    }
}

fn balancer(floor: Percent) -> Balancer {
    let mut balancer = Balancer::new(&instance(), zone());
    let members: Vec<Member> = (0..10)
        .map(|server| Member {
            server: ServerKey(server),
            zone: zone(),
            slots: 3,
            draining: false,
            cold_until: Duration::ZERO,
        })
        .collect();
    balancer.set_members(&members, floor, usize::MAX);
    balancer
}

fn avoiding(servers: &std::collections::BTreeSet<u64>, now: Duration) -> PathAvoidance {
    let mut paths = PathAvoidance::new();
    for server in servers {
        for _ in 0..3 {
            paths.observe(ServerKey(*server), Completion::ConnectFailed, now);
        }
    }
    paths
}

/// Guards against an instance that sends no requests because it avoids every server.
#[test]
fn avoidance_ends_when_no_other_server_is_usable() {
    let now = Duration::from_secs(10);
    let mut balancer = balancer(Percent::try_from(0.0).unwrap());
    let paths = avoiding(&(0..10).collect(), now);
    let view = VerdictView::new(instance());
    let request = PickRequest {
        now,
        may_trial: false,
        exclude: &[],
    };

    let pick = balancer.pick(&request, &view, &paths, &mut SmallRng::seed_from_u64(1));

    assert!(pick.is_some());
}

/// Guards against requests to ejected or avoided servers while others are usable, and against a
/// second trial request while one is in flight.
#[test]
fn trial_server_gets_one_request_at_a_time() {
    let now = Duration::from_secs(10);
    let mut balancer = balancer(Percent::try_from(50.0).unwrap());
    let mut view = VerdictView::new(instance());
    let mut list = update(version(1, 1), &[1, 2]);
    let trial = Standing::Trial { holder: instance() };
    list.verdicts.as_mut().unwrap()[0].standing = trial;
    view.apply(list, now);
    let paths = avoiding(&[3].into(), now);
    let mut rng = SmallRng::seed_from_u64(1);

    let mut picked = Vec::new();
    for _ in 0..200 {
        let request = PickRequest {
            now,
            may_trial: true,
            exclude: &[],
        };
        let pick = balancer.pick(&request, &view, &paths, &mut rng).unwrap();
        balancer.dispatched(pick.server);
        picked.push(pick.server.0);
    }

    assert_eq!(picked.iter().filter(|server| **server == 1).count(), 1);
    assert!(!picked.contains(&2));
    assert!(!picked.contains(&3));
}
