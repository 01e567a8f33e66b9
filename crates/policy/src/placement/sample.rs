//! Sample of the servers that are compared for one attempt.

use rand::Rng;
use rand::seq::IndexedRandom as _;

/// Numbers of servers of the own zone and of other zones that are compared for one attempt of a busy service. Requests
/// should leave the zone only where its servers have work, which a sample of all zones alike would seldom show.
const OWN_ZONE_SAMPLE: usize = 8;
const OTHER_ZONES_SAMPLE: usize = 6;

/// Returns a random sample of the servers of the own zone and of the others.
pub fn sample_zones<T: Clone>(
    servers: impl Iterator<Item = T>,
    is_in_zone: impl Fn(&T) -> bool,
    rng: &mut impl Rng,
) -> Vec<T> {
    let (own, others): (Vec<_>, Vec<_>) = servers.partition(is_in_zone);
    let own = own.choose_multiple(rng, OWN_ZONE_SAMPLE).cloned();
    let mut sample: Vec<_> = own.collect();
    sample.extend(others.choose_multiple(rng, OTHER_ZONES_SAMPLE).cloned());
    sample
}
