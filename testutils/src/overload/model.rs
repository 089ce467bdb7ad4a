//! The events of the model: arrivals, answers, retransmissions, reports between instances.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};

use quetzal_lib::coordination::cookie::{estimate, forward, pace, registry, report};
use quetzal_lib::coordination::hash;
use quetzal_lib::state::{key, packet, random, segment, snapshot, time};

use crate::overload;
use crate::overload::{instance, target};

/// Time of a request on a target that fails it at once, in microseconds.
const FAILURE_US: u64 = 1_000;
/// Flows that the callers of an instance keep open.
const FLOWS_PER_INSTANCE: usize = 40;
/// Requests that wait on a target besides; a further one is shed.
const QUEUE: usize = 8;
/// Times after which a caller retransmits a request, in microseconds.
const RETRANSMIT_AFTER_US: [u64; 3] = [200_000, 600_000, 1_400_000];
/// Repetitions of a request that was shed or failed.
const RETRIES: u8 = 2;
/// Pause before a repetition, in microseconds.
const RETRY_PAUSE_US: u64 = 20_000;
/// Instances whose reports each instance gets.
const NEIGHBORS: usize = 12;
/// Time between reports of an instance to each neighbor, in microseconds.
const REPORT_INTERVAL_US: u64 = 1_000_000;
/// Time between snapshots of an instance, in microseconds.
const SNAPSHOT_INTERVAL_US: u64 = 250_000;
/// Time between ticks of an instance, in microseconds.
const TICK_US: u64 = 100_000;
/// Start of the virtual time, so that times before it exist.
const START_US: u64 = 3_600_000_000;

/// One attempt of a caller to get a request answered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Attempt {
    /// When the caller first sent the request.
    began: u64,
    flow: usize,
    /// Number of the request on its flow.
    number: u32,
    tries: u8,
}

#[derive(Clone, Copy, Debug)]
struct Flow {
    acknowledged: u32,
    instance: usize,
    port: u32,
    request: u32,
    route: usize,
    sequence: u32,
    target: usize,
    waiting: bool,
}

struct Instance {
    /// Flows whose callers keep them open.
    flows: Vec<usize>,
    neighbors: Vec<usize>,
    /// Loads that the neighbors got last.
    reported: Vec<report::Load>,
    shard: forward::Shard,
    snapshot: snapshot::Snapshot,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    /// Targets join, leave or are no longer cold.
    Change,
    Done(usize, Attempt),
    Report(usize),
    Retransmit(Attempt),
    Retry(usize, Attempt),
    Snapshot(usize),
    Tick(usize),
}

pub struct Model {
    /// What the targets that take new flows can serve together, in usual requests at once.
    capacity: f64,
    flows: Vec<Flow>,
    instances: Vec<Instance>,
    now: u64,
    /// Targets that take new flows.
    open: Vec<usize>,
    options: overload::Options,
    outcome: overload::Outcome,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    random: random::Source,
    rule: overload::Rule,
    sequence: u64,
    targets: Vec<target::Target<Attempt>>,
}

impl Model {
    /// A model of a situation at its start.
    pub fn new(options: overload::Options, rule: overload::Rule) -> Self {
        let mut random = random::Source::new(options.seed);
        let targets: Vec<target::Target<Attempt>> = (0..options.targets)
            .map(|number| target::Target::new(&options, START_US, number, &mut random))
            .collect();
        let instances = (0..options.instances)
            .map(|number| {
                let zone = number % options.zones;
                let mut neighbors: Vec<usize> = (0..options.instances)
                    .filter(|other| *other != number)
                    .filter(|other| options.instances <= NEIGHBORS || other % options.zones == zone)
                    .collect();
                while neighbors.len() > NEIGHBORS {
                    neighbors.swap_remove(random.below(neighbors.len()));
                }
                Instance {
                    flows: Vec::new(),
                    neighbors,
                    reported: Vec::new(),
                    shard: forward::Shard::new(hash::Secret::default()),
                    snapshot: instance::snapshot(
                        &targets,
                        zone,
                        START_US,
                        options.route_costs.len(),
                    ),
                }
            })
            .collect();
        let mut model = Self {
            capacity: 0.0,
            flows: Vec::new(),
            instances,
            now: START_US,
            open: Vec::new(),
            options,
            outcome: overload::Outcome::default(),
            queue: BinaryHeap::new(),
            random,
            rule,
            sequence: 0,
            targets,
        };
        for delay in [
            0,
            options.run_us / 6,
            options.run_us / 3,
            options.run_us * 2 / 3,
        ] {
            model.push(delay, Event::Change);
        }
        model.push(0, Event::Arrival);
        for instance in 0..options.instances {
            let mut phase = |bound: u64| model.random.below(bound as usize) as u64;
            let (report, snapshot, tick) = (
                phase(REPORT_INTERVAL_US),
                phase(SNAPSHOT_INTERVAL_US),
                phase(TICK_US),
            );
            model.push(report, Event::Report(instance));
            model.push(snapshot, Event::Snapshot(instance));
            model.push(tick, Event::Tick(instance));
        }
        model
    }

