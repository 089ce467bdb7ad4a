//! Control decisions of an instance that forwards by cookie.
//!
//! A few instances watch the platform for all instances. They announce changes to some peers of each
//! zone, which pass them on. An instance that misses an announcement learns from a heartbeat that a
//! peer has newer registry data and fetches it from that peer. An instance without registry data
//! asks for it, and fetches it from one that offers it.

mod suspicion;

mod messages;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;

use crate::coordination::cookie::{
    capacity, checks, cold_budget, cookies, duty, heartbeat, news, objectives, offers, pause,
    peers, registry, report, snapshot_builder, summary, timing,
};
use crate::coordination::{burn, hash};
use crate::state::{bound, catalog, key, random, snapshot, time};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Timeout of a fetch from a peer; no other fetch starts before the current one ends.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Instances of the own zone to which a confirmation is passed on.
const CONFIRMATION_FANOUT: usize = 4;
/// Size of an encoded registration or route.
const ITEM_BYTES: usize = 64;
/// Largest number of items that an announcement carries; more are fetched.
const MAX_ANNOUNCED_ITEMS: usize = 16;
/// Largest number of held targets, and of evacuated zones, that a heartbeat names.
const MAX_HOLDS: usize = 16;

/// Features that a deployment may ask for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Features {
    /// Liveness checks of targets that seem to have failed.
    pub health: bool,
}

/// Settings of an instance that stay the same while the process runs.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address from which this instance sends heartbeats and at which it receives them.
    pub address: SocketAddr,
    /// Bounds that the deployment guarantees.
    pub bounds: bound::Bounds,
    /// Features that the deployment asks for.
    pub features: Features,
    /// Number of the process, drawn at random.
    pub incarnation: u64,
    /// Name of the instance.
    pub name: CompactString,
    /// Names of the regions of zones.
    pub regions: BTreeMap<CompactString, CompactString>,
    /// Time between two writes of a target to its registration.
    pub write_interval: time::Duration,
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
    /// This instance has its first registry data, with this number of targets.
    Loaded(usize, Origin),
    /// The state of a peer changed.
    Peer(peers::Change),
    /// The platform answers again, or no longer answers.
    PlatformReachable(bool),
    /// The set of zones that traffic shows to be suspect changed.
    SuspectZones(Vec<CompactString>),
    /// A target takes no new flows because another one has its cookie, or does so no longer.
    Cookie(cookies::Conflict, bool),
    /// Traffic shows that a target does not answer.
    Avoided(report::Avoidance),
    /// The process continues after a pause of this length.
    Resumed(time::Duration),
    /// A target that did not answer may get new flows again.
    Usable(key::Target),
    /// A check of this instance ended; the number is that of the instances that asked for it.
    Checked(key::Target, checks::Outcome, usize),
    /// This instance starts or stops watching the platform.
    Watching(bool),
}

/// An action that the control thread carries out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Open a connection to the target with a cookie.
    Check(u32, SocketAddr),
    /// Send a heartbeat to addresses.
    Heartbeat(Vec<SocketAddr>, Box<heartbeat::Heartbeat>),
    /// Fetch from a peer what it has beyond a position.
    Fetch(SocketAddr, catalog::Position),
    /// Write a log line.
    Log(Event),
    /// Publish a snapshot to the traffic threads.
    Publish(Arc<snapshot::Snapshot>),
    /// Start watching the platform, or stop.
    Watch(bool),
}

