//! Validation of a sheet, by one pure function for all instances and the command-line tool.
//!
//! A draft holds the contents of the documents, with the location of each item. `check` converts it
//! into a sheet or returns all of its errors.

use std::collections::HashMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use compact_str::CompactString;

use crate::coordination::home_table;
use crate::state::{code, fleet, key, packet, time};

/// Largest size of one document, in bytes; the platform stores no larger value.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Largest number of services.
const MAX_SERVICES: usize = 10_000;
/// Largest number of targets.
const MAX_TARGETS: usize = 50_000;

/// Location of an item in the documents.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Location {
    /// Name of the document.
    pub document: CompactString,
    /// Line number, from 1.
    pub line: usize,
}

/// A reason for which a sheet is rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    /// Allowed values.
    pub allowed: String,
    /// Result code.
    pub code: code::Code,
    /// Value that was found.
    pub found: String,
    /// Path of the key.
    pub key: CompactString,
    /// Location of the value.
    pub location: Location,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}: {}: {}: found {}, allowed: {}",
            self.location.document,
            self.location.line,
            self.code,
            self.key,
            self.found,
            self.allowed
        )
    }
}

/// A service in a draft.
#[derive(Clone, Debug)]
pub struct Service {
    /// Definition of the service.
    pub spec: fleet::Service,
    /// Location in the documents.
    pub location: Location,
}

/// A target in a draft.
#[derive(Clone, Debug)]
pub struct Target {
    /// Where encapsulated packets go.
    pub address: SocketAddr,
    /// Largest number of open connections.
    pub max_connections: u32,
    /// State that operators request.
    pub state: fleet::State,
    /// Address of the health endpoint, none if it is not probed.
    pub health: Option<SocketAddr>,
    /// Name of the target, unique in its service.
    pub name: CompactString,
    /// Location in the documents.
    pub location: Location,
    /// Name of its service.
    pub service: CompactString,
    /// Requests that it can process concurrently.
    pub slots: u32,
    /// Name of its zone.
    pub zone: CompactString,
}

/// Contents of the documents of one revision.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Revision of the manifest.
    pub revision: u64,
    /// Services.
    pub services: Vec<Service>,
    /// Targets.
    pub targets: Vec<Target>,
    /// Names and locations of availability zones.
    pub zones: Vec<(CompactString, Location)>,
}

