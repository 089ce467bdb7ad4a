//! Control decisions of an instance that forwards by cookie.
//!
//! A few instances watch the platform for all instances. The others learn from heartbeats that a
//! peer has newer registry data and fetch it from that peer. No instance assigns the watch to
//! another: an instance starts to watch if too few of the instances that rank before it watch, and
//! if it is one of the first in rank or its own registry data is stale. An instance without
//! registry data watches unless it soon gets some from a peer.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::coordination::burn;
use crate::coordination::cookie::{heartbeat, peers, registry, report, snapshot_builder};
use crate::state::{catalog, fleet, key, random, snapshot, time};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Instances that watch the platform while all instances hear each other.
const WATCHER_COUNT: usize = 2;
/// Age of registry data at which an instance watches the platform itself; above the usual gap
/// between two answers of a watch plus the delay of the heartbeat that announces them.
const STALE_AFTER: time::Duration = time::Duration::from_millis(2_300);
/// Added to `STALE_AFTER` for each instance that ranks before this one, so that not all of them
/// start to watch at once.
const STAGGER_STEP: time::Duration = time::Duration::from_millis(120);
/// Largest number of such steps.
const MAX_STAGGER_STEPS: usize = 6;
/// Time after its start in which an instance that is no seed waits for the registry data of a peer.
const PEER_FETCH_WINDOW: time::Duration = time::Duration::from_millis(60);
/// Timeout of a fetch from a peer; no other fetch starts before the current one ends.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Settings of an instance that stay the same while the process runs.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address from which this instance sends heartbeats and at which it receives them.
    pub address: SocketAddr,
    /// Number of the process, drawn at random.
    pub incarnation: u64,
    /// Name of the instance.
    pub name: CompactString,
    /// Zone of the instance.
    pub zone: CompactString,
}

/// Source of registry data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Another instance.
    Peer(SocketAddr),
    /// The platform.
    Platform,
}

/// A change of state or of a dependency, for the log.
#[derive(Clone, Debug)]
pub enum Event {
    /// The registry changed.
    Registry(registry::Change, Origin),
    /// The state of a peer changed.
    Peer(peers::Change),
    /// The platform answers again, or no longer answers.
    PlatformReachable(bool),
    /// The set of zones that traffic shows to be suspect changed.
    SuspectZones(Vec<CompactString>),
    /// Traffic shows that a target does not answer.
    Avoided(report::Avoidance),
    /// A target that did not answer may get new flows again.
    Usable(key::Target),
    /// This instance starts or stops watching the platform.
    Watching(bool),
}

/// An action that the control thread carries out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a heartbeat to addresses.
    Heartbeat(Vec<SocketAddr>, heartbeat::Heartbeat),
    /// Fetch the changes after a revision from a peer.
    Fetch(SocketAddr, u64),
    /// Write a log line.
    Log(Event),
    /// Publish a snapshot to the traffic threads.
    Publish(Arc<snapshot::Snapshot>),
    /// Start watching the platform, or stop.
    Watch(bool),
}

/// Control state of one instance.
pub struct Controller {
    /// The configuration and the targets as this instance knows them.
    pub registry: registry::Registry,
    /// Settings of the instance.
    pub config: Config,
    /// The other instances.
    pub peers: peers::Peers,
    /// The last report of each traffic thread.
    pub reports: Vec<report::Report>,
    /// The last published snapshot.
    pub snapshot: Arc<snapshot::Snapshot>,
    /// Whether this instance watches the platform.
    pub watching: bool,
    burn: BTreeMap<key::Service, burn::History>,
    platform_answered_at: Option<time::Instant>,
    fetch_started: Option<time::Instant>,
    leaving: bool,
    heartbeat_due: time::Instant,
    outputs: Vec<Output>,
    snapshot_builder: snapshot_builder::Builder,
    random: random::Source,
    platform_reachable: Option<bool>,
    sample_due: time::Instant,
    sequence: u64,
    started: time::Instant,
}

