//! Computes the capacity page from the slopes. Section numbers in comments refer to the design document.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use crate::size::{FleetSize, NODE_LIMITS, TARGET, USER_E, USER_M};
use crate::slopes::Slopes;

/// Number of witnesses of a group.
const WITNESS_COUNT: f64 = 5.0;

/// Polls per second from one instance to one witness.
const POLLS_PER_S: f64 = 2.0;

/// Exchanges per second of one instance with the leader as implemented. Reports about rate limits
/// and requests for backend server changes have the same rate, as does outlier detection at the leader.
const CURRENT_SYNCS_PER_S: f64 = 4.0;

/// Exchanges per second of one instance with the leader at the target size. One message then carries the
/// evidence of a second.
const TARGET_SYNCS_PER_S: f64 = 1.0;

/// Announcements per second from one backend server to one witness.
const ANNOUNCES_PER_S: f64 = 0.5;

/// Number of entry instances whose addresses the callers of one organisation receive.
const INSTANCES_PER_ORGANISATION: f64 = 4.0;

/// Retention time of claims, in seconds.
const CLAIM_RETENTION_S: f64 = 600.0;

/// Limit of the memory for claims at a witness, in bytes; claims above it are refused (setting
/// `limits.claim_memory`).
const CLAIM_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// Overhead of one message in bytes: 20 for TCP, 20 for IP and 22 for TLS.
const MESSAGE_OVERHEAD_BYTES: f64 = 62.0;

/// Number of children of a relay in the relay tree of an availability zone (section 4.1).
const RELAY_FAN_OUT: f64 = 16.0;

const DAY_S: f64 = 86_400.0;

/// Load of a role on one node.
#[derive(Debug, Clone, Copy, Default)]
struct NodeLoad {
    /// Traffic without claims, sent and received, in bytes per second.
    bytes_per_s: f64,
    /// Traffic for claims of actions, in bytes per second.
    claim_bytes_per_s: f64,
    /// Processor time, claims included, in microseconds per second.
    us_per_s: f64,
    /// Memory, claims included, in bytes.
    memory_bytes: f64,
}

impl NodeLoad {
    fn plus(self, other: Self) -> Self {
        Self {
            bytes_per_s: self.bytes_per_s + other.bytes_per_s,
            claim_bytes_per_s: self.claim_bytes_per_s + other.claim_bytes_per_s,
            us_per_s: self.us_per_s + other.us_per_s,
            memory_bytes: self.memory_bytes + other.memory_bytes,
        }
    }

    fn core_percent(self) -> f64 {
        self.us_per_s / 10_000.0
    }

    fn memory_mb(self) -> f64 {
        self.memory_bytes / 1e6
    }
}

/// How the control work of a fleet is distributed.
#[derive(Debug, Clone, Copy)]
struct Topology {
    /// Number of cells. A cell is a witness group with the instances that serve the services of the group.
    cells: f64,
    /// Whether freshness, configuration and members are distributed through relays.
    relays: bool,
    /// Exchanges per second of an instance with its leader.
    syncs_per_s: f64,
    /// Maximum number of backend servers that one instance sends requests to.
    servers_per_instance: f64,
}

/// Current implementation: one cell, no relays, and every instance sends to every backend server.
const CURRENT_TOPOLOGY: Topology = Topology {
    cells: 1.0,
    relays: false,
    syncs_per_s: CURRENT_SYNCS_PER_S,
    servers_per_instance: f64::INFINITY,
};

/// Topology at the target size with a number of cells. Each instance sends to a quarter of the backend
/// servers of its cell. It then reaches four of the 17 backend servers of a service, and each backend
/// server receives requests from 18 / 4 instances.
fn target_topology(cells: f64) -> Topology {
    Topology {
        cells,
        relays: true,
        syncs_per_s: TARGET_SYNCS_PER_S,
        servers_per_instance: TARGET.backend_servers / cells / 4.0,
    }
}

