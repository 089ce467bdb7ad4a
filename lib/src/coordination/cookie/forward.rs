//! Forwards the packets of flows that carry a cookie.
//!
//! A first packet is placed on a target. Every later packet goes to the target that its cookie
//! names, if the route ever led to that target's service. A retransmitted first packet goes to
//! another target than before. This is safe, since a flow opens only at the target whose answer the
//! caller accepts.
//!
//! An open flow is reset only if its target answers none of several flows while other targets
//! answer. A request that may run at most once and may have reached its target is not reset before
//! that target has certainly ended, so that the request cannot be running. Until then, only a
//! request of which nothing was forwarded is reset.

mod unreachable;

use std::sync::Arc;

use crate::coordination::cookie::{
    cold_budget, cost, estimate, evidence, flow_table, pace, placement, report, verdict,
};
use crate::coordination::{hash, load};
use crate::state::{arena, catalog, count, flow, key, packet, segment, snapshot, time};

/// Largest number of decisions kept for the log between two reports.
const MAX_DECISIONS: usize = 24;
/// Gap between two ticks after which this instance counts as paused: what it then observes says
/// nothing about targets.
const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(400);

/// Response times of a target, or of most targets of its service, for which it may make no progress.
const PATIENCE_FACTOR: u32 = 6;
/// Age of a measurement at which it says nothing about the progress that a target should make now.
const PATIENCE_WINDOW: time::Duration = time::Duration::from_secs(4);

/// Time for which a target that was dead by checks counts as dead while it makes no progress; by
/// then its registration has lapsed.
const CONDEMNED_FOR: time::Duration = time::Duration::from_secs(10);
/// Time for which a target that left a first packet unanswered is avoided even if others of its flows
/// make progress: it holds as many flows as it may.
const UNANSWERED_WINDOW: time::Duration = time::Duration::from_secs(2);

/// Time after which data that arrives again counts as retransmitted. Callers retransmit no earlier
/// than after 200 ms, and reordered packets arrive closer together.
const MIN_RETRANSMISSION_GAP: time::Duration = time::Duration::from_millis(150);

/// What a packet after the first one transmits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Transmission {
    /// The start of a request of which nothing was forwarded before.
    New,
    /// Data that was sent before and got no answer.
    Retransmission,
    /// Neither is certain.
    Unknown,
}

/// A packet with the inputs of its decision.
#[derive(Clone, Copy)]
struct Packet<'a> {
    flow: flow::Key,
    now: time::Instant,
    segment: &'a segment::Segment,
    snapshot: &'a snapshot::Snapshot,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Drop it and count the reason.
    Drop(count::Counter),
    /// Send it to a target.
    Forward(key::Target),
    /// Hold it until there is registry data.
    Hold,
    /// Reset the flow.
    Reset,
}

/// Forwarding state of one traffic thread.
#[derive(Debug, Default)]
pub struct Shard {
    costs: cost::Costs,
    /// Counters of packets and flows.
    pub counters: Arc<count::Set>,
    decisions: Vec<report::Decision>,
    evidence: Vec<evidence::Evidence>,
    links: evidence::Links,
    omitted: u64,
    /// First packets to cold targets with a budget.
    openings: cold_budget::Openings,
    outcomes: Vec<load::Outcomes>,
    paces: Vec<pace::Pace>,
    paused_until: time::Instant,
    /// When a flow of any target last made progress.
    last_progress: time::Instant,
    secret: hash::Secret,
    suspect_zones: Vec<bool>,
    flow_table: flow_table::Table,
    last_tick: time::Instant,
    /// Whether an open flow of another target stalls since the last report.
    has_suspicion: bool,
    /// Targets that were dead by checks and have made no progress since, with the time of the verdict.
    condemned: Vec<(key::Target, time::Instant)>,
    /// Targets that are dead by checks or replaced.
    unreachable: Vec<key::Target>,
}

impl Shard {
    /// A shard that identifies flows by a keyed hash.
    pub fn new(secret: hash::Secret) -> Self {
        Self {
            secret,
            ..Self::default()
        }
    }

