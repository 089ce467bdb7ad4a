//! Log lines of an instance that forwards by cookie.
//!
//! Every line about a flow has the flow's identifier, which is the same on every instance, and the
//! revision and age of the registry data that the decision was based on.

use crate::coordination::cookie::{controller, cookies, peers, registry, report};
use crate::protocol::fault;
use crate::state::{catalog, flow, key, time};

/// Whole milliseconds, the unit of all times in log lines.
pub fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Identifier of a flow in log lines and commands.
pub fn flow_id(key: flow::Key) -> String {
    format!("{:016x}", key.low)
}

/// Identifier of a target in log lines, as in its registration.
fn target_id(controller: &controller::Controller, key: key::Target) -> Option<String> {
    let record = controller.registry.targets.get(key)?;
    Some(format!("{:x}", record.id.0))
}

/// Logs a decision on a flow.
pub fn decision(
    log: &slog::Logger,
    controller: &controller::Controller,
    decision: &report::Decision,
) {
    slog::info!(log, "flow";
        "flow" => flow_id(decision.flow),
        "caller" => %decision.segment.caller,
        "route" => %decision.segment.route,
        "outcome" => decision.cause.outcome(),
        "cause" => decision.cause.name(),
        "target" => decision.target.and_then(|key| target_id(controller, key)),
        "flows" => decision.load.flows,
        "waiting" => decision.load.waiting,
        "cookie" => format!("{:08x}", decision.segment.cookie.0),
        "copies" => decision.segment.retransmissions,
        "as_of" => decision.as_of.number,
        "era" => decision.as_of.era,
        "version" => decision.version,
        "age_ms" => millis(decision.age));
}

/// Logs how many decisions were left out of the log.
pub fn omitted(log: &slog::Logger, count: u64) {
    slog::warn!(log, "flow lines left out"; "count" => count);
}

/// Logs an event of the controller.
pub fn event(
    log: &slog::Logger,
    controller: &controller::Controller,
    now: time::Instant,
    event: &controller::Event,
) {
    match event {
        controller::Event::Registry(change, from) => registry(log, controller, now, change, *from),
        controller::Event::Loaded(targets, from) => {
            let as_of = controller.registry.as_of;
            slog::info!(log, "first facts"; "targets" => targets, "as_of" => as_of.number,
                "era" => as_of.era, "version" => controller.registry.version(), "from" => origin_name(*from));
        }
        controller::Event::Peer(change) => peer(log, controller, now, change),
        controller::Event::PlatformReachable(reachable) => {
            let as_of = controller.registry.as_of;
            slog::info!(log, "platform"; "reachable" => reachable, "as_of" => as_of.number,
                "era" => as_of.era);
        }
        controller::Event::Resumed(length) => {
            let age = controller.registry.age(now).map(millis);
            slog::warn!(log, "resumed after a pause"; "paused_ms" => millis(*length), "age_ms" => age);
        }
        controller::Event::Cookie(conflict, begins) => {
            cookie(log, controller, now, conflict, *begins);
        }
        controller::Event::SuspectZones(zones) => {
            slog::warn!(log, "suspect zones"; "zones" => zones.join(","));
        }
        controller::Event::Avoided(found) => {
            let evidence = found.evidence;
            slog::info!(log, "target evidence"; "target" => target_id(controller, found.target),
                "usable" => false, "dead" => found.dead, "links" => ?found.links,
                "stalls" => evidence.stalls, "unanswered" => evidence.unanswered, "waited_ms" => millis(evidence.longest_wait),
                "stalled_ms" => millis(now.since(evidence.last_stall)),
                "progress_ms" => millis(now.since(evidence.last_progress)));
        }
        controller::Event::Usable(key) => {
            slog::info!(log, "target evidence"; "target" => target_id(controller, *key), "usable" => true);
        }
        controller::Event::Checked(key, outcome, askers) => {
            slog::info!(log, "target check"; "target" => target_id(controller, *key),
                "outcome" => ?outcome, "askers" => askers);
        }
        controller::Event::Watching(watching) => {
            let age = controller.registry.age(now).map(millis);
            slog::info!(log, "watch"; "watching" => watching, "age_ms" => age);
        }
    }
}

/// Logs that a target takes no new flows because of its cookie, or that it does again.
fn cookie(
    log: &slog::Logger,
    controller: &controller::Controller,
    now: time::Instant,
    conflict: &cookies::Conflict,
    begins: bool,
) {
    let record = |key| controller.registry.targets.get(key);
    let started = |key| record(key).map(|record| record.details.started_unix_ms);
    let as_of = controller.registry.as_of;
    slog::warn!(log, "cookie conflict"; "target" => target_id(controller, conflict.withheld),
        "new_flows" => !begins,
        "started_unix_ms" => started(conflict.withheld),
        "holder" => conflict.holder.and_then(|key| target_id(controller, key)),
        "holder_started_unix_ms" => conflict.holder.and_then(started),
        "cookie" => record(conflict.withheld).map(|record| format!("{:08x}", record.cookie.0)),
        "as_of" => as_of.number, "era" => as_of.era,
        "age_ms" => controller.registry.age(now).map(millis));
}

