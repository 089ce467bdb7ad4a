//! The other instances that forward by cookie, found through a few seed addresses.
//!
//! Heartbeats name some of the instances that their sender hears, so that all find each other. An
//! instance sends to its own zone and to a random sample of the others, so that its cost does not
//! grow with the fleet. Nobody decides for another: a silent peer only stops counting.

use std::collections::HashMap;
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::coordination::cookie::beat;
use crate::coordination::hash;
use crate::state::{arena, key, random, snapshot, time};

/// Silence after which a peer no longer counts as alive; three heartbeats may be lost.
const ALIVE_FOR: time::Duration = time::Duration::from_millis(1_000);
/// Silence after which a peer is forgotten; above the longest partition that should heal at once.
const FORGET_AFTER: time::Duration = time::Duration::from_secs(60);
/// Time for which a peer that announced its stop is remembered.
const LEAVING_FOR: time::Duration = time::Duration::from_secs(5);
/// Peers of the own zone that get each heartbeat.
const NEAR_FANOUT: usize = 4;
/// Other peers that get each heartbeat.
const FAR_FANOUT: usize = 6;
/// Peers named in a heartbeat.
const NAMED_PEERS: usize = 6;

/// One peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where its heartbeats come from.
    pub address: SocketAddr,
    /// Its last heartbeat.
    pub beat: beat::Beat,
    /// When it was heard last.
    pub heard: time::Instant,
}

impl Peer {
    /// Whether it was heard a short time ago and has not announced its stop.
    pub fn is_alive(&self, now: time::Instant) -> bool {
        !self.beat.leaving && now.since(self.heard) < ALIVE_FOR
    }

    /// When the publisher last answered it, if it watches.
    pub fn contact(&self) -> Option<time::Instant> {
        let age = self.beat.contact_ms?;
        Some(before(self.heard, age))
    }

    /// When its facts were last current.
    pub fn current_at(&self) -> Option<time::Instant> {
        let age = self.beat.age_ms?;
        Some(before(self.heard, age))
    }
}

/// The instant that lies some milliseconds before another.
pub fn before(now: time::Instant, age_ms: u32) -> time::Instant {
    time::Instant(now.0.saturating_sub(u64::from(age_ms) * 1_000))
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A peer is heard that was not, or that is a new process.
    Appeared(key::Peer),
    /// A peer has been silent for too long.
    Silent(key::Peer),
    /// A peer announced its stop.
    Leaving(key::Peer),
}

/// All known peers.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Peers.
    pub known: arena::Arena<key::Peer, Peer>,
    alive: HashMap<key::Peer, bool>,
    by_address: HashMap<SocketAddr, key::Peer>,
    hints: Vec<SocketAddr>,
    is_seed: bool,
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
}