/// Returns the directory of the documentation in the source tree.
#[must_use]
pub fn docs_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// Renders the capacity page as Markdown.
#[must_use]
pub fn render(slopes: &Slopes) -> String {
    let mut page = INTRODUCTION.to_owned();
    write_slopes_table(&mut page, slopes);
    page.push_str(CURRENT_SECTION);
    for size in [USER_M, USER_E, TARGET] {
        write_role_table(&mut page, slopes, size, CURRENT_TOPOLOGY);
    }
    write_growth_table(&mut page, slopes);
    page.push_str(TARGET_SECTION);
    let cells = required_cells(slopes);
    let topology = target_topology(cells);
    let _ = writeln!(
        page,
        "The smallest number of cells with which every role is within the limits without claims, or the largest one \
         with 5 instances a cell, is {cells:.0}: {:.0} instances, {:.0} backend servers and {:.0} organisations in \
         each.\n",
        TARGET.instances / cells,
        TARGET.backend_servers / cells,
        TARGET.organisations / cells,
    );
    write_role_table(&mut page, slopes, TARGET, topology);
    let max_actions_per_s = CLAIM_MEMORY_BYTES / CLAIM_RETENTION_S / slopes.claim_memory_bytes;
    let _ = writeln!(
        page,
        "One cell carries {max_actions_per_s:.0} actions per second without a break, with 64 MiB for claims, \
         10 minutes of retention and answers of 256 bytes; above that actions are refused with code 2011 until claims \
         expire. Both numbers are settings.\n",
    );
    page.push_str(MECHANISMS_SECTION);
    write_failure_table(&mut page, slopes, topology);
    page.push_str(OPEN_ISSUES_SECTION);
    page
}

fn write_slopes_table(page: &mut String, slopes: &Slopes) {
    page.push_str("## Slopes\n\n| Slope | Value |\n|---|---|\n");
    let value = serde_json::to_value(slopes).unwrap_or_default();
    for (name, number) in value.as_object().into_iter().flatten() {
        let number = number.as_f64().unwrap_or_default();
        let _ = writeln!(page, "| `{name}` | {number:.2} |");
    }
    page.push('\n');
}

/// Writes a table with the load of each role in a fleet.
fn write_role_table(page: &mut String, slopes: &Slopes, size: FleetSize, topology: Topology) {
    let _ = writeln!(
        page,
        "### {}: {} instances, {} backend servers, {} organisations, {} requests/s, {:.0} cell(s)\n",
        size.name,
        size.instances,
        size.backend_servers,
        size.organisations,
        size.requests_per_s,
        topology.cells,
    );
    page.push_str("| Role on one node | KB/s | KB/s for claims | % of a core | MB | Within the limits, without claims |\n");
    page.push_str("|---|---|---|---|---|---|\n");
    for (name, load) in role_loads(slopes, size, topology) {
        let _ = writeln!(
            page,
            "| {name} | {:.2} | {:.2} | {:.2} | {:.1} | {} |",
            load.bytes_per_s / 1e3,
            load.claim_bytes_per_s / 1e3,
            load.core_percent(),
            load.memory_mb(),
            limit_check(load)
        );
    }
    page.push('\n');
}

/// Returns the load of each combination of roles that one node can have.
fn role_loads(
    slopes: &Slopes,
    size: FleetSize,
    topology: Topology,
) -> Vec<(&'static str, NodeLoad)> {
    let entry = entry_load(slopes, size, topology);
    let witness = witness_load(slopes, size, topology);
    let leader = leader_load(slopes, size, topology);
    let mut roles = vec![
        ("entry", entry),
        ("entry and witness", entry.plus(witness)),
        (
            "entry, witness and leader",
            entry.plus(witness).plus(leader),
        ),
        (
            "control leader",
            control_leader_load(slopes, size, topology),
        ),
    ];
    if topology.relays {
        let relay = relay_load(slopes, size);
        roles.insert(1, ("entry and relay", entry.plus(relay)));
    }
    roles
}

