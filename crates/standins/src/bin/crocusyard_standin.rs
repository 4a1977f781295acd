//! Runs one stand-in in a process of its own, until it is killed.

use argh::FromArgs;
use crocusyard_standins::prelude::*;
use std::net::SocketAddr;

/// Runs one stand-in until it is killed. Prints `listening ADDRESS` when it is ready.
#[derive(FromArgs)]
struct StandinArgs {
    #[argh(subcommand)]
    kind: StandinKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandinKind {
    Engine(EngineArgs),
    Plain(PlainArgs),
    Platform(PlatformArgs),
}

/// Simulated model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// accelerator memory, bytes
    #[argh(option, default = "16 << 30")]
    memory_bytes: u64,
    /// model resident at the start, as NAME=BYTES; may be repeated
    #[argh(option, from_str_fn(parse_resident))]
    resident: Vec<(String, u64)>,
    /// adapter that is loaded on demand while its base model is resident, as NAME=MODEL=BYTES; may
    /// be repeated
    #[argh(option, from_str_fn(parse_adapter))]
    adapter: Vec<LoadableAdapter>,
    /// requests that can run at the same time
    #[argh(option, default = "16")]
    concurrency: u32,
    /// prefill rate, tokens a second
    #[argh(option, default = "20000.0")]
    prefill_rate: f64,
    /// time between tokens of one stream, milliseconds
    #[argh(option, default = "5")]
    token_ms: u64,
    /// accept orders with an outdated fencing number
    #[argh(switch)]
    ignores_fencing: bool,
    /// address of the weight store; without it a load takes its time at full speed
    #[argh(option)]
    weights: Option<SocketAddr>,
    /// exit when a prompt contains the crash marker
    #[argh(switch)]
    crashes: bool,
    /// age of the figures in load reports, milliseconds
    #[argh(option, default = "0")]
    report_lag_ms: u64,
    /// print a line for each call that starts
    #[argh(switch)]
    print_runs: bool,
}

/// Simulated instance of a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "plain")]
struct PlainArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// time that each call takes, milliseconds
    #[argh(option, default = "2")]
    service_ms: u64,
    /// print a line for each call that starts
    #[argh(switch)]
    print_runs: bool,
}

/// Simulated platform: table service, object store, weight store and host list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// concurrent weight loads that run at full speed
    #[argh(option, default = "15")]
    loads_at_once: u32,
}

fn parse_resident(text: &str) -> Result<(String, u64), String> {
    let (name, bytes) = text.split_once('=').ok_or("expected NAME=BYTES")?;
    let bytes = bytes
        .parse()
        .map_err(|error| format!("invalid BYTES: {error}"))?;
    Ok((name.to_owned(), bytes))
}

fn parse_adapter(text: &str) -> Result<LoadableAdapter, String> {
    let expected = "expected NAME=MODEL=BYTES";
    let (name, rest) = text.split_once('=').ok_or(expected)?;
    let (model, bytes) = rest.split_once('=').ok_or(expected)?;
    Ok(LoadableAdapter {
        name: name.to_owned(),
        model: model.to_owned(),
        memory_bytes: bytes
            .parse()
            .map_err(|error| format!("invalid BYTES: {error}"))?,
    })
}

#[actix_web::main]
async fn main() -> std::io::Result<()> {
    let args: StandinArgs = argh::from_env();
    let prints_runs = match &args.kind {
        StandinKind::Engine(args) => args.print_runs,
        StandinKind::Plain(args) => args.print_runs,
        StandinKind::Platform(_) => false,
    };
    if prints_runs {
        print_runs();
    }
    let server = match args.kind {
        StandinKind::Engine(args) => start_engine(engine_options(args))?,
        StandinKind::Plain(args) => start_plain(PlainOptions {
            listen: args.listen,
            service_ms: args.service_ms,
        })?,
        StandinKind::Platform(args) => start_platform(PlatformOptions {
            listen: args.listen,
            listing: crocusyard_border::platform::HostListing {
                hosts: Vec::new(),
                targets: Vec::new(),
            },
            loads_at_once: args.loads_at_once,
        })?,
    };
    println!("listening {}", server.address);
    std::future::pending().await
}

fn engine_options(args: EngineArgs) -> EngineOptions {
    EngineOptions {
        listen: args.listen,
        memory_bytes: args.memory_bytes,
        resident: args.resident,
        adapters: args.adapter,
        concurrency: args.concurrency,
        prefill_rate: args.prefill_rate,
        token_ms: args.token_ms,
        checks_fencing: !args.ignores_fencing,
        weight_store: args.weights,
        crashes_on_marker: args.crashes,
        report_lag_ms: args.report_lag_ms,
    }
}
