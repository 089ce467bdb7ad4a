//! Choice of a target for a new flow that will carry a cookie.
//!
//! The least loaded target takes the flow. Load is the number of open flows for each slot, counted
//! here and told by other instances; a target that is still slow after its start counts as having
//! fewer slots. Targets of other zones take flows only when those of the own zone are clearly more
//! loaded, since a partition between zones cuts such flows.

use crate::coordination::hash;
use crate::state::{key, snapshot, time};

/// Load by which a target of another zone must be better, relative to the mean of the service.
const FOREIGN_MARGIN: f64 = 0.75;
/// Share of its slots that a target counts with while it is slow after its start.
const COLD_SHARE: f64 = 0.5;

/// What the choice goes by.
pub struct Question<'a, L, F> {
    /// Whether a target may be chosen at all.
    pub allowed: F,
    /// Identifier of the flow, which decides between equal targets.
    pub flow: u64,
    /// Open flows on a target, as far as they are known.
    pub load: L,
    /// Present time.
    pub now: time::Instant,
    /// The picture in force.
    pub snapshot: &'a snapshot::Snapshot,
}

/// Chooses among candidates; none when none is allowed.
pub fn choose<L, F>(
    question: &Question<'_, L, F>,
    candidates: &[key::Target],
) -> Option<key::Target>
where
    L: Fn(key::Target) -> u32,
    F: Fn(key::Target) -> bool,
{
    let usable: Vec<(key::Target, &snapshot::Target, u32)> = candidates
        .iter()
        .filter(|key| (question.allowed)(**key))
        .filter_map(|key| {
            let target = question.snapshot.target(*key)?;
            let load = (question.load)(*key);
            (load < target.connections).then_some((*key, target, load))
        })
        .collect();
    let flows: u32 = usable.iter().map(|(_, _, load)| load).sum();
    let slots: u32 = usable
        .iter()
        .map(|(_, target, _)| u32::from(target.slots))
        .sum();
    let mean = f64::from(flows) / f64::from(slots.max(1));
    let cost = |target: &snapshot::Target, load: u32| {
        let share = if question.now < target.cold_until {
            COLD_SHARE
        } else {
            1.0
        };
        let slots = f64::from(target.slots.max(1)) * share;
        let foreign = question
            .snapshot
            .zone
            .is_some_and(|zone| zone != target.zone);
        let margin = if foreign {
            (mean + 1.0) * FOREIGN_MARGIN
        } else {
            0.0
        };
        f64::from(load + 1) / slots + margin
    };
    usable
        .iter()
        .map(|(key, target, load)| {
            let tie = hash::score(question.flow, target.id.0);
            (cost(target, *load), tie, *key)
        })
        .min_by(|first, second| first.0.total_cmp(&second.0).then(first.1.cmp(&second.1)))
        .map(|(_, _, key)| key)
}

/// Chooses a branch by its weight; the same flow gets the same branch.
pub fn branch(branches: &[snapshot::Branch], flow: u64) -> Option<key::Service> {
    let total: u64 = branches.iter().map(|branch| u64::from(branch.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut point = flow % total;
    for branch in branches {
        let weight = u64::from(branch.weight);
        if point < weight {
            return Some(branch.service);
        }
        point -= weight;
    }
    None
}
