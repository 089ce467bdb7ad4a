//! The `/flow` page: owner and target of one flow, and the state of its bucket.

use std::time::Duration;

use crossbeam_channel::{Sender, bounded};

use crate::coordination::hash;
use crate::protocol::status;
use crate::state::{code, key, packet, view};
use crate::transport::{http_server, traffic};

/// Longest wait for a traffic thread's answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Answers `/flow?protocol=tcp&source=IP:PORT&destination=IP:PORT`.
pub fn respond(
    request: &http_server::Request,
    secret: hash::Secret,
    view: &view::View,
    traffic_commands: &[Sender<traffic::Command>],
) -> http_server::Response {
    let Some(tuple) = parse_tuple(request) else {
        let allowed = "protocol=tcp|udp&source=IP:PORT&destination=IP:PORT";
        return http_server::text(400, format!("{}: allowed: {allowed}\n", code::Code::Usage));
    };
    let Some(service) = view
        .service(&tuple)
        .and_then(|key| view.services.get(key.index()))
    else {
        return http_server::text(
            404,
            format!("{}: no service at the destination\n", code::Code::NotFound),
        );
    };
    let flow = hash::flow_key(secret, &tuple);
    let number = service.bucket(flow);
    let Some(bucket) = service.buckets.get(number.index()) else {
        return http_server::text(
            404,
            format!("{}: the service has no targets\n", code::Code::NotFound),
        );
    };
    let thread =
        &traffic_commands[usize::from(hash::shard(flow.low, traffic_commands.len() as u16))];
    let (answer, answers) = bounded(1);
    let query = traffic::query::Query { answer, flow };
    let entry = thread
        .try_send(traffic::Command::FindEntry(query))
        .ok()
        .and_then(|()| answers.recv_timeout(TIMEOUT).ok())
        .flatten();
    let address = |target: key::Target| view.target(target).map(|target| target.address);
    http_server::json(&status::Flow {
        bucket: number.0,
        copies: entry.map_or(0, |entry| entry.acked_replicas),
        entry_target: entry.and_then(|entry| address(entry.target)),
        fallback: address(bucket.fallback),
        home: address(bucket.home),
        mode: match bucket.mode {
            view::Mode::Direct => "direct",
            view::Mode::Own => "tracked, owned here",
            view::Mode::Relay => "tracked, owned elsewhere",
        }
        .into(),
        owner: bucket.owner.0,
        service: service.name.clone(),
        settling: bucket.settling,
    })
}

fn parse_tuple(request: &http_server::Request) -> Option<packet::Tuple> {
    let protocol = match request.query_value("protocol")? {
        "tcp" => packet::Protocol::Tcp,
        "udp" => packet::Protocol::Udp,
        _ => return None,
    };
    let source: std::net::SocketAddr = request.query_value("source")?.parse().ok()?;
    let destination: std::net::SocketAddr = request.query_value("destination")?.parse().ok()?;
    Some(packet::Tuple {
        destination: destination.ip(),
        destination_port: destination.port(),
        protocol,
        source: source.ip(),
        source_port: source.port(),
    })
}
