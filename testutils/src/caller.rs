//! Flows of callers, and what the targets saw of them.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use quetzal_lib::coordination::hash;
use quetzal_lib::state::{flow, key, packet, time};

use crate::sheet;

/// The flow hash's secret in tests.
pub const SECRET: hash::Secret = hash::Secret {
    first: 7,
    second: 11,
};
/// Waits before a first packet is sent again.
const RETRANSMISSION_DELAYS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];

/// State of a flow at its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// A packet of it reached a target that does not have it.
    Broken,
    /// Ended in order.
    Ended,
    /// No answer to its first packets.
    GivenUp,
    /// Answered by a target.
    Open(key::Id),
    /// First packets are under way.
    Opening {
        /// First packets sent.
        sent: usize,
    },
    /// Refused.
    Refused,
}

/// One flow.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Targets that a first packet reached.
    pub first_targets: BTreeSet<key::Id>,
    /// Time between its packets.
    pub packet_interval: Duration,
    /// Time of its end.
    pub ends_at: time::Instant,
    /// Whether the caller has sent its last packet.
    pub fin_sent: bool,
    /// Its key.
    pub key: flow::Key,
    /// When a first packet of it was forwarded first.
    pub placed_at: Option<time::Instant>,
    /// Addresses and ports.
    pub tuple: packet::Tuple,
    /// Index of its service.
    pub service: usize,
    /// State.
    pub state: State,
    /// Targets that a packet other than a first one reached.
    pub later_targets: BTreeSet<key::Id>,
    /// Targets that any packet of it reached.
    pub targets: BTreeSet<key::Id>,
}

impl Flow {
    /// A flow with a number, which begins now.
    pub fn new(
        number: usize,
        service: usize,
        protocol: packet::Protocol,
        ends_at: time::Instant,
        packet_interval: Duration,
    ) -> Self {
        let address = sheet::address(service);
        let octets = (number as u32 / 40_000).to_be_bytes();
        let tuple = packet::Tuple {
            destination: address.ip(),
            destination_port: address.port(),
            protocol,
            source: IpAddr::V4(Ipv4Addr::new(10, 9, octets[2], octets[3])),
            source_port: (number % 40_000) as u16 + 1_024,
        };
        Self {
            first_targets: BTreeSet::new(),
            packet_interval,
            ends_at,
            fin_sent: false,
            key: hash::flow_key(SECRET, &tuple),
            placed_at: None,
            tuple,
            service,
            state: State::Opening { sent: 0 },
            later_targets: BTreeSet::new(),
            targets: BTreeSet::new(),
        }
    }

    /// The next packet and the time until the one after it; none if there is none to send.
    pub fn next_packet(&mut self, now: time::Instant) -> Option<(packet::Kind, Duration)> {
        let is_udp = self.tuple.protocol == packet::Protocol::Udp;
        match self.state {
            State::Opening { sent } => {
                let Some(wait) = RETRANSMISSION_DELAYS.get(sent) else {
                    self.state = State::GivenUp;
                    return None;
                };
                self.state = State::Opening { sent: sent + 1 };
                let kind = if is_udp {
                    packet::Kind::Datagram
                } else {
                    packet::Kind::Syn
                };
                Some((kind, *wait))
            }
            State::Open(_) if now >= self.ends_at && is_udp => {
                self.state = State::Ended;
                None
            }
            State::Open(_) if now >= self.ends_at => {
                let had_sent_fin = self.fin_sent;
                self.fin_sent = true;
                if had_sent_fin {
                    self.state = State::Ended;
                    return None;
                }
                Some((packet::Kind::Fin, self.packet_interval))
            }
            State::Open(_) if is_udp => Some((packet::Kind::Datagram, self.packet_interval)),
            State::Open(_) => Some((packet::Kind::Established, self.packet_interval)),
            _ => None,
        }
    }

    /// A packet of the flow arrives at a target. The first answer makes the connection; a later
    /// packet at another target is answered with a reset.
    pub fn on_arrival(&mut self, now: time::Instant, target: key::Id, kind: packet::Kind) {
        self.targets.insert(target);
        if kind == packet::Kind::Syn {
            self.first_targets.insert(target);
        } else {
            self.later_targets.insert(target);
        }
        self.placed_at.get_or_insert(now);
        match self.state {
            State::Opening { .. } => self.state = State::Open(target),
            State::Open(known) if known != target => match kind {
                // A first packet elsewhere makes a half-open connection that no request reaches.
                packet::Kind::Syn => {}
                _ => self.state = State::Broken,
            },
            _ => {}
        }
    }
}
