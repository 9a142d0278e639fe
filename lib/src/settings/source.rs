//! Where settings come from: the file's text and what overrides it.

use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
};

use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use serde_json::{Map, Value};

use super::{
    SettingsError,
    table::{SETTINGS, SettingKind, find_spec, variable_of},
};

/// Where the value of a key was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingSource {
    /// An environment variable.
    Variable,
    /// A flag of the command line.
    Flag,
}

/// A value that takes precedence over the file's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingOverride {
    /// Key, with a dot between the parts.
    pub key: String,
    /// Value as text.
    pub value: String,
    /// Where it was given.
    pub source: SettingSource,
}

impl SettingOverride {
    /// Reads `KEY=VALUE` as a flag has it.
    pub fn from_flag(text: &str) -> Result<Self, SettingsError> {
        match text.split_once('=') {
            Some((key, value)) if !key.is_empty() => Ok(Self {
                key: key.trim().into(),
                value: value.into(),
                source: SettingSource::Flag,
            }),
            _ => Err(SettingsError::new("--set", text, "KEY=VALUE")),
        }
    }

    /// Picks the variables that name a setting.
    ///
    /// Other variables with the same prefix are passed over: cluster
    /// managers define some of their own for each service name.
    pub fn from_variables(
        variables: impl IntoIterator<Item = (String, String)>,
    ) -> Vec<Self> {
        let values: BTreeMap<_, _> = variables.into_iter().collect();
        let read = |spec: &super::table::SettingSpec| {
            let value = values.get(&variable_of(spec.key))?;
            Some(Self {
                key: spec.key.into(),
                value: value.clone(),
                source: SettingSource::Variable,
            })
        };
        SETTINGS.iter().filter_map(read).collect()
    }

    fn to_value(&self) -> Value {
        let text = || Value::String(self.value.clone());
        match find_spec(&self.key).map(|spec| &spec.kind) {
            Some(SettingKind::Limit(_)) => {
                serde_json::from_str(&self.value).unwrap_or_else(|_| text())
            }
            Some(SettingKind::Addresses) => serde_json::from_str(&self.value)
                .unwrap_or_else(|_| split_list(&self.value)),
            _ => text(),
        }
    }
}

impl Display for SettingOverride {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self.source {
            SettingSource::Variable => {
                write!(formatter, "variable {}", variable_of(&self.key))
            }
            SettingSource::Flag => write!(formatter, "--set {}", self.key),
        }
    }
}

fn split_list(text: &str) -> Value {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .collect()
}

/// Values by their key, and where those that are not from the file were given.
#[derive(Default)]
pub(super) struct GivenValues {
    values: BTreeMap<String, Value>,
    overridden: BTreeMap<String, SettingOverride>,
    unreadable: bool,
}

impl GivenValues {
    /// Reads the file's text.
    pub(super) fn read(text: &str, faults: &mut Vec<SettingsError>) -> Self {
        let mut given = Self {
            unreadable: true,
            ..Self::default()
        };
        let collected =
            parse_to_ast(text, &CollectOptions::default(), &strict_json());
        let root = match collected {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let place = format!(
                    "line {}, column {}",
                    error.line_display(),
                    error.column_display(),
                );
                let found = error.kind().to_string();
                faults.push(SettingsError::new(
                    place,
                    found,
                    "JSON with comments",
                ));
                return given;
            }
        };
        match root {
            Some(ast::Value::Object(object)) => {
                given.unreadable = false;
                given.add_object("", &object, faults);
            }
            other => {
                let found = other.as_ref().map_or("nothing".into(), |value| {
                    describe(&to_json(value))
                });
                faults.push(SettingsError::new("(file)", found, "an object"));
            }
        }
        given
    }

    fn add_object(
        &mut self,
        prefix: &str,
        object: &ast::Object<'_>,
        faults: &mut Vec<SettingsError>,
    ) {
        for property in &object.properties {
            let key = format!("{prefix}{}", property.name.as_str());
            let group = format!("{key}.");
            let is_group =
                SETTINGS.iter().any(|spec| spec.key.starts_with(&group));
            match &property.value {
                ast::Value::Object(inner) if is_group => {
                    self.add_object(&group, inner, faults);
                }
                value if is_group => {
                    let found = describe(&to_json(value));
                    faults.push(SettingsError::new(key, found, "an object"));
                }
                value => self.add(key, to_json(value), faults),
            }
        }
    }

    fn add(
        &mut self,
        key: String,
        value: Value,
        faults: &mut Vec<SettingsError>,
    ) {
        if self.values.contains_key(&key) {
            let found = "a second value";
            faults.push(SettingsError::new(key, found, "one value a key"));
            return;
        }
        self.values.insert(key, value);
    }

    /// Whether the text was no object at all.
    pub(super) fn is_unreadable(&self) -> bool {
        self.unreadable
    }

    /// Puts overrides in place of what was given before.
    pub(super) fn override_with(&mut self, overrides: &[SettingOverride]) {
        for given in overrides {
            // The secret and its file stand for the same value.
            match given.key.as_str() {
                "fleet_secret" => self.values.remove("fleet_secret_file"),
                "fleet_secret_file" => self.values.remove("fleet_secret"),
                _ => None,
            };
            self.values.insert(given.key.clone(), given.to_value());
            self.overridden.insert(given.key.clone(), given.clone());
        }
    }

    /// Value of a key; null counts as not given.
    pub(super) fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key).filter(|value| !value.is_null())
    }

    /// All keys that were given.
    pub(super) fn keys(&self) -> impl Iterator<Item = &str> {
        self.values.keys().map(String::as_str)
    }

    /// Path of a key in faults, with the override that gave its value.
    pub(super) fn path(&self, key: &str) -> String {
        match self.overridden.get(key) {
            Some(given) => format!("{key} ({given})"),
            None => key.into(),
        }
    }
}

/// Options that allow comments and trailing commas and are strict otherwise.
fn strict_json() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn to_json(value: &ast::Value<'_>) -> Value {
    match value {
        ast::Value::StringLit(text) => Value::String(text.value.to_string()),
        // A number beyond the range of JSON values stays text, so that the
        // fault shows it as it was written.
        ast::Value::NumberLit(number) => serde_json::from_str(number.value)
            .unwrap_or_else(|_| Value::String(number.value.into())),
        ast::Value::BooleanLit(literal) => Value::Bool(literal.value),
        ast::Value::NullKeyword(_) => Value::Null,
        ast::Value::Array(array) => {
            array.elements.iter().map(to_json).collect()
        }
        ast::Value::Object(object) => {
            let pairs = object.properties.iter().map(|property| {
                (property.name.as_str().to_owned(), to_json(&property.value))
            });
            Value::Object(pairs.collect::<Map<_, _>>())
        }
    }
}

/// Longest value that a fault repeats.
const FOUND_MAX_CHARS: usize = 80;

/// Renders a value for a fault.
pub(super) fn describe(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(FOUND_MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
