//! The threads of an instance that forwards by cookie.

pub mod control;
pub mod front;
pub mod journal;
pub mod node;
pub mod traffic;
