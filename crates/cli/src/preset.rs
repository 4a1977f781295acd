//! Commands `preset list|show|diff|apply|activate|history`, which show and change presets.

use crate::arguments::{
    ActivatePresetCommand, ApplyFileCommand, DiffCommand, HistoryCommand, ShowCommand,
};
use crate::check::{invalid_file, read_catalog_file};
use crate::client::{ChangeRefusal, HostClient};
use crate::error::CliError;
use crate::output::{format_table, CommandOutput};
use chrono::DateTime;
use crocusyard_border::admin::{
    ActivateCommand, ApplyCommand, ChangeReply, HistoryReply, PresetBodyReply, PresetListReply,
    ProblemsReply,
};
use crocusyard_catalog::prelude::{diff_catalogs, CatalogSpec, InputProblem};

pub(crate) async fn run_list(client: &HostClient, json: bool) -> Result<CommandOutput, CliError> {
    let list = read_list(client).await?;
    if json {
        return Ok(CommandOutput::from_json(&list));
    }
    let mut text = format!("version {}\n", list.version);
    for name in &list.presets {
        let marker = if *name == list.in_force { "*" } else { " " };
        text += &format!("{marker} {name}\n");
    }
    Ok(CommandOutput::from_text(text))
}

pub(crate) async fn run_show(
    client: &HostClient,
    command: &ShowCommand,
    json: bool,
) -> Result<CommandOutput, CliError> {
    let version = match command.version {
        Some(version) => version,
        None => read_list(client).await?.version,
    };
    let body = read_body(client, version).await?;
    if json {
        return Ok(CommandOutput::from_json(&body));
    }
    // The first line is a YAML comment, so that the output can be edited and applied.
    let header = format!(
        "# version {}, preset in force {}, digest {}\n",
        body.version, body.in_force, body.digest
    );
    Ok(CommandOutput::from_text(header + &body.catalog))
}

pub(crate) async fn run_diff(
    client: &HostClient,
    command: &DiffCommand,
    json: bool,
) -> Result<CommandOutput, CliError> {
    let (_, new_catalog) = read_catalog_file(&command.file)?;
    let version = read_list(client).await?.version;
    let current = if version == 0 {
        CatalogSpec::default()
    } else {
        parse_body(&read_body(client, version).await?)?
    };
    let diff = diff_catalogs(&current, &new_catalog);
    if json {
        return Ok(CommandOutput::from_json(&diff));
    }
    let mut lines = diff.lines();
    lines.insert(
        0,
        format!(
            "{} to version {version}",
            format_change_count(diff.changes.len())
        ),
    );
    Ok(CommandOutput::from_text(lines.join("\n")))
}

pub(crate) async fn run_apply(
    client: &HostClient,
    command: &ApplyFileCommand,
    json: bool,
) -> Result<CommandOutput, CliError> {
    let (catalog, _) = read_catalog_file(&command.file)?;
    let base_version = base_version(client, command.base_version).await?;
    let body = ApplyCommand {
        catalog,
        base_version: Some(base_version),
        author: command.author.clone(),
    };
    let reply = client.post_change("/admin/presets/apply", &body).await;
    change_output(reply, &command.file, json)
}

pub(crate) async fn run_activate(
    client: &HostClient,
    command: &ActivatePresetCommand,
    json: bool,
) -> Result<CommandOutput, CliError> {
    let base_version = base_version(client, command.base_version).await?;
    let body = ActivateCommand {
        name: command.name.clone(),
        base_version: Some(base_version),
        author: command.author.clone(),
    };
    let reply = client.post_change("/admin/presets/activate", &body).await;
    change_output(reply, "activate", json)
}

pub(crate) async fn run_history(
    client: &HostClient,
    command: &HistoryCommand,
    json: bool,
) -> Result<CommandOutput, CliError> {
    let query = [("limit", command.limit.to_string())];
    let history: HistoryReply = client.get("/admin/presets/history", &query).await?;
    if json {
        return Ok(CommandOutput::from_json(&history));
    }
    let rows = history
        .entries
        .into_iter()
        .map(|entry| {
            vec![
                entry.version.to_string(),
                format_time(entry.unix_ms),
                entry.author,
                entry.in_force,
                entry.digest.chars().take(12).collect(),
            ]
        })
        .collect();
    let header = ["version", "time", "author", "in force", "digest"];
    Ok(CommandOutput::from_text(format_table(
        "versions", &header, rows,
    )))
}

async fn read_list(client: &HostClient) -> Result<PresetListReply, CliError> {
    client.get("/admin/presets", &[]).await
}

async fn read_body(client: &HostClient, version: u64) -> Result<PresetBodyReply, CliError> {
    client.get(&format!("/admin/presets/{version}"), &[]).await
}

/// Returns the version that a change is based on.
///
/// Without the option it is the version in force now, so that a change by another operator between
/// this read and the command is detected.
async fn base_version(client: &HostClient, requested: Option<u64>) -> Result<u64, CliError> {
    match requested {
        Some(version) => Ok(version),
        None => Ok(read_list(client).await?.version),
    }
}

/// Parses the catalogue of a version. It is not checked, because older versions passed other
/// checks.
fn parse_body(body: &PresetBodyReply) -> Result<CatalogSpec, CliError> {
    serde_yaml_ng::from_str(&body.catalog).map_err(|error| CliError::MalformedAnswer {
        host: format!("the host (version {})", body.version),
        cause: error.to_string(),
    })
}

/// Formats the result of a change. `origin` is the file or command that problems are attributed to.
fn change_output(
    reply: Result<ChangeReply, ChangeRefusal>,
    origin: &str,
    json: bool,
) -> Result<CommandOutput, CliError> {
    let reply = match reply {
        Ok(reply) => reply,
        Err(ChangeRefusal::Problems(problems)) => return Err(invalid_change(origin, problems)),
        Err(ChangeRefusal::Other(error)) => return Err(error),
    };
    if json {
        return Ok(CommandOutput::from_json(&reply));
    }
    if !reply.changed {
        let text = format!("no change; version {} is in force", reply.version);
        return Ok(CommandOutput::from_text(text));
    }
    let mut lines = vec![format!("version {} is in force", reply.version)];
    lines.extend(reply.diff);
    Ok(CommandOutput::from_text(lines.join("\n")))
}

fn invalid_change(origin: &str, reply: ProblemsReply) -> CliError {
    let problems: Vec<InputProblem> = reply
        .problems
        .into_iter()
        .map(|problem| InputProblem::new(problem.line, problem.path, problem.expected))
        .collect();
    invalid_file(origin, &problems)
}

fn format_change_count(count: usize) -> String {
    match count {
        0 => "no change".to_owned(),
        1 => "1 change".to_owned(),
        _ => format!("{count} changes"),
    }
}

fn format_time(unix_ms: u64) -> String {
    i64::try_from(unix_ms)
        .ok()
        .and_then(DateTime::from_timestamp_millis)
        .map_or_else(
            || unix_ms.to_string(),
            |time| time.format("%Y-%m-%d %H:%M:%S UTC").to_string(),
        )
}
