//! The borageline binary.

use std::process::ExitCode;

use borageline::commands::serve::{self, ServeOptions, serve_options};
use bpaf::{OptionParser, Parser};

/// Exit code for a faulty command line.
const USAGE_ERROR: u8 = 2;

fn options() -> OptionParser<ServeOptions> {
    serve_options()
        .to_options()
        .descr("runs one instance until it is told to stop")
        .command("serve")
        .to_options()
        .descr("serving layer between callers and language-model engines")
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => serve::run(&options),
        Err(failure) => {
            failure.print_message(100);
            if failure.exit_code() == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(USAGE_ERROR)
            }
        }
    }
}
