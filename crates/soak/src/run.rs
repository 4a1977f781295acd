//! Plays one seed: starts everything, injects the faults, collects the evidence.

use crate::callers::{is_ready, SoakCaller, ONCE_PATH, REPEATABLE_PATH};
use crate::checker::{judge_run, LOOK_PAUSE, RECOVERY_BOUND};
use crate::history::{
    Disruption, HostEnd, RunEvidence, SoakArrival, SoakPart, TargetLife, VersionRecord,
};
use crate::hosts::SoakHost;
use crate::plan::{plan_faults, LinkFault, PlannedFault, SoakFault, SoakSettings};
use crate::proxy::LoopbackProxy;
use crate::report::SoakReport;
use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::*;
use snafu::{ResultExt, Whatever};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Service of all routes at the start, and always of work that may run once and of streams.
pub const FIRST_SERVICE: &str = "s";
/// Service to which repeatable calls are moved.
const OTHER_SERVICE: &str = "t";
/// Most targets for a repeatable call.
pub const REPEATABLE_ATTEMPTS: u32 = 2;
/// Time in which a host that was started must be ready; far above what it takes.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time without faults before the first one.
const WARM_TIME: ClockTime = ClockTime::from_ms(1_500);
/// Time after the recovery bound in which all calls must be answered.
const PROOF_TIME: ClockTime = ClockTime::from_secs(3);
/// Time between the crash of a target and the removal of its entry; three missed beats of 1.2 s.
const EXPIRE_TIME: Duration = Duration::from_millis(3_600);
/// Time for which a leaving target serves on; `drain_ms` and a little more.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a host that was told to stop is killed; `grace_s` and a little more.
const STOP_LIMIT: ClockTime = ClockTime::from_secs(10);
/// Time before an address is used again; `addr_reuse_s`.
const REUSE_TIME: Duration = Duration::from_secs(2);

/// A target behind its proxy.
struct SoakTarget {
    standin: TargetStandin,
    proxy: LoopbackProxy,
    /// Starts so far.
    starts: Cell<u32>,
    /// Whether a fault is replacing it.
    busy: Cell<bool>,
}

/// Everything that takes part in a run.
pub struct SoakWorld {
    /// Hosts.
    pub hosts: Vec<SoakHost>,
    /// What was seen so far.
    pub evidence: RefCell<RunEvidence>,
    /// Whether callers go on.
    pub calling: Cell<bool>,
    begun: Instant,
    store: StoreStandin,
    targets: Vec<SoakTarget>,
    /// Hosts whose process a fault disturbs.
    busy_hosts: RefCell<Vec<bool>>,
    version: Cell<u64>,
}

impl SoakWorld {
    /// Time since the begin.
    pub fn now(&self) -> ClockTime {
        clock_time(self.begun.elapsed())
    }

    /// Notes that a part is disturbed; returns the number of the note.
    fn disturb(&self, part: SoakPart, planned: bool) -> usize {
        let disruptions = &mut self.evidence.borrow_mut().disruptions;
        disruptions.push(Disruption {
            part,
            planned,
            from: self.now(),
            to: None,
        });
        disruptions.len() - 1
    }

    fn calm(&self, note: usize) {
        let now = self.now();
        self.evidence.borrow_mut().disruptions[note].to = Some(now);
    }

    /// Writes the routes, with repeatable calls at `service`.
    fn put_routes(&self, service: &'static str) {
        self.version.set(self.version.get() + 1);
        let route = |prefix, kind, attempts, service| TestRoute {
            prefix,
            kind,
            attempts,
            service,
        };
        let repeatable = RouteKind::Idempotent;
        let routes = [
            route(ONCE_PATH, RouteKind::NonIdempotent, 1, FIRST_SERVICE),
            route(REPEATABLE_PATH, repeatable, REPEATABLE_ATTEMPTS, service),
            route(STREAM_PATH, RouteKind::Resumable, 2, FIRST_SERVICE),
        ];
        self.store
            .put_configuration(&configuration(self.version.get(), &routes));
        let at = self.now();
        self.evidence
            .borrow_mut()
            .versions
            .push(VersionRecord { at, service });
    }