impl Controller {
    /// Control state of an instance that starts at `now`, finds its peers through `seeds` and has
    /// `shards` traffic threads.
    pub fn new(
        config: Config,
        seeds: &[SocketAddr],
        shards: usize,
        random: random::Source,
        now: time::Instant,
    ) -> Self {
        Self {
            registry: registry::Registry::default(),
            burn: BTreeMap::new(),
            platform_answered_at: None,
            fetch_started: None,
            leaving: false,
            heartbeat_due: now,
            outputs: Vec::new(),
            peers: peers::Peers::new(config.address, seeds),
            snapshot_builder: snapshot_builder::Builder::new(&config.zone, now),
            random,
            platform_reachable: None,
            reports: vec![report::Report::default(); shards],
            sample_due: now,
            sequence: 0,
            snapshot: Arc::new(snapshot::Snapshot::default()),
            started: now,
            watching: false,
            config,
        }
    }

    /// Takes the outputs since the last call, in order.
    pub fn outputs(&mut self) -> impl Iterator<Item = Output> {
        std::mem::take(&mut self.outputs).into_iter()
    }

    /// Whether this instance can serve and is not about to stop.
    pub fn is_ready(&self) -> bool {
        self.registry.is_complete() && !self.leaving
    }

    /// Whether the platform answered the last call; none if it was never called.
    pub fn is_platform_reachable(&self) -> Option<bool> {
        self.platform_reachable
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.peers.set_seeds(seeds);
    }

    /// Announces the stop of this instance.
    pub fn leave(&mut self, now: time::Instant) {
        self.leaving = true;
        self.send_heartbeats(now);
        self.decide_watch(now);
    }

    /// Handles a heartbeat; starts a fetch if the sender has newer registry data and this instance
    /// does not currently read the platform itself.
    pub fn on_heartbeat(
        &mut self,
        now: time::Instant,
        from: SocketAddr,
        heartbeat: heartbeat::Heartbeat,
    ) {
        let Some((key, change)) = self.peers.on_heartbeat(now, from, heartbeat) else {
            return;
        };
        if let Some(change) = change {
            self.outputs.push(Output::Log(Event::Peer(change)));
        }
        if matches!(change, Some(peers::Change::Appeared(_))) {
            self.send_heartbeat(now, vec![from]);
        }
        let Some(peer) = self.peers.known.get(key) else {
            return;
        };
        let (as_of, version, current_at) = (
            peer.heartbeat.as_of,
            peer.heartbeat.version,
            peer.current_at(),
        );
        let newer = as_of > self.registry.as_of || version > self.registry.version();
        let reads_platform = self.watching && self.platform_answer_age(now) < STALE_AFTER;
        if newer && !reads_platform {
            self.fetch(now, from);
        } else if let Some(current_at) = current_at.filter(|_| !newer) {
            // The registry holds all that the peer's registry does, so it is current whenever the
            // peer's is.
            let change = self.registry.confirm(now, self.registry.as_of, current_at);
            self.log_registry_changes(change.into_iter().collect(), Origin::Peer(from));
        }
    }

    /// Merges registry data that was current `age` ago.
    pub fn on_delta(
        &mut self,
        now: time::Instant,
        delta: &catalog::Delta,
        age: time::Duration,
        from: Origin,
    ) {
        let current_at = time::Instant(now.0.saturating_sub(age.as_micros() as u64));
        if from == Origin::Platform {
            self.platform_answered_at = Some(current_at);
            self.set_platform_reachable(true);
        } else {
            self.fetch_started = None;
        }
        let before = (self.registry.as_of, self.registry.version());
        let changes = self.registry.apply(now, delta, current_at);
        let changed = !changes.is_empty();
        self.log_registry_changes(changes, from);
        if changed {
            self.publish(now);
        }
        if before != (self.registry.as_of, self.registry.version()) && changed {
            self.send_heartbeats(now);
        }
    }

    /// Handles a failed fetch from a peer: another may start.
    pub fn on_fetch_failed(&mut self) {
        self.fetch_started = None;
    }

    /// Handles a platform call without a usable answer.
    pub fn on_platform_failed(&mut self) {
        self.set_platform_reachable(false);
    }

