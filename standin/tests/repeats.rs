//! A duplicated first packet must not open a second connection. The network delivers each SYN
//! twice, and the duplicate arrives while the connection is open.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use quetzal_lib::protocol::ip;
use quetzal_lib::state::packet;
use quetzal_lib::transport::http_client;
use quetzal_standin::{caller, target};

/// Delay of a duplicate; shorter than the shortest flows, so that it arrives while they are open.
const DUPLICATE_DELAY: Duration = Duration::from_millis(8);
/// Number of ended flows after which the test checks the report.
const MIN_FLOWS: u64 = 200;
/// Longest wait for this number of flows.
const TIMEOUT: Duration = Duration::from_secs(20);

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, 90, 0, last)), port)
}

/// Forwards packets of callers to a target, and first packets a second time after a delay.
fn forward_with_duplicates(from: SocketAddr, to: SocketAddr) {
    let socket = UdpSocket::bind(from).expect("the network's socket");
    let duplicate_socket = socket.try_clone().expect("the network's socket");
    let (duplicates, queue) = mpsc::channel::<(Instant, Vec<u8>)>();
    std::thread::spawn(move || {
        for (due, bytes) in queue {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            duplicate_socket
                .send_to(&bytes, to)
                .expect("the network sends");
        }
    });
    std::thread::spawn(move || {
        let mut buffer = [0; 2_048];
        while let Ok((length, _)) = socket.recv_from(&mut buffer) {
            let bytes = &buffer[..length];
            socket.send_to(bytes, to).expect("the network sends");
            if ip::parse(bytes).is_ok_and(|header| header.kind == packet::Kind::Syn) {
                let duplicate = (Instant::now() + DUPLICATE_DELAY, bytes.to_vec());
                duplicates.send(duplicate).expect("the duplicates are sent");
            }
        }
    });
}

#[test]
fn a_repeated_first_packet_opens_one_connection() {
    let vip = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 90, 0, 1)), 80);
    let targets = target::Config {
        admin: address(1, 9_000),
        callers: address(2, 6_080),
        targets: vec![target::Target {
            address: address(3, 6_080),
            health: address(3, 9_000),
            name: "one".to_owned(),
            service: "board".to_owned(),
            slots: 64,
            vip,
        }],
    };
    let callers = caller::Config {
        addresses: vec![IpAddr::V4(Ipv4Addr::new(10, 9, 0, 1))],
        admin: address(2, 9_000),
        fabric: address(4, 6_080),
        listen: address(2, 6_080),
        loads: vec![caller::Load {
            download_bytes: 20_000,
            feed_millis: 500,
            rate: 60.0,
            service: "board".to_owned(),
            vip,
            weights: [60, 20, 10, 10],
        }],
        seed: 7,
    };
    forward_with_duplicates(address(4, 6_080), address(3, 6_080));
    std::thread::spawn(move || target::run(&targets).expect("the target runs"));
    std::thread::spawn(move || caller::run(callers).expect("the callers run"));
    let end = Instant::now() + TIMEOUT;
    let report = loop {
        let report: caller::Report =
            http_client::get_json(address(2, 9_000), "/").unwrap_or_default();
        let ended = report.completed + report.broken.values().sum::<u64>() + report.refused;
        if ended >= MIN_FLOWS || Instant::now() > end {
            break report;
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    assert_eq!((report.broken.len(), report.refused), (0, 0), "{report:?}");
    assert!(report.completed >= MIN_FLOWS, "{report:?}");
}
