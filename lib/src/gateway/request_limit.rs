//! Limits that upstreams name for the requests that they take.

use std::{
    fmt::{Display, Formatter},
    str::FromStr,
};

use crate::value_type;

value_type! {
    /// Requests a second that an upstream takes from all instances together;
    /// finite and not negative.
    #[derive(Copy, PartialOrd)]
    pub struct RequestLimit(f64);
}

/// Error for text that is not a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitError {
    /// The rejected text.
    pub text: String,
}

impl Display for LimitError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{:?} is not a number of requests a second, 0 or more",
            self.text,
        )
    }
}

impl std::error::Error for LimitError {}

impl RequestLimit {
    /// The limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl Display for RequestLimit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} requests/s", self.0)
    }
}

impl FromStr for RequestLimit {
    type Err = LimitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let limit = text.trim().parse().ok();
        limit
            .filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
            .map(Self)
            .ok_or_else(|| LimitError { text: text.into() })
    }
}
