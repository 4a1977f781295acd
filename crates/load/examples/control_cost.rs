//! Measures the cost of idle and lightly loaded entry hosts: processor share, resident memory and
//! control traffic, by the number of hosts and of targets.
//!
//! Every host, target and platform runs in a process of its own. Build the workspace first:
//! `cargo build --release --workspace`.

mod common;

use argh::FromArgs;
use common::{cpu_seconds, host_program, resident_bytes};
use crocusyard_base::prelude::*;
use crocusyard_load::prelude::*;
use crocusyard_testbed::prelude::*;
use serde::Serialize;
use snafu::{OptionExt, ResultExt, Whatever};
use std::time::{Duration, Instant};

/// Upper bound of the processes of a deployment, since other programs use the machine too.
const MAX_PROCESSES: usize = 400;
/// Rate of the light load, calls per second and host.
const LIGHT_RATE: f64 = 2.0;
/// Sizes of the deployments measured by default, as numbers of hosts and targets.
const SIZES: [(usize, usize); 5] = [(9, 21), (36, 21), (90, 21), (9, 63), (9, 126)];

/// Measure the cost of idle and lightly loaded entry hosts.
#[derive(FromArgs)]
struct ControlArgs {
    /// deployment as HOSTS:TARGETS; may be repeated (9:21, 36:21, 90:21, 9:63 and 9:126 by default)
    #[argh(option, from_str_fn(parse_size))]
    size: Vec<(usize, usize)>,
    /// length of each measurement, seconds (8 by default)
    #[argh(option, default = "8")]
    seconds: u64,
    /// seed of the light load (1 by default)
    #[argh(option, default = "1")]
    seed: u64,
    /// load reads per second and host (by default the hosts' own default)
    #[argh(option)]
    load_polls: Option<u32>,
    /// file for the figures as JSON
    #[argh(option)]
    json_out: Option<String>,
}

/// Returns the settings of the hosts; all omitted keys keep their defaults.
fn host_settings(args: &ControlArgs) -> String {
    let polls = args.load_polls;
    let polls = polls.map_or_else(String::new, |polls| format!(", load_polls: {polls}"));
    format!("requests: {{ tenant_from: header{polls} }}\n")
}

fn parse_size(text: &str) -> Result<(usize, usize), String> {
    let parts = text.split_once(':').and_then(|(hosts, targets)| {
        let (hosts, targets) = (hosts.parse().ok()?, targets.parse().ok()?);
        (hosts > 0 && targets > 0).then_some((hosts, targets))
    });
    parts.ok_or_else(|| "expected HOSTS:TARGETS".to_owned())
}

/// Cost of one host: the mean over all hosts of a deployment, or the maximum where a field says so.
#[derive(Clone, Copy, Debug, Serialize)]
struct HostCost {
    /// Processor time, percent of one core.
    cpu_percent: f64,
    /// Highest processor time of one host, percent of one core.
    cpu_percent_max: f64,
    /// Resident memory, MB.
    resident_mb: f64,
    /// Highest resident memory of one host, MB.
    resident_mb_max: f64,
    /// Control traffic sent and received, bytes per second; none if the hosts export no counter.
    control_bytes_per_second: Option<f64>,
}

#[derive(Serialize)]
struct SizeReport {
    hosts: usize,
    targets: usize,
    idle: HostCost,
    loaded: HostCost,
    /// Load rate, calls per second and host.
    load_per_host: f64,
    /// Whole answers.
    whole: u64,
    /// Calls planned by the load.
    planned: u64,
}

/// Least-squares slopes of the idle costs of one host.
#[derive(Serialize)]
struct CostSlopes {
    cpu_percent_per_100_hosts: Option<f64>,
    cpu_percent_per_100_targets: Option<f64>,
    resident_mb_per_100_hosts: Option<f64>,
    resident_mb_per_100_targets: Option<f64>,
}

#[derive(Serialize)]
struct CostReport {
    seed: u64,
    seconds: u64,
    sizes: Vec<SizeReport>,
    slopes: CostSlopes,
}

