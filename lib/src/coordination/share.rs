//! The flexible share of each service: the one dial between evenness and the cost of control.

use crate::coordination::control;
use crate::state::time;

/// Time between adjustments of the flexible share.
pub const INTERVAL: time::Duration = time::Duration::from_secs(5);
/// New flows a second for each target above which a service's share shrinks.
pub const HERDING_RATE: f64 = 11.0;
/// The whole of a service's buckets, in per mille.
const FULL_SHARE: u16 = 1_000;
/// Smallest share that is kept for the budget's sake, in per mille.
const MIN_SHARE: u16 = 5;

impl control::Control {
    /// Lets each service's flexible share follow what its replicas cost.
    pub(crate) fn adjust_shares(&mut self, now: time::Instant) {
        if now < self.share_due {
            return;
        }
        self.share_due = now + INTERVAL;
        let bytes = self.replica_bytes / INTERVAL.as_secs();
        self.replica_bytes = 0;
        let seconds = INTERVAL.as_secs_f64();
        for (_, service) in self.ledger.services.iter_mut() {
            let starts: u32 = service
                .targets
                .iter()
                .filter_map(|target| self.starts.remove(target))
                .sum();
            let rate = f64::from(starts) / seconds / service.targets.len().max(1) as f64;
            let useful = (self.config.herding_rate / rate).min(1.0) * f64::from(FULL_SHARE);
            let allowed = service.item.flexible_share.min(useful as u16);
            service.share = next_share(service.share, allowed, bytes, self.config.budget);
        }
    }
}

/// The next flexible share: cut to what the budget allows when replicas cost more, and slowly back
/// up to what the sheet allows when they cost clearly less, since each change tracks buckets.
fn next_share(share: u16, allowed: u16, rate: u64, budget: u64) -> u16 {
    let floor = MIN_SHARE.min(allowed);
    if rate > budget {
        ((u64::from(share).saturating_mul(budget) / rate) as u16).max(floor)
    } else if rate < budget / 3 * 2 {
        (share + share / 8 + 1).min(allowed)
    } else {
        share.min(allowed)
    }
}