    /// Starts a target under a new name and writes its entry.
    fn start_target(&self, place: usize) {
        let target = &self.targets[place];
        target.starts.set(target.starts.get() + 1);
        let name = format!("i-{place}-{}", target.starts.get());
        let service = self.needed_service();
        target.standin.rename(&name);
        self.store
            .put_target(&name, &target_record(service, target.proxy.address));
        self.evidence.borrow_mut().lives.push(TargetLife {
            name,
            place,
            service,
            left: None,
        });
    }

    /// The service with fewer targets, so that addresses change their service.
    fn needed_service(&self) -> &'static str {
        let evidence = self.evidence.borrow();
        let alive = |service: &str| {
            let lives = evidence.lives.iter();
            lives
                .filter(|life| life.service == service && life.left.is_none())
                .count()
        };
        if alive(OTHER_SERVICE) < alive(FIRST_SERVICE) {
            OTHER_SERVICE
        } else {
            FIRST_SERVICE
        }
    }

    /// Notes that the store knows that the target of a place leaves.
    fn note_leaving(&self, name: &str) {
        let now = self.now();
        let mut evidence = self.evidence.borrow_mut();
        let life = evidence.lives.iter_mut().find(|life| life.name == name);
        if let Some(life) = life.filter(|life| life.left.is_none()) {
            life.left = Some(now);
        }
    }

    /// Takes a host for a fault of its process; none if another fault has it.
    fn take_host(&self, host: usize) -> bool {
        !std::mem::replace(&mut self.busy_hosts.borrow_mut()[host], true)
    }

    fn free_host(&self, host: usize) {
        self.busy_hosts.borrow_mut()[host] = false;
    }
}

/// Plays a seed.
///
/// # Errors
///
/// Fails if a stand-in or a host cannot be started.
pub async fn run_seed(settings: &SoakSettings) -> Result<SoakReport, Whatever> {
    let world = Rc::new(start_world(settings).await?);
    for host in &world.hosts {
        host.start().whatever_context("a host does not start")?;
    }
    for host in &world.hosts {
        wait_ready(host.addresses.ready).await?;
    }
    let calls_from = world.now();
    let callers: Vec<_> = (0..settings.callers)
        .map(|number| SoakCaller::new(settings.seed, number).run(world.clone()))
        .map(actix_rt::spawn)
        .collect();
    let watch = actix_rt::spawn(watch_processes(world.clone()));
    let plan = plan_faults(settings);
    let faults: Vec<_> = plan
        .iter()
        .map(|planned| actix_rt::spawn(inject(world.clone(), calls_from + WARM_TIME, *planned)))
        .collect();
    for fault in faults {
        fault
            .await
            .whatever_context("a fault was not injected")?
            .whatever_context("a fault was not injected")?;
    }
    let calm_from = world.now();
    world.evidence.borrow_mut().calm_from = calm_from;
    sleep_to(&world, calm_from + RECOVERY_BOUND).await;
    for (number, host) in world.hosts.iter().enumerate() {
        if !is_ready(host.addresses.ready, READY_PATH).await {
            world.evidence.borrow_mut().unready.push(number);
        }
    }
    sleep_to(&world, calm_from + RECOVERY_BOUND + PROOF_TIME).await;
    world.calling.set(false);
    for caller in callers {
        caller.await.whatever_context("a caller ended early")?;
    }
    watch.abort();
    for host in &world.hosts {
        host.kill();
    }
    collect_arrivals(&world);
    let evidence = world.evidence.borrow();
    Ok(SoakReport::new(
        settings.seed,
        &evidence,
        &plan,
        judge_run(&evidence),
    ))
}

