//! Settings of an instance that forwards IP packets by buckets: an INI file with known keys and
//! with units in its values.
//!
//! `cookie_settings` has the settings of an instance that forwards by cookie.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde_with::DisplayFromStr;

use crate::coordination::hash;
use crate::protocol::{fault, ini, unit, wire};
use crate::state::{code, key, view};

/// This instance.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Instance {
    /// Address of the traffic and control sockets.
    #[serde_as(as = "DisplayFromStr")]
    pub address: IpAddr,
    /// Port for heartbeats (UDP) and for the transfer of sheets (TCP).
    #[serde_as(as = "DisplayFromStr")]
    pub control_port: u16,
    /// Number of the instance, unique among the peers.
    #[serde_as(as = "DisplayFromStr")]
    pub number: u16,
    /// Number of traffic threads.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_shards")]
    pub shards: u16,
    /// Address of the status pages and metrics.
    #[serde_as(as = "DisplayFromStr")]
    pub status: SocketAddr,
    /// Time for which the instance keeps forwarding after it has handed over all its buckets in a
    /// graceful shutdown.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_stop_delay")]
    pub stop_delay: Duration,
    /// Port of the first traffic thread. The other threads use the ports that follow.
    #[serde_as(as = "DisplayFromStr")]
    pub traffic_port: u16,
    /// Availability zone.
    pub zone: CompactString,
}

/// Encapsulation of packets between the fabric and the instance.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Encapsulation {
    /// Whole IP packets.
    #[default]
    Ip,
}

/// The fabric.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Fabric {
    /// Encapsulation of packets.
    #[serde(default)]
    pub format: Encapsulation,
    /// Destination of encapsulated packets to callers.
    #[serde_as(as = "DisplayFromStr")]
    pub return_address: SocketAddr,
}

/// The platform's configuration service.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// Address of the service.
    #[serde_as(as = "DisplayFromStr")]
    pub address: SocketAddr,
    /// Maximum time that a watch request waits for a change.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_watch")]
    pub watch: Duration,
}

/// Limits on the use of resources.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Bandwidth limit for replicas of flow entries, in bytes per second.
    #[serde_as(as = "unit::Bytes")]
    #[serde(default = "default_budget")]
    pub control_budget: u64,
    /// Maximum number of flow entries.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_entries")]
    pub entries: usize,
    /// Maximum number of held packets.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_held")]
    pub held: usize,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// Logging.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Log {
    /// Format of log lines.
    #[serde(default)]
    pub format: Format,
}

/// All settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The fabric.
    pub fabric: Fabric,
    /// Secret of the flow hash, equal on all instances.
    pub flow_secret: hash::Secret,
    /// This instance.
    pub instance: Instance,
    /// Limits on the use of resources.
    pub limits: Limits,
    /// Logging.
    pub log: Log,
    /// Control addresses of the other instances by number.
    pub peers: BTreeMap<key::Instance, SocketAddr>,
    /// The platform.
    pub platform: Platform,
    /// Keys of the frames between instances.
    pub keyring: wire::Keyring,
}

fn default_shards() -> u16 {
    1
}

fn default_stop_delay() -> Duration {
    Duration::from_secs(2)
}

/// Default of the maximum time that a watch request waits.
pub fn default_watch() -> Duration {
    Duration::from_secs(30)
}

fn default_budget() -> u64 {
    1_500
}

fn default_entries() -> usize {
    1 << 20
}

fn default_held() -> usize {
    1_024
}

