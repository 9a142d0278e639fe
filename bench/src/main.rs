//! Command line of the load and experiment tool.

use std::{
    fs::File,
    io::{self, Write},
    path::{Path, PathBuf},
    process::ExitCode,
};

use borageline_bench::{
    capacity,
    endings::EndingTable,
    measures,
    options::{MeasureOptions, measure_options},
    quickstart,
    report::MeasureReport,
    stream_cost,
};
use bpaf::Bpaf;
use tokio::signal::unix::{SignalKind, signal};

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
    /// How the requests of a run ended, from the log lines of its instances
    #[bpaf(command)]
    Endings {
        /// File with log lines; `-` reads standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Latency that an instance adds over calling the engine directly
    #[bpaf(command)]
    Overhead(#[bpaf(external(measure_options))] MeasureOptions),
    /// Time to the first token, with and without long prompts
    #[bpaf(command)]
    FirstToken(#[bpaf(external(measure_options))] MeasureOptions),
    /// Cost of one placement decision by the number of engines
    #[bpaf(command)]
    Decision(#[bpaf(external(measure_options))] MeasureOptions),
    /// Service while a failure domain is closed, reopened, killed, restarted
    #[bpaf(command)]
    DomainChange(#[bpaf(external(measure_options))] MeasureOptions),
    /// Cost of control with nothing to serve, at 7, 50 and 200 instances
    #[bpaf(command)]
    ControlCost(#[bpaf(external(measure_options))] MeasureOptions),
    /// Slowdown of short requests by long ones
    #[bpaf(command)]
    Slowdown(#[bpaf(external(measure_options))] MeasureOptions),
    /// Memory held for slow readers, and what they cost fast callers
    #[bpaf(command)]
    SlowReaders(#[bpaf(external(measure_options))] MeasureOptions),
}

async fn run(command: BenchCommand) -> io::Result<()> {
    let (options, report): (MeasureOptions, MeasureReport) = match command {
        BenchCommand::Quickstart => return quickstart::run().await,
        BenchCommand::Capacity { seed, json } => {
            let mut report = capacity::run(seed);
            let result = stream_cost::run(&mut report).await;
            report.print(json);
            return result;
        }
        BenchCommand::Endings { file } => return print_endings(&file),
        BenchCommand::Overhead(options) => {
            let report = measures::overhead::run(&options).await?;
            (options, report)
        }
        BenchCommand::FirstToken(options) => {
            let report = measures::first_token::run(&options).await?;
            (options, report)
        }
        BenchCommand::Decision(options) => {
            let report = measures::decision::run(&options).await?;
            (options, report)
        }
        BenchCommand::DomainChange(options) => {
            let report = measures::domain_change::run(&options).await?;
            (options, report)
        }
        BenchCommand::ControlCost(options) => {
            let report = measures::control_cost::run(&options).await?;
            (options, report)
        }
        BenchCommand::Slowdown(options) => {
            let report = measures::slowdown::run(&options).await?;
            (options, report)
        }
        BenchCommand::SlowReaders(options) => {
            let report = measures::slow_readers::run(&options).await?;
            (options, report)
        }
    };
    report.print(options.json);
    Ok(())
}

fn print_endings(file: &Path) -> io::Result<()> {
    let table = if file == Path::new("-") {
        EndingTable::read(io::stdin().lock())
    } else {
        let named = |error: io::Error| {
            let text = format!("{}: {error}", file.display());
            io::Error::new(error.kind(), text)
        };
        let input = File::open(file).map_err(named)?;
        EndingTable::read(io::BufReader::new(input)).map_err(named)
    }?;
    let printed = io::stdout().write_all(table.to_string().as_bytes());
    match printed {
        // The reader of a pipe has seen enough.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        other => other,
    }
}

/// Ends the run when the tool is told to end, so that the fleet is dropped
/// and its processes are ended with it.
async fn ended() -> io::Error {
    let names = [SignalKind::interrupt(), SignalKind::terminate()];
    let waits = names.map(|kind| {
        Box::pin(async move {
            match signal(kind) {
                Ok(mut stream) => {
                    stream.recv().await;
                }
                Err(_) => std::future::pending().await,
            }
        })
    });
    futures::future::select_all(waits).await;
    io::Error::other("ended by a signal")
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = bench_command().run();
    let result = tokio::select! {
        result = run(command) => result,
        error = ended() => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("failed: {error}");
            ExitCode::FAILURE
        }
    }
}
