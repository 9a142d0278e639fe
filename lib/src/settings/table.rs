//! Table of settings, from which values are validated and the schema is
//! generated.

use std::{
    fmt::{Display, Formatter},
    time::Duration,
};

use serde::Serialize;
use serde_json::{Value, json};

use super::InstanceLimits;
use crate::{core::PolicyName, units::ByteSize};

/// Serving policies by name.
pub(super) const POLICIES: &[(&str, PolicyName)] = &[
    ("product", PolicyName::Product),
    ("round-robin", PolicyName::RoundRobin),
    ("least-requests", PolicyName::LeastRequests),
];

/// Minimum length of the fleet secret, in bytes. A shorter one can be guessed
/// from one captured proof.
pub(super) const SECRET_MIN_BYTES: usize = 16;
/// Maximum length of the fleet secret, in bytes.
pub(super) const SECRET_MAX_BYTES: usize = 1_024;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const SECOND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600 * SECOND_MS;

/// Definition of one setting.
pub(super) struct SettingDefinition {
    pub(super) key: &'static str,
    pub(super) kind: SettingKind,
    pub(super) requirement: SettingRequirement,
    pub(super) description: &'static str,
}

/// Kind of value that a setting takes.
pub(super) enum SettingKind {
    Id,
    /// Address that is announced to other processes, so that neither its IP
    /// address nor its port may be zero.
    OwnAddress,
    Address,
    Addresses,
    Secret,
    Path,
    Policy,
    Limit(LimitDefinition),
}

/// An integer setting: its unit and range, and its field in
/// [`InstanceLimits`].
pub(super) struct LimitDefinition {
    pub(super) unit: LimitUnit,
    pub(super) min: u64,
    pub(super) max: u64,
    pub(super) get: fn(&InstanceLimits) -> u64,
    pub(super) set: fn(&mut InstanceLimits, u64),
}

/// Unit of an integer setting.
#[derive(Clone, Copy)]
pub(super) enum LimitUnit {
    Bytes,
    Milliseconds,
    Connections,
}

impl LimitUnit {
    fn as_str(self) -> &'static str {
        match self {
            Self::Bytes => "B",
            Self::Milliseconds => "ms",
            Self::Connections => "connections",
        }
    }
}

/// Whether a setting must be given.
#[derive(Clone, Copy)]
pub(super) enum SettingRequirement {
    Required,
    /// Required unless the named setting is given.
    RequiredUnless(&'static str),
    Optional,
}

impl SettingKind {
    /// Name of the value type in the schema.
    fn type_name(&self) -> &'static str {
        match self {
            Self::Id | Self::Secret | Self::Path => "text",
            Self::OwnAddress | Self::Address => "address",
            Self::Addresses => "list of addresses",
            Self::Policy => "choice",
            Self::Limit(_) => "whole number",
        }
    }

    /// Description of the allowed values, for errors and the schema.
    pub(super) fn allowed(&self) -> String {
        match self {
            Self::Id => "1 to 128 of a-z, A-Z, 0-9 and . _ : / -".into(),
            Self::OwnAddress => {
                "IP:PORT that others can reach; neither IP nor port is zero"
                    .into()
            }
            Self::Address => "IP:PORT; the port is not zero".into(),
            Self::Addresses => {
                "a list of IP:PORT; the ports are not zero".into()
            }
            Self::Secret => {
                format!(
                    "text of {SECRET_MIN_BYTES} to {SECRET_MAX_BYTES} bytes"
                )
            }
            Self::Path => "path of a readable file".into(),
            Self::Policy => {
                let names: Vec<_> =
                    POLICIES.iter().map(|(name, _)| *name).collect();
                format!("one of {}", names.join(", "))
            }
            Self::Limit(limit) => {
                let unit = limit.unit.as_str();
                format!("{} to {} {unit}", limit.min, limit.max)
            }
        }
    }

    fn default_value(&self) -> Option<Value> {
        match self {
            Self::Policy => {
                let usual = PolicyName::default();
                let found = POLICIES.iter().find(|(_, name)| *name == usual);
                found.map(|(name, _)| json!(name))
            }
            Self::Addresses => Some(json!([])),
            Self::Limit(limit) => {
                Some(json!((limit.get)(&InstanceLimits::default())))
            }
            _ => None,
        }
    }
}

const fn setting(
    key: &'static str,
    kind: SettingKind,
    requirement: SettingRequirement,
    description: &'static str,
) -> SettingDefinition {
    SettingDefinition {
        key,
        kind,
        requirement,
        description,
    }
}

