//! Builds the immutable snapshot that traffic threads read.
//!
//! Names are interned, so that the keys of services and zones stay the same for the life of the
//! process. What depends only on the set of targets or on the configuration is kept until these
//! change. What depends on the time, such as the age of a missing registration, is computed for
//! each snapshot.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::CompactString;

use crate::coordination::cookie::registry;
use crate::state::{catalog, key, snapshot, time};

/// Age up to which registry data suffices to refuse a flow; a change must be in force within three
/// seconds.
const FRESH_FOR: time::Duration = time::Duration::from_millis(2_500);
/// Time for which a registration must have been missing before its target counts as ended; a living
/// target registers again within about two seconds.
const ENDED_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// Time after the start at which this instance has seen every configuration under which a flow that
/// is still open can have started: the longest life of a flow, 60 s, and a margin.
const ROUTE_HISTORY: time::Duration = time::Duration::from_secs(65);
/// Time for which a service without registrations keeps its former targets. A living target
/// registers again within about two seconds, and the limit for new flows is three seconds.
const RECENTLY_REMOVED_FOR: time::Duration = time::Duration::from_millis(2_300);

/// Load of a target that peers report, and the last progress of its flows with them.
pub type PeerLoad = (snapshot::Load, time::Instant);

/// Names, each with a number that never changes.
#[derive(Clone, Debug, Default)]
struct Interner {
    index: HashMap<CompactString, usize>,
    list: Arc<Vec<CompactString>>,
}

impl Interner {
    /// Returns the number of a name; a new name gets the next number.
    fn intern(&mut self, name: &CompactString) -> usize {
        if let Some(index) = self.index.get(name) {
            return *index;
        }
        let index = self.list.len();
        self.index.insert(name.clone(), index);
        Arc::make_mut(&mut self.list).push(name.clone());
        index
    }
}

/// State that is kept between snapshots.
#[derive(Clone, Debug)]
pub struct Builder {
    connections: HashMap<key::Service, u32>,
    cookies: Arc<HashMap<snapshot::Cookie, key::Target>>,
    generation: u64,
    /// Services to which each address has routed new flows since the process started.
    service_history: HashMap<SocketAddrV4, Vec<key::Service>>,
    /// Membership generation of the registry from which `cookies` was built.
    membership_generation: Option<u64>,
    routes: Arc<HashMap<SocketAddrV4, snapshot::Route>>,
    services: Interner,
    started: time::Instant,
    version: u64,
    zones: Interner,
}

impl Builder {
    /// A builder for an instance in `zone` that started at `now`.
    pub fn new(zone: &CompactString, now: time::Instant) -> Self {
        let mut zones = Interner::default();
        zones.intern(zone);
        Self {
            connections: HashMap::new(),
            cookies: Arc::default(),
            generation: 0,
            service_history: HashMap::new(),
            membership_generation: None,
            routes: Arc::default(),
            services: Interner::default(),
            started: now,
            version: 0,
            zones,
        }
    }

    /// The name of a service.
    pub fn service_name(&self, key: key::Service) -> Option<&CompactString> {
        self.services.list.get(key.index())
    }

    /// Builds the snapshot of `registry` at `now`. `peer_loads` holds what peers report, by cookie.
    pub fn build(
        &mut self,
        now: time::Instant,
        registry: &registry::Registry,
        peer_loads: &HashMap<u32, PeerLoad>,
    ) -> snapshot::Snapshot {
        self.update_config(registry);
        self.update_cookies(registry);
        let age = registry.age(now).unwrap_or(time::Duration::MAX);
        let fresh = age < FRESH_FOR;
        let mut targets = vec![None; registry.targets.slot_count()];
        let mut placeable: Vec<Vec<key::Target>> = Vec::new();
        let mut recently_removed: Vec<Vec<key::Target>> = Vec::new();
        for (key, record) in registry.targets.iter() {
            let target = self.build_target(now, registry, record, peer_loads, fresh);
            // Of two targets with the same cookie, only the one with the lower identifier takes new
            // flows.
            let shadowed = self.cookies.get(&record.cookie) != Some(&key);
            for list in [&mut placeable, &mut recently_removed] {
                list.resize(self.services.list.len(), Vec::new());
            }
            if target.eligibility == snapshot::Eligibility::NewFlows && !shadowed {
                placeable[target.service.index()].push(key);
            } else if is_recently_removed(now, record) {
                recently_removed[target.service.index()].push(key);
            }
            targets[key.index()] = Some(target);
        }
        // If all registrations of a service vanish at once, they have more likely lapsed together
        // than that all its targets have ended, so the recently removed targets take new flows.
        for (placeable, recently_removed) in placeable.iter_mut().zip(recently_removed) {
            if placeable.is_empty() {
                *placeable = recently_removed;
            }
        }
        self.generation += 1;
        snapshot::Snapshot {
            age,
            as_of: registry.as_of,
            cookies: Arc::clone(&self.cookies),
            fresh,
            generation: self.generation,
            routes: Arc::clone(&self.routes),
            services: placeable,
            history_complete: now.since(self.started) >= ROUTE_HISTORY,
            targets,
            version: registry.version(),
            zone: Some(key::Zone(0)),
            zones: Arc::clone(&self.zones.list),
        }
    }

