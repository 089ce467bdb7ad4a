//! Replication of flow entries between instances, and the end of replicas.
//!
//! An instance that holds an entry without owning its bucket makes sure that the current owner has
//! the entry. A periodic sweep finds missing replicas whatever the cause, so the death or join of
//! an instance, a healed partition and a lost frame need no code of their own.

use std::collections::BTreeMap;

use crate::coordination::{message, replica, steering};
use crate::state::{count, flow, key, time, view};

/// First timeout of a request for a replica.
const INITIAL_RETRANSMIT_TIMEOUT: time::Duration = time::Duration::from_millis(40);
/// Longest timeout of a request; the timeout doubles with each retransmission.
const MAX_RETRANSMIT_TIMEOUT: time::Duration = time::Duration::from_millis(640);
/// Number of unacknowledged requests at which the sweep adds no more, to pace a transfer of many
/// entries.
const MAX_SWEEP_PENDING: usize = 256;
/// Lifetime of a replica that is not refreshed, in idle timeouts of its service.
const REPLICA_LIFETIME_IDLE_TIMEOUTS: u32 = 4;
/// Largest number of items in one frame, which keeps it below the size of an ordinary packet.
pub const MAX_ITEMS_PER_FRAME: usize = 32;

/// A flow's placement as received from another instance.
#[derive(Clone, Copy, Debug)]
struct Received {
    confirmed: bool,
    placed: flow::Tick,
    target: key::Target,
}

fn instances(mask: u32) -> impl Iterator<Item = key::Instance> {
    (0..view::MAX_INSTANCES as u16)
        .map(key::Instance)
        .filter(move |key| mask & view::instance_bit(*key) != 0)
}

fn placement_of(
    view: &view::View,
    now: time::Instant,
    entry: &flow::Entry,
) -> Option<message::Placement> {
    Some(message::Placement {
        age: flow::Tick::at(now).0.saturating_sub(entry.placed_at.0),
        confirmed: entry.confirmed,
        flow: entry.flow,
        phase: entry.phase,
        target: view.target(entry.target)?.id,
    })
}

impl steering::Shard {
    /// Requests the replicas that an entry lacks and starts the retransmission timer.
    pub(crate) fn request_replicas(
        &mut self,
        view: &view::View,
        now: time::Instant,
        key: key::Entry,
        bucket: &view::Bucket,
    ) {
        let Some(entry) = self.table.get(key) else {
            return;
        };
        let missing = bucket.required_replicas & !entry.acked_replicas;
        let Some(placement) = placement_of(view, now, entry).filter(|_| missing != 0) else {
            self.replicas.pending.remove(&key);
            return;
        };
        for instance in instances(missing) {
            self.replicas
                .placements
                .entry(instance)
                .or_default()
                .push(placement);
        }
        let pending = self
            .replicas
            .pending
            .entry(key)
            .or_insert(replica::Pending {
                retransmit_at: now,
                timeout: INITIAL_RETRANSMIT_TIMEOUT,
            });
        pending.retransmit_at = now + pending.timeout;
        pending.timeout = (pending.timeout * 2).min(MAX_RETRANSMIT_TIMEOUT);
    }

    /// Handles a message from a traffic thread of another instance.
    pub fn receive(
        &mut self,
        view: &view::View,
        now: time::Instant,
        from: key::Instance,
        message: message::Traffic,
    ) {
        match message {
            message::Traffic::Replicate(placements) => {
                for placement in placements {
                    self.store_replica(view, now, from, placement);
                }
            }
            message::Traffic::Acknowledge(lows) => self.on_acknowledgement(view, now, from, &lows),
            message::Traffic::End(flows) => {
                for flow in flows {
                    if let Some(key) = self.table.find(flow)
                        && self
                            .table
                            .get(key)
                            .is_some_and(|entry| entry.role == flow::Role::Replica)
                    {
                        self.remove(key);
                    }
                }
            }
        }
    }

    /// Stores a replica and acknowledges it. If this instance has another placement of the flow,
    /// both sides keep the same one by the rule of `merge_placement`.
    fn store_replica(
        &mut self,
        view: &view::View,
        now: time::Instant,
        from: key::Instance,
        placement: message::Placement,
    ) {
        let Some(target) = view.targets_by_id.get(&placement.target).copied() else {
            // The sender has a newer sheet; it retransmits the request until it is acknowledged.
            return;
        };
        let tick = flow::Tick::at(now);
        let placed = flow::Tick(tick.0.saturating_sub(placement.age));
        if let Some(key) = self.table.find(placement.flow) {
            let received = Received {
                confirmed: placement.confirmed,
                placed,
                target,
            };
            self.merge_placement(view, now, from, key, received);
        } else {
            if self.table.len() >= self.limits.entries {
                return;
            }
            self.table.insert(flow::Entry {
                confirmed: true,
                acked_replicas: view::instance_bit(from),
                flow: placement.flow,
                phase: placement.phase,
                placed_at: placed,
                has_forwarded: false,
                refreshed_at: tick,
                role: flow::Role::Replica,
                last_seen: tick,
                target,
            });
        }
        self.replicas
            .acknowledgements
            .entry(from)
            .or_default()
            .push(placement.flow.low);
    }

