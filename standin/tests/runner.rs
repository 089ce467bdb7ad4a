//! Runner of the stand-ins' tests.

mod promises;
mod repeats;
