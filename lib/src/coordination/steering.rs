//! Steering of packets by one shard.
//!
//! A packet of a direct bucket goes to the bucket's home without any state. In a tracked bucket
//! the owner decides: it keeps an entry for each flow, places new flows, and sends packets of
//! unknown flows to the fallback, where all flows without an entry were sent before. Any other
//! instance relays to the owner. An instance whose leases have expired no longer relies on its view
//! of the buckets: it relays the packet, or holds it until it has a newer view or lease.

use std::collections::HashMap;

use crate::coordination::{hold, load, placement, replica, verdict};
use crate::state::{arena, count, flow, key, packet, random, time, view};

/// Largest number of times that a packet is relayed.
pub const MAX_HOPS: u8 = 2;
/// Pause of a traffic thread after which packets that waited meanwhile are too old to process:
/// their callers have retransmitted, and other instances have decided on the flows.
pub const MAX_THREAD_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Idle timeout of a flow of which only first packets were seen.
const OPENING_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Idle timeout of a flow whose caller has sent FIN.
const CLOSING_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Idle timeout of a flow whose caller has sent RST.
const RESET_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Slots of the table that detects retransmitted first packets; a power of two.
const RECENT_FIRST_PACKET_SLOTS: usize = 4_096;
/// Slots searched for an entry that can be evicted.
const EVICTION_PROBES: usize = 64;

/// Limits of one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest number of entries.
    pub entries: usize,
    /// Largest number of held packets.
    pub held: usize,
    /// Largest number of recorded flows whose entries were lost.
    pub lost_flows: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            entries: 1 << 20,
            held: 1_024,
            lost_flows: 1 << 16,
        }
    }
}

/// Steering state of one shard.
#[derive(Debug)]
pub struct Shard {
    /// Counters of the shard.
    pub counters: std::sync::Arc<count::Set>,
    pub(crate) limits: Limits,
    pub(crate) load: load::Load,
    pub(crate) policy: placement::Policy,
    pub(crate) replicas: replica::Outbox,
    pub(crate) table: flow::Table,
    pub(crate) held: arena::Arena<key::Held, hold::Held>,
    lost_flows: HashMap<flow::Key, flow::Tick>,
    outcomes: Vec<load::Outcomes>,
    random: random::Source,
    recent_first_packets: Vec<u64>,
    pub(crate) released: Vec<(key::Held, verdict::Verdict)>,
    eviction_cursor: usize,
}

impl Shard {
    /// Creates a shard without flows.
    pub fn new(limits: Limits, policy: placement::Policy, random: random::Source) -> Self {
        Self {
            counters: std::sync::Arc::default(),
            limits,
            load: load::Load::default(),
            policy,
            replicas: replica::Outbox::default(),
            table: flow::Table::default(),
            held: arena::Arena::default(),
            lost_flows: HashMap::new(),
            outcomes: Vec::new(),
            random,
            recent_first_packets: vec![0; RECENT_FIRST_PACKET_SLOTS],
            released: Vec::new(),
            eviction_cursor: 0,
        }
    }

    /// Number of flow entries.
    pub fn entry_count(&self) -> usize {
        self.table.len()
    }

    /// Number of held packets.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// The entry of a flow.
    pub fn entry(&self, flow: flow::Key) -> Option<&flow::Entry> {
        self.table.get(self.table.find(flow)?)
    }

    /// Load on each target, as counted by this shard.
    pub fn load(&mut self) -> &mut load::Load {
        &mut self.load
    }

    /// Takes the flow counts of each service since the last call, by service key.
    pub fn take_outcomes(&mut self) -> Vec<load::Outcomes> {
        std::mem::take(&mut self.outcomes)
    }

    fn outcomes_of(&mut self, service: key::Service) -> &mut load::Outcomes {
        arena::slot_or_default(&mut self.outcomes, service.index())
    }

    /// Returns the verdict on a packet that has just arrived.
    pub fn steer(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
    ) -> verdict::Verdict {
        self.decide(view, now, packet, true)
    }

