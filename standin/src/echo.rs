//! Simulated targets and callers for forwarding by cookie, where packets carry a cookie back.
//!
//! They implement just enough of a flow to show which target a packet reaches: a target responds to
//! a first packet and to every request of an open flow, and its responses contain its identity.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket};
use std::time::Duration;

/// Timeout of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
const HEADER_BYTES: usize = 36;
/// Size of the receive buffer.
pub const MAX_BYTES: usize = 2_048;
/// Flag of a first packet.
pub const SYN: u8 = 128;
/// Flag of an acknowledgement.
pub const ACK: u8 = 32;
/// Flag of the last packet of a flow.
pub const FIN: u8 = 8;
/// Flag of a reset.
pub const RST: u8 = 4;

/// A packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Packet {
    /// Acknowledgement number; in a first packet the number of retransmissions.
    pub ack: u32,
    /// Receiver.
    pub destination: SocketAddrV4,
    /// Cookie.
    pub cookie: u32,
    /// Flags.
    pub flags: u8,
    /// Data.
    pub data: Vec<u8>,
    /// Sequence number.
    pub seq: u32,
    /// Sender.
    pub source: SocketAddrV4,
}

impl Packet {
    /// Encodes the packet.
    pub fn write(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.data.len());
        bytes.extend_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes.extend_from_slice(&self.seq.to_be_bytes());
        bytes.extend_from_slice(&self.ack.to_be_bytes());
        bytes.extend_from_slice(&[0xa1, 0xb2, 0xc3, 0xd5]);
        bytes.extend_from_slice(&self.source.port().to_be_bytes());
        bytes.extend_from_slice(&self.source.ip().octets());
        bytes.extend_from_slice(&self.destination.ip().octets());
        bytes.extend_from_slice(&self.destination.port().to_be_bytes());
        bytes.extend_from_slice(&self.cookie.to_be_bytes());
        bytes.push(self.flags);
        bytes.extend_from_slice(&[0; 5]);
        bytes.extend_from_slice(&self.data);
        bytes
    }

    /// Decodes a packet; none if there are too few bytes.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let header: &[u8; HEADER_BYTES] = bytes.first_chunk()?;
        let u16_at = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
        let u32_at = |at: usize| (u32::from(u16_at(at)) << 16) | u32::from(u16_at(at + 2));
        let address =
            |ip: usize, port: usize| SocketAddrV4::new(Ipv4Addr::from(u32_at(ip)), u16_at(port));
        Some(Self {
            ack: u32_at(6),
            data: bytes[HEADER_BYTES..].to_vec(),
            destination: address(20, 24),
            cookie: u32_at(26),
            flags: header[30],
            seq: u32_at(2),
            source: address(16, 14),
        })
    }
}

/// Starts a target on a separate thread. It ignores packets for another identity.
pub fn start_target(address: SocketAddrV4, id: u64, caller_port: u16) -> std::io::Result<()> {
    let socket = UdpSocket::bind(address)?;
    std::thread::spawn(move || {
        let mut buffer = [0; MAX_BYTES];
        let mut open_flows = std::collections::HashSet::new();
        while let Ok((length, _)) = socket.recv_from(&mut buffer) {
            let Some((target_id, packet)) = buffer[..length].split_first_chunk() else {
                continue;
            };
            if u64::from_be_bytes(*target_id) != id {
                continue;
            }
            let Some(packet) = Packet::read(packet) else {
                continue;
            };
            let response = respond(&packet, id, &mut open_flows);
            let to = SocketAddrV4::new(*packet.source.ip(), caller_port);
            // The caller may have left, and then the response is lost.
            let _ = socket.send_to(&response.write(), to);
        }
    });
    Ok(())
}

fn respond(
    packet: &Packet,
    id: u64,
    open_flows: &mut std::collections::HashSet<SocketAddrV4>,
) -> Packet {
    let (flags, data) = if packet.flags & SYN != 0 {
        open_flows.insert(packet.source);
        (SYN | ACK, Vec::new())
    } else if open_flows.contains(&packet.source) {
        (ACK, id.to_be_bytes().to_vec())
    } else {
        (RST, Vec::new())
    };
    Packet {
        ack: packet.seq.wrapping_add(packet.data.len() as u32),
        data,
        destination: packet.source,
        cookie: packet.cookie,
        flags,
        seq: packet.ack,
        source: packet.destination,
    }
}

/// A caller with one flow at a time.
pub struct Caller {
    cookie: u32,
    route: SocketAddrV4,
    seq: u32,
    socket: UdpSocket,
    source: SocketAddrV4,
}

/// Result of a caller's packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// A response of the target with this identity.
    Answered(u64),
    /// The flow was opened.
    Opened,
    /// The flow was reset.
    Reset,
    /// No response within the timeout.
    Timeout,
}

impl Caller {
    /// A caller of a route, which receives responses at the given address and port.
    pub fn new(ip: Ipv4Addr, response_port: u16, route: SocketAddrV4) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((ip, response_port))?;
        socket.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
        Ok(Self {
            cookie: 0,
            route,
            seq: 0,
            socket,
            source: SocketAddrV4::new(ip, 40_000),
        })
    }

    /// Opens a new flow through an instance.
    pub fn open(&mut self, instance: SocketAddr) -> Outcome {
        self.source.set_port(self.source.port() + 1);
        self.cookie = 0;
        self.seq = 1;
        self.exchange(instance, SYN, Vec::new())
    }

    /// Sends a request on the flow through an instance.
    pub fn request(&mut self, instance: SocketAddr) -> Outcome {
        let outcome = self.exchange(instance, ACK, vec![7; 100]);
        self.seq += 100;
        outcome
    }

    /// Sets the cookie of the next packet.
    pub fn set_cookie(&mut self, cookie: u32) {
        self.cookie = cookie;
    }

    fn exchange(&mut self, instance: SocketAddr, flags: u8, data: Vec<u8>) -> Outcome {
        let packet = Packet {
            ack: 0,
            data,
            destination: self.route,
            cookie: self.cookie,
            flags,
            seq: self.seq,
            source: self.source,
        };
        if self.socket.send_to(&packet.write(), instance).is_err() {
            return Outcome::Timeout;
        }
        let mut buffer = [0; MAX_BYTES];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            let Some(response) = Packet::read(&buffer[..length]) else {
                continue;
            };
            // Skips late responses to earlier flows.
            if response.destination != self.source {
                continue;
            }
            if response.flags & RST != 0 {
                return Outcome::Reset;
            }
            self.cookie = response.cookie;
            return match response.data.first_chunk() {
                Some(id) => Outcome::Answered(u64::from_be_bytes(*id)),
                None => Outcome::Opened,
            };
        }
        Outcome::Timeout
    }
}
