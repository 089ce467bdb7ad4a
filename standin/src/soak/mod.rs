//! A soak of real instances as processes, with faults injected from outside: signals, a proxy before
//! the store, and a network that loses packets and cuts zones. Promises are checked while it runs,
//! from what callers and targets see.
//!
//! Instances use neither storage nor the time of day, so neither is disturbed. Heartbeats between
//! instances are not cut; a paused instance is what comes closest.

pub mod caller;
pub mod fleet;
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
use nix::sys::signal::Signal;
use quetzal_lib::protocol::fault;
use quetzal_lib::state::{code, random};
use quetzal_lib::transport::http;
use serde::Serialize;
use serde_json::json;

use crate::store;

/// Seconds of a run by default.
pub const DEFAULT_SECONDS: u64 = 40;
/// Services; a route leads to one of them.
const SERVICES: [&str; 2] = ["board", "archive"];
/// Zones.
const ZONES: usize = 3;
/// Longest wait for all instances to be ready at the start.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which a replaced target drains before it leaves; above the bound for new flows.
const DRAIN: Duration = Duration::from_secs(5);
/// Time after which an address may be used again; the users' `addrReuseS`.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// Time after the end of an outage in which lapsed registrations are back.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
/// Share of packets that a lossy network loses.
const LOSS: f64 = 0.03;
/// Last part of a run, in which all must be served.
const CALM: Duration = Duration::from_secs(3);
/// Share of the requests of the last part that must be answered, beside those under way at its end.
const SERVED: f64 = 0.99;
/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);
/// Targets of a service that a replacement must leave.
const MIN_TARGETS: usize = 2;
/// Port of the route's addresses.
const ROUTE_PORT: u16 = 8_443;

/// How to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Third octet of the addresses, so that several runs fit on one machine.
    pub block: u8,
    /// Callers.
    pub callers: usize,
    /// Where settings, logs and the report go.
    pub directory: PathBuf,
    /// Instances.
    pub instances: usize,
    /// How long it runs.
    pub length: Duration,
    /// The daemon.
    pub program: PathBuf,
    /// Seed of faults and load.
    pub seed: u64,
    /// Targets.
    pub targets: usize,
}

/// What a run found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Promises that did not hold.
    pub breaches: Vec<network::Breach>,
    /// Checks made, by promise.
    pub checks: BTreeMap<network::Promise, u64>,
    /// Faults injected.
    pub faults: usize,
    /// Where the logs are.
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

/// Something that is done later.
type Step = Box<dyn FnOnce(&mut Soak) -> std::io::Result<()>>;

struct Soak {
    fleet: fleet::Fleet,
    later: Vec<(Instant, Step)>,
    network: network::Network,
    next_id: u64,
    proxies: Vec<proxy::Proxy>,
    store: store::Store,
    version: u64,
}

fn failed(error: impl fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::SocketUnavailable, error.to_string())
}

/// Runs a soak. Errors are `SocketUnavailable`; broken promises stand in the report.
pub fn run(options: &Options) -> fault::Result<Report> {
    std::fs::create_dir_all(&options.directory).map_err(failed)?;
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
            socket: UdpSocket::bind((ip(100 + index), 8_080)).map_err(failed)?,
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
        .map_err(failed)?;
    let site = fleet::Site {
        directory: options.directory.clone(),
        instances: instances.clone(),
        program: options.program.clone(),
        stores,
        zones,
    };
    let fleet = fleet::Fleet::start(site, network.clone()).map_err(failed)?;
    let mut soak = Soak {
        fleet,
        later: Vec::new(),
        network: network.clone(),
        next_id: options.targets as u64 + 1,
        proxies,
        store,
        version: 0,
    };
    soak.configure();
    for index in 0..options.targets {
        soak.register(index, "ready");
    }
    wait_ready(&instances)?;
    let rotation: caller::Rotation = Arc::new(ArcSwap::default());
    soak.fleet.rotate(&rotation);
    for index in 0..options.callers {
        let caller = caller::Caller {
            ip: ip(150 + index),
            network: network.clone(),
            port: 1_024 + random.below(30_000) as u16,
            random: random::Source::new(random.below(usize::MAX) as u64),
            rotation: Arc::clone(&rotation),
            socket: UdpSocket::bind((ip(150 + index), fleet::TRAFFIC_PORT)).map_err(failed)?,
        };
        std::thread::spawn(move || caller.run());
    }
    let faults = soak.play(options).map_err(failed)?;
    let report = finish(options, &network, faults);
    let text = serde_json::to_string_pretty(&report).unwrap_or_default();
    std::fs::write(options.directory.join("report.json"), text).map_err(failed)?;
    Ok(report)
}

