//! Interface between a platform and an instance that forwards by cookie: functions for the packet
//! format and for reading the registry data.

use crate::protocol::fault;
use crate::state::{catalog, segment, snapshot, time};

/// The packet format.
#[derive(Clone, Copy)]
pub struct Codec {
    /// Parses a caller's packet; `None` if the datagram is not one.
    pub decode: fn(&[u8]) -> Option<segment::Segment>,
    /// Appends to the buffer the prefix of a caller's packet for a target. Returns the offset from
    /// which the bytes of the packet follow the prefix unchanged.
    pub encapsulate: fn(&[u8], &snapshot::Target, &mut Vec<u8>) -> usize,
    /// Builds the packet that resets the flow of a segment.
    pub reset: fn(&segment::Segment) -> Vec<u8>,
}

/// Result of one call to the platform.
#[derive(Clone, Debug)]
pub struct Update {
    /// Changed registry data.
    pub delta: catalog::Delta,
    /// Values that could not be parsed, for the log.
    pub faults: Vec<String>,
}

/// Reads the changes after a revision, or all registry data without one. Waits for a change for at
/// most the given time. The answer to a revision may be of a later era. Errors are `PlatformUnreachable`,
/// `PlatformAnswer`, `PlatformHistory` and `ResponseSize`.
pub type Source =
    Box<dyn FnMut(Option<catalog::Revision>, time::Duration) -> fault::Result<Update> + Send>;
