//! Starts the threads of an instance that forwards by cookie and connects them with channels.

use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::coordination::burn;
use crate::coordination::cookie::{controller, forward};
use crate::protocol::{cookie_settings, fault, status};
use crate::state::{catalog, code, count, key, random, snapshot, time};
use crate::transport::cookie::{adapter, check, control, traffic};
use crate::transport::{batch, clock, http_server, log, node, transfer, watch};

/// Capacity of the control thread's event queue.
const EVENT_QUEUE_CAPACITY: usize = 1_024;
/// Capacity of the command queues of the traffic and watch threads.
const COMMAND_QUEUE_CAPACITY: usize = 16;
/// Threads that check targets, each one target at a time, so that a few that do not answer do not
/// delay the others.
const CHECK_THREADS: usize = 8;
/// Checks that wait for a thread. Those that find the queue full are tried again.
const CHECK_QUEUE_CAPACITY: usize = 32;
/// Longest wait for the control thread to answer another instance's request.
const DELTA_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Longest wait for the control thread to answer a page for operators.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Largest heartbeat; room for the loads of thousands of targets.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;
/// Delays between calls to the platform. They are short because changes must be in force within
/// three seconds and the end of an outage must be noticed soon.
const WATCH_DELAYS: watch::Delays = watch::Delays {
    backoff_max: time::Duration::from_secs(1),
    coalesce: time::Duration::from_millis(400),
};
/// Read timeout of the control socket, whose thread does nothing but wait for datagrams.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(3_600);

/// Starts an instance that exchanges packets in the format of `codec` and reads the registry data
/// from `source`. Errors are `SocketUnavailable`.
pub fn start(
    settings: &cookie_settings::Settings,
    settings_file: &Path,
    codec: adapter::Codec,
    source: adapter::Source,
    seed: u64,
) -> fault::Result<node::Node<control::Event>> {
    let clock = clock::Clock::start();
    let (events, event_queue) = bounded(EVENT_QUEUE_CAPACITY);
    let instance = &settings.instance;
    let (log, log_guard) = log::start(settings.log.format, &instance.name, &instance.zone);
    let snapshot = Arc::new(ArcSwap::from_pointee(snapshot::Snapshot::default()));
    let ready = Arc::new(AtomicBool::new(false));
    let burn = Arc::new(ArcSwap::from_pointee(burn::Report::default()));
    let watched_from = Arc::new(ArcSwapOption::empty());
    let mut random = random::Source::new(seed);
    let incarnation = random.below(usize::MAX) as u64;

    let bind = |address, timeout| {
        batch::bind(address, timeout)
            .map_err(|error| node::unavailable(format!("{address}: {error}")))
    };
    let socket = bind(instance.traffic, traffic::TICK_INTERVAL)?;
    let (commands, command_queue) = bounded(COMMAND_QUEUE_CAPACITY);
    let shard = forward::Shard::new(settings.flow_secret);
    let counters = vec![Arc::clone(&shard.counters), Arc::default()];
    let to_control = events.clone();
    let parts = traffic::Parts {
        clock,
        codec,
        commands: command_queue,
        send_event: Box::new(move |event| {
            to_control
                .try_send(control::Event::Traffic(0, event))
                .is_ok()
        }),
        shard,
        snapshot: Arc::clone(&snapshot),
        socket,
    };
    let traffic_log = log.clone();
    node::spawn("traffic", move || {
        if let Err(error) = traffic::run(parts) {
            slog::error!(traffic_log, "traffic thread ended"; "error" => %error);
        }
    })?;

    let socket = bind(instance.control, READ_TIMEOUT)?;
    listen_heartbeats(&socket, clock, events.clone(), Arc::clone(&counters[1]))?;
    serve_transfers(settings, events.clone())?;
    let fetch_requests = spawn_fetcher(settings, clock, events.clone())?;
    let watch = spawn_watcher(
        source,
        clock,
        settings.watch(),
        random.below(usize::MAX) as u64,
        &watched_from,
        &events,
    )?;
    serve_pages(
        settings,
        Arc::clone(&ready),
        Arc::clone(&burn),
        events.clone(),
    )?;
    slog::info!(log, "started"; "control" => %instance.control, "traffic" => %instance.traffic,
        "seeds" => settings.seeds.len(), "release" => env!("CARGO_PKG_VERSION"));

    let config = controller::Config {
        address: instance.control,
        bounds: settings.bounds.convert(),
        features: controller::Features {
            health: instance.features.iter().any(|feature| feature == "health"),
        },
        incarnation,
        name: instance.name.clone(),
        regions: settings.regions.clone(),
        write_interval: settings.platform.write_interval,
        zone: instance.zone.clone(),
    };
    let checks = match config.features.health {
        true => Some(spawn_checkers(settings, clock, &events)?),
        false => None,
    };
    let controller = controller::Controller::new(config, &settings.seeds, 1, random, clock.now());
    let parts = control::Parts {
        burn,
        checks,
        clock,
        controller,
        counters,
        events: event_queue,
        fetch_requests,
        ready,
        log,
        watched_from,
        keyring: settings.keyring.clone(),
        settings: settings.clone(),
        settings_file: settings_file.to_owned(),
        snapshot,
        socket,
        traffic_commands: vec![commands],
        watch,
    };
    let control = node::spawn("control", move || control::run(parts))?;
    Ok(node::Node::new(control, events, log_guard))
}

