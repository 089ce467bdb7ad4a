//! Services and targets of the sheet in force and of earlier revisions, as the control thread keeps
//! them.
//!
//! Keys stay the same for the lifetime of the process, because flow entries refer to them. A target
//! that a new sheet no longer contains keeps its key, and its open flows are forwarded until they
//! end.

use std::collections::HashMap;

use crate::coordination::{bucket, burn, hash, health, home_table, message};
use crate::state::{arena, fleet, key, time, view};

/// A target of this or an earlier revision.
#[derive(Clone, Debug)]
pub struct Target {
    /// Time from which packets of open flows are no longer forwarded.
    pub deadline: time::Instant,
    /// Result of the health evaluation.
    pub health: health::Status,
    /// Definition in the last sheet that contains the target.
    pub spec: fleet::Target,
    /// Stable identifier.
    pub id: key::Id,
    /// Whether it is active in the current sheet.
    pub active: bool,
    /// Key of its service in the inventory.
    pub service: key::Service,
}

/// A service of this or an earlier revision.
#[derive(Clone, Debug)]
pub struct Service {
    /// Buckets and their stages.
    pub buckets: bucket::Table,
    /// Good and bad events of its objectives.
    pub burn: burn::History,
    /// Definition in the last sheet that contains the service.
    pub spec: fleet::Service,
    /// Whether the current sheet contains it.
    pub in_sheet: bool,
    /// Current share of the buckets that are always tracked, in per mille.
    pub flexible_share: u16,
    /// Targets in the current sheet.
    pub targets: Vec<key::Target>,
}

/// All known services and targets.
#[derive(Clone, Debug, Default)]
pub struct Inventory {
    /// Targets by stable identifier.
    pub targets_by_id: HashMap<key::Id, key::Target>,
    /// Services.
    pub services: arena::Arena<key::Service, Service>,
    /// Targets.
    pub targets: arena::Arena<key::Target, Target>,
    services_by_id: HashMap<key::Id, key::Service>,
}