/// Defines a setting for a size in bytes.
macro_rules! size_setting {
    ($key:literal, $field:ident, $min:expr, $max:expr, $text:literal) => {
        setting(
            $key,
            SettingKind::Limit(LimitDefinition {
                unit: LimitUnit::Bytes,
                min: $min,
                max: $max,
                get: |limits| limits.$field.get(),
                set: |limits, value| limits.$field = ByteSize::new(value),
            }),
            SettingRequirement::Optional,
            $text,
        )
    };
}

/// Defines a setting for a duration in milliseconds.
macro_rules! duration_setting {
    ($key:literal, $field:ident, $min:expr, $max:expr, $text:literal) => {
        setting(
            $key,
            SettingKind::Limit(LimitDefinition {
                unit: LimitUnit::Milliseconds,
                min: $min,
                max: $max,
                get: |limits| limits.$field.as_millis() as u64,
                set: |limits, value| {
                    limits.$field = Duration::from_millis(value);
                },
            }),
            SettingRequirement::Optional,
            $text,
        )
    };
}

/// Defines a setting for a number of connections.
macro_rules! connections_setting {
    ($key:literal, $field:ident, $max:expr, $text:literal) => {
        setting(
            $key,
            SettingKind::Limit(LimitDefinition {
                unit: LimitUnit::Connections,
                min: 1,
                max: $max,
                get: |limits| u64::from(limits.$field),
                set: |limits, value| {
                    limits.$field = u32::try_from(value).unwrap_or(u32::MAX);
                },
            }),
            SettingRequirement::Optional,
            $text,
        )
    };
}

/// All settings, in the order of `default.jsonc`.
pub(super) static SETTINGS: &[SettingDefinition] = &[
    setting(
        "instance",
        SettingKind::Id,
        SettingRequirement::Required,
        "name of the instance, unique in the fleet",
    ),
    setting(
        "failure_domain",
        SettingKind::Id,
        SettingRequirement::Required,
        "failure domain that the instance runs in",
    ),
    setting(
        "caller_address",
        SettingKind::OwnAddress,
        SettingRequirement::Required,
        "listener for callers, operators and metrics; told to callers",
    ),
    setting(
        "peer_address",
        SettingKind::OwnAddress,
        SettingRequirement::Required,
        "listener for other instances; told to them",
    ),
    setting(
        "seeds",
        SettingKind::Addresses,
        SettingRequirement::Optional,
        "peers to ask first; the instance's own address is ignored",
    ),
    setting(
        "fleet_secret",
        SettingKind::Secret,
        SettingRequirement::RequiredUnless("fleet_secret_file"),
        "secret shared by the instances of the fleet",
    ),
    setting(
        "fleet_secret_file",
        SettingKind::Path,
        SettingRequirement::Optional,
        "file that holds the secret; space around it is ignored",
    ),
    setting(
        "log_service",
        SettingKind::Address,
        SettingRequirement::Required,
        "log service of the platform",
    ),
    setting(
        "instance_list",
        SettingKind::Address,
        SettingRequirement::Required,
        "instance list of the platform",
    ),
    setting(
        "weight_store",
        SettingKind::Address,
        SettingRequirement::Optional,
        "weight store of the platform",
    ),
    setting(
        "policy",
        SettingKind::Policy,
        SettingRequirement::Optional,
        "serving policy; all but product are baselines for measurements",
    ),
    size_setting!(
        "limits.body_bytes",
        body_bytes,
        KIB,
        GIB,
        "largest request body"
    ),
    size_setting!(
        "limits.body_bytes_total",
        body_bytes_total,
        KIB,
        64 * GIB,
        "bytes held for all request bodies"
    ),
    duration_setting!(
        "limits.header_timeout_ms",
        header_timeout,
        100,
        60 * SECOND_MS,
        "time for the headers of a request to arrive"
    ),
    duration_setting!(
        "limits.body_timeout_ms",
        body_timeout,
        100,
        600 * SECOND_MS,
        "time for the body of a request to arrive"
    ),
    connections_setting!(
        "limits.connections_per_address",
        connections_per_address,
        1_000_000,
        "most connections from one address"
    ),
    connections_setting!(
        "limits.connections",
        connections,
        1_000_000,
        "most connections"
    ),
    size_setting!(
        "limits.stream_buffer_bytes",
        stream_buffer,
        4 * KIB,
        64 * MIB,
        "bytes buffered for one streamed answer"
    ),
    size_setting!(
        "limits.stream_buffer_total_bytes",
        stream_buffer_total,
        4 * KIB,
        64 * GIB,
        "bytes buffered for all streamed answers"
    ),
    duration_setting!(
        "limits.address_ttl_ms",
        address_ttl,
        100,
        HOUR_MS,
        "how long callers may keep the list of addresses"
    ),
    duration_setting!(
        "limits.default_timeout_ms",
        default_timeout,
        100,
        24 * HOUR_MS,
        "time for a request whose caller names none"
    ),
    duration_setting!(
        "limits.longest_timeout_ms",
        longest_timeout,
        100,
        24 * HOUR_MS,
        "longest time that a caller may ask for"
    ),
    duration_setting!(
        "limits.stop_timeout_ms",
        stop_timeout,
        100,
        24 * HOUR_MS,
        "longest time from the start of a planned stop to the end of the process"
    ),
];