/// Returns the size of one cell of the fleet.
fn cell_size(size: FleetSize, topology: Topology) -> FleetSize {
    FleetSize {
        instances: size.instances / topology.cells,
        backend_servers: size.backend_servers / topology.cells,
        services: size.services / topology.cells,
        routes: size.routes / topology.cells,
        organisations: size.organisations / topology.cells,
        requests_per_s: size.requests_per_s / topology.cells,
        restarts_per_day: size.restarts_per_day / topology.cells,
        ..size
    }
}

/// Computes the load of an entry instance: polls, exchanges with the leader, claims, and memory for the
/// configuration and the backend servers.
fn entry_load(slopes: &Slopes, size: FleetSize, topology: Topology) -> NodeLoad {
    let cell = cell_size(size, topology);
    let round_trip_overhead = 2.0 * MESSAGE_OVERHEAD_BYTES;
    // An instance polls the witnesses of its cell and, in a topology with relays, its parent relay. It
    // requests backend server changes from one witness per period, in round-robin order.
    let polled = WITNESS_COUNT + f64::from(u8::from(topology.relays));
    let actions = cell.requests_per_s / cell.instances * cell.action_share;
    let limits = limits_per_instance(cell);
    let evidence = evidence_cells(cell, topology);
    let polls = polled * POLLS_PER_S;
    let deltas = topology.syncs_per_s;
    let config = size.changes_per_day / DAY_S * slopes.change_bytes;
    let backend_changes = cell.restarts_per_day / DAY_S * WITNESS_COUNT * slopes.delta_server_bytes;
    let bytes_per_s = polls * (slopes.poll_bytes + round_trip_overhead)
        + deltas * (slopes.delta_bytes + round_trip_overhead)
        + topology.syncs_per_s * (slopes.sync_bytes + round_trip_overhead)
        + topology.syncs_per_s * evidence * (slopes.sync_cell_bytes + slopes.sync_in_flight_bytes)
        + topology.syncs_per_s * limits * slopes.limit_bytes
        + config
        + backend_changes;
    // Assumes that a message costs the instance as much processor time as the witness or the leader.
    let us_per_s = polls * slopes.poll_us
        + deltas * slopes.delta_us
        + topology.syncs_per_s * (slopes.sync_us + evidence * slopes.sync_us_per_cell)
        + topology.syncs_per_s * limits * slopes.limit_us
        + actions * WITNESS_COUNT * slopes.claim_us
        + size.changes_per_day / DAY_S * slopes.change_us;
    NodeLoad {
        bytes_per_s,
        claim_bytes_per_s: actions
            * WITNESS_COUNT
            * (slopes.claim_bytes + 2.0 * round_trip_overhead),
        us_per_s,
        memory_bytes: entry_memory(slopes, size, cell),
    }
}

/// Computes the memory of an entry instance in bytes: the configuration of the whole fleet, scaled by its
/// size as JSON, and the backend servers of the cell.
fn entry_memory(slopes: &Slopes, size: FleetSize, cell: FleetSize) -> f64 {
    let config = slopes.config_memory_bytes * config_json_bytes(slopes, size)
        / config_json_bytes(slopes, TARGET);
    config + cell.backend_servers * slopes.server_memory_bytes
}

/// Computes the size of the configuration of the fleet as JSON, in bytes.
fn config_json_bytes(slopes: &Slopes, size: FleetSize) -> f64 {
    size.services * slopes.config_service_bytes + size.organisations * slopes.config_key_bytes
}

/// Returns the number of rate limits that one instance reports per exchange: one for each organisation
/// that receives its address, but no more than its requests per second.
fn limits_per_instance(cell: FleetSize) -> f64 {
    let organisations =
        cell.organisations * INSTANCES_PER_ORGANISATION.min(cell.instances) / cell.instances;
    organisations.min(cell.requests_per_s / cell.instances)
}

