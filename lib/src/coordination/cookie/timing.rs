//! Times by which the instances share the reading of the platform, from the bounds of the deployment.
//!
//! Each time is the age of registry data. A change is younger than the data that lacks it, so a change
//! is in force within its bound if data is replaced before it is as old as the bound.

use crate::state::{bound, time};

/// Longest time from the age at which an instance must read the platform until the data is in force:
/// a tick of 100 ms, a call to a slow platform of 300 ms, and 100 ms until the data is published.
const READ_RESERVE: time::Duration = time::Duration::from_millis(500);
/// Largest part of a bound that is reserved for a read.
const MAX_RESERVE_PART: u32 = 4;
/// Part of the time between the longest watch and `attempt_by` for the usual delay of an answer and
/// of its confirmation by heartbeats.
const DELAY_PART: u32 = 5;

/// Ages of registry data at which instances act.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Timing {
    /// Every instance begins to read the platform; until then, data may serve for refusals.
    pub attempt_by: time::Duration,
    /// Time after a change by which it is in force on all instances.
    pub change: time::Duration,
    /// Data that is replaced at this age or later shows an outage of the platform: the platform
    /// answers in time otherwise, even if all watchers are lost.
    pub outage: time::Duration,
    /// The first instances begin to read the platform themselves.
    pub stale_after: time::Duration,
    /// Longest wait of one watch call.
    pub watch: time::Duration,
}

impl Timing {
    /// The times of a deployment.
    pub fn new(bounds: &bound::Bounds) -> Self {
        let change = bounds.change();
        let attempt_by = change - READ_RESERVE.min(change / MAX_RESERVE_PART);
        let watch = bounds.watch();
        Self {
            attempt_by,
            change,
            outage: change,
            stale_after: watch + attempt_by.saturating_sub(watch) / DELAY_PART,
            watch,
        }
    }
}
