//! Replicas of flow entries: which entries need them, and which requests are pending.
//!
//! An entry needs replicas if its target is not the fallback or its bucket is settling. The owner
//! sends it to the deputy, and to the instances that a pending change of membership will make owner
//! or deputy; `replication` does so.

use std::collections::{BTreeMap, HashMap};

use crate::coordination::message;
use crate::state::{flow, key, time, view};

/// Replicas requested but not acknowledged, and messages to send.
#[derive(Debug, Default)]
pub struct Outbox {
    pub(crate) cursor: usize,
    pub(crate) ended_flows: BTreeMap<key::Instance, Vec<flow::Key>>,
    pub(crate) acknowledgements: BTreeMap<key::Instance, Vec<u64>>,
    pub(crate) pending: BTreeMap<key::Entry, Pending>,
    pub(crate) placements: BTreeMap<key::Instance, Vec<message::Placement>>,
    /// Whether the running pass has found all required replicas in place so far.
    pub(crate) pass_synced: bool,
    /// Whether the running pass has found every entry of another owner's bucket known to that owner
    /// so far.
    pub(crate) pass_owners_synced: bool,
    /// Last topology seen, and the tick at which it was first seen.
    pub(crate) topology: (u64, flow::Tick),
    /// Topology at the start of the running pass.
    pub(crate) pass_topology: u64,
    /// Generation at the start of the running pass.
    pub(crate) pass_generation: u64,
    /// Deviating entries found by the running pass.
    pub(crate) pass_deviating: HashMap<(key::Service, key::Bucket), u32>,
    pub(crate) sweep_keys: Vec<key::Entry>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
    pub(crate) retransmit_at: time::Instant,
    pub(crate) timeout: time::Duration,
}

impl Outbox {
    /// Removes the pending requests for an entry that was removed.
    pub(crate) fn remove_pending(&mut self, key: key::Entry) {
        self.pending.remove(&key);
    }
}

/// Result of one complete pass over the entries.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Census {
    /// Number of entries of each bucket whose target is not the fallback.
    pub deviating: HashMap<(key::Service, key::Bucket), u32>,
    /// Generation of the view at the start of the pass.
    pub generation: u64,
    /// Topology for which every entry of another owner's bucket is known to that owner, if all are.
    pub owners_topology: Option<u64>,
    /// Topology for which all replicas are in place, if they are.
    pub synced_topology: Option<u64>,
}

/// The bucket of an entry; none if the view lacks it.
pub fn bucket_of<'a>(view: &'a view::View, entry: &flow::Entry) -> Option<&'a view::Bucket> {
    let service = view
        .services
        .get(view.target(entry.target)?.service.index())?;
    service.buckets.get(service.bucket(entry.flow).index())
}

/// Whether an entry with this target needs replicas.
pub fn needs_replicas(bucket: &view::Bucket, target: key::Target) -> bool {
    target != bucket.fallback || bucket.settling
}

/// Whether all required replicas are acknowledged.
pub fn has_replicas(bucket: &view::Bucket, entry: &flow::Entry) -> bool {
    bucket.required_replicas & !entry.acked_replicas == 0
}
