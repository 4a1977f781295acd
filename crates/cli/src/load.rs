//! Command `load`: sends calls to hosts and checks the answers.

use crate::arguments::{CliArguments, LoadCommand};
use crate::error::{CliError, LoadSnafu, UnwritableFileSnafu};
use crate::output::CommandOutput;
use crocusyard_base::prelude::ClockTime;
use crocusyard_load::prelude::*;
use snafu::ResultExt;
use std::path::Path;

/// Exit code of a load run that found wrong, partial or duplicate answers.
const DEFECTS_EXIT_CODE: u8 = 4;
/// Upper bound of times from the command line, seconds. It prevents overflows; the plan's own check
/// is stricter.
const MAX_SECONDS: u64 = 86_400;

pub(crate) async fn run_load_command(
    arguments: &CliArguments,
    command: &LoadCommand,
) -> Result<CommandOutput, CliError> {
    let plan = load_plan(arguments, command);
    let report = run_load(plan, |progress| eprintln!("{progress}"))
        .await
        .context(LoadSnafu)?;
    if let Some(file) = &command.json_out {
        let json = CommandOutput::from_json(&report).stdout;
        std::fs::write(file, json).context(UnwritableFileSnafu { file })?;
    }
    if let Some(file) = &command.plot {
        write_plot(&report, Path::new(file)).context(LoadSnafu)?;
    }
    let mut output = if arguments.json {
        CommandOutput::from_json(&report)
    } else {
        CommandOutput::from_text(report.to_text())
    };
    if report.defects.any() {
        output.exit_code = DEFECTS_EXIT_CODE;
    }
    Ok(output)
}

fn load_plan(arguments: &CliArguments, command: &LoadCommand) -> LoadPlan {
    let defaults = LoadPlan::default();
    let chats_only = MixShares {
        chat: 1.0,
        get: 0.0,
        post: 0.0,
    };
    let default_mix = if command.service.is_empty() {
        chats_only
    } else {
        defaults.mix
    };
    let entries = if command.entry.is_empty() {
        vec![arguments.host]
    } else {
        command.entry.clone()
    };
    LoadPlan {
        entries,
        plain_standins: command.plain.clone(),
        shape: command.shape,
        rate: command.rate,
        span: ClockTime::from_secs(command.seconds.min(MAX_SECONDS)),
        max_calls: command.calls,
        seed: command.seed,
        models: command.model.clone(),
        services: command.service.clone(),
        tenants: command.tenant.clone(),
        skew: command.skew,
        mix: command.mix.unwrap_or(default_mix),
        tokens: command.tokens,
        batch_share: command.batch_share,
        max_in_flight: command.in_flight,
        drain: ClockTime::from_secs(command.drain_seconds.min(MAX_SECONDS)),
    }
}
