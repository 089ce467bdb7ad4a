//! Settings of the daemon: INI sections with checked keys and units in values.
//!
//! Every section is a struct read through `serde`; the line of each key is kept so that an error
//! names file, line, key, what was found and what is allowed.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use ini_core::{Item, Parser};
use serde::Deserialize;
use serde::de::value::MapDeserializer;
use serde_with::DisplayFromStr;

use crate::coordination::hash;
use crate::protocol::{fault, unit, wire};
use crate::state::{code, key, view};

/// This instance.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Instance {
    /// Address of the traffic and control sockets.
    #[serde_as(as = "DisplayFromStr")]
    pub address: IpAddr,
    /// Port of heartbeats (UDP) and sheet transfer (TCP).
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
    /// Time to go on forwarding after a planned stop has handed everything over.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_stop_delay")]
    pub stop_delay: Duration,
    /// Port of the first traffic thread; the others follow.
    #[serde_as(as = "DisplayFromStr")]
    pub traffic_port: u16,
    /// Availability zone.
    pub zone: CompactString,
}

/// The fabric.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Fabric {
    /// Where encapsulated packets to callers go.
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
    /// Longest time that a watch waits.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_watch")]
    pub watch: Duration,
}

/// Bounds.
#[serde_with::serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Bytes a second that replicas of flow entries may take.
    #[serde_as(as = "unit::Bytes")]
    #[serde(default = "default_budget")]
    pub control_budget: u64,
    /// Largest number of flow entries.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_entries")]
    pub entries: usize,
    /// Largest number of held packets.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_held")]
    pub held: usize,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for people.
    #[default]
    Text,
}

/// Logging.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Log {
    /// Form of the lines.
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
    /// Bounds.
    pub limits: Limits,
    /// Logging.
    pub log: Log,
    /// Control addresses of the other instances by number.
    pub peers: BTreeMap<key::Instance, SocketAddr>,
    /// The platform.
    pub platform: Platform,
    /// Keys of the frames between instances.
    pub ring: wire::Ring,
}

fn default_shards() -> u16 {
    1
}

fn default_stop_delay() -> Duration {
    Duration::from_secs(2)
}

fn default_watch() -> Duration {
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

/// A key and what it allows.
type Key = (&'static str, &'static str);

const ADDRESS: &str = "ADDRESS:PORT";
const COUNT: &str = "a whole number";
const PORT: &str = "a port from 1 to 65535";
const SECRET: &str = "32 hexadecimal digits";
const SIZE: &str = "a size such as 64KiB";
const TIME: &str = "a time such as 250ms or 5m";

/// Keys of each section; `peers` has numbers for keys.
const SECTIONS: [(&str, &[Key]); 7] = [
    ("fabric", &[("return_address", ADDRESS)]),
    (
        "instance",
        &[
            ("address", "an IP address"),
            ("control_port", PORT),
            ("number", "a number from 0 to 31"),
            ("shards", COUNT),
            ("status", ADDRESS),
            ("stop_delay", TIME),
            ("traffic_port", PORT),
            ("zone", "a name"),
        ],
    ),
    (
        "keys",
        &[
            ("accepted", "NUMBER:SECRET"),
            ("current", "NUMBER:SECRET"),
            ("flow", SECRET),
        ],
    ),
    (
        "limits",
        &[
            ("control_budget", SIZE),
            ("entries", COUNT),
            ("held", COUNT),
        ],
    ),
    ("log", &[("format", "text, json")]),
    ("peers", &[]),
    ("platform", &[("address", ADDRESS), ("watch", TIME)]),
];

/// What a key allows.
fn allowed(section: &str, key: &str) -> &'static str {
    SECTIONS
        .iter()
        .filter(|(name, _)| *name == section)
        .flat_map(|(_, keys)| *keys)
        .find(|(name, _)| *name == key)
        .map_or("", |(_, allowed)| *allowed)
}

/// One value and its line.
#[derive(Clone, Debug)]
struct Value {
    line: usize,
    text: String,
}

type Section = BTreeMap<String, Value>;

struct Reader<'a> {
    file: &'a str,
    sections: BTreeMap<String, Section>,
}

impl Reader<'_> {
    fn error(
        &self,
        code: code::Code,
        line: usize,
        text: impl std::fmt::Display,
    ) -> error_stack::Report<fault::Fault> {
        let place = if line == 0 {
            String::new()
        } else {
            format!("{line}:")
        };
        fault::report(code, format!("{}:{place} {code}: {text}", self.file))
    }

    fn section(&self, name: &str) -> Section {
        self.sections.get(name).cloned().unwrap_or_default()
    }

    /// Reads a section into its struct.
    fn read<T: for<'a> Deserialize<'a>>(&self, name: &str) -> fault::Result<T> {
        let section = self.section(name);
        let pairs = section
            .iter()
            .map(|(key, value)| (key.as_str(), value.text.as_str()));
        let map = MapDeserializer::<_, serde::de::value::Error>::new(pairs);
        serde_path_to_error::deserialize(map).map_err(|error| {
            let key = error.path().to_string();
            let text = error.inner().to_string();
            match section.get(&key) {
                Some(value) => self.error(
                    code::Code::SettingsValue,
                    value.line,
                    format!(
                        "{name}.{key}: found \"{}\", allowed: {}",
                        value.text,
                        allowed(name, &key)
                    ),
                ),
                None => self.error(
                    code::Code::SettingsMissingKey,
                    0,
                    format!("[{name}]: {text}"),
                ),
            }
        })
    }

    fn value(&self, section: &str, key: &str) -> fault::Result<Value> {
        self.section(section).get(key).cloned().ok_or_else(|| {
            self.error(
                code::Code::SettingsMissingKey,
                0,
                format!("[{section}]: missing `{key}`"),
            )
        })
    }
}

