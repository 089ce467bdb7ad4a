//! A packet to steer and the verdict on it.

use crate::state::{count, flow, key, packet};

/// One packet to steer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// The flow.
    pub flow: flow::Key,
    /// The parsed headers.
    pub header: packet::Header,
    /// Number of times that the packet may still be relayed.
    pub hops: u8,
}

/// The decision on a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Drop it and count it under the reason.
    Drop(count::Counter),
    /// Forward it to a target.
    Forward(key::Target),
    /// Hold it until `Shard::take_released` returns its key.
    Hold(key::Held),
    /// Answer it with a refusal.
    Refuse,
    /// Relay it to an instance, with the number of relays that remain.
    Relay(key::Instance, u8),
}