impl Peers {
    /// The peers of an instance at an address that starts from seeds.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut peers = Self {
            alive: HashMap::new(),
            by_address: HashMap::new(),
            hints: Vec::new(),
            is_seed: false,
            known: arena::Arena::default(),
            own,
            seeds: Vec::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.is_seed = seeds.is_empty() || seeds.contains(&self.own);
        self.seeds = seeds
            .iter()
            .copied()
            .filter(|seed| *seed != self.own)
            .collect();
    }

    /// Takes a heartbeat; returns the peer and what changed.
    pub fn hear(
        &mut self,
        now: time::Instant,
        from: SocketAddr,
        beat: beat::Beat,
    ) -> Option<(key::Peer, Option<Change>)> {
        if from == self.own {
            return None;
        }
        for hint in &beat.peers {
            if *hint != self.own && !self.by_address.contains_key(hint) {
                self.hints.push(*hint);
            }
        }
        let Some(key) = self.by_address.get(&from).copied() else {
            let key = self.known.insert(Peer {
                address: from,
                beat,
                heard: now,
            });
            self.by_address.insert(from, key);
            self.alive.insert(key, true);
            return Some((key, Some(Change::Appeared(key))));
        };
        let peer = self.known.get_mut(key)?;
        let same = peer.beat.incarnation == beat.incarnation;
        if same && beat.sequence <= peer.beat.sequence {
            return None;
        }
        let left = beat.leaving && !peer.beat.leaving;
        peer.beat = beat;
        peer.heard = now;
        let was_alive = self.alive.insert(key, !peer.beat.leaving) == Some(true);
        let change = if left {
            Some(Change::Leaving(key))
        } else if !same || (!was_alive && !peer.beat.leaving) {
            Some(Change::Appeared(key))
        } else {
            None
        };
        Some((key, change))
    }

    /// Notes the passing of time; returns what it changed.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut forgotten = Vec::new();
        for (key, peer) in self.known.iter() {
            let silence = now.since(peer.heard);
            if self.alive.get(&key) == Some(&true) && !peer.is_alive(now) {
                changes.push(Change::Silent(key));
            }
            let limit = if peer.beat.leaving {
                LEAVING_FOR
            } else {
                FORGET_AFTER
            };
            if silence >= limit {
                forgotten.push((key, peer.address));
            }
        }
        for change in &changes {
            if let Change::Silent(key) = change {
                self.alive.insert(*key, false);
            }
        }
        for (key, address) in forgotten {
            self.known.remove(key);
            self.alive.remove(&key);
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

    /// Where the next heartbeat goes.
    pub fn recipients(
        &mut self,
        zone: &CompactString,
        random: &mut random::Source,
    ) -> Vec<SocketAddr> {
        let mut near = Vec::new();
        let mut far = Vec::new();
        for (_, peer) in self.known.iter() {
            if peer.beat.zone == *zone {
                near.push(peer.address);
            } else {
                far.push(peer.address);
            }
        }
        let mut chosen = sample(near, NEAR_FANOUT, random);
        chosen.extend(sample(far, FAR_FANOUT, random));
        let unknown = |address: &SocketAddr| !self.by_address.contains_key(address);
        let seeds = self.seeds.iter().copied().filter(|seed| unknown(seed));
        chosen.extend(seeds);
        chosen.append(&mut self.hints);
        chosen.sort();
        chosen.dedup();
        chosen
    }

    /// Some peers that are alive, to be named in a heartbeat.
    pub fn named(&self, now: time::Instant, random: &mut random::Source) -> Vec<SocketAddr> {
        let alive = self.alive(now).map(|(_, peer)| peer.address).collect();
        sample(alive, NAMED_PEERS, random)
    }

    /// Whether this instance is one of the seeds or has none.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// What the peers alive know of targets, by cookie: flows and the last progress.
    pub fn loads(&self, now: time::Instant) -> HashMap<u32, (snapshot::Count, time::Instant)> {
        let mut loads: HashMap<u32, (snapshot::Count, time::Instant)> = HashMap::new();
        for (_, peer) in self.alive(now) {
            for load in &peer.beat.loads {
                let (count, progressed) = loads.entry(load.cookie).or_default();
                *count = *count
                    + snapshot::Count {
                        flows: u32::from(load.flows),
                        waiting: u32::from(load.waiting),
                    };
                if load.progress_ms < u16::MAX {
                    let at = before(peer.heard, u32::from(load.progress_ms));
                    *progressed = at.max(*progressed);
                }
            }
        }
        loads
    }

    /// A score by which instances are ranked the same everywhere.
    pub fn rank(address: SocketAddr) -> u64 {
        let ip = match address.ip() {
            std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
            std::net::IpAddr::V6(ip) => u128::from(ip) as u64,
        };
        hash::score(ip, u64::from(address.port()))
    }
}

/// A random sample without repetition.
fn sample(mut from: Vec<SocketAddr>, count: usize, random: &mut random::Source) -> Vec<SocketAddr> {
    let count = count.min(from.len());
    for index in 0..count {
        let other = index + random.below(from.len() - index);
        from.swap(index, other);
    }
    from.truncate(count);
    from
}
