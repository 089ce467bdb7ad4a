//! Userspace TCP stack for callers and targets, whose IP packets are encapsulated in UDP datagrams.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use quetzal_lib::protocol::ip;
use quetzal_lib::state::packet;
use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp;
use smoltcp::time::Instant as StackInstant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

/// Largest IP packet.
const MTU: usize = 1_400;
/// Size of each send and receive buffer of a connection.
const BUFFER_BYTES: usize = 16 << 10;
/// Time after which a connection without progress is aborted.
const TCP_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest number of datagrams received before the stack runs.
const MAX_BURST: usize = 64;

/// Packet queues between the UDP socket and the stack.
#[derive(Default)]
pub struct Queues {
    received: VecDeque<Vec<u8>>,
    sent: VecDeque<Vec<u8>>,
}

/// A received packet.
pub struct Received(Vec<u8>);

/// Queue slot for a packet to send.
pub struct Sending<'a>(&'a mut VecDeque<Vec<u8>>);

impl RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, take: F) -> R {
        take(&self.0)
    }
}

impl TxToken for Sending<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, fill: F) -> R {
        let mut packet = vec![0; length];
        let result = fill(&mut packet);
        self.0.push_back(packet);
        result
    }
}

impl Device for Queues {
    type RxToken<'a> = Received;
    type TxToken<'a> = Sending<'a>;

    fn receive(&mut self, _: StackInstant) -> Option<(Received, Sending<'_>)> {
        let packet = self.received.pop_front()?;
        Some((Received(packet), Sending(&mut self.sent)))
    }

    fn transmit(&mut self, _: StackInstant) -> Option<Sending<'_>> {
        Some(Sending(&mut self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU;
        capabilities
    }
}

/// A TCP stack on a UDP socket.
pub struct Stack {
    /// Connections.
    pub sockets: SocketSet<'static>,
    gateway: SocketAddr,
    interface: Interface,
    origin: Instant,
    resets: Vec<SocketAddr>,
    queues: Queues,
    udp: UdpSocket,
}

impl Stack {
    /// A stack with the given IP addresses, whose packets are sent to `gateway`.
    pub fn new(udp: UdpSocket, gateway: SocketAddr, addresses: &[IpAddr], seed: u64) -> Self {
        let mut queues = Queues::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = seed;
        let mut interface = Interface::new(config, &mut queues, StackInstant::ZERO);
        interface.update_ip_addrs(|list| {
            for address in addresses {
                let bits = if address.is_ipv4() { 32 } else { 128 };
                // The stand-ins use no more addresses than the list can hold.
                let _ = list.push(IpCidr::new(IpAddress::from(*address), bits));
            }
        });
        if let Some(IpAddr::V4(address)) = addresses.first() {
            let _ = interface.routes_mut().add_default_ipv4_route(*address);
        }
        Self {
            sockets: SocketSet::new(Vec::new()),
            gateway,
            interface,
            origin: Instant::now(),
            queues,
            resets: Vec::new(),
            udp,
        }
    }

    /// Takes the remote addresses of connections that were reset since the last call.
    pub fn take_resets(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.resets)
    }

    fn now(&self) -> StackInstant {
        StackInstant::from_micros(self.origin.elapsed().as_micros() as i64)
    }

    /// Waits for packets for at most `wait`, runs the stack and sends the resulting packets. Drops
    /// all packets in both directions if `drop_packets` is set.
    pub fn run(&mut self, wait: Duration, drop_packets: bool) {
        let mut buffer = [0; 2_048];
        let _ = self
            .udp
            .set_read_timeout(Some(wait.max(Duration::from_micros(500))));
        let _ = self.udp.set_nonblocking(false);
        for burst in 0..MAX_BURST {
            if burst == 1 {
                let _ = self.udp.set_nonblocking(true);
            }
            let Ok((length, _)) = self.udp.recv_from(&mut buffer) else {
                break;
            };
            if !drop_packets && !self.is_duplicate_syn(&buffer[..length]) {
                self.queues.received.push_back(buffer[..length].to_vec());
            }
        }
        let now = self.now();
        self.interface
            .poll(now, &mut self.queues, &mut self.sockets);
        while let Some(packet) = self.queues.sent.pop_front() {
            if !drop_packets {
                if let Ok(header) = ip::parse(&packet)
                    && header.kind == packet::Kind::Rst
                {
                    let tuple = header.tuple;
                    self.resets
                        .push(SocketAddr::new(tuple.destination, tuple.destination_port));
                }
                // TCP retransmits a packet whose send failed.
                let _ = self.udp.send_to(&packet, self.gateway);
            }
        }
    }

    /// Whether a packet is a duplicate SYN of a connection that exists already. The stack would
    /// pass it to another listening socket and open the connection a second time.
    fn is_duplicate_syn(&self, bytes: &[u8]) -> bool {
        let Ok(header) = ip::parse(bytes) else {
            return false;
        };
        if header.kind != packet::Kind::Syn {
            return false;
        }
        let source = (
            IpAddress::from(header.tuple.source),
            header.tuple.source_port,
        );
        self.sockets.iter().any(|(_, socket)| {
            let smoltcp::socket::Socket::Tcp(socket) = socket;
            let remote = socket.remote_endpoint();
            remote.is_some_and(|remote| (remote.addr, remote.port) == source)
        })
    }

    /// Time until the stack has to run again, at most `max`.
    pub fn poll_delay(&mut self, max: Duration) -> Duration {
        let now = self.now();
        self.interface
            .poll_delay(now, &self.sockets)
            .map_or(max, |delay| {
                Duration::from_micros(delay.total_micros()).min(max)
            })
    }

    fn new_socket() -> tcp::Socket<'static> {
        let buffer = || tcp::SocketBuffer::new(vec![0; BUFFER_BYTES]);
        let mut socket = tcp::Socket::new(buffer(), buffer());
        socket.set_timeout(Some(smoltcp::time::Duration::from_millis(
            TCP_TIMEOUT.as_millis() as u64,
        )));
        socket.set_nagle_enabled(false);
        socket
    }

    /// Adds a socket that listens for one connection.
    pub fn listen(&mut self, port: u16) -> SocketHandle {
        let mut socket = Self::new_socket();
        // A new socket can always listen.
        let _ = socket.listen(port);
        self.sockets.add(socket)
    }

    /// Adds a socket that connects.
    pub fn connect(&mut self, from: SocketAddr, to: SocketAddr) -> SocketHandle {
        let mut socket = Self::new_socket();
        // A new socket with valid addresses can always connect.
        let _ = socket.connect(
            self.interface.context(),
            (IpAddress::from(to.ip()), to.port()),
            (IpAddress::from(from.ip()), from.port()),
        );
        self.sockets.add(socket)
    }

    /// Socket of a connection.
    pub fn socket_mut(&mut self, handle: SocketHandle) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(handle)
    }
}
