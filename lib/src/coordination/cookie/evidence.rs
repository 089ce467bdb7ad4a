//! What the packets of callers show about the targets of their flows.
//!
//! A copy of a first packet, and data that is sent again while the caller has received nothing new,
//! mean that the target did not answer in time. A caller that has received something new shows that
//! its target lives. Neither costs a probe, and both come before the publisher notices anything.

use crate::state::{key, snapshot, time};

/// Time for which a target gets no new flows after it did not answer in time; long enough for the
/// next repeats of its other flows to show whether it recovered.
const AVOIDANCE: time::Duration = time::Duration::from_millis(2_000);
/// Age at which a sign of life or of a stall no longer counts for a zone.
const ZONE_WINDOW: time::Duration = time::Duration::from_millis(800);
/// Stalled targets of a zone, none of which shows life, that make the zone suspect.
const ZONE_STALLS: usize = 2;
/// Stalls in a row that show that a target does not answer at all.
const DEAD_STALLS: u32 = 3;

/// Evidence on one target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Evidence {
    /// End of the time for which it gets no new flows.
    pub avoid_until: time::Instant,
    /// When one of its flows last made progress.
    pub progressed: time::Instant,
    /// When one of its flows was last found without progress.
    pub stalled: time::Instant,
    /// Stalls since the last progress.
    pub stalls: u32,
}

impl Evidence {
    /// Notes that a flow got nothing new from the target in time.
    pub fn stall(&mut self, now: time::Instant) {
        self.avoid_until = now + AVOIDANCE;
        self.stalled = now;
        self.stalls = self.stalls.saturating_add(1);
    }

    /// Notes that a flow got something new from the target.
    pub fn progress(&mut self, now: time::Instant) {
        self.progressed = now;
        self.stalls = 0;
    }

    /// Whether the target gets no new flows.
    pub fn is_avoided(&self, now: time::Instant) -> bool {
        now < self.avoid_until
    }

    /// Whether the target has not shown life for a while although flows waited for it.
    pub fn is_dead(&self, now: time::Instant) -> bool {
        self.stalls >= DEAD_STALLS && now.since(self.progressed) >= ZONE_WINDOW
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
        if now.since(found.progressed) < ZONE_WINDOW {
            living[zone] = true;
        } else if found.stalls > 0 && now.since(found.stalled) < ZONE_WINDOW {
            stalled[zone] += 1;
        }
    }
    stalled
        .iter()
        .zip(living)
        .map(|(stalled, living)| *stalled >= ZONE_STALLS && !living)
        .collect()
}
