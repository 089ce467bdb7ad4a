//! The fields of a packet with a cookie on which decisions depend.

use std::net::SocketAddrV4;

use crate::state::{packet, snapshot};

/// One parsed packet from a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Sequence number up to which the caller has received; zero in a first packet.
    pub acknowledged: u32,
    /// The caller.
    pub caller: SocketAddrV4,
    /// Cookie that the caller echoed.
    pub cookie: snapshot::Cookie,
    /// How often the caller has sent the same first packet before.
    pub retransmissions: u32,
    /// Kind of the packet.
    pub kind: packet::Kind,
    /// Length of the data in bytes.
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
