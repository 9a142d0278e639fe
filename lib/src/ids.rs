//! Identifiers of instances, upstreams, workspaces, requests and orders.
//!
//! Every identifier is 1 to [`ID_MAX_BYTES`] bytes of ASCII letters, digits
//! and the set `. _ : / -`, so that it needs no quoting in headers and log
//! lines. [`check_id`] enforces this whenever an identifier is parsed or
//! deserialized.

use std::fmt::{Display, Formatter};

use crate::id_type;

/// Maximum length of an identifier, in bytes.
pub const ID_MAX_BYTES: usize = 128;

/// Error for text that is not a valid identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdError {
    /// The text is empty or too long.
    Length {
        /// Name of the identifier type.
        kind: &'static str,
        /// Actual length, in bytes.
        length: usize,
    },
    /// The text contains a character that is not allowed.
    Character {
        /// Name of the identifier type.
        kind: &'static str,
        /// The rejected text, with special characters escaped.
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

/// Checks the length and characters of an identifier. `kind` is the name of
/// the identifier type for the error.
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
    /// Configured name of a borageline instance, unique in the fleet.
    InstanceId
}

id_type! {
    /// Name of an upstream: a model engine or a process of a plain service.
    UpstreamId
}

id_type! {
    /// Name of a failure domain.
    DomainId
}

id_type! {
    /// Name of a workspace, which stands for one customer.
    WorkspaceId
}

id_type! {
    /// Name of a model. Variants that differ in adapter or version have names
    /// of their own.
    ModelName
}

id_type! {
    /// Name of a plain service: an HTTP service that is not a model engine.
    ServiceName
}

id_type! {
    /// Name of an operator account.
    OperatorName
}

id_type! {
    /// Identifier of an operator order, chosen by the client that issues it.
    OrderId
}

id_type! {
    /// Identifier of a request or of one attempt of a call; unique in the
    /// fleet.
    RequestId
}

id_type! {
    /// Name of a stream of the log service.
    StreamName
}

impl RequestId {
    /// Builds an id from the entry instance, its incarnation and a sequence
    /// number, so that no other instance or incarnation builds the same id.
    pub fn build(
        instance: &InstanceId,
        incarnation: crate::units::Incarnation,
        sequence: u64,
    ) -> Self {
        let text = format!("{instance}-{:x}-{sequence:x}", incarnation.get());
        Self(text.into())
    }

    /// Entry instance of the request. `None` if the id was not built by
    /// [`Self::build`].
    pub fn entry_instance(&self) -> Option<InstanceId> {
        let mut parts = self.0.rsplitn(3, '-');
        let sequence = parts.next()?;
        let incarnation = parts.next()?;
        u64::from_str_radix(sequence, 16).ok()?;
        u64::from_str_radix(incarnation, 16).ok()?;
        parts.next()?.parse().ok()
    }
}