/// Converts a draft into a sheet, or returns all errors of the draft. `previous` is the sheet in
/// force.
pub fn check(draft: &Draft, previous: Option<&fleet::Sheet>) -> Result<fleet::Sheet, Vec<Error>> {
    let mut errors = Vec::new();
    check_revision(draft, previous, &mut errors);
    check_sizes(draft, &mut errors);
    check_zones(draft, &mut errors);
    check_services(draft, &mut errors);
    check_buckets(draft, previous, &mut errors);
    let services: HashMap<&str, usize> = draft
        .services
        .iter()
        .enumerate()
        .map(|(index, service)| (service.spec.name.as_str(), index))
        .collect();
    let zones: HashMap<&str, usize> = draft
        .zones
        .iter()
        .enumerate()
        .map(|(index, (name, _))| (name.as_str(), index))
        .collect();
    let mut seen: HashMap<(&str, &str), &Location> = HashMap::new();
    let mut addresses: HashMap<(&str, SocketAddr), &Location> = HashMap::new();
    let mut targets = Vec::with_capacity(draft.targets.len());
    for target in &draft.targets {
        let identity = (target.service.as_str(), target.name.as_str());
        if let Some(first) = seen.insert(identity, &target.location) {
            errors.push(duplicate_value(
                &target.location,
                "target.name",
                &target.name,
                first,
            ));
        }
        let address = (target.service.as_str(), target.address);
        if let Some(first) = addresses.insert(address, &target.location) {
            let found = target.address.to_string();
            errors.push(duplicate_value(
                &target.location,
                "target.address",
                &found,
                first,
            ));
        }
        check_capacity(target, &mut errors);
        let service = resolve(
            &services,
            &target.service,
            "target.service",
            target,
            &mut errors,
        );
        let zone = resolve(&zones, &target.zone, "target.zone", target, &mut errors);
        if let (Some(service), Some(zone)) = (service, zone) {
            targets.push(fleet::Target {
                address: target.address,
                max_connections: target.max_connections,
                state: target.state,
                health: target.health,
                name: target.name.clone(),
                service: key::Service::from(service),
                slots: target.slots,
                zone: key::Zone::from(zone),
            });
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    Ok(fleet::Sheet {
        revision: draft.revision,
        services: draft
            .services
            .iter()
            .map(|service| service.spec.clone())
            .collect(),
        targets,
        zones: draft.zones.iter().map(|(name, _)| name.clone()).collect(),
    })
}

fn check_revision(draft: &Draft, previous: Option<&fleet::Sheet>, errors: &mut Vec<Error>) {
    let in_force = previous.map_or(0, |sheet| sheet.revision);
    if draft.revision <= in_force {
        errors.push(Error {
            allowed: format!("a revision above {in_force}"),
            code: code::Code::SheetRevision,
            found: draft.revision.to_string(),
            key: "revision".into(),
            location: Location {
                document: "manifest".into(),
                line: 1,
            },
        });
    }
}

fn check_sizes(draft: &Draft, errors: &mut Vec<Error>) {
    let sizes = [
        ("service", draft.services.len(), MAX_SERVICES),
        ("target", draft.targets.len(), MAX_TARGETS),
    ];
    for (key, found, limit) in sizes {
        if found > limit {
            errors.push(Error {
                allowed: format!("at most {limit}"),
                code: code::Code::SheetSize,
                found: found.to_string(),
                key: key.into(),
                location: Location {
                    document: "manifest".into(),
                    line: 1,
                },
            });
        }
    }
}

fn check_zones(draft: &Draft, errors: &mut Vec<Error>) {
    let mut seen: HashMap<&str, &Location> = HashMap::new();
    for (name, location) in &draft.zones {
        if let Some(first) = seen.insert(name, location) {
            errors.push(duplicate_value(location, "zone.name", name, first));
        }
    }
}

fn check_services(draft: &Draft, errors: &mut Vec<Error>) {
    let mut names: HashMap<&str, &Location> = HashMap::new();
    let mut addresses: HashMap<(IpAddr, u16, packet::Protocol), &Location> = HashMap::new();
    for service in &draft.services {
        let (spec, location) = (&service.spec, &service.location);
        if let Some(first) = names.insert(&spec.name, location) {
            errors.push(duplicate_value(location, "service.name", &spec.name, first));
        }
        if let Some(first) = addresses.insert((spec.address, spec.port, spec.protocol), location) {
            let found = format!("{}:{}", spec.address, spec.port);
            errors.push(duplicate_value(location, "service.address", &found, first));
        }
        if spec.flexible_share > 1_000 {
            errors.push(invalid_value(
                location,
                "service.flexible_share",
                spec.flexible_share,
                "0% to 100%",
            ));
        }
        if spec.port == 0 {
            errors.push(invalid_value(location, "service.port", 0, "1 to 65535"));
        }
        if spec.idle_timeout < time::Duration::from_secs(1) {
            let found = format!("{:?}", spec.idle_timeout);
            errors.push(invalid_value(
                location,
                "service.idle_timeout",
                found,
                "1s or more",
            ));
        }
    }
}

/// Checks the number of buckets. It determines the target of every flow, so it must not change
/// while flows are open.
fn check_buckets(draft: &Draft, previous: Option<&fleet::Sheet>, errors: &mut Vec<Error>) {
    let in_force: HashMap<&str, u32> = previous
        .into_iter()
        .flat_map(|sheet| &sheet.services)
        .map(|service| (service.name.as_str(), service.buckets))
        .collect();
    for service in &draft.services {
        let found = service.spec.buckets;
        let range = home_table::MIN_BUCKETS..=home_table::MAX_BUCKETS;
        if !found.is_power_of_two() || !range.contains(&found) {
            let allowed = "a power of two from 16 to 65536";
            errors.push(invalid_value(
                &service.location,
                "service.buckets",
                found,
                allowed,
            ));
        }
        if let Some(count) = in_force.get(service.spec.name.as_str())
            && *count != found
        {
            let allowed = format!("{count}, as in force");
            errors.push(invalid_value(
                &service.location,
                "service.buckets",
                found,
                &allowed,
            ));
        }
    }
}

fn check_capacity(target: &Target, errors: &mut Vec<Error>) {
    for (key, found) in [
        ("target.slots", target.slots),
        ("target.connections", target.max_connections),
    ] {
        if found == 0 {
            errors.push(invalid_value(&target.location, key, found, "1 or more"));
        }
    }
}

fn resolve(
    known: &HashMap<&str, usize>,
    name: &str,
    key: &str,
    target: &Target,
    errors: &mut Vec<Error>,
) -> Option<usize> {
    let index = known.get(name).copied();
    if index.is_none() {
        let mut names: Vec<&str> = known.keys().copied().collect();
        names.sort_unstable();
        errors.push(Error {
            allowed: format!("one of {}", names.join(", ")),
            code: code::Code::SheetReference,
            found: format!("\"{name}\""),
            key: key.into(),
            location: target.location.clone(),
        });
    }
    index
}

fn duplicate_value(location: &Location, key: &str, found: &str, first: &Location) -> Error {
    Error {
        allowed: format!("a value not used at {}:{}", first.document, first.line),
        code: code::Code::SheetDuplicate,
        found: format!("\"{found}\" again"),
        key: key.into(),
        location: location.clone(),
    }
}

fn invalid_value(location: &Location, key: &str, found: impl fmt::Display, allowed: &str) -> Error {
    Error {
        allowed: allowed.to_owned(),
        code: code::Code::SheetValue,
        found: found.to_string(),
        key: key.into(),
        location: location.clone(),
    }
}
