//! The flows that a traffic thread has seen lately, and how many it counts on each target.
//!
//! A flow is counted while its packets come by this instance. One that was not seen for a while has
//! ended or comes by another instance, which then counts it.

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
    /// Copies of the first packet seen so far.
    pub copies: u32,
    /// Whether a packet after the first was seen.
    pub open: bool,
    /// Last packet.
    pub last_seen: time::Instant,
    /// End of the data that the caller has sent.
    pub sent_end: u32,
    /// When the caller last sent new data.
    pub sent_at: time::Instant,
    /// Its target.
    pub target: key::Target,
    /// Targets that got a copy of the first packet before.
    pub tried: [Option<key::Target>; 2],
    /// When the caller began to wait for something new, none while nothing is outstanding.
    pub waiting_since: Option<time::Instant>,
}

/// Flows and their number on each target.
#[derive(Clone, Debug, Default)]
pub struct Table {
    counts: Vec<snapshot::Load>,
    flows: arena::Arena<key::Entry, Flow>,
    index: HashMap<flow::Key, key::Entry>,
}

impl Table {
    /// What is counted on a target.
    pub fn count(&self, target: key::Target) -> snapshot::Load {
        self.counts.get(target.index()).copied().unwrap_or_default()
    }

    /// What is counted, by target.
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

    /// A flow.
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

    /// Removes the flows that were not seen for a while.
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
