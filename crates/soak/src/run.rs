//! Runs one seed: starts hosts, stand-ins and callers, injects the faults and records the history.

use crate::callers::{is_ready, SoakCaller, ONCE_PATH, REPEATABLE_PATH};
use crate::checker::{check_history, POLL_INTERVAL, RECOVERY_BOUND};
use crate::history::{
    ArrivalRecord, Disruption, HostExit, KeyRevocation, RouteVersion, RunHistory, SoakPart,
    TargetLifetime,
};
use crate::hosts::SoakHost;
use crate::plan::{plan_faults, LinkFault, PlannedFault, SoakFault, SoakSettings};
use crate::proxy::LoopbackProxy;
use crate::report::SoakReport;
use crate::tenants::{has_tenants, plan_tenant_changes, TenantChange, TenantState};
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::*;
use snafu::{ResultExt, Whatever};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Service of all routes at the start; only the route for repeatable calls ever moves from it.
pub const MAIN_SERVICE: &str = "s";
/// Service to which the route for repeatable calls moves, and from which it moves back.
const OTHER_SERVICE: &str = "t";
/// Most attempts for a repeatable call, and so most targets that it may run at.
pub const REPEATABLE_ATTEMPTS: u32 = 2;
/// Time in which a started host must become ready; far above what it takes.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time with calls but without faults before the first fault may begin.
const WARM_UP_TIME: ClockTime = ClockTime::from_ms(1_500);
/// Time after the recovery bound for which callers go on, to check that all calls are answered.
const OBSERVATION_TIME: ClockTime = ClockTime::from_secs(3);
/// Time between the crash of a target and the removal of its record from the store; three missed
/// heartbeats of 1.2 s.
const RECORD_EXPIRY: Duration = Duration::from_millis(3_600);
/// Time for which a leaving target still serves; `drain_ms` and a margin.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a host that was asked to stop is killed; `grace_s` and a margin.
const STOP_LIMIT: ClockTime = ClockTime::from_secs(10);
/// Time before another target uses the address of a removed one; `addr_reuse_s`.
const ADDRESS_REUSE_TIME: Duration = Duration::from_secs(2);

/// An address for targets: the stand-in that listens there and the proxy before it.
struct SoakTarget {
    standin: TargetStandin,
    proxy: LoopbackProxy,
    /// Number of targets that have started at this address; part of the name of each.
    starts: Cell<u32>,
    /// Whether a fault is replacing the target, so that no other fault does so at the same time.
    busy: Cell<bool>,
}

/// Everything that takes part in a run, shared by its callers and faults.
pub struct RunState {
    /// Entry hosts.
    pub hosts: Vec<SoakHost>,
    /// What was recorded so far.
    pub history: RefCell<RunHistory>,
    /// Whether callers go on to send calls.
    pub callers_active: Cell<bool>,
    /// Whether the configuration has tenants.
    pub has_tenants: bool,
    tenants: Cell<TenantState>,
    started: Instant,
    store: StoreStandin,
    targets: Vec<SoakTarget>,
    /// For each host, whether a fault has reserved its process.
    busy_hosts: RefCell<Vec<bool>>,
    version: Cell<u64>,
}

impl RunState {
    /// Returns the time since the begin of the run.
    pub fn now(&self) -> ClockTime {
        clock_time(self.started.elapsed())
    }

    /// Records that a part is disturbed from now on; returns the index of the disruption.
    fn begin_disruption(&self, part: SoakPart, planned: bool) -> usize {
        let disruptions = &mut self.history.borrow_mut().disruptions;
        disruptions.push(Disruption {
            part,
            planned,
            from: self.now(),
            to: None,
        });
        disruptions.len() - 1
    }

    /// Records that a disruption has ended.
    fn end_disruption(&self, disruption: usize) {
        let now = self.now();
        self.history.borrow_mut().disruptions[disruption].to = Some(now);
    }

