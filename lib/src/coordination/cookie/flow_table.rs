//! The flows that a traffic thread has seen, and their number on each target.
//!
//! A flow is held by its target until it closes or was idle for the time-out of the configuration,
//! and counts against the target's limit that long. It counts as load, and its packets as evidence,
//! only while packets pass through this instance. A flow without recent packets is idle, or passes
//! through another instance, which then counts it.

use std::net::SocketAddrV4;

use hashbrown::HashTable;

use crate::state::{arena, flow, key, snapshot, time};

/// Time without a packet after which a flow is no longer load, and what is known of its packets may
/// be out of date; above the usual pause between two requests of a flow.
const RECENT: time::Duration = time::Duration::from_secs(6);

/// Calls of `Table::evict_idle` in which the whole table is searched once.
const SWEEP_PARTS: usize = 10;

/// One flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Flow {
    /// Highest sequence number that the caller has acknowledged.
    pub acknowledged: u32,
    /// The caller.
    pub caller: SocketAddrV4,
    /// Retransmissions of the first packet seen so far.
    pub retransmissions: u32,
    /// Whether a packet after the first was seen.
    pub open: bool,
    /// When its last packet arrived.
    pub last_seen: time::Instant,
    /// Public address that the flow is for.
    pub route: SocketAddrV4,
    /// Length of the first packet of its last request.
    pub request_length: u16,
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

/// A flow with its key.
#[derive(Clone, Copy, Debug)]
struct Slot {
    flow: Flow,
    /// Whether it counts as load.
    is_load: bool,
    key: flow::Key,
}

/// Flows, and their load on each target.
#[derive(Clone, Debug, Default)]
pub struct Table {
    counts: Vec<snapshot::Load>,
    flows: arena::Arena<key::Entry, Slot>,
    index: HashTable<key::Entry>,
    /// Slot at which the next search for idle flows begins.
    sweep_start: usize,
}

impl Table {
    /// The load counted on a target.
    pub fn count(&self, target: key::Target) -> snapshot::Load {
        self.counts.get(target.index()).copied().unwrap_or_default()
    }

    /// Number of targets that have been counted.
    pub fn target_count(&self) -> usize {
        self.counts.len()
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
        Some(&self.flows.get(self.find(key)?)?.flow)
    }

    /// The flow of a key, if it had a packet recently.
    pub fn recent(&self, key: flow::Key, now: time::Instant) -> Option<&Flow> {
        let flow = self.get(key)?;
        (now.since(flow.last_seen) < RECENT).then_some(flow)
    }

    /// Adds or replaces a flow.
    pub fn insert(&mut self, key: flow::Key, flow: Flow) {
        let slot = Slot {
            flow,
            is_load: true,
            key,
        };
        match self.find(key) {
            Some(entry) => {
                if let Some(found) = self.flows.get_mut(entry) {
                    let before = std::mem::replace(found, slot);
                    self.subtract(&before);
                }
            }
            None => {
                let entry = self.flows.insert(slot);
                let flows = &self.flows;
                self.index.insert_unique(key.low, entry, |entry| {
                    flows.get(*entry).map_or(0, |slot| slot.key.low)
                });
            }
        }
        let count = arena::slot_or_default(&mut self.counts, flow.target.index());
        count.add(flow.waiting_since.is_some());
        count.held += 1;
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: flow::Key) {
        let flows = &self.flows;
        let found = self.index.find_entry(key.low, |entry| {
            flows.get(*entry).is_some_and(|slot| slot.key == key)
        });
        let Ok(found) = found else { return };
        let (entry, _) = found.remove();
        if let Some(slot) = self.flows.remove(entry) {
            self.subtract(&slot);
        }
    }

    /// Searches a part of the table for flows without a recent packet, which no longer count as load,
    /// and removes those that were idle for `idle_timeout`. A number of `SWEEP_PARTS` calls searches
    /// all of it.
    pub fn evict_idle(&mut self, now: time::Instant, idle_timeout: time::Duration) {
        let slots = self.flows.slot_count();
        let end = slots.min(self.sweep_start + slots.div_ceil(SWEEP_PARTS));
        for index in self.sweep_start..end {
            let Some(slot) = self.flows.get_mut(key::Entry::from(index)) else {
                continue;
            };
            let idle = now.since(slot.flow.last_seen);
            if idle < RECENT {
                continue;
            }
            if std::mem::take(&mut slot.is_load) {
                let count = arena::slot_or_default(&mut self.counts, slot.flow.target.index());
                count.subtract(slot.flow.waiting_since.is_some());
            }
            if idle >= idle_timeout {
                let key = slot.key;
                self.remove(key);
            }
        }
        self.sweep_start = if end == slots { 0 } else { end };
    }

    /// Open flows with recent packets whose callers wait for a response of a target in `targets`.
    pub fn waiting_on(&self, targets: &[key::Target]) -> Vec<(flow::Key, Flow)> {
        let slots = self.flows.iter().map(|(_, slot)| slot);
        slots
            .filter(|slot| slot.is_load && slot.flow.open && slot.flow.waiting_since.is_some())
            .filter(|slot| targets.contains(&slot.flow.target))
            .map(|slot| (slot.key, slot.flow))
            .collect()
    }

    fn find(&self, key: flow::Key) -> Option<key::Entry> {
        let matches = |entry: &key::Entry| {
            let slot = self.flows.get(*entry);
            slot.is_some_and(|slot| slot.key == key)
        };
        self.index.find(key.low, matches).copied()
    }

    fn subtract(&mut self, slot: &Slot) {
        let count = arena::slot_or_default(&mut self.counts, slot.flow.target.index());
        count.held = count.held.saturating_sub(1);
        if slot.is_load {
            count.subtract(slot.flow.waiting_since.is_some());
        }
    }
}
