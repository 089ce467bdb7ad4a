//! Injects the faults of a plan, and ends each when its time has come.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;

use crate::soak::{self, fleet, network, plan, proxy};
use crate::store;

/// Time for which a replaced target drains before it leaves; above the bound for new flows.
const DRAIN: Duration = Duration::from_secs(5);
/// Time after which an address may be used again; the users' `addrReuseS`.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// Time after the end of an outage in which lapsed registrations are back.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
/// Share of packets that a lossy network loses.
const LOSS: f64 = 0.03;
/// Targets of a service that a replacement must leave.
const MIN_TARGETS: usize = 2;

/// Something that is done later.
pub type Step = Box<dyn FnOnce(&mut Soak) -> std::io::Result<()>>;

/// A running soak.
pub struct Soak {
    /// The instances.
    pub fleet: fleet::Fleet,
    /// What is due later.
    pub later: Vec<(Instant, Step)>,
    /// The network.
    pub network: network::Network,
    /// Identity of the next new target.
    pub next_id: u64,
    /// Proxies before the store, by instance.
    pub proxies: Vec<proxy::Proxy>,
    /// The store.
    pub store: store::Store,
    /// Version of the configuration.
    pub version: u64,
}

impl Soak {
    /// Injects the faults of the plan; returns their number.
    pub fn play(&mut self, options: &soak::Options) -> std::io::Result<usize> {
        let size = plan::Size {
            instances: options.instances,
            targets: options.targets,
            zones: soak::ZONES,
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
            if start.elapsed() + soak::CALM >= options.length {
                self.network.state().is_calm = true;
            }
            std::thread::sleep(soak::STEP);
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
        self.after(soak::STEP, move |soak| soak.restart_stopped(instance));
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
                found.service = soak::SERVICES[usize::from(found.service == soak::SERVICES[0])];
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
        let service = soak::SERVICES[usize::from(route.service == soak::SERVICES[0])];
        route.known.insert(service);
        route.service = service;
        drop(state);
        self.configure();
        self.network.state().routes[0].moved_at = Instant::now();
    }

    /// Puts the routes in force with a new version of the configuration.
    pub fn configure(&mut self) {
        self.version += 1;
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

    /// Registers a target, `ready` or `draining`.
    pub fn register(&self, index: usize, duty: &str) {
        let target = self.network.state().targets[index].clone();
        let entry = json!({"service": target.service, "address": target.address.to_string(),
            "zone": format!("zone-{}", target.zone), "version": "v1", "slots": 2, "state": duty,
            "coldMs": 0, "seq": 1, "born": target.life});
        self.store.put(&format!("servers/{:x}", target.id), &entry);
    }
}
