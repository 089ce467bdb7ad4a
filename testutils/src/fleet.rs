//! A simulation of several instances in one thread, under a virtual clock.
//!
//! Every packet of every flow goes to a random instance. Messages between instances are typed
//! values, which a `network::Network` delays, loses, duplicates or blocks; their encoded size is
//! counted. Nodes can be killed, restarted, paused and shut down gracefully.

use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use quetzal_lib::coordination::{
    control, flexible_share, health, membership, message, placement, steering, verdict,
};
use quetzal_lib::protocol::wire;
use quetzal_lib::state::{count, fleet, key, packet, random, time, view};

use crate::{caller, network};

/// Interval between ticks of a shard.
const SHARD_TICK: Duration = Duration::from_millis(10);
/// Interval between ticks of the control decisions.
const CONTROL_TICK: Duration = Duration::from_millis(50);
/// Interval between a shard's reports of its counts to control.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a sheet to reach an instance from the platform or a peer.
const SHEET_DELAY: Duration = Duration::from_millis(30);
/// Slots of the flow table that one shard tick sweeps.
const SWEEP_SLOTS: usize = 8_192;
/// Start of the virtual clock.
const ORIGIN: time::Instant = time::Instant(3_600_000_000);

/// What an event does.
#[derive(Clone, Debug)]
enum Action {
    ControlTick,
    Counts,
    Heartbeat(key::Instance, Box<message::Heartbeat>),
    Packet(usize, verdict::Packet),
    Probe,
    SendFlow(usize),
    ShardTick,
    Sheet(Arc<fleet::Sheet>),
    Traffic(key::Instance, message::Traffic),
}

