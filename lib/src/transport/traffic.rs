//! A traffic thread: receives a batch, steers each packet and sends the batch.
//!
//! The thread owns its flow table. It reads the view that the control thread publishes and reports
//! its counts to the control thread over a bounded channel. It waits only for the socket.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender};
use hdrhistogram::Histogram;

use crate::coordination::{hash, load, message, replica, steering, verdict};
use crate::protocol::{ip, wire};
use crate::state::{count, key, packet, time, view};
use crate::transport::{batch, clock, event_loop, timer};

/// Time between runs of the shard's periodic work.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Slots of the flow table that one tick sweeps.
const SWEEP_SLOTS_PER_TICK: usize = 8_192;
/// Time between reports to the control thread.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Time between decays of the net count of flows in direct buckets.
const DECAY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Factor by which a decay multiplies the net count; halves it in about six minutes.
const DECAY_FACTOR: f64 = 0.998;

/// Message from a traffic thread to the control thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// Bytes of replica messages sent since the last event.
    ReplicaBytes(u64),
    /// Result of a complete sweep over the flow entries.
    Census(replica::Census),
    /// Open flows by target, and the number of flow entries.
    FlowCounts(Vec<load::Count>, u64),
    /// Outcomes of each service's flows since the last event.
    Outcomes(Vec<load::Outcomes>),
    /// Name and distribution of times measured since the last event, in microseconds.
    Times(&'static str, Histogram<u64>),
}

/// Command to a traffic thread.
#[derive(Clone, Debug)]
pub enum Command {
    /// Look up the entry of a flow.
    FindEntry(query::Query),
    /// Clear the replica acknowledgements that an instance has sent.
    ClearAcks(key::Instance),
    /// End the thread.
    Stop,
}

/// Look-up of flow entries.
pub mod query {
    use crossbeam_channel::Sender;

    use crate::state::flow;

    /// A request for the entry of a flow.
    #[derive(Clone, Debug)]
    pub struct Query {
        /// Takes the entry, or `None` if there is none.
        pub answer: Sender<Option<flow::Entry>>,
        /// The flow.
        pub flow: flow::Key,
    }
}

/// State, channels and socket of a traffic thread.
pub struct Parts {
    /// Clock of the process.
    pub clock: clock::Clock,
    /// Commands from the control thread.
    pub commands: Receiver<Command>,
    /// Queues an event for the control thread; returns false if the queue is full.
    pub send_event: Box<dyn Fn(Event) -> bool + Send>,
    /// Address to which packets for callers are sent.
    pub return_address: SocketAddr,
    /// Keys that authenticate frames.
    pub keyring: wire::Keyring,
    /// Secret of the flow hash.
    pub secret: hash::Secret,
    /// Steering state.
    pub shard: steering::Shard,
    /// Number of this shard.
    pub shard_number: u16,
    /// Number of shards of this instance.
    pub shards: u16,
    /// The thread's socket.
    pub socket: UdpSocket,
    /// Addresses of all shards of this instance.
    pub shard_addresses: Vec<SocketAddr>,
    /// View that the control thread publishes.
    pub view: Arc<ArcSwap<view::View>>,
}

/// A packet that is held until a decision on its flow can be made.
struct Held {
    at: time::Instant,
    bytes: Vec<u8>,
    header: packet::Header,
}

/// A running traffic thread.
struct Worker {
    batch_times: Histogram<u64>,
    control_bytes: u64,
    held: HashMap<key::Held, Held>,
    hold_times: Histogram<u64>,
    parts: Parts,
    relay_header: Vec<u8>,
    sender: batch::Sender,
    view: Arc<view::View>,
}

/// The packet that is being handled: its bytes and their location.
struct Packet<'a> {
    body: batch::Body,
    bytes: &'a [u8],
    header: packet::Header,
}