    /// Decides what to do with a packet.
    pub fn steer(
        &mut self,
        snapshot: &snapshot::Snapshot,
        now: time::Instant,
        segment: &segment::Segment,
    ) -> Verdict {
        self.counters.increment(count::Counter::Received);
        if !snapshot.is_complete() {
            return Verdict::Hold;
        }
        let packet = Packet {
            flow: hash::flow_key(self.secret, &segment.tuple()),
            now,
            segment,
            snapshot,
        };
        let Some(route) = snapshot.routes.get(&segment.route) else {
            return self.reject_unknown_route(packet);
        };
        if segment.kind == packet::Kind::Syn {
            self.open_flow(packet, route)
        } else {
            self.forward_established(packet, route)
        }
    }

    /// Resets a first packet to an address without a route. Drops it if the registry data is old,
    /// and drops all other packets.
    fn reject_unknown_route(&mut self, packet: Packet<'_>) -> Verdict {
        // Old registry data may lack the route, and a retransmission may find it.
        let is_fresh = packet.now < packet.snapshot.fresh_until;
        let certain = is_fresh && packet.segment.kind == packet::Kind::Syn;
        if !certain {
            self.record_decision(packet, report::Cause::StaleRegistry, None);
            return Verdict::Drop(count::Counter::DropUnknownAddress);
        }
        self.record_decision(packet, report::Cause::NoRoute, None);
        Verdict::Reset
    }

    fn open_flow(&mut self, packet: Packet<'_>, route: &snapshot::Route) -> Verdict {
        let Packet {
            flow, now, segment, ..
        } = packet;
        let before = self.flow_table.recent(flow, now).copied();
        let mut tried = [None; 2];
        let mut cause = report::Cause::Placed;
        if let Some(before) = before {
            let is_copy = segment.retransmissions > before.retransmissions;
            let may_open = self.may_open(packet, route, before.target);
            if before.open && !may_open {
                // The flow is open, so its target needs no first packet.
                return Verdict::Drop(count::Counter::DropNoTarget);
            }
            if before.open || (!is_copy && may_open) {
                self.openings.record(now, packet.snapshot, before.target);
                return self.forward(before.target);
            }
            tried = [Some(before.target), before.tried[0]];
            if is_copy {
                self.counters.increment(count::Counter::FlowStalled);
                self.evidence_mut(before.target).record_unanswered(now);
                cause = report::Cause::Unanswered;
            }
        }
        let Some(placement::Choice { target, .. }) = self.place(packet, route, tried) else {
            self.record_decision(packet, report::Cause::NoTarget, None);
            if let Some(service) = placement::choose_branch(&route.branches, flow.high) {
                self.outcomes_mut(service).refused += 1;
            }
            return Verdict::Reset;
        };
        self.openings.record(now, packet.snapshot, target);
        self.record_decision(packet, cause, Some(target));
        if before.is_none() {
            self.counters.increment(count::Counter::EntryCreated);
            if let Some(found) = packet.snapshot.target(target) {
                self.outcomes_mut(found.service).started += 1;
            }
        }
        self.flow_table.insert(
            flow,
            flow_table::Flow {
                acknowledged: 0,
                caller: segment.caller,
                route: segment.route,
                retransmissions: segment.retransmissions,
                open: false,
                last_seen: now,
                request_length: 0,
                sent_end: segment.sequence.wrapping_add(1),
                sent_at: now,
                target,
                tried,
                waiting_since: before.map_or(Some(now), |before| before.waiting_since),
            },
        );
        self.forward(target)
    }

    /// Chooses a target for a new flow among those of the route's services. Healthy targets go
    /// before avoided ones, and these before targets of suspect zones; targets that were already
    /// tried come last.
    fn place(
        &self,
        packet: Packet<'_>,
        route: &snapshot::Route,
        tried: [Option<key::Target>; 2],
    ) -> Option<placement::Choice> {
        let Packet {
            flow,
            now,
            snapshot,
            ..
        } = packet;
        let rank = |key: key::Target, target: &snapshot::Target| {
            if !self.may_open(packet, route, key) {
                placement::Rank::Excluded
            } else if tried.contains(&Some(key)) {
                placement::Rank::Tried
            } else if self.is_zone_suspect(target.zone) && snapshot.zone != Some(target.zone) {
                placement::Rank::SuspectZone
            } else if self.is_avoided(now, key) {
                placement::Rank::Avoided
            } else {
                placement::Rank::Healthy
            }
        };
        let criteria = |service: key::Service| placement::Criteria {
            flow: flow.low,
            load: |key| self.flow_table.count(key),
            now,
            rank,
            slowness: |key| self.slowness(snapshot, now, key),
            snapshot,
            usual: self.service_time(packet, service),
        };
        let first = placement::choose_branch(&route.branches, flow.high)?;
        let others = route.branches.iter().filter(|branch| branch.weight > 0);
        let others = others.map(|branch| branch.service);
        std::iter::once(first)
            .chain(others.filter(|service| *service != first))
            .find_map(|service| placement::choose_target(&criteria(service), service))
    }

