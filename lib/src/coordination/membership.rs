//! Failure detection and leases: which instances are alive, and how long this instance may rely on
//! what it knows of them.
//!
//! A heartbeat echoes the sending time of the last heartbeat received from each peer. An echo
//! grants a lease of `lease_duration`, counted from the echoed sending time. A peer counts as dead
//! only after a longer silence, `dead_after`, so the leases of an instance end before another
//! instance takes over its buckets. An instance that was paused for longer than `dead_after`
//! rejoins.

use std::collections::BTreeMap;

use crate::coordination::{message, rank};
use crate::state::{bitmap, key, time, view};

/// Intervals and timeouts of the membership protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// Silence after which a peer counts as dead; exceeds the lease by more than a heartbeat
    /// interval.
    pub dead_after: time::Duration,
    /// Interval between heartbeats.
    pub heartbeat_interval: time::Duration,
    /// Length of a lease, counted from the sending time that the peer echoes.
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

/// State of a peer.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Whether it counts as alive.
    pub alive: bool,
    /// Version of the peer's details applied here.
    pub applied_version: u32,
    /// Buckets that the peer declares direct, by service.
    pub direct: BTreeMap<key::Id, bitmap::Bitmap>,
    /// Revision of the sheet to which `direct` refers.
    pub direct_revision: u64,
    /// Its history of earlier revisions, and the time of receipt.
    pub history: Option<(time::Instant, message::History)>,
    /// Time at which its last heartbeat arrived.
    pub last_seen: time::Instant,
    /// Incarnation number of its process.
    pub incarnation: u32,
    /// End of the lease that it granted.
    pub lease_expires_at: time::Instant,
    /// Phase that it announced.
    pub phase: Option<message::Phase>,
    /// Instances that it expects to own buckets once all joining and leaving is complete, one bit
    /// each.
    pub prospective_owner_mask: u32,
    /// Instances that own buckets in its view, one bit each.
    pub owner_mask: u32,
    /// Revision of the sheet that it has accepted.
    pub revision: u64,
    /// Sending time of its last heartbeat, in milliseconds of its own clock.
    pub sent_ms: u32,
    /// Number of traffic shards.
    pub shards: u16,
    /// Whether the owners have all entries that it holds and, while an instance joins, all its
    /// replicas are in place, by its view of the instances.
    pub synced: bool,
    /// Port of its first traffic shard.
    pub traffic_port: u16,
    /// Version of its details.
    pub version: u32,
    /// Version of this instance's details that it has applied.
    pub acknowledged_version: u32,
    /// Its availability zone, as a hash of the name.
    pub zone: u64,
}

/// A membership change caused by a heartbeat or by the passage of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// A peer became alive.
    Alive(key::Instance),
    /// A peer was silent for longer than `dead_after`.
    Dead(key::Instance),
    /// A peer changed its phase, shards, traffic port or zone.
    Updated(key::Instance),
    /// A peer runs as a new process, without the state of the former one.
    Restarted(key::Instance),
    /// This instance was paused for longer than `dead_after` and rejoins.
    Rejoined,
}

/// State of all instances as seen by one of them.
#[derive(Clone, Debug)]
pub struct Membership {
    /// Intervals and timeouts of the protocol.
    pub config: Config,
    /// Incarnation number of this process; a rejoin takes the next one.
    pub incarnation: u32,
    /// Peers by key.
    pub peers: BTreeMap<key::Instance, Peer>,
    /// Phase of this instance.
    pub phase: message::Phase,
    /// This instance.
    pub self_key: key::Instance,
    /// Zone of this instance, as a hash of the name.
    pub zone: u64,
    joined_at: time::Instant,
    last_tick: time::Instant,
}

impl Membership {
    /// Creates the state of an instance that starts joining at `now`, with its configured peers.
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

    /// Live peers.
    pub fn alive(&self) -> impl Iterator<Item = (key::Instance, &Peer)> {
        self.peers
            .iter()
            .filter(|(_, peer)| peer.alive)
            .map(|(key, peer)| (*key, peer))
    }

    /// Handles a heartbeat; returns the change that it caused.
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
            // A delayed or replayed frame of an earlier process.
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

    /// Advances to `now`; returns the changes that the passage of time caused.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Change> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.config.dead_after {
            self.rejoin(now);
            return vec![Change::Rejoined];
        }
        if gap > self.config.lease_duration / 2 {
            // This instance received nothing in the gap, so silence is no evidence against peers.
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

    /// Instances that own buckets now, one bit each.
    pub fn owner_mask(&self) -> u32 {
        self.phase_mask(|phase| matches!(phase, message::Phase::Serving | message::Phase::Leaving))
    }

    /// Instances that will own buckets once all joining and leaving is complete, one bit each.
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

    /// Ranking candidates of the instances in a mask.
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

    /// Whether all live peers agree on the owners and have handed over their entries.
    pub fn is_settled(&self) -> bool {
        let owner_mask = self.owner_mask();
        self.alive()
            .all(|(_, peer)| peer.owner_mask == owner_mask && peer.synced)
    }

    /// End of the lease under which this instance places flows of its buckets by itself.
    pub fn placement_lease(&self) -> time::Instant {
        let own = self.last_tick + self.config.lease_duration;
        self.alive()
            .map(|(_, peer)| peer.lease_expires_at)
            .fold(own, time::Instant::min)
    }

    /// Live peers that own buckets.
    pub fn owners(&self) -> impl Iterator<Item = (key::Instance, &Peer)> {
        self.alive().filter(|(_, peer)| {
            matches!(
                peer.phase,
                Some(message::Phase::Serving | message::Phase::Leaving)
            )
        })
    }

    /// Whether this instance can start to own buckets with the sheet of a revision.
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

    /// Whether this leaving instance has handed over everything and no live peer expects it to own
    /// buckets any longer.
    pub fn may_leave(&self, own_synced: bool) -> bool {
        let own = view::instance_bit(self.self_key);
        self.phase == message::Phase::Leaving
            && own_synced
            && self
                .alive()
                .all(|(_, peer)| peer.prospective_owner_mask & own == 0)
    }

    /// Whether all live peers know that this instance no longer owns buckets.
    pub fn has_left(&self) -> bool {
        let own = view::instance_bit(self.self_key);
        self.phase == message::Phase::Left
            && self.alive().all(|(_, peer)| peer.owner_mask & own == 0)
    }

    /// Echoes of the last heartbeat from each live peer.
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

/// Applies the details of a heartbeat; returns whether shards, traffic port or zone changed.
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
