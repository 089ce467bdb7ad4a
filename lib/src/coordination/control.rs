//! The control decisions of one instance, from heartbeats, sheets, probes and shard reports to the
//! view that the shards steer by.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::coordination::{flexible_share, health, inventory, load, membership, message, replica};
use crate::state::{fleet, key, random, time, view};

/// Time between target reports where nothing else is asked.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// First wait before a sheet is fetched again.
pub(crate) const FETCH_BACKOFF_MIN: time::Duration = time::Duration::from_millis(200);

/// What is fixed for the life of a process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Bytes a second that replicas may take.
    pub replication_budget: u64,
    /// Health thresholds.
    pub health: health::Config,
    /// New flows a second for each target above which a service's share shrinks, since loads are
    /// about a second old and owners that place more flows by them herd.
    pub herding_rate: f64,
    /// Number of this process.
    pub incarnation: u32,
    /// Membership times.
    pub membership: membership::Config,
    /// Peers and where their control sockets are.
    pub peers: BTreeMap<key::Instance, SocketAddr>,
    /// Time between target reports.
    pub report_interval: time::Duration,
    /// This instance.
    pub self_key: key::Instance,
    /// Traffic shards of this instance.
    pub shards: u16,
    /// Port of the first traffic shard.
    pub traffic_port: u16,
    /// Name of this instance's zone.
    pub zone: compact_str::CompactString,
}

/// A change of state worth a line in the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A peer is alive.
    PeerAlive(key::Instance),
    /// A peer is dead.
    PeerDead(key::Instance),
    /// This instance was paused and joins anew.
    Rejoined,
    /// This instance changed its stage.
    Phase(message::Phase),
    /// A sheet is in force.
    Sheet(u64),
    /// A target changed its fitness.
    Target(key::Target, view::Fitness),
}

/// What is to be done outside.
#[derive(Clone, Debug)]
pub enum Output {
    /// Fetch the sheet from a peer.
    Fetch(key::Instance),
    /// Make the shards forget what an instance had acknowledged.
    ClearAcks(key::Instance),
    /// Send a heartbeat.
    Heartbeat(key::Instance, message::Heartbeat),
    /// Write a line to the log.
    Log(Event),
    /// Probe these targets from now on.
    Probe(Vec<(key::Target, SocketAddr)>),
    /// Give this view to the shards.
    Publish(Arc<view::View>),
    /// Watch the platform, or stop watching.
    Watch(bool),
}

/// When a sheet may be fetched again.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub(crate) not_before: time::Instant,
    pub(crate) backoff: time::Duration,
}

/// The control state of one instance.
#[derive(Debug)]
pub struct Control {
    /// What is fixed for the life of the process.
    pub config: Config,
    /// Evidence on targets.
    pub health: health::Health,
    /// Services and targets.
    pub inventory: inventory::Inventory,
    /// Leases, shared with the shards.
    pub lease: view::Lease,
    /// Instances.
    pub membership: membership::Membership,
    /// The sheet in force.
    pub sheet: Option<Arc<fleet::Sheet>>,
    pub(crate) advance_due: bool,
    pub(crate) announce_due: bool,
    pub(crate) applied_topology: u64,
    pub(crate) censuses: Vec<replica::Census>,
    pub(crate) shard_counts: Vec<HashMap<key::Target, load::Count>>,
    pub(crate) deviating: HashMap<(key::Service, key::Bucket), u32>,
    pub(crate) fetch: Fetch,
    pub(crate) generation: u64,
    pub(crate) heartbeat_due: time::Instant,
    pub(crate) heartbeat_sent: time::Instant,
    pub(crate) replicas_synced_topology: Option<u64>,
    pub(crate) minority: bool,
    pub(crate) outputs: Vec<Output>,
    pub(crate) owners_synced_topology: Option<u64>,
    pub(crate) peer_flows: BTreeMap<key::Instance, HashMap<key::Target, i32>>,
    pub(crate) unreported_attempts: HashMap<key::Target, health::Attempts>,
    pub(crate) probe_targets: Vec<(key::Target, SocketAddr)>,
    pub(crate) publish_due: bool,
    pub(crate) agreed_mask: u32,
    pub(crate) random: random::Source,
    pub(crate) owner_mask: u32,
    pub(crate) report_due: time::Instant,
    pub(crate) replica_bytes: u64,
    pub(crate) sample_due: time::Instant,
    pub(crate) share_due: time::Instant,
    pub(crate) new_flows: HashMap<key::Target, u32>,
    pub(crate) last_tick: time::Instant,
    pub(crate) topology: u64,
    pub(crate) owners_changed_topology: u64,
    pub(crate) version: u32,
    pub(crate) watching: bool,
}

