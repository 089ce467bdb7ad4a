//! Flows of callers, and which targets their packets reached.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use quetzal_lib::coordination::hash;
use quetzal_lib::state::{flow, key, packet, time};

use crate::sheet;

/// Secret of the flow hash in tests.
pub const SECRET: hash::Secret = hash::Secret {
    first: 7,
    second: 11,
};
/// Time that a caller waits for an answer to each first packet before it retransmits, or gives up
/// after the last one.
const RETRANSMISSION_DELAYS: [Duration; 3] = [
    Duration::from_secs(1),
    Duration::from_secs(2),
    Duration::from_secs(4),
];

/// State of a flow at its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// A packet other than a SYN reached a target that does not have the flow.
    Broken,
    /// Closed normally.
    Ended,
    /// The caller gave up: no first packet was answered.
    GivenUp,
    /// Accepted by this target.
    Open(key::Id),
    /// No first packet has been answered yet.
    Opening {
        /// Number of first packets sent.
        sent: usize,
    },
    /// Refused by an instance.
    Refused,
}

/// A flow at its caller.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Targets that a SYN reached.
    pub first_targets: BTreeSet<key::Id>,
    /// Time between packets of the open flow.
    pub packet_interval: Duration,
    /// When the caller starts to close the flow.
    pub ends_at: time::Instant,
    /// Whether the caller has sent a FIN.
    pub fin_sent: bool,
    /// Flow key.
    pub key: flow::Key,
    /// When a packet of the flow first reached a target.
    pub placed_at: Option<time::Instant>,
    /// Protocol, addresses and ports.
    pub tuple: packet::Tuple,
    /// Index of the service.
    pub service: usize,
    /// Current state.
    pub state: State,
    /// Targets that a packet other than a SYN reached.
    pub later_targets: BTreeSet<key::Id>,
    /// Targets that any packet of the flow reached.
    pub targets: BTreeSet<key::Id>,
}

impl Flow {
    /// Creates a flow whose first packet has not been sent. Its source address and port follow from
    /// its number.
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

    /// Returns the next packet and the time until the one after it, or `None` if there is nothing
    /// more to send.
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

    /// Handles the arrival of a packet at a target. The first target reached accepts the flow; any
    /// other answers a packet that is not a SYN with a reset, which breaks the flow.
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
                // A SYN at another target opens a connection there that never gets a request.
                packet::Kind::Syn => {}
                _ => self.state = State::Broken,
            },
            _ => {}
        }
    }
}
