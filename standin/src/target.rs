//! Simulated targets: encapsulated TCP in userspace, a limited number of slots, faults, and a count
//! of how often each request was executed.
//!
//! A request is one line: `GET id bytes`, `POST id 0` or `FEED id milliseconds`. A response begins
//! with a line `service target id length`. `/fault?target=NAME&kind=KIND` sets a fault.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use quetzal_lib::protocol::fault;
use quetzal_lib::state::code;
use quetzal_lib::transport::http_server;
use serde::{Deserialize, Serialize};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::stack;

/// Time for which a request occupies its slot.
const WORK_TIME: Duration = Duration::from_millis(15);
/// Time for which a request occupies its slot on a cold target.
const COLD_WORK_TIME: Duration = Duration::from_millis(60);
/// Interval between the lines of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(250);
/// Number of connections that can be in the handshake at once.
const BACKLOG: usize = 16;
/// Longest wait for a packet.
const IDLE_WAIT: Duration = Duration::from_millis(5);

/// A target.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Target {
    /// Address to which encapsulated packets are sent.
    pub address: SocketAddr,
    /// Address of the health endpoint.
    pub health: SocketAddr,
    /// Name.
    pub name: String,
    /// Service.
    pub service: String,
    /// Number of requests that it executes at once.
    pub slots: usize,
    /// Public address of the service.
    pub vip: SocketAddr,
}

/// Configuration of all targets of a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Config {
    /// Control page.
    pub admin: SocketAddr,
    /// Address to which packets for callers are sent.
    pub callers: SocketAddr,
    /// Targets.
    pub targets: Vec<Target>,
}

/// Faults of a target.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fault {
    /// Serves slowly and reports that it is cold.
    Cold,
    /// Drops all packets and fails health checks.
    Down,
    /// Drops all packets but reports that it is healthy.
    Lying,
    /// No fault.
    #[default]
    None,
    /// Reports that it wants no new flows.
    Shedding,
    /// Reports that it is draining.
    Draining,
}

/// Statistics of a target.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Number of requests in execution.
    pub busy: usize,
    /// Number of connections accepted so far.
    pub accepted: u64,
    /// Fault in force.
    pub fault: Fault,
    /// Number of open connections.
    pub open: usize,
    /// Addresses of callers whose connections were reset, newest last.
    pub resets: Vec<SocketAddr>,
    /// Number of executions of each request.
    pub ran: BTreeMap<u64, u32>,
    /// Service.
    pub service: String,
}

type Reports = Arc<Mutex<BTreeMap<String, Report>>>;

fn lock(reports: &Reports) -> std::sync::MutexGuard<'_, BTreeMap<String, Report>> {
    reports.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs all targets until the process ends. Errors are `SocketUnavailable`.
pub fn run(config: &Config) -> fault::Result<()> {
    let reports = Reports::default();
    let mut threads = Vec::new();
    for target in &config.targets {
        let report = Report {
            service: target.service.clone(),
            ..Report::default()
        };
        lock(&reports).insert(target.name.clone(), report);
        serve_health(target, &reports)?;
        let socket = UdpSocket::bind(target.address).map_err(|error| {
            fault::report(
                code::Code::SocketUnavailable,
                format!("{}: {error}", target.address),
            )
        })?;
        let (target, reports, callers) = (target.clone(), Arc::clone(&reports), config.callers);
        threads.push(std::thread::spawn(move || {
            serve(target, socket, callers, &reports);
        }));
    }
    serve_admin(config.admin, reports)?;
    for thread in threads {
        // The threads run until the process ends.
        let _ = thread.join();
    }
    Ok(())
}

fn serve_health(target: &Target, reports: &Reports) -> fault::Result<()> {
    let (name, reports) = (target.name.clone(), Arc::clone(reports));
    http_server::serve(
        &[target.health],
        Arc::new(move |_| {
            let fault = lock(&reports)
                .get(&name)
                .map(|report| report.fault)
                .unwrap_or_default();
            match fault {
                Fault::Cold => http_server::text(503, "cold\n"),
                Fault::Down => http_server::text(500, "down\n"),
                Fault::Lying | Fault::None => http_server::text(200, "ok\n"),
                Fault::Shedding => http_server::text(429, "shedding\n"),
                Fault::Draining => http_server::text(503, "draining\n"),
            }
        }),
    )
}

