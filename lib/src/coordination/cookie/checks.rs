//! Checks of targets that do not answer: one instance asks others to open a connection.
//!
//! An asker whose open flow stalls asks two checkers. A checker opens a connection without a request
//! and tells those who asked. It checks a target at a limited rate, however many instances ask.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::coordination::cookie::heartbeat;
use crate::state::{snapshot, time};

/// Time between questions to the checkers of one target.
const ASK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time between checks of the own network; below the age at which their outcome counts.
const NETWORK_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Time between the first two rounds of a target. The second must begin late enough to tell a pause
/// of a second from death, and its verdict must arrive within 1.5 s.
const EARLY_INTERVAL: time::Duration = time::Duration::from_millis(700);
/// Time between later rounds of a target.
const LATE_INTERVAL: time::Duration = time::Duration::from_millis(1_000);
/// Rounds at the shorter interval.
const EARLY_ROUNDS: u32 = 2;
/// Time after a question in which a checker repeats its checks and tells the asker.
const QUESTION_VALID_FOR: time::Duration = time::Duration::from_millis(600);
/// Time after which a check without an outcome was lost; above the time-outs of its connections.
const CHECK_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Age at which results no longer count, and records of checks are dropped.
const RETENTION: time::Duration = time::Duration::from_secs(3);
/// Checks that an instance starts in a second. Two thirds of 120 targets that fail at once need
/// about this many on each of five instances.
const MAX_PER_SECOND: u32 = 32;
/// Largest number of askers kept for a target.
const MAX_ASKERS: usize = 16;
/// Results without an answer after which the next checker in rank is asked.
const ASKS_PER_CHECKER: u32 = 2;

/// Outcome of a check.
pub use heartbeat::Outcome;

/// A check of this instance.
#[derive(Clone, Debug, Default)]
struct Own {
    askers: Vec<(SocketAddr, time::Instant)>,
    began: time::Instant,
    /// Outcome of the last check; none while it runs.
    outcome: Option<Outcome>,
    rounds: u32,
}

impl Own {
    fn is_asked(&self, now: time::Instant) -> bool {
        let recent = |asked: time::Instant| now.since(asked) < QUESTION_VALID_FOR;
        self.askers.iter().any(|(_, asked)| recent(*asked))
    }

    fn is_due(&self, now: time::Instant) -> bool {
        let interval = match (self.rounds, self.outcome) {
            (0, _) => return true,
            (_, None) => CHECK_TIMEOUT,
            (rounds, Some(outcome)) if rounds < EARLY_ROUNDS && outcome != Outcome::Opened => {
                EARLY_INTERVAL
            }
            _ => LATE_INTERVAL,
        };
        now.since(self.began) >= interval
    }
}

/// Time between the starts of two failed checks of a checker up to which they count as in a row.
const MAX_GAP: time::Duration = time::Duration::from_millis(2_000);

/// The last result of one checker.
#[derive(Clone, Copy, Debug)]
struct Finding {
    began: time::Instant,
    checker: SocketAddr,
    /// Start of the first of the failed checks in a row.
    failing_since: time::Instant,
    in_own_zone: bool,
    outcome: Outcome,
}

/// A target in doubt, with the results of its checkers.
#[derive(Clone, Debug, Default)]
struct Doubt {
    asked: time::Instant,
    /// Questions since the last result from the own zone and from other zones.
    unanswered: [u32; 2],
    findings: Vec<Finding>,
    opened_at: time::Instant,
}

/// Checkers that must agree.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Quorum {
    /// The only instance.
    One,
    /// Two instances of the only zone.
    Two,
    /// Instances of two zones.
    TwoZones,
}

/// Checks that this instance runs and asks for.
#[derive(Clone, Debug, Default)]
pub struct Checks {
    /// When a check of this instance last got an answer.
    pub reachable_at: time::Instant,
    doubts: HashMap<u32, Doubt>,
    /// When this instance last checked a target to see whether its own network works.
    network_checked: time::Instant,
    own: HashMap<u32, Own>,
    started: u32,
    window: time::Instant,
}

impl Checks {
    /// Ranks of the checkers to ask about a target, in the own zone and in others; none if they were
    /// asked just now.
    pub fn ask(&mut self, now: time::Instant, cookie: u32) -> Option<[usize; 2]> {
        let doubt = self.doubts.entry(cookie).or_default();
        if now.since(doubt.asked) < ASK_INTERVAL {
            return None;
        }
        doubt.asked = now;
        let ranks = doubt
            .unanswered
            .map(|asks| (asks / ASKS_PER_CHECKER) as usize);
        doubt.unanswered = doubt.unanswered.map(|asks| asks.saturating_add(1));
        Some(ranks)
    }

    /// Whether this instance may check now whether its own network works; counts it if so.
    pub fn take_network_check(&mut self, now: time::Instant) -> bool {
        let due = now.since(self.network_checked) >= NETWORK_INTERVAL;
        if due {
            self.network_checked = now;
        }
        due
    }

