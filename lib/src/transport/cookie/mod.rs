//! Threads of an instance that forwards by cookie, and its interface to the platform.

pub mod adapter;
pub mod check;
pub mod control;
pub mod event_log;
pub mod node;
pub mod start_queue;
pub mod traffic;
