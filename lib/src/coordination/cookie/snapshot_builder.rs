//! Builds the immutable snapshot that traffic threads read.
//!
//! Names are interned, so that the keys of services and zones stay the same for the life of the
//! process. What depends on the registry is kept until the registry changes or until the age of a
//! missing registration passes a threshold. Only loads are computed for each snapshot.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::CompactString;

use crate::coordination::cookie::{cookies, estimate, heartbeat, pace, peers, registry, timing};
use crate::coordination::hash;
use crate::state::{arena, bound, catalog, key, snapshot, time};

/// Time for which a registration must have been missing before its target counts as ended; a living
/// target registers again within about two seconds.
const ENDED_AFTER: time::Duration = time::Duration::from_millis(2_500);
/// Time after the start at which this instance has seen every configuration under which a flow that
/// is still open can have started: the longest life of a flow, 60 s, and a margin.
const ROUTE_HISTORY: time::Duration = time::Duration::from_secs(65);

/// Key of the zone of this instance, which is the first that is interned.
const OWN_ZONE: key::Zone = key::Zone(0);
/// What the eligibility of targets depends on; while it stays the same, so do the targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Basis {
    fresh: bool,
    generation: u64,
    removal_conclusive: bool,
}

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
    basis: Option<Basis>,
    bounds: bound::Bounds,
    /// First packets that a cold target may get in any second, by service.
    cold_budgets: HashMap<key::Service, u32>,
    connections: HashMap<key::Service, u32>,
    cookies: cookies::Table,
    generation: u64,
    /// Membership generation of the registry from which `cookies` was built.
    membership_generation: Option<u64>,
    /// When the age of a missing registration next passes a threshold.
    next_transition: time::Instant,
    pools: Arc<Vec<snapshot::Pool>>,
    /// Names of the regions of zones.
    region_names: BTreeMap<CompactString, CompactString>,
    regions: Interner,
    routes: Arc<HashMap<SocketAddrV4, snapshot::Route>>,
    /// Services to which each address has routed new flows since the process started.
    service_history: HashMap<SocketAddrV4, Vec<key::Service>>,
    /// Labels of the services, by which instances name them to each other.
    service_labels: Vec<u32>,
    services: Interner,
    started: time::Instant,
    targets: Arc<Vec<Option<snapshot::Target>>>,
    version: u64,
    zones: Interner,
}

impl Builder {
    /// A builder for an instance in `zone` that started at `now`, with the regions of zones and the
    /// bounds of the deployment.
    pub fn new(
        zone: &CompactString,
        regions: &BTreeMap<CompactString, CompactString>,
        bounds: bound::Bounds,
        now: time::Instant,
    ) -> Self {
        let mut zones = Interner::default();
        zones.intern(zone);
        Self {
            basis: None,
            bounds,
            cold_budgets: HashMap::new(),
            connections: HashMap::new(),
            cookies: cookies::Table::default(),
            generation: 0,
            membership_generation: None,
            next_transition: time::Instant::NEVER,
            pools: Arc::default(),
            region_names: regions.clone(),
            regions: Interner::default(),
            routes: Arc::default(),
            service_history: HashMap::new(),
            service_labels: Vec::new(),
            services: Interner::default(),
            started: now,
            targets: Arc::default(),
            version: 0,
            zones,
        }
    }

    /// Targets that take no new flows because of their cookies.
    pub fn conflicts(&self) -> &[cookies::Conflict] {
        &self.cookies.conflicts
    }

    /// The name of a service.
    pub fn service_name(&self, key: key::Service) -> Option<&CompactString> {
        self.services.list.get(key.index())
    }

    /// The label of a service, the same on every instance.
    pub fn service_label(&self, key: key::Service) -> Option<u32> {
        self.service_labels.get(key.index()).copied()
    }

