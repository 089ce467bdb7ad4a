//! The control thread, which alone owns the control state.
//!
//! All input reaches it as events over one bounded channel. It waits for the next event or the next
//! timer, whichever comes first.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use compact_str::CompactString;
use crossbeam_channel::{Receiver, Sender};
use hdrhistogram::Histogram;

use crate::coordination::{bucket, burn, control, inventory, message};
use crate::protocol::{fault, sheet, status, wire};
use crate::state::{code, count, fleet, key, time, view};
use crate::transport::{clock, event_loop, probe, timer, traffic};

/// Time between runs of the control state's periodic work.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time between updates of the status that operators see.
const STATUS_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Quantiles of measured times in the status.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// A datagram received at the control socket.
    Datagram(Vec<u8>),
    /// Result of a fetch from a peer: a sheet, or `None` if the fetch failed or the peer had none.
    Fetched(Option<message::Bundle>),
    /// Result of the platform watch: a sheet, `None` after a timeout, or a failure.
    Platform(fault::Result<Option<message::Bundle>>),
    /// Result of a health probe.
    Probed(key::Target, message::Probe),
    /// Begin a graceful shutdown.
    Stop,
    /// An event of the traffic thread with this shard number.
    Traffic(usize, traffic::Event),
}

/// State, channels and sockets of the control thread.
pub struct Parts {
    /// Error-budget burn report for operators.
    pub burn: Arc<ArcSwap<burn::Report>>,
    /// Clock of the process.
    pub clock: clock::Clock,
    /// Makes the control decisions.
    pub control: control::Control,
    /// Counters of the traffic threads, followed by those of this thread.
    pub counters: Vec<Arc<count::Set>>,
    /// Queue of events.
    pub events: Receiver<Event>,
    /// Requests to the fetch thread: a peer and the revision above which a sheet is wanted.
    pub fetch_requests: Sender<(SocketAddr, u64)>,
    /// Log.
    pub log: slog::Logger,
    /// Sheet that peers can fetch.
    pub served_sheet: Arc<ArcSwapOption<message::Bundle>>,
    /// Sends the targets to probe to the probe thread.
    pub probe_targets: Sender<probe::Targets>,
    /// Revision in force, read by the platform watch.
    pub revision: Arc<AtomicU64>,
    /// Keys that authenticate frames.
    pub keyring: wire::Keyring,
    /// Socket for heartbeats.
    pub socket: UdpSocket,
    /// Status for operators.
    pub status: Arc<ArcSwap<status::Status>>,
    /// Time for which forwarding continues in a shutdown after all buckets are handed over.
    pub stop_delay: time::Duration,
    /// Commands to the traffic threads.
    pub traffic_commands: Vec<Sender<traffic::Command>>,
    /// View that the traffic threads read.
    pub view: Arc<ArcSwap<view::View>>,
    /// Turns the platform watch on or off.
    pub watch: Sender<bool>,
}

struct Worker {
    entries: u64,
    left_at: Option<time::Instant>,
    parts: Parts,
    platform_reachable: Option<bool>,
    started: time::Instant,
    stopped: bool,
    times: BTreeMap<&'static str, Histogram<u64>>,
    watching: bool,
}

/// Runs the control thread until a graceful shutdown is complete.
pub fn run(parts: Parts) {
    let clock = parts.clock;
    let started = clock.now();
    let mut worker = Worker {
        entries: 0,
        left_at: None,
        parts,
        platform_reachable: None,
        started,
        stopped: false,
        times: BTreeMap::new(),
        watching: false,
    };
    let mut timers = timer::Service::<Worker>::default();
    timers.subscribe(started, TICK_INTERVAL, Worker::tick);
    timers.subscribe(started, STATUS_INTERVAL, Worker::publish_status);
    let events = worker.parts.events.clone();
    let handle = Worker::handle;
    event_loop::run_control(
        clock,
        &mut worker,
        timers,
        &events,
        handle,
        Worker::after_event,
    );
    slog::info!(worker.parts.log, "stopped");
    // A thread that does not get the command ends with the process instead.
    let _ = traffic::broadcast_command(&worker.parts.traffic_commands, &traffic::Command::Stop);
}

