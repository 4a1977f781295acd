//! Commands `status` and `drain`: the state of a host, and its planned stop.

use crate::client::HostClient;
use crate::error::CliError;
use crate::output::{format_table, CommandOutput};
use crocusyard_border::admin::{DrainCommand, StatusReply, TargetStatus};

/// Bytes per gibibyte.
const GIB: f64 = (1u64 << 30) as f64;

pub(crate) async fn run_status(client: &HostClient, json: bool) -> Result<CommandOutput, CliError> {
    let status: StatusReply = client.get("/admin/status", &[]).await?;
    if json {
        return Ok(CommandOutput::from_json(&status));
    }
    Ok(CommandOutput::from_text(format_status(status)))
}

pub(crate) async fn run_drain(client: &HostClient, json: bool) -> Result<CommandOutput, CliError> {
    let reply: DrainCommand = client.post("/admin/drain", &DrainCommand {}).await?;
    if json {
        return Ok(CommandOutput::from_json(&reply));
    }
    Ok(CommandOutput::from_text("the host is leaving"))
}

fn format_status(status: StatusReply) -> String {
    let mut text = format!(
        "host {} in {}: {}{}, preset {} version {}\n",
        status.host,
        status.domain,
        if status.ready { "ready" } else { "not ready" },
        if status.leaving { ", leaving" } else { "" },
        status.preset,
        status.preset_version,
    );
    let members = status
        .members
        .into_iter()
        .map(|member| vec![member.name, member.domain, member.state, member.address])
        .collect();
    text += &format_table("members", &["name", "domain", "state", "address"], members);
    let targets = status.targets.iter().map(target_row).collect();
    let header = ["name", "domain", "state", "running", "copies", "memory"];
    text += &format_table("targets", &header, targets);
    let leases = status
        .leases
        .into_iter()
        .map(|lease| vec![lease.region, lease.holder, lease.fencing.to_string()])
        .collect();
    text += &format_table("leases", &["region", "holder", "fencing"], leases);
    let moves = status
        .moves
        .into_iter()
        .map(|order| {
            vec![
                order.order,
                order.target,
                order.action,
                order.name,
                order.state,
            ]
        })
        .collect();
    let header = ["order", "target", "action", "name", "state"];
    text += &format_table("moves", &header, moves);
    text
}

fn target_row(target: &TargetStatus) -> Vec<String> {
    let copies: Vec<String> = target
        .copies
        .iter()
        .map(|copy| format!("{} ({})", copy.name, copy.state))
        .collect();
    let memory: u64 = target.copies.iter().map(|copy| copy.memory_bytes).sum();
    vec![
        target.name.clone(),
        target.domain.clone(),
        if target.leaving { "leaving" } else { "in use" }.to_owned(),
        target.running.to_string(),
        copies.join(", "),
        format!("{:.1} GiB", memory as f64 / GIB),
    ]
}
