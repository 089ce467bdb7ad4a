//! Held packets keep their keys until the transport layer has taken their verdicts.

use std::time::Duration;

use quetzal_lib::coordination::{message, verdict};
use quetzal_lib::state::{key, packet, time};
use quetzal_testutils::{caller, fleet, sheet};

use crate::scenario;

/// Largest number of flows tried to find some whose first packet is held.
const MAX_ATTEMPTS: usize = 2_000;

/// Finds `count` flows whose first packets the first node of a fleet holds until their replicas are
/// acknowledged. Returns the packets and their verdicts.
fn hold_first_packets(
    fleet: &mut fleet::Fleet,
    count: usize,
) -> Vec<(verdict::Packet, verdict::Verdict)> {
    let now = fleet.now;
    let ends = time::Instant::NEVER;
    let node = &mut fleet.nodes[0];
    let mut found = Vec::new();
    for number in 0..MAX_ATTEMPTS {
        let tcp = packet::Protocol::Tcp;
        let flow = caller::Flow::new(number, 0, tcp, ends, Duration::from_secs(1));
        let packet = verdict::Packet {
            flow: flow.key,
            header: packet::Header {
                kind: packet::Kind::Syn,
                tuple: flow.tuple,
            },
            hops: 0,
        };
        let verdict = node.shard.steer(&node.view, now, packet);
        if matches!(verdict, verdict::Verdict::Hold(_)) {
            found.push((packet, verdict));
        }
        if found.len() == count {
            break;
        }
    }
    assert_eq!(found.len(), count, "flows held for their replicas");
    found
}

/// Guards against the reuse of a key that the transport layer still has: the replicas of a held
/// packet are acknowledged, and further packets are held before its verdict is taken. With the same
/// key, a later packet would get the verdict of the first one.
#[test]
fn a_packet_held_before_a_verdict_is_taken_gets_a_key_of_its_own() {
    let services = vec![sheet::Service::new("only", 8, 1_000)];
    let mut fleet = scenario::start_fleet(fleet::Options::new(5), &services);
    fleet.run(Duration::from_secs(5));
    let first = hold_first_packets(&mut fleet, 1)[0];
    let (now, peers) = (fleet.now, fleet.nodes.len() as u16);
    let node = &mut fleet.nodes[0];
    for peer in 1..peers {
        let acknowledgement = message::Traffic::Acknowledge(vec![first.0.flow.low]);
        node.shard
            .receive(&node.view, now, key::Instance(peer), acknowledgement);
    }
    // More packets of the same batch are held before the verdicts are taken.
    let later = hold_first_packets(&mut fleet, 2);
    let node = &mut fleet.nodes[0];
    let released = node.shard.take_released();
    assert_eq!(released.len(), 1, "the first packet has a verdict");
    for (_, verdict) in later {
        assert_ne!(verdict, first.1, "the key of the first packet was reused");
        assert_ne!(verdict, verdict::Verdict::Hold(released[0].0));
    }
    assert_eq!(node.shard.held_count(), 2);
}
