//! Command `serve`: runs an entry host in this process.

use crate::arguments::ServeCommand;
use crate::check::{invalid_file, read_checked_file, CheckedFile};
use crate::error::{CliError, LoggingSnafu, MissingKeySnafu};
use crate::host_entry::{run_host, HostInputs};
use crate::output::CommandOutput;
use crocusyard_catalog::prelude::InputProblem;
use crocusyard_logging::prelude::start_logging;
use crocusyard_settings::prelude::read_secret;
use snafu::ResultExt;

pub(crate) async fn run_serve(command: &ServeCommand) -> Result<CommandOutput, CliError> {
    let inputs = read_inputs(&command.settings)?;
    start_logging(&inputs.settings.log).context(LoggingSnafu)?;
    run_host(inputs).await?;
    Ok(CommandOutput::default())
}

fn read_inputs(file: &str) -> Result<HostInputs, CliError> {
    let CheckedFile::Settings(settings, catalog) = read_checked_file(file)? else {
        let problem = InputProblem::new(1, "", "settings of a host; this is a catalogue");
        return Err(invalid_file(file, &[problem]));
    };
    let operator_key =
        read_secret(&settings.keys.operator).context(MissingKeySnafu { name: "operator" })?;
    let gossip_key =
        read_secret(&settings.keys.gossip).context(MissingKeySnafu { name: "gossip" })?;
    Ok(HostInputs {
        settings: *settings,
        operator_key,
        gossip_key,
        catalog,
    })
}
