//! Decisions for packet formats with a cookie: a value that the system chooses and callers send
//! back.
//!
//! The cookie names the target of a flow, so that any instance can forward any packet of any flow
//! without coordination between instances. What remains to be decided is where a new flow goes,
//! which configuration and targets are current, which instances read them from the platform, and
//! which targets fail.

pub mod candidates;
pub mod capacity;
pub mod checks;
pub mod cold_budget;
pub mod controller;
pub mod cookies;
pub mod cost;
pub mod duty;
pub mod estimate;
pub mod evacuation;
pub mod evidence;
pub mod flow_table;
pub mod forward;
pub mod heartbeat;
pub mod news;
pub mod objectives;
pub mod offers;
pub mod pace;
pub mod pause;
pub mod peers;
pub mod placement;
pub mod registry;
pub mod report;
pub mod snapshot_builder;
pub mod summary;
pub mod timing;
pub mod verdict;
