//! A simulated network between nodes, with delay, loss, duplication and partitions.

use std::time::Duration;

use quetzal_lib::state::{random, time};

/// How the network treats messages between instances.
#[derive(Clone, Debug)]
pub struct Network {
    /// Minimum one-way delay.
    pub delay: Duration,
    /// Share of messages that arrive twice, from 0 to 1.
    pub duplicate_rate: f64,
    /// Maximum additional delay.
    pub jitter: Duration,
    /// Share of messages that are lost, from 0 to 1.
    pub loss_rate: f64,
    /// Partition of each node; nodes in different partitions cannot reach each other.
    pub partitions: Vec<u8>,
}

impl Network {
    /// Creates a network without loss, duplication or partitions.
    pub fn new(nodes: usize) -> Self {
        Self {
            delay: Duration::from_micros(500),
            duplicate_rate: 0.0,
            jitter: Duration::from_micros(300),
            loss_rate: 0.0,
            partitions: vec![0; nodes],
        }
    }

    /// Whether two nodes can reach each other.
    pub fn is_connected(&self, first: usize, second: usize) -> bool {
        self.partitions[first] == self.partitions[second]
    }

    /// Arrival times of a message sent now: none if it is lost, two if it is duplicated.
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
