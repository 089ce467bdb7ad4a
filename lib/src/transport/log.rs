//! The structured log, with lines for decisions and changes of state. Frequent events are counted
//! in metrics instead.
//!
//! A dedicated thread writes the lines. If its queue is full, lines are dropped and counted.

use slog::Drain;

use crate::protocol::settings;

/// Capacity of the queue of the writing thread, in lines.
const QUEUE_CAPACITY_LINES: usize = 512;

/// Writes the queued lines when dropped; keep it until the process ends.
pub type Guard = slog_async::AsyncGuard;

/// Starts a logger whose dedicated thread writes to standard output.
pub fn start(format: settings::Format, instance: &str, zone: &str) -> (slog::Logger, Guard) {
    let (drain, guard) = match format {
        settings::Format::Json => start_writer(slog_json::Json::default(std::io::stdout()).fuse()),
        settings::Format::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stdout());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            start_writer(drain)
        }
    };
    let names = slog::o!("instance" => instance.to_owned(), "zone" => zone.to_owned());
    (slog::Logger::root(drain, names), guard)
}

/// Starts the writing thread. If its queue is full, lines are dropped and their number is reported
/// in the next line, so that no thread waits for the log.
fn start_writer(
    drain: impl slog::Drain<Ok = (), Err = slog::Never> + Send + 'static,
) -> (slog::Fuse<slog_async::Async>, Guard) {
    let builder = slog_async::Async::new(drain).chan_size(QUEUE_CAPACITY_LINES);
    let (drain, guard) = builder
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (drain.fuse(), guard)
}

/// A logger that writes nothing.
pub fn none() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
