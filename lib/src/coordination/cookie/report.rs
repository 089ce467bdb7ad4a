//! What a traffic thread tells the control thread: its decisions, for the log, and what it counts.

use crate::coordination::cookie::evidence;
use crate::coordination::load;
use crate::state::{flow, key, segment, snapshot, time};

/// Why a decision was made, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A new flow was placed.
    Placed,
    /// The target before did not answer the first packet.
    Unanswered,
    /// No target can take the flow.
    NoTarget,
    /// There is no route at the address.
    NoRoute,
    /// The target answers nothing.
    Dead,
    /// The target has ended.
    Ended,
    /// The route never led to the target that the cookie names.
    ForeignCookie,
    /// The facts are too old to refuse a flow that has no route in them.
    StaleRegistry,
    /// No target has the cookie.
    UnknownCookie,
}

impl Cause {
    /// All causes in the order of the documents.
    pub const ALL: [Self; 9] = [
        Self::Placed,
        Self::Unanswered,
        Self::NoTarget,
        Self::NoRoute,
        Self::Dead,
        Self::Ended,
        Self::StaleRegistry,
        Self::UnknownCookie,
        Self::ForeignCookie,
    ];

    /// What it says of the request, for operators.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Placed => "new flow, to the least loaded target",
            Self::Unanswered => "copy of a first packet, to another target",
            Self::NoTarget => "no target of the route's services can take the flow; nothing ran",
            Self::NoRoute => "no route at the address by fresh facts; nothing ran",
            Self::Dead => {
                "no flow of the target makes progress while others do; of a request that may run \
                 only once, nothing was forwarded"
            }
            Self::Ended => "the target's registration is gone for good",
            Self::StaleRegistry => {
                "the facts are too old to refuse; the caller's copy may find the route"
            }
            Self::UnknownCookie => {
                "a forged cookie, or a target of which this instance does not know yet"
            }
            Self::ForeignCookie => "the cookie names a target to which the route never led",
        }
    }

    /// What became of the packet, in logs.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Placed | Self::Unanswered => "forwarded",
            Self::ForeignCookie | Self::StaleRegistry | Self::UnknownCookie => "dropped",
            Self::Dead | Self::Ended | Self::NoRoute | Self::NoTarget => "reset",
        }
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Unanswered => "target did not answer",
            Self::NoTarget => "no target",
            Self::NoRoute => "no route",
            Self::Dead => "target answers nothing",
            Self::Ended => "target ended",
            Self::ForeignCookie => "target not of the route",
            Self::StaleRegistry => "no route, facts too old",
            Self::UnknownCookie => "no target has the cookie",
        }
    }
}

/// A decision that touches a flow, with the inputs that it was made by.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Age of the facts when they were published.
    pub age: time::Duration,
    /// Revision of the facts.
    pub as_of: u64,
    /// When it was made.
    pub at: time::Instant,
    /// Why.
    pub cause: Cause,
    /// The flow's identifier, equal on every instance.
    pub flow: flow::Key,
    /// What is known to be on the target.
    pub load: snapshot::Load,
    /// The packet.
    pub segment: segment::Segment,
    /// The target, none if the flow was refused.
    pub target: Option<key::Target>,
    /// Version of the configuration.
    pub version: u64,
}

/// What a traffic thread knows of one target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// What is counted here.
    pub count: snapshot::Load,
    /// When one of its flows last made progress.
    pub last_progress: time::Instant,
    /// The target.
    pub target: key::Target,
}

/// A target that is avoided, and what speaks against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Avoidance {
    /// Whether it answers nothing at all, so that its flows are reset.
    pub dead: bool,
    /// What is known of its flows.
    pub evidence: evidence::Evidence,
    /// What the links of this instance do.
    pub links: evidence::Links,
    /// The target.
    pub target: key::Target,
}

/// What a traffic thread tells the control thread.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Targets that are avoided.
    pub avoided: Vec<Avoidance>,
    /// Decisions since the last report.
    pub decisions: Vec<Decision>,
    /// Flows seen lately.
    pub flows: usize,
    /// Targets with flows.
    pub loads: Vec<Load>,
    /// What became of each service's flows since the last report.
    pub outcomes: Vec<load::Outcomes>,
    /// Decisions that were left out of the report.
    pub omitted: u64,
    /// Zones that are suspect, by zone.
    pub suspect_zones: Vec<bool>,
}
