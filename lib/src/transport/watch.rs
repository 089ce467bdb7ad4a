//! The thread that watches a publisher while the control thread wants it to.
//!
//! It waits longer after each failure, and tells of each, so that the control thread knows whether
//! the publisher answers.

use crossbeam_channel::Receiver;

use crate::protocol::fault;
use crate::state::{random, time};

/// First wait after a failure.
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(250);

/// What a call gave.
#[derive(Clone, Debug)]
pub struct Response<T> {
    /// Whether there was a change since the call before.
    pub changed: bool,
    /// What is to be told.
    pub update: Option<T>,
}

/// Waits between calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delays {
    /// Longest wait after a failure; waits grow up to it.
    pub backoff_max: time::Duration,
    /// Wait after a change, in which further ones gather.
    pub coalesce: time::Duration,
}

/// Calls `poll` until `enabled` is closed; `notify` takes what it found or why it failed.
pub fn run<T>(
    enabled: &Receiver<bool>,
    mut random: random::Source,
    delays: &Delays,
    mut poll: impl FnMut() -> fault::Result<Response<T>>,
    notify: impl Fn(fault::Result<Option<T>>),
) {
    let mut watching = false;
    let mut backoff = BACKOFF_MIN;
    loop {
        let change = if watching {
            enabled.try_recv().ok()
        } else {
            enabled.recv().ok()
        };
        match change {
            Some(enable) => watching = enable,
            None if !watching => return,
            None => {}
        }
        if !watching {
            continue;
        }
        let pause = match poll() {
            Ok(response) => {
                backoff = BACKOFF_MIN;
                notify(Ok(response.update));
                if response.changed {
                    delays.coalesce
                } else {
                    time::Duration::ZERO
                }
            }
            Err(report) => {
                notify(Err(report));
                let wait = backoff.mul_f64(0.5 + random.unit() / 2.0);
                backoff = (backoff * 2).min(delays.backoff_max);
                wait
            }
        };
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
}