    /// Whether a target may get a first packet: it takes new flows of the route, and is warm or within
    /// its budget.
    fn may_open(&self, packet: Packet<'_>, route: &snapshot::Route, key: key::Target) -> bool {
        let Packet { now, snapshot, .. } = packet;
        let load = self.load(snapshot, key);
        placement::may_open(snapshot, route, key)
            && self.openings.may_open(now, snapshot, key, load)
    }

    fn forward_established(&mut self, packet: Packet<'_>, route: &snapshot::Route) -> Verdict {
        let Packet {
            flow,
            segment,
            snapshot,
            ..
        } = packet;
        let known = snapshot.cookies.get(&segment.cookie).copied();
        let known = known.and_then(|key| Some((key, snapshot.target(key)?)));
        let Some((key, target)) = known else {
            self.record_decision(packet, report::Cause::UnknownCookie, None);
            return Verdict::Drop(count::Counter::DropUnknownCookie);
        };
        // While the route history is incomplete, only the target can tell whether the flow is its
        // own.
        if snapshot.history_complete && !route.service_history.contains(&target.service) {
            self.record_decision(packet, report::Cause::ForeignCookie, Some(key));
            return Verdict::Drop(count::Counter::DropForeignCookie);
        }
        let transmission = self.observe(packet, key);
        if segment.kind == packet::Kind::Established
            && let Some(cause) = self.reset_cause(packet, route, key, transmission)
        {
            self.record_decision(packet, cause, Some(key));
            self.outcomes_mut(target.service).lost += 1;
            self.flow_table.remove(flow);
            return Verdict::Reset;
        }
        if matches!(segment.kind, packet::Kind::Fin | packet::Kind::Rst) {
            self.flow_table.remove(flow);
        }
        self.forward(key)
    }

    /// Updates the flow and the evidence of its target from a packet after the first one.
    fn observe(&mut self, packet: Packet<'_>, target: key::Target) -> Transmission {
        let Packet {
            flow, now, segment, ..
        } = packet;
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        let new_flow = flow_table::Flow {
            acknowledged: segment.acknowledged,
            caller: segment.caller,
            route: segment.route,
            retransmissions: 0,
            open: true,
            last_seen: now,
            request_length: segment.length,
            sent_end: end,
            sent_at: now,
            target,
            tried: [None; 2],
            waiting_since: (segment.length > 0).then_some(now),
        };
        let Some(before) = self.flow_table.recent(flow, now).copied() else {
            self.flow_table.insert(flow, new_flow);
            return Transmission::Unknown;
        };
        if !before.open || before.target != target {
            if !before.open {
                self.record_progress(now, target);
            }
            self.flow_table.insert(flow, new_flow);
            return Transmission::Unknown;
        }
        let mut after = before;
        after.last_seen = now;
        let mut transmission = Transmission::Unknown;
        if is_after(segment.acknowledged, before.acknowledged) {
            after.acknowledged = segment.acknowledged;
            if let Some(since) = after.waiting_since.take() {
                self.record_response(packet, target, before.request_length, now.since(since));
            }
            self.record_progress(now, target);
        }
        if is_after(end, before.sent_end) {
            if after.waiting_since.is_none() {
                after.request_length = segment.length;
                after.waiting_since = Some(now);
                transmission = Transmission::New;
            }
            after.sent_end = end;
            after.sent_at = now;
        } else if segment.length > 0
            && let Some(since) = after.waiting_since
            && now.since(before.sent_at) >= MIN_RETRANSMISSION_GAP
        {
            transmission = Transmission::Retransmission;
            self.record_stall(now, target, flow, now.since(since));
            self.has_suspicion |= packet.snapshot.checks && self.evidence(target).stalls == 1;
        }
        self.flow_table.insert(flow, after);
        transmission
    }

