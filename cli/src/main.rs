//! The borageline binary.
fn main() {}
