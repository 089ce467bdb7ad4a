//! Decisions for packet formats that carry a value from the system back to it.
//!
//! The value, the cookie, names the target of a flow, so that any instance forwards any packet of
//! any flow without an agreement between instances. What remains to be decided is where a new flow
//! goes, what the published facts say, which instances read them, and which targets fail.

pub mod controller;
pub mod evidence;
pub mod flow_table;
pub mod forward;
pub mod heartbeat;
pub mod peers;
pub mod placement;
pub mod registry;
pub mod report;
pub mod snapshot_builder;