    /// Builds the snapshot of `registry` at `now`.
    pub fn build(
        &mut self,
        now: time::Instant,
        registry: &registry::Registry,
        peers: &peers::Peers,
    ) -> snapshot::Snapshot {
        self.update_config(registry);
        let reassigned = self.update_cookies(now, registry);
        let age = registry.age(now).unwrap_or(time::Duration::MAX);
        let fresh_for = timing::Timing::new(&self.bounds).attempt_by;
        let basis = Basis {
            fresh: age < fresh_for,
            generation: registry.generation,
            removal_conclusive: registry.is_removal_conclusive(now),
        };
        if self.basis != Some(basis) || now >= self.next_transition || reassigned {
            self.basis = Some(basis);
            self.update_targets(now, registry, basis.fresh);
        }
        let remotes = self.remotes(now, peers);
        let usual_us = self.usual_us(&remotes);
        let slots = |key: key::Target| {
            let target = self.targets.get(key.index()).copied().flatten();
            target.map_or(0, |target| target.slots)
        };
        let demands = estimate::demands(&self.pools, &remotes, slots);
        self.generation += 1;
        snapshot::Snapshot {
            age,
            as_of: registry.as_of,
            checks: false,
            cold_shares: snapshot::ColdShares::default(),
            cookies: Arc::clone(&self.cookies.targets),
            demands,
            fresh_until: registry
                .confirmed_at
                .map_or(time::Instant::default(), |at| at + fresh_for),
            generation: self.generation,
            idle_timeout: registry
                .config
                .as_ref()
                .map_or_else(time::Duration::default, |config| {
                    time::Duration::from_millis(config.idle_timeout_ms)
                }),
            history_complete: now.since(self.started) >= ROUTE_HISTORY,
            pools: Arc::clone(&self.pools),
            reachable_at: time::Instant::default(),
            remotes,
            routes: Arc::clone(&self.routes),
            targets: Arc::clone(&self.targets),
            usual_us,
            version: registry.version(),
            zone: Some(OWN_ZONE),
            zones: Arc::clone(&self.zones.list),
        }
    }

    /// Rebuilds the targets and the pools.
    fn update_targets(&mut self, now: time::Instant, registry: &registry::Registry, fresh: bool) {
        let mut targets = vec![None; registry.targets.slot_count()];
        let mut placeable: Vec<Members> = Vec::new();
        let change = self.bounds.change();
        let mut recently_removed: Vec<Members> = Vec::new();
        self.next_transition = time::Instant::NEVER;
        let addresses = address_holders(registry);
        for (key, record) in registry.targets.iter() {
            let mut target = self.build_target(now, registry, record, fresh);
            let is_excluded = self.cookies.is_withheld(key)
                || registry.evacuations.is_active(&record.details.zone);
            let holder = addresses.get(&record.details.address);
            if holder.is_some_and(|started| record.details.started_unix_ms < *started) {
                target.eligibility = snapshot::Eligibility::Replaced;
            }
            if is_excluded && target.eligibility == snapshot::Eligibility::NewFlows {
                target.eligibility = snapshot::Eligibility::ExistingFlows;
            }
            let service = target.service.index();
            if target.eligibility == snapshot::Eligibility::NewFlows {
                arena::slot_or_default(&mut placeable, service).push(key, target.zone);
            } else if !is_excluded
                && target.eligibility != snapshot::Eligibility::Replaced
                && is_recently_removed(now, record, change)
            {
                arena::slot_or_default(&mut recently_removed, service).push(key, target.zone);
            }
            targets[key.index()] = Some(target);
            if let Some(transition) = next_transition(now, record, change) {
                self.next_transition = self.next_transition.min(transition);
            }
        }
        // If all registrations of a service vanish at once, they have more likely lapsed together
        // than that all its targets have ended, so the recently removed targets take new flows.
        for (service, recently_removed) in recently_removed.into_iter().enumerate() {
            let placeable = arena::slot_or_default(&mut placeable, service);
            if placeable.is_empty() {
                *placeable = recently_removed;
            }
        }
        let pools = placeable.into_iter().map(Members::into_pool);
        self.pools = Arc::new(pools.collect());
        self.targets = Arc::new(targets);
        let known = self.service_labels.len();
        let new = self.services.list.iter().skip(known);
        self.service_labels
            .extend(new.map(|name| hash::label(name)));
    }