#[actix_rt::main]
async fn main() -> Result<(), Whatever> {
    let mut args: ControlArgs = argh::from_env();
    if args.size.is_empty() {
        args.size = SIZES.to_vec();
    }
    let mut sizes = Vec::new();
    for &(hosts, targets) in &args.size {
        if hosts + targets + 2 > MAX_PROCESSES {
            println!("{hosts} hosts with {targets} targets: skipped, too many processes");
            continue;
        }
        let report = measure_size(&args, hosts, targets).await?;
        print_size(&report);
        sizes.push(report);
    }
    let slopes = fit_slopes(&sizes);
    print_slopes(&slopes);
    let report = CostReport {
        seed: args.seed,
        seconds: args.seconds,
        sizes,
        slopes,
    };
    if let Some(file) = &args.json_out {
        let json = serde_json::to_string_pretty(&report)
            .whatever_context("the figures cannot be encoded as JSON")?;
        std::fs::write(file, json).whatever_context("the file of the figures cannot be written")?;
    }
    Ok(())
}

async fn measure_size(
    args: &ControlArgs,
    hosts: usize,
    targets: usize,
) -> Result<SizeReport, Whatever> {
    let program = host_program().whatever_context(
        "the host program is missing: build the workspace in the same profile first",
    )?;
    let engine_args = ["--resident", "chalk-small=4000000000"];
    let catalog = sample_catalog_with(targets);
    let deployment =
        ProcessDeployment::start(&program, hosts, catalog, &engine_args, &host_settings(args))
            .await?;
    let span = Duration::from_secs(args.seconds);
    // Waits until the start is over, so that its cost is not measured.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let before = Instant::now();
    let start = read_costs(&deployment).await;
    actix_rt::time::sleep(span).await;
    let idle = cost_since(&deployment, &start, before).await;
    let plan = LoadPlan {
        entries: deployment
            .addresses
            .iter()
            .map(|host| host.callers)
            .collect(),
        rate: LIGHT_RATE * hosts as f64,
        span: ClockTime::from_secs(args.seconds),
        seed: args.seed,
        models: vec!["chalk-small".to_owned()],
        tenants: vec!["plazas".to_owned(), "catalogue".to_owned()],
        tokens: 16,
        mix: MixShares {
            chat: 1.0,
            get: 0.0,
            post: 0.0,
        },
        ..LoadPlan::default()
    };
    let before = Instant::now();
    let start = read_costs(&deployment).await;
    let load = run_load(plan, |_| ())
        .await
        .whatever_context("the load run fails")?;
    let loaded = cost_since(&deployment, &start, before).await;
    Ok(SizeReport {
        hosts,
        targets,
        idle,
        loaded,
        load_per_host: LIGHT_RATE,
        whole: load.whole,
        planned: load.planned,
    })
}

/// Returns the sample catalogue with `targets` targets, every seventh of them plain.
fn sample_catalog_with(targets: usize) -> crocusyard_catalog::prelude::CatalogSpec {
    let mut catalog = sample_catalog();
    let (engine, plain) = (catalog.targets[0].clone(), catalog.targets[2].clone());
    catalog.targets = (0..targets)
        .map(|index| {
            let mut target = if index % 7 == 6 {
                plain.clone()
            } else {
                engine.clone()
            };
            target.name = TargetName::new(&format!("target-{index}"));
            // The check of the catalogue requires distinct addresses; the deployment sets the real
            // ones.
            target
                .address
                .set_port(u16::try_from(index + 1).unwrap_or(u16::MAX));
            target
        })
        .collect();
    for preset in &mut catalog.presets {
        preset.copies.clear();
    }
    catalog
}

/// Processor time in seconds and control traffic in bytes of every host so far.
struct CostReadings {
    cpu: Vec<f64>,
    traffic: Vec<Option<f64>>,
}

async fn read_costs(deployment: &ProcessDeployment) -> CostReadings {
    let cpu = deployment
        .hosts
        .iter()
        .map(|host| cpu_seconds(host.id()).unwrap_or_default())
        .collect();
    let mut traffic = Vec::new();
    for host in &deployment.addresses {
        let url = format!("http://{}/metrics", host.callers);
        let text = match awc::Client::default().get(url).send().await {
            Ok(mut response) => response.body().await.unwrap_or_default(),
            Err(_) => bytes::Bytes::new(),
        };
        traffic.push(control_bytes(&String::from_utf8_lossy(&text)));
    }
    CostReadings { cpu, traffic }
}

/// Returns the sum of the control traffic counters; none if there are none.
fn control_bytes(metrics: &str) -> Option<f64> {
    let samples: Vec<f64> = metrics
        .lines()
        .filter(|line| line.contains("control_traffic") && !line.starts_with('#'))
        .filter_map(|line| line.rsplit(' ').next()?.parse().ok())
        .collect();
    (!samples.is_empty()).then(|| samples.iter().sum())
}

