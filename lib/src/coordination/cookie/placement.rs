//! Placement of new flows that will carry a cookie.
//!
//! A new flow goes to the target with the least expected wait. The load of a target is the average
//! demand of its open flows, plus the waiting flows in excess of its slots. A target that is still
//! slow after its start counts with fewer slots. Targets of other zones get flows only if those of
//! the own zone are clearly more loaded, since a network partition between zones cuts such flows.

use crate::coordination::hash;
use crate::state::{key, snapshot, time};

/// Margin by which a target of another zone must be less loaded, as a multiple of the mean load of
/// the service.
const CROSS_ZONE_MARGIN: f64 = 1.5;
/// Share of its slots with which a target counts while it is slow after its start.
const COLD_SHARE: f64 = 0.5;
/// Least share of its life for which a flow is assumed to occupy a slot, so that flows count before
/// any was seen to wait.
const MIN_OCCUPANCY: f64 = 0.02;

/// Preference of a target, best first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// No evidence is against it.
    Healthy,
    /// Its flows stalled recently.
    Avoided,
    /// Its zone seems to be unreachable.
    SuspectZone,
    /// It did not answer an earlier transmission of the first packet.
    Tried,
}

/// Inputs of the choice of a target.
pub struct Criteria<'a, L, R> {
    /// Identifier of the flow, which breaks ties.
    pub flow: u64,
    /// Returns the load of a target.
    pub load: L,
    /// Current time.
    pub now: time::Instant,
    /// Returns the rank of a target; only targets of the best rank found are considered.
    pub rank: R,
    /// The current snapshot.
    pub snapshot: &'a snapshot::Snapshot,
}

/// Chooses among candidates; none if each holds as many flows as it may.
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
    // Share of its life for which a flow occupies a slot, averaged over all usable targets.
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

/// Chooses a branch by weight; the same flow always gets the same branch.
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