fn serve_admin(address: SocketAddr, reports: Reports) -> fault::Result<()> {
    http_server::serve(
        &[address],
        Arc::new(move |request| {
            let mut reports = lock(&reports);
            if request.path == "/fault" {
                let kind = request.query_value("kind").unwrap_or("none");
                let kind = serde_json::from_value(serde_json::Value::from(kind));
                let report = request
                    .query_value("target")
                    .and_then(|name| reports.get_mut(name));
                return match (kind, report) {
                    (Ok(kind), Some(report)) => {
                        report.fault = kind;
                        http_server::text(200, "set\n")
                    }
                    _ => http_server::text(400, "unknown target or kind\n"),
                };
            }
            http_server::json(&*reports)
        }),
    )
}

/// Phase of a connection.
enum Phase {
    /// Reads the request.
    Reading(Vec<u8>),
    /// Waits for a slot.
    Queued(Request),
    /// Occupies a slot until a time.
    Running(Request, Instant),
    /// Writes the response.
    Writing(VecDeque<u8>),
    /// Sends lines until a time.
    Feeding {
        request: Request,
        next: Instant,
        sequence: u64,
        until: Instant,
    },
}

/// A request.
#[derive(Clone, Debug)]
struct Request {
    amount: u64,
    id: u64,
    kind: String,
}

struct Server {
    connections: HashMap<SocketHandle, Phase>,
    listeners: Vec<SocketHandle>,
    report: Report,
    stack: stack::Stack,
    target: Target,
}

fn serve(target: Target, socket: UdpSocket, callers: SocketAddr, reports: &Reports) {
    let seed = u64::from(target.address.port()) ^ u64::from(target.slots as u32) << 32;
    let mut stack = stack::Stack::new(socket, callers, &[target.vip.ip()], seed);
    let listeners = (0..BACKLOG)
        .map(|_| stack.listen(target.vip.port()))
        .collect();
    let report = Report {
        service: target.service.clone(),
        ..Report::default()
    };
    let mut server = Server {
        connections: HashMap::new(),
        listeners,
        report,
        stack,
        target,
    };
    loop {
        let fault = server.report.fault;
        let drop_packets = matches!(fault, Fault::Down | Fault::Lying);
        let wait = server.stack.poll_delay(IDLE_WAIT);
        server.stack.run(wait, drop_packets);
        let resets = server.stack.take_resets();
        server.report.resets.extend(resets);
        server.accept();
        server.advance_all();
        server.update_report(reports);
    }
}

impl Server {
    fn accept(&mut self) {
        for index in 0..self.listeners.len() {
            let handle = self.listeners[index];
            if self.stack.socket_mut(handle).state() == tcp::State::Listen
                || self.stack.socket_mut(handle).state() == tcp::State::SynReceived
            {
                continue;
            }
            if self.stack.socket_mut(handle).may_recv() {
                self.connections.insert(handle, Phase::Reading(Vec::new()));
                self.report.accepted += 1;
            } else {
                self.stack.sockets.remove(handle);
            }
            self.listeners[index] = self.stack.listen(self.target.vip.port());
        }
    }

    fn advance_all(&mut self) {
        let handles: Vec<SocketHandle> = self.connections.keys().copied().collect();
        for handle in handles {
            let Some(phase) = self.connections.remove(&handle) else {
                continue;
            };
            if let Some(phase) = self.advance(handle, phase) {
                self.connections.insert(handle, phase);
            } else if self.stack.socket_mut(handle).is_open() {
                self.connections
                    .insert(handle, Phase::Writing(VecDeque::new()));
            } else {
                self.stack.sockets.remove(handle);
            }
        }
    }

    fn busy(&self) -> usize {
        self.connections
            .values()
            .filter(|phase| matches!(phase, Phase::Running(..)))
            .count()
    }

    /// Advances a connection as far as possible; none if it is no longer active.
    fn advance(&mut self, handle: SocketHandle, phase: Phase) -> Option<Phase> {
        let now = Instant::now();
        if !self.stack.socket_mut(handle).is_active() {
            return None;
        }
        match phase {
            Phase::Reading(bytes) => self.read(handle, bytes),
            Phase::Queued(request) if self.busy() < self.target.slots => {
                let cold = self.report.fault == Fault::Cold;
                let work_time = if cold { COLD_WORK_TIME } else { WORK_TIME };
                Some(Phase::Running(request, now + work_time))
            }
            Phase::Running(request, done) if done <= now => Some(self.finish(request, now)),
            Phase::Writing(bytes) => self.write(handle, bytes),
            Phase::Feeding {
                request,
                next,
                sequence,
                until,
            } => Some(self.feed(handle, request, next, sequence, until)),
            phase => Some(phase),
        }
    }