    /// Cause to reset the flow; none if it can go on.
    fn reset_cause(
        &self,
        packet: Packet<'_>,
        route: &snapshot::Route,
        key: key::Target,
        transmission: Transmission,
    ) -> Option<report::Cause> {
        let target = packet.snapshot.target(key)?;
        if target.eligibility == snapshot::Eligibility::Replaced {
            let is_safe = transmission != Transmission::Unknown
                || route.idempotency == catalog::Idempotency::Idempotent;
            return is_safe.then_some(report::Cause::Ended);
        }
        if self.is_condemned(packet.snapshot, packet.now, key)
            && route.idempotency == catalog::Idempotency::Idempotent
        {
            return Some(report::Cause::Unreachable);
        }
        let basis = self.basis(packet.snapshot, packet.now, key)?;
        if target.eligibility == snapshot::Eligibility::Ended
            && transmission != Transmission::Unknown
        {
            return Some(report::Cause::Ended);
        }
        let is_reset_safe = match route.idempotency {
            catalog::Idempotency::Idempotent => transmission != Transmission::Unknown,
            catalog::Idempotency::AtMostOnce => transmission == Transmission::New,
        };
        let cause = match basis {
            verdict::Basis::Checks => report::Cause::Unreachable,
            verdict::Basis::Stalls => report::Cause::Dead,
        };
        is_reset_safe.then_some(cause)
    }

