//! Values of cells, and how they compare.

use std::{cmp::Ordering, fmt::Display, sync::Arc};

use serde::{Deserialize, Serialize};

/// One row.
pub type TableRow = Vec<CellValue>;

/// One value of a row.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CellValue {
    /// Not known or not set.
    Null,
    /// True or false.
    Flag(bool),
    /// A whole number.
    Whole(u64),
    /// Another number.
    Number(f64),
    /// Text.
    Text(Arc<str>),
    /// A list of texts.
    List(Vec<Arc<str>>),
}

impl CellValue {
    /// Text of anything that is shown as such.
    pub fn text(value: impl Display) -> Self {
        Self::Text(value.to_string().into())
    }

    /// A list of anything that is shown as text.
    pub fn list<T: Display>(values: impl IntoIterator<Item = T>) -> Self {
        let texts = values.into_iter().map(|value| value.to_string().into());
        Self::List(texts.collect())
    }

    /// A value that may be missing.
    pub fn option<T>(value: Option<T>, build: impl FnOnce(T) -> Self) -> Self {
        value.map_or(Self::Null, build)
    }

    /// A time in seconds, to the millisecond.
    pub fn seconds(time: std::time::Duration) -> Self {
        Self::Number((time.as_secs_f64() * 1_000.0).round() / 1_000.0)
    }

    /// The number, if the value is one.
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Whole(number) => Some(*number as f64),
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    /// A sum or mean, whole where it is.
    pub(super) fn from_f64(number: f64) -> Self {
        // Larger numbers cannot all be told apart as floating-point numbers.
        const WHOLE_MAX: f64 = 9_007_199_254_740_992.0;
        if number.fract() == 0.0 && (0.0..WHOLE_MAX).contains(&number) {
            Self::Whole(number as u64)
        } else {
            Self::Number(number)
        }
    }

    fn rank(&self) -> u8 {
        match self {
            Self::Null => 0,
            Self::Flag(_) => 1,
            Self::Whole(_) | Self::Number(_) => 2,
            Self::Text(_) => 3,
            Self::List(_) => 4,
        }
    }
}

impl Ord for CellValue {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Flag(left), Self::Flag(right)) => left.cmp(right),
            (Self::Whole(left), Self::Whole(right)) => left.cmp(right),
            (Self::Text(left), Self::Text(right)) => left.cmp(right),
            (Self::List(left), Self::List(right)) => left.cmp(right),
            _ => match (self.number(), other.number()) {
                (Some(left), Some(right)) => left.total_cmp(&right),
                _ => self.rank().cmp(&other.rank()),
            },
        }
    }
}

impl PartialOrd for CellValue {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for CellValue {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for CellValue {}

impl From<u64> for CellValue {
    fn from(value: u64) -> Self {
        Self::Whole(value)
    }
}

impl From<u32> for CellValue {
    fn from(value: u32) -> Self {
        Self::Whole(value.into())
    }
}

impl From<usize> for CellValue {
    fn from(value: usize) -> Self {
        Self::Whole(value as u64)
    }
}

impl From<bool> for CellValue {
    fn from(value: bool) -> Self {
        Self::Flag(value)
    }
}

impl From<f64> for CellValue {
    fn from(value: f64) -> Self {
        Self::Number(value)
    }
}

impl From<&'static str> for CellValue {
    fn from(value: &'static str) -> Self {
        Self::Text(value.into())
    }
}
