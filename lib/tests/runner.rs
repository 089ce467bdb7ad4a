//! Runner of the library's tests.

mod layers;
