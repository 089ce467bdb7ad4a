//! The instances of a soak: real processes, their settings, and the routers' view of them.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use quetzal_lib::transport::http_client;

use crate::soak::{caller, network};

/// Port of packets.
pub const TRAFFIC_PORT: u16 = 8_172;
/// Time between two checks of readiness.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Failed checks after which an instance is out of rotation.
const FAILURE_THRESHOLD: u32 = 2;
/// Time in which a stopped process must have ended; the users' `graceS`.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// How to run one instance.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where settings and logs go.
    pub directory: PathBuf,
    /// Addresses of the instances.
    pub instances: Vec<Ipv4Addr>,
    /// The daemon.
    pub program: PathBuf,
    /// Address at which each instance finds the store.
    pub stores: Vec<SocketAddr>,
    /// Zones of the instances, in their order.
    pub zones: Vec<usize>,
}

/// The settings of an instance that forwards by cookie.
pub fn settings(
    name: &str,
    ip: Ipv4Addr,
    zone: &str,
    seeds: &[Ipv4Addr],
    store: SocketAddr,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:8166")).collect();
    format!(
        "[fabric]\nformat = cookie\n[instance]\ncontrol = {ip}:7720\nmetrics = {ip}:9464\n\
         name = {name}\nstatus = {ip}:8167\ntraffic = {ip}:{TRAFFIC_PORT}\nzone = {zone}\n\
         [keys]\ncurrent = 1:5f0e2b7d94c8a1360d5e7f29b3c4a881\n\
         flow = 9b1d4e6fa2c7035881f3d6b20c9e47a5\n[log]\nformat = json\n[peers]\n\
         seeds = {}\n[platform]\naddress = {store}\nwatch = 2s\n",
        seeds.join(",")
    )
}

/// Running instances.
pub struct Fleet {
    children: Vec<Option<Child>>,
    network: network::Network,
    config: Config,
}

impl Fleet {
    /// Starts all instances.
    pub fn start(config: Config, network: network::Network) -> std::io::Result<Self> {
        let mut fleet = Self {
            children: config.instances.iter().map(|_| None).collect(),
            network,
            config,
        };
        for instance in 0..fleet.children.len() {
            fleet.write_settings(instance, 0)?;
            fleet.launch(instance)?;
        }
        Ok(fleet)
    }

    /// Writes the settings of an instance; the first seed is the one of that number.
    pub fn write_settings(&self, instance: usize, first_seed: usize) -> std::io::Result<()> {
        let count = self.config.instances.len();
        let seed = |offset| self.config.instances[(first_seed + offset) % count];
        let seeds: Vec<Ipv4Addr> = (0..count.min(3)).map(seed).collect();
        let text = settings(
            &format!("instance-{instance}"),
            self.config.instances[instance],
            &format!("zone-{}", self.config.zones[instance]),
            &seeds,
            self.config.stores[instance],
        );
        std::fs::write(self.path(instance, "ini"), text)
    }

    fn path(&self, instance: usize, extension: &str) -> PathBuf {
        let name = format!("instance-{instance}.{extension}");
        self.config.directory.join(name)
    }

    /// Starts an instance that does not run.
    pub fn launch(&mut self, instance: usize) -> std::io::Result<()> {
        if self.children[instance].is_some() {
            return Ok(());
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(instance, "log"))?;
        let child = Command::new(&self.config.program)
            .arg("--settings")
            .arg(self.path(instance, "ini"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.children[instance] = Some(child);
        Ok(())
    }

    /// Kills an instance.
    pub fn kill(&mut self, instance: usize) -> std::io::Result<()> {
        if let Some(mut child) = self.children[instance].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends a signal to an instance that runs; returns whether there was one.
    pub fn signal(&self, instance: usize, signal: Signal) -> bool {
        self.children[instance].as_ref().is_some_and(|child| {
            // Only a process that this fleet started and did not wait for has this number.
            signal::kill(Pid::from_raw(child.id() as i32), signal).is_ok()
        })
    }

    /// Begins a planned stop, which is checked on a thread of its own.
    pub fn stop(&mut self, instance: usize) {
        if !self.signal(instance, Signal::SIGTERM) {
            return;
        }
        let Some(mut child) = self.children[instance].take() else {
            return;
        };
        // A process that was standing still takes the signal once it goes on.
        let _ = signal::kill(Pid::from_raw(child.id() as i32), Signal::SIGCONT);
        let network = self.network.clone();
        std::thread::spawn(move || {
            let begin = Instant::now();
            let mut status = None;
            while status.is_none() && begin.elapsed() < STOP_TIMEOUT {
                status = child.try_wait().ok().flatten();
                std::thread::sleep(Duration::from_millis(20));
            }
            let is_clean = status.is_some_and(|status| status.success());
            let seen = || format!("instance {instance} ended a planned stop with {status:?}");
            network
                .state()
                .check(network::Promise::ProcessEnds, is_clean, seen);
            if status.is_none() {
                let _ = child.kill();
                let _ = child.wait();
            }
        });
    }

    /// Whether an instance can be started again: a stopped one has to end first.
    pub fn can_launch(&self, instance: usize) -> bool {
        let address = (self.config.instances[instance], TRAFFIC_PORT);
        self.children[instance].is_none() && std::net::UdpSocket::bind(address).is_ok()
    }

    /// Whether an instance runs.
    pub fn is_running(&self, instance: usize) -> bool {
        self.children[instance].is_some()
    }

    /// Checks that no process has ended by itself; one that has is started again.
    pub fn check_processes(&mut self) -> std::io::Result<()> {
        for instance in 0..self.children.len() {
            let ended = match &mut self.children[instance] {
                Some(child) => child.try_wait()?,
                None => None,
            };
            if let Some(status) = ended {
                let seen = || format!("instance {instance} ended by itself with {status}");
                let mut state = self.network.state();
                state.check(network::Promise::ProcessEnds, false, seen);
                drop(state);
                self.children[instance] = None;
                self.launch(instance)?;
            }
        }
        Ok(())
    }

    /// Keeps the rotation up to date as the routers do, on threads of their own.
    pub fn start_readiness_checks(&self, rotation: &caller::Rotation) {
        let all: Vec<(usize, SocketAddr)> = self
            .config
            .instances
            .iter()
            .map(|ip| SocketAddr::from((*ip, TRAFFIC_PORT)))
            .enumerate()
            .collect();
        let failures = Arc::new(ArcSwap::from_pointee(vec![FAILURE_THRESHOLD; all.len()]));
        for instance in 0..all.len() {
            let (all, failures, rotation) =
                (all.clone(), Arc::clone(&failures), Arc::clone(rotation));
            let (network, ip) = (self.network.clone(), self.config.instances[instance]);
            std::thread::spawn(move || {
                while !network.state().is_over {
                    let ready = http_client::get(SocketAddr::from((ip, 8_167)), "/ready").is_ok();
                    failures.rcu(|before| {
                        let mut after = Vec::clone(before);
                        after[instance] = if ready { 0 } else { after[instance] + 1 };
                        after
                    });
                    let failed_checks = failures.load();
                    let in_rotation =
                        |entry: &&(usize, SocketAddr)| failed_checks[entry.0] < FAILURE_THRESHOLD;
                    let in_service: Vec<_> = all.iter().filter(in_rotation).copied().collect();
                    let too_few = in_service.len() * 2 < all.len();
                    rotation.store(Arc::new(if too_few { all.clone() } else { in_service }));
                    std::thread::sleep(READINESS_CHECK_INTERVAL);
                }
            });
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            // It may have ended already; a process that stands still takes SIGKILL as well.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