    fn merge_placement(
        &mut self,
        view: &view::View,
        now: time::Instant,
        from: key::Instance,
        key: key::Entry,
        received: Received,
    ) {
        let Received {
            confirmed,
            placed,
            target,
        } = received;
        let Some(entry) = self.table.get_mut(key) else {
            return;
        };
        if entry.target == target {
            entry.acked_replicas |= view::instance_bit(from);
            if entry.role == flow::Role::Replica {
                entry.last_seen = flow::Tick::at(now);
            }
            return;
        }
        // The owner may have withdrawn the placement that this replica was made from.
        let may_be_withdrawn = entry.role == flow::Role::Replica
            && !entry.has_forwarded
            && replica::bucket_of(view, entry).is_some_and(|bucket| bucket.owner == from);
        let id = |target| view.target(target).map(|target: &view::Target| target.id);
        // A placement by which no packet was forwarded loses to one by which packets may have been,
        // even if it is older: its instance may have been paused before it could withdraw it.
        // Otherwise the older placement wins.
        let older = (placed, id(target)) < (entry.placed_at, id(entry.target));
        let received_wins = match (confirmed, entry.confirmed) {
            (true, false) => true,
            (false, true) => may_be_withdrawn,
            _ => may_be_withdrawn || older,
        };
        if !received_wins {
            // The sender accepts this placement by the same rule.
            if let Some(placement) = placement_of(view, now, entry) {
                self.replicas
                    .placements
                    .entry(from)
                    .or_default()
                    .push(placement);
            }
            return;
        }
        let former = entry.target;
        entry.target = target;
        entry.placed_at = placed;
        entry.acked_replicas = view::instance_bit(from);
        let is_counted = entry.is_counted();
        if is_counted {
            self.load.remove_owned(former);
            self.load.add_owned(target);
        }
        self.counters.increment(count::Counter::EntryMerged);
    }

    fn on_acknowledgement(
        &mut self,
        view: &view::View,
        now: time::Instant,
        from: key::Instance,
        lows: &[u64],
    ) {
        let mut ready = Vec::new();
        for low in lows {
            let Some(key) = self.table.find_by_low(*low) else {
                continue;
            };
            let Some(entry) = self.table.get_mut(key) else {
                continue;
            };
            entry.acked_replicas |= view::instance_bit(from);
            if replica::bucket_of(view, entry)
                .is_none_or(|bucket| replica::has_replicas(bucket, entry))
            {
                self.replicas.pending.remove(&key);
                ready.push(key);
            }
        }
        self.retry_held(view, now, &ready);
    }