impl Worker {
    /// Sends heartbeats and executes outputs; returns whether the thread keeps running.
    fn after_event(&mut self, now: time::Instant) -> bool {
        self.parts.control.send_heartbeats(now);
        self.execute_outputs();
        !self.stopped
    }

    fn own_counters(&self) -> Option<&Arc<count::Set>> {
        self.parts.counters.last()
    }

    fn count(&self, counter: count::Counter, amount: u64) {
        if let Some(counters) = self.own_counters() {
            counters.add(counter, amount);
        }
    }

    fn handle(&mut self, now: time::Instant, event: Event) {
        match event {
            Event::Datagram(bytes) => self.handle_datagram(now, &bytes),
            Event::Fetched(Some(bundle)) => self.handle_bundle(now, bundle),
            Event::Fetched(None) => {}
            Event::Platform(outcome) => {
                self.set_platform_reachable(outcome.as_ref().err());
                if let Ok(Some(bundle)) = outcome {
                    self.handle_bundle(now, bundle);
                }
            }
            Event::Probed(target, probe) => self.parts.control.on_probe(target, probe),
            Event::Stop => {
                slog::info!(self.parts.log, "stopping"; "revision" => self.parts.control.revision());
                self.parts.control.leave(now);
            }
            Event::Traffic(shard, event) => self.handle_traffic(now, shard, event),
        }
    }

    /// Records whether the platform responded, and logs a change.
    fn set_platform_reachable(&mut self, failure: Option<&error_stack::Report<fault::Fault>>) {
        let reachable = failure.is_none();
        // A first successful response is not logged: the platform counts as reachable at the start.
        if self.platform_reachable.unwrap_or(true) != reachable {
            let why = failure.map(|report| fault::texts(report).join("; "));
            slog::info!(self.parts.log, "platform"; "reachable" => reachable, "why" => why);
        }
        self.platform_reachable = Some(reachable);
    }

    fn handle_datagram(&mut self, now: time::Instant, bytes: &[u8]) {
        if wire::kind(bytes) != Some(wire::Kind::Heartbeat) {
            self.count(count::Counter::DropMalformed, 1);
            return;
        }
        match wire::decode::<message::Heartbeat>(&self.parts.keyring, bytes) {
            Ok((from, heartbeat)) => {
                self.count(count::Counter::ControlFramesReceived, 1);
                self.parts.control.on_heartbeat(now, from, &heartbeat);
            }
            Err(reason) => self.count(reason, 1),
        }
    }

    fn handle_traffic(&mut self, now: time::Instant, shard: usize, event: traffic::Event) {
        match event {
            traffic::Event::ReplicaBytes(bytes) => self.parts.control.on_replica_bytes(bytes),
            traffic::Event::Census(census) => self.parts.control.on_census(shard, census),
            traffic::Event::FlowCounts(counts, entries) => {
                self.entries = entries;
                self.parts.control.on_counts(now, shard, &counts);
            }
            traffic::Event::Outcomes(outcomes) => self.parts.control.on_outcomes(now, &outcomes),
            traffic::Event::Times(name, times) => match self.times.get_mut(name) {
                // Cannot fail: both histograms have the same bounds.
                Some(histogram) => drop(histogram.add(&times)),
                None => drop(self.times.insert(name, times)),
            },
        }
    }

    /// Checks a sheet and puts it in force if it is accepted.
    fn handle_bundle(&mut self, now: time::Instant, bundle: message::Bundle) {
        match sheet::accept(&bundle, self.parts.control.sheet.as_deref()) {
            Ok(sheet) => {
                if self.parts.control.on_sheet(now, Arc::new(sheet)) {
                    self.parts
                        .revision
                        .store(self.parts.control.revision(), Ordering::Relaxed);
                    self.parts.served_sheet.store(Some(Arc::new(bundle)));
                }
            }
            Err(report) => {
                let code = fault::code(&report);
                if code != code::Code::SheetRevision {
                    slog::warn!(self.parts.log, "sheet refused"; "code" => %code,
                        "why" => fault::texts(&report).join("; "));
                }
            }
        }
    }

