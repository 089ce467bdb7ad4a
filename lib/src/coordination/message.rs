//! Typed messages between instances. Their encoding is the protocol layer's.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coordination::hash;
use crate::state::{bitmap, flow, key};

/// Stage of an instance in the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Alive, fetching entries, owns nothing.
    Joining,
    /// Owns its share of the buckets.
    Serving,
    /// Still owns its share but hands it over.
    Leaving,
    /// Owns nothing and forwards what still arrives.
    Left,
}

/// What an instance tells about one peer in its heartbeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// Version of the peer's details that is applied.
    pub applied: u32,
    /// Number of the peer's process.
    pub incarnation: u32,
    /// The peer.
    pub instance: key::Instance,
    /// Sending time of the peer's last heartbeat, in milliseconds of the peer's clock.
    pub sent: u32,
}

/// Which buckets of a service an instance owns and declares direct.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Buckets that any instance may forward to their home.
    pub direct: bitmap::Bitmap,
    /// The service.
    pub service: key::Id,
}

/// What an instance tells about one target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Report {
    /// Open flows that the sender counts, net of ends whose start another instance saw.
    pub flows: i32,
    /// Result of the sender's probes, none if it does not probe the target.
    pub probe: Option<Probe>,
    /// First packets that were repeated since the last report, evidence against the target.
    pub repeats: u16,
    /// First packets of new flows since the last report.
    pub starts: u16,
    /// The target.
    pub target: key::Id,
}

/// What a health endpoint says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Probe {
    /// Ready for work.
    Healthy,
    /// Up but not warm yet.
    Cold,
    /// Wants no new work for now.
    Shedding,
    /// Is about to stop.
    Draining,
    /// Does not answer or answers with an error.
    Failed,
}

/// Buckets whose former flows are not all known yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Settling {
    /// The buckets.
    pub buckets: bitmap::Bitmap,
    /// Former home, where packets of unknown flows go.
    pub fallback: key::Id,
    /// Milliseconds until all former flows are known.
    pub remaining_ms: u32,
    /// The service.
    pub service: key::Id,
}

/// A target that the present sheet does not name but that may have open flows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Retired {
    /// Where encapsulated packets go.
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
    /// Milliseconds until flows without an entry are over.
    pub remaining_ms: u32,
    /// The service.
    pub service: key::Id,
}

/// What earlier revisions and failures left behind, told to instances that join.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct History {
    /// Buckets whose entries were lost.
    pub incomplete: Vec<Incomplete>,
    /// Targets that no sheet names any more.
    pub retired: Vec<Retired>,
    /// Settling buckets that the sender owns.
    pub settling: Vec<Settling>,
}

/// What changes rarely, sent until the receiver has applied it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Details {
    /// Which buckets are direct.
    pub announcements: Vec<Announcement>,
    /// What a joining instance must know of earlier revisions.
    pub history: Option<History>,
    /// Revision that the announcements are for.
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
    /// Details, left out when the receiver has them.
    pub details: Option<Details>,
    /// What the sender has heard from its peers.
    pub echoes: Vec<Echo>,
    /// Number of the sender's process.
    pub incarnation: u32,
    /// Stage of the sender.
    pub phase: Phase,
    /// Instances that the sender expects to own buckets next, one bit each.
    pub prospective: u32,
    /// Instances that own buckets in the sender's view, one bit each.
    pub ranked: u32,
    /// Target reports, present about once a second.
    pub reports: Vec<Report>,
    /// Revision that the sender has accepted.
    pub revision: u64,
    /// Sending time in milliseconds of the sender's clock.
    pub sent: u32,
    /// Whether all replicas are in place for the sender's view of the instances.
    pub synced: bool,
    /// Version of the sender's details.
    pub version: u32,
}

/// One flow placement for a replica.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Placement {
    /// Age of the placement in ticks.
    pub age: u32,
    /// Whether packets may have been forwarded by the placement.
    pub confirmed: bool,
    /// The flow.
    pub flow: flow::Key,
    /// Stage of the flow.
    pub phase: flow::Phase,
    /// Stable identifier of the target.
    pub target: key::Id,
}

/// A message between the traffic threads of two instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Traffic {
    /// Replicas to keep.
    Replicate(Vec<Placement>),
    /// Replicas that are kept now, by the low half of the flow keys.
    Acknowledge(Vec<u64>),
    /// Flows that have ended.
    End(Vec<flow::Key>),
}

impl Traffic {
    /// Splits a message by the shards of its receiver.
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
    /// Relays still allowed.
    pub hops: u8,
    /// Revision that the sender acts on.
    pub revision: u64,
}

/// A request for the sheet that a peer has accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fetch {
    /// Revisions at or below this one are not wanted.
    pub above: u64,
}

/// The documents of one sheet as published, so that the receiver checks them itself.
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
