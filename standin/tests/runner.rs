//! Tests of the stand-ins.

mod promises;
mod repeats;
