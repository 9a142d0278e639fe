//! Settings of a gateway instance, read from a file of JSON with comments.
//!
//! The platform writes the file at each start and whenever the settings
//! change. Unknown keys are ignored, since a newer platform may add some.

use std::{
    fmt::{Display, Formatter},
    net::{IpAddr, SocketAddr},
    path::Path,
    sync::Arc,
    time::Duration,
};

use serde::Deserialize;

use super::{duty::DutyName, retry_budget::RetryLimit};
use crate::{
    ids::{DomainId, InstanceId},
    settings::SettingsError,
    units::ByteSize,
};

/// Addresses that the instance listens on; `None` opens no listener.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct GatewayListeners {
    /// Listener for requests of callers.
    pub front: Option<SocketAddr>,
    /// Listener for readiness checks.
    pub ready: Option<SocketAddr>,
    /// Listener for queries of callers for the addresses to use.
    pub directory: Option<SocketAddr>,
}

/// Time limits and rates that the instances must keep; the rates apply to the
/// sum over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct GatewayBounds {
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// Time after which a leaving upstream may no longer receive requests, in
    /// milliseconds.
    pub drain_ms: u64,
    /// Time within which a new desired state must be in force, in
    /// milliseconds.
    pub config_ms: u64,
    /// Longest time for which callers may cache a list of addresses, in
    /// seconds.
    pub address_ttl_s: f64,
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Length of the window of the retry limit, in seconds.
    pub retry_window_s: f64,
    /// Retries allowed in a window in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Factor on the request rate that a cold upstream tolerates.
    pub cold_factor: f64,
    /// Requests per second allowed in addition to the rate of a cold upstream.
    pub cold_slack: f64,
    /// Longest TTL of a KV-cache reservation on an engine, in milliseconds.
    pub hold_ms: u64,
    /// Interval at which upstreams write their list entries, in milliseconds.
    #[serde(default = "upstream_heartbeat_ms_default")]
    pub upstream_heartbeat_ms: u64,
}

/// Heartbeats of an upstream without which its list entry lapses.
const LAPSE_HEARTBEATS: u32 = 3;

fn upstream_heartbeat_ms_default() -> u64 {
    1_500
}

impl GatewayBounds {
    /// Limit on retries over all instances.
    pub fn retry_limit(&self) -> RetryLimit {
        RetryLimit {
            ratio: self.retry_ratio,
            window: Duration::from_secs_f64(self.retry_window_s),
            slack: self.retry_slack,
        }
    }

    /// Time within which a leaving upstream must be noticed.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Time within which a new desired state must be in force.
    pub fn config(&self) -> Duration {
        Duration::from_millis(self.config_ms)
    }

    /// Longest time for which callers may cache a list of addresses.
    pub fn address_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.address_ttl_s)
    }

    /// Longest TTL of a KV-cache reservation on an engine.
    pub fn reservation_ttl_max(&self) -> Duration {
        Duration::from_millis(self.hold_ms)
    }

    /// Time for which the store's records may be outdated after it was restored
    /// from a copy: until upstreams that have left have lapsed, and one more
    /// heartbeat.
    pub fn restore_grace(&self) -> Duration {
        self.lapse_time()
    }

    /// Time after which an entry that its upstream no longer writes is gone
    /// from the list, with one heartbeat for the store and the read.
    pub fn lapse_time(&self) -> Duration {
        let heartbeat = Duration::from_millis(self.upstream_heartbeat_ms);
        heartbeat * (LAPSE_HEARTBEATS + 1)
    }

    /// Time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Singleton duties: calls to the platform that one instance at a time makes for
/// the whole fleet.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct DutySettings {
    /// Address of the service that takes the calls.
    pub address: SocketAddr,
    /// Duties of the fleet; `None` if the platform names none. A name that is
    /// not known is ignored.
    #[serde(default)]
    pub names: Option<Vec<Arc<str>>>,
    /// Calls per second that the service accepts from all instances together;
    /// `None` if it states no limit.
    #[serde(default)]
    pub calls_per_s: Option<f64>,
    /// Whether the service refuses calls with an outdated fencing token.
    #[serde(default)]
    pub fenced: Option<bool>,
    /// Duration of a lease, in milliseconds.
    #[serde(default)]
    pub lease_ms: Option<u64>,
    /// Time after the end of a freeze within which calls are excused, in
    /// milliseconds.
    #[serde(default)]
    pub thaw_ms: Option<u64>,
    /// Length of a usage window, in seconds.
    #[serde(default)]
    pub window_s: Option<u64>,
    /// Largest relative error of a usage count.
    #[serde(default)]
    pub tolerance: Option<f64>,
    /// Time after the end of a usage window within which its report is due, in
    /// seconds.
    #[serde(default)]
    pub late_s: Option<f64>,
}

