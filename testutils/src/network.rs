//! A network between nodes that delays, loses, repeats and cuts.

use std::time::Duration;

use quetzal_lib::state::{random, time};

/// What the network does to messages between instances.
#[derive(Clone, Debug)]
pub struct Network {
    /// Least one-way delay.
    pub delay: Duration,
    /// Share of messages that arrive twice.
    pub duplicate_rate: f64,
    /// Largest additional delay.
    pub jitter: Duration,
    /// Share of messages that are lost.
    pub loss_rate: f64,
    /// Side of each node; nodes on different sides do not reach each other.
    pub partitions: Vec<u8>,
}

impl Network {
    /// A network without faults.
    pub fn new(nodes: usize) -> Self {
        Self {
            delay: Duration::from_micros(500),
            duplicate_rate: 0.0,
            jitter: Duration::from_micros(300),
            loss_rate: 0.0,
            partitions: vec![0; nodes],
        }
    }

    /// Whether two nodes reach each other.
    pub fn is_connected(&self, first: usize, second: usize) -> bool {
        self.partitions[first] == self.partitions[second]
    }

    /// When copies of a message sent now arrive.
    pub fn arrivals(
        &self,
        now: time::Instant,
        from: usize,
        to: usize,
        random: &mut random::Source,
    ) -> Vec<time::Instant> {
        if !self.is_connected(from, to) || random.unit() < self.loss_rate {
            return Vec::new();
        }
        let copies = if random.unit() < self.duplicate_rate {
            2
        } else {
            1
        };
        (0..copies)
            .map(|_| now + self.delay + self.jitter.mul_f64(random.unit()))
            .collect()
    }
}
