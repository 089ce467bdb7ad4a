//! Parsing of IP packet headers, and building of packets that refuse a flow.

use std::net::IpAddr;

use etherparse::{
    IpNumber, Ipv4HeaderSlice, Ipv6ExtensionsSlice, Ipv6HeaderSlice, PacketBuilder, TcpHeaderSlice,
    UdpHeaderSlice, icmpv4, icmpv6,
};

use crate::state::{count, packet};

/// Maximum number of bytes of the refused packet that an ICMP message quotes.
const ICMP_QUOTE_BYTES: usize = 128;
/// Hop limit of packets that an instance creates.
const HOP_LIMIT: u8 = 64;

/// Parses the headers of a packet. The error is the counter of the reason to drop the packet.
pub fn parse(bytes: &[u8]) -> Result<packet::Header, count::Counter> {
    match bytes.first().map(|byte| byte >> 4) {
        Some(4) => parse_v4(bytes),
        Some(6) => parse_v6(bytes),
        Some(_) => Err(count::Counter::DropMalformed),
        None => Err(count::Counter::DropTruncated),
    }
}

fn parse_v4(bytes: &[u8]) -> Result<packet::Header, count::Counter> {
    let header = Ipv4HeaderSlice::from_slice(bytes).map_err(|_| count::Counter::DropMalformed)?;
    let total = usize::from(header.total_len());
    let start = header.slice().len();
    if total > bytes.len() {
        return Err(count::Counter::DropTruncated);
    }
    if total < start {
        return Err(count::Counter::DropMalformed);
    }
    if header.is_fragmenting_payload() {
        return Err(count::Counter::DropFragment);
    }
    let source = IpAddr::V4(header.source_addr());
    let destination = IpAddr::V4(header.destination_addr());
    parse_transport(header.protocol(), &bytes[start..total], source, destination)
}

fn parse_v6(bytes: &[u8]) -> Result<packet::Header, count::Counter> {
    let header = Ipv6HeaderSlice::from_slice(bytes).map_err(|_| count::Counter::DropMalformed)?;
    let start = header.slice().len();
    let total = start + usize::from(header.payload_length());
    if total > bytes.len() {
        return Err(count::Counter::DropTruncated);
    }
    let (extensions, protocol, payload) =
        Ipv6ExtensionsSlice::from_slice(header.next_header(), &bytes[start..total])
            .map_err(|_| count::Counter::DropMalformed)?;
    if extensions.is_fragmenting_payload() {
        return Err(count::Counter::DropFragment);
    }
    let source = IpAddr::V6(header.source_addr());
    let destination = IpAddr::V6(header.destination_addr());
    parse_transport(protocol, payload, source, destination)
}

fn parse_transport(
    protocol: IpNumber,
    payload: &[u8],
    source: IpAddr,
    destination: IpAddr,
) -> Result<packet::Header, count::Counter> {
    let (protocol, source_port, destination_port, kind) = match protocol {
        IpNumber::TCP => {
            let tcp =
                TcpHeaderSlice::from_slice(payload).map_err(|_| count::Counter::DropTruncated)?;
            let has_data = payload.len() > tcp.slice().len();
            let kind = tcp_kind(&tcp, has_data);
            (
                packet::Protocol::Tcp,
                tcp.source_port(),
                tcp.destination_port(),
                kind,
            )
        }
        IpNumber::UDP => {
            let udp =
                UdpHeaderSlice::from_slice(payload).map_err(|_| count::Counter::DropTruncated)?;
            let kind = packet::Kind::Datagram;
            (
                packet::Protocol::Udp,
                udp.source_port(),
                udp.destination_port(),
                kind,
            )
        }
        _ => return Err(count::Counter::DropProtocol),
    };
    Ok(packet::Header {
        kind,
        tuple: packet::Tuple {
            destination,
            destination_port,
            protocol,
            source,
            source_port,
        },
    })
}

/// A SYN with data counts as a packet in mid-flow: a refusal could concern a request that has
/// already been executed.
fn tcp_kind(tcp: &TcpHeaderSlice<'_>, has_data: bool) -> packet::Kind {
    if tcp.rst() {
        packet::Kind::Rst
    } else if tcp.syn() && !tcp.ack() && !has_data {
        packet::Kind::Syn
    } else if tcp.fin() {
        packet::Kind::Fin
    } else {
        packet::Kind::Established
    }
}

/// The refusal of a first packet: RST for TCP, ICMP port unreachable for UDP. None if the packet
/// cannot be refused.
pub fn refusal(bytes: &[u8], header: &packet::Header) -> Option<Vec<u8>> {
    match header.kind {
        packet::Kind::Syn => tcp_reset(bytes, header),
        packet::Kind::Datagram => icmp_unreachable(bytes, header),
        _ => None,
    }
}

fn tcp_reset(bytes: &[u8], header: &packet::Header) -> Option<Vec<u8>> {
    let sequence = tcp_sequence(bytes)?;
    let tuple = &header.tuple;
    let builder = match (tuple.source, tuple.destination) {
        (IpAddr::V4(source), IpAddr::V4(destination)) => {
            PacketBuilder::ipv4(destination.octets(), source.octets(), HOP_LIMIT)
        }
        (IpAddr::V6(source), IpAddr::V6(destination)) => {
            PacketBuilder::ipv6(destination.octets(), source.octets(), HOP_LIMIT)
        }
        _ => return None,
    };
    let builder = builder
        .tcp(tuple.destination_port, tuple.source_port, 0, 0)
        .rst()
        .ack(sequence.wrapping_add(1));
    let mut packet = Vec::with_capacity(builder.size(0));
    builder.write(&mut packet, &[]).ok()?;
    Some(packet)
}

fn tcp_sequence(bytes: &[u8]) -> Option<u32> {
    let packet = etherparse::SlicedPacket::from_ip(bytes).ok()?;
    match packet.transport? {
        etherparse::TransportSlice::Tcp(tcp) => Some(tcp.sequence_number()),
        _ => None,
    }
}

fn icmp_unreachable(bytes: &[u8], header: &packet::Header) -> Option<Vec<u8>> {
    let quote = &bytes[..bytes.len().min(ICMP_QUOTE_BYTES)];
    let mut packet = Vec::new();
    match (header.tuple.source, header.tuple.destination) {
        (IpAddr::V4(source), IpAddr::V4(destination)) => {
            let kind =
                etherparse::Icmpv4Type::DestinationUnreachable(icmpv4::DestUnreachableHeader::Port);
            PacketBuilder::ipv4(destination.octets(), source.octets(), HOP_LIMIT)
                .icmpv4(kind)
                .write(&mut packet, quote)
                .ok()?;
        }
        (IpAddr::V6(source), IpAddr::V6(destination)) => {
            let kind =
                etherparse::Icmpv6Type::DestinationUnreachable(icmpv6::DestUnreachableCode::Port);
            PacketBuilder::ipv6(destination.octets(), source.octets(), HOP_LIMIT)
                .icmpv6(kind)
                .write(&mut packet, quote)
                .ok()?;
        }
        _ => return None,
    }
    Some(packet)
}
