//! `borageline check-config`: validates a settings file or a desired state.

use std::{
    fmt::{Display, Write as _},
    fs::File,
    io::{self, Read},
    path::{Path, PathBuf},
};

use borageline_lib::{
    gateway::{
        config_check::{
            ConfigDifference, ConfigFinding, FindingKind, check_config,
            check_version, compare_configs,
        },
        routing_config::RoutingConfig,
        wire::{ControlRecord, GatewayWire, WireError},
    },
    settings::SettingOverride,
};
use bpaf::{Bpaf, ShellComp};
use bytes::Bytes;
use serde_json::json;

use super::{ExitReason, load_settings, set_flags};
use crate::output::{ascii_json, escape_text, print_error, print_text};

/// Largest desired state that is read; the platform's store takes no larger
/// record.
const DESIRED_STATE_MAX_BYTES: u64 = 4 << 20;
/// Name of a file that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Check a settings file or a desired state and print every fault.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("check-config"),
    footer(
        "Example: borageline check-config entry-1.jsonc --set policy=product, or \
         borageline check-config --desired-state new.json --in-force old.json"
    )
)]
pub struct CheckConfigOptions {
    #[bpaf(external(check_target))]
    target: CheckTarget,
}

/// What is checked.
#[derive(Clone, Debug, Bpaf)]
enum CheckTarget {
    /// A desired state.
    DesiredState {
        /// Check a desired state, `-` for standard input
        #[bpaf(
            argument("FILE"),
            complete_shell(ShellComp::File { mask: None })
        )]
        desired_state: PathBuf,
        /// Desired state in force, to compare with
        #[bpaf(
            argument("FILE"),
            complete_shell(ShellComp::File { mask: None }),
            optional
        )]
        in_force: Option<PathBuf>,
        /// Print the result as JSON
        json: bool,
    },
    /// A settings file.
    Settings {
        #[bpaf(external(set_flags))]
        set: Vec<SettingOverride>,
        /// Settings file, JSON with comments
        #[bpaf(
            positional("FILE"),
            complete_shell(ShellComp::File { mask: None })
        )]
        file: PathBuf,
    },
}

/// Validates a settings file or a desired state. `wire` decodes the latter.
pub fn run<W: GatewayWire>(
    options: &CheckConfigOptions,
    wire: &W,
) -> ExitReason {
    match &options.target {
        CheckTarget::Settings { set, file } => check_settings(file, set),
        CheckTarget::DesiredState {
            desired_state,
            in_force,
            json,
        } => {
            let report =
                check_desired_state(wire, desired_state, in_force.as_deref());
            match report {
                Ok(report) => report.print(*json),
                Err(message) => {
                    print_error(escape_text(&message));
                    ExitReason::Usage
                }
            }
        }
    }
}

/// Validates the file and prints the instance's id, or every error.
fn check_settings(file: &Path, set: &[SettingOverride]) -> ExitReason {
    match load_settings(file, set) {
        Ok(settings) => {
            println!(
                "{}: settings of instance {} are valid",
                file.display(),
                settings.instance,
            );
            ExitReason::Done
        }
        Err(errors) => {
            eprintln!("{errors}");
            ExitReason::Usage
        }
    }
}

/// Result of the check of a desired state.
#[derive(Default)]
struct StateReport {
    findings: Vec<ConfigFinding>,
    differences: Vec<ConfigDifference>,
}