async fn cost_since(
    deployment: &ProcessDeployment,
    start: &CostReadings,
    since: Instant,
) -> HostCost {
    let seconds = since.elapsed().as_secs_f64();
    let end = read_costs(deployment).await;
    let pairs = start.cpu.iter().zip(&end.cpu);
    let cpu: Vec<f64> = pairs
        .map(|(start, end)| (end - start) / seconds * 100.0)
        .collect();
    let resident: Vec<f64> = deployment
        .hosts
        .iter()
        .map(|host| resident_bytes(host.id()).unwrap_or_default() as f64 / 1e6)
        .collect();
    let bytes: Option<Vec<f64>> = start
        .traffic
        .iter()
        .zip(&end.traffic)
        .map(|(start, end)| Some((end.as_ref()? - start.as_ref()?) / seconds))
        .collect();
    HostCost {
        cpu_percent: mean(&cpu),
        cpu_percent_max: cpu.iter().copied().fold(0.0, f64::max),
        resident_mb: mean(&resident),
        resident_mb_max: resident.iter().copied().fold(0.0, f64::max),
        control_bytes_per_second: bytes.map(|bytes| mean(&bytes)),
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Fits the slope by hosts over the sizes with the fewest targets, and the slope by targets over
/// the sizes with the fewest hosts.
fn fit_slopes(sizes: &[SizeReport]) -> CostSlopes {
    let hosts = sizes.iter().map(|size| size.hosts).min();
    let targets = sizes.iter().map(|size| size.targets).min();
    let by_hosts = |value: fn(&HostCost) -> f64| {
        let same = sizes.iter().filter(|size| Some(size.targets) == targets);
        slope(same.map(|size| (size.hosts as f64, value(&size.idle))))
    };
    let by_targets = |value: fn(&HostCost) -> f64| {
        let same = sizes.iter().filter(|size| Some(size.hosts) == hosts);
        slope(same.map(|size| (size.targets as f64, value(&size.idle))))
    };
    CostSlopes {
        cpu_percent_per_100_hosts: by_hosts(|cost| cost.cpu_percent),
        cpu_percent_per_100_targets: by_targets(|cost| cost.cpu_percent),
        resident_mb_per_100_hosts: by_hosts(|cost| cost.resident_mb),
        resident_mb_per_100_targets: by_targets(|cost| cost.resident_mb),
    }
}

/// Returns the least-squares slope per hundred units; none with fewer than two distinct points.
fn slope(points: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let (xs, ys): (Vec<f64>, Vec<f64>) = points.unzip();
    let (x, y) = (mean(&xs), mean(&ys));
    let variance: f64 = xs.iter().map(|value| (value - x).powi(2)).sum();
    let covariance: f64 = xs.iter().zip(&ys).map(|(a, b)| (a - x) * (b - y)).sum();
    (variance > 0.0).then(|| covariance / variance * 100.0)
}

fn print_size(size: &SizeReport) {
    for (state, cost) in [("idle", &size.idle), ("loaded", &size.loaded)] {
        let bytes = cost.control_bytes_per_second.map_or_else(
            || "not counted".to_owned(),
            |bytes| format!("{bytes:.0} B/s"),
        );
        println!(
            "{:>4} hosts {:>4} targets {state:<7} cpu {:>6.2}% (max {:>6.2}%)  memory {:>6.1} MB \
             (max {:>6.1})  control {bytes}",
            size.hosts,
            size.targets,
            cost.cpu_percent,
            cost.cpu_percent_max,
            cost.resident_mb,
            cost.resident_mb_max,
        );
    }
    println!(
        "           load {} calls/s per host: {} of {} whole",
        size.load_per_host, size.whole, size.planned
    );
}

fn print_slopes(slopes: &CostSlopes) {
    let show = |slope: Option<f64>| slope.map_or("-".to_owned(), |slope| format!("{slope:.3}"));
    println!(
        "idle slopes: cpu {}% and memory {} MB per 100 hosts; cpu {}% and memory {} MB per 100 \
         targets",
        show(slopes.cpu_percent_per_100_hosts),
        show(slopes.resident_mb_per_100_hosts),
        show(slopes.cpu_percent_per_100_targets),
        show(slopes.resident_mb_per_100_targets)
    );
}