    fn read(&mut self, handle: SocketHandle, mut bytes: Vec<u8>) -> Option<Phase> {
        let socket = self.stack.socket_mut(handle);
        while socket.can_recv() {
            let received = socket
                .recv(|data| (data.len(), data.to_vec()))
                .unwrap_or_default();
            bytes.extend_from_slice(&received);
        }
        let has_ended = !socket.may_recv();
        if !bytes.contains(&b'\n') {
            if has_ended {
                socket.close();
                return None;
            }
            return Some(Phase::Reading(bytes));
        }
        let line = String::from_utf8_lossy(&bytes);
        let mut words = line.split_whitespace();
        let request = Request {
            kind: words.next().unwrap_or("").to_owned(),
            id: words.next().and_then(|word| word.parse().ok()).unwrap_or(0),
            amount: words.next().and_then(|word| word.parse().ok()).unwrap_or(0),
        };
        Some(Phase::Queued(request))
    }

    /// Executes a request whose time in its slot is over.
    fn finish(&mut self, request: Request, now: Instant) -> Phase {
        *self.report.ran.entry(request.id).or_default() += 1;
        if request.kind == "FEED" {
            let until = now + Duration::from_millis(request.amount);
            return Phase::Feeding {
                request,
                next: now,
                sequence: 0,
                until,
            };
        }
        let length = if request.kind == "GET" {
            request.amount
        } else {
            0
        };
        let mut response: VecDeque<u8> = self.header_line(request.id, length).into_bytes().into();
        response.extend((0..length).map(|offset| body_byte(request.id, offset)));
        Phase::Writing(response)
    }

    fn header_line(&self, id: u64, length: u64) -> String {
        format!(
            "{} {} {id} {length}\n",
            self.target.service, self.target.name
        )
    }

    fn write(&mut self, handle: SocketHandle, mut bytes: VecDeque<u8>) -> Option<Phase> {
        let socket = self.stack.socket_mut(handle);
        while !bytes.is_empty() && socket.can_send() {
            let sent = socket.send_slice(bytes.make_contiguous()).unwrap_or(0);
            bytes.drain(..sent);
        }
        if bytes.is_empty() {
            socket.close();
        }
        Some(Phase::Writing(bytes))
    }

    fn feed(
        &mut self,
        handle: SocketHandle,
        request: Request,
        next: Instant,
        sequence: u64,
        until: Instant,
    ) -> Phase {
        let now = Instant::now();
        if now < next {
            return Phase::Feeding {
                request,
                next,
                sequence,
                until,
            };
        }
        let line = self.header_line(request.id, sequence);
        let last = now >= until;
        let socket = self.stack.socket_mut(handle);
        if socket.send_queue() + line.len() > socket.send_capacity() {
            return Phase::Feeding {
                request,
                next,
                sequence,
                until,
            };
        }
        let _ = socket.send_slice(line.as_bytes());
        if last {
            return Phase::Writing(VecDeque::from(b"end\n".to_vec()));
        }
        Phase::Feeding {
            request,
            next: next + FEED_INTERVAL,
            sequence: sequence + 1,
            until,
        }
    }

    fn update_report(&mut self, reports: &Reports) {
        self.report.busy = self.busy();
        self.report.open = self.connections.len();
        let mut reports = lock(reports);
        if let Some(report) = reports.get_mut(&self.target.name) {
            self.report.fault = report.fault;
            if report.accepted != self.report.accepted || report.ran.len() != self.report.ran.len()
            {
                report.ran.clone_from(&self.report.ran);
            }
            if report.resets.len() != self.report.resets.len() {
                report.resets.clone_from(&self.report.resets);
            }
            report.accepted = self.report.accepted;
            report.busy = self.report.busy;
            report.open = self.report.open;
        }
    }
}

/// Byte at an offset of a response's body; the sequence depends on the request.
pub fn body_byte(id: u64, offset: u64) -> u8 {
    (id.wrapping_mul(31).wrapping_add(offset.wrapping_mul(7)) % 251) as u8
}
