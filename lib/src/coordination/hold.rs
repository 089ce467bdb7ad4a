//! Held packets, which wait for the replicas of their entry or for a newer view.
//!
//! `release` decides on them again. The transport layer keeps the bytes of the packets.

use crate::coordination::verdict;
use crate::state::{key, time};

/// Longest time that a packet is held.
pub const MAX_HOLD_TIME: time::Duration = time::Duration::from_millis(1_800);

/// Why a packet is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reason {
    /// Waits for the replicas of its entry.
    Replicas(key::Entry),
    /// Waits for the transport layer to take its verdict; until then its key is not reused.
    Released,
    /// Waits for a newer view or lease.
    View,
}

/// A held packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) deadline: time::Instant,
    pub(crate) packet: verdict::Packet,
    pub(crate) reason: Reason,
}