/// Runs a traffic thread until it gets `Command::Stop` or its socket fails.
pub fn run(parts: Parts) -> io::Result<()> {
    let clock = parts.clock;
    let view = parts.view.load_full();
    let mut worker = Worker {
        batch_times: new_histogram(),
        control_bytes: 0,
        held: HashMap::new(),
        hold_times: new_histogram(),
        parts,
        relay_header: Vec::new(),
        sender: batch::Sender::default(),
        view,
    };
    let mut timers = timer::Service::<Worker>::default();
    let now = clock.now();
    timers.subscribe(now, TICK_INTERVAL, Worker::tick);
    timers.subscribe(now, load::RECENT_DECAY_INTERVAL, |worker, _| {
        worker.parts.shard.load().decay_recent_placements();
    });
    timers.subscribe(now, REPORT_INTERVAL, |worker, _| worker.send_report());
    timers.subscribe(now, DECAY_INTERVAL, |worker, _| {
        worker.parts.shard.load().decay_direct(DECAY_FACTOR);
    });
    let handlers = event_loop::Handlers {
        before_batch: Worker::before_batch,
        on_datagram: Worker::handle,
        after_batch: Worker::after_batch,
        socket: |worker| &worker.parts.socket,
    };
    event_loop::run_traffic(clock, &mut worker, timers, &handlers)
}

impl Worker {
    fn count(&self, counter: count::Counter) {
        self.parts.shard.counters.increment(counter);
    }

    fn refresh_view(&mut self) {
        let latest = self.parts.view.load();
        if latest.generation != self.view.generation {
            self.view = Arc::clone(&latest);
        }
    }

    fn before_batch(
        &mut self,
        receiver: &mut batch::Receiver,
        gap: time::Duration,
    ) -> io::Result<()> {
        self.refresh_view();
        if gap > steering::MAX_THREAD_PAUSE {
            self.drop_backlog(receiver)?;
        }
        Ok(())
    }

    fn after_batch(&mut self, receiver: &batch::Receiver, began: time::Instant) -> bool {
        self.send_released();
        self.send_messages();
        self.flush(receiver);
        if receiver.count() > 0 {
            let spent = self.parts.clock.now().since(began).as_micros() as u64;
            self.batch_times.saturating_record(spent);
        }
        self.handle_commands()
    }

    /// Drops all packets that arrived while the thread was paused. The wait for packets often ends
    /// with an empty batch after a pause, so the socket is read until a batch is not full.
    fn drop_backlog(&mut self, receiver: &mut batch::Receiver) -> io::Result<()> {
        let mut dropped = receiver.count();
        loop {
            let received = receiver.receive(&self.parts.socket)?;
            dropped += received;
            if received < batch::BATCH_SIZE {
                break;
            }
        }
        receiver.clear();
        let counters = &self.parts.shard.counters;
        counters.add(count::Counter::DropStale, dropped as u64);
        Ok(())
    }

    /// Handles one datagram of the batch.
    fn handle(&mut self, receiver: &batch::Receiver, index: usize, now: time::Instant) {
        if receiver.is_oversized(index) {
            self.count(count::Counter::DropOversized);
            return;
        }
        let bytes = receiver.bytes(index);
        let outcome = match wire::kind(bytes) {
            Some(wire::Kind::Packet) => self.handle_packet(bytes, index, now),
            Some(wire::Kind::Relay) => self.handle_relay(bytes, index, now),
            Some(wire::Kind::Traffic) => self.handle_traffic(bytes, now),
            _ => Err(count::Counter::DropMalformed),
        };
        if let Err(reason) = outcome {
            self.count(reason);
        }
    }

