//! Test utilities: simulations of several instances in one thread, without sockets.

pub mod baseline;
pub mod caller;
pub mod fleet;
pub mod network;
pub mod overload;
pub mod sheet;
