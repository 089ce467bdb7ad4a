//! Counters that one thread writes and other threads read without a lock.

use std::sync::atomic::{AtomicU64, Ordering};

/// Defines the counters and their names in metrics.
macro_rules! define_counters {
    ($($(#[$doc:meta])* $variant:ident => $name:literal,)*) => {
        /// A counter.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $($(#[$doc])* $variant,)*
        }

        impl Counter {
            /// All counters in index order.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Name in metrics and reports.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }
        }
    };
}

define_counters! {
    /// Packets received from the fabric.
    Received => "packets_received",
    /// Packets forwarded to a target.
    Forwarded => "packets_forwarded",
    /// Packets relayed to another instance.
    Relayed => "packets_relayed",
    /// Packets received by relay.
    RelayReceived => "relays_received",
    /// Packets passed to the shard that they belong to.
    Passed => "packets_passed",
    /// Packets held for a decision.
    Held => "packets_held",
    /// First packets refused.
    Refused => "flows_refused",
    /// Flow entries created.
    EntryCreated => "entries_created",
    /// Flow entries placed away from their bucket's home.
    EntryDeviating => "entries_deviating",
    /// Flow entries removed after their end or idle time-out.
    EntryEnded => "entries_ended",
    /// Flow entries given up at the bound on entries.
    EntryEvicted => "entries_given_up",
    /// Packets that were sent again since the target did not answer in time.
    FlowStalled => "flows_stalled",
    /// Checks of targets in doubt that this instance started.
    CheckStarted => "checks_started",
    /// Checks of targets in doubt that could not be opened.
    CheckFailed => "checks_failed",
    /// Targets declared dead after failed checks, once for each time.
    TargetUnreachable => "targets_unreachable",
    /// Flows reset at once after failed checks of their target.
    FlowReturned => "flows_returned",
    /// Entries whose target changed when two placements met.
    EntryMerged => "entries_merged",
    /// Bytes of control frames sent.
    ControlBytesSent => "control_bytes_sent",
    /// Control frames sent.
    ControlFramesSent => "control_frames_sent",
    /// Control frames received.
    ControlFramesReceived => "control_frames_received",
    /// Packets dropped: shorter than their headers say.
    DropTruncated => "drop_truncated",
    /// Packets dropped: not a valid IP packet.
    DropMalformed => "drop_malformed",
    /// Packets dropped: a fragment.
    DropFragment => "drop_fragment",
    /// Packets dropped: transport protocol not served.
    DropProtocol => "drop_protocol",
    /// Packets dropped: no service at the address.
    DropUnknownAddress => "drop_unknown_address",
    /// Packets dropped: larger than a receive buffer.
    DropOversized => "drop_oversized",
    /// Packets dropped: no target has their cookie.
    DropUnknownCookie => "drop_unknown_cookie",
    /// Packets dropped: their cookie names a target that the route never led to.
    DropForeignCookie => "drop_foreign_cookie",
    /// Packets dropped: held longer than the bound.
    DropHeldTooLong => "drop_held_too_long",
    /// Datagrams dropped: they waited while the thread was paused.
    DropStale => "drop_stale",
    /// Packets dropped: the entry of their flow was lost with the instances that held it.
    DropLost => "drop_lost",
    /// Packets dropped: too many held.
    DropHoldFull => "drop_hold_full",
    /// Packets dropped: relayed too often.
    DropHopLimit => "drop_hop_limit",
    /// Packets dropped: no accepted sheet.
    DropNotReady => "drop_not_ready",
    /// Packets dropped: no target can take the flow and a refusal might not be true.
    DropNoTarget => "drop_no_target",
    /// Packets dropped: the drain deadline of the flow's target has passed.
    DropDeadline => "drop_deadline",
    /// Frames dropped: wrong authentication.
    DropAuthentication => "drop_authentication",
    /// Frames dropped: not decodable.
    DropEncoding => "drop_encoding",
    /// Sends that the socket did not take.
    SendFailed => "send_failed",
    /// Calls to the platform, waiting ones included.
    PlatformCall => "platform_calls",
    /// Calls to the platform that failed.
    PlatformCallFailed => "platform_calls_failed",
    /// Events that the control thread's queue could not take.
    EventLost => "events_lost",
}

/// One value for each counter.
#[derive(Debug)]
pub struct Set {
    values: Vec<AtomicU64>,
}

impl Default for Set {
    fn default() -> Self {
        Self {
            values: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
        }
    }
}

impl Set {
    /// Adds one.
    pub fn increment(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds an amount. Only one thread writes, so a load and a store suffice.
    pub fn add(&self, counter: Counter, amount: u64) {
        let value = &self.values[counter as usize];
        value.store(
            value.load(Ordering::Relaxed).wrapping_add(amount),
            Ordering::Relaxed,
        );
    }

    /// Current value.
    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }
}
