//! The protocol layer: encodings of packets, frames between instances, documents of the sheet,
//! settings and reports. Imports `coordination` and `state`.

pub mod cookie_settings;
pub mod fault;
pub mod ini;
pub mod ip;
pub mod manifest;
pub mod report;
pub mod settings;
pub mod sheet;
pub mod status;
pub mod timeline;
pub mod unit;
pub mod wire;
