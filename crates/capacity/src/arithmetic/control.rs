//! Needs of the control traffic: the cost of upstream lists and configuration for a balancer, for the control machines
//! that distribute them, and for a registrant.

use super::MB_PER_KIB;
use super::load_scenario::LoadScenario;
use super::mechanism::{CONFIGURATION_CLIENT, LIST_CLIENT, LIST_SERVICE, Mechanism, ORIGIN, RELAY};
use super::need::{Cost, Need, Requirement, SlopeRead, Term};
use super::role::Role;
use crate::plan::Plan;

/// Bytes of a watch's heartbeat, which is an empty line sent as one chunk of HTTP/1.1.
const HEARTBEAT_BYTES: f64 = 6.0;

/// Network traffic of upstream lists and configuration for a number of watchers in a load scenario, in bytes per second
/// unless a field says otherwise.
struct ControlTraffic {
    /// Measured parts of the list traffic: idle watches, updates and whole lists.
    list: [Term; 3],
    /// Estimate of the list traffic from the plan alone, used while a slope of `list` is missing.
    list_estimate: f64,
    /// Measured parts of the configuration traffic: idle watches and changes.
    configuration: [Term; 2],
    /// Configuration traffic that always follows from the plan: documents sent to catch up, and the difference in
    /// length between the changed documents and the measured one.
    configuration_from_plan: f64,
    /// Estimate of all configuration traffic from the plan alone, used while a slope of `configuration` is missing.
    configuration_estimate: f64,
    /// Configuration changes per second that the watchers receive. A watcher that catches up receives one more within
    /// `configuration.in_force_s`.
    changes_received: f64,
}

impl ControlTraffic {
    fn of(plan: &Plan, scenario: &LoadScenario, balancers: f64) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let time_limit_s = plan.configuration.in_force_s.value;
        let heartbeats = HEARTBEAT_BYTES / plan.list.beat_s.value;
        let list_bytes = plan.whole_list_bytes() as f64;
        // The slope was measured with changes of the fleet's document, so longer documents add their difference.
        let extra_bytes = scenario.changes
            * (scenario.bytes_per_balancer
                - scenario.concerned_fraction * plan.configuration.fleet_bytes.value as f64);
        let catch_up_bytes = scenario.catch_up_bytes / time_limit_s;
        let lines = scenario.lines * plan.list.entry_bytes.value as f64;
        let whole_lists = scenario.whole_lists / time_limit_s;
        let changes = scenario.changes * scenario.concerned_fraction;
        Self {
            list: [
                Term::of("control.list_rest_bytes_per_s_by_watchers", SlopeRead::Marginal, balancers),
                Term::of(
                    "control.list_change_bytes_by_changes",
                    SlopeRead::Marginal,
                    balancers * scenario.lines,
                ),
                Term::of(
                    "control.list_whole_bytes_by_upstreams",
                    SlopeRead::At(upstreams),
                    balancers * whole_lists,
                ),
            ],
            list_estimate: balancers * (heartbeats + lines + whole_lists * list_bytes),
            configuration: [
                Term::of(
                    "control.configuration_rest_bytes_per_s_by_watchers",
                    SlopeRead::Marginal,
                    balancers,
                ),
                Term::of(
                    "control.configuration_change_bytes_by_watchers",
                    SlopeRead::Marginal,
                    balancers * changes,
                ),
            ],
            configuration_from_plan: balancers * (extra_bytes + catch_up_bytes),
            configuration_estimate: balancers
                * (heartbeats + scenario.changes * scenario.bytes_per_balancer + catch_up_bytes),
            changes_received: balancers
                * (changes + if scenario.catch_up_bytes > 0.0 { 1.0 / time_limit_s } else { 0.0 }),
        }
    }
}

/// Budget of a balancer's control traffic or of a control machine.
struct Budget {
    /// Network budget, in bytes per second.
    bytes: Option<f64>,
    /// Processor budget, in cores.
    core: Option<f64>,
    /// Memory budget, in MB.
    memory: Option<f64>,
}

impl Budget {
    fn of_balancer(plan: &Plan) -> Self {
        let budget = &plan.budget;
        Self {
            bytes: Some(budget.bytes_per_s.value),
            core: Some(budget.core_share.value),
            memory: Some(budget.memory_mb.value),
        }
    }

