//! The immutable snapshot by which traffic threads place and forward flows with a cookie.
//!
//! The control thread publishes a new snapshot after each change. Snapshots share the parts that
//! did not change.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::CompactString;

use crate::state::{catalog, key, time};

/// A value in the packets of a flow that identifies its target.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cookie(pub u32);

impl Cookie {
    /// The value in packets that identify no target.
    pub const NONE: Self = Self(0);
}

/// Load of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Open flows with recent packets.
    pub flows: u32,
    /// Open flows that the target holds, idle ones included.
    pub held: u32,
    /// Open flows whose callers wait for a response.
    pub waiting: u32,
}

impl Load {
    /// Counts one more flow with recent packets.
    pub fn add(&mut self, waiting: bool) {
        self.flows += 1;
        self.waiting += u32::from(waiting);
    }

    /// Counts one flow with recent packets less.
    pub fn subtract(&mut self, waiting: bool) {
        self.flows = self.flows.saturating_sub(1);
        self.waiting = self.waiting.saturating_sub(u32::from(waiting));
    }
}

impl std::ops::Add for Load {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            flows: self.flows + other.flows,
            held: self.held + other.held,
            waiting: self.waiting + other.waiting,
        }
    }
}

/// A service that a route sends new flows to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Branch {
    /// The service.
    pub service: key::Service,
    /// Share of the new flows, relative to the other branches.
    pub weight: u32,
}

/// A public address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Services that take new flows.
    pub branches: Vec<Branch>,
    /// Whether requests may be executed more than once.
    pub idempotency: catalog::Idempotency,
    /// Time in which a request should be answered.
    pub objective: Option<time::Duration>,
    /// Urgency of the requests; zero is the most urgent.
    pub priority: u8,
    /// Regions whose targets may serve the route; any if empty.
    pub regions: Vec<key::Region>,
    /// Services that take new flows in this version of the configuration or did in an earlier one.
    pub service_history: Vec<key::Service>,
    /// Time after which a request is of no use.
    pub timeout: Option<time::Duration>,
}

/// Which flows may be sent to a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// New and existing flows.
    NewFlows,
    /// Existing flows only.
    ExistingFlows,
    /// None. Its registration has been missing for so long that the target has certainly ended.
    Ended,
    /// None. A target that started later has its address.
    Replaced,
}

/// A target as traffic threads see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of its UDP socket.
    pub address: SocketAddrV4,
    /// First packets that it may get in any second of its warm-up from all instances together; none
    /// without a budget.
    pub cold_budget: Option<u32>,
    /// End of its warm-up time, during which it is slow.
    pub cold_until: time::Instant,
    /// Maximum number of flows.
    pub max_connections: u32,
    /// Cookie of its flows.
    pub cookie: Cookie,
    /// Identifier that packets to it carry.
    pub id: key::Id,
    /// Region of its zone, if it is known.
    pub region: Option<key::Region>,
    /// Its service.
    pub service: key::Service,
    /// Number of requests that it processes concurrently.
    pub slots: u16,
    /// Which flows may be sent to it.
    pub eligibility: Eligibility,
    /// Its availability zone.
    pub zone: key::Zone,
}

/// What connections that checkers opened to a target show.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Check {
    /// Start of the earlier of the latest failed checks of the checkers; zero if they do not agree.
    pub failed_at: time::Instant,
    /// Since when both checkers fail without a success in between; zero if they do not agree.
    pub failing_since: time::Instant,
    /// Start of the latest check that opened a connection.
    pub opened_at: time::Instant,
    /// Whether a failed check was refused, which shows that the process is gone.
    pub refused: bool,
}

/// A measured time, and how much it counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Measured {
    /// Microseconds that a request takes.
    pub response_us: u32,
    /// Measurements in sixteenths, reduced by age.
    pub weight: u32,
}

/// What other instances report of a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Remote {
    /// What checks show.
    pub check: Check,
    /// When one of its flows last made progress at another instance.
    pub last_progress: time::Instant,
    /// Load that other instances count.
    pub load: Load,
    /// Time that a request takes, as other instances measure it.
    pub measured: Option<Measured>,
}

/// Flows whose callers wait at the targets of a service, for each slot, by what others report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// In other zones.
    pub others: f64,
    /// In the zone of this instance.
    pub own: f64,
}

/// The first packets that an instance may send to cold targets with a budget.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ColdShares {
    /// Packets that may be sent to a target in any second.
    pub packets: HashMap<key::Target, u32>,
    /// Until when they may be sent.
    pub until: time::Instant,
}

/// Targets of a service that take new flows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pool {
    /// Number of targets in the zone of this instance.
    pub local: usize,
    /// The targets, those in the zone of this instance first.
    pub targets: Vec<key::Target>,
}

impl Pool {
    /// A pool of targets, with the number of those that come first and are in the own zone.
    pub fn new(local: Vec<key::Target>, others: Vec<key::Target>) -> Self {
        let count = local.len();
        let mut targets = local;
        targets.extend(others);
        Self {
            local: count,
            targets,
        }
    }
}

/// The published snapshot.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Age of the registry data at publication.
    pub age: time::Duration,
    /// Revision of the registry data.
    pub as_of: catalog::Revision,
    /// Whether targets in doubt are checked.
    pub checks: bool,
    /// First packets that this instance may send to cold targets with a budget.
    pub cold_shares: ColdShares,
    /// Targets by cookie.
    pub cookies: Arc<HashMap<Cookie, key::Target>>,
    /// How busy the targets of each service are.
    pub demands: Vec<Demand>,
    /// Until when the registry data is recent enough to refuse a flow. It passes by itself, as the
    /// control thread may stand still.
    pub fresh_until: time::Instant,
    /// Number of the snapshot.
    pub generation: u64,
    /// Idle time after which a target may discard a flow.
    pub idle_timeout: time::Duration,
    /// Targets that take new flows, by service.
    pub pools: Arc<Vec<Pool>>,
    /// When a check of this instance last got an answer.
    pub reachable_at: time::Instant,
    /// What other instances report, by target.
    pub remotes: Vec<Remote>,
    /// Routes by public address.
    pub routes: Arc<HashMap<SocketAddrV4, Route>>,
    /// Whether `Route::service_history` names every service that can still have flows of the route.
    pub history_complete: bool,
    /// Targets by key.
    pub targets: Arc<Vec<Option<Target>>>,
    /// Usual time of a request, in microseconds, by service.
    pub usual_us: Vec<Option<u32>>,
    /// Version of the configuration, zero if there is none.
    pub version: u64,
    /// Zone of this instance.
    pub zone: Option<key::Zone>,
    /// Names of the zones.
    pub zones: Arc<Vec<CompactString>>,
}

impl Snapshot {
    /// Whether there is registry data.
    pub fn is_complete(&self) -> bool {
        self.version > 0 && self.as_of > catalog::Revision::NONE
    }

    /// The target of a key.
    pub fn target(&self, key: key::Target) -> Option<&Target> {
        self.targets.get(key.index())?.as_ref()
    }

    /// What other instances report of a target.
    pub fn remote(&self, key: key::Target) -> Remote {
        self.remotes.get(key.index()).copied().unwrap_or_default()
    }

    /// Usual time of a request of a service, in microseconds.
    pub fn usual_us(&self, key: key::Service) -> Option<u32> {
        self.usual_us.get(key.index()).copied().flatten()
    }
}
