//! Measures broken flows, imbalance and control traffic of this load balancer and of simpler
//! designs.
//!
//! `quetzal-experiment designs` compares designs in five situations, `share` varies the flexible
//! share, `age` varies the age of the known loads, and `budget` runs at the highest rate of new
//! flows that control must sustain. `overload` serves growing loads by cookie, and `patterns` the patterns of
//! load. Each run executes the decision code under a virtual clock; see `fleet::Fleet`.

use std::collections::BTreeMap;
use std::time::Duration;

use quetzal_lib::coordination::placement;
use quetzal_lib::state::{count, key, packet, random};
use quetzal_testutils::{baseline, caller, fleet, overload, sheet};

/// Time before the measurement.
const WARM_UP: Duration = Duration::from_secs(12);
/// Length of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(24);
/// Interval between samples of the loads.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between packets of a flow.
const PACKET_INTERVAL: Duration = Duration::from_millis(800);
/// Time after its start for which a flow keeps a slot busy.
const BUSY_DURATION: Duration = Duration::from_millis(500);

/// A user's deployment.
#[derive(Clone, Copy)]
struct User {
    name: &'static str,
    nodes: usize,
    flexible_share: u16,
    slots: u32,
    zones: usize,
}

const USERS: [User; 2] = [
    User {
        name: "guild",
        nodes: 5,
        flexible_share: 400,
        slots: 3,
        zones: 4,
    },
    User {
        name: "bureau",
        nodes: 4,
        flexible_share: 1_000,
        slots: 2,
        zones: 3,
    },
];

/// What happens during a measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Situation {
    Steady,
    Drain,
    Death,
    Both,
    Cut,
}

const SITUATIONS: [Situation; 5] = [
    Situation::Steady,
    Situation::Drain,
    Situation::Death,
    Situation::Both,
    Situation::Cut,
];

/// The simulation that a run measures.
enum System {
    Baseline(Box<baseline::Baseline>),
    Fleet(Box<fleet::Fleet>),
}

/// Result of one run.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    broken: usize,
    busy_imbalance: f64,
    control_bytes_per_second: u64,
    deviating_share: f64,
    flows: usize,
    open_imbalance: f64,
    relayed_share: f64,
    unanswered: usize,
}

impl System {
    fn run(&mut self, length: Duration) {
        match self {
            Self::Baseline(system) => system.run(length),
            Self::Fleet(system) => system.run(length),
        }
    }

    fn start_flow(&mut self, service: usize, lifetime: Duration) {
        match self {
            Self::Baseline(system) => system.start_flow(service, lifetime, PACKET_INTERVAL),
            Self::Fleet(system) => {
                system.start_flow(service, packet::Protocol::Tcp, lifetime, PACKET_INTERVAL);
            }
        }
    }

    fn publish(&mut self, revision: u64, services: &[sheet::Service]) {
        match self {
            Self::Baseline(system) => system.publish(services),
            Self::Fleet(system) => system.publish(sheet::sheet(revision, services)),
        }
    }

    fn kill(&mut self, node: usize) {
        match self {
            Self::Baseline(system) => system.kill(node),
            Self::Fleet(system) => system.kill(node),
        }
    }

    fn restart(&mut self, node: usize) {
        match self {
            Self::Baseline(system) => system.restart(node),
            Self::Fleet(system) => system.restart(node),
        }
    }

    /// Moves a node to a network partition; 0 is the partition of the others. A baseline ignores
    /// it, since its choices do not depend on messages between instances.
    fn set_partition(&mut self, node: usize, partition: u8) {
        if let Self::Fleet(system) = self {
            system.network.partitions[node] = partition;
        }
    }

    fn flows(&self) -> &[caller::Flow] {
        match self {
            Self::Baseline(system) => &system.flows,
            Self::Fleet(system) => &system.flows,
        }
    }

    fn open_by_target(&self) -> BTreeMap<key::Id, usize> {
        match self {
            Self::Baseline(system) => system.open_by_target(),
            Self::Fleet(system) => system.open_by_target(),
        }
    }

    fn control_bytes(&self) -> u64 {
        match self {
            Self::Baseline(system) => system.control_bytes,
            Self::Fleet(system) => system.control_bytes,
        }
    }
}

