//! Time to steer one packet: parsing and hashing its headers, steering it in a direct bucket, and
//! steering it by a flow entry.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use etherparse::PacketBuilder;
use quetzal_lib::coordination::{hash, steering, verdict};
use quetzal_lib::protocol::ip;
use quetzal_lib::state::packet;
use quetzal_testutils::{caller, fleet, sheet};

fn one_instance(share: u16) -> fleet::Fleet {
    let mut options = fleet::Options::new(1);
    options.nodes = 1;
    options.zones = 1;
    let mut fleet = fleet::Fleet::new(options);
    fleet.publish(sheet::sheet(1, &[sheet::Service::new("only", 14, share)]));
    fleet.run(Duration::from_secs(6));
    for _ in 0..2_000 {
        fleet.start_flow(
            0,
            packet::Protocol::Tcp,
            Duration::from_secs(60),
            Duration::from_secs(5),
        );
    }
    fleet.run(Duration::from_secs(2));
    fleet
}

fn steer(criterion: &mut Criterion, name: &str, share: u16) {
    let mut fleet = one_instance(share);
    let now = fleet.now;
    let packets: Vec<verdict::Packet> = fleet
        .flows
        .iter()
        .map(|flow| verdict::Packet {
            flow: flow.key,
            header: packet::Header {
                kind: packet::Kind::Established,
                tuple: flow.tuple,
            },
            hops: steering::MAX_HOPS,
        })
        .collect();
    let node = &mut fleet.nodes[0];
    let view = node.view.clone();
    let mut next = 0;
    criterion.bench_function(name, |bencher| {
        bencher.iter(|| {
            next = (next + 1) % packets.len();
            black_box(node.shard.steer(&view, now, black_box(packets[next])))
        });
    });
}

fn decisions(criterion: &mut Criterion) {
    let mut bytes = Vec::new();
    PacketBuilder::ipv4([10, 0, 0, 9], [10, 0, 0, 1], 64)
        .tcp(4_000, 80, 9, 1_024)
        .write(&mut bytes, &[0; 100])
        .expect("a packet");
    criterion.bench_function("parse headers", |bencher| {
        bencher.iter(|| black_box(ip::parse(black_box(&bytes))));
    });
    let header = ip::parse(&bytes).expect("a valid packet");
    criterion.bench_function("hash headers", |bencher| {
        bencher.iter(|| black_box(hash::flow_key(caller::SECRET, black_box(&header.tuple))));
    });
    steer(criterion, "steer direct", 0);
    steer(criterion, "steer by entry", 1_000);
}

criterion_group!(benches, decisions);
criterion_main!(benches);
