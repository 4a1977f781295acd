//! Sends the planned calls at their planned times and collects the results.

use crate::addresses::AddressBook;
use crate::caller::{make_call, CallerShared};
use crate::check::check_runs;
use crate::error::{LoadError, UnreachableSnafu};
use crate::plan::LoadPlan;
use crate::report::LoadReport;
use crate::schedule::{plan_calls, CallKind, PlannedCall};
use crate::stats::{CallResult, LoadStats};
use awc::{Client, Connector};
use crocusyard_base::prelude::*;
use serde::Deserialize;
use snafu::IntoError;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time limit of one try. It exceeds the limits of the host, so that the host refuses first.
const TRY_TIMEOUT: Duration = Duration::from_secs(120);
/// Interval between progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a run checks, after the last arrival, whether all calls have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest accepted answer of `GET /runs`, bytes.
const MAX_RUNS_BYTES: usize = 256 << 20;
/// Makes the seed for choosing addresses differ from that of the schedule.
const CALLER_SEED_MASK: u64 = 0x63_616c_6c65_7273;

/// Progress of a run, reported each second.
#[derive(Clone, Debug)]
pub struct LoadProgress {
    /// Time since the start.
    pub at: ClockTime,
    /// Calls that have arrived so far.
    pub arrived: u64,
    /// Calls in progress.
    pub in_flight: usize,
    /// Whole answers so far.
    pub whole: u64,
    /// Refusals so far.
    pub refused: u64,
    /// Wrong and partial answers and duplicate tokens so far.
    pub defects: u64,
    /// 95th percentile of the time to the first token, milliseconds.
    pub first_p95_ms: f64,
}

impl fmt::Display for LoadProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>5} s  {} arrived, {} in flight, {} whole, {} refused, {} defects, first p95 {:.1} ms",
            self.at.as_ms() / 1000,
            self.arrived,
            self.in_flight,
            self.whole,
            self.refused,
            self.defects,
            self.first_p95_ms
        )
    }
}

/// State shared by the tasks of the calls.
struct RunState {
    stats: RefCell<LoadStats>,
    in_flight: Cell<usize>,
    /// Keys of the keyed calls that were answered in whole.
    answered: RefCell<BTreeSet<String>>,
}

/// Carries out a load run and returns its report. Must be called on an actix system.
///
/// # Errors
///
/// Fails before the first call if the plan is out of bounds or no entry host lists its models, and
/// after the last one if a plain stand-in does not report its runs.
pub async fn run_load(
    mut plan: LoadPlan,
    progress: impl Fn(&LoadProgress) + 'static,
) -> Result<LoadReport, LoadError> {
    plan.check()?;
    let client = new_client();
    if plan.models.is_empty() && plan.mix.chat > 0.0 {
        plan.models = list_models(&client, &plan).await?;
    }
    let calls = plan_calls(&plan);
    let shared = Rc::new(CallerShared {
        client,
        entries: plan.entries.clone(),
        book: RefCell::new(AddressBook::default()),
        random: RefCell::new(crocusyard_base::random::seeded_rng(
            plan.seed ^ CALLER_SEED_MASK,
        )),
        start: Instant::now(),
    });
    let state = Rc::new(RunState {
        stats: RefCell::default(),
        in_flight: Cell::new(0),
        answered: RefCell::default(),
    });
    let reporter = actix_rt::spawn(report_progress(shared.clone(), state.clone(), progress));
    let sent = send_calls(&plan, calls, &shared, &state).await;
    reporter.abort();
    let took = shared.now();
    let mut report = {
        let mut stats = state.stats.borrow_mut();
        stats.unfinished = state.in_flight.get() as u64;
        stats.report(plan.seed, took)
    };
    report.refused_addresses = shared.book.borrow().refused();
    if !plan.plain_standins.is_empty() {
        let runs = read_runs(&shared.client, &plan).await?;
        let (twice, never) = check_runs(&runs, &sent, &state.answered.borrow());
        report.defects.ran_twice = twice;
        report.defects.never_ran = never;
        report.runs_checked = true;
    }
    Ok(report)
}

fn new_client() -> Client {
    let connector = Connector::new().limit(0).timeout(Duration::from_secs(2));
    Client::builder()
        .connector(connector)
        .timeout(TRY_TIMEOUT)
        .disable_redirects()
        .finish()
}

