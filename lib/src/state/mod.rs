//! The state layer: arenas and tables addressed by small `Copy` keys, and plain data types.
//! Imports no other layer.

pub mod arena;
pub mod bitmap;
pub mod bound;
pub mod catalog;
pub mod code;
pub mod count;
pub mod fleet;
pub mod flow;
pub mod key;
pub mod packet;
pub mod random;
pub mod segment;
pub mod snapshot;
pub mod time;
pub mod view;