    fn of_machine(plan: &Plan) -> Self {
        let budget = &plan.budget;
        Self {
            bytes: Some(budget.machine_bytes_per_s.value),
            core: Some(budget.machine_cores.value),
            memory: Some(budget.machine_memory_mb.value),
        }
    }
}

/// Costs of the control traffic of one balancer in a load scenario. The rows of its list client, of its configuration
/// client and of both together are made from these parts.
struct BalancerControl {
    /// Network traffic of the balancer's two clients.
    traffic: ControlTraffic,
    /// Bytes of the complete upstream list.
    list_bytes: f64,
    /// Bytes of the documents that the balancer uses.
    own_documents: f64,
    /// Processor time of the list client, in cores.
    list_core: [Term; 3],
    /// Processor time of the configuration client, in cores.
    configuration_core: [Term; 2],
    /// Memory of the process with the complete upstream list, in MB.
    list_memory: [Term; 1],
    /// Memory of the configuration client, in MB.
    configuration_memory: [Term; 1],
    /// Budget of the balancer's control traffic.
    budget: Budget,
}

/// Adds the rows for the control traffic of one balancer.
pub(super) fn balancer_control(plan: &Plan, scenario: &LoadScenario, rows: &mut Vec<Need>) {
    let control = BalancerControl::of(plan, scenario);
    control.list_client(rows);
    control.configuration_client(rows);
    control.combined(rows);
}

impl BalancerControl {
    fn of(plan: &Plan, scenario: &LoadScenario) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let time_limit_s = plan.configuration.in_force_s.value;
        let traffic = ControlTraffic::of(plan, scenario, 1.0);
        let list_core: [Term; 3] = [
            Term::of("process.idle_core_by_upstreams", SlopeRead::At(upstreams), 1.0),
            Term::of(
                "control.list_client_us_by_upstreams",
                SlopeRead::At(upstreams),
                scenario.whole_lists / time_limit_s / 1e6,
            ),
            Term::of(
                "control.list_client_change_us_by_upstreams",
                SlopeRead::At(upstreams),
                scenario.lines / 1e6,
            ),
        ];
        let configuration_core: [Term; 2] = [
            Term::of("control.configuration_client_core_by_watchers", SlopeRead::Marginal, 1.0),
            Term::of(
                "control.configuration_change_client_us_by_watchers",
                SlopeRead::Marginal,
                traffic.changes_received / 1e6,
            ),
        ];
        let list_memory: [Term; 1] =
            [Term::of("process.memory_kb_by_upstreams", SlopeRead::At(upstreams), MB_PER_KIB)];
        let configuration_memory: [Term; 1] =
            [Term::of("control.configuration_client_kb_by_watchers", SlopeRead::Marginal, MB_PER_KIB)];
        Self {
            traffic,
            list_bytes: plan.whole_list_bytes() as f64,
            own_documents: plan.own_documents_bytes(),
            list_core,
            configuration_core,
            list_memory,
            configuration_memory,
            budget: Budget::of_balancer(plan),
        }
    }

    /// Adds the rows of the list client.
    fn list_client(&self, rows: &mut Vec<Need>) {
        let mut role = Role {
            name: "balancer, its list client",
            mechanism: LIST_CLIENT,
            requirement: Requirement::Lists,
            rows,
        };
        role.row(Cost::State, "upstreams x bytes of an entry", "bytes", self.list_bytes, &[], None);
        role.row(
            Cost::Messages,
            "beats + lines/s x bytes of one + whole lists x their bytes / time that a change has",
            "bytes/s",
            0.0,
            &self.traffic.list,
            self.budget.bytes,
        )
        .estimate = Some(self.traffic.list_estimate);
        role.row(
            Cost::Processor,
            "a process at rest + whole lists and lines/s taken in and decided on, at all upstreams",
            "cores",
            0.0,
            &self.list_core,
            self.budget.core,
        );
        role.row(
            Cost::Memory,
            "the whole process at all upstreams",
            "MB",
            0.0,
            &self.list_memory,
            self.budget.memory,
        );
    }

    /// Adds the rows of the configuration client.
    fn configuration_client(&self, rows: &mut Vec<Need>) {
        let mut role = Role {
            name: "balancer, its configuration",
            mechanism: CONFIGURATION_CLIENT,
            requirement: Requirement::Configuration,
            rows,
        };
        role.row(Cost::State, "three documents", "bytes", self.own_documents, &[], None);
        role.row(
            Cost::Messages,
            "beats and reports + changes/s for it x bytes of one + documents caught up with / time that a change has",
            "bytes/s",
            self.traffic.configuration_from_plan,
            &self.traffic.configuration,
            self.budget.bytes,
        )
        .estimate = Some(self.traffic.configuration_estimate);
        role.row(
            Cost::Processor,
            "a client at rest + changes/s for it x time to take one in and report it",
            "cores",
            0.0,
            &self.configuration_core,
            self.budget.core,
        );
        role.row(
            Cost::Memory,
            "one more client; reckoned: three documents as text, as settings and once more while they change",
            "MB",
            0.0,
            &self.configuration_memory,
            self.budget.memory,
        )
        .estimate = Some(3.0 * self.own_documents / 1e6);
    }

    /// Adds the rows of both clients together.
    fn combined(&self, rows: &mut Vec<Need>) {
        let mut role = Role {
            name: "balancer, all its control",
            mechanism: LIST_CLIENT,
            requirement: Requirement::Control,
            rows,
        };
        role.row(Cost::State, "list + documents", "bytes", self.list_bytes + self.own_documents, &[], None);
        role.row(
            Cost::Messages,
            "list + configuration",
            "bytes/s",
            self.traffic.configuration_from_plan,
            &[&self.traffic.list[..], &self.traffic.configuration].concat(),
            self.budget.bytes,
        )
        .estimate = Some(self.traffic.list_estimate + self.traffic.configuration_estimate);
        let combined = [&self.list_core[..], &self.configuration_core].concat();
        role.row(Cost::Processor, "list + configuration", "cores", 0.0, &combined, self.budget.core);
        let combined = [&self.list_memory[..], &self.configuration_memory].concat();
        role.row(
            Cost::Memory,
            "process + one more client of the configuration",
            "MB",
            0.0,
            &combined,
            self.budget.memory,
        );
    }
}

