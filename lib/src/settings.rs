//! Settings of one instance, from a file of JSON with comments.
//!
//! Settings hold what an instance must know before it can reach anything:
//! its name, addresses, failure domain, seeds and the platform's addresses.
//! What operators change while it runs comes from the log.
//!
//! All faults are reported at once, each with its path, the value found and
//! what is allowed. One table describes the keys, for the parser and for the
//! schema. Environment variables and flags take precedence over the file.

mod check;
mod source;
mod table;

use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::Duration,
};

use self::{check::SettingsChecker, source::GivenValues};
pub use self::{
    source::{SettingOverride, SettingSource},
    table::{SchemaEntry, SettingsSchema, schema},
};
use crate::{
    ids::{DomainId, InstanceId},
    units::ByteSize,
};

/// Settings of one instance, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain.
    pub failure_domain: DomainId,
    /// Address of the listener for callers, operators and metrics.
    pub caller_address: SocketAddr,
    /// Address of the listener for peers.
    pub peer_address: SocketAddr,
    /// Peers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Secret shared by the instances of the fleet.
    pub fleet_secret: Arc<str>,
    /// Address of the log service.
    pub log_service: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Address of the weight store.
    pub weight_store: Option<SocketAddr>,
    /// Sizes and times with defaults.
    pub limits: InstanceLimits,
    /// Serving policy: `product`, `round-robin` or `least-requests`.
    pub policy: crate::core::PolicyName,
}

/// Sizes and times of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceLimits {
    /// Largest request body.
    pub body_bytes: ByteSize,
    /// Time for the headers of a request to arrive.
    pub header_timeout: Duration,
    /// Time for the body of a request to arrive.
    pub body_timeout: Duration,
    /// Most connections from one address.
    pub connections_per_address: u32,
    /// Most connections.
    pub connections: u32,
    /// Bytes buffered for one streamed answer.
    pub stream_buffer: ByteSize,
    /// Bytes buffered for all streamed answers.
    pub stream_buffer_total: ByteSize,
    /// Bytes held for all request bodies.
    pub body_bytes_total: ByteSize,
    /// How long callers may keep the address answer.
    pub address_ttl: Duration,
    /// Time for a request whose caller names none.
    pub default_timeout: Duration,
    /// Longest time that a caller may ask for.
    pub longest_timeout: Duration,
    /// Longest time that a planned stop waits for running requests.
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

/// A commented settings file with every default.
pub const DEFAULT_SETTINGS: &str = include_str!("settings/default.jsonc");

/// One fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct SettingsError {
    /// Key, or place in the text.
    pub path: String,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
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

/// All faults of the settings; never empty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct SettingsErrors {
    /// The faults, in the order of the checks.
    #[serde(rename = "faults")]
    pub errors: Vec<SettingsError>,
}

impl Display for SettingsErrors {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        for (index, fault) in self.errors.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

/// Reads and checks a settings file.
pub fn load(path: &Path) -> Result<InstanceSettings, SettingsErrors> {
    load_with(path, &[])
}

/// Like [`load`], with values that take precedence over the file's; later
/// ones take precedence over earlier ones.
pub fn load_with(
    path: &Path,
    overrides: &[SettingOverride],
) -> Result<InstanceSettings, SettingsErrors> {
    match std::fs::read_to_string(path) {
        Ok(text) => parse_with(&text, overrides),
        Err(error) => {
            let place = path.display().to_string();
            let found = error.to_string();
            let fault =
                SettingsError::new(place, found, "a readable file in UTF-8");
            Err(SettingsErrors {
                errors: vec![fault],
            })
        }
    }
}

/// Checks the text of a settings file.
pub fn parse(text: &str) -> Result<InstanceSettings, SettingsErrors> {
    parse_with(text, &[])
}

/// Like [`parse`], with values that take precedence over the text's.
pub fn parse_with(
    text: &str,
    overrides: &[SettingOverride],
) -> Result<InstanceSettings, SettingsErrors> {
    let mut faults = Vec::new();
    let mut given = GivenValues::read(text, &mut faults);
    if given.is_unreadable() {
        // Every required key would be reported as missing.
        return Err(SettingsErrors { errors: faults });
    }
    given.override_with(overrides);
    let checker = SettingsChecker::new(&given, &mut faults);
    match checker.check() {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsErrors { errors: faults }),
    }
}
