//! Runner of the daemon's tests: real processes on loopback.

mod command_line;
mod cookie;
mod failures;
mod site;
mod soak;
