//! Sheets for tests.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use quetzal_lib::coordination::{home_table, message};
use quetzal_lib::protocol::manifest;
use quetzal_lib::state::{fleet, key, packet};

/// A service of a test sheet.
#[derive(Clone, Debug)]
pub struct Service {
    /// Maximum number of open flows.
    pub connection_limit: Option<u32>,
    /// Numbers of the targets that drain.
    pub draining: Vec<u32>,
    /// Share of the buckets that are always tracked, in per mille.
    pub flexible_share: u16,
    /// Time without a packet after which a flow ends.
    pub idle_timeout: Duration,
    /// Name of the service; a target's name is this and its number.
    pub name: &'static str,
    /// Transport protocol.
    pub protocol: packet::Protocol,
    /// Slots of each target.
    pub slots: u32,
    /// Numbers of all targets.
    pub targets: Vec<u32>,
}

impl Service {
    /// A TCP service with targets numbered from 1.
    pub fn new(name: &'static str, targets: u32, flexible_share: u16) -> Self {
        Self {
            connection_limit: None,
            draining: Vec::new(),
            flexible_share,
            idle_timeout: Duration::from_secs(20),
            name,
            protocol: packet::Protocol::Tcp,
            slots: 3,
            targets: (1..=targets).collect(),
        }
    }
}

/// Public address of the service with an index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, index as u8 + 1)), 80)
}

/// A sheet with services and their targets, in four zones.
pub fn sheet(revision: u64, services: &[Service]) -> fleet::Sheet {
    let mut targets = Vec::new();
    for (index, service) in services.iter().enumerate() {
        for number in &service.targets {
            let address = Ipv4Addr::new(10, 1, index as u8, *number as u8);
            let state = if service.draining.contains(number) {
                fleet::State::Draining { deadline: None }
            } else {
                fleet::State::Active
            };
            targets.push(fleet::Target {
                address: SocketAddr::new(IpAddr::V4(address), 6_080),
                max_connections: 2_000,
                state,
                health: Some(SocketAddr::new(IpAddr::V4(address), 8_000)),
                name: format!("{}-{number}", service.name).into(),
                service: key::Service::from(index),
                slots: service.slots,
                zone: key::Zone::from(*number as usize % 4),
            });
        }
    }
    fleet::Sheet {
        revision,
        services: services
            .iter()
            .enumerate()
            .map(|(index, service)| fleet::Service {
                address: address(index).ip(),
                buckets: home_table::DEFAULT_BUCKETS,
                connection_limit: service.connection_limit,
                flexible_share: service.flexible_share,
                idle_timeout: service.idle_timeout,
                name: service.name.into(),
                objective: fleet::Objective::default(),
                port: 80,
                protocol: service.protocol,
            })
            .collect(),
        targets,
        zones: (0..4).map(|zone| format!("zone-{zone}").into()).collect(),
    }
}

/// A published sheet with one document.
pub fn bundle(revision: u64, name: &str, text: &str) -> message::Bundle {
    let documents = vec![message::Document {
        name: name.into(),
        text: text.to_owned(),
    }];
    let manifest = manifest::write(revision, &documents);
    message::Bundle {
        documents,
        manifest,
    }
}
