//! What callers, targets and the network between them share, and the promises that are checked on it
//! from outside the instances.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Time after a fault in which its effects are excused; the users' `stabilityMs`.
pub const STABILITY_PERIOD: Duration = Duration::from_secs(4);
/// Time after which a change must be in force; the users' bound, and a moment for the way.
pub const APPLY_DEADLINE: Duration = Duration::from_millis(3_200);

/// What must hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A change of a route is in force in time.
    ConfigInForce,
    /// A draining target gets no new flow after the bound.
    DrainKept,
    /// A flow of a living target is neither reset nor moved.
    FlowKept,
    /// No request runs twice.
    OnceOnly,
    /// No process ends by itself; a planned stop ends in time with zero.
    ProcessEnds,
    /// A flow only reaches services to which its route ever led.
    RightService,
    /// Once all faults are over, all is served again.
    Serving,
}

/// A promise that did not hold.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Milliseconds from the start of the run.
    pub at_millis: u64,
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of its socket.
    pub address: SocketAddrV4,
    /// Until when faults of it or its links excuse what happens to its flows.
    pub excused_until: Instant,
    /// When the store took its draining.
    pub draining_since: Option<Instant>,
    /// Identity.
    pub id: u64,
    /// Number of its process; a new one has no flows.
    pub incarnation: u32,
    /// Name of its service.
    pub service: &'static str,
    /// Whether it takes packets.
    pub up: bool,
    /// Number of its zone.
    pub zone: usize,
}

/// A public address.
#[derive(Clone, Debug)]
pub struct Route {
    /// Address that callers send to.
    pub address: SocketAddrV4,
    /// Services that it ever led to.
    pub allowed_services: HashSet<&'static str>,
    /// When the store took the last change.
    pub changed_at: Instant,
    /// Service that it leads to.
    pub service: &'static str,
}

/// State of the network.
#[derive(Debug)]
pub struct State {
    /// Requests of the last phase, and those that were answered.
    pub final_requests: (u64, u64),
    /// Whether the last phase has begun.
    pub is_final_phase: bool,
    /// Whether the run is over.
    pub is_over: bool,
    /// Zone that is cut off from the others.
    pub cut_zone: Option<usize>,
    /// Until when faults excuse what each instance does.
    pub instances_excused_until: Vec<Instant>,
    /// Share of packets that are lost.
    pub loss_rate: f64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Until when faults of the store excuse facts that are not in force.
    pub store_excused_until: Instant,
    /// Targets.
    pub targets: Vec<Target>,
    breaches: Vec<Breach>,
    checks: BTreeMap<Promise, u64>,
    flow_targets: HashMap<SocketAddrV4, (usize, u32)>,
    run_counts: HashMap<u64, u32>,
    last_request: u64,
    started: Instant,
}

/// The network, shared by all threads of a run.
#[derive(Clone, Debug)]
pub struct Network(Arc<Mutex<State>>);

impl Network {
    /// A network of targets and routes before a number of instances.
    pub fn new(targets: Vec<Target>, routes: Vec<Route>, instances: usize) -> Self {
        let now = Instant::now();
        Self(Arc::new(Mutex::new(State {
            breaches: Vec::new(),
            final_requests: (0, 0),
            checks: BTreeMap::new(),
            cut_zone: None,
            flow_targets: HashMap::new(),
            instances_excused_until: vec![now + STABILITY_PERIOD; instances],
            is_final_phase: false,
            is_over: false,
            loss_rate: 0.0,
            run_counts: HashMap::new(),
            last_request: 0,
            routes,
            started: now,
            store_excused_until: now,
            targets,
        })))
    }

    /// The state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts a check of a promise; notes a breach if it does not hold.
    pub fn check(&mut self, promise: Promise, holds: bool, seen: impl FnOnce() -> String) {
        *self.checks.entry(promise).or_default() += 1;
        if !holds {
            self.breaches.push(Breach {
                at_millis: self.started.elapsed().as_millis() as u64,
                promise,
                seen: seen(),
            });
        }
    }

    /// Checks made and breaches found.
    pub fn findings(&self) -> (BTreeMap<Promise, u64>, Vec<Breach>) {
        (self.checks.clone(), self.breaches.clone())
    }

    /// The number of a new request.
    pub fn next_request(&mut self) -> u64 {
        self.last_request += 1;
        self.final_requests.0 += u64::from(self.is_final_phase);
        self.last_request
    }

