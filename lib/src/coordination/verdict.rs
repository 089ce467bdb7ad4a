//! A packet to steer, and what becomes of it.

use crate::state::{count, flow, key, packet};

/// One packet to steer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Packet {
    /// The flow.
    pub flow: flow::Key,
    /// The parsed headers.
    pub header: packet::Header,
    /// Relays that the packet may still take.
    pub hops: u8,
}

/// What becomes of a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Dropped, and counted under the reason.
    Drop(count::Counter),
    /// Sent to a target.
    Forward(key::Target),
    /// Kept until `Shard::take_released` names it.
    Hold(key::Held),
    /// Answered with a refusal.
    Refuse,
    /// Sent on to an instance, with the relays that remain.
    Relay(key::Instance, u8),
}
