//! Soak test of real instance processes under injected faults: signals, a faulty proxy in front of
//! the metadata store, packet loss and network partitions between zones. Promises are checked
//! during the run against what callers and targets observe.
//!
//! There are no faults of storage or of the wall clock, because instances use neither. Heartbeats
//! between instances are never partitioned; pausing an instance is the closest substitute.

pub mod caller;
pub mod fleet;
pub mod inject;
pub mod network;
pub mod plan;
pub mod proxy;
pub mod target;

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use quetzal_lib::protocol::fault;
use quetzal_lib::state::{code, random};
use quetzal_lib::transport::http_client;
use serde::Serialize;

use crate::store;

/// Default duration of a run, in seconds.
pub const DEFAULT_SECONDS: u64 = 40;
/// Services; each route leads to one of them.
const SERVICES: [&str; 2] = ["board", "archive"];
/// Number of zones.
const ZONES: usize = 3;
/// Longest wait for all instances to be ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Last part of a run, after all faults, in which requests must be answered.
const FINAL_PHASE: Duration = Duration::from_secs(3);
/// Share of the final phase's requests that must be answered; requests still in progress at its end
/// are not counted.
const MIN_ANSWERED_SHARE: f64 = 0.99;
/// Interval at which due faults and process states are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Port of the routes' public addresses.
const ROUTE_PORT: u16 = 8_443;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Third octet of the addresses; runs with different blocks can share a machine.
    pub block: u8,
    /// Number of callers.
    pub callers: usize,
    /// Directory of settings, logs and the report.
    pub directory: PathBuf,
    /// Number of instances.
    pub instances: usize,
    /// Duration of the run.
    pub duration: Duration,
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Seed of the faults and the load.
    pub seed: u64,
    /// Number of targets.
    pub targets: usize,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Observations that broke a promise.
    pub breaches: Vec<network::Breach>,
    /// Number of checks of each promise.
    pub checks: BTreeMap<network::Promise, u64>,
    /// Number of injected faults.
    pub faults: usize,
    /// Directory of the logs.
    pub logs: PathBuf,
    /// Seed of the run.
    pub seed: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = if self.breaches.is_empty() {
            "all promises held"
        } else {
            "BROKEN"
        };
        let logs = self.logs.display();
        writeln!(
            formatter,
            "seed {}, {} faults: {held}; logs in {logs}",
            self.seed, self.faults
        )?;
        for (promise, checks) in &self.checks {
            let broken = self.breaches.iter();
            let broken = broken.filter(|breach| breach.promise == *promise).count();
            let name = format!("{promise:?}");
            writeln!(
                formatter,
                "  {name:14} {checks:8} checks {broken:6} breaches"
            )?;
        }
        for breach in &self.breaches {
            let seconds = breach.at_millis as f64 / 1_000.0;
            writeln!(
                formatter,
                "  {seconds:.3} s {:?}: {}",
                breach.promise, breach.seen
            )?;
        }
        Ok(())
    }
}

fn socket_fault(error: impl fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::SocketUnavailable, error.to_string())
}

