//! Decision logic without I/O, clocks or threads. The time and received messages are passed in as
//! values, and messages to send are returned as values. Imports only the `state` layer.

mod advance;
pub mod bucket;
pub mod burn;
pub mod change;
pub mod control;
pub mod cookie;
pub mod flexible_share;
pub mod hash;
pub mod health;
pub mod heartbeat;
pub mod history;
pub mod hold;
pub mod home_table;
pub mod inventory;
pub mod load;
pub mod membership;
pub mod message;
pub mod objective;
pub mod placement;
pub mod publish;
pub mod rank;
mod release;
pub mod replica;
mod replication;
pub mod sheet;
pub mod steering;
pub mod verdict;