/// A design to measure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Design {
    Hash,
    Relay,
    TwoChoices,
    Share(u16),
}

struct Run {
    load_age: Duration,
    budget: u64,
    design: Design,
    rate: f64,
    seed: u64,
    situation: Situation,
    user: User,
}

fn services(user: User, flexible_share: u16) -> Vec<sheet::Service> {
    let mut service = sheet::Service::new("first", 14, flexible_share);
    service.slots = user.slots;
    service.idle_timeout = Duration::from_secs(30);
    vec![service]
}

fn start_system(run: &Run) -> (System, Vec<sheet::Service>) {
    let share = match run.design {
        Design::Share(share) => share,
        Design::Relay => 1_000,
        Design::Hash | Design::TwoChoices => 0,
    };
    let services = services(run.user, share);
    let baseline = |design| {
        let nodes = run.user.nodes;
        let system = baseline::Baseline::new(design, nodes, &services, run.load_age, run.seed);
        System::Baseline(Box::new(system))
    };
    let system = match run.design {
        Design::Hash => baseline(baseline::Design::Hash),
        Design::TwoChoices => baseline(baseline::Design::TwoChoices),
        Design::Relay | Design::Share(_) => {
            let mut options = fleet::Options::new(run.seed);
            options.nodes = run.user.nodes;
            options.zones = run.user.zones;
            options.budget = run.budget;
            options.report_interval = run.load_age;
            if run.design == Design::Relay {
                // The owner decides on every flow and always chooses the home.
                options.herding_rate = f64::INFINITY;
                options.policy = placement::Policy {
                    candidates: 0,
                    margin_per_mille: 0,
                };
            }
            let mut system = fleet::Fleet::new(options);
            system.publish(sheet::sheet(1, &services));
            system.run(Duration::from_secs(4));
            System::Fleet(Box::new(system))
        }
    };
    (system, services)
}

/// Draws a lifetime from a heavy-tailed (Pareto) distribution, cut off at `MAX_SECONDS`.
fn lifetime(random: &mut random::Source) -> Duration {
    const SHAPE: f64 = 1.5;
    const MIN_SECONDS: f64 = 1.0;
    const MAX_SECONDS: f64 = 60.0;
    let seconds = MIN_SECONDS / (1.0 - random.unit()).powf(1.0 / SHAPE);
    Duration::from_secs_f64(seconds.min(MAX_SECONDS))
}

/// Ratio of the largest to the mean load of the targets that get new flows.
fn imbalance(loads: &BTreeMap<key::Id, usize>, targets: &[key::Id]) -> f64 {
    let loads: Vec<usize> = targets
        .iter()
        .map(|name| loads.get(name).copied().unwrap_or(0))
        .collect();
    let sum: usize = loads.iter().sum();
    let most = loads.iter().max().copied().unwrap_or(0);
    if sum == 0 {
        1.0
    } else {
        most as f64 * loads.len() as f64 / sum as f64
    }
}

/// Busy slots of each target: its flows that started within `BUSY_DURATION` before `now`.
fn busy_by_target(
    system: &System,
    flow_count: usize,
    starts: &[(Duration, usize)],
    now: Duration,
) -> BTreeMap<key::Id, usize> {
    let mut busy = BTreeMap::new();
    for (at, number) in starts.iter().rev().take(flow_count) {
        if now.saturating_sub(*at) > BUSY_DURATION {
            break;
        }
        if let caller::State::Open(target) = system.flows()[*number].state {
            *busy.entry(target).or_default() += 1;
        }
    }
    busy
}