    /// Publishes a version of the routes in which repeatable calls go to `service`.
    fn publish_routes(&self, service: &'static str) {
        self.version.set(self.version.get() + 1);
        let route = |prefix, kind, attempts, service| TestRoute {
            prefix,
            kind,
            attempts,
            service,
            timeout_ms: None,
        };
        let repeatable = RouteKind::Idempotent;
        let routes = [
            route(ONCE_PATH, RouteKind::NonIdempotent, 1, MAIN_SERVICE),
            route(REPEATABLE_PATH, repeatable, REPEATABLE_ATTEMPTS, service),
            route(STREAM_PATH, RouteKind::Resumable, 2, MAIN_SERVICE),
        ];
        let mut text = configuration(self.version.get(), &routes);
        if self.has_tenants {
            text = self.tenants.get().configure(text);
        }
        self.store.put_configuration(&text);
        let at = self.now();
        self.history
            .borrow_mut()
            .versions
            .push(RouteVersion { at, service });
    }

    /// Publishes a version with a change of the tenants and the routes that are in force.
    fn change_tenants(&self, change: TenantChange) {
        let mut tenants = self.tenants.get();
        let revoked = tenants.apply(change);
        self.tenants.set(tenants);
        let service = self.current_service();
        self.publish_routes(service);
        let at = self.now();
        let mut history = self.history.borrow_mut();
        let revocation = revoked.map(|key| KeyRevocation { at, key });
        history.revocations.extend(revocation);
        if change == TenantChange::LimitLowered {
            history.limits.push(tenants.limit(at));
        }
    }

    /// Returns the service of the route for repeatable calls in the last version.
    fn current_service(&self) -> &'static str {
        let history = self.history.borrow();
        let last = history.versions.last();
        last.map_or(MAIN_SERVICE, |version| version.service)
    }

    /// Starts a target under a new name and writes its record to the store.
    fn start_target(&self, place: usize) {
        let target = &self.targets[place];
        target.starts.set(target.starts.get() + 1);
        let name = format!("i-{place}-{}", target.starts.get());
        let service = self.scarcer_service();
        target.standin.rename(&name);
        self.store
            .put_target(&name, &target_record(service, target.proxy.address));
        self.history.borrow_mut().targets.push(TargetLifetime {
            name,
            place,
            service,
            leaving_since: None,
        });
    }

    /// Returns the service with fewer targets, so that addresses change their service over time.
    fn scarcer_service(&self) -> &'static str {
        let history = self.history.borrow();
        let count_targets = |service: &str| {
            let targets = history.targets.iter();
            targets
                .filter(|target| target.service == service && target.leaving_since.is_none())
                .count()
        };
        if count_targets(OTHER_SERVICE) < count_targets(MAIN_SERVICE) {
            OTHER_SERVICE
        } else {
            MAIN_SERVICE
        }
    }

    /// Records that the store now lists the named target as leaving or no longer lists it.
    fn record_leaving(&self, name: &str) {
        let now = self.now();
        let mut history = self.history.borrow_mut();
        let target = history
            .targets
            .iter_mut()
            .find(|target| target.name == name);
        if let Some(target) = target.filter(|target| target.leaving_since.is_none()) {
            target.leaving_since = Some(now);
        }
    }

    /// Reserves a host for a fault of its process; returns `false` if another fault has done so.
    fn reserve_host(&self, host: usize) -> bool {
        !std::mem::replace(&mut self.busy_hosts.borrow_mut()[host], true)
    }

    /// Ends the reservation of a host.
    fn release_host(&self, host: usize) {
        self.busy_hosts.borrow_mut()[host] = false;
    }
}

