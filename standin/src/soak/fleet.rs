//! Instances of a soak test: real processes, their settings, and the readiness checks by which
//! routers choose among them.

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

/// Port of traffic.
pub const TRAFFIC_PORT: u16 = 8_172;
/// Interval of readiness checks.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Consecutive failed checks after which an instance is taken out of rotation.
const FAILURE_THRESHOLD: u32 = 2;
/// Time in which a graceful shutdown must finish; the users' setting `graceS`.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// Configuration of the instances.
#[derive(Clone, Debug)]
pub struct Config {
    /// Directory of settings and logs.
    pub directory: PathBuf,
    /// Addresses of the instances.
    pub instances: Vec<Ipv4Addr>,
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Store address of each instance.
    pub stores: Vec<SocketAddr>,
    /// Zone of each instance.
    pub zones: Vec<usize>,
}

/// Settings of an instance that forwards by cookie.
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

/// The running instances.
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

    /// Writes the settings file of an instance; its list of seeds begins with the instance
    /// `first_seed`.
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

    /// Starts an instance unless it is running.
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

    /// Kills an instance and waits for its exit.
    pub fn kill(&mut self, instance: usize) -> std::io::Result<()> {
        if let Some(mut child) = self.children[instance].take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Sends a signal to an instance; returns whether it was running.
    pub fn signal(&self, instance: usize, signal: Signal) -> bool {
        self.children[instance].as_ref().is_some_and(|child| {
            // The child was not waited for, so its process id cannot have been reused.
            signal::kill(Pid::from_raw(child.id() as i32), signal).is_ok()
        })
    }

    /// Starts a graceful shutdown, whose outcome is checked on a separate thread.
    pub fn stop(&mut self, instance: usize) {
        if !self.signal(instance, Signal::SIGTERM) {
            return;
        }
        let Some(mut child) = self.children[instance].take() else {
            return;
        };
        // A paused process handles SIGTERM only after it is resumed.
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
            let seen = || format!("graceful shutdown of instance {instance} ended with {status:?}");
            network
                .state()
                .check(network::Promise::ProcessEnds, is_clean, seen);
            if status.is_none() {
                let _ = child.kill();
                let _ = child.wait();
            }
        });
    }

    /// Whether an instance can be started: its former process has exited and released the port.
    pub fn can_launch(&self, instance: usize) -> bool {
        let address = (self.config.instances[instance], TRAFFIC_PORT);
        self.children[instance].is_none() && std::net::UdpSocket::bind(address).is_ok()
    }

    /// Whether an instance is running.
    pub fn is_running(&self, instance: usize) -> bool {
        self.children[instance].is_some()
    }

    /// Checks that no process has exited on its own, and restarts those that have.
    pub fn check_processes(&mut self) -> std::io::Result<()> {
        for instance in 0..self.children.len() {
            let ended = match &mut self.children[instance] {
                Some(child) => child.try_wait()?,
                None => None,
            };
            if let Some(status) = ended {
                let seen = || format!("instance {instance} exited on its own with {status}");
                let mut state = self.network.state();
                state.check(network::Promise::ProcessEnds, false, seen);
                drop(state);
                self.children[instance] = None;
                self.launch(instance)?;
            }
        }
        Ok(())
    }

    /// Updates the rotation by readiness checks as routers do, on one thread for each instance. If
    /// fewer than half of the instances are ready, all stay in rotation.
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
            // The process may have exited already. SIGKILL also ends a paused process.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