fn new_target(index: usize, ip: Ipv4Addr) -> network::Target {
    network::Target {
        address: SocketAddrV4::new(ip, 8_080),
        disturbed_until: Instant::now(),
        draining_since: None,
        id: index as u64 + 1,
        life: 1,
        service: SERVICES[usize::from(index % 3 == 2)],
        up: true,
        zone: index % ZONES,
    }
}

fn new_route(index: usize, block: u8) -> network::Route {
    network::Route {
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, block, index as u8), ROUTE_PORT),
        known: HashSet::from([SERVICES[index]]),
        moved_at: Instant::now(),
        service: SERVICES[index],
    }
}

fn wait_ready(instances: &[Ipv4Addr]) -> fault::Result<()> {
    let end = Instant::now() + READY_TIMEOUT;
    for ip in instances {
        let address = SocketAddr::from((*ip, 8_167));
        while http::get(address, "/ready").is_err() {
            if Instant::now() > end {
                let text = format!("{ip} is not ready");
                return Err(fault::report(code::Code::NotReady, text));
            }
            std::thread::sleep(STEP);
        }
    }
    Ok(())
}

fn finish(options: &Options, network: &network::Network, faults: usize) -> Report {
    let mut state = network.state();
    state.is_over = true;
    let (asked, answered) = state.calm;
    let ended = asked.saturating_sub(options.callers as u64);
    let served = answered as f64 >= ended as f64 * SERVED && asked > 0;
    let seen = || format!("{answered} of {asked} requests answered after all faults");
    state.check(network::Promise::Serving, served, seen);
    let (checks, breaches) = state.findings();
    Report {
        breaches,
        checks,
        faults,
        logs: options.directory.clone(),
        seed: options.seed,
    }
}

impl Soak {
    /// Injects the faults of the plan; returns their number.
    fn play(&mut self, options: &Options) -> std::io::Result<usize> {
        let size = plan::Size {
            instances: options.instances,
            targets: options.targets,
            zones: ZONES,
        };
        let start = Instant::now();
        let plan = plan::draw(options.seed, size, options.length);
        let mut entries = plan.iter().peekable();
        while start.elapsed() < options.length {
            while let Some(entry) = entries.next_if(|entry| entry.at <= start.elapsed()) {
                println!("{:7.3} s  {:?}", start.elapsed().as_secs_f64(), entry.fault);
                self.inject(entry.fault, entry.length)?;
            }
            let now = Instant::now();
            while let Some(due) = self.later.iter().position(|(at, _)| *at <= now) {
                let (_, step) = self.later.swap_remove(due);
                step(self)?;
            }
            self.fleet.watch()?;
            if start.elapsed() + CALM >= options.length {
                self.network.state().is_calm = true;
            }
            std::thread::sleep(STEP);
        }
        Ok(plan.len())
    }

    fn after(
        &mut self,
        wait: Duration,
        step: impl FnOnce(&mut Self) -> std::io::Result<()> + 'static,
    ) {
        self.later.push((Instant::now() + wait, Box::new(step)));
    }

