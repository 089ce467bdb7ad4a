//! The log: structured lines for changes of state; everything else is a counter.

use slog::Drain;

use crate::protocol::settings;

/// A logger that writes to standard error on a thread of its own.
pub fn start(format: settings::Format, instance: u16, zone: &str) -> slog::Logger {
    let drain = match format {
        settings::Format::Json => {
            slog_async::Async::new(slog_json::Json::default(std::io::stderr()).fuse())
                .build()
                .fuse()
        }
        settings::Format::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(drain).build().fuse()
        }
    };
    slog::Logger::root(
        drain,
        slog::o!("instance" => instance, "zone" => zone.to_owned()),
    )
}

/// A logger that writes nothing.
pub fn none() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}
