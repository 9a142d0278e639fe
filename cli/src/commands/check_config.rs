//! `borageline check-config`: validates a settings file.

use std::path::PathBuf;

use borageline_lib::settings::SettingOverride;
use bpaf::{Bpaf, ShellComp};

use super::{ExitReason, load_settings, set_flags};

/// Check a settings file and print every fault.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("check-config"),
    footer(
        "Example: borageline check-config entry-1.jsonc --set policy=product"
    )
)]
pub struct CheckConfigOptions {
    #[bpaf(external(set_flags))]
    set: Vec<SettingOverride>,
    /// Settings file, JSON with comments
    #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }))]
    file: PathBuf,
}

/// Validates the file and prints the instance's id, or every error.
pub fn run(options: &CheckConfigOptions) -> ExitReason {
    match load_settings(&options.file, &options.set) {
        Ok(settings) => {
            println!(
                "{}: settings of instance {} are valid",
                options.file.display(),
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