#[derive(Clone, Debug)]
struct Event {
    action: Action,
    at: time::Instant,
    /// Start of the node that the event is for; ignored if the node was killed since.
    start_number: u32,
    node: usize,
    sequence: u64,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// Orders the earliest event as the greatest, so that the max-heap returns it first.
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// A simulated instance.
pub struct Node {
    /// Control decisions.
    pub control: control::Control,
    /// Steering decisions of the only shard.
    pub shard: steering::Shard,
    /// Current view.
    pub view: Arc<view::View>,
    held: BTreeMap<key::Held, (usize, packet::Kind)>,
    start_number: u32,
    paused_until: time::Instant,
    probes: Vec<(key::Target, SocketAddr)>,
    running: bool,
    watching: bool,
}

/// A recorded decision on a packet.
#[derive(Clone, Copy, Debug)]
struct Decision {
    at: time::Instant,
    bucket: Option<view::Bucket>,
    flow: usize,
    kind: packet::Kind,
    node: usize,
    verdict: verdict::Verdict,
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Replication budget in bytes per second.
    pub budget: u64,
    /// New flows per second and target above which the flexible share shrinks.
    pub herding_rate: f64,
    /// Limits of each shard.
    pub limits: steering::Limits,
    /// Number of instances.
    pub nodes: usize,
    /// How targets are chosen for new flows.
    pub policy: placement::Policy,
    /// Interval between reports of target loads.
    pub report_interval: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of zones.
    pub zones: usize,
}

impl Options {
    /// Default options: five instances in four zones.
    pub fn new(seed: u64) -> Self {
        Self {
            budget: u64::MAX,
            herding_rate: flexible_share::HERDING_FLOWS_PER_SECOND,
            limits: steering::Limits::default(),
            nodes: 5,
            policy: placement::Policy::default(),
            report_interval: control::REPORT_INTERVAL,
            seed,
            zones: 4,
        }
    }
}

/// A fleet of instances with its callers and targets.
pub struct Fleet {
    /// Bytes of frames between instances.
    pub control_bytes: u64,
    /// All flows, by number.
    pub flows: Vec<caller::Flow>,
    /// Probe results of targets that are not healthy, by health address.
    pub probe_results: BTreeMap<SocketAddr, message::Probe>,
    /// Whether to record the decision on each packet, for `history`.
    pub record_decisions: bool,
    /// The network between instances.
    pub network: network::Network,
    /// Instances.
    pub nodes: Vec<Node>,
    /// Number of packets that the fabric sent to instances.
    pub packets: u64,
    /// Current time.
    pub now: time::Instant,
    /// Whether the platform answers.
    pub platform_up: bool,
    /// Time, target and flow number of each flow's first forwarded packet, in order.
    pub placements: Vec<(time::Instant, key::Id, usize)>,
    /// Whether the fabric also sends packets to dead nodes, as it does with an outdated node list.
    pub fabric_sends_to_dead: bool,
    /// Flows that were refused although one of their packets had been forwarded.
    pub false_refusals: Vec<usize>,
    /// Ids of targets that drop all packets.
    pub dead_targets: Vec<key::Id>,
    events: BinaryHeap<Event>,
    options: Options,
    published: Option<Arc<fleet::Sheet>>,
    random: random::Source,
    sequence: u64,
    decisions: Vec<Decision>,
}

fn keyring() -> wire::Keyring {
    wire::Keyring {
        keys: vec![wire::Key {
            number: 1,
            secret: (1, 2),
        }],
    }
}

fn make_node(options: &Options, number: usize, start_number: u32, now: time::Instant) -> Node {
    let self_key = key::Instance(number as u16);
    let address = |peer: usize| SocketAddr::from(([127, 0, 1, peer as u8 + 1], 7_000));
    let config = control::Config {
        replication_budget: options.budget,
        health: health::Config::default(),
        herding_rate: options.herding_rate,
        incarnation: start_number * 100,
        membership: membership::Config::default(),
        peers: (0..options.nodes)
            .filter(|peer| *peer != number)
            .map(|peer| (key::Instance(peer as u16), address(peer)))
            .collect(),
        report_interval: options.report_interval,
        self_key,
        shards: 1,
        traffic_port: 6_080,
        zone: format!("zone-{}", number % options.zones).into(),
    };
    let seed = options.seed
        ^ (number as u64 + 1).wrapping_mul(0x9E37_79B9)
        ^ u64::from(start_number) << 40;
    let control = control::Control::new(config, random::Source::new(seed), now);
    let view = Arc::new(view::View::empty(self_key, control.lease.clone()));
    Node {
        shard: steering::Shard::new(options.limits, options.policy, random::Source::new(!seed)),
        control,
        view,
        held: BTreeMap::new(),
        start_number,
        paused_until: now,
        probes: Vec::new(),
        running: true,
        watching: false,
    }
}

impl Fleet {
    /// Creates a fleet whose instances start now, without a sheet.
    pub fn new(options: Options) -> Self {
        let mut fleet = Self {
            control_bytes: 0,
            flows: Vec::new(),
            probe_results: BTreeMap::new(),
            record_decisions: false,
            network: network::Network::new(options.nodes),
            nodes: (0..options.nodes)
                .map(|node| make_node(&options, node, 1, ORIGIN))
                .collect(),
            now: ORIGIN,
            packets: 0,
            platform_up: true,
            placements: Vec::new(),
            fabric_sends_to_dead: false,
            false_refusals: Vec::new(),
            dead_targets: Vec::new(),
            events: BinaryHeap::new(),
            random: random::Source::new(options.seed),
            options,
            published: None,
            sequence: 0,
            decisions: Vec::new(),
        };
        for node in 0..fleet.nodes.len() {
            fleet.schedule_ticks(node);
        }
        fleet
    }

    fn schedule_ticks(&mut self, node: usize) {
        self.push(node, self.now, Action::ControlTick);
        self.push(node, self.now, Action::ShardTick);
        self.push(node, self.now, Action::Counts);
        self.push(node, self.now, Action::Probe);
    }

    fn push(&mut self, node: usize, at: time::Instant, action: Action) {
        self.sequence += 1;
        let start_number = self.nodes[node].start_number;
        self.events.push(Event {
            action,
            at,
            start_number,
            node,
            sequence: self.sequence,
        });
    }

    /// Publishes a sheet on the platform.
    pub fn publish(&mut self, sheet: fleet::Sheet) {
        self.published = Some(Arc::new(sheet));
        self.notify_watchers();
    }