    /// Runs it to its end.
    pub fn run(mut self) -> overload::Outcome {
        let end = START_US + self.options.run_us;
        while let Some(Reverse((due, _, event))) = self.queue.pop() {
            if due > end {
                break;
            }
            self.now = due;
            self.handle(event);
        }
        self.outcome.latencies.sort_unstable();
        self.outcome
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.sequence, event)));
    }

    fn report_interval_us(&self) -> u64 {
        if self.options.instances <= NEIGHBORS {
            SNAPSHOT_INTERVAL_US
        } else {
            REPORT_INTERVAL_US
        }
    }

    fn handle(&mut self, event: Event) {
        let now = time::Instant(self.now);
        match event {
            Event::Arrival => self.arrive(),
            Event::Change => self.change(),
            Event::Done(target, attempt) => self.finish(target, attempt),
            Event::Report(number) => {
                self.push(self.report_interval_us(), Event::Report(number));
                let instance = &mut self.instances[number];
                instance.reported = instance.shard.report(&instance.snapshot, now).loads;
            }
            Event::Retransmit(attempt) => {
                let flow = self.flows[attempt.flow];
                if flow.waiting && flow.request == attempt.number {
                    self.steer(attempt.flow, packet::Kind::Established, 100);
                }
            }
            Event::Retry(instance, attempt) => {
                self.send(instance, attempt.began, attempt.tries, true);
            }
            Event::Snapshot(number) => {
                self.push(SNAPSHOT_INTERVAL_US, Event::Snapshot(number));
                self.refresh(number);
            }
            Event::Tick(number) => {
                self.push(TICK_US, Event::Tick(number));
                let instance = &mut self.instances[number];
                instance.shard.tick(&instance.snapshot, now);
            }
        }
    }

    /// Determines which targets take new flows and what they can serve.
    fn change(&mut self) {
        let now = self.now;
        let all = 0..self.targets.len();
        self.open = all
            .filter(|number| self.targets[*number].is_open(now))
            .collect();
        let open = self.open.iter().map(|number| &self.targets[*number]);
        let sound = open.filter(|target| !target.failing);
        self.capacity = sound.map(|target| 1.0 / target.slowness(now)).sum();
        let routes = self.options.route_costs.len();
        for (number, instance) in self.instances.iter_mut().enumerate() {
            let zone = number % self.options.zones;
            let changed = instance::snapshot(&self.targets, zone, now, routes);
            instance.snapshot.pools = changed.pools;
        }
    }

    fn arrive(&mut self) {
        let work = overload::WORK_US * target::mean_work(&self.options);
        let rate = self.options.load * self.capacity * overload::SLOTS as f64 / work;
        let gap = -(1.0 - self.random.unit()).ln() / rate;
        self.push(gap as u64 + 1, Event::Arrival);
        let instance = self.draw_instance();
        let opens = self.random.unit() < self.options.new_share;
        if self.is_counted(self.now) {
            self.outcome.requests += 1;
        }
        self.send(instance, self.now, 0, opens);
    }

    /// A random instance; more likely one in a zone with much demand.
    fn draw_instance(&mut self) -> usize {
        let options = &self.options;
        if options.swing <= 0.0 {
            return self.random.below(options.instances);
        }
        let turn = (self.now - START_US) as f64 / options.swing_period_us as f64;
        loop {
            let instance = self.random.below(options.instances);
            let phase = (instance % options.zones) as f64 / options.zones as f64;
            let demand = 1.0 + options.swing * (std::f64::consts::TAU * (turn + phase)).sin();
            if self.random.unit() * (1.0 + options.swing) < demand {
                return instance;
            }
        }
    }

    fn is_counted(&self, began: u64) -> bool {
        began >= START_US + self.options.run_us / 3
    }

    /// Sends a request through an instance, on an idle flow or on a new one.
    fn send(&mut self, instance: usize, began: u64, tries: u8, opens: bool) {
        let open = &self.instances[instance].flows;
        let kept = open.get(self.random.below(open.len())).copied();
        let idle = kept.filter(|flow| !opens && !self.flows[*flow].waiting);
        let Some(flow) = idle.or_else(|| self.open(instance)) else {
            return;
        };
        let found = &mut self.flows[flow];
        found.waiting = true;
        found.request += 1;
        let attempt = Attempt {
            began,
            flow,
            number: found.request,
            tries,
        };
        let target = found.target;
        self.steer(flow, packet::Kind::Established, 100);
        for delay in RETRANSMIT_AFTER_US {
            self.push(delay, Event::Retransmit(attempt));
        }
        self.outcome.arrivals += 1;
        let target_state = &mut self.targets[target];
        if target_state.failing {
            self.push(FAILURE_US, Event::Done(target, attempt));
        } else if target_state.running < overload::SLOTS {
            self.start(target, attempt);
        } else if target_state.queue.len() < QUEUE {
            target_state.queue.push_back(attempt);
        } else {
            self.outcome.shed += 1;
            self.acknowledge(attempt);
            self.retry(attempt);
        }
    }

    /// Opens a flow; none if the instance finds no target.
    fn open(&mut self, instance: usize) -> Option<usize> {
        let flow = self.flows.len();
        let routes = self.options.route_costs.len();
        let route = if routes > 1 {
            self.random.below(routes)
        } else {
            0
        };
        self.flows.push(Flow {
            acknowledged: 0,
            instance,
            port: flow as u32,
            request: 0,
            route,
            sequence: 0,
            target: 0,
            waiting: false,
        });
        let target = match self.rule {
            overload::Rule::Library => self.steer(flow, packet::Kind::Syn, 0)?.index(),
            overload::Rule::Oracle => self.best_target(flow),
            overload::Rule::Random => self.open[self.random.below(self.open.len())],
        };
        self.flows[flow].target = target;
        if self.is_counted(self.now) {
            let is_own = self.targets[target].zone == instance % self.options.zones;
            self.outcome.flows += 1;
            self.outcome.crossing += usize::from(!is_own);
        }
        self.steer(flow, packet::Kind::Established, 0);
        let kept = &mut self.instances[instance].flows;
        kept.push(flow);
        if kept.len() > FLOWS_PER_INSTANCE {
            let closed = kept.swap_remove(self.random.below(FLOWS_PER_INSTANCE));
            self.steer(closed, packet::Kind::Fin, 0);
        }
        Some(flow)
    }

    fn best_target(&self, flow: usize) -> usize {
        let cost = |index: usize| {
            let target = &self.targets[index];
            let ahead = target.running + target.queue.len();
            let wait = (ahead + 1).saturating_sub(overload::SLOTS) as f64 / overload::SLOTS as f64;
            let failing = if target.failing { f64::MAX } else { 0.0 };
            target.slowness(self.now) * (1.0 + wait) + failing
        };
        let count = self.open.len();
        let all = (0..count).map(|step| self.open[(flow * 7 + step) % count]);
        all.min_by(|first, second| cost(*first).total_cmp(&cost(*second)))
            .unwrap_or(0)
    }

    /// Passes a packet of a flow to its instance; returns the target to which it is forwarded.
    fn steer(&mut self, flow: usize, kind: packet::Kind, length: u16) -> Option<key::Target> {
        let found = self.flows[flow];
        let instance = &mut self.instances[found.instance];
        let cookie = match kind {
            packet::Kind::Syn => snapshot::Cookie::NONE,
            _ => registry::cookie(key::Id(found.target as u64 + 1)),
        };
        let [_, high, middle, low] = found.port.to_be_bytes();
        let segment = segment::Segment {
            acknowledged: found.acknowledged,
            caller: SocketAddrV4::new(Ipv4Addr::new(100, high, middle, low), 40_000),
            cookie,
            kind,
            length,
            retransmissions: 0,
            route: instance::route(found.route),
            sequence: found.sequence,
        };
        let now = time::Instant(self.now);
        match instance.shard.steer(&instance.snapshot, now, &segment) {
            forward::Verdict::Forward(key) => Some(key),
            forward::Verdict::Drop(_) | forward::Verdict::Hold | forward::Verdict::Reset => None,
        }
    }

    fn start(&mut self, target: usize, attempt: Attempt) {
        let route = self.flows[attempt.flow].route;
        let work = target::draw_work(&self.options, route, &mut self.random);
        let work = overload::WORK_US * work * self.targets[target].slowness(self.now);
        self.targets[target].running += 1;
        self.push(work as u64, Event::Done(target, attempt));
    }

    fn finish(&mut self, target: usize, attempt: Attempt) {
        self.acknowledge(attempt);
        if self.targets[target].failing {
            self.retry(attempt);
            return;
        }
        if self.is_counted(attempt.began) {
            let took = self.now - attempt.began;
            self.outcome.latencies.push(took);
            self.outcome.in_time += usize::from(took <= overload::OBJECTIVE_US);
        }
        self.targets[target].running -= 1;
        if let Some(next) = self.targets[target].queue.pop_front() {
            self.start(target, next);
        }
    }

    /// The caller acknowledges a response.
    fn acknowledge(&mut self, attempt: Attempt) {
        let flow = &mut self.flows[attempt.flow];
        flow.waiting = false;
        flow.acknowledged += 500;
        flow.sequence += 100;
        self.steer(attempt.flow, packet::Kind::Established, 0);
    }

    fn retry(&mut self, attempt: Attempt) {
        if attempt.tries < RETRIES {
            let instance = self.flows[attempt.flow].instance;
            let again = Attempt {
                tries: attempt.tries + 1,
                ..attempt
            };
            self.push(RETRY_PAUSE_US, Event::Retry(instance, again));
        }
    }

    /// Takes what the neighbors of an instance reported into its snapshot.
    fn refresh(&mut self, number: usize) {
        let instance = &self.instances[number];
        let members = self.options.instances / self.options.zones - 1;
        let share = (members as f64 / instance.neighbors.len().max(1) as f64).max(1.0);
        let scaled = |count: u32| (f64::from(count) * share).round() as u32;
        let mut remotes = vec![snapshot::Remote::default(); self.targets.len()];
        let mut paces: HashMap<key::Target, pace::Mean> = HashMap::new();
        for neighbor in &instance.neighbors {
            for load in &self.instances[*neighbor].reported {
                let remote = &mut remotes[load.target.index()];
                remote.last_progress = remote.last_progress.max(load.last_progress);
                remote.load = remote.load
                    + snapshot::Load {
                        flows: scaled(load.count.flows),
                        held: scaled(load.count.held),
                        waiting: scaled(load.count.waiting),
                    };
                if let Some(measured) = load.measured {
                    paces.entry(load.target).or_default().add(measured);
                }
            }
        }
        for (key, pace) in paces {
            remotes[key.index()].measured = pace.value();
        }
        if self.options.instances > NEIGHBORS {
            for (zone, mean) in self.zone_means(number % self.options.zones) {
                let in_zone = |found: &&usize| self.targets[**found].zone == zone;
                for target in self.open.iter().filter(in_zone) {
                    let rounding = (target * 618 % 1_000) as f64 / 1_000.0;
                    let scaled = |load: f64| (load * overload::SLOTS as f64 + rounding) as u32;
                    let load = &mut remotes[*target].load;
                    load.flows += scaled(mean[0]);
                    load.waiting += scaled(mean[1]);
                }
            }
        }
        let measured = remotes.iter().filter_map(|remote| remote.measured);
        let usual_us = pace::usual_us(measured.map(|measured| measured.response_us));
        let snapshot = &mut self.instances[number].snapshot;
        snapshot.demands = estimate::demands(&snapshot.pools, &remotes, |_| overload::SLOTS as u16);
        snapshot.remotes = remotes;
        snapshot.usual_us = vec![usual_us];
    }

    /// Flows and waiting flows for each slot of the other zones, as one instance there knows them.
    fn zone_means(&self, own: usize) -> Vec<(usize, [f64; 2])> {
        let zones = (0..self.options.zones).filter(|zone| *zone != own);
        let mean = |zone: usize| {
            let is_there = |target: &key::Target| self.targets[target.index()].zone == zone;
            let snapshot = &self.instances[zone].snapshot;
            let own = &self.instances[zone].reported;
            let own = own.iter().filter(|load| is_there(&load.target));
            let own = own.map(|load| load.count);
            let local = snapshot.pools[0].targets[..snapshot.pools[0].local].iter();
            let remote = local.clone().map(|key| snapshot.remote(*key).load);
            let sum = own.chain(remote);
            let sum = sum.fold(snapshot::Load::default(), |sum, load| sum + load);
            let slots = (local.count() * overload::SLOTS).max(1) as f64;
            let per_slot = [sum.flows, sum.waiting].map(|number| f64::from(number) / slots);
            (zone, per_slot)
        };
        zones.map(mean).collect()
    }
}