/// Reads settings; `file` names the source in errors.
pub fn parse(file: &str, text: &str) -> fault::Result<Settings> {
    let mut reader = Reader {
        file,
        sections: BTreeMap::new(),
    };
    scan(&mut reader, text)?;
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
        ring: read_ring(&reader)?,
        instance,
    })
}

fn scan(reader: &mut Reader<'_>, text: &str) -> fault::Result<()> {
    let mut section = String::new();
    for (index, line) in text.lines().enumerate() {
        let line_number = index + 1;
        // Item by item, so that each keeps the number of its line.
        for item in Parser::new(line).auto_trim(true) {
            match item {
                Item::Section(name) => {
                    check_name(reader, line_number, "section", name, &section_names())?;
                    section = name.to_owned();
                }
                Item::Property(key, value) => {
                    add_value(reader, line_number, &section, key, value.unwrap_or(""))?;
                }
                Item::Error(found) => {
                    let text =
                        format!("found `{found}`, allowed: [section], key = value, ; comment");
                    return Err(reader.error(code::Code::SettingsSyntax, line_number, text));
                }
                _ => {}
            }
        }
    }
    Ok(())
}

fn section_names() -> Vec<&'static str> {
    SECTIONS.iter().map(|(name, _)| *name).collect()
}

fn add_value(
    reader: &mut Reader<'_>,
    line: usize,
    section: &str,
    key: &str,
    value: &str,
) -> fault::Result<()> {
    let known = SECTIONS
        .iter()
        .find(|(name, _)| *name == section)
        .map(|(_, keys)| *keys);
    match known {
        None => {
            let text = format!("`{key}` stands before any section");
            return Err(reader.error(code::Code::SettingsSyntax, line, text));
        }
        Some([]) => {}
        Some(keys) => {
            let names: Vec<&str> = keys.iter().map(|(name, _)| *name).collect();
            check_name(reader, line, "key", key, &names)?;
        }
    }
    let value = Value {
        line,
        text: value.to_owned(),
    };
    let former = reader
        .sections
        .entry(section.to_owned())
        .or_default()
        .insert(key.to_owned(), value);
    match former {
        Some(former) => {
            let text = format!(
                "{section}.{key}: found again, first at line {}",
                former.line
            );
            Err(reader.error(code::Code::SettingsValue, line, text))
        }
        None => Ok(()),
    }
}

fn check_name(
    reader: &Reader<'_>,
    line: usize,
    what: &str,
    found: &str,
    allowed: &[&str],
) -> fault::Result<()> {
    if allowed.contains(&found) {
        return Ok(());
    }
    let nearest = allowed
        .iter()
        .min_by_key(|name| strsim::levenshtein(name, found))
        .filter(|name| strsim::levenshtein(name, found) <= 3);
    let hint = nearest.map_or(String::new(), |name| format!(" (did you mean `{name}`?)"));
    let text = format!(
        "found {what} `{found}`{hint}, allowed: {}",
        allowed.join(", ")
    );
    Err(reader.error(code::Code::SettingsUnknownKey, line, text))
}

fn read_peers(reader: &Reader<'_>) -> fault::Result<BTreeMap<key::Instance, SocketAddr>> {
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

fn read_flow_secret(reader: &Reader<'_>) -> fault::Result<hash::Secret> {
    let value = reader.value("keys", "flow")?;
    let (first, second) = unit::parse_secret(&value.text).ok_or_else(|| {
        let text = "keys.flow: allowed: 32 hexadecimal digits";
        reader.error(code::Code::SettingsValue, value.line, text)
    })?;
    Ok(hash::Secret { first, second })
}

/// Reads `current` and the optional `accepted` key, each as `number:digits`.
fn read_ring(reader: &Reader<'_>) -> fault::Result<wire::Ring> {
    let mut keys = vec![read_key(
        reader,
        "current",
        &reader.value("keys", "current")?,
    )?];
    if let Some(value) = reader.section("keys").get("accepted") {
        keys.push(read_key(reader, "accepted", value)?);
    }
    Ok(wire::Ring { keys })
}

fn read_key(reader: &Reader<'_>, name: &str, value: &Value) -> fault::Result<wire::Key> {
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