/// Stable identifier of a named item.
pub fn stable_id(text: &str) -> key::Id {
    let hash = blake3::hash(text.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    key::Id(u64::from_le_bytes(bytes))
}

impl Inventory {
    /// Applies an accepted sheet.
    pub fn apply(&mut self, now: time::Instant, sheet: &fleet::Sheet, next_version: u32) {
        let service_keys: Vec<key::Service> = sheet
            .services
            .iter()
            .map(|spec| self.apply_service(now, spec))
            .collect();
        self.retire_all(&service_keys);
        for spec in &sheet.targets {
            let service = service_keys[spec.service.index()];
            self.apply_target(now, service, spec);
        }
        for service in service_keys {
            self.update_homes(now, service, next_version);
        }
    }

    fn apply_service(&mut self, now: time::Instant, spec: &fleet::Service) -> key::Service {
        let id = stable_id(&spec.name);
        if let Some(key) = self.services_by_id.get(&id).copied() {
            if let Some(service) = self.services.get_mut(key) {
                service.spec = spec.clone();
                service.flexible_share = service.flexible_share.min(spec.flexible_share);
                service.in_sheet = true;
            }
            return key;
        }
        let key = self.services.insert(Service {
            buckets: bucket::Table::new(id, &[], now),
            burn: burn::History::default(),
            spec: spec.clone(),
            in_sheet: true,
            flexible_share: spec.flexible_share,
            targets: Vec::new(),
        });
        self.services_by_id.insert(id, key);
        key
    }

    /// Marks services outside `in_sheet` and all targets as absent from the new sheet;
    /// `apply_target` adds those that it contains.
    fn retire_all(&mut self, in_sheet: &[key::Service]) {
        for (key, service) in self.services.iter_mut() {
            service.in_sheet = in_sheet.contains(&key);
            service.targets.clear();
        }
        for (_, target) in self.targets.iter_mut() {
            target.active = false;
        }
    }

    fn apply_target(&mut self, now: time::Instant, service: key::Service, spec: &fleet::Target) {
        let Some(parent) = self.services.get_mut(service) else {
            return;
        };
        let id = spec.id(&parent.spec);
        let active = spec.state == fleet::State::Active;
        let known = self.targets_by_id.get(&id).copied();
        let key = match known.and_then(|key| Some((key, self.targets.get_mut(key)?))) {
            Some((key, target)) => {
                if target.spec.state != spec.state {
                    target.deadline = deadline(now, spec.state);
                }
                target.spec = spec.clone();
                target.active = active;
                key
            }
            None => self.targets.insert(Target {
                deadline: deadline(now, spec.state),
                health: health::Status {
                    weight_percent: health::FULL_WEIGHT_PERCENT,
                    fitness: view::Fitness::Fit,
                },
                spec: spec.clone(),
                id,
                active,
                service,
            }),
        };
        self.targets_by_id.insert(id, key);
        parent.targets.push(key);
    }

    /// Looks up a service by its stable identifier.
    pub fn service_by_id(&mut self, id: key::Id) -> Option<&mut Service> {
        let key = self.services_by_id.get(&id).copied()?;
        self.services.get_mut(key)
    }

    /// Adds a target that the sheet no longer contains; returns whether it was unknown.
    pub fn apply_retired(&mut self, retired: &message::Retired) -> bool {
        let Some(service_key) = self.services_by_id.get(&retired.service).copied() else {
            return false;
        };
        let Some(service) = self.services.get(service_key) else {
            return false;
        };
        let spec = fleet::Target {
            address: retired.address,
            max_connections: 0,
            state: fleet::State::Draining { deadline: None },
            health: None,
            name: retired.name.clone(),
            service: service_key,
            slots: 0,
            zone: key::Zone(0),
        };
        let id = spec.id(&service.spec);
        if self.targets_by_id.contains_key(&id) {
            return false;
        }
        let key = self.targets.insert(Target {
            deadline: time::Instant::NEVER,
            health: health::Status {
                weight_percent: 0,
                fitness: view::Fitness::Closed,
            },
            spec,
            id,
            active: false,
            service: service_key,
        });
        self.targets_by_id.insert(id, key);
        true
    }

    fn update_homes(&mut self, now: time::Instant, key: key::Service, next_version: u32) {
        let Some(service) = self.services.get(key) else {
            return;
        };
        let members: Vec<home_table::Member> = service
            .targets
            .iter()
            .filter_map(|key| Some((*key, self.targets.get(*key)?)))
            .filter(|(_, target)| target.active)
            .map(|(key, target)| home_table::Member {
                name: target.id,
                target: key,
                weight: target.spec.slots,
            })
            .collect();
        let buckets = service.spec.buckets as usize;
        let homes = home_table::homes(service.buckets.service, buckets, &members);
        let idle = service.spec.idle_timeout;
        let Some(service) = self.services.get_mut(key) else {
            return;
        };
        if homes.is_empty() && !service.buckets.buckets.is_empty() {
            // Without an active target the former homes stay, because open flows still go there.
            return;
        }
        service
            .buckets
            .update_homes(&homes, now, idle, next_version);
    }

    /// Whether a target takes its full share of new flows.
    pub fn is_fit(&self, key: key::Target) -> bool {
        self.targets.get(key).is_some_and(|target| {
            target.active
                && target.health.fitness == view::Fitness::Fit
                && target.health.weight_percent == health::FULL_WEIGHT_PERCENT
        })
    }

    /// Whether a target has failed.
    pub fn is_failed(&self, key: key::Target) -> bool {
        self.targets
            .get(key)
            .is_some_and(|target| target.health.fitness == view::Fitness::Failed)
    }

    /// A target for the traffic threads' view; `load` is its open flows at other instances.
    pub fn view_target(&self, key: key::Target, load: i64) -> Option<view::Target> {
        let target = self.targets.get(key)?;
        let fitness = match target.health.fitness {
            view::Fitness::Fit if !target.active => view::Fitness::Closed,
            fitness => fitness,
        };
        Some(view::Target {
            address: target.spec.address,
            max_connections: target.spec.max_connections,
            drain_deadline: target.deadline,
            fitness,
            remote_flows: load,
            id: target.id,
            service: target.service,
            weight: target.spec.slots * target.health.weight_percent,
        })
    }
}

fn deadline(now: time::Instant, state: fleet::State) -> time::Instant {
    match state {
        fleet::State::Draining {
            deadline: Some(deadline),
        } => now + deadline,
        _ => time::Instant::NEVER,
    }
}

/// Whether `instance` is among the `count` highest-ranked of `candidates` for an item.
pub fn is_top_ranked(
    id: key::Id,
    instance: key::Instance,
    candidates: impl IntoIterator<Item = key::Instance>,
    count: usize,
) -> bool {
    let own = hash::score(id.0, u64::from(instance.0));
    candidates
        .into_iter()
        .filter(|other| *other != instance && hash::score(id.0, u64::from(other.0)) > own)
        .count()
        < count
}