    /// Returns the verdict on a packet. `is_fresh` tells whether it has just arrived; only then may
    /// it count as a retransmission, which is evidence against its target.
    pub(crate) fn decide(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
        is_fresh: bool,
    ) -> verdict::Verdict {
        let Some(service_key) = view.service(&packet.header.tuple) else {
            return verdict::Verdict::Drop(match view.revision {
                0 => count::Counter::DropNotReady,
                _ => count::Counter::DropUnknownAddress,
            });
        };
        let service = &view.services[service_key.index()];
        let Some(bucket) = service.buckets.get(service.bucket(packet.flow).index()) else {
            return verdict::Verdict::Drop(count::Counter::DropNoTarget);
        };
        match bucket.mode {
            view::Mode::Direct if self.may_forward_direct(view, bucket, now) => {
                if self.count_direct(packet, bucket.home, is_fresh) {
                    self.outcomes_of(service_key).started += 1;
                }
                forward(view, now, bucket.home)
            }
            view::Mode::Own => {
                if is_fresh {
                    self.count_retransmission(packet);
                }
                self.steer_owned(view, now, packet, service_key, bucket)
            }
            view::Mode::Direct | view::Mode::Relay => {
                self.steer_remote(view, now, packet, bucket.owner)
            }
        }
    }

    /// Whether the owner's announcement that a bucket is direct is still valid.
    fn may_forward_direct(
        &self,
        view: &view::View,
        bucket: &view::Bucket,
        now: time::Instant,
    ) -> bool {
        bucket.owner == view.self_key || now < view.lease.peer(bucket.owner)
    }

    /// Counts a packet of a direct bucket; returns whether it starts a flow.
    fn count_direct(&mut self, packet: verdict::Packet, home: key::Target, is_fresh: bool) -> bool {
        match packet.header.kind {
            packet::Kind::Syn => {
                let recent = &mut self.recent_first_packets
                    [packet.flow.low as usize & (RECENT_FIRST_PACKET_SLOTS - 1)];
                if *recent != packet.flow.low {
                    *recent = packet.flow.low;
                    self.load.add_first_packet(home);
                    self.load.add_direct(home, 1.0);
                    return true;
                }
                if is_fresh {
                    self.load.add_retransmission(home);
                }
            }
            packet::Kind::Fin | packet::Kind::Rst => {
                self.load.add_direct(home, -1.0);
            }
            packet::Kind::Datagram | packet::Kind::Established => {}
        }
        false
    }

    /// Steers a packet of a tracked bucket that another instance owns.
    fn steer_remote(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
        owner: key::Instance,
    ) -> verdict::Verdict {
        let owner_alive = now < view.lease.peer(owner);
        if owner_alive && packet.hops > 0 {
            return verdict::Verdict::Relay(owner, packet.hops - 1);
        }
        if let Some(key) = self.table.find(packet.flow) {
            self.touch(key, now, packet.header.kind);
            let target = self.table.get_mut(key).map(|entry| {
                entry.has_forwarded = true;
                entry.target
            });
            return target.map_or(
                verdict::Verdict::Drop(count::Counter::DropHopLimit),
                |target| forward(view, now, target),
            );
        }
        if owner_alive {
            return verdict::Verdict::Drop(count::Counter::DropHopLimit);
        }
        self.hold(now, packet, hold::Reason::View)
    }

    /// Steers a packet of a tracked bucket that this instance owns.
    fn steer_owned(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
        service: key::Service,
        bucket: &view::Bucket,
    ) -> verdict::Verdict {
        if let Some(key) = self.table.find(packet.flow)
            && !self.remove_if_superseded(key, packet.header.kind)
        {
            self.take_ownership(key);
            self.touch(key, now, packet.header.kind);
            return self.forward_entry(view, now, packet, key, bucket);
        }
        if now >= view.lease.placement() {
            return self.hold(now, packet, hold::Reason::View);
        }
        let is_new = match packet.header.kind {
            packet::Kind::Syn => true,
            packet::Kind::Datagram => now >= bucket.entries_known_at,
            _ => false,
        };
        if is_new {
            self.start_flow(view, now, packet, service, bucket)
        } else {
            self.steer_unknown(view, now, packet, service, bucket)
        }
    }

    /// Removes an entry whose first packet never left this instance if a later packet of the flow
    /// shows that another instance has placed it meanwhile; returns whether it did.
    fn remove_if_superseded(&mut self, key: key::Entry, kind: packet::Kind) -> bool {
        let is_later = !matches!(kind, packet::Kind::Syn | packet::Kind::Datagram);
        let is_superseded = is_later && self.table.get(key).is_some_and(|entry| !entry.confirmed);
        if is_superseded {
            self.remove(key);
        }
        is_superseded
    }

