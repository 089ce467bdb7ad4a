//! Holding packets and deciding on them again. The transport layer takes the verdicts through
//! `Shard::take_released`.

use crate::coordination::{hold, steering, verdict};
use crate::state::{count, key, time, view};

impl steering::Shard {
    /// Holds a packet, or drops it if the shard already holds its limit of packets.
    pub(crate) fn hold(
        &mut self,
        now: time::Instant,
        packet: verdict::Packet,
        reason: hold::Reason,
    ) -> verdict::Verdict {
        if self.held.len() >= self.limits.held {
            return verdict::Verdict::Drop(count::Counter::DropHoldFull);
        }
        verdict::Verdict::Hold(self.held.insert(hold::Held {
            deadline: now + hold::MAX_HOLD_TIME,
            packet,
            reason,
        }))
    }

    /// Decides again on held packets: all that wait for a view, those of `ready` entries, and those
    /// whose deadline has passed.
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
            .filter(|(_, held)| match held.reason {
                hold::Reason::Replicas(entry) => held.deadline <= now || ready.contains(&entry),
                hold::Reason::Released => false,
                hold::Reason::View => true,
            })
            .map(|(key, held)| (key, *held))
            .collect();
        for (key, held) in due {
            self.retry_packet(view, now, key, held);
        }
    }

    fn retry_packet(
        &mut self,
        view: &view::View,
        now: time::Instant,
        key: key::Held,
        held: hold::Held,
    ) {
        if held.deadline <= now {
            if let hold::Reason::Replicas(entry) = held.reason
                && self.table.get(entry).is_some_and(|entry| !entry.confirmed)
            {
                self.remove(entry);
            }
            self.release(key, verdict::Verdict::Drop(count::Counter::DropHeldTooLong));
            return;
        }
        match self.decide(view, now, held.packet, false) {
            verdict::Verdict::Hold(new_key) => {
                // The packet keeps its first key and deadline.
                let renewed = self.held.remove(new_key);
                if let (Some(renewed), Some(slot)) = (renewed, self.held.get_mut(key)) {
                    slot.reason = renewed.reason;
                }
            }
            // The limit applies to new packets only; this one is already held and stays so.
            verdict::Verdict::Drop(count::Counter::DropHoldFull) => {}
            verdict => {
                // No refusal: while the packet was held, its caller may have retransmitted it and
                // another instance may have placed the flow.
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
            held.reason = hold::Reason::Released;
            self.released.push((key, verdict));
        }
    }

    /// Takes the held packets whose verdict is known. Their keys may be reused afterwards.
    pub fn take_released(&mut self) -> Vec<(key::Held, verdict::Verdict)> {
        let released = std::mem::take(&mut self.released);
        for (key, _) in &released {
            self.held.remove(*key);
        }
        released
    }
}
