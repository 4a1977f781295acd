//! Command `ask`: the entry addresses for a model or service.

use crate::arguments::AskCommand;
use crate::client::HostClient;
use crate::error::CliError;
use crate::output::{format_table, CommandOutput};
use crocusyard_border::callers::AddressList;

pub(crate) async fn run_ask(
    client: &HostClient,
    command: &AskCommand,
    json: bool,
) -> Result<CommandOutput, CliError> {
    let mut query = match (&command.model, &command.service) {
        (Some(model), None) => vec![("model", model.clone())],
        (None, Some(service)) => vec![("service", service.clone())],
        _ => {
            let expected = "exactly one of --model and --service must be given";
            return Err(CliError::InvalidOptions { expected });
        }
    };
    if let Some(last) = command.last {
        query.push(("last", last.to_string()));
    }
    let reply: AddressList = client.get("/v1/addresses", &query).await?;
    if json {
        return Ok(CommandOutput::from_json(&reply));
    }
    let rows = reply
        .addresses
        .into_iter()
        .map(|entry| vec![entry.address, entry.domain, entry.weight.to_string()])
        .collect();
    let title = format!("addresses for {} ms", reply.ttl_ms);
    let text = format_table(&title, &["address", "domain", "weight"], rows);
    Ok(CommandOutput::from_text(text))
}
