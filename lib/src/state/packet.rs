//! The header fields of a packet on which decisions depend. The bytes of the packet stay in the
//! buffer of the transport layer.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Transport protocol of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Transmission Control Protocol.
    Tcp,
    /// User Datagram Protocol.
    Udp,
}

/// Kind of a packet: whether it opens, continues or ends a flow, as far as its headers tell.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Kind {
    /// TCP SYN without data.
    Syn,
    /// Any other TCP packet, treated as a packet of an established flow.
    Established,
    /// TCP FIN.
    Fin,
    /// TCP RST.
    Rst,
    /// UDP datagram, which may be the first of its flow or a later one.
    Datagram,
}

/// Addresses and ports of a flow, as seen from the caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Tuple {
    /// Destination address: the public address of a service.
    pub destination: IpAddr,
    /// Destination port.
    pub destination_port: u16,
    /// Transport protocol.
    pub protocol: Protocol,
    /// Source address: the caller.
    pub source: IpAddr,
    /// Source port.
    pub source_port: u16,
}

/// One parsed packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Header {
    /// Kind of the packet.
    pub kind: Kind,
    /// Addresses and ports.
    pub tuple: Tuple,
}