    fn tick(&mut self, now: time::Instant) {
        self.parts.control.tick(now);
        if self.left_at.is_none() && self.parts.control.has_left() {
            self.left_at = Some(now);
            slog::info!(self.parts.log, "handed over"; "forwarding_ms" => self.parts.stop_delay.as_millis() as u64);
        }
        if self
            .left_at
            .is_some_and(|left_at| now.since(left_at) >= self.parts.stop_delay)
        {
            self.stopped = true;
        }
    }

    /// Executes the outputs of the control decisions.
    fn execute_outputs(&mut self) {
        let outputs: Vec<control::Output> = self.parts.control.outputs().collect();
        for output in outputs {
            match output {
                control::Output::Fetch(peer) => self.request_fetch(peer),
                control::Output::ClearAcks(peer) => {
                    let command = traffic::Command::ClearAcks(peer);
                    if !traffic::broadcast_command(&self.parts.traffic_commands, &command) {
                        self.count(count::Counter::EventLost, 1);
                    }
                }
                control::Output::Heartbeat(peer, heartbeat) => self.send(peer, &heartbeat),
                control::Output::Log(event) => self.log_event(event),
                control::Output::Probe(list) => drop(self.parts.probe_targets.send(list)),
                control::Output::Publish(view) => self.parts.view.store(view),
                control::Output::Watch(enabled) => {
                    self.watching = enabled;
                    self.enable_watch(enabled);
                }
            }
        }
    }

    fn enable_watch(&self, enabled: bool) {
        if self.parts.watch.try_send(enabled).is_err() {
            self.count(count::Counter::EventLost, 1);
        }
    }

    fn request_fetch(&self, peer: key::Instance) {
        if let Some(address) = self.parts.control.config.peers.get(&peer) {
            let request = (*address, self.parts.control.revision());
            // The queue is full only if another fetch is already pending, which is enough.
            let _ = self.parts.fetch_requests.try_send(request);
        }
    }

    fn send(&self, peer: key::Instance, heartbeat: &message::Heartbeat) {
        let Some(address) = self.parts.control.config.peers.get(&peer) else {
            return;
        };
        let self_key = self.parts.control.config.self_key;
        let frame = wire::encode(
            &self.parts.keyring,
            wire::Kind::Heartbeat,
            self_key,
            heartbeat,
        );
        match self.parts.socket.send_to(&frame, address) {
            Ok(sent) => {
                self.count(count::Counter::ControlBytesSent, sent as u64);
                self.count(count::Counter::ControlFramesSent, 1);
            }
            Err(_) => self.count(count::Counter::SendFailed, 1),
        }
    }

    fn log_event(&self, event: control::Event) {
        let log = &self.parts.log;
        match event {
            control::Event::PeerAlive(peer) => slog::info!(log, "peer alive"; "peer" => peer.0),
            control::Event::PeerDead(peer) => slog::warn!(log, "peer dead"; "peer" => peer.0),
            control::Event::Phase(phase) => {
                slog::info!(log, "phase"; "phase" => ?phase);
            }
            control::Event::Rejoined => slog::warn!(log, "paused for too long, joining anew"),
            control::Event::Sheet(revision) => {
                slog::info!(log, "sheet in force"; "revision" => revision);
            }
            control::Event::Target(target, fitness) => {
                let name = self.parts.control.inventory.targets.get(target);
                let name = name.map(|target| target.spec.name.to_string());
                slog::info!(log, "target"; "target" => name, "fitness" => ?fitness);
            }
        }
    }

