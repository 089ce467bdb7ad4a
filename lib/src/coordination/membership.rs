//! Which instances are alive, and for how long this instance may rely on what it knows of them.
//!
//! A heartbeat carries back the sending time of the last one that was heard. An instance may rely
//! on a peer for one lease after the sending time that the peer carried back, and counts a peer as
//! dead only after a longer silence, so its leases end before anyone else takes its buckets. An
//! instance that was paused for longer than that joins anew.

use std::collections::BTreeMap;

use crate::coordination::{message, rank};
use crate::state::{bitmap, key, time, view};

/// Times of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Silence after which a peer is dead; longer than the lease by more than a heartbeat.
    pub dead_after: time::Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: time::Duration,
    /// Time for which a peer's answer may be relied on.
    pub lease_duration: time::Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            dead_after: time::Duration::from_millis(1_350),
            heartbeat_interval: time::Duration::from_millis(250),
            lease_duration: time::Duration::from_millis(1_000),
        }
    }
}

/// One peer.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Whether it counts as alive.
    pub alive: bool,
    /// Version of the peer's details applied here.
    pub applied_version: u32,
    /// Buckets that the peer declares direct, by service.
    pub direct: BTreeMap<key::Id, bitmap::Bitmap>,
    /// Revision that its bucket declarations are for.
    pub direct_revision: u64,
    /// What it told of earlier revisions, and when.
    pub history: Option<(time::Instant, message::History)>,
    /// When it was heard last.
    pub last_seen: time::Instant,
    /// Number of its process.
    pub incarnation: u32,
    /// End of the lease that it granted.
    pub lease_expires_at: time::Instant,
    /// Stage that it announced.
    pub phase: Option<message::Phase>,
    /// Instances that it expects to own buckets next.
    pub prospective_owner_mask: u32,
    /// Instances that own buckets in its view.
    pub owner_mask: u32,
    /// Revision that it has accepted.
    pub revision: u64,
    /// Sending time of its last heartbeat, in its own clock.
    pub sent_ms: u32,
    /// Number of traffic shards.
    pub shards: u16,
    /// Whether all its replicas are in place for its view.
    pub synced: bool,
    /// Port of its first traffic shard.
    pub traffic_port: u16,
    /// Version of its details.
    pub version: u32,
    /// Version of our details that it has applied.
    pub acknowledged_version: u32,
    /// Its availability zone.
    pub zone: u64,
}

/// What a heartbeat or the passing of time changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A peer is alive that was not.
    Alive(key::Instance),
    /// A peer has been silent for too long.
    Dead(key::Instance),
    /// A peer changed its stage, shards or zone.
    Updated(key::Instance),
    /// A peer runs as a new process and has forgotten all.
    Restarted(key::Instance),
    /// This instance was paused for longer than its leases and joins anew.
    Rejoined,
}

/// The instances as seen by one of them.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Times of the protocol.
    pub config: Config,
    /// Number of this process; a rejoin takes the next one.
    pub incarnation: u32,
    /// Peers by number.
    pub peers: BTreeMap<key::Instance, Peer>,
    /// Stage of this instance.
    pub phase: message::Phase,
    /// This instance.
    pub self_key: key::Instance,
    /// Zone of this instance.
    pub zone: u64,
    joined_at: time::Instant,
    last_tick: time::Instant,
}

impl Membership {
    /// An instance that starts to join at `now`, with the peers it may find.
    pub fn new(
        config: Config,
        self_key: key::Instance,
        zone: u64,
        incarnation: u32,
        peers: impl IntoIterator<Item = key::Instance>,
        now: time::Instant,
    ) -> Self {
        let peers = peers
            .into_iter()
            .filter(|key| *key != self_key)
            .map(|key| (key, Peer::default()))
            .collect();
        Self {
            config,
            incarnation,
            peers,
            phase: message::Phase::Joining,
            self_key,
            zone,
            joined_at: now,
            last_tick: now,
        }
    }