    /// Sends the published sheet to watching nodes, unless the platform is down.
    fn notify_watchers(&mut self) {
        let Some(sheet) = self.published.clone().filter(|_| self.platform_up) else {
            return;
        };
        for node in 0..self.nodes.len() {
            let behind = self.nodes[node].control.revision() < sheet.revision;
            if self.nodes[node].running && self.nodes[node].watching && behind {
                self.push(
                    node,
                    self.now + SHEET_DELAY,
                    Action::Sheet(Arc::clone(&sheet)),
                );
            }
        }
    }

    /// Kills a node; its held packets and pending events are lost.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].running = false;
        self.nodes[node].start_number += 1;
        self.nodes[node].held.clear();
    }

    /// Restarts a killed node.
    pub fn restart(&mut self, node: usize) {
        let start_number = self.nodes[node].start_number + 1;
        self.nodes[node] = make_node(&self.options, node, start_number, self.now);
        self.schedule_ticks(node);
    }

    /// Restarts a killed node whose ticks begin only after its peers have sent heartbeats.
    pub fn restart_with_delayed_ticks(&mut self, node: usize) {
        let start_number = self.nodes[node].start_number + 1;
        self.nodes[node] = make_node(&self.options, node, start_number, self.now);
        let interval = membership::Config::default().heartbeat_interval;
        self.run(interval + interval / 2);
        self.schedule_ticks(node);
    }

    /// Pauses a node: its events wait until the pause ends. Packets and messages between traffic
    /// threads that waited longer than `steering::MAX_THREAD_PAUSE` are dropped.
    pub fn pause(&mut self, node: usize, length: Duration) {
        self.nodes[node].paused_until = self.now + length;
    }

