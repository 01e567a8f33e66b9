//! Random samples of backend servers and gateways: servers to connect to without a request, and gateways that relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::NoNewRequests;
use rand::seq::{IndexedRandom as _, IteratorRandom as _};

use crate::availability::Availability;
use crate::pool::Pools;

impl Pools {
    /// Returns at most `count` backend servers at random, of all services, to connect to without a request: those that
    /// accept requests first, then paused and cold ones, whose processes run as well. Leaving ones may have ended, so
    /// they are returned only when there are no others.
    pub fn sample_servers(
        &mut self,
        count: usize,
        now: Duration,
    ) -> Vec<(ServerIncarnation, SocketAddr)> {
        let is_paused_or_cold = |availability| {
            matches!(
                availability,
                Availability::LeftOut(NoNewRequests::Paused { .. }) | Availability::Cold { .. }
            )
        };
        let mut sample = self.sample(count, now, |availability| {
            availability == Availability::Accepting
        });
        let missing = count - sample.len();
        sample.extend(self.sample(missing, now, is_paused_or_cold));
        if sample.is_empty() {
            let leaving = Availability::LeftOut(NoNewRequests::Leaving);
            return self.sample(count, now, |availability| availability == leaving);
        }
        sample
    }

    fn sample(
        &mut self,
        count: usize,
        now: Duration,
        is_suitable: impl Fn(Availability) -> bool,
    ) -> Vec<(ServerIncarnation, SocketAddr)> {
        let availabilities = self.availabilities(now);
        let servers = self.services.values().flat_map(HashMap::values);
        let suitable = servers.filter(|server| is_suitable(availabilities.of(server)));
        let addresses = suitable.map(|server| (server.incarnation(), server.presence.address));
        let addresses: Vec<_> = addresses.collect();
        addresses.into_iter().choose_multiple(&mut self.rng, count)
    }

    /// Returns at most `count` of the gateways in random order.
    pub(crate) fn choose_relays(&mut self, relays: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let chosen = relays.choose_multiple(&mut self.rng, count);
        chosen.copied().collect()
    }
}
