//! Simulated callers: short requests, downloads, long feeds, and posts that must not be executed
//! twice. Each uses a separate TCP connection, and every response is checked.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use quetzal_lib::protocol::fault;
use quetzal_lib::state::{code, random};
use quetzal_lib::transport::http_server;
use serde::{Deserialize, Serialize};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;

use crate::{stack, target};

/// Longest wait for a packet.
const IDLE_WAIT: Duration = Duration::from_millis(2);
/// Lowest port of callers.
const FIRST_PORT: u16 = 20_000;

/// Load on one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Load {
    /// Size of a download, in bytes.
    pub download_bytes: u64,
    /// Mean duration of a feed, in milliseconds.
    pub feed_millis: u64,
    /// Name of the service.
    pub service: String,
    /// New flows per second.
    pub rate: f64,
    /// Weights of short requests, posts, downloads and feeds.
    pub weights: [u32; 4],
    /// Public address of the service.
    pub vip: SocketAddr,
}

/// Configuration of all callers of a process.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Config {
    /// Addresses of the callers.
    pub addresses: Vec<IpAddr>,
    /// Control page.
    pub admin: SocketAddr,
    /// Address of the fabric's ingress.
    pub fabric: SocketAddr,
    /// Address at which packets for callers arrive.
    pub listen: SocketAddr,
    /// Load on each service.
    pub loads: Vec<Load>,
    /// Seed of the load.
    pub seed: u64,
}

/// A broken flow.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Failure {
    /// Time from the flow's start to its end, in milliseconds.
    pub after_millis: u64,
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Cause.
    pub cause: String,
    /// Number of the flow's request.
    pub id: u64,
}

/// Statistics of the flows.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Report {
    /// Number of broken flows by cause.
    pub broken: BTreeMap<String, u64>,
    /// Broken flows.
    pub failures: Vec<Failure>,
    /// Number of flows that completed with a correct response.
    pub completed: u64,
    /// Numbers of posts with a correct response.
    pub confirmed: Vec<u64>,
    /// Number of open flows.
    pub open: u64,
    /// Numbers of posts whose connection was refused.
    pub refused_posts: Vec<u64>,
    /// Number of flows whose connection was refused.
    pub refused: u64,
    /// Number of flows started.
    pub started: u64,
    /// Number of responses from another service.
    pub wrong_service: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Short,
    Post,
    Download,
    Feed,
}

const KINDS: [Kind; 4] = [Kind::Short, Kind::Post, Kind::Download, Kind::Feed];

struct Flow {
    response: Vec<u8>,
    is_request_sent: bool,
    bytes: u64,
    caller: SocketAddr,
    is_established: bool,
    handle: SocketHandle,
    id: u64,
    kind: Kind,
    load: usize,
    started: Instant,
}

struct Callers {
    config: Config,
    flows: Vec<Flow>,
    next_id: u64,
    random: random::Source,
    report: Report,
    stack: stack::Stack,
    next_starts: Vec<Instant>,
    is_stopping: bool,
}

/// Runs the callers until the process ends. Every page returns the report; `/stop` also stops
/// starting new flows. Errors are `SocketUnavailable`.
pub fn run(config: Config) -> fault::Result<()> {
    let socket = UdpSocket::bind(config.listen).map_err(|error| {
        fault::report(
            code::Code::SocketUnavailable,
            format!("{}: {error}", config.listen),
        )
    })?;
    let shared = Arc::new(Mutex::new((Report::default(), false)));
    let pages = Arc::clone(&shared);
    http_server::serve(
        &[config.admin],
        Arc::new(move |request| {
            let mut shared = pages.lock().unwrap_or_else(PoisonError::into_inner);
            shared.1 |= request.path == "/stop";
            http_server::json(&shared.0)
        }),
    )?;
    let stack = stack::Stack::new(socket, config.fabric, &config.addresses, config.seed);
    let now = Instant::now();
    let mut callers = Callers {
        flows: Vec::new(),
        next_id: config.seed % 1_000 * 1_000_000 + 1,
        random: random::Source::new(config.seed),
        report: Report::default(),
        stack,
        next_starts: vec![now; config.loads.len()],
        is_stopping: false,
        config,
    };
    loop {
        let wait = callers.stack.poll_delay(IDLE_WAIT);
        callers.stack.run(wait, false);
        if !callers.is_stopping {
            callers.start_due_flows();
        }
        callers.advance_all();
        let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
        callers.is_stopping = shared.1;
        callers.report.open = callers.flows.len() as u64;
        shared.0.clone_from(&callers.report);
    }
}

