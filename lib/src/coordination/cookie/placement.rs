//! Choice of a target for a new flow that will carry a cookie.
//!
//! The flow goes where it will wait least. A target's load is what its open flows ask of it on
//! average, and what waits for it now beyond its slots; a target that is still slow after its start
//! counts as having fewer slots. Targets of other zones take flows only when those of the own zone
//! are clearly more loaded, since a partition between zones cuts such flows.

use crate::coordination::hash;
use crate::state::{key, snapshot, time};

/// Load by which a target of another zone must be better, relative to the mean of the service.
const CROSS_ZONE_MARGIN: f64 = 1.5;
/// Share of its slots that a target counts with while it is slow after its start.
const COLD_SHARE: f64 = 0.5;
/// Least share of its life for which a flow is taken to occupy a slot, so that flows count before
/// any was seen to wait.
const MIN_OCCUPANCY: f64 = 0.02;

/// How far a target is to be preferred, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// Nothing speaks against it.
    Healthy,
    /// Its flows lately made no progress.
    Avoided,
    /// Its zone seems to be out of reach.
    SuspectZone,
    /// It did not answer an earlier copy of the packet.
    Tried,
}

/// What the choice goes by.
pub struct Criteria<'a, L, R> {
    /// Identifier of the flow, which decides between equal targets.
    pub flow: u64,
    /// What is known to be on a target.
    pub load: L,
    /// Present time.
    pub now: time::Instant,
    /// How far a target is to be preferred; only the best rank found is chosen from.
    pub rank: R,
    /// The picture in force.
    pub snapshot: &'a snapshot::Snapshot,
}

/// Chooses among candidates; none when all hold as many flows as they may.
pub fn choose_target<L, R>(
    criteria: &Criteria<'_, L, R>,
    candidates: &[key::Target],
) -> Option<key::Target>
where
    L: Fn(key::Target) -> snapshot::Load,
    R: Fn(key::Target, &snapshot::Target) -> Rank,
{
    let ranked: Vec<(Rank, key::Target, &snapshot::Target, snapshot::Load)> = candidates
        .iter()
        .filter_map(|key| {
            let target = criteria.snapshot.target(*key)?;
            let load = (criteria.load)(*key);
            let rank = (criteria.rank)(*key, target);
            (load.flows < target.max_connections).then_some((rank, *key, target, load))
        })
        .collect();
    let best = ranked.iter().map(|(rank, ..)| *rank).min()?;
    let usable: Vec<(key::Target, &snapshot::Target, snapshot::Load)> = ranked
        .into_iter()
        .filter(|(rank, ..)| *rank == best)
        .map(|(_, key, target, load)| (key, target, load))
        .collect();
    let total = usable
        .iter()
        .fold(snapshot::Load::default(), |sum, (_, _, load)| sum + *load);
    let slots: u32 = usable
        .iter()
        .map(|(_, target, _)| u32::from(target.slots))
        .sum();
    // Share of its life for which a flow occupies a slot, as seen over all targets.
    let occupancy = f64::from(total.waiting) / f64::from(total.flows.max(1));
    let occupancy = occupancy.clamp(MIN_OCCUPANCY, 1.0);
    let mean = occupancy * f64::from(total.flows) / f64::from(slots.max(1));
    let cost = |target: &snapshot::Target, load: snapshot::Load| {
        let share = if criteria.now < target.cold_until {
            COLD_SHARE
        } else {
            1.0
        };
        let queued = load.waiting.saturating_sub(u32::from(target.slots));
        let demand = occupancy * f64::from(load.flows + 1) + f64::from(queued);
        let is_cross_zone = criteria
            .snapshot
            .zone
            .is_some_and(|zone| zone != target.zone);
        let margin = if is_cross_zone {
            (mean + occupancy) * CROSS_ZONE_MARGIN
        } else {
            0.0
        };
        demand / (f64::from(target.slots.max(1)) * share) + margin
    };
    usable
        .iter()
        .map(|(key, target, load)| {
            let tie = hash::score(criteria.flow, target.id.0);
            (cost(target, *load), tie, *key)
        })
        .min_by(|first, second| first.0.total_cmp(&second.0).then(first.1.cmp(&second.1)))
        .map(|(_, _, key)| key)
}

/// Chooses a branch by its weight; the same flow gets the same branch.
pub fn choose_branch(branches: &[snapshot::Branch], flow: u64) -> Option<key::Service> {
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
