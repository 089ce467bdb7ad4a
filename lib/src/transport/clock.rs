//! Monotonic clock of the process. All decisions take their time from it.

use crate::state::time;

/// Value of the clock at its start: one hour. Instant zero, the end of a lease that was never
/// granted, is thus in the past.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// A monotonic clock; its copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// The current instant.
    pub fn now(self) -> time::Instant {
        time::Instant(ORIGIN_MICROS + self.origin.elapsed().as_micros() as u64)
    }
}

/// Seconds since the Unix epoch, by which the incarnations of an instance are numbered.
pub fn unix_seconds() -> u32 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs() as u32)
}
