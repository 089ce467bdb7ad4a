//! Packets that wait for a decision: for the replicas of their entry, or for a newer view.
//!
//! `release` decides again on them. The bytes stay with the transport.

use crate::coordination::verdict;
use crate::state::{key, time};

/// Longest time that a packet is held.
pub const MAX_HOLD_TIME: time::Duration = time::Duration::from_millis(1_800);

/// Why a packet is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// For the replicas of its entry.
    Replicas(key::Entry),
    /// For the transport to take its verdict; until then its key names no other packet.
    Released,
    /// For a newer view or lease.
    View,
}

/// A held packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) deadline: time::Instant,
    pub(crate) packet: verdict::Packet,
    pub(crate) reason: Reason,
}
