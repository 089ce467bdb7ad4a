//! Steering of packets by one shard.
//!
//! A packet of a direct bucket goes to the bucket's home without any state. In a tracked bucket
//! the owner decides: it keeps an entry for each flow, places new flows, and sends packets of
//! unknown flows to the fallback, which is where every flow without an entry was sent before.
//! Any other instance relays to the owner. An instance whose leases have run out does not rely on
//! what it knew of the buckets: it relays, or holds the packet until it knows again.

use std::collections::HashMap;

use crate::coordination::{hold, load, placement, replica, verdict};
use crate::state::{arena, count, flow, key, packet, random, time, view};

/// Relays that a packet may take before it is dropped.
pub const MAX_HOPS: u8 = 2;
/// Pause of a traffic thread after which what waited for it is too old to act on: its callers have
/// sent again, and other instances have decided.
pub const MAX_THREAD_PAUSE: time::Duration = time::Duration::from_millis(250);
/// Time after which a flow of which only first packets were seen is over.
const OPENING_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Time after which a flow whose caller has sent FIN is over.
const CLOSING_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Time after which a flow whose caller has sent RST is over.
const RESET_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Slots of the memory for repeated first packets, a power of two.
const RECENT_FIRST_PACKET_SLOTS: usize = 4_096;
/// Slots looked at for an entry that can be given up.
const EVICTION_PROBES: usize = 64;

/// Bounds of one shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest number of entries.
    pub entries: usize,
    /// Largest number of held packets.
    pub held: usize,
    /// Largest number of remembered flows whose entries were lost.
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
    /// A shard without flows.
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

    /// What this shard counts on each target.
    pub fn load(&mut self) -> &mut load::Load {
        &mut self.load
    }

    /// Takes what was counted of each service's flows since the last call.
    pub fn take_outcomes(&mut self) -> Vec<load::Outcomes> {
        std::mem::take(&mut self.outcomes)
    }

    fn outcomes_of(&mut self, service: key::Service) -> &mut load::Outcomes {
        arena::slot_or_default(&mut self.outcomes, service.index())
    }

    /// Decides what becomes of a packet.
    pub fn steer(
        &mut self,
        view: &view::View,
        now: time::Instant,
        packet: verdict::Packet,
    ) -> verdict::Verdict {
        self.decide(view, now, packet, true)
    }

    /// Decides on a packet; `is_fresh` tells whether it has just arrived and counts as evidence.
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

    /// Whether the owner's word that a bucket is direct still holds.
    fn may_forward_direct(
        &self,
        view: &view::View,
        bucket: &view::Bucket,
        now: time::Instant,
    ) -> bool {
        bucket.owner == view.self_key || now < view.lease.peer(bucket.owner)
    }

    /// Counts a packet of a direct bucket; returns whether it begins a flow.
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

    /// A packet of a tracked bucket that another instance owns.
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

    /// A packet of a bucket that this instance owns.
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

    /// Removes an entry whose first packet never left this instance, when a later packet shows that
    /// the flow was placed elsewhere meanwhile; returns whether it did.
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
            // Without an entry only the fallback is sure to get the flow's later packets.
            None if !deviates => forward(view, now, target),
            None => verdict::Verdict::Drop(count::Counter::DropNoTarget),
        }
    }

    /// The target of a new flow, none if no target can take it.
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
        // The larger side expects flows that it does not know at the fallback.
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

    /// A packet in mid-flow without an entry: its flow was sent to the fallback.
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

    /// Remembers a flow whose entry was lost with the instances that held it. It is not guessed
    /// onto the fallback later, when the bucket is complete for all other flows. Returns whether
    /// the flow is newly lost.
    fn record_lost(&mut self, now: time::Instant, flow: flow::Key) -> bool {
        if self.lost_flows.len() >= self.limits.lost_flows && !self.lost_flows.contains_key(&flow) {
            return false;
        }
        self.lost_flows.insert(flow, flow::Tick::at(now)).is_none()
    }

    /// Forgets lost flows that have been quiet for long enough to be over.
    pub(crate) fn expire_lost(&mut self, now: time::Instant, idle: time::Duration) {
        let tick = flow::Tick::at(now);
        self.lost_flows.retain(|_, seen| tick.since(*seen) <= idle);
    }

    /// Forwards by an entry, or holds the packet while a replica is still due.
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

    /// Gives up one entry whose flow is found at the fallback without it.
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

    /// Removes an entry and its share of the counts.
    pub(crate) fn remove(&mut self, key: key::Entry) -> Option<flow::Entry> {
        let entry = self.table.remove(key)?;
        if entry.is_counted() {
            self.load.remove_owned(entry.target);
        }
        self.replicas.remove_pending(key);
        Some(entry)
    }

    /// Makes a replica the owner's entry.
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

    /// Time without a packet after which an entry's flow is over.
    pub(crate) fn timeout(entry: &flow::Entry, idle: time::Duration) -> time::Duration {
        match entry.phase {
            flow::Phase::Opening => idle.min(OPENING_TIMEOUT),
            flow::Phase::Open => idle,
            flow::Phase::Closing => idle.min(CLOSING_TIMEOUT),
            flow::Phase::Reset => idle.min(RESET_TIMEOUT),
        }
    }
}

/// Open flows of a service on all instances.
fn open_flows(view: &view::View, service: &view::Service, own: impl Fn(key::Target) -> i64) -> u64 {
    service
        .targets
        .iter()
        .filter_map(|key| Some(placement::open_flows(view.target(*key)?, own(*key))))
        .sum()
}

/// Stage of a flow after one more packet.
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
