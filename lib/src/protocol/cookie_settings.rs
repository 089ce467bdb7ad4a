//! Settings of an instance that forwards by cookie.
//!
//! Such an instance has no number and no list of peers: it discovers its peers through seeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde_with::DisplayFromStr;
use serde_with::StringWithSeparator;
use serde_with::formats::CommaSeparator;

use crate::coordination::hash;
use crate::protocol::{fault, ini, settings, unit, wire};
use crate::state::{bound, code};

/// Bounds that the deployment guarantees.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Factor on the request rate that a cold target with a budget bears.
    #[serde_as(as = "DisplayFromStr")]
    pub cold_overload: f64,
    /// Requests that a cold target may get in one second beyond its rate.
    #[serde_as(as = "DisplayFromStr")]
    pub cold_slack: f64,
    /// Time in which a configuration is in force on all instances.
    #[serde_as(as = "unit::Span")]
    pub config: Duration,
    /// Time after which a draining target gets no new flows.
    #[serde_as(as = "unit::Span")]
    pub drain: Duration,
    /// Time after which an evacuated zone gets no new flows.
    #[serde_as(as = "unit::Span")]
    pub evacuation: Duration,
    /// Time after a disturbance for which an instance is not held to the other bounds.
    #[serde_as(as = "unit::Span")]
    pub stability: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        let bound::Bounds {
            cold_overload,
            cold_slack,
            config,
            drain,
            evacuation,
            stability,
        } = bound::Bounds::default();
        Self {
            cold_overload,
            cold_slack,
            config,
            drain,
            evacuation,
            stability,
        }
    }
}

impl Bounds {
    /// The bounds as decisions use them.
    pub fn convert(&self) -> bound::Bounds {
        bound::Bounds {
            cold_overload: self.cold_overload,
            cold_slack: self.cold_slack,
            config: self.config,
            drain: self.drain,
            evacuation: self.evacuation,
            stability: self.stability,
        }
    }
}

/// This instance.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Instance {
    /// Address for heartbeats (UDP) and for the transfer of registry data (TCP).
    #[serde_as(as = "DisplayFromStr")]
    pub control: SocketAddr,
    /// Features that the deployment asks for; unknown names have no effect.
    #[serde_as(as = "StringWithSeparator::<CommaSeparator, CompactString>")]
    #[serde(default)]
    pub features: Vec<CompactString>,
    /// Address of the metrics page.
    #[serde_as(as = "DisplayFromStr")]
    pub metrics: SocketAddr,
    /// Name in logs.
    pub name: CompactString,
    /// Names of the regions of zones, as `ZONE:REGION` separated by commas.
    #[serde(default)]
    pub regions: CompactString,
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
    /// Time for which the platform keeps the history of its changes.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_history")]
    pub history: Duration,
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
    /// Bounds that the deployment guarantees.
    pub bounds: Bounds,
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
    /// Names of the regions of zones.
    pub regions: BTreeMap<CompactString, CompactString>,
    /// Control addresses of some instances. The list may be out of date.
    pub seeds: Vec<SocketAddr>,
}

impl Settings {
    /// The longest wait of one watch call: as set, but no longer than the bounds allow.
    pub fn watch(&self) -> Duration {
        self.platform.watch.min(self.bounds.convert().watch())
    }
}

/// Time for which the fabric may keep sending after the instance has become unready: two failed
/// checks, half a second apart, and a margin for slow checks.
fn default_stop_delay() -> Duration {
    Duration::from_millis(3_500)
}

fn default_write_interval() -> Duration {
    Duration::from_millis(1_200)
}

fn default_history() -> Duration {
    Duration::from_secs(20)
}

const SCHEMA: ini::Schema = &[
    (
        "bounds",
        &[
            ("cold_overload", NUMBER_FORMAT),
            ("cold_slack", NUMBER_FORMAT),
            ("config", ini::TIME),
            ("drain", ini::TIME),
            ("evacuation", ini::TIME),
            ("stability", ini::TIME),
        ],
    ),
    ("fabric", &[("format", "cookie")]),
    (
        "instance",
        &[
            ("control", ini::ADDRESS),
            ("features", "names, separated by commas"),
            ("metrics", ini::ADDRESS),
            ("name", "a name"),
            ("regions", REGIONS_FORMAT),
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
            ("history", ini::TIME),
            ("watch", ini::TIME),
            ("write_interval", WRITE_INTERVAL_FORMAT),
        ],
    ),
];

const WRITE_INTERVAL_FORMAT: &str = "a time from 100ms to 5m";
const NUMBER_FORMAT: &str = "a number such as 1.5";
const REGIONS_FORMAT: &str = "ZONE:REGION, separated by commas, or nothing";
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
    let regions = read_regions(&reader, &instance.regions)?;
    Ok(Settings {
        bounds: reader.read("bounds")?,
        flow_secret: settings::read_flow_secret(&reader)?,
        instance,
        log: reader.read("log")?,
        platform,
        keyring: settings::read_keyring(&reader)?,
        regions,
        seeds,
    })
}

/// Reads the names of the regions of zones.
fn read_regions(
    reader: &ini::Reader<'_>,
    text: &str,
) -> fault::Result<BTreeMap<CompactString, CompactString>> {
    let items = text.split(',').map(str::trim);
    items
        .filter(|item| !item.is_empty())
        .map(|item| match item.split_once(':') {
            Some((zone, region)) if !zone.is_empty() && !region.is_empty() => {
                Ok((zone.into(), region.into()))
            }
            _ => {
                let line = reader.value("instance", "regions")?.line;
                let text = format!("instance.regions: found \"{item}\", allowed: {REGIONS_FORMAT}");
                Err(reader.error(code::Code::SettingsValue, line, text))
            }
        })
        .collect()
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
