//! The control decisions of an instance that forwards by cookie.
//!
//! A few instances watch the publisher for all; the others learn from their heartbeats that there
//! is something newer and fetch it. No instance appoints another: one watches while it hears of too
//! few watchers that rank before it, and whenever its own facts have grown old.

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use compact_str::CompactString;

use crate::coordination::cookie::{beat, catalog as beliefs, forward, peers};
use crate::state::{catalog, key, random, snapshot, time};

/// Time between heartbeats.
const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Instances that watch the publisher while all hear each other.
const WATCHERS: usize = 2;
/// Age of facts at which an instance reads the publisher itself; above the usual gap between two
/// answers of a watch and the heartbeat that tells of them.
const STALE_AFTER: time::Duration = time::Duration::from_millis(2_300);
/// Further wait for each instance that ranks before this one, so that not all read at once.
const STAGGER: time::Duration = time::Duration::from_millis(120);
/// Largest number of such waits.
const STAGGER_LIMIT: usize = 6;
/// Time after its start for which an instance that is no seed waits for the facts of a peer.
const PEER_HEAD_START: time::Duration = time::Duration::from_millis(60);
/// Age up to which facts are good enough to refuse a flow by them; the bound in which a change must
/// be in force is three seconds.
const FRESH_FOR: time::Duration = time::Duration::from_millis(2_500);
/// Time for which a registration must have been gone before its target counts as ended; a living
/// target registers again within about two seconds.
const ENDED_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// Time after which this instance has seen every configuration under which a living flow can have been
/// opened; the longest life of a flow, 60 s, and a margin.
const HISTORY: time::Duration = time::Duration::from_secs(65);
/// Time for which a service of which nothing is registered any more keeps its former targets; a living
/// one registers again within about two seconds, and three are the bound for new flows.
const VANISHED_FOR: time::Duration = time::Duration::from_millis(2_300);
/// Longest wait for a fetch from a peer before another may begin.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// What does not change while the process runs.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address of heartbeats.
    pub address: SocketAddr,
    /// Number of the process, drawn at random.
    pub incarnation: u64,
    /// Name of the instance.
    pub name: CompactString,
    /// Zone of the instance.
    pub zone: CompactString,
}

/// Where facts came from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Another instance.
    Peer(SocketAddr),
    /// The publisher.
    Publisher,
}

/// A change of a belief or a dependency, for the log.
#[derive(Clone, Debug)]
pub enum Event {
    /// Facts changed.
    Facts(beliefs::Change, Origin),
    /// A peer changed.
    Peer(peers::Change),
    /// The publisher answers again, or no longer.
    Publisher(bool),
    /// Traffic shows other zones to be suspect than before.
    Suspects(Vec<CompactString>),
    /// Traffic shows that a target does not answer, or that it may be used again.
    Target(key::Target, bool),
    /// This instance begins or ends to watch the publisher.
    Watching(bool),
}

/// What the control thread is to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a heartbeat.
    Beat(Vec<SocketAddr>, beat::Beat),
    /// Fetch what changed after a revision from a peer.
    Fetch(SocketAddr, u64),
    /// Write a line.
    Log(Event),
    /// Put a picture in force.
    Publish(Arc<snapshot::Snapshot>),
    /// Watch the publisher after a revision, or stop watching.
    Watch(bool),
}

/// Control state of one instance.
pub struct Core {
    /// What this instance believes.
    pub beliefs: beliefs::Catalog,
    /// What does not change.
    pub config: Config,
    /// The other instances.
    pub peers: peers::Peers,
    /// The last report of each traffic thread.
    pub reports: Vec<forward::Report>,
    /// The picture in force.
    pub snapshot: Arc<snapshot::Snapshot>,
    /// Whether this instance watches the publisher.
    pub watching: bool,
    contacted: Option<time::Instant>,
    fetching: Option<time::Instant>,
    generation: u64,
    known: HashMap<SocketAddrV4, Vec<key::Service>>,
    leaving: bool,
    next_beat: time::Instant,
    outputs: Vec<Output>,
    random: random::Source,
    reachable: Option<bool>,
    seeds: Vec<SocketAddr>,
    sequence: u64,
    services: Vec<CompactString>,
    started: time::Instant,
    zones: Vec<CompactString>,
}

