//! Published facts as typed values: the configuration and the targets that register themselves.
//!
//! Every fact carries the revision of its last change. Revisions come from one counter of the
//! publisher, so facts from the publisher and from other instances merge by taking the higher one.

use std::net::SocketAddrV4;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::state::key;

/// How often a request of a route may be executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Idempotency {
    /// Any number of times; callers retry after every failure.
    Idempotent,
    /// At most once; callers retry only what was certainly not executed.
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
    /// Repeatability of the requests.
    pub idempotency: Idempotency,
    /// Name of the route.
    pub name: CompactString,
}

/// A service of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Largest number of flows that one target holds.
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

/// What a target says of its readiness.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum State {
    /// It takes new flows.
    Active,
    /// It is about to leave and takes no new flows.
    Draining,
}

/// A registered target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Address of its datagram socket.
    pub address: SocketAddrV4,
    /// Start of its process in Unix milliseconds, zero if it does not say; only good for order.
    pub started_unix_ms: u64,
    /// Time for which it is still slow after its start, in milliseconds.
    pub cold_ms: u32,
    /// Readiness.
    pub state: State,
    /// Name of its service.
    pub service: CompactString,
    /// Requests that it processes at once.
    pub slots: u16,
    /// Its availability zone.
    pub zone: CompactString,
}

/// Whether a registration names a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Presence {
    /// It is registered.
    Present(Target),
    /// Its registration was removed.
    Removed,
    /// Its registration cannot be understood and names no target to use.
    Unreadable,
}

/// The registration of one target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Identity of the target.
    pub id: key::Id,
    /// What is registered.
    pub presence: Presence,
    /// Revision of the last change.
    pub revision: u64,
}

/// What changed between two revisions.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Revision that it leads to.
    pub as_of: u64,
    /// The configuration, if it changed.
    pub config: Option<Config>,
    /// Registrations that changed.
    pub entries: Vec<Registration>,
    /// Revision that it starts from.
    pub since: u64,
    /// Whether it holds all registrations, so that one not named in it is removed.
    pub full: bool,
}
