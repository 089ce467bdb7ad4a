//! The sheet's documents: TOML with `[[zone]]`, `[[service]]` and `[[target]]` tables.
//!
//! A sheet may be split into documents in any way; their items are read as one sheet. Parsing
//! yields a draft with the location of each item. `coordination::sheet` checks the draft.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use toml::Spanned;

use crate::coordination::{home_table, message, sheet};
use crate::protocol::{fault, manifest, unit};
use crate::state::{code, fleet, packet};

/// Idle timeout of a service if the sheet sets none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(300);
/// Flexible share of a service if the sheet sets none, in parts per million.
const DEFAULT_FLEXIBLE_SHARE: u32 = 100_000;
/// Slots of a target if the sheet sets none.
const DEFAULT_SLOTS: u32 = 1;
/// Maximum number of connections of a target if the sheet sets none.
const DEFAULT_CONNECTIONS: u32 = 2_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    service: Vec<Spanned<Service>>,
    #[serde(default)]
    target: Vec<Spanned<Target>>,
    #[serde(default)]
    zone: Vec<Spanned<Zone>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Zone {
    name: CompactString,
}

#[serde_with::serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Service {
    address: IpAddr,
    #[serde(default = "default_buckets")]
    buckets: u32,
    connection_limit: Option<u32>,
    #[serde_as(as = "unit::Share")]
    #[serde(default = "default_flexible_share")]
    flexible_share: u32,
    #[serde_as(as = "unit::Span")]
    #[serde(default = "default_idle_timeout")]
    idle_timeout: Duration,
    name: CompactString,
    #[serde(default)]
    objective: Objective,
    port: u16,
    protocol: packet::Protocol,
}

#[serde_with::serde_as]
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Objective {
    #[serde_as(as = "Option<unit::Share>")]
    broken: Option<u32>,
    imbalance: Option<f64>,
    #[serde_as(as = "Option<unit::Share>")]
    refused: Option<u32>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    #[default]
    Active,
    Draining,
}

#[serde_with::serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Target {
    address: SocketAddr,
    #[serde(default = "default_connections")]
    connections: u32,
    #[serde_as(as = "Option<unit::Span>")]
    #[serde(default)]
    drain_deadline: Option<Duration>,
    health: Option<SocketAddr>,
    name: CompactString,
    service: CompactString,
    #[serde(default = "default_slots")]
    slots: u32,
    #[serde(default)]
    state: State,
    zone: CompactString,
}

fn default_buckets() -> u32 {
    home_table::DEFAULT_BUCKETS
}

fn default_flexible_share() -> u32 {
    DEFAULT_FLEXIBLE_SHARE
}

fn default_idle_timeout() -> Duration {
    DEFAULT_IDLE_TIMEOUT
}

fn default_connections() -> u32 {
    DEFAULT_CONNECTIONS
}

fn default_slots() -> u32 {
    DEFAULT_SLOTS
}

/// Byte offsets at which the lines of a text begin.
struct Lines(Vec<usize>);

impl Lines {
    fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self(
            std::iter::once(0)
                .chain(breaks.map(|(offset, _)| offset + 1))
                .collect(),
        )
    }

    /// The line of a byte offset, from 1.
    fn at(&self, offset: usize) -> usize {
        self.0.partition_point(|start| *start <= offset)
    }
}

/// Parses one document and adds its items to a draft.
fn parse_document(
    document: &message::Document,
    draft: &mut sheet::Draft,
) -> Result<(), sheet::Error> {
    let text = &document.text;
    let lines = Lines::new(text);
    let location = |offset: usize| sheet::Location {
        document: document.name.clone(),
        line: lines.at(offset),
    };
    if text.len() > sheet::MAX_DOCUMENT_BYTES {
        return Err(sheet::Error {
            allowed: format!("at most {} bytes", sheet::MAX_DOCUMENT_BYTES),
            code: code::Code::SheetSize,
            found: format!("{} bytes", text.len()),
            key: "document".into(),
            location: location(0),
        });
    }
    let parsed: Document =
        toml::from_str(text).map_err(|error| syntax_error(text, &error, location))?;
    for zone in parsed.zone {
        let at = location(zone.span().start);
        draft.zones.push((zone.into_inner().name, at));
    }
    for service in parsed.service {
        let at = location(service.span().start);
        draft
            .services
            .push(convert_service(service.into_inner(), at));
    }
    for target in parsed.target {
        let at = location(target.span().start);
        draft.targets.push(convert_target(target.into_inner(), at));
    }
    Ok(())
}

