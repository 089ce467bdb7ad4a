//! Frames between instances: `postcard` bodies with a keyed authentication tag.
//!
//! The two highest bits of the first byte distinguish a frame (11) from an encapsulated packet,
//! which has Generic UDP Encapsulation of variant 1 (01). A frame consists of its kind, the number
//! of the key, the sender, the tag and the body. The tag of a relay frame covers the relay header
//! and the first bytes of the packet. The rest of the packet comes from the caller unauthenticated
//! and is trusted no more than a packet that arrives directly from the caller.

use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher24;

use crate::coordination::message;
use crate::state::{count, key};

/// Length in bytes of the part before the body: kind, key number, sender and tag.
pub const HEADER_BYTES: usize = 12;
/// Maximum number of bytes of a packet that the tag of a relay frame covers.
const AUTHENTICATED_PACKET_BYTES: usize = 64;
/// Maximum length in bytes of a relay frame before the packet: the frame header, the hop limit and
/// the revision.
pub const MAX_RELAY_HEADER_BYTES: usize = HEADER_BYTES + 12;

/// Kind of a datagram, from its first byte.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Request for a sheet.
    Fetch,
    /// Heartbeat.
    Heartbeat,
    /// Encapsulated IP packet.
    Packet,
    /// Relayed IP packet.
    Relay,
    /// Message between traffic threads.
    Traffic,
}

const KIND_HEARTBEAT: u8 = 0xC0;
const KIND_TRAFFIC: u8 = 0xC1;
const KIND_RELAY: u8 = 0xC2;
const KIND_FETCH: u8 = 0xC3;

impl Kind {
    fn byte(self) -> Option<u8> {
        match self {
            Self::Fetch => Some(KIND_FETCH),
            Self::Heartbeat => Some(KIND_HEARTBEAT),
            Self::Packet => None,
            Self::Relay => Some(KIND_RELAY),
            Self::Traffic => Some(KIND_TRAFFIC),
        }
    }
}

/// The kind of a datagram, none if it is neither a frame nor an encapsulated packet.
pub fn kind(bytes: &[u8]) -> Option<Kind> {
    match *bytes.first()? {
        KIND_FETCH => Some(Kind::Fetch),
        KIND_HEARTBEAT => Some(Kind::Heartbeat),
        KIND_RELAY => Some(Kind::Relay),
        KIND_TRAFFIC => Some(Kind::Traffic),
        byte if byte >> 6 == 0b01 => Some(Kind::Packet),
        _ => None,
    }
}

/// A key of the frame authentication.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Key {
    /// Number of the key, which frames carry.
    pub number: u8,
    /// The two halves of the secret.
    pub secret: (u64, u64),
}

/// The keys of the frame authentication. During a key rotation there are two.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Keyring {
    /// Accepted keys. Frames are signed with the first one.
    pub keys: Vec<Key>,
}

impl Keyring {
    fn find(&self, number: u8) -> Option<Key> {
        self.keys.iter().copied().find(|key| key.number == number)
    }
}

/// The authentication tag over a frame without its tag bytes and over the `authenticated` bytes
/// that follow it.
fn tag(key: Key, frame: &[u8], authenticated: &[u8]) -> [u8; 8] {
    let mut hasher = SipHasher24::new_with_keys(key.secret.0, key.secret.1);
    hasher.write(&frame[..4]);
    hasher.write(&frame[HEADER_BYTES..]);
    hasher.write(authenticated);
    hasher.finish().to_le_bytes()
}

/// Encodes a frame. If the body cannot be encoded, the frame has no body and receivers drop it.
pub fn encode<T: Serialize>(
    keyring: &Keyring,
    kind: Kind,
    sender: key::Instance,
    body: &T,
) -> Vec<u8> {
    let mut frame = Vec::new();
    if let (Some(key), Some(kind)) = (keyring.keys.first(), kind.byte()) {
        write_header(&mut frame, *key, kind, sender);
        if let Ok(body) = postcard::to_stdvec(body) {
            frame.extend_from_slice(&body);
        }
        sign(&mut frame, *key, &[]);
    }
    frame
}

/// Writes to `header` the part of a relay frame that precedes the packet.
pub fn encode_relay(
    keyring: &Keyring,
    sender: key::Instance,
    relay: message::Relay,
    packet: &[u8],
    header: &mut Vec<u8>,
) {
    header.clear();
    let Some(key) = keyring.keys.first().copied() else {
        return;
    };
    write_header(header, key, KIND_RELAY, sender);
    let mut buffer = [0u8; MAX_RELAY_HEADER_BYTES];
    if let Ok(body) = postcard::to_slice(&relay, &mut buffer) {
        header.extend_from_slice(body);
    }
    sign(
        header,
        key,
        &packet[..packet.len().min(AUTHENTICATED_PACKET_BYTES)],
    );
}

fn write_header(frame: &mut Vec<u8>, key: Key, kind: u8, sender: key::Instance) {
    frame.extend_from_slice(&[kind, key.number]);
    frame.extend_from_slice(&sender.0.to_le_bytes());
    frame.extend_from_slice(&[0; 8]);
}

fn sign(frame: &mut [u8], key: Key, authenticated: &[u8]) {
    let tag = tag(key, frame, authenticated);
    frame[4..HEADER_BYTES].copy_from_slice(&tag);
}

fn verify(
    keyring: &Keyring,
    bytes: &[u8],
    authenticated: &[u8],
) -> Result<key::Instance, count::Counter> {
    if bytes.len() < HEADER_BYTES {
        return Err(count::Counter::DropEncoding);
    }
    let key = keyring
        .find(bytes[1])
        .ok_or(count::Counter::DropAuthentication)?;
    if tag(key, bytes, authenticated) != bytes[4..HEADER_BYTES] {
        return Err(count::Counter::DropAuthentication);
    }
    Ok(key::Instance(u16::from_le_bytes([bytes[2], bytes[3]])))
}

/// Decodes a frame into its sender and body. The error is the counter of the reason to drop it.
pub fn decode<T: for<'a> Deserialize<'a>>(
    keyring: &Keyring,
    bytes: &[u8],
) -> Result<(key::Instance, T), count::Counter> {
    let sender = verify(keyring, bytes, &[])?;
    let body =
        postcard::from_bytes(&bytes[HEADER_BYTES..]).map_err(|_| count::Counter::DropEncoding)?;
    Ok((sender, body))
}

/// Decodes a relay frame into the sender, the relay header and the offset of the packet. The error
/// is the counter of the reason to drop the frame.
pub fn decode_relay(
    keyring: &Keyring,
    bytes: &[u8],
) -> Result<(key::Instance, message::Relay, usize), count::Counter> {
    if bytes.len() < HEADER_BYTES {
        return Err(count::Counter::DropEncoding);
    }
    let (relay, packet) = postcard::take_from_bytes::<message::Relay>(&bytes[HEADER_BYTES..])
        .map_err(|_| count::Counter::DropEncoding)?;
    let start = bytes.len() - packet.len();
    let authenticated = &packet[..packet.len().min(AUTHENTICATED_PACKET_BYTES)];
    let sender = verify(keyring, &bytes[..start], authenticated)?;
    Ok((sender, relay, start))
}
