//! The other instances that forward by cookie, discovered through a few seed addresses.
//!
//! An instance knows all instances of its own zone and some of each other zone. It reports loads to
//! a bounded number of neighbors in its zone, chosen by rendezvous hashing. The instances of a zone
//! together send a bounded number of heartbeats to each other zone, each to a random instance there,
//! and pass on what they hear from other zones to their neighbors. So neither the cost of an
//! instance nor the traffic between zones grows with the fleet.

mod checkers;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::coordination::cookie::{cold_budget, heartbeat, pace};
use crate::coordination::hash;
use crate::state::{arena, key, random, snapshot, time};

/// Silence after which a neighbor no longer counts as alive; three heartbeats may be lost.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(3_000);
/// Silence after which a zone counts as silent.
const ZONE_TIMEOUT: time::Duration = time::Duration::from_millis(5_000);
/// Age at which reported loads and progress no longer count.
const LOADS_TIMEOUT: time::Duration = time::Duration::from_millis(3_000);
/// Silence after which a peer is dropped; above the longest network partition after which instances
/// should hear each other again at once.
const SILENT_RETENTION: time::Duration = time::Duration::from_secs(60);
/// Age of the last news of a peer at which it no longer counts as a member of the zone.
const MEMBER_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Time for which a peer that announced its stop is kept.
const LEAVING_RETENTION: time::Duration = time::Duration::from_secs(5);
/// Instances of the own zone to which loads are reported.
const NEIGHBORS: usize = 12;
/// Neighbors to which each heartbeat goes, in turn.
const NEIGHBORS_PER_HEARTBEAT: usize = 3;
/// Instances that are kept of each other zone.
const CONTACTS_PER_ZONE: usize = 16;
/// Heartbeats that the instances of a zone together send to each other zone in one interval.
const HEARTBEATS_PER_ZONE: f64 = 2.0;
/// Instances of a zone up to which they report the loads of single targets to other zones too.
const SMALL_ZONE: usize = 3;
/// Instances of the receiver's zone named in a heartbeat.
const ADVERTISED_OWN_ZONE: usize = 4;
/// Instances of other zones named in a heartbeat.
const ADVERTISED_OTHER_ZONES: usize = 2;
/// Peers of the own zone to which a change of the registry is announced at once.
const ANNOUNCE_FANOUT: usize = 4;

/// Another instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Source address of its heartbeats.
    pub address: SocketAddr,
    /// Its last heartbeat without the lists in it; none if it was never heard.
    pub heartbeat: Option<heartbeat::Heartbeat>,
    /// When its last heartbeat arrived.
    pub last_seen: time::Instant,
    /// Name of its zone.
    pub zone: CompactString,
    /// The loads that it last reported.
    loads: Vec<heartbeat::Load>,
    loads_at: time::Instant,
    /// When this or another instance last heard it.
    reported_at: time::Instant,
    reported_alive: bool,
}

impl Peer {
    /// Whether a heartbeat arrived within the timeout and did not announce a stop.
    pub fn is_alive(&self, now: time::Instant) -> bool {
        let heard = self.heartbeat.as_ref();
        heard.is_some_and(|heartbeat| !heartbeat.leaving)
            && now.since(self.last_seen) < PEER_TIMEOUT
    }

    fn is_leaving(&self) -> bool {
        let heard = self.heartbeat.as_ref();
        heard.is_some_and(|heartbeat| heartbeat.leaving)
    }

    fn reports_loads(&self, now: time::Instant) -> bool {
        now.since(self.loads_at) < LOADS_TIMEOUT && !self.is_leaving()
    }
}

/// A change in the state of a peer of the own zone, or of another zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A peer is heard for the first time, again after a silence, or as a new process.
    Appeared(key::Peer),
    /// A peer has been silent for too long.
    Silent(key::Peer),
    /// A peer announced its stop.
    Leaving(key::Peer),
    /// A zone is heard for the first time or again after a silence.
    ZoneAppeared(CompactString),
    /// Nothing was heard from a zone for too long.
    ZoneSilent(CompactString),
}

