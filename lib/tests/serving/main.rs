//! Tests of owners and entry instances together, in a simulation.

mod sim;
mod test_entry;
mod test_planned_stop;
mod test_policy;