    fn inject(&mut self, fault: plan::Fault, length: Duration) -> std::io::Result<()> {
        match fault {
            plan::Fault::Kill(instance) => {
                self.network.state().disturb_instance(instance, length);
                self.fleet.kill(instance)?;
                self.after(length, move |soak| soak.restart(instance));
            }
            plan::Fault::Pause(instance) => {
                self.network.state().disturb_instance(instance, length);
                self.fleet.signal(instance, Signal::SIGSTOP);
                self.after(length, move |soak| {
                    soak.fleet.signal(instance, Signal::SIGCONT);
                    Ok(())
                });
            }
            plan::Fault::Stop(instance) => {
                self.fleet.stop(instance);
                self.after(length, move |soak| soak.restart(instance));
            }
            plan::Fault::Settings(instance, hangup) => {
                self.fleet.write_settings(instance, instance + 1)?;
                if hangup {
                    self.fleet.signal(instance, Signal::SIGHUP);
                }
            }
            plan::Fault::StoreBusy => self.store_busy(length),
            plan::Fault::StoreLapse => self.lapse(length),
            plan::Fault::StoreCompact => {
                self.network.state().disturb_store(Duration::ZERO);
                self.store.compact();
            }
            plan::Fault::StoreSilent(instance) => {
                self.set_proxy(instance, proxy::Mode::Silent, length);
            }
            plan::Fault::StoreOneWay(instance) => {
                self.set_proxy(instance, proxy::Mode::OneWay, length);
            }
            plan::Fault::StoreReset(instance) => {
                self.set_proxy(instance, proxy::Mode::Reset, length);
            }
            plan::Fault::StoreSlow(instance) => {
                self.set_proxy(instance, proxy::Mode::Slow, length);
            }
            plan::Fault::TargetSilent(target) => {
                let mut state = self.network.state();
                state.disturb_target(target, length);
                state.targets[target].up = false;
                let id = state.targets[target].id;
                drop(state);
                self.after(length, move |soak| {
                    let target = &mut soak.network.state().targets[target];
                    // It may have been replaced meanwhile.
                    target.up |= target.id == id && target.draining_since.is_none();
                    Ok(())
                });
            }
            plan::Fault::TargetRestart(target) => {
                let mut state = self.network.state();
                if !state.targets[target].up || state.targets[target].draining_since.is_some() {
                    return Ok(());
                }
                state.disturb_target(target, Duration::ZERO);
                state.targets[target].life += 1;
                drop(state);
                self.register(target, "ready");
            }
            plan::Fault::TargetReplace(target) => self.replace(target),
            plan::Fault::Route => self.move_route(),
            plan::Fault::ZoneCut(zone) => {
                self.disturb_links(length);
                self.network.state().cut = Some(zone);
                self.after(length, |soak| {
                    soak.network.state().cut = None;
                    Ok(())
                });
            }
            plan::Fault::Loss => {
                self.disturb_links(length);
                self.network.state().loss = LOSS;
                self.after(length, |soak| {
                    soak.network.state().loss = 0.0;
                    Ok(())
                });
            }
        }
        Ok(())
    }

    /// Starts an instance again once its former process has ended.
    fn restart(&mut self, instance: usize) -> std::io::Result<()> {
        if self.fleet.is_free(instance) {
            self.network
                .state()
                .disturb_instance(instance, Duration::ZERO);
            return self.fleet.launch(instance);
        }
        // Another fault may have started it already, and then there is nothing to do.
        self.after(STEP, move |soak| soak.restart_stopped(instance));
        Ok(())
    }

    fn restart_stopped(&mut self, instance: usize) -> std::io::Result<()> {
        if self.fleet.is_running(instance) {
            return Ok(());
        }
        self.restart(instance)
    }

    fn set_proxy(&mut self, instance: usize, mode: proxy::Mode, length: Duration) {
        self.network.state().disturb_instance(instance, length);
        self.proxies[instance].set(mode);
        self.after(length, move |soak| {
            soak.proxies[instance].set(proxy::Mode::Pass);
            Ok(())
        });
    }