pub(super) fn find_setting(key: &str) -> Option<&'static SettingDefinition> {
    SETTINGS.iter().find(|setting| setting.key == key)
}

/// Schema of the settings: all keys with their types and allowed values.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SettingsSchema {
    /// One entry per key.
    pub settings: Vec<SchemaEntry>,
}

/// Schema of one setting.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SchemaEntry {
    /// Key, such as `limits.body_bytes`.
    pub key: &'static str,
    /// Environment variable that overrides the value in the file.
    pub variable: String,
    /// Type of the value.
    #[serde(rename = "type")]
    pub type_name: &'static str,
    /// Value if the setting is omitted; `None` if there is no default.
    pub default: Option<Value>,
    /// Whether the setting must be given, or the one in `instead`.
    pub required: bool,
    /// Key that may be given instead of a required one.
    pub instead: Option<&'static str>,
    /// Description of the allowed values.
    pub allowed: String,
    /// Minimum of an integer setting.
    pub min: Option<u64>,
    /// Maximum of an integer setting.
    pub max: Option<u64>,
    /// Unit of an integer setting.
    pub unit: Option<&'static str>,
    /// Purpose of the setting.
    pub description: &'static str,
}

/// Builds the schema of all settings.
pub fn schema() -> SettingsSchema {
    SettingsSchema {
        settings: SETTINGS.iter().map(SchemaEntry::new).collect(),
    }
}

/// Name of the environment variable that overrides a setting.
pub(super) fn environment_variable(key: &str) -> String {
    format!("BORAGELINE_{}", key.replace('.', "_").to_uppercase())
}

impl SchemaEntry {
    fn new(setting: &SettingDefinition) -> Self {
        let limit = match &setting.kind {
            SettingKind::Limit(limit) => Some(limit),
            _ => None,
        };
        let (required, instead) = match setting.requirement {
            SettingRequirement::Required => (true, None),
            SettingRequirement::RequiredUnless(other) => (true, Some(other)),
            SettingRequirement::Optional => (false, None),
        };
        Self {
            key: setting.key,
            variable: environment_variable(setting.key),
            type_name: setting.kind.type_name(),
            default: setting.kind.default_value(),
            required,
            instead,
            allowed: setting.kind.allowed(),
            min: limit.map(|limit| limit.min),
            max: limit.map(|limit| limit.max),
            unit: limit.map(|limit| limit.unit.as_str()),
            description: setting.description,
        }
    }

    fn default_text(&self) -> String {
        match (&self.default, self.required, self.instead) {
            (Some(Value::String(text)), ..) => text.clone(),
            (Some(value), ..) => value.to_string(),
            (None, true, None) => "(required)".into(),
            (None, true, Some(other)) => format!("(required, or {other})"),
            (None, false, _) => "(none)".into(),
        }
    }
}

impl Display for SettingsSchema {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        let header = ["KEY", "TYPE", "DEFAULT", "ALLOWED", "DESCRIPTION"]
            .map(str::to_owned);
        let rows = self.settings.iter().map(|row| {
            [
                row.key.to_owned(),
                row.type_name.to_owned(),
                row.default_text(),
                row.allowed.clone(),
                row.description.to_owned(),
            ]
        });
        let lines: Vec<_> = std::iter::once(header).chain(rows).collect();
        let width = |column: usize| {
            let lengths = lines.iter().map(|line| line[column].len());
            lengths.max().unwrap_or_default()
        };
        let widths = [width(0), width(1), width(2), width(3)];
        for [key, kind, default, allowed, description] in &lines {
            writeln!(
                formatter,
                "{key:0$}  {kind:1$}  {default:2$}  {allowed:3$}  {description}",
                widths[0], widths[1], widths[2], widths[3],
            )?;
        }
        Ok(())
    }
}
