//! Injects the scheduled faults, and ends each after its duration.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;

use crate::soak::{self, fleet, network, plan, proxy};
use crate::store;

/// Time for which a replaced target drains before it leaves; longer than the deadline after which
/// it must get no new flows.
const DRAIN_DURATION: Duration = Duration::from_secs(5);
/// Time after which an address may be reused; the users' setting `addrReuseS`.
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);
/// Time from the end of an outage to the renewal of the registrations that expired in it. Such an
/// outage also exceeds the duration of its fault by this time.
const REREGISTRATION_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which the store is away before it comes back from a copy.
const RESTORE_OUTAGE: Duration = Duration::from_millis(800);
/// Time after which the store removes a registration that its target no longer renews.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(3_600);
/// Share of packets lost during packet loss.
const LOSS_RATE: f64 = 0.03;
/// Smallest number of active targets that a replacement must leave to a service.
const MIN_REMAINING_TARGETS: usize = 2;

/// A scheduled action.
pub type Action = Box<dyn FnOnce(&mut Soak) -> std::io::Result<()>>;

/// A running soak test.
pub struct Soak {
    /// Instances.
    pub fleet: fleet::Fleet,
    /// Scheduled actions and when they are due.
    pub scheduled: Vec<(Instant, Action)>,
    /// Network state.
    pub network: network::Network,
    /// Identity for the next new target.
    pub next_id: u64,
    /// Proxy in front of the store, for each instance.
    pub proxies: Vec<proxy::Proxy>,
    /// Metadata store.
    pub store: store::Store,
    /// Version of the last published configuration.
    pub version: u64,
    /// Number of the last write to a registration.
    pub writes: u64,
}

impl Soak {
    /// Runs all scheduled faults; returns their number.
    pub fn run_faults(&mut self, options: &soak::Options) -> std::io::Result<usize> {
        let counts = plan::Counts {
            instances: options.instances,
            targets: options.targets,
            zones: soak::ZONES,
        };
        let start = Instant::now();
        let plan = plan::generate(options.seed, counts, options.duration);
        let mut entries = plan.iter().peekable();
        while start.elapsed() < options.duration {
            while let Some(entry) = entries.next_if(|entry| entry.at <= start.elapsed()) {
                println!("{:7.3} s  {:?}", start.elapsed().as_secs_f64(), entry.fault);
                self.inject(entry.fault, entry.duration)?;
            }
            let now = Instant::now();
            while let Some(due) = self.scheduled.iter().position(|(at, _)| *at <= now) {
                let (_, action) = self.scheduled.swap_remove(due);
                action(self)?;
            }
            self.fleet.check_processes()?;
            if start.elapsed() + soak::FINAL_PHASE >= options.duration {
                self.network.state().is_final_phase = true;
            }
            std::thread::sleep(soak::POLL_INTERVAL);
        }
        Ok(plan.len())
    }

    fn schedule(
        &mut self,
        delay: Duration,
        action: impl FnOnce(&mut Self) -> std::io::Result<()> + 'static,
    ) {
        self.scheduled
            .push((Instant::now() + delay, Box::new(action)));
    }