    /// What peers report of each target: its load, or the mean of its zone and service.
    fn remotes(&self, now: time::Instant, peers: &peers::Peers) -> Vec<snapshot::Remote> {
        let loads = peers.loads(now);
        let mut remotes = vec![snapshot::Remote::default(); self.targets.len()];
        for (target, remote) in self.targets.iter().zip(&mut remotes) {
            let Some(target) = target else { continue };
            let reported = loads.by_cookie.get(&target.cookie.0);
            let reported = reported.copied().unwrap_or_default();
            remote.load = reported.load;
            remote.measured = reported.pace.value();
            remote.last_progress = peers.progress(target.cookie.0).unwrap_or_default();
        }
        for (zone, means) in &loads.means {
            let Some(zone) = self.zones.index.get(zone) else {
                continue;
            };
            for mean in means {
                self.add_mean(&mut remotes, (*zone).into(), mean);
            }
        }
        remotes
    }

    /// The usual time of a request of each service.
    fn usual_us(&self, remotes: &[snapshot::Remote]) -> Vec<Option<u32>> {
        let usual_us = |pool: &snapshot::Pool| {
            let measured = pool
                .targets
                .iter()
                .filter_map(|key| remotes[key.index()].measured);
            pace::usual_us(measured.map(|measured| measured.response_us))
        };
        self.pools.iter().map(usual_us).collect()
    }

    /// Adds the mean load of a zone's targets of one service to each of them.
    fn add_mean(&self, remotes: &mut [snapshot::Remote], zone: key::Zone, mean: &heartbeat::Mean) {
        let service = self
            .service_labels
            .iter()
            .position(|label| *label == mean.service);
        let pool = service.and_then(|service| self.pools.get(service));
        for key in pool.iter().flat_map(|pool| &pool.targets) {
            if let Some(target) = self.targets[key.index()].filter(|target| target.zone == zone) {
                // Rounded up for some targets and down for others, so that their sum is right.
                let rounding = (key.index() * 618 % 1_000) as u32;
                let scaled =
                    |milli: u32| (milli.saturating_mul(u32::from(target.slots)) + rounding) / 1_000;
                let remote = &mut remotes[key.index()];
                remote.load = remote.load
                    + snapshot::Load {
                        flows: scaled(mean.flows),
                        held: scaled(mean.held),
                        waiting: scaled(mean.waiting),
                    };
            }
        }
    }

    fn build_target(
        &mut self,
        now: time::Instant,
        registry: &registry::Registry,
        record: &registry::Record,
        fresh: bool,
    ) -> snapshot::Target {
        let service = key::Service::from(self.services.intern(&record.details.service));
        let region = self.region_names.get(&record.details.zone);
        let region = region.map(|region| key::Region::from(self.regions.intern(region)));
        snapshot::Target {
            address: record.details.address,
            cold_budget: self.cold_budgets.get(&service).copied(),
            cold_until: record.cold_until,
            max_connections: self.connections.get(&service).copied().unwrap_or(u32::MAX),
            cookie: record.cookie,
            id: record.id,
            region,
            service,
            slots: record.details.slots,
            eligibility: eligibility(now, registry, record, fresh),
            zone: self.zones.intern(&record.details.zone).into(),
        }
    }

