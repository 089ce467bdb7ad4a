//! Holding packets and deciding on them again; the transport is told through `Shard::released`.

use crate::coordination::{hold, steering, verdict};
use crate::state::{count, key, time, view};

impl steering::Shard {
    /// Holds a packet, unless too many are held.
    pub(crate) fn hold(
        &mut self,
        now: time::Instant,
        packet: verdict::Packet,
        wait: hold::Wait,
    ) -> verdict::Verdict {
        if self.held.len() >= self.limits.held {
            return verdict::Verdict::Drop(count::Counter::DropHoldFull);
        }
        verdict::Verdict::Hold(self.held.insert(hold::Held {
            deadline: now + hold::MAX_HOLD,
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
        let due: Vec<(key::Held, hold::Held)> = self
            .held
            .iter()
            .filter(|(_, held)| match held.wait {
                hold::Wait::Copies(entry) => held.deadline <= now || ready.contains(&entry),
                hold::Wait::Taking => false,
                hold::Wait::View => true,
            })
            .map(|(key, held)| (key, *held))
            .collect();
        for (key, held) in due {
            self.retry_one(view, now, key, held);
        }
    }

    fn retry_one(
        &mut self,
        view: &view::View,
        now: time::Instant,
        key: key::Held,
        held: hold::Held,
    ) {
        if held.deadline <= now {
            if let hold::Wait::Copies(entry) = held.wait
                && self.table.get(entry).is_some_and(|entry| !entry.confirmed)
            {
                self.remove(entry);
            }
            self.release(key, verdict::Verdict::Drop(count::Counter::DropHeldTooLong));
            return;
        }
        match self.decide(view, now, held.packet, false) {
            verdict::Verdict::Hold(again) => {
                // The packet keeps its first key and deadline.
                let renewed = self.held.remove(again);
                if let (Some(renewed), Some(slot)) = (renewed, self.held.get_mut(key)) {
                    slot.wait = renewed.wait;
                }
            }
            // A full hold is no verdict on a packet that is already held.
            verdict::Verdict::Drop(count::Counter::DropHoldFull) => {}
            verdict => {
                // While the packet was held its caller may have sent again to another instance.
                let verdict = match verdict {
                    verdict::Verdict::Refuse => {
                        verdict::Verdict::Drop(count::Counter::DropNoTarget)
                    }
                    verdict => verdict,
                };
                self.release(key, verdict);
            }
        }
    }

    fn release(&mut self, key: key::Held, verdict: verdict::Verdict) {
        if let Some(held) = self.held.get_mut(key) {
            held.wait = hold::Wait::Taking;
            self.released.push((key, verdict));
        }
    }

    /// Held packets whose verdict is known now; their keys may name other packets from now on.
    pub fn released(&mut self) -> Vec<(key::Held, verdict::Verdict)> {
        let released = std::mem::take(&mut self.released);
        for (key, _) in &released {
            self.held.remove(*key);
        }
        released
    }
}
