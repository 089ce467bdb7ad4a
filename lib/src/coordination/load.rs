//! What a shard counts on each target and service.
//!
//! Entries that the shard owns are exact. Flows of direct buckets leave no entry: their starts and
//! ends are counted wherever they are seen, and only the sum over all instances is their number.

use crate::coordination::health;
use crate::state::{arena, key, time};

/// Time between fadings of the recent placements.
pub const RECENT_DECAY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// What is kept of the recent placements; they count for about as long as reports are old.
const RECENT_DECAY_FACTOR: f64 = 0.6;

/// One target's count by a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Count {
    /// Open flows, net of ends whose start another instance saw.
    pub flows: i32,
    /// Repeated first packets since the last report.
    pub retransmissions: u16,
    /// First packets of new flows since the last report.
    pub attempts: u16,
    /// The target.
    pub target: key::Target,
}

/// What a shard counts of a service's flows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcomes {
    /// Flows whose entries were lost.
    pub lost: u32,
    /// Flows that were refused.
    pub refused: u32,
    /// Flows that began.
    pub started: u32,
}

/// What a shard counts on each target.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Net of flow starts and ends seen in direct buckets.
    direct: Vec<f64>,
    /// Entries that this shard owns.
    owned: Vec<u32>,
    /// Flows that were lately placed away from their home for the sake of load.
    recent_placements: Vec<f64>,
    /// First packets since the last report.
    attempts: Vec<health::Attempts>,
}

impl Load {
    /// Open flows counted on a target.
    pub fn open_flows(&self, target: key::Target) -> i64 {
        let direct = self.direct.get(target.index()).copied().unwrap_or(0.0);
        i64::from(self.owned.get(target.index()).copied().unwrap_or(0)) + direct.round() as i64
    }

    /// Open flows counted here, and what the other owners have probably added since their last
    /// report: they see the same reports and choose alike.
    pub fn estimated_flows(&self, target: key::Target, other_owners: u32) -> i64 {
        let recent = self
            .recent_placements
            .get(target.index())
            .copied()
            .unwrap_or(0.0);
        self.open_flows(target) + (recent * f64::from(other_owners)) as i64
    }

    /// Lets recent placements fade; called once in each `RECENT_DECAY_INTERVAL`.
    pub fn decay_recent_placements(&mut self) {
        for recent in &mut self.recent_placements {
            *recent *= RECENT_DECAY_FACTOR;
        }
    }

    /// Counts an entry that this shard now owns.
    pub fn add_owned(&mut self, target: key::Target) {
        *arena::slot_or_default(&mut self.owned, target.index()) += 1;
    }

    /// Counts an entry that this shard no longer owns.
    pub fn remove_owned(&mut self, target: key::Target) {
        let owned = arena::slot_or_default(&mut self.owned, target.index());
        *owned = owned.saturating_sub(1);
    }

    /// Counts the start or, below zero, the end of a flow of a direct bucket.
    pub fn add_direct(&mut self, target: key::Target, change: f64) {
        *arena::slot_or_default(&mut self.direct, target.index()) += change;
    }

    /// Counts a flow that was placed away from its home for the sake of load.
    pub fn add_recent_placement(&mut self, target: key::Target) {
        *arena::slot_or_default(&mut self.recent_placements, target.index()) += 1.0;
    }

    /// Forgets part of the net of direct flows, so that flows whose end was not seen fade.
    pub fn decay_direct(&mut self, factor: f64) {
        for direct in &mut self.direct {
            *direct *= factor;
        }
    }

    /// The counts of the first `targets` targets; first packets are counted anew from here.
    pub fn take_counts(&mut self, targets: usize) -> Vec<Count> {
        (0..targets)
            .map(key::Target::from)
            .map(|target| {
                let attempts =
                    std::mem::take(arena::slot_or_default(&mut self.attempts, target.index()));
                Count {
                    flows: self.open_flows(target) as i32,
                    retransmissions: attempts.retransmitted,
                    attempts: attempts.initial,
                    target,
                }
            })
            .collect()
    }

    /// Counts a first packet of a new flow.
    pub fn add_first_packet(&mut self, target: key::Target) {
        let attempts = arena::slot_or_default(&mut self.attempts, target.index());
        attempts.initial = attempts.initial.saturating_add(1);
    }

    /// Counts a first packet that was sent again.
    pub fn add_retransmission(&mut self, target: key::Target) {
        let attempts = arena::slot_or_default(&mut self.attempts, target.index());
        attempts.retransmitted = attempts.retransmitted.saturating_add(1);
    }
}
