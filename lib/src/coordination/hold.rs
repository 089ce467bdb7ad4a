//! Packets that wait for a decision: for the replicas of their entry, or for a newer view.
//!
//! The bytes stay with the transport, which is told the verdict through `Shard::released`.

use crate::coordination::steering;
use crate::state::{count, key, time, view};

/// Longest time that a packet is held.
pub const MAX_HOLD: time::Duration = time::Duration::from_millis(1_800);

/// Why a packet is held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Wait {
    /// For the replicas of its entry.
    Copies(key::Entry),
    /// For the transport to take its verdict; until then its key names no other packet.
    Taking,
    /// For a newer view or lease.
    View,
}

/// A held packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Held {
    pub(crate) deadline: time::Instant,
    pub(crate) packet: steering::Packet,
    pub(crate) wait: Wait,
}

impl steering::Shard {
    /// Holds a packet, unless too many are held.
    pub(crate) fn hold(
        &mut self,
        now: time::Instant,
        packet: steering::Packet,
        wait: Wait,
    ) -> steering::Verdict {
        if self.held.len() >= self.limits.held {
            return steering::Verdict::Drop(count::Counter::DropHoldFull);
        }
        steering::Verdict::Hold(self.held.insert(Held {
            deadline: now + MAX_HOLD,
            packet,
            wait,
        }))
    }

    /// Decides again on the held packets: all that wait for a view, and those of `ready` entries.
    pub(crate) fn retry_held(
        &mut self,
        view: &view::View,
        now: time::Instant,
        ready: &[key::Entry],
    ) {
        if self.held.is_empty() {
            return;
        }
        let due: Vec<(key::Held, Held)> = self
            .held
            .iter()
            .filter(|(_, held)| match held.wait {
                Wait::Copies(entry) => held.deadline <= now || ready.contains(&entry),
                Wait::Taking => false,
                Wait::View => true,
            })
            .map(|(key, held)| (key, *held))
            .collect();
        for (key, held) in due {
            self.retry_one(view, now, key, held);
        }
    }

    fn retry_one(&mut self, view: &view::View, now: time::Instant, key: key::Held, held: Held) {
        if held.deadline <= now {
            if let Wait::Copies(entry) = held.wait
                && self.table.get(entry).is_some_and(|entry| !entry.confirmed)
            {
                self.remove(entry);
            }
            self.release(
                key,
                steering::Verdict::Drop(count::Counter::DropHeldTooLong),
            );
            return;
        }
        match self.decide(view, now, held.packet, false) {
            steering::Verdict::Hold(again) => {
                // The packet keeps its first key and deadline.
                let renewed = self.held.remove(again);
                if let (Some(renewed), Some(slot)) = (renewed, self.held.get_mut(key)) {
                    slot.wait = renewed.wait;
                }
            }
            // A full hold is no verdict on a packet that is already held.
            steering::Verdict::Drop(count::Counter::DropHoldFull) => {}
            verdict => {
                // While the packet was held its caller may have sent again to another instance.
                let verdict = match verdict {
                    steering::Verdict::Refuse => {
                        steering::Verdict::Drop(count::Counter::DropNoTarget)
                    }
                    verdict => verdict,
                };
                self.release(key, verdict);
            }
        }
    }

    fn release(&mut self, key: key::Held, verdict: steering::Verdict) {
        if let Some(held) = self.held.get_mut(key) {
            held.wait = Wait::Taking;
            self.released.push((key, verdict));
        }
    }

    /// Held packets whose verdict is known now; their keys may name other packets from now on.
    pub fn released(&mut self) -> Vec<(key::Held, steering::Verdict)> {
        let released = std::mem::take(&mut self.released);
        for (key, _) in &released {
            self.held.remove(*key);
        }
        released
    }
}
