//! What a platform gives to an instance that forwards by cookie: its packet format and its
//! published facts, as functions.

use crate::protocol::fault;
use crate::state::{catalog, segment, snapshot};

/// The packet format.
#[derive(Clone, Copy)]
pub struct Codec {
    /// Reads a packet from a caller; none if it is none.
    pub decode: fn(&[u8]) -> Option<segment::Segment>,
    /// Appends what a target gets before the rest of a packet and returns where that rest begins.
    pub encapsulate: fn(&[u8], &snapshot::Target, &mut Vec<u8>) -> usize,
    /// Makes the reset of the flow of a packet.
    pub reset: fn(&segment::Segment) -> Vec<u8>,
}

/// What one reading call found.
#[derive(Clone, Debug)]
pub struct Update {
    /// What changed.
    pub delta: catalog::Delta,
    /// What could not be understood, for the log.
    pub faults: Vec<String>,
}

/// Reads what changed after a revision; everything after zero. Waits for a change for a bounded
/// time. Errors are `PlatformUnreachable`, `PlatformAnswer` and `PlatformHistory`.
pub type Source = Box<dyn FnMut(u64) -> fault::Result<Update> + Send>;
