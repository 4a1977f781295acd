//! Measures what an entry host adds to an engine: time to the first token, time between tokens and
//! processor time for each token.
//!
//! Engines, platform and one entry host run in processes of their own. Streams go directly to an
//! engine and through the host in turn, so that both run under the same conditions.
//!
//! Build the workspace first: `cargo build --release --workspace`.

mod common;

use argh::FromArgs;
use bytes::Bytes;
use common::{cpu_seconds, host_program};
use crocusyard_load::stats::quantile;
use crocusyard_testbed::prelude::*;
use futures_util::StreamExt;
use serde::Serialize;
use snafu::{OptionExt, ResultExt, Whatever};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Measure the cost of going through an entry host.
#[derive(FromArgs)]
struct OverheadArgs {
    /// streams at once while latencies are measured (8 by default)
    #[argh(option, default = "8")]
    streams: u32,
    /// rounds; each goes once directly and once through the host (30 by default)
    #[argh(option, default = "30")]
    rounds: u32,
    /// tokens of each stream in these rounds (25 by default)
    #[argh(option, default = "25")]
    tokens: u32,
    /// time between tokens in these rounds, milliseconds (20 by default)
    #[argh(option, default = "20")]
    token_ms: u64,
    /// prompt length, tokens of four bytes (1000 by default)
    #[argh(option, default = "1000")]
    prompt_tokens: usize,
    /// streams at once while throughput is measured (400 by default)
    #[argh(option, default = "400")]
    busy_streams: u32,
    /// tokens of each of these streams (1000 by default)
    #[argh(option, default = "1000")]
    busy_tokens: u32,
    /// time between tokens of these streams, milliseconds (10 by default)
    #[argh(option, default = "10")]
    busy_token_ms: u64,
    /// file for the figures as JSON
    #[argh(option)]
    json_out: Option<String>,
}

/// Latencies of one path to the engine.
#[derive(Clone, Default, Serialize)]
struct PathFigures {
    streams: usize,
    first_p50_us: u64,
    first_p95_us: u64,
    gap_mean_us: f64,
    gap_p50_us: u64,
    gap_p95_us: u64,
    gap_p99_us: u64,
}

/// Throughput of one path to the engines.
#[derive(Clone, Default, Serialize)]
struct BusyFigures {
    tokens: u64,
    seconds: f64,
    tokens_per_second: f64,
    /// Processor time of the host, seconds; 0 on the direct path.
    host_cpu_seconds: f64,
    tokens_per_core_second: f64,
}

#[derive(Serialize)]
struct OverheadReport {
    direct: PathFigures,
    through_host: PathFigures,
    first_ratio_p50: f64,
    gap_ratio_mean: f64,
    gap_ratio_p95: f64,
    busy_direct: BusyFigures,
    busy_through_host: BusyFigures,
}

/// Times of one stream.
struct StreamTimes {
    first_us: u64,
    gaps_us: Vec<u64>,
    tokens: u64,
}

#[actix_rt::main]
async fn main() -> Result<(), Whatever> {
    let args: OverheadArgs = argh::from_env();
    let (direct, through_host) = measure_latency(&args).await?;
    let (busy_direct, busy_through_host) = measure_throughput(&args).await?;
    let report = OverheadReport {
        first_ratio_p50: through_host.first_p50_us as f64 / direct.first_p50_us.max(1) as f64,
        gap_ratio_mean: through_host.gap_mean_us / direct.gap_mean_us.max(1.0),
        gap_ratio_p95: through_host.gap_p95_us as f64 / direct.gap_p95_us.max(1) as f64,
        direct,
        through_host,
        busy_direct,
        busy_through_host,
    };
    print_report(&report);
    if let Some(file) = &args.json_out {
        let json = serde_json::to_string_pretty(&report)
            .whatever_context("the figures cannot be encoded as JSON")?;
        std::fs::write(file, json).whatever_context("the file of the figures cannot be written")?;
    }
    Ok(())
}

