//! Computes the capacity page from the slopes.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use crate::size::{FleetSize, LIMITS, TARGET, USER_E, USER_M};
use crate::slopes::Slopes;

/// Witnesses of a group.
const WITNESSES: f64 = 5.0;

/// Polls per second of one instance to one witness.
const POLLS_PER_S: f64 = 2.0;

/// Exchanges per second of one instance with the leader, reports about rate limits and requests for
/// backend server changes, as built.
const SYNCS_PER_S: f64 = 4.0;

/// The same at the target, so that the evidence of a second goes out at once.
const TARGET_SYNCS_PER_S: f64 = 1.0;

/// Announcements per second of one backend server.
const ANNOUNCES_PER_S: f64 = 0.5;

/// Entry instances that the callers of one organisation are told.
const INSTANCES_PER_ORGANISATION: f64 = 4.0;

/// Time for which claims are kept, in seconds.
const CLAIM_RETENTION_S: f64 = 600.0;

/// Memory for claims at a witness; more claims are refused (setting `limits.claim_memory`).
const CLAIM_MEMORY_BYTES: f64 = 64.0 * 1024.0 * 1024.0;

/// TCP, IP and TLS bytes of one message: 20 + 20 + 22.
const PACKET_BYTES: f64 = 62.0;

/// Children of a relay in the tree of an availability zone (design 4.1).
const RELAY_FAN_OUT: f64 = 16.0;

const DAY_S: f64 = 86_400.0;

/// Cost of a role on one node.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    /// Bytes per second, sent and received, without claims.
    bytes_per_s: f64,
    /// Bytes per second for claims of actions.
    claim_bytes_per_s: f64,
    /// Microseconds of processor time per second, claims included.
    us_per_s: f64,
    /// Bytes of memory, claims included.
    memory_bytes: f64,
}

