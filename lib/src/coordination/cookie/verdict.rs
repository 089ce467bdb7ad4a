//! Whether a target answers none of its open flows, so that flows on it are reset.
//!
//! Two bases lead to the verdict: the stalls of several flows at this instance, or one stalled flow
//! together with failed checks of two checkers. Either is void while another instance sees progress,
//! while the target may only be slow, and while this instance may be at fault itself.

use crate::coordination::cookie::evidence;
use crate::state::{snapshot, time};

/// Age of the last progress of any flow at which missing progress says more about this instance
/// than about a target.
const LOCAL_PROGRESS_WINDOW: time::Duration = time::Duration::from_millis(300);
/// Age at which a connection that this instance opened no longer shows that its network works.
const REACHABLE_WINDOW: time::Duration = time::Duration::from_millis(1_000);
/// Age at which progress seen by another instance no longer shows that a target is alive; above the
/// time in which heartbeats report it.
const PEER_PROGRESS_WINDOW: time::Duration = time::Duration::from_millis(1_000);
/// The same for progress that another instance saw after flows of this instance had stalled, which
/// shows that the packets of this instance are lost.
const STALLED_PROGRESS_WINDOW: time::Duration = time::Duration::from_millis(2_500);
/// Time from the last sign of life to the start of a refused check; the age of a result that
/// arrived late is too small by the time that it was under way.
const REFUSED_MIN_SILENCE: time::Duration = time::Duration::from_millis(100);
/// The same for an unanswered check. A target that is paused for less than a second answers a check
/// that begins then within the time-out.
const UNANSWERED_MIN_SILENCE: time::Duration = time::Duration::from_millis(650);
/// Time without a sign of life before an unanswered target is dead; targets may pause for a second.
const MAX_PAUSE: time::Duration = time::Duration::from_millis(1_050);

/// What the verdict depends on.
#[derive(Clone, Copy, Debug)]
pub struct Inputs {
    /// Whether targets in doubt are checked.
    pub checks: bool,
    /// Evidence from the flows of this instance.
    pub evidence: evidence::Evidence,
    /// When a flow of any target last made progress here.
    pub last_progress: time::Instant,
    /// Packet loss on the links of this instance.
    pub links: evidence::Links,
    /// Current time.
    pub now: time::Instant,
    /// Time without progress that says nothing about the target.
    pub patience: time::Duration,
    /// End of the time after a pause of this instance in which its observations say nothing.
    pub paused_until: time::Instant,
    /// When a check of this instance last got an answer.
    pub reachable_at: time::Instant,
    /// What other instances report of the target.
    pub remote: snapshot::Remote,
}

/// What a verdict is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Basis {
    /// Failed checks and at least one stalled flow.
    Checks,
    /// Stalls of several flows at this instance.
    Stalls,
}

/// The basis on which the target counts as dead; none if it may be alive.
pub fn basis(inputs: &Inputs) -> Option<Basis> {
    if inputs.now < inputs.paused_until {
        None
    } else if is_dead_by_checks(inputs) {
        Some(Basis::Checks)
    } else {
        is_dead_by_stalls(inputs).then_some(Basis::Stalls)
    }
}

fn is_dead_by_stalls(inputs: &Inputs) -> bool {
    let Inputs { evidence, now, .. } = *inputs;
    let all_silent = now.since(inputs.last_progress) >= LOCAL_PROGRESS_WINDOW;
    // If only the link of this instance loses packets, other instances still see progress.
    let last_progress = inputs.remote.last_progress;
    let silence = now.since(last_progress);
    let alive_at_peer = silence < PEER_PROGRESS_WINDOW
        || (silence < STALLED_PROGRESS_WINDOW && last_progress > evidence.first_stall);
    // Where targets are checked, stalls alone decide later, so that a paused target is told apart.
    let min_silence = if inputs.checks {
        inputs.patience + MAX_PAUSE
    } else {
        inputs.patience
    };
    !all_silent
        && !alive_at_peer
        && now.since(evidence.last_progress) >= min_silence
        && evidence.is_dead(now, inputs.links)
}

fn is_dead_by_checks(inputs: &Inputs) -> bool {
    let Inputs { evidence, now, .. } = *inputs;
    let check = inputs.remote.check;
    let last_progress = evidence.last_progress.max(inputs.remote.last_progress);
    // Progress after the flow began to wait only moves the start of the silence: the target may have
    // answered other flows before it died.
    let silent_since = evidence.first_wait.max(last_progress);
    let silence = now.since(silent_since);
    // A target may be paused when it would have answered, so the pause adds to the response time. A
    // pause that began before the first failed check ends within its length after that.
    let unresponsive_since =
        (silent_since + inputs.patience).min(check.failing_since.max(last_progress));
    let is_silent = if check.refused {
        check.failed_at >= silent_since + REFUSED_MIN_SILENCE && silence >= inputs.patience
    } else {
        check.failed_at >= silent_since.max(unresponsive_since + UNANSWERED_MIN_SILENCE)
            && now.since(unresponsive_since) >= MAX_PAUSE
    };
    let all_silent = now.since(inputs.last_progress) >= LOCAL_PROGRESS_WINDOW
        && now.since(inputs.reachable_at) >= REACHABLE_WINDOW;
    !all_silent
        && evidence.has_waited(now, inputs.links)
        && check.opened_at < check.failed_at
        && is_silent
}