impl Control {
    /// An instance that begins to join at `now`.
    pub fn new(config: Config, random: random::Source, now: time::Instant) -> Self {
        let membership = membership::Membership::new(
            config.membership,
            config.self_key,
            inventory::stable_id(&config.zone).0,
            config.incarnation,
            config.peers.keys().copied(),
            now,
        );
        let shards = usize::from(config.shards);
        // Until all have agreed once, the settings say how many instances there are.
        let agreed_mask = config
            .peers
            .keys()
            .fold(view::instance_bit(config.self_key), |mask, peer| {
                mask | view::instance_bit(*peer)
            });
        Self {
            health: health::Health::new(config.health),
            inventory: inventory::Inventory::default(),
            lease: view::Lease::default(),
            membership,
            sheet: None,
            advance_due: true,
            announce_due: true,
            applied_topology: 0,
            censuses: vec![replica::Census::default(); shards],
            shard_counts: vec![HashMap::new(); shards],
            deviating: HashMap::new(),
            fetch: Fetch {
                not_before: now,
                backoff: FETCH_BACKOFF_MIN,
            },
            generation: 0,
            heartbeat_due: now,
            heartbeat_sent: time::Instant(0),
            replicas_synced_topology: None,
            minority: true,
            outputs: Vec::new(),
            owners_synced_topology: None,
            peer_flows: BTreeMap::new(),
            unreported_attempts: HashMap::new(),
            probe_targets: Vec::new(),
            publish_due: true,
            agreed_mask,
            random,
            owner_mask: 0,
            report_due: now,
            replica_bytes: 0,
            sample_due: now,
            share_due: now + flexible_share::ADJUST_INTERVAL,
            new_flows: HashMap::new(),
            last_tick: now,
            topology: 1,
            owners_changed_topology: 0,
            version: 1,
            watching: false,
            config,
        }
    }

    /// What is to be done since the last call.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// Revision of the sheet in force, zero if there is none.
    pub fn revision(&self) -> u64 {
        self.sheet.as_ref().map_or(0, |sheet| sheet.revision)
    }

    /// Whether the instance can serve.
    pub fn is_ready(&self) -> bool {
        self.sheet.is_some()
            && matches!(
                self.membership.phase,
                message::Phase::Serving | message::Phase::Leaving
            )
    }

    /// Whether this instance may decide alone for its buckets.
    pub fn is_settled(&self) -> bool {
        let own = view::instance_bit(self.config.self_key);
        matches!(
            self.membership.phase,
            message::Phase::Serving | message::Phase::Leaving
        ) && self.membership.is_settled()
            && self.membership.owner_mask() & own != 0
            && self.owners_synced()
    }

    /// Whether every entry held here is known to its owner, for the present owners.
    pub(crate) fn owners_synced(&self) -> bool {
        self.owner_mask == self.membership.owner_mask()
            && self
                .owners_synced_topology
                .is_some_and(|topology| topology >= self.owners_changed_topology)
    }

    /// Whether every replica is in place, for the present and the next owners.
    pub(crate) fn replicas_synced(&self) -> bool {
        self.replicas_synced_topology
            .is_some_and(|topology| topology >= self.topology)
    }

    /// Takes a heartbeat of a peer.
    pub fn on_heartbeat(
        &mut self,
        now: time::Instant,
        from: key::Instance,
        heartbeat: &message::Heartbeat,
    ) {
        self.tick_membership(now);
        let had_details = heartbeat.details.is_some();
        let version_before = self.acknowledged_version(from);
        if let Some(change) = self.membership.on_heartbeat(now, from, heartbeat) {
            self.on_membership_change(change);
        }
        if had_details || version_before != self.acknowledged_version(from) {
            self.advance_due = true;
        }
        if had_details {
            // The sender waits for the answer before it moves flows.
            self.heartbeat_due = time::Instant(0);
            self.publish_due = true;
        }
        self.apply_reports(now, from, &heartbeat.reports);
        self.update_leases();
        self.advance_if_due(now);
    }

