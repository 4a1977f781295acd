//! The command line of the crocusyard binary.
//!
//! The commands `serve` and `entry` run an entry host, `check` checks files, `load` sends calls and
//! checks the answers, and all others call the HTTP interface of a running host. A command returns
//! its output as data ([`CommandOutput`]), so that only [`main`] prints and exits.
//!
//! [`CommandOutput`]: output::CommandOutput

pub mod arguments;
mod ask;
mod check;
mod client;
mod entry;
pub mod error;
pub mod host_entry;
mod load;
pub mod output;
mod preset;
mod serve;
mod status;

use crate::arguments::{CliArguments, CliCommand, PresetAction};
use crate::client::HostClient;
use crate::error::CliError;
use crate::output::CommandOutput;
use std::process::ExitCode;

/// Runs the command that the process's arguments name, and prints its output.
pub fn main() -> ExitCode {
    let output = run(&argh::from_env());
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    ExitCode::from(output.exit_code)
}

/// Runs a command to completion on an actix system of its own.
pub fn run(arguments: &CliArguments) -> CommandOutput {
    let system = actix_rt::System::new();
    system
        .block_on(run_command(arguments))
        .unwrap_or_else(|error| CommandOutput::from_error(&error))
}

async fn run_command(arguments: &CliArguments) -> Result<CommandOutput, CliError> {
    match &arguments.command {
        CliCommand::Serve(command) => serve::run_serve(command).await,
        CliCommand::Entry(command) => entry::run_entry(command).await,
        CliCommand::Check(command) => Ok(check::run_check(command)),
        CliCommand::Ask(command) => {
            let client = HostClient::for_callers(arguments)?;
            ask::run_ask(&client, command, arguments.json).await
        }
        CliCommand::Status(_) => {
            let client = HostClient::for_operators(arguments)?;
            status::run_status(&client, arguments.json).await
        }
        CliCommand::Drain(_) => {
            let client = HostClient::for_operators(arguments)?;
            status::run_drain(&client, arguments.json).await
        }
        CliCommand::Load(command) => load::run_load_command(arguments, command).await,
        CliCommand::Preset(command) => {
            let client = HostClient::for_operators(arguments)?;
            run_preset(&client, &command.action, arguments.json).await
        }
    }
}

async fn run_preset(
    client: &HostClient,
    action: &PresetAction,
    json: bool,
) -> Result<CommandOutput, CliError> {
    match action {
        PresetAction::List(_) => preset::run_list(client, json).await,
        PresetAction::Show(command) => preset::run_show(client, command, json).await,
        PresetAction::Diff(command) => preset::run_diff(client, command, json).await,
        PresetAction::Apply(command) => preset::run_apply(client, command, json).await,
        PresetAction::Activate(command) => preset::run_activate(client, command, json).await,
        PresetAction::History(command) => preset::run_history(client, command, json).await,
    }
}
