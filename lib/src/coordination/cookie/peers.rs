//! The other instances that forward by cookie, discovered through a few seed addresses.
//!
//! Each heartbeat names some of the instances that its sender hears, so that all discover each
//! other. An instance sends to a random sample of its own zone and of the other zones, so that its
//! cost does not grow with the fleet. Each instance decides only by the heartbeats that it receives
//! itself whether a peer is alive.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::coordination::cookie::heartbeat;
use crate::coordination::hash;
use crate::state::{arena, key, random, snapshot, time};

/// Silence after which a peer no longer counts as alive; three heartbeats may be lost.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Silence after which a peer is dropped; above the longest network partition after which instances
/// should hear each other again at once.
const SILENT_RETENTION: time::Duration = time::Duration::from_secs(60);
/// Time for which a peer that announced its stop is kept.
const LEAVING_RETENTION: time::Duration = time::Duration::from_secs(5);
/// Peers of the own zone to which each heartbeat goes.
const OWN_ZONE_FANOUT: usize = 4;
/// Peers of other zones to which each heartbeat goes.
const OTHER_ZONE_FANOUT: usize = 6;
/// Peers named in a heartbeat.
const ADVERTISED_PEERS: usize = 6;

/// Another instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Source address of its heartbeats.
    pub address: SocketAddr,
    /// Its last heartbeat.
    pub heartbeat: heartbeat::Heartbeat,
    /// When its last heartbeat arrived.
    pub last_seen: time::Instant,
}

impl Peer {
    /// Whether a heartbeat arrived within the timeout and did not announce a stop.
    pub fn is_alive(&self, now: time::Instant) -> bool {
        !self.heartbeat.leaving && now.since(self.last_seen) < PEER_TIMEOUT
    }

    /// When the platform last answered it; none if it does not watch.
    pub fn platform_answered_at(&self) -> Option<time::Instant> {
        let age = self.heartbeat.contact_ms?;
        Some(instant_before(self.last_seen, age))
    }

    /// When its registry data was last current; none if it has none.
    pub fn current_at(&self) -> Option<time::Instant> {
        let age = self.heartbeat.age_ms?;
        Some(instant_before(self.last_seen, age))
    }
}

/// The instant `age_ms` milliseconds before another.
pub fn instant_before(now: time::Instant, age_ms: u32) -> time::Instant {
    time::Instant(now.0.saturating_sub(u64::from(age_ms) * 1_000))
}

/// A change in the state of a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A peer is heard for the first time, again after a silence, or as a new process.
    Appeared(key::Peer),
    /// A peer has been silent for too long.
    Silent(key::Peer),
    /// A peer announced its stop.
    Leaving(key::Peer),
}

/// The known peers of an instance.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The peers, alive or not.
    pub known: arena::Arena<key::Peer, Peer>,
    reported_alive: HashMap<key::Peer, bool>,
    by_address: HashMap<SocketAddr, key::Peer>,
    discovered: Vec<SocketAddr>,
    is_seed: bool,
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
}

impl Peers {
    /// No peers yet, for an instance at `own_address` that starts from `seeds`.
    pub fn new(own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            reported_alive: HashMap::new(),
            by_address: HashMap::new(),
            discovered: Vec::new(),
            is_seed: false,
            known: arena::Arena::default(),
            own_address,
            seeds: Vec::new(),
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

    /// Handles a heartbeat; returns its sender and the change, none if it is outdated or from this
    /// instance.
    pub fn on_heartbeat(
        &mut self,
        now: time::Instant,
        from: SocketAddr,
        heartbeat: heartbeat::Heartbeat,
    ) -> Option<(key::Peer, Option<Change>)> {
        if from == self.own_address {
            return None;
        }
        for address in &heartbeat.peers {
            if *address != self.own_address && !self.by_address.contains_key(address) {
                self.discovered.push(*address);
            }
        }
        let Some(key) = self.by_address.get(&from).copied() else {
            let key = self.known.insert(Peer {
                address: from,
                heartbeat,
                last_seen: now,
            });
            self.by_address.insert(from, key);
            self.reported_alive.insert(key, true);
            return Some((key, Some(Change::Appeared(key))));
        };
        let peer = self.known.get_mut(key)?;
        let same_process = peer.heartbeat.incarnation == heartbeat.incarnation;
        if same_process && heartbeat.sequence <= peer.heartbeat.sequence {
            return None;
        }
        let left = heartbeat.leaving && !peer.heartbeat.leaving;
        peer.heartbeat = heartbeat;
        peer.last_seen = now;
        let was_alive = self.reported_alive.insert(key, !peer.heartbeat.leaving) == Some(true);
        let change = if left {
            Some(Change::Leaving(key))
        } else if !same_process || (!was_alive && !peer.heartbeat.leaving) {
            Some(Change::Appeared(key))
        } else {
            None
        };
        Some((key, change))
    }

    /// Finds peers that fell silent and drops those past their retention; returns the changes.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut expired = Vec::new();
        for (key, peer) in self.known.iter() {
            let silence = now.since(peer.last_seen);
            if self.reported_alive.get(&key) == Some(&true) && !peer.is_alive(now) {
                changes.push(Change::Silent(key));
            }
            let limit = if peer.heartbeat.leaving {
                LEAVING_RETENTION
            } else {
                SILENT_RETENTION
            };
            if silence >= limit {
                expired.push((key, peer.address));
            }
        }
        for change in &changes {
            if let Change::Silent(key) = change {
                self.reported_alive.insert(*key, false);
            }
        }
        for (key, address) in expired {
            self.known.remove(key);
            self.reported_alive.remove(&key);
            self.by_address.remove(&address);
        }
        changes
    }

