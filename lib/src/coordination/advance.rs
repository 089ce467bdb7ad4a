//! Taking ranks into the buckets, and moving buckets through their stages.

use std::collections::BTreeMap;

use crate::coordination::{bucket, control, membership};
use crate::state::{key, time, view};

impl control::Control {
    /// Moves buckets on and publishes what changed.
    pub(crate) fn advance(&mut self, now: time::Instant) {
        self.advance_due = false;
        self.rerank(now);
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
        self.choose_probes();
        self.choose_watch();
    }

    /// Takes the present ranks into the buckets.
    fn rerank(&mut self, now: time::Instant) {
        let ranked = self.membership.ranked();
        if ranked != self.ranked {
            self.ranked = ranked;
            self.topology += 1;
            self.ranked_topology = self.topology;
            self.announce_due = true;
        }
        self.note_minority(ranked);
        if self.is_settled() && !self.minority {
            self.quorum = ranked;
            let current = self.membership.candidates(ranked);
            for key in self.service_keys() {
                if let Some(service) = self.ledger.services.get_mut(key) {
                    service.buckets.note_settled(&current);
                }
            }
        }
        if self.applied_topology == self.topology {
            return;
        }
        let current = self.membership.candidates(ranked);
        let prospective = self.membership.candidates(self.membership.prospective());
        let alive = self
            .membership
            .alive()
            .fold(view::mask(self.config.self_key), |mask, (key, _)| {
                mask | view::mask(key)
            });
        let peers = &self.membership.peers;
        for (_, service) in self.ledger.services.iter_mut() {
            let name = service.buckets.service;
            let ranks = bucket::Ranks {
                alive,
                current: &current,
                prospective: &prospective,
                self_key: self.config.self_key,
            };
            service
                .buckets
                .rerank(&ranks, now, service.item.idle_timeout, |owner, number| {
                    is_direct(peers, owner, name, number)
                });
        }
        self.applied_topology = self.topology;
        self.publish_due = true;
    }

    /// Whether this instance was left with at most half of the instances that agreed last. It then
    /// may be cut off, and does not guess where flows of tracked buckets went.
    fn note_minority(&mut self, ranked: u32) {
        let kept = (ranked & self.quorum).count_ones();
        let all = self.quorum.count_ones();
        let lowest = self.quorum & self.quorum.wrapping_neg();
        let minority = kept * 2 < all || (kept * 2 == all && ranked & lowest == 0 && all > 0);
        if minority == self.minority {
            return;
        }
        self.minority = minority;
        self.publish_due = true;
        let (self_key, peers) = (self.config.self_key, &self.membership.peers);
        for (_, service) in self.ledger.services.iter_mut() {
            if minority {
                let name = service.buckets.service;
                service.buckets.note_minority(self_key, |owner, number| {
                    is_direct(peers, owner, name, number)
                });
            } else {
                service.buckets.end_minority();
            }
        }
    }

    pub(crate) fn service_keys(&self) -> Vec<key::Service> {
        self.ledger.services.iter().map(|(key, _)| key).collect()
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
            let Some(service) = self.ledger.services.get_mut(key) else {
                continue;
            };
            let mut buckets = std::mem::take(&mut service.buckets);
            let (share, idle_timeout) = (service.share, service.item.idle_timeout);
            let progress = buckets.advance(&bucket::Circumstances {
                acknowledged: &|version| {
                    self.membership
                        .alive()
                        .all(|(_, peer)| peer.version_seen >= version)
                },
                census_generation,
                deviating: &|number| self.deviating.get(&(key, number)).copied().unwrap_or(0),
                flexible_share: share,
                is_fit: &|target| self.ledger.is_fit(target),
                is_failed: &|target| self.ledger.is_failed(target),
                next_generation: self.generation + 1,
                next_version: self.version + 1,
                now,
                idle_timeout,
                self_key: self.config.self_key,
            });
            total.announce |= progress.announce;
            total.publish |= progress.publish;
            if let Some(service) = self.ledger.services.get_mut(key) {
                service.buckets = buckets;
            }
        }
        total
    }
}

/// Whether an owner's last word, whatever its revision, is that a bucket is direct.
fn is_direct(
    peers: &BTreeMap<key::Instance, membership::Peer>,
    owner: key::Instance,
    service: key::Name,
    number: key::Bucket,
) -> bool {
    peers
        .get(&owner)
        .and_then(|peer| peer.direct.get(&service))
        .is_some_and(|direct| direct.get(number))
}