/// Source of registry data in log lines.
fn origin_name(origin: controller::Origin) -> String {
    match origin {
        controller::Origin::Peer(address) => address.to_string(),
        controller::Origin::Platform => "platform".to_owned(),
    }
}

fn registry(
    log: &slog::Logger,
    controller: &controller::Controller,
    now: time::Instant,
    change: &registry::Change,
    origin: controller::Origin,
) {
    let as_of = controller.registry.as_of;
    let age = controller.registry.age(now).map(millis);
    let origin = origin_name(origin);
    match change {
        registry::Change::Config(version) => {
            slog::info!(log, "configuration"; "version" => version, "as_of" => as_of.number,
                "era" => as_of.era, "age_ms" => age, "from" => origin);
        }
        registry::Change::Confirmed(gap) => {
            slog::warn!(log, "facts confirmed after an outage"; "gap_ms" => millis(*gap),
                "as_of" => as_of.number, "era" => as_of.era, "from" => origin);
        }
        registry::Change::Evacuation(zone) => evacuation(log, controller, now, zone, &origin),
        registry::Change::Outdated(read) => {
            slog::warn!(log, "facts older than known"; "read_as_of" => read.number,
                "read_era" => read.era, "as_of" => as_of.number, "era" => as_of.era,
                "age_ms" => age, "from" => origin);
        }
        registry::Change::Restored(former) => {
            slog::warn!(log, "platform restored"; "as_of" => as_of.number, "era" => as_of.era,
                "former_as_of" => former.number, "former_era" => former.era, "age_ms" => age,
                "from" => origin);
        }
        registry::Change::Target(key) => {
            let Some(record) = controller.registry.targets.get(*key) else {
                return;
            };
            slog::info!(log, "target"; "target" => target_id(controller, *key),
                "standing" => ?record.status, "duty" => ?record.details.state,
                "held" => record.held_until.is_some(),
                "address" => %record.details.address,
                "service" => record.details.service.as_str(),
                "target_zone" => record.details.zone.as_str(),
                "revision" => record.revision.number, "era" => record.revision.era, "age_ms" => age, "from" => origin);
        }
    }
}

/// Logs that the evacuation of a zone was ordered, withdrawn or held, with the slots that are left to
/// each service.
fn evacuation(
    log: &slog::Logger,
    controller: &controller::Controller,
    now: time::Instant,
    zone: &str,
    origin: &str,
) {
    let registry = &controller.registry;
    let Some(record) = registry.evacuations.get(zone) else {
        return;
    };
    let left = controller.capacities().into_iter().map(|capacity| {
        let all = capacity.usable + capacity.evacuated;
        format!("{}={}/{all}", capacity.service, capacity.usable)
    });
    slog::warn!(log, "evacuation"; "evacuated_zone" => zone, "active" => record.active,
        "held_ms" => record.held_until.map(|until| millis(until.since(now))),
        "slots_left" => left.collect::<Vec<String>>().join(","),
        "revision" => record.revision.number, "era" => record.revision.era,
        "as_of" => registry.as_of.number, "age_ms" => registry.age(now).map(millis),
        "from" => origin);
}

fn peer(
    log: &slog::Logger,
    controller: &controller::Controller,
    now: time::Instant,
    change: &peers::Change,
) {
    let (key, state) = match change {
        peers::Change::Appeared(key) => (key, "alive"),
        peers::Change::Leaving(key) => (key, "leaving"),
        peers::Change::Silent(key) => (key, "silent"),
        peers::Change::ZoneAppeared(name) => return zone(log, name, "alive"),
        peers::Change::ZoneSilent(name) => return zone(log, name, "silent"),
    };
    let peer = controller.peers.known.get(*key);
    let heard = peer.and_then(|peer| Some((peer, peer.heartbeat.as_ref()?)));
    if let Some((peer, heartbeat)) = heard {
        slog::info!(log, "peer"; "peer" => heartbeat.name.as_str(), "address" => %peer.address,
            "state" => state, "peer_zone" => peer.zone.as_str(),
            "silent_ms" => millis(now.since(peer.last_seen)), "as_of" => heartbeat.position.as_of.number,
            "era" => heartbeat.position.as_of.era);
    }
}

fn zone(log: &slog::Logger, name: &str, state: &str) {
    slog::info!(log, "zone"; "peer_zone" => name, "state" => state);
}

/// Logs what a fetch from a peer brought.
pub fn fetched(
    log: &slog::Logger,
    controller: &controller::Controller,
    from: std::net::SocketAddr,
    delta: &catalog::Delta,
) {
    let registry = &controller.registry;
    slog::info!(log, "fetched"; "from" => %from, "entries" => delta.entries.len(),
        "brought_version" => delta.config.as_ref().map(|config| config.version),
        "brought_as_of" => delta.as_of.number, "brought_era" => delta.as_of.era,
        "full" => delta.full, "version" => registry.version(), "as_of" => registry.as_of.number,
        "era" => registry.as_of.era);
}

/// Logs a failed call to the platform.
pub fn call_failed(log: &slog::Logger, report: &error_stack::Report<fault::Fault>) {
    slog::warn!(log, "platform call failed"; "code" => %fault::code(report),
        "why" => fault::texts(report).join("; "));
}
