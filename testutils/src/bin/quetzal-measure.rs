//! Measures a traffic thread, the memory of flow entries, and the cost of control decisions.
//!
//! `quetzal-measure packets` alternates between a traffic thread and a bare loop that receives and
//! sends batches of the same size on the same machine, and prints the ratio of their packet rates.
//! `quetzal-measure memory` prints bytes per flow entry. `quetzal-measure control` prints processor
//! time, control traffic and memory of one instance for growing numbers of instances, services and
//! targets. `quetzal-measure sheet` prints the time and memory that sheets of growing size take.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use crossbeam_channel::bounded;
use etherparse::PacketBuilder;
use quetzal_lib::coordination::{hash, placement, steering};
use quetzal_lib::protocol::wire;
use quetzal_lib::state::{flow, key, packet, random, time, view};
use quetzal_lib::transport::{batch, clock, traffic};
use quetzal_testutils::{caller, fleet, sheet};

/// Length of a run.
const RUN_DURATION: Duration = Duration::from_secs(2);
/// Number of runs of the bare loop and of the traffic thread.
const RUNS: usize = 5;
/// Number of flows that the packets belong to.
const FLOWS: usize = 4_096;
const PAYLOAD_BYTES: usize = 100;

fn address(last: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 43, 0, last], port))
}

fn packets() -> Vec<Vec<u8>> {
    (0..FLOWS)
        .map(|number| {
            let port = 1_024 + number as u16;
            let mut bytes = Vec::new();
            PacketBuilder::ipv4([10, 9, 0, 1], [10, 0, 0, 1], 64)
                .tcp(port, 80, 9, 1_024)
                .write(&mut bytes, &[0; PAYLOAD_BYTES])
                .expect("a packet fits in memory");
            bytes
        })
        .collect()
}

/// Sends packets to an address as fast as the socket accepts them, until `stop` is set.
fn generate_load(to: SocketAddr, stop: &AtomicBool) {
    let socket = UdpSocket::bind(address(9, 0)).expect("a socket on loopback");
    let packets = packets();
    let receiver = batch::Receiver::default();
    let mut sender = batch::Sender::default();
    let mut next = 0;
    while !stop.load(Ordering::Relaxed) {
        for _ in 0..batch::BATCH_SIZE {
            sender.push(&[], batch::Body::Owned(packets[next].clone()), to);
            next = (next + 1) % packets.len();
        }
        sender.flush(&socket, &receiver);
    }
}

/// Counts the packets that arrive at an address, until `stop` is set.
fn count_arrivals(at: SocketAddr, stop: &AtomicBool, count: &AtomicU64) {
    let socket = batch::bind(at, Duration::from_millis(20)).expect("a socket on loopback");
    let mut receiver = batch::Receiver::default();
    while !stop.load(Ordering::Relaxed) {
        let received = receiver.receive(&socket).unwrap_or(0);
        count.fetch_add(received as u64, Ordering::Relaxed);
    }
}

/// The bare loop: receives batches at one address and sends them to another, until `stop` is set.
fn forward_batches(at: SocketAddr, to: SocketAddr, stop: &AtomicBool, count: &AtomicU64) {
    let socket = batch::bind(at, Duration::from_millis(20)).expect("a socket on loopback");
    let mut receiver = batch::Receiver::default();
    let mut sender = batch::Sender::default();
    while !stop.load(Ordering::Relaxed) {
        let received = receiver.receive(&socket).unwrap_or(0);
        for index in 0..received {
            let length = receiver.bytes(index).len();
            sender.push(&[], batch::Body::Slot(index, 0..length), to);
        }
        sender.flush(&socket, &receiver);
        count.fetch_add(received as u64, Ordering::Relaxed);
    }
}

/// A view with one service, whose buckets are all direct and whose targets all have the address
/// `to`.
fn direct_view(to: SocketAddr) -> view::View {
    let mut options = fleet::Options::new(1);
    options.nodes = 1;
    options.zones = 1;
    let mut fleet = fleet::Fleet::new(options);
    fleet.publish(sheet::sheet(1, &[sheet::Service::new("only", 14, 0)]));
    fleet.run(Duration::from_secs(6));
    let mut view = (*fleet.nodes[0].view).clone();
    for target in &mut view.targets {
        target.address = to;
    }
    view
}

