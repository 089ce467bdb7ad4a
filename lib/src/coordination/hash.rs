//! Keyed hashes. They give the same values on every instance and must not change between releases.

use std::hash::Hasher;
use std::net::{IpAddr, SocketAddr};

use siphasher::sip::SipHasher24;
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::state::{flow, packet};

/// The secret of the flow hash, shared by all instances.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Secret {
    /// First half.
    pub first: u64,
    /// Second half.
    pub second: u64,
}

/// Largest encoding of a tuple: two IPv6 addresses, two ports, one protocol byte.
const MAX_TUPLE_BYTES: usize = 37;

/// The key of a flow, a keyed hash of its addresses, ports and protocol.
pub fn flow_key(secret: Secret, tuple: &packet::Tuple) -> flow::Key {
    let mut bytes = [0u8; MAX_TUPLE_BYTES];
    let mut length = 0;
    let mut push = |part: &[u8]| {
        bytes[length..length + part.len()].copy_from_slice(part);
        length += part.len();
    };
    push(&[match tuple.protocol {
        packet::Protocol::Tcp => 6,
        packet::Protocol::Udp => 17,
    }]);
    push(&tuple.source_port.to_be_bytes());
    push(&tuple.destination_port.to_be_bytes());
    for address in [tuple.source, tuple.destination] {
        match address {
            IpAddr::V4(address) => push(&address.octets()),
            IpAddr::V6(address) => push(&address.octets()),
        }
    }
    let mut hasher = SipHasher13::new_with_keys(secret.first, secret.second);
    hasher.write(&bytes[..length]);
    let hash = hasher.finish128();
    flow::Key {
        high: hash.h1,
        low: hash.h2,
    }
}

/// A rendezvous score for a pair of identifiers.
pub fn score(first: u64, second: u64) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(first, second);
    hasher.write_u8(0);
    hasher.finish()
}

/// The shard of a flow among `count` shards, from the low half of its key.
pub fn shard(low: u64, count: u16) -> u16 {
    ((low >> 48) % u64::from(count.max(1))) as u16
}

/// Rank of the instance at an address, the same on every instance. The lowest is first.
pub fn address_rank(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(u32::from(ip)),
        IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    score(ip, u64::from(address.port()))
}

/// A short label of a name. Different names rarely have the same label.
pub fn label(name: &str) -> u32 {
    let mut hasher = SipHasher24::new_with_keys(0, 0);
    hasher.write(name.as_bytes());
    hasher.finish() as u32
}
