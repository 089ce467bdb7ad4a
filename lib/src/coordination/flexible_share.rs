//! The flexible share of each service: the one dial between evenness and the cost of control.

use crate::state::time;

/// Time between adjustments of the flexible share.
pub const ADJUST_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// New flows a second for each target above which a service's share shrinks.
pub const HERDING_FLOWS_PER_SECOND: f64 = 11.0;
/// The whole of a service's buckets, in per mille.
const FULL_SHARE_PER_MILLE: u16 = 1_000;
/// Smallest share that is kept for the budget's sake, in per mille.
const MIN_SHARE_PER_MILLE: u16 = 5;

/// What a service's share depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Input {
    /// Bytes a second that replicas may take.
    pub budget: u64,
    /// New flows a second for each target above which the share shrinks.
    pub herding_rate: f64,
    /// Share that the sheet allows, in per mille.
    pub max_share: u16,
    /// Bytes a second that replicas take.
    pub rate: u64,
    /// New flows since the last adjustment.
    pub new_flows: u32,
    /// Targets.
    pub targets: usize,
}

/// The share in force after an interval in which a service had another need than before.
pub fn adjust(share: u16, input: Input) -> u16 {
    let seconds = ADJUST_INTERVAL.as_secs_f64();
    let new_flows = f64::from(input.new_flows) / seconds / input.targets.max(1) as f64;
    let useful = (input.herding_rate / new_flows).min(1.0) * f64::from(FULL_SHARE_PER_MILLE);
    let allowed = input.max_share.min(useful as u16);
    next_share(share, allowed, input.rate, input.budget)
}

/// The next flexible share: cut to what the budget allows when replicas cost more, and slowly back
/// up to what the sheet allows when they cost clearly less, since each change tracks buckets.
fn next_share(share: u16, allowed: u16, rate: u64, budget: u64) -> u16 {
    let floor = MIN_SHARE_PER_MILLE.min(allowed);
    if rate > budget {
        ((u64::from(share).saturating_mul(budget) / rate) as u16).max(floor)
    } else if rate < budget / 3 * 2 {
        (share + share / 8 + 1).min(allowed)
    } else {
        share.min(allowed)
    }
}
