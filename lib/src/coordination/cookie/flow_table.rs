//! The flows that a traffic thread has seen recently, and their number on each target.
//!
//! A flow is counted while its packets pass through this instance. A flow without recent packets
//! has ended, or passes through another instance, which then counts it.

use std::collections::HashMap;

use crate::state::{arena, flow, key, snapshot, time};

/// Time without a packet after which a flow is no longer counted here; above the usual pause
/// between two requests of a flow.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// One flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Flow {
    /// Highest sequence number that the caller has acknowledged.
    pub acknowledged: u32,
    /// Retransmissions of the first packet seen so far.
    pub retransmissions: u32,
    /// Whether a packet after the first was seen.
    pub open: bool,
    /// When its last packet arrived.
    pub last_seen: time::Instant,
    /// Sequence number after the last data that the caller has sent.
    pub sent_end: u32,
    /// When the caller last sent new data.
    pub sent_at: time::Instant,
    /// Its target.
    pub target: key::Target,
    /// Earlier targets of the first packet, latest first.
    pub tried: [Option<key::Target>; 2],
    /// Since when the caller waits for a response; none while it waits for none.
    pub waiting_since: Option<time::Instant>,
}

/// Flows, and their load on each target.
#[derive(Clone, Debug, Default)]
pub struct Table {
    counts: Vec<snapshot::Load>,
    flows: arena::Arena<key::Entry, Flow>,
    index: HashMap<flow::Key, key::Entry>,
}

impl Table {
    /// The load counted on a target.
    pub fn count(&self, target: key::Target) -> snapshot::Load {
        self.counts.get(target.index()).copied().unwrap_or_default()
    }

    /// The loads of targets that have flows.
    pub fn counts(&self) -> impl Iterator<Item = (key::Target, snapshot::Load)> {
        self.counts
            .iter()
            .enumerate()
            .filter(|(_, count)| count.flows > 0)
            .map(|(index, count)| (key::Target::from(index), *count))
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether there is no flow.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// The flow of a key.
    pub fn get(&self, key: flow::Key) -> Option<&Flow> {
        self.flows.get(*self.index.get(&key)?)
    }

    /// Adds or replaces a flow.
    pub fn insert(&mut self, key: flow::Key, flow: Flow) {
        self.remove(key);
        self.count_mut(flow.target)
            .add(flow.waiting_since.is_some());
        let entry = self.flows.insert(flow);
        self.index.insert(key, entry);
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: flow::Key) {
        if let Some(flow) = self
            .index
            .remove(&key)
            .and_then(|entry| self.flows.remove(entry))
        {
            self.count_mut(flow.target)
                .subtract(flow.waiting_since.is_some());
        }
    }

    /// Removes the flows without a recent packet.
    pub fn evict_idle(&mut self, now: time::Instant) {
        let idle: Vec<flow::Key> = self
            .index
            .iter()
            .filter(|(_, entry)| {
                let flow = self.flows.get(**entry);
                flow.is_some_and(|flow| now.since(flow.last_seen) >= IDLE_TIMEOUT)
            })
            .map(|(key, _)| *key)
            .collect();
        for key in idle {
            self.remove(key);
        }
    }

    fn count_mut(&mut self, target: key::Target) -> &mut snapshot::Load {
        arena::slot_or_default(&mut self.counts, target.index())
    }
}
