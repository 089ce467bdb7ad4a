//! The control thread of an instance that forwards by cookie.

use std::collections::{BTreeMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam_channel::{Receiver, Sender};
use hdrhistogram::Histogram;

use crate::coordination::burn;
use crate::coordination::cookie::{checks, controller, heartbeat, pause};
use crate::protocol::{cookie_settings, fault, status, wire};
use crate::state::{catalog, count, key, snapshot, time};
use crate::transport::cookie::{adapter, event_log, traffic};
use crate::transport::{
    clock, control, event_loop, files, timer, traffic as bucket_traffic, watch,
};

/// Time between runs of the controller's periodic work.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time between updates of the burn report that operators see.
const BURN_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time between checks of the settings file, which may change without a SIGHUP.
const SETTINGS_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Sender number in frames. Receivers identify the instance by the source address instead.
const UNNUMBERED_INSTANCE: key::Instance = key::Instance(0);

/// Input of the control thread.
#[derive(Debug)]
pub enum Event {
    /// Outcome of checks of the target with a cookie.
    Checked(u32, checks::Outcome),
    /// A datagram from another instance, and when it was received.
    Datagram(time::Instant, SocketAddr, Vec<u8>),
    /// Result of a fetch from a peer that was asked at an instant: the registry data and its age in
    /// milliseconds.
    Fetched(
        time::Instant,
        SocketAddr,
        fault::Result<Option<(catalog::Delta, u32)>>,
    ),
    /// Another instance requests the changes after a position.
    DeltaRequested(catalog::Position, Sender<(catalog::Delta, u32)>),
    /// Result of a call to the platform.
    Platform(fault::Result<Option<(watch::Call, adapter::Update)>>),
    /// Check the settings file for changes.
    Reload,
    /// Begin a graceful shutdown.
    Stop,
    /// A page for operators needs the status.
    StatusRequested(Sender<status::Status>),
    /// An event of the traffic thread with this shard number.
    Traffic(usize, traffic::Event),
}

/// State, channels and sockets of the control thread.
pub struct Parts {
    /// Error-budget burn report for operators.
    pub burn: Arc<ArcSwap<burn::Report>>,
    /// Queue of the check threads, if targets in doubt are checked.
    pub checks: Option<Sender<(u32, SocketAddr)>>,
    /// Clock of the process.
    pub clock: clock::Clock,
    /// Makes the control decisions.
    pub controller: controller::Controller,
    /// Counters of the traffic threads, followed by those of this thread.
    pub counters: Vec<Arc<count::Set>>,
    /// Queue of events.
    pub events: Receiver<Event>,
    /// Whether this instance is ready, for health checks.
    pub ready: Arc<AtomicBool>,
    /// Requests to the fetch thread: a peer and the position after which changes are wanted.
    pub fetch_requests: Sender<(SocketAddr, catalog::Position)>,
    /// Log.
    pub log: slog::Logger,
    /// Keys that authenticate frames.
    pub keyring: wire::Keyring,
    /// Settings in force.
    pub settings: cookie_settings::Settings,
    /// Settings file.
    pub settings_file: PathBuf,
    /// Snapshot that the traffic threads read.
    pub snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    /// Socket for heartbeats.
    pub socket: UdpSocket,
    /// Commands to the traffic threads.
    pub traffic_commands: Vec<Sender<traffic::Command>>,
    /// Turns the platform watch on or off.
    pub watch: Sender<bool>,
    /// Revision from which the platform watch continues; none if it has to read everything.
    pub watched_from: Arc<ArcSwapOption<catalog::Revision>>,
}

struct Worker {
    parts: Parts,
    settings_text: String,
    started: time::Instant,
    stop_at: Option<time::Instant>,
    stopped: bool,
    times: Histogram<u64>,
}

/// Runs the control thread until a graceful shutdown is complete.
pub fn run(parts: Parts) {
    let clock = parts.clock;
    let started = clock.now();
    let events = parts.events.clone();
    let mut worker = Worker {
        settings_text: files::read(&parts.settings_file).unwrap_or_default(),
        parts,
        started,
        stop_at: None,
        stopped: false,
        times: bucket_traffic::new_histogram(),
    };
    let mut timers = timer::Service::<Worker>::default();
    timers.subscribe(started, TICK_INTERVAL, Worker::tick);
    timers.subscribe(started, BURN_INTERVAL, Worker::publish_burn);
    timers.subscribe(started, SETTINGS_INTERVAL, |worker, _| worker.reload());
    worker.tick(started);
    worker.execute_outputs(started);
    let handle = Worker::handle;
    event_loop::run_control(
        clock,
        &mut worker,
        timers,
        &events,
        handle,
        Worker::after_event,
    );
    slog::info!(worker.parts.log, "stopped");
    for thread in &worker.parts.traffic_commands {
        // A thread whose queue is full ends with the process instead.
        let _ = thread.try_send(traffic::Command::Stop);
    }
}

impl Worker {
    fn count(&self, counter: count::Counter, amount: u64) {
        if let Some(counters) = self.parts.counters.last() {
            counters.add(counter, amount);
        }
    }

    fn handle(&mut self, now: time::Instant, event: Event) {
        self.parts.controller.observe(now);
        match event {
            Event::Checked(cookie, outcome) => {
                if outcome != checks::Outcome::Opened {
                    self.count(count::Counter::CheckFailed, 1);
                }
                self.parts.controller.on_checked(now, cookie, outcome);
            }
            Event::Datagram(at, from, bytes) => self.handle_datagram(now, at, from, &bytes),
            Event::Fetched(asked_at, from, outcome) => {
                self.handle_fetched(now, asked_at, from, outcome);
            }
            Event::DeltaRequested(since, answer) => {
                let delta = self.parts.controller.delta_since(now, since);
                // The requester may have timed out.
                let _ = answer.try_send(delta);
            }
            Event::Platform(outcome) => self.handle_platform(now, outcome),
            Event::Reload => self.reload(),
            Event::StatusRequested(answer) => {
                // The page may have stopped waiting.
                let _ = answer.try_send(self.status(now));
            }
            Event::Stop => self.begin_stop(now),
            Event::Traffic(shard, traffic::Event::Report(report)) => {
                for decision in &report.decisions {
                    event_log::decision(&self.parts.log, &self.parts.controller, decision);
                }
                if report.omitted > 0 {
                    event_log::omitted(&self.parts.log, report.omitted);
                }
                self.parts.controller.on_report(now, shard, report);
            }
            // Cannot fail: both histograms have the same bounds.
            Event::Traffic(_, traffic::Event::Times(times)) => drop(self.times.add(&times)),
        }
    }

    fn handle_datagram(
        &mut self,
        now: time::Instant,
        received_at: time::Instant,
        from: SocketAddr,
        bytes: &[u8],
    ) {
        match wire::decode::<heartbeat::Heartbeat>(&self.parts.keyring, bytes) {
            Ok((_, heartbeat)) => {
                self.count(count::Counter::ControlFramesReceived, 1);
                let controller = &mut self.parts.controller;
                controller.on_heartbeat(now, received_at, from, heartbeat);
            }
            Err(reason) => self.count(reason, 1),
        }
    }

    fn handle_fetched(
        &mut self,
        now: time::Instant,
        asked_at: time::Instant,
        from: SocketAddr,
        outcome: fault::Result<Option<(catalog::Delta, u32)>>,
    ) {
        match outcome {
            Ok(Some((delta, age_ms))) => {
                // The peer may have answered as soon as it was asked.
                let age = now.since(asked_at) + time::Duration::from_millis(u64::from(age_ms));
                let origin = controller::Origin::Peer(from);
                self.parts.controller.on_delta(now, &delta, age, origin);
                event_log::fetched(&self.parts.log, &self.parts.controller, from, &delta);
            }
            Ok(None) => self.parts.controller.on_fetch_failed(),
            Err(report) => {
                slog::warn!(self.parts.log, "fetch failed"; "peer" => %from,
                    "code" => %fault::code(&report), "why" => fault::texts(&report).join("; "));
                self.parts.controller.on_fetch_failed();
            }
        }
    }

    fn handle_platform(
        &mut self,
        now: time::Instant,
        outcome: fault::Result<Option<(watch::Call, adapter::Update)>>,
    ) {
        self.count(count::Counter::PlatformCall, 1);
        match outcome {
            Ok(Some((call, adapter::Update { delta, faults }))) => {
                for fault in faults {
                    slog::error!(self.parts.log, "published fact not understood"; "why" => fault);
                }
                let origin = controller::Origin::Platform;
                let controller = &mut self.parts.controller;
                let current_at = controller.answer_time(call.asked_at, call.current_at);
                controller.on_delta(now, &delta, now.since(current_at), origin);
            }
            Ok(None) => {}
            Err(report) => {
                self.count(count::Counter::PlatformCallFailed, 1);
                event_log::call_failed(&self.parts.log, &report);
                self.parts.controller.on_platform_failed(now);
            }
        }
    }

    fn update_watch_revision(&self) {
        let from = self.parts.controller.watched_from();
        if self.parts.watched_from.load().as_deref().copied() != from {
            self.parts.watched_from.store(from.map(Arc::new));
        }
    }

    fn begin_stop(&mut self, now: time::Instant) {
        if self.stop_at.is_none() {
            let delay = self.parts.settings.instance.stop_delay;
            slog::info!(self.parts.log, "stopping"; "forwarding_ms" => event_log::millis(delay));
            self.parts.controller.leave(now);
            self.stop_at = Some(now + delay);
            self.update_readiness();
        }
    }

    fn tick(&mut self, now: time::Instant) {
        self.parts.controller.observe(now);
        self.parts.controller.tick(now);
        self.stopped = self.stop_at.is_some_and(|stop_at| now >= stop_at);
    }

    /// Applies changed settings. Addresses stay as they were when the process started.
    fn reload(&mut self) {
        let file = self.parts.settings_file.display().to_string();
        let text = match files::read(&self.parts.settings_file) {
            Ok(text) => text,
            Err(report) => {
                slog::warn!(self.parts.log, "settings not read"; "code" => %fault::code(&report),
                    "why" => fault::texts(&report).join("; "));
                return;
            }
        };
        if text == self.settings_text {
            return;
        }
        match cookie_settings::parse(&file, &text) {
            Ok(settings) => {
                slog::info!(self.parts.log, "reloaded"; "seeds" => settings.seeds.len());
                self.parts.controller.set_seeds(&settings.seeds);
                self.parts.settings = settings;
            }
            Err(report) => {
                slog::error!(self.parts.log, "settings refused, former ones stay in force";
                    "code" => %fault::code(&report), "why" => fault::texts(&report).join("; "));
            }
        }
        self.settings_text = text;
    }

    /// Executes the controller's outputs; returns whether the thread keeps running.
    fn after_event(&mut self, now: time::Instant) -> bool {
        self.execute_outputs(now);
        self.update_watch_revision();
        !self.stopped
    }

    fn execute_outputs(&mut self, now: time::Instant) {
        let outputs: Vec<controller::Output> = self.parts.controller.outputs().collect();
        // Ages in heartbeats count from `now`. After a pause, the next ones replace them.
        let sends = !pause::is_pause(self.parts.clock.now().since(now));
        self.update_readiness();
        for output in outputs {
            match output {
                controller::Output::Check(cookie, address) => {
                    let queue = self.parts.checks.as_ref();
                    match queue.map(|queue| queue.try_send((cookie, address))) {
                        Some(Ok(())) => self.count(count::Counter::CheckStarted, 1),
                        _ => self.count(count::Counter::EventLost, 1),
                    }
                }
                controller::Output::Heartbeat(to, heartbeat) if sends => self.send(&to, &heartbeat),
                controller::Output::Heartbeat(..) => {}
                controller::Output::Fetch(peer, since) => {
                    if self.parts.fetch_requests.try_send((peer, since)).is_err() {
                        self.count(count::Counter::EventLost, 1);
                    }
                }
                controller::Output::Log(event) => {
                    event_log::event(&self.parts.log, &self.parts.controller, now, &event);
                }
                controller::Output::Publish(snapshot) => self.parts.snapshot.store(snapshot),
                controller::Output::Watch(enabled) => {
                    if self.parts.watch.try_send(enabled).is_err() {
                        self.count(count::Counter::EventLost, 1);
                    }
                }
            }
        }
    }

    fn send(&self, to: &[SocketAddr], heartbeat: &heartbeat::Heartbeat) {
        let frame = wire::encode(
            &self.parts.keyring,
            wire::Kind::Heartbeat,
            UNNUMBERED_INSTANCE,
            heartbeat,
        );
        for address in to {
            match self.parts.socket.send_to(&frame, address) {
                Ok(sent) => {
                    self.count(count::Counter::ControlBytesSent, sent as u64);
                    self.count(count::Counter::ControlFramesSent, 1);
                }
                Err(_) => self.count(count::Counter::SendFailed, 1),
            }
        }
    }

    fn update_readiness(&self) {
        let ready = self.parts.controller.is_ready();
        if self.parts.ready.swap(ready, Ordering::Relaxed) != ready {
            let as_of = self.parts.controller.registry.as_of;
            slog::info!(self.parts.log, "readiness"; "ready" => ready,
                "as_of" => as_of.number, "era" => as_of.era);
        }
    }

    fn publish_burn(&mut self, now: time::Instant) {
        let report = self.parts.controller.burn_report(now);
        self.parts.burn.store(Arc::new(report));
    }

    fn status(&self, now: time::Instant) -> status::Status {
        let controller = &self.parts.controller;
        let times = BTreeMap::from([("batch".into(), control::quantiles(&self.times))]);
        status::Status {
            alone: controller.peers.alive(now).next().is_none(),
            capacities: capacities(controller),
            cookie_conflicts: controller.conflicts().len() as u64,
            counters: control::totals(&self.parts.counters),
            evacuations: evacuations(controller, now),
            entries: controller
                .reports
                .iter()
                .map(|report| report.flows as u64)
                .sum(),
            instance: UNNUMBERED_INSTANCE.0,
            name: controller.config.name.clone(),
            peers: peers(controller, now),
            phase: None,
            platform_reachable: controller.is_platform_reachable(),
            ready: controller.is_ready(),
            revision: controller.registry.version(),
            services: services(controller),
            settled: controller.registry.is_complete(),
            times,
            uptime_seconds: now.since(self.started).as_secs(),
            watching: controller.watching,
            zone: controller.config.zone.clone(),
        }
    }
}

fn peers(controller: &controller::Controller, now: time::Instant) -> Vec<status::Peer> {
    controller
        .peers
        .known
        .iter()
        .filter_map(|(key, peer)| {
            let heartbeat = peer.heartbeat.as_ref()?;
            Some(status::Peer {
                alive: peer.is_alive(now),
                instance: key.0,
                name: heartbeat.name.clone(),
                phase: None,
                revision: heartbeat.position.version,
                silent_ms: Some(event_log::millis(now.since(peer.last_seen))),
            })
        })
        .collect()
}

/// Slots by service, for the status page.
fn capacities(controller: &controller::Controller) -> Vec<status::Capacity> {
    let capacities = controller.capacities().into_iter();
    capacities
        .map(|capacity| status::Capacity {
            evacuated: capacity.evacuated,
            service: capacity.service,
            usable: capacity.usable,
        })
        .collect()
}

/// Evacuated zones, for the status page.
fn evacuations(controller: &controller::Controller, now: time::Instant) -> Vec<status::Evacuation> {
    let active = controller.registry.evacuations.active();
    active
        .map(|(zone, record)| status::Evacuation {
            since_seconds: now.since(record.changed_at).as_secs(),
            zone: zone.clone(),
        })
        .collect()
}

/// Services with their targets, for the status page.
fn services(controller: &controller::Controller) -> Vec<status::Service> {
    let mut services: BTreeMap<&str, Vec<status::Target>> = BTreeMap::new();
    let own = controller.own_loads();
    let reports = controller.reports.iter();
    let avoided: HashSet<key::Target> = reports
        .flat_map(|report| &report.avoided)
        .map(|found| found.target)
        .collect();
    for (key, record) in controller.registry.targets.iter() {
        let Some(target) = controller.snapshot.target(key) else {
            continue;
        };
        let avoided = avoided.contains(&key);
        let fitness = match (target.eligibility, avoided) {
            (snapshot::Eligibility::NewFlows, true) => "failed",
            (snapshot::Eligibility::NewFlows, false) => "fit",
            (_, _) => "closed",
        };
        let own = own.get(&key).map_or(0, |load| load.flows);
        let service = services.entry(&record.details.service).or_default();
        service.push(status::Target {
            address: record.details.address.to_string().into(),
            fitness: fitness.into(),
            flows: controller.snapshot.remote(key).load.flows + own,
            homes: 0,
            name: format!("{:x}", record.id.0).into(),
            state: format!("{:?}", record.details.state).to_lowercase().into(),
            weight_percent: 100,
            zone: record.details.zone.clone(),
        });
    }
    services
        .into_iter()
        .map(|(name, targets)| status::Service {
            address: "".into(),
            buckets: 0,
            direct: 0,
            flexible_share: 0,
            name: name.into(),
            owned: 0,
            protocol: "tcp".into(),
            settling: 0,
            targets,
        })
        .collect()
}
