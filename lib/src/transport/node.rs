//! Starts the threads of one instance and connects them with channels.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::coordination::{
    burn, control, flexible_share, health, membership, message, placement, steering,
};
use crate::protocol::{fault, settings, status, wire};
use crate::state::{code, count, key, random, time, view};
use crate::transport::{
    batch, clock, control as control_thread, flow_page, http_server, log, platform, probe, traffic,
    transfer, watch,
};

/// Capacity of the control thread's event queue.
const EVENT_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the command queues of the traffic, probe and watch threads.
const COMMAND_QUEUE_CAPACITY: usize = 64;
/// Longest wait of a traffic thread for packets.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(10);
/// Largest heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;
/// Longest wait for the last log lines to be written. If nobody reads the standard output, they
/// never are.
const LOG_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// A running instance whose control thread takes events of type `E`.
pub struct Node<E> {
    control: thread::JoinHandle<()>,
    events: Sender<E>,
    log: log::Guard,
}

impl<E> Node<E> {
    /// An instance with its control thread, the sender of its events and its log.
    pub fn new(control: thread::JoinHandle<()>, events: Sender<E>, log: log::Guard) -> Self {
        Self {
            control,
            events,
            log,
        }
    }

    /// Sender of events to the control thread, such as the request for a graceful shutdown.
    pub fn events(&self) -> Sender<E> {
        self.events.clone()
    }

    /// Waits until a graceful shutdown is complete, and for a limited time until the last log lines
    /// are written.
    pub fn wait(self) {
        // A panic of the control thread has already been printed.
        let _ = self.control.join();
        let (written, end) = bounded::<()>(1);
        let log = self.log;
        let writer = spawn("log end", move || {
            drop(log);
            drop(written);
        });
        if writer.is_ok() {
            // Both outcomes end the process: the lines are written, or nobody reads them.
            let _ = end.recv_timeout(LOG_TIMEOUT);
        }
    }
}

/// A `SocketUnavailable` report about a socket or thread that could not be created.
pub fn unavailable(what: impl std::fmt::Display) -> error_stack::Report<fault::Fault> {
    fault::report(code::Code::SocketUnavailable, what.to_string())
}

/// Starts a named thread. Errors are `SocketUnavailable`.
pub fn spawn<T: Send + 'static>(
    name: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> fault::Result<thread::JoinHandle<T>> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .map_err(unavailable)
}

/// Starts an instance. Errors are `SocketUnavailable`.
pub fn start(
    settings: &settings::Settings,
    seed: u64,
) -> fault::Result<Node<control_thread::Event>> {
    let clock = clock::Clock::start();
    let self_key = key::Instance(settings.instance.number);
    let (events, event_queue) = bounded(EVENT_QUEUE_CAPACITY);
    let control = control::Control::new(
        control_config(settings, self_key),
        random::Source::new(seed),
        clock.now(),
    );
    let view = Arc::new(ArcSwap::from_pointee(view::View::empty(
        self_key,
        control.lease.clone(),
    )));
    let (log, log_guard) = log::start(
        settings.log.format,
        &settings.instance.number.to_string(),
        &settings.instance.zone,
    );
    let status = Arc::new(ArcSwap::from_pointee(status::Status::default()));
    let burn = Arc::new(ArcSwap::from_pointee(burn::Report::default()));
    let served_sheet = Arc::new(ArcSwapOption::empty());
    let revision = Arc::new(AtomicU64::new(0));

    let mut counters = Vec::new();
    let mut traffic_commands = Vec::new();
    for shard in 0..settings.instance.shards {
        let (commands, command_queue) = bounded(COMMAND_QUEUE_CAPACITY);
        let parts = traffic_parts(settings, seed, shard, clock, &events, command_queue, &view)?;
        counters.push(Arc::clone(&parts.shard.counters));
        traffic_commands.push(commands);
        let shard_log = log.clone();
        spawn("traffic", move || {
            if let Err(error) = traffic::run(parts) {
                slog::error!(shard_log, "traffic thread ended"; "error" => %error);
            }
        })?;
    }
    counters.push(Arc::new(count::Set::default()));

    let control_address =
        SocketAddr::new(settings.instance.address, settings.instance.control_port);
    let socket = batch::bind(control_address, time::Duration::from_secs(3_600))
        .map_err(|error| unavailable(format!("{control_address}: {error}")))?;
    listen_heartbeats(&socket, events.clone())?;
    serve_transfers(
        control_address,
        settings.keyring.clone(),
        self_key,
        Arc::clone(&served_sheet),
    )?;
    let fetch_requests = spawn_fetcher(settings, self_key, events.clone())?;
    let probe_targets = spawn_prober(events.clone())?;
    let watch = spawn_watcher(settings, seed, Arc::clone(&revision), events.clone())?;
    serve_pages(
        settings,
        Arc::clone(&status),
        Arc::clone(&burn),
        Arc::clone(&view),
        traffic_commands.clone(),
    )?;
    slog::info!(log, "started"; "control" => %control_address,
        "traffic_port" => settings.instance.traffic_port, "shards" => settings.instance.shards);

    let parts = control_thread::Parts {
        burn,
        clock,
        control,
        counters,
        events: event_queue,
        fetch_requests,
        log,
        served_sheet,
        probe_targets,
        revision,
        keyring: settings.keyring.clone(),
        socket,
        status,
        stop_delay: settings.instance.stop_delay,
        traffic_commands,
        view,
        watch,
    };
    let control = spawn("control", move || control_thread::run(parts))?;
    Ok(Node::new(control, events, log_guard))
}

