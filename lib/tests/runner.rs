//! Runner of the library's tests.

mod layers;
mod planned;
mod scenario;
mod unplanned;
