//! Arguments of all commands.
//!
//! Structs of subcommands have the names of the commands in two words; their fields have the names
//! of the options.

use argh::FromArgs;
use crocusyard_load::prelude::{ArrivalShape, MixShares};
use std::net::SocketAddr;

/// Serves hundreds of language models and adapters from fewer accelerators.
///
/// Options of this list come before the command.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(
    example = "Start a host:\n{command_name} serve --settings entry-1.yaml",
    example = "Look at a running host:\n{command_name} --host 10.0.0.1:7000 status",
    example = "Change the catalogue:\n\
               {command_name} --host 10.0.0.1:7000 preset diff catalog.yaml\n\
               {command_name} --host 10.0.0.1:7000 preset apply catalog.yaml --author ana",
    note = "The operator key is read from --key-file, or else from the environment variable \
            CROCUSYARD_OPERATOR_KEY.",
    error_code(1, "The command failed."),
    error_code(2, "A file has problems, which are listed."),
    error_code(3, "Another change of the presets came first; its diff is shown."),
    error_code(4, "A load run found wrong, partial or duplicate answers.")
)]
pub struct CliArguments {
    /// address and port of an entry host (127.0.0.1:7000 by default)
    #[argh(option, default = "default_host()")]
    pub host: SocketAddr,
    /// file that holds the operator key
    #[argh(option)]
    pub key_file: Option<String>,
    /// time limit of a call to the host, milliseconds (10000 by default)
    #[argh(option, default = "10_000")]
    pub timeout_ms: u64,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// command
    #[argh(subcommand)]
    pub command: CliCommand,
}

fn default_host() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000))
}

/// A command.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum CliCommand {
    /// Runs a host.
    Serve(ServeCommand),
    /// Runs a host on the users' platform.
    Entry(EntryCommand),
    /// Checks files.
    Check(CheckCommand),
    /// Presets.
    Preset(PresetCommand),
    /// State of a host.
    Status(StatusCommand),
    /// Entry addresses.
    Ask(AskCommand),
    /// Planned stop.
    Drain(DrainHostCommand),
    /// Load on hosts.
    Load(LoadCommand),
}

/// Run an entry host until it is told to stop.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {
    /// settings file
    #[argh(option)]
    pub settings: String,
}

/// Run an entry host on the users' platform until it is told to stop.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryCommand {
    /// settings file of the platform (by default the one that the platform names)
    #[argh(option)]
    pub settings: Option<String>,
    /// log lines a second at most (500 by default)
    #[argh(option, default = "500")]
    pub log_lines: u64,
    /// check the settings file and end
    #[argh(switch)]
    pub check: bool,
}

/// Check settings and catalogue files and list every problem.
///
/// Each problem is printed as `file:line: key path: what was expected`. A catalogue that a settings
/// file names is checked too.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// files
    #[argh(positional, arg_name = "file")]
    pub files: Vec<String>,
}

/// Look at presets and change them.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "preset")]
pub struct PresetCommand {
    /// what to do
    #[argh(subcommand)]
    pub action: PresetAction,
}

/// What to do with presets.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum PresetAction {
    /// Names.
    List(ListCommand),
    /// Body of a version.
    Show(ShowCommand),
    /// Differences to a file.
    Diff(DiffCommand),
    /// New catalogue.
    Apply(ApplyFileCommand),
    /// Another preset.
    Activate(ActivatePresetCommand),
    /// Versions.
    History(HistoryCommand),
}

/// List the presets and mark the one in force.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {}

/// Print the catalogue of a version as YAML.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowCommand {
    /// version; the one in force by default
    #[argh(positional)]
    pub version: Option<u64>,
}

/// Show what applying a catalogue file would change.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffCommand {
    /// catalogue file
    #[argh(positional)]
    pub file: String,
}

/// Put a catalogue file in force as a new version.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyFileCommand {
    /// catalogue file
    #[argh(positional)]
    pub file: String,
    /// version that the file was edited from; the change is refused if another one is in force.
    /// By default it is the version in force when the command starts
    #[argh(option)]
    pub base_version: Option<u64>,
    /// who makes the change
    #[argh(option)]
    pub author: String,
}

/// Put another preset of the catalogue in force.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "activate")]
pub struct ActivatePresetCommand {
    /// name of the preset
    #[argh(positional)]
    pub name: String,
    /// version that the choice was made on; the change is refused if another one is in force. By
    /// default it is the version in force when the command starts
    #[argh(option)]
    pub base_version: Option<u64>,
    /// who makes the change
    #[argh(option)]
    pub author: String,
}

/// List the latest versions with their authors.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryCommand {
    /// number of versions (20 by default)
    #[argh(option, default = "20")]
    pub limit: u32,
}

/// Show the state of a host and what it knows of the others.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

/// Ask which entry addresses to use for a model or service.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct AskCommand {
    /// model or adapter
    #[argh(option)]
    pub model: Option<String>,
    /// plain service
    #[argh(option)]
    pub service: Option<String>,
    /// entry address that was used last and failed
    #[argh(option)]
    pub last: Option<SocketAddr>,
}

/// Begin the planned stop of the host that is addressed.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainHostCommand {}

/// Send open-loop load to entry hosts on loopback addresses and check the answers.
///
/// Targets must be the stand-ins, whose answers can be checked. Each run needs a seed that the
/// deployment has not seen, because the seed makes the keys of calls that may run only once.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// entry host that is asked for addresses; may be repeated (--host by default)
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// plain service stand-in that is asked at the end which calls ran; may be repeated
    #[argh(option)]
    pub plain: Vec<SocketAddr>,
    /// arrivals: constant, poisson, bursty, day or shift (poisson by default)
    #[argh(option, default = "ArrivalShape::Poisson")]
    pub shape: ArrivalShape,
    /// mean arrival rate, calls a second (20 by default)
    #[argh(option, default = "20.0")]
    pub rate: f64,
    /// time in which calls arrive, seconds (10 by default, at most 3600)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// most calls (100000 by default)
    #[argh(option, default = "100_000")]
    pub calls: usize,
    /// seed of the schedule (1 by default)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// model or adapter, most popular first; may be repeated (all that the host lists by default)
    #[argh(option)]
    pub model: Vec<String>,
    /// plain service, most popular first; may be repeated
    #[argh(option)]
    pub service: Vec<String>,
    /// tenant, most active first; may be repeated
    #[argh(option)]
    pub tenant: Vec<String>,
    /// exponent of the Zipf distributions of models, services and tenants (1 by default)
    #[argh(option, default = "1.0")]
    pub skew: f64,
    /// shares of chats, plain reads and keyed calls (70,20,10 by default; 1,0,0 without a service)
    #[argh(option)]
    pub mix: Option<MixShares>,
    /// answer length of small chats, tokens (32 by default)
    #[argh(option, default = "32")]
    pub tokens: u32,
    /// share of chats in class batch, the others being interactive (0 by default)
    #[argh(option, default = "0.0")]
    pub batch_share: f64,
    /// most calls in progress; more are dropped and counted (4096 by default)
    #[argh(option, default = "4096")]
    pub in_flight: usize,
    /// time after the last arrival in which calls may end, seconds (30 by default)
    #[argh(option, default = "30")]
    pub drain_seconds: u64,
    /// file for the report as JSON
    #[argh(option)]
    pub json_out: Option<String>,
    /// file for a plot as SVG
    #[argh(option)]
    pub plot: Option<String>,
}
