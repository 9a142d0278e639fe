//! Settings of one instance, from a file of JSON with comments.
//!
//! Settings are what an instance needs before it can connect to anything: its
//! name, addresses and failure domain, the seed peers and the addresses of the
//! platform's services. Everything that operators change at run time is in the
//! configuration, which comes from the log.
//!
//! All errors are reported at once, each with its key, the value found and the
//! values allowed. One table describes the keys, for validation and for the
//! schema. Environment variables override the file, and flags override both.

mod source;
mod table;
mod validate;

use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::Duration,
};

use self::{source::RawSettings, validate::SettingsValidator};
pub use self::{
    source::{SettingOverride, SettingSource},
    table::{SchemaEntry, SettingsSchema, schema},
};
use crate::{
    ids::{DomainId, InstanceId},
    units::ByteSize,
};

/// Validated settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceId,
    /// Failure domain in which the instance runs.
    pub failure_domain: DomainId,
    /// Address of the listener for callers, operators and metrics.
    pub caller_address: SocketAddr,
    /// Address of the listener for peers.
    pub peer_address: SocketAddr,
    /// Peer addresses of instances to contact on start, without the instance's
    /// own address.
    pub seeds: Vec<SocketAddr>,
    /// Secret that is shared by all instances of the fleet.
    pub fleet_secret: Arc<str>,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Address of the weight store; `None` if the platform has none.
    pub weight_store: Option<SocketAddr>,
    /// Sizes and durations that have defaults.
    pub limits: InstanceLimits,
    /// Serving policy. All but `product` are baselines for measurements.
    pub policy: crate::core::PolicyName,
}

/// Limits on sizes, durations and connections of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceLimits {
    /// Maximum size of a request body.
    pub body_bytes: ByteSize,
    /// Time limit for receiving the headers of a request.
    pub header_timeout: Duration,
    /// Time limit for receiving the body of a request.
    pub body_timeout: Duration,
    /// Maximum number of connections from one IP address.
    pub connections_per_address: u32,
    /// Maximum number of connections to the listener for callers.
    pub connections: u32,
    /// Maximum size of the buffer for one streamed response.
    pub stream_buffer: ByteSize,
    /// Maximum total size of the buffers for streamed responses.
    pub stream_buffer_total: ByteSize,
    /// Maximum total size of the request bodies in memory.
    pub body_bytes_total: ByteSize,
    /// Time for which callers may cache the list of instance addresses.
    pub address_ttl: Duration,
    /// Time limit of requests for which the caller gives none.
    pub default_timeout: Duration,
    /// Maximum time limit that a caller may request.
    pub longest_timeout: Duration,
    /// Maximum time from the start of a planned stop to the end of the process.
    pub stop_timeout: Duration,
}

impl Default for InstanceLimits {
    fn default() -> Self {
        Self {
            body_bytes: ByteSize::new(16 << 20),
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(20),
            connections_per_address: 2_048,
            connections: 8_192,
            stream_buffer: ByteSize::new(256 << 10),
            stream_buffer_total: ByteSize::new(64 << 20),
            body_bytes_total: ByteSize::new(256 << 20),
            address_ttl: Duration::from_secs(5),
            default_timeout: Duration::from_secs(60),
            longest_timeout: Duration::from_secs(3_600),
            stop_timeout: Duration::from_secs(600),
        }
    }
}

/// Example settings file with comments, which shows all keys and defaults.
pub const DEFAULT_SETTINGS: &str = include_str!("settings/default.jsonc");

/// An invalid or missing setting.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct SettingsError {
    /// Key, with the override that set it if any, or line and column.
    pub path: String,
    /// Invalid value, shortened, or a description of the problem.
    pub found: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl SettingsError {
    fn new(
        path: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }
}

impl Display for SettingsError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let Self {
            path,
            found,
            allowed,
        } = self;
        write!(formatter, "{path}: found {found}; allowed: {allowed}")
    }
}

impl std::error::Error for SettingsError {}

/// All errors of the settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct SettingsErrors {
    /// Errors in the order in which they were found.
    #[serde(rename = "faults")]
    pub errors: Vec<SettingsError>,
}

impl Display for SettingsErrors {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Reads, parses and validates a settings file.
pub fn load(path: &Path) -> Result<InstanceSettings, SettingsErrors> {
    load_with(path, &[])
}

/// Like [`load`], with overrides of values in the file. If a key is overridden
/// more than once, the last override applies.
pub fn load_with(
    path: &Path,
    overrides: &[SettingOverride],
) -> Result<InstanceSettings, SettingsErrors> {
    match std::fs::read_to_string(path) {
        Ok(text) => parse_with(&text, overrides),
        Err(error) => {
            let place = path.display().to_string();
            let found = error.to_string();
            let error =
                SettingsError::new(place, found, "a readable file in UTF-8");
            Err(SettingsErrors {
                errors: vec![error],
            })
        }
    }
}

/// Parses and validates the text of a settings file.
pub fn parse(text: &str) -> Result<InstanceSettings, SettingsErrors> {
    parse_with(text, &[])
}

/// Like [`parse`], with overrides as for [`load_with`].
pub fn parse_with(
    text: &str,
    overrides: &[SettingOverride],
) -> Result<InstanceSettings, SettingsErrors> {
    let mut errors = Vec::new();
    let mut raw = RawSettings::parse(text, &mut errors);
    if raw.is_unreadable() {
        // Validation would only report every required key as missing.
        return Err(SettingsErrors { errors });
    }
    raw.apply_overrides(overrides);
    let validator = SettingsValidator::new(&raw, &mut errors);
    match validator.validate() {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(SettingsErrors { errors }),
    }
}