    /// Handles the report of a traffic thread.
    pub fn on_report(&mut self, now: time::Instant, shard: usize, report: report::Report) {
        for (index, outcomes) in report.outcomes.iter().enumerate() {
            let history = self.burn.entry(key::Service::from(index)).or_default();
            history.add_outcomes(now, outcomes);
        }
        let Some(before) = self.reports.get_mut(shard) else {
            return;
        };
        let before = std::mem::replace(before, report);
        let report = &self.reports[shard];
        let avoids = |report: &report::Report, target: key::Target| {
            report.avoided.iter().any(|found| found.target == target)
        };
        let appeared = report
            .avoided
            .iter()
            .filter(|found| !avoids(&before, found.target))
            .map(|found| Event::Avoided(*found));
        let ended = before
            .avoided
            .iter()
            .filter(|found| !avoids(report, found.target))
            .map(|found| Event::Usable(found.target));
        let changes = appeared.chain(ended);
        self.outputs.extend(changes.map(Output::Log));
        if before.suspect_zones != report.suspect_zones {
            let names = self.snapshot.zones.iter().zip(&report.suspect_zones);
            let suspect_zones = names.filter(|(_, suspect)| **suspect);
            let names = suspect_zones.map(|(name, _)| name.clone()).collect();
            self.outputs.push(Output::Log(Event::SuspectZones(names)));
        }
    }

    /// All changes after a revision, and the age of the registry data in milliseconds.
    pub fn delta_since(&self, now: time::Instant, since: u64) -> (catalog::Delta, u32) {
        let age = self.registry.age(now).unwrap_or(time::Duration::MAX);
        (self.registry.delta_since(since), millis(age))
    }

    /// Runs the periodic work: expiry of targets, peers and fetches, the decision to watch, samples
    /// and heartbeats.
    pub fn tick(&mut self, now: time::Instant) {
        let changes = self.registry.tick(now);
        self.log_registry_changes(changes, Origin::Platform);
        for change in self.peers.tick(now) {
            self.outputs.push(Output::Log(Event::Peer(change)));
        }
        let overdue = self
            .fetch_started
            .is_some_and(|since| now.since(since) >= FETCH_TIMEOUT);
        if overdue {
            self.fetch_started = None;
        }
        self.decide_watch(now);
        self.sample_objectives(now);
        if now >= self.heartbeat_due {
            self.send_heartbeats(now);
            self.publish(now);
        }
    }

    fn log_registry_changes(&mut self, changes: Vec<registry::Change>, origin: Origin) {
        let events = changes
            .into_iter()
            .map(|change| Event::Registry(change, origin));
        self.outputs.extend(events.map(Output::Log));
    }

    fn set_platform_reachable(&mut self, reachable: bool) {
        if self.platform_reachable != Some(reachable) {
            self.platform_reachable = Some(reachable);
            self.outputs
                .push(Output::Log(Event::PlatformReachable(reachable)));
        }
    }

    fn platform_answer_age(&self, now: time::Instant) -> time::Duration {
        self.platform_answered_at
            .map_or(time::Duration::MAX, |platform_answered_at| {
                now.since(platform_answered_at)
            })
    }

    fn fetch(&mut self, now: time::Instant, from: SocketAddr) {
        if self.fetch_started.is_none() {
            self.fetch_started = Some(now);
            self.outputs.push(Output::Fetch(from, self.registry.as_of));
        }
    }

    /// Decides whether this instance watches the platform.
    fn decide_watch(&mut self, now: time::Instant) {
        let own_rank = peers::Peers::rank(self.config.address);
        let mut ranked_before = 0;
        let mut watchers = 0;
        for (_, peer) in self.peers.alive(now) {
            if peers::Peers::rank(peer.address) < own_rank {
                ranked_before += 1;
                let answered = peer
                    .platform_answered_at()
                    .map(|answered| now.since(answered));
                watchers += usize::from(answered.is_some_and(|age| age < STALE_AFTER));
            }
        }
        let staleness_limit =
            STALE_AFTER + STAGGER_STEP * ranked_before.min(MAX_STAGGER_STEPS) as u32;
        let wanted = !self.leaving
            && match self.registry.age(now) {
                // Two watchers suffice; each further one costs platform calls.
                Some(age) if age < staleness_limit => {
                    watchers < WATCHER_COUNT && ranked_before < WATCHER_COUNT
                }
                Some(_) => watchers < WATCHER_COUNT,
                None => {
                    let seed = self.peers.is_seed();
                    seed || now.since(self.started) >= PEER_FETCH_WINDOW
                }
            };
        // An instance that watches continues until two others do.
        let continues = self.watching && !self.leaving && watchers < WATCHER_COUNT;
        let watching = wanted || continues;
        if watching != self.watching {
            self.watching = watching;
            self.outputs.push(Output::Watch(watching));
            self.outputs.push(Output::Log(Event::Watching(watching)));
        }
    }

