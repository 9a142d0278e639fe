//! The measures of section 8 of the design page.

pub mod control_cost;
pub mod decision;
pub mod domain_change;
pub mod first_token;
pub mod overhead;
pub mod slow_readers;
pub mod slowdown;
