//! The measures of section 8 of the design page.

pub mod decision;
pub mod first_token;
pub mod overhead;
