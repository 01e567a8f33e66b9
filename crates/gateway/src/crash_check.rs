//! Checks whether a backend server crashed with a request in flight, and the quarantine of such requests.

use radishpaddle_kernel::{LogSampling, boot_clock};
use radishpaddle_model::{Fingerprint, RequestCrash, SuspectRequest};
use radishpaddle_wire::ServerUpdate;
use serde_json::json;

use crate::backend_connection::{BackendConnection, CONNECT_TIMEOUT, ConnectFailure};
use crate::crash_watch::{CRASH_CHECK_DELAY, LostRequest};
use crate::gateway::Shared;

impl Shared {
    /// Whether a request is quarantined because it crashes backend servers. The fingerprint is computed only when there
    /// are suspect requests.
    pub(crate) fn is_quarantined(&self, fingerprint: impl FnOnce() -> Fingerprint) -> bool {
        let watch = self.crash_watch();
        watch.has_suspects() && watch.is_quarantined(&fingerprint())
    }

    /// Records that a backend server answered the request, in case the request is suspect.
    pub(crate) fn record_answer(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        let mut watch = self.crash_watch();
        if watch.has_suspects() {
            watch.record_answer(fingerprint());
        }
    }

    /// Checks whether a server that closed a connection with a request in flight still accepts connections. If it refuses
    /// them, the request counts as in flight at a crash. A server that only resets connections for a while accepts new
    /// ones, and with an interrupted network path there is no answer. Then only a later start of the server would show
    /// that it crashed, see [`Self::record_starts`]. The end of a server that is leaving is no crash.
    pub(crate) async fn check_crash(&self, lost: LostRequest) {
        self.crash_watch()
            .record_lost(lost.clone(), boot_clock::now());
        tokio::time::sleep(CRASH_CHECK_DELAY).await;
        let server = &lost.server;
        if self.is_leaving(server) {
            return;
        }
        match BackendConnection::open(lost.address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                self.record_connected();
                self.store_idle(server, connection);
            }
            Err(ConnectFailure::Unreachable) => self.record_connect_failure(&server.name),
            Err(ConnectFailure::Refused) => {
                self.record_connect_failure(&server.name);
                let crashed = self.crash_watch().take_refused(&lost, boot_clock::now());
                self.record_crashes(crashed, "refused");
            }
        }
    }

    /// Counts the requests that were in flight at servers which have ended according to these announcements. Must be called
    /// before the announcements replace what is known of those servers.
    pub(crate) fn record_starts(&self, starts: &[ServerUpdate]) {
        let ended = self.crash_watch().take_ended(starts, boot_clock::now());
        self.record_crashes(ended, "started_again");
    }

    /// Records crashes of the servers of lost requests, except of servers that were leaving.
    fn record_crashes(&self, lost: impl IntoIterator<Item = LostRequest>, evidence: &'static str) {
        for lost in lost {
            if self.pools().has_left(&lost.server, boot_clock::now()) {
                continue;
            }
            self.log.record("request_crash", LogSampling::Each, || {
                json!({"request_id": lost.request_id, "backend_server": lost.server.name,
                       "fingerprint": lost.crash.request.to_string(), "evidence": evidence})
            });
            self.crash_watch().record_crash(lost.crash);
            self.report_now.notify_one();
        }
    }

    /// Returns the crashes and answered suspects that are due for a coordinator, see `CrashWatch::report`.
    pub(crate) fn report_crashes(
        &self,
        include_reported: bool,
    ) -> (Vec<RequestCrash>, Vec<Fingerprint>) {
        self.crash_watch()
            .report(include_reported, boot_clock::now())
    }

    /// Replaces the suspect requests by the list of a coordinator and logs those that become quarantined, see
    /// `CrashWatch::set_suspects`.
    pub(crate) fn set_suspects(&self, list: Vec<SuspectRequest>, continued: bool) {
        for quarantined in self.crash_watch().set_suspects(list, continued) {
            self.log.record(
                "request_quarantined",
                LogSampling::Each,
                || json!({"fingerprint": quarantined.request.to_string(), "crashes": quarantined.crashes}),
            );
        }
    }

    pub(crate) fn acknowledge_crashes(&self, crashes: &[RequestCrash], answered: &[Fingerprint]) {
        self.crash_watch().acknowledge(crashes, answered);
    }
}
