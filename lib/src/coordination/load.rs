//! Load that a shard counts on each target and service.
//!
//! Entries that the shard owns are counted exactly. Flows of direct buckets have no entry: each
//! instance counts the starts and ends that it sees, and only the sum over all instances is the
//! number of open flows.

use crate::coordination::health;
use crate::state::{arena, key, time};

/// Interval at which the counts of recent placements decay.
pub const RECENT_DECAY_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Factor by which the counts of recent placements decay, so that a placement counts for about as
/// long as reports are old.
const RECENT_DECAY_FACTOR: f64 = 0.6;

/// Counts of a shard for one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Count {
    /// Open flows. For direct buckets, starts less ends, including ends whose start another
    /// instance saw.
    pub flows: i32,
    /// Retransmitted first packets since the last report.
    pub retransmissions: u16,
    /// First packets of new flows since the last report.
    pub attempts: u16,
    /// The target.
    pub target: key::Target,
}

/// Counts of a shard for the flows of one service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcomes {
    /// Flows whose entries were lost.
    pub lost: u32,
    /// Flows that were refused.
    pub refused: u32,
    /// Flows that started.
    pub started: u32,
}

/// Counts of a shard for all targets.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Flow starts less flow ends seen in direct buckets.
    direct: Vec<f64>,
    /// Entries that this shard owns.
    owned: Vec<u32>,
    /// Decaying count of flows placed away from their home to balance load.
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

    /// Open flows counted here plus an estimate of those that the other owners have placed since
    /// their last report. Each is assumed to have placed as many on the target as this shard, since
    /// it sees the same reports.
    pub fn estimated_flows(&self, target: key::Target, other_owners: u32) -> i64 {
        let recent = self
            .recent_placements
            .get(target.index())
            .copied()
            .unwrap_or(0.0);
        self.open_flows(target) + (recent * f64::from(other_owners)) as i64
    }

    /// Decays the counts of recent placements; called once every `RECENT_DECAY_INTERVAL`.
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

    /// Counts the start (`change` above zero) or the end (below zero) of a flow of a direct bucket.
    pub fn add_direct(&mut self, target: key::Target, change: f64) {
        *arena::slot_or_default(&mut self.direct, target.index()) += change;
    }

    /// Counts a flow that was placed away from its home to balance load.
    pub fn add_recent_placement(&mut self, target: key::Target) {
        *arena::slot_or_default(&mut self.recent_placements, target.index()) += 1.0;
    }

    /// Decays the counts of flows of direct buckets by `factor`, so that flows whose end was not
    /// seen stop counting over time.
    pub fn decay_direct(&mut self, factor: f64) {
        for direct in &mut self.direct {
            *direct *= factor;
        }
    }

    /// Returns the counts of the first `targets` targets and resets their counts of first packets.
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

    /// Counts a retransmitted first packet.
    pub fn add_retransmission(&mut self, target: key::Target) {
        let attempts = arena::slot_or_default(&mut self.attempts, target.index());
        attempts.retransmitted = attempts.retransmitted.saturating_add(1);
    }
}
