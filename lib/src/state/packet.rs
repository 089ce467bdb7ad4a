//! What a decision needs to know of one packet; the bytes stay in the transport's buffer.

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

/// Place of a packet in the life of its flow, as far as its own headers tell.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Kind {
    /// TCP SYN without data.
    Syn,
    /// TCP packet of an established flow.
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
    /// Place in the life of the flow.
    pub kind: Kind,
    /// Addresses and ports.
    pub tuple: Tuple,
}
