//! Placement of new flows that will carry a cookie.
//!
//! An instance draws a few targets at random and takes two of them by weight. It compares these by what it
//! counts itself and takes the one with the shorter expected time (the power of two choices).
//!
//! - **Herding on stale loads.** What other instances count is a second old, in which a target answers
//!   dozens of requests. Instances that went to the target that was idle then would all do so at once.
//!   Flows are long, and their number changes slowly. It only changes weights, within bounds.
//! - **Targets of uneven speed.** Weight is proportional to speed, so that all are used equally. Above
//!   three times the usual time it falls with the square: a request there is late even without a wait.
//! - **New and cold targets.** They count as usual, with half of their slots while cold, until measured. Having
//!   fewer flows than others at most doubles their weight.
//! - **Targets that fail at once.** They count as slow (see `cost`).
//! - **Demand that swings between zones, and evacuated zones.** A share of the new flows goes to other
//!   zones once the own one has hardly a free slot and is clearly busier than they are. The share grows
//!   with the difference. A network partition between zones cuts such flows.
//!
//! Targets whose flows stalled are left out, unless so many have stalled that the rest could not carry
//! their load.

use crate::coordination::cookie::estimate;
use crate::coordination::hash;
use crate::state::{key, snapshot, time};

/// Waiting flows for each slot of the own zone below which no flow goes to another zone. Flows are
/// long, and a cut between zones takes those that crossed it along.
const SPILL_MIN_USE: f64 = 2.0;
/// Factor by which the own zone must be busier than others before flows go there.
const SPILL_MARGIN: f64 = 1.25;
/// Largest share of the new flows that goes to other zones. Reports are up to a second old, and all
/// instances of a zone act on the same ones.
const MAX_SPILL: f64 = 0.4;
/// Share of the flows that goes to other zones, for each unit of the relative difference above.
const SPILL_GAIN: f64 = 2.0;
/// Change of the weight of a target for each unit by which its flows are below its share of them.
/// Above one, flows that last a second begin to swing, since counts are a second old.
const BALANCE_GAIN: f64 = 1.0;
/// Least weight by the number of flows.
const MIN_BALANCE: f64 = 0.2;
/// Flows by which the number on each target is assumed to be even, so that few flows say little.
const BALANCE_PRIOR: f64 = 4.0;
/// Slowness from which the weight of a target falls with its square.
const SLOW: f64 = 3.0;
/// Least slowness of a target after its start.
const COLD_SLOWNESS: f64 = 2.0;
/// Least share of its life for which a flow is assumed to occupy a slot, so that flows count before
/// any was seen to wait.
const MIN_OCCUPANCY: f64 = 0.02;
/// Targets of the own zone that are drawn for one flow.
const LOCAL_DRAWS: usize = 8;
/// Targets of other zones that are drawn for one flow.
const OTHER_DRAWS: usize = 4;
/// If fewer than one in this number of the drawn targets is healthy, avoided ones are used too.
const MIN_HEALTHY_PART: usize = 4;

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
    /// It may not take the flow.
    Excluded,
}

/// Inputs of the choice of a target.
pub struct Criteria<'a, L, R, S> {
    /// Identifier of the flow, which selects the sample and breaks ties.
    pub flow: u64,
    /// Returns the load that this instance counts on a target.
    pub load: L,
    /// Current time.
    pub now: time::Instant,
    /// Returns the rank of a target.
    pub rank: R,
    /// Returns how many times as long as usual a target takes for a request.
    pub slowness: S,
    /// The current snapshot.
    pub snapshot: &'a snapshot::Snapshot,
    /// Time that a target of usual speed takes for the request.
    pub usual: time::Duration,
}

/// The target of a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// What its first request is expected to take there.
    pub expectation: estimate::Expectation,
    /// The target.
    pub target: key::Target,
}

/// A target that can take one more flow.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    key: key::Target,
    load: snapshot::Load,
    rank: Rank,
    remote: snapshot::Load,
    slowness: f64,
    target: &'a snapshot::Target,
}

impl Candidate<'_> {
    /// Usual requests that it runs at once.
    fn capacity(&self) -> f64 {
        f64::from(self.target.slots.max(1)) / self.slowness
    }

    /// Flows on it as far as known.
    fn flows(&self) -> f64 {
        f64::from(self.load.flows + self.remote.flows)
    }
}

/// Average demand over some candidates.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Flows for each usual request that they run at once.
    flows: f64,
    /// Share of its life for which a flow occupies a slot.
    occupancy: f64,
    /// Flows of this instance whose callers wait, for each slot.
    waiting: f64,
}

