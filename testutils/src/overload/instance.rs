//! What an instance of the model knows of the deployment.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use quetzal_lib::coordination::cookie::registry;
use quetzal_lib::state::{catalog, key, snapshot, time};

use crate::overload;
use crate::overload::target;

const SERVICE: key::Service = key::Service(0);

/// Address of a route.
pub fn route(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1 + number as u8), 443)
}

/// The snapshot of an instance in a zone.
pub fn snapshot<A>(
    targets: &[target::Target<A>],
    zone: usize,
    now: u64,
    routes: usize,
) -> snapshot::Snapshot {
    let build = |(number, target): (usize, &target::Target<A>)| {
        let id = key::Id(number as u64 + 1);
        Some(snapshot::Target {
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
            cold_budget: None,
            region: None,
            cold_until: time::Instant(target.cold_until),
            cookie: registry::cookie(id),
            eligibility: snapshot::Eligibility::NewFlows,
            id,
            max_connections: u32::MAX,
            service: SERVICE,
            slots: overload::SLOTS as u16,
            zone: key::Zone(target.zone as u16),
        })
    };
    let keys = (0..targets.len()).map(key::Target::from);
    let cookies = keys
        .clone()
        .map(|key| (registry::cookie(key::Id(key.index() as u64 + 1)), key));
    let open = keys.filter(|key| targets[key.index()].is_open(now));
    let (local, others) = open.partition(|key| targets[key.index()].zone == zone);
    let route_to = snapshot::Route {
        objective: None,
        priority: 0,
        regions: Vec::new(),
        timeout: None,
        branches: vec![snapshot::Branch {
            service: SERVICE,
            weight: 1,
        }],
        idempotency: catalog::Idempotency::AtMostOnce,
        service_history: vec![SERVICE],
    };
    snapshot::Snapshot {
        as_of: catalog::Revision { era: 1, number: 1 },
        cookies: Arc::new(cookies.collect()),
        fresh_until: time::Instant::NEVER,
        pools: Arc::new(vec![snapshot::Pool::new(local, others)]),
        remotes: vec![snapshot::Remote::default(); targets.len()],
        routes: Arc::new(
            (0..routes)
                .map(|number| (route(number), route_to.clone()))
                .collect(),
        ),
        targets: Arc::new(targets.iter().enumerate().map(build).collect()),
        version: 1,
        zone: Some(key::Zone(zone as u16)),
        zones: Arc::new(
            (0..)
                .take(64)
                .map(|zone: u16| zone.to_string().into())
                .collect(),
        ),
        ..snapshot::Snapshot::default()
    }
}
