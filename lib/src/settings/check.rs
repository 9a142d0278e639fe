//! Checks of given values against the table and against each other.

use std::{fs::File, io::Read, net::SocketAddr, path::Path, sync::Arc};

use serde_json::Value;

use super::{
    InstanceLimits, InstanceSettings, SettingsError,
    source::{GivenValues, describe},
    table::{
        POLICIES, SECRET_MAX_BYTES, SECRET_MIN_BYTES, SETTINGS, SettingKind,
        SettingNeed, SettingSpec, find_spec,
    },
};
use crate::core::PolicyName;

/// Largest distance at which a known key is suggested for an unknown one.
const HINT_MAX_EDITS: usize = 4;

/// Collects faults while it builds the settings.
pub(super) struct SettingsChecker<'a> {
    given: &'a GivenValues,
    faults: &'a mut Vec<SettingsError>,
}

impl<'a> SettingsChecker<'a> {
    pub(super) fn new(
        given: &'a GivenValues,
        faults: &'a mut Vec<SettingsError>,
    ) -> Self {
        Self { given, faults }
    }

    /// Builds the settings; `None` if a required value is missing or wrong.
    pub(super) fn check(mut self) -> Option<InstanceSettings> {
        self.check_keys();
        let instance = self.read("instance", parse_text);
        let failure_domain = self.read("failure_domain", parse_text);
        let caller_address = self.read("caller_address", parse_own_address);
        let peer_address = self.read("peer_address", parse_own_address);
        let seeds = self.read_seeds();
        let fleet_secret = self.read_secret();
        let log_service = self.read("log_service", parse_address);
        let instance_list = self.read("instance_list", parse_address);
        let weight_store = self.read("weight_store", parse_address);
        let policy = self.read("policy", parse_policy).unwrap_or_default();
        let limits = self.read_limits();
        self.check_listeners(caller_address, peer_address);
        for key in ["log_service", "instance_list", "weight_store"] {
            self.check_platform(key, [caller_address, peer_address]);
        }
        self.check_limits(&limits);
        let peer_address = peer_address?;
        let mut kept = Vec::new();
        for seed in seeds {
            if seed != peer_address && !kept.contains(&seed) {
                kept.push(seed);
            }
        }
        Some(InstanceSettings {
            instance: instance?,
            failure_domain: failure_domain?,
            caller_address: caller_address?,
            peer_address,
            seeds: kept,
            fleet_secret: fleet_secret?,
            log_service: log_service?,
            instance_list: instance_list?,
            weight_store,
            limits,
            policy,
        })
    }

    fn fault(
        &mut self,
        key: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        let path = self.given.path(key);
        self.faults.push(SettingsError::new(path, found, allowed));
    }

    /// Reports unknown keys and required ones that are missing.
    fn check_keys(&mut self) {
        for key in self.given.keys() {
            if find_spec(key).is_none() {
                self.fault(key, "an unknown key", allowed_keys(key));
            }
        }
        for spec in SETTINGS {
            let missing = match spec.need {
                SettingNeed::Required => self.given.get(spec.key).is_none(),
                SettingNeed::Either(other) => {
                    let keys = [spec.key, other];
                    keys.iter().all(|key| self.given.get(key).is_none())
                }
                SettingNeed::Optional => false,
            };
            if missing {
                let mut allowed = spec.kind.allowed();
                if let SettingNeed::Either(other) = spec.need {
                    allowed = format!("{allowed}, here or in {other}");
                }
                self.fault(spec.key, "nothing", allowed);
            }
        }
    }

