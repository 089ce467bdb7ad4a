//! When one more request on a target is expected to end, and how busy zones are.

use crate::state::{key, snapshot, time};

/// Time of a request before any was measured.
pub const UNMEASURED: time::Duration = time::Duration::from_millis(50);

/// Times that one more request is expected to take, from now on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Expectation {
    /// Time to its end.
    pub finish: time::Duration,
    /// Time to its start.
    pub wait: time::Duration,
}

impl Expectation {
    /// The expectation for a target that takes `service` for a request and has `ahead` requests to
    /// end for each of its slots before it starts a further one.
    pub fn new(service: time::Duration, ahead: f64) -> Self {
        let wait = service.mul_f64(ahead.max(0.0));
        Self {
            finish: wait + service,
            wait,
        }
    }
}

/// How busy the targets of each service are, by what other instances report.
pub fn demands(
    pools: &[snapshot::Pool],
    remotes: &[snapshot::Remote],
    slots: impl Fn(key::Target) -> u16,
) -> Vec<snapshot::Demand> {
    let waiting_per_slot = |targets: &[key::Target]| {
        let loads = targets.iter().filter_map(|key| remotes.get(key.index()));
        let waiting: u32 = loads.map(|remote| remote.load.waiting).sum();
        let slots: u32 = targets.iter().map(|key| u32::from(slots(*key))).sum();
        f64::from(waiting) / f64::from(slots.max(1))
    };
    let demand = |pool: &snapshot::Pool| {
        let (own, others) = pool.targets.split_at(pool.local);
        snapshot::Demand {
            others: waiting_per_slot(others),
            own: waiting_per_slot(own),
        }
    };
    pools.iter().map(demand).collect()
}
