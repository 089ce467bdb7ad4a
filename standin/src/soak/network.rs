//! State shared by the callers, the targets and the simulated network between them, and the
//! promises that are checked on it. Instances are only observed from outside.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Time after a fault in which its effects are excused; the users' setting `stabilityMs`.
pub const STABILITY_PERIOD: Duration = Duration::from_secs(4);
/// Time within which instances must apply a change: the users' bound plus network delay.
pub const APPLY_DEADLINE: Duration = Duration::from_millis(3_200);

/// A property that must hold throughout a run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// A changed route is applied in time.
    ConfigInForce,
    /// A draining target gets no new flow once the deadline has passed.
    DrainKept,
    /// A flow of a live target is neither reset nor moved to another target.
    FlowKept,
    /// No request is executed twice.
    OnceOnly,
    /// No process exits on its own; a graceful shutdown finishes in time with exit status 0.
    ProcessEnds,
    /// A flow only reaches services that its route leads to or once led to.
    RightService,
    /// After the last fault, requests are answered again.
    Serving,
}

/// A broken promise.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    /// Milliseconds from the start of the run.
    pub at_millis: u64,
    /// Promise that was broken.
    pub promise: Promise,
    /// Observation that broke it.
    pub seen: String,
}

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of its socket.
    pub address: SocketAddrV4,
    /// End of the time in which faults of the target or its links excuse lost or moved flows.
    pub excused_until: Instant,
    /// Time at which its draining state was written to the store.
    pub draining_since: Option<Instant>,
    /// Identity.
    pub id: u64,
    /// Number of its process; a new process has no flows.
    pub incarnation: u32,
    /// Name of its service.
    pub service: &'static str,
    /// Whether it accepts packets.
    pub up: bool,
    /// Number of its zone.
    pub zone: usize,
}

/// A public address and its service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Address that callers send to.
    pub address: SocketAddrV4,
    /// Services that it leads to or once led to.
    pub allowed_services: HashSet<&'static str>,
    /// Time at which its last change was written to the store.
    pub changed_at: Instant,
    /// Service that it leads to now.
    pub service: &'static str,
}

/// State of the network, and the results of the checks.
#[derive(Debug)]
pub struct State {
    /// Requests of the final phase, and how many of them were answered.
    pub final_requests: (u64, u64),
    /// Whether the final phase has begun.
    pub is_final_phase: bool,
    /// Whether the run is over.
    pub is_over: bool,
    /// Zone that is partitioned from the others.
    pub cut_zone: Option<usize>,
    /// End of the time in which faults of each instance excuse its behaviour.
    pub instances_excused_until: Vec<Instant>,
    /// Share of packets that are lost.
    pub loss_rate: f64,
    /// Routes.
    pub routes: Vec<Route>,
    /// End of the time in which faults of the store excuse changes that are not applied.
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

/// Handle of the network state, shared by all threads of a run.
#[derive(Clone, Debug)]
pub struct Network(Arc<Mutex<State>>);

impl Network {
    /// A network with the given targets and routes, and a number of instances.
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

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Counts a check of a promise; records a breach if it does not hold.
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

    /// Number of checks of each promise, and the breaches.
    pub fn findings(&self) -> (BTreeMap<Promise, u64>, Vec<Breach>) {
        (self.checks.clone(), self.breaches.clone())
    }

    /// Assigns the number of a new request.
    pub fn next_request(&mut self) -> u64 {
        self.last_request += 1;
        self.final_requests.0 += u64::from(self.is_final_phase);
        self.last_request
    }

    /// Excuses lost or moved flows of a target during a fault of it or its links and the stability
    /// period after it.
    pub fn excuse_target(&mut self, target: usize, duration: Duration) {
        let until = Instant::now() + duration + STABILITY_PERIOD;
        let target = &mut self.targets[target];
        target.excused_until = target.excused_until.max(until);
    }

    /// Excuses the behaviour of an instance during a fault of it and the stability period.
    pub fn excuse_instance(&mut self, instance: usize, duration: Duration) {
        let until = Instant::now() + duration + STABILITY_PERIOD;
        let excused_until = &mut self.instances_excused_until[instance];
        *excused_until = (*excused_until).max(until);
    }

    /// Excuses changes that are not applied during a fault of the store and the stability period.
    pub fn excuse_store(&mut self, duration: Duration) {
        let until = Instant::now() + duration + STABILITY_PERIOD;
        self.store_excused_until = self.store_excused_until.max(until);
    }

    /// Whether the stability period after an instance's last fault is over.
    fn is_stable(&self, instance: usize) -> bool {
        Instant::now() >= self.instances_excused_until[instance]
    }

    /// Checks a first packet that an instance forwarded to a target.
    pub fn on_first_packet(&mut self, target: usize, route: SocketAddrV4, instance: usize) {
        let entry = &self.targets[target];
        let (id, service, draining) = (entry.id, entry.service, entry.draining_since);
        let Some(route) = self.routes.iter().find(|known| known.address == route) else {
            self.check(Promise::RightService, false, || {
                format!("target {id:x} got a flow for an address without a route")
            });
            return;
        };
        let allowed = route.allowed_services.contains(service);
        let (changed_at, configured) = (route.changed_at, route.service);
        self.check(Promise::RightService, allowed, || {
            format!(
                "target {id:x} of {service} got a flow of a route that never led to this service"
            )
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

    /// Records the target on which a flow opened.
    pub fn on_open(&mut self, caller: SocketAddrV4, target: usize) {
        let incarnation = self.targets[target].incarnation;
        self.flow_targets.insert(caller, (target, incarnation));
    }

    /// Checks that a request that a target executes was not executed before.
    pub fn on_request(&mut self, request: u64, target: usize) {
        let runs = self.run_counts.entry(request).or_default();
        *runs += 1;
        let (runs, id) = (*runs, self.targets[target].id);
        self.check(Promise::OnceOnly, runs == 1, || {
            format!("request {request} was executed {runs} times, last on target {id:x}")
        });
    }

    /// Checks that a response came from the target on which the flow opened; `id` is the target
    /// named in the response.
    pub fn on_response(&mut self, caller: SocketAddrV4, id: u64) {
        self.final_requests.1 += u64::from(self.is_final_phase);
        let Some((target, incarnation)) = self.flow_targets.get(&caller).copied() else {
            return;
        };
        let entry = &self.targets[target];
        let kept = entry.incarnation != incarnation || entry.id == id;
        let expected = entry.id;
        self.check(Promise::FlowKept, kept, || {
            format!("flow of {caller} opened on target {expected:x}, answered by target {id:x}")
        });
    }

    /// Checks a reset that a caller received; `instance` is the instance it had sent to.
    pub fn on_reset(&mut self, caller: SocketAddrV4, from: SocketAddrV4, instance: usize) {
        // A flow that is open on no target may be refused.
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
            format!("flow of {caller} on target {id:x} reset by {from} through instance {instance}")
        });
    }

    /// Forgets a flow that has ended.
    pub fn on_end(&mut self, caller: SocketAddrV4) {
        self.flow_targets.remove(&caller);
    }
}
