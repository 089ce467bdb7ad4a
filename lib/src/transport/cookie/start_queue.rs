//! Packets that arrive before the first registry data.
//!
//! After a loss of all instances callers retransmit while instances start. An instance without
//! registry data cannot tell where a packet goes. It keeps the packet for a short time instead of
//! leaving it to the caller's next retransmission, which may come only after the request's timeout.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::state::{packet, segment, time};

/// Largest number of packets that are held.
const MAX_PACKETS: usize = 1_024;
/// Longest time that a packet is held: callers give up an attempt to open a flow after 1.4 s.
const MAX_HOLD_TIME: time::Duration = time::Duration::from_millis(1_400);

/// A held packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Bytes of the datagram.
    pub bytes: Vec<u8>,
    /// The parsed packet.
    pub segment: segment::Segment,
    received_at: time::Instant,
}

/// What identifies a packet and its retransmissions.
type Identity = (SocketAddrV4, SocketAddrV4, packet::Kind, u32);

/// The held packets, in the order of their first arrival.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    index: HashMap<Identity, usize>,
    packets: Vec<Packet>,
}

impl Queue {
    /// Holds a packet in place of one that it retransmits; returns false if the queue is full.
    pub fn push(&mut self, now: time::Instant, segment: segment::Segment, bytes: &[u8]) -> bool {
        let identity = (
            segment.caller,
            segment.route,
            segment.kind,
            segment.sequence,
        );
        let packet = Packet {
            bytes: bytes.to_vec(),
            received_at: now,
            segment,
        };
        if let Some(index) = self.index.get(&identity) {
            self.packets[*index] = packet;
            return true;
        }
        if self.packets.len() >= MAX_PACKETS {
            return false;
        }
        self.index.insert(identity, self.packets.len());
        self.packets.push(packet);
        true
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }

    /// Takes all packets that were not held too long; returns them and the number of the others.
    pub fn take(&mut self, now: time::Instant) -> (Vec<Packet>, usize) {
        self.index.clear();
        let mut packets = std::mem::take(&mut self.packets);
        let count = packets.len();
        packets.retain(|packet| now.since(packet.received_at) < MAX_HOLD_TIME);
        let dropped = count - packets.len();
        (packets, dropped)
    }
}
