//! Command-line arguments of all commands.
//!
//! Each command has a struct. Its fields have the names of the command's options, and its doc
//! comments are the text of the command's help.

use argh::FromArgs;
use crocusyard_load::prelude::{ArrivalShape, MixShares};
use std::net::SocketAddr;

/// Serves hundreds of language models and adapters from fewer accelerators.
///
/// The options listed here must come before the command.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(
    example = "Start a host:\n{command_name} serve --settings entry-1.yaml",
    example = "Show the state of a running host:\n{command_name} --host 10.0.0.1:7000 status",
    example = "Change the catalogue:\n\
               {command_name} --host 10.0.0.1:7000 preset diff catalog.yaml\n\
               {command_name} --host 10.0.0.1:7000 preset apply catalog.yaml --author ana",
    note = "The operator key is read from --key-file, or else from the environment variable \
            CROCUSYARD_OPERATOR_KEY.",
    error_code(1, "The command failed."),
    error_code(2, "A file is invalid; its problems are listed."),
    error_code(3, "Another change of the presets came first; its diff is shown."),
    error_code(4, "A load run found wrong, partial or duplicate answers.")
)]
pub struct CliArguments {
    /// address and port of the entry host to call (127.0.0.1:7000 by default)
    #[argh(option, default = "default_host()")]
    pub host: SocketAddr,
    /// file that holds the operator key
    #[argh(option)]
    pub key_file: Option<String>,
    /// timeout of a call to the host, milliseconds (10000 by default)
    #[argh(option, default = "10_000")]
    pub timeout_ms: u64,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// command to run
    #[argh(subcommand)]
    pub command: CliCommand,
}

fn default_host() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000))
}

/// One of the commands, with its arguments.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum CliCommand {
    /// Runs an entry host in this process.
    Serve(ServeCommand),
    /// Runs an entry host on the users' platform.
    Entry(EntryCommand),
    /// Checks settings and catalogue files.
    Check(CheckCommand),
    /// Shows or changes the presets of a running host.
    Preset(PresetCommand),
    /// Shows the state of a running host.
    Status(StatusCommand),
    /// Shows the entry addresses for a model or service.
    Ask(AskCommand),
    /// Starts the planned stop of a running host.
    Drain(DrainHostCommand),
    /// Sends load to running hosts and checks the answers.
    Load(LoadCommand),
}

/// Run an entry host until a signal or an operator stops it.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {
    /// settings file of the host
    #[argh(option)]
    pub settings: String,
}

/// Run an entry host on the users' platform until the platform stops it.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryCommand {
    /// settings file of the platform (by default the file that the platform's environment names)
    #[argh(option)]
    pub settings: Option<String>,
    /// largest number of log lines per second (500 by default)
    #[argh(option, default = "500")]
    pub log_lines: u64,
    /// only validate the settings file, then exit
    #[argh(switch)]
    pub check: bool,
}

/// Check settings and catalogue files and list all problems.
///
/// Each problem is printed as `file:line: key path: what was expected`. A catalogue file that is
/// named in a settings file is checked too.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// settings or catalogue files to check
    #[argh(positional, arg_name = "file")]
    pub files: Vec<String>,
}

/// Show the presets of a running host, or change them.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "preset")]
pub struct PresetCommand {
    /// action to take
    #[argh(subcommand)]
    pub action: PresetAction,
}

/// An action on presets, with its arguments.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum PresetAction {
    /// Lists the presets of the catalogue.
    List(ListCommand),
    /// Prints the catalogue of a version.
    Show(ShowCommand),
    /// Shows what a catalogue file would change.
    Diff(DiffCommand),
    /// Puts a new catalogue in force.
    Apply(ApplyFileCommand),
    /// Puts another preset of the catalogue in force.
    Activate(ActivatePresetCommand),
    /// Lists the latest versions.
    History(HistoryCommand),
}

/// List the presets of the catalogue and mark the one in force.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {}

/// Print the catalogue of a version as YAML.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowCommand {
    /// number of the version (the one in force by default)
    #[argh(positional)]
    pub version: Option<u64>,
}

/// Show what a catalogue file would change if it came into force.
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
    /// name of the person who makes the change
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
    /// version that the choice is based on; the change is refused if another one is in force. By
    /// default it is the version in force when the command starts
    #[argh(option)]
    pub base_version: Option<u64>,
    /// name of the person who makes the change
    #[argh(option)]
    pub author: String,
}

/// List the latest versions with their authors.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryCommand {
    /// largest number of versions to list (20 by default)
    #[argh(option, default = "20")]
    pub limit: u32,
}

/// Show the state of a host, and its view of other hosts and of the targets.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

/// Show which entry addresses to use for a model or service.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "ask")]
pub struct AskCommand {
    /// name of the model or adapter
    #[argh(option)]
    pub model: Option<String>,
    /// name of the plain service
    #[argh(option)]
    pub service: Option<String>,
    /// entry address that was tried last and failed
    #[argh(option)]
    pub last: Option<SocketAddr>,
}

/// Start the planned stop of the host that is called.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainHostCommand {}

/// Send open-loop calls to entry hosts on loopback addresses and check the answers.
///
/// Targets must be the stand-ins, whose answers can be checked. Each run needs a seed that the
/// deployment has not seen, because the idempotency keys of calls that may run only once are made
/// from it.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadCommand {
    /// address of an entry host that lists the entry addresses; may be repeated (by default the
    /// host that all commands call)
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// address of a plain service stand-in that reports at the end which calls ran; may be repeated
    #[argh(option)]
    pub plain: Vec<SocketAddr>,
    /// shape of the arrivals: constant, poisson, bursty, day or shift (poisson by default)
    #[argh(option, default = "ArrivalShape::Poisson")]
    pub shape: ArrivalShape,
    /// mean arrival rate, calls per second (20 by default)
    #[argh(option, default = "20.0")]
    pub rate: f64,
    /// length of the run in which calls arrive, seconds (10 by default, at most 3600)
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// largest number of calls (100000 by default)
    #[argh(option, default = "100_000")]
    pub calls: usize,
    /// seed of the arrival schedule (1 by default)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// name of a model or adapter, the most popular first; may be repeated (by default all that the
    /// host serves)
    #[argh(option)]
    pub model: Vec<String>,
    /// name of a plain service, the most popular first; may be repeated
    #[argh(option)]
    pub service: Vec<String>,
    /// name of a tenant, the most active first; may be repeated
    #[argh(option)]
    pub tenant: Vec<String>,
    /// exponent of the Zipf distributions of models, services and tenants (1 by default)
    #[argh(option, default = "1.0")]
    pub skew: f64,
    /// shares of chats, plain reads and keyed calls (70,20,10 by default; 1,0,0 without a service)
    #[argh(option)]
    pub mix: Option<MixShares>,
    /// length of the answers to small chats, tokens (32 by default)
    #[argh(option, default = "32")]
    pub tokens: u32,
    /// fraction of chats in the class batch; the others are interactive (0 by default)
    #[argh(option, default = "0.0")]
    pub batch_share: f64,
    /// largest number of calls in progress; calls above it are dropped and counted (4096 by
    /// default)
    #[argh(option, default = "4096")]
    pub in_flight: usize,
    /// time that calls have to end after the last arrival, seconds (30 by default)
    #[argh(option, default = "30")]
    pub drain_seconds: u64,
    /// file to which the report is written as JSON
    #[argh(option)]
    pub json_out: Option<String>,
    /// file to which a plot of the run is written as SVG
    #[argh(option)]
    pub plot: Option<String>,
}
