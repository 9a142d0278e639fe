//! Tests of owners and entry instances together, in a simulation.

mod sim;
mod test_entry;
mod test_policy;
