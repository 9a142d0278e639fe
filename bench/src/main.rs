//! Command line of the load and experiment tool.

use std::process::ExitCode;

use borageline_bench::quickstart;
use bpaf::Bpaf;

/// Load and experiment tool of borageline
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum BenchCommand {
    /// Start a small fleet, try each kind of request and check the answers
    #[bpaf(command)]
    Quickstart,
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match bench_command().run() {
        BenchCommand::Quickstart => quickstart::run().await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed: {error}");
            ExitCode::FAILURE
        }
    }
}