/// Returns the number of evidence cells in one exchange: at most one per request since the last exchange,
/// and at most one per backend server that the instance sends to.
fn evidence_cells(cell: FleetSize, topology: Topology) -> f64 {
    let requests = cell.requests_per_s / cell.instances / topology.syncs_per_s;
    requests
        .min(cell.backend_servers)
        .min(topology.servers_per_instance)
}

/// Computes the load of a witness of a cell, without its load as an entry instance.
fn witness_load(slopes: &Slopes, size: FleetSize, topology: Topology) -> NodeLoad {
    let cell = cell_size(size, topology);
    let round_trip_overhead = 2.0 * MESSAGE_OVERHEAD_BYTES;
    let polls = cell.instances * POLLS_PER_S;
    let deltas = cell.instances * topology.syncs_per_s / WITNESS_COUNT;
    let actions = cell.requests_per_s * cell.action_share;
    let announces = cell.backend_servers * ANNOUNCES_PER_S;
    let poll_us = slopes.poll_us + slopes.poll_us_per_1000_members * cell.instances / 1000.0;
    NodeLoad {
        bytes_per_s: polls * (slopes.poll_bytes + round_trip_overhead)
            + deltas * (slopes.delta_bytes + round_trip_overhead)
            + announces * (slopes.announce_bytes + round_trip_overhead),
        claim_bytes_per_s: actions * (slopes.claim_bytes + 2.0 * round_trip_overhead),
        us_per_s: polls * poll_us
            + deltas * slopes.delta_us
            + actions * slopes.claim_us
            + announces * slopes.announce_us,
        memory_bytes: (actions * CLAIM_RETENTION_S * slopes.claim_memory_bytes)
            .min(CLAIM_MEMORY_BYTES),
    }
}

/// Computes the load of the leader of a cell, without its load as an entry instance and witness.
fn leader_load(slopes: &Slopes, size: FleetSize, topology: Topology) -> NodeLoad {
    let cell = cell_size(size, topology);
    let round_trip_overhead = 2.0 * MESSAGE_OVERHEAD_BYTES;
    let syncs = cell.instances * topology.syncs_per_s;
    let evidence = syncs * evidence_cells(cell, topology);
    let reports = syncs * limits_per_instance(cell);
    NodeLoad {
        bytes_per_s: syncs * (slopes.sync_bytes + round_trip_overhead)
            + evidence * (slopes.sync_cell_bytes + slopes.sync_in_flight_bytes)
            + reports * slopes.limit_bytes,
        us_per_s: syncs * slopes.sync_us
            + evidence * slopes.sync_us_per_cell
            + reports * slopes.limit_us
            + cell.backend_servers * CURRENT_SYNCS_PER_S * slopes.detect_us_per_server,
        ..NodeLoad::default()
    }
}

/// Computes the load of a relay, which passes freshness, members and configuration to its children.
fn relay_load(slopes: &Slopes, size: FleetSize) -> NodeLoad {
    let polls = RELAY_FAN_OUT * POLLS_PER_S;
    let changes = size.changes_per_day / DAY_S * RELAY_FAN_OUT;
    let members = size.restarts_per_day / DAY_S * RELAY_FAN_OUT;
    let bytes = polls * (slopes.poll_bytes + 2.0 * MESSAGE_OVERHEAD_BYTES)
        + changes * slopes.change_bytes
        + members * slopes.poll_member_bytes;
    NodeLoad {
        bytes_per_s: bytes,
        us_per_s: polls * slopes.poll_us,
        ..NodeLoad::default()
    }
}

