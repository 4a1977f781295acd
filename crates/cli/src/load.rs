//! Command `load`.

use crate::arguments::{CliArguments, LoadCommand};
use crate::error::{CliError, LoadSnafu, UnwritableFileSnafu};
use crate::output::CommandOutput;
use crocusyard_base::prelude::ClockTime;
use crocusyard_load::prelude::*;
use snafu::ResultExt;
use std::path::Path;

/// Exit code of a run that found defects.
const DEFECT_CODE: u8 = 4;
/// Bound on times from the command line that keeps them from overflowing; the plan's own check is
/// stricter.
const SECONDS_MAX: u64 = 86_400;

pub(crate) async fn run_load_command(
    arguments: &CliArguments,
    command: &LoadCommand,
) -> Result<CommandOutput, CliError> {
    let plan = plan_of(arguments, command);
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
        output.exit_code = DEFECT_CODE;
    }
    Ok(output)
}

fn plan_of(arguments: &CliArguments, command: &LoadCommand) -> LoadPlan {
    let defaults = LoadPlan::default();
    let chats_only = MixShares {
        chat: 1.0,
        get: 0.0,
        post: 0.0,
    };
    let usual_mix = if command.service.is_empty() {
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
        plain: command.plain.clone(),
        shape: command.shape,
        rate: command.rate,
        span: ClockTime::from_secs(command.seconds.min(SECONDS_MAX)),
        calls: command.calls,
        seed: command.seed,
        models: command.model.clone(),
        services: command.service.clone(),
        tenants: command.tenant.clone(),
        skew: command.skew,
        mix: command.mix.unwrap_or(usual_mix),
        tokens: command.tokens,
        batch_share: command.batch_share,
        in_flight: command.in_flight,
        drain: ClockTime::from_secs(command.drain_seconds.min(SECONDS_MAX)),
    }
}
