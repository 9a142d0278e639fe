//! Cell values of query rows and their order.

use std::{cmp::Ordering, fmt::Display, sync::Arc};

use serde::{Deserialize, Serialize};

/// A row: one value per column.
pub type TableRow = Vec<CellValue>;

/// Value of one cell. Integers and floats compare by their numeric value;
/// values of different kinds compare by kind, with `Null` first.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum CellValue {
    /// The value is unknown or not set.
    Null,
    /// A boolean.
    Flag(bool),
    /// A non-negative integer.
    Integer(u64),
    /// A number that is not a non-negative integer, or is not exact as one.
    Float(f64),
    /// A string.
    Text(Arc<str>),
    /// A list of strings.
    List(Vec<Arc<str>>),
}

impl CellValue {
    /// A string cell with the `Display` text of a value.
    pub fn text(value: impl Display) -> Self {
        Self::Text(value.to_string().into())
    }

    /// A list cell with the `Display` texts of the values.
    pub fn list<T: Display>(values: impl IntoIterator<Item = T>) -> Self {
        let texts = values.into_iter().map(|value| value.to_string().into());
        Self::List(texts.collect())
    }

    /// Builds a cell from a value, or `Null` from `None`.
    pub fn option<T>(value: Option<T>, build: impl FnOnce(T) -> Self) -> Self {
        value.map_or(Self::Null, build)
    }

    /// A duration in seconds, rounded to milliseconds.
    pub fn seconds(time: std::time::Duration) -> Self {
        Self::Float((time.as_secs_f64() * 1_000.0).round() / 1_000.0)
    }

    /// The numeric value; `None` if the cell is not a number.
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Integer(number) => Some(*number as f64),
            Self::Float(number) => Some(*number),
            _ => None,
        }
    }

    /// An integer cell if the number is a non-negative integer that `f64`
    /// represents exactly, otherwise a float cell.
    pub(super) fn from_f64(number: f64) -> Self {
        // 2^53. Above it, not every integer has a representation as `f64`.
        const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;
        if number.fract() == 0.0 && (0.0..MAX_EXACT_INTEGER).contains(&number) {
            Self::Integer(number as u64)
        } else {
            Self::Float(number)
        }
    }

    fn rank(&self) -> u8 {
        match self {
            Self::Null => 0,
            Self::Flag(_) => 1,
            Self::Integer(_) | Self::Float(_) => 2,
            Self::Text(_) => 3,
            Self::List(_) => 4,
        }
    }
}

impl Ord for CellValue {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Flag(left), Self::Flag(right)) => left.cmp(right),
            (Self::Integer(left), Self::Integer(right)) => left.cmp(right),
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
        Self::Integer(value)
    }
}

impl From<u32> for CellValue {
    fn from(value: u32) -> Self {
        Self::Integer(value.into())
    }
}

impl From<usize> for CellValue {
    fn from(value: usize) -> Self {
        Self::Integer(value as u64)
    }
}

impl From<bool> for CellValue {
    fn from(value: bool) -> Self {
        Self::Flag(value)
    }
}

impl From<f64> for CellValue {
    fn from(value: f64) -> Self {
        Self::Float(value)
    }
}

impl From<&'static str> for CellValue {
    fn from(value: &'static str) -> Self {
        Self::Text(value.into())
    }
}
