//! Heartbeats between instances that forward by cookie.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Load of a target, as an instance counts it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Cookie of the target.
    pub cookie: u32,
    /// Open flows.
    pub flows: u16,
    /// Time since one of the flows made progress, in milliseconds; `u16::MAX` if longer ago.
    pub progress_ms: u16,
    /// Open flows whose callers wait for a response.
    pub waiting: u16,
}

/// State that an instance sends to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Age of the sender's registry data in milliseconds; none if it has none.
    pub age_ms: Option<u32>,
    /// Revision of the sender's registry data.
    pub as_of: u64,
    /// Time since the platform last answered the sender itself, in milliseconds; none if it is not
    /// watching.
    pub contact_ms: Option<u32>,
    /// Number of the sender's process, drawn at random.
    pub incarnation: u64,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Loads of targets, as the sender counts them.
    pub loads: Vec<Load>,
    /// Name of the sender.
    pub name: CompactString,
    /// Some of the instances that the sender hears.
    pub peers: Vec<SocketAddr>,
    /// Number of the heartbeat, ascending within one process.
    pub sequence: u64,
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// Zone of the sender.
    pub zone: CompactString,
}
