//! Service times at this gateway: when an answer is late, when a request is hedged, and what a request is expected to cost.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use radishpaddle_kernel::boot_clock;
use radishpaddle_model::{RoutePart, RoutingRule};
use radishpaddle_policy::hedge::{HedgeClass, HedgeQuery, check_kind, kind_delay};
use radishpaddle_policy::placement::RequestTerms;
use radishpaddle_policy::{CostEstimate, CostModel, Observation, RequestKind, Urgency};

use crate::gateway::{Shared, lock};
use crate::left_out::NoServer;
use crate::placement::{AttemptTerms, WorkQuery};
use crate::pool::{ChosenServer, ServiceLoad};
use crate::selection::ServiceTime;

/// Service times of all routes.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    means: Mutex<HashMap<Arc<str>, ServiceTime>>,
    /// Service times of the idempotent requests of each route.
    hedge_classes: Mutex<HashMap<Arc<str>, HedgeClass>>,
    costs: Mutex<CostModel>,
}

impl Shared {
    /// Expected cost of a request of a route with a body of a size. A route over several services has that of the service
    /// with the largest weight, since the service is chosen after admission.
    pub(crate) fn expected_cost(
        &self,
        rule: &RoutingRule,
        organisation: Option<&str>,
        body_bytes: u64,
    ) -> CostEstimate {
        let by_weight =
            |left: &&RoutePart, right: &&RoutePart| left.weight.total_cmp(&right.weight);
        let part = rule.parts.iter().max_by(by_weight);
        let kind = RequestKind {
            service: part.map_or("", |part| &part.service),
            route: &rule.name,
            organisation,
            body_bytes,
        };
        lock(&self.service_times.costs).estimate(&kind, boot_clock::now())
    }

    /// Load of the servers of a service that accept requests.
    pub(crate) fn service_load(&self, service: &str) -> ServiceLoad {
        let now = boot_clock::now();
        let mean = lock(&self.service_times.costs).service_mean(service, now);
        self.pools().load(service, &[], mean, now)
    }

    /// Terms of the placement of a request by expected work; `None` while load is not managed.
    pub(crate) fn request_terms(
        &self,
        kind: &RequestKind<'_>,
        objective_left: Duration,
    ) -> Option<RequestTerms> {
        self.manages_load().then(|| RequestTerms {
            cost: lock(&self.service_times.costs).estimate(kind, boot_clock::now()),
            objective_left,
            degraded: false,
        })
    }

    /// Selects a backend server and counts the request as in flight there; `is_last` tells that no retry can follow.
    pub(crate) fn choose_server(
        &self,
        service: &str,
        idempotent: bool,
        is_last: bool,
        exclude: &[Arc<str>],
        terms: Option<RequestTerms>,
    ) -> Result<ChosenServer, NoServer> {
        let now = boot_clock::now();
        let mut pools = self.pools();
        let costs = lock(&self.service_times.costs);
        let attempt = AttemptTerms {
            idempotent,
            is_last,
            exclude,
            work: terms.map(|request| WorkQuery {
                request,
                costs: &costs,
            }),
        };
        let chosen = pools.place(service, &attempt, now)?;
        drop(costs);
        drop(pools);
        self.metrics
            .record_placement(service, chosen.reason.label());
        self.log_resumed(&chosen);
        Ok(chosen)
    }

    /// Updates the expected cost of a kind of requests with a successful answer, which may be late.
    pub(crate) fn record_cost(&self, kind: &RequestKind<'_>, observed: &Observation<'_>) {
        lock(&self.service_times.costs).record(kind, observed, boot_clock::now());
    }

    /// Time after which an unanswered request of a route counts as a failure of its server.
    pub(crate) fn slow_after(&self, route: &str) -> Duration {
        let times = lock(&self.service_times.means);
        times.get(route).copied().unwrap_or_default().slow_after()
    }

    /// Adds the service time of an answer to the average of its route.
    pub(crate) fn record_service_time(&self, rule: &RoutingRule, elapsed: Duration) {
        if rule.idempotent {
            self.with_hedge_class(rule, |class| class.record(boot_clock::now(), elapsed));
        }
        let mut times = lock(&self.service_times.means);
        let times = times.entry(Arc::clone(&rule.name));
        times.or_default().record(elapsed);
    }

    /// Time after which an unanswered request of a route may be hedged, if its requests are hedged at all. With terms of a
    /// placement by expected work, it follows from the expected cost of the request.
    pub(crate) fn hedge_delay(
        &self,
        rule: &RoutingRule,
        terms: Option<&RequestTerms>,
    ) -> Option<Duration> {
        let objective = Duration::from_millis(rule.objective_ms);
        if let Some(terms) = terms {
            return Some(kind_delay(&terms.cost, objective));
        }
        self.with_hedge_class(rule, |class| class.delay(Some(objective)))
    }

    /// Calls a function with the service times of a route.
    fn with_hedge_class<T>(
        &self,
        rule: &RoutingRule,
        function: impl FnOnce(&mut HedgeClass) -> T,
    ) -> T {
        let mut classes = lock(&self.service_times.hedge_classes);
        let class = classes.entry(Arc::clone(&rule.name));
        function(class.or_insert_with(|| HedgeClass::new(boot_clock::now())))
    }

    /// Selects the server for the second copy of a request in flight and takes it out of the retry budget. Returns `None`
    /// when the request is not hedged.
    pub(crate) fn choose_hedge(
        &self,
        rule: &RoutingRule,
        service: &Arc<str>,
        urgency: Option<Urgency>,
        query: HedgeQuery,
        exclude: &[Arc<str>],
        terms: Option<RequestTerms>,
    ) -> Option<ChosenServer> {
        let now = boot_clock::now();
        let mut pools = self.pools();
        let load = pools.load(service, exclude, Duration::ZERO, now);
        let query = HedgeQuery {
            in_flight: load.in_flight,
            slots: load.slots,
            other_server_free: load.has_free_server,
            ..query
        };
        let permitted = match &terms {
            Some(terms) => check_kind(&terms.cost, &query),
            None => self.with_hedge_class(rule, |class| class.check(&query)),
        };
        permitted.ok()?;
        if !pools.try_retry(service, urgency, now) {
            return None;
        }
        // A second copy is meant to be answered, so it never serves as a probe.
        let is_last = true;
        drop(pools);
        self.choose_server(service, rule.idempotent, is_last, exclude, terms)
            .ok()
    }
}
