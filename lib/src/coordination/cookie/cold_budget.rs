//! Budgets of cold targets: how many first packets each instance may send to a target that is slow
//! after its start, so that all instances together stay within what the target bears.
//!
//! Only instances of the target's zone send any. They are ranked for the target by rendezvous
//! hashing, and the budget is dealt out in order of rank: the first gets one packet, then the second,
//! and so on, from the beginning again if the budget has more packets than there are instances. An
//! instance that knows more others has a rank and a part that are no better. So the parts sum up to
//! the budget at most, as long as each instance that sends knows at least all others that send.
//!
//! Therefore an instance counts the others for long after the last news of them, and sends nothing
//! itself until all others have heard of it, nor while it hears half of those it knew or fewer: then
//! it may be in the smaller part of a zone that is cut in two.

use std::collections::{HashMap, VecDeque};

use crate::coordination::hash;
use crate::state::{key, snapshot, time};

/// Time after the start, or after a pause, in which the others of a small zone hear of an instance.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(10);
/// The additional time for each instance of the zone. An instance hears twelve heartbeats a second,
/// and each names four instances. In a zone of n it hears of a given one 48 / n times a second; after
/// 0.35 s times n the chance that it has not is 5 in 100 million.
const SETTLE_STEP: time::Duration = time::Duration::from_millis(350);
/// Gap between two updates that counts as a pause. Others may have become known meanwhile.
const PAUSE_THRESHOLD: time::Duration = time::Duration::from_millis(1_500);
/// Time after the last news of another instance in which it counts as heard; in a zone of 1,000 an
/// instance is named every twenty seconds.
const HEARD_WITHIN: time::Duration = time::Duration::from_secs(20);
/// Time after the last news of another instance in which it counts as known.
const KNOWN_FOR: time::Duration = time::Duration::from_secs(300);
/// Time for which a published part holds; above the time between two snapshots.
const SHARE_LIFETIME: time::Duration = time::Duration::from_millis(1_000);
/// Time in which an instance sends its part: the second of the budget, and 250 ms by which the
/// delays of two packets may differ.
const WINDOW: time::Duration = time::Duration::from_millis(1_250);
/// Share of its slots that a cold target works on.
const COLD_SHARE: u32 = 2;

/// Another instance of the own zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Member {
    /// Rank of its address.
    pub address_rank: u64,
    /// Whether it announced its stop.
    pub is_leaving: bool,
    /// When it was last heard by any instance.
    pub news_at: time::Instant,
}

/// The instances of the own zone that were known for the last minutes.
#[derive(Clone, Debug)]
pub struct Ledger {
    known: HashMap<u64, Member>,
    settling_since: time::Instant,
    updated_at: time::Instant,
}

impl Ledger {
    /// A ledger without other instances, for an instance that starts at `now`.
    pub fn new(now: time::Instant) -> Self {
        Self {
            known: HashMap::new(),
            settling_since: now,
            updated_at: now,
        }
    }

    /// Takes in the other instances of the zone that are known now.
    pub fn update(&mut self, now: time::Instant, members: impl Iterator<Item = Member>) {
        if now.since(self.updated_at) >= PAUSE_THRESHOLD {
            self.settling_since = now;
        }
        self.updated_at = now;
        // One that announced its stop opens nothing any more, and is forgotten with the peer, some
        // seconds later.
        self.known
            .retain(|_, member| !member.is_leaving && now.since(member.news_at) < KNOWN_FOR);
        for member in members {
            self.known.insert(member.address_rank, member);
        }
    }

    /// Whether this instance may send first packets to cold targets with a budget.
    pub fn is_settled(&self, now: time::Instant) -> bool {
        let instances = self.known.len() + 1;
        let heard = |member: &&Member| now.since(member.news_at) < HEARD_WITHIN;
        let heard = self.known.values().filter(heard).count() + 1;
        let settle_time = SETTLE_TIME + SETTLE_STEP * u32::try_from(instances).unwrap_or(u32::MAX);
        heard * 2 > instances && now.since(self.settling_since) >= settle_time
    }

    /// The part of a target's budget that the instance with this rank of its address has.
    pub fn share(&self, own_rank: u64, target: key::Id, budget: u32) -> u32 {
        let score = |address_rank: u64| (hash::score(target.0, address_rank), address_rank);
        let own = score(own_rank);
        let before = self
            .known
            .keys()
            .filter(|other| score(**other) < own)
            .count();
        let instances = u32::try_from(self.known.len() + 1).unwrap_or(u32::MAX);
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        budget.saturating_sub(before).div_ceil(instances)
    }

    /// The parts of this instance in the budgets of the cold targets of its zone.
    pub fn shares(
        &self,
        now: time::Instant,
        own_rank: u64,
        snapshot: &snapshot::Snapshot,
    ) -> snapshot::ColdShares {
        let targets = snapshot.targets.iter().enumerate();
        let packets = targets.filter_map(|(index, target)| {
            let target = target.as_ref()?;
            let budget = target.cold_budget.filter(|_| now < target.cold_until)?;
            let is_own = snapshot.zone == Some(target.zone);
            is_own.then(|| {
                (
                    key::Target::from(index),
                    self.share(own_rank, target.id, budget),
                )
            })
        });
        snapshot::ColdShares {
            packets: packets.collect(),
            until: now + SHARE_LIFETIME,
        }
    }
}

/// The first packets that a traffic thread has sent lately to cold targets with a budget.
#[derive(Clone, Debug, Default)]
pub struct Openings {
    sent: HashMap<key::Target, VecDeque<time::Instant>>,
}

impl Openings {
    /// Whether one more first packet may be sent to a target, which has a `load` at present.
    pub fn may_open(
        &self,
        now: time::Instant,
        snapshot: &snapshot::Snapshot,
        key: key::Target,
        load: snapshot::Load,
    ) -> bool {
        let Some(target) = budgeted(now, snapshot, key) else {
            return true;
        };
        let shares = &snapshot.cold_shares;
        let share = shares.packets.get(&key).filter(|_| now < shares.until);
        let sent = self.sent.get(&key).map_or(0, |sent| {
            sent.iter().filter(|at| now.since(**at) < WINDOW).count()
        });
        let is_within_share = share.is_some_and(|share| sent < *share as usize);
        // Open flows bring requests too, which the target works on first.
        let is_idle = load.waiting < (u32::from(target.slots) / COLD_SHARE).max(1);
        is_within_share && is_idle
    }

    /// Records that a first packet is sent to a target.
    pub fn record(&mut self, now: time::Instant, snapshot: &snapshot::Snapshot, key: key::Target) {
        if budgeted(now, snapshot, key).is_none() {
            self.sent.remove(&key);
            return;
        }
        let sent = self.sent.entry(key).or_default();
        sent.retain(|at| now.since(*at) < WINDOW);
        sent.push_back(now);
    }
}

/// A target that is cold and has a budget.
fn budgeted(
    now: time::Instant,
    snapshot: &snapshot::Snapshot,
    key: key::Target,
) -> Option<&snapshot::Target> {
    let target = snapshot.target(key)?;
    (target.cold_budget.is_some() && now < target.cold_until).then_some(target)
}