    /// Peers that are alive.
    pub fn alive(&self, now: time::Instant) -> impl Iterator<Item = (key::Peer, &Peer)> {
        self.known
            .iter()
            .filter(move |(_, peer)| peer.is_alive(now))
    }

    /// Addresses to which the next heartbeat goes.
    pub fn recipients(
        &mut self,
        zone: &CompactString,
        random: &mut random::Source,
    ) -> Vec<SocketAddr> {
        let mut own_zone = Vec::new();
        let mut other_zones = Vec::new();
        for (_, peer) in self.known.iter() {
            if peer.heartbeat.zone == *zone {
                own_zone.push(peer.address);
            } else {
                other_zones.push(peer.address);
            }
        }
        let mut chosen = sample(own_zone, OWN_ZONE_FANOUT, random);
        chosen.extend(sample(other_zones, OTHER_ZONE_FANOUT, random));
        let unknown = |address: &SocketAddr| !self.by_address.contains_key(address);
        let seeds = self.seeds.iter().copied().filter(|seed| unknown(seed));
        chosen.extend(seeds);
        chosen.append(&mut self.discovered);
        chosen.sort();
        chosen.dedup();
        chosen
    }

    /// A random sample of the peers that are alive, to be named in a heartbeat.
    pub fn advertised(&self, now: time::Instant, random: &mut random::Source) -> Vec<SocketAddr> {
        let alive = self.alive(now).map(|(_, peer)| peer.address).collect();
        sample(alive, ADVERTISED_PEERS, random)
    }

    /// Whether this instance is one of the seeds or has none.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// What the peers that are alive report on targets, by cookie: load and last progress.
    pub fn loads(&self, now: time::Instant) -> HashMap<u32, (snapshot::Load, time::Instant)> {
        let mut loads: HashMap<u32, (snapshot::Load, time::Instant)> = HashMap::new();
        for (_, peer) in self.alive(now) {
            for load in &peer.heartbeat.loads {
                let (count, progressed) = loads.entry(load.cookie).or_default();
                *count = *count
                    + snapshot::Load {
                        flows: u32::from(load.flows),
                        waiting: u32::from(load.waiting),
                    };
                if load.progress_ms < u16::MAX {
                    let at = instant_before(peer.last_seen, u32::from(load.progress_ms));
                    *progressed = at.max(*progressed);
                }
            }
        }
        loads
    }

    /// Score by which instances are ranked; the same on every instance.
    pub fn rank(address: SocketAddr) -> u64 {
        let ip = match address.ip() {
            std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
            std::net::IpAddr::V6(ip) => u128::from(ip) as u64,
        };
        hash::score(ip, u64::from(address.port()))
    }
}

/// A random sample without replacement.
fn sample(mut from: Vec<SocketAddr>, count: usize, random: &mut random::Source) -> Vec<SocketAddr> {
    let count = count.min(from.len());
    for index in 0..count {
        let other = index + random.below(from.len() - index);
        from.swap(index, other);
    }
    from.truncate(count);
    from
}