    /// Reads one value; a wrong one is a fault and counts as missing.
    fn read<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.given.get(key)?;
        let parsed = parse(value);
        if parsed.is_none() {
            let allowed = allowed_of(key);
            self.fault(key, describe(value), allowed);
        }
        parsed
    }

    fn read_seeds(&mut self) -> Vec<SocketAddr> {
        let key = "seeds";
        let Some(value) = self.given.get(key) else {
            return Vec::new();
        };
        let Value::Array(items) = value else {
            self.fault(key, describe(value), allowed_of(key));
            return Vec::new();
        };
        let mut seeds = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match parse_address(item) {
                Some(seed) => seeds.push(seed),
                None => {
                    let path = format!("{}[{index}]", self.given.path(key));
                    self.faults.push(SettingsError::new(
                        path,
                        describe(item),
                        SettingKind::Address.allowed(),
                    ));
                }
            }
        }
        seeds
    }

    /// Reads the secret; faults never show it.
    fn read_secret(&mut self) -> Option<Arc<str>> {
        let direct = self.given.get("fleet_secret");
        let file = self.given.get("fleet_secret_file");
        if direct.is_some() && file.is_some() {
            let allowed = "either fleet_secret or fleet_secret_file";
            self.fault("fleet_secret_file", "both", allowed);
        }
        if let Some(value) = direct {
            let Value::String(secret) = value else {
                let allowed = allowed_of("fleet_secret");
                self.fault("fleet_secret", "a value that is no text", allowed);
                return None;
            };
            return self.check_secret("fleet_secret", secret);
        }
        let key = "fleet_secret_file";
        let path = self.read(key, parse_text::<String>)?;
        match read_secret_file(Path::new(&path)) {
            Ok(text) => self.check_secret(key, text.trim()),
            Err(cause) => {
                let found = format!("{path:?}: {cause}");
                self.fault(key, found, allowed_of(key));
                None
            }
        }
    }

    fn check_secret(
        &mut self,
        key: &'static str,
        secret: &str,
    ) -> Option<Arc<str>> {
        let length = secret.len();
        if (SECRET_MIN_BYTES..=SECRET_MAX_BYTES).contains(&length) {
            return Some(secret.into());
        }
        let found = format!("a secret of {length} bytes");
        self.fault(key, found, SettingKind::Secret.allowed());
        None
    }

    fn read_limits(&mut self) -> InstanceLimits {
        let mut limits = InstanceLimits::default();
        for spec in SETTINGS {
            let SettingKind::Limit(limit) = &spec.kind else {
                continue;
            };
            let range = limit.min..=limit.max;
            let number = self.read(spec.key, |value| {
                value.as_u64().filter(|number| range.contains(number))
            });
            if let Some(number) = number {
                (limit.set)(&mut limits, number);
            }
        }
        limits
    }

    fn check_listeners(
        &mut self,
        caller: Option<SocketAddr>,
        peer: Option<SocketAddr>,
    ) {
        if let (Some(caller), Some(peer)) = (caller, peer)
            && caller == peer
        {
            let allowed = "another address than caller_address";
            self.fault("peer_address", peer.to_string(), allowed);
        }
    }

    fn check_platform(
        &mut self,
        key: &'static str,
        own: [Option<SocketAddr>; 2],
    ) {
        let address = self.given.get(key).and_then(parse_address);
        if address.is_some() && own.contains(&address) {
            let found = address.map_or(String::new(), |it| it.to_string());
            self.fault(key, found, "no address of this instance");
        }
    }

    /// Checks the limits that depend on each other.
    fn check_limits(&mut self, limits: &InstanceLimits) {
        let pairs = [
            ("limits.body_bytes", "limits.body_bytes_total"),
            (
                "limits.stream_buffer_bytes",
                "limits.stream_buffer_total_bytes",
            ),
            ("limits.connections_per_address", "limits.connections"),
            ("limits.default_timeout_ms", "limits.longest_timeout_ms"),
            // A caller may use an address that long after the stop began.
            ("limits.address_ttl_ms", "limits.stop_timeout_ms"),
        ];
        for (lesser, greater) in pairs {
            let value = limit_of(lesser, limits);
            let bound = limit_of(greater, limits);
            if value > bound {
                let allowed = format!("at most {greater}, which is {bound}");
                self.fault(lesser, value.to_string(), allowed);
            }
        }
    }
}

fn limit_of(key: &str, limits: &InstanceLimits) -> u64 {
    match find_spec(key).map(|spec| &spec.kind) {
        Some(SettingKind::Limit(limit)) => (limit.get)(limits),
        _ => unreachable!("{key} is a limit in the table"),
    }
}

fn allowed_of(key: &str) -> String {
    find_spec(key).map_or(String::new(), |spec| spec.kind.allowed())
}

/// Suggests the known key nearest to an unknown one.
fn allowed_keys(key: &str) -> String {
    let distance =
        |spec: &&SettingSpec| strsim::damerau_levenshtein(spec.key, key);
    let nearest = SETTINGS.iter().min_by_key(distance);
    match nearest.filter(|spec| distance(spec) <= HINT_MAX_EDITS) {
        Some(spec) => format!("a known key; {} is similar", spec.key),
        None => "a known key; `borageline config schema` lists them".to_owned(),
    }
}

fn parse_text<T: std::str::FromStr>(value: &Value) -> Option<T> {
    value.as_str()?.parse().ok()
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    parse_text(value).filter(|address: &SocketAddr| address.port() != 0)
}

fn parse_own_address(value: &Value) -> Option<SocketAddr> {
    parse_address(value).filter(|address| !address.ip().is_unspecified())
}

fn parse_policy(value: &Value) -> Option<PolicyName> {
    let text = value.as_str()?;
    let found = POLICIES.iter().find(|(name, _)| *name == text);
    found.map(|(_, policy)| *policy)
}

/// Reads a regular file; a device or pipe could block or never end.
fn read_secret_file(path: &Path) -> Result<String, String> {
    let metadata = std::fs::metadata(path).map_err(|it| it.to_string())?;
    if !metadata.is_file() {
        return Err("not a regular file".into());
    }
    let mut text = String::new();
    let limit = SECRET_MAX_BYTES as u64 * 2;
    File::open(path)
        .and_then(|file| file.take(limit).read_to_string(&mut text))
        .map_err(|error| error.to_string())?;
    Ok(text)
}
