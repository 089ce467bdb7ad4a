//! The flow table of one shard: entries in an arena, with a hash index over them.
//!
//! An entry takes 40 bytes and its index slot 6 to 11 bytes, below the limit of 64 bytes per flow.
//! An entry does not store its service, which is the service of its target.

use hashbrown::HashTable;
use serde::{Deserialize, Serialize};

use crate::state::{arena, key, time};

/// Keyed hash of a flow's protocol, addresses and ports, wide enough to identify the flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Half that selects the bucket.
    pub high: u64,
    /// Half that selects the shard and serves as hash in the index of the flow table.
    pub low: u64,
}

/// Phase of a flow, derived from the caller's packets.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Phase {
    /// Only first packets were seen.
    Opening,
    /// Later packets were seen.
    Open,
    /// The caller has sent FIN.
    Closing,
    /// The caller has sent RST.
    Reset,
}

/// Role of this instance for a flow entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// This instance owns the flow's bucket.
    Owner,
    /// This instance keeps a replica of the owner's entry.
    Replica,
}

/// Time in units of 100 ms, which keeps entries small.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Tick(pub u32);

impl Tick {
    const MICROS: u64 = 100_000;

    /// The tick of an instant.
    pub fn at(now: time::Instant) -> Self {
        Self((now.0 / Self::MICROS) as u32)
    }

    /// Time from an earlier tick to this one, zero if that one is later.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(u64::from(self.0.saturating_sub(earlier.0)) * Self::MICROS)
    }
}

/// Target and state of one flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Whether all required replicas have been acknowledged once. Packets are held until then.
    pub confirmed: bool,
    /// Instances that acknowledged a replica, one bit each.
    pub acked_replicas: u32,
    /// The flow.
    pub flow: Key,
    /// Phase of the flow.
    pub phase: Phase,
    /// Tick of the placement.
    pub placed_at: Tick,
    /// Whether this instance has forwarded a packet according to the entry.
    pub has_forwarded: bool,
    /// Tick of the last refresh of the replicas.
    pub refreshed_at: Tick,
    /// Whether this is the owner's entry or a replica.
    pub role: Role,
    /// Tick of the last packet.
    pub last_seen: Tick,
    /// Target of the flow.
    pub target: key::Target,
}

impl Entry {
    /// Whether the entry counts as an open flow of this instance.
    pub fn is_counted(&self) -> bool {
        self.role == Role::Owner && matches!(self.phase, Phase::Opening | Phase::Open)
    }
}

/// Entries of one shard.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: arena::Arena<key::Entry, Entry>,
    index: HashTable<key::Entry>,
}

impl Table {
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry of a flow.
    pub fn find(&self, flow: Key) -> Option<key::Entry> {
        let entries = &self.entries;
        self.index
            .find(flow.low, |key| {
                entries.get(*key).is_some_and(|entry| entry.flow == flow)
            })
            .copied()
    }

    /// The entry of a flow by the low half of its key.
    pub fn find_by_low(&self, low: u64) -> Option<key::Entry> {
        let entries = &self.entries;
        self.index
            .find(low, |key| {
                entries.get(*key).is_some_and(|entry| entry.flow.low == low)
            })
            .copied()
    }

    /// An entry by key.
    pub fn get(&self, key: key::Entry) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// An entry by key, mutable. Callers must not change its `flow`, from which the index derives
    /// the hash.
    pub fn get_mut(&mut self, key: key::Entry) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Adds an entry for a flow that has none.
    pub fn insert(&mut self, entry: Entry) -> key::Entry {
        debug_assert!(self.find(entry.flow).is_none());
        let key = self.entries.insert(entry);
        let entries = &self.entries;
        self.index.insert_unique(entry.flow.low, key, |key| {
            entries.get(*key).map_or(0, |entry| entry.flow.low)
        });
        key
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: key::Entry) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        if let Ok(occupied) = self.index.find_entry(entry.flow.low, |found| *found == key) {
            occupied.remove();
        }
        Some(entry)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (key::Entry, &Entry)> {
        self.entries.iter()
    }

    /// Replaces `keys` by the keys of the entries in the next `count` slots and advances the cursor
    /// past these slots. Returns whether this completes a pass over all slots; the cursor is then
    /// reset to the start.
    pub fn sweep(&self, cursor: &mut usize, count: usize, keys: &mut Vec<key::Entry>) -> bool {
        keys.clear();
        let slots = self.entries.slot_count();
        let end = (*cursor + count).min(slots);
        for index in *cursor..end {
            let key = key::Entry::from(index);
            if self.entries.get(key).is_some() {
                keys.push(key);
            }
        }
        let complete = end >= slots;
        *cursor = if complete { 0 } else { end };
        complete
    }
}