fn traffic_thread(at: SocketAddr, to: SocketAddr) -> (traffic::Parts, impl Fn(), Arc<AtomicU64>) {
    let (commands, queue) = bounded(4);
    let view = Arc::new(ArcSwap::from_pointee(direct_view(to)));
    let limits = steering::Limits::default();
    let random = random::Source::new(1);
    let shard = steering::Shard::new(limits, placement::Policy::default(), random);
    let counters = Arc::clone(&shard.counters);
    let forwarded = Arc::new(AtomicU64::new(0));
    let total = Arc::clone(&forwarded);
    let parts = traffic::Parts {
        clock: clock::Clock::start(),
        commands: queue,
        send_event: Box::new(move |_| {
            let counter = quetzal_lib::state::count::Counter::Forwarded;
            total.store(counters.get(counter), Ordering::Relaxed);
            true
        }),
        return_address: to,
        keyring: wire::Keyring {
            keys: vec![wire::Key {
                number: 1,
                secret: (1, 2),
            }],
        },
        secret: caller::SECRET,
        shard,
        shard_number: 0,
        shards: 1,
        socket: batch::bind(at, Duration::from_millis(10)).expect("a socket on loopback"),
        shard_addresses: vec![at],
        view,
    };
    let stop = move || {
        // The thread reads the command when its current wait ends.
        let _ = commands.send(traffic::Command::Stop);
    };
    (parts, stop, forwarded)
}

/// Packets per second through the bare loop or through the traffic thread.
fn measure_rate(is_bare: bool, number: u16) -> f64 {
    let (at, to) = (address(1, 6_080 + number), address(2, 6_080 + number));
    let stop = Arc::new(AtomicBool::new(false));
    let (arrived, forwarded) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut threads = Vec::new();
    let (flag, count) = (Arc::clone(&stop), Arc::clone(&arrived));
    threads.push(std::thread::spawn(move || {
        count_arrivals(to, &flag, &count);
    }));
    let mut end: Option<Box<dyn Fn()>> = None;
    if is_bare {
        let (flag, count) = (Arc::clone(&stop), Arc::clone(&forwarded));
        threads.push(std::thread::spawn(move || {
            forward_batches(at, to, &flag, &count);
        }));
    } else {
        let (parts, stop_thread, _) = traffic_thread(at, to);
        threads.push(std::thread::spawn(move || {
            traffic::run(parts).expect("the traffic thread runs");
        }));
        end = Some(Box::new(stop_thread));
    }
    let flag = Arc::clone(&stop);
    threads.push(std::thread::spawn(move || generate_load(at, &flag)));
    std::thread::sleep(RUN_DURATION / 4);
    let (arrived_before, started) = (arrived.load(Ordering::Relaxed), Instant::now());
    std::thread::sleep(RUN_DURATION);
    let rate =
        (arrived.load(Ordering::Relaxed) - arrived_before) as f64 / started.elapsed().as_secs_f64();
    stop.store(true, Ordering::Relaxed);
    if let Some(end) = end {
        end();
    }
    for thread in threads {
        // A thread that panicked has already printed the reason.
        let _ = thread.join();
    }
    rate
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn measure_packets() {
    let mut ratios = Vec::new();
    for number in 0..RUNS as u16 {
        let bare = measure_rate(true, number * 2);
        let thread = measure_rate(false, number * 2 + 1);
        println!(
            "bare loop {bare:.0} packets/s, traffic thread {thread:.0} packets/s, ratio {:.2}",
            thread / bare
        );
        ratios.push(thread / bare);
    }
    println!("median ratio {:.2}", median(&mut ratios));
}

/// Resident memory of this process; 0 if it cannot be read.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    pages * PAGE_BYTES
}

fn measure_memory() {
    for count in [100_000u64, 250_000, 500_000, 1_000_000] {
        let before = resident_bytes();
        let mut table = flow::Table::default();
        for number in 0..count {
            let tuple = packet::Tuple {
                destination: [10, 0, 0, 1].into(),
                destination_port: 80,
                protocol: packet::Protocol::Tcp,
                source: (number as u32).to_be_bytes().into(),
                source_port: 4_000,
            };
            let tick = flow::Tick::at(time::Instant(0));
            table.insert(flow::Entry {
                confirmed: true,
                acked_replicas: 0,
                flow: hash::flow_key(caller::SECRET, &tuple),
                phase: flow::Phase::Open,
                placed_at: tick,
                has_forwarded: false,
                refreshed_at: tick,
                role: flow::Role::Owner,
                last_seen: tick,
                target: key::Target(0),
            });
        }
        let used = resident_bytes() - before;
        println!(
            "{count} entries: {used} bytes, {:.1} per flow ({} in the entry itself)",
            used as f64 / count as f64,
            std::mem::size_of::<flow::Entry>()
        );
        drop(table);
    }
}