/// Adds the rows of the control machines: origin, standby, relays and the list service.
pub(super) fn control_machines(plan: &Plan, scenario: &LoadScenario, rows: &mut Vec<Need>) {
    let documents = plan.documents_bytes();
    // A relay watches all scopes and at worst catches up with all documents; a balancer, only with those of its scopes.
    let relay_scenario = LoadScenario {
        concerned_fraction: 1.0,
        bytes_per_balancer: plan.change_bytes().max(scenario.bytes_per_balancer),
        catch_up_bytes: if scenario.catch_up_bytes > 0.0 { documents } else { 0.0 },
        ..scenario.clone()
    };
    let relays = plan.control_placement.zone_relays.value as f64 / plan.fleet.zones.value as f64;
    let zones = plan.fleet.zones_by_region.value.iter().copied().max().unwrap_or(1) as f64;
    let child_relays = scenario.region_children.min(relays * zones);
    let machine = |name, mechanism, relays: f64, balancers: f64, children: f64| ConfigurationMachine {
        name,
        mechanism,
        to_relays: ControlTraffic::of(plan, &relay_scenario, relays),
        to_balancers: ControlTraffic::of(plan, scenario, balancers),
        children,
    };
    let in_region = scenario.region_children;
    for machine in [
        machine("control: origin", ORIGIN, scenario.origin_children, 0.0, scenario.origin_children),
        machine("control: standby of the origin", RELAY, 1.0, 0.0, 0.0),
        machine(
            "control: relay of a region",
            RELAY,
            1.0 + child_relays,
            in_region - child_relays,
            child_relays + (in_region - child_relays),
        ),
        machine("control: relay of a zone", RELAY, 1.0, scenario.zone_children, scenario.zone_children),
    ] {
        machine.rows(plan, rows);
    }
    list_machines(plan, scenario, rows);
}

/// A control machine that distributes the configuration.
struct ConfigurationMachine {
    /// Name of the machine's role.
    name: &'static str,
    /// Program that provides the role.
    mechanism: Mechanism,
    /// Traffic between the machine and relays, including the machine's own parent.
    to_relays: ControlTraffic,
    /// Traffic between the machine and balancers.
    to_balancers: ControlTraffic,
    /// Number of relays and balancers that watch the machine.
    children: f64,
}