    fn disturb_links(&mut self, length: Duration) {
        let mut state = self.network.state();
        for target in 0..state.targets.len() {
            state.disturb_target(target, length);
        }
    }

    fn store_busy(&mut self, length: Duration) {
        self.network.state().disturb_store(length);
        self.store.set_mode(store::Mode::Busy);
        self.after(length, |soak| {
            soak.store.set_mode(store::Mode::Up);
            Ok(())
        });
    }

    /// Takes the store away while registrations lapse; living targets register again afterwards.
    fn lapse(&mut self, length: Duration) {
        self.store_busy(length + BACK_AFTER);
        let targets = self.network.state().targets.clone();
        for (index, target) in targets.iter().enumerate().step_by(3) {
            if !target.up || target.draining_since.is_some() {
                continue;
            }
            let id = target.id;
            self.store.remove(&format!("servers/{id:x}"));
            self.after(length + BACK_AFTER * 2, move |soak| {
                let is_same = {
                    let state = soak.network.state();
                    let target = &state.targets[index];
                    target.id == id && target.draining_since.is_none()
                };
                if is_same {
                    soak.register(index, "ready");
                }
                Ok(())
            });
        }
    }

    /// Lets a target drain and leave; a target of the other service takes over its address.
    fn replace(&mut self, target: usize) {
        let mut state = self.network.state();
        let service = state.targets[target].service;
        let fit = |other: &&network::Target| {
            other.service == service && other.up && other.draining_since.is_none()
        };
        let is_fit = fit(&&state.targets[target]);
        if !is_fit || state.targets.iter().filter(fit).count() <= MIN_TARGETS {
            return;
        }
        state.targets[target].draining_since = Some(Instant::now());
        let id = state.targets[target].id;
        drop(state);
        self.register(target, "draining");
        self.after(DRAIN, move |soak| {
            let mut state = soak.network.state();
            state.disturb_target(target, Duration::ZERO);
            state.targets[target].up = false;
            drop(state);
            soak.store.remove(&format!("servers/{id:x}"));
            soak.after(REUSE_AFTER, move |soak| {
                let id = soak.next_id;
                soak.next_id += 1;
                let mut state = soak.network.state();
                let found = &mut state.targets[target];
                found.draining_since = None;
                found.id = id;
                found.life += 1;
                found.service = SERVICES[usize::from(found.service == SERVICES[0])];
                found.up = true;
                drop(state);
                soak.register(target, "ready");
                Ok(())
            });
            Ok(())
        });
    }

    fn move_route(&mut self) {
        let mut state = self.network.state();
        let route = &mut state.routes[0];
        let service = SERVICES[usize::from(route.service == SERVICES[0])];
        route.known.insert(service);
        route.service = service;
        drop(state);
        self.configure();
        self.network.state().routes[0].moved_at = Instant::now();
    }

    fn configure(&mut self) {
        self.version += 1;
        let routes: Vec<_> = self
            .network
            .state()
            .routes
            .iter()
            .enumerate()
            .map(|(index, route)| {
                json!({"name": format!("route-{index}"), "host": route.address.ip().to_string(),
                    "prefix": format!("/{ROUTE_PORT}/"), "service": route.service,
                    "type": if index == 0 { "safe" } else { "unsafe" }})
            })
            .collect();
        let services = SERVICES.map(|name| json!({"name": name, "maxConns": 2000}));
        let config = json!({"version": self.version, "routes": routes, "services": services,
            "limits": {"idleTimeoutMs": 15_000}});
        self.store.put("op/config", &config);
    }

    fn register(&self, index: usize, duty: &str) {
        let target = self.network.state().targets[index].clone();
        let entry = json!({"service": target.service, "address": target.address.to_string(),
            "zone": format!("zone-{}", target.zone), "version": "v1", "slots": 2, "state": duty,
            "coldMs": 0, "seq": 1, "born": target.life});
        self.store.put(&format!("servers/{:x}", target.id), &entry);
    }
}