/// What a heartbeat told.
#[derive(Clone, Debug)]
pub struct Heard {
    /// Changes of the sender and of zones.
    pub changes: Vec<Change>,
    /// Whether this is the first heartbeat of the sender's process.
    pub is_new: bool,
    /// The sender.
    pub key: key::Peer,
}

/// What is known of another zone.
#[derive(Clone, Debug, Default)]
struct Zone {
    means: Vec<heartbeat::Mean>,
    reported_alive: bool,
    /// When one of its instances sent what is known of it.
    seen: time::Instant,
}

/// Addresses of a heartbeat's receivers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Receivers {
    /// Instances of the own zone.
    pub own_zone: Vec<SocketAddr>,
    /// Other instances.
    pub others: Vec<SocketAddr>,
}

/// What peers report of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reported {
    /// Sum of their loads.
    pub load: snapshot::Load,
    /// Mean of the times that they measured.
    pub pace: pace::Mean,
}

/// What peers report of targets.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// Loads by cookie.
    pub by_cookie: HashMap<u32, Reported>,
    /// Mean loads by zone, of zones that report no loads of single targets.
    pub means: Vec<(CompactString, Vec<heartbeat::Mean>)>,
}

/// The known peers of an instance.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The peers, alive or not.
    pub known: arena::Arena<key::Peer, Peer>,
    by_address: HashMap<SocketAddr, key::Peer>,
    is_seed: bool,
    /// Neighbors in order of their rendezvous scores; none if they must be chosen again.
    neighbors: Option<Vec<SocketAddr>>,
    next_neighbor: usize,
    own_address: SocketAddr,
    own_zone: CompactString,
    /// When flows of targets last made progress at a peer, by cookie.
    progress: HashMap<u32, time::Instant>,
    seeds: Vec<SocketAddr>,
    zones: BTreeMap<CompactString, Zone>,
}

