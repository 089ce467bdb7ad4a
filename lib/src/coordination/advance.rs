//! Assigns owners to buckets and advances buckets through their stages.

use std::collections::BTreeMap;

use crate::coordination::{bucket, control, membership};
use crate::state::{key, time, view};

impl control::Control {
    /// Advances the buckets; announces and publishes what changed.
    pub(crate) fn advance(&mut self, now: time::Instant) {
        self.advance_due = false;
        self.update_owners(now);
        let progress = self.advance_buckets(now);
        if progress.announce || self.announce_due {
            self.announce_due = false;
            self.version += 1;
            self.heartbeat_due = time::Instant(0);
        }
        if progress.publish || self.publish_due {
            self.publish_due = false;
            self.publish();
        }
        self.assign_probes();
        self.assign_watch();
    }

    /// Assigns owners to the buckets according to the current membership.
    fn update_owners(&mut self, now: time::Instant) {
        let owner_mask = self.membership.owner_mask();
        if owner_mask != self.owner_mask {
            self.owner_mask = owner_mask;
            self.topology += 1;
            self.owners_changed_topology = self.topology;
            self.announce_due = true;
        }
        self.update_minority(owner_mask);
        if self.is_settled() && !self.minority {
            self.agreed_mask = owner_mask;
            let current = self.membership.candidates(owner_mask);
            for key in self.service_keys() {
                if let Some(service) = self.inventory.services.get_mut(key) {
                    service.buckets.note_settled(&current);
                }
            }
        }
        if self.applied_topology == self.topology {
            return;
        }
        let current = self.membership.candidates(owner_mask);
        let prospective = self
            .membership
            .candidates(self.membership.prospective_owner_mask());
        let alive = self.membership.alive().fold(
            view::instance_bit(self.config.self_key),
            |mask, (key, _)| mask | view::instance_bit(key),
        );
        let peers = &self.membership.peers;
        for (_, service) in self.inventory.services.iter_mut() {
            let id = service.buckets.service;
            let candidates = bucket::Candidates {
                alive,
                current: &current,
                prospective: &prospective,
                self_key: self.config.self_key,
            };
            service.buckets.update_owners(
                &candidates,
                now,
                service.spec.idle_timeout,
                |owner, number| is_direct(peers, owner, id, number),
            );
        }
        self.applied_topology = self.topology;
        self.publish_due = true;
    }

    /// Updates whether this instance is in a minority: with less than half of the instances that
    /// agreed last, or with just half and without the lowest-numbered one. It may then be on the
    /// smaller side of a network partition and does not guess the targets of flows in tracked
    /// buckets.
    fn update_minority(&mut self, owner_mask: u32) {
        let kept = (owner_mask & self.agreed_mask).count_ones();
        let all = self.agreed_mask.count_ones();
        let lowest = self.agreed_mask & self.agreed_mask.wrapping_neg();
        let minority = kept * 2 < all || (kept * 2 == all && owner_mask & lowest == 0 && all > 0);
        if minority == self.minority {
            return;
        }
        self.minority = minority;
        self.publish_due = true;
        let (self_key, peers) = (self.config.self_key, &self.membership.peers);
        for (_, service) in self.inventory.services.iter_mut() {
            if minority {
                let id = service.buckets.service;
                service.buckets.note_minority(self_key, |owner, number| {
                    is_direct(peers, owner, id, number)
                });
            } else {
                service.buckets.end_minority();
            }
        }
    }

    pub(crate) fn service_keys(&self) -> Vec<key::Service> {
        self.inventory.services.iter().map(|(key, _)| key).collect()
    }

    fn advance_buckets(&mut self, now: time::Instant) -> bucket::Progress {
        let mut total = bucket::Progress::default();
        let census_generation = self
            .censuses
            .iter()
            .map(|census| census.generation)
            .min()
            .unwrap_or(0);
        for key in self.service_keys() {
            let Some(service) = self.inventory.services.get_mut(key) else {
                continue;
            };
            let mut buckets = std::mem::take(&mut service.buckets);
            let (share, idle_timeout) = (service.flexible_share, service.spec.idle_timeout);
            let progress = buckets.advance(&bucket::Context {
                acknowledged: &|version| {
                    self.membership
                        .alive()
                        .all(|(_, peer)| peer.acknowledged_version >= version)
                },
                census_generation,
                deviating: &|number| self.deviating.get(&(key, number)).copied().unwrap_or(0),
                flexible_share: share,
                is_fit: &|target| self.inventory.is_fit(target),
                is_failed: &|target| self.inventory.is_failed(target),
                next_generation: self.generation + 1,
                next_version: self.version + 1,
                now,
                idle_timeout,
                self_key: self.config.self_key,
            });
            total.announce |= progress.announce;
            total.publish |= progress.publish;
            if let Some(service) = self.inventory.services.get_mut(key) {
                service.buckets = buckets;
            }
        }
        total
    }
}

/// Whether an owner's last announcement, of whatever revision, declares a bucket direct.
fn is_direct(
    peers: &BTreeMap<key::Instance, membership::Peer>,
    owner: key::Instance,
    service: key::Id,
    number: key::Bucket,
) -> bool {
    peers
        .get(&owner)
        .and_then(|peer| peer.direct.get(&service))
        .is_some_and(|direct| direct.get(number))
}
