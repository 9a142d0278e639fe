//! The table of settings: one row a key, read by the parser and the schema.

use std::{
    fmt::{Display, Formatter},
    time::Duration,
};

use serde::Serialize;
use serde_json::{Value, json};

use super::InstanceLimits;
use crate::{core::PolicyName, units::ByteSize};

/// Names of the serving policies.
pub(super) const POLICIES: &[(&str, PolicyName)] = &[
    ("product", PolicyName::Product),
    ("round-robin", PolicyName::RoundRobin),
    ("least-requests", PolicyName::LeastRequests),
];

/// Shortest secret; what is shorter can be guessed from one captured proof.
pub(super) const SECRET_MIN_BYTES: usize = 16;
/// Longest secret.
pub(super) const SECRET_MAX_BYTES: usize = 1_024;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;
const SECOND_MS: u64 = 1_000;
const HOUR_MS: u64 = 3_600 * SECOND_MS;

/// One key of the settings.
pub(super) struct SettingSpec {
    pub(super) key: &'static str,
    pub(super) kind: SettingKind,
    pub(super) need: SettingNeed,
    pub(super) description: &'static str,
}

/// What values a key takes.
pub(super) enum SettingKind {
    Id,
    /// Address that is announced to others, so that it must be a real one.
    OwnAddress,
    Address,
    Addresses,
    Secret,
    Path,
    Policy,
    Limit(LimitSpec),
}

/// A whole number within a range, and its place in the limits.
pub(super) struct LimitSpec {
    pub(super) unit: LimitUnit,
    pub(super) min: u64,
    pub(super) max: u64,
    pub(super) get: fn(&InstanceLimits) -> u64,
    pub(super) set: fn(&mut InstanceLimits, u64),
}

/// Unit of a limit.
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

/// Whether a key must be given.
#[derive(Clone, Copy)]
pub(super) enum SettingNeed {
    Required,
    /// Required unless the other key is given.
    Either(&'static str),
    Optional,
}

impl SettingKind {
    /// Type of the value, for the schema.
    fn type_name(&self) -> &'static str {
        match self {
            Self::Id | Self::Secret | Self::Path => "text",
            Self::OwnAddress | Self::Address => "address",
            Self::Addresses => "list of addresses",
            Self::Policy => "choice",
            Self::Limit(_) => "whole number",
        }
    }

