//! Periodic timers of a thread. Code subscribes with a period and a closure; the thread runs the
//! closures that are due between its waits.

use crate::state::time;

type Callback<C> = Box<dyn FnMut(&mut C, time::Instant) + Send>;

struct Subscription<C> {
    callback: Callback<C>,
    due: time::Instant,
    period: time::Duration,
}

/// Timers of one thread. Their closures get the thread's context `C`.
pub struct Service<C> {
    subscriptions: Vec<Subscription<C>>,
}

impl<C> Default for Service<C> {
    fn default() -> Self {
        Self {
            subscriptions: Vec::new(),
        }
    }
}

impl<C> Service<C> {
    /// Subscribes `callback` to run every `period`, for the first time one period after `now`.
    pub fn subscribe(
        &mut self,
        now: time::Instant,
        period: time::Duration,
        callback: impl FnMut(&mut C, time::Instant) + Send + 'static,
    ) {
        let callback = Box::new(callback);
        self.subscriptions.push(Subscription {
            callback,
            due: now + period,
            period,
        });
    }

    /// Runs the closures that are due. Missed periods are skipped.
    pub fn run(&mut self, context: &mut C, now: time::Instant) {
        for subscription in &mut self.subscriptions {
            if subscription.due <= now {
                subscription.due = now + subscription.period;
                (subscription.callback)(context, now);
            }
        }
    }

    /// Time until the next closure is due; `None` if there are no subscriptions.
    pub fn time_to_next(&self, now: time::Instant) -> Option<time::Duration> {
        self.subscriptions
            .iter()
            .map(|subscription| subscription.due.since(now))
            .min()
    }
}
