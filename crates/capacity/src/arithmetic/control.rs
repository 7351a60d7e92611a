//! Needs of the control traffic: the cost of upstream lists and configuration for a balancer, for the control machines
//! that distribute them, and for a registrant.

use super::MB_PER_KIB;
use super::mechanism::{CONFIGURATION_CLIENT, LIST_CLIENT, LIST_SERVICE, Mechanism, ORIGIN, RELAY};
use super::need::{Cost, Need, Read, Requirement, Term};
use super::occasion::Occasion;
use super::role::Role;
use crate::plan::Plan;

/// Bytes of a watch's heartbeat, which is an empty line sent as one chunk of HTTP/1.1.
const BEAT_BYTES: f64 = 6.0;

/// Network traffic of upstream lists and configuration for a number of watchers in a load scenario, in bytes per second
/// unless a field says otherwise.
struct Traffic {
    /// Measured parts of the list traffic: idle watches, updates and whole lists.
    list: [Term; 3],
    /// Estimate of the list traffic from the plan alone, used while a slope of `list` is missing.
    list_reckoned: f64,
    /// Measured parts of the configuration traffic: idle watches and changes.
    configuration: [Term; 2],
    /// Configuration traffic that always follows from the plan: documents sent to catch up, and the difference in
    /// length between the changed documents and the measured one.
    configuration_plain: f64,
    /// Estimate of all configuration traffic from the plan alone, used while a slope of `configuration` is missing.
    configuration_reckoned: f64,
    /// Configuration changes per second that the watchers receive. A watcher that catches up receives one more within
    /// `configuration.in_force_s`.
    changes_received: f64,
}

