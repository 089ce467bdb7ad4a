//! The immutable picture by which traffic threads place and forward flows that carry a cookie.
//!
//! The control thread publishes a new one after each change; parts that did not change are shared.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use compact_str::CompactString;

use crate::state::{catalog, key, time};

/// A value in the packets of a flow that names its target.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Cookie(pub u32);

impl Cookie {
    /// The value of packets that name no target.
    pub const NONE: Self = Self(0);
}

/// What is counted on a target.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Flows.
    pub flows: u32,
    /// Flows whose callers wait for something new.
    pub waiting: u32,
}

impl Load {
    /// Counts one more flow.
    pub fn add(&mut self, waiting: bool) {
        self.flows += 1;
        self.waiting += u32::from(waiting);
    }

    /// Counts one flow less.
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
    /// Repeatability of the requests.
    pub idempotency: catalog::Idempotency,
    /// Services that took new flows in this or an earlier version.
    pub service_history: Vec<key::Service>,
}

/// Use that may be made of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Eligibility {
    /// New flows.
    NewFlows,
    /// Only the flows that it has.
    ExistingFlows,
    /// Its registration is gone for long enough that it has certainly ended.
    Ended,
}

/// A target as traffic threads see it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Target {
    /// Address of its datagram socket.
    pub address: SocketAddrV4,
    /// End of the time for which it is slow after its start.
    pub cold_until: time::Instant,
    /// Flows that it may hold.
    pub max_connections: u32,
    /// Cookie of its flows.
    pub cookie: Cookie,
    /// What other instances count on it.
    pub remote_load: Load,
    /// Identity that packets to it carry.
    pub id: key::Id,
    /// When another instance last saw one of its flows make progress.
    pub last_progress: time::Instant,
    /// Its service.
    pub service: key::Service,
    /// Requests that it processes at once.
    pub slots: u16,
    /// Use that may be made of it.
    pub eligibility: Eligibility,
    /// Its availability zone.
    pub zone: key::Zone,
}

/// The published picture.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Age of the facts when it was published.
    pub age: time::Duration,
    /// Revision of the facts.
    pub as_of: u64,
    /// Targets by cookie.
    pub cookies: Arc<HashMap<Cookie, key::Target>>,
    /// Whether the facts were confirmed a short time ago.
    pub fresh: bool,
    /// Number of this picture.
    pub generation: u64,
    /// Routes by public address.
    pub routes: Arc<HashMap<SocketAddrV4, Route>>,
    /// Targets that take new flows, by service.
    pub services: Vec<Vec<key::Target>>,
    /// Whether every service is known to which a living flow of a route can have been led.
    pub history_complete: bool,
    /// Targets by key.
    pub targets: Vec<Option<Target>>,
    /// Version of the configuration; zero without one.
    pub version: u64,
    /// Zone of this instance.
    pub zone: Option<key::Zone>,
    /// Names of the zones.
    pub zones: Arc<Vec<CompactString>>,
}

impl Snapshot {
    /// The target of a key.
    pub fn target(&self, key: key::Target) -> Option<&Target> {
        self.targets.get(key.index())?.as_ref()
    }
}
