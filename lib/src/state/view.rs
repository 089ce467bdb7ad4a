//! The immutable snapshot by which traffic threads place and forward flows by buckets. The control
//! thread publishes it.
//!
//! Leases change with every heartbeat, so they are atomics that are updated in place. Everything
//! else is replaced as a whole.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use compact_str::CompactString;

use crate::state::{flow, key, packet, time};

/// Maximum number of instances that share one service, which is the width of a replica mask.
pub const MAX_INSTANCES: usize = 32;

/// The bit of an instance in replica masks, zero if its number is too large.
pub fn instance_bit(instance: key::Instance) -> u32 {
    1u32.checked_shl(u32::from(instance.0)).unwrap_or(0)
}

/// How long this instance may rely on its view, for each peer and for the placement of flows.
#[derive(Clone, Debug)]
pub struct Lease {
    peers: Arc<Vec<AtomicU64>>,
    placement: Arc<AtomicU64>,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            peers: Arc::new((0..MAX_INSTANCES).map(|_| AtomicU64::new(0)).collect()),
            placement: Arc::new(AtomicU64::new(0)),
        }
    }
}

impl Lease {
    /// End of the lease that a peer granted.
    pub fn peer(&self, instance: key::Instance) -> time::Instant {
        let value = self
            .peers
            .get(instance.index())
            .map_or(0, |end| end.load(Ordering::Relaxed));
        time::Instant(value)
    }

    /// Sets the end of the lease that a peer granted.
    pub fn set_peer(&self, instance: key::Instance, until: time::Instant) {
        if let Some(end) = self.peers.get(instance.index()) {
            end.store(until.0, Ordering::Relaxed);
        }
    }

    /// End of the time during which only this instance places flows of the buckets that it owns.
    pub fn placement(&self) -> time::Instant {
        time::Instant(self.placement.load(Ordering::Relaxed))
    }

    /// Sets the end of the time during which only this instance places flows of its buckets.
    pub fn set_placement(&self, until: time::Instant) {
        self.placement.store(until.0, Ordering::Relaxed);
    }
}

/// How this instance handles the packets of a bucket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// This instance forwards to the home, as every instance may.
    Direct,
    /// This instance owns the bucket and places its flows.
    Own,
    /// This instance relays packets to the owner, which places the flows.
    Relay,
}

/// One bucket of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bucket {
    /// Instances that must hold a replica of each entry whose target is not the fallback, one bit
    /// each. While the bucket settles, this holds for all entries.
    pub required_replicas: u32,
    /// Whether every entry of the bucket is known here. If not, packets in mid-flow that have no
    /// entry are held instead of being sent to the fallback.
    pub entries_complete: bool,
    /// Target of packets whose flow has no entry.
    pub fallback: key::Target,
    /// Default target of new flows.
    pub home: key::Target,
    /// Time from which every flow without an entry is new.
    pub entries_known_at: time::Instant,
    /// How this instance handles packets.
    pub mode: Mode,
    /// Instance that places flows and keeps their entries while the bucket is tracked.
    pub owner: key::Instance,
    /// Time from which new flows may be placed on other targets than the fallback.
    pub place_at: time::Instant,
    /// Whether flows without an entry may still belong to the former home.
    pub settling: bool,
}

/// Whether a target takes new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fitness {
    /// Takes new flows.
    Fit,
    /// Takes no new flows but serves its open ones.
    Closed,
    /// Serves no flows.
    Failed,
}

/// One target.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Destination of encapsulated packets.
    pub address: SocketAddr,
    /// Maximum number of open connections.
    pub max_connections: u32,
    /// Time from which packets of open flows are dropped.
    pub drain_deadline: time::Instant,
    /// Whether it takes new flows.
    pub fitness: Fitness,
    /// Open flows counted by all other instances, as last reported. Negative if the others saw
    /// more ends than starts because this instance saw the starts.
    pub remote_flows: i64,
    /// Stable identifier.
    pub id: key::Id,
    /// Service it belongs to.
    pub service: key::Service,
    /// Relative capacity, zero if the target takes no new flows for now.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug)]
pub struct Service {
    /// Buckets by number; the count is a power of two.
    pub buckets: Vec<Bucket>,
    /// Maximum number of open flows.
    pub connection_limit: u32,
    /// Time without packets after which a flow counts as ended.
    pub idle_timeout: time::Duration,
    /// Name of the service.
    pub name: CompactString,
    /// Targets of the sheet.
    pub targets: Vec<key::Target>,
}

impl Service {
    /// The bucket of a flow.
    pub fn bucket(&self, flow: flow::Key) -> key::Bucket {
        key::Bucket((flow.high & (self.buckets.len() as u64 - 1)) as u32)
    }
}

/// One instance that packets can be relayed to.
#[derive(Clone, Copy, Debug)]
pub struct Instance {
    /// Address of the first traffic shard; the others follow on the next ports.
    pub address: SocketAddr,
    /// Number of traffic shards.
    pub shards: u16,
}

/// Public address of a service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Address {
    /// Address.
    pub ip: IpAddr,
    /// Port.
    pub port: u16,
    /// Transport protocol.
    pub protocol: packet::Protocol,
}

/// The snapshot.
#[derive(Clone, Debug)]
pub struct View {
    /// Services by public address.
    pub addresses: HashMap<Address, key::Service>,
    /// Number of the snapshot, which only increases.
    pub generation: u64,
    /// Number of the last applied change of bucket owners or replicas.
    pub topology: u64,
    /// Instances by key, none where the instance is unknown.
    pub instances: Vec<Option<Instance>>,
    /// Leases, shared by all snapshots.
    pub lease: Lease,
    /// Whether this instance may be on the smaller side of a network partition.
    pub minority: bool,
    /// Targets by stable identifier.
    pub targets_by_id: HashMap<key::Id, key::Target>,
    /// Number of other instances that place flows.
    pub other_owners: u32,
    /// Revision of the sheet; zero while there is none.
    pub revision: u64,
    /// This instance.
    pub self_key: key::Instance,
    /// Services by key.
    pub services: Vec<Service>,
    /// Targets by key.
    pub targets: Vec<Target>,
}

impl View {
    /// A snapshot without a sheet.
    pub fn empty(self_key: key::Instance, lease: Lease) -> Self {
        Self {
            addresses: HashMap::new(),
            generation: 0,
            topology: 0,
            instances: Vec::new(),
            lease,
            minority: false,
            targets_by_id: HashMap::new(),
            other_owners: 0,
            revision: 0,
            self_key,
            services: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// The service at the destination of a flow.
    pub fn service(&self, tuple: &packet::Tuple) -> Option<key::Service> {
        let address = Address {
            ip: tuple.destination,
            port: tuple.destination_port,
            protocol: tuple.protocol,
        };
        self.addresses.get(&address).copied()
    }

    /// A target by key.
    pub fn target(&self, target: key::Target) -> Option<&Target> {
        self.targets.get(target.index())
    }
}
