//! What the control thread keeps of services and targets across revisions.
//!
//! Keys of this ledger stay the same while the process lives, so flow entries may hold them: a
//! target that a new sheet no longer names keeps its key and serves its open flows to their end.

use std::collections::HashMap;

use crate::coordination::{bucket, burn, hash, health, message, table};
use crate::state::{arena, fleet, key, time, view};

/// One target, of this or an earlier revision.
#[derive(Clone, Debug)]
pub struct Target {
    /// When packets of open flows stop being forwarded.
    pub deadline: time::Instant,
    /// Verdict of the health decisions.
    pub health: health::Verdict,
    /// What the sheet says.
    pub item: fleet::Target,
    /// Stable identifier.
    pub name: key::Name,
    /// Whether the present sheet names it as active.
    pub active: bool,
    /// The service, by the ledger's key.
    pub service: key::Service,
}

/// One service, of this or an earlier revision.
#[derive(Clone, Debug)]
pub struct Service {
    /// Buckets.
    pub buckets: bucket::Table,
    /// Events for its objectives.
    pub burn: burn::History,
    /// What the sheet says.
    pub item: fleet::Service,
    /// Whether the present sheet names it.
    pub present: bool,
    /// Share of the buckets that are always tracked at present, in per mille.
    pub share: u16,
    /// Targets that the present sheet names.
    pub targets: Vec<key::Target>,
}

/// All services and targets known.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Targets by stable identifier.
    pub names: HashMap<key::Name, key::Target>,
    /// Services.
    pub services: arena::Arena<key::Service, Service>,
    /// Targets.
    pub targets: arena::Arena<key::Target, Target>,
    service_names: HashMap<key::Name, key::Service>,
}

