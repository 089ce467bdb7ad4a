//! The clock of a process, the only place where time is read.

use crate::state::time;

/// Offset of the first instant, so that no lease is in force before it was granted.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// A monotonic clock; copies share their origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std::time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: std::time::Instant::now(),
        }
    }

    /// The present instant.
    pub fn now(self) -> time::Instant {
        time::Instant(ORIGIN_MICROS + self.origin.elapsed().as_micros() as u64)
    }
}

/// Seconds since the Unix epoch, the number of a process.
pub fn unix_seconds() -> u32 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs() as u32)
}
