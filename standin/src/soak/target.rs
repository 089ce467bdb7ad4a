//! Targets of a soak: flows, requests that run once, and the network's faults on the way to them.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::{Duration, Instant};

use quetzal_lib::state::random;

use crate::echo;
use crate::soak::network;

/// Longest wait for a packet.
const IDLE_WAIT: Duration = Duration::from_millis(50);
/// Longest time that most requests take.
const MAX_SHORT_WORK: Duration = Duration::from_millis(60);
/// Longest time that some requests take, in which their callers send again: a full queue before the
/// longest request of the users' sheets.
const MAX_LONG_WORK: Duration = Duration::from_millis(650);
/// Share of the requests that take long.
const LONG_WORK_SHARE: f64 = 0.08;
/// Shortest wait for a packet.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Bytes of a number in a request or an answer.
const REQUEST_ID_BYTES: usize = 8;

/// A flow at its target.
struct Flow {
    /// The last answer, and when it is ready.
    response: Option<(Instant, echo::Packet)>,
    expected_seq: u32,
    next_seq: u32,
    is_open: bool,
}

/// One target, on a thread of its own.
pub struct Target {
    /// Port of callers to which answers go.
    pub caller_port: u16,
    /// Number of the target.
    pub index: usize,
    /// Addresses of instances, in their order.
    pub instances: Vec<Ipv4Addr>,
    /// The network.
    pub network: network::Network,
    /// Generator for sequence numbers and losses.
    pub random: random::Source,
    /// Its socket.
    pub socket: UdpSocket,
    /// Zones of instances, in their order.
    pub zones: Vec<usize>,
}

impl Target {
    /// Serves until the run is over.
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

    /// Sends the answers that are ready; a target that is silent loses them.
    fn send_due(&self, pending: &mut Vec<(Instant, echo::Packet)>) {
        let now = Instant::now();
        let up = self.network.state().targets[self.index].up;
        pending.retain(|(ready, response)| {
            let is_due = *ready <= now;
            if is_due && up {
                let to = SocketAddrV4::new(*response.destination.ip(), self.caller_port);
                // A caller that has gone takes no answer.
                let _ = self.socket.send_to(&response.write(), to);
            }
            !is_due
        });
    }

    /// How long a request takes.
    fn work_time(&mut self) -> Duration {
        let longest = if self.random.unit() < LONG_WORK_SHARE {
            MAX_LONG_WORK
        } else {
            MAX_SHORT_WORK
        };
        longest.mul_f64(self.random.unit())
    }

    /// The instance that sent a packet, if the packet gets through and is meant for this target.
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
            // The request came again: it is still worked on, or its answer was lost.
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
