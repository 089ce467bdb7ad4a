//! Transport layer: sockets, clocks, threads and HTTP. It moves bytes and calls the other layers.

pub mod batch;
pub mod clock;
pub mod control;
pub mod cookie;
pub mod event_loop;
pub mod files;
pub mod flow_page;
pub mod http_client;
pub mod http_server;
pub mod log;
pub mod node;
pub mod platform;
pub mod probe;
pub mod timer;
pub mod traffic;
pub mod transfer;
pub mod watch;
