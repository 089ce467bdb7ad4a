//! All logic of the quetzalspur layer-4 load balancer, in four layers.
//!
//! Imports go one way: `transport` may use every layer, `protocol` may use `coordination` and
//! `state`, `coordination` may use only `state`, and `state` uses no other layer. A test in
//! `tests/layers.rs` enforces this rule.

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
