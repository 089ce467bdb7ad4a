//! Where each packet of a flow with a cookie goes.
//!
//! A first packet is placed; every later packet goes to the target that its cookie names, if the
//! route ever led to that target's service. A copy of a first packet goes to another target than
//! the one before, since a flow opens only at the target whose answer the caller takes.
//!
//! A flow is reset only where its target cannot have it any more or answers nothing at all to
//! several flows while other targets answer. A request that may run at most once and may have
//! reached its target is never answered by a reset of ours before its target has certainly ended:
//! only a request that was not forwarded at all is.

use std::sync::Arc;

use crate::coordination::cookie::{evidence, place, report, tally};
use crate::coordination::{hash, load};
use crate::state::{arena, catalog, count, flow, key, packet, segment, snapshot, time};

/// Decisions kept for the log between two reports.
const MAX_DECISIONS: usize = 24;
/// Gap between two packets or ticks after which this instance counts as paused: what it then finds
/// says nothing about targets.
const PAUSE: time::Duration = time::Duration::from_millis(400);

/// Age of the last progress of any flow at which silence says more about this instance than about a
/// target.
const OTHERS_WINDOW: time::Duration = time::Duration::from_millis(300);

/// Time after which data that comes again was sent again; callers repeat after 200 ms at the
/// earliest, and packets that overtake each other are closer together.
const REPEAT_AFTER: time::Duration = time::Duration::from_millis(150);

/// Age of the last progress that another instance saw at which it no longer vouches for a target;
/// above the time in which instances tell each other.
const ELSEWHERE_WINDOW: time::Duration = time::Duration::from_millis(1_000);

/// What a later packet is to its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    /// It begins a request, of which nothing was forwarded before.
    New,
    /// It carries data again, since nothing came back.
    Repeated,
    /// Neither is known.
    Unknown,
}

/// A packet and the circumstances in which it is judged.
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
    /// Drop it for a reason.
    Drop(count::Counter),
    /// Send it to a target.
    Forward(key::Target),
    /// Reset the flow.
    Reset,
}

/// The decisions of one traffic thread.
#[derive(Debug, Default)]
pub struct Shard {
    /// Counters.
    pub counters: Arc<count::Set>,
    decisions: Vec<report::Decision>,
    evidence: Vec<evidence::Evidence>,
    links: evidence::Links,
    omitted: u64,
    outcomes: Vec<load::Outcomes>,
    paused_until: time::Instant,
    /// When a flow of any target last made progress.
    progressed: time::Instant,
    secret: hash::Secret,
    suspects: Vec<bool>,
    tally: tally::Tally,
    ticked: time::Instant,
}