    fn build_target(
        &mut self,
        now: time::Instant,
        registry: &registry::Registry,
        record: &registry::Record,
        peer_loads: &HashMap<u32, PeerLoad>,
        fresh: bool,
    ) -> snapshot::Target {
        let service = key::Service::from(self.services.intern(&record.details.service));
        let (count, last_progress) = peer_loads
            .get(&record.cookie.0)
            .copied()
            .unwrap_or_default();
        snapshot::Target {
            address: record.details.address,
            cold_until: record.cold_until,
            max_connections: self.connections.get(&service).copied().unwrap_or(u32::MAX),
            cookie: record.cookie,
            remote_load: count,
            id: record.id,
            last_progress,
            service,
            slots: record.details.slots,
            eligibility: eligibility(now, registry, record, fresh),
            zone: self.zones.intern(&record.details.zone).into(),
        }
    }

    /// Rebuilds the cookies if the set of targets has changed.
    fn update_cookies(&mut self, registry: &registry::Registry) {
        if self.membership_generation == Some(registry.membership_generation) {
            return;
        }
        self.membership_generation = Some(registry.membership_generation);
        let mut cookies: HashMap<snapshot::Cookie, (key::Id, key::Target)> = HashMap::new();
        for (key, record) in registry.targets.iter() {
            let kept = cookies.entry(record.cookie).or_insert((record.id, key));
            if record.id < kept.0 {
                *kept = (record.id, key);
            }
        }
        let cookies = cookies.into_iter().map(|(cookie, (_, key))| (cookie, key));
        self.cookies = Arc::new(cookies.collect());
    }

    /// Rebuilds routes and connection limits if the version of the configuration has changed.
    fn update_config(&mut self, registry: &registry::Registry) {
        let Some(config) = &registry.config else {
            return;
        };
        if config.version == self.version {
            return;
        }
        self.version = config.version;
        let routes = config.routes.iter();
        self.routes = Arc::new(routes.map(|route| self.build_route(route)).collect());
        let limits = config.services.iter();
        self.connections = limits
            .map(|service| {
                let key = self.services.intern(&service.name);
                (key.into(), service.max_connections)
            })
            .collect();
    }

    fn build_route(&mut self, route: &catalog::Route) -> (SocketAddrV4, snapshot::Route) {
        let branches: Vec<snapshot::Branch> = route
            .branches
            .iter()
            .map(|branch| snapshot::Branch {
                service: self.services.intern(&branch.service).into(),
                weight: branch.weight,
            })
            .collect();
        let history = self.service_history.entry(route.address).or_default();
        let used = branches.iter().filter(|branch| branch.weight > 0);
        let seen: HashSet<key::Service> = history.iter().copied().collect();
        let new = used.map(|branch| branch.service);
        history.extend(new.filter(|service| !seen.contains(service)));
        let found = snapshot::Route {
            branches,
            idempotency: route.idempotency,
            service_history: history.clone(),
        };
        (route.address, found)
    }
}

fn eligibility(
    now: time::Instant,
    registry: &registry::Registry,
    record: &registry::Record,
    fresh: bool,
) -> snapshot::Eligibility {
    let gone_for = record.missing_since.map(|since| now.since(since));
    match record.status {
        registry::Status::Present if record.details.state == catalog::State::Draining => {
            snapshot::Eligibility::ExistingFlows
        }
        registry::Status::Present | registry::Status::Lapsed => snapshot::Eligibility::NewFlows,
        registry::Status::Removed
            if fresh
                && registry.is_removal_conclusive(now)
                && gone_for.is_some_and(|gone| gone >= ENDED_AFTER) =>
        {
            snapshot::Eligibility::Ended
        }
        registry::Status::Removed | registry::Status::Unreadable => {
            snapshot::Eligibility::ExistingFlows
        }
    }
}

fn is_recently_removed(now: time::Instant, record: &registry::Record) -> bool {
    let gone = record.missing_since.map(|since| now.since(since));
    record.status == registry::Status::Removed
        && record.details.state == catalog::State::Active
        && gone.is_some_and(|gone| gone < RECENTLY_REMOVED_FOR)
}
