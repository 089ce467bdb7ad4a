//! How much of each service's capacity is left while zones are evacuated.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::coordination::cookie::registry;
use crate::state::{key, snapshot};

/// The slots of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Slots of targets in evacuated zones, which would take new flows otherwise.
    pub evacuated: u32,
    /// Name of the service.
    pub service: CompactString,
    /// Slots of targets that take new flows.
    pub usable: u32,
}

/// The slots of each service, in order of the names.
pub fn capacities<'a>(
    snapshot: &snapshot::Snapshot,
    registry: &registry::Registry,
    service_name: impl Fn(key::Service) -> Option<&'a CompactString>,
) -> Vec<Capacity> {
    let mut capacities: BTreeMap<&CompactString, Capacity> = BTreeMap::new();
    let mut add = |service: &'a CompactString, evacuated: u16, usable: u16| {
        let capacity = capacities.entry(service).or_insert_with(|| Capacity {
            evacuated: 0,
            service: service.clone(),
            usable: 0,
        });
        capacity.evacuated += u32::from(evacuated);
        capacity.usable += u32::from(usable);
    };
    for (index, pool) in snapshot.pools.iter().enumerate() {
        let Some(name) = service_name(key::Service::from(index)) else {
            continue;
        };
        for target in pool.targets.iter().filter_map(|key| snapshot.target(*key)) {
            add(name, 0, target.slots);
        }
    }
    for (key, record) in registry.targets.iter() {
        let evacuated = registry.evacuations.is_active(&record.details.zone);
        let target = snapshot.target(key).filter(|_| evacuated);
        let name = target.and_then(|target| service_name(target.service));
        if let Some(name) = name.filter(|_| record.is_active()) {
            add(name, record.details.slots, 0);
        }
    }
    capacities.into_values().collect()
}
