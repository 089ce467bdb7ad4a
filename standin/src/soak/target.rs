//! Targets of a soak test. They keep flows, report each executed request, and apply network faults
//! to the packets that they receive.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use quetzal_lib::state::random;

use crate::echo;
use crate::soak::network;

/// Longest wait for a packet while no response is due.
const IDLE_WAIT: Duration = Duration::from_millis(50);
/// Longest execution time of most requests.
const MAX_SHORT_WORK: Duration = Duration::from_millis(60);
/// Longest execution time of slow requests, during which callers retransmit. It models a full queue
/// in front of the longest request of the users' sheets.
const MAX_LONG_WORK: Duration = Duration::from_millis(650);
/// Share of slow requests.
const LONG_WORK_SHARE: f64 = 0.08;
/// Shortest wait for a packet; a read timeout of zero is not allowed.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Length of a request number in a request or a response.
const REQUEST_ID_BYTES: usize = 8;

/// A flow as its target keeps it.
struct Flow {
    /// Last response and when it is due.
    response: Option<(Instant, echo::Packet)>,
    expected_seq: u32,
    next_seq: u32,
    is_open: bool,
}

/// A target, which runs on a separate thread.
pub struct Target {
    /// Port of callers to which responses go.
    pub caller_port: u16,
    /// Number of the target.
    pub index: usize,
    /// Address of each instance.
    pub instances: Vec<Ipv4Addr>,
    /// Network state.
    pub network: network::Network,
    /// Generator of sequence numbers, execution times and packet loss.
    pub random: random::Source,
    /// Socket.
    pub socket: UdpSocket,
    /// Zone of each instance.
    pub zones: Vec<usize>,
}

impl Target {
    /// Serves requests until the run is over.
    pub fn run(mut self) -> std::io::Result<()> {
        self.socket.set_read_timeout(Some(IDLE_WAIT))?;
        let mut flows: HashMap<SocketAddrV4, Flow> = HashMap::new();
        let mut incarnation = 0;
        let mut pending: Vec<(Instant, echo::Packet)> = Vec::new();
        let mut buffer = [0; echo::MAX_BYTES];
        while !self.network.state().is_over {
            let received = self.socket.recv_from(&mut buffer);
            let current_incarnation = self.network.state().targets[self.index].incarnation;
            if incarnation != current_incarnation {
                incarnation = current_incarnation;
                flows.clear();
                pending.clear();
            }
            self.send_due(&mut pending);
            let next = pending.iter().map(|(ready, _)| *ready).min();
            let wait = next.map_or(IDLE_WAIT, |ready| {
                ready.saturating_duration_since(Instant::now())
            });
            self.socket
                .set_read_timeout(Some(wait.clamp(MIN_WAIT, IDLE_WAIT)))?;
            let Ok((length, from)) = received else {
                continue;
            };
            let Some((target_id, bytes)) = buffer[..length].split_first_chunk() else {
                continue;
            };
            let Some(packet) = echo::Packet::read(bytes) else {
                continue;
            };
            if let Some(instance) = self.accept(u64::from_be_bytes(*target_id), from)
                && let Some((ready, response)) = self.handle(&mut flows, &packet, instance)
            {
                pending.push((ready, response));
                self.send_due(&mut pending);
            }
        }
        Ok(())
    }

    /// Sends the responses that are due; a silent target drops them.
    fn send_due(&self, pending: &mut Vec<(Instant, echo::Packet)>) {
        let now = Instant::now();
        let up = self.network.state().targets[self.index].up;
        pending.retain(|(ready, response)| {
            let is_due = *ready <= now;
            if is_due && up {
                let to = SocketAddrV4::new(*response.destination.ip(), self.caller_port);
                // The caller may have left, and then the response is lost.
                let _ = self.socket.send_to(&response.write(), to);
            }
            !is_due
        });
    }

    /// Draws the execution time of a request.
    fn work_time(&mut self) -> Duration {
        let longest = if self.random.unit() < LONG_WORK_SHARE {
            MAX_LONG_WORK
        } else {
            MAX_SHORT_WORK
        };
        longest.mul_f64(self.random.unit())
    }

    /// Returns the instance that sent a packet, if the packet is addressed to this target and is
    /// not lost.
    fn accept(&mut self, target_id: u64, from: SocketAddr) -> Option<usize> {
        let instance = self
            .instances
            .iter()
            .position(|address| SocketAddr::from((*address, from.port())) == from)?;
        let state = self.network.state();
        let target = &state.targets[self.index];
        let zone = self.zones[instance];
        let is_cut =
            zone != target.zone && [Some(zone), Some(target.zone)].contains(&state.cut_zone);
        let is_lost = self.random.unit() < state.loss_rate;
        (target.up && target_id == target.id && !is_cut && !is_lost).then_some(instance)
    }

    fn handle(
        &mut self,
        flows: &mut HashMap<SocketAddrV4, Flow>,
        packet: &echo::Packet,
        instance: usize,
    ) -> Option<(Instant, echo::Packet)> {
        let now = Instant::now();
        let reply = |flags, seq, ack, data| echo::Packet {
            ack,
            data,
            destination: packet.source,
            cookie: packet.cookie,
            flags,
            seq,
            source: packet.destination,
        };
        let work_time = self.work_time();
        if packet.flags & echo::SYN != 0 {
            let mut state = self.network.state();
            state.on_first_packet(self.index, packet.destination, instance);
            let flow = flows.entry(packet.source).or_insert_with(|| Flow {
                response: None,
                expected_seq: packet.seq.wrapping_add(1),
                is_open: false,
                next_seq: (self.random.unit() * f64::from(u32::MAX)) as u32,
            });
            let flags = echo::SYN | echo::ACK;
            return Some((
                now,
                reply(flags, flow.next_seq, flow.expected_seq, Vec::new()),
            ));
        }
        let Some(flow) = flows.get_mut(&packet.source) else {
            let is_reset = packet.flags & echo::RST != 0;
            return (!is_reset).then(|| (now, reply(echo::RST, packet.ack, 0, Vec::new())));
        };
        if packet.flags & (echo::FIN | echo::RST) != 0 {
            flows.remove(&packet.source);
            return None;
        }
        if !flow.is_open {
            if packet.ack != flow.next_seq.wrapping_add(1) {
                return None;
            }
            flow.is_open = true;
            flow.next_seq = packet.ack;
            self.network.state().on_open(packet.source, self.index);
        }
        let request_id = packet.data.first_chunk::<REQUEST_ID_BYTES>()?;
        if packet.seq != flow.expected_seq {
            // A retransmitted request: it is still being executed, or its response was lost.
            return flow.response.clone().filter(|(ready, _)| *ready <= now);
        }
        flow.expected_seq = flow.expected_seq.wrapping_add(packet.data.len() as u32);
        let id = {
            let mut state = self.network.state();
            state.on_request(u64::from_be_bytes(*request_id), self.index);
            state.targets[self.index].id
        };
        let mut data = id.to_be_bytes().to_vec();
        data.extend_from_slice(request_id);
        let response = reply(echo::ACK, flow.next_seq, flow.expected_seq, data);
        flow.next_seq = flow.next_seq.wrapping_add(response.data.len() as u32);
        let response = (now + work_time, response);
        flow.response = Some(response.clone());
        Some(response)
    }
}