/// Runs a seed and checks the history of the run.
///
/// # Errors
///
/// Fails if a stand-in or a host cannot be started, or a fault cannot be injected.
pub async fn run_seed(settings: &SoakSettings) -> Result<SoakReport, Whatever> {
    let state = Rc::new(prepare_run(settings).await?);
    for host in &state.hosts {
        host.start()
            .whatever_context("the process of a host cannot be started")?;
    }
    for host in &state.hosts {
        wait_ready(host.addresses.ready).await?;
    }
    let first_call = state.now();
    let callers: Vec<_> = (0..settings.callers)
        .map(|number| SoakCaller::new(settings.seed, number).run(state.clone()))
        .map(actix_rt::spawn)
        .collect();
    let watcher = actix_rt::spawn(watch_processes(state.clone()));
    let plan = plan_faults(settings);
    let faults: Vec<_> = plan
        .iter()
        .map(|planned| actix_rt::spawn(inject(state.clone(), first_call + WARM_UP_TIME, *planned)))
        .collect();
    let changes: Vec<_> = plan_tenant_changes(settings)
        .into_iter()
        .map(|(at, change)| {
            let state = state.clone();
            actix_rt::spawn(async move {
                sleep_until(&state, first_call + WARM_UP_TIME + at).await;
                state.change_tenants(change);
            })
        })
        .collect();
    for change in changes {
        change
            .await
            .whatever_context("the task of a change of the tenants ended early")?;
    }
    for fault in faults {
        fault
            .await
            .whatever_context("the task of a fault ended early")?
            .whatever_context("a fault cannot be injected")?;
    }
    let faults_ended = state.now();
    state.history.borrow_mut().faults_ended = faults_ended;
    sleep_until(&state, faults_ended + RECOVERY_BOUND).await;
    for (number, host) in state.hosts.iter().enumerate() {
        if !is_ready(host.addresses.ready, READY_PATH).await {
            state.history.borrow_mut().unready_hosts.push(number);
        }
    }
    sleep_until(&state, faults_ended + RECOVERY_BOUND + OBSERVATION_TIME).await;
    state.callers_active.set(false);
    for caller in callers {
        caller
            .await
            .whatever_context("the task of a caller ended early")?;
    }
    watcher.abort();
    for host in &state.hosts {
        host.kill();
    }
    collect_arrivals(&state);
    let history = state.history.borrow();
    Ok(SoakReport::new(
        settings.seed,
        &history,
        &plan,
        check_history(&history),
    ))
}

/// Starts store and targets, and prepares the hosts without starting them.
async fn prepare_run(settings: &SoakSettings) -> Result<RunState, Whatever> {
    let start_failure = "a stand-in or its proxy cannot be started";
    let store = StoreStandin::start()
        .await
        .whatever_context(start_failure)?;
    let arrivals = ArrivalLog::default();
    let mut targets = Vec::new();
    for _ in 0..settings.targets {
        let standin = TargetStandin::start_with_log("", arrivals.clone())
            .await
            .whatever_context(start_failure)?;
        let proxy = LoopbackProxy::start(standin.address).await;
        targets.push(SoakTarget {
            proxy: proxy.whatever_context(start_failure)?,
            standin,
            starts: Cell::new(0),
            busy: Cell::new(false),
        });
    }
    let mut hosts = Vec::new();
    for number in 0..settings.hosts {
        let host = SoakHost::prepare(number, store.address, settings).await;
        hosts.push(host.whatever_context("a host cannot be prepared")?);
    }
    let state = RunState {
        busy_hosts: RefCell::new(vec![false; hosts.len()]),
        hosts,
        history: RefCell::default(),
        callers_active: Cell::new(true),
        has_tenants: has_tenants(settings.seed),
        tenants: Cell::default(),
        started: Instant::now(),
        store,
        targets,
        version: Cell::new(0),
    };
    if state.has_tenants {
        let limit = state.tenants.get().limit(state.now());
        state.history.borrow_mut().limits.push(limit);
    }
    state.publish_routes(MAIN_SERVICE);
    for place in 0..settings.targets {
        state.start_target(place);
    }
    Ok(state)
}

/// Waits until the host at an address is ready.
async fn wait_ready(address: SocketAddr) -> Result<(), Whatever> {
    let started = Instant::now();
    while !is_ready(address, READY_PATH).await {
        if started.elapsed() > START_LIMIT {
            snafu::whatever!("the host at {address} did not become ready within {START_LIMIT:?}");
        }
        sleep(duration(POLL_INTERVAL)).await;
    }
    Ok(())
}

/// Sleeps until a time of the run; returns at once if it has passed.
async fn sleep_until(state: &RunState, time: ClockTime) {
    sleep(duration(time.since(state.now()))).await;
}

