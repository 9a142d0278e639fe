//! Newtypes for whole-number quantities, so that units cannot be mixed up.

use std::time::Duration;

use crate::quantity_type;

quantity_type! {
    /// Number of prompt or generated tokens, or KV memory in tokens.
    TokenCount, " tokens"
}

quantity_type! {
    /// Size in bytes.
    ByteSize, " B"
}

quantity_type! {
    /// Tokens per second.
    TokenRate, " tokens/s"
}

quantity_type! {
    /// Requests per second.
    RequestRate, " requests/s"
}

quantity_type! {
    /// Offset of a record in a stream of the log service. Offsets start at zero
    /// and have no gaps.
    LogOffset, ""
}

quantity_type! {
    /// Number that increases each time a process starts or loses its state.
    Incarnation, ""
}

quantity_type! {
    /// Microseconds since an arbitrary origin, by the clock of one instance.
    /// Not comparable between instances.
    Timestamp, " us"
}

quantity_type! {
    /// Milliseconds since the Unix epoch, by the clock of the log service.
    LogTime, " ms"
}

/// Longest time that is taken from a number that others state. It exceeds all
/// times in which requests end, and sums and multiples of it do not overflow.
pub const TIME_MAX: Duration = Duration::from_secs(24 * 60 * 60);

/// Converts seconds, at most [`TIME_MAX`]; zero for a negative number and NaN.
pub fn bounded_time(seconds: f64) -> Duration {
    let seconds = seconds.clamp(0.0, TIME_MAX.as_secs_f64());
    if seconds.is_nan() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(seconds)
}

impl Timestamp {
    /// Adds a duration, saturating at the largest timestamp.
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// Subtracts a duration. `None` if the result would precede the origin.
    pub fn before(self, duration: Duration) -> Option<Self> {
        let micros = u64::try_from(duration.as_micros()).ok()?;
        self.0.checked_sub(micros).map(Self)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl LogOffset {
    /// The offset after this one, saturating at the largest offset.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl TokenRate {
    /// Time to process a number of tokens at this rate; [`Duration::MAX`] at a
    /// rate of zero.
    pub fn time_for(self, tokens: TokenCount) -> Duration {
        if self.0 == 0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(tokens.get() as f64 / self.0 as f64)
    }
}
