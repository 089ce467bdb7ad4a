//! The configuration and the registered targets as this instance knows them.
//!
//! Registry data comes from the platform or from another instance in the same form and is merged by
//! revision, so that older data never replaces newer data. A registration that vanishes while the
//! platform is unreachable may only have lapsed: its target continues to get new flows for a short
//! grace period, in which a living target registers again. A removed target is kept for as long as
//! its flows may live, since a target that lost its registration may still serve them.
//!
//! If the platform was restored from a copy, the copy lacks registrations that were made since. They
//! have the same grace period. The copy also lists targets that have left since. They are held: they
//! take no new flows until they register again, or until the platform would have removed them.

use std::collections::HashMap;

use compact_str::CompactString;

use crate::coordination::cookie::{evacuation, timing};
use crate::coordination::hash;
use crate::state::{arena, catalog, key, snapshot, time};

/// Longest time until a watcher learns of a change: its pause of 400 ms after the change before and a
/// call to a slow platform of 300 ms.
const LEARNING_TIME: time::Duration = time::Duration::from_millis(700);
/// Grace period after an outage in which a living target registers again; the platform's
/// documentation promises about two seconds.
const LAPSE_GRACE: time::Duration = time::Duration::from_millis(2_200);
/// Intervals without a write after which the platform removes a registration.
const MISSED_WRITES: u32 = 3;
/// Time after a restore in which targets reach the platform again.
const RETURN_TIME: time::Duration = time::Duration::from_millis(2_000);
/// Time for which a removed target is kept; above the longest life of a flow, 60 s.
const REMOVED_RETENTION: time::Duration = time::Duration::from_secs(75);

/// A known target.
#[derive(Clone, Debug)]
pub struct Record {
    /// Until when it is slow after its start.
    pub cold_until: time::Instant,
    /// Cookie of its flows.
    pub cookie: snapshot::Cookie,
    /// Details of the last registration that could be read.
    pub details: catalog::Target,
    /// Until when it takes no new flows, because it left after the copy was taken from which the
    /// platform was restored; none if it is not held.
    pub held_until: Option<time::Instant>,
    /// Identifier of the target.
    pub id: key::Id,
    /// When its registration vanished or became unreadable; none while it is present.
    pub missing_since: Option<time::Instant>,
    /// Before which instant its registration did not vanish; the bound on new flows counts from it.
    pub present_until: time::Instant,
    /// State of its registration.
    pub status: Status,
    /// Revision of the last change.
    pub revision: catalog::Revision,
}

/// State of a registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// It is registered.
    Present,
    /// It vanished during an outage and may come back.
    Lapsed,
    /// It was removed.
    Removed,
    /// It cannot be read.
    Unreadable,
}

impl Record {
    /// Whether the target serves and is not about to leave.
    pub fn is_active(&self) -> bool {
        self.status == Status::Present
            && self.details.state == catalog::State::Active
            && self.held_until.is_none()
    }

    /// The state whose changes are logged.
    fn summary(&self) -> (Status, catalog::State, u64, bool) {
        let details = &self.details;
        let is_held = self.held_until.is_some();
        (self.status, details.state, details.started_unix_ms, is_held)
    }

    /// Whether the target has left since it wrote a registration that a restored platform lists.
    fn has_left_since(&self, listed: &catalog::Presence) -> bool {
        let catalog::Presence::Present(listed) = listed else {
            return false;
        };
        let known = &self.details;
        let written = |details: &catalog::Target| (details.started_unix_ms, details.sequence);
        let is_leaving = known.state == catalog::State::Draining
            && listed.state == catalog::State::Active
            && written(listed) < written(known);
        let is_gone = self.status == Status::Removed || self.held_until.is_some();
        is_leaving || (is_gone && written(listed) <= written(known))
    }
}

/// The end of a registration whose target was never known here. Other instances may know the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Removal {
    /// When this instance learned of it.
    pub at: time::Instant,
    /// Whether the registration is present and cannot be read.
    pub is_unreadable: bool,
    /// Revision of the change.
    pub revision: catalog::Revision,
}