    /// Runs the periodic work: eviction of idle flows, detection of pauses, and assessment of links
    /// and zones. Returns the flows to reset, since their targets are dead by checks.
    pub fn tick(
        &mut self,
        snapshot: &snapshot::Snapshot,
        now: time::Instant,
    ) -> Vec<segment::Segment> {
        self.flow_table.evict_idle(now, snapshot.idle_timeout);
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.paused_until = now + PAUSE_THRESHOLD;
        }
        self.last_tick = now;
        self.links = evidence::assess_links(now, &self.evidence);
        self.suspect_zones = evidence::suspect_zones(now, snapshot, |key| self.evidence(key));
        self.find_unreachable(snapshot, now);
        self.return_waiting(snapshot, now)
    }

    /// Whether an open flow began to stall on a target without other stalled flows, so that a report
    /// is due at once; false until the next one.
    pub fn take_suspicion(&mut self) -> bool {
        std::mem::take(&mut self.has_suspicion)
    }

    /// Builds the report of everything since the last report.
    pub fn report(&mut self, snapshot: &snapshot::Snapshot, now: time::Instant) -> report::Report {
        let avoided = (0..snapshot.targets.len())
            .map(key::Target::from)
            .filter(|key| snapshot.target(*key).is_some())
            .map(|key| (key, self.evidence(key)))
            .filter(|(_, evidence)| evidence.is_avoided(now))
            .map(|(target, evidence)| report::Avoidance {
                dead: evidence.is_dead(now, self.links) || self.unreachable.contains(&target),
                links: self.links,
                evidence,
                target,
            })
            .collect();
        report::Report {
            avoided,
            decisions: std::mem::take(&mut self.decisions),
            flows: self.flow_table.len(),
            loads: self.loads(now),
            omitted: std::mem::take(&mut self.omitted),
            outcomes: std::mem::take(&mut self.outcomes),
            suspect_zones: self.suspect_zones.clone(),
        }
    }

    /// A flow that was seen recently.
    pub fn flow(&self, key: flow::Key) -> Option<&flow_table::Flow> {
        self.flow_table.get(key)
    }

    fn load(&self, snapshot: &snapshot::Snapshot, key: key::Target) -> snapshot::Load {
        self.flow_table.count(key) + snapshot.remote(key).load
    }

    fn forward(&self, target: key::Target) -> Verdict {
        self.counters.increment(count::Counter::Forwarded);
        Verdict::Forward(target)
    }

    fn evidence(&self, key: key::Target) -> evidence::Evidence {
        self.evidence.get(key.index()).copied().unwrap_or_default()
    }

    fn evidence_mut(&mut self, key: key::Target) -> &mut evidence::Evidence {
        arena::slot_or_default(&mut self.evidence, key.index())
    }

    fn record_stall(
        &mut self,
        now: time::Instant,
        key: key::Target,
        flow: flow::Key,
        waited: time::Duration,
    ) {
        self.counters.increment(count::Counter::FlowStalled);
        let links = self.links;
        self.evidence_mut(key)
            .record_stall(now, flow.low, waited, links);
    }

    fn record_progress(&mut self, now: time::Instant, key: key::Target) {
        self.last_progress = now;
        self.evidence_mut(key).record_progress(now);
    }

    /// Records the time of an answered request: for its target by the cost of its class, and for
    /// its class by the speed of its target.
    fn record_response(
        &mut self,
        packet: Packet<'_>,
        key: key::Target,
        length: u16,
        took: time::Duration,
    ) {
        let Packet { now, snapshot, .. } = packet;
        let Some(target) = snapshot.target(key) else {
            return;
        };
        let class = cost::Class::new(packet.segment.route, length);
        let slowness = self.slowness(snapshot, now, key);
        let quiet = self.load(snapshot, key).waiting <= u32::from(target.slots);
        let counted = self
            .costs
            .record(target.service, class, took, slowness, quiet);
        arena::slot_or_default(&mut self.paces, key.index()).record(now, counted);
    }

    /// Time that a usual target of a service takes for a request of the packet's route.
    fn service_time(&self, packet: Packet<'_>, service: key::Service) -> time::Duration {
        let measured = self.costs.service_time(service, packet.segment.route);
        measured.unwrap_or(estimate::UNMEASURED)
    }

    /// Whether a target gets no new flows. One that has answered since its flows stalled is slow at
    /// most, which its pace tells, unless it left first packets unanswered: it may be full.
    fn is_avoided(&self, now: time::Instant, key: key::Target) -> bool {
        let evidence = self.evidence(key);
        let unanswered = now.since(evidence.last_unanswered) < UNANSWERED_WINDOW;
        evidence.is_avoided(now) && (unanswered || evidence.last_progress <= evidence.last_stall)
    }

    /// Loads of the targets that have flows, or of which a time is known.
    fn loads(&self, now: time::Instant) -> Vec<report::Load> {
        let count = self.flow_table.target_count().max(self.paces.len());
        let load = |index: usize| {
            let target = key::Target::from(index);
            let count = self.flow_table.count(target);
            let pace = self.paces.get(index);
            let measured = pace.and_then(|pace| pace.measured(now));
            (count.held > 0 || measured.is_some()).then(|| report::Load {
                count,
                last_progress: self.evidence(target).last_progress,
                measured,
                target,
            })
        };
        (0..count).filter_map(load).collect()
    }

    /// How many times as long as usual a target takes for a request.
    fn slowness(&self, snapshot: &snapshot::Snapshot, now: time::Instant, key: key::Target) -> f64 {
        let own = self.paces.get(key.index());
        let own = own.and_then(|pace| pace.measured(now));
        let usual_us = snapshot
            .target(key)
            .and_then(|target| snapshot.usual_us(target.service));
        pace::slowness(own, snapshot.remote(key).measured, usual_us)
    }

    fn is_zone_suspect(&self, zone: key::Zone) -> bool {
        self.suspect_zones
            .get(zone.index())
            .copied()
            .unwrap_or(false)
    }

    fn outcomes_mut(&mut self, service: key::Service) -> &mut load::Outcomes {
        arena::slot_or_default(&mut self.outcomes, service.index())
    }

    fn record_decision(
        &mut self,
        packet: Packet<'_>,
        cause: report::Cause,
        target: Option<key::Target>,
    ) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.omitted += 1;
            return;
        }
        let snapshot = packet.snapshot;
        self.decisions.push(report::Decision {
            age: snapshot.age,
            as_of: snapshot.as_of,
            at: packet.now,
            cause,
            flow: packet.flow,
            load: target.map_or_else(snapshot::Load::default, |key| self.load(snapshot, key)),
            segment: *packet.segment,
            target,
            version: snapshot.version,
        });
    }
}

/// Whether a sequence number comes after another, modulo 2^32.
fn is_after(later: u32, earlier: u32) -> bool {
    later != earlier && later.wrapping_sub(earlier) < u32::MAX / 2
}
