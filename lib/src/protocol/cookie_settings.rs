//! Settings of an instance that forwards by cookie.
//!
//! Such an instance has no number and no list of peers: it discovers its peers through seeds.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde_with::DisplayFromStr;

use crate::coordination::hash;
use crate::protocol::{fault, ini, settings, unit, wire};
use crate::state::code;

/// This instance.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Instance {
    /// Address for heartbeats (UDP) and for the transfer of registry data (TCP).
    #[serde_as(as = "DisplayFromStr")]
    pub control: SocketAddr,
    /// Address of the metrics page.
    #[serde_as(as = "DisplayFromStr")]
    pub metrics: SocketAddr,
    /// Name in logs.
    pub name: CompactString,
    /// Address of the status pages.
    #[serde_as(as = "DisplayFromStr")]
    pub status: SocketAddr,
    /// Time for which the instance keeps forwarding once a graceful shutdown has begun.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_stop_delay")]
    pub stop_delay: Duration,
    /// Address to which the fabric sends packets; packets to callers use the same port.
    #[serde_as(as = "DisplayFromStr")]
    pub traffic: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
}

/// The platform.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Platform {
    /// Address of the service.
    #[serde_as(as = "DisplayFromStr")]
    pub address: SocketAddr,
    /// Maximum time that a watch request waits for a change.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "settings::default_watch")]
    pub watch: Duration,
    /// Time between two writes of a target to its registration.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_write_interval")]
    pub write_interval: Duration,
}

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Secret of the flow hash, equal on all instances.
    pub flow_secret: hash::Secret,
    /// This instance.
    pub instance: Instance,
    /// Logging.
    pub log: settings::Log,
    /// The platform.
    pub platform: Platform,
    /// Keys of the frames between instances.
    pub keyring: wire::Keyring,
    /// Control addresses of some instances. The list may be out of date.
    pub seeds: Vec<SocketAddr>,
}

/// Time for which the fabric may keep sending after the instance has become unready: two failed
/// checks, half a second apart, and a margin for slow checks.
fn default_stop_delay() -> Duration {
    Duration::from_millis(3_500)
}

fn default_write_interval() -> Duration {
    Duration::from_millis(1_200)
}

const SCHEMA: ini::Schema = &[
    ("fabric", &[("format", "cookie")]),
    (
        "instance",
        &[
            ("control", ini::ADDRESS),
            ("metrics", ini::ADDRESS),
            ("name", "a name"),
            ("status", ini::ADDRESS),
            ("stop_delay", ini::TIME),
            ("traffic", ini::ADDRESS),
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
    ("log", &[("format", "text, json")]),
    ("peers", &[("seeds", SEEDS_FORMAT)]),
    (
        "platform",
        &[
            ("address", ini::ADDRESS),
            ("watch", ini::TIME),
            ("write_interval", WRITE_INTERVAL_FORMAT),
        ],
    ),
];

const WRITE_INTERVAL_FORMAT: &str = "a time from 100ms to 5m";
const SEEDS_FORMAT: &str = "ADDRESS:PORT, separated by commas, or nothing";

/// Whether the text of a settings file selects forwarding by cookie.
pub fn is_cookie_format(text: &str) -> bool {
    let mut in_fabric = false;
    text.lines().map(str::trim).any(|line| {
        if line.starts_with('[') {
            in_fabric = line == "[fabric]";
        }
        let pair = line.split_once('=');
        in_fabric
            && pair.is_some_and(|(key, value)| key.trim() == "format" && value.trim() == "cookie")
    })
}

/// Parses settings. `file` is the name of the source in errors, which are `SettingsSyntax`,
/// `SettingsUnknownKey`, `SettingsValue` and `SettingsMissingKey`.
pub fn parse(file: &str, text: &str) -> fault::Result<Settings> {
    let reader = ini::Reader::scan(file, text, SCHEMA)?;
    let instance: Instance = reader.read("instance")?;
    let seeds = read_seeds(&reader, instance.control.port())?;
    if instance.metrics == instance.status {
        let line = reader.value("instance", "metrics")?.line;
        let text = "instance.metrics: allowed: another address than instance.status";
        return Err(reader.error(code::Code::SettingsValue, line, text));
    }
    let platform: Platform = reader.read("platform")?;
    let interval = platform.write_interval;
    if interval < Duration::from_millis(100) || interval > Duration::from_secs(300) {
        let line = reader.value("platform", "write_interval")?.line;
        let text = format!("platform.write_interval: allowed: {WRITE_INTERVAL_FORMAT}");
        return Err(reader.error(code::Code::SettingsValue, line, text));
    }
    Ok(Settings {
        flow_secret: settings::read_flow_secret(&reader)?,
        instance,
        log: reader.read("log")?,
        platform,
        keyring: settings::read_keyring(&reader)?,
        seeds,
    })
}

/// Reads the seeds. The ports in the list may be those of other services on the machines. All
/// instances listen for heartbeats on the same port, so `port` replaces them.
fn read_seeds(reader: &ini::Reader<'_>, port: u16) -> fault::Result<Vec<SocketAddr>> {
    let section = reader.section("peers");
    let Some(value) = section.get("seeds") else {
        return Ok(Vec::new());
    };
    let items = value.text.split(',').map(str::trim);
    items
        .filter(|item| !item.is_empty())
        .map(|item| {
            let address: Result<SocketAddr, _> = item.parse();
            address
                .map(|address| SocketAddr::new(address.ip(), port))
                .map_err(|_| {
                    let text = format!("peers.seeds: found \"{item}\", allowed: {SEEDS_FORMAT}");
                    reader.error(code::Code::SettingsValue, value.line, text)
                })
        })
        .collect()
}