fn print_report(report: &OverheadReport) {
    println!(
        "{:<14} {:>8} {:>10} {:>10} {:>10} {:>9} {:>9} {:>9}",
        "way", "streams", "first p50", "first p95", "gap mean", "gap p50", "gap p95", "gap p99"
    );
    for (way, path) in [
        ("direct", &report.direct),
        ("through host", &report.through_host),
    ] {
        println!(
            "{way:<14} {:>8} {:>10} {:>10} {:>10.0} {:>9} {:>9} {:>9}  us",
            path.streams,
            path.first_p50_us,
            path.first_p95_us,
            path.gap_mean_us,
            path.gap_p50_us,
            path.gap_p95_us,
            path.gap_p99_us
        );
    }
    println!(
        "ratios: first token p50 {:.3}, between tokens mean {:.4}, p95 {:.4}",
        report.first_ratio_p50, report.gap_ratio_mean, report.gap_ratio_p95
    );
    for (way, busy) in [
        ("direct", &report.busy_direct),
        ("through host", &report.busy_through_host),
    ] {
        println!(
            "busy {way:<14} {:>9} tokens in {:.2} s: {:.0} tokens/s; host CPU {:.2} s: {:.0} \
             tokens per core second",
            busy.tokens,
            busy.seconds,
            busy.tokens_per_second,
            busy.host_cpu_seconds,
            busy.tokens_per_core_second
        );
    }
}

/// Starts one host and the first engines of the sample catalogue, with limits high enough for all
/// streams.
async fn start(token_ms: u64, engines: usize) -> Result<ProcessDeployment, Whatever> {
    let program = host_program().whatever_context(
        "the host program is missing: build the workspace in the same profile first",
    )?;
    let mut catalog = sample_catalog();
    let mut engine_count = 0;
    catalog.targets.retain(|target| {
        engine_count += usize::from(target.memory_bytes > 0);
        target.memory_bytes == 0 || engine_count <= engines
    });
    // The presets of the sample need both of its engines.
    for preset in &mut catalog.presets {
        preset.copies.clear();
    }
    for target in &mut catalog.targets {
        target.concurrency = 1024;
    }
    for tenant in &mut catalog.tenants {
        tenant.in_flight = 10_000;
    }
    for class in &mut catalog.classes {
        class.queue_limit = 10_000;
    }
    let token_ms = token_ms.to_string();
    let engine_args = [
        "--resident",
        "chalk-small=4000000000",
        "--concurrency",
        "1024",
        "--token-ms",
        &token_ms,
    ];
    let settings = "requests: { tenant_from: header }\n";
    ProcessDeployment::start(&program, 1, catalog, &engine_args, settings).await
}

async fn measure_latency(args: &OverheadArgs) -> Result<(PathFigures, PathFigures), Whatever> {
    let deployment = start(args.token_ms, 1).await?;
    let paths = [
        deployment.targets[0].address,
        deployment.addresses[0].callers,
    ];
    let client = new_client();
    let mut times: [Vec<StreamTimes>; 2] = Default::default();
    let mut number = 0;
    for round in 0..=args.rounds {
        for (way, address) in paths.iter().enumerate() {
            let mut streams = Vec::new();
            for _ in 0..args.streams {
                number += 1;
                let body = chat_body(number, args.prompt_tokens, args.tokens);
                streams.push(read_stream(&client, *address, number, body));
            }
            let ended = futures_util::future::join_all(streams).await;
            // The first round is not counted, because it opens the connections.
            if round > 0 {
                for stream in ended {
                    times[way].push(stream?);
                }
            }
        }
    }
    let [direct, through_host] = times;
    Ok((path_figures(&direct), path_figures(&through_host)))
}

fn path_figures(streams: &[StreamTimes]) -> PathFigures {
    let first: Vec<u64> = streams.iter().map(|stream| stream.first_us).collect();
    let gaps: Vec<u64> = streams
        .iter()
        .flat_map(|stream| stream.gaps_us.iter().copied())
        .collect();
    PathFigures {
        streams: streams.len(),
        first_p50_us: quantile(&first, 0.5),
        first_p95_us: quantile(&first, 0.95),
        gap_mean_us: gaps.iter().sum::<u64>() as f64 / gaps.len().max(1) as f64,
        gap_p50_us: quantile(&gaps, 0.5),
        gap_p95_us: quantile(&gaps, 0.95),
        gap_p99_us: quantile(&gaps, 0.99),
    }
}