/// A candidate with its load and the random number by which it is drawn, the lower the better.
#[derive(Clone, Copy)]
struct Estimate<'a> {
    candidate: Candidate<'a>,
    cost: f64,
    draw: f64,
}

impl Estimate<'_> {
    fn order(&self, other: &Self) -> std::cmp::Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.draw.total_cmp(&other.draw))
    }
}

/// Chooses a target of a service; none if each holds as many flows as it may.
pub fn choose_target<L, R, S>(
    criteria: &Criteria<'_, L, R, S>,
    service: key::Service,
) -> Option<Choice>
where
    L: Fn(key::Target) -> snapshot::Load,
    R: Fn(key::Target, &snapshot::Target) -> Rank,
    S: Fn(key::Target) -> f64,
{
    let pool = criteria.snapshot.pools.get(service.index())?;
    let (local, others) = pool.targets.split_at(pool.local);
    let drawn = draw(local, LOCAL_DRAWS, criteria.flow >> 32)
        .chain(draw(others, OTHER_DRAWS, criteria.flow))
        .filter_map(|key| candidate(criteria, *key));
    best(criteria, service, drawn)
        .filter(|found| found.rank <= Rank::Avoided)
        .or_else(|| {
            let all = pool.targets.iter();
            best(
                criteria,
                service,
                all.filter_map(|key| candidate(criteria, *key)),
            )
        })
        .map(|found| Choice {
            expectation: expectation(criteria, &found),
            target: found.key,
        })
}

/// What one more request is expected to take on a target.
fn expectation<L, R, S>(
    criteria: &Criteria<'_, L, R, S>,
    found: &Candidate<'_>,
) -> estimate::Expectation {
    let slots = u32::from(found.target.slots.max(1));
    let known = found.load + found.remote;
    let ahead = f64::from((known.waiting + 1).saturating_sub(slots)) / f64::from(slots);
    estimate::Expectation::new(criteria.usual.mul_f64(found.slowness), ahead)
}

/// Whether a target may get the first packet of a flow of a route.
pub fn may_open(snapshot: &snapshot::Snapshot, route: &snapshot::Route, key: key::Target) -> bool {
    let Some(target) = snapshot.target(key) else {
        return false;
    };
    // Recently removed targets may take new flows if a service has no others.
    let pool = snapshot.pools.get(target.service.index());
    let is_eligible = target.eligibility == snapshot::Eligibility::NewFlows
        || pool.is_some_and(|pool| pool.targets.contains(&key));
    let region = target.region;
    let is_in_region = region.is_some_and(|region| route.regions.contains(&region));
    is_eligible && (route.regions.is_empty() || is_in_region)
}

/// Some targets, from a random position on.
fn draw(
    targets: &[key::Target],
    count: usize,
    position: u64,
) -> impl Clone + Iterator<Item = &key::Target> {
    let start = position as usize % targets.len().max(1);
    let (before, after) = targets.split_at(start);
    after.iter().chain(before).take(count)
}

/// A target as a candidate; none if it holds as many flows as it may.
fn candidate<'a, L, R, S>(
    criteria: &Criteria<'a, L, R, S>,
    key: key::Target,
) -> Option<Candidate<'a>>
where
    L: Fn(key::Target) -> snapshot::Load,
    R: Fn(key::Target, &snapshot::Target) -> Rank,
    S: Fn(key::Target) -> f64,
{
    let target = criteria.snapshot.target(key)?;
    let rank = (criteria.rank)(key, target);
    let load = (criteria.load)(key);
    let remote = criteria.snapshot.remote(key).load;
    let slowness = (criteria.slowness)(key);
    let is_cold = criteria.now < target.cold_until;
    let has_room = load.held + remote.held < target.max_connections;
    (rank != Rank::Excluded && has_room).then(|| Candidate {
        key,
        load,
        rank,
        remote,
        slowness: if is_cold {
            slowness.max(COLD_SLOWNESS)
        } else {
            slowness
        },
        target,
    })
}

