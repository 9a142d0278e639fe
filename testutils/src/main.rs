//! Stand-in processes.
fn main() {}
