//! Validation of raw settings against the table and against each other.

use std::{fs::File, io::Read, net::SocketAddr, path::Path, sync::Arc};

use serde_json::Value;

use super::{
    InstanceLimits, InstanceSettings, SettingsError,
    source::{RawSettings, format_value},
    table::{
        POLICIES, SECRET_MAX_BYTES, SECRET_MIN_BYTES, SETTINGS,
        SettingDefinition, SettingKind, SettingRequirement, find_setting,
    },
};
use crate::core::PolicyName;

/// Maximum edit distance at which a known key is suggested for an unknown one.
const SUGGESTION_MAX_EDITS: usize = 4;

/// Builds the settings and collects all errors on the way.
pub(super) struct SettingsValidator<'a> {
    raw: &'a RawSettings,
    errors: &'a mut Vec<SettingsError>,
}

impl<'a> SettingsValidator<'a> {
    pub(super) fn new(
        raw: &'a RawSettings,
        errors: &'a mut Vec<SettingsError>,
    ) -> Self {
        Self { raw, errors }
    }

    /// Builds the settings. `None` if a required value is missing or invalid;
    /// `Some` does not mean that there was no error.
    pub(super) fn validate(mut self) -> Option<InstanceSettings> {
        self.check_keys();
        let instance = self.parse_value("instance", parse_text);
        let failure_domain = self.parse_value("failure_domain", parse_text);
        let caller_address =
            self.parse_value("caller_address", parse_own_address);
        let peer_address = self.parse_value("peer_address", parse_own_address);
        let seeds = self.parse_seeds();
        let fleet_secret = self.load_secret();
        let log_service = self.parse_value("log_service", parse_address);
        let instance_list = self.parse_value("instance_list", parse_address);
        let weight_store = self.parse_value("weight_store", parse_address);
        let policy =
            self.parse_value("policy", parse_policy).unwrap_or_default();
        let limits = self.parse_limits();
        self.check_listeners(caller_address, peer_address);
        for key in ["log_service", "instance_list", "weight_store"] {
            self.check_platform_address(key, [caller_address, peer_address]);
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

    fn error(
        &mut self,
        key: &str,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) {
        let path = self.raw.path(key);
        self.errors.push(SettingsError::new(path, found, allowed));
    }

    /// Reports unknown keys and missing required keys.
    fn check_keys(&mut self) {
        for key in self.raw.keys() {
            if find_setting(key).is_none() {
                self.error(key, "an unknown key", unknown_key_hint(key));
            }
        }
        for setting in SETTINGS {
            let missing = match setting.requirement {
                SettingRequirement::Required => {
                    self.raw.get(setting.key).is_none()
                }
                SettingRequirement::RequiredUnless(other) => {
                    let keys = [setting.key, other];
                    keys.iter().all(|key| self.raw.get(key).is_none())
                }
                SettingRequirement::Optional => false,
            };
            if missing {
                let mut allowed = setting.kind.allowed();
                if let SettingRequirement::RequiredUnless(other) =
                    setting.requirement
                {
                    allowed = format!("{allowed}, here or in {other}");
                }
                self.error(setting.key, "nothing", allowed);
            }
        }
    }

    /// Parses one value. Returns `None` for an invalid value, which it reports,
    /// and for a missing one.
    fn parse_value<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.raw.get(key)?;
        let parsed = parse(value);
        if parsed.is_none() {
            let allowed = allowed_values(key);
            self.error(key, format_value(value), allowed);
        }
        parsed
    }

    fn parse_seeds(&mut self) -> Vec<SocketAddr> {
        let key = "seeds";
        let Some(value) = self.raw.get(key) else {
            return Vec::new();
        };
        let Value::Array(items) = value else {
            self.error(key, format_value(value), allowed_values(key));
            return Vec::new();
        };
        let mut seeds = Vec::new();
        for (index, item) in items.iter().enumerate() {
            match parse_address(item) {
                Some(seed) => seeds.push(seed),
                None => {
                    let path = format!("{}[{index}]", self.raw.path(key));
                    self.errors.push(SettingsError::new(
                        path,
                        format_value(item),
                        SettingKind::Address.allowed(),
                    ));
                }
            }
        }
        seeds
    }

    /// Loads the secret from its setting or file. Errors never contain it.
    fn load_secret(&mut self) -> Option<Arc<str>> {
        let direct = self.raw.get("fleet_secret");
        let file = self.raw.get("fleet_secret_file");
        if direct.is_some() && file.is_some() {
            let allowed = "either fleet_secret or fleet_secret_file";
            self.error("fleet_secret_file", "both", allowed);
        }
        if let Some(value) = direct {
            let Value::String(secret) = value else {
                let allowed = allowed_values("fleet_secret");
                self.error("fleet_secret", "a value that is no text", allowed);
                return None;
            };
            return self.check_secret("fleet_secret", secret);
        }
        let key = "fleet_secret_file";
        let path = self.parse_value(key, parse_text::<String>)?;
        match read_secret_file(Path::new(&path)) {
            Ok(text) => self.check_secret(key, text.trim()),
            Err(cause) => {
                let found = format!("{path:?}: {cause}");
                self.error(key, found, allowed_values(key));
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
        self.error(key, found, SettingKind::Secret.allowed());
        None
    }

    fn parse_limits(&mut self) -> InstanceLimits {
        let mut limits = InstanceLimits::default();
        for setting in SETTINGS {
            let SettingKind::Limit(limit) = &setting.kind else {
                continue;
            };
            let range = limit.min..=limit.max;
            let number = self.parse_value(setting.key, |value| {
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
            self.error("peer_address", peer.to_string(), allowed);
        }
    }

    fn check_platform_address(
        &mut self,
        key: &'static str,
        listeners: [Option<SocketAddr>; 2],
    ) {
        let address = self.raw.get(key).and_then(parse_address);
        if address.is_some() && listeners.contains(&address) {
            let found = address.map_or(String::new(), |it| it.to_string());
            self.error(key, found, "no address of this instance");
        }
    }

    /// Checks limits that depend on each other.
    fn check_limits(&mut self, limits: &InstanceLimits) {
        let pairs = [
            ("limits.body_bytes", "limits.body_bytes_total"),
            (
                "limits.stream_buffer_bytes",
                "limits.stream_buffer_total_bytes",
            ),
            ("limits.connections_per_address", "limits.connections"),
            ("limits.default_timeout_ms", "limits.longest_timeout_ms"),
            // Callers may use a cached address for this long after a
            // shutdown has begun.
            ("limits.address_ttl_ms", "limits.stop_timeout_ms"),
        ];
        for (lesser, greater) in pairs {
            let value = limit_value(lesser, limits);
            let bound = limit_value(greater, limits);
            if value > bound {
                let allowed = format!("at most {greater}, which is {bound}");
                self.error(lesser, value.to_string(), allowed);
            }
        }
    }
}

fn limit_value(key: &str, limits: &InstanceLimits) -> u64 {
    match find_setting(key).map(|setting| &setting.kind) {
        Some(SettingKind::Limit(limit)) => (limit.get)(limits),
        _ => unreachable!("{key} is a limit in the table"),
    }
}

fn allowed_values(key: &str) -> String {
    find_setting(key).map_or(String::new(), |setting| setting.kind.allowed())
}

/// Describes the allowed keys, with a known key similar to the unknown one if
/// there is one.
fn unknown_key_hint(key: &str) -> String {
    let distance = |setting: &&SettingDefinition| {
        strsim::damerau_levenshtein(setting.key, key)
    };
    let nearest = SETTINGS.iter().min_by_key(distance);
    match nearest.filter(|setting| distance(setting) <= SUGGESTION_MAX_EDITS) {
        Some(setting) => format!("a known key; {} is similar", setting.key),
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

/// Reads at most twice the maximum length of a secret from a regular file.
/// Other files are rejected, since reading a device or pipe may block or never
/// end.
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
