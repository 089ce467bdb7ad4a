//! Control decisions of one instance: turns heartbeats, sheets, probe results and shard reports
//! into the view by which the shards steer packets.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::coordination::{flexible_share, health, inventory, load, membership, message, replica};
use crate::state::{fleet, key, random, time, view};

/// Default interval between target reports.
pub const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Initial backoff between fetches of a sheet.
pub(crate) const FETCH_BACKOFF_MIN: time::Duration = time::Duration::from_millis(200);

/// Settings that stay the same for the lifetime of the process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Bandwidth limit for replica messages, in bytes per second.
    pub replication_budget: u64,
    /// Thresholds of the health decisions.
    pub health: health::Config,
    /// Rate of new flows for each target above which a service's flexible share shrinks, in flows
    /// per second. Reported loads are about a second old, so at higher rates all owners choose the
    /// same targets.
    pub herding_rate: f64,
    /// Incarnation number of this process, higher than that of earlier processes.
    pub incarnation: u32,
    /// Intervals and timeouts of the membership protocol.
    pub membership: membership::Config,
    /// Control addresses of the peers.
    pub peers: BTreeMap<key::Instance, SocketAddr>,
    /// Interval between target reports.
    pub report_interval: time::Duration,
    /// This instance.
    pub self_key: key::Instance,
    /// Number of traffic shards of this instance.
    pub shards: u16,
    /// Port of the first traffic shard.
    pub traffic_port: u16,
    /// Name of this instance's zone.
    pub zone: compact_str::CompactString,
}

/// A state change to log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A peer is alive.
    PeerAlive(key::Instance),
    /// A peer is dead.
    PeerDead(key::Instance),
    /// This instance was paused for too long and rejoins.
    Rejoined,
    /// This instance entered a phase.
    Phase(message::Phase),
    /// The sheet of this revision is in force.
    Sheet(u64),
    /// A target changed its fitness.
    Target(key::Target, view::Fitness),
}

/// An action for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Fetch the sheet from a peer.
    Fetch(key::Instance),
    /// Discard the acknowledgements of an instance in all shards.
    ClearAcks(key::Instance),
    /// Send a heartbeat.
    Heartbeat(key::Instance, message::Heartbeat),
    /// Log an event.
    Log(Event),
    /// Replace the list of probed targets and their health endpoints.
    Probe(Vec<(key::Target, SocketAddr)>),
    /// Publish a view to the shards.
    Publish(Arc<view::View>),
    /// Start or stop watching the platform.
    Watch(bool),
}

/// Backoff state of sheet fetches.
#[derive(Clone, Debug)]
pub(crate) struct Fetch {
    pub(crate) not_before: time::Instant,
    pub(crate) backoff: time::Duration,
}

/// The control state of one instance.
#[derive(Debug)]
pub struct Control {
    /// Settings of the process.
    pub config: Config,
    /// Health evidence on targets.
    pub health: health::Health,
    /// Services and targets.
    pub inventory: inventory::Inventory,
    /// Leases, shared with the shards.
    pub lease: view::Lease,
    /// State of the instances.
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
    /// Number that rises with each change of the membership or the sheet.
    pub(crate) topology: u64,
    pub(crate) owners_changed_topology: u64,
    pub(crate) version: u32,
    pub(crate) watching: bool,
}

impl Control {
    /// Creates the state of an instance that starts joining at `now`.
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
        // Until the instances have agreed once, the settings determine the size of the fleet.
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

