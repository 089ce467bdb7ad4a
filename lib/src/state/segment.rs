//! A packet of a flow that carries a cookie, as far as decisions need to know it.

use std::net::SocketAddrV4;

use crate::state::{packet, snapshot};

/// One parsed packet from a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Sequence number up to which the caller has received; zero in a first packet.
    pub acknowledged: u32,
    /// The caller.
    pub caller: SocketAddrV4,
    /// Cookie that the caller sent back.
    pub cookie: snapshot::Cookie,
    /// Copies of a first packet that were sent before this one.
    pub retransmissions: u32,
    /// Place in the life of the flow.
    pub kind: packet::Kind,
    /// Bytes of data.
    pub length: u16,
    /// Public address that the packet is for.
    pub route: SocketAddrV4,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
}

impl Segment {
    /// Addresses and ports of the flow.
    pub fn tuple(&self) -> packet::Tuple {
        packet::Tuple {
            destination: (*self.route.ip()).into(),
            destination_port: self.route.port(),
            protocol: packet::Protocol::Tcp,
            source: (*self.caller.ip()).into(),
            source_port: self.caller.port(),
        }
    }
}