    /// Lets a fault of a target or its links excuse what happens to its flows.
    pub fn excuse_target(&mut self, target: usize, duration: Duration) {
        let until = Instant::now() + duration + STABILITY_PERIOD;
        let target = &mut self.targets[target];
        target.excused_until = target.excused_until.max(until);
    }

    /// Lets a fault of an instance excuse what it does.
    pub fn excuse_instance(&mut self, instance: usize, duration: Duration) {
        let until = Instant::now() + duration + STABILITY_PERIOD;
        let excused_until = &mut self.instances_excused_until[instance];
        *excused_until = (*excused_until).max(until);
    }

    /// Lets a fault of the store excuse facts that are not in force.
    pub fn excuse_store(&mut self, duration: Duration) {
        let until = Instant::now() + duration + STABILITY_PERIOD;
        self.store_excused_until = self.store_excused_until.max(until);
    }

    /// Whether an instance has been without a fault for long enough.
    fn is_stable(&self, instance: usize) -> bool {
        Instant::now() >= self.instances_excused_until[instance]
    }

    /// A target takes a first packet that an instance sent on.
    pub fn on_first_packet(&mut self, target: usize, route: SocketAddrV4, instance: usize) {
        let entry = &self.targets[target];
        let (id, service, draining) = (entry.id, entry.service, entry.draining_since);
        let Some(route) = self.routes.iter().find(|known| known.address == route) else {
            self.check(Promise::RightService, false, || {
                format!("target {id:x} got a flow of an address without a route")
            });
            return;
        };
        let allowed = route.allowed_services.contains(service);
        let (changed_at, configured) = (route.changed_at, route.service);
        self.check(Promise::RightService, allowed, || {
            format!("target {id:x} of {service} got a flow of a route that never led there")
        });
        let now = Instant::now();
        if now < self.store_excused_until || !self.is_stable(instance) {
            return;
        }
        let overdue = |since: Instant| now.saturating_duration_since(since) > APPLY_DEADLINE;
        self.check(Promise::DrainKept, !draining.is_some_and(overdue), || {
            format!("instance {instance} sent a new flow to {id:x}, draining since {draining:?}")
        });
        let in_force = service == configured || !overdue(changed_at);
        self.check(Promise::ConfigInForce, in_force, || {
            format!("instance {instance} sent a new flow to {service}, not to {configured}")
        });
    }

    /// A flow is open at a target.
    pub fn on_open(&mut self, caller: SocketAddrV4, target: usize) {
        let incarnation = self.targets[target].incarnation;
        self.flow_targets.insert(caller, (target, incarnation));
    }

    /// A target runs a request.
    pub fn on_request(&mut self, request: u64, target: usize) {
        let runs = self.run_counts.entry(request).or_default();
        *runs += 1;
        let (runs, id) = (*runs, self.targets[target].id);
        self.check(Promise::OnceOnly, runs == 1, || {
            format!("request {request} ran {runs} times, the last time on {id:x}")
        });
    }

    /// A caller got its answer, from the target that names itself.
    pub fn on_response(&mut self, caller: SocketAddrV4, id: u64) {
        self.final_requests.1 += u64::from(self.is_final_phase);
        let Some((target, incarnation)) = self.flow_targets.get(&caller).copied() else {
            return;
        };
        let entry = &self.targets[target];
        let kept = entry.incarnation != incarnation || entry.id == id;
        let expected = entry.id;
        self.check(Promise::FlowKept, kept, || {
            format!("{caller}: opened at {expected:x}, answered by {id:x}")
        });
    }

    /// A caller got a reset; `instance` is the instance that took its packets.
    pub fn on_reset(&mut self, caller: SocketAddrV4, from: SocketAddrV4, instance: usize) {
        // A flow that is open nowhere may be refused.
        let Some((target, incarnation)) = self.flow_targets.remove(&caller) else {
            return;
        };
        let entry = &self.targets[target];
        let is_alive =
            entry.up && entry.incarnation == incarnation && Instant::now() >= entry.excused_until;
        let by_target = from == entry.address;
        let id = entry.id;
        let stable = self.is_stable(instance);
        self.check(Promise::FlowKept, !is_alive || by_target || !stable, || {
            format!("{caller}: open at {id:x}, reset by {from} through instance {instance}")
        });
    }

    /// A flow has ended.
    pub fn on_end(&mut self, caller: SocketAddrV4) {
        self.flow_targets.remove(&caller);
    }
}
