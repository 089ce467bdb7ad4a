//! Messages between instances. The protocol layer encodes them.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coordination::hash;
use crate::state::{bitmap, flow, key};

/// Phase of an instance's membership in the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Alive and receiving entries; owns no bucket yet.
    Joining,
    /// Owns its share of the buckets.
    Serving,
    /// Still owns its share of the buckets while it hands its entries over.
    Leaving,
    /// Owns no bucket and still forwards packets that arrive.
    Left,
}

/// State of one peer as the sender of a heartbeat knows it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// Version of the peer's details that the sender has applied.
    pub applied: u32,
    /// Incarnation of the peer: the number of its process, higher than that of earlier processes.
    pub incarnation: u32,
    /// The peer.
    pub instance: key::Instance,
    /// Time at which the peer sent its last heartbeat, in milliseconds of the peer's clock.
    pub sent: u32,
}

/// Buckets of a service that the sender owns and declares direct.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The direct buckets, whose packets any instance may forward to the home.
    pub direct: bitmap::Bitmap,
    /// The service.
    pub service: key::Id,
}

/// Load and health of one target as the sender sees them.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Open flows that the sender counts. For direct buckets, starts less ends, including ends
    /// whose start another instance saw.
    pub flows: i32,
    /// Result of the sender's probes; none if it does not probe the target.
    pub probe: Option<Probe>,
    /// Retransmitted first packets since the last report, which are evidence against the target.
    pub repeats: u16,
    /// First packets of new flows since the last report.
    pub starts: u16,
    /// The target.
    pub target: key::Id,
}

/// Answer of a target's health endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Probe {
    /// Ready for new flows.
    Healthy,
    /// Up but still warming up.
    Cold,
    /// Sheds load: wants no new flows for now.
    Shedding,
    /// Will stop soon.
    Draining,
    /// No answer, or an answer with an error.
    Failed,
}

/// Buckets that settle: the flows of their former home are not all known yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settling {
    /// The buckets.
    pub buckets: bitmap::Bitmap,
    /// Former home, the target of packets of unknown flows.
    pub fallback: key::Id,
    /// Milliseconds until all flows of the former home are known.
    pub remaining_ms: u32,
    /// The service.
    pub service: key::Id,
}

/// A target that is not in the current sheet but may have open flows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Retired {
    /// Destination of encapsulated packets.
    pub address: SocketAddr,
    /// Name of the target.
    pub name: CompactString,
    /// The service.
    pub service: key::Id,
}

/// Buckets whose entries were lost with the instances that held them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Incomplete {
    /// The buckets.
    pub buckets: bitmap::Bitmap,
    /// Milliseconds until all flows whose entries were lost are over.
    pub remaining_ms: u32,
    /// The service.
    pub service: key::Id,
}

/// State that remains from earlier revisions and failures, sent to instances that join.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Buckets whose entries were lost.
    pub incomplete: Vec<Incomplete>,
    /// Targets that are no longer in the sheet.
    pub retired: Vec<Retired>,
    /// Settling buckets that the sender owns.
    pub settling: Vec<Settling>,
}

/// The part of a heartbeat that rarely changes, sent until the receiver has applied it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Details {
    /// Direct buckets of the sender, by service.
    pub announcements: Vec<Announcement>,
    /// State of earlier revisions that a joining instance needs.
    pub history: Option<History>,
    /// Revision to which the announcements apply.
    pub revision: u64,
    /// Number of traffic shards.
    pub shards: u16,
    /// Port of the first traffic shard.
    pub traffic_port: u16,
    /// Availability zone, as a hash of its name.
    pub zone: u64,
}

/// The periodic message of an instance to each peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Details; left out once the receiver has applied them.
    pub details: Option<Details>,
    /// What the sender has received from its peers.
    pub echoes: Vec<Echo>,
    /// Incarnation of the sender: the number of its process, higher than that of earlier
    /// processes.
    pub incarnation: u32,
    /// Phase of the sender.
    pub phase: Phase,
    /// Instances that the sender expects to own buckets once all joining and leaving is complete,
    /// one bit each.
    pub prospective: u32,
    /// Instances that own buckets in the sender's view, one bit each.
    pub ranked: u32,
    /// Target reports, sent about once a second.
    pub reports: Vec<Report>,
    /// Revision that the sender has accepted.
    pub revision: u64,
    /// Time of sending, in milliseconds of the sender's clock.
    pub sent: u32,
    /// Whether the owners have all entries that the sender holds and, while an instance joins, all
    /// replicas of the sender's entries are in place.
    pub synced: bool,
    /// Version of the sender's details.
    pub version: u32,
}

/// Placement of one flow, to be stored as a replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Age of the placement in ticks of 100 ms.
    pub age: u32,
    /// Whether packets of the flow may have been forwarded to the target.
    pub confirmed: bool,
    /// The flow.
    pub flow: flow::Key,
    /// Phase of the flow.
    pub phase: flow::Phase,
    /// Stable identifier of the target.
    pub target: key::Id,
}

/// A message between the traffic threads of two instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Traffic {
    /// Placements to store as replicas.
    Replicate(Vec<Placement>),
    /// Replicas that were stored, by the low half of their flow keys.
    Acknowledge(Vec<u64>),
    /// Flows that have ended.
    End(Vec<flow::Key>),
}

impl Traffic {
    /// Splits a message by the receiver's shards and passes each part to `send`.
    pub fn split(self, shards: u16, mut send: impl FnMut(u16, Self)) {
        match self {
            Self::Replicate(placements) => split_by(
                placements,
                shards,
                |placement| placement.flow.low,
                |shard, part| {
                    send(shard, Self::Replicate(part));
                },
            ),
            Self::Acknowledge(lows) => {
                split_by(
                    lows,
                    shards,
                    |low| *low,
                    |shard, part| send(shard, Self::Acknowledge(part)),
                );
            }
            Self::End(flows) => {
                split_by(
                    flows,
                    shards,
                    |flow| flow.low,
                    |shard, part| {
                        send(shard, Self::End(part));
                    },
                );
            }
        }
    }
}

fn split_by<T>(
    items: Vec<T>,
    shards: u16,
    low: impl Fn(&T) -> u64,
    mut send: impl FnMut(u16, Vec<T>),
) {
    if shards <= 1 {
        send(0, items);
        return;
    }
    let mut parts: Vec<Vec<T>> = (0..shards).map(|_| Vec::new()).collect();
    for item in items {
        let shard = hash::shard(low(&item), shards);
        parts[usize::from(shard)].push(item);
    }
    for (shard, part) in (0..shards).zip(parts) {
        if !part.is_empty() {
            send(shard, part);
        }
    }
}

/// The header of a relayed packet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Relay {
    /// Number of further relays that are allowed.
    pub hops: u8,
    /// Revision of the sheet that the sender uses.
    pub revision: u64,
}

/// A request for the sheet that a peer has accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// The sheet is wanted only if its revision is above this one.
    pub above: u64,
}

/// The documents of one sheet as published, so that the receiver can check them itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Bundle {
    /// Documents by name.
    pub documents: Vec<Document>,
    /// The manifest.
    pub manifest: String,
}

/// One document of a sheet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Name in the manifest.
    pub name: CompactString,
    /// Text of the document.
    pub text: String,
}
