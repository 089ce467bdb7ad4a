//! The two loops of an instance: one for traffic threads and one for the control thread.
//!
//! A loop owns the wait; what it does with what comes is given as functions, so that every packet
//! format runs in the same loop.

use std::io;
use std::net::UdpSocket;

use crossbeam_channel::{Receiver, RecvTimeoutError};

use crate::state::time;
use crate::transport::{batch, clock, timer};

/// Steps of a traffic thread.
pub struct Steps<W> {
    /// Prepares for a batch; `gap` is the time since the batch before.
    pub begin: fn(&mut W, &mut batch::Receiver, gap: time::Duration) -> io::Result<()>,
    /// Handles one datagram of the batch.
    pub datagram: fn(&mut W, &batch::Receiver, index: usize, time::Instant),
    /// Sends what is to be sent; returns whether the thread goes on.
    pub finish: fn(&mut W, &batch::Receiver, began: time::Instant) -> bool,
    /// The socket to wait for.
    pub socket: fn(&W) -> &UdpSocket,
}

/// Receives and handles batches until a step ends the loop.
pub fn traffic<W>(
    clock: clock::Clock,
    worker: &mut W,
    mut timers: timer::Service<W>,
    steps: &Steps<W>,
) -> io::Result<()> {
    let mut receiver = batch::Receiver::default();
    let mut ran = clock.now();
    loop {
        receiver.receive((steps.socket)(worker))?;
        let now = clock.now();
        (steps.begin)(worker, &mut receiver, now.since(ran))?;
        ran = now;
        for index in 0..receiver.count() {
            (steps.datagram)(worker, &receiver, index, now);
        }
        timers.run(worker, now);
        if !(steps.finish)(worker, &receiver, now) {
            return Ok(());
        }
    }
}

/// Handles events and timers until `after` ends the loop or nobody can send events any more.
pub fn control<W, E>(
    clock: clock::Clock,
    worker: &mut W,
    mut timers: timer::Service<W>,
    events: &Receiver<E>,
    handle: fn(&mut W, time::Instant, E),
    after: fn(&mut W, time::Instant) -> bool,
) {
    /// Longest wait of a thread without subscriptions.
    const IDLE: time::Duration = time::Duration::from_secs(1);
    loop {
        let wait = timers.wait(clock.now()).unwrap_or(IDLE);
        match events.recv_timeout(wait) {
            Ok(event) => handle(worker, clock.now(), event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let now = clock.now();
        timers.run(worker, now);
        if !after(worker, now) {
            return;
        }
    }
}