impl Core {
    /// An instance that starts at `now` from seeds.
    pub fn new(
        config: Config,
        seeds: Vec<SocketAddr>,
        shards: usize,
        random: random::Source,
        now: time::Instant,
    ) -> Self {
        Self {
            beliefs: beliefs::Catalog::default(),
            contacted: None,
            fetching: None,
            generation: 0,
            known: HashMap::new(),
            leaving: false,
            next_beat: now,
            outputs: Vec::new(),
            peers: peers::Peers::new(config.address, &seeds),
            random,
            reachable: None,
            reports: vec![forward::Report::default(); shards],
            seeds,
            sequence: 0,
            services: Vec::new(),
            snapshot: Arc::new(snapshot::Snapshot::default()),
            started: now,
            watching: false,
            zones: vec![config.zone.clone()],
            config,
        }
    }

    /// Outputs since the last call, in order.
    pub fn outputs(&mut self) -> impl Iterator<Item = Output> {
        std::mem::take(&mut self.outputs).into_iter()
    }

    /// Whether this instance can serve and is not about to stop.
    pub fn is_ready(&self) -> bool {
        self.beliefs.is_complete() && !self.leaving
    }

    /// Whether the publisher answered last; none if it was never asked.
    pub fn is_publisher_reachable(&self) -> Option<bool> {
        self.reachable
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.peers.set_seeds(&seeds);
        self.seeds = seeds;
    }

    /// Announces the stop of this instance.
    pub fn leave(&mut self, now: time::Instant) {
        self.leaving = true;
        self.beat(now);
        self.decide_watch(now);
    }

    /// Takes a heartbeat.
    pub fn on_beat(&mut self, now: time::Instant, from: SocketAddr, beat: beat::Beat) {
        let Some((key, change)) = self.peers.hear(now, from, beat) else {
            return;
        };
        if let Some(change) = change {
            self.outputs.push(Output::Log(Event::Peer(change)));
        }
        if matches!(change, Some(peers::Change::Appeared(_))) {
            self.send_beat(now, vec![from]);
        }
        let Some(peer) = self.peers.known.get(key) else {
            return;
        };
        let (as_of, version, current_at) = (peer.beat.as_of, peer.beat.version, peer.current_at());
        let newer = as_of > self.beliefs.as_of || version > self.beliefs.version();
        let served = self.watching && self.contact_age(now) < STALE_AFTER;
        if newer && !served {
            self.fetch(now, from);
        } else if let Some(current_at) = current_at.filter(|_| !newer) {
            // Own facts hold all that the peer's do, so they are current whenever the peer's are.
            let change = self.beliefs.confirm(now, self.beliefs.as_of, current_at);
            self.log_facts(change.into_iter().collect(), Origin::Peer(from));
        }
    }

    /// Takes facts that were current `age` ago.
    pub fn on_facts(
        &mut self,
        now: time::Instant,
        delta: &catalog::Delta,
        age: time::Duration,
        from: Origin,
    ) {
        let current_at = time::Instant(now.0.saturating_sub(age.as_micros() as u64));
        if from == Origin::Publisher {
            self.contacted = Some(current_at);
            self.set_reachable(true);
        } else {
            self.fetching = None;
        }
        let before = (self.beliefs.as_of, self.beliefs.version());
        let changes = self.beliefs.apply(now, delta, current_at);
        let changed = !changes.is_empty();
        self.log_facts(changes, from);
        if changed {
            self.publish(now);
        }
        if before != (self.beliefs.as_of, self.beliefs.version()) && changed {
            self.beat(now);
        }
    }

    /// Notes that a fetch from a peer failed.
    pub fn on_fetch_failed(&mut self) {
        self.fetching = None;
    }

    /// Notes that the publisher did not answer.
    pub fn on_publisher_failed(&mut self) {
        self.set_reachable(false);
    }

