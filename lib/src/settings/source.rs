//! Sources of settings: the text of the file, and overrides from environment
//! variables and flags.

use std::{
    collections::BTreeMap,
    fmt::{Display, Formatter},
};

use jsonc_parser::{CollectOptions, ParseOptions, ast, parse_to_ast};
use serde_json::{Map, Value};

use super::{
    SettingsError,
    table::{SETTINGS, SettingKind, environment_variable, find_setting},
};

/// Source of an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingSource {
    /// An environment variable.
    Variable,
    /// A command-line flag.
    Flag,
}

/// A value that overrides the one in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingOverride {
    /// Key, such as `limits.body_bytes`.
    pub key: String,
    /// Text of the value, before it is parsed.
    pub value: String,
    /// Source of the value, for errors.
    pub source: SettingSource,
}

impl SettingOverride {
    /// Parses the argument of a `--set` flag, `KEY=VALUE`. The key must not be
    /// empty.
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

    /// Collects overrides from the environment variables that name a setting.
    ///
    /// Other variables with the same prefix are ignored: cluster managers
    /// define some of their own for each service name.
    pub fn from_variables(
        variables: impl IntoIterator<Item = (String, String)>,
    ) -> Vec<Self> {
        let values: BTreeMap<_, _> = variables.into_iter().collect();
        let read = |setting: &super::table::SettingDefinition| {
            let value = values.get(&environment_variable(setting.key))?;
            Some(Self {
                key: setting.key.into(),
                value: value.clone(),
                source: SettingSource::Variable,
            })
        };
        SETTINGS.iter().filter_map(read).collect()
    }

    fn to_value(&self) -> Value {
        let text = || Value::String(self.value.clone());
        match find_setting(&self.key).map(|setting| &setting.kind) {
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
                write!(
                    formatter,
                    "variable {}",
                    environment_variable(&self.key)
                )
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

/// Values by key before validation, and the overrides among them.
#[derive(Default)]
pub(super) struct RawSettings {
    values: BTreeMap<String, Value>,
    overridden: BTreeMap<String, SettingOverride>,
    unreadable: bool,
}

impl RawSettings {
    /// Parses the text of the file. Adds errors in it to `errors`.
    pub(super) fn parse(text: &str, errors: &mut Vec<SettingsError>) -> Self {
        let mut raw = Self {
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
                errors.push(SettingsError::new(
                    place,
                    found,
                    "JSON with comments",
                ));
                return raw;
            }
        };
        match root {
            Some(ast::Value::Object(object)) => {
                raw.unreadable = false;
                raw.add_object("", &object, errors);
            }
            other => {
                let found = other.as_ref().map_or("nothing".into(), |value| {
                    format_value(&to_json(value))
                });
                errors.push(SettingsError::new("(file)", found, "an object"));
            }
        }
        raw
    }

    fn add_object(
        &mut self,
        prefix: &str,
        object: &ast::Object<'_>,
        errors: &mut Vec<SettingsError>,
    ) {
        for property in &object.properties {
            let key = format!("{prefix}{}", property.name.as_str());
            let group = format!("{key}.");
            let is_group = SETTINGS
                .iter()
                .any(|setting| setting.key.starts_with(&group));
            match &property.value {
                ast::Value::Object(inner) if is_group => {
                    self.add_object(&group, inner, errors);
                }
                value if is_group => {
                    let found = format_value(&to_json(value));
                    errors.push(SettingsError::new(key, found, "an object"));
                }
                value => self.add(key, to_json(value), errors),
            }
        }
    }

    fn add(
        &mut self,
        key: String,
        value: Value,
        errors: &mut Vec<SettingsError>,
    ) {
        if self.values.contains_key(&key) {
            let found = "a second value";
            errors.push(SettingsError::new(key, found, "one value a key"));
            return;
        }
        self.values.insert(key, value);
    }

    /// Whether the text could not be parsed to a JSON object.
    pub(super) fn is_unreadable(&self) -> bool {
        self.unreadable
    }

    /// Applies overrides in order, each replacing the previous value.
    pub(super) fn apply_overrides(&mut self, overrides: &[SettingOverride]) {
        for replacement in overrides {
            // Both keys set the secret, and only one may be given.
            match replacement.key.as_str() {
                "fleet_secret" => self.values.remove("fleet_secret_file"),
                "fleet_secret_file" => self.values.remove("fleet_secret"),
                _ => None,
            };
            self.values
                .insert(replacement.key.clone(), replacement.to_value());
            self.overridden
                .insert(replacement.key.clone(), replacement.clone());
        }
    }

    /// Value of a key. `None` if the key is missing or null.
    pub(super) fn get(&self, key: &str) -> Option<&Value> {
        self.values.get(key).filter(|value| !value.is_null())
    }

    /// All keys, also unknown ones and those with a null value.
    pub(super) fn keys(&self) -> impl Iterator<Item = &str> {
        self.values.keys().map(String::as_str)
    }

    /// Path of a key for errors, with the override that set its value if any.
    pub(super) fn path(&self, key: &str) -> String {
        match self.overridden.get(key) {
            Some(replacement) => format!("{key} ({replacement})"),
            None => key.into(),
        }
    }
}

/// Parser options that allow comments and trailing commas but are strict
/// otherwise.
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
        // A number that `Value` cannot represent is kept as text, so that
        // the error shows it as written.
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

/// Maximum length of a value in an error, in characters.
const VALUE_MAX_CHARS: usize = 80;

/// Formats a value as JSON for an error, shortened if necessary.
pub(super) fn format_value(value: &Value) -> String {
    let text = value.to_string();
    match text.char_indices().nth(VALUE_MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text,
    }
}