/// Runs a soak test. Errors are `SocketUnavailable`, or `NotReady` if an instance does not get
/// ready in time; broken promises are not errors and are listed in the report.
pub fn run(options: &Options) -> fault::Result<Report> {
    std::fs::create_dir_all(&options.directory).map_err(socket_fault)?;
    let ip = |host: usize| Ipv4Addr::new(127, 78, options.block, host as u8);
    let store_address = SocketAddr::from((ip(200), 8_169));
    let store = store::Store::start(store_address)?;
    let instances: Vec<Ipv4Addr> = (0..options.instances).map(|index| ip(1 + index)).collect();
    let zones: Vec<usize> = (0..options.instances).map(|index| index % ZONES).collect();
    let network = network::Network::new(
        (0..options.targets)
            .map(|index| new_target(index, ip(100 + index)))
            .collect(),
        (0..SERVICES.len())
            .map(|index| new_route(index, options.block))
            .collect(),
        options.instances,
    );
    let mut random = random::Source::new(options.seed);
    for index in 0..options.targets {
        let target = target::Target {
            caller_port: fleet::TRAFFIC_PORT,
            index,
            instances: instances.clone(),
            network: network.clone(),
            random: random::Source::new(random.below(usize::MAX) as u64),
            socket: UdpSocket::bind((ip(100 + index), 8_080)).map_err(socket_fault)?,
            zones: zones.clone(),
        };
        std::thread::spawn(move || target.run());
    }
    let stores: Vec<SocketAddr> = (0..options.instances)
        .map(|index| SocketAddr::from((ip(210 + index), 8_169)))
        .collect();
    let proxies = stores
        .iter()
        .map(|address| proxy::Proxy::start(*address, store_address))
        .collect::<std::io::Result<Vec<_>>>()
        .map_err(socket_fault)?;
    let config = fleet::Config {
        directory: options.directory.clone(),
        instances: instances.clone(),
        program: options.program.clone(),
        stores,
        zones,
    };
    let fleet = fleet::Fleet::start(config, network.clone()).map_err(socket_fault)?;
    let mut soak = inject::Soak {
        fleet,
        scheduled: Vec::new(),
        network: network.clone(),
        next_id: options.targets as u64 + 1,
        proxies,
        store,
        version: 0,
        writes: 0,
    };
    soak.publish_config();
    for index in 0..options.targets {
        soak.register(index, "ready");
    }
    wait_ready(&instances)?;
    let rotation: caller::Rotation = Arc::new(ArcSwap::default());
    soak.fleet.start_readiness_checks(&rotation);
    for index in 0..options.callers {
        let caller = caller::Caller {
            ip: ip(150 + index),
            network: network.clone(),
            port: 1_024 + random.below(30_000) as u16,
            random: random::Source::new(random.below(usize::MAX) as u64),
            rotation: Arc::clone(&rotation),
            socket: UdpSocket::bind((ip(150 + index), fleet::TRAFFIC_PORT))
                .map_err(socket_fault)?,
        };
        std::thread::spawn(move || caller.run());
    }
    let faults = soak.run_faults(options).map_err(socket_fault)?;
    let report = finish(options, &network, faults);
    let text = serde_json::to_string_pretty(&report).unwrap_or_default();
    std::fs::write(options.directory.join("report.json"), text).map_err(socket_fault)?;
    Ok(report)
}

fn new_target(index: usize, ip: Ipv4Addr) -> network::Target {
    network::Target {
        address: SocketAddrV4::new(ip, 8_080),
        excused_until: Instant::now(),
        draining_since: None,
        id: index as u64 + 1,
        incarnation: 1,
        service: SERVICES[usize::from(index % 3 == 2)],
        up: true,
        zone: index % ZONES,
    }
}

fn new_route(index: usize, block: u8) -> network::Route {
    network::Route {
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, block, index as u8), ROUTE_PORT),
        allowed_services: HashSet::from([SERVICES[index]]),
        changed_at: Instant::now(),
        service: SERVICES[index],
    }
}

fn wait_ready(instances: &[Ipv4Addr]) -> fault::Result<()> {
    let end = Instant::now() + READY_TIMEOUT;
    for ip in instances {
        let address = SocketAddr::from((*ip, 8_167));
        while http_client::get(address, "/ready").is_err() {
            if Instant::now() > end {
                let text = format!("instance {ip} did not get ready in time");
                return Err(fault::report(code::Code::NotReady, text));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
    Ok(())
}

fn finish(options: &Options, network: &network::Network, faults: usize) -> Report {
    let mut state = network.state();
    state.is_over = true;
    let (sent, answered) = state.final_requests;
    let finished = sent.saturating_sub(options.callers as u64);
    let is_served = answered as f64 >= finished as f64 * MIN_ANSWERED_SHARE && sent > 0;
    let seen = || format!("{answered} of {sent} requests answered after the last fault");
    state.check(network::Promise::Serving, is_served, seen);
    let (checks, breaches) = state.findings();
    Report {
        breaches,
        checks,
        faults,
        logs: options.directory.clone(),
        seed: options.seed,
    }
}