fn measure(run: &Run) -> Outcome {
    let (mut system, mut services) = start_system(run);
    let mut random = random::Source::new(run.seed ^ 0xABCD);
    let step = Duration::from_millis(5);
    let mut outcome = Outcome::default();
    let (mut clock, mut flows_due, mut samples) = (Duration::ZERO, 0.0, 0u32);
    let mut bytes_before = 0;
    let mut starts: Vec<(Duration, usize)> = Vec::new();
    let mut next_sample = WARM_UP;
    let mut events = scheduled_events(run.situation);
    while clock < WARM_UP + MEASUREMENT {
        flows_due += run.rate * step.as_secs_f64();
        while flows_due >= 1.0 {
            flows_due -= 1.0;
            starts.push((clock, system.flows().len()));
            let lifetime = lifetime(&mut random);
            system.start_flow(0, lifetime);
        }
        system.run(step);
        clock += step;
        if clock == WARM_UP {
            bytes_before = system.control_bytes();
        }
        while events.first().is_some_and(|(at, _)| clock >= WARM_UP + *at) {
            let (_, event) = events.remove(0);
            apply_event(&mut system, &mut services, event);
        }
        if clock >= next_sample {
            next_sample += SAMPLE_INTERVAL;
            let targets = active_targets(&services);
            outcome.open_imbalance += imbalance(&system.open_by_target(), &targets);
            let recent = busy_by_target(&system, starts.len(), &starts, clock);
            outcome.busy_imbalance += imbalance(&recent, &targets);
            samples += 1;
        }
    }
    outcome.control_bytes_per_second =
        (system.control_bytes() - bytes_before) / run.user.nodes as u64 / MEASUREMENT.as_secs();
    outcome.open_imbalance /= f64::from(samples.max(1));
    outcome.busy_imbalance /= f64::from(samples.max(1));
    outcome.flows = system.flows().len();
    outcome.broken = system
        .flows()
        .iter()
        .filter(|flow| flow.state == caller::State::Broken)
        .count();
    outcome.unanswered = system
        .flows()
        .iter()
        .filter(|flow| flow.state == caller::State::GivenUp)
        .count();
    if let System::Fleet(system) = &system {
        let packets = system.packets.max(1) as f64;
        outcome.relayed_share = system.counter(count::Counter::Relayed) as f64 / packets;
        outcome.deviating_share =
            system.counter(count::Counter::EntryDeviating) as f64 / outcome.flows as f64;
    }
    outcome
}

fn active_targets(services: &[sheet::Service]) -> Vec<key::Id> {
    let sheet = sheet::sheet(1, services);
    sheet
        .targets
        .iter()
        .filter(|target| target.state == quetzal_lib::state::fleet::State::Active)
        .map(|target| target.id(&sheet.services[0]))
        .collect()
}

#[derive(Clone, Copy)]
enum Event {
    ReplaceTarget(u32),
    Partition(u8),
    Kill,
    Restart,
}

fn scheduled_events(situation: Situation) -> Vec<(Duration, Event)> {
    let at = Duration::from_secs;
    match situation {
        Situation::Steady => Vec::new(),
        Situation::Drain => vec![(at(2), Event::ReplaceTarget(1))],
        Situation::Death => vec![(at(2), Event::Kill), (at(10), Event::Restart)],
        Situation::Both => vec![
            (at(2), Event::ReplaceTarget(1)),
            (at(2), Event::Kill),
            (at(6), Event::Restart),
            (at(6), Event::ReplaceTarget(2)),
        ],
        Situation::Cut => vec![(at(2), Event::Partition(1)), (at(10), Event::Partition(0))],
    }
}

fn apply_event(system: &mut System, services: &mut [sheet::Service], event: Event) {
    match event {
        Event::ReplaceTarget(number) => {
            services[0].draining.push(number);
            services[0].targets.push(20 + number);
            system.publish(1 + u64::from(number), services);
        }
        Event::Partition(partition) => system.set_partition(3, partition),
        Event::Kill => system.kill(1),
        Event::Restart => system.restart(1),
    }
}

fn print(label: &str, outcome: &Outcome) {
    println!(
        "{label:38} broken {:4} of {:6}, unanswered {:3}, open imbalance {:.3}, \
         busy imbalance {:.3}, relayed {:4.1}%, deviating {:4.1}%, control {:6} B/s",
        outcome.broken,
        outcome.flows,
        outcome.unanswered,
        outcome.open_imbalance,
        outcome.busy_imbalance,
        outcome.relayed_share * 100.0,
        outcome.deviating_share * 100.0,
        outcome.control_bytes_per_second
    );
}

fn default_run(user: User, design: Design) -> Run {
    Run {
        load_age: Duration::from_secs(1),
        budget: 1_500,
        design,
        rate: 400.0,
        seed: 1,
        situation: Situation::Steady,
        user,
    }
}

