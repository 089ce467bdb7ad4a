//! Runner of the library's tests.

mod cookie_forward;
mod decoders;
mod layers;
mod limits;
mod packets;
mod planned;
mod scenario;
mod tables;
mod unplanned;
