//! Settings of one instance, from a file of JSON with comments.
//!
//! Settings hold what an instance must know before it can reach anything:
//! its name, addresses, failure domain, seeds and the platform's addresses.
//! What operators change while it runs comes from the log.

use std::{net::SocketAddr, sync::Arc, time::Duration};

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

/// What is wrong with a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsFaults(pub Arc<str>);

impl std::fmt::Display for SettingsFaults {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for SettingsFaults {}

/// Loads a settings file. Temporary: reads the required fields only.
pub fn load(
    path: &std::path::Path,
) -> Result<InstanceSettings, SettingsFaults> {
    let fault = |text: String| SettingsFaults(text.into());
    let text = std::fs::read_to_string(path)
        .map_err(|error| fault(format!("{}: {error}", path.display())))?;
    let options = jsonc_parser::ParseOptions::default();
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(&text, &options)
            .map_err(|error| fault(error.to_string()))?;
    let get = |name: &str| {
        let text = value.get(name).and_then(serde_json::Value::as_str);
        text.ok_or_else(|| fault(format!("{name} is missing")))
    };
    let address = |name: &str| {
        let parsed = get(name)?.parse::<SocketAddr>();
        parsed.map_err(|error| fault(format!("{name}: {error}")))
    };
    let id = |error: crate::ids::IdError| fault(error.to_string());
    Ok(InstanceSettings {
        instance: get("instance")?.parse().map_err(id)?,
        failure_domain: get("failure_domain")?.parse().map_err(id)?,
        caller_address: address("caller_address")?,
        peer_address: address("peer_address")?,
        seeds: Vec::new(),
        fleet_secret: get("fleet_secret")?.into(),
        log_service: address("log_service")?,
        instance_list: address("instance_list")?,
        weight_store: None,
        limits: InstanceLimits::default(),
        policy: crate::core::PolicyName::default(),
    })
}