    fn inject(&mut self, fault: plan::Fault, duration: Duration) -> std::io::Result<()> {
        match fault {
            plan::Fault::Kill(instance) => {
                self.network.state().excuse_instance(instance, duration);
                self.fleet.kill(instance)?;
                self.schedule(duration, move |soak| soak.restart(instance));
            }
            plan::Fault::Pause(instance) => {
                self.network.state().excuse_instance(instance, duration);
                self.fleet.signal(instance, Signal::SIGSTOP);
                self.schedule(duration, move |soak| {
                    soak.fleet.signal(instance, Signal::SIGCONT);
                    Ok(())
                });
            }
            plan::Fault::Stop(instance) => {
                self.fleet.stop(instance);
                self.schedule(duration, move |soak| soak.restart(instance));
            }
            plan::Fault::Settings(instance, hangup) => {
                self.fleet.write_settings(instance, instance + 1)?;
                if hangup {
                    self.fleet.signal(instance, Signal::SIGHUP);
                }
            }
            plan::Fault::StoreBusy => self.store_busy(duration),
            plan::Fault::StoreLapse => self.expire_registrations(duration),
            plan::Fault::StoreCompact => {
                self.network.state().excuse_store(Duration::ZERO);
                self.store.compact();
            }
            plan::Fault::StoreRestore => self.restore_store(duration),
            plan::Fault::StoreSilent(instance) => {
                self.set_proxy_mode(instance, proxy::Mode::Silent, duration);
            }
            plan::Fault::StoreOneWay(instance) => {
                self.set_proxy_mode(instance, proxy::Mode::OneWay, duration);
            }
            plan::Fault::StoreReset(instance) => {
                self.set_proxy_mode(instance, proxy::Mode::Reset, duration);
            }
            plan::Fault::StoreSlow(instance) => {
                self.set_proxy_mode(instance, proxy::Mode::Slow, duration);
            }
            plan::Fault::TargetSilent(target) => {
                let mut state = self.network.state();
                state.excuse_target(target, duration);
                state.targets[target].up = false;
                let id = state.targets[target].id;
                drop(state);
                self.schedule(duration, move |soak| {
                    let target = &mut soak.network.state().targets[target];
                    // The target may have been replaced meanwhile.
                    target.up |= target.id == id && target.draining_since.is_none();
                    Ok(())
                });
            }
            plan::Fault::TargetRestart(target) => {
                let mut state = self.network.state();
                if !state.targets[target].up || state.targets[target].draining_since.is_some() {
                    return Ok(());
                }
                state.excuse_target(target, Duration::ZERO);
                state.targets[target].incarnation += 1;
                drop(state);
                self.register(target, "ready");
            }
            plan::Fault::TargetReplace(target) => self.replace_target(target),
            plan::Fault::Route => self.change_route(),
            plan::Fault::ZoneCut(zone) => {
                self.excuse_all_targets(duration);
                self.network.state().cut_zone = Some(zone);
                self.schedule(duration, |soak| {
                    soak.network.state().cut_zone = None;
                    Ok(())
                });
            }
            plan::Fault::Loss => {
                self.excuse_all_targets(duration);
                self.network.state().loss_rate = LOSS_RATE;
                self.schedule(duration, |soak| {
                    soak.network.state().loss_rate = 0.0;
                    Ok(())
                });
            }
        }
        Ok(())
    }

    /// Restarts an instance once its former process has exited.
    fn restart(&mut self, instance: usize) -> std::io::Result<()> {
        if self.fleet.can_launch(instance) {
            self.network
                .state()
                .excuse_instance(instance, Duration::ZERO);
            return self.fleet.launch(instance);
        }
        // Tries again later, unless the end of another fault has restarted the instance by then.
        self.schedule(soak::POLL_INTERVAL, move |soak| soak.try_restart(instance));
        Ok(())
    }

    fn try_restart(&mut self, instance: usize) -> std::io::Result<()> {
        if self.fleet.is_running(instance) {
            return Ok(());
        }
        self.restart(instance)
    }

    fn set_proxy_mode(&mut self, instance: usize, mode: proxy::Mode, duration: Duration) {
        self.network.state().excuse_instance(instance, duration);
        self.proxies[instance].set_mode(mode);
        self.schedule(duration, move |soak| {
            soak.proxies[instance].set_mode(proxy::Mode::Pass);
            Ok(())
        });
    }

    fn excuse_all_targets(&mut self, duration: Duration) {
        let mut state = self.network.state();
        for target in 0..state.targets.len() {
            state.excuse_target(target, duration);
        }
    }

    fn store_busy(&mut self, duration: Duration) {
        self.network.state().excuse_store(duration);
        self.store.set_mode(store::Mode::Busy);
        self.schedule(duration, |soak| {
            soak.store.set_mode(store::Mode::Up);
            Ok(())
        });
    }