    /// Places a new flow.
    fn start_flow(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
        service_key: key::Service,
        bucket: &view::Bucket,
    ) -> verdict::Verdict {
        self.lost_flows.remove(&packet.flow);
        let service = &view.services[service_key.index()];
        let Some(target) = self.choose(view, now, service, bucket) else {
            return if now >= bucket.entries_known_at {
                self.outcomes_of(service_key).refused += 1;
                verdict::Verdict::Refuse
            } else {
                verdict::Verdict::Drop(count::Counter::DropNoTarget)
            };
        };
        let deviates = replica::needs_replicas(bucket, target);
        match self.insert(view, now, packet, target, flow::Phase::Opening) {
            Some(key) => {
                self.load.add_first_packet(target);
                self.outcomes_of(service_key).started += 1;
                if target != bucket.home {
                    self.load.add_recent_placement(target);
                }
                if deviates {
                    self.counters.increment(count::Counter::EntryDeviating);
                    self.request_replicas(view, now, key, bucket);
                }
                self.forward_entry(view, now, packet, key, bucket)
            }
            // The table is full. Later packets of a flow without an entry go to the fallback, so
            // only that target can take the flow.
            None if !deviates => forward(view, now, target),
            None => verdict::Verdict::Drop(count::Counter::DropNoTarget),
        }
    }

    /// Chooses the target of a new flow; none if no target can take it.
    fn choose(
        &mut self,
        view: &view::View,
        now: time::Instant,
        service: &view::Service,
        bucket: &view::Bucket,
    ) -> Option<key::Target> {
        let open = |target| self.load.estimated_flows(target, view.other_owners);
        if now < bucket.place_at {
            return view
                .target(bucket.fallback)
                .is_some_and(|target| target.fitness != view::Fitness::Failed)
                .then_some(bucket.fallback);
        }
        if service.connection_limit < u32::MAX
            && open_flows(view, service, open) >= u64::from(service.connection_limit)
        {
            return None;
        }
        // The larger side of a partition sends flows that it does not know to the fallback.
        let fallback = view.target(bucket.fallback);
        if view.minority
            && fallback.is_some_and(|target| placement::accepts(target, open(bucket.fallback)))
        {
            return Some(bucket.fallback);
        }
        placement::choose(
            self.policy,
            view,
            service,
            bucket.home,
            open,
            &mut self.random,
        )
    }

    /// Steers a packet of an established flow without an entry. Earlier packets of the flow went to
    /// the fallback, unless its entry may have been lost.
    fn steer_unknown(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
        service: key::Service,
        bucket: &view::Bucket,
    ) -> verdict::Verdict {
        if !bucket.entries_complete {
            if self.record_lost(now, packet.flow) {
                self.outcomes_of(service).lost += 1;
            }
            return self.hold(now, packet, hold::Reason::View);
        }
        if self.lost_flows.contains_key(&packet.flow) {
            self.record_lost(now, packet.flow);
            return verdict::Verdict::Drop(count::Counter::DropLost);
        }
        let phase = phase_after(flow::Phase::Open, packet.header.kind);
        if packet.header.kind != packet::Kind::Rst
            && let Some(key) = self.insert(view, now, packet, bucket.fallback, phase)
            && replica::needs_replicas(bucket, bucket.fallback)
        {
            self.request_replicas(view, now, key, bucket);
        }
        forward(view, now, bucket.fallback)
    }

    /// Records a flow whose entry was lost with the instances that held it, so that its packets are
    /// not sent to the fallback later, when the bucket is complete for all other flows. Returns
    /// whether the flow was not recorded before.
    fn record_lost(&mut self, now: time::Instant, flow: flow::Key) -> bool {
        if self.lost_flows.len() >= self.limits.lost_flows && !self.lost_flows.contains_key(&flow) {
            return false;
        }
        self.lost_flows.insert(flow, flow::Tick::at(now)).is_none()
    }

    /// Removes the records of lost flows that have been idle for longer than `idle`.
    pub(crate) fn expire_lost(&mut self, now: time::Instant, idle: time::Duration) {
        let tick = flow::Tick::at(now);
        self.lost_flows.retain(|_, seen| tick.since(*seen) <= idle);
    }

    /// Forwards a packet by its entry, or holds it until the required replicas are acknowledged.
    fn forward_entry(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
        key: key::Entry,
        bucket: &view::Bucket,
    ) -> verdict::Verdict {
        let Some(entry) = self.table.get_mut(key) else {
            return verdict::Verdict::Drop(count::Counter::DropNoTarget);
        };
        let ready = entry.confirmed
            || entry.target == bucket.fallback
            || replica::has_replicas(bucket, entry);
        if !ready {
            return self.hold(now, packet, hold::Reason::Replicas(key));
        }
        entry.confirmed = true;
        entry.has_forwarded = true;
        forward(view, now, entry.target)
    }