    /// Takes a question of another instance, or of this one. Returns the last result if it may still
    /// be of use.
    pub fn on_question(
        &mut self,
        now: time::Instant,
        from: SocketAddr,
        cookie: u32,
    ) -> Option<heartbeat::Check> {
        let own = self.own.entry(cookie).or_default();
        own.askers.retain(|(asker, _)| *asker != from);
        if own.askers.len() < MAX_ASKERS {
            own.askers.push((from, now));
        }
        let recent = now.since(own.began) < LATE_INTERVAL;
        let outcome = own.outcome.filter(|_| recent)?;
        Some(heartbeat::Check {
            began_ms: time::millis(now.since(own.began)),
            cookie,
            outcome,
        })
    }

    /// Cookies of targets whose checks are to start now; counts them.
    pub fn start(&mut self, now: time::Instant) -> Vec<u32> {
        if now.since(self.window) >= time::Duration::from_secs(1) {
            self.window = now;
            self.started = 0;
        }
        let due = self
            .own
            .iter()
            .filter(|(_, own)| own.is_asked(now) && own.is_due(now));
        let mut due: Vec<u32> = due.map(|(cookie, _)| *cookie).collect();
        due.sort();
        due.truncate((MAX_PER_SECOND - self.started.min(MAX_PER_SECOND)) as usize);
        for cookie in &due {
            self.started += 1;
            let own = self.own.entry(*cookie).or_default();
            own.began = now;
            own.outcome = None;
            own.rounds += 1;
        }
        due
    }

    /// Takes the outcome of a check of this instance. Returns the result and who asked for it.
    pub fn on_outcome(
        &mut self,
        now: time::Instant,
        cookie: u32,
        outcome: Outcome,
    ) -> Option<(heartbeat::Check, Vec<SocketAddr>)> {
        if outcome != Outcome::Unanswered {
            self.reachable_at = now;
        }
        let own = self.own.get_mut(&cookie)?;
        own.outcome = Some(outcome);
        let recent = |asked: time::Instant| now.since(asked) < QUESTION_VALID_FOR;
        let askers = own.askers.iter().filter(|(_, asked)| recent(*asked));
        let askers = askers.map(|(asker, _)| *asker).collect();
        let check = heartbeat::Check {
            began_ms: time::millis(now.since(own.began)),
            cookie,
            outcome,
        };
        Some((check, askers))
    }

    /// Takes the result of a checker; returns whether the target is in doubt here.
    pub fn learn(
        &mut self,
        now: time::Instant,
        checker: SocketAddr,
        in_own_zone: bool,
        check: heartbeat::Check,
    ) -> bool {
        let Some(doubt) = self.doubts.get_mut(&check.cookie) else {
            return false;
        };
        let began = now.before(time::Duration::from_millis(u64::from(check.began_ms)));
        doubt.unanswered[usize::from(!in_own_zone)] = 0;
        if check.outcome == Outcome::Opened {
            doubt.opened_at = doubt.opened_at.max(began);
        }
        let before = doubt.findings.iter();
        let before = before.filter(|found| found.checker == checker);
        let failing_since = before
            .filter(|found| found.outcome != Outcome::Opened)
            .filter(|found| began.since(found.began) < MAX_GAP)
            .map(|found| found.failing_since)
            .min();
        doubt.findings.retain(|found| found.checker != checker);
        doubt.findings.push(Finding {
            began,
            checker,
            failing_since: failing_since.unwrap_or(began),
            in_own_zone,
            outcome: check.outcome,
        });
        true
    }

    /// What checks show of a target.
    pub fn summary(&self, now: time::Instant, cookie: u32, quorum: Quorum) -> snapshot::Check {
        let Some(doubt) = self.doubts.get(&cookie) else {
            return snapshot::Check::default();
        };
        let latest = |in_own_zone: bool| {
            let failed = doubt.findings.iter().filter(|found| {
                found.outcome != Outcome::Opened && now.since(found.began) < RETENTION
            });
            let mut failed: Vec<Finding> = failed.copied().collect();
            failed.retain(|found| found.in_own_zone == in_own_zone);
            failed.sort_by_key(|found| std::cmp::Reverse(found.began));
            failed
        };
        let (own_zone, others) = (latest(true), latest(false));
        let agreeing: Vec<Finding> = match quorum {
            Quorum::One => own_zone.into_iter().take(1).collect(),
            Quorum::Two => own_zone.into_iter().take(2).collect(),
            Quorum::TwoZones => own_zone
                .into_iter()
                .take(1)
                .chain(others.into_iter().take(1))
                .collect(),
        };
        let needed = if quorum == Quorum::One { 1 } else { 2 };
        let failed_at = agreeing.iter().map(|found| found.began).min();
        let failing_since = agreeing.iter().map(|found| found.failing_since).max();
        snapshot::Check {
            failed_at: failed_at
                .filter(|_| agreeing.len() == needed)
                .unwrap_or_default(),
            failing_since: failing_since.unwrap_or_default().max(doubt.opened_at),
            opened_at: doubt.opened_at,
            refused: agreeing
                .iter()
                .any(|found| found.outcome == Outcome::Refused),
        }
    }

    /// Drops what is out of date.
    pub fn tick(&mut self, now: time::Instant) {
        self.doubts
            .retain(|_, doubt| now.since(doubt.asked) < RETENTION);
        self.own
            .retain(|_, own| own.is_asked(now) || now.since(own.began) < RETENTION);
    }
}
