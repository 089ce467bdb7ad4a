//! Which target has a cookie that several targets share.
//!
//! A cookie is a hash of the target's identity, so two targets may have the same one. The target that
//! started first has it, and keeps it after its removal for as long as its flows may live. The others
//! take no new flows until it is gone. Starts are reported by the targets themselves, so all instances
//! decide alike, in whatever order they learn of the targets.

use std::collections::HashMap;
use std::sync::Arc;

use crate::coordination::cookie::registry;
use crate::state::{key, snapshot, time};

/// Time after its removal at which a target no longer has its cookie. It is shorter than the time for
/// which removed targets are kept, since another target takes flows only after that: the difference
/// covers how far apart instances learn of a removal.
const COOKIE_RETENTION: time::Duration = time::Duration::from_secs(70);

/// A target that takes no new flows because of its cookie.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Conflict {
    /// The target that has the cookie; none if only its removal is known.
    pub holder: Option<key::Target>,
    /// The target that takes no new flows.
    pub withheld: key::Target,
}

/// The targets by cookie.
#[derive(Clone, Debug)]
pub struct Table {
    /// Targets that take no new flows, in order of their keys.
    pub conflicts: Vec<Conflict>,
    /// When the table changes by time alone.
    pub next_transition: time::Instant,
    /// The target of each cookie.
    pub targets: Arc<HashMap<snapshot::Cookie, key::Target>>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            conflicts: Vec::new(),
            next_transition: time::Instant::NEVER,
            targets: Arc::default(),
        }
    }
}

/// Order of the targets with one cookie: those that still have it go first, then the earliest start,
/// where an unknown one counts as the earliest, then the lowest identifier.
fn order(now: time::Instant, record: &registry::Record) -> (bool, u64, u64) {
    let is_over = yields_at(record).is_some_and(|at| now >= at);
    (is_over, record.details.started_unix_ms, record.id.0)
}

/// When a target that was removed loses its cookie to another one.
fn yields_at(record: &registry::Record) -> Option<time::Instant> {
    Some(record.missing_since? + COOKIE_RETENTION)
}

/// Assigns the cookies of the known targets.
pub fn assign(now: time::Instant, registry: &registry::Registry) -> Table {
    let mut by_cookie: HashMap<snapshot::Cookie, key::Target> = HashMap::new();
    let mut shared: HashMap<snapshot::Cookie, Vec<key::Target>> = HashMap::new();
    for (key, record) in registry.targets.iter() {
        if let Some(other) = by_cookie.insert(record.cookie, key) {
            shared.entry(record.cookie).or_default().push(other);
        }
    }
    let mut conflicts: Vec<Conflict> = registry
        .removals
        .keys()
        .filter_map(|id| by_cookie.get(&registry::cookie(*id)))
        .map(|withheld| Conflict {
            holder: None,
            withheld: *withheld,
        })
        .collect();
    let mut next_transition = time::Instant::NEVER;
    for (cookie, others) in shared {
        let last = by_cookie.get(&cookie).copied();
        let mut members: Vec<(key::Target, &registry::Record)> = others
            .into_iter()
            .chain(last)
            .filter_map(|key| Some((key, registry.targets.get(key)?)))
            .collect();
        members.sort_by_key(|(_, record)| order(now, record));
        let changes = members.iter().filter_map(|(_, record)| yields_at(record));
        let next = changes.filter(|at| *at > now).min();
        next_transition = next_transition.min(next.unwrap_or(time::Instant::NEVER));
        let Some((holder, _)) = members.first().copied() else {
            continue;
        };
        by_cookie.insert(cookie, holder);
        // As long as a removed target is kept, its successor takes no new flows either.
        let has_yielded = members
            .iter()
            .any(|(_, record)| yields_at(record).is_some_and(|at| now >= at));
        let withheld = members.iter().skip(usize::from(!has_yielded));
        conflicts.extend(withheld.map(|(withheld, _)| Conflict {
            holder: Some(holder),
            withheld: *withheld,
        }));
    }
    conflicts.sort_by_key(|conflict| conflict.withheld.index());
    conflicts.dedup_by_key(|conflict| conflict.withheld);
    Table {
        conflicts,
        next_transition,
        targets: Arc::new(by_cookie),
    }
}

impl Table {
    /// Whether a target takes no new flows because another one has its cookie.
    pub fn is_withheld(&self, key: key::Target) -> bool {
        self.conflicts
            .binary_search_by_key(&key.index(), |conflict| conflict.withheld.index())
            .is_ok()
    }
}

/// The conflicts that begin (`true`) or end between two tables.
pub fn changes(before: &[Conflict], after: &[Conflict]) -> Vec<(Conflict, bool)> {
    let missing = |found: &Conflict, from: &[Conflict]| !from.contains(found);
    let ended = before.iter().filter(|found| missing(found, after));
    let begun = after.iter().filter(|found| missing(found, before));
    let ended = ended.map(|found| (*found, false));
    ended.chain(begun.map(|found| (*found, true))).collect()
}
