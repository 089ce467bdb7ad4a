//! Reports from a traffic thread to the control thread: decisions, for the log, and counts.

use crate::coordination::cookie::evidence;
use crate::coordination::load;
use crate::state::{catalog, flow, key, segment, snapshot, time};

/// Why a decision was made, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// A new flow was placed.
    Placed,
    /// The previous target did not answer the first packet.
    Unanswered,
    /// No target can take the flow.
    NoTarget,
    /// The address has no route.
    NoRoute,
    /// The target answers none of its flows.
    Dead,
    /// The target answers neither a flow nor the checks of other instances.
    Unreachable,
    /// The target has ended.
    Ended,
    /// The route never led to the target that the cookie names.
    ForeignCookie,
    /// The address has no route, but the registry data is too old to refuse the flow, or the packet
    /// is not a first packet.
    StaleRegistry,
    /// No target has the cookie.
    UnknownCookie,
}

impl Cause {
    /// All causes in the order of the documentation.
    pub const ALL: [Self; 10] = [
        Self::Placed,
        Self::Unanswered,
        Self::NoTarget,
        Self::NoRoute,
        Self::Dead,
        Self::Unreachable,
        Self::Ended,
        Self::StaleRegistry,
        Self::UnknownCookie,
        Self::ForeignCookie,
    ];

    /// What the cause means for the request, for operators.
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
            Self::Unreachable => {
                "a flow of the target waits, and no connection to the target could be opened by two \
                 instances; of a request that may run only once, nothing was forwarded"
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

    /// Outcome for the packet, in logs.
    pub fn outcome(self) -> &'static str {
        match self {
            Self::Placed | Self::Unanswered => "forwarded",
            Self::ForeignCookie | Self::StaleRegistry | Self::UnknownCookie => "dropped",
            Self::Dead | Self::Ended | Self::NoRoute | Self::NoTarget | Self::Unreachable => {
                "reset"
            }
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
            Self::Unreachable => "target fails checks",
            Self::ForeignCookie => "target not of the route",
            Self::StaleRegistry => "no route, facts too old",
            Self::UnknownCookie => "no target has the cookie",
        }
    }
}

/// A decision on a flow, with its inputs.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Age of the registry data when the snapshot was published.
    pub age: time::Duration,
    /// Revision of the registry data.
    pub as_of: catalog::Revision,
    /// When it was made.
    pub at: time::Instant,
    /// Why.
    pub cause: Cause,
    /// The flow's identifier, equal on every instance.
    pub flow: flow::Key,
    /// Known load of the target.
    pub load: snapshot::Load,
    /// The packet.
    pub segment: segment::Segment,
    /// The target, if there is one.
    pub target: Option<key::Target>,
    /// Version of the configuration.
    pub version: u64,
}

/// Load of one target, as a traffic thread counts it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Flows that the thread counts.
    pub count: snapshot::Load,
    /// When one of its flows last made progress.
    pub last_progress: time::Instant,
    /// Time that a request takes; none if it was not measured.
    pub measured: Option<snapshot::Measured>,
    /// The target.
    pub target: key::Target,
}

/// A target that is avoided, and the evidence against it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Avoidance {
    /// Whether it answers none of its flows, so that they are reset.
    pub dead: bool,
    /// Evidence from its flows.
    pub evidence: evidence::Evidence,
    /// Packet loss on the links of this instance.
    pub links: evidence::Links,
    /// The target.
    pub target: key::Target,
}

/// Report from a traffic thread to the control thread.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Targets that are avoided.
    pub avoided: Vec<Avoidance>,
    /// Decisions since the last report.
    pub decisions: Vec<Decision>,
    /// Number of flows seen recently.
    pub flows: usize,
    /// Loads of the targets that have flows.
    pub loads: Vec<Load>,
    /// Outcomes of flows since the last report, by service.
    pub outcomes: Vec<load::Outcomes>,
    /// Number of decisions left out of the report.
    pub omitted: u64,
    /// Whether each zone is suspect.
    pub suspect_zones: Vec<bool>,
}

impl Report {
    /// The avoided targets that an earlier report did not have.
    pub fn newly_avoided(&self, before: &Self) -> impl Iterator<Item = Avoidance> {
        let was_avoided = |found: &&Avoidance| {
            let mut avoided = before.avoided.iter();
            avoided.any(|earlier| earlier.target == found.target)
        };
        let new = self.avoided.iter().filter(move |found| !was_avoided(found));
        new.copied()
    }
}