    /// Reassigns the cookies if the set of targets or one of their starts has changed, or if a removed
    /// target loses its cookie; returns whether it did.
    fn update_cookies(&mut self, now: time::Instant, registry: &registry::Registry) -> bool {
        let is_current = self.membership_generation == Some(registry.membership_generation);
        if is_current && now < self.cookies.next_transition {
            return false;
        }
        self.membership_generation = Some(registry.membership_generation);
        self.cookies = cookies::assign(now, registry);
        true
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
        let budgets = config.services.iter().filter_map(|service| {
            let key = self.services.intern(&service.name);
            Some((key.into(), cold_budget(service, self.bounds)?))
        });
        self.cold_budgets = budgets.collect();
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
        let regions = route.regions.iter();
        let regions = regions.map(|region| self.regions.intern(region).into());
        let regions = regions.collect();
        let history = self.service_history.entry(route.address).or_default();
        let used = branches.iter().filter(|branch| branch.weight > 0);
        let seen: HashSet<key::Service> = history.iter().copied().collect();
        let new = used.map(|branch| branch.service);
        history.extend(new.filter(|service| !seen.contains(service)));
        let found = snapshot::Route {
            branches,
            idempotency: route.idempotency,
            objective: milliseconds(route.objective_ms),
            priority: route.priority,
            regions,
            service_history: history.clone(),
            timeout: milliseconds(route.timeout_ms),
        };
        (route.address, found)
    }
}

/// First packets that a cold target of a service may get in any second; none without a budget.
fn cold_budget(service: &catalog::Service, bounds: bound::Bounds) -> Option<u32> {
    let per_second = f64::from(service.cold_milli_per_second) / 1_000.0;
    let budget = per_second * bounds.cold_overload + bounds.cold_slack;
    (per_second > 0.0).then_some(budget as u32)
}

fn milliseconds(number: u32) -> Option<time::Duration> {
    (number > 0).then(|| time::Duration::from_millis(u64::from(number)))
}

/// Targets of a service, apart by zone.
#[derive(Clone, Debug, Default)]
struct Members {
    local: Vec<key::Target>,
    others: Vec<key::Target>,
}

impl Members {
    fn push(&mut self, key: key::Target, zone: key::Zone) {
        if zone == OWN_ZONE {
            self.local.push(key);
        } else {
            self.others.push(key);
        }
    }

    fn is_empty(&self) -> bool {
        self.local.is_empty() && self.others.is_empty()
    }

    fn into_pool(self) -> snapshot::Pool {
        snapshot::Pool::new(self.local, self.others)
    }
}

/// When the age of a registration next passes a threshold; none if it is present or past all.
fn next_transition(
    now: time::Instant,
    record: &registry::Record,
    change: time::Duration,
) -> Option<time::Instant> {
    let since = record.missing_since?;
    [record.present_until + change, since + ENDED_AFTER]
        .into_iter()
        .filter(|transition| *transition > now)
        .min()
}

/// The latest start of a registered target at each address. An address belongs to the target that
/// started last: the others can no longer receive packets there.
fn address_holders(registry: &registry::Registry) -> HashMap<SocketAddrV4, u64> {
    let mut holders: HashMap<SocketAddrV4, u64> = HashMap::new();
    let records = registry.targets.iter().map(|(_, record)| record);
    for record in records.filter(|record| record.status == registry::Status::Present) {
        let started = holders.entry(record.details.address).or_default();
        *started = record.details.started_unix_ms.max(*started);
    }
    holders
}

fn eligibility(
    now: time::Instant,
    registry: &registry::Registry,
    record: &registry::Record,
    fresh: bool,
) -> snapshot::Eligibility {
    let gone_for = record.missing_since.map(|since| now.since(since));
    match record.status {
        registry::Status::Present
            if record.details.state == catalog::State::Draining || record.held_until.is_some() =>
        {
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

/// Whether a target of a service without registrations still takes new flows. A living target
/// registers again within about two seconds.
fn is_recently_removed(
    now: time::Instant,
    record: &registry::Record,
    change: time::Duration,
) -> bool {
    record.status == registry::Status::Removed
        && record.details.state == catalog::State::Active
        && now < record.present_until + change
}