impl Shard {
    /// A shard that identifies flows by a hash with a secret.
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
        let packet = Packet {
            flow: hash::flow_key(self.secret, &segment.tuple()),
            now,
            segment,
            snapshot,
        };
        let Some(route) = snapshot.routes.get(&segment.route) else {
            return self.miss(packet);
        };
        if segment.kind == packet::Kind::First {
            self.open(packet, route)
        } else {
            self.follow(packet, route)
        }
    }

    /// A packet to an address without a route.
    fn miss(&mut self, packet: Packet<'_>) -> Verdict {
        // Old facts may lack the route, and a later copy may find it.
        let certain = packet.snapshot.fresh && packet.segment.kind == packet::Kind::First;
        if !certain {
            self.note(packet, report::Cause::OldFacts, None);
            return Verdict::Drop(count::Counter::DropUnknownAddress);
        }
        self.note(packet, report::Cause::NoRoute, None);
        Verdict::Reset
    }

    fn open(&mut self, packet: Packet<'_>, route: &snapshot::Route) -> Verdict {
        let Packet {
            flow, now, segment, ..
        } = packet;
        let before = self.tally.get(flow).copied();
        let mut tried = [None; 2];
        let mut cause = report::Cause::Placed;
        if let Some(before) = before {
            if before.open || segment.copies <= before.copies {
                return self.forward(before.target);
            }
            let waited = before.waiting_since.unwrap_or(now);
            self.mark_stall(now, before.target, flow, now.since(waited));
            tried = [Some(before.target), before.tried[0]];
            cause = report::Cause::Unanswered;
        }
        let Some(target) = self.place(packet, route, tried) else {
            self.note(packet, report::Cause::NoTarget, None);
            if let Some(service) = place::branch(&route.branches, flow.high) {
                self.outcomes_of(service).refused += 1;
            }
            return Verdict::Reset;
        };
        self.note(packet, cause, Some(target));
        if before.is_none() {
            self.counters.increment(count::Counter::EntryCreated);
            if let Some(found) = packet.snapshot.target(target) {
                self.outcomes_of(found.service).started += 1;
            }
        }
        self.tally.put(
            flow,
            tally::Flow {
                acknowledged: 0,
                copies: segment.copies,
                open: false,
                seen: now,
                sent: segment.sequence.wrapping_add(1),
                sent_at: now,
                target,
                tried,
                waiting_since: before.map_or(Some(now), |before| before.waiting_since),
            },
        );
        self.forward(target)
    }

    /// Chooses a target for a new flow among those of the route's services. Targets without doubt go
    /// before those that are avoided, and these before targets of suspect zones; what was tried
    /// comes last.
    fn place(
        &self,
        packet: Packet<'_>,
        route: &snapshot::Route,
        tried: [Option<key::Target>; 2],
    ) -> Option<key::Target> {
        let Packet {
            flow,
            now,
            snapshot,
            ..
        } = packet;
        let rank = |key: key::Target, target: &snapshot::Target| {
            if tried.contains(&Some(key)) {
                place::Rank::Tried
            } else if self.is_suspect(target.zone) && snapshot.zone != Some(target.zone) {
                place::Rank::SuspectZone
            } else if self.evidence(key).is_avoided(now) {
                place::Rank::Avoided
            } else {
                place::Rank::Sound
            }
        };
        let question = place::Question {
            flow: flow.low,
            load: |key| self.load(snapshot, key),
            now,
            rank,
            snapshot,
        };
        let first = place::branch(&route.branches, flow.high)?;
        let others = route.branches.iter().filter(|branch| branch.weight > 0);
        let others = others.map(|branch| branch.service);
        std::iter::once(first)
            .chain(others.filter(|service| *service != first))
            .filter_map(|service| snapshot.services.get(service.index()))
            .find_map(|candidates| place::choose(&question, candidates))
    }

    fn follow(&mut self, packet: Packet<'_>, route: &snapshot::Route) -> Verdict {
        let Packet {
            flow,
            now,
            segment,
            snapshot,
        } = packet;
        let known = snapshot.cookies.get(&segment.cookie).copied();
        let known = known.and_then(|key| Some((key, snapshot.target(key)?)));
        let Some((key, target)) = known else {
            self.note(packet, report::Cause::UnknownCookie, None);
            return Verdict::Drop(count::Counter::DropUnknownCookie);
        };
        // Without the history of the routes, the target itself has to know its flows.
        if snapshot.strict && !route.known.contains(&target.service) {
            self.note(packet, report::Cause::ForeignCookie, Some(key));
            return Verdict::Drop(count::Counter::DropForeignCookie);
        }
        let step = self.observe(packet, key);
        if segment.kind == packet::Kind::Middle
            && let Some(cause) = self.broken(route, now, target, key, step)
        {
            self.note(packet, cause, Some(key));
            self.outcomes_of(target.service).lost += 1;
            self.tally.remove(flow);
            return Verdict::Reset;
        }
        if matches!(segment.kind, packet::Kind::Finish | packet::Kind::Reset) {
            self.tally.remove(flow);
        }
        self.forward(key)
    }

    /// Takes what a later packet shows.
    fn observe(&mut self, packet: Packet<'_>, target: key::Target) -> Step {
        let Packet {
            flow, now, segment, ..
        } = packet;
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        let fresh = tally::Flow {
            acknowledged: segment.acknowledged,
            copies: 0,
            open: true,
            seen: now,
            sent: end,
            sent_at: now,
            target,
            tried: [None; 2],
            waiting_since: (segment.length > 0).then_some(now),
        };
        let Some(before) = self.tally.get(flow).copied() else {
            self.tally.put(flow, fresh);
            return Step::Unknown;
        };
        if !before.open || before.target != target {
            if !before.open {
                self.mark_progress(now, target);
            }
            self.tally.put(flow, fresh);
            return Step::Unknown;
        }
        let mut after = before;
        after.seen = now;
        let mut step = Step::Unknown;
        if is_after(segment.acknowledged, before.acknowledged) {
            after.acknowledged = segment.acknowledged;
            after.waiting_since = None;
            self.mark_progress(now, target);
        }
        if is_after(end, before.sent) {
            if after.waiting_since.is_none() {
                after.waiting_since = Some(now);
                step = Step::New;
            }
            after.sent = end;
            after.sent_at = now;
        } else if segment.length > 0
            && let Some(since) = after.waiting_since
            && now.since(before.sent_at) >= REPEAT_AFTER
        {
            step = Step::Repeated;
            self.mark_stall(now, target, flow, now.since(since));
        }
        self.tally.put(flow, after);
        step
    }

    /// Why a flow cannot go on, if it cannot.
    fn broken(
        &self,
        route: &snapshot::Route,
        now: time::Instant,
        target: &snapshot::Target,
        key: key::Target,
        step: Step,
    ) -> Option<report::Cause> {
        let alone = now.since(self.progressed) >= OTHERS_WINDOW;
        // This instance's own link may be what loses packets, which others then would not see.
        let alive = now.since(target.progressed) < ELSEWHERE_WINDOW;
        if now < self.paused_until || alone || alive || !self.evidence(key).is_dead(now, self.links)
        {
            return None;
        }
        if target.usage == snapshot::Use::Ended && step != Step::Unknown {
            return Some(report::Cause::Ended);
        }
        let truthful = match route.kind {
            catalog::Kind::Idempotent => step != Step::Unknown,
            catalog::Kind::Once => step == Step::New,
        };
        truthful.then_some(report::Cause::Dead)
    }

    /// Notes the passing of time.
    pub fn tick(&mut self, snapshot: &snapshot::Snapshot, now: time::Instant) {
        self.tally.sweep(now);
        if now.since(self.ticked) > PAUSE {
            self.paused_until = now + PAUSE;
        }
        self.ticked = now;
        self.links = evidence::links(now, &self.evidence);
        self.suspects = evidence::suspect_zones(now, snapshot, |key| self.evidence(key));
    }

    /// What there is to tell since the last report.
    pub fn report(&mut self, snapshot: &snapshot::Snapshot, now: time::Instant) -> report::Report {
        let avoided = snapshot
            .services
            .iter()
            .flatten()
            .copied()
            .map(|key| (key, self.evidence(key)))
            .filter(|(_, evidence)| evidence.is_avoided(now))
            .map(|(target, evidence)| report::Finding {
                dead: evidence.is_dead(now, self.links),
                links: self.links,
                evidence,
                target,
            })
            .collect();
        report::Report {
            avoided,
            decisions: std::mem::take(&mut self.decisions),
            flows: self.tally.len(),
            loads: self
                .tally
                .counts()
                .map(|(target, count)| report::Load {
                    count,
                    progressed: self.evidence(target).progressed,
                    target,
                })
                .collect(),
            omitted: std::mem::take(&mut self.omitted),
            outcomes: std::mem::take(&mut self.outcomes),
            suspects: self.suspects.clone(),
        }
    }

    /// A flow that was seen lately.
    pub fn flow(&self, key: flow::Key) -> Option<&tally::Flow> {
        self.tally.get(key)
    }

    fn load(&self, snapshot: &snapshot::Snapshot, key: key::Target) -> snapshot::Count {
        let elsewhere = snapshot.target(key).map(|target| target.elsewhere);
        self.tally.count(key) + elsewhere.unwrap_or_default()
    }

    fn forward(&self, target: key::Target) -> Verdict {
        self.counters.increment(count::Counter::Forwarded);
        Verdict::Forward(target)
    }

    fn evidence(&self, key: key::Target) -> evidence::Evidence {
        self.evidence.get(key.index()).copied().unwrap_or_default()
    }

    fn evidence_mut(&mut self, key: key::Target) -> &mut evidence::Evidence {
        arena::slot(&mut self.evidence, key.index())
    }

    fn mark_stall(
        &mut self,
        now: time::Instant,
        key: key::Target,
        flow: flow::Key,
        waited: time::Duration,
    ) {
        self.counters.increment(count::Counter::FlowStalled);
        let links = self.links;
        self.evidence_mut(key).stall(now, flow.low, waited, links);
    }

    fn mark_progress(&mut self, now: time::Instant, key: key::Target) {
        self.progressed = now;
        self.evidence_mut(key).progress(now);
    }

    fn is_suspect(&self, zone: key::Zone) -> bool {
        self.suspects.get(zone.index()).copied().unwrap_or(false)
    }

    fn outcomes_of(&mut self, service: key::Service) -> &mut load::Outcomes {
        arena::slot(&mut self.outcomes, service.index())
    }

    fn note(&mut self, packet: Packet<'_>, cause: report::Cause, target: Option<key::Target>) {
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
            load: target.map_or_else(snapshot::Count::default, |key| self.load(snapshot, key)),
            segment: *packet.segment,
            target,
            version: snapshot.version,
        });
    }
}

/// Whether a sequence number comes after another, across the wrap.
fn is_after(later: u32, earlier: u32) -> bool {
    later != earlier && later.wrapping_sub(earlier) < u32::MAX / 2
}