    /// Drains the actions queued since the last call.
    pub fn outputs(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// Revision of the sheet in force, zero if there is none.
    pub fn revision(&self) -> u64 {
        self.sheet.as_ref().map_or(0, |sheet| sheet.revision)
    }

    /// Whether this instance can serve traffic.
    pub fn is_ready(&self) -> bool {
        self.sheet.is_some()
            && matches!(
                self.membership.phase,
                message::Phase::Serving | message::Phase::Leaving
            )
    }

    /// Whether this instance may place flows of its buckets by itself: it serves, and all live
    /// peers agree on the owners and have handed over their entries.
    pub fn is_settled(&self) -> bool {
        let own = view::instance_bit(self.config.self_key);
        matches!(
            self.membership.phase,
            message::Phase::Serving | message::Phase::Leaving
        ) && self.membership.is_settled()
            && self.membership.owner_mask() & own != 0
            && self.owners_synced()
    }

    /// Whether the current owners have every entry that this instance holds.
    pub(crate) fn owners_synced(&self) -> bool {
        self.owner_mask == self.membership.owner_mask()
            && self
                .owners_synced_topology
                .is_some_and(|topology| topology >= self.owners_changed_topology)
    }

    /// Whether all replicas are in place, for the current and the prospective owners.
    pub(crate) fn replicas_synced(&self) -> bool {
        self.replicas_synced_topology
            .is_some_and(|topology| topology >= self.topology)
    }

    /// Handles a heartbeat from a peer.
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
            // The sender places no flow away from its fallback until all live peers have
            // acknowledged its details.
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

    /// Version of this instance's details that a peer has applied.
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

    /// Applies an accepted sheet. Ignores it and returns false unless its revision is above the one
    /// in force.
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

    /// Records the result of a probe by this instance; the next tick evaluates it.
    pub fn on_probe(&mut self, target: key::Target, probe: message::Probe) {
        self.health.record_probe(target, probe);
    }

    /// Records the flow counts of a shard.
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

    /// Adds the size of the replica messages that a shard has sent, in bytes.
    pub fn on_replica_bytes(&mut self, bytes: u64) {
        self.replica_bytes += bytes;
    }

    /// Records the census of a shard's flow entries.
    pub fn on_census(&mut self, shard: usize, census: replica::Census) {
        if let Some(kept) = self.censuses.get_mut(shard) {
            *kept = census;
        }
        let min_topology = |topology: fn(&replica::Census) -> Option<u64>| {
            self.censuses.iter().map(topology).min().flatten()
        };
        let owners = min_topology(|census| census.owners_topology);
        let replicas = min_topology(|census| census.synced_topology);
        let before = (self.owners_synced(), self.replicas_synced());
        self.owners_synced_topology = self.owners_synced_topology.max(owners);
        self.replicas_synced_topology = self.replicas_synced_topology.max(replicas);
        if before != (self.owners_synced(), self.replicas_synced()) {
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

    /// Starts a graceful shutdown.
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

    /// Whether a graceful shutdown has handed everything over and all live peers know it.
    pub fn has_left(&self) -> bool {
        self.membership.has_left()
    }

    fn enter_phase(&mut self, phase: message::Phase) {
        self.membership.phase = phase;
        self.topology += 1;
        self.heartbeat_due = time::Instant(0);
        self.outputs.push(Output::Log(Event::Phase(phase)));
    }

    /// Performs the periodic work that is due at `now`.
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

    /// Detects dead peers and a pause of this instance. Runs before input is handled, so that a
    /// pause is noticed before any input that was queued during it.
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

    /// Adjusts flexible shares to the bandwidth of replicas and the rate of new flows.
    fn adjust_shares(&mut self, now: time::Instant) {
        if now < self.share_due {
            return;
        }
        self.share_due = now + flexible_share::ADJUST_INTERVAL;
        let rate =
            std::mem::take(&mut self.replica_bytes) / flexible_share::ADJUST_INTERVAL.as_secs();
        for (_, service) in self.inventory.services.iter_mut() {
            let targets = service.targets.iter();
            let new_flows = targets.filter_map(|target| self.new_flows.remove(target));
            let input = flexible_share::Input {
                budget: self.config.replication_budget,
                herding_rate: self.config.herding_rate,
                max_share: service.spec.flexible_share,
                rate,
                new_flows: new_flows.sum(),
                targets: service.targets.len(),
            };
            service.flexible_share = flexible_share::adjust(service.flexible_share, input);
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
