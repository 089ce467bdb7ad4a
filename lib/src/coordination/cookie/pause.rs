//! Pauses of the process, as by SIGSTOP or a suspended virtual machine.
//!
//! What arrived during a pause seems to arrive after it, so its age is not known.

use crate::state::time;

/// Gap between two events of the control thread that shows a pause; several times the interval of its
/// timers.
const PAUSE_GAP: time::Duration = time::Duration::from_millis(400);
/// Time after a pause in which heartbeats may have been sent before its end. Heartbeats that queued
/// during the pause are read in a fraction of it.
const UNCERTAIN_FOR: time::Duration = time::Duration::from_millis(300);

/// Whether a gap between two events shows a pause.
pub fn is_pause(gap: time::Duration) -> bool {
    gap >= PAUSE_GAP
}

/// Finds pauses by the instants of events.
#[derive(Clone, Copy, Debug)]
pub struct Monitor {
    /// End of the last pause; none if there was none.
    ended_at: Option<time::Instant>,
    observed_at: time::Instant,
}

impl Monitor {
    /// A monitor that starts at `now`.
    pub fn new(now: time::Instant) -> Self {
        Self {
            ended_at: None,
            observed_at: now,
        }
    }

    /// Records that the process runs; returns the length of a pause that ends now.
    pub fn observe(&mut self, now: time::Instant) -> Option<time::Duration> {
        let gap = now.since(self.observed_at);
        self.observed_at = now;
        if !is_pause(gap) {
            return None;
        }
        self.ended_at = Some(now);
        Some(gap)
    }

    /// Whether a heartbeat that is handled now may have been sent before the end of a pause.
    pub fn is_recent(&self, now: time::Instant) -> bool {
        self.ended_at
            .is_some_and(|ended_at| now.since(ended_at) < UNCERTAIN_FOR)
    }

    /// When the data of an answer is known to have been current: when it arrived, or when it was
    /// asked for if a pause ended in between.
    pub fn answer_time(
        &self,
        asked_at: time::Instant,
        answered_at: time::Instant,
    ) -> time::Instant {
        match self.ended_at {
            Some(ended_at) if asked_at < ended_at => asked_at.min(answered_at),
            _ => answered_at,
        }
    }
}
