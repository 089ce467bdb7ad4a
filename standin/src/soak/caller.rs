//! Callers of a soak test. They send several requests on each flow and retransmit what gets no
//! response, through whichever instance the routers choose at that time.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use quetzal_lib::coordination::hash;
use quetzal_lib::state::random;

use crate::echo;
use crate::soak::network;

/// Timeouts of the attempts to open a flow; after the last one the caller gives up.
const OPEN_TIMEOUTS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];
/// Timeouts of the attempts to send a request; after the last one the caller gives up.
const REQUEST_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_600),
];
/// Bytes of a request.
const REQUEST_BYTES: usize = 100;
/// Largest number of requests on a flow.
const MAX_REQUESTS: usize = 24;
/// Longest pause between two requests or two flows.
const MAX_PAUSE: Duration = Duration::from_millis(300);

/// Instances in rotation: number and traffic address of each.
pub type Rotation = Arc<ArcSwap<Vec<(usize, SocketAddr)>>>;

/// A caller with one flow at a time, which runs on a separate thread.
pub struct Caller {
    /// Address.
    pub ip: Ipv4Addr,
    /// Network state.
    pub network: network::Network,
    /// Port of the current flow.
    pub port: u16,
    /// Generator of routes, pauses and packet loss.
    pub random: random::Source,
    /// Instances in rotation.
    pub rotation: Rotation,
    /// Socket.
    pub socket: UdpSocket,
}

/// A flow as its caller keeps it.
struct Flow {
    ack: u32,
    cookie: u32,
    route: SocketAddrV4,
    seq: u32,
}

impl Caller {
    /// Opens flows and sends requests until the run is over.
    pub fn run(mut self) -> std::io::Result<()> {
        while !self.network.state().is_over {
            self.port = self.port.wrapping_add(1).max(1_024);
            if let Some(flow) = self.open()? {
                self.send_requests(flow)?;
            }
            let source = self.source();
            self.network.state().on_end(source);
            self.pause();
        }
        Ok(())
    }

    fn source(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.port)
    }

    fn pause(&mut self) {
        std::thread::sleep(MAX_PAUSE.mul_f64(self.random.unit()));
    }

    fn open(&mut self) -> std::io::Result<Option<Flow>> {
        let routes: Vec<SocketAddrV4> = {
            let state = self.network.state();
            state.routes.iter().map(|route| route.address).collect()
        };
        let mut flow = Flow {
            ack: 0,
            cookie: 0,
            route: routes[self.random.below(routes.len())],
            seq: 1,
        };
        for (retransmissions, timeout) in OPEN_TIMEOUTS.into_iter().enumerate() {
            flow.ack = retransmissions as u32;
            let instance = self.send(&flow, echo::SYN, Vec::new());
            if let Some(response) = self.receive(instance, timeout, |_| true)? {
                if response.flags & echo::RST != 0 {
                    return Ok(None);
                }
                flow.ack = response.seq.wrapping_add(1);
                flow.cookie = response.cookie;
                flow.seq = response.ack;
                return Ok(Some(flow));
            }
        }
        Ok(None)
    }

    fn send_requests(&mut self, mut flow: Flow) -> std::io::Result<()> {
        self.send(&flow, echo::ACK, Vec::new());
        for _ in 0..1 + self.random.below(MAX_REQUESTS) {
            if self.network.state().is_over || !self.request(&mut flow)? {
                break;
            }
            self.pause();
        }
        self.send(&flow, echo::FIN | echo::ACK, Vec::new());
        Ok(())
    }

    /// Sends a request and waits for its response; returns whether the flow can continue.
    fn request(&mut self, flow: &mut Flow) -> std::io::Result<bool> {
        let request_id = self.network.state().next_request();
        let mut data = request_id.to_be_bytes().to_vec();
        data.resize(REQUEST_BYTES, 0);
        let expected_seq = flow.ack;
        for timeout in REQUEST_TIMEOUTS {
            let instance = self.send(flow, echo::ACK, data.clone());
            let is_expected = |packet: &echo::Packet| {
                packet.flags & echo::RST != 0
                    || (packet.seq == expected_seq && !packet.data.is_empty())
            };
            let Some(response) = self.receive(instance, timeout, is_expected)? else {
                continue;
            };
            if response.flags & echo::RST != 0 {
                return Ok(false);
            }
            flow.ack = response.seq.wrapping_add(response.data.len() as u32);
            flow.cookie = response.cookie;
            flow.seq = response.ack;
            if let Some(id) = response.data.first_chunk() {
                let source = self.source();
                let id = u64::from_be_bytes(*id);
                self.network.state().on_response(source, id);
            }
            self.send(flow, echo::ACK, Vec::new());
            return Ok(true);
        }
        Ok(false)
    }

    /// Sends a packet through the instance that the routers choose now; returns the instance's
    /// number.
    fn send(&mut self, flow: &Flow, flags: u8, data: Vec<u8>) -> usize {
        let packet = echo::Packet {
            ack: flow.ack,
            data,
            destination: flow.route,
            cookie: flow.cookie,
            flags,
            seq: flow.seq,
            source: self.source(),
        };
        let rotation = self.rotation.load();
        let flow_hash = hash::score(u64::from(u32::from(self.ip)), u64::from(self.port));
        let Some((instance, address)) = rotation.get(flow_hash as usize % rotation.len().max(1))
        else {
            return 0;
        };
        if self.random.unit() >= self.network.state().loss_rate {
            // A failed send counts as packet loss.
            let _ = self.socket.send_to(&packet.write(), address);
        }
        *instance
    }

    /// Waits for an expected packet of the current flow; a reset among them is checked against the
    /// promises.
    fn receive(
        &self,
        instance: usize,
        timeout: Duration,
        is_expected: impl Fn(&echo::Packet) -> bool,
    ) -> std::io::Result<Option<echo::Packet>> {
        let end = Instant::now() + timeout;
        let mut buffer = [0; echo::MAX_BYTES];
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Ok(None);
            }
            self.socket.set_read_timeout(Some(remaining))?;
            let Ok((length, SocketAddr::V4(from))) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            let Some(packet) = echo::Packet::read(&buffer[..length]) else {
                continue;
            };
            // Skips late responses to earlier flows and packets that are not expected.
            if packet.destination != self.source() || !is_expected(&packet) {
                continue;
            }
            if packet.flags & echo::RST != 0 {
                self.network.state().on_reset(self.source(), from, instance);
            }
            return Ok(Some(packet));
        }
    }
}
