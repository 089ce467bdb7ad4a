//! Runner of the stand-ins' tests.

mod repeats;
