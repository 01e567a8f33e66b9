//! Requests at a gateway that has a configuration without organisations and does not know yet what that means.

mod common;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};

use common::{reply, settings, unused_address};
use radishpaddle_gateway::gateway::Gateway;
use radishpaddle_kernel::{DecisionLog, boot_clock};
use radishpaddle_model::ConfigDetails;
use radishpaddle_wire::FEATURES;
use radishpaddle_wire::message::PollReplyExtension;

/// Sends a request without a key and returns the text of the answer.
async fn send(callers: SocketAddr) -> String {
    let exchange = move || {
        let mut stream = TcpStream::connect(callers).unwrap();
        let request = "POST /scans/7 HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: 9c41\r\n\
                       Content-Length: 0\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer.to_ascii_lowercase()
    };
    tokio::task::spawn_blocking(exchange).await.unwrap()
}

/// Extension of the reply of a coordinator, with these details of the configuration of version 1.
fn extension(details: Option<&ConfigDetails>) -> PollReplyExtension {
    PollReplyExtension {
        features: FEATURES,
        details_version: details.map_or(0, |_| 1),
        config_details: details
            .map_or_else(Vec::new, |details| serde_json::to_vec(details).unwrap()),
        ..PollReplyExtension::default()
    }
}

/// Answers of a gateway before and after these details arrive.
async fn answers(open: bool, details: &ConfigDetails) -> [String; 2] {
    let callers = unused_address();
    let log = DecisionLog::spawn("gateway-1".into());
    let gateway = Gateway::spawn(settings(callers), log).await.unwrap();
    let shared = gateway.shared();
    shared.apply_poll_reply(reply(open), &extension(None), boot_clock::now());
    let before = send(callers).await;
    shared.apply_poll_reply(reply(open), &extension(Some(details)), boot_clock::now());
    let after = send(callers).await;
    [before, after]
}

/// Guards against a gateway that serves a request without a key because it does not know yet that one is needed, or that
/// never learns it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_the_details_of_a_configuration_without_organisations() {
    let keys_needed = ConfigDetails {
        names_organisations: true,
        ..ConfigDetails::default()
    };

    let [before, after] = answers(false, &keys_needed).await;
    let [before_open, after_open] = answers(false, &ConfigDetails::default()).await;

    for answer in [before, before_open] {
        assert!(answer.starts_with("http/1.1 503"), "{answer}");
        assert!(answer.contains("not_fresh"), "{answer}");
    }
    assert!(after.starts_with("http/1.1 401"), "{after}");
    // The request passed the check of its key; there is no server for it.
    assert!(after_open.contains("no_backend_server"), "{after_open}");
}

/// Guards against a route without keys that is refused because it is not known whether the others need one.
#[tokio::test(flavor = "multi_thread")]
async fn open_routes_need_no_details() {
    for answer in answers(true, &ConfigDetails::default()).await {
        assert!(answer.contains("no_backend_server"), "{answer}");
    }
}
