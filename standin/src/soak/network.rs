//! What callers, targets and the network between them share, and the promises that are checked on it
//! from outside the instances.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

/// Time after a fault in which its effects are excused; the users' `stabilityMs`.
pub const STABILITY: Duration = Duration::from_secs(4);
/// Time after which a change must be in force; the users' bound, and a moment for the way.
pub const IN_FORCE: Duration = Duration::from_millis(3_200);

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
    pub disturbed_until: Instant,
    /// When the store took its draining.
    pub draining_since: Option<Instant>,
    /// Identity.
    pub id: u64,
    /// Number of its process; a new one has no flows.
    pub life: u32,
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
    pub known: HashSet<&'static str>,
    /// When the store took the last change.
    pub moved_at: Instant,
    /// Service that it leads to.
    pub service: &'static str,
}

/// State of the network.
#[derive(Debug)]
pub struct State {
    /// Requests of the last phase, and those that were answered.
    pub calm: (u64, u64),
    /// Whether the last phase has begun.
    pub is_calm: bool,
    /// Whether the run is over.
    pub is_over: bool,
    /// Zone that is cut off from the others.
    pub cut: Option<usize>,
    /// Until when faults excuse what each instance does.
    pub instances_disturbed_until: Vec<Instant>,
    /// Share of packets that are lost.
    pub loss: f64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Until when faults of the store excuse facts that are not in force.
    pub store_disturbed_until: Instant,
    /// Targets.
    pub targets: Vec<Target>,
    breaches: Vec<Breach>,
    checks: BTreeMap<Promise, u64>,
    holders: HashMap<SocketAddrV4, (usize, u32)>,
    ran: HashMap<u64, u32>,
    requests: u64,
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
            calm: (0, 0),
            checks: BTreeMap::new(),
            cut: None,
            holders: HashMap::new(),
            instances_disturbed_until: vec![now + STABILITY; instances],
            is_calm: false,
            is_over: false,
            loss: 0.0,
            ran: HashMap::new(),
            requests: 0,
            routes,
            started: now,
            store_disturbed_until: now,
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
        self.requests += 1;
        self.calm.0 += u64::from(self.is_calm);
        self.requests
    }

    /// Lets a fault of a target or its links excuse what happens to its flows.
    pub fn disturb_target(&mut self, target: usize, length: Duration) {
        let until = Instant::now() + length + STABILITY;
        let target = &mut self.targets[target];
        target.disturbed_until = target.disturbed_until.max(until);
    }

    /// Lets a fault of an instance excuse what it does.
    pub fn disturb_instance(&mut self, instance: usize, length: Duration) {
        let until = Instant::now() + length + STABILITY;
        let disturbed = &mut self.instances_disturbed_until[instance];
        *disturbed = (*disturbed).max(until);
    }

    /// Lets a fault of the store excuse facts that are not in force.
    pub fn disturb_store(&mut self, length: Duration) {
        let until = Instant::now() + length + STABILITY;
        self.store_disturbed_until = self.store_disturbed_until.max(until);
    }

    /// Whether an instance has been without a fault for long enough.
    fn is_in_touch(&self, instance: usize) -> bool {
        Instant::now() >= self.instances_disturbed_until[instance]
    }

    /// A target takes a first packet that an instance sent on.
    pub fn first_packet(&mut self, target: usize, route: SocketAddrV4, instance: usize) {
        let found = &self.targets[target];
        let (id, service, draining) = (found.id, found.service, found.draining_since);
        let Some(route) = self.routes.iter().find(|known| known.address == route) else {
            self.check(Promise::RightService, false, || {
                format!("target {id:x} got a flow of an address without a route")
            });
            return;
        };
        let allowed = route.known.contains(service);
        let (moved_at, wanted) = (route.moved_at, route.service);
        self.check(Promise::RightService, allowed, || {
            format!("target {id:x} of {service} got a flow of a route that never led there")
        });
        let now = Instant::now();
        if now < self.store_disturbed_until || !self.is_in_touch(instance) {
            return;
        }
        let late = |since: Instant| now.saturating_duration_since(since) > IN_FORCE;
        self.check(Promise::DrainKept, !draining.is_some_and(late), || {
            format!("instance {instance} sent a new flow to {id:x}, draining since {draining:?}")
        });
        let in_force = service == wanted || !late(moved_at);
        self.check(Promise::ConfigInForce, in_force, || {
            format!("instance {instance} sent a new flow to {service}, not to {wanted}")
        });
    }

    /// A flow is open at a target.
    pub fn opened(&mut self, caller: SocketAddrV4, target: usize) {
        let life = self.targets[target].life;
        self.holders.insert(caller, (target, life));
    }

    /// A target runs a request.
    pub fn run(&mut self, request: u64, target: usize) {
        let runs = self.ran.entry(request).or_default();
        *runs += 1;
        let (runs, id) = (*runs, self.targets[target].id);
        self.check(Promise::OnceOnly, runs == 1, || {
            format!("request {request} ran {runs} times, the last time on {id:x}")
        });
    }

    /// A caller got its answer, from the target that names itself.
    pub fn answered(&mut self, caller: SocketAddrV4, id: u64) {
        self.calm.1 += u64::from(self.is_calm);
        let Some((target, life)) = self.holders.get(&caller).copied() else {
            return;
        };
        let found = &self.targets[target];
        let kept = found.life != life || found.id == id;
        let expected = found.id;
        self.check(Promise::FlowKept, kept, || {
            format!("{caller}: opened at {expected:x}, answered by {id:x}")
        });
    }

    /// A caller got a reset; `through` is the instance that took its packets.
    pub fn reset(&mut self, caller: SocketAddrV4, from: SocketAddrV4, through: usize) {
        // A flow that is open nowhere may be refused.
        let Some((target, life)) = self.holders.remove(&caller) else {
            return;
        };
        let found = &self.targets[target];
        let lives = found.up && found.life == life && Instant::now() >= found.disturbed_until;
        let by_itself = from == found.address;
        let id = found.id;
        let in_touch = self.is_in_touch(through);
        self.check(Promise::FlowKept, !lives || by_itself || !in_touch, || {
            format!("{caller}: open at {id:x}, reset by {from} through instance {through}")
        });
    }

    /// A flow has ended.
    pub fn ended(&mut self, caller: SocketAddrV4) {
        self.holders.remove(&caller);
    }
}
