//! The commands of the binary, one file each.

pub mod serve;