impl Traffic {
    fn of(plan: &Plan, on: &Occasion, balancers: f64) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let within = plan.configuration.in_force_s.value;
        let beat = BEAT_BYTES / plan.list.beat_s.value;
        let whole = plan.whole_list_bytes() as f64;
        // The slope was measured with changes of the fleet's document, so longer documents add their difference.
        let longer = on.changes * (on.own_bytes - on.own * plan.configuration.fleet_bytes.value as f64);
        let caught_up = on.caught_up / within;
        let lines = on.lines * plan.list.entry_bytes.value as f64;
        let wholes = on.wholes / within;
        let changes = on.changes * on.own;
        Self {
            list: [
                Term::of("control.list_rest_bytes_per_s_by_watchers", Read::OneMore, balancers),
                Term::of("control.list_change_bytes_by_changes", Read::OneMore, balancers * on.lines),
                Term::of("control.list_whole_bytes_by_upstreams", Read::At(upstreams), balancers * wholes),
            ],
            list_reckoned: balancers * (beat + lines + wholes * whole),
            configuration: [
                Term::of("control.configuration_rest_bytes_per_s_by_watchers", Read::OneMore, balancers),
                Term::of(
                    "control.configuration_change_bytes_by_watchers",
                    Read::OneMore,
                    balancers * changes,
                ),
            ],
            configuration_plain: balancers * (longer + caught_up),
            configuration_reckoned: balancers * (beat + on.changes * on.own_bytes + caught_up),
            changes_received: balancers * (changes + if on.caught_up > 0.0 { 1.0 / within } else { 0.0 }),
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
    traffic: Traffic,
    /// Bytes of the complete upstream list.
    whole: f64,
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
pub(super) fn balancer_control(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let control = BalancerControl::of(plan, on);
    control.list_client(rows);
    control.configuration_client(rows);
    control.both(rows);
}

impl BalancerControl {
    fn of(plan: &Plan, on: &Occasion) -> Self {
        let upstreams = plan.fleet.upstreams.value as f64;
        let within = plan.configuration.in_force_s.value;
        let traffic = Traffic::of(plan, on, 1.0);
        let list_core: [Term; 3] = [
            Term::of("process.idle_core_by_upstreams", Read::At(upstreams), 1.0),
            Term::of("control.list_client_us_by_upstreams", Read::At(upstreams), on.wholes / within / 1e6),
            Term::of("control.list_client_change_us_by_upstreams", Read::At(upstreams), on.lines / 1e6),
        ];
        let configuration_core: [Term; 2] = [
            Term::of("control.configuration_client_core_by_watchers", Read::OneMore, 1.0),
            Term::of(
                "control.configuration_change_client_us_by_watchers",
                Read::OneMore,
                traffic.changes_received / 1e6,
            ),
        ];
        let list_memory: [Term; 1] =
            [Term::of("process.memory_kb_by_upstreams", Read::At(upstreams), MB_PER_KIB)];
        let configuration_memory: [Term; 1] =
            [Term::of("control.configuration_client_kb_by_watchers", Read::OneMore, MB_PER_KIB)];
        Self {
            traffic,
            whole: plan.whole_list_bytes() as f64,
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
        role.row(Cost::State, "upstreams x bytes of an entry", "bytes", self.whole, &[], None);
        role.row(
            Cost::Messages,
            "beats + lines/s x bytes of one + whole lists x their bytes / time that a change has",
            "bytes/s",
            0.0,
            &self.traffic.list,
            self.budget.bytes,
        )
        .instead = Some(self.traffic.list_reckoned);
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
            self.traffic.configuration_plain,
            &self.traffic.configuration,
            self.budget.bytes,
        )
        .instead = Some(self.traffic.configuration_reckoned);
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
        .instead = Some(3.0 * self.own_documents / 1e6);
    }

    /// Adds the rows of both clients together.
    fn both(&self, rows: &mut Vec<Need>) {
        let mut role = Role {
            name: "balancer, all its control",
            mechanism: LIST_CLIENT,
            requirement: Requirement::Control,
            rows,
        };
        role.row(Cost::State, "list + documents", "bytes", self.whole + self.own_documents, &[], None);
        role.row(
            Cost::Messages,
            "list + configuration",
            "bytes/s",
            self.traffic.configuration_plain,
            &[&self.traffic.list[..], &self.traffic.configuration].concat(),
            self.budget.bytes,
        )
        .instead = Some(self.traffic.list_reckoned + self.traffic.configuration_reckoned);
        let both = [&self.list_core[..], &self.configuration_core].concat();
        role.row(Cost::Processor, "list + configuration", "cores", 0.0, &both, self.budget.core);
        let both = [&self.list_memory[..], &self.configuration_memory].concat();
        role.row(
            Cost::Memory,
            "process + one more client of the configuration",
            "MB",
            0.0,
            &both,
            self.budget.memory,
        );
    }
}

/// Adds the rows of the control machines: origin, standby, relays and the list service.
pub(super) fn control_machines(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let documents = plan.documents_bytes();
    // A relay watches all scopes and at worst catches up with all documents; a balancer, only with those of its scopes.
    let for_relays = Occasion {
        own: 1.0,
        own_bytes: plan.change_bytes().max(on.own_bytes),
        caught_up: if on.caught_up > 0.0 { documents } else { 0.0 },
        ..on.clone()
    };
    let relays = plan.deal.zone_relays.value as f64 / plan.fleet.zones.value as f64;
    let zones = plan.fleet.zones_by_region.value.iter().copied().max().unwrap_or(1) as f64;
    let below_region = on.region_children.min(relays * zones);
    let machine = |name, mechanism, relays: f64, balancers: f64, children: f64| ConfigurationMachine {
        name,
        mechanism,
        to_relays: Traffic::of(plan, &for_relays, relays),
        to_balancers: Traffic::of(plan, on, balancers),
        children,
    };
    let in_region = on.region_children;
    for machine in [
        machine("control: origin", ORIGIN, on.origin_children, 0.0, on.origin_children),
        machine("control: standby of the origin", RELAY, 1.0, 0.0, 0.0),
        machine(
            "control: relay of a region",
            RELAY,
            1.0 + below_region,
            in_region - below_region,
            below_region + (in_region - below_region),
        ),
        machine("control: relay of a zone", RELAY, 1.0, on.zone_children, on.zone_children),
    ] {
        machine.rows(plan, rows);
    }
    list_machines(plan, on, rows);
}

/// A control machine that distributes the configuration.
struct ConfigurationMachine {
    /// Name of the machine's role.
    name: &'static str,
    /// Program that provides the role.
    mechanism: Mechanism,
    /// Traffic between the machine and relays, including the machine's own parent.
    to_relays: Traffic,
    /// Traffic between the machine and balancers.
    to_balancers: Traffic,
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
            to_relays.configuration_plain + to_balancers.configuration_plain,
            &[to_relays.configuration, to_balancers.configuration].concat(),
            bytes,
        )
        .instead = Some(to_relays.configuration_reckoned + to_balancers.configuration_reckoned);
        role.row(
            Cost::Processor,
            "its children's watches at rest + changes/s told, above and below, x time for one more told",
            "cores",
            0.0,
            &[
                Term::of("control.configuration_server_core_by_watchers", Read::At(children), 1.0),
                Term::of(
                    "control.configuration_change_server_us_by_watchers",
                    Read::OneMore,
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
            &[Term::of("control.configuration_server_kb_by_watchers", Read::At(children), MB_PER_KIB)],
            memory,
        );
    }
}

/// Adds the rows of the service that distributes upstream lists, which runs on the machines of the zone relays.
fn list_machines(plan: &Plan, on: &Occasion, rows: &mut Vec<Need>) {
    let Budget { bytes, core, memory } = Budget::of_machine(plan);
    let mut role = Role {
        name: "control: lists, on the zone relays' machines",
        mechanism: LIST_SERVICE,
        requirement: Requirement::Lists,
        rows,
    };
    let readers = on.zone_children.max(on.region_children);
    let traffic = Traffic::of(plan, on, readers);
    role.row(Cost::State, "the whole list", "bytes", plan.whole_list_bytes() as f64, &[], None);
    role.row(
        Cost::Messages,
        "readers of the busiest x what each is told",
        "bytes/s",
        0.0,
        &traffic.list,
        bytes,
    )
    .instead = Some(traffic.list_reckoned);
    role.row(
        Cost::Processor,
        "its readers' watches at rest, at a stand-in, + lines/s told",
        "cores",
        0.0,
        &[
            Term::of("control.list_server_core_by_watchers", Read::At(readers), 1.0),
            Term::of("control.list_change_server_us_by_watchers", Read::OneMore, readers * on.lines / 1e6),
        ],
        core,
    );
    role.row(
        Cost::Memory,
        "its readers' watches, at a stand-in",
        "MB",
        0.0,
        &[Term::of("control.list_server_kb_by_watchers", Read::At(readers), MB_PER_KIB)],
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
    let unknown: [Term; 1] =
        [Term::of("control.registrant_core_by_rate", Read::At(1.0 / plan.list.renew_s.value), 1.0)];
    role.row(Cost::Processor, "renewals", "cores", 0.0, &unknown, Some(plan.budget.core_share.value));
    role.row(Cost::Memory, "its own entry", "MB", entry / 1e6, &[], Some(plan.budget.memory_mb.value));
}