    fn handle_packet(
        &mut self,
        bytes: &[u8],
        index: usize,
        now: time::Instant,
    ) -> Result<(), count::Counter> {
        let header = ip::parse(bytes)?;
        let flow = hash::flow_key(self.parts.secret, &header.tuple);
        let body = batch::Body::Slot(index, 0..bytes.len());
        let shard = hash::shard(flow.low, self.parts.shards);
        if shard != self.parts.shard_number {
            self.count(count::Counter::Passed);
            self.sender
                .push(&[], body, self.parts.shard_addresses[usize::from(shard)]);
            return Ok(());
        }
        self.count(count::Counter::Received);
        let packet = verdict::Packet {
            flow,
            header,
            hops: steering::MAX_HOPS,
        };
        let verdict = self.parts.shard.steer(&self.view, now, packet);
        self.apply(
            verdict,
            Packet {
                body,
                bytes,
                header,
            },
        );
        Ok(())
    }

    fn handle_relay(
        &mut self,
        bytes: &[u8],
        index: usize,
        now: time::Instant,
    ) -> Result<(), count::Counter> {
        let (_, relay, start) = wire::decode_relay(&self.parts.keyring, bytes)?;
        let inner = &bytes[start..];
        let header = ip::parse(inner)?;
        self.count(count::Counter::RelayReceived);
        let flow = hash::flow_key(self.parts.secret, &header.tuple);
        let hops = relay.hops.min(steering::MAX_HOPS);
        let packet = verdict::Packet { flow, header, hops };
        let verdict = self.parts.shard.steer(&self.view, now, packet);
        let body = batch::Body::Slot(index, start..bytes.len());
        self.apply(
            verdict,
            Packet {
                body,
                bytes: inner,
                header,
            },
        );
        Ok(())
    }

    fn handle_traffic(&mut self, bytes: &[u8], now: time::Instant) -> Result<(), count::Counter> {
        let (from, message) = wire::decode::<message::Traffic>(&self.parts.keyring, bytes)?;
        self.count(count::Counter::ControlFramesReceived);
        self.parts.shard.receive(&self.view, now, from, message);
        Ok(())
    }

    /// Executes a verdict.
    fn apply(&mut self, verdict: verdict::Verdict, packet: Packet<'_>) {
        match verdict {
            verdict::Verdict::Drop(reason) => self.count(reason),
            verdict::Verdict::Forward(target) => {
                if let Some(target) = self.view.target(target) {
                    self.sender.push(&[], packet.body, target.address);
                    self.count(count::Counter::Forwarded);
                }
            }
            verdict::Verdict::Hold(key) => {
                self.count(count::Counter::Held);
                let at = self.parts.clock.now();
                let held = Held {
                    at,
                    bytes: packet.bytes.to_vec(),
                    header: packet.header,
                };
                self.held.insert(key, held);
            }
            verdict::Verdict::Refuse => self.refuse(&packet),
            verdict::Verdict::Relay(instance, hops) => self.relay(instance, hops, packet),
        }
    }

    fn refuse(&mut self, packet: &Packet<'_>) {
        self.count(count::Counter::Refused);
        if let Some(refusal) = ip::refusal(packet.bytes, &packet.header) {
            let body = batch::Body::Owned(refusal);
            self.sender.push(&[], body, self.parts.return_address);
        }
    }

    fn relay(&mut self, instance: key::Instance, hops: u8, packet: Packet<'_>) {
        let Some(peer) = self.view.instances.get(instance.index()).copied().flatten() else {
            self.count(count::Counter::DropHopLimit);
            return;
        };
        let relay = message::Relay {
            hops,
            revision: self.view.revision,
        };
        wire::encode_relay(
            &self.parts.keyring,
            self.view.self_key,
            relay,
            packet.bytes,
            &mut self.relay_header,
        );
        let flow = hash::flow_key(self.parts.secret, &packet.header.tuple);
        let to = shard_address(peer, hash::shard(flow.low, peer.shards));
        self.sender.push(&self.relay_header, packet.body, to);
        self.count(count::Counter::Relayed);
    }