    fn apply_reports(
        &mut self,
        now: time::Instant,
        from: key::Instance,
        reports: &[message::Report],
    ) {
        for report in reports {
            let Some(target) = self.inventory.targets_by_id.get(&report.target).copied() else {
                continue;
            };
            self.peer_flows
                .entry(from)
                .or_default()
                .insert(target, report.flows);
            if let Some(probe) = report.probe {
                self.health.record_peer_probe(now, from, target, probe);
            }
            let attempts = health::Attempts {
                initial: report.starts,
                retransmitted: report.repeats,
            };
            *self.new_flows.entry(target).or_default() += u32::from(attempts.initial);
            self.health.record_attempts(now, target, attempts);
            self.publish_due = true;
        }
    }

    /// Version of our details that a peer has applied.
    fn acknowledged_version(&self, peer: key::Instance) -> u32 {
        self.membership
            .peers
            .get(&peer)
            .map_or(0, |peer| peer.acknowledged_version)
    }

    fn advance_if_due(&mut self, now: time::Instant) {
        if self.advance_due || self.applied_topology != self.topology {
            self.advance(now);
        }
    }

    fn on_membership_change(&mut self, change: membership::Change) {
        match change {
            membership::Change::Restarted(peer) => {
                for (_, service) in self.inventory.services.iter_mut() {
                    let idle = service.spec.idle_timeout;
                    service.buckets.remove_holder(peer, self.last_tick, idle);
                }
                self.peer_flows.remove(&peer);
                self.on_membership_change(membership::Change::Alive(peer));
            }
            membership::Change::Alive(peer) => {
                self.outputs.push(Output::ClearAcks(peer));
                self.outputs.push(Output::Log(Event::PeerAlive(peer)));
                self.heartbeat_due = time::Instant(0);
            }
            membership::Change::Dead(peer) => {
                self.peer_flows.remove(&peer);
                self.outputs.push(Output::Log(Event::PeerDead(peer)));
            }
            membership::Change::Updated(_) => self.heartbeat_due = time::Instant(0),
            membership::Change::Rejoined => {
                self.peer_flows.clear();
                self.version += 1;
                self.outputs.push(Output::Log(Event::Rejoined));
            }
        }
        self.topology += 1;
    }

    /// Takes an accepted sheet. A revision that is not above the one in force changes nothing.
    pub fn on_sheet(&mut self, now: time::Instant, sheet: Arc<fleet::Sheet>) -> bool {
        if sheet.revision <= self.revision() {
            return false;
        }
        self.tick_membership(now);
        self.inventory.apply(now, &sheet, self.version + 1);
        if !self.minority {
            for (_, service) in self.inventory.services.iter_mut() {
                service.buckets.end_minority();
            }
        }
        self.outputs.push(Output::Log(Event::Sheet(sheet.revision)));
        self.sheet = Some(sheet);
        self.fetch.backoff = FETCH_BACKOFF_MIN;
        self.topology += 1;
        self.announce_due = true;
        self.heartbeat_due = time::Instant(0);
        self.advance(now);
        true
    }

    /// Takes the result of an own probe; the next tick judges by it.
    pub fn on_probe(&mut self, target: key::Target, probe: message::Probe) {
        self.health.record_probe(target, probe);
    }

    /// Takes the counts of a shard.
    pub fn on_counts(&mut self, now: time::Instant, shard: usize, counts: &[load::Count]) {
        for count in counts {
            let attempts = health::Attempts {
                initial: count.attempts,
                retransmitted: count.retransmissions,
            };
            *self.new_flows.entry(count.target).or_default() += u32::from(attempts.initial);
            self.health.record_attempts(now, count.target, attempts);
            self.unreported_attempts
                .entry(count.target)
                .or_default()
                .add(attempts);
            if let Some(kept) = self.shard_counts.get_mut(shard) {
                kept.insert(count.target, *count);
            }
        }
    }

    /// Takes the bytes of replica messages that a shard has sent.
    pub fn on_replica_bytes(&mut self, bytes: u64) {
        self.replica_bytes += bytes;
    }

