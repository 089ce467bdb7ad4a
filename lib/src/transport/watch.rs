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
pub struct Answer<T> {
    /// Whether there was a change since the call before.
    pub changed: bool,
    /// What is to be told.
    pub found: Option<T>,
}

/// Waits between calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Longest wait after a failure; waits grow up to it.
    pub backoff_max: time::Duration,
    /// Wait after a change, in which further ones gather.
    pub gather: time::Duration,
}

/// Calls `next` until `wanted` is closed; `tell` takes what it found or why it failed.
pub fn run<T>(
    wanted: &Receiver<bool>,
    mut random: random::Source,
    pace: &Pace,
    mut next: impl FnMut() -> fault::Result<Answer<T>>,
    tell: impl Fn(fault::Result<Option<T>>),
) {
    let mut watching = false;
    let mut backoff = BACKOFF_MIN;
    loop {
        let change = if watching {
            wanted.try_recv().ok()
        } else {
            wanted.recv().ok()
        };
        match change {
            Some(wish) => watching = wish,
            None if !watching => return,
            None => {}
        }
        if !watching {
            continue;
        }
        let pause = match next() {
            Ok(answer) => {
                backoff = BACKOFF_MIN;
                tell(Ok(answer.found));
                if answer.changed {
                    pace.gather
                } else {
                    time::Duration::ZERO
                }
            }
            Err(report) => {
                tell(Err(report));
                let wait = backoff.mul_f64(0.5 + random.unit() / 2.0);
                backoff = (backoff * 2).min(pace.backoff_max);
                wait
            }
        };
        if !pause.is_zero() {
            std::thread::sleep(pause);
        }
    }
}
