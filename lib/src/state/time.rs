//! Time as a value: decisions take an instant as an argument and never read a clock.

use std::ops::Add;
pub use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since an origin that is private to the process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// The latest instant, which is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// An instant given in milliseconds.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Whole milliseconds since the origin.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Time since an earlier instant, zero if that one is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The instant that is `duration` earlier.
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Whole milliseconds of a duration, as messages carry them.
pub fn millis(duration: Duration) -> u32 {
    duration.as_millis().min(u128::from(u32::MAX)) as u32
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}