    /// Takes what a shard's pass over its entries found.
    pub fn on_census(&mut self, shard: usize, census: replica::Census) {
        if let Some(kept) = self.censuses.get_mut(shard) {
            *kept = census;
        }
        let least = |topology: fn(&replica::Census) -> Option<u64>| {
            self.censuses.iter().map(topology).min().flatten()
        };
        let owners = least(|census| census.owners_topology);
        let replicas = least(|census| census.synced_topology);
        let was = (self.owners_synced(), self.replicas_synced());
        self.owners_synced_topology = self.owners_synced_topology.max(owners);
        self.replicas_synced_topology = self.replicas_synced_topology.max(replicas);
        if was != (self.owners_synced(), self.replicas_synced()) {
            self.heartbeat_due = time::Instant(0);
        }
        self.deviating.clear();
        for census in &self.censuses {
            for (bucket, count) in &census.deviating {
                *self.deviating.entry(*bucket).or_default() += count;
            }
        }
        self.update_leases();
    }

    /// Begins a planned stop.
    pub fn leave(&mut self, now: time::Instant) {
        if matches!(
            self.membership.phase,
            message::Phase::Joining | message::Phase::Serving
        ) {
            let owned_nothing = self.membership.phase == message::Phase::Joining;
            let phase = if owned_nothing {
                message::Phase::Left
            } else {
                message::Phase::Leaving
            };
            self.enter_phase(phase);
            self.advance(now);
        }
    }

    /// Whether a planned stop has handed everything over and all peers know it.
    pub fn has_left(&self) -> bool {
        self.membership.has_left()
    }

    fn enter_phase(&mut self, phase: message::Phase) {
        self.membership.phase = phase;
        self.topology += 1;
        self.heartbeat_due = time::Instant(0);
        self.outputs.push(Output::Log(Event::Phase(phase)));
    }

    /// Notes the passing of time.
    pub fn tick(&mut self, now: time::Instant) {
        self.tick_membership(now);
        self.update_phase(now);
        self.adjust_shares(now);
        self.evaluate_targets(now);
        self.sample_objectives(now);
        self.update_leases();
        self.advance(now);
        self.request_sheet(now);
        self.send_heartbeats(now);
    }

    /// Notes deaths, and a pause of this instance before it acts on anything that waited meanwhile.
    fn tick_membership(&mut self, now: time::Instant) {
        self.last_tick = now;
        for change in self.membership.tick(now) {
            self.on_membership_change(change);
        }
    }

    fn update_phase(&mut self, now: time::Instant) {
        if self.membership.phase == message::Phase::Joining {
            self.import_retired_targets();
        }
        if self.sheet.is_some() && self.membership.may_serve(now, self.revision()) {
            self.import_bucket_history(now);
            self.enter_phase(message::Phase::Serving);
        } else if self.membership.may_leave(self.replicas_synced()) {
            self.enter_phase(message::Phase::Left);
        }
    }

    /// Lets each service's flexible share follow what its replicas cost.
    fn adjust_shares(&mut self, now: time::Instant) {
        if now < self.share_due {
            return;
        }
        self.share_due = now + flexible_share::ADJUST_INTERVAL;
        let rate =
            std::mem::take(&mut self.replica_bytes) / flexible_share::ADJUST_INTERVAL.as_secs();
        for (_, service) in self.inventory.services.iter_mut() {
            let targets = service.targets.iter();
            let starts = targets.filter_map(|target| self.new_flows.remove(target));
            let need = flexible_share::Input {
                budget: self.config.replication_budget,
                herding_rate: self.config.herding_rate,
                max_share: service.spec.flexible_share,
                rate,
                new_flows: starts.sum(),
                targets: service.targets.len(),
            };
            service.flexible_share = flexible_share::adjust(service.flexible_share, need);
        }
    }

    fn update_leases(&mut self) {
        for (key, peer) in &self.membership.peers {
            self.lease.set_peer(*key, peer.lease_expires_at);
        }
        let placement = if self.is_settled() {
            self.membership.placement_lease()
        } else {
            time::Instant(0)
        };
        self.lease.set_placement(placement);
    }

    fn evaluate_targets(&mut self, now: time::Instant) {
        let services: Vec<Vec<key::Target>> = self
            .inventory
            .services
            .iter()
            .map(|(_, service)| service.targets.clone())
            .collect();
        for targets in services {
            let statuses = self.health.evaluate(now, &targets);
            for (key, status) in targets.into_iter().zip(statuses) {
                let Some(target) = self.inventory.targets.get_mut(key) else {
                    continue;
                };
                if target.health.fitness != status.fitness {
                    self.outputs
                        .push(Output::Log(Event::Target(key, status.fitness)));
                }
                if target.health != status {
                    target.health = status;
                    self.publish_due = true;
                }
            }
        }
    }
}