/// Passes datagrams from the control socket to the control thread.
fn listen_heartbeats(
    socket: &UdpSocket,
    clock: clock::Clock,
    events: Sender<control::Event>,
    counters: Arc<count::Set>,
) -> fault::Result<()> {
    let socket = socket.try_clone().map_err(node::unavailable)?;
    node::spawn("heartbeats", move || {
        let mut buffer = vec![0; MAX_HEARTBEAT_BYTES];
        loop {
            if let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let received_at = clock.now();
                let event = control::Event::Datagram(received_at, from, buffer[..length].to_vec());
                if events.try_send(event).is_err() {
                    // The queue is full. The sender's next heartbeat replaces this one.
                    counters.increment(count::Counter::EventLost);
                }
            }
        }
    })
    .map(drop)
}

/// Serves registry data to other instances.
fn serve_transfers(
    settings: &cookie_settings::Settings,
    events: Sender<control::Event>,
) -> fault::Result<()> {
    let address = settings.instance.control;
    let listener = TcpListener::bind(address)
        .map_err(|error| node::unavailable(format!("{address}: {error}")))?;
    let keyring = settings.keyring.clone();
    node::spawn("offers", move || {
        transfer::serve(
            &listener,
            &keyring,
            key::Instance(0),
            |since: catalog::Position| {
                let (answer, answers) = bounded(1);
                events
                    .send(control::Event::DeltaRequested(since, answer))
                    .ok()?;
                answers.recv_timeout(DELTA_TIMEOUT).ok()
            },
        );
    })
    .map(drop)
}

/// Fetches registry data from other instances.
fn spawn_fetcher(
    settings: &cookie_settings::Settings,
    clock: clock::Clock,
    events: Sender<control::Event>,
) -> fault::Result<Sender<(std::net::SocketAddr, catalog::Position)>> {
    let (fetch_requests, queue) = bounded(1);
    let (keyring, from) = (settings.keyring.clone(), settings.instance.control.ip());
    node::spawn("fetch", move || {
        for (address, since) in queue {
            let asked_at = clock.now();
            let outcome = transfer::fetch(from, address, &keyring, key::Instance(0), &since);
            if events
                .send(control::Event::Fetched(asked_at, address, outcome))
                .is_err()
            {
                return;
            }
        }
    })?;
    Ok(fetch_requests)
}

