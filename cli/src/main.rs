//! The borageline binary.

use std::process::ExitCode;

use borageline::commands::{ExitReason, cli_command};
use borageline_platform::PlatformWire;
use bpaf::{Args, Parser};

/// Width of help texts, in columns.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    let parser = cli_command()
        .to_options()
        .descr("Serving layer between callers and language-model engines")
        .version(env!("CARGO_PKG_VERSION"));
    match parser.run_inner(Args::current_args()) {
        Ok(command) => command.run(PlatformWire),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            match failure.exit_code() {
                0 => ExitReason::Done.into(),
                _ => ExitReason::Usage.into(),
            }
        }
    }
}