    /// Begins the graceful shutdown of a node.
    pub fn leave(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].control.leave(now);
        self.apply_outputs(node);
    }

    /// Whether a node is running, also if it is paused.
    pub fn is_running(&self, node: usize) -> bool {
        self.nodes[node].running
    }

    /// Starts a flow and returns its number.
    pub fn start_flow(
        &mut self,
        service: usize,
        protocol: packet::Protocol,
        lifetime: Duration,
        packet_interval: Duration,
    ) -> usize {
        let number = self.flows.len();
        let flow = caller::Flow::new(
            number,
            service,
            protocol,
            self.now + lifetime,
            packet_interval,
        );
        self.flows.push(flow);
        self.push(0, self.now, Action::SendFlow(number));
        number
    }

    /// Runs the simulation for a length of time.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.events.peek().is_some_and(|event| event.at <= end) {
            let Some(event) = self.events.pop() else {
                break;
            };
            self.now = self.now.max(event.at);
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        if let Action::SendFlow(flow) = event.action {
            self.send_flow(flow);
            return;
        }
        let node = event.node;
        if !self.nodes[node].running || self.nodes[node].start_number != event.start_number {
            return;
        }
        if self.nodes[node].paused_until > self.now {
            let is_stale =
                self.nodes[node].paused_until.since(event.at) > steering::MAX_THREAD_PAUSE;
            if is_stale && matches!(event.action, Action::Packet(..) | Action::Traffic(..)) {
                return;
            }
            let until = self.nodes[node].paused_until;
            self.events.push(Event { at: until, ..event });
            return;
        }
        let now = self.now;
        let this = &mut self.nodes[node];
        match event.action {
            Action::ControlTick => {
                this.control.tick(now);
                self.push(node, now + CONTROL_TICK, Action::ControlTick);
                self.notify_watchers();
            }
            Action::Counts => self.report_counts(node),
            Action::Heartbeat(from, heartbeat) => this.control.on_heartbeat(now, from, &heartbeat),
            Action::Packet(flow, packet) => self.steer(node, flow, packet),
            Action::Probe => self.probe(node),
            Action::SendFlow(_) => {}
            Action::ShardTick => {
                let view = Arc::clone(&this.view);
                if let Some(census) = this.shard.tick(&view, now, SWEEP_SLOTS) {
                    this.control.on_census(0, census);
                }
                self.push(node, now + SHARD_TICK, Action::ShardTick);
            }
            Action::Sheet(sheet) => {
                this.control.on_sheet(now, sheet);
            }
            Action::Traffic(from, message) => {
                let view = Arc::clone(&this.view);
                this.shard.receive(&view, now, from, message);
            }
        }
        self.nodes[node].control.send_heartbeats(now);
        self.apply_outputs(node);
        self.release(node);
        self.send_messages(node);
    }

    fn report_counts(&mut self, node: usize) {
        let now = self.now;
        let this = &mut self.nodes[node];
        let targets = this.view.targets.len();
        let load = this.shard.load();
        load.decay_recent_placements();
        let counts = load.take_counts(targets);
        this.control.on_counts(now, 0, &counts);
        self.push(node, now + COUNT_INTERVAL, Action::Counts);
    }

    fn probe(&mut self, node: usize) {
        for (target, address) in self.nodes[node].probes.clone() {
            let answer = self
                .probe_results
                .get(&address)
                .copied()
                .unwrap_or(message::Probe::Healthy);
            self.nodes[node].control.on_probe(target, answer);
        }
        let interval = health::Config::default().interval;
        self.push(node, self.now + interval, Action::Probe);
    }

    fn send_flow(&mut self, number: usize) {
        let now = self.now;
        let Some((kind, wait)) = self.flows[number].next_packet(now) else {
            return;
        };
        self.push(0, now + wait, Action::SendFlow(number));
        let flow = &self.flows[number];
        let packet = verdict::Packet {
            flow: flow.key,
            header: packet::Header {
                kind,
                tuple: flow.tuple,
            },
            hops: steering::MAX_HOPS,
        };
        let candidates: Vec<usize> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].running || self.fabric_sends_to_dead)
            .collect();
        if !candidates.is_empty() {
            self.packets += 1;
            let node = candidates[self.random.below(candidates.len())];
            self.push(node, now, Action::Packet(number, packet));
        }
    }

    fn steer(&mut self, node: usize, flow: usize, packet: verdict::Packet) {
        let view = Arc::clone(&self.nodes[node].view);
        let verdict = self.nodes[node].shard.steer(&view, self.now, packet);
        self.apply(node, flow, packet.header.kind, verdict);
    }

    /// Describes the recorded decisions on a flow's packets, for messages of failing tests.
    pub fn history(&self, flow: usize) -> String {
        let mut text = format!("flow {flow}: {:?}\n", self.flows[flow].state);
        for decision in self
            .decisions
            .iter()
            .filter(|decision| decision.flow == flow)
        {
            let at = decision.at.since(ORIGIN).as_millis();
            let (kind, verdict) = (decision.kind, decision.verdict);
            let _ = write!(
                text,
                "{at} ms, node {}: {kind:?} {verdict:?}",
                decision.node
            );
            if let Some(bucket) = decision.bucket {
                let place = bucket.place_at.since(ORIGIN).as_millis();
                let _ = writeln!(
                    text,
                    "; {:?} by {}, home {}, fallback {}, place at {place}, settling {}",
                    bucket.mode, bucket.owner.0, bucket.home.0, bucket.fallback.0, bucket.settling
                );
            }
        }
        text
    }

    fn record_decision(
        &mut self,
        node: usize,
        flow: usize,
        kind: packet::Kind,
        verdict: verdict::Verdict,
    ) {
        let this = &self.flows[flow];
        let service = self.nodes[node].view.services.get(this.service);
        let bucket = service
            .and_then(|service| service.buckets.get(service.bucket(this.key).index()))
            .copied();
        let at = self.now;
        self.decisions.push(Decision {
            at,
            bucket,
            flow,
            kind,
            node,
            verdict,
        });
    }

    fn apply(&mut self, node: usize, flow: usize, kind: packet::Kind, verdict: verdict::Verdict) {
        if self.record_decisions {
            self.record_decision(node, flow, kind, verdict);
        }
        match verdict {
            verdict::Verdict::Drop(reason) => self.nodes[node].shard.counters.increment(reason),
            verdict::Verdict::Forward(target) => self.deliver(node, flow, kind, target),
            verdict::Verdict::Hold(key) => {
                self.nodes[node].held.insert(key, (flow, kind));
            }
            verdict::Verdict::Refuse => self.refuse(flow),
            verdict::Verdict::Relay(peer, hops) => {
                self.nodes[node]
                    .shard
                    .counters
                    .increment(count::Counter::Relayed);
                let this = &self.flows[flow];
                let packet = verdict::Packet {
                    flow: this.key,
                    header: packet::Header {
                        kind,
                        tuple: this.tuple,
                    },
                    hops,
                };
                for at in self
                    .network
                    .arrivals(self.now, node, peer.index(), &mut self.random)
                {
                    self.push(peer.index(), at, Action::Packet(flow, packet));
                }
            }
        }
    }

    fn deliver(&mut self, node: usize, flow: usize, kind: packet::Kind, target: key::Target) {
        let Some(name) = self.nodes[node].view.target(target).map(|target| target.id) else {
            return;
        };
        let first = self.flows[flow].placed_at.is_none();
        if first && matches!(kind, packet::Kind::Syn | packet::Kind::Datagram) {
            self.placements.push((self.now, name, flow));
        }
        if !self.dead_targets.contains(&name) {
            self.flows[flow].on_arrival(self.now, name, kind);
        }
    }

    fn refuse(&mut self, flow: usize) {
        if self.flows[flow].placed_at.is_some() {
            self.false_refusals.push(flow);
        }
        self.flows[flow].state = caller::State::Refused;
    }

    fn release(&mut self, node: usize) {
        for (key, verdict) in self.nodes[node].shard.take_released() {
            if let Some((flow, kind)) = self.nodes[node].held.remove(&key) {
                self.apply(node, flow, kind, verdict);
            }
        }
    }

    fn send_messages(&mut self, node: usize) {
        let mut messages = Vec::new();
        self.nodes[node]
            .shard
            .outgoing(|peer, message| messages.push((peer, message)));
        let from = key::Instance(node as u16);
        let mut bytes = 0;
        for (peer, message) in messages {
            bytes += wire::encode(&keyring(), wire::Kind::Traffic, from, &message).len() as u64;
            for at in self
                .network
                .arrivals(self.now, node, peer.index(), &mut self.random)
            {
                self.push(peer.index(), at, Action::Traffic(from, message.clone()));
            }
        }
        self.control_bytes += bytes;
        self.nodes[node].control.on_replica_bytes(bytes);
    }

    fn apply_outputs(&mut self, node: usize) {
        let outputs: Vec<control::Output> = self.nodes[node].control.outputs().collect();
        let from = key::Instance(node as u16);
        for output in outputs {
            match output {
                control::Output::Fetch(peer) => self.fetch(node, peer.index()),
                control::Output::ClearAcks(peer) => self.nodes[node].shard.clear_acks(peer),
                control::Output::Heartbeat(peer, heartbeat) => {
                    let frame = wire::encode(&keyring(), wire::Kind::Heartbeat, from, &heartbeat);
                    self.control_bytes += frame.len() as u64;
                    let heartbeat = Box::new(heartbeat);
                    let to = peer.index();
                    for at in self.network.arrivals(self.now, node, to, &mut self.random) {
                        self.push(to, at, Action::Heartbeat(from, heartbeat.clone()));
                    }
                }
                control::Output::Log(_) => {}
                control::Output::Probe(list) => self.nodes[node].probes = list,
                control::Output::Publish(view) => self.nodes[node].view = view,
                control::Output::Watch(wanted) => self.nodes[node].watching = wanted,
            }
        }
    }

    fn fetch(&mut self, node: usize, peer: usize) {
        let sheet = self.nodes[peer].control.sheet.clone();
        if let Some(sheet) =
            sheet.filter(|_| self.nodes[peer].running && self.network.is_connected(node, peer))
        {
            self.push(node, self.now + SHEET_DELAY, Action::Sheet(sheet));
        }
    }

    /// Number of flows whose state matches.
    pub fn count_flows(&self, matches: impl Fn(&caller::State) -> bool) -> usize {
        self.flows
            .iter()
            .filter(|flow| matches(&flow.state))
            .count()
    }

    /// Sum of a counter over all nodes.
    pub fn counter(&self, counter: count::Counter) -> u64 {
        self.nodes
            .iter()
            .map(|node| node.shard.counters.get(counter))
            .sum()
    }

    /// Number of open flows of each target, as the targets count them.
    pub fn open_by_target(&self) -> BTreeMap<key::Id, usize> {
        let mut open = BTreeMap::new();
        for flow in &self.flows {
            if let caller::State::Open(target) = flow.state {
                *open.entry(target).or_default() += 1;
            }
        }
        open
    }
}
