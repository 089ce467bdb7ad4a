//! Simulated fabric and network between zones.
//!
//! Callers send encapsulated packets to the ingress, which passes each packet or each flow to any
//! instance. Instances and targets reach each other through faces: a face is an address of the
//! fabric that forwards to the real address of one instance or target. The sender's address tells
//! its zone. Zones can be partitioned, instances can be taken out of the ingress, and every packet
//! can be delayed.
//!
//! The control page sets faults with `/?cut=ZONE` and `/?lose=INSTANCE` and ends them with
//! `/?heal=ZONE` and `/?restore=INSTANCE`.

use std::collections::{HashSet, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token};
use quetzal_lib::coordination::hash;
use quetzal_lib::protocol::{fault, ip};
use quetzal_lib::state::{code, random};
use quetzal_lib::transport::http_server;
use serde::{Deserialize, Serialize};

/// Longest wait for a packet.
const IDLE_WAIT: Duration = Duration::from_millis(20);

/// Timeout of connecting to the real address of a face.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A face: packets to `face` are forwarded to `real`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Face {
    /// Address of the fabric.
    pub face: SocketAddr,
    /// Address of the instance or target behind it.
    pub real: SocketAddr,
    /// Whether it accepts TCP connections besides datagrams.
    pub tcp: bool,
    /// Number of the zone of the instance or target.
    pub zone: usize,
}

/// An instance to which the ingress sends packets.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Instance {
    /// Traffic address.
    pub address: SocketAddr,
    /// Number of its zone.
    pub zone: usize,
}

/// Configuration of the fabric.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Config {
    /// Control page of the fabric.
    pub admin: SocketAddr,
    /// One-way delay between instances and targets, in microseconds.
    pub delay_micros: u64,
    /// Faces of instances and targets.
    pub faces: Vec<Face>,
    /// Address to which callers send.
    pub ingress: SocketAddr,
    /// Instances, in the order of their numbers.
    pub instances: Vec<Instance>,
    /// Whether all packets of a flow go to one instance while the reachable instances are the same;
    /// otherwise each packet goes to a random one.
    pub per_flow: bool,
    /// Seed of the choice of instances.
    pub seed: u64,
    /// Number of zones.
    pub zones: usize,
}

/// Faults in force.
#[derive(Default)]
struct Faults {
    cut_zones: HashSet<usize>,
    lost_instances: HashSet<usize>,
}

impl Faults {
    fn connects(&self, first: usize, second: usize) -> bool {
        first == second || (!self.cut_zones.contains(&first) && !self.cut_zones.contains(&second))
    }
}

/// A delayed packet.
struct Delayed {
    bytes: Vec<u8>,
    due: Instant,
    to: SocketAddr,
}

struct Fabric {
    delayed: VecDeque<Delayed>,
    faults: Arc<Mutex<Faults>>,
    config: Config,
    random: random::Source,
    sockets: Vec<UdpSocket>,
}

/// Forwards packets until the process ends. Errors are `SocketUnavailable`.
pub fn run(config: Config) -> fault::Result<()> {
    let faults = Arc::new(Mutex::new(Faults::default()));
    serve_faults(config.admin, Arc::clone(&faults))?;
    let socket_fault =
        |error: io::Error| fault::report(code::Code::SocketUnavailable, error.to_string());
    let mut poll = Poll::new().map_err(socket_fault)?;
    let mut sockets = Vec::new();
    let addresses =
        std::iter::once(config.ingress).chain(config.faces.iter().map(|face| face.face));
    for (index, address) in addresses.enumerate() {
        let socket = quetzal_lib::transport::batch::bind(address, IDLE_WAIT)
            .map_err(|error| socket_fault(io::Error::other(format!("{address}: {error}"))))?;
        socket.set_nonblocking(true).map_err(socket_fault)?;
        let mut socket = UdpSocket::from_std(socket);
        poll.registry()
            .register(&mut socket, Token(index), Interest::READABLE)
            .map_err(socket_fault)?;
        sockets.push(socket);
    }
    for face in config.faces.iter().filter(|face| face.tcp) {
        accept_connections(face, &config, &faults).map_err(socket_fault)?;
    }
    let mut fabric = Fabric {
        delayed: VecDeque::new(),
        faults,
        random: random::Source::new(config.seed),
        config,
        sockets,
    };
    let mut events = Events::with_capacity(256);
    loop {
        let wait = fabric.poll_timeout();
        match poll.poll(&mut events, Some(wait)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => {
                return Err(socket_fault(error));
            }
            _ => {}
        }
        for event in &events {
            fabric.receive_all(event.token().0);
        }
        fabric.send_due();
    }
}