async fn measure_throughput(args: &OverheadArgs) -> Result<(BusyFigures, BusyFigures), Whatever> {
    let deployment = start(args.busy_token_ms, 2).await?;
    let engines = [deployment.targets[0].address, deployment.targets[1].address];
    let host = deployment.hosts[0].id();
    let entry = [deployment.addresses[0].callers];
    let direct = run_busy(args, &engines, 1 << 20, None).await?;
    let through = run_busy(args, &entry, 1 << 21, Some(host)).await?;
    Ok((direct, through))
}

async fn run_busy(
    args: &OverheadArgs,
    addresses: &[SocketAddr],
    first_number: u64,
    host: Option<u32>,
) -> Result<BusyFigures, Whatever> {
    let client = new_client();
    let cpu = || host.and_then(cpu_seconds).unwrap_or_default();
    let (start, cpu_start) = (Instant::now(), cpu());
    let streams = (0..u64::from(args.busy_streams)).map(|index| {
        let number = first_number + index;
        let address = addresses[index as usize % addresses.len()];
        let body = chat_body(number, 16, args.busy_tokens);
        read_stream(&client, address, number, body)
    });
    let mut tokens = 0;
    for stream in futures_util::future::join_all(streams).await {
        tokens += stream?.tokens;
    }
    let seconds = start.elapsed().as_secs_f64();
    let host_cpu_seconds = cpu() - cpu_start;
    Ok(BusyFigures {
        tokens,
        seconds,
        tokens_per_second: tokens as f64 / seconds,
        host_cpu_seconds,
        tokens_per_core_second: if host_cpu_seconds > 0.0 {
            tokens as f64 / host_cpu_seconds
        } else {
            0.0
        },
    })
}

fn new_client() -> awc::Client {
    awc::Client::builder()
        .connector(awc::Connector::new().limit(0))
        .timeout(Duration::from_secs(120))
        .finish()
}

/// Returns a chat body with a unique prompt, so that the prefix cache has no effect.
fn chat_body(number: u64, prompt_tokens: usize, tokens: u32) -> Bytes {
    let mut prompt = format!("{number:08} ");
    while prompt.len() < prompt_tokens * 4 {
        prompt.push_str("chalk ");
    }
    let body = serde_json::json!({
        "model": "chalk-small",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    });
    Bytes::from(body.to_string())
}

async fn read_stream(
    client: &awc::Client,
    address: SocketAddr,
    number: u64,
    body: Bytes,
) -> Result<StreamTimes, Whatever> {
    let start = Instant::now();
    let sent = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("content-type", "application/json"))
        .insert_header(("x-tenant", "plazas"))
        // Engines need an attempt id; the host generates its own.
        .insert_header(("x-attempt-id", format!("{number:032x}")))
        .send_body(body)
        .await;
    let mut response = sent
        .ok()
        .whatever_context("the request cannot be sent or answered")?;
    if !response.status().is_success() {
        snafu::whatever!("the request is refused with status {}", response.status());
    }
    let mut times = StreamTimes {
        first_us: 0,
        gaps_us: Vec::new(),
        tokens: 0,
    };
    let mut last: Option<Instant> = None;
    let mut is_whole = false;
    while let Some(part) = response.next().await {
        let bytes = part.whatever_context("the connection of the stream breaks")?;
        let now = Instant::now();
        let has_end = bytes.ends_with(b"\ndata: [DONE]\n\n");
        let events = bytes.windows(7).filter(|text| text == b"\ndata: ").count() as u64;
        let events = events - u64::from(has_end);
        is_whole |= bytes.ends_with(b"data: [DONE]\n\n");
        if events == 0 {
            continue;
        }
        times.tokens += events;
        match last.replace(now) {
            None => times.first_us = micros(now - start),
            Some(last) => times.gaps_us.push(micros(now - last)),
        }
    }
    if !is_whole {
        snafu::whatever!("the stream ends without [DONE]");
    }
    Ok(times)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