fn compare_designs() {
    for user in USERS {
        for rate in [400.0, 40.0] {
            for situation in SITUATIONS {
                println!("-- {}, {rate} new flows/s, {situation:?}", user.name);
                let designs = [
                    Design::Hash,
                    Design::Relay,
                    Design::TwoChoices,
                    Design::Share(user.flexible_share),
                ];
                for design in designs {
                    let run = Run {
                        rate,
                        situation,
                        ..default_run(user, design)
                    };
                    print(&format!("{design:?}"), &measure(&run));
                }
            }
        }
    }
}

fn vary_flexible_share() {
    for user in USERS {
        for rate in [400.0, 40.0] {
            println!("-- {}, {rate} new flows/s, unlimited budget", user.name);
            for share in [0, 20, 50, 100, 200, 400, 1_000] {
                let design = Design::Share(share);
                let run = Run {
                    budget: u64::MAX,
                    rate,
                    ..default_run(user, design)
                };
                print(
                    &format!("flexible share {}%", f64::from(share) / 10.0),
                    &measure(&run),
                );
            }
        }
    }
}

fn vary_load_age() {
    for load_age in [250, 500, 1_000, 2_000, 4_000] {
        let load_age = Duration::from_millis(load_age);
        println!("-- guild, 400 new flows/s, loads up to {load_age:?} old");
        for design in [Design::TwoChoices, Design::Share(100), Design::Share(400)] {
            let run = Run {
                load_age,
                budget: u64::MAX,
                ..default_run(USERS[0], design)
            };
            print(&format!("{design:?}"), &measure(&run));
        }
    }
}

fn run_at_budget_rate() {
    println!("-- guild, 10000 new flows/s over 5 instances, budget 1500 B/s");
    let run = Run {
        rate: 10_000.0,
        ..default_run(USERS[0], Design::Share(100))
    };
    print("flexible share at most 10%", &measure(&run));
}

/// Serves growing loads, with and without slow and failing targets.
fn vary_overload() {
    println!(
        "-- goodput and share shed: library, random, oracle; p50 and p99 of the library in ms"
    );
    for (name, slow_share, failing_share) in [
        ("all sound", 0.0, 0.0),
        ("40% slower by 8", 0.4, 0.0),
        ("half fail at once", 0.0, 0.5),
    ] {
        for load in [0.1, 0.4, 0.8, 1.0, 2.0] {
            let options = overload::Options {
                failing_share,
                load,
                slow_share,
                ..overload::Options::default()
            };
            print_overload(name, options);
        }
    }
}

/// Serves each pattern of load: goodput, p50 and p99 in ms of the oracle, random choice and the
/// library, and the share of the flows that the library placed in another zone.
fn compare_patterns(load: f64) {
    println!("-- goodput, p50, p99: oracle, random, library; share across zones");
    for (name, options) in overload::pattern::all(load, 1) {
        print!("{name:10} {load:4.2}");
        let mut crossing = 0.0;
        for rule in [
            overload::Rule::Oracle,
            overload::Rule::Random,
            overload::Rule::Library,
        ] {
            let outcome = overload::run(options, rule);
            let quantile = |share: f64| outcome.quantile_ms(share);
            crossing = outcome.crossing_share();
            print!(
                "  {:.3} {:4.0} {:5.0}",
                outcome.goodput(),
                quantile(0.5),
                quantile(0.99)
            );
        }
        println!("  {crossing:.3}");
    }
}

fn print_overload(name: &str, options: overload::Options) {
    let outcomes = [
        overload::Rule::Library,
        overload::Rule::Random,
        overload::Rule::Oracle,
    ]
    .map(|rule| overload::run(options, rule));
    print!("{name:18} {:4.1}", options.load);
    for outcome in &outcomes {
        print!("  {:.3} {:.3}", outcome.goodput(), outcome.shed_share());
    }
    let [library, ..] = outcomes;
    println!(
        "  {:6.1} {:7.1}",
        library.quantile_ms(0.5),
        library.quantile_ms(0.99)
    );
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("designs") => compare_designs(),
        Some("share") => vary_flexible_share(),
        Some("age") => vary_load_age(),
        Some("budget") => run_at_budget_rate(),
        Some("overload") => vary_overload(),
        Some("patterns") => [0.45, 0.8].into_iter().for_each(compare_patterns),
        _ => println!("usage: quetzal-experiment designs|share|age|budget|overload|patterns"),
    }
}
