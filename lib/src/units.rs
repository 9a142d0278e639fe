//! Quantities with their units.

use std::time::Duration;

use crate::quantity_type;

quantity_type! {
    /// Number of tokens.
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
    /// Position in a stream of the log service, dense from zero.
    LogOffset, ""
}

quantity_type! {
    /// Number that rises each time a process starts or loses its state.
    Incarnation, ""
}

quantity_type! {
    /// Microseconds since an arbitrary origin, by one instance's clock.
    Timestamp, " us"
}

quantity_type! {
    /// Milliseconds since the Unix epoch, by the log service's clock.
    LogTime, " ms"
}

impl Timestamp {
    /// The time after a duration.
    pub fn after(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }

    /// The time before by a duration; none if that precedes the origin.
    pub fn before(self, duration: Duration) -> Option<Self> {
        let micros = u64::try_from(duration.as_micros()).ok()?;
        self.0.checked_sub(micros).map(Self)
    }

    /// Duration since an earlier time; zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl LogOffset {
    /// The offset that follows.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl TokenRate {
    /// Time to work through a number of tokens at this rate.
    pub fn time_for(self, tokens: TokenCount) -> Duration {
        if self.0 == 0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(tokens.get() as f64 / self.0 as f64)
    }
}
