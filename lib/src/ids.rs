//! Identifiers of the entities that borageline knows.
//!
//! All are short text without spaces or control characters, so that they can
//! stand in headers, log lines and URLs without quoting.

use std::fmt::{Display, Formatter};

use crate::id_type;

/// Longest identifier, in bytes.
pub const ID_MAX_BYTES: usize = 128;

/// Why a text is no identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty or too long.
    Length {
        /// Type that was parsed.
        kind: &'static str,
        /// Length found, in bytes.
        length: usize,
    },
    /// The text has a character that is not allowed.
    Character {
        /// Type that was parsed.
        kind: &'static str,
        /// Text that was parsed.
        value: String,
    },
}

impl Display for IdError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Length { kind, length } => write!(
                formatter,
                "{kind} has {length} bytes; allowed are 1 to {ID_MAX_BYTES}",
            ),
            Self::Character { kind, value } => write!(
                formatter,
                "{kind} {value:?} has a character outside a-z, A-Z, 0-9 and \
                 the set . _ : / -",
            ),
        }
    }
}

impl std::error::Error for IdError {}

/// Checks the length and the characters of an identifier.
pub fn check_id(kind: &'static str, text: &str) -> Result<(), IdError> {
    if text.is_empty() || text.len() > ID_MAX_BYTES {
        let length = text.len();
        return Err(IdError::Length { kind, length });
    }
    let allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || b"._:/-".contains(&byte);
    if !text.bytes().all(allowed) {
        let value = text.escape_default().to_string();
        return Err(IdError::Character { kind, value });
    }
    Ok(())
}

id_type! {
    /// One borageline process, by its configured name.
    InstanceId
}

id_type! {
    /// One back end: a model engine or a plain service process.
    UpstreamId
}

id_type! {
    /// One failure domain.
    DomainId
}

id_type! {
    /// One customer.
    WorkspaceId
}

id_type! {
    /// One model, with adapter and version where they matter.
    ModelName
}

id_type! {
    /// One plain service.
    ServiceName
}

id_type! {
    /// One operator account.
    OperatorName
}

id_type! {
    /// One operator order; chosen by whoever issues it.
    OrderId
}

id_type! {
    /// One request or call attempt; unique over the fleet.
    RequestId
}

id_type! {
    /// One stream of the log service.
    StreamName
}

impl RequestId {
    /// Builds an id that no other instance or restart makes.
    pub fn build(
        instance: &InstanceId,
        incarnation: crate::units::Incarnation,
        sequence: u64,
    ) -> Self {
        let text = format!("{instance}-{:x}-{sequence:x}", incarnation.get());
        Self(text.into())
    }

    /// Instance that built the id, if the id has that form.
    pub fn entry_instance(&self) -> Option<InstanceId> {
        let mut parts = self.0.rsplitn(3, '-');
        let sequence = parts.next()?;
        let incarnation = parts.next()?;
        u64::from_str_radix(sequence, 16).ok()?;
        u64::from_str_radix(incarnation, 16).ok()?;
        parts.next()?.parse().ok()
    }
}
