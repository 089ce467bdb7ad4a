//! Small stand-ins for what surrounds the system: the platform, the fabric, targets and callers,
//! and a demonstration that runs them together with real instances.

pub mod caller;
pub mod demo;
pub mod deployment;
pub mod echo;
pub mod fabric;
pub mod platform;
pub mod soak;
pub mod stack;
pub mod store;
pub mod target;
