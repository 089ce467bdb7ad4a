//! Comparison of two sheets: changed services and targets, and buckets whose home moves.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coordination::{home_table, inventory};
use crate::state::{fleet, key};

/// Changes of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Targets that the new sheet adds.
    pub added: Vec<CompactString>,
    /// Number of buckets.
    pub buckets: u32,
    /// Targets that drain in the new sheet but not in the old one.
    pub draining: Vec<CompactString>,
    /// Number of buckets whose home moves. They are tracked until all flows of the former home are
    /// known.
    pub moved: u32,
    /// Name of the service.
    pub name: CompactString,
    /// Targets that the new sheet removes.
    pub removed: Vec<CompactString>,
    /// Targets that drain in the old sheet but not in the new one, and so take new flows again.
    pub returned: Vec<CompactString>,
}

/// Changes between two sheets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Services that the new sheet adds.
    pub added: Vec<CompactString>,
    /// Services that the new sheet removes.
    pub removed: Vec<CompactString>,
    /// Services in both sheets that change.
    pub services: Vec<Service>,
}

/// Compares two accepted sheets.
pub fn between(old: &fleet::Sheet, new: &fleet::Sheet) -> Change {
    let names = |sheet: &fleet::Sheet| -> BTreeSet<CompactString> {
        sheet
            .services
            .iter()
            .map(|service| service.name.clone())
            .collect()
    };
    let (before, after) = (names(old), names(new));
    let services = before
        .intersection(&after)
        .filter_map(|name| service_change(name, old, new))
        .collect();
    Change {
        added: after.difference(&before).cloned().collect(),
        removed: before.difference(&after).cloned().collect(),
        services,
    }
}

fn targets<'a>(sheet: &'a fleet::Sheet, name: &str) -> BTreeMap<CompactString, &'a fleet::Target> {
    sheet
        .targets
        .iter()
        .filter(|target| {
            sheet
                .services
                .get(target.service.index())
                .is_some_and(|service| service.name == name)
        })
        .map(|target| (target.name.clone(), target))
        .collect()
}

fn service_change(name: &str, old: &fleet::Sheet, new: &fleet::Sheet) -> Option<Service> {
    let (before, after) = (targets(old, name), targets(new, name));
    let drains = |target: &fleet::Target| target.state != fleet::State::Active;
    let in_both = || {
        before
            .iter()
            .filter_map(|(name, old)| Some((name, *old, *after.get(name)?)))
    };
    let service = Service {
        added: after
            .keys()
            .filter(|name| !before.contains_key(*name))
            .cloned()
            .collect(),
        buckets: new
            .services
            .iter()
            .find(|service| service.name == name)?
            .buckets,
        draining: in_both()
            .filter(|(_, old, new)| !drains(old) && drains(new))
            .map(|(name, _, _)| name.clone())
            .collect(),
        moved: count_moved_buckets(name, old, new),
        name: name.into(),
        removed: before
            .keys()
            .filter(|name| !after.contains_key(*name))
            .cloned()
            .collect(),
        returned: in_both()
            .filter(|(_, old, new)| drains(old) && !drains(new))
            .map(|(name, _, _)| name.clone())
            .collect(),
    };
    let is_unchanged = service.moved == 0
        && service.added.is_empty()
        && service.draining.is_empty()
        && service.removed.is_empty()
        && service.returned.is_empty();
    (!is_unchanged).then_some(service)
}

/// The stable identifier of each bucket's home.
pub fn homes(name: &str, sheet: &fleet::Sheet) -> Vec<key::Id> {
    let Some(service) = sheet.services.iter().find(|service| service.name == name) else {
        return Vec::new();
    };
    let members: Vec<home_table::Member> = targets(sheet, name)
        .values()
        .filter(|target| target.state == fleet::State::Active)
        .enumerate()
        .map(|(index, target)| home_table::Member {
            name: target.id(service),
            target: key::Target::from(index),
            weight: target.slots,
        })
        .collect();
    home_table::homes(
        inventory::stable_id(name),
        service.buckets as usize,
        &members,
    )
    .into_iter()
    .map(|target| members[target.index()].name)
    .collect()
}

fn count_moved_buckets(name: &str, old: &fleet::Sheet, new: &fleet::Sheet) -> u32 {
    let (before, after) = (homes(name, old), homes(name, new));
    before
        .iter()
        .zip(&after)
        .filter(|(old, new)| old != new)
        .count() as u32
}
