//! Passive evidence of the health of targets, taken from the packets of their callers.
//!
//! Data that is retransmitted while the caller has received nothing new means that the target did
//! not answer in time. A caller that has received something new shows that its target is alive.
//! Neither needs a probe, and both are seen before the platform notices a failure.
//!
//! A retransmitted first packet means that the target takes no new flow. It says nothing about open
//! flows, which a full target goes on to serve.

use crate::state::{key, snapshot, time};

/// Time for which a target gets no new flows after a stall; long enough for the next
/// retransmissions of its other flows to show whether it has recovered.
const AVOID_FOR: time::Duration = time::Duration::from_millis(2_000);
/// The same for a dead target, which answers none of its flows.
const DEAD_AVOID_FOR: time::Duration = time::Duration::from_millis(4_000);
/// Age at which progress or a stall no longer counts for a zone.
const ZONE_WINDOW: time::Duration = time::Duration::from_millis(800);
/// Stalled targets that make a zone suspect if no target of the zone makes progress.
const SUSPECT_ZONE_MIN_STALLED: usize = 2;
/// Least number of changes from one stalled flow to another, since the last progress, at which a
/// target can be dead; two flows may lose packets at the same time.
const DEAD_MIN_FLOW_CHANGES: u32 = 3;
/// Time for which a stalled flow must have waited before its target can be dead. Callers retransmit
/// after 200 ms and 600 ms, and one loss must not be enough.
const DEAD_MIN_WAIT: time::Duration = time::Duration::from_millis(500);
/// Time without progress before a target can be dead. It is above the time for which the longest
/// request waits behind a full queue of a healthy target, and above two losses in a row of one
/// flow.
const DEAD_MIN_SILENCE: time::Duration = time::Duration::from_millis(900);

/// Packet loss on the links of this instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Links {
    /// Packets are rarely lost.
    #[default]
    Good,
    /// Packets of many targets are lost, so that a stall says less about a target.
    Lossy,
}

impl Links {
    /// Factor on the thresholds at which a target counts as dead.
    fn threshold_factor(self) -> u32 {
        match self {
            Self::Good => 1,
            Self::Lossy => 2,
        }
    }
}

/// Age at which progress, and a recovery from a stall, no longer count for the links.
const RECOVERY_WINDOW: time::Duration = time::Duration::from_secs(5);
/// Recovered targets below which the links count as good, however few others make progress.
const MIN_RECOVERED_TARGETS: usize = 3;
/// Age of the last stall at which a target counts as alive again until flows show otherwise; well
/// below the time for which the users' rules tolerate an unreachable target.
const STALL_EXPIRY: time::Duration = time::Duration::from_millis(2_000);

/// Evidence of the health of one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// End of the time for which it gets no new flows.
    pub avoid_until: time::Instant,
    /// Since when the first of the stalled flows has waited.
    pub first_wait: time::Instant,
    /// When the first of its open flows stalled since the last progress.
    pub first_stall: time::Instant,
    /// When one of its flows last made progress.
    pub last_progress: time::Instant,
    /// When it last recovered, that is, made progress after a stall: a packet was lost or late, and
    /// the target was alive.
    pub last_recovery: time::Instant,
    /// When one of its open flows last stalled.
    pub last_stall: time::Instant,
    /// When a first packet last went unanswered.
    pub last_unanswered: time::Instant,
    /// Stalls since the last progress.
    pub stalls: u32,
    /// The flow that stalled last.
    last_flow: u64,
    /// Changes from one stalled flow to another since the last progress.
    flow_changes: u32,
    /// Longest wait of a stalled flow since the last progress.
    pub longest_wait: time::Duration,
    /// First packets without an answer since the last progress.
    pub unanswered: u32,
}

impl Evidence {
    /// Records that a first packet was not answered in time. A target that holds as many flows as it
    /// may answers none, and serves its open flows; so this says nothing about open flows.
    pub fn record_unanswered(&mut self, now: time::Instant) {
        self.last_unanswered = now;
        self.unanswered = self.unanswered.saturating_add(1);
        self.avoid_until = self.avoid_until.max(now + AVOID_FOR);
    }