fn syntax_error(
    text: &str,
    error: &toml::de::Error,
    location: impl Fn(usize) -> sheet::Location,
) -> sheet::Error {
    let span = error.span().unwrap_or(0..0);
    let line = text[..span.start.min(text.len())]
        .rfind('\n')
        .map_or(0, |index| index + 1);
    let key = text[line..].split(['=', '\n']).next().unwrap_or("").trim();
    let found = text
        .get(span.clone())
        .unwrap_or("")
        .lines()
        .next()
        .unwrap_or("")
        .trim();
    sheet::Error {
        allowed: error.message().replace('\n', " "),
        code: code::Code::SheetSyntax,
        found: format!("`{found}`"),
        key: key.into(),
        location: location(span.start),
    }
}

fn convert_service(service: Service, location: sheet::Location) -> sheet::Service {
    let default = fleet::Objective::default();
    let imbalance = service
        .objective
        .imbalance
        .map(|ratio| (ratio * 1_000.0) as u32);
    sheet::Service {
        spec: fleet::Service {
            address: service.address,
            buckets: service.buckets,
            connection_limit: service.connection_limit,
            flexible_share: (service.flexible_share / 1_000) as u16,
            idle_timeout: service.idle_timeout,
            name: service.name,
            objective: fleet::Objective {
                broken: service.objective.broken.unwrap_or(default.broken),
                imbalance: imbalance.unwrap_or(default.imbalance),
                refused: service.objective.refused.unwrap_or(default.refused),
            },
            port: service.port,
            protocol: service.protocol,
        },
        location,
    }
}

fn convert_target(target: Target, location: sheet::Location) -> sheet::Target {
    sheet::Target {
        address: target.address,
        max_connections: target.connections,
        state: match target.state {
            State::Active => fleet::State::Active,
            State::Draining => fleet::State::Draining {
                deadline: target.drain_deadline,
            },
        },
        health: target.health,
        name: target.name,
        location,
        service: target.service,
        slots: target.slots,
        zone: target.zone,
    }
}

/// Parses documents into a draft. The error has one item for each document that cannot be parsed.
pub fn draft(
    revision: u64,
    documents: &[message::Document],
) -> Result<sheet::Draft, Vec<sheet::Error>> {
    let mut draft = sheet::Draft {
        revision,
        ..sheet::Draft::default()
    };
    let errors: Vec<sheet::Error> = documents
        .iter()
        .filter_map(|document| parse_document(document, &mut draft).err())
        .collect();
    if errors.is_empty() {
        Ok(draft)
    } else {
        Err(errors)
    }
}

/// A report with one line for each error and with the code of the first error.
pub fn error_report(errors: &[sheet::Error]) -> error_stack::Report<fault::Fault> {
    let code = errors
        .first()
        .map_or(code::Code::SheetSyntax, |error| error.code);
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    fault::report(code, lines.join("\n"))
}

/// Checks a published sheet: the manifest, the digests of the documents, their syntax, and their
/// values. `previous` is the sheet in force. Errors are `ManifestSyntax` and the codes of sheets.
pub fn accept(
    bundle: &message::Bundle,
    previous: Option<&fleet::Sheet>,
) -> fault::Result<fleet::Sheet> {
    let manifest = manifest::parse(&bundle.manifest)?;
    for named in &manifest.documents {
        let found = bundle
            .documents
            .iter()
            .find(|document| document.name == named.name);
        let matches = found.is_some_and(|found| manifest::digest(&found.text) == named.digest);
        if !matches {
            return Err(fault::report(
                code::Code::SheetDigest,
                format!(
                    "{}: the text does not match digest {}",
                    named.name, named.digest
                ),
            ));
        }
    }
    let named = |document: &&message::Document| {
        manifest
            .documents
            .iter()
            .any(|named| named.name == document.name)
    };
    let documents: Vec<message::Document> =
        bundle.documents.iter().filter(named).cloned().collect();
    let draft = draft(manifest.revision, &documents).map_err(|errors| error_report(&errors))?;
    sheet::check(&draft, previous).map_err(|errors| error_report(&errors))
}