    /// What is allowed, for faults and the schema.
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

const fn spec(
    key: &'static str,
    kind: SettingKind,
    need: SettingNeed,
    description: &'static str,
) -> SettingSpec {
    SettingSpec {
        key,
        kind,
        need,
        description,
    }
}

/// Row of a size.
macro_rules! size {
    ($key:literal, $field:ident, $min:expr, $max:expr, $text:literal) => {
        spec(
            $key,
            SettingKind::Limit(LimitSpec {
                unit: LimitUnit::Bytes,
                min: $min,
                max: $max,
                get: |limits| limits.$field.get(),
                set: |limits, value| limits.$field = ByteSize::new(value),
            }),
            SettingNeed::Optional,
            $text,
        )
    };
}

/// Row of a duration.
macro_rules! time {
    ($key:literal, $field:ident, $min:expr, $max:expr, $text:literal) => {
        spec(
            $key,
            SettingKind::Limit(LimitSpec {
                unit: LimitUnit::Milliseconds,
                min: $min,
                max: $max,
                get: |limits| limits.$field.as_millis() as u64,
                set: |limits, value| {
                    limits.$field = Duration::from_millis(value);
                },
            }),
            SettingNeed::Optional,
            $text,
        )
    };
}

/// Row of a number of connections.
macro_rules! connections {
    ($key:literal, $field:ident, $max:expr, $text:literal) => {
        spec(
            $key,
            SettingKind::Limit(LimitSpec {
                unit: LimitUnit::Connections,
                min: 1,
                max: $max,
                get: |limits| u64::from(limits.$field),
                set: |limits, value| {
                    limits.$field = u32::try_from(value).unwrap_or(u32::MAX);
                },
            }),
            SettingNeed::Optional,
            $text,
        )
    };
}

/// All keys, in the order of the default file.
pub(super) static SETTINGS: &[SettingSpec] = &[
    spec(
        "instance",
        SettingKind::Id,
        SettingNeed::Required,
        "name of the instance, unique in the fleet",
    ),
    spec(
        "failure_domain",
        SettingKind::Id,
        SettingNeed::Required,
        "failure domain that the instance runs in",
    ),
    spec(
        "caller_address",
        SettingKind::OwnAddress,
        SettingNeed::Required,
        "listener for callers, operators and metrics; told to callers",
    ),
    spec(
        "peer_address",
        SettingKind::OwnAddress,
        SettingNeed::Required,
        "listener for other instances; told to them",
    ),
    spec(
        "seeds",
        SettingKind::Addresses,
        SettingNeed::Optional,
        "peers to ask first; the instance's own address is ignored",
    ),
    spec(
        "fleet_secret",
        SettingKind::Secret,
        SettingNeed::Either("fleet_secret_file"),
        "secret shared by the instances of the fleet",
    ),
    spec(
        "fleet_secret_file",
        SettingKind::Path,
        SettingNeed::Optional,
        "file that holds the secret; space around it is ignored",
    ),
    spec(
        "log_service",
        SettingKind::Address,
        SettingNeed::Required,
        "log service of the platform",
    ),
    spec(
        "instance_list",
        SettingKind::Address,
        SettingNeed::Required,
        "instance list of the platform",
    ),
    spec(
        "weight_store",
        SettingKind::Address,
        SettingNeed::Optional,
        "weight store of the platform",
    ),
    spec(
        "policy",
        SettingKind::Policy,
        SettingNeed::Optional,
        "serving policy; all but product are baselines for measurements",
    ),
    size!(
        "limits.body_bytes",
        body_bytes,
        KIB,
        GIB,
        "largest request body"
    ),
    size!(
        "limits.body_bytes_total",
        body_bytes_total,
        KIB,
        64 * GIB,
        "bytes held for all request bodies"
    ),
    time!(
        "limits.header_timeout_ms",
        header_timeout,
        100,
        60 * SECOND_MS,
        "time for the headers of a request to arrive"
    ),
    time!(
        "limits.body_timeout_ms",
        body_timeout,
        100,
        600 * SECOND_MS,
        "time for the body of a request to arrive"
    ),
    connections!(
        "limits.connections_per_address",
        connections_per_address,
        1_000_000,
        "most connections from one address"
    ),
    connections!(
        "limits.connections",
        connections,
        1_000_000,
        "most connections"
    ),
    size!(
        "limits.stream_buffer_bytes",
        stream_buffer,
        4 * KIB,
        64 * MIB,
        "bytes buffered for one streamed answer"
    ),
    size!(
        "limits.stream_buffer_total_bytes",
        stream_buffer_total,
        4 * KIB,
        64 * GIB,
        "bytes buffered for all streamed answers"
    ),
    time!(
        "limits.address_ttl_ms",
        address_ttl,
        100,
        HOUR_MS,
        "how long callers may keep the list of addresses"
    ),
    time!(
        "limits.default_timeout_ms",
        default_timeout,
        100,
        24 * HOUR_MS,
        "time for a request whose caller names none"
    ),
    time!(
        "limits.longest_timeout_ms",
        longest_timeout,
        100,
        24 * HOUR_MS,
        "longest time that a caller may ask for"
    ),
    time!(
        "limits.stop_timeout_ms",
        stop_timeout,
        100,
        24 * HOUR_MS,
        "longest time that a planned stop waits for running requests"
    ),
];

pub(super) fn find_spec(key: &str) -> Option<&'static SettingSpec> {
    SETTINGS.iter().find(|spec| spec.key == key)
}

/// All keys with what they take.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SettingsSchema {
    /// One row a key.
    pub settings: Vec<SchemaEntry>,
}

/// One key with what it takes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SchemaEntry {
    /// Key, with a dot between the parts.
    pub key: &'static str,
    /// Environment variable that overrides it.
    pub variable: String,
    /// Type of the value.
    #[serde(rename = "type")]
    pub type_name: &'static str,
    /// Value if the key is left out.
    pub default: Option<Value>,
    /// Whether the key must be given.
    pub required: bool,
    /// Key that may be given in its place.
    pub instead: Option<&'static str>,
    /// What values are allowed.
    pub allowed: String,
    /// Least value of a number.
    pub min: Option<u64>,
    /// Greatest value of a number.
    pub max: Option<u64>,
    /// Unit of a number.
    pub unit: Option<&'static str>,
    /// What the key means.
    pub description: &'static str,
}

/// Lists all keys.
pub fn schema() -> SettingsSchema {
    SettingsSchema {
        settings: SETTINGS.iter().map(SchemaEntry::new).collect(),
    }
}

/// Environment variable that overrides a key.
pub(super) fn variable_of(key: &str) -> String {
    format!("BORAGELINE_{}", key.replace('.', "_").to_uppercase())
}

impl SchemaEntry {
    fn new(spec: &SettingSpec) -> Self {
        let limit = match &spec.kind {
            SettingKind::Limit(limit) => Some(limit),
            _ => None,
        };
        let (required, instead) = match spec.need {
            SettingNeed::Required => (true, None),
            SettingNeed::Either(other) => (true, Some(other)),
            SettingNeed::Optional => (false, None),
        };
        Self {
            key: spec.key,
            variable: variable_of(spec.key),
            type_name: spec.kind.type_name(),
            default: spec.kind.default_value(),
            required,
            instead,
            allowed: spec.kind.allowed(),
            min: limit.map(|limit| limit.min),
            max: limit.map(|limit| limit.max),
            unit: limit.map(|limit| limit.unit.as_str()),
            description: spec.description,
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