/// Keys of each section. The keys of `peers` are instance numbers.
const SCHEMA: ini::Schema = &[
    (
        "fabric",
        &[("format", "ip, cookie"), ("return_address", ini::ADDRESS)],
    ),
    (
        "instance",
        &[
            ("address", "an IP address"),
            ("control_port", ini::PORT),
            ("number", "a number from 0 to 31"),
            ("shards", ini::COUNT),
            ("status", ini::ADDRESS),
            ("stop_delay", ini::TIME),
            ("traffic_port", ini::PORT),
            ("zone", "a name"),
        ],
    ),
    (
        "keys",
        &[
            ("accepted", "NUMBER:SECRET"),
            ("current", "NUMBER:SECRET"),
            ("flow", ini::SECRET),
        ],
    ),
    (
        "limits",
        &[
            ("control_budget", ini::SIZE),
            ("entries", ini::COUNT),
            ("held", ini::COUNT),
        ],
    ),
    ("log", &[("format", "text, json")]),
    ("peers", &[]),
    (
        "platform",
        &[("address", ini::ADDRESS), ("watch", ini::TIME)],
    ),
];

/// Parses settings. `file` is the name of the source in errors, which are `SettingsSyntax`,
/// `SettingsUnknownKey`, `SettingsValue` and `SettingsMissingKey`.
pub fn parse(file: &str, text: &str) -> fault::Result<Settings> {
    let reader = ini::Reader::scan(file, text, SCHEMA)?;
    let instance: Instance = reader.read("instance")?;
    if usize::from(instance.number) >= view::MAX_INSTANCES {
        let line = reader.value("instance", "number")?.line;
        let text = format!(
            "instance.number: found {}, allowed: 0 to 31",
            instance.number
        );
        return Err(reader.error(code::Code::SettingsValue, line, text));
    }
    Ok(Settings {
        fabric: reader.read("fabric")?,
        flow_secret: read_flow_secret(&reader)?,
        limits: reader.read("limits")?,
        log: reader.read("log")?,
        peers: read_peers(&reader)?,
        platform: reader.read("platform")?,
        keyring: read_keyring(&reader)?,
        instance,
    })
}

fn read_peers(reader: &ini::Reader<'_>) -> fault::Result<BTreeMap<key::Instance, SocketAddr>> {
    let mut peers = BTreeMap::new();
    for (number, value) in reader.section("peers") {
        let parsed = number
            .parse::<u16>()
            .ok()
            .filter(|number| usize::from(*number) < view::MAX_INSTANCES)
            .zip(value.text.parse().ok());
        let Some((number, address)) = parsed else {
            let text = format!(
                "peers.{number}: found \"{}\", allowed: a number from 0 to 31 = address:port",
                value.text
            );
            return Err(reader.error(code::Code::SettingsValue, value.line, text));
        };
        peers.insert(key::Instance(number), address);
    }
    Ok(peers)
}

/// Reads the secret of the flow hash. Errors are `SettingsValue` and `SettingsMissingKey`.
pub fn read_flow_secret(reader: &ini::Reader<'_>) -> fault::Result<hash::Secret> {
    let value = reader.value("keys", "flow")?;
    let (first, second) = unit::parse_secret(&value.text).ok_or_else(|| {
        let text = "keys.flow: allowed: 32 hexadecimal digits";
        reader.error(code::Code::SettingsValue, value.line, text)
    })?;
    Ok(hash::Secret { first, second })
}

/// Reads `current` and the optional `accepted` key, each in the form `number:digits`. Errors are
/// `SettingsValue` and `SettingsMissingKey`.
pub fn read_keyring(reader: &ini::Reader<'_>) -> fault::Result<wire::Keyring> {
    let mut keys = vec![read_key(
        reader,
        "current",
        &reader.value("keys", "current")?,
    )?];
    if let Some(value) = reader.section("keys").get("accepted") {
        keys.push(read_key(reader, "accepted", value)?);
    }
    Ok(wire::Keyring { keys })
}

fn read_key(reader: &ini::Reader<'_>, name: &str, value: &ini::Value) -> fault::Result<wire::Key> {
    let parsed = value.text.split_once(':').and_then(|(number, digits)| {
        Some(wire::Key {
            number: number.parse().ok()?,
            secret: unit::parse_secret(digits)?,
        })
    });
    parsed.ok_or_else(|| {
        let text =
            format!("keys.{name}: allowed: a number from 0 to 255, `:`, 32 hexadecimal digits");
        reader.error(code::Code::SettingsValue, value.line, text)
    })
}
