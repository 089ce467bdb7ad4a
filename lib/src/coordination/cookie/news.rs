//! What a heartbeat tells the controller, with ages turned into instants.

use crate::coordination::cookie::{candidates, heartbeat};
use crate::state::{catalog, time};

/// What a heartbeat tells the controller.
pub struct News {
    /// When the platform last answered the sender; none if it does not watch.
    pub answered_at: Option<time::Instant>,
    /// Instances that watch the platform or may have to.
    pub candidates: Vec<candidates::Candidate>,
    /// Results of checks that this instance asked for.
    pub checks: Vec<heartbeat::Check>,
    /// Cookies of targets that this instance is asked to check.
    pub checks_wanted: Vec<u32>,
    /// When the sender's registry data was current; none if it has none.
    pub current_at: Option<time::Instant>,
    /// Evacuations that are in force.
    pub evacuations: Vec<catalog::Evacuation>,
    /// Whether it answers a question about targets.
    pub has_progress: bool,
    /// Registrations that must not be used yet.
    pub holds: Vec<catalog::Hold>,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Whether all registry data may be fetched from the sender.
    pub offers: bool,
    /// How far the sender's registry data reaches.
    pub position: catalog::Position,
    /// Cookies of targets that do not answer the sender.
    pub suspects: Vec<u32>,
}

impl News {
    /// Takes from a heartbeat that arrived at `now` what peers need not keep.
    pub fn new(now: time::Instant, heartbeat: &mut heartbeat::Heartbeat) -> Self {
        let millis = |millis: u32| time::Duration::from_millis(u64::from(millis));
        let before = |age_ms: u32| now.before(millis(age_ms));
        let candidates = std::mem::take(&mut heartbeat.candidates);
        let candidates = candidates.into_iter().map(|found| {
            let seen = before(found.silent_ms);
            candidates::Candidate {
                address: found.address,
                answered_at: found
                    .contact_ms
                    .map(|contact_ms| seen.before(millis(contact_ms))),
                seen,
            }
        });
        Self {
            answered_at: heartbeat.contact_ms.map(before),
            candidates: candidates.collect(),
            checks: std::mem::take(&mut heartbeat.checks),
            checks_wanted: std::mem::take(&mut heartbeat.checks_wanted),
            current_at: heartbeat.age_ms.map(before),
            evacuations: std::mem::take(&mut heartbeat.evacuations),
            has_progress: !heartbeat.progress.is_empty(),
            holds: std::mem::take(&mut heartbeat.holds),
            leaving: heartbeat.leaving,
            offers: heartbeat.offers,
            position: heartbeat.position,
            suspects: std::mem::take(&mut heartbeat.suspects),
        }
    }
}