fn control_config(settings: &settings::Settings, self_key: key::Instance) -> control::Config {
    control::Config {
        replication_budget: settings.limits.control_budget,
        health: health::Config::default(),
        herding_rate: flexible_share::HERDING_FLOWS_PER_SECOND,
        incarnation: clock::unix_seconds(),
        membership: membership::Config::default(),
        peers: settings.peers.clone(),
        report_interval: control::REPORT_INTERVAL,
        self_key,
        shards: settings.instance.shards,
        traffic_port: settings.instance.traffic_port,
        zone: settings.instance.zone.clone(),
    }
}

fn traffic_parts(
    settings: &settings::Settings,
    seed: u64,
    shard_number: u16,
    clock: clock::Clock,
    events: &Sender<control_thread::Event>,
    commands: Receiver<traffic::Command>,
    view: &Arc<ArcSwap<view::View>>,
) -> fault::Result<traffic::Parts> {
    let instance = &settings.instance;
    let address = |shard: u16| SocketAddr::new(instance.address, instance.traffic_port + shard);
    let own = address(shard_number);
    let socket =
        batch::bind(own, READ_TIMEOUT).map_err(|error| unavailable(format!("{own}: {error}")))?;
    let limits = steering::Limits {
        entries: settings.limits.entries,
        held: settings.limits.held,
        ..steering::Limits::default()
    };
    let random = random::Source::new(seed ^ (u64::from(shard_number) + 1));
    let events = events.clone();
    Ok(traffic::Parts {
        clock,
        commands,
        send_event: Box::new(move |event| {
            let event = control_thread::Event::Traffic(usize::from(shard_number), event);
            events.try_send(event).is_ok()
        }),
        return_address: settings.fabric.return_address,
        keyring: settings.keyring.clone(),
        secret: settings.flow_secret,
        shard: steering::Shard::new(limits, placement::Policy::default(), random),
        shard_number,
        shards: instance.shards,
        socket,
        shard_addresses: (0..instance.shards).map(address).collect(),
        view: Arc::clone(view),
    })
}

/// Passes datagrams from the control socket to the control thread.
fn listen_heartbeats(
    socket: &UdpSocket,
    events: Sender<control_thread::Event>,
) -> fault::Result<()> {
    let socket = socket.try_clone().map_err(unavailable)?;
    spawn("heartbeats", move || {
        let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
        loop {
            if let Ok((length, _)) = socket.recv_from(&mut buffer)
                && length > 0
            {
                // If the queue is full, the sender's next heartbeat replaces this one.
                let _ = events.try_send(control_thread::Event::Datagram(buffer[..length].to_vec()));
            }
        }
    })
    .map(drop)
}