impl Callers {
    fn start_due_flows(&mut self) {
        let now = Instant::now();
        for index in 0..self.config.loads.len() {
            while self.next_starts[index] <= now {
                let rate = self.config.loads[index].rate;
                let interval_seconds = -(1.0 - self.random.unit()).ln() / rate;
                self.next_starts[index] += Duration::from_secs_f64(interval_seconds);
                self.start(index);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let id = self.next_id;
        self.next_id += 1;
        let load = &self.config.loads[index];
        let kind = pick_kind(&mut self.random, load.weights);
        let address = self.config.addresses[self.random.below(self.config.addresses.len())];
        let ports = u16::MAX - FIRST_PORT;
        let port = FIRST_PORT + (id % u64::from(ports)) as u16;
        let caller = SocketAddr::new(address, port);
        let handle = self.stack.connect(caller, load.vip);
        let bytes = match kind {
            Kind::Short => 200,
            Kind::Post => 0,
            Kind::Download => load.download_bytes,
            // The exponential distribution makes a few feeds much longer than most.
            Kind::Feed => (-(1.0 - self.random.unit()).ln() * load.feed_millis as f64) as u64 + 500,
        };
        let flow = Flow {
            response: Vec::new(),
            is_request_sent: false,
            bytes,
            caller,
            is_established: false,
            handle,
            id,
            kind,
            load: index,
            started: Instant::now(),
        };
        self.flows.push(flow);
        self.report.started += 1;
    }

    fn advance_all(&mut self) {
        let mut index = 0;
        while index < self.flows.len() {
            if self.advance(index) {
                let flow = self.flows.swap_remove(index);
                self.stack.socket_mut(flow.handle).abort();
                self.stack.sockets.remove(flow.handle);
            } else {
                index += 1;
            }
        }
    }

    /// Advances a flow as far as possible; returns whether it is over.
    fn advance(&mut self, index: usize) -> bool {
        let flow = &mut self.flows[index];
        let socket = self
            .stack
            .sockets
            .get_mut::<tcp::Socket<'static>>(flow.handle);
        if socket.may_send() && !flow.is_request_sent {
            flow.is_established = true;
            flow.is_request_sent = true;
            let word = match flow.kind {
                Kind::Short | Kind::Download => "GET",
                Kind::Post => "POST",
                Kind::Feed => "FEED",
            };
            let line = format!("{word} {} {}\n", flow.id, flow.bytes);
            // The send buffer of a new connection has room for one line.
            let _ = socket.send_slice(line.as_bytes());
        }
        while socket.can_recv() {
            let received = socket
                .recv(|data| (data.len(), data.to_vec()))
                .unwrap_or_default();
            flow.response.extend_from_slice(&received);
        }
        let is_closed = socket.state() == tcp::State::Closed;
        if flow.is_request_sent && socket.state() == tcp::State::CloseWait {
            // The target closes its side after a complete response.
            socket.close();
            self.check_completed(index);
            return true;
        }
        if is_closed {
            self.count_failed(index);
        }
        is_closed
    }

    /// Checks the response of a flow that the target closed.
    fn check_completed(&mut self, index: usize) {
        let flow = &self.flows[index];
        let service = &self.config.loads[flow.load].service;
        match check_response(flow, service) {
            Ok(()) => {
                self.report.completed += 1;
                if flow.kind == Kind::Post {
                    self.report.confirmed.push(flow.id);
                }
            }
            Err(cause) => {
                self.report.wrong_service += u64::from(cause == "wrong service");
                self.record_broken(index, cause);
            }
        }
    }

    /// Counts a flow whose connection was refused, reset or timed out.
    fn count_failed(&mut self, index: usize) {
        let flow = &self.flows[index];
        if !flow.is_established {
            self.report.refused += 1;
            if flow.kind == Kind::Post {
                self.report.refused_posts.push(flow.id);
            }
            return;
        }
        let cause = match flow.kind {
            Kind::Short => "reset or timed out: short request",
            Kind::Post => "reset or timed out: post",
            Kind::Download => "reset or timed out: download",
            Kind::Feed => "reset or timed out: feed",
        };
        self.record_broken(index, cause);
    }

    fn record_broken(&mut self, index: usize, cause: &str) {
        let flow = &self.flows[index];
        *self.report.broken.entry(cause.to_owned()).or_default() += 1;
        self.report.failures.push(Failure {
            after_millis: flow.started.elapsed().as_millis() as u64,
            caller: flow.caller,
            cause: cause.to_owned(),
            id: flow.id,
        });
    }
}

fn pick_kind(random: &mut random::Source, weights: [u32; 4]) -> Kind {
    let total: u32 = weights.iter().sum();
    let mut remaining = random.below(total as usize) as u32;
    for (kind, weight) in KINDS.into_iter().zip(weights) {
        if remaining < weight {
            return kind;
        }
        remaining -= weight;
    }
    Kind::Short
}

/// Checks that a response is complete, correct and belongs to the flow's request.
fn check_response(flow: &Flow, service: &str) -> Result<(), &'static str> {
    let text = &flow.response;
    let Some(end) = text.iter().position(|byte| *byte == b'\n') else {
        return Err("no answer");
    };
    let head = String::from_utf8_lossy(&text[..end]);
    let words: Vec<&str> = head.split(' ').collect();
    if words.first() != Some(&service) {
        return Err("wrong service");
    }
    if words.get(2).and_then(|word| word.parse().ok()) != Some(flow.id) {
        return Err("answer of another request");
    }
    let is_complete = match flow.kind {
        Kind::Post => text.len() == end + 1,
        Kind::Feed => is_feed_complete(flow.id, text),
        Kind::Short | Kind::Download => {
            let body = &text[end + 1..];
            body.len() as u64 == flow.bytes
                && body
                    .iter()
                    .zip(0..)
                    .all(|(byte, at)| *byte == target::body_byte(flow.id, at))
        }
    };
    if is_complete {
        Ok(())
    } else {
        Err("answer not whole")
    }
}

/// Whether a feed contains all lines in order and its end line.
fn is_feed_complete(id: u64, text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    let lines: Vec<&str> = text.lines().collect();
    let Some((last, lines)) = lines.split_last() else {
        return false;
    };
    *last == "end"
        && lines
            .iter()
            .zip(0u64..)
            .all(|(line, sequence)| line.ends_with(&format!(" {id} {sequence}")))
}