    fn insert(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
        target: key::Target,
        phase: flow::Phase,
    ) -> Option<key::Entry> {
        if self.table.len() >= self.limits.entries && !self.evict_one(view) {
            return None;
        }
        let tick = flow::Tick::at(now);
        let key = self.table.insert(flow::Entry {
            confirmed: false,
            acked_replicas: 0,
            flow: packet.flow,
            phase,
            placed_at: tick,
            has_forwarded: false,
            refreshed_at: tick,
            role: flow::Role::Owner,
            last_seen: tick,
            target,
        });
        if self.table.get(key).is_some_and(flow::Entry::is_counted) {
            self.load.add_owned(target);
        }
        self.counters.increment(count::Counter::EntryCreated);
        Some(key)
    }

    /// Evicts one entry whose flow goes to the fallback without it as well.
    fn evict_one(&mut self, view: &view::View) -> bool {
        let mut keys = Vec::with_capacity(EVICTION_PROBES);
        self.table
            .sweep(&mut self.eviction_cursor, EVICTION_PROBES, &mut keys);
        let victim = keys.into_iter().find(|key| {
            self.table.get(*key).is_some_and(|entry| {
                entry.role == flow::Role::Owner
                    && replica::bucket_of(view, entry)
                        .is_some_and(|bucket| !replica::needs_replicas(bucket, entry.target))
            })
        });
        let Some(victim) = victim else {
            return false;
        };
        self.remove(victim);
        self.counters.increment(count::Counter::EntryEvicted);
        true
    }

    /// Removes an entry, its share of the load and its pending replica requests.
    pub(crate) fn remove(&mut self, key: key::Entry) -> Option<flow::Entry> {
        let entry = self.table.remove(key)?;
        if entry.is_counted() {
            self.load.remove_owned(entry.target);
        }
        self.replicas.remove_pending(key);
        Some(entry)
    }

    /// Turns a replica into the owner's entry.
    pub(crate) fn take_ownership(&mut self, key: key::Entry) {
        if let Some(entry) = self.table.get_mut(key)
            && entry.role == flow::Role::Replica
        {
            entry.role = flow::Role::Owner;
            entry.confirmed = true;
            if entry.is_counted() {
                self.load.add_owned(entry.target);
            }
        }
    }

    fn count_retransmission(&mut self, packet: verdict::Packet) {
        if packet.header.kind == packet::Kind::Syn
            && let Some(entry) = self
                .table
                .find(packet.flow)
                .and_then(|key| self.table.get(key))
            && entry.phase == flow::Phase::Opening
            && entry.confirmed
        {
            self.load.add_retransmission(entry.target);
        }
    }

    fn touch(&mut self, key: key::Entry, now: time::Instant, kind: packet::Kind) {
        if let Some(entry) = self.table.get_mut(key) {
            let was_counted = entry.is_counted();
            entry.last_seen = flow::Tick::at(now);
            entry.phase = phase_after(entry.phase, kind);
            if was_counted && !entry.is_counted() {
                self.load.remove_owned(entry.target);
            }
        }
    }

    /// Time without packets after which the flow of an entry is over, for the service's idle
    /// timeout `idle`.
    pub(crate) fn timeout(entry: &flow::Entry, idle: time::Duration) -> time::Duration {
        match entry.phase {
            flow::Phase::Opening => idle.min(OPENING_TIMEOUT),
            flow::Phase::Open => idle,
            flow::Phase::Closing => idle.min(CLOSING_TIMEOUT),
            flow::Phase::Reset => idle.min(RESET_TIMEOUT),
        }
    }
}

/// Open flows of a service, summed over all instances. `own` gives the flows that this shard
/// counts.
fn open_flows(view: &view::View, service: &view::Service, own: impl Fn(key::Target) -> i64) -> u64 {
    service
        .targets
        .iter()
        .filter_map(|key| Some(placement::open_flows(view.target(*key)?, own(*key))))
        .sum()
}

/// Phase of a flow after one more packet.
fn phase_after(phase: flow::Phase, kind: packet::Kind) -> flow::Phase {
    match (phase, kind) {
        (_, packet::Kind::Rst) | (flow::Phase::Reset, _) => flow::Phase::Reset,
        (_, packet::Kind::Fin) | (flow::Phase::Closing, _) => flow::Phase::Closing,
        (flow::Phase::Opening, packet::Kind::Syn) => flow::Phase::Opening,
        _ => flow::Phase::Open,
    }
}

fn forward(view: &view::View, now: time::Instant, target: key::Target) -> verdict::Verdict {
    match view.target(target) {
        Some(found) if now >= found.drain_deadline => {
            verdict::Verdict::Drop(count::Counter::DropDeadline)
        }
        Some(_) => verdict::Verdict::Forward(target),
        None => verdict::Verdict::Drop(count::Counter::DropNoTarget),
    }
}
