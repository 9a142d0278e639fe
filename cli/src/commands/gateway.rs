//! `borageline gateway`: runs one gateway instance until SIGTERM.

use std::{path::PathBuf, process::ExitCode};

use borageline_lib::gateway::{
    gateway_settings::GatewaySettings, wire::GatewayWire,
};
use bpaf::{Bpaf, ShellComp};
use logforth::record::{Level, LevelFilter};

use super::ExitReason;
use crate::{
    gateway::run_gateway,
    logging::{self, LineLimits},
};

/// Run one gateway instance until it is told to stop.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    command("gateway"),
    footer("Example: borageline gateway --config gateway.jsonc")
)]
pub struct GatewayOptions {
    /// Settings file, JSON with comments
    #[bpaf(
        long,
        env("BORAGELINE_CONFIG"),
        argument("FILE"),
        complete_shell(ShellComp::File { mask: None })
    )]
    pub config: PathBuf,
    /// Only check the settings
    #[bpaf(long)]
    pub check: bool,
}

/// Runs a gateway until SIGTERM, or with `--check` only validates the settings
/// and prints them.
///
/// `wire` encodes and decodes the messages that the gateway exchanges with
/// callers, upstreams and the platform's store.
pub fn run<W: GatewayWire>(options: &GatewayOptions, wire: W) -> ExitCode {
    let settings = match GatewaySettings::load(&options.config) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitReason::Usage.into();
        }
    };
    if options.check {
        println!("{settings}");
        return ExitReason::Done.into();
    }
    let level = LevelFilter::MoreSevereEqual(Level::Info);
    if let Err(error) = logging::start_bounded(level, LineLimits::default()) {
        eprintln!("log cannot be started: {error}");
        return ExitReason::Failed.into();
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let path = options.config.clone();
    let result = runtime.and_then(|runtime| {
        runtime.block_on(run_gateway(path, settings, wire))
    });
    // The thread that writes the log ends with the process.
    log::logger().flush();
    match result {
        Ok(()) => ExitReason::Done.into(),
        Err(error) => {
            eprintln!("gateway has stopped: {error}");
            ExitReason::Failed.into()
        }
    }
}