    fn send_heartbeats(&mut self, now: time::Instant) {
        self.heartbeat_due = now + HEARTBEAT_INTERVAL;
        let to = self.peers.recipients(&self.config.zone, &mut self.random);
        self.send_heartbeat(now, to);
    }

    fn send_heartbeat(&mut self, now: time::Instant, to: Vec<SocketAddr>) {
        if to.is_empty() {
            return;
        }
        self.sequence += 1;
        let heartbeat = heartbeat::Heartbeat {
            age_ms: self.registry.age(now).map(millis),
            as_of: self.registry.as_of,
            contact_ms: self
                .platform_answered_at
                .filter(|_| self.watching)
                .map(|platform_answered_at| millis(now.since(platform_answered_at))),
            incarnation: self.config.incarnation,
            leaving: self.leaving,
            loads: self.loads(now),
            name: self.config.name.clone(),
            peers: self.peers.advertised(now, &mut self.random),
            sequence: self.sequence,
            version: self.registry.version(),
            zone: self.config.zone.clone(),
        };
        self.outputs.push(Output::Heartbeat(to, heartbeat));
    }

    fn loads(&self, now: time::Instant) -> Vec<heartbeat::Load> {
        let mut loads: HashMap<key::Target, (snapshot::Load, time::Instant)> = HashMap::new();
        for load in self.reports.iter().flat_map(|report| &report.loads) {
            let (count, progressed) = loads.entry(load.target).or_default();
            *count = *count + load.count;
            *progressed = load.last_progress.max(*progressed);
        }
        let saturate = |number: u32| number.min(u32::from(u16::MAX)) as u16;
        loads
            .into_iter()
            .filter_map(|(target, (count, progressed))| {
                let record = self.registry.targets.get(target)?;
                Some(heartbeat::Load {
                    cookie: record.cookie.0,
                    flows: saturate(count.flows),
                    progress_ms: saturate(millis(now.since(progressed))),
                    waiting: saturate(count.waiting),
                })
            })
            .collect()
    }

    /// Builds a new snapshot and publishes it to the traffic threads.
    fn publish(&mut self, now: time::Instant) {
        let peer_loads = self.peers.loads(now);
        let built = self
            .snapshot_builder
            .build(now, &self.registry, &peer_loads);
        self.snapshot = Arc::new(built);
        self.outputs
            .push(Output::Publish(Arc::clone(&self.snapshot)));
    }

    /// Samples the lag of the configuration and the imbalance of load for the services' objectives,
    /// since no single event shows them.
    fn sample_objectives(&mut self, now: time::Instant) {
        if now < self.sample_due {
            return;
        }
        self.sample_due = now + burn::SAMPLE_INTERVAL;
        let version = self.registry.version();
        let newer = |peer: &peers::Peer| peer.heartbeat.version > version;
        let is_behind = self.peers.alive(now).any(|(_, peer)| newer(peer));
        for (index, targets) in self.snapshot.services.iter().enumerate() {
            let local_flows = |key: key::Target| {
                let loads = self.reports.iter().flat_map(|report| &report.loads);
                let own = loads.filter(|load| load.target == key);
                own.map(|load| load.count.flows).sum::<u32>()
            };
            let flows = |key: &key::Target| {
                let remote_load = self.snapshot.target(*key).map(|target| target.remote_load);
                local_flows(*key) + remote_load.unwrap_or_default().flows
            };
            let flows: Vec<u32> = targets.iter().map(flows).collect();
            let history = self.burn.entry(key::Service::from(index)).or_default();
            let objective = fleet::Objective::default();
            history.add_samples(now, objective, is_behind, burn::imbalance(&flows));
        }
    }

    /// The burn report of this instance against the default objectives.
    pub fn burn_report(&self, now: time::Instant) -> burn::Report {
        let objective = fleet::Objective::default();
        let service = |(key, history): (&key::Service, &burn::History)| {
            Some(burn::Service {
                measures: burn::KINDS
                    .map(|kind| history.measure(kind, objective))
                    .to_vec(),
                name: self.snapshot_builder.service_name(*key)?.clone(),
            })
        };
        burn::Report {
            instances: vec![self.config.name.clone()],
            services: self.burn.iter().filter_map(service).collect(),
            since_seconds: now.since(self.started).as_secs(),
            unreachable: Vec::new(),
            zones: vec![self.config.zone.clone()],
        }
    }
}

fn millis(duration: time::Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}
