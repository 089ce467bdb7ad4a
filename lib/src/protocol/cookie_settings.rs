//! Settings of an instance that forwards by cookie.
//!
//! Such an instance needs no number and no list of peers: it finds the others through seeds.

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
    /// Address of heartbeats (UDP) and of the transfer of facts (TCP).
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
    /// Time to go on forwarding after a planned stop has begun.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_stop_delay")]
    pub stop_delay: Duration,
    /// Address to which the fabric sends packets; packets to callers use the same port.
    #[serde_as(as = "DisplayFromStr")]
    pub traffic: SocketAddr,
    /// Availability zone.
    pub zone: CompactString,
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
    pub platform: settings::Platform,
    /// Keys of the frames between instances.
    pub keyring: wire::Keyring,
    /// Control addresses of some instances, which may be stale.
    pub seeds: Vec<SocketAddr>,
}

/// How long the fabric may go on sending after the instance stops being ready: two checks that
/// fail, half a second apart, and a margin for slow ones.
fn default_stop_delay() -> Duration {
    Duration::from_millis(3_500)
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
        &[("address", ini::ADDRESS), ("watch", ini::TIME)],
    ),
];

const SEEDS_FORMAT: &str = "ADDRESS:PORT, separated by commas, or nothing";

/// Whether a file has settings of this form.
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

/// Reads settings; `file` names the source in errors.
pub fn parse(file: &str, text: &str) -> fault::Result<Settings> {
    let reader = ini::Reader::scan(file, text, SCHEMA)?;
    let instance: Instance = reader.read("instance")?;
    let seeds = read_seeds(&reader, instance.control.port())?;
    if instance.metrics == instance.status {
        let line = reader.value("instance", "metrics")?.line;
        let text = "instance.metrics: allowed: another address than instance.status";
        return Err(reader.error(code::Code::SettingsValue, line, text));
    }
    Ok(Settings {
        flow_secret: settings::read_flow_secret(&reader)?,
        instance,
        log: reader.read("log")?,
        platform: reader.read("platform")?,
        keyring: settings::read_keyring(&reader)?,
        seeds,
    })
}

/// Reads the seeds. They name machines by whatever port they serve others on; instances listen for
/// heartbeats on the same port everywhere.
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