/// A change of the registry, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A newer version of the configuration is in force.
    Config(u64),
    /// The registry data is confirmed again after an outage of this length.
    Confirmed(time::Duration),
    /// The evacuation of a zone was ordered, withdrawn or held.
    Evacuation(CompactString),
    /// All data was read as of this revision, which is below the one that is known.
    Outdated(catalog::Revision),
    /// The platform was restored from a copy; the data reached to this revision before.
    Restored(catalog::Revision),
    /// The status, state, start or hold of a target changed.
    Target(key::Target),
}

/// The registry data of one instance.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Revision up to which all changes are known.
    pub as_of: catalog::Revision,
    /// The configuration in force.
    pub config: Option<catalog::Config>,
    /// When the data was last known to be current.
    pub confirmed_at: Option<time::Instant>,
    /// Zones that take no new flows.
    pub evacuations: evacuation::Evacuations,
    /// Number of changes of the targets, of the configuration or of evacuations.
    pub generation: u64,
    /// Number of changes of what cookies depend on: a target was added or dropped, was removed or
    /// came back, or started again, or the removal of an unknown one was recorded or dropped.
    pub membership_generation: u64,
    /// Ends of registrations whose targets were never known here.
    pub removals: HashMap<key::Id, Removal>,
    /// Known targets, including removed ones that are still kept.
    pub targets: arena::Arena<key::Target, Record>,
    /// Before which instant no change of the data that was last merged was made.
    changed_after: time::Instant,
    /// Removals up to this revision may no longer be recorded.
    compacted_revision: catalog::Revision,
    grace_until: time::Instant,
    /// Time for which registrations of targets that have left are held.
    hold_time: time::Duration,
    keys: HashMap<key::Id, key::Target>,
    /// Ages of the data at which instances act.
    timing: timing::Timing,
}

/// The cookie of a target, the same on every instance.
pub fn cookie(id: key::Id) -> snapshot::Cookie {
    let mixed = hash::score(id.0, 0);
    let folded = (mixed >> 32) as u32 ^ mixed as u32;
    // Zero stands for no target.
    snapshot::Cookie(folded.max(1))
}

impl Registry {
    /// A registry without data, for targets that write to their registrations at this interval.
    pub fn new(write_interval: time::Duration, timing: timing::Timing) -> Self {
        let hold_time = write_interval * MISSED_WRITES + RETURN_TIME;
        Self {
            evacuations: evacuation::Evacuations::new(hold_time),
            hold_time,
            timing,
            ..Self::default()
        }
    }

    /// Age of the data; none if there was never any.
    pub fn age(&self, now: time::Instant) -> Option<time::Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Version of the configuration in force, zero without one.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// How far the data reaches.
    pub fn position(&self) -> catalog::Position {
        catalog::Position {
            as_of: self.as_of,
            version: self.version(),
        }
    }

