//! The flexible share of each service. A larger share balances load more evenly and costs more
//! control traffic.

use crate::state::time;

/// Time between adjustments of the flexible share.
pub const ADJUST_INTERVAL: time::Duration = time::Duration::from_secs(5);
/// Rate of new flows for each target above which a service's share shrinks. At higher rates owners
/// choose the same targets (herding), because reported loads are about a second old.
pub const HERDING_FLOWS_PER_SECOND: f64 = 11.0;
/// Share that covers all buckets of a service.
const FULL_SHARE_PER_MILLE: u16 = 1_000;
/// Share below which the budget does not reduce it.
const MIN_SHARE_PER_MILLE: u16 = 5;

/// Inputs that decide the share of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Input {
    /// Largest rate of replica traffic, in bytes per second.
    pub budget: u64,
    /// Rate of new flows for each target above which the share shrinks, in flows per second.
    pub herding_rate: f64,
    /// Largest share that the sheet allows, in per mille.
    pub max_share: u16,
    /// Current rate of replica traffic, in bytes per second.
    pub rate: u64,
    /// New flows since the last adjustment.
    pub new_flows: u32,
    /// Number of targets.
    pub targets: usize,
}

/// Returns the share for the next interval, in per mille. Above the herding rate the largest useful
/// share is inversely proportional to the rate of new flows.
pub fn adjust(share: u16, input: Input) -> u16 {
    let seconds = ADJUST_INTERVAL.as_secs_f64();
    let new_flows = f64::from(input.new_flows) / seconds / input.targets.max(1) as f64;
    let useful = (input.herding_rate / new_flows).min(1.0) * f64::from(FULL_SHARE_PER_MILLE);
    let allowed = input.max_share.min(useful as u16);
    next_share(share, allowed, input.rate, input.budget)
}

/// Returns the share for the next interval: cut to what the budget allows if replicas exceed it,
/// and raised slowly up to `allowed` if they cost less than two thirds of it. It rises slowly
/// because each increase makes more buckets tracked.
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
