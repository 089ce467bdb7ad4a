//! Event loops of an instance: one for traffic threads and one for the control thread.
//!
//! A loop waits for input and calls the functions that it is given to handle it, so that all packet
//! formats share the same loops.

use std::io;
use std::net::UdpSocket;

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::state::time;
use crate::transport::{batch, clock, timer};

/// Functions that a traffic loop calls.
pub struct Handlers<W> {
    /// Prepares for a batch; `gap` is the time since the previous batch.
    pub before_batch: fn(&mut W, &mut batch::Receiver, gap: time::Duration) -> io::Result<()>,
    /// Handles one datagram of the batch.
    pub on_datagram: fn(&mut W, &batch::Receiver, index: usize, time::Instant),
    /// Sends queued datagrams; returns whether the loop continues.
    pub after_batch: fn(&mut W, &batch::Receiver, began: time::Instant) -> bool,
    /// The socket to receive from.
    pub socket: fn(&W) -> &UdpSocket,
}

/// Receives and handles batches until `after_batch` ends the loop or the socket fails.
pub fn run_traffic<W>(
    clock: clock::Clock,
    worker: &mut W,
    mut timers: timer::Service<W>,
    handlers: &Handlers<W>,
) -> io::Result<()> {
    let mut receiver = batch::Receiver::default();
    let mut last_batch = clock.now();
    loop {
        receiver.receive((handlers.socket)(worker))?;
        let now = clock.now();
        (handlers.before_batch)(worker, &mut receiver, now.since(last_batch))?;
        last_batch = now;
        for index in 0..receiver.count() {
            (handlers.on_datagram)(worker, &receiver, index, now);
        }
        timers.run(worker, now);
        if !(handlers.after_batch)(worker, &receiver, now) {
            return Ok(());
        }
    }
}

/// Handles events and timers until `after_event` ends the loop or the event channel is closed.
pub fn run_control<W, E>(
    clock: clock::Clock,
    worker: &mut W,
    mut timers: timer::Service<W>,
    events: &Receiver<E>,
    on_event: fn(&mut W, time::Instant, E),
    after_event: fn(&mut W, time::Instant) -> bool,
) {
    /// Longest wait of a thread without timers.
    const MAX_IDLE_WAIT: time::Duration = time::Duration::from_secs(1);
    loop {
        let wait = timers.time_to_next(clock.now()).unwrap_or(MAX_IDLE_WAIT);
        match events.recv_timeout(wait) {
            Ok(event) => on_event(worker, clock.now(), event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = clock.now();
        timers.run(worker, now);
        if !after_event(worker, now) {
            return;
        }
    }
}
