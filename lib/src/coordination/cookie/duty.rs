//! Whether an instance watches the platform.
//!
//! No instance assigns the watch to another. An instance starts to watch if too few of the instances
//! that rank before it watch and it is one of the first in rank, or if its own registry data is
//! stale, whatever it knows of others. The age at which it does so is drawn from the time that the
//! bounds leave, late in it for most instances, so that few call the platform before an answer
//! spreads. While the platform answers nobody, those that are not first in rank take turns at random,
//! so that the number of further calls does not grow with the fleet.
//!
//! When many instances start at once, the seeds and a few others read all registry data from the
//! platform. The rest fetch it from them.

use std::net::SocketAddr;

use crate::coordination::cookie::{candidates, news, timing};
use crate::state::{random, time};

/// Instances that watch the platform while all instances hear each other.
const WATCHER_COUNT: usize = 2;
/// Least number of instances by which first attempts are spread. In a small fleet, most of them fall
/// into the end of their time too, so that a late heartbeat causes few.
const MIN_SPREAD: f64 = 1_000.0;
/// Mean time between two further calls of instances that are not among the first in rank while the
/// platform answers none. Each has made its first attempt before.
const ATTEMPT_STEP: time::Duration = time::Duration::from_millis(50);
/// Time after its start in which an instance that hears others waits for one that offers its
/// registry data; above the time in which a seed that starts with it reads the platform.
const OFFER_WINDOW: time::Duration = time::Duration::from_millis(250);
/// Time after its start in which an instance that is no seed waits to hear anybody; instances that
/// start together start within 300 ms.
const ALONE_AFTER: time::Duration = time::Duration::from_millis(350);
/// Instances that read all registry data from the platform when many start at once.
const START_READERS: f64 = 12.0;
/// Time after which an instance that still has no registry data decides again whether it reads.
const START_READ_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Inputs of the decision.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// Address of this instance, by which it is ranked.
    pub address: SocketAddr,
    /// Age of its registry data; none if it has none.
    pub age: Option<time::Duration>,
    /// Whether it hears any other instance.
    pub hears_others: bool,
    /// Number of instances, as far as is known.
    pub instances: usize,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// Whether it is one of the seeds or has none.
    pub is_seed: bool,
    /// Whether it watches now.
    pub watching: bool,
}

/// State of the decision.
#[derive(Clone, Debug)]
pub struct Duty {
    /// The other instances that watch the platform or may have to.
    pub candidates: candidates::Candidates,
    /// When this instance may next call the platform while its registry data is stale.
    next_attempt: Option<time::Instant>,
    /// When this instance, having no registry data, next decides whether it reads it.
    next_read_decision: time::Instant,
    resumed_at: time::Instant,
    started: time::Instant,
    timing: timing::Timing,
}

impl Duty {
    /// State of an instance that starts at `now`.
    pub fn new(now: time::Instant, timing: timing::Timing) -> Self {
        Self {
            candidates: candidates::Candidates::default(),
            next_attempt: None,
            next_read_decision: now + OFFER_WINDOW,
            resumed_at: now,
            started: now,
            timing,
        }
    }

    /// Takes in which instances watch the platform, from a heartbeat that arrived at an instant.
    pub fn learn(
        &mut self,
        received_at: time::Instant,
        own: SocketAddr,
        from: SocketAddr,
        news: &news::News,
    ) {
        let within = self.timing.attempt_by;
        let sender = candidates::Candidate {
            address: from,
            answered_at: news.answered_at,
            seen: received_at,
        };
        self.candidates.learn(received_at, sender, within);
        for found in &news.candidates {
            if found.address != own && found.address != from {
                self.candidates.learn(received_at, *found, within);
            }
        }
    }

    /// Handles the end of a pause, in which no answer could arrive: heartbeats get time to confirm
    /// the registry data before this instance calls the platform.
    pub fn on_resumed(&mut self, now: time::Instant) {
        self.resumed_at = now;
        self.next_attempt = None;
    }