impl Peers {
    /// No peers yet, for an instance at `own_address` in `own_zone` that starts from `seeds`.
    pub fn new(own_address: SocketAddr, own_zone: &CompactString, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            by_address: HashMap::new(),
            is_seed: false,
            known: arena::Arena::default(),
            neighbors: None,
            next_neighbor: 0,
            own_address,
            own_zone: own_zone.clone(),
            progress: HashMap::new(),
            seeds: Vec::new(),
            zones: BTreeMap::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.is_seed = seeds.is_empty() || seeds.contains(&self.own_address);
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.own_address)
            .collect();
    }

    /// Handles a heartbeat; returns nothing if it is outdated or from this instance.
    pub fn on_heartbeat(
        &mut self,
        now: time::Instant,
        from: SocketAddr,
        mut heartbeat: heartbeat::Heartbeat,
    ) -> Option<Heard> {
        if from == self.own_address {
            return None;
        }
        let zone = CompactString::from(heartbeat.zone());
        let key = match self.by_address.get(&from) {
            Some(key) => *key,
            None => self.insert(now, from, zone),
        };
        let is_neighbor = self.is_in_own_zone(key);
        let peer = self.known.get_mut(key)?;
        let before = peer.heartbeat.as_ref();
        let same_process = before.is_some_and(|before| before.incarnation == heartbeat.incarnation);
        if same_process && before.is_some_and(|before| heartbeat.sequence <= before.sequence) {
            return None;
        }
        let change = match (peer.reported_alive, heartbeat.leaving) {
            (true, true) => Some(Change::Leaving(key)),
            (was_alive, false) if !was_alive || !same_process => Some(Change::Appeared(key)),
            _ => None,
        };
        let contacts = std::mem::take(&mut heartbeat.peers);
        let loads = heartbeat.loads.take();
        let progress = std::mem::take(&mut heartbeat.progress);
        let zones = std::mem::take(&mut heartbeat.zones);
        peer.last_seen = now;
        peer.reported_alive = !heartbeat.leaving;
        peer.reported_at = now;
        peer.heartbeat = Some(heartbeat);
        if let Some(loads) = &loads {
            peer.loads.clone_from(loads);
            peer.loads_at = now;
        }
        for load in loads.iter().flatten() {
            self.learn_progress(now, load.cookie, load.progress_ms);
        }
        for found in progress {
            self.learn_progress(now, found.cookie, found.progress_ms);
        }
        for contact in &contacts {
            if let Some(zone) = zones.get(usize::from(contact.zone)) {
                self.learn_contact(now, contact, &zone.name);
            }
        }
        let changes = zones
            .into_iter()
            .filter_map(|zone| self.learn_zone(now, zone))
            .chain(change.filter(|_| is_neighbor))
            .collect();
        Some(Heard {
            changes,
            is_new: !same_process,
            key,
        })
    }

    /// Finds peers and zones that fell silent and drops those past their retention; returns the
    /// changes.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut expired = Vec::new();
        let in_touch = self.is_in_touch_with_all();
        for (key, peer) in self.known.iter_mut() {
            // In a large zone, this instance hears only some of the others.
            let silent = if in_touch {
                peer.reported_alive && now.since(peer.last_seen) >= PEER_TIMEOUT
            } else {
                peer.reported_alive && now.since(peer.reported_at) >= MEMBER_TIMEOUT
            };
            if silent {
                peer.reported_alive = false;
                if peer.zone == self.own_zone {
                    changes.push(Change::Silent(key));
                }
            }
            let limit = if peer.is_leaving() {
                LEAVING_RETENTION
            } else {
                SILENT_RETENTION
            };
            if now.since(peer.reported_at) >= limit {
                expired.push(key);
            }
        }
        for key in expired {
            self.remove(key);
        }
        for (name, zone) in &mut self.zones {
            if zone.reported_alive && now.since(zone.seen) >= ZONE_TIMEOUT {
                zone.reported_alive = false;
                zone.means.clear();
                changes.push(Change::ZoneSilent(name.clone()));
            }
        }
        self.progress
            .retain(|_, progressed| now.since(*progressed) < LOADS_TIMEOUT);
        changes
    }

    /// Peers that are alive.
    pub fn alive(&self, now: time::Instant) -> impl Iterator<Item = (key::Peer, &Peer)> {
        self.known
            .iter()
            .filter(move |(_, peer)| peer.is_alive(now))
    }

    /// Number of known instances, this one included.
    pub fn instance_count(&self) -> usize {
        self.known.len() + 1
    }

    /// Number of instances by the peer that knows most.
    pub fn estimated_instances(&self) -> usize {
        let heard = self
            .known
            .iter()
            .filter_map(|(_, peer)| peer.heartbeat.as_ref());
        let most = heard
            .map(|heartbeat| usize::from(heartbeat.instances))
            .max();
        most.unwrap_or(0).max(self.instance_count())
    }

    /// Whether a peer is in this instance's zone.
    pub fn is_in_own_zone(&self, key: key::Peer) -> bool {
        let peer = self.known.get(key);
        peer.is_some_and(|peer| peer.zone == self.own_zone)
    }

    /// The other instances of this zone, as budgets of cold targets count them.
    pub fn members(&self) -> impl Iterator<Item = cold_budget::Member> {
        self.own_zone().map(|peer| cold_budget::Member {
            address_rank: hash::address_rank(peer.address),
            is_leaving: peer.is_leaving(),
            news_at: peer.reported_at,
        })
    }

    /// Whether the instances of this zone report the loads of single targets to other zones.
    pub fn is_small_zone(&self) -> bool {
        self.own_zone().count() < SMALL_ZONE
    }

    /// Receivers of the next periodic heartbeat.
    pub fn receivers(&mut self, now: time::Instant, random: &mut random::Source) -> Receivers {
        let neighbors = self.neighbors();
        let count = neighbors.len().min(NEIGHBORS_PER_HEARTBEAT);
        let first = self.next_neighbor;
        let own_zone = (0..count)
            .map(|step| neighbors[(first + step) % neighbors.len()])
            .collect();
        self.next_neighbor = first.wrapping_add(count);
        let instances = self.own_zone().count() + 1;
        let share = HEARTBEATS_PER_ZONE / instances as f64;
        let mut others = self.others(share, random);
        // One instance of a zone finds the rest of the fleet for all of them.
        let is_alone = self.alive(now).next().is_none();
        for seed in self.unheard_seeds() {
            if is_alone || random.unit() < share {
                others.push(seed);
            }
        }
        Receivers { own_zone, others }
    }

    /// Receivers of a change of the registry. Every zone gets it from the instance that read it
    /// from the platform, and passes it on by itself.
    pub fn announce_receivers(&self, to_all_zones: bool, random: &mut random::Source) -> Receivers {
        let own_zone = self.own_zone().map(|peer| peer.address).collect();
        let others = if to_all_zones {
            self.others(HEARTBEATS_PER_ZONE, random)
        } else {
            Vec::new()
        };
        Receivers {
            own_zone: random::sample(own_zone, ANNOUNCE_FANOUT, random),
            others,
        }
    }

    /// Whether periodic heartbeats go to every instance of the zone, so that all of them soon know
    /// how current the registry data is.
    pub fn are_all_neighbors(&self) -> bool {
        self.is_in_touch_with_all()
    }

    /// Receivers of a question about targets in other zones: all neighbors, and some instances of
    /// the zones of the targets.
    pub fn question_receivers(
        &mut self,
        zones: &[CompactString],
        random: &mut random::Source,
    ) -> Receivers {
        let own_zone = self.neighbors();
        let mut others = Vec::new();
        for zone in zones.iter().filter(|zone| **zone != self.own_zone) {
            let contacts = self.contacts(zone);
            others.extend(random::sample(
                contacts,
                HEARTBEATS_PER_ZONE as usize,
                random,
            ));
        }
        Receivers { own_zone, others }
    }

    /// Receivers of the request for registry data of an instance that has none.
    pub fn request_receivers(&self, random: &mut random::Source) -> Vec<SocketAddr> {
        let own_zone = self.own_zone().map(|peer| peer.address).collect();
        let mut receivers = random::sample(own_zone, NEIGHBORS_PER_HEARTBEAT, random);
        receivers.extend(self.seeds.iter().copied());
        receivers.sort();
        receivers.dedup();
        receivers
    }

    /// Some known instances for a heartbeat to the instances of a zone. `zones` are the names of
    /// the zones in the heartbeat.
    pub fn advertised(
        &self,
        now: time::Instant,
        to_zone: &str,
        zones: &[heartbeat::Zone],
        random: &mut random::Source,
    ) -> Vec<heartbeat::Contact> {
        let index = |name: &CompactString| zones.iter().position(|zone| zone.name == *name);
        let contact = |peer: &Peer| {
            Some(heartbeat::Contact {
                address: peer.address,
                silent_ms: time::millis(now.since(peer.reported_at)),
                zone: u8::try_from(index(&peer.zone)?).ok()?,
            })
        };
        let current = self
            .known
            .iter()
            .filter(|(_, peer)| !peer.is_leaving() && now.since(peer.reported_at) < MEMBER_TIMEOUT);
        let (own_zone, others): (Vec<&Peer>, Vec<&Peer>) = current
            .map(|(_, peer)| peer)
            .partition(|peer| peer.zone == to_zone);
        random::sample(own_zone, ADVERTISED_OWN_ZONE, random)
            .into_iter()
            .chain(random::sample(others, ADVERTISED_OTHER_ZONES, random))
            .filter_map(contact)
            .collect()
    }

    /// The other zones that are known, with the mean loads of their targets.
    pub fn zones(&self, now: time::Instant) -> Vec<heartbeat::Zone> {
        self.zones
            .iter()
            .map(|(name, zone)| heartbeat::Zone {
                means: zone.means.clone(),
                name: name.clone(),
                silent_ms: time::millis(now.since(zone.seen)),
            })
            .collect()
    }

    /// Whether this instance is one of the seeds or has none.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// When flows of a target last made progress at another instance.
    pub fn progress(&self, cookie: u32) -> Option<time::Instant> {
        self.progress.get(&cookie).copied()
    }

    /// What peers report of targets. If this instance hears only some of the instances of its zone,
    /// what they report stands for all of them.
    pub fn loads(&self, now: time::Instant) -> Loads {
        let mut loads = Loads::default();
        let members = self
            .own_zone()
            .filter(|peer| peer.is_alive(now) || now.since(peer.reported_at) < MEMBER_TIMEOUT);
        let members = members.count();
        let reporters = self.own_zone().filter(|peer| peer.reports_loads(now));
        let reporters = reporters.count();
        let share = if members <= NEIGHBORS {
            1.0
        } else {
            members as f64 / reporters.max(1) as f64
        };
        let scaled = |number: u16, share: f64| (f64::from(number) * share).round() as u32;
        for (_, peer) in self.known.iter() {
            if !peer.reports_loads(now) {
                continue;
            }
            let share = if peer.zone == self.own_zone {
                share
            } else {
                1.0
            };
            for load in &peer.loads {
                let reported = loads.by_cookie.entry(load.cookie).or_default();
                reported.load = reported.load
                    + snapshot::Load {
                        flows: scaled(load.flows, share),
                        held: scaled(load.held, share),
                        waiting: scaled(load.waiting, share),
                    };
                if load.measured > 0 {
                    reported.pace.add(snapshot::Measured {
                        response_us: u32::from(load.response_tenths) * 100,
                        weight: u32::from(load.measured),
                    });
                }
            }
        }
        for (name, zone) in &self.zones {
            let reports_targets = self
                .known
                .iter()
                .any(|(_, peer)| peer.zone == *name && peer.reports_loads(now));
            if *name == self.own_zone || reports_targets || now.since(zone.seen) >= LOADS_TIMEOUT {
                continue;
            }
            loads.means.push((name.clone(), zone.means.clone()));
        }
        loads
    }

    fn own_zone(&self) -> impl Iterator<Item = &Peer> {
        self.known
            .iter()
            .map(|(_, peer)| peer)
            .filter(|peer| peer.zone == self.own_zone)
    }

    /// Whether this instance hears every instance of its zone regularly.
    fn is_in_touch_with_all(&self) -> bool {
        self.own_zone().count() <= NEIGHBORS
    }

    fn contacts(&self, zone: &str) -> Vec<SocketAddr> {
        let peers = self.known.iter().filter(|(_, peer)| peer.zone == zone);
        peers.map(|(_, peer)| peer.address).collect()
    }

    /// Random instances of the other zones, `share` of each zone on average.
    fn others(&self, share: f64, random: &mut random::Source) -> Vec<SocketAddr> {
        let mut others = Vec::new();
        for zone in self.zones.keys().filter(|zone| **zone != self.own_zone) {
            let whole = share.floor();
            let count = whole as usize + usize::from(random.unit() < share - whole);
            if count > 0 {
                others.extend(random::sample(self.contacts(zone), count, random));
            }
        }
        others
    }

    fn unheard_seeds(&self) -> impl Iterator<Item = SocketAddr> {
        self.seeds.iter().copied().filter(|seed| {
            let peer = self
                .by_address
                .get(seed)
                .and_then(|key| self.known.get(*key));
            peer.is_none_or(|peer| peer.heartbeat.is_none())
        })
    }

    fn neighbors(&mut self) -> Vec<SocketAddr> {
        if let Some(neighbors) = &self.neighbors {
            return neighbors.clone();
        }
        let own = hash::address_rank(self.own_address);
        let mut scored: Vec<(u64, SocketAddr)> = self
            .own_zone()
            .map(|peer| {
                // The same score on both sides makes most neighbors mutual. With scores of one side,
                // a few instances of a large zone were neighbors of hardly any other.
                let other = hash::address_rank(peer.address);
                let score = hash::score(own.min(other), own.max(other));
                (score, peer.address)
            })
            .collect();
        scored.sort();
        scored.truncate(NEIGHBORS);
        let neighbors: Vec<SocketAddr> = scored.into_iter().map(|(_, address)| address).collect();
        self.neighbors = Some(neighbors.clone());
        neighbors
    }

    fn learn_progress(&mut self, now: time::Instant, cookie: u32, progress_ms: u16) {
        if progress_ms == u16::MAX {
            return;
        }
        let at = before(now, u32::from(progress_ms));
        let known = self.progress.entry(cookie).or_insert(at);
        *known = at.max(*known);
    }

    fn learn_zone(&mut self, now: time::Instant, zone: heartbeat::Zone) -> Option<Change> {
        if zone.name == self.own_zone {
            return None;
        }
        let seen = before(now, zone.silent_ms);
        let known = self.zones.entry(zone.name.clone()).or_default();
        if seen <= known.seen {
            return None;
        }
        known.seen = seen;
        known.means = zone.means;
        let appeared = !known.reported_alive && now.since(seen) < ZONE_TIMEOUT;
        known.reported_alive |= appeared;
        appeared.then_some(Change::ZoneAppeared(zone.name))
    }

    fn learn_contact(
        &mut self,
        now: time::Instant,
        contact: &heartbeat::Contact,
        zone: &CompactString,
    ) {
        if contact.address == self.own_address {
            return;
        }
        let seen = before(now, contact.silent_ms);
        match self.by_address.get(&contact.address) {
            Some(key) => {
                if let Some(peer) = self.known.get_mut(*key)
                    && !peer.is_leaving()
                {
                    peer.reported_at = peer.reported_at.max(seen);
                }
            }
            None if now.since(seen) < MEMBER_TIMEOUT => {
                let key = self.insert(now, contact.address, zone.clone());
                if let Some(peer) = self.known.get_mut(key) {
                    peer.reported_at = seen;
                }
            }
            None => {}
        }
    }

    /// Adds a peer. In another zone, the one that was not heard of for longest makes room.
    fn insert(
        &mut self,
        now: time::Instant,
        address: SocketAddr,
        zone: CompactString,
    ) -> key::Peer {
        if zone == self.own_zone {
            self.neighbors = None;
        } else {
            let same_zone = || self.known.iter().filter(|(_, peer)| peer.zone == zone);
            let oldest = same_zone().min_by_key(|(_, peer)| peer.reported_at);
            let oldest = oldest.map(|(key, _)| key);
            if same_zone().count() >= CONTACTS_PER_ZONE
                && let Some(oldest) = oldest
            {
                self.remove(oldest);
            }
            self.zones.entry(zone.clone()).or_default();
        }
        let key = self.known.insert(Peer {
            address,
            heartbeat: None,
            last_seen: time::Instant::default(),
            loads: Vec::new(),
            loads_at: time::Instant::default(),
            reported_alive: false,
            reported_at: now,
            zone,
        });
        self.by_address.insert(address, key);
        key
    }

    fn remove(&mut self, key: key::Peer) {
        if let Some(peer) = self.known.remove(key) {
            self.by_address.remove(&peer.address);
            if peer.zone == self.own_zone {
                self.neighbors = None;
            }
        }
    }
}

/// The instant `age_ms` milliseconds before another.
fn before(now: time::Instant, age_ms: u32) -> time::Instant {
    now.before(time::Duration::from_millis(u64::from(age_ms)))
}
