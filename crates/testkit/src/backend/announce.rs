//! Announcements of a sample backend server to entry instances.

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

/// Entry instances that each renewal goes to. Two of them cover the loss of one.
const RENEWAL_TARGETS: usize = 2;

/// Longest time for one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Renews the announcement until `stop`, and at once after a restart or a change of the targets.
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

/// Announces to the next targets in turn; a failure moves on to the following target.
async fn renew(shared: &Shared, round: usize) {
    let entries = shared.entries();
    let announcement = shared.next_announcement();
    let mut accepted = 0;
    for offset in 0..entries.len() {
        let entry = entries[(round + offset) % entries.len()];
        accepted += usize::from(announce(shared, entry, &announcement).await);
        if accepted == RENEWAL_TARGETS {
            return;
        }
    }
}

/// Announces the present state to every entry instance; returns how many accepted it.
pub(super) async fn announce_to_all(shared: &Arc<Shared>) -> usize {
    let announcement = shared.next_announcement();
    let mut tasks = tokio::task::JoinSet::new();
    for entry in shared.entries() {
        let (shared, announcement) = (Arc::clone(shared), announcement.clone());
        tasks.spawn(async move { announce(&shared, entry, &announcement).await });
    }
    let results = tasks.join_all().await;
    results.into_iter().filter(|accepted| *accepted).count()
}

async fn announce(shared: &Shared, entry: SocketAddr, announcement: &Announcement) -> bool {
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
        ANNOUNCE_TIMEOUT,
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