/// Duration of a lease if the settings state none.
const LEASE_DEFAULT_MS: u64 = 3_000;

impl DutySettings {
    /// Whether the fleet has a duty.
    pub fn includes(&self, duty: DutyName) -> bool {
        let mut names = self.names.iter().flatten();
        names.any(|name| **name == *duty.as_str())
    }

    /// Duration of a lease.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms.unwrap_or(LEASE_DEFAULT_MS))
    }
}

/// Settings of one gateway instance.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct GatewaySettings {
    /// Name of the instance, unique among all instances.
    pub instance: InstanceId,
    /// Failure domain in which the instance runs.
    pub failure_domain: DomainId,
    /// Address of the instance's machine.
    pub ip: IpAddr,
    /// Addresses to listen on.
    pub listen: GatewayListeners,
    /// First and last port for messages between instances. The last one is used
    /// by the exchange of usage counts, and only if it differs from the first.
    pub peer_ports: [u16; 2],
    /// Machines to probe for other instances; the ports are ignored.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Singleton duties of the fleet; `None` if it has none.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Memory that the process may use, in MiB.
    pub memory_mb: u64,
    /// File descriptors that the process may have open.
    pub descriptors: u64,
    /// Time limits and rates that the instances must keep.
    pub bounds: GatewayBounds,
}

/// File descriptors kept for other uses than connections of callers and
/// upstreams.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Descriptors of one request: the caller's connection and the upstream's.
const DESCRIPTORS_PER_REQUEST: u64 = 2;
/// Part of the memory for bodies, answers and queued events, in sixteenths.
/// The parts below and the receive buffers leave a quarter for everything else.
const ACCOUNT_SIXTEENTHS: u64 = 7;
/// Part of the memory for bytes that callers have sent and the process has not
/// read, in sixteenths.
const CALLER_SOCKET_SIXTEENTHS: u64 = 3;
/// The same for bytes of upstreams.
const UPSTREAM_SOCKET_SIXTEENTHS: u64 = 2;
/// Smallest receive buffer of a socket: a few packets.
const RECEIVE_BUFFER_MIN: u64 = 8 << 10;
/// Largest receive buffer of a socket. It allows 13 MB/s over a round trip of
/// 5 ms.
const RECEIVE_BUFFER_MAX: u64 = 64 << 10;

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| {
            invalid(
                &path.display().to_string(),
                &error.to_string(),
                "a readable file in UTF-8",
            )
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let options = jsonc_parser::ParseOptions::default();
        let value: serde_json::Value = jsonc_parser::parse_to_serde_value(
            text, &options,
        )
        .map_err(|error| {
            invalid("settings", &error.to_string(), "JSON with comments")
        })?;
        let settings: Self =
            serde_path_to_error::deserialize(value).map_err(|error| {
                let path = error.path().to_string();
                invalid(&path, &error.inner().to_string(), "see deploy/")
            })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let [first, last] = self.peer_ports;
        if first == 0 || first > last {
            let found = format!("{first} to {last}");
            let allowed = "two ports, the second not below the first";
            return Err(invalid("peer_ports", &found, allowed));
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
                return Err(invalid(path, &found, "a number above 0"));
            }
        }
        Ok(())
    }

    /// Local address for messages between instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_ports[0])
    }

    /// Address for messages to the instance on another machine.
    pub fn peer_address_of(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.peer_ports[0])
    }

    /// Most connections of callers that may be open at the same time.
    pub fn connections_max(&self) -> u64 {
        let sockets = self.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        (sockets / DESCRIPTORS_PER_REQUEST).max(1)
    }

    /// Size of the account of bodies, answers and queued events.
    pub fn account_bytes(&self) -> ByteSize {
        ByteSize::new(self.memory_part(ACCOUNT_SIXTEENTHS))
    }

    /// Receive buffer of a caller's connection.
    pub fn caller_receive_buffer(&self) -> ByteSize {
        self.receive_buffer(CALLER_SOCKET_SIXTEENTHS)
    }

    /// Receive buffer of a connection to an upstream.
    pub fn upstream_receive_buffer(&self) -> ByteSize {
        self.receive_buffer(UPSTREAM_SOCKET_SIXTEENTHS)
    }

    fn receive_buffer(&self, sixteenths: u64) -> ByteSize {
        let size = self.memory_part(sixteenths) / self.connections_max();
        ByteSize::new(size.clamp(RECEIVE_BUFFER_MIN, RECEIVE_BUFFER_MAX))
    }

    fn memory_part(&self, sixteenths: u64) -> u64 {
        self.memory_mb * (1 << 20) / 16 * sixteenths
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

fn invalid(path: &str, found: &str, allowed: &str) -> SettingsError {
    SettingsError {
        path: path.into(),
        found: found.into(),
        allowed: allowed.into(),
    }
}
