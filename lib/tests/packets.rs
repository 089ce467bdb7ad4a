//! Packet parsing: the kind of a packet, the reasons to drop it, and refusals.

use etherparse::{PacketBuilder, SlicedPacket, TransportSlice};
use quetzal_lib::protocol::ip;
use quetzal_lib::state::{count, packet};

const CALLER: [u8; 4] = [10, 0, 0, 9];
const SERVICE: [u8; 4] = [10, 0, 0, 1];

fn tcp(flags: &str, payload: &[u8]) -> Vec<u8> {
    let mut builder = PacketBuilder::ipv4(CALLER, SERVICE, 64).tcp(4_000, 80, 99, 1_024);
    for flag in flags.chars() {
        builder = match flag {
            'S' => builder.syn(),
            'A' => builder.ack(1),
            'F' => builder.fin(),
            'R' => builder.rst(),
            _ => builder,
        };
    }
    let mut bytes = Vec::new();
    builder.write(&mut bytes, payload).expect("a packet");
    bytes
}

fn udp_v6(payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    PacketBuilder::ipv6([1; 16], [2; 16], 64)
        .udp(5_000, 53)
        .write(&mut bytes, payload)
        .expect("a packet");
    bytes
}

#[test]
fn kinds_follow_the_flags() {
    let kind = |bytes: &[u8]| ip::parse(bytes).expect("a valid packet").kind;
    assert_eq!(kind(&tcp("S", &[])), packet::Kind::Syn);
    assert_eq!(
        kind(&tcp("S", b"data")),
        packet::Kind::Established,
        "a SYN with data is never refused"
    );
    assert_eq!(kind(&tcp("SA", &[])), packet::Kind::Established);
    assert_eq!(kind(&tcp("A", b"data")), packet::Kind::Established);
    assert_eq!(kind(&tcp("FA", &[])), packet::Kind::Fin);
    assert_eq!(kind(&tcp("RA", &[])), packet::Kind::Rst);
    assert_eq!(kind(&udp_v6(b"x")), packet::Kind::Datagram);
}

#[test]
fn reasons_to_drop_are_told_apart() {
    let whole = tcp("A", b"data");
    assert_eq!(ip::parse(&[]), Err(count::Counter::DropTruncated));
    assert_eq!(
        ip::parse(&whole[..whole.len() - 1]),
        Err(count::Counter::DropTruncated)
    );
    assert_eq!(ip::parse(&[0x10; 40]), Err(count::Counter::DropMalformed));
    let mut fragment = whole.clone();
    fragment[6] = 0x20;
    assert_eq!(ip::parse(&fragment), Err(count::Counter::DropFragment));
    let mut other = whole;
    other[9] = 47;
    assert_eq!(ip::parse(&other), Err(count::Counter::DropProtocol));
}

#[test]
fn a_refused_syn_gets_a_reset_that_its_caller_takes() {
    let bytes = tcp("S", &[]);
    let header = ip::parse(&bytes).expect("a valid packet");
    let refusal = ip::refusal(&bytes, &header).expect("a refusal");
    let parsed = SlicedPacket::from_ip(&refusal).expect("a valid packet");
    let Some(TransportSlice::Tcp(reset)) = parsed.transport else {
        panic!("not TCP");
    };
    assert!(reset.rst() && reset.ack());
    assert_eq!(reset.acknowledgment_number(), 100);
    assert_eq!((reset.source_port(), reset.destination_port()), (80, 4_000));
}

#[test]
fn a_refused_datagram_gets_an_unreachable_message() {
    let bytes = udp_v6(b"question");
    let header = ip::parse(&bytes).expect("a valid packet");
    let refusal = ip::refusal(&bytes, &header).expect("a refusal");
    let parsed = SlicedPacket::from_ip(&refusal).expect("a valid packet");
    assert!(matches!(parsed.transport, Some(TransportSlice::Icmpv6(_))));
}

#[test]
fn a_packet_in_mid_flow_is_never_refused() {
    for flags in ["A", "SA", "FA", "RA"] {
        let bytes = tcp(flags, &[]);
        let header = ip::parse(&bytes).expect("a valid packet");
        assert_eq!(ip::refusal(&bytes, &header), None, "{flags}");
    }
}
