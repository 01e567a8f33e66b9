//! What coordinators name to callers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_coordinator::board::Board;
use radishpaddle_model::GatewayPresence;
use radishpaddle_wire::PresenceExchange;

const GATEWAYS: u8 = 100;
const MOST: usize = 64;
const NOW: Duration = Duration::from_secs(100);

fn board(coordinator: u8) -> Board {
    let sender = PresenceExchange {
        sender: 1,
        address: SocketAddr::from(([127, 0, 1, coordinator], 7_000)),
        zone: "yard".into(),
        servers: Vec::new(),
        gateways: Vec::new(),
        evidence: Vec::new(),
        crashes: Vec::new(),
        answered: Vec::new(),
    };
    let mut board = Board::new(sender, Duration::from_millis(1_500));
    for number in 1..=GATEWAYS {
        let presence = GatewayPresence {
            instance: format!("gateway-{number}").into(),
            incarnation: 1,
            sequence: 1,
            address: SocketAddr::from(([127, 0, 2, number], 8_000)),
            zone: "yard".into(),
            ready: true,
            demand: Vec::new(),
        };
        board.report(presence, &[], NOW);
    }
    board
}

/// Guards against gateways that no caller is ever told of because an answer holds fewer addresses than there are: every
/// coordinator named the same first ones.
#[test]
fn coordinators_name_different_gateways_when_there_are_many() {
    let mut named = BTreeSet::new();
    for coordinator in 1..=8 {
        let board = board(coordinator);

        let addresses = board.addresses(Some("yard"), MOST, NOW);

        assert_eq!(addresses.len(), MOST);
        let again = board.addresses(Some("yard"), MOST, NOW);
        assert_eq!(addresses, again, "callers would leave their connections");
        named.extend(addresses);
    }
    assert_eq!(named.len(), usize::from(GATEWAYS));
}