    /// Takes the report of a traffic thread.
    pub fn on_report(&mut self, shard: usize, report: forward::Report) {
        let Some(before) = self.reports.get_mut(shard) else {
            return;
        };
        let before = std::mem::replace(before, report);
        let report = &self.reports[shard];
        let appeared = report
            .avoided
            .iter()
            .filter(|key| !before.avoided.contains(key));
        let ended = before
            .avoided
            .iter()
            .filter(|key| !report.avoided.contains(key));
        let changes = appeared
            .map(|key| Event::Target(*key, false))
            .chain(ended.map(|key| Event::Target(*key, true)));
        self.outputs.extend(changes.map(Output::Log));
        if before.suspects != report.suspects {
            let names = self.zones.iter().zip(&report.suspects);
            let suspects = names.filter(|(_, suspect)| **suspect);
            let names = suspects.map(|(name, _)| name.clone()).collect();
            self.outputs.push(Output::Log(Event::Suspects(names)));
        }
    }

    /// Everything that changed after a revision, and its age in milliseconds.
    pub fn offer(&self, now: time::Instant, since: u64) -> (catalog::Delta, u32) {
        let age = self.beliefs.age(now).unwrap_or(time::Duration::MAX);
        (self.beliefs.since(since), millis(age))
    }

    /// Notes the passing of time.
    pub fn tick(&mut self, now: time::Instant) {
        let changes = self.beliefs.tick(now);
        self.log_facts(changes, Origin::Publisher);
        for change in self.peers.tick(now) {
            self.outputs.push(Output::Log(Event::Peer(change)));
        }
        let overdue = self
            .fetching
            .is_some_and(|since| now.since(since) >= FETCH_TIMEOUT);
        if overdue {
            self.fetching = None;
        }
        self.decide_watch(now);
        if now >= self.next_beat {
            self.beat(now);
            self.publish(now);
        }
    }

    fn log_facts(&mut self, changes: Vec<beliefs::Change>, origin: Origin) {
        let events = changes
            .into_iter()
            .map(|change| Event::Facts(change, origin));
        self.outputs.extend(events.map(Output::Log));
    }

    fn set_reachable(&mut self, reachable: bool) {
        if self.reachable != Some(reachable) {
            self.reachable = Some(reachable);
            self.outputs.push(Output::Log(Event::Publisher(reachable)));
        }
    }

    fn contact_age(&self, now: time::Instant) -> time::Duration {
        self.contacted
            .map_or(time::Duration::MAX, |contacted| now.since(contacted))
    }

    fn fetch(&mut self, now: time::Instant, from: SocketAddr) {
        if self.fetching.is_none() {
            self.fetching = Some(now);
            self.outputs.push(Output::Fetch(from, self.beliefs.as_of));
        }
    }

    /// Decides whether this instance watches the publisher.
    fn decide_watch(&mut self, now: time::Instant) {
        let own = peers::Peers::rank(self.config.address);
        let mut before = 0;
        let mut watchers = 0;
        for (_, peer) in self.peers.alive(now) {
            if peers::Peers::rank(peer.address) < own {
                before += 1;
                let contact = peer.contact().map(|contact| now.since(contact));
                watchers += usize::from(contact.is_some_and(|age| age < STALE_AFTER));
            }
        }
        let patience = STALE_AFTER + STAGGER * before.min(STAGGER_LIMIT) as u32;
        let wanted = !self.leaving
            && match self.beliefs.age(now) {
                // Two others suffice, and a further one costs calls.
                Some(age) if age < patience => watchers < WATCHERS && before < WATCHERS,
                Some(_) => watchers < WATCHERS,
                None => {
                    let seed = self.peers.is_seed(&self.seeds);
                    seed || now.since(self.started) >= PEER_HEAD_START
                }
            };
        // An instance that began to watch goes on until two others do.
        let keeps = self.watching && !self.leaving && watchers < WATCHERS;
        let watching = wanted || keeps;
        if watching != self.watching {
            self.watching = watching;
            self.outputs.push(Output::Watch(watching));
            self.outputs.push(Output::Log(Event::Watching(watching)));
        }
    }

    fn beat(&mut self, now: time::Instant) {
        self.next_beat = now + BEAT_INTERVAL;
        let to = self.peers.recipients(&self.config.zone, &mut self.random);
        self.send_beat(now, to);
    }

