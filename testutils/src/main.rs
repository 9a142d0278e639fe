//! `borageline-standin`: runs one stand-in in a separate process.
//!
//! Prints `{"address":"127.0.0.1:PORT"}` as one line on standard output once
//! it listens, and runs until a signal ends it. A forwarder adds the address
//! of its control server as `"control"`. `POST /control` injects faults.

mod arguments;

use std::{io::Write, process::ExitCode};

use arguments::Command;
use borageline_testutils::{
    engine, forwarder, http_server::Handle, instance_list, log_service,
    plain_service, process_group, weight_store,
};

#[tokio::main]
async fn main() -> ExitCode {
    match run(arguments::command().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("borageline-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> std::io::Result<()> {
    match command {
        Command::Engine(options) => {
            let (listen, config) = options.into_config();
            run_until_shutdown(engine::spawn(listen, config).await?).await
        }
        Command::Service { listen, delay_ms } => {
            let delay = std::time::Duration::from_millis(delay_ms);
            run_until_shutdown(plain_service::spawn(listen, delay).await?).await
        }
        Command::Log(options) => {
            let (listen, config) = options.into_config();
            run_until_shutdown(log_service::spawn(listen, config).await?).await
        }
        Command::List(options) => {
            let (listen, config, entries) = options.into_config();
            let handle = instance_list::spawn(listen, config).await?;
            for entry in entries {
                handle.control.add(entry);
            }
            run_until_shutdown(handle).await
        }
        Command::Weights(options) => {
            let (listen, config) = options.into_config();
            run_until_shutdown(weight_store::spawn(listen, config).await?).await
        }
        Command::Forwarder {
            listen,
            target,
            control,
        } => {
            let handle = forwarder::spawn(listen, target, control).await?;
            print_address(&serde_json::json!({
                "address": handle.address,
                "control": handle.control_address,
            }))?;
            handle.shutdown.cancelled().await;
            Ok(())
        }
        Command::GroupLink { group } => process_group::run_link(group),
    }
}

/// Prints the address and waits until the stand-in is shut down.
async fn run_until_shutdown<S>(handle: Handle<S>) -> std::io::Result<()> {
    print_address(&serde_json::json!({"address": handle.address}))?;
    handle.shutdown.cancelled().await;
    Ok(())
}

fn print_address(line: &serde_json::Value) -> std::io::Result<()> {
    let mut output = std::io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()
}