/// Computes the load of the control leader, which pushes to the witnesses of the freshness group every
/// 500 ms. With relays the freshness group has 7 witnesses instead of 5, hence the factor 1.4.
fn control_leader_load(slopes: &Slopes, size: FleetSize, topology: Topology) -> NodeLoad {
    let receivers = WITNESS_COUNT * if topology.relays { 1.4 } else { 1.0 };
    let pushes = receivers * POLLS_PER_S * (slopes.poll_bytes + 2.0 * MESSAGE_OVERHEAD_BYTES);
    let changes = size.changes_per_day / DAY_S;
    // Each change is sent to the receivers and to two other control replicas.
    let bytes = pushes + changes * slopes.change_bytes * (receivers + 2.0);
    let us = receivers * POLLS_PER_S * slopes.poll_us + changes * slopes.change_us;
    NodeLoad {
        bytes_per_s: bytes,
        us_per_s: us,
        // Holds the state, the newest snapshot and a snapshot in progress.
        memory_bytes: 3.0 * entry_memory(slopes, size, size),
        ..NodeLoad::default()
    }
}

/// Compares a load with the limits of a node and returns the text of the table cell.
fn limit_check(load: NodeLoad) -> String {
    let mut exceeded = Vec::new();
    if load.bytes_per_s > NODE_LIMITS.traffic_kb_per_s * 1e3 {
        exceeded.push("traffic");
    }
    if load.core_percent() > NODE_LIMITS.core_percent {
        exceeded.push("processor");
    }
    if load.memory_mb() > NODE_LIMITS.memory_mb {
        exceeded.push("memory");
    }
    if exceeded.is_empty() {
        "yes".to_owned()
    } else {
        format!("NO: {}", exceeded.join(", "))
    }
}

/// Returns the smallest number of cells with which every role is within the limits. If there is none,
/// returns the largest number that leaves five instances per cell.
fn required_cells(slopes: &Slopes) -> f64 {
    let max_cells = (TARGET.instances / WITNESS_COUNT).floor();
    let mut cells = 1.0;
    while cells < max_cells {
        let topology = target_topology(cells);
        let within_limits = |(_, load): (&str, NodeLoad)| limit_check(load) == "yes";
        if role_loads(slopes, TARGET, topology)
            .into_iter()
            .all(within_limits)
        {
            return cells;
        }
        cells += 1.0;
    }
    max_cells
}

/// Writes a table that shows which limit the busiest instance exceeds first as a fleet with the
/// proportions of the target grows.
fn write_growth_table(page: &mut String, slopes: &Slopes) {
    page.push_str("### What breaks first today\n\n");
    page.push_str(
        "A fleet in the proportions of the target, in one cell; the instance is entry, witness and leader:\n\n",
    );
    page.push_str("| Instances | KB/s | KB/s for claims | % of a core | MB | Verdict |\n|---|---|---|---|---|---|\n");
    for instances in [14.0, 17.0, 35.0, 71.0, 142.0, 355.0, 710.0] {
        let scale = instances / TARGET.instances;
        let size = FleetSize {
            instances,
            backend_servers: TARGET.backend_servers * scale,
            services: TARGET.services * scale,
            routes: TARGET.routes * scale,
            organisations: TARGET.organisations * scale,
            requests_per_s: TARGET.requests_per_s * scale,
            ..TARGET
        };
        let load = entry_load(slopes, size, CURRENT_TOPOLOGY)
            .plus(witness_load(slopes, size, CURRENT_TOPOLOGY))
            .plus(leader_load(slopes, size, CURRENT_TOPOLOGY));
        let _ = writeln!(
            page,
            "| {instances} | {:.1} | {:.1} | {:.2} | {:.1} | {} |",
            load.bytes_per_s / 1e3,
            load.claim_bytes_per_s / 1e3,
            load.core_percent(),
            load.memory_mb(),
            limit_check(load)
        );
    }
    page.push('\n');
}