    /// Decides whether this instance watches the platform.
    pub fn decide(
        &mut self,
        now: time::Instant,
        inputs: &Inputs,
        random: &mut random::Source,
    ) -> bool {
        let ahead = self.ahead(now, inputs);
        let stale_age = inputs.age.filter(|age| *age >= self.timing.stale_after);
        let may_attempt = match stale_age {
            Some(age) => self.may_attempt(now, age, inputs, random),
            None => {
                self.next_attempt = None;
                true
            }
        };
        let wanted = match inputs.age {
            // A watcher that is believed to be alive has not confirmed the data.
            Some(_) if stale_age.is_some() => may_attempt,
            // Two watchers suffice; each further one costs platform calls.
            Some(_) => ahead.watchers < WATCHER_COUNT && ahead.count < WATCHER_COUNT,
            None => self.reads_at_start(now, inputs, random),
        };
        // An instance that watches continues until two others do.
        let continues = inputs.watching && may_attempt && ahead.watchers < WATCHER_COUNT;
        !inputs.is_leaving && (wanted || continues)
    }

    /// Handles a call that the platform did not answer. An instance that is not among the first in
    /// rank leaves the next calls to others.
    pub fn on_failed(&mut self, now: time::Instant, inputs: &Inputs, random: &mut random::Source) {
        if inputs.age.is_some() && !self.is_first_in_rank(now, inputs) {
            self.next_attempt = Some(now + draw_attempt_delay(inputs, random));
        }
    }

    fn ahead(&self, now: time::Instant, inputs: &Inputs) -> candidates::Ahead {
        let within = self.timing.attempt_by;
        self.candidates.ahead_of(inputs.address, now, within)
    }

    fn is_first_in_rank(&self, now: time::Instant, inputs: &Inputs) -> bool {
        self.ahead(now, inputs).count < candidates::KEPT_BY_RANK
    }

    /// Whether this instance may call the platform while its registry data is stale.
    fn may_attempt(
        &mut self,
        now: time::Instant,
        age: time::Duration,
        inputs: &Inputs,
        random: &mut random::Source,
    ) -> bool {
        let next = match self.next_attempt {
            Some(next) => next,
            None => {
                let stale_since = now.before(age) + self.timing.stale_after;
                stale_since.max(self.resumed_at) + self.draw_first_delay(now, inputs, random)
            }
        };
        self.next_attempt = Some(next);
        now >= next
    }

    /// Time from the age at which data is stale until the first attempt. Its density rises
    /// exponentially by a factor of the number of instances, so that one of them attempts early
    /// on average, and few before an answer spreads.
    fn draw_first_delay(
        &self,
        now: time::Instant,
        inputs: &Inputs,
        random: &mut random::Source,
    ) -> time::Duration {
        if self.ahead(now, inputs).count < WATCHER_COUNT {
            return time::Duration::ZERO;
        }
        let spread = (inputs.instances as f64).max(MIN_SPREAD);
        let part = (1.0 + random.unit() * (spread - 1.0)).ln() / spread.ln();
        let window = self.timing.attempt_by - self.timing.stale_after;
        window.mul_f64(part)
    }

    /// Whether this instance, which has no registry data, reads it from the platform. It does so if
    /// it is a seed or hears nobody. If it hears others, they start at the same time, and it is one
    /// of those that read with a chance that keeps their number small.
    fn reads_at_start(
        &mut self,
        now: time::Instant,
        inputs: &Inputs,
        random: &mut random::Source,
    ) -> bool {
        if inputs.watching || inputs.is_seed {
            return true;
        }
        if !inputs.hears_others {
            return now.since(self.started) >= ALONE_AFTER;
        }
        if now < self.next_read_decision {
            return false;
        }
        self.next_read_decision = now + START_READ_INTERVAL;
        random.unit() < START_READERS / inputs.instances as f64
    }
}

fn draw_attempt_delay(inputs: &Inputs, random: &mut random::Source) -> time::Duration {
    // An instance that hears nobody has nobody to take turns with.
    let instances = if inputs.hears_others {
        inputs.instances
    } else {
        1
    };
    let mean = ATTEMPT_STEP * instances as u32;
    mean.mul_f64(2.0 * random.unit())
}
