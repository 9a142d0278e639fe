//! The commands of the binary, one module each, and what they share: exit
//! codes, the flag `--set`, and the loading of settings.
//!
//! The exit codes of all commands are those of [`ExitReason`].

pub mod check_config;
pub mod config;
pub mod gateway;
pub mod order;
pub mod query;
pub mod serve;

use std::{path::Path, process::ExitCode};

use borageline_lib::{
    gateway::wire::GatewayWire,
    settings::{
        InstanceSettings, SettingOverride, SettingsErrors, load_with, schema,
    },
};
use bpaf::{Bpaf, Parser, long};

use self::{
    check_config::{CheckConfigOptions, check_config_options},
    config::{ConfigOptions, config_options},
    gateway::{GatewayOptions, gateway_options},
    order::{OrderOptions, order_options},
    query::{QueryOptions, query_options},
    serve::{ServeOptions, serve_options},
};

/// Result of a command, reported as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// The command succeeded; exit code 0.
    Done,
    /// The command failed or was refused; exit code 1.
    Failed,
    /// The command line or the settings are invalid; exit code 2.
    Usage,
    /// An order was sent, but its outcome is unknown; exit code 3.
    Unknown,
}

impl From<ExitReason> for ExitCode {
    fn from(reason: ExitReason) -> Self {
        match reason {
            ExitReason::Done => Self::from(0),
            ExitReason::Failed => Self::from(1),
            ExitReason::Usage => Self::from(2),
            ExitReason::Unknown => Self::from(3),
        }
    }
}

/// One command of the binary.
#[derive(Clone, Debug, Bpaf)]
pub enum CliCommand {
    /// `serve`.
    Serve(#[bpaf(external(serve_options))] ServeOptions),
    /// `gateway`.
    Gateway(#[bpaf(external(gateway_options))] GatewayOptions),
    /// `check-config`.
    CheckConfig(#[bpaf(external(check_config_options))] CheckConfigOptions),
    /// `config`.
    Config(#[bpaf(external(config_options))] ConfigOptions),
    /// `query`.
    Query(#[bpaf(external(query_options))] QueryOptions),
    /// `order`.
    Order(#[bpaf(external(order_options))] OrderOptions),
}

impl CliCommand {
    /// Runs the command. `wire` encodes and decodes the messages of a
    /// gateway, and decodes the desired state that is checked.
    pub fn run<W: GatewayWire>(&self, wire: W) -> ExitCode {
        match self {
            Self::Serve(options) => serve::run(options),
            Self::Gateway(options) => gateway::run(options, wire),
            Self::CheckConfig(options) => {
                check_config::run(options, &wire).into()
            }
            Self::Config(options) => config::run(options).into(),
            Self::Query(options) => query::run(options).into(),
            Self::Order(options) => order::run(options).into(),
        }
    }
}

/// Parser of the repeatable flag `--set KEY=VALUE`.
pub fn set_flags() -> impl Parser<Vec<SettingOverride>> {
    long("set")
        .help("Put a value in place of the file's; may be repeated")
        .argument::<String>("KEY=VALUE")
        .complete(|input| complete_key(input))
        .parse(|text| SettingOverride::from_flag(&text))
        .many()
}

fn complete_key(input: &str) -> Vec<(String, Option<String>)> {
    let settings = schema().settings.into_iter();
    settings
        .filter(|setting| setting.key.starts_with(input))
        .map(|setting| {
            (
                format!("{}=", setting.key),
                Some(setting.description.into()),
            )
        })
        .collect()
}

/// Loads a settings file. Environment variables take precedence over the
/// file, and flags over both.
pub fn load_settings(
    path: &Path,
    flags: &[SettingOverride],
) -> Result<InstanceSettings, SettingsErrors> {
    // Keys and values of settings are UTF-8, so other variables are skipped.
    let variables = std::env::vars_os().filter_map(|(key, value)| {
        Some((key.into_string().ok()?, value.into_string().ok()?))
    });
    let mut overrides = SettingOverride::from_variables(variables);
    overrides.extend_from_slice(flags);
    load_with(path, &overrides)
}