/// Checks a desired state. Fails if a file cannot be read, or if the desired
/// state in force cannot be decoded.
fn check_desired_state<W: GatewayWire>(
    wire: &W,
    proposed: &Path,
    in_force: Option<&Path>,
) -> Result<StateReport, String> {
    let is_input = |path: &Path| path == Path::new(STANDARD_INPUT);
    if is_input(proposed) && in_force.is_some_and(is_input) {
        return Err("standard input can be only one of the two".into());
    }
    let bytes = read_input(proposed)?;
    let in_force = match in_force {
        Some(path) => {
            let config = decode(wire, read_input(path)?);
            Some(config.map_err(|error| with_path(path, error))?)
        }
        None => None,
    };
    let proposed = match decode(wire, bytes) {
        Ok(config) => config,
        Err(error) => {
            let finding = ConfigFinding {
                kind: FindingKind::Unreadable,
                part: "desired state",
                name: "".into(),
                text: error.message,
            };
            return Ok(StateReport {
                findings: vec![finding],
                differences: Vec::new(),
            });
        }
    };
    let mut report = StateReport {
        findings: check_config(&proposed),
        differences: Vec::new(),
    };
    if let Some(in_force) = in_force {
        report.findings.extend(check_version(&in_force, &proposed));
        report.findings.sort();
        report.differences = compare_configs(&in_force, &proposed);
    }
    Ok(report)
}

fn decode<W: GatewayWire>(
    wire: &W,
    value: Vec<u8>,
) -> Result<RoutingConfig, WireError> {
    let record = wire.config_record(Bytes::from(value));
    match wire.read_control(&record)? {
        ControlRecord::Config(config) => Ok(*config),
        _ => Err(WireError::new(
            "desired state",
            "the record has another use",
        )),
    }
}

fn read_input(path: &Path) -> Result<Vec<u8>, String> {
    let result = if path == Path::new(STANDARD_INPUT) {
        read_bounded(io::stdin().lock())
    } else {
        File::open(path).and_then(read_bounded)
    };
    result.map_err(|error| with_path(path, error))
}

fn read_bounded(input: impl Read) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    input
        .take(DESIRED_STATE_MAX_BYTES + 1)
        .read_to_end(&mut bytes)?;
    if bytes.len() as u64 > DESIRED_STATE_MAX_BYTES {
        let text = format!("more than {DESIRED_STATE_MAX_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, text));
    }
    Ok(bytes)
}

fn with_path(path: &Path, error: impl Display) -> String {
    format!("{}: {error}", path.display())
}

impl StateReport {
    fn print(&self, as_json: bool) -> ExitReason {
        let text = if as_json { self.json() } else { self.text() };
        let printed = print_text(&text);
        if printed == ExitReason::Done && !self.findings.is_empty() {
            return ExitReason::Failed;
        }
        printed
    }

    fn error_count(&self) -> usize {
        let errors = self.findings.iter().filter(|it| it.kind.is_error());
        errors.count()
    }

    fn text(&self) -> String {
        let mut text = String::new();
        for finding in &self.findings {
            let severity = severity(finding.kind);
            let kind = finding.kind.as_str();
            let part = describe_part(finding.part, &finding.name);
            let reason = escape_text(&finding.text);
            // Writing to a string does not fail.
            let _ = writeln!(text, "{severity}: {kind}: {part}: {reason}");
        }
        for difference in &self.differences {
            let access = difference.access.as_str();
            let part = describe_part(difference.part, &difference.name);
            let change = escape_text(&difference.text);
            let _ = writeln!(text, "access {access}: {part}: {change}");
        }
        let errors = self.error_count();
        let _ = writeln!(
            text,
            "errors: {errors}, warnings: {}, differences: {}",
            self.findings.len() - errors,
            self.differences.len(),
        );
        text
    }

    fn json(&self) -> String {
        let findings = self.findings.iter().map(|finding| {
            json!({
                "severity": severity(finding.kind),
                "kind": finding.kind.as_str(),
                "part": finding.part,
                "name": &*finding.name,
                "text": &*finding.text,
            })
        });
        let differences = self.differences.iter().map(|difference| {
            json!({
                "access": difference.access.as_str(),
                "part": difference.part,
                "name": &*difference.name,
                "text": &*difference.text,
            })
        });
        let value = json!({
            "findings": findings.collect::<Vec<_>>(),
            "differences": differences.collect::<Vec<_>>(),
        });
        ascii_json(&value) + "\n"
    }
}

fn severity(kind: FindingKind) -> &'static str {
    if kind.is_error() { "error" } else { "warning" }
}

fn describe_part(part: &str, name: &str) -> String {
    if name.is_empty() {
        part.to_owned()
    } else {
        format!("{part} {name:?}")
    }
}
