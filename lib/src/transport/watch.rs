//! The thread that watches the platform while the control thread has the watch turned on.
//!
//! It backs off after failures and reports each one, so that the control thread knows whether the
//! platform responds.

use crossbeam_channel::Receiver;

use crate::protocol::fault;
use crate::state::{random, time};

/// Backoff after the first failure. Jitter shortens each backoff by up to half.
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(250);

/// Result of a call.
#[derive(Clone, Debug)]
pub struct Response<T> {
    /// Whether the data changed since the previous call.
    pub changed: bool,
    /// Data for the control thread, if any.
    pub update: Option<T>,
}

/// The time of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// When it was made.
    pub asked_at: time::Instant,
    /// When the data of its answer was current, if the process ran in the meantime.
    pub current_at: time::Instant,
}

/// Delays between calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delays {
    /// Upper limit of the backoff after repeated failures.
    pub backoff_max: time::Duration,
    /// Delay after a change, so that one call returns several changes.
    pub coalesce: time::Duration,
}

/// Calls `poll` whenever the last value from `enabled` is true, and passes each result to `notify`.
/// The argument of `poll` is whether the call may wait for a change. The first call after the watch
/// is turned on or has failed does not, since the data at hand is unconfirmed. Returns when `enabled` is closed and the watch is off.
pub fn run<T>(
    enabled: &Receiver<bool>,
    mut random: random::Source,
    delays: &Delays,
    mut poll: impl FnMut(bool) -> fault::Result<Response<T>>,
    notify: impl Fn(fault::Result<Option<T>>),
) {
    let mut watching = false;
    let mut waits = false;
    let mut backoff = BACKOFF_MIN;
    loop {
        let change = if watching {
            enabled.try_recv().ok()
        } else {
            enabled.recv().ok()
        };
        match change {
            Some(enable) => {
                waits &= watching && enable;
                watching = enable;
            }
            None if !watching => return,
            None => {}
        }
        if !watching {
            continue;
        }
        let pause = match poll(waits) {
            Ok(response) => {
                waits = true;
                backoff = BACKOFF_MIN;
                notify(Ok(response.update));
                if response.changed {
                    delays.coalesce
                } else {
                    time::Duration::ZERO
                }
            }
            Err(report) => {
                waits = false;
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
