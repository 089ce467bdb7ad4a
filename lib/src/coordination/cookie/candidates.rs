//! Which instances watch the platform, by gossip.
//!
//! All instances rank each other by a hash of their addresses. Each heartbeat names the instances
//! that its sender knows to be alive and first in rank, and those that the platform answers, so that
//! every instance soon knows them, however many instances there are.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::coordination::cookie::heartbeat;
use crate::coordination::hash;
use crate::state::time;

/// Instances first in rank that are kept.
pub const KEPT_BY_RANK: usize = 4;
/// Instances answered by the platform that are kept besides.
const KEPT_WATCHERS: usize = 2;
/// Age at which what is known of an instance no longer shows that it is alive; above the time in
/// which gossip reaches every instance of a large fleet.
const TIMEOUT: time::Duration = time::Duration::from_millis(10_000);

/// An instance that watches the platform or may have to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Address of its heartbeats.
    pub address: SocketAddr,
    /// When the platform last answered it; none if it does not watch.
    pub answered_at: Option<time::Instant>,
    /// When it sent what is known of it.
    pub seen: time::Instant,
}

/// The instances that rank before another one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Ahead {
    /// Their number, up to those that are kept.
    pub count: usize,
    /// How many of them the platform answers.
    pub watchers: usize,
}

/// The candidates that an instance knows, other than itself.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// In order of rank.
    entries: Vec<Candidate>,
    /// When instances that announced their stop did so.
    left: HashMap<SocketAddr, time::Instant>,
}

impl Candidates {
    /// Takes in what is known of an instance. `answered_within` is the age up to which an answer of
    /// the platform, and what is known of the instance, show that it watches.
    pub fn learn(
        &mut self,
        now: time::Instant,
        candidate: Candidate,
        answered_within: time::Duration,
    ) {
        let left = self.left.get(&candidate.address);
        if left.is_some_and(|left| candidate.seen <= *left) {
            return;
        }
        match self
            .entries
            .iter_mut()
            .find(|known| known.address == candidate.address)
        {
            Some(known) if known.seen < candidate.seen => *known = candidate,
            Some(_) => {}
            None => {
                let place = self.entries.partition_point(|known| {
                    hash::address_rank(known.address) < hash::address_rank(candidate.address)
                });
                self.entries.insert(place, candidate);
            }
        }
        self.prune(now, answered_within);
    }

    /// Forgets an instance that announced its stop.
    pub fn remove(&mut self, now: time::Instant, address: SocketAddr) {
        self.entries.retain(|known| known.address != address);
        self.left.retain(|_, left| now.since(*left) < TIMEOUT);
        self.left.insert(address, now);
    }

    /// The candidates that rank before an instance.
    pub fn ahead_of(
        &self,
        own: SocketAddr,
        now: time::Instant,
        answered_within: time::Duration,
    ) -> Ahead {
        let ahead = self
            .alive(now)
            .filter(|known| hash::address_rank(known.address) < hash::address_rank(own));
        ahead.fold(Ahead::default(), |sum, known| Ahead {
            count: sum.count + 1,
            watchers: sum.watchers + usize::from(known.is_answered(now, answered_within)),
        })
    }

    /// The candidates that are alive, for a heartbeat.
    pub fn advertised(&self, now: time::Instant) -> Vec<heartbeat::Candidate> {
        self.alive(now)
            .map(|known| heartbeat::Candidate {
                address: known.address,
                contact_ms: known
                    .answered_at
                    .map(|answered| time::millis(known.seen.since(answered))),
                silent_ms: time::millis(now.since(known.seen)),
            })
            .collect()
    }

    fn alive(&self, now: time::Instant) -> impl Iterator<Item = &Candidate> {
        self.entries
            .iter()
            .filter(move |known| now.since(known.seen) < TIMEOUT)
    }

    fn prune(&mut self, now: time::Instant, answered_within: time::Duration) {
        let mut kept = 0;
        let mut watchers = 0;
        self.entries.retain(|known| {
            if now.since(known.seen) >= TIMEOUT {
                return false;
            }
            let answered = known.is_answered(now, answered_within);
            watchers += usize::from(answered);
            kept += 1;
            kept <= KEPT_BY_RANK || (answered && watchers <= KEPT_WATCHERS)
        });
    }
}

impl Candidate {
    /// Whether the platform had answered it lately when it sent what is known of it.
    fn is_answered(&self, now: time::Instant, within: time::Duration) -> bool {
        let answered = self
            .answered_at
            .is_some_and(|answered| self.seen.since(answered) < within);
        answered && now.since(self.seen) < within
    }
}
