//! The threads of an instance that forwards by cookie.

pub mod adapter;
pub mod control;
pub mod event_log;
pub mod node;
pub mod traffic;