    /// Clears all acknowledgements of an instance that restarted or became alive again.
    pub fn clear_acks(&mut self, instance: key::Instance) {
        let keys: Vec<key::Entry> = self.table.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(entry) = self.table.get_mut(key) {
                entry.acked_replicas &= !view::instance_bit(instance);
            }
        }
    }

    /// Periodic work: decides again on held packets, retransmits requests, and sweeps `slots` slots
    /// of the flow table. Returns a census when a pass over the table is complete.
    pub fn tick(
        &mut self,
        view: &view::View,
        now: time::Instant,
        slots: usize,
    ) -> Option<replica::Census> {
        if self.replicas.topology.0 != view.topology {
            self.replicas.topology = (view.topology, flow::Tick::at(now));
        }
        // Held packets go first: one that was held for too long removes its entry and the pending
        // requests for it.
        self.retry_held(view, now, &[]);
        self.retransmit_requests(view, now);
        let mut keys = std::mem::take(&mut self.replicas.sweep_keys);
        let complete = self
            .table
            .sweep(&mut self.replicas.cursor, slots, &mut keys);
        for key in &keys {
            self.sweep_entry(view, now, *key);
        }
        self.replicas.sweep_keys = keys;
        if complete {
            let idle = view
                .services
                .iter()
                .map(|service| service.idle_timeout)
                .max();
            self.expire_lost(now, idle.unwrap_or_default());
        }
        complete.then(|| self.finish_pass(view))
    }

    fn finish_pass(&mut self, view: &view::View) -> replica::Census {
        let outbox = &mut self.replicas;
        let census = replica::Census {
            deviating: std::mem::take(&mut outbox.pass_deviating),
            generation: outbox.pass_generation,
            owners_topology: outbox.pass_owners_synced.then_some(outbox.pass_topology),
            synced_topology: outbox.pass_synced.then_some(outbox.pass_topology),
        };
        outbox.pass_synced = true;
        outbox.pass_owners_synced = true;
        outbox.pass_topology = view.topology;
        outbox.pass_generation = view.generation;
        census
    }

    fn retransmit_requests(&mut self, view: &view::View, now: time::Instant) {
        let due: Vec<key::Entry> = self
            .replicas
            .pending
            .iter()
            .filter(|(_, pending)| pending.retransmit_at <= now)
            .map(|(key, _)| *key)
            .collect();
        let mut ready = Vec::new();
        for key in due {
            let bucket = self
                .table
                .get(key)
                .and_then(|entry| replica::bucket_of(view, entry))
                .copied();
            match bucket {
                Some(bucket) => {
                    self.request_replicas(view, now, key, &bucket);
                    if !self.replicas.pending.contains_key(&key) {
                        ready.push(key);
                    }
                }
                None => {
                    self.replicas.pending.remove(&key);
                    ready.push(key);
                }
            }
        }
        if !ready.is_empty() {
            self.retry_held(view, now, &ready);
        }
    }

    fn sweep_entry(&mut self, view: &view::View, now: time::Instant, key: key::Entry) {
        let Some(entry) = self.table.get(key).copied() else {
            return;
        };
        let Some(service_key) = view.target(entry.target).map(|target| target.service) else {
            return;
        };
        let Some(service) = view.services.get(service_key.index()) else {
            return;
        };
        let number = service.bucket(entry.flow);
        let Some(bucket) = service.buckets.get(number.index()).copied() else {
            return;
        };
        let owned = bucket.owner == view.self_key;
        if owned {
            self.take_ownership(key);
        } else {
            self.release_ownership(key);
        }
        if self.expire(view, now, key, owned, service.idle_timeout)
            || !replica::needs_replicas(&bucket, entry.target)
        {
            return;
        }
        if owned {
            if entry.target != bucket.fallback {
                *self
                    .replicas
                    .pass_deviating
                    .entry((service_key, number))
                    .or_default() += 1;
            }
            self.refresh_replicas(now, key, service.idle_timeout);
        }
        let missing = self
            .table
            .get(key)
            .is_some_and(|entry| !replica::has_replicas(&bucket, entry));
        if missing {
            // A newer entry was replicated to every required instance before its first packet was
            // forwarded.
            if entry.confirmed && entry.placed_at <= self.replicas.topology.1 {
                self.replicas.pass_synced = false;
                self.replicas.pass_owners_synced &= owned;
            }
            let has_room = self.replicas.pending.len() < MAX_SWEEP_PENDING;
            if has_room && !self.replicas.pending.contains_key(&key) {
                self.request_replicas(view, now, key, &bucket);
            }
        }
    }

    fn release_ownership(&mut self, key: key::Entry) {
        if let Some(entry) = self.table.get_mut(key)
            && entry.role == flow::Role::Owner
        {
            if entry.is_counted() {
                self.load.remove_owned(entry.target);
            }
            entry.role = flow::Role::Replica;
        }
    }

    /// Requests an entry's replicas again after half their lifetime, so that they do not expire
    /// while the flow is open.
    fn refresh_replicas(&mut self, now: time::Instant, key: key::Entry, idle: time::Duration) {
        let tick = flow::Tick::at(now);
        if let Some(entry) = self.table.get_mut(key)
            && tick.since(entry.refreshed_at) > idle * (REPLICA_LIFETIME_IDLE_TIMEOUTS / 2)
        {
            entry.refreshed_at = tick;
            entry.acked_replicas = 0;
        }
    }

    /// Removes an entry whose flow is over; returns whether it did.
    fn expire(
        &mut self,
        view: &view::View,
        now: time::Instant,
        key: key::Entry,
        owned: bool,
        idle: time::Duration,
    ) -> bool {
        let Some(entry) = self.table.get(key) else {
            return true;
        };
        let idle_time = flow::Tick::at(now).since(entry.last_seen);
        let lifetime = if owned {
            Self::timeout(entry, idle)
        } else {
            idle * REPLICA_LIFETIME_IDLE_TIMEOUTS
        };
        if idle_time <= lifetime {
            return false;
        }
        let replicas = entry.acked_replicas;
        let flow = entry.flow;
        self.remove(key);
        if owned {
            self.counters.increment(count::Counter::EntryEnded);
            for instance in instances(replicas).filter(|instance| *instance != view.self_key) {
                self.replicas
                    .ended_flows
                    .entry(instance)
                    .or_default()
                    .push(flow);
            }
        }
        true
    }

    /// Passes all queued messages to `send`, each small enough for one datagram.
    pub fn outgoing(&mut self, mut send: impl FnMut(key::Instance, message::Traffic)) {
        let outbox = &mut self.replicas;
        flush(
            &mut outbox.placements,
            &mut send,
            message::Traffic::Replicate,
        );
        flush(
            &mut outbox.acknowledgements,
            &mut send,
            message::Traffic::Acknowledge,
        );
        flush(&mut outbox.ended_flows, &mut send, message::Traffic::End);
    }
}

fn flush<T: Clone>(
    queues: &mut BTreeMap<key::Instance, Vec<T>>,
    send: &mut impl FnMut(key::Instance, message::Traffic),
    wrap: impl Fn(Vec<T>) -> message::Traffic,
) {
    for (instance, queue) in queues.iter_mut() {
        for chunk in queue.chunks(MAX_ITEMS_PER_FRAME) {
            send(*instance, wrap(chunk.to_vec()));
        }
        queue.clear();
    }
}
