//! Traffic thread of an instance that forwards by cookie.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use arc_swap::ArcSwap;
use crossbeam_channel::Receiver;
use hdrhistogram::Histogram;

use crate::coordination::cookie::{forward, report};
use crate::state::{count, key, segment, snapshot, time};
use crate::transport::cookie::{adapter, start_queue};
use crate::transport::{batch, clock, event_loop, timer, traffic};

/// Time between evaluations of the passive evidence; also the longest wait for a packet.
pub const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Time between reports to the control thread.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Message from a traffic thread to the control thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// Report on flows and targets.
    Report(report::Report),
    /// Times taken to handle a batch, in microseconds.
    Times(Histogram<u64>),
}

/// Command from the control thread to a traffic thread.
#[derive(Clone, Debug)]
pub enum Command {
    /// End the thread.
    Stop,
}

/// State, channels and socket of a traffic thread.
pub struct Parts {
    /// Clock of the process.
    pub clock: clock::Clock,
    /// Packet format.
    pub codec: adapter::Codec,
    /// Commands from the control thread.
    pub commands: Receiver<Command>,
    /// Queues an event for the control thread; returns false if the queue is full.
    pub send_event: Box<dyn Fn(Event) -> bool + Send>,
    /// Makes the forwarding decisions.
    pub shard: forward::Shard,
    /// Snapshot that the control thread publishes.
    pub snapshot: Arc<ArcSwap<snapshot::Snapshot>>,
    /// The thread's socket.
    pub socket: UdpSocket,
}

struct Worker {
    batch_times: Histogram<u64>,
    /// Packets that wait for the first registry data.
    held: start_queue::Queue,
    prefix: Vec<u8>,
    parts: Parts,
    sender: batch::Sender,
    snapshot: Arc<snapshot::Snapshot>,
}

/// Runs a traffic thread until it is told to stop.
pub fn run(parts: Parts) -> io::Result<()> {
    let clock = parts.clock;
    let now = clock.now();
    let snapshot = parts.snapshot.load_full();
    let mut worker = Worker {
        batch_times: traffic::new_histogram(),
        held: start_queue::Queue::default(),
        prefix: Vec::new(),
        parts,
        sender: batch::Sender::default(),
        snapshot,
    };
    let mut timers = timer::Service::<Worker>::default();
    timers.subscribe(now, TICK_INTERVAL, |worker, now| {
        let returned = worker.parts.shard.tick(&worker.snapshot, now);
        for segment in &returned {
            worker.reset(segment);
        }
    });
    timers.subscribe(now, REPORT_INTERVAL, Worker::report);
    let handlers = event_loop::Handlers {
        before_batch: |worker: &mut Worker, _, _| {
            worker.refresh_snapshot();
            worker.release_held();
            Ok(())
        },
        on_datagram: Worker::handle,
        after_batch: Worker::after_batch,
        socket: |worker| &worker.parts.socket,
    };
    event_loop::run_traffic(clock, &mut worker, timers, &handlers)
}

impl Worker {
    fn refresh_snapshot(&mut self) {
        let latest = self.parts.snapshot.load();
        if latest.generation != self.snapshot.generation {
            self.snapshot = Arc::clone(&latest);
        }
    }

    fn count(&self, counter: count::Counter) {
        self.parts.shard.counters.increment(counter);
    }

    fn handle(&mut self, receiver: &batch::Receiver, index: usize, now: time::Instant) {
        if receiver.is_oversized(index) {
            self.count(count::Counter::DropOversized);
            return;
        }
        let bytes = receiver.bytes(index);
        let Some(segment) = (self.parts.codec.decode)(bytes) else {
            self.count(count::Counter::DropMalformed);
            return;
        };
        match self.parts.shard.steer(&self.snapshot, now, &segment) {
            forward::Verdict::Drop(reason) => self.count(reason),
            forward::Verdict::Forward(key) => {
                let body = |rest| batch::Body::Slot(index, rest..bytes.len());
                self.forward(key, bytes, body);
            }
            forward::Verdict::Hold => {
                let held = self.held.push(now, segment, bytes);
                self.count(if held {
                    count::Counter::Held
                } else {
                    count::Counter::DropHoldFull
                });
            }
            forward::Verdict::Reset => self.reset(&segment),
        }
    }

    /// Queues a packet for a target; `body` returns its bytes from an offset on.
    fn forward(&mut self, key: key::Target, bytes: &[u8], body: impl FnOnce(usize) -> batch::Body) {
        let Some(target) = self.snapshot.target(key) else {
            self.count(count::Counter::DropNoTarget);
            return;
        };
        self.prefix.clear();
        let rest = (self.parts.codec.encapsulate)(bytes, target, &mut self.prefix);
        let to = SocketAddr::V4(target.address);
        self.sender.push(&self.prefix, body(rest), to);
    }

    /// Queues a reset of a segment's flow.
    fn reset(&mut self, segment: &segment::Segment) {
        self.count(count::Counter::Refused);
        let reset = (self.parts.codec.reset)(segment);
        let to = SocketAddr::V4(segment.caller);
        self.sender
            .push(&[], batch::Body::Owned(reset), self.reply_address(to));
    }

    /// Decides on the held packets once there is registry data.
    fn release_held(&mut self) {
        if self.held.is_empty() || !self.snapshot.is_complete() {
            return;
        }
        let now = self.parts.clock.now();
        let (packets, dropped) = self.held.take(now);
        let counters = &self.parts.shard.counters;
        counters.add(count::Counter::DropHeldTooLong, dropped as u64);
        for start_queue::Packet { bytes, segment, .. } in packets {
            match self.parts.shard.steer(&self.snapshot, now, &segment) {
                forward::Verdict::Drop(reason) => self.count(reason),
                forward::Verdict::Forward(key) => {
                    let body = |rest| batch::Body::Owned(bytes[rest..].to_vec());
                    self.forward(key, &bytes, body);
                }
                // A snapshot is never followed by one without data.
                forward::Verdict::Hold => self.count(count::Counter::DropNotReady),
                forward::Verdict::Reset => self.reset(&segment),
            }
        }
    }

    /// Address of packets to a caller, who receives at the same port number as this instance.
    fn reply_address(&self, caller: SocketAddr) -> SocketAddr {
        let own = self.parts.socket.local_addr();
        SocketAddr::new(caller.ip(), own.map_or(caller.port(), |own| own.port()))
    }

    fn after_batch(&mut self, receiver: &batch::Receiver, began: time::Instant) -> bool {
        if !self.sender.is_empty() {
            let failed = self.sender.flush(&self.parts.socket, receiver);
            let counters = &self.parts.shard.counters;
            counters.add(count::Counter::SendFailed, failed as u64);
        }
        if receiver.count() > 0 {
            let spent = self.parts.clock.now().since(began).as_micros() as u64;
            self.batch_times.saturating_record(spent);
        }
        if self.parts.shard.take_suspicion() {
            self.report(self.parts.clock.now());
        }
        self.handle_commands()
    }

    fn report(&mut self, now: time::Instant) {
        let report = self.parts.shard.report(&self.snapshot, now);
        self.send_event(Event::Report(report));
        if !self.batch_times.is_empty() {
            let times = std::mem::replace(&mut self.batch_times, traffic::new_histogram());
            self.send_event(Event::Times(times));
        }
    }

    fn send_event(&self, event: Event) {
        if !(self.parts.send_event)(event) {
            self.count(count::Counter::EventLost);
        }
    }

    /// Handles a pending command; returns whether the thread keeps running.
    fn handle_commands(&self) -> bool {
        !matches!(self.parts.commands.try_recv(), Ok(Command::Stop))
    }
}
