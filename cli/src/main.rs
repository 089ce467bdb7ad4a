//! Command.
fn main() {}
