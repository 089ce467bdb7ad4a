//! Heartbeats between instances that forward by cookie.
//!
//! The size of a heartbeat does not depend on the number of instances, and only up to a bound on the
//! number of targets. Loads of single targets stay within a zone; other zones get means.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::state::catalog;

/// Load of a target, as an instance counts it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Cookie of the target.
    pub cookie: u32,
    /// Open flows with recent packets.
    pub flows: u16,
    /// Open flows, idle ones included.
    pub held: u16,
    /// Time since one of the flows made progress, in milliseconds; `u16::MAX` if longer ago.
    pub progress_ms: u16,
    /// Measurements behind `response_tenths` in sixteenths, reduced by age; zero if there is none.
    pub measured: u8,
    /// Time that a request takes, in tenths of a millisecond.
    pub response_tenths: u16,
    /// Open flows whose callers wait for a response.
    pub waiting: u16,
}

/// Mean load of the targets of one service in one zone, by the flows that the instances of that
/// zone count, in thousandths of a flow per slot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Mean {
    /// Open flows with recent packets.
    pub flows: u32,
    /// Open flows, idle ones included.
    pub held: u32,
    /// Label of the service.
    pub service: u32,
    /// Open flows whose callers wait for a response.
    pub waiting: u32,
}

/// What the sender knows of an availability zone.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Zone {
    /// Mean loads of its targets.
    pub means: Vec<Mean>,
    /// Its name.
    pub name: CompactString,
    /// Time since one of its instances sent these means, in milliseconds.
    pub silent_ms: u32,
}

/// An instance that the sender knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// Address of its heartbeats.
    pub address: SocketAddr,
    /// Time since any instance heard it, in milliseconds.
    pub silent_ms: u32,
    /// Index of its zone in `Heartbeat::zones`.
    pub zone: u8,
}

/// An instance that watches the platform or is one of the next to do so.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// Address of its heartbeats.
    pub address: SocketAddr,
    /// Time since the platform last answered it, in milliseconds; none if it does not watch.
    pub contact_ms: Option<u32>,
    /// Time since it sent what this entry says, in milliseconds.
    pub silent_ms: u32,
}

/// Last progress of the flows of a target, as far as the sender knows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Progress {
    /// Cookie of the target.
    pub cookie: u32,
    /// Time since the progress, in milliseconds.
    pub progress_ms: u16,
}

/// Outcome of a connection to a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It opened: the target lives.
    Opened,
    /// It was refused: the process is gone.
    Refused,
    /// No answer came.
    Unanswered,
}

/// Result of a check of a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Check {
    /// Time since it began, in milliseconds.
    pub began_ms: u32,
    /// Cookie of the target.
    pub cookie: u32,
    /// Its outcome.
    pub outcome: Outcome,
}

/// Number of the form of a heartbeat, to be raised with each change of its fields.
const FORM: u8 = 4;

/// The form of a heartbeat. Only the current one can be decoded.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Form;

impl Serialize for Form {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(FORM)
    }
}

impl<'de> Deserialize<'de> for Form {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        match u8::deserialize(deserializer)? {
            FORM => Ok(Self),
            other => Err(D::Error::custom(format!("heartbeat of form {other}"))),
        }
    }
}

/// State that an instance sends to its peers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Form of the other fields. It comes first, where heartbeats without a form have the tag of an
    /// optional value, which is 0 or 1.
    pub form: Form,
    /// Age of the sender's registry data in milliseconds; none if it has none.
    pub age_ms: Option<u32>,
    /// Other instances that watch the platform or are next to do so.
    pub candidates: Vec<Candidate>,
    /// Results of checks that the receiver asked for.
    pub checks: Vec<Check>,
    /// Cookies of targets that the receiver is asked to check.
    pub checks_wanted: Vec<u32>,
    /// Time since the platform last answered the sender itself, in milliseconds; none if it is not
    /// watching.
    pub contact_ms: Option<u32>,
    /// The latest changes of the registry, if this heartbeat announces them.
    pub delta: Option<catalog::Delta>,
    /// Some of the evacuations that the sender knows to be in force.
    pub evacuations: Vec<catalog::Evacuation>,
    /// Some of the registrations that the sender knows to be those of targets that have left.
    pub holds: Vec<catalog::Hold>,
    /// Number of the sender's process, drawn at random.
    pub incarnation: u64,
    /// Number of instances that the sender knows, itself included.
    pub instances: u16,
    /// Whether the sender is about to stop.
    pub leaving: bool,
    /// Loads of targets, as the sender counts them; none if this heartbeat does not report them.
    pub loads: Option<Vec<Load>>,
    /// Name of the sender.
    pub name: CompactString,
    /// Whether an instance without registry data may fetch all of it from the sender.
    pub offers: bool,
    /// Some of the instances that the sender knows.
    pub peers: Vec<Contact>,
    /// How far the sender's registry data reaches.
    pub position: catalog::Position,
    /// Answer to `suspects` of the receiver.
    pub progress: Vec<Progress>,
    /// Number of the heartbeat, ascending within one process.
    pub sequence: u64,
    /// Cookies of targets that do not answer the sender. A receiver that knows of recent progress
    /// of one of them replies with it.
    pub suspects: Vec<u32>,
    /// The sender's zone, and possibly others after it.
    pub zones: Vec<Zone>,
}

impl Heartbeat {
    /// Name of the sender's zone.
    pub fn zone(&self) -> &str {
        self.zones.first().map_or("", |zone| zone.name.as_str())
    }
}
