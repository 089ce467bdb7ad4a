//! Simulated surroundings of the system, the stand-ins: the platform, the fabric, targets and
//! callers. A demonstration and a soak test run them together with real instances.

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
