//! Command `entry`: runs an entry host on the users' platform.

use crate::arguments::EntryCommand;
use crate::error::{CliError, EntrySnafu, LoggingSnafu, PlatformSettingsSnafu};
use crate::output::CommandOutput;
use crocusyard_adapter::prelude::read_settings;
use crocusyard_adapter::settings::SETTINGS_VARIABLE;
use crocusyard_edge::prelude::run_edge;
use crocusyard_logging::prelude::start_queued_logging;
use crocusyard_settings::prelude::LogSettings;
use snafu::ResultExt;

pub(crate) async fn run_entry(command: &EntryCommand) -> Result<CommandOutput, CliError> {
    let path = command
        .settings
        .clone()
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .unwrap_or_default();
    let settings = read_settings(&path).context(PlatformSettingsSnafu)?;
    if command.check {
        return Ok(CommandOutput::default());
    }
    start_queued_logging(&LogSettings::default(), command.log_lines).context(LoggingSnafu)?;
    let ended = run_edge(settings).await;
    log::logger().flush();
    ended.context(EntrySnafu)?;
    Ok(CommandOutput::default())
}
