//! `borageline config`: prints the schema of the settings file, or a file with
//! the defaults.

use borageline_lib::settings::{DEFAULT_SETTINGS, schema};
use bpaf::Bpaf;

use super::ExitReason;
use crate::output::print_text;

/// Print the keys of the settings file, or a file with every default.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("config"),
    footer("Example: borageline config default > entry-1.jsonc")
)]
pub struct ConfigOptions {
    #[bpaf(external(config_action))]
    action: ConfigAction,
}

/// What to print.
#[derive(Clone, Debug, Bpaf)]
pub(crate) enum ConfigAction {
    /// List each key with its type, default, allowed values and meaning.
    #[bpaf(
        command("schema"),
        footer("Example: borageline config schema --json")
    )]
    Schema {
        /// Print JSON
        json: bool,
    },
    /// Print a commented file with every default.
    #[bpaf(
        command("default"),
        footer("Example: borageline config default > entry-1.jsonc")
    )]
    Default,
}

/// Prints the requested text.
pub fn run(options: &ConfigOptions) -> ExitReason {
    let text = match &options.action {
        ConfigAction::Schema { json: true } => {
            let text = serde_json::to_string_pretty(&schema())
                .expect("the schema has only text keys");
            text + "\n"
        }
        ConfigAction::Schema { json: false } => schema().to_string(),
        ConfigAction::Default => DEFAULT_SETTINGS.to_owned(),
    };
    print_text(&text)
}
