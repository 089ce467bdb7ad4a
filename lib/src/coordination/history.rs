//! The history of earlier revisions that a joining instance gets from the owners.
//!
//! An instance that starts with the newest sheet cannot know the former homes of buckets that are
//! still settling, the targets that are no longer in the sheet but have open flows, and the buckets
//! whose entries were lost. Each owner sends it this history, and it owns no bucket until it has
//! received the history of all owners.

use std::collections::BTreeMap;

use crate::coordination::{control, message};
use crate::state::{bitmap, key, time};

impl control::Control {
    /// The history for a joining peer, none for a peer that has already joined.
    pub(crate) fn history_for(&self, peer: key::Instance) -> Option<message::History> {
        // The next process of a dead peer may receive this before its own first heartbeat arrives
        // here, so a dead peer counts as joining.
        let known = self.membership.peers.get(&peer).filter(|peer| peer.alive);
        let phase = known.and_then(|peer| peer.phase);
        let is_joining = matches!(phase, None | Some(message::Phase::Joining));
        is_joining.then(|| message::History {
            incomplete: self.incomplete_buckets(),
            retired: self.retired_targets(),
            settling: self.settling_buckets(),
        })
    }

    fn retired_targets(&self) -> Vec<message::Retired> {
        let in_sheet = |key: key::Target, service: key::Service| {
            self.inventory
                .services
                .get(service)
                .is_some_and(|found| found.targets.contains(&key))
        };
        self.inventory
            .targets
            .iter()
            .filter(|(key, target)| !in_sheet(*key, target.service))
            .filter_map(|(_, target)| {
                Some(message::Retired {
                    address: target.spec.address,
                    name: target.spec.name.clone(),
                    service: self.inventory.services.get(target.service)?.buckets.service,
                })
            })
            .collect()
    }

    /// The buckets that this instance knows to have lost entries.
    fn incomplete_buckets(&self) -> Vec<message::Incomplete> {
        let now = self.last_tick;
        self.inventory
            .services
            .iter()
            .filter(|(_, service)| service.in_sheet)
            .filter_map(|(_, service)| {
                let table = &service.buckets;
                let mut buckets = bitmap::Bitmap::new(table.buckets.len());
                let mut until = now;
                for (index, bucket) in table.buckets.iter().enumerate() {
                    if bucket.incomplete_until > now {
                        buckets.set(key::Bucket::from(index), true);
                        until = until.max(bucket.incomplete_until);
                    }
                }
                (until > now).then(|| message::Incomplete {
                    buckets,
                    remaining_ms: until.since(now).as_millis() as u32,
                    service: table.service,
                })
            })
            .collect()
    }

    /// The settling buckets that this instance owns, grouped by fallback and end of settling.
    fn settling_buckets(&self) -> Vec<message::Settling> {
        let mut all = Vec::new();
        for (_, service) in self
            .inventory
            .services
            .iter()
            .filter(|(_, service)| service.in_sheet)
        {
            let table = &service.buckets;
            let mut groups: BTreeMap<(key::Target, time::Instant), bitmap::Bitmap> =
                BTreeMap::new();
            for (index, bucket) in table.buckets.iter().enumerate() {
                let owned = bucket.owner == Some(self.config.self_key);
                if let Some(until) = bucket.settle_until.filter(|_| owned) {
                    groups
                        .entry((bucket.fallback, until))
                        .or_insert_with(|| bitmap::Bitmap::new(table.buckets.len()))
                        .set(key::Bucket::from(index), true);
                }
            }
            for ((fallback, until), buckets) in groups {
                if let Some(target) = self.inventory.targets.get(fallback) {
                    all.push(message::Settling {
                        buckets,
                        fallback: target.id,
                        remaining_ms: until.since(self.last_tick).as_millis() as u32,
                        service: table.service,
                    });
                }
            }
        }
        all
    }

    /// Adds the targets of the owners' histories that the sheet no longer contains.
    pub(crate) fn import_retired_targets(&mut self) {
        let retired: Vec<message::Retired> = self
            .membership
            .owners()
            .filter_map(|(_, peer)| peer.history.as_ref())
            .flat_map(|(_, history)| history.retired.iter().cloned())
            .collect();
        for target in retired {
            self.publish_due |= self.inventory.apply_retired(&target);
        }
    }

    /// Applies the owners' histories of settling and incomplete buckets. Discards this instance's
    /// own settling state, because it may have missed changes or applied them later than the
    /// others.
    pub(crate) fn import_bucket_history(&mut self, now: time::Instant) {
        let histories: Vec<(time::Instant, message::History)> = self
            .membership
            .owners()
            .filter_map(|(_, peer)| peer.history.clone())
            .collect();
        if histories.is_empty() {
            return;
        }
        for (_, service) in self.inventory.services.iter_mut() {
            service.buckets.end_settling();
        }
        for (at, incomplete) in histories
            .iter()
            .flat_map(|(at, history)| history.incomplete.iter().map(move |item| (*at, item)))
        {
            let until = at + time::Duration::from_millis(u64::from(incomplete.remaining_ms));
            if let Some(service) = self.inventory.service_by_id(incomplete.service) {
                service.buckets.note_incomplete(&incomplete.buckets, until);
            }
        }
        for (at, settling) in histories
            .iter()
            .flat_map(|(at, history)| history.settling.iter().map(move |item| (*at, item)))
        {
            let until = at + time::Duration::from_millis(u64::from(settling.remaining_ms));
            let Some(fallback) = self
                .inventory
                .targets_by_id
                .get(&settling.fallback)
                .copied()
            else {
                continue;
            };
            if let Some(service) = self.inventory.service_by_id(settling.service)
                && until > now
            {
                service
                    .buckets
                    .start_settling(&settling.buckets, fallback, until);
            }
        }
    }
}