    /// Executes the verdicts on held packets that the shard has released.
    fn send_released(&mut self) {
        let now = self.parts.clock.now();
        for (key, verdict) in self.parts.shard.take_released() {
            let Some(held) = self.held.remove(&key) else {
                continue;
            };
            self.hold_times
                .saturating_record(now.since(held.at).as_micros() as u64);
            let body = batch::Body::Owned(held.bytes.clone());
            self.apply(
                verdict,
                Packet {
                    body,
                    bytes: &held.bytes,
                    header: held.header,
                },
            );
        }
    }

    /// Queues the shard's messages to the shards of other instances.
    fn send_messages(&mut self) {
        let Parts { keyring, shard, .. } = &mut self.parts;
        let (view, sender) = (&self.view, &mut self.sender);
        let counters = Arc::clone(&shard.counters);
        let mut bytes = 0;
        shard.outgoing(|instance, message| {
            let Some(peer) = view.instances.get(instance.index()).copied().flatten() else {
                return;
            };
            message.split(peer.shards, |number, part| {
                let frame = wire::encode(keyring, wire::Kind::Traffic, view.self_key, &part);
                bytes += frame.len() as u64;
                counters.increment(count::Counter::ControlFramesSent);
                sender.push(&[], batch::Body::Owned(frame), shard_address(peer, number));
            });
        });
        counters.add(count::Counter::ControlBytesSent, bytes);
        self.control_bytes += bytes;
    }

    fn flush(&mut self, receiver: &batch::Receiver) {
        if self.sender.is_empty() {
            return;
        }
        let failed = self.sender.flush(&self.parts.socket, receiver);
        self.parts
            .shard
            .counters
            .add(count::Counter::SendFailed, failed as u64);
    }

    fn tick(&mut self, now: time::Instant) {
        if let Some(census) = self.parts.shard.tick(&self.view, now, SWEEP_SLOTS_PER_TICK) {
            send_event(&self.parts, Event::Census(census));
        }
    }

    fn send_report(&mut self) {
        let counts = self.parts.shard.load().take_counts(self.view.targets.len());
        let entries = self.parts.shard.entry_count() as u64;
        send_event(&self.parts, Event::FlowCounts(counts, entries));
        for (name, times) in [
            ("batch", &mut self.batch_times),
            ("hold", &mut self.hold_times),
        ] {
            let measured = std::mem::replace(times, new_histogram());
            if !measured.is_empty() {
                send_event(&self.parts, Event::Times(name, measured));
            }
        }
        let outcomes = self.parts.shard.take_outcomes();
        send_event(&self.parts, Event::Outcomes(outcomes));
        let bytes = std::mem::take(&mut self.control_bytes);
        send_event(&self.parts, Event::ReplicaBytes(bytes));
    }

    /// Executes pending commands; returns whether the thread keeps running.
    fn handle_commands(&mut self) -> bool {
        while let Ok(command) = self.parts.commands.try_recv() {
            match command {
                Command::FindEntry(query) => {
                    let entry = self.parts.shard.entry(query.flow).copied();
                    // The requester may have timed out.
                    let _ = query.answer.try_send(entry);
                }
                Command::ClearAcks(instance) => {
                    self.parts.shard.clear_acks(instance);
                }
                Command::Stop => return false,
            }
        }
        true
    }
}

fn send_event(parts: &Parts, event: Event) {
    if !(parts.send_event)(event) {
        parts.shard.counters.increment(count::Counter::EventLost);
    }
}

/// A histogram for times up to a minute, in microseconds.
pub fn new_histogram() -> Histogram<u64> {
    const MAX_MICROS: u64 = 60_000_000;
    const DIGITS: u8 = 2;
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("constant bounds are valid")
}

fn shard_address(peer: view::Instance, shard: u16) -> SocketAddr {
    SocketAddr::new(peer.address.ip(), peer.address.port() + shard)
}

/// Sends a command to the traffic threads in turn; stops and returns false at a full queue.
pub fn broadcast_command(traffic_commands: &[Sender<Command>], command: &Command) -> bool {
    traffic_commands
        .iter()
        .all(|thread| thread.try_send(command.clone()).is_ok())
}
