//! Monotonic clock of the process. All decisions take their time from it.
//!
//! It also advances while the machine is suspended, so that leases and the age of data do not stand
//! still.

use std::mem;

use crate::state::time;

/// Value of the clock at its start: one hour. Instant zero, the end of a lease that was never
/// granted, is thus in the past.
const ORIGIN_MICROS: u64 = 3_600_000_000;

/// A monotonic clock; its copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: time::Duration,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self {
            origin: boot_time(),
        }
    }

    /// The current instant.
    pub fn now(self) -> time::Instant {
        time::Instant(ORIGIN_MICROS + boot_time().saturating_sub(self.origin).as_micros() as u64)
    }
}

/// Time since the machine started, with the time for which it was suspended.
fn boot_time() -> time::Duration {
    // SAFETY: all-zero is a valid value of this plain C struct.
    let mut value: libc::timespec = unsafe { mem::zeroed() };
    // SAFETY: the pointer is to a live value. The call cannot fail with this clock.
    unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut value) };
    time::Duration::new(value.tv_sec as u64, value.tv_nsec as u32)
}

/// Seconds since the Unix epoch, by which the incarnations of an instance are numbered.
pub fn unix_seconds() -> u32 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_secs() as u32)
}