    fn send_beat(&mut self, now: time::Instant, to: Vec<SocketAddr>) {
        if to.is_empty() {
            return;
        }
        self.sequence += 1;
        let beat = beat::Beat {
            age_ms: self.beliefs.age(now).map(millis),
            as_of: self.beliefs.as_of,
            contact_ms: self
                .contacted
                .filter(|_| self.watching)
                .map(|contacted| millis(now.since(contacted))),
            incarnation: self.config.incarnation,
            leaving: self.leaving,
            loads: self.loads(now),
            name: self.config.name.clone(),
            peers: self.peers.named(now, &mut self.random),
            sequence: self.sequence,
            version: self.beliefs.version(),
            zone: self.config.zone.clone(),
        };
        self.outputs.push(Output::Beat(to, beat));
    }

    fn loads(&self, now: time::Instant) -> Vec<beat::Load> {
        let mut loads: HashMap<key::Target, (snapshot::Count, time::Instant)> = HashMap::new();
        for load in self.reports.iter().flat_map(|report| &report.loads) {
            let (count, progressed) = loads.entry(load.target).or_default();
            *count = *count + load.count;
            *progressed = load.progressed.max(*progressed);
        }
        let narrow = |number: u32| number.min(u32::from(u16::MAX)) as u16;
        loads
            .into_iter()
            .filter_map(|(target, (count, progressed))| {
                let record = self.beliefs.targets.get(target)?;
                Some(beat::Load {
                    cookie: record.cookie.0,
                    flows: narrow(count.flows),
                    progress_ms: narrow(millis(now.since(progressed))),
                    waiting: narrow(count.waiting),
                })
            })
            .collect()
    }

    fn service(&mut self, name: &CompactString) -> key::Service {
        intern(&mut self.services, name).into()
    }

    fn zone(&mut self, name: &CompactString) -> key::Zone {
        intern(&mut self.zones, name).into()
    }

    /// Builds the picture by which traffic threads work.
    fn publish(&mut self, now: time::Instant) {
        let age = self.beliefs.age(now).unwrap_or(time::Duration::MAX);
        let fresh = age < FRESH_FOR;
        let routes = self.routes();
        let elsewhere = self.loads_elsewhere(now);
        let mut targets = vec![None; self.beliefs.targets.slot_count()];
        let mut cookies = HashMap::new();
        let mut by_service: Vec<Vec<key::Target>> = Vec::new();
        let records: Vec<(key::Target, beliefs::Record)> = self
            .beliefs
            .targets
            .iter()
            .map(|(key, record)| (key, record.clone()))
            .collect();
        for (key, record) in records {
            let service = self.service(&record.details.service);
            let zone = self.zone(&record.details.zone);
            let usage = self.usage(now, &record, fresh);
            // Of two targets with one cookie, only the one of the lower identity takes new flows.
            let shadowed = match cookies.get(&record.cookie) {
                Some((id, _)) => *id < record.id,
                None => false,
            };
            if !shadowed {
                cookies.insert(record.cookie, (record.id, key));
            }
            if usage == snapshot::Use::Place && !shadowed {
                if by_service.len() <= service.index() {
                    by_service.resize(service.index() + 1, Vec::new());
                }
                by_service[service.index()].push(key);
            }
            let (count, progressed) = elsewhere.get(&record.cookie.0).copied().unwrap_or_default();
            targets[key.index()] = Some(snapshot::Target {
                address: record.details.address,
                cold_until: record.cold_until,
                connections: self.connections(&record.details.service),
                cookie: record.cookie,
                elsewhere: count,
                id: record.id,
                progressed,
                service,
                slots: record.details.slots,
                usage,
                zone,
            });
        }
        self.keep_vanished(now, &targets, &mut by_service);
        self.generation += 1;
        let cookies = cookies.into_iter().map(|(cookie, (_, key))| (cookie, key));
        self.snapshot = Arc::new(snapshot::Snapshot {
            age,
            as_of: self.beliefs.as_of,
            cookies: Arc::new(cookies.collect()),
            fresh,
            generation: self.generation,
            routes,
            services: by_service,
            strict: now.since(self.started) >= HISTORY,
            targets,
            version: self.beliefs.version(),
            zone: Some(key::Zone(0)),
            zones: Arc::new(self.zones.clone()),
        });
        self.outputs
            .push(Output::Publish(Arc::clone(&self.snapshot)));
    }

