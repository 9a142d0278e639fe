//! Command line of the load and experiment tool.

use std::process::ExitCode;

use borageline_bench::{capacity, quickstart, stream_cost};
use bpaf::Bpaf;

/// Load and experiment tool of borageline
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum BenchCommand {
    /// Start a small fleet, try each kind of request and check the answers
    #[bpaf(command)]
    Quickstart,
    /// Memory and processor time of the core's state, in one process
    #[bpaf(command)]
    Capacity {
        /// Seed of the random source
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Print one JSON object on the last line
        json: bool,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match bench_command().run() {
        BenchCommand::Quickstart => quickstart::run().await,
        BenchCommand::Capacity { seed, json } => {
            let mut report = capacity::run(seed);
            let result = stream_cost::run(&mut report).await;
            report.print(json);
            result
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed: {error}");
            ExitCode::FAILURE
        }
    }
}