fn serve_transfers(
    address: SocketAddr,
    keyring: wire::Keyring,
    self_key: key::Instance,
    served_sheet: Arc<ArcSwapOption<message::Bundle>>,
) -> fault::Result<()> {
    let listener =
        TcpListener::bind(address).map_err(|error| unavailable(format!("{address}: {error}")))?;
    spawn("transfer", move || {
        transfer::serve(&listener, &keyring, self_key, |_: message::Fetch| {
            served_sheet.load_full()
        });
    })
    .map(drop)
}

fn spawn_fetcher(
    settings: &settings::Settings,
    self_key: key::Instance,
    events: Sender<control_thread::Event>,
) -> fault::Result<Sender<(SocketAddr, u64)>> {
    let (fetch_requests, queue) = bounded::<(SocketAddr, u64)>(1);
    let (keyring, from) = (settings.keyring.clone(), settings.instance.address);
    spawn("fetch", move || {
        for (address, above) in queue {
            let request = message::Fetch { above };
            let bundle =
                transfer::fetch(from, address, &keyring, self_key, &request).unwrap_or_default();
            let _ = events.send(control_thread::Event::Fetched(bundle));
        }
    })?;
    Ok(fetch_requests)
}

fn spawn_prober(events: Sender<control_thread::Event>) -> fault::Result<Sender<probe::Targets>> {
    let (probe_targets, target_lists) = bounded(COMMAND_QUEUE_CAPACITY);
    spawn("probes", move || {
        probe::run(
            &target_lists,
            health::Config::default().interval,
            |target, result| {
                let _ = events.try_send(control_thread::Event::Probed(target, result));
            },
        );
    })?;
    Ok(probe_targets)
}

fn spawn_watcher(
    settings: &settings::Settings,
    seed: u64,
    revision: Arc<AtomicU64>,
    events: Sender<control_thread::Event>,
) -> fault::Result<Sender<bool>> {
    let (watch, enabled) = bounded(COMMAND_QUEUE_CAPACITY);
    let mut client = platform::Client::new(settings.platform.address, settings.platform.watch);
    spawn("watch", move || {
        watch::run(
            &enabled,
            random::Source::new(seed),
            &platform::WATCH_DELAYS,
            |_| client.poll(revision.load(Ordering::Relaxed)),
            |outcome| {
                let _ = events.send(control_thread::Event::Platform(outcome));
            },
        );
    })?;
    Ok(watch)
}

/// Serves the pages for operators.
fn serve_pages(
    settings: &settings::Settings,
    status: Arc<ArcSwap<status::Status>>,
    burn: Arc<ArcSwap<burn::Report>>,
    view: Arc<ArcSwap<view::View>>,
    traffic_commands: Vec<Sender<traffic::Command>>,
) -> fault::Result<()> {
    let secret = settings.flow_secret;
    let handler: http_server::Handler = Arc::new(move |request| {
        let status = status.load();
        match request.path.as_str() {
            "/burn" => http_server::json(&**burn.load()),
            "/flow" => flow_page::respond(request, secret, &view.load(), &traffic_commands),
            path => status_page(&status, path),
        }
    });
    http_server::serve(&[settings.instance.status], handler)
}

/// Answers the paths of health checks: whether the process runs, and whether it is ready.
pub fn health_page(ready: bool, path: &str) -> http_server::Response {
    match path {
        "/live" => http_server::text(200, "live\n"),
        _ if ready => http_server::text(200, "ready\n"),
        _ => http_server::text(503, format!("{}\n", code::Code::NotReady)),
    }
}

/// Answers the paths that instances of every packet format serve.
pub fn status_page(status: &status::Status, path: &str) -> http_server::Response {
    match path {
        "/live" | "/ready" => health_page(status.ready, path),
        "/status" => http_server::json(status),
        "/metrics" => http_server::text(200, status::metrics(status)),
        _ => http_server::text(404, format!("{}\n", code::Code::NotFound)),
    }
}
