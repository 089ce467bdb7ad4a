//! Simpler designs to compare a `fleet::Fleet` with. They get the same flows, and each packet
//! reaches a random instance; messages and sheets have delays, as in the fleet.
//!
//! A `Design` determines the target that an instance chooses for a packet, and whether a new flow
//! entry costs control bytes.

use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use quetzal_lib::coordination::{home_table, inventory};
use quetzal_lib::state::{flow, key, packet, random, time};

use crate::{caller, sheet};

/// One-way network delay of a packet that an instance forwards.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Longest time for a published sheet to reach an instance.
const MAX_SHEET_DELAY: Duration = Duration::from_millis(200);
/// Bytes of the three frames that replicate one entry to one peer: the entry, its acknowledgement
/// and its end. Each frame holds one entry, encoded by `postcard`.
pub const REPLICA_BYTES: u64 = 12 + 29 + 12 + 11 + 12 + 19;
/// Bytes per second of the heartbeats, with load reports, of one instance of a `fleet::Fleet`.
pub const HEARTBEAT_BYTES_PER_SECOND: u64 = 1_700;

/// A simpler design.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Design {
    /// Every packet goes to the home of its bucket.
    Hash,
    /// A new flow goes to the less loaded of two random targets. All instances have its entry
    /// before its first packet is forwarded.
    TwoChoices,
}

/// An instance of a baseline.
struct Node {
    entries: HashMap<flow::Key, key::Id>,
    homes: Vec<Vec<key::Id>>,
    loads: BTreeMap<key::Id, i64>,
    running: bool,
}

type Event = std::cmp::Reverse<(time::Instant, usize, usize)>;

/// Callers, targets and instances of a simpler design.
pub struct Baseline {
    /// Bytes of frames between instances.
    pub control_bytes: u64,
    /// All flows, by number.
    pub flows: Vec<caller::Flow>,
    /// Current time.
    pub now: time::Instant,
    design: Design,
    events: BinaryHeap<Event>,
    active_targets: Vec<Vec<key::Id>>,
    max_load_age: Duration,
    loads_refreshed_at: time::Instant,
    nodes: Vec<Node>,
    pending_tables: Vec<(time::Instant, usize, Vec<Vec<key::Id>>)>,
    random: random::Source,
    open_flows: BTreeMap<key::Id, i64>,
}

fn homes(services: &[sheet::Service]) -> Vec<Vec<key::Id>> {
    let sheet = sheet::sheet(1, services);
    services
        .iter()
        .enumerate()
        .map(|(index, service)| {
            let names = active_targets(services, index);
            let members: Vec<home_table::Member> = names
                .iter()
                .enumerate()
                .map(|(target, name)| home_table::Member {
                    name: *name,
                    target: key::Target::from(target),
                    weight: service.slots,
                })
                .collect();
            let buckets = sheet.services[index].buckets as usize;
            home_table::homes(inventory::stable_id(service.name), buckets, &members)
                .into_iter()
                .map(|target| names[target.index()])
                .collect()
        })
        .collect()
}

fn active_targets(services: &[sheet::Service], index: usize) -> Vec<key::Id> {
    let sheet = sheet::sheet(1, services);
    sheet
        .targets
        .iter()
        .filter(|target| target.service.index() == index)
        .filter(|target| target.state == quetzal_lib::state::fleet::State::Active)
        .map(|target| target.id(&sheet.services[index]))
        .collect()
}

impl Baseline {
    /// Creates a baseline that serves the services from the start. Instances know target loads that
    /// are up to `max_load_age` old.
    pub fn new(
        design: Design,
        nodes: usize,
        services: &[sheet::Service],
        max_load_age: Duration,
        seed: u64,
    ) -> Self {
        let homes = homes(services);
        let node = || Node {
            entries: HashMap::new(),
            homes: homes.clone(),
            loads: BTreeMap::new(),
            running: true,
        };
        Self {
            control_bytes: 0,
            flows: Vec::new(),
            now: time::Instant::from_millis(3_600_000),
            design,
            events: BinaryHeap::new(),
            active_targets: (0..services.len())
                .map(|index| active_targets(services, index))
                .collect(),
            max_load_age,
            loads_refreshed_at: time::Instant(0),
            nodes: (0..nodes).map(|_| node()).collect(),
            pending_tables: Vec::new(),
            random: random::Source::new(seed),
            open_flows: BTreeMap::new(),
        }
    }

    /// Publishes a changed sheet. Each instance applies it after a random delay of its own.
    pub fn publish(&mut self, services: &[sheet::Service]) {
        self.active_targets = (0..services.len())
            .map(|index| active_targets(services, index))
            .collect();
        let homes = homes(services);
        for node in 0..self.nodes.len() {
            let at = self.now + MAX_SHEET_DELAY.mul_f64(self.random.unit());
            self.pending_tables.push((at, node, homes.clone()));
        }
    }

