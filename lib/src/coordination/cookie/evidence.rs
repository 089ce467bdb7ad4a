//! What the packets of callers show about the targets of their flows.
//!
//! A copy of a first packet, and data that is sent again while the caller has received nothing new,
//! mean that the target did not answer in time. A caller that has received something new shows that
//! its target lives. Neither costs a probe, and both come before the publisher notices anything.

use crate::state::{key, snapshot, time};

/// Time for which a target gets no new flows after it did not answer in time; long enough for the
/// next repeats of its other flows to show whether it recovered.
const AVOID_FOR: time::Duration = time::Duration::from_millis(2_000);
/// The same for a target that answers nothing at all.
const DEAD_AVOID_FOR: time::Duration = time::Duration::from_millis(4_000);
/// Age at which a sign of life or of a stall no longer counts for a zone.
const ZONE_WINDOW: time::Duration = time::Duration::from_millis(800);
/// Stalled targets of a zone, none of which shows life, that make the zone suspect.
const SUSPECT_ZONE_MIN_STALLED: usize = 2;
/// Changes from one stalled flow to another since the last progress that show that a target answers
/// nothing at all; two flows may lose packets at the same time.
const DEAD_MIN_FLOW_CHANGES: u32 = 3;
/// Time for which one of these flows must have waited; callers repeat after 200 ms and 600 ms, and
/// one loss must not be enough.
const DEAD_MIN_WAIT: time::Duration = time::Duration::from_millis(500);
/// Time without progress before a target can be dead; above the time for which the longest request
/// waits behind a full queue of a target in good order, and above two losses in a row of one flow.
const DEAD_MIN_SILENCE: time::Duration = time::Duration::from_millis(900);
/// What the links of this instance do to packets.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Links {
    /// Packets rarely get lost.
    #[default]
    Good,
    /// Packets of many targets get lost, so that a stall says less about a target.
    Lossy,
}

impl Links {
    /// How much more evidence than usual a dead target takes.
    fn threshold_factor(self) -> u32 {
        match self {
            Self::Good => 1,
            Self::Lossy => 2,
        }
    }
}

/// Time for which a stall that was followed by progress counts for the links.
const RECOVERY_WINDOW: time::Duration = time::Duration::from_secs(5);
/// Targets with such stalls below which the links count as good, however few others there are.
const MIN_LOSSY_TARGETS: usize = 3;
/// Age of the last stall at which a target counts as living again until flows show otherwise; well
/// below the time for which the users' rules excuse a target that was out of reach.
const STALL_EXPIRY: time::Duration = time::Duration::from_millis(2_000);

/// Evidence on one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// End of the time for which it gets no new flows.
    pub avoid_until: time::Instant,
    /// When one of its flows last made progress.
    pub last_progress: time::Instant,
    /// When it last made progress after a stall: a packet was lost or late, and the target lived.
    pub last_recovery: time::Instant,
    /// When one of its flows was last found without progress.
    pub last_stall: time::Instant,
    /// Stalls since the last progress.
    pub stalls: u32,
    /// The flow that stalled last.
    last_flow: u64,
    /// Changes from one stalled flow to another since the last progress.
    flow_changes: u32,
    /// Longest wait of a stalled flow since the last progress.
    pub longest_wait: time::Duration,
}

impl Evidence {
    /// Notes that a flow got nothing new from the target for a time.
    pub fn record_stall(
        &mut self,
        now: time::Instant,
        flow: u64,
        waited: time::Duration,
        links: Links,
    ) {
        if self.stalls == 0 || now.since(self.last_stall) >= STALL_EXPIRY {
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

    /// Notes that a flow got something new from the target.
    pub fn record_progress(&mut self, now: time::Instant) {
        if self.stalls > 0 {
            self.last_recovery = now;
        }
        self.last_progress = now;
        self.stalls = 0;
        self.flow_changes = 0;
    }

    /// Whether the target gets no new flows.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        now < self.avoid_until
    }

    /// Whether the target answers nothing at all: several of its flows stall and none makes
    /// progress.
    pub fn is_dead(&self, now: time::Instant, links: Links) -> bool {
        let threshold_factor = links.threshold_factor();
        self.flow_changes >= DEAD_MIN_FLOW_CHANGES * threshold_factor
            && self.longest_wait >= DEAD_MIN_WAIT
            && now.since(self.last_progress) >= DEAD_MIN_SILENCE * threshold_factor
            && now.since(self.last_stall) < STALL_EXPIRY
    }
}

/// Zones in which targets stall and none shows life.
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
        } else if found.stalls > 0 && now.since(found.last_stall) < ZONE_WINDOW {
            stalled[zone] += 1;
        }
    }
    stalled
        .iter()
        .zip(living)
        .map(|(stalled, living)| *stalled >= SUSPECT_ZONE_MIN_STALLED && !living)
        .collect()
}

/// What the links do, by the targets that made progress lately: a few slow or failing targets say
/// nothing about links, half of all do.
pub fn assess_links(now: time::Instant, evidence: &[Evidence]) -> Links {
    let is_recent = |at: time::Instant| at > time::Instant(0) && now.since(at) < RECOVERY_WINDOW;
    let living = evidence
        .iter()
        .filter(|found| is_recent(found.last_progress));
    let lossy = living
        .clone()
        .filter(|found| is_recent(found.last_recovery));
    let (living, lossy) = (living.count(), lossy.count());
    if lossy >= MIN_LOSSY_TARGETS && lossy * 2 >= living {
        Links::Lossy
    } else {
        Links::Good
    }
}
