//! Events at the backend servers.

use std::time::Duration;

use radishpaddle_policy::Completion;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::backend_server::Arrival;
use crate::emulator::{Emulator, Event};
use crate::fault::Node;
use crate::number::{log_normal, mixed};
use crate::request::Kind;
use crate::user::SERVICE_SIGMA;

impl Emulator {
    pub(crate) fn on_server(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.gone {
            return;
        }
        let server = attempt.server;
        if !self.plan.server_up(server, self.now) {
            self.end_at_server(id, Completion::ConnectFailed);
            return;
        }
        match self.servers[server].arrive(id) {
            Arrival::Started => self.start_running(id),
            Arrival::Queued => {}
            Arrival::Shed => self.end_at_server(id, Completion::Shed),
        }
    }

    fn start_running(&mut self, id: u64) {
        let attempt = &self.attempts[&id];
        let (request, server, kind) = (attempt.request, attempt.server, attempt.kind);
        let mut rng = SmallRng::seed_from_u64(mixed(&[self.seed, 3, request, attempt.number]));
        if kind == Kind::Action {
            self.measure.action_ran(request);
        }
        let time = log_normal(kind.mean(), SERVICE_SIGMA, &mut rng);
        let factor = self.plan.service_factor(server, self.now);
        self.add_after(time.mul_f64(factor), Event::Finished { attempt: id });
    }

    pub(crate) fn on_finished(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        let (server, request, number) = (attempt.server, attempt.request, attempt.number);
        if attempt.gone || !self.servers[server].runs(id) {
            return;
        }
        let mut rng = SmallRng::seed_from_u64(mixed(&[self.seed, 4, request, number]));
        let draw = rng.random::<f64>();
        let failed = self.plan.fails(server, self.now, draw);
        let status = if failed { 500 } else { 200 };
        self.servers[server].leave(id);
        self.end_at_server(id, Completion::Answered { status });
        self.start_waiting(server);
    }

    pub(crate) fn on_closed(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        let server = attempt.server;
        attempt.gone = true;
        self.attempts.remove(&id);
        if self.servers[server].leave(id) {
            self.start_waiting(server);
        }
    }

    /// The server has crashed with the attempt in flight.
    pub(crate) fn lose_attempt(&mut self, id: u64) {
        self.end_at_server(id, Completion::ConnectionLost);
    }

    fn start_waiting(&mut self, server: usize) {
        while let Some(next) = self.servers[server].start_next() {
            if self.attempts.contains_key(&next) {
                self.start_running(next);
            } else {
                self.servers[server].leave(next);
            }
        }
    }

    fn end_at_server(&mut self, id: u64, completion: Completion) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.gone = true;
        let (server, instance) = (attempt.server, attempt.instance);
        let event = Event::AttemptEnded {
            attempt: id,
            completion,
        };
        self.send(Node::Server(server), Node::Instance(instance), event);
    }

    /// Closes the connection of an attempt that nobody waits for any more.
    pub(crate) fn close_attempt(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get(&id) else {
            return;
        };
        if attempt.gone {
            self.attempts.remove(&id);
            return;
        }
        let (from, to) = (
            Node::Instance(attempt.instance),
            Node::Server(attempt.server),
        );
        if self.plan.passes(from, to, self.now) {
            let event = Event::Closed { attempt: id };
            self.send(from, to, event);
        } else {
            // The server finds out by its own time-out of the connection.
            self.add_after(Duration::from_secs(5), Event::Closed { attempt: id });
        }
    }
}