impl Load {
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

/// How a fleet divides its control work.
#[derive(Debug, Clone, Copy)]
struct Shape {
    /// Cells: a witness group with the instances that serve the services of the group.
    cells: f64,
    /// Whether freshness, configuration and members pass through relays.
    relays: bool,
    /// Exchanges per second of an instance with its leader.
    syncs_per_s: f64,
    /// Backend servers that one instance sends to.
    servers_per_instance: f64,
}

/// What is built today: one cell, no relays, every instance sends to every backend server.
const TODAY: Shape = Shape {
    cells: 1.0,
    relays: false,
    syncs_per_s: SYNCS_PER_S,
    servers_per_instance: f64::INFINITY,
};

/// The target with a number of cells. A quarter of the backend servers of a cell leaves each service
/// of 17 servers four of them at every instance, and each server 18 / 4 instances.
fn target_shape(cells: f64) -> Shape {
    Shape {
        cells,
        relays: true,
        syncs_per_s: TARGET_SYNCS_PER_S,
        servers_per_instance: TARGET.backend_servers / cells / 4.0,
    }
}

/// Directory of the documentation.
#[must_use]
pub fn docs_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// The page.
#[must_use]
pub fn render(slopes: &Slopes) -> String {
    let mut page = HEAD.to_owned();
    slopes_table(&mut page, slopes);
    page.push_str(TODAY_TEXT);
    for size in [USER_M, USER_E, TARGET] {
        role_table(&mut page, slopes, size, TODAY);
    }
    breaks(&mut page, slopes);
    page.push_str(TARGET_TEXT);
    let cells = cells_needed(slopes);
    let shape = target_shape(cells);
    let _ = writeln!(
        page,
        "The smallest number of cells with which every role is within the limits without claims, or the largest one \
         with 5 instances a cell, is {cells:.0}: {:.0} instances, {:.0} backend servers and {:.0} organisations in \
         each.\n",
        TARGET.instances / cells,
        TARGET.backend_servers / cells,
        TARGET.organisations / cells,
    );
    role_table(&mut page, slopes, TARGET, shape);
    let held = CLAIM_MEMORY_BYTES / CLAIM_RETENTION_S / slopes.claim_memory_bytes;
    let _ = writeln!(
        page,
        "One cell carries {held:.0} actions per second without a break, with 64 MiB for claims, 10 minutes of \
         retention and answers of 256 bytes; above that actions are refused with code 2011 until claims expire. Both \
         numbers are settings.\n",
    );
    page.push_str(MECHANISMS);
    failures(&mut page, slopes, shape);
    page.push_str(OPEN);
    page
}

fn slopes_table(page: &mut String, slopes: &Slopes) {
    page.push_str("## Slopes\n\n| Slope | Value |\n|---|---|\n");
    let value = serde_json::to_value(slopes).unwrap_or_default();
    for (name, number) in value.as_object().into_iter().flatten() {
        let number = number.as_f64().unwrap_or_default();
        let _ = writeln!(page, "| `{name}` | {number:.2} |");
    }
    page.push('\n');
}

fn role_table(page: &mut String, slopes: &Slopes, size: FleetSize, shape: Shape) {
    let _ = writeln!(
        page,
        "### {}: {} instances, {} backend servers, {} organisations, {} requests/s, {:.0} cell(s)\n",
        size.name,
        size.instances,
        size.backend_servers,
        size.organisations,
        size.requests_per_s,
        shape.cells,
    );
    page.push_str("| Role on one node | KB/s | KB/s for claims | % of a core | MB | Within the limits, without claims |\n");
    page.push_str("|---|---|---|---|---|---|\n");
    for (name, load) in roles(slopes, size, shape) {
        let _ = writeln!(
            page,
            "| {name} | {:.2} | {:.2} | {:.2} | {:.1} | {} |",
            load.bytes_per_s / 1e3,
            load.claim_bytes_per_s / 1e3,
            load.core_percent(),
            load.memory_mb(),
            verdict(load)
        );
    }
    page.push('\n');
}

fn roles(slopes: &Slopes, size: FleetSize, shape: Shape) -> Vec<(&'static str, Load)> {
    let entry = entry(slopes, size, shape);
    let witness = witness(slopes, size, shape);
    let leader = leader(slopes, size, shape);
    let mut roles = vec![
        ("entry", entry),
        ("entry and witness", entry.plus(witness)),
        (
            "entry, witness and leader",
            entry.plus(witness).plus(leader),
        ),
        ("control leader", control(slopes, size, shape)),
    ];
    if shape.relays {
        let relay = relay(slopes, size);
        roles.insert(1, ("entry and relay", entry.plus(relay)));
    }
    roles
}

/// The part of the fleet that one cell serves.
fn cell_of(size: FleetSize, shape: Shape) -> FleetSize {
    FleetSize {
        instances: size.instances / shape.cells,
        backend_servers: size.backend_servers / shape.cells,
        services: size.services / shape.cells,
        routes: size.routes / shape.cells,
        organisations: size.organisations / shape.cells,
        requests_per_s: size.requests_per_s / shape.cells,
        restarts_per_day: size.restarts_per_day / shape.cells,
        ..size
    }
}

/// Every entry instance: polls, exchange with the leader, claims, its copy of the state.
fn entry(slopes: &Slopes, size: FleetSize, shape: Shape) -> Load {
    let cell = cell_of(size, shape);
    let message = 2.0 * PACKET_BYTES;
    // The witnesses of the cell, and the relay above when there are relays. One witness is asked for
    // backend server changes in each period, in turns.
    let polled = WITNESSES + f64::from(u8::from(shape.relays));
    let actions = cell.requests_per_s / cell.instances * cell.action_part;
    let limits = limits_per_instance(cell);
    let cells = evidence_cells(cell, shape);
    let polls = polled * POLLS_PER_S;
    let deltas = shape.syncs_per_s;
    let config = size.changes_per_day / DAY_S * slopes.change_bytes;
    let churn = cell.restarts_per_day / DAY_S * WITNESSES * slopes.delta_server_bytes;
    let bytes_per_s = polls * (slopes.poll_bytes + message)
        + deltas * (slopes.delta_bytes + message)
        + shape.syncs_per_s * (slopes.sync_bytes + message)
        + shape.syncs_per_s * cells * (slopes.sync_cell_bytes + slopes.sync_in_flight_bytes)
        + shape.syncs_per_s * limits * slopes.limit_bytes
        + config
        + churn;
    // The instance spends on a message what the witness or the leader spends on it.
    let us_per_s = polls * slopes.poll_us
        + deltas * slopes.delta_us
        + shape.syncs_per_s * (slopes.sync_us + cells * slopes.sync_us_per_cell)
        + shape.syncs_per_s * limits * slopes.limit_us
        + actions * WITNESSES * slopes.claim_us
        + size.changes_per_day / DAY_S * slopes.change_us;
    Load {
        bytes_per_s,
        claim_bytes_per_s: actions * WITNESSES * (slopes.claim_bytes + 2.0 * message),
        us_per_s,
        memory_bytes: entry_memory(slopes, size, cell),
    }
}

/// The copy of the whole configuration, scaled by its JSON size, and the backend servers of the cell.
fn entry_memory(slopes: &Slopes, size: FleetSize, cell: FleetSize) -> f64 {
    let config =
        slopes.config_memory_bytes * config_json(slopes, size) / config_json(slopes, TARGET);
    config + cell.backend_servers * slopes.server_memory_bytes
}

fn config_json(slopes: &Slopes, size: FleetSize) -> f64 {
    size.services * slopes.config_service_bytes + size.organisations * slopes.config_key_bytes
}

/// Limits that one instance reports about: those of the organisations that are told its address and
/// sent a request in the period.
fn limits_per_instance(cell: FleetSize) -> f64 {
    let told = cell.organisations * INSTANCES_PER_ORGANISATION.min(cell.instances) / cell.instances;
    told.min(cell.requests_per_s / cell.instances)
}

/// Evidence cells in one exchange: at most one per request of the period and per backend server.
fn evidence_cells(cell: FleetSize, shape: Shape) -> f64 {
    let requests = cell.requests_per_s / cell.instances / shape.syncs_per_s;
    requests
        .min(cell.backend_servers)
        .min(shape.servers_per_instance)
}

/// One witness of a cell.
fn witness(slopes: &Slopes, size: FleetSize, shape: Shape) -> Load {
    let cell = cell_of(size, shape);
    let message = 2.0 * PACKET_BYTES;
    let polls = cell.instances * POLLS_PER_S;
    let readers = cell.instances * shape.syncs_per_s / WITNESSES;
    let actions = cell.requests_per_s * cell.action_part;
    let announces = cell.backend_servers * ANNOUNCES_PER_S;
    let poll_us = slopes.poll_us + slopes.poll_us_per_1000_members * cell.instances / 1000.0;
    Load {
        bytes_per_s: polls * (slopes.poll_bytes + message)
            + readers * (slopes.delta_bytes + message)
            + announces * (slopes.announce_bytes + message),
        claim_bytes_per_s: actions * (slopes.claim_bytes + 2.0 * message),
        us_per_s: polls * poll_us
            + readers * slopes.delta_us
            + actions * slopes.claim_us
            + announces * slopes.announce_us,
        memory_bytes: (actions * CLAIM_RETENTION_S * slopes.claim_memory_bytes)
            .min(CLAIM_MEMORY_BYTES),
    }
}

/// The leader of a cell.
fn leader(slopes: &Slopes, size: FleetSize, shape: Shape) -> Load {
    let cell = cell_of(size, shape);
    let message = 2.0 * PACKET_BYTES;
    let syncs = cell.instances * shape.syncs_per_s;
    let cells = syncs * evidence_cells(cell, shape);
    let reports = syncs * limits_per_instance(cell);
    Load {
        bytes_per_s: syncs * (slopes.sync_bytes + message)
            + cells * (slopes.sync_cell_bytes + slopes.sync_in_flight_bytes)
            + reports * slopes.limit_bytes,
        us_per_s: syncs * slopes.sync_us
            + cells * slopes.sync_us_per_cell
            + reports * slopes.limit_us
            + cell.backend_servers * SYNCS_PER_S * slopes.detect_us_per_server,
        ..Load::default()
    }
}

/// A relay passes freshness, members and configuration to its children.
fn relay(slopes: &Slopes, size: FleetSize) -> Load {
    let polls = RELAY_FAN_OUT * POLLS_PER_S;
    let changes = size.changes_per_day / DAY_S * RELAY_FAN_OUT;
    let members = size.restarts_per_day / DAY_S * RELAY_FAN_OUT;
    let bytes = polls * (slopes.poll_bytes + 2.0 * PACKET_BYTES)
        + changes * slopes.change_bytes
        + members * slopes.poll_member_bytes;
    Load {
        bytes_per_s: bytes,
        us_per_s: polls * slopes.poll_us,
        ..Load::default()
    }
}

/// The control leader pushes to the witnesses of the freshness group every 500 ms.
fn control(slopes: &Slopes, size: FleetSize, shape: Shape) -> Load {
    let receivers = WITNESSES * if shape.relays { 1.4 } else { 1.0 };
    let pushes = receivers * POLLS_PER_S * (slopes.poll_bytes + 2.0 * PACKET_BYTES);
    let changes = size.changes_per_day / DAY_S;
    // Each change goes to the receivers and to two other replicas.
    let bytes = pushes + changes * slopes.change_bytes * (receivers + 2.0);
    let us = receivers * POLLS_PER_S * slopes.poll_us + changes * slopes.change_us;
    Load {
        bytes_per_s: bytes,
        us_per_s: us,
        // The state, the newest snapshot and the one that is being made.
        memory_bytes: 3.0 * entry_memory(slopes, size, size),
        ..Load::default()
    }
}

fn verdict(load: Load) -> String {
    let mut over = Vec::new();
    if load.bytes_per_s > LIMITS.traffic_kb_per_s * 1e3 {
        over.push("traffic");
    }
    if load.core_percent() > LIMITS.core_percent {
        over.push("processor");
    }
    if load.memory_mb() > LIMITS.memory_mb {
        over.push("memory");
    }
    if over.is_empty() {
        "yes".to_owned()
    } else {
        format!("NO: {}", over.join(", "))
    }
}

/// The smallest number of cells with which every role is within the limits, or the largest one with
/// five instances a cell.
fn cells_needed(slopes: &Slopes) -> f64 {
    let most = (TARGET.instances / WITNESSES).floor();
    let mut cells = 1.0;
    while cells < most {
        let shape = target_shape(cells);
        let within = |(_, load): (&str, Load)| verdict(load) == "yes";
        if roles(slopes, TARGET, shape).into_iter().all(within) {
            return cells;
        }
        cells += 1.0;
    }
    most
}

/// What the busiest instance reaches first as a fleet in the proportions of the target grows.
fn breaks(page: &mut String, slopes: &Slopes) {
    page.push_str("### What breaks first today\n\n");
    page.push_str(
        "A fleet in the proportions of the target, in one cell; the instance is entry, witness and leader:\n\n",
    );
    page.push_str("| Instances | KB/s | KB/s for claims | % of a core | MB | Verdict |\n|---|---|---|---|---|---|\n");
    for instances in [14.0, 17.0, 35.0, 71.0, 142.0, 355.0, 710.0] {
        let part = instances / TARGET.instances;
        let size = FleetSize {
            instances,
            backend_servers: TARGET.backend_servers * part,
            services: TARGET.services * part,
            routes: TARGET.routes * part,
            organisations: TARGET.organisations * part,
            requests_per_s: TARGET.requests_per_s * part,
            ..TARGET
        };
        let load = entry(slopes, size, TODAY)
            .plus(witness(slopes, size, TODAY))
            .plus(leader(slopes, size, TODAY));
        let _ = writeln!(
            page,
            "| {instances} | {:.1} | {:.1} | {:.2} | {:.1} | {} |",
            load.bytes_per_s / 1e3,
            load.claim_bytes_per_s / 1e3,
            load.core_percent(),
            load.memory_mb(),
            verdict(load)
        );
    }
    page.push('\n');
}

fn failures(page: &mut String, slopes: &Slopes, shape: Shape) {
    let cell = cell_of(TARGET, shape);
    let state = config_json(slopes, TARGET);
    let servers = cell.backend_servers * slopes.delta_server_bytes;
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
        state / 1e6,
        servers / 1e6,
        (state + servers) / (LIMITS.traffic_kb_per_s * 1e3),
        20.0 / TARGET.instances * 100.0,
        TARGET.instances / 8.0,
        shape.cells / 8.0,
        shape.cells,
    );
}

const HEAD: &str = "# Capacity

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

const TODAY_TEXT: &str = "## What is built today: one cell, every instance polls every witness

";

const TARGET_TEXT: &str = "## The target with cells and relays

Not built yet. A cell is a witness group with the instances that serve its services, each with the code of today's
fleet; the address answer sends callers of a service to its cell. Services are divided among cells by rendezvous hash.
Freshness, members and configuration come from one group of 7 witnesses through a relay tree per availability zone
with fan-out 16 (design 4.1). An instance sends to a quarter of the backend servers of its cell and exchanges with its
leader once a second; detection still runs every 250 ms on what has arrived.

";

const MECHANISMS: &str = "## Mechanisms

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

const OPEN: &str = "## Not settled

- Claims are the largest traffic of a witness, and their memory grows with the answers that are recorded for 10 minutes.
  The register bounds its memory and refuses further claims instead of losing one (design 4.3).
- The relay tree and the division into cells are designed and computed, not built; their figures are computed from the
  slopes of today's code.
- Reading whole tables after a restart is outside the steady figures.
";