impl ConfigurationMachine {
    /// Adds the rows of the machine.
    fn rows(&self, plan: &Plan, rows: &mut Vec<Need>) {
        let Budget { bytes, core, memory } = Budget::of_machine(plan);
        let &Self { name, mechanism, ref to_relays, ref to_balancers, children } = self;
        let mut role = Role { name, mechanism, requirement: Requirement::Configuration, rows };
        role.row(Cost::State, "all documents", "bytes", plan.documents_bytes(), &[], None);
        role.row(
            Cost::Messages,
            "its watches, above and below, x what each is told and reports",
            "bytes/s",
            to_relays.configuration_from_plan + to_balancers.configuration_from_plan,
            &[to_relays.configuration, to_balancers.configuration].concat(),
            bytes,
        )
        .estimate = Some(to_relays.configuration_estimate + to_balancers.configuration_estimate);
        role.row(
            Cost::Processor,
            "its children's watches at rest + changes/s told, above and below, x time for one more told",
            "cores",
            0.0,
            &[
                Term::of("control.configuration_server_core_by_watchers", SlopeRead::At(children), 1.0),
                Term::of(
                    "control.configuration_change_server_us_by_watchers",
                    SlopeRead::Marginal,
                    (to_relays.changes_received + to_balancers.changes_received) / 1e6,
                ),
            ],
            core,
        );
        role.row(
            Cost::Memory,
            "a relay with so many children and all documents",
            "MB",
            0.0,
            &[Term::of("control.configuration_server_kb_by_watchers", SlopeRead::At(children), MB_PER_KIB)],
            memory,
        );
    }
}

/// Adds the rows of the service that distributes upstream lists, which runs on the machines of the zone relays.
fn list_machines(plan: &Plan, scenario: &LoadScenario, rows: &mut Vec<Need>) {
    let Budget { bytes, core, memory } = Budget::of_machine(plan);
    let mut role = Role {
        name: "control: lists, on the zone relays' machines",
        mechanism: LIST_SERVICE,
        requirement: Requirement::Lists,
        rows,
    };
    let readers = scenario.zone_children.max(scenario.region_children);
    let traffic = ControlTraffic::of(plan, scenario, readers);
    role.row(Cost::State, "the whole list", "bytes", plan.whole_list_bytes() as f64, &[], None);
    role.row(
        Cost::Messages,
        "readers of the busiest x what each is told",
        "bytes/s",
        0.0,
        &traffic.list,
        bytes,
    )
    .estimate = Some(traffic.list_estimate);
    role.row(
        Cost::Processor,
        "its readers' watches at rest, at a stand-in, + lines/s told",
        "cores",
        0.0,
        &[
            Term::of("control.list_server_core_by_watchers", SlopeRead::At(readers), 1.0),
            Term::of(
                "control.list_change_server_us_by_watchers",
                SlopeRead::Marginal,
                readers * scenario.lines / 1e6,
            ),
        ],
        core,
    );
    role.row(
        Cost::Memory,
        "its readers' watches, at a stand-in",
        "MB",
        0.0,
        &[Term::of("control.list_server_kb_by_watchers", SlopeRead::At(readers), MB_PER_KIB)],
        memory,
    );
}

/// Adds the rows of a registrant, which keeps one entry of the upstream list registered.
pub(super) fn registrant(plan: &Plan, rows: &mut Vec<Need>) {
    let entry = plan.list.entry_bytes.value as f64;
    let mut role =
        Role { name: "registrant", mechanism: LIST_SERVICE, requirement: Requirement::Lists, rows };
    role.row(Cost::State, "its own entry", "bytes", entry, &[], None);
    role.row(
        Cost::Messages,
        "its entry / time between renewals",
        "bytes/s",
        entry / plan.list.renew_s.value,
        &[],
        Some(plan.budget.bytes_per_s.value),
    );
    let renewal_core: [Term; 1] =
        [Term::of("control.registrant_core_by_rate", SlopeRead::At(1.0 / plan.list.renew_s.value), 1.0)];
    role.row(Cost::Processor, "renewals", "cores", 0.0, &renewal_core, Some(plan.budget.core_share.value));
    role.row(Cost::Memory, "its own entry", "MB", entry / 1e6, &[], Some(plan.budget.memory_mb.value));
}