/// Processor time of this thread so far; zero if it cannot be read.
fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|word| word.parse().ok())
        .unwrap_or(0);
    Duration::from_nanos(nanos)
}

/// Runs a fleet without traffic and prints the control cost of one instance.
fn measure_control_of(nodes: usize, services: usize, targets: u32) {
    const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    const MEASUREMENT: Duration = Duration::from_secs(20);
    let before = resident_bytes();
    let mut options = fleet::Options::new(1);
    options.nodes = nodes;
    let mut fleet = fleet::Fleet::new(options);
    let services: Vec<sheet::Service> = NAMES
        .iter()
        .take(services)
        .map(|name| sheet::Service::new(name, targets, 100))
        .collect();
    fleet.publish(sheet::sheet(1, &services));
    fleet.run(Duration::from_secs(6));
    let (from, bytes) = (processor_time(), fleet.control_bytes);
    fleet.run(MEASUREMENT);
    let spent = (processor_time() - from).as_secs_f64() / MEASUREMENT.as_secs_f64() / nodes as f64;
    let bytes = (fleet.control_bytes - bytes) as f64 / MEASUREMENT.as_secs_f64() / nodes as f64;
    println!(
        "{nodes} instances, {} services of {targets} targets: {:.3}% of a core, {bytes:.0} B/s \
         and {} KiB per instance",
        services.len(),
        spent * 100.0,
        resident_bytes().saturating_sub(before) / 1_024 / nodes as u64
    );
}

fn measure_control() {
    for nodes in [3, 5, 9, 17] {
        measure_control_of(nodes, 2, 14);
    }
    for services in [1, 2, 4, 8] {
        measure_control_of(5, services, 14);
    }
    for targets in [4, 14, 28, 56] {
        measure_control_of(5, 2, targets);
    }
}

/// Prints the time to parse, check and apply a sheet, and the memory of the resulting inventory.
fn measure_sheet() {
    use quetzal_lib::coordination::{bucket, inventory};
    println!(
        "{} bytes per bucket in the control state, {} in the view",
        std::mem::size_of::<bucket::Bucket>(),
        std::mem::size_of::<view::Bucket>()
    );
    for services in [10u32, 50, 200, 800] {
        let text = sheet_text(services);
        let bundle = sheet::bundle(1, "all.toml", &text);
        let started = Instant::now();
        let accepted =
            quetzal_lib::protocol::sheet::accept(&bundle, None).expect("the sheet is valid");
        let accept = started.elapsed();
        let before = resident_bytes();
        let started = Instant::now();
        let mut inventory = inventory::Inventory::default();
        inventory.apply(time::Instant(0), &accepted, 1);
        println!(
            "{services} services, {} targets, {} bytes: accept {:.1} ms, apply {:.1} ms, {} KiB",
            services * 4,
            text.len(),
            accept.as_secs_f64() * 1_000.0,
            started.elapsed().as_secs_f64() * 1_000.0,
            resident_bytes().saturating_sub(before) / 1_024
        );
    }
}

/// Text of a sheet of services with four targets and 128 buckets each.
fn sheet_text(services: u32) -> String {
    use std::fmt::Write;
    let mut text = String::from("[[zone]]\nname = \"zone\"\n");
    for service in 0..services {
        let (high, low) = (service / 200, service % 200);
        let _ = writeln!(
            text,
            "[[service]]\nname = \"s{service}\"\naddress = \"10.{high}.{low}.1\"\nport = 80\n\
             protocol = \"tcp\"\nbuckets = 128"
        );
        for target in 1..=4 {
            let _ = writeln!(
                text,
                "[[target]]\nname = \"t{target}\"\nservice = \"s{service}\"\nzone = \"zone\"\n\
                 address = \"11.{high}.{low}.{target}:6080\"\nslots = 3"
            );
        }
    }
    text
}

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("packets") => measure_packets(),
        Some("memory") => measure_memory(),
        Some("control") => measure_control(),
        Some("sheet") => measure_sheet(),
        _ => println!("usage: quetzal-measure packets|memory|control|sheet"),
    }
}
