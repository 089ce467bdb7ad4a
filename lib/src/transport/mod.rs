//! Sockets, clocks, threads and HTTP: bytes in, bytes out. Drives the other layers.

pub mod batch;
pub mod clock;
pub mod control;
pub mod cookie;
pub mod files;
pub mod http;
pub mod log;
pub mod lookup;
pub mod node;
pub mod page;
pub mod platform;
pub mod probe;
pub mod pump;
pub mod timer;
pub mod traffic;
pub mod transfer;
pub mod watch;
