//! Zones that take no new flows, by order of the platform.
//!
//! An evacuation is a fact with a revision, like a registration. A withdrawn one is kept for a while,
//! since other instances may need the withdrawal.
//!
//! If the platform was restored from a copy, an evacuation that the copy lacks may have been ordered
//! since. It stays in force for as long as a target is held that left after the copy was taken; the
//! operators order it again meanwhile. One that the copy lists is in force at once.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::state::{catalog, time};

/// Time for which a withdrawn evacuation is kept, as removed targets are.
const WITHDRAWN_RETENTION: time::Duration = time::Duration::from_secs(75);

/// What is known of the evacuation of one zone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Record {
    /// Whether the zone takes no new flows.
    pub active: bool,
    /// When this instance learned that the evacuation was ordered or withdrawn.
    pub changed_at: time::Instant,
    /// Until when it stays in force although the restored platform lacks it; none if it is not held.
    pub held_until: Option<time::Instant>,
    /// Revision of the last change.
    pub revision: catalog::Revision,
}

/// The evacuations that an instance knows.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Time for which an evacuation is held.
    hold_time: time::Duration,
    zones: BTreeMap<CompactString, Record>,
}

impl Evacuations {
    /// No evacuations yet.
    pub fn new(hold_time: time::Duration) -> Self {
        Self {
            hold_time,
            ..Self::default()
        }
    }

    /// What is known of a zone's evacuation.
    pub fn get(&self, zone: &str) -> Option<&Record> {
        self.zones.get(zone)
    }

    /// Whether a zone takes no new flows.
    pub fn is_active(&self, zone: &str) -> bool {
        self.get(zone).is_some_and(|record| record.active)
    }

    /// The evacuations in force.
    pub fn active(&self) -> impl Iterator<Item = (&CompactString, &Record)> {
        self.zones.iter().filter(|(_, record)| record.active)
    }

    /// Merges an item that is not older than what is known of its zone; returns whether anything
    /// changed. `reached` is the revision up to which all changes are known: an order up to it for a
    /// zone that is unknown was withdrawn since.
    pub fn merge(
        &mut self,
        now: time::Instant,
        item: &catalog::Evacuation,
        reached: catalog::Revision,
    ) -> bool {
        let is_of_earlier_era = item.revision.era < reached.era;
        let hold = match item.hold_ms {
            Some(hold_ms) => Some(time::Duration::from_millis(u64::from(hold_ms))),
            None => is_of_earlier_era.then_some(self.hold_time),
        };
        match self.zones.get(&item.zone) {
            Some(known) if known.revision >= item.revision => return false,
            None if !is_of_earlier_era && item.active && item.revision <= reached => return false,
            _ => {}
        }
        let known = self.zones.get(&item.zone);
        let unchanged = known.filter(|known| known.active == item.active);
        let record = Record {
            active: item.active,
            changed_at: unchanged.map_or(now, |known| known.changed_at),
            held_until: hold.filter(|_| item.active).map(|hold| now + hold),
            revision: item.revision,
        };
        self.zones.insert(item.zone.clone(), record);
        true
    }

    /// Ends the evacuations that a full list of the platform's data as of a revision lacks, and holds
    /// those that were ordered in an earlier era; returns the zones that changed.
    pub fn replace(
        &mut self,
        now: time::Instant,
        listed: &[catalog::Evacuation],
        as_of: catalog::Revision,
    ) -> Vec<CompactString> {
        let mut changed = Vec::new();
        for (zone, record) in &mut self.zones {
            let listed = listed.iter().find(|item| item.zone == *zone);
            let is_superseded = listed.is_some_and(|item| item.revision > record.revision);
            if !record.active || record.revision > as_of || is_superseded {
                continue;
            }
            if record.revision.era < as_of.era {
                if record.held_until.is_none() {
                    record.held_until = Some(now + self.hold_time);
                    changed.push(zone.clone());
                }
            } else if listed.is_none() {
                (record.active, record.changed_at) = (false, now);
                record.revision = as_of;
                changed.push(zone.clone());
            }
        }
        changed
    }

    /// Ends the holds that are over and drops what was withdrawn long ago. Returns the zones that
    /// changed, and the highest revision of what was dropped.
    pub fn tick(&mut self, now: time::Instant) -> (Vec<CompactString>, catalog::Revision) {
        let mut changed = Vec::new();
        let mut dropped = catalog::Revision::NONE;
        self.zones.retain(|zone, record| {
            if record.held_until.is_some_and(|until| now >= until) {
                (record.active, record.changed_at) = (false, now);
                record.held_until = None;
                changed.push(zone.clone());
            }
            let keep = record.active || now.since(record.changed_at) < WITHDRAWN_RETENTION;
            if !keep {
                dropped = dropped.max(record.revision);
            }
            keep
        });
        (changed, dropped)
    }

    /// The evacuations that changed after a revision, or all.
    pub fn since(
        &self,
        now: time::Instant,
        since: Option<catalog::Revision>,
    ) -> Vec<catalog::Evacuation> {
        self.zones
            .iter()
            .filter(|(_, record)| since.is_none_or(|since| record.revision > since))
            .map(|(zone, record)| item(now, zone, record))
            .collect()
    }

    /// The evacuations in force, as messages carry them.
    pub fn announced(&self, now: time::Instant) -> Vec<catalog::Evacuation> {
        self.active()
            .map(|(zone, record)| item(now, zone, record))
            .collect()
    }
}

fn item(now: time::Instant, zone: &CompactString, record: &Record) -> catalog::Evacuation {
    catalog::Evacuation {
        active: record.active,
        hold_ms: record
            .held_until
            .map(|until| time::millis(until.since(now))),
        revision: record.revision,
        zone: zone.clone(),
    }
}