    /// Keeps a service in use whose registrations have all just vanished: they more likely lapsed
    /// together than ended together.
    fn keep_vanished(
        &self,
        now: time::Instant,
        targets: &[Option<snapshot::Target>],
        by_service: &mut Vec<Vec<key::Target>>,
    ) {
        by_service.resize(by_service.len().max(self.services.len()), Vec::new());
        let vanished = self.beliefs.targets.iter().filter(|(_, record)| {
            let gone = record.missing_since.map(|since| now.since(since));
            record.presence == beliefs::Standing::Removed
                && record.details.duty == catalog::Duty::Active
                && gone.is_some_and(|gone| gone < VANISHED_FOR)
        });
        let mut kept = vec![Vec::new(); by_service.len()];
        for (key, _) in vanished {
            if let Some(target) = &targets[key.index()] {
                kept[target.service.index()].push(key);
            }
        }
        for (present, kept) in by_service.iter_mut().zip(kept) {
            if present.is_empty() {
                *present = kept;
            }
        }
    }

    fn usage(&self, now: time::Instant, record: &beliefs::Record, fresh: bool) -> snapshot::Use {
        let gone_for = record.missing_since.map(|since| now.since(since));
        match record.presence {
            beliefs::Standing::Present if record.details.duty == catalog::Duty::Draining => {
                snapshot::Use::Keep
            }
            beliefs::Standing::Present | beliefs::Standing::Lapsed => snapshot::Use::Place,
            beliefs::Standing::Removed
                if fresh
                    && self.beliefs.is_steady(now)
                    && gone_for.is_some_and(|gone| gone >= ENDED_AFTER) =>
            {
                snapshot::Use::Ended
            }
            beliefs::Standing::Removed | beliefs::Standing::Unreadable => snapshot::Use::Keep,
        }
    }

    fn connections(&self, service: &CompactString) -> u32 {
        let services = self
            .beliefs
            .config
            .iter()
            .flat_map(|config| &config.services);
        services
            .filter(|known| known.name == *service)
            .map(|known| known.connections)
            .next()
            .unwrap_or(u32::MAX)
    }

    /// What other instances know of targets, by cookie: flows and the last progress.
    fn loads_elsewhere(
        &self,
        now: time::Instant,
    ) -> HashMap<u32, (snapshot::Count, time::Instant)> {
        let mut loads: HashMap<u32, (snapshot::Count, time::Instant)> = HashMap::new();
        for (_, peer) in self.peers.alive(now) {
            for load in &peer.beat.loads {
                let (count, progressed) = loads.entry(load.cookie).or_default();
                *count = *count
                    + snapshot::Count {
                        flows: u32::from(load.flows),
                        waiting: u32::from(load.waiting),
                    };
                if load.progress_ms < u16::MAX {
                    let at = peers::before(peer.heard, u32::from(load.progress_ms));
                    *progressed = at.max(*progressed);
                }
            }
        }
        loads
    }

    /// Routes of the configuration in force; the ones in the picture if it did not change.
    fn routes(&mut self) -> Arc<HashMap<SocketAddrV4, snapshot::Route>> {
        let Some(config) = self.beliefs.config.take() else {
            return Arc::new(HashMap::new());
        };
        if config.version == self.snapshot.version {
            self.beliefs.config = Some(config);
            return Arc::clone(&self.snapshot.routes);
        }
        let mut routes = HashMap::new();
        for route in &config.routes {
            let branches: Vec<snapshot::Branch> = route
                .branches
                .iter()
                .map(|branch| snapshot::Branch {
                    service: self.service(&branch.service),
                    weight: branch.weight,
                })
                .collect();
            let known = self.known.entry(route.address).or_default();
            for branch in branches.iter().filter(|branch| branch.weight > 0) {
                if !known.contains(&branch.service) {
                    known.push(branch.service);
                }
            }
            let known = known.clone();
            let kind = route.kind;
            routes.insert(
                route.address,
                snapshot::Route {
                    branches,
                    kind,
                    known,
                },
            );
        }
        self.beliefs.config = Some(config);
        Arc::new(routes)
    }
}

/// The index of a name, added if it is new.
fn intern(names: &mut Vec<CompactString>, name: &CompactString) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or_else(|| {
            names.push(name.clone());
            names.len() - 1
        })
}

fn millis(duration: time::Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}