    /// Makes the store unavailable while the registrations of every third target expire; targets
    /// that are up register again after the outage.
    fn expire_registrations(&mut self, duration: Duration) {
        self.store_busy(duration + REREGISTRATION_DELAY);
        let targets = self.network.state().targets.clone();
        for (index, target) in targets.iter().enumerate().step_by(3) {
            if !target.up || target.draining_since.is_some() {
                continue;
            }
            let id = target.id;
            self.store.remove(&registration_key(id));
            self.schedule(duration + REREGISTRATION_DELAY * 2, move |soak| {
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

    /// Makes the store lose what is written in `duration`. The configuration is written again at
    /// once, and registrations within the time that targets take to reach the store.
    fn restore_store(&mut self, duration: Duration) {
        let copy = self.store.copy();
        self.schedule(duration, move |soak| {
            soak.store_busy(RESTORE_OUTAGE);
            soak.store.restore(&copy);
            soak.write_config();
            soak.schedule(RESTORE_OUTAGE + REREGISTRATION_DELAY, |soak| {
                let targets = soak.network.state().targets.clone();
                for (index, target) in targets.iter().enumerate().filter(|(_, found)| found.up) {
                    let is_draining = target.draining_since.is_some();
                    soak.register(index, if is_draining { "draining" } else { "ready" });
                }
                Ok(())
            });
            soak.schedule(RESTORE_OUTAGE + REGISTRATION_TIMEOUT, |soak| {
                let targets = soak.network.state().targets.clone();
                let current: Vec<String> = targets
                    .iter()
                    .filter(|target| target.up)
                    .map(|target| registration_key(target.id))
                    .collect();
                for key in soak.store.keys() {
                    if key.starts_with("servers/") && !current.contains(&key) {
                        soak.store.remove(&key);
                    }
                }
                Ok(())
            });
            Ok(())
        });
    }

    /// Drains and removes a target; then a target of the other service reuses its address.
    fn replace_target(&mut self, target: usize) {
        let mut state = self.network.state();
        let service = state.targets[target].service;
        let is_active = |other: &&network::Target| {
            other.service == service && other.up && other.draining_since.is_none()
        };
        let can_drain = is_active(&&state.targets[target]);
        if !can_drain || state.targets.iter().filter(is_active).count() <= MIN_REMAINING_TARGETS {
            return;
        }
        state.targets[target].draining_since = Some(Instant::now());
        let id = state.targets[target].id;
        drop(state);
        self.register(target, "draining");
        self.schedule(DRAIN_DURATION, move |soak| {
            let mut state = soak.network.state();
            state.excuse_target(target, Duration::ZERO);
            state.targets[target].up = false;
            drop(state);
            soak.store.remove(&registration_key(id));
            soak.schedule(ADDRESS_REUSE_DELAY, move |soak| {
                let id = soak.next_id;
                soak.next_id += 1;
                let mut state = soak.network.state();
                let entry = &mut state.targets[target];
                entry.draining_since = None;
                entry.id = id;
                entry.incarnation += 1;
                entry.service = soak::SERVICES[usize::from(entry.service == soak::SERVICES[0])];
                entry.up = true;
                drop(state);
                soak.register(target, "ready");
                Ok(())
            });
            Ok(())
        });
    }

    fn change_route(&mut self) {
        let mut state = self.network.state();
        let route = &mut state.routes[0];
        let service = soak::SERVICES[usize::from(route.service == soak::SERVICES[0])];
        route.allowed_services.insert(service);
        route.service = service;
        drop(state);
        self.publish_config();
        self.network.state().routes[0].changed_at = Instant::now();
    }

    /// Publishes the routes in a new version of the configuration.
    pub fn publish_config(&mut self) {
        self.version += 1;
        self.write_config();
    }

    /// Writes the routes in the last published version of the configuration.
    fn write_config(&self) {
        let routes: Vec<_> = self
            .network
            .state()
            .routes
            .iter()
            .enumerate()
            .map(|(index, route)| {
                json!({"name": format!("route-{index}"), "host": route.address.ip().to_string(),
                    "prefix": format!("/{}/", soak::ROUTE_PORT), "service": route.service,
                    "type": if index == 0 { "safe" } else { "unsafe" }})
            })
            .collect();
        let services = soak::SERVICES.map(|name| json!({"name": name, "maxConns": 2000}));
        let config = json!({"version": self.version, "routes": routes, "services": services,
            "limits": {"idleTimeoutMs": 15_000}});
        self.store.put("op/config", &config);
    }

    /// Writes a target's registration with the state `ready` or `draining`.
    pub fn register(&mut self, index: usize, state: &str) {
        self.writes += 1;
        let target = self.network.state().targets[index].clone();
        let entry = json!({"service": target.service, "address": target.address.to_string(),
            "zone": format!("zone-{}", target.zone), "version": "v1", "slots": 2, "state": state,
            "coldMs": 0, "seq": self.writes, "born": target.incarnation});
        self.store.put(&registration_key(target.id), &entry);
    }
}

fn registration_key(id: u64) -> String {
    format!("servers/i-{id:x}")
}