/// Which instances a heartbeat is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Audience {
    /// Neighbors in the own zone.
    Neighbors,
    /// Instances of other zones.
    OtherZones,
    /// Instances that are told of something at once.
    Notified,
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
    /// When the data was current that was last passed on as confirmed.
    announced_at: time::Instant,
    checks: checks::Checks,
    /// Targets that take no new flows because of their cookies, as last logged.
    conflicts: Vec<cookies::Conflict>,
    /// Instances of the own zone among which the budgets of cold targets are shared.
    ledger: cold_budget::Ledger,
    platform_answered_at: Option<time::Instant>,
    duty: duty::Duty,
    fetch_started: Option<time::Instant>,
    leaving: bool,
    objectives: objectives::Objectives,
    offers: offers::Offers,
    heartbeat_due: time::Instant,
    outputs: Vec<Output>,
    pause: pause::Monitor,
    snapshot_builder: snapshot_builder::Builder,
    publish_due: time::Instant,
    random: random::Source,
    platform_reachable: Option<bool>,
    sequence: u64,
    timing: timing::Timing,
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
        let timing = timing::Timing::new(&config.bounds);
        Self {
            registry: registry::Registry::new(config.write_interval, timing),
            announced_at: now,
            checks: checks::Checks::default(),
            conflicts: Vec::new(),
            platform_answered_at: None,
            duty: duty::Duty::new(now, timing),
            fetch_started: None,
            leaving: false,
            ledger: cold_budget::Ledger::new(now),
            heartbeat_due: now,
            objectives: objectives::Objectives::new(now),
            outputs: Vec::new(),
            offers: offers::Offers::default(),
            pause: pause::Monitor::new(now),
            peers: peers::Peers::new(config.address, &config.zone, seeds),
            snapshot_builder: snapshot_builder::Builder::new(
                &config.zone,
                &config.regions,
                config.bounds,
                now,
            ),
            publish_due: now,
            random,
            platform_reachable: None,
            reports: vec![report::Report::default(); shards],
            sequence: 0,
            snapshot: Arc::new(snapshot::Snapshot::default()),
            timing,
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

    /// Revision from which the platform is watched; none if all data must be read.
    pub fn watched_from(&self) -> Option<catalog::Revision> {
        Some(self.registry.as_of).filter(|as_of| *as_of > catalog::Revision::NONE)
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
        // The next snapshot has no part in the budgets of cold targets.
        self.publish(now);
        self.send_heartbeats(now);
        self.decide_watch(now);
    }

    /// Records that the process runs, before each event and timer. After a pause, heartbeats may be
    /// old, and so may be what they say of others.
    pub fn observe(&mut self, now: time::Instant) {
        if let Some(length) = self.pause.observe(now) {
            self.duty.on_resumed(now);
            self.outputs.push(Output::Log(Event::Resumed(length)));
        }
    }

    /// When the data of an answer of the platform is known to have been current.
    pub fn answer_time(
        &self,
        asked_at: time::Instant,
        answered_at: time::Instant,
    ) -> time::Instant {
        self.pause.answer_time(asked_at, answered_at)
    }

    /// Handles a heartbeat: merges what it announces, answers what it asks, and starts a fetch if
    /// the sender has newer registry data that this instance will not soon read from the platform
    /// itself. Ages in it count from when it was received.
    pub fn on_heartbeat(
        &mut self,
        now: time::Instant,
        received_at: time::Instant,
        from: SocketAddr,
        mut heartbeat: heartbeat::Heartbeat,
    ) {
        let delta = heartbeat.delta.take();
        let news = news::News::new(received_at, &mut heartbeat);
        let Some(heard) = self.peers.on_heartbeat(received_at, from, heartbeat) else {
            return;
        };
        let changes = heard.changes.into_iter().map(Event::Peer);
        self.outputs.extend(changes.map(Output::Log));
        let is_certain = !self.pause.is_recent(now);
        if news.leaving {
            self.duty.candidates.remove(now, from);
        } else if is_certain {
            let own = self.config.address;
            self.duty.learn(received_at, own, from, &news);
        }
        if news.has_progress {
            self.publish_due = now;
        }
        let is_neighbor = self.peers.is_in_own_zone(heard.key);
        if (heard.is_new && is_neighbor) || news.current_at.is_none() {
            self.reply(now, from, news.current_at.is_none());
        }
        self.answer(now, from, &news.suspects);
        self.on_questions(now, from, &news.checks_wanted);
        self.learn_checks(now, from, is_neighbor, &news.checks);
        let (own, theirs) = (self.registry.position(), news.position);
        let newer = theirs.as_of > own.as_of || theirs.version > own.version;
        let older = theirs.as_of < own.as_of || theirs.version < own.version;
        let reads_platform =
            self.watching && self.platform_answer_age(now) < self.timing.stale_after;
        // A platform that was restored may have lost the newer configuration, and does not tell what
        // changed since a revision of an earlier era.
        let is_needed = theirs.version > own.version || theirs.as_of.era > own.as_of.era;
        let is_wanted = newer && (is_needed || !reads_platform);
        if older && theirs.as_of > catalog::Revision::NONE {
            self.send_changes(now, theirs, vec![from]);
        }
        if is_wanted {
            match delta.filter(|delta| self.registry.continues(delta)) {
                Some(delta) => {
                    let current_at = news.current_at.filter(|_| is_certain);
                    let age = current_at.map_or(time::Duration::MAX, |at| now.since(at));
                    self.merge(now, &delta, age, Origin::Peer(from));
                }
                None if self.registry.age(now).is_some() || news.offers => self.fetch(now, from),
                None => {}
            }
        } else if let Some(current_at) = news.current_at.filter(|_| !newer && is_certain) {
            // The registry holds all that the peer's registry does, so it is current whenever the
            // peer's is.
            let change = self.registry.confirm(now, self.registry.as_of, current_at);
            self.log_registry_changes(change.into_iter().collect(), Origin::Peer(from));
            self.announce_confirmation(now, Origin::Peer(from));
        }
        self.confirm_late(now, from, &news);
        let mut changes = self.registry.apply_holds(now, &news.holds);
        changes.extend(self.registry.apply_evacuations(now, &news.evacuations));
        if !changes.is_empty() {
            self.log_registry_changes(changes, Origin::Peer(from));
            self.publish(now);
        }
    }

    /// Handles the result of a call to the platform or of a fetch from a peer: registry data that
    /// was current `age` ago.
    pub fn on_delta(
        &mut self,
        now: time::Instant,
        delta: &catalog::Delta,
        age: time::Duration,
        from: Origin,
    ) {
        if from == Origin::Platform {
            self.platform_answered_at = Some(now.before(age));
            self.set_platform_reachable(true);
        } else {
            self.fetch_started = None;
        }
        self.merge(now, delta, age, from);
    }

    /// Merges registry data that was current `age` ago, and announces what is new in it.
    fn merge(
        &mut self,
        now: time::Instant,
        delta: &catalog::Delta,
        age: time::Duration,
        from: Origin,
    ) {
        let before = self.registry.position();
        let generation = self.registry.generation;
        let changes = self.registry.apply(now, delta, now.before(age));
        let had_data = before.as_of > catalog::Revision::NONE;
        if had_data {
            self.log_registry_changes(changes, from);
        } else {
            self.log_first_data(changes, from);
        }
        if self.registry.generation != generation {
            self.publish(now);
        }
        if had_data && before != self.registry.position() {
            self.announce(now, before, from);
        } else {
            self.announce_confirmation(now, from);
        }
    }

    /// Handles a failed fetch from a peer: another may start.
    pub fn on_fetch_failed(&mut self) {
        self.fetch_started = None;
    }

    /// Handles a platform call without a usable answer. An instance that is not among the first in
    /// rank leaves the next calls to others.
    pub fn on_platform_failed(&mut self, now: time::Instant) {
        self.set_platform_reachable(false);
        let inputs = self.duty_inputs(now);
        self.duty.on_failed(now, &inputs, &mut self.random);
    }

    /// Handles the report of a traffic thread.
    pub fn on_report(&mut self, now: time::Instant, shard: usize, report: report::Report) {
        self.objectives.add_outcomes(now, &report);
        let Some(before) = self.reports.get_mut(shard) else {
            return;
        };
        let before = std::mem::replace(before, report);
        let report = &self.reports[shard];
        let appeared = report.newly_avoided(&before).map(Event::Avoided);
        let ended = before.newly_avoided(report);
        let ended = ended.map(|found| Event::Usable(found.target));
        self.outputs.extend(appeared.chain(ended).map(Output::Log));
        if before.suspect_zones != report.suspect_zones {
            let names = self.snapshot.zones.iter().zip(&report.suspect_zones);
            let suspect_zones = names.filter(|(_, suspect)| **suspect);
            let names = suspect_zones.map(|(name, _)| name.clone()).collect();
            self.outputs.push(Output::Log(Event::SuspectZones(names)));
        }
        self.ask_checkers(now);
    }

    /// All changes after a position, and the age of the registry data in milliseconds.
    pub fn delta_since(
        &self,
        now: time::Instant,
        since: catalog::Position,
    ) -> (catalog::Delta, u32) {
        let age = self.registry.age(now).unwrap_or(time::Duration::MAX);
        (self.registry.delta_since(now, since), time::millis(age))
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
        self.checks.tick(now);
        self.ask_checkers(now);
        self.decide_watch(now);
        self.sample_objectives(now);
        if self.registry.age(now).is_none() {
            self.request_data(now);
        }
        if now >= self.heartbeat_due {
            self.send_heartbeats(now);
            self.publish_due = now;
        }
        if now >= self.publish_due {
            self.publish(now);
        }
    }

    /// Logs the first registry data in one line rather than one for each target.
    fn log_first_data(&mut self, mut changes: Vec<registry::Change>, origin: Origin) {
        changes.retain(|change| !matches!(change, registry::Change::Target(_)));
        self.log_registry_changes(changes, origin);
        let targets = self.registry.targets.len();
        if targets > 0 {
            self.outputs
                .push(Output::Log(Event::Loaded(targets, origin)));
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
            let position = self.registry.position();
            self.outputs.push(Output::Fetch(from, position));
        }
    }

    fn decide_watch(&mut self, now: time::Instant) {
        let inputs = self.duty_inputs(now);
        let watching = self.duty.decide(now, &inputs, &mut self.random);
        if watching != self.watching {
            self.watching = watching;
            self.outputs.push(Output::Watch(watching));
            self.outputs.push(Output::Log(Event::Watching(watching)));
        }
    }

    fn duty_inputs(&self, now: time::Instant) -> duty::Inputs {
        duty::Inputs {
            address: self.config.address,
            age: self.registry.age(now),
            hears_others: self.peers.alive(now).next().is_some(),
            instances: self.peers.estimated_instances(),
            is_leaving: self.leaving,
            is_seed: self.peers.is_seed(),
            watching: self.watching,
        }
    }

    /// The slots of each service, apart by whether its targets take new flows or are in evacuated
    /// zones.
    pub fn capacities(&self) -> Vec<capacity::Capacity> {
        let name = |key| self.snapshot_builder.service_name(key);
        capacity::capacities(&self.snapshot, &self.registry, name)
    }

    /// Targets that take no new flows because of their cookies.
    pub fn conflicts(&self) -> &[cookies::Conflict] {
        &self.conflicts
    }

    /// The loads that this instance counts, by target.
    pub fn own_loads(&self) -> HashMap<key::Target, snapshot::Load> {
        summary::own_loads(&self.reports)
    }

    fn summary(&self, now: time::Instant) -> summary::Summary<'_> {
        summary::Summary {
            now,
            peers: &self.peers,
            registry: &self.registry,
            reports: &self.reports,
            snapshot: &self.snapshot,
        }
    }

    /// Builds a new snapshot and publishes it to the traffic threads.
    fn publish(&mut self, now: time::Instant) {
        self.publish_due = time::Instant::NEVER;
        let mut built = self
            .snapshot_builder
            .build(now, &self.registry, &self.peers);
        self.add_checks(now, &mut built);
        self.ledger.update(now, self.peers.members());
        if !self.leaving && self.ledger.is_settled(now) {
            let own_rank = hash::address_rank(self.config.address);
            built.cold_shares = self.ledger.shares(now, own_rank, &built);
        }
        self.snapshot = Arc::new(built);
        let conflicts = self.snapshot_builder.conflicts();
        let changes = cookies::changes(&self.conflicts, conflicts).into_iter();
        self.conflicts = conflicts.to_vec();
        let events = changes.map(|(conflict, begins)| Event::Cookie(conflict, begins));
        self.outputs.extend(events.map(Output::Log));
        self.outputs
            .push(Output::Publish(Arc::clone(&self.snapshot)));
    }

    /// Samples what no single event shows for the services' objectives.
    fn sample_objectives(&mut self, now: time::Instant) {
        if !self.objectives.is_sample_due(now) {
            return;
        }
        let version = self.registry.version();
        let newer = |peer: &peers::Peer| {
            let heard = peer.heartbeat.as_ref();
            heard.is_some_and(|heartbeat| heartbeat.position.version > version)
        };
        let is_behind = self.peers.alive(now).any(|(_, peer)| newer(peer));
        let own = self.own_loads();
        self.objectives.sample(now, is_behind, &own, &self.snapshot);
    }

    /// The burn report of this instance against the default objectives.
    pub fn burn_report(&self, now: time::Instant) -> burn::Report {
        let name = |key| self.snapshot_builder.service_name(key);
        let config = &self.config;
        self.objectives
            .report(now, &config.name, &config.zone, name)
    }
}
