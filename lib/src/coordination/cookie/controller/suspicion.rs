//! Targets in doubt: what this instance asks others of them, and what it answers.

use std::net::SocketAddr;

use super::{Audience, Controller, Output};
use crate::coordination::cookie::{checks, heartbeat, peers};
use crate::state::{key, snapshot, time};

/// Age of the last progress at this instance at which it checks a target that is not in doubt, to see
/// whether its own network works.
const SILENT_AFTER: time::Duration = time::Duration::from_millis(200);

impl Controller {
    /// Tells another instance which of the targets that do not answer it are alive.
    pub(super) fn answer(&mut self, now: time::Instant, to: SocketAddr, suspects: &[u32]) {
        let progress = self.summary(now).progress(suspects);
        if !progress.is_empty() {
            let heartbeat = heartbeat::Heartbeat {
                progress,
                ..self.heartbeat(now, Audience::Notified)
            };
            self.outputs
                .push(Output::Heartbeat(vec![to], Box::new(heartbeat)));
        }
    }

    /// Adds to the receivers of a heartbeat those that may know more of targets in doubt.
    pub(super) fn add_question_receivers(
        &mut self,
        now: time::Instant,
        suspects: &[u32],
        receivers: &mut peers::Receivers,
    ) {
        let zones = self.summary(now).zones_of(suspects);
        let asked = self.peers.question_receivers(&zones, &mut self.random);
        receivers.own_zone = asked.own_zone;
        receivers.others.extend(asked.others);
        receivers.others.sort();
        receivers.others.dedup();
    }

    /// Asks checkers about the targets whose open flows stall.
    pub(super) fn ask_checkers(&mut self, now: time::Instant) {
        if !self.config.features.health {
            return;
        }
        let stalled = self.summary(now).stalled();
        let mut questions: Vec<(SocketAddr, Vec<u32>)> = Vec::new();
        for cookie in &stalled {
            let Some(ranks) = self.checks.ask(now, *cookie) else {
                continue;
            };
            let zone = self.summary(now).zones_of(&[*cookie]).pop();
            for checker in self.peers.checkers(now, *cookie, zone.as_deref(), ranks) {
                match questions.iter_mut().find(|(to, _)| *to == checker) {
                    Some((_, cookies)) => cookies.push(*cookie),
                    None => questions.push((checker, vec![*cookie])),
                }
            }
        }
        for (to, cookies) in questions {
            if to == self.config.address {
                self.on_questions(now, to, &cookies);
                continue;
            }
            let heartbeat = heartbeat::Heartbeat {
                checks_wanted: cookies.clone(),
                suspects: cookies,
                ..self.heartbeat(now, Audience::Notified)
            };
            self.outputs
                .push(Output::Heartbeat(vec![to], Box::new(heartbeat)));
        }
        if !stalled.is_empty() {
            self.check_own_network(now, &stalled);
        }
        self.start_checks(now);
    }

    /// Checks a target that is not in doubt, if no flow makes progress here.
    fn check_own_network(&mut self, now: time::Instant, stalled: &[u32]) {
        let loads = self.reports.iter().flat_map(|report| &report.loads);
        let latest = loads.map(|load| load.last_progress).max();
        let silent = latest.is_none_or(|latest| now.since(latest) >= SILENT_AFTER);
        let others = self.snapshot.targets.iter().flatten();
        let others = others.filter(|target| {
            target.eligibility == snapshot::Eligibility::NewFlows
                && !stalled.contains(&target.cookie.0)
        });
        let cookies: Vec<u32> = others.map(|target| target.cookie.0).collect();
        if silent && !cookies.is_empty() && self.checks.take_network_check(now) {
            let chosen = cookies[self.random.below(cookies.len())];
            self.checks.on_question(now, self.config.address, chosen);
        }
    }

    /// Takes questions of an instance that wants targets to be checked.
    pub(super) fn on_questions(&mut self, now: time::Instant, from: SocketAddr, cookies: &[u32]) {
        if !self.config.features.health {
            return;
        }
        let mut known = Vec::new();
        for cookie in cookies {
            if self
                .snapshot
                .cookies
                .contains_key(&snapshot::Cookie(*cookie))
            {
                known.extend(self.checks.on_question(now, from, *cookie));
            }
        }
        if !known.is_empty() {
            self.tell(now, from, known);
        }
        self.start_checks(now);
    }

    /// Starts the checks that are due.
    pub(super) fn start_checks(&mut self, now: time::Instant) {
        for cookie in self.checks.start(now) {
            let key = self.snapshot.cookies.get(&snapshot::Cookie(cookie));
            if let Some(target) = key.and_then(|key| self.snapshot.target(*key)) {
                let address = SocketAddr::V4(target.address);
                self.outputs.push(Output::Check(cookie, address));
            }
        }
    }

    /// Handles the outcome of a check of this instance.
    pub fn on_checked(&mut self, now: time::Instant, cookie: u32, outcome: checks::Outcome) {
        let Some((check, askers)) = self.checks.on_outcome(now, cookie, outcome) else {
            return;
        };
        let key = self.snapshot.cookies.get(&snapshot::Cookie(cookie));
        self.outputs
            .extend(key.map(|key| Output::Log(super::Event::Checked(*key, outcome, askers.len()))));
        for asker in askers {
            self.tell(now, asker, vec![check]);
        }
    }

    fn tell(&mut self, now: time::Instant, to: SocketAddr, results: Vec<heartbeat::Check>) {
        if to == self.config.address {
            self.learn_checks(now, to, true, &results);
            return;
        }
        let heartbeat = heartbeat::Heartbeat {
            checks: results,
            ..self.heartbeat(now, Audience::Notified)
        };
        self.outputs
            .push(Output::Heartbeat(vec![to], Box::new(heartbeat)));
    }

    /// Takes the results of a checker.
    pub(super) fn learn_checks(
        &mut self,
        now: time::Instant,
        from: SocketAddr,
        in_own_zone: bool,
        results: &[heartbeat::Check],
    ) {
        let mut news = false;
        for check in results {
            news |= self.checks.learn(now, from, in_own_zone, *check);
        }
        if news {
            self.publish(now);
        }
    }

    /// Adds what checks show to a snapshot.
    pub(super) fn add_checks(&self, now: time::Instant, built: &mut snapshot::Snapshot) {
        built.checks = self.config.features.health;
        if !built.checks {
            return;
        }
        built.reachable_at = self.checks.reachable_at;
        let quorum = self.peers.quorum();
        for cookie in self.summary(now).stalled() {
            let key = built.cookies.get(&snapshot::Cookie(cookie));
            let key: Option<key::Target> = key.copied();
            if let Some(remote) = key.and_then(|key| built.remotes.get_mut(key.index())) {
                remote.check = self.checks.summary(now, cookie, quorum);
            }
        }
    }
}
