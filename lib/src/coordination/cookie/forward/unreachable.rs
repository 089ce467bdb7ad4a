//! Targets that are dead by checks or replaced, and the flows that wait for them.

use super::{CONDEMNED_FOR, PATIENCE_FACTOR, PATIENCE_WINDOW, Packet, Shard};
use crate::coordination::cookie::{report, verdict};
use crate::state::{catalog, count, key, packet, segment, snapshot, time};

impl Shard {
    /// The basis on which a target counts as dead; none if it may be alive.
    pub(super) fn basis(
        &self,
        snapshot: &snapshot::Snapshot,
        now: time::Instant,
        key: key::Target,
    ) -> Option<verdict::Basis> {
        verdict::basis(&verdict::Inputs {
            checks: snapshot.checks,
            evidence: self.evidence(key),
            last_progress: self.last_progress,
            links: self.links,
            now,
            patience: self.patience(snapshot, now, key),
            paused_until: self.paused_until,
            reachable_at: snapshot.reachable_at,
            remote: snapshot.remote(key),
        })
    }

    /// Time without progress that says nothing about a target: several times as long as it, or most
    /// targets of its service, take for a request. An overloaded target answers late.
    pub(super) fn patience(
        &self,
        snapshot: &snapshot::Snapshot,
        now: time::Instant,
        key: key::Target,
    ) -> time::Duration {
        let own_us = self.paces.get(key.index());
        let own_us = own_us.and_then(|pace| pace.recent_us(now, PATIENCE_WINDOW));
        let target = snapshot.target(key);
        let usual_us = target.and_then(|target| snapshot.usual_us(target.service));
        let remote = snapshot.remote(key);
        let is_recent = now.since(remote.last_progress) < PATIENCE_WINDOW;
        let peers_us = remote.measured.filter(|_| is_recent);
        let peers_us = peers_us.map(|measured| measured.response_us);
        let longest_us = own_us.max(peers_us).max(usual_us);
        time::Duration::from_micros(u64::from(longest_us.unwrap_or(0))) * PATIENCE_FACTOR
    }

    /// Finds the targets that are dead by checks. They get no new flows.
    pub(super) fn find_unreachable(&mut self, snapshot: &snapshot::Snapshot, now: time::Instant) {
        let checked = snapshot.remotes.iter().enumerate();
        let checked = checked.filter(|(_, remote)| remote.check.failed_at > time::Instant(0));
        let dead: Vec<key::Target> = checked
            .map(|(index, _)| key::Target::from(index))
            .filter(|key| self.basis(snapshot, now, *key) == Some(verdict::Basis::Checks))
            .collect();
        let condemned = std::mem::take(&mut self.condemned);
        let still = condemned.into_iter();
        let still = still.filter(|(key, at)| self.is_silent_since(snapshot, now, *key, *at));
        self.condemned = still.collect();
        for key in dead {
            self.evidence_mut(key).avoid_dead(now);
            if !self.condemned.iter().any(|(known, _)| *known == key) {
                self.counters.increment(count::Counter::TargetUnreachable);
                self.condemned.push((key, now));
            }
        }
        let replaced = snapshot.targets.iter().enumerate().filter(|(_, target)| {
            target.is_some_and(|found| found.eligibility == snapshot::Eligibility::Replaced)
        });
        let condemned = self.condemned.iter().map(|(key, _)| *key);
        let gone = condemned.chain(replaced.map(|(index, _)| key::Target::from(index)));
        self.unreachable = gone.collect();
    }

    /// Whether a target was dead by checks and has made no progress since. A check that opens a
    /// connection later may have reached another process that has the address since.
    pub(super) fn is_condemned(
        &self,
        snapshot: &snapshot::Snapshot,
        now: time::Instant,
        key: key::Target,
    ) -> bool {
        let mut found = self.condemned.iter().filter(|(known, _)| *known == key);
        found.any(|(_, at)| self.is_silent_since(snapshot, now, key, *at))
    }

    pub(super) fn is_silent_since(
        &self,
        snapshot: &snapshot::Snapshot,
        now: time::Instant,
        key: key::Target,
        at: time::Instant,
    ) -> bool {
        let last_progress = self.evidence(key).last_progress;
        let last_progress = last_progress.max(snapshot.remote(key).last_progress);
        last_progress <= at && now.since(at) < CONDEMNED_FOR
    }

    /// Removes the flows that wait for targets which are dead by checks, if their requests may run
    /// again, and returns them.
    pub(super) fn return_waiting(
        &mut self,
        snapshot: &snapshot::Snapshot,
        now: time::Instant,
    ) -> Vec<segment::Segment> {
        if self.unreachable.is_empty() {
            return Vec::new();
        }
        let mut returned = Vec::new();
        for (flow, found) in self.flow_table.waiting_on(&self.unreachable) {
            let route = snapshot.routes.get(&found.route);
            let may_repeat =
                route.is_some_and(|route| route.idempotency == catalog::Idempotency::Idempotent);
            let Some(target) = snapshot.target(found.target).filter(|_| may_repeat) else {
                continue;
            };
            let segment = segment::Segment {
                acknowledged: found.acknowledged,
                caller: found.caller,
                cookie: target.cookie,
                retransmissions: 0,
                kind: packet::Kind::Established,
                length: 0,
                route: found.route,
                sequence: found.sent_end,
            };
            let packet = Packet {
                flow,
                now,
                segment: &segment,
                snapshot,
            };
            self.record_decision(packet, report::Cause::Unreachable, Some(found.target));
            self.outcomes_mut(target.service).lost += 1;
            self.counters.increment(count::Counter::FlowReturned);
            self.flow_table.remove(flow);
            returned.push(segment);
        }
        returned
    }
}
