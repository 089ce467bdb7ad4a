//! The accepted sheet as typed values. A sheet is the published list of zones, services and
//! targets.

use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;

use crate::state::{key, packet, time};

/// One revision of the sheet.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Sheet {
    /// Revision of the manifest; a higher one replaces a lower one.
    pub revision: u64,
    /// Services in the order of the documents.
    pub services: Vec<Service>,
    /// Targets in the order of the documents.
    pub targets: Vec<Target>,
    /// Availability zones.
    pub zones: Vec<CompactString>,
}

/// A set of targets behind one public address.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Public address.
    pub address: IpAddr,
    /// Number of buckets, a power of two that never changes while the service exists.
    pub buckets: u32,
    /// Maximum number of open flows, none if unlimited.
    pub connection_limit: Option<u32>,
    /// Share of the buckets that are always tracked, in per mille. The owner of a tracked bucket
    /// keeps an entry for each flow.
    pub flexible_share: u16,
    /// Time without packets after which a flow counts as ended.
    pub idle_timeout: time::Duration,
    /// Name of the service.
    pub name: CompactString,
    /// Service-level objectives.
    pub objective: Objective,
    /// Public port.
    pub port: u16,
    /// Transport protocol.
    pub protocol: packet::Protocol,
}

/// Service-level objectives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Objective {
    /// Allowed share of broken flows among all flows, in parts per million.
    pub broken: u32,
    /// Allowed ratio of the open flows of the most loaded target to the mean of all targets, in
    /// per mille.
    pub imbalance: u32,
    /// Allowed share of refused flows among all flows, in parts per million.
    pub refused: u32,
}

impl Default for Objective {
    fn default() -> Self {
        Self {
            broken: 1_000,
            imbalance: 1_250,
            refused: 10_000,
        }
    }
}

/// State that the sheet demands of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Takes new flows.
    Active,
    /// Keeps its flows and takes no new ones.
    Draining {
        /// Time that open flows have to end once the sheet is accepted, none if unlimited.
        deadline: Option<time::Duration>,
    },
}

/// One target of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Destination of encapsulated packets.
    pub address: SocketAddr,
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// State that the sheet demands of the target.
    pub state: State,
    /// Address of the health endpoint, none if it is not probed.
    pub health: Option<SocketAddr>,
    /// Name of the target, unique in its service.
    pub name: CompactString,
    /// Index of the service in the sheet.
    pub service: key::Service,
    /// Number of requests that the target processes concurrently.
    pub slots: u32,
    /// Index of the availability zone in the sheet.
    pub zone: key::Zone,
}

impl Target {
    /// Stable identifier, derived from the names of the service and the target.
    pub fn id(&self, service: &Service) -> key::Id {
        let mut hasher = blake3::Hasher::new();
        hasher.update(service.name.as_bytes());
        hasher.update(b"/");
        hasher.update(self.name.as_bytes());
        let hash = hasher.finalize();
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        key::Id(u64::from_le_bytes(bytes))
    }
}
