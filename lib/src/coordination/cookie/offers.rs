//! Offers of registry data to instances that have none.
//!
//! When many instances start at once, each one that has the data serves a few others at a time, which
//! then serve more, so that no link is asked for more than it can carry.

use crate::state::time;

/// Time in which an instance offers `OFFERED_BYTES` to instances without registry data.
const OFFER_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Bytes of registry data that an instance offers in one interval, so that a slow link can carry
/// them besides the traffic.
const OFFERED_BYTES: usize = 100 << 10;

/// Offers made in the current interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct Offers {
    bytes: usize,
    since: time::Instant,
}

impl Offers {
    /// Whether one more transfer of `bytes` can be offered now; counts it if so.
    pub fn take(&mut self, now: time::Instant, bytes: usize) -> bool {
        if now.since(self.since) >= OFFER_INTERVAL {
            self.bytes = 0;
            self.since = now;
        }
        let free = self.bytes < OFFERED_BYTES;
        if free {
            self.bytes += bytes;
        }
        free
    }
}