    /// Peers that are alive.
    pub fn alive(&self) -> impl Iterator<Item = (key::Instance, &Peer)> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.alive)
            .map(|(key, peer)| (*key, peer))
    }

    /// Takes a heartbeat; returns what it changed.
    pub fn on_heartbeat(
        &mut self,
        now: time::Instant,
        from: key::Instance,
        heartbeat: &message::Heartbeat,
    ) -> Option<Change> {
        if from == self.self_key || from.index() >= view::MAX_INSTANCES {
            return None;
        }
        let (self_key, incarnation, lease) =
            (self.self_key, self.incarnation, self.config.lease_duration);
        let peer = self.peers.entry(from).or_default();
        if heartbeat.incarnation < peer.incarnation {
            // A frame of a former process, late or replayed.
            return None;
        }
        let restarted = peer.incarnation != heartbeat.incarnation;
        if !restarted && heartbeat.sent < peer.sent_ms {
            return None;
        }
        if restarted {
            *peer = Peer {
                incarnation: heartbeat.incarnation,
                ..Peer::default()
            };
        }
        let appeared = !peer.alive;
        let phase_changed = peer.phase != Some(heartbeat.phase);
        peer.alive = true;
        peer.last_seen = now;
        peer.phase = Some(heartbeat.phase);
        peer.prospective_owner_mask = heartbeat.prospective;
        peer.owner_mask = heartbeat.ranked;
        peer.revision = heartbeat.revision;
        peer.sent_ms = heartbeat.sent;
        peer.synced = heartbeat.synced;
        peer.version = heartbeat.version;
        let echo = heartbeat
            .echoes
            .iter()
            .find(|echo| echo.instance == self_key);
        if let Some(echo) = echo.filter(|echo| echo.incarnation == incarnation) {
            let granted = time::Instant::from_millis(u64::from(echo.sent)) + lease;
            peer.lease_expires_at = peer.lease_expires_at.max(granted);
            peer.acknowledged_version = echo.applied;
        }
        let endpoint_changed = apply_details(peer, heartbeat, now);
        if restarted {
            Some(Change::Restarted(from))
        } else if appeared {
            Some(Change::Alive(from))
        } else if phase_changed || endpoint_changed {
            Some(Change::Updated(from))
        } else {
            None
        }
    }

    /// Notes the passing of time; returns what it changed.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Change> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.config.dead_after {
            self.rejoin(now);
            return vec![Change::Rejoined];
        }
        if gap > self.config.lease_duration / 2 {
            // Silence that was not listened to is no evidence against a peer.
            for peer in self.peers.values_mut().filter(|peer| peer.alive) {
                peer.last_seen = now;
            }
        }
        let dead_after = self.config.dead_after;
        let mut changes = Vec::new();
        for (key, peer) in &mut self.peers {
            if peer.alive && now.since(peer.last_seen) > dead_after {
                peer.alive = false;
                peer.lease_expires_at = time::Instant(0);
                changes.push(Change::Dead(*key));
            }
        }
        changes
    }

    fn rejoin(&mut self, now: time::Instant) {
        self.incarnation = self.incarnation.wrapping_add(1);
        self.joined_at = now;
        if self.phase == message::Phase::Serving {
            self.phase = message::Phase::Joining;
        }
        for peer in self.peers.values_mut() {
            *peer = Peer {
                incarnation: peer.incarnation,
                ..Peer::default()
            };
        }
    }

    /// Bits of the instances that own buckets now.
    pub fn owner_mask(&self) -> u32 {
        self.phase_mask(|phase| matches!(phase, message::Phase::Serving | message::Phase::Leaving))
    }

    /// Bits of the instances that will own buckets once all that join or leave have done so.
    pub fn prospective_owner_mask(&self) -> u32 {
        self.phase_mask(|phase| matches!(phase, message::Phase::Joining | message::Phase::Serving))
    }

    fn phase_mask(&self, takes_part: impl Fn(message::Phase) -> bool) -> u32 {
        let own = if takes_part(self.phase) {
            view::instance_bit(self.self_key)
        } else {
            0
        };
        self.alive()
            .filter(|(_, peer)| peer.phase.is_some_and(&takes_part))
            .fold(own, |mask, (key, _)| mask | view::instance_bit(key))
    }

    /// The candidates of a mask for ranking.
    pub fn candidates(&self, mask: u32) -> Vec<rank::Candidate> {
        let own = (self.self_key, self.zone);
        let peers = self.peers.iter().map(|(key, peer)| (*key, peer.zone));
        let mut candidates: Vec<rank::Candidate> = peers
            .chain([own])
            .filter(|(key, _)| mask & view::instance_bit(*key) != 0)
            .map(|(instance, zone)| rank::Candidate {
                instance,
                zone: key::Id(zone),
            })
            .collect();
        candidates.sort_by_key(|candidate| candidate.instance);
        candidates
    }

    /// Whether every peer alive agrees on the owners and has handed over its entries.
    pub fn is_settled(&self) -> bool {
        let owner_mask = self.owner_mask();
        self.alive()
            .all(|(_, peer)| peer.owner_mask == owner_mask && peer.synced)
    }

    /// Until when this instance may decide alone for its buckets.
    pub fn placement_lease(&self) -> time::Instant {
        let own = self.last_tick + self.config.lease_duration;
        self.alive()
            .map(|(_, peer)| peer.lease_expires_at)
            .fold(own, time::Instant::min)
    }

    /// Peers alive that own buckets.
    pub fn owners(&self) -> impl Iterator<Item = (key::Instance, &Peer)> {
        self.alive().filter(|(_, peer)| {
            matches!(
                peer.phase,
                Some(message::Phase::Serving | message::Phase::Leaving)
            )
        })
    }

    /// Whether this instance can begin to own buckets, with the sheet of a revision.
    pub fn may_serve(&self, now: time::Instant, revision: u64) -> bool {
        let own = view::instance_bit(self.self_key);
        self.phase == message::Phase::Joining
            && now.since(self.joined_at) > self.config.dead_after
            && self.owners().all(|(_, peer)| {
                peer.synced
                    && peer.prospective_owner_mask & own != 0
                    && peer.direct_revision == revision
                    && peer.applied_version == peer.version
                    && peer.history.is_some()
            })
    }

    /// Whether a leaving instance has handed over everything and is no longer expected to own.
    pub fn may_leave(&self, own_synced: bool) -> bool {
        let own = view::instance_bit(self.self_key);
        self.phase == message::Phase::Leaving
            && own_synced
            && self
                .alive()
                .all(|(_, peer)| peer.prospective_owner_mask & own == 0)
    }

    /// Whether all peers know that this instance owns nothing any more.
    pub fn has_left(&self) -> bool {
        let own = view::instance_bit(self.self_key);
        self.phase == message::Phase::Left
            && self.alive().all(|(_, peer)| peer.owner_mask & own == 0)
    }

    /// What this instance has heard from each peer alive.
    pub fn echoes(&self) -> Vec<message::Echo> {
        self.alive()
            .map(|(instance, peer)| message::Echo {
                applied: peer.applied_version,
                incarnation: peer.incarnation,
                instance,
                sent: peer.sent_ms,
            })
            .collect()
    }
}

/// Applies the details of a heartbeat; returns whether shards or zone changed.
fn apply_details(peer: &mut Peer, heartbeat: &message::Heartbeat, now: time::Instant) -> bool {
    let Some(details) = &heartbeat.details else {
        return false;
    };
    let endpoint_changed = (peer.shards, peer.traffic_port, peer.zone)
        != (details.shards, details.traffic_port, details.zone);
    peer.applied_version = heartbeat.version;
    peer.direct = details
        .announcements
        .iter()
        .map(|announcement| (announcement.service, announcement.direct.clone()))
        .collect();
    peer.direct_revision = details.revision;
    if let Some(history) = &details.history {
        peer.history = Some((now, history.clone()));
    }
    peer.shards = details.shards;
    peer.traffic_port = details.traffic_port;
    peer.zone = details.zone;
    endpoint_changed
}