/// The best of two candidates of the own zone, or of the others.
fn best<'a, L, R, S>(
    criteria: &Criteria<'_, L, R, S>,
    service: key::Service,
    candidates: impl Clone + Iterator<Item = Candidate<'a>>,
) -> Option<Candidate<'a>> {
    let limit = worst_usable_rank(candidates.clone())?;
    let usable = candidates.filter(|found| found.rank <= limit);
    let of_zone = |is_own: bool| {
        usable
            .clone()
            .filter(move |found| (criteria.snapshot.zone == Some(found.target.zone)) == is_own)
    };
    let own = Demand::over(of_zone(true));
    let others = Demand::over(of_zone(false));
    let known = criteria.snapshot.demands.get(service.index());
    let known = known.copied().unwrap_or_default();
    // If only the own zone reports, as after a start, the others only seem to be idle.
    let is_unknown = known.others <= 0.0 && known.own > 0.0;
    let spill = if is_unknown {
        0.0
    } else {
        spill_share(own.waiting + known.own, others.waiting + known.others)
    };
    let goes_out = spill > unit(hash::score(criteria.flow, 0));
    let of = |is_own: bool| {
        let demand = if is_own { own } else { others };
        cheapest(criteria, demand, of_zone(is_own))
    };
    let found = of(!goes_out).or_else(|| of(goes_out))?;
    Some(found.candidate)
}

/// Share of the new flows that goes to other zones, by the waiting flows for each slot.
fn spill_share(own: f64, others: f64) -> f64 {
    if own < SPILL_MIN_USE {
        return 0.0;
    }
    (SPILL_GAIN * (1.0 - SPILL_MARGIN * others / own)).min(MAX_SPILL)
}

/// The rank up to which candidates are used: the best one found. If few are healthy, avoided ones
/// are used too, since a general delay looks like the failure of many targets.
fn worst_usable_rank<'a>(candidates: impl Clone + Iterator<Item = Candidate<'a>>) -> Option<Rank> {
    let rank = candidates.clone().map(|found| found.rank).min()?;
    let healthy = candidates
        .clone()
        .filter(|found| found.rank == Rank::Healthy)
        .count();
    if rank == Rank::Healthy && healthy * MIN_HEALTHY_PART < candidates.count() {
        return Some(Rank::Avoided);
    }
    Some(rank)
}

/// The cheaper of two candidates that are drawn by weight.
fn cheapest<'a, L, R, S>(
    criteria: &Criteria<'_, L, R, S>,
    demand: Demand,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<Estimate<'a>> {
    let mut first: Option<Estimate<'a>> = None;
    let mut second: Option<Estimate<'a>> = None;
    for candidate in candidates {
        // The least of exponentially distributed numbers with the weights as rates.
        let point = 1.0 - unit(hash::score(criteria.flow, candidate.target.id.0));
        let drawn = Some(Estimate {
            candidate,
            cost: cost(demand, &candidate),
            draw: -point.ln() / weight(demand, &candidate),
        });
        if first.is_none_or(|found| drawn.is_some_and(|drawn| drawn.draw < found.draw)) {
            second = std::mem::replace(&mut first, drawn);
        } else if second.is_none_or(|found| drawn.is_some_and(|drawn| drawn.draw < found.draw)) {
            second = drawn;
        }
    }
    first.into_iter().chain(second).min_by(Estimate::order)
}

/// A hash as a number from 0 to 1, 1 excluded.
fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

impl Demand {
    fn over<'a>(candidates: impl Iterator<Item = Candidate<'a>>) -> Self {
        let mut flows = 0.0;
        let mut own = snapshot::Load::default();
        let mut capacity = 0.0;
        let mut slots = 0;
        for found in candidates {
            flows += found.flows();
            own = own + found.load;
            capacity += found.capacity();
            slots += u32::from(found.target.slots);
        }
        if slots == 0 {
            return Self::default();
        }
        let occupancy = f64::from(own.waiting) / f64::from(own.flows.max(1));
        Self {
            flows: flows / capacity,
            occupancy: occupancy.clamp(MIN_OCCUPANCY, 1.0),
            waiting: f64::from(own.waiting) / f64::from(slots),
        }
    }
}

/// Weight with which a candidate is drawn.
fn weight(demand: Demand, found: &Candidate<'_>) -> f64 {
    let share = demand.flows * found.capacity();
    let relative = (found.flows() + BALANCE_PRIOR) / (share + BALANCE_PRIOR);
    let balance = (1.0 + BALANCE_GAIN * (1.0 - relative)).max(MIN_BALANCE);
    let late = (SLOW / found.slowness).min(1.0);
    found.capacity() * late * balance
}

/// Load of a candidate by own counts, in usual times of a request.
fn cost(demand: Demand, found: &Candidate<'_>) -> f64 {
    let Candidate { load, target, .. } = *found;
    let queued = load.waiting.saturating_sub(u32::from(target.slots));
    let wanted = demand.occupancy * f64::from(load.flows) + f64::from(queued);
    wanted / found.capacity()
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