    /// Whether the data suffices for the placement of new flows.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.as_of > catalog::Revision::NONE
    }

    /// Whether the last outage is long enough ago that a missing registration shows that its target
    /// has ended.
    pub fn is_removal_conclusive(&self, now: time::Instant) -> bool {
        now >= self.grace_until + LAPSE_GRACE
    }

    /// Number of registrations and routes.
    pub fn item_count(&self) -> usize {
        let routes = self.config.as_ref().map_or(0, |config| config.routes.len());
        self.targets.len() + routes
    }

    /// Whether changes follow on what is known, so that nothing in between is missing.
    pub fn continues(&self, delta: &catalog::Delta) -> bool {
        let same_era = delta.since.era == self.as_of.era;
        delta.full || (delta.is_gapless() && same_era && delta.since <= self.as_of)
    }

    /// The key of the target with an identifier.
    pub fn find(&self, id: key::Id) -> Option<key::Target> {
        self.keys.get(&id).copied()
    }

    /// Records that the data up to a revision was current at an instant; returns a change if an
    /// outage ended.
    pub fn confirm(
        &mut self,
        now: time::Instant,
        as_of: catalog::Revision,
        current_at: time::Instant,
    ) -> Option<Change> {
        if as_of > self.as_of || self.confirmed_at.is_some_and(|before| before >= current_at) {
            return None;
        }
        let gap = self.confirmed_at.map(|before| current_at.since(before));
        self.confirmed_at = Some(current_at);
        let gap = gap.filter(|gap| *gap >= self.timing.outage)?;
        self.grace_until = now + LAPSE_GRACE;
        Some(Change::Confirmed(gap))
    }

    /// Merges data that was current at an instant; returns the changes.
    pub fn apply(
        &mut self,
        now: time::Instant,
        delta: &catalog::Delta,
        current_at: time::Instant,
    ) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(config) = &delta.config
            && config.version > self.version()
        {
            changes.push(Change::Config(config.version));
            self.generation += 1;
            self.config = Some(config.clone());
        }
        if !self.continues(delta) {
            // What lies between is missing, but an order to evacuate stands by itself.
            changes.extend(self.apply_evacuations(now, &delta.evacuations));
            return changes;
        }
        self.changed_after = match self.confirmed_at {
            // No watcher may have confirmed the data in the meantime.
            Some(before) if current_at.since(before) >= self.timing.stale_after => before,
            _ => now.before(LEARNING_TIME),
        };
        let mut restored = false;
        let mut reached = self.as_of.max(delta.as_of);
        if delta.as_of >= self.as_of {
            let before = std::mem::replace(&mut self.as_of, delta.as_of);
            // A grace period has to start before the removals below, which depend on it.
            changes.extend(self.confirm(now, delta.as_of, current_at));
            if before > catalog::Revision::NONE && before.era < delta.as_of.era {
                restored = true;
                self.grace_until = now + LAPSE_GRACE;
                changes.push(Change::Restored(before));
            }
            if delta.full {
                self.remove_unlisted(now, delta, &mut changes);
                self.compacted_revision = delta.as_of;
                let listed = &delta.evacuations;
                let replaced = self.evacuations.replace(now, listed, delta.as_of);
                changes.extend(self.record_evacuations(replaced));
                // The list is complete, so no order in it was withdrawn before.
                reached.number = 0;
            } else {
                reached = before;
            }
        } else if delta.full {
            changes.push(Change::Outdated(delta.as_of));
        }
        let is_outdated = delta.as_of < self.as_of;
        for entry in &delta.entries {
            // All changes up to `as_of` are known, so an unknown target was removed since.
            let was_removed =
                is_outdated && entry.revision <= self.as_of && self.find(entry.id).is_none();
            if !was_removed {
                changes.extend(self.apply_entry(now, entry, restored).map(Change::Target));
            }
        }
        changes.extend(self.merge_evacuations(now, &delta.evacuations, reached));
        changes.extend(self.apply_holds(now, &delta.holds));
        changes
    }

    /// Holds targets that another instance knows to have left; returns the changes.
    pub fn apply_holds(&mut self, now: time::Instant, holds: &[catalog::Hold]) -> Vec<Change> {
        let mut changes = Vec::new();
        for hold in holds {
            let Some(key) = self.find(hold.id) else {
                continue;
            };
            let Some(record) = self.targets.get_mut(key) else {
                continue;
            };
            let until = now + time::Duration::from_millis(u64::from(hold.for_ms));
            let is_current = record.revision == hold.revision && record.status == Status::Present;
            if is_current && record.held_until.is_none() {
                record.held_until = Some(until);
                self.generation += 1;
                changes.push(Change::Target(key));
            }
        }
        changes
    }

    /// Merges evacuations that another instance knows; returns the changes.
    pub fn apply_evacuations(
        &mut self,
        now: time::Instant,
        items: &[catalog::Evacuation],
    ) -> Vec<Change> {
        self.merge_evacuations(now, items, self.as_of)
    }

    fn merge_evacuations(
        &mut self,
        now: time::Instant,
        items: &[catalog::Evacuation],
        reached: catalog::Revision,
    ) -> Vec<Change> {
        let merged = items
            .iter()
            .filter(|item| self.evacuations.merge(now, item, reached))
            .map(|item| item.zone.clone())
            .collect();
        self.record_evacuations(merged)
    }

    fn record_evacuations(&mut self, zones: Vec<CompactString>) -> Vec<Change> {
        self.generation += u64::from(!zones.is_empty());
        zones.into_iter().map(Change::Evacuation).collect()
    }

    /// The targets that are held.
    pub fn holds(&self, now: time::Instant) -> Vec<catalog::Hold> {
        self.targets
            .iter()
            .filter_map(|(_, record)| {
                Some(catalog::Hold {
                    for_ms: time::millis(record.held_until?.since(now)),
                    id: record.id,
                    revision: record.revision,
                })
            })
            .collect()
    }

    /// Ends the grace period of lapsed targets and the holds that are over, and drops targets and
    /// evacuations that ended long enough ago; returns the changes.
    pub fn tick(&mut self, now: time::Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        let (ended, dropped) = self.evacuations.tick(now);
        changes.extend(self.record_evacuations(ended));
        self.compacted_revision = self.compacted_revision.max(dropped);
        let mut expired = Vec::new();
        for (key, record) in self.targets.iter_mut() {
            if record.status == Status::Lapsed && now >= self.grace_until {
                record.status = Status::Removed;
                self.generation += 1;
                changes.push(Change::Target(key));
            }
            if record.held_until.is_some_and(|until| now >= until) {
                record.held_until = None;
                self.generation += 1;
                changes.push(Change::Target(key));
            }
            let missing = record.missing_since;
            if missing.is_some_and(|since| now.since(since) >= REMOVED_RETENTION) {
                expired.push((key, record.id, record.revision));
            }
        }
        self.removals.retain(|_, removal| {
            let keep = now.since(removal.at) < REMOVED_RETENTION;
            if !keep {
                self.compacted_revision = self.compacted_revision.max(removal.revision);
                self.membership_generation += 1;
            }
            keep
        });
        for (key, id, revision) in expired {
            self.targets.remove(key);
            self.keys.remove(&id);
            self.generation += 1;
            self.membership_generation += 1;
            self.compacted_revision = self.compacted_revision.max(revision);
        }
        changes
    }

    /// All that another instance lacks, whose data reaches to a position. A configuration is known
    /// by its version, since it may arrive under any revision.
    pub fn delta_since(&self, now: time::Instant, position: catalog::Position) -> catalog::Delta {
        let since = position.as_of;
        let full = since < self.compacted_revision || since == catalog::Revision::NONE;
        let entries = self
            .targets
            .iter()
            .filter(|(_, record)| full || record.revision > since)
            .map(|(_, record)| catalog::Registration {
                id: record.id,
                presence: match record.status {
                    Status::Present => catalog::Presence::Present(record.details.clone()),
                    Status::Lapsed | Status::Removed => catalog::Presence::Removed,
                    Status::Unreadable => catalog::Presence::Unreadable,
                },
                revision: record.revision,
            });
        let removals = self.removals.iter();
        let removals = removals
            .filter(|(_, removal)| full || removal.revision > since)
            .map(|(id, removal)| catalog::Registration {
                id: *id,
                presence: if removal.is_unreadable {
                    catalog::Presence::Unreadable
                } else {
                    catalog::Presence::Removed
                },
                revision: removal.revision,
            });
        let entries = entries.chain(removals).collect();
        catalog::Delta {
            as_of: self.as_of,
            config: self
                .config
                .clone()
                .filter(|config| config.version > position.version),
            entries,
            evacuations: self.evacuations.since(now, (!full).then_some(since)),
            holds: self.holds(now),
            since: if full { catalog::Revision::NONE } else { since },
            full,
        }
    }

    fn remove_unlisted(
        &mut self,
        now: time::Instant,
        delta: &catalog::Delta,
        changes: &mut Vec<Change>,
    ) {
        let listed: std::collections::HashSet<key::Id> =
            delta.entries.iter().map(|entry| entry.id).collect();
        let unlisted: Vec<catalog::Registration> = self
            .targets
            .iter()
            .filter(|(_, record)| record.revision <= delta.as_of && !listed.contains(&record.id))
            .filter(|(_, record)| record.missing_since.is_none())
            .map(|(_, record)| catalog::Registration {
                id: record.id,
                presence: catalog::Presence::Removed,
                revision: delta.as_of,
            })
            .collect();
        for entry in &unlisted {
            changes.extend(self.apply_entry(now, entry, false).map(Change::Target));
        }
    }

    /// Merges one registration, which may be older than what is known if the platform was `restored`;
    /// returns the target if it is new or if its status, state, start or hold changed.
    fn apply_entry(
        &mut self,
        now: time::Instant,
        entry: &catalog::Registration,
        restored: bool,
    ) -> Option<key::Target> {
        match self.find(entry.id) {
            Some(key) => self.update(now, key, entry, restored),
            None => self.add(now, entry),
        }
    }

    fn add(&mut self, now: time::Instant, entry: &catalog::Registration) -> Option<key::Target> {
        let before = self.removals.get(&entry.id);
        if before.is_some_and(|before| before.revision >= entry.revision) {
            return None;
        }
        let catalog::Presence::Present(details) = &entry.presence else {
            let removal = Removal {
                at: now,
                is_unreadable: entry.presence == catalog::Presence::Unreadable,
                revision: entry.revision,
            };
            self.removals.insert(entry.id, removal);
            self.membership_generation += 1;
            return None;
        };
        self.removals.remove(&entry.id);
        let key = self.targets.insert(Record {
            cold_until: cold_until(now, details),
            cookie: cookie(entry.id),
            details: details.clone(),
            held_until: None,
            id: entry.id,
            missing_since: None,
            present_until: now,
            status: Status::Present,
            revision: entry.revision,
        });
        self.keys.insert(entry.id, key);
        self.generation += 1;
        self.membership_generation += 1;
        Some(key)
    }

    fn update(
        &mut self,
        now: time::Instant,
        key: key::Target,
        entry: &catalog::Registration,
        restored: bool,
    ) -> Option<key::Target> {
        // A removal in an earlier era has nothing to do with the restore.
        let in_grace = now < self.grace_until && entry.revision.era == self.as_of.era;
        let hold_until = now + self.hold_time;
        let changed_after = self.changed_after;
        let record = self.targets.get_mut(key)?;
        if entry.revision <= record.revision {
            return None;
        }
        record.revision = entry.revision;
        self.generation += 1;
        let before = record.summary();
        let cookie_basis = |record: &Record| (record.missing_since, record.details.started_unix_ms);
        let cookie_basis_before = cookie_basis(record);
        let has_left = restored && record.has_left_since(&entry.presence);
        let was_held = record.held_until.is_some();
        record.held_until = has_left.then_some(hold_until);
        match &entry.presence {
            catalog::Presence::Present(details) => {
                let cold_until = cold_until(now, details);
                let same_start = record.details.started_unix_ms == details.started_unix_ms;
                record.cold_until = if restored && same_start {
                    // The registration may be much older than this read of it.
                    cold_until.min(record.cold_until)
                } else {
                    cold_until
                };
                record.details = details.clone();
                record.missing_since = None;
                record.status = Status::Present;
            }
            catalog::Presence::Removed => {
                if record.missing_since.is_none() {
                    record.present_until = changed_after;
                }
                record.missing_since = record.missing_since.or(Some(now));
                let has_left = was_held || record.details.state == catalog::State::Draining;
                record.status = if in_grace && !has_left && record.status == Status::Present {
                    Status::Lapsed
                } else {
                    Status::Removed
                };
            }
            catalog::Presence::Unreadable => {
                record.missing_since = record.missing_since.or(Some(now));
                record.status = Status::Unreadable;
            }
        }
        if cookie_basis(record) != cookie_basis_before {
            self.membership_generation += 1;
        }
        (before != record.summary()).then_some(key)
    }
}

fn cold_until(now: time::Instant, details: &catalog::Target) -> time::Instant {
    now + time::Duration::from_millis(u64::from(details.cold_ms))
}
