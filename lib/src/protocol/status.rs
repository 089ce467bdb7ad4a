//! Status of an instance for operators: the JSON of `/status` and `/flow`, and the text of
//! `/metrics`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::coordination::message;

/// One peer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Peer {
    /// Whether it is considered alive.
    pub alive: bool,
    /// Number of the instance, or its position in the list if instances have no numbers.
    pub instance: u16,
    /// Name of the instance, which is its number if it has one.
    pub name: CompactString,
    /// Phase, none if it is not known.
    pub phase: Option<message::Phase>,
    /// Revision of the sheet that it has accepted, or version of its configuration if it forwards
    /// by cookie.
    pub revision: u64,
    /// Milliseconds since its last heartbeat, none if there was none.
    pub silent_ms: Option<u64>,
}

/// One target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Destination of encapsulated packets.
    pub address: CompactString,
    /// Whether it takes new flows: `fit`, `closed` or `failed`.
    pub fitness: CompactString,
    /// Open flows counted by all instances, as far as this instance knows.
    pub flows: u32,
    /// Number of buckets whose home it is.
    pub homes: u32,
    /// Name.
    pub name: CompactString,
    /// State that the sheet demands of it: `active`, `draining` or `retired`.
    pub state: CompactString,
    /// Share of its capacity to be used, in percent.
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
    /// Number of buckets that this instance owns and declares direct.
    pub direct: u32,
    /// Effective share of the buckets that are always tracked, in per mille.
    pub flexible_share: u16,
    /// Name.
    pub name: CompactString,
    /// Number of buckets that this instance owns.
    pub owned: u32,
    /// Transport protocol.
    pub protocol: CompactString,
    /// Number of buckets of which not all flows of the former home are known yet.
    pub settling: u32,
    /// Targets.
    pub targets: Vec<Target>,
}

/// A zone that takes no new flows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Evacuation {
    /// Seconds since this instance learned of the order.
    pub since_seconds: u64,
    /// Name of the zone.
    pub zone: CompactString,
}

/// The slots of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Capacity {
    /// Slots of targets in evacuated zones.
    pub evacuated: u32,
    /// Name of the service.
    pub service: CompactString,
    /// Slots of targets that take new flows.
    pub usable: u32,
}

/// One quantile of a measured duration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quantile {
    /// Value in microseconds.
    pub micros: u64,
    /// Quantile, from 0 to 1.
    pub quantile: f64,
}

/// The status of an instance.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// Whether no other instance is alive, so that buckets have no deputy, which is the second
    /// instance by rendezvous hashing.
    pub alone: bool,
    /// Slots by service, if this instance forwards by cookie.
    #[serde(default)]
    pub capacities: Vec<Capacity>,
    /// Targets that take no new flows because another one has their cookie.
    #[serde(default)]
    pub cookie_conflicts: u64,
    /// Counters summed over all threads.
    pub counters: BTreeMap<CompactString, u64>,
    /// Evacuated zones.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
    /// Flow entries.
    pub entries: u64,
    /// Number of this instance, zero if instances have names only.
    pub instance: u16,
    /// Name of this instance, which is its number if it has one.
    pub name: CompactString,
    /// Peers.
    pub peers: Vec<Peer>,
    /// Phase of this instance.
    pub phase: Option<message::Phase>,
    /// Whether the last call of this instance to the platform was answered, none if there was none.
    pub platform_reachable: Option<bool>,
    /// Whether this instance is ready to serve.
    pub ready: bool,
    /// Revision of the sheet in force, or version of the configuration if this instance forwards
    /// by cookie.
    pub revision: u64,
    /// Services.
    pub services: Vec<Service>,
    /// Whether this instance may place flows: all peers agree on the owners of buckets or, if it
    /// forwards by cookie, its registry data is complete.
    pub settled: bool,
    /// Quantiles of the time to process a batch of packets and of the time that packets were held.
    pub times: BTreeMap<CompactString, Vec<Quantile>>,
    /// Seconds since the process started, which is also when the counters began.
    pub uptime_seconds: u64,
    /// Whether this instance watches the platform.
    pub watching: bool,
    /// Availability zone.
    pub zone: CompactString,
}

const PREFIX: &str = "quetzal_";

/// The status as metrics in the text exposition format.
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
        ("cookie_conflicts", status.cookie_conflicts),
        ("zones_evacuated", status.evacuations.len() as u64),
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
    write_evacuation_metrics(&mut text, status);
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

fn write_evacuation_metrics(text: &mut String, status: &Status) {
    let _ = writeln!(text, "# TYPE {PREFIX}zone_evacuated_seconds gauge");
    for evacuation in &status.evacuations {
        let _ = writeln!(
            text,
            "{PREFIX}zone_evacuated_seconds{{zone=\"{}\"}} {}",
            evacuation.zone, evacuation.since_seconds
        );
    }
    write_slots(text, status, "usable", |capacity| capacity.usable);
    write_slots(text, status, "evacuated", |capacity| capacity.evacuated);
}

fn write_slots(text: &mut String, status: &Status, state: &str, slots: fn(&Capacity) -> u32) {
    let _ = writeln!(text, "# TYPE {PREFIX}service_slots_{state} gauge");
    for capacity in &status.capacities {
        let (service, slots) = (&capacity.service, slots(capacity));
        let _ = writeln!(
            text,
            "{PREFIX}service_slots_{state}{{service=\"{service}\"}} {slots}"
        );
    }
}

fn write_metric(text: &mut String, kind: &str, name: &str, labels: &str, value: u64) {
    let _ = writeln!(
        text,
        "# TYPE {PREFIX}{name} {kind}\n{PREFIX}{name}{labels} {value}"
    );
}

/// Where an instance sends the packets of one flow.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Flow {
    /// Bucket of the flow.
    pub bucket: u32,
    /// Instances that acknowledged a replica, one bit each.
    pub copies: u32,
    /// Target of the flow's entry, none if this instance has no entry.
    pub entry_target: Option<SocketAddr>,
    /// Target of packets whose flow has no entry.
    pub fallback: Option<SocketAddr>,
    /// Default target of new flows.
    pub home: Option<SocketAddr>,
    /// How this instance handles the packets of the bucket.
    pub mode: CompactString,
    /// Number of the instance that owns the bucket.
    pub owner: u16,
    /// Service of the flow.
    pub service: CompactString,
    /// Whether some flows of the bucket's former home are not known yet.
    pub settling: bool,
}