/// Sends every call at its time and waits for those in progress; returns the keys of the keyed
/// calls that were sent.
async fn send_calls(
    plan: &LoadPlan,
    calls: Vec<PlannedCall>,
    shared: &Rc<CallerShared>,
    state: &Rc<RunState>,
) -> BTreeSet<String> {
    let mut sent = BTreeSet::new();
    let mut tasks = Vec::new();
    for call in calls {
        let due = shared.start + Duration::from_millis(call.at.as_ms());
        tokio::time::sleep_until(due.into()).await;
        state
            .stats
            .borrow_mut()
            .record_planned(call.kind.label(), call.at);
        if state.in_flight.get() >= plan.max_in_flight {
            state.stats.borrow_mut().dropped += 1;
            continue;
        }
        if let CallKind::Post { key, .. } = &call.kind {
            sent.insert(key.clone());
        }
        state.in_flight.set(state.in_flight.get() + 1);
        tasks.push(actix_rt::spawn(make_and_record_call(
            call,
            shared.clone(),
            state.clone(),
        )));
    }
    let until = shared.now() + plan.drain;
    while state.in_flight.get() > 0 && shared.now() < until {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    for task in tasks {
        task.abort();
    }
    sent
}

async fn make_and_record_call(call: PlannedCall, shared: Rc<CallerShared>, state: Rc<RunState>) {
    let result: CallResult = make_call(&shared, &call).await;
    state.in_flight.set(state.in_flight.get() - 1);
    state
        .stats
        .borrow_mut()
        .record_result(call.kind.label(), call.at, &result);
    if let CallKind::Post { key, .. } = call.kind {
        if result.is_whole {
            state.answered.borrow_mut().insert(key);
        }
    }
}

async fn report_progress(
    shared: Rc<CallerShared>,
    state: Rc<RunState>,
    progress: impl Fn(&LoadProgress),
) {
    loop {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        let stats = state.stats.borrow();
        let in_flight = state.in_flight.get();
        let defects = stats.defects;
        progress(&LoadProgress {
            at: shared.now(),
            arrived: stats.ended + stats.dropped + in_flight as u64,
            in_flight,
            whole: stats.whole(),
            refused: stats.refused(),
            defects: defects.wrong + defects.partial + defects.duplicate,
            first_p95_ms: stats.first_p95_us() as f64 / 1000.0,
        });
    }
}

#[derive(Deserialize)]
struct ModelList {
    data: Vec<ListedModel>,
}

#[derive(Deserialize)]
struct ListedModel {
    id: String,
}

/// Returns the deployed models and adapters from the first entry host that lists any.
async fn list_models(client: &Client, plan: &LoadPlan) -> Result<Vec<String>, LoadError> {
    let mut cause = String::new();
    for entry in &plan.entries {
        let request = client
            .get(format!("http://{entry}/v1/models"))
            .insert_header(("x-tenant", plan.tenants[0].as_str()));
        match request.send().await {
            Err(error) => cause = error.to_string(),
            Ok(mut response) => match response.json::<ModelList>().await {
                Err(error) => cause = error.to_string(),
                Ok(list) if list.data.is_empty() => "no model is deployed".clone_into(&mut cause),
                Ok(list) => return Ok(list.data.into_iter().map(|model| model.id).collect()),
            },
        }
    }
    Err(UnreachableSnafu { cause }.into_error(snafu::NoneError))
}

/// Returns from each plain stand-in how often each key ran.
async fn read_runs(
    client: &Client,
    plan: &LoadPlan,
) -> Result<Vec<BTreeMap<String, u64>>, LoadError> {
    let mut runs = Vec::new();
    for address in &plan.plain_standins {
        let unreachable = |cause: String| UnreachableSnafu { cause }.into_error(snafu::NoneError);
        let sent = client.get(format!("http://{address}/runs")).send().await;
        let mut response = sent.map_err(|error| unreachable(format!("{address}: {error}")))?;
        let read = response.json().limit(MAX_RUNS_BYTES).await;
        let read = read.map_err(|error| unreachable(format!("{address}: {error}")))?;
        runs.push(strip_tenants(read));
    }
    Ok(runs)
}

/// Removes the tenant that entry hosts put before a key, as in `tenant@key`. The keys of a run are
/// unique without it.
fn strip_tenants(runs: BTreeMap<String, u64>) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for (key, count) in runs {
        let plain = key.split_once('@').map_or(key.as_str(), |(_, plain)| plain);
        *counts.entry(plain.to_owned()).or_insert(0) += count;
    }
    counts
}
