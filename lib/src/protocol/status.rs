//! What an instance tells operators about itself: the JSON of `/status` and the text of `/metrics`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coordination::message;

/// One peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Whether it counts as alive.
    pub alive: bool,
    /// Number of the instance; its place in the list where instances have no numbers.
    pub instance: u16,
    /// Name of the instance, which is its number where it has one.
    pub name: CompactString,
    /// Stage, if it was heard.
    pub phase: Option<message::Phase>,
    /// Revision that it has accepted.
    pub revision: u64,
    /// Milliseconds since it was heard, none if never.
    pub silent_ms: Option<u64>,
}

/// One target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Where encapsulated packets go.
    pub address: CompactString,
    /// Whether it takes new flows: `fit`, `closed` or `failed`.
    pub fitness: CompactString,
    /// Open flows counted by all instances, as far as known here.
    pub flows: u32,
    /// Buckets whose home it is.
    pub homes: u32,
    /// Name.
    pub name: CompactString,
    /// What the sheet asks of it: `active`, `draining` or `retired`.
    pub state: CompactString,
    /// Share of its capacity that it should get, in per cent.
    pub weight_percent: u32,
    /// Availability zone.
    pub zone: CompactString,
}

/// One service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Service {
    /// Public address and port.
    pub address: CompactString,
    /// Number of buckets.
    pub buckets: u32,
    /// Buckets that this instance owns and declares direct.
    pub direct: u32,
    /// Share of always tracked buckets in force, in per mille.
    pub flexible_share: u16,
    /// Name.
    pub name: CompactString,
    /// Buckets that this instance owns.
    pub owned: u32,
    /// Transport protocol.
    pub protocol: CompactString,
    /// Buckets whose former flows are not all known yet.
    pub settling: u32,
    /// Targets.
    pub targets: Vec<Target>,
}

/// One quantile of a measured time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quantile {
    /// Microseconds.
    pub micros: u64,
    /// Quantile, from 0 to 1.
    pub quantile: f64,
}

/// The whole status.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Whether no other instance is alive, so that flows have no deputy.
    pub alone: bool,
    /// Counters summed over all threads.
    pub counters: BTreeMap<CompactString, u64>,
    /// Flow entries.
    pub entries: u64,
    /// Number of this instance; zero where instances have names only.
    pub instance: u16,
    /// Name of this instance, which is its number where it has one.
    pub name: CompactString,
    /// Peers.
    pub peers: Vec<Peer>,
    /// Stage of this instance.
    pub phase: Option<message::Phase>,
    /// Whether the platform answered this instance last; none if it never asked.
    pub platform_reachable: Option<bool>,
    /// Whether it serves.
    pub ready: bool,
    /// Revision of the sheet in force.
    pub revision: u64,
    /// Services.
    pub services: Vec<Service>,
    /// Whether this instance may place flows: all peers agree on the owners of buckets.
    pub settled: bool,
    /// Time to handle one batch, and the time that packets were held.
    pub times: BTreeMap<CompactString, Vec<Quantile>>,
    /// Seconds since the process started, since when everything counts.
    pub uptime_seconds: u64,
    /// Whether this instance watches the platform.
    pub watching: bool,
    /// Availability zone.
    pub zone: CompactString,
}

const PREFIX: &str = "quetzal_";

/// The status in the text exposition format.
pub fn metrics(status: &Status) -> String {
    let mut text = String::new();
    for (name, value) in &status.counters {
        write_metric(&mut text, "counter", &format!("{name}_total"), "", *value);
    }
    let gauges = [
        ("up", 1),
        ("ready", u64::from(status.ready)),
        ("settled", u64::from(status.settled)),
        ("alone", u64::from(status.alone)),
        ("sheet_revision", status.revision),
        ("flow_entries", status.entries),
        ("uptime_seconds", status.uptime_seconds),
        (
            "peers_alive",
            status.peers.iter().filter(|peer| peer.alive).count() as u64,
        ),
    ];
    for (name, value) in gauges {
        write_metric(&mut text, "gauge", name, "", value);
    }
    write_target_metrics(&mut text, status);
    for (name, quantiles) in &status.times {
        let _ = writeln!(text, "# TYPE {PREFIX}{name}_microseconds summary");
        for quantile in quantiles {
            let _ = writeln!(
                text,
                "{PREFIX}{name}_microseconds{{quantile=\"{}\"}} {}",
                quantile.quantile, quantile.micros
            );
        }
    }
    text
}

fn write_target_metrics(text: &mut String, status: &Status) {
    let _ = writeln!(text, "# TYPE {PREFIX}target_flows gauge");
    for service in &status.services {
        for target in &service.targets {
            let _ = writeln!(
                text,
                "{PREFIX}target_flows{{service=\"{}\",target=\"{}\",zone=\"{}\"}} {}",
                service.name, target.name, target.zone, target.flows
            );
        }
    }
}

fn write_metric(text: &mut String, kind: &str, name: &str, labels: &str, value: u64) {
    let _ = writeln!(
        text,
        "# TYPE {PREFIX}{name} {kind}\n{PREFIX}{name}{labels} {value}"
    );
}

/// Where one flow goes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Flow {
    /// Bucket of the flow.
    pub bucket: u32,
    /// Instances that acknowledged a replica, one bit each.
    pub copies: u32,
    /// Target of the entry, if there is one at the instance asked.
    pub entry_target: Option<SocketAddr>,
    /// Target of packets without an entry.
    pub fallback: Option<SocketAddr>,
    /// Default target of new flows.
    pub home: Option<SocketAddr>,
    /// How the instance asked steers the bucket.
    pub mode: CompactString,
    /// Instance that decides for the bucket.
    pub owner: u16,
    /// Service of the flow.
    pub service: CompactString,
    /// Whether former flows of the bucket are not all known yet.
    pub settling: bool,
}
