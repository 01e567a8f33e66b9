//! Gateway without coordinators, which gets its configuration from the test.

use std::net::{SocketAddr, TcpListener};

use radishpaddle_gateway::settings::{
    GatewaySettings, HeaderNames, LoadManagement, MachineLimits, PlacementPolicy, QuotaSettings,
    RetryBudgetSettings, WarmupSettings,
};
use radishpaddle_model::{HostRoutes, RoutePart, RoutingConfig, RoutingRule};
use radishpaddle_wire::PollReply;

/// Memory of the machine; request bodies may take an eighth of it.
const MEMORY_BYTES: u64 = 16 << 20;

/// Address of the loopback interface that was free a moment ago.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Settings of a gateway whose machine has little memory.
pub fn settings(callers_listen: SocketAddr) -> GatewaySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    GatewaySettings {
        fleet: "test".into(),
        instance: "gateway-1".into(),
        zone: "yard".into(),
        callers_listen,
        ready_listen: any,
        metrics_listen: any,
        contacts: vec![SocketAddr::from(([127, 0, 0, 1], 9))],
        headers: HeaderNames::default(),
        freshness_limit_ms: 60_000,
        retry_budget: RetryBudgetSettings {
            ratio: 0.2,
            slack: 10.0,
            window_ms: 10_000,
        },
        quota: QuotaSettings {
            window_ms: 5_000,
            overage: 0.1,
            slack: 10.0,
        },
        stop_accepting_after_ms: 100,
        stop_deadline_ms: 1_000,
        load_management: LoadManagement::Off,
        placement: PlacementPolicy::default(),
        machine: Some(MachineLimits {
            memory_bytes: MEMORY_BYTES,
            link_bytes_per_s: 1_000_000,
            cpu_share: 1.0,
        }),
        warmup: WarmupSettings::default(),
        control_bytes_per_s: 8_000,
    }
}

/// Reply of a coordinator with a configuration that has one route, no organisations and no server. `open` tells whether the
/// route needs no key.
pub fn reply(open: bool) -> PollReply {
    let rule = RoutingRule {
        name: "scans".into(),
        path_prefix: "/scans/".into(),
        idempotent: false,
        open,
        priority: 0,
        parts: vec![RoutePart {
            service: "avail".into(),
            weight: 1.0,
        }],
        timeout_ms: 5_000,
        objective_ms: 1_000,
        max_attempts: 2,
    };
    let config = RoutingConfig {
        version: 1,
        hosts: vec![HostRoutes {
            host: "hire.example".into(),
            routes: vec![rule],
        }],
        ..RoutingConfig::default()
    };
    PollReply {
        coordinator: 7,
        proof_age_ms: Some(10),
        complete: true,
        whole: false,
        table_position: 1,
        servers: Vec::new(),
        removed: Vec::new(),
        retired: None,
        applied_index: 1,
        evidence_position: 1,
        evidence: Vec::new(),
        suspects: None,
        suspects_position: 0,
        config_version: 1,
        config: Some(config.into()),
        demand: Vec::new(),
        unknown_gateways: 0,
        own_demand: Vec::new(),
        gateways: 1,
        relays: Vec::new(),
        coordinators: Vec::new(),
    }
}