/// Starts the threads that check targets in doubt.
fn spawn_checkers(
    settings: &cookie_settings::Settings,
    clock: clock::Clock,
    events: &Sender<control::Event>,
) -> fault::Result<Sender<(u32, std::net::SocketAddr)>> {
    let (checks, queue) = bounded(CHECK_QUEUE_CAPACITY);
    let from = settings.instance.control.ip();
    for _ in 0..CHECK_THREADS {
        let (queue, events): (Receiver<_>, _) = (queue.clone(), events.clone());
        node::spawn("checks", move || {
            for (cookie, address) in queue {
                let Some(outcome) = check::run(clock, from, address) else {
                    continue;
                };
                let event = control::Event::Checked(cookie, outcome);
                if events.send(event).is_err() {
                    return;
                }
            }
        })?;
    }
    Ok(checks)
}

/// Watches the platform while the control thread has the watch turned on.
fn spawn_watcher(
    mut source: adapter::Source,
    clock: clock::Clock,
    longest_wait: time::Duration,
    seed: u64,
    watched_from: &Arc<ArcSwapOption<catalog::Revision>>,
    events: &Sender<control::Event>,
) -> fault::Result<Sender<bool>> {
    let (watch, enabled): (Sender<bool>, Receiver<bool>) = bounded(COMMAND_QUEUE_CAPACITY);
    let (watched_from, events) = (Arc::clone(watched_from), events.clone());
    let mut lost_history = false;
    let poll = move |waits: bool| {
        let since = watched_from.load().as_deref().copied();
        let since = since.filter(|_| !lost_history);
        let wait = if waits {
            longest_wait
        } else {
            time::Duration::ZERO
        };
        let asked_at = clock.now();
        let update = source(since, wait);
        let answered_at = clock.now();
        lost_history = match &update {
            Ok(update) => !update.delta.is_gapless(),
            Err(report) => {
                // Pages of a full read have a limited size, unlike the changes since a revision.
                let needs_full_read = [code::Code::PlatformHistory, code::Code::ResponseSize];
                lost_history || needs_full_read.contains(&fault::code(report))
            }
        };
        update.map(|update| {
            let has_changed = since.is_some_and(|since| update.delta.as_of > since);
            // A full read is as old as its first page.
            let waited = if update.delta.full {
                time::Duration::ZERO
            } else {
                wait
            };
            let current_at = if has_changed && waits {
                answered_at
            } else {
                // The platform waited for all of this time, if for any, before it answered.
                answered_at.min(asked_at + waited)
            };
            watch::Response {
                // A full read must follow at once on an answer with a gap.
                changed: !lost_history && has_changed,
                update: Some((
                    watch::Call {
                        asked_at,
                        current_at,
                    },
                    update,
                )),
            }
        })
    };
    node::spawn("watch", move || {
        let random = random::Source::new(seed);
        watch::run(&enabled, random, &WATCH_DELAYS, poll, |outcome| {
            // Fails only after the control thread has ended, when the process ends too.
            let _ = events.send(control::Event::Platform(outcome));
        });
    })?;
    Ok(watch)
}

/// Asks the control thread for the status; none if it does not answer in time. The status grows with
/// the number of targets, so it is built only when it is asked for.
fn request_status(events: &Sender<control::Event>) -> Option<status::Status> {
    let (answer, answers) = bounded(1);
    events
        .try_send(control::Event::StatusRequested(answer))
        .ok()?;
    answers.recv_timeout(STATUS_TIMEOUT).ok()
}

/// Serves the pages for operators, health checks and metrics over HTTP.
fn serve_pages(
    settings: &cookie_settings::Settings,
    ready: Arc<AtomicBool>,
    burn: Arc<ArcSwap<burn::Report>>,
    events: Sender<control::Event>,
) -> fault::Result<()> {
    let handler: http_server::Handler = Arc::new(move |request| match request.path.as_str() {
        "/burn" => http_server::json(&**burn.load()),
        path @ ("/live" | "/ready") => node::health_page(ready.load(Ordering::Relaxed), path),
        path => match request_status(&events) {
            Some(status) => node::status_page(&status, path),
            None => http_server::text(503, format!("{}\n", code::Code::NotReady)),
        },
    });
    http_server::serve(
        &[settings.instance.status, settings.instance.metrics],
        handler,
    )
}
