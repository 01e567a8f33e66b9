//! Events at the backend servers: arrival, completion, cancellation and crash.

use std::time::Duration;

use radishpaddle_policy::Completion;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::backend_server::ArrivalOutcome;
use crate::deployment::SERVICE_TIME_SIGMA;
use crate::emulator::{Emulator, Event};
use crate::fault::Node;
use crate::number::{draw_log_normal, hash_to_seed};
use crate::request::Kind;

impl Emulator {
    pub(crate) fn on_attempt_at_server(&mut self, attempt_id: u64) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        if attempt.ended_at_server {
            return;
        }
        let server = attempt.server;
        if !self.plan.is_server_up(server, self.now) {
            self.report_completion(attempt_id, Completion::ConnectFailed);
            return;
        }
        match self.servers[server].arrive(attempt_id) {
            ArrivalOutcome::Started => self.start_running(attempt_id),
            ArrivalOutcome::Queued => {}
            ArrivalOutcome::Shed => self.report_completion(attempt_id, Completion::Shed),
        }
    }

    fn start_running(&mut self, attempt_id: u64) {
        let attempt = &self.attempts[&attempt_id];
        let (request, server, kind) = (attempt.request, attempt.server, attempt.kind);
        let mut rng =
            SmallRng::seed_from_u64(hash_to_seed(&[self.seed, 3, request, attempt.draw_number]));
        if kind == Kind::Action {
            self.measurements.record_execution(request);
        }
        let time = draw_log_normal(kind.mean(), SERVICE_TIME_SIGMA, &mut rng);
        let factor = self.plan.service_factor(server, self.now);
        self.add_after(
            time.mul_f64(factor),
            Event::AttemptFinished {
                attempt: attempt_id,
            },
        );
    }

    pub(crate) fn on_attempt_finished(&mut self, attempt_id: u64) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        let (server, request, draw_number) = (attempt.server, attempt.request, attempt.draw_number);
        if attempt.ended_at_server || !self.servers[server].runs(attempt_id) {
            return;
        }
        let mut rng = SmallRng::seed_from_u64(hash_to_seed(&[self.seed, 4, request, draw_number]));
        let draw = rng.random::<f64>();
        let failed = self.plan.fails(server, self.now, draw);
        let status = if failed { 500 } else { 200 };
        self.servers[server].leave(attempt_id);
        self.report_completion(attempt_id, Completion::Answered { status });
        self.start_backlog(server);
    }

    pub(crate) fn on_connection_closed(&mut self, attempt_id: u64) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else {
            return;
        };
        let server = attempt.server;
        attempt.ended_at_server = true;
        self.attempts.remove(&attempt_id);
        if self.servers[server].leave(attempt_id) {
            self.start_backlog(server);
        }
    }

    /// Ends an attempt that was in flight at a server when it crashed.
    pub(crate) fn abort_attempt(&mut self, attempt_id: u64) {
        self.report_completion(attempt_id, Completion::ConnectionLost);
    }

    fn start_backlog(&mut self, server: usize) {
        while let Some(next) = self.servers[server].start_next() {
            if self.attempts.contains_key(&next) {
                self.start_running(next);
            } else {
                self.servers[server].leave(next);
            }
        }
    }

    /// Marks an attempt as ended at the server and sends the completion to the entry instance.
    fn report_completion(&mut self, attempt_id: u64, completion: Completion) {
        let Some(attempt) = self.attempts.get_mut(&attempt_id) else {
            return;
        };
        attempt.ended_at_server = true;
        let (server, instance) = (attempt.server, attempt.instance);
        let event = Event::AttemptEnded {
            attempt: attempt_id,
            completion,
        };
        self.send(Node::Server(server), Node::Instance(instance), event);
    }

    /// Closes the connection of an attempt for which the entry instance no longer waits.
    pub(crate) fn close_attempt(&mut self, attempt_id: u64) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        if attempt.ended_at_server {
            self.attempts.remove(&attempt_id);
            return;
        }
        let (from, to) = (
            Node::Instance(attempt.instance),
            Node::Server(attempt.server),
        );
        if self.plan.delivers(from, to, self.now) {
            let event = Event::ConnectionClosed {
                attempt: attempt_id,
            };
            self.send(from, to, event);
        } else {
            // The message that closes the connection is lost; the server closes it after its own
            // time-out.
            self.add_after(
                Duration::from_secs(5),
                Event::ConnectionClosed {
                    attempt: attempt_id,
                },
            );
        }
    }
}
