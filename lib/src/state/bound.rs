//! The time bounds and limits that a deployment guarantees, as its settings give them.

use crate::state::time;

/// Bounds that a deployment guarantees.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Factor on the request rate that a cold target with a budget bears.
    pub cold_overload: f64,
    /// Requests that a cold target may get in one second beyond its rate.
    pub cold_slack: f64,
    /// Time in which a configuration is in force on all instances.
    pub config: time::Duration,
    /// Time after which a draining target gets no new flows.
    pub drain: time::Duration,
    /// Time after which an evacuated zone gets no new flows.
    pub evacuation: time::Duration,
    /// Time after a disturbance for which an instance is not held to the other bounds.
    pub stability: time::Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            cold_overload: 1.0,
            cold_slack: 0.0,
            config: time::Duration::from_secs(3),
            drain: time::Duration::from_secs(3),
            evacuation: time::Duration::from_secs(5),
            stability: time::Duration::from_secs(4),
        }
    }
}

impl Bounds {
    /// The shortest time in which a change must be in force.
    pub fn change(&self) -> time::Duration {
        self.config.min(self.drain).min(self.evacuation)
    }

    /// The longest wait of one watch call, which confirms the registry data. The rest of the bound
    /// is left for other instances to notice that a watcher is lost.
    pub fn watch(&self) -> time::Duration {
        self.change() * 2 / 3
    }
}