/// Writes a table with the effects of failures at the target size.
fn write_failure_table(page: &mut String, slopes: &Slopes, topology: Topology) {
    let cell = cell_size(TARGET, topology);
    let config_bytes = config_json_bytes(slopes, TARGET);
    let backend_server_bytes = cell.backend_servers * slopes.delta_server_bytes;
    let _ = writeln!(
        page,
        "## When something fails at the target size\n\n\
         | Event | Effect on the control work |\n|---|---|\n\
         | Restart of one instance | It reads {:.1} MB of configuration and {:.2} MB of backend servers from peers; \
         at 8 KB/s alone that would take {:.0} s, so this read is outside the steady limit. |\n\
         | Rack or switch, 20 instances | {:.1} % of the instances; rate allocations held there return after 10 s, a \
         cell that loses more than two of its five witnesses stops admission. |\n\
         | Availability zone, {:.0} instances | Cells with witnesses in 5 zones of their region lose one of 5; the \
         leaders there ({:.0} of {:.0}) change within 3 s. |\n\
         | Regions apart | Cells lie within one region, so claims, allocations and ejections go on in both; the \
         freshness witnesses have a majority in one region, and the other refuses after 4 s. |\n",
        config_bytes / 1e6,
        backend_server_bytes / 1e6,
        (config_bytes + backend_server_bytes) / (NODE_LIMITS.traffic_kb_per_s * 1e3),
        20.0 / TARGET.instances * 100.0,
        TARGET.instances / 8.0,
        topology.cells / 8.0,
        topology.cells,
    );
}

/// Start of the page, up to the table of slopes.
const INTRODUCTION: &str = "# Capacity

Generated by `cargo run --release -p radishpaddle-capacity -- render` from `docs/capacity-slopes.json`; a test compares
page and slopes. The slopes are measured by `cargo run --release -p radishpaddle-capacity -- measure` with the code that
the processes run, on one machine, without a network. The size is that of design section 1.4; the limits for the control
work of one node are 3.9 % of a core, 128 MB and 8 KB/s, with at most 7 instances set aside, changes in force everywhere
within 8 s and 1.6 ms added to a request at p99 (the latter is measured, see `docs/measurements.md`).

Assumptions that are not measured: one tenth of the requests are actions, a message costs 62 bytes of TCP, IP and TLS,
callers of an organisation use 4 instances, and the load of user M and user E is 1,500 and 4,000 requests/s. Traffic
counts both directions. Claims are messages between instances that belong to a request, so they have a column of their
own; processor time and memory include them.

";

const CURRENT_SECTION: &str = "## What is built today: one cell, every instance polls every witness

";

const TARGET_SECTION: &str = "## The target with cells and relays

Not built yet. A cell is a witness group with the instances that serve its services, each with the code of today's
fleet; the address answer sends callers of a service to its cell. Services are divided among cells by rendezvous hash.
Freshness, members and configuration come from one group of 7 witnesses through a relay tree per availability zone
with fan-out 16 (design 4.1). An instance sends to a quarter of the backend servers of its cell and exchanges with its
leader once a second; detection still runs every 250 ms on what has arrived.

";

const MECHANISMS_SECTION: &str = "## Mechanisms

| What | Carried by | Built |
|---|---|---|
| Configuration, 750 changes a day within 8 s | control group of 3 to 7 to the freshness witnesses by deltas; pull from witnesses by poll | yes, direct |
| The same at 710 instances | relay tree of depth 3 (16 * 16 * 16 > 710), one poll period of 0.5 s a level, 1.5 s in all | no |
| Freshness of keys and documents | quorum polls; ages add up through relays | direct only |
| 10,000 backend servers | announcements to 5 witnesses, versioned deltas to readers | yes, one cell |
| 18,000 organisations | one pool per limit at the leader, holders at 4 instances by the address answer | yes, one cell |
| Actions | claims at 5 witnesses | yes, one cell |
| Ejection, load of the fleet | evidence cells to the leader every 250 ms | yes, one cell |
| Connections to backend servers | subsets by rendezvous hash (`policy::subset_size`) | yes |

";

const OPEN_ISSUES_SECTION: &str = "## Not settled

- Claims are the largest traffic of a witness, and their memory grows with the answers that are recorded for 10 minutes.
  The register bounds its memory and refuses further claims instead of losing one (design 4.3).
- The relay tree and the division into cells are designed and computed, not built; their figures are computed from the
  slopes of today's code.
- Reading whole tables after a restart is outside the steady figures.
";
