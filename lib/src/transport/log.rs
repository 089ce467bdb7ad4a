//! The log: structured lines for decisions and changes of beliefs; what repeats is a counter.
//!
//! A thread of its own writes them. Lines that find its queue full are dropped and counted.

use slog::Drain;

use crate::protocol::settings;

/// Lines that may wait to be written.
const QUEUE_CAPACITY_LINES: usize = 512;

/// Writes what is queued before the process ends, when it is dropped.
pub type Guard = slog_async::AsyncGuard;

/// A logger that writes to standard output on a thread of its own.
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

/// Lines that find the queue full are dropped and counted in the next line, so that no thread waits.
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
