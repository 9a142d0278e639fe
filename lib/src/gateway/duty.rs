//! Singleton duties: calls to the platform that one instance at a time makes for
//! the whole fleet, and the fencing tokens that order their holders.

use std::fmt::{Display, Formatter};

use crate::{ids::InstanceId, quantity_type};

quantity_type! {
    /// Number that rises with each change of the instance that holds the duties.
    FencingToken, ""
}

/// Name of a duty in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DutyName {
    /// Reports of the requests of each workspace.
    Metering,
    /// Orders for the number of engines of a service.
    Autoscale,
}

impl DutyName {
    /// All duties.
    pub const ALL: [Self; 2] = [Self::Metering, Self::Autoscale];

    /// The name as a string slice.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Metering => "metering",
            Self::Autoscale => "autoscale",
        }
    }
}

impl Display for DutyName {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Identity under which a call of a duty is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCaller {
    /// Name of the instance that holds the duty.
    pub holder: InstanceId,
    /// Fencing token of its lease.
    pub token: FencingToken,
}