fn clock_time(span: Duration) -> ClockTime {
    ClockTime::from_ms(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

fn duration(time: ClockTime) -> Duration {
    Duration::from_millis(time.as_ms())
}

/// Records host processes that exit by themselves; skips hosts that a fault has reserved.
async fn watch_processes(state: Rc<RunState>) {
    loop {
        sleep(duration(POLL_INTERVAL)).await;
        for (number, host) in state.hosts.iter().enumerate() {
            if state.busy_hosts.borrow()[number] {
                continue;
            }
            let ended = host.take_exit();
            if let Ok(None) = ended {
                continue;
            }
            // A state that cannot be read is recorded as an exit, so that the run reports it.
            let code = ended.ok().flatten().and_then(|status| status.code());
            let at = state.now();
            state.history.borrow_mut().exits.push(HostExit {
                host: number,
                stop_requested: None,
                at,
                code,
            });
        }
    }
}

/// Waits until a fault is due, which its plan counts from `origin` on, injects it and ends it.
async fn inject(
    state: Rc<RunState>,
    origin: ClockTime,
    planned: PlannedFault,
) -> std::io::Result<()> {
    sleep_until(&state, origin + planned.at).await;
    let active_time = duration(planned.duration);
    match planned.fault {
        SoakFault::HostPaused(host) => pause_host(&state, host, active_time).await,
        SoakFault::HostKilled(host) => kill_host(&state, host, active_time).await,
        SoakFault::HostStopped(host) => stop_host(&state, host).await,
        SoakFault::HostReloaded(host) => {
            let disruption = state.begin_disruption(SoakPart::Host(host), true);
            let reloaded = state.hosts[host].reload();
            state.end_disruption(disruption);
            reloaded
        }
        SoakFault::StoreFails(fault) => {
            let disruption = state.begin_disruption(SoakPart::Store, false);
            state.store.set_fault(fault);
            sleep(active_time).await;
            state.store.set_fault(StoreFault::None);
            state.end_disruption(disruption);
            Ok(())
        }
        SoakFault::StoreLink(host, fault) => {
            let set = |fault| state.hosts[host].set_store_fault(fault);
            disrupt_link(&state, SoakPart::StoreLink(host), set, fault, active_time).await;
            Ok(())
        }
        SoakFault::CallerLink(host, fault) => {
            let set = |fault| state.hosts[host].caller_proxy.set_fault(fault);
            disrupt_link(&state, SoakPart::CallerLink(host), set, fault, active_time).await;
            Ok(())
        }
        SoakFault::TargetLink(place, fault) => {
            let set = |fault| state.targets[place].proxy.set_fault(fault);
            disrupt_link(&state, SoakPart::TargetLink(place), set, fault, active_time).await;
            Ok(())
        }
        SoakFault::TargetFails(place, fault) => {
            let slow = matches!(fault, TargetFault::Slow(_));
            // A slow target counts as undisturbed, so that the checks of calls whose callers leave
            // cover it.
            let disruption =
                (!slow).then(|| state.begin_disruption(SoakPart::Target(place), false));
            state.targets[place].standin.set_fault(fault);
            sleep(active_time).await;
            state.targets[place].standin.set_fault(TargetFault::None);
            disruption
                .into_iter()
                .for_each(|disruption| state.end_disruption(disruption));
            Ok(())
        }
        SoakFault::TargetCrashed(place) => {
            replace_target(&state, place, true).await;
            Ok(())
        }
        SoakFault::TargetLeaves(place) => {
            replace_target(&state, place, false).await;
            Ok(())
        }
        SoakFault::RouteMoved => {
            state.publish_routes(if state.current_service() == MAIN_SERVICE {
                OTHER_SERVICE
            } else {
                MAIN_SERVICE
            });
            Ok(())
        }
    }
}

/// Sets a fault on connections for some time.
async fn disrupt_link(
    state: &RunState,
    part: SoakPart,
    set: impl Fn(Option<LinkFault>),
    fault: LinkFault,
    active_time: Duration,
) {
    let disruption = state.begin_disruption(part, false);
    set(Some(fault));
    sleep(active_time).await;
    set(None);
    state.end_disruption(disruption);
}

/// Pauses a host's process for some time, unless another fault has reserved the host.
async fn pause_host(state: &RunState, host: usize, active_time: Duration) -> std::io::Result<()> {
    if !state.reserve_host(host) {
        return Ok(());
    }
    let disruption = state.begin_disruption(SoakPart::Host(host), false);
    state.hosts[host].signal("STOP")?;
    sleep(active_time).await;
    state.hosts[host].signal("CONT")?;
    state.end_disruption(disruption);
    state.release_host(host);
    Ok(())
}

/// Kills a host's process and starts it again, unless another fault has reserved the host.
async fn kill_host(state: &RunState, host: usize, active_time: Duration) -> std::io::Result<()> {
    if !state.reserve_host(host) {
        return Ok(());
    }
    let disruption = state.begin_disruption(SoakPart::Host(host), false);
    state.hosts[host].kill();
    sleep(active_time).await;
    restart_host(state, host, disruption).await
}

/// Asks a host to stop and starts it again after its exit, unless another fault has reserved it.
async fn stop_host(state: &RunState, host: usize) -> std::io::Result<()> {
    if !state.reserve_host(host) {
        return Ok(());
    }
    let disruption = state.begin_disruption(SoakPart::Host(host), true);
    let requested = state.now();
    state.hosts[host].signal("TERM")?;
    let code = loop {
        sleep(duration(POLL_INTERVAL)).await;
        if let Some(status) = state.hosts[host].take_exit()? {
            break status.code();
        }
        if state.now().since(requested) > STOP_LIMIT {
            state.hosts[host].kill();
            break None;
        }
    };
    let at = state.now();
    state.history.borrow_mut().exits.push(HostExit {
        host,
        stop_requested: Some(requested),
        at,
        code,
    });
    restart_host(state, host, disruption).await
}

/// Starts a host again, and ends its disruption and its reservation.
async fn restart_host(state: &RunState, host: usize, disruption: usize) -> std::io::Result<()> {
    state.hosts[host].start()?;
    state.end_disruption(disruption);
    state.release_host(host);
    Ok(())
}

/// Lets a target crash or drain and leave, and then starts another at its address.
async fn replace_target(state: &RunState, place: usize, crash: bool) {
    let target = &state.targets[place];
    if target.busy.replace(true) {
        return;
    }
    let name = target.standin.name();
    let service = {
        let history = state.history.borrow();
        history
            .target(&name)
            .map_or(MAIN_SERVICE, |target| target.service)
    };
    let disruption = if crash {
        let disruption = state.begin_disruption(SoakPart::Target(place), false);
        target.proxy.set_fault(Some(LinkFault::Reset));
        sleep(RECORD_EXPIRY).await;
        state.store.remove_target(&name);
        state.record_leaving(&name);
        disruption
    } else {
        target.standin.set_fault(TargetFault::SaysLeaving);
        let entry = leaving_target_record(service, target.proxy.address);
        state.store.put_target(&name, &entry);
        state.record_leaving(&name);
        sleep(DRAIN_TIME).await;
        let disruption = state.begin_disruption(SoakPart::Target(place), false);
        target.proxy.set_fault(Some(LinkFault::Reset));
        state.store.remove_target(&name);
        disruption
    };
    sleep(ADDRESS_REUSE_TIME).await;
    target.proxy.set_fault(None);
    target.standin.set_fault(TargetFault::None);
    state.start_target(place);
    state.end_disruption(disruption);
    target.busy.set(false);
}

/// Copies the requests that the targets recorded into the history.
fn collect_arrivals(state: &RunState) {
    let Some(target) = state.targets.first() else {
        return;
    };
    let started = state.started.into_std();
    let since = |at: std::time::Instant| clock_time(at.saturating_duration_since(started));
    let arrivals = target.standin.arrivals();
    let arrivals = arrivals.borrow();
    state.history.borrow_mut().arrivals = arrivals
        .iter()
        .map(|arrival| ArrivalRecord {
            id: arrival.id.clone(),
            target: arrival.target.clone(),
            path: arrival.path.clone(),
            body_unchanged: arrival.body.as_ref() == BODY,
            tenants: arrival.tenants.clone(),
            key_count: arrival.keys.len(),
            timeout_ms: arrival.timeout_ms,
            executed: arrival.run,
            pause: arrival.pause_ms.map(ClockTime::from_ms),
            at: since(arrival.at),
            ended: arrival.ended.map(since),
        })
        .collect();
}
