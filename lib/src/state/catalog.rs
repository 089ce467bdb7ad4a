//! The platform's data as typed values: the configuration and the registrations of targets.
//!
//! Every registration carries the revision of its last change, and the configuration a version.
//! Revisions come from a single counter of the platform. Data from the platform and from other
//! instances can therefore be merged by keeping the higher revision of each item.
//!
//! A platform that is restored from a copy loses its latest changes and gives their revisions out
//! again. It then begins a new era, and a revision of a later era is higher than any of an earlier
//! one. Nothing can be said of the changes between revisions of two eras, so what is known of one
//! era is compared with a full read of the next.

use std::net::SocketAddrV4;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::state::key;

/// A position in the platform's history of changes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Revision {
    /// Number of times that the platform was restored from a copy.
    pub era: u64,
    /// Number of the change, ascending within an era.
    pub number: u64,
}

impl Revision {
    /// The revision before any data.
    pub const NONE: Self = Self { era: 0, number: 0 };
}

/// How often a request of a route may be executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Idempotency {
    /// Any number of times. Callers retry after every failure.
    Idempotent,
    /// At most once. Callers retry only requests that were certainly not executed.
    AtMostOnce,
}

/// A service that a route sends new flows to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Branch {
    /// Name of the service.
    pub service: CompactString,
    /// Share of the new flows, relative to the other branches.
    pub weight: u32,
}

/// A public address and the services behind it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Public address and port.
    pub address: SocketAddrV4,
    /// Services that take new flows.
    pub branches: Vec<Branch>,
    /// Whether requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Name of the route.
    pub name: CompactString,
    /// Time in which a request should be answered, in milliseconds; zero without an objective.
    pub objective_ms: u32,
    /// Urgency of the requests; zero is the most urgent.
    pub priority: u8,
    /// Names of the regions whose targets may serve the route; any if empty.
    pub regions: Vec<CompactString>,
    /// Time after which a request is of no use, in milliseconds; zero without a limit.
    pub timeout_ms: u32,
}

/// A service of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Requests that a target bears in 1,000 seconds during its warm-up; zero without a budget.
    pub cold_milli_per_second: u32,
    /// Path of the liveness check; empty without one.
    pub health_path: CompactString,
    /// Maximum number of flows per target.
    pub max_connections: u32,
    /// Name of the service.
    pub name: CompactString,
}

/// One version of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Config {
    /// Idle time after which a flow may be discarded, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Version; a higher one replaces a lower one.
    pub version: u64,
}

/// State that a target reports in its registration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// Takes new flows.
    Active,
    /// Takes no new flows and stops soon.
    Draining,
}

/// A registered target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Address of its UDP socket.
    pub address: SocketAddrV4,
    /// Start of its process in Unix milliseconds, zero if not reported. Use it only to compare two
    /// starts.
    pub started_unix_ms: u64,
    /// Warm-up time after its start, in milliseconds. The target is slow during this time.
    pub cold_ms: u32,
    /// State that the target reports.
    pub state: State,
    /// Number of its write to the registration, ascending from its start.
    pub sequence: u64,
    /// Name of its service.
    pub service: CompactString,
    /// Number of requests that it processes concurrently.
    pub slots: u16,
    /// Its availability zone.
    pub zone: CompactString,
}

/// Content of a registration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Presence {
    /// The target is registered.
    Present(Target),
    /// The registration was removed.
    Removed,
    /// The registration cannot be parsed, so no target can be used from it.
    Unreadable,
}

/// The registration of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Identity of the target.
    pub id: key::Id,
    /// Content of the registration.
    pub presence: Presence,
    /// Revision of the last change.
    pub revision: Revision,
}

/// A registration from before a restore of the platform whose target is known to have left since.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hold {
    /// Time for which the target takes no new flows unless it registers again, in milliseconds.
    pub for_ms: u32,
    /// Identity of the target.
    pub id: key::Id,
    /// Revision of the registration.
    pub revision: Revision,
}

/// An order to send no new flows to the targets of a zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Whether the order stands; false once it was withdrawn.
    pub active: bool,
    /// Time for which it stays in force although the restored platform lacks it, in milliseconds;
    /// none if the platform has it.
    pub hold_ms: Option<u32>,
    /// Revision of the last change.
    pub revision: Revision,
    /// Name of the zone.
    pub zone: CompactString,
}

/// How far registry data reaches.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Position {
    /// Revision up to which all changes of registrations are known.
    pub as_of: Revision,
    /// Version of the configuration, zero without one.
    pub version: u64,
}

/// The changes between two revisions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Revision after the changes.
    pub as_of: Revision,
    /// The configuration, if the receiver may have an older version.
    pub config: Option<Config>,
    /// Registrations that changed.
    pub entries: Vec<Registration>,
    /// Evacuations of zones that were ordered or withdrawn.
    pub evacuations: Vec<Evacuation>,
    /// Registrations that must not be used yet.
    pub holds: Vec<Hold>,
    /// Revision before the changes.
    pub since: Revision,
    /// Whether `entries` and `evacuations` list everything. A registration or evacuation that is not
    /// listed is removed.
    pub full: bool,
}

impl Delta {
    /// Whether nothing is missing between its revisions. Those of two eras have no common history.
    pub fn is_gapless(&self) -> bool {
        self.full || self.since.era == self.as_of.era
    }

    /// Number of changed registrations and routes.
    pub fn item_count(&self) -> usize {
        let routes = self.config.as_ref().map_or(0, |config| config.routes.len());
        self.entries.len() + self.evacuations.len() + self.holds.len() + routes
    }
}