async fn start_world(settings: &SoakSettings) -> Result<SoakWorld, Whatever> {
    let no_standin = "a stand-in does not start";
    let store = StoreStandin::start().await.whatever_context(no_standin)?;
    let arrivals = ArrivalLog::default();
    let mut targets = Vec::new();
    for _ in 0..settings.targets {
        let standin = TargetStandin::start_with_log("", arrivals.clone())
            .await
            .whatever_context(no_standin)?;
        let proxy = LoopbackProxy::start(standin.address).await;
        targets.push(SoakTarget {
            proxy: proxy.whatever_context(no_standin)?,
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
    let world = SoakWorld {
        busy_hosts: RefCell::new(vec![false; hosts.len()]),
        hosts,
        evidence: RefCell::default(),
        calling: Cell::new(true),
        begun: Instant::now(),
        store,
        targets,
        version: Cell::new(0),
    };
    world.put_routes(FIRST_SERVICE);
    for place in 0..settings.targets {
        world.start_target(place);
    }
    Ok(world)
}

async fn wait_ready(address: SocketAddr) -> Result<(), Whatever> {
    let begun = Instant::now();
    while !is_ready(address, READY_PATH).await {
        if begun.elapsed() > START_LIMIT {
            snafu::whatever!("the host at {address} is not ready");
        }
        sleep(duration(LOOK_PAUSE)).await;
    }
    Ok(())
}

async fn sleep_to(world: &SoakWorld, time: ClockTime) {
    sleep(duration(time.since(world.now()))).await;
}

fn clock_time(span: Duration) -> ClockTime {
    ClockTime::from_ms(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

fn duration(time: ClockTime) -> Duration {
    Duration::from_millis(time.as_ms())
}

/// Notes processes that end by themselves; a fault that stops a host has taken it.
async fn watch_processes(world: Rc<SoakWorld>) {
    loop {
        sleep(duration(LOOK_PAUSE)).await;
        for (number, host) in world.hosts.iter().enumerate() {
            if world.busy_hosts.borrow()[number] {
                continue;
            }
            let ended = host.take_end();
            if let Ok(None) = ended {
                continue;
            }
            // An unreadable state counts as an end, so that it shows.
            let code = ended.ok().flatten().and_then(|status| status.code());
            let at = world.now();
            world.evidence.borrow_mut().ends.push(HostEnd {
                host: number,
                told: None,
                at,
                code,
            });
        }
    }
}

/// Injects a fault at its time and ends it.
async fn inject(
    world: Rc<SoakWorld>,
    origin: ClockTime,
    planned: PlannedFault,
) -> std::io::Result<()> {
    sleep_to(&world, origin + planned.at).await;
    let lasts = duration(planned.lasts);
    match planned.fault {
        SoakFault::HostPaused(host) => pause_host(&world, host, lasts).await,
        SoakFault::HostKilled(host) => kill_host(&world, host, lasts).await,
        SoakFault::HostStopped(host) => stop_host(&world, host).await,
        SoakFault::HostReloaded(host) => {
            let note = world.disturb(SoakPart::Host(host), true);
            let told = world.hosts[host].reload();
            world.calm(note);
            told
        }
        SoakFault::StoreFails(fault) => {
            let note = world.disturb(SoakPart::Store, false);
            world.store.set_fault(fault);
            sleep(lasts).await;
            world.store.set_fault(StoreFault::None);
            world.calm(note);
            Ok(())
        }
        SoakFault::StoreLink(host, fault) => {
            let set = |fault| world.hosts[host].set_store_fault(fault);
            disturb_link(&world, SoakPart::StoreLink(host), set, fault, lasts).await;
            Ok(())
        }
        SoakFault::CallerLink(host, fault) => {
            let set = |fault| world.hosts[host].caller_proxy.set_fault(fault);
            disturb_link(&world, SoakPart::CallerLink(host), set, fault, lasts).await;
            Ok(())
        }
        SoakFault::TargetLink(place, fault) => {
            let set = |fault| world.targets[place].proxy.set_fault(fault);
            disturb_link(&world, SoakPart::Target(place), set, fault, lasts).await;
            Ok(())
        }
        SoakFault::TargetFails(place, fault) => {
            let slow = matches!(fault, TargetFault::Slow(_));
            // A slow target is no fault of the target: its callers' leaving is judged.
            let note = (!slow).then(|| world.disturb(SoakPart::Target(place), false));
            world.targets[place].standin.set_fault(fault);
            sleep(lasts).await;
            world.targets[place].standin.set_fault(TargetFault::None);
            note.into_iter().for_each(|note| world.calm(note));
            Ok(())
        }
        SoakFault::TargetCrashed(place) => {
            replace_target(&world, place, true).await;
            Ok(())
        }
        SoakFault::TargetLeaves(place) => {
            replace_target(&world, place, false).await;
            Ok(())
        }
        SoakFault::RouteMoved => {
            let evidence = &world.evidence;
            let present = evidence
                .borrow()
                .versions
                .last()
                .map(|version| version.service);
            world.put_routes(if present == Some(FIRST_SERVICE) {
                OTHER_SERVICE
            } else {
                FIRST_SERVICE
            });
            Ok(())
        }
    }
}

async fn disturb_link(
    world: &SoakWorld,
    part: SoakPart,
    set: impl Fn(Option<LinkFault>),
    fault: LinkFault,
    lasts: Duration,
) {
    let note = world.disturb(part, false);
    set(Some(fault));
    sleep(lasts).await;
    set(None);
    world.calm(note);
}

async fn pause_host(world: &SoakWorld, host: usize, lasts: Duration) -> std::io::Result<()> {
    if !world.take_host(host) {
        return Ok(());
    }
    let note = world.disturb(SoakPart::Host(host), false);
    world.hosts[host].signal("STOP")?;
    sleep(lasts).await;
    world.hosts[host].signal("CONT")?;
    world.calm(note);
    world.free_host(host);
    Ok(())
}

async fn kill_host(world: &SoakWorld, host: usize, lasts: Duration) -> std::io::Result<()> {
    if !world.take_host(host) {
        return Ok(());
    }
    let note = world.disturb(SoakPart::Host(host), false);
    world.hosts[host].kill();
    sleep(lasts).await;
    restart_host(world, host, note).await
}

/// Tells a host to stop and starts it again after its end.
async fn stop_host(world: &SoakWorld, host: usize) -> std::io::Result<()> {
    if !world.take_host(host) {
        return Ok(());
    }
    let note = world.disturb(SoakPart::Host(host), true);
    let told = world.now();
    world.hosts[host].signal("TERM")?;
    let code = loop {
        sleep(duration(LOOK_PAUSE)).await;
        if let Some(status) = world.hosts[host].take_end()? {
            break status.code();
        }
        if world.now().since(told) > STOP_LIMIT {
            world.hosts[host].kill();
            break None;
        }
    };
    let at = world.now();
    world.evidence.borrow_mut().ends.push(HostEnd {
        host,
        told: Some(told),
        at,
        code,
    });
    restart_host(world, host, note).await
}

async fn restart_host(world: &SoakWorld, host: usize, note: usize) -> std::io::Result<()> {
    world.hosts[host].start()?;
    world.calm(note);
    world.free_host(host);
    Ok(())
}

/// Ends a target, with or without notice, and starts another at its address.
async fn replace_target(world: &SoakWorld, place: usize, crash: bool) {
    let target = &world.targets[place];
    if target.busy.replace(true) {
        return;
    }
    let name = target.standin.name();
    let service = {
        let evidence = world.evidence.borrow();
        evidence
            .life(&name)
            .map_or(FIRST_SERVICE, |life| life.service)
    };
    let note = if crash {
        let note = world.disturb(SoakPart::Target(place), false);
        target.proxy.set_fault(Some(LinkFault::Reset));
        sleep(EXPIRE_TIME).await;
        world.store.remove_target(&name);
        world.note_leaving(&name);
        note
    } else {
        let entry = leaving_target_record(service, target.proxy.address);
        world.store.put_target(&name, &entry);
        world.note_leaving(&name);
        sleep(DRAIN_TIME).await;
        let note = world.disturb(SoakPart::Target(place), false);
        target.proxy.set_fault(Some(LinkFault::Reset));
        world.store.remove_target(&name);
        note
    };
    sleep(REUSE_TIME).await;
    target.proxy.set_fault(None);
    world.start_target(place);
    world.calm(note);
    target.busy.set(false);
}

/// Takes over what the targets recorded.
fn collect_arrivals(world: &SoakWorld) {
    let Some(target) = world.targets.first() else {
        return;
    };
    let begun = world.begun.into_std();
    let since = |at: std::time::Instant| clock_time(at.saturating_duration_since(begun));
    let arrivals = target.standin.arrivals();
    let arrivals = arrivals.borrow();
    world.evidence.borrow_mut().arrivals = arrivals
        .iter()
        .map(|arrival| SoakArrival {
            id: arrival.id.clone(),
            target: arrival.target.clone(),
            path: arrival.path.clone(),
            body_kept: arrival.body.as_ref() == BODY,
            patience_ms: arrival.timeout_ms,
            run: arrival.run,
            at: since(arrival.at),
            ended: arrival.ended.map(since),
        })
        .collect();
}