    /// Records a stall: an open flow has waited for `waited` without anything new from the target.
    pub fn record_stall(
        &mut self,
        now: time::Instant,
        flow: u64,
        waited: time::Duration,
        links: Links,
    ) {
        if self.stalls == 0 || now.since(self.last_stall) >= STALL_EXPIRY {
            self.first_stall = now;
            self.first_wait = now.before(waited);
            self.stalls = 0;
            self.flow_changes = 0;
            self.longest_wait = time::Duration::ZERO;
        } else if flow != self.last_flow {
            self.flow_changes = self.flow_changes.saturating_add(1);
        }
        self.last_flow = flow;
        self.longest_wait = self.longest_wait.max(waited);
        self.last_stall = now;
        self.stalls = self.stalls.saturating_add(1);
        let avoid_for = if self.is_dead(now, links) {
            DEAD_AVOID_FOR
        } else {
            AVOID_FOR
        };
        self.avoid_until = now + avoid_for;
    }

    /// Records progress: a flow received something new from the target.
    pub fn record_progress(&mut self, now: time::Instant) {
        if self.stalls > 0 || self.unanswered > 0 {
            self.last_recovery = now;
        }
        self.last_progress = now;
        self.stalls = 0;
        self.unanswered = 0;
        self.flow_changes = 0;
    }

    /// Keeps new flows away from a dead target.
    pub fn avoid_dead(&mut self, now: time::Instant) {
        self.avoid_until = self.avoid_until.max(now + DEAD_AVOID_FOR);
    }

    /// Whether the target gets no new flows.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        now < self.avoid_until
    }

    /// Whether an open flow of the target stalls.
    pub fn is_stalled(&self, now: time::Instant) -> bool {
        self.stalls > 0 && now.since(self.last_stall) < STALL_EXPIRY
    }

    /// Whether a stalled flow has waited for so long that one lost packet does not explain it.
    pub fn has_waited(&self, now: time::Instant, links: Links) -> bool {
        self.is_stalled(now) && self.longest_wait >= DEAD_MIN_WAIT * links.threshold_factor()
    }

    /// Whether the target answers none of its open flows: several stall and none makes progress.
    pub fn is_dead(&self, now: time::Instant, links: Links) -> bool {
        let threshold_factor = links.threshold_factor();
        self.flow_changes >= DEAD_MIN_FLOW_CHANGES * threshold_factor
            && self.longest_wait >= DEAD_MIN_WAIT
            && now.since(self.last_progress) >= DEAD_MIN_SILENCE * threshold_factor
            && now.since(self.last_stall) < STALL_EXPIRY
    }
}

/// Whether each zone is suspect: targets in it stall and none makes progress.
pub fn suspect_zones(
    now: time::Instant,
    snapshot: &snapshot::Snapshot,
    evidence: impl Fn(key::Target) -> Evidence,
) -> Vec<bool> {
    let mut stalled = vec![0; snapshot.zones.len()];
    let mut living = vec![false; snapshot.zones.len()];
    for (index, target) in snapshot.targets.iter().enumerate() {
        let Some(target) = target else { continue };
        let found = evidence(key::Target::from(index));
        let zone = target.zone.index();
        if now.since(found.last_progress) < ZONE_WINDOW {
            living[zone] = true;
        } else if (found.stalls > 0 && now.since(found.last_stall) < ZONE_WINDOW)
            || (found.unanswered > 0 && now.since(found.last_unanswered) < ZONE_WINDOW)
        {
            stalled[zone] += 1;
        }
    }
    stalled
        .iter()
        .zip(living)
        .map(|(stalled, living)| *stalled >= SUSPECT_ZONE_MIN_STALLED && !living)
        .collect()
}

/// Assesses the links by the targets that made progress recently. A few slow or failing targets say
/// nothing about the links; if half of the targets with recent progress recovered from a stall, the
/// links are lossy.
pub fn assess_links(now: time::Instant, evidence: &[Evidence]) -> Links {
    let is_recent = |at: time::Instant| at > time::Instant(0) && now.since(at) < RECOVERY_WINDOW;
    let living = evidence
        .iter()
        .filter(|found| is_recent(found.last_progress));
    let recovered = living
        .clone()
        .filter(|found| is_recent(found.last_recovery));
    let (living, recovered) = (living.count(), recovered.count());
    if recovered >= MIN_RECOVERED_TARGETS && recovered * 2 >= living {
        Links::Lossy
    } else {
        Links::Good
    }
}
