//! Settings of a gateway instance, from a file of JSON with comments.
//!
//! The file is filled in by the platform at each start and whenever the
//! settings change; unknown keys are ignored, since new ones may come.

use std::{
    fmt::{Display, Formatter},
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use serde::Deserialize;

use super::retry_budget::RetryLimit;
use crate::{
    ids::{DomainId, InstanceId},
    settings::SettingsError,
    units::ByteSize,
};

/// Addresses that the instance listens on.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct GatewayListeners {
    /// Callers.
    pub front: Option<SocketAddr>,
    /// Checks whether the instance is ready.
    pub ready: Option<SocketAddr>,
    /// Callers that ask which addresses to use.
    pub directory: Option<SocketAddr>,
}

/// Time bounds and shares that the instances keep together.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct GatewayBounds {
    /// Time until SIGKILL follows SIGTERM, in seconds.
    pub grace_s: f64,
    /// Time after which a leaving upstream may receive nothing, in ms.
    pub drain_ms: u64,
    /// Time after which a new desired state is in force, in ms.
    pub config_ms: u64,
    /// Longest time that callers may keep a list of addresses, in seconds.
    pub address_ttl_s: f64,
    /// Repeats for each request.
    pub retry_ratio: f64,
    /// Window of the bound on repeats, in seconds.
    pub retry_window_s: f64,
    /// Repeats in a window besides those for requests.
    pub retry_slack: f64,
    /// Factor on a cold upstream's rate.
    pub cold_factor: f64,
    /// Requests in a second besides a cold upstream's rate.
    pub cold_slack: f64,
    /// Longest time that memory of an engine may be reserved, in ms.
    pub hold_ms: u64,
}

impl GatewayBounds {
    /// Bound on repeats.
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            window: Duration::from_secs_f64(self.retry_window_s),
            slack: self.retry_slack,
        }
    }

    /// Time in which a leaving upstream must be known.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Time in which a new desired state must be in force.
    pub fn config(&self) -> Duration {
        Duration::from_millis(self.config_ms)
    }

    /// Longest time that callers may keep a list of addresses.
    pub fn address_keep(&self) -> Duration {
        Duration::from_secs_f64(self.address_ttl_s)
    }

    /// Longest time that memory of an engine may be reserved.
    pub fn reservation_ttl_max(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Settings of one gateway instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain that the instance runs in.
    pub failure_domain: DomainId,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Addresses to listen on.
    pub listen: GatewayListeners,
    /// Ports between instances, first and last.
    pub peer_ports: [u16; 2],
    /// Machines to ask first; only their addresses count, not the ports.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Sockets and pipes that the process may have open.
    pub descriptors: u64,
    /// Bounds that the instances keep together.
    pub bounds: GatewayBounds,
}

/// File descriptors that are not sockets.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors of one request: the caller's connection and the upstream's.
const DESCRIPTORS_PER_REQUEST: u64 = 2;

impl GatewaySettings {
    /// Reads a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            fault(
                &path.display().to_string(),
                &error.to_string(),
                "a readable file in UTF-8",
            )
        })?;
        Self::parse(&text)
    }

    /// Checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let options = jsonc_parser::ParseOptions::default();
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(
            text, &options,
        )
        .map_err(|error| {
            fault("settings", &error.to_string(), "JSON with comments")
        })?;
        let settings: Self =
            serde_path_to_error::deserialize(value).map_err(|error| {
                let path = error.path().to_string();
                fault(&path, &error.inner().to_string(), "see deploy/")
            })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let [first, last] = self.peer_ports;
        if first == 0 || first > last {
            let found = format!("{first} to {last}");
            let allowed = "two ports, the second not below the first";
            return Err(fault("peer_ports", &found, allowed));
        }
        let bounds = &self.bounds;
        let numbers = [
            ("bounds.grace_s", bounds.grace_s),
            ("bounds.address_ttl_s", bounds.address_ttl_s),
            ("bounds.retry_window_s", bounds.retry_window_s),
        ];
        for (path, value) in numbers {
            if !(value.is_finite() && value > 0.0) {
                let found = value.to_string();
                return Err(fault(path, &found, "a number above 0"));
            }
        }
        Ok(())
    }

    /// Address for messages between instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports[0])
    }

    /// Address for messages of the instance on another machine.
    pub fn peer_address_of(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_ports[0])
    }

    /// Most connections of callers.
    pub fn connections_max(&self) -> u64 {
        let sockets = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        (sockets / DESCRIPTORS_PER_REQUEST).max(1)
    }

    /// Bytes that request bodies may hold together: a quarter of the memory.
    pub fn body_bytes_max(&self) -> ByteSize {
        ByteSize::new(self.memory_mb * (1 << 20) / 4)
    }
}

impl Display for GatewaySettings {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} in {} at {}",
            self.instance, self.failure_domain, self.ip,
        )
    }
}

fn fault(path: &str, found: &str, allowed: &str) -> SettingsError {
    SettingsError {
        path: path.into(),
        found: found.into(),
        allowed: allowed.into(),
    }
}