    fn publish_status(&mut self, now: time::Instant) {
        let control = &self.parts.control;
        let status = status::Status {
            alone: control.membership.alive().next().is_none(),
            counters: totals(&self.parts.counters),
            entries: self.entries,
            instance: control.config.self_key.0,
            name: control.config.self_key.0.to_string().into(),
            peers: peers(control, now),
            phase: Some(control.membership.phase),
            platform_reachable: self.platform_reachable,
            ready: control.is_ready(),
            revision: control.revision(),
            services: services(control),
            settled: control.is_settled(),
            times: self
                .times
                .iter()
                .map(|(name, times)| ((*name).into(), quantiles(times)))
                .collect(),
            uptime_seconds: now.since(self.started).as_secs(),
            watching: self.watching,
            zone: control.config.zone.clone(),
            ..status::Status::default()
        };
        self.parts.status.store(Arc::new(status));
        self.parts
            .burn
            .store(Arc::new(control.burn_report(now.since(self.started))));
    }
}

/// Counters by name, summed over the threads.
pub fn totals(sets: &[Arc<count::Set>]) -> BTreeMap<CompactString, u64> {
    count::Counter::ALL
        .iter()
        .map(|counter| {
            let total = sets.iter().map(|set| set.get(*counter)).sum();
            (counter.name().into(), total)
        })
        .collect()
}

/// Quantiles of measured times for the status.
pub fn quantiles(times: &Histogram<u64>) -> Vec<status::Quantile> {
    QUANTILES
        .iter()
        .map(|quantile| status::Quantile {
            micros: times.value_at_quantile(*quantile),
            quantile: *quantile,
        })
        .collect()
}

fn peers(control: &control::Control, now: time::Instant) -> Vec<status::Peer> {
    control
        .membership
        .peers
        .iter()
        .map(|(key, peer)| status::Peer {
            alive: peer.alive,
            instance: key.0,
            name: key.0.to_string().into(),
            phase: peer.phase,
            revision: peer.revision,
            silent_ms: (peer.last_seen > time::Instant(0))
                .then(|| now.since(peer.last_seen).as_millis() as u64),
        })
        .collect()
}

fn services(control: &control::Control) -> Vec<status::Service> {
    let self_key = control.config.self_key;
    control
        .inventory
        .services
        .iter()
        .filter(|(_, service)| service.in_sheet)
        .map(|(_, service)| {
            let buckets = &service.buckets.buckets;
            let owned = |bucket: &&bucket::Bucket| bucket.owner == Some(self_key);
            status::Service {
                address: format!("{}:{}", service.spec.address, service.spec.port).into(),
                buckets: buckets.len() as u32,
                direct: service.buckets.direct_buckets(self_key).count() as u32,
                flexible_share: service.flexible_share,
                name: service.spec.name.clone(),
                owned: buckets.iter().filter(owned).count() as u32,
                protocol: format!("{:?}", service.spec.protocol).to_lowercase().into(),
                settling: buckets
                    .iter()
                    .filter(|bucket| bucket.settle_until.is_some())
                    .count() as u32,
                targets: targets(control, service),
            }
        })
        .collect()
}

fn targets(control: &control::Control, service: &inventory::Service) -> Vec<status::Target> {
    let zones = control
        .sheet
        .as_ref()
        .map(|sheet| sheet.zones.as_slice())
        .unwrap_or_default();
    service
        .targets
        .iter()
        .filter_map(|key| Some((*key, control.inventory.targets.get(*key)?)))
        .map(|(key, target)| status::Target {
            address: target.spec.address.to_string().into(),
            fitness: fitness_name(target.health.fitness).into(),
            flows: control.fleet_flows(key),
            homes: service
                .buckets
                .buckets
                .iter()
                .filter(|bucket| bucket.home == key)
                .count() as u32,
            name: target.spec.name.clone(),
            state: state_name(target.spec.state).into(),
            weight_percent: target.health.weight_percent,
            zone: zones
                .get(target.spec.zone.index())
                .cloned()
                .unwrap_or_default(),
        })
        .collect()
}

fn fitness_name(fitness: view::Fitness) -> &'static str {
    match fitness {
        view::Fitness::Closed => "closed",
        view::Fitness::Failed => "failed",
        view::Fitness::Fit => "fit",
    }
}

fn state_name(state: fleet::State) -> &'static str {
    match state {
        fleet::State::Active => "active",
        fleet::State::Draining { .. } => "draining",
    }
}