    /// Kills a node; its entries are lost.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].running = false;
        self.nodes[node].entries.clear();
    }

    /// Restarts a killed node, which copies all entries from a running one before it serves.
    pub fn restart(&mut self, node: usize) {
        let source = (0..self.nodes.len()).find(|other| self.nodes[*other].running);
        let entries = source
            .map(|source| self.nodes[source].entries.clone())
            .unwrap_or_default();
        self.control_bytes += entries.len() as u64 * REPLICA_BYTES;
        self.nodes[node].entries = entries;
        self.nodes[node].running = true;
    }

    /// Starts a TCP flow.
    pub fn start_flow(&mut self, service: usize, lifetime: Duration, packet_interval: Duration) {
        let number = self.flows.len();
        let ends_at = self.now + lifetime;
        let flow = caller::Flow::new(
            number,
            service,
            packet::Protocol::Tcp,
            ends_at,
            packet_interval,
        );
        self.flows.push(flow);
        self.events.push(std::cmp::Reverse((self.now, number, 0)));
    }

    /// Runs the simulation for a length of time.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.events.peek().is_some_and(|event| event.0.0 <= end) {
            let Some(std::cmp::Reverse((at, number, _))) = self.events.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.apply_due_tables();
            self.refresh_loads();
            self.send(number);
        }
        self.now = end;
        let running = self.nodes.iter().filter(|node| node.running).count() as u64;
        self.control_bytes +=
            (HEARTBEAT_BYTES_PER_SECOND * running) * length.as_millis() as u64 / 1_000;
    }

    fn apply_due_tables(&mut self) {
        let now = self.now;
        for (at, node, homes) in std::mem::take(&mut self.pending_tables) {
            if at <= now {
                self.nodes[node].homes = homes;
            } else {
                self.pending_tables.push((at, node, homes));
            }
        }
    }

    fn refresh_loads(&mut self) {
        if self.now.since(self.loads_refreshed_at) >= self.max_load_age {
            self.loads_refreshed_at = self.now;
            for node in &mut self.nodes {
                node.loads.clone_from(&self.open_flows);
            }
        }
    }

    fn send(&mut self, number: usize) {
        let now = self.now;
        let before = self.flows[number].state;
        let Some((kind, wait)) = self.flows[number].next_packet(now) else {
            self.update_open_flows(number, before);
            return;
        };
        self.events.push(std::cmp::Reverse((now + wait, number, 0)));
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].running)
            .collect();
        if running.is_empty() {
            return;
        }
        let node = running[self.random.below(running.len())];
        if let Some(target) = self.steer(node, number, kind) {
            self.flows[number].on_arrival(now + NETWORK_DELAY, target, kind);
        }
        self.update_open_flows(number, before);
    }

    /// Updates the open flows of each target after a flow's state may have changed.
    fn update_open_flows(&mut self, number: usize, before: caller::State) {
        let after = self.flows[number].state;
        if before == after {
            return;
        }
        if let caller::State::Open(target) = before {
            *self.open_flows.entry(target).or_default() -= 1;
        }
        if let caller::State::Open(target) = after {
            *self.open_flows.entry(target).or_default() += 1;
        }
    }

    fn steer(&mut self, node: usize, number: usize, kind: packet::Kind) -> Option<key::Id> {
        let flow = self.flows[number].key;
        let service = self.flows[number].service;
        if self.design == Design::Hash {
            let homes = &self.nodes[node].homes[service];
            return homes.get(flow.high as usize & (homes.len() - 1)).copied();
        }
        if let Some(target) = self.nodes[node].entries.get(&flow) {
            return Some(*target);
        }
        if kind != packet::Kind::Syn {
            return None;
        }
        let active = &self.active_targets[service];
        let pair = [0, 1].map(|_| active[self.random.below(active.len())]);
        let load = |target: &key::Id| self.nodes[node].loads.get(target).copied().unwrap_or(0);
        let target = pair.into_iter().min_by_key(load)?;
        *self.nodes[node].loads.entry(target).or_default() += 1;
        let mut replicas = 0;
        for peer in self.nodes.iter_mut().filter(|node| node.running) {
            peer.entries.insert(flow, target);
            replicas += 1;
        }
        self.control_bytes += REPLICA_BYTES * (replicas - 1);
        Some(target)
    }

    /// Number of open flows of each target, as the targets count them.
    pub fn open_by_target(&self) -> BTreeMap<key::Id, usize> {
        self.open_flows
            .iter()
            .filter(|(_, open)| **open > 0)
            .map(|(target, open)| (*target, *open as usize))
            .collect()
    }

    /// Number of broken flows.
    pub fn broken(&self) -> usize {
        self.flows
            .iter()
            .filter(|flow| flow.state == caller::State::Broken)
            .count()
    }
}
