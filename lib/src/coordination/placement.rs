//! Choice of a target for a new flow of a tracked bucket.
//!
//! A target's load is the last reports of the other instances plus this shard's own open flows.
//! While reports are old, instances that always take the least loaded target all pick the same one
//! (herding). The choice is therefore among a few random candidates, and the home keeps the flow
//! unless a candidate is clearly better, since a flow at its home needs no replica.

use crate::state::{key, random, view};

/// Parameters of the choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Random candidates besides the home.
    pub candidates: usize,
    /// Margin by which a candidate must be less loaded than the home to be chosen, as a share of
    /// the home's load.
    pub margin_per_mille: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            candidates: 4,
            margin_per_mille: 60,
        }
    }
}

/// Load of a target relative to its weight, scaled so that it can be compared as an integer.
fn relative_load(target: &view::Target, own: i64) -> u64 {
    (open_flows(target, own) + 1) * 1_000_000 / u64::from(target.weight.max(1))
}

/// Open flows on a target: those that the other instances report and `own`, those that this shard
/// counts.
pub fn open_flows(target: &view::Target, own: i64) -> u64 {
    (target.remote_flows + own).max(0) as u64
}

/// Whether a target can take one more flow.
pub fn accepts(target: &view::Target, own: i64) -> bool {
    target.fitness == view::Fitness::Fit
        && target.weight > 0
        && open_flows(target, own) < u64::from(target.max_connections)
}

/// Chooses a target of `service` for a new flow; none if no target can take one. `own` gives the
/// open flows that this shard counts on a target.
pub fn choose(
    policy: Policy,
    view: &view::View,
    service: &view::Service,
    home: key::Target,
    own: impl Fn(key::Target) -> i64,
    random: &mut random::Source,
) -> Option<key::Target> {
    let load = |key: key::Target| {
        let target = view.target(key)?;
        let own = own(key);
        accepts(target, own).then(|| relative_load(target, own))
    };
    let home_load = load(home);
    let mut best: Option<(u64, key::Target)> = None;
    for _ in 0..policy.candidates.min(service.targets.len()) {
        let candidate = service.targets[random.below(service.targets.len())];
        if let Some(load) = load(candidate)
            && best.is_none_or(|(least, _)| load < least)
        {
            best = Some((load, candidate));
        }
    }
    match (home_load, best) {
        (Some(at_home), Some((load, candidate))) => {
            let limit = at_home - at_home * u64::from(policy.margin_per_mille) / 1_000;
            Some(if load < limit { candidate } else { home })
        }
        (Some(_), None) => Some(home),
        (None, Some((_, candidate))) => Some(candidate),
        (None, None) => least_loaded(service, load),
    }
}

/// The least loaded target that accepts a flow; needed only if neither the home nor a candidate
/// does.
fn least_loaded(
    service: &view::Service,
    load: impl Fn(key::Target) -> Option<u64>,
) -> Option<key::Target> {
    service
        .targets
        .iter()
        .filter_map(|key| load(*key).map(|load| (load, *key)))
        .min()
        .map(|(_, key)| key)
}