fn serve_faults(address: SocketAddr, faults: Arc<Mutex<Faults>>) -> fault::Result<()> {
    http_server::serve(
        &[address],
        Arc::new(move |request| {
            let mut faults = faults.lock().unwrap_or_else(PoisonError::into_inner);
            let number = |name| {
                request
                    .query_value(name)
                    .and_then(|text| text.parse::<usize>().ok())
            };
            if let Some(zone) = number("cut") {
                faults.cut_zones.insert(zone);
            }
            if let Some(zone) = number("heal") {
                faults.cut_zones.remove(&zone);
            }
            if let Some(instance) = number("lose") {
                faults.lost_instances.insert(instance);
            }
            if let Some(instance) = number("restore") {
                faults.lost_instances.remove(&instance);
            }
            http_server::text(200, "set\n")
        }),
    )
}

impl Fabric {
    fn poll_timeout(&self) -> Duration {
        self.delayed.front().map_or(IDLE_WAIT, |packet| {
            packet
                .due
                .saturating_duration_since(Instant::now())
                .min(IDLE_WAIT)
        })
    }

    fn receive_all(&mut self, index: usize) {
        let mut buffer = [0; 2_048];
        while let Ok((length, from)) = self.sockets[index].recv_from(&mut buffer) {
            let bytes = &buffer[..length];
            let to = if index == 0 {
                self.pick_instance(bytes)
            } else {
                self.real_address(index - 1, from)
            };
            if let Some(to) = to {
                self.delay(bytes.to_vec(), to);
            }
        }
    }

    /// Chooses an instance for a caller's packet among those that the caller's zone reaches.
    fn pick_instance(&mut self, bytes: &[u8]) -> Option<SocketAddr> {
        let header = ip::parse(bytes).ok()?;
        let zone = caller_zone(header.tuple.source, self.config.zones);
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let reachable: Vec<SocketAddr> = self
            .config
            .instances
            .iter()
            .enumerate()
            .filter(|(index, instance)| {
                !faults.lost_instances.contains(index) && faults.connects(zone, instance.zone)
            })
            .map(|(_, instance)| instance.address)
            .collect();
        drop(faults);
        let choice = if self.config.per_flow {
            let flow = hash::flow_key(hash::Secret::default(), &header.tuple);
            flow.high as usize % reachable.len().max(1)
        } else {
            self.random.below(reachable.len())
        };
        reachable.get(choice).copied()
    }

    /// Returns the real address behind a face; none if the zones are partitioned.
    fn real_address(&self, face: usize, from: SocketAddr) -> Option<SocketAddr> {
        let face = &self.config.faces[face];
        let sender_zone = zone_of(&self.config.instances, from.ip())?;
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.connects(sender_zone, face.zone).then_some(face.real)
    }

    fn delay(&mut self, bytes: Vec<u8>, to: SocketAddr) {
        // All packets have the same delay, so the queue is in the order of due times.
        let due = Instant::now() + Duration::from_micros(self.config.delay_micros);
        self.delayed.push_back(Delayed { bytes, due, to });
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        while self.delayed.front().is_some_and(|packet| packet.due <= now) {
            if let Some(packet) = self.delayed.pop_front() {
                // A packet that cannot be sent is lost, as on any network.
                let _ = self.sockets[0].send_to(&packet.bytes, packet.to);
            }
        }
    }
}

/// Accepts TCP connections to a face and forwards them to its real address, unless the zones are
/// partitioned.
fn accept_connections(face: &Face, config: &Config, faults: &Arc<Mutex<Faults>>) -> io::Result<()> {
    let listener = TcpListener::bind(face.face)?;
    let (face, instances, faults) = (face.clone(), config.instances.clone(), Arc::clone(faults));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender_zone = stream
                .peer_addr()
                .ok()
                .and_then(|from| zone_of(&instances, from.ip()));
            let reachable = {
                let faults = faults.lock().unwrap_or_else(PoisonError::into_inner);
                sender_zone.is_some_and(|zone| faults.connects(zone, face.zone))
            };
            if reachable {
                // On failure, the instance that needs the connection opens a new one.
                let _ = proxy_connection(&stream, face.real);
            }
        }
    });
    Ok(())
}

fn proxy_connection(stream: &TcpStream, real: SocketAddr) -> io::Result<()> {
    let target = TcpStream::connect_timeout(&real, CONNECT_TIMEOUT)?;
    for (mut from, mut to) in [
        (stream.try_clone()?, target.try_clone()?),
        (target.try_clone()?, stream.try_clone()?),
    ] {
        std::thread::spawn(move || {
            let _ = io::copy(&mut from, &mut to);
            let _ = to.shutdown(std::net::Shutdown::Write);
        });
    }
    Ok(())
}

fn zone_of(instances: &[Instance], address: IpAddr) -> Option<usize> {
    instances
        .iter()
        .find(|instance| instance.address.ip() == address)
        .map(|found| found.zone)
}

/// Returns the zone in which a caller's packets enter the fabric.
pub fn caller_zone(source: IpAddr, zones: usize) -> usize {
    match source {
        IpAddr::V4(address) => usize::from(address.octets()[3]) % zones.max(1),
        IpAddr::V6(address) => usize::from(address.octets()[15]) % zones.max(1),
    }
}