/// Stable identifier of a named item.
pub fn name_of(text: &str) -> key::Name {
    let hash = blake3::hash(text.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    key::Name(u64::from_le_bytes(bytes))
}

impl Ledger {
    /// Takes an accepted sheet.
    pub fn apply(&mut self, now: time::Instant, sheet: &fleet::Sheet, next_version: u32) {
        let service_keys: Vec<key::Service> = sheet
            .services
            .iter()
            .map(|item| self.apply_service(now, item))
            .collect();
        self.retire_all(&service_keys);
        for item in &sheet.targets {
            let service = service_keys[item.service.index()];
            self.apply_target(now, service, item);
        }
        for service in service_keys {
            self.rehome(now, service, next_version);
        }
    }

    fn apply_service(&mut self, now: time::Instant, item: &fleet::Service) -> key::Service {
        let name = name_of(&item.name);
        if let Some(key) = self.service_names.get(&name).copied() {
            if let Some(service) = self.services.get_mut(key) {
                service.item = item.clone();
                service.share = service.share.min(item.flexible_share);
                service.present = true;
            }
            return key;
        }
        let key = self.services.insert(Service {
            buckets: bucket::Table::new(name, &[], now),
            burn: burn::History::default(),
            item: item.clone(),
            present: true,
            share: item.flexible_share,
            targets: Vec::new(),
        });
        self.service_names.insert(name, key);
        key
    }

    /// Takes everything out of use that the new sheet may not name.
    fn retire_all(&mut self, present: &[key::Service]) {
        for (key, service) in self.services.iter_mut() {
            service.present = present.contains(&key);
            service.targets.clear();
        }
        for (_, target) in self.targets.iter_mut() {
            target.active = false;
        }
    }

    fn apply_target(&mut self, now: time::Instant, service: key::Service, item: &fleet::Target) {
        let Some(owner) = self.services.get_mut(service) else {
            return;
        };
        let name = item.id(&owner.item);
        let active = item.duty == fleet::Duty::Active;
        let known = self.names.get(&name).copied();
        let key = match known.and_then(|key| Some((key, self.targets.get_mut(key)?))) {
            Some((key, target)) => {
                if target.item.duty != item.duty {
                    target.deadline = deadline(now, item.duty);
                }
                target.item = item.clone();
                target.active = active;
                key
            }
            None => self.targets.insert(Target {
                deadline: deadline(now, item.duty),
                health: health::Verdict {
                    factor: health::FULL_FACTOR,
                    fitness: view::Fitness::Fit,
                },
                item: item.clone(),
                name,
                active,
                service,
            }),
        };
        self.names.insert(name, key);
        owner.targets.push(key);
    }

    /// The service with a stable identifier.
    pub fn service_by_name(&mut self, name: key::Name) -> Option<&mut Service> {
        let key = self.service_names.get(&name).copied()?;
        self.services.get_mut(key)
    }

    /// Takes over a target that no sheet names any more; returns whether it was unknown.
    pub fn apply_retired(&mut self, retired: &message::Retired) -> bool {
        let Some(service_key) = self.service_names.get(&retired.service).copied() else {
            return false;
        };
        let Some(service) = self.services.get(service_key) else {
            return false;
        };
        let item = fleet::Target {
            address: retired.address,
            connections: 0,
            duty: fleet::Duty::Draining { deadline: None },
            health: None,
            name: retired.name.clone(),
            service: service_key,
            slots: 0,
            zone: key::Zone(0),
        };
        let name = item.id(&service.item);
        if self.names.contains_key(&name) {
            return false;
        }
        let key = self.targets.insert(Target {
            deadline: time::Instant::FAR,
            health: health::Verdict {
                factor: 0,
                fitness: view::Fitness::Closed,
            },
            item,
            name,
            active: false,
            service: service_key,
        });
        self.names.insert(name, key);
        true
    }

    fn rehome(&mut self, now: time::Instant, key: key::Service, next_version: u32) {
        let Some(service) = self.services.get(key) else {
            return;
        };
        let members: Vec<table::Member> = service
            .targets
            .iter()
            .filter_map(|key| Some((*key, self.targets.get(*key)?)))
            .filter(|(_, target)| target.active)
            .map(|(key, target)| table::Member {
                name: target.name,
                target: key,
                weight: target.item.slots,
            })
            .collect();
        let buckets = service.item.buckets as usize;
        let homes = table::homes(service.buckets.service, buckets, &members);
        let idle = service.item.idle_timeout;
        let Some(service) = self.services.get_mut(key) else {
            return;
        };
        if homes.is_empty() && !service.buckets.buckets.is_empty() {
            // Without an active target the former homes stay: open flows still go there.
            return;
        }
        service.buckets.rehome(&homes, now, idle, next_version);
    }

    /// Whether a target takes its full share of new flows.
    pub fn is_fit(&self, key: key::Target) -> bool {
        self.targets.get(key).is_some_and(|target| {
            target.active
                && target.health.fitness == view::Fitness::Fit
                && target.health.factor == health::FULL_FACTOR
        })
    }

    /// Whether a target has failed.
    pub fn is_failed(&self, key: key::Target) -> bool {
        self.targets
            .get(key)
            .is_some_and(|target| target.health.fitness == view::Fitness::Failed)
    }

    /// The target as the traffic threads see it.
    pub fn view_target(&self, key: key::Target, load: i64) -> Option<view::Target> {
        let target = self.targets.get(key)?;
        let fitness = match target.health.fitness {
            view::Fitness::Fit if !target.active => view::Fitness::Closed,
            fitness => fitness,
        };
        Some(view::Target {
            address: target.item.address,
            connections: target.item.connections,
            deadline: target.deadline,
            fitness,
            load,
            name: target.name,
            service: target.service,
            weight: target.item.slots * target.health.factor,
        })
    }
}

fn deadline(now: time::Instant, duty: fleet::Duty) -> time::Instant {
    match duty {
        fleet::Duty::Draining {
            deadline: Some(deadline),
        } => now + deadline,
        _ => time::Instant::FAR,
    }
}

/// Whether `instance` is among the `count` best ranked of `candidates` for an item.
pub fn is_chosen(
    item: key::Name,
    instance: key::Instance,
    candidates: impl IntoIterator<Item = key::Instance>,
    count: usize,
) -> bool {
    let own = hash::score(item.0, u64::from(instance.0));
    candidates
        .into_iter()
        .filter(|other| *other != instance && hash::score(item.0, u64::from(other.0)) > own)
        .count()
        < count
}
