//! Sends the announcements of a sample backend server to entry instances.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use radishpaddle_model::{Announcement, BackendState};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::shared::Shared;
use crate::http;

/// Number of entry instances that must accept each renewal. With two, the loss of one is covered.
const ENTRIES_PER_RENEWAL: usize = 2;

/// Timeout for sending one announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Renews the announcement periodically until `stop` is cancelled, and immediately after a restart or a
/// change of the entry instances.
pub(super) async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let period = Duration::from_millis(shared.settings.announce_period_ms.max(1));
    let mut round = 0;
    loop {
        let wait = async {
            tokio::select! {
                () = shared.changed.notified() => {}
                () = sleep(period) => {}
            }
        };
        let renewal = async {
            if shared.is_up() {
                renew(&shared, round).await;
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = async { renewal.await; wait.await } => {}
        }
        round += 1;
    }
}

/// Sends the announcement to entry instances in round-robin order until [`ENTRIES_PER_RENEWAL`] have
/// accepted it.
async fn renew(shared: &Shared, round: usize) {
    let entries = shared.entries();
    let announcement = shared.next_announcement();
    let mut accepted = 0;
    for offset in 0..entries.len() {
        let entry = entries[(round + offset) % entries.len()];
        accepted += usize::from(send_announcement(shared, entry, &announcement).await);
        if accepted == ENTRIES_PER_RENEWAL {
            return;
        }
    }
}

/// Announces the current state to every entry instance and returns the number that accepted it.
pub(super) async fn announce_to_all(shared: &Arc<Shared>) -> usize {
    let announcement = shared.next_announcement();
    let mut tasks = tokio::task::JoinSet::new();
    for entry in shared.entries() {
        let (shared, announcement) = (Arc::clone(shared), announcement.clone());
        tasks.spawn(async move { send_announcement(&shared, entry, &announcement).await });
    }
    let results = tasks.join_all().await;
    results.into_iter().filter(|accepted| *accepted).count()
}

/// Sends an announcement to one entry instance and returns whether it was accepted.
async fn send_announcement(
    shared: &Shared,
    entry: SocketAddr,
    announcement: &Announcement,
) -> bool {
    let path = match announcement.state {
        BackendState::Serving => "/v1/backend-servers/announce",
        BackendState::Draining => "/v1/backend-servers/drain",
        BackendState::Left => "/v1/backend-servers/leave",
    };
    let body = serde_json::to_vec(announcement).expect("an announcement has a JSON form");
    let token = Some(shared.settings.token.as_str());
    let result = http::call(
        entry,
        Method::POST,
        path,
        token,
        Bytes::from(body),
        ANNOUNCEMENT_TIMEOUT,
    );
    let accepted = matches!(result.await, Ok((status, _)) if status.is_success());
    let counter = if accepted {
        &shared.announcements_accepted
    } else {
        &shared.announcements_failed
    };
    counter.fetch_add(1, Ordering::Relaxed);
    accepted
}
