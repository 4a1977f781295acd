//! Draws the faults of a run from its seed.

use crocusyard_base::prelude::*;
use crocusyard_platform_standin::prelude::{StoreFault, TargetFault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::path::PathBuf;

/// Mean time between faults, ms; with the durations below, two or three faults overlap.
const MEAN_FAULT_INTERVAL_MS: u64 = 700;
/// Shortest duration of a fault, ms.
const MIN_FAULT_MS: u64 = 150;
/// Longest duration of a fault, ms; longer than a lease lives and than heartbeats may stay away.
const MAX_FAULT_MS: u64 = 4_500;
/// One fault in this many begins a series of faults of the same kind.
const SERIES_ONE_IN: u32 = 4;
/// Most further faults in a series.
const MAX_SERIES_REPEATS: u32 = 3;
/// Time between the begins of two faults of a series, ms.
const SERIES_INTERVAL_MS: u64 = 300;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct SoakSettings {
    /// Seed of the faults and of the callers' random choices.
    pub seed: u64,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of targets.
    pub targets: usize,
    /// Number of callers.
    pub callers: usize,
    /// Time span in which faults are injected; the drawn durations end within it.
    pub fault_time: ClockTime,
    /// Path of the crocusyard binary.
    pub program: PathBuf,
    /// Folder for the log files of the hosts.
    pub logs: PathBuf,
}

/// A fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes are passed on after this delay, ms.
    Delayed(u64),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Bytes from the connecting side are held back until the fault ends.
    CutForward,
    /// Bytes from the listening side are held back until the fault ends.
    CutBackward,
    /// Bytes of both sides are held back until the fault ends.
    CutBoth,
}

/// A fault; a `usize` is the index of the host or target that it affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// A host process is paused with SIGSTOP and resumed at the end.
    HostPaused(usize),
    /// A host process is killed, and started again at the end.
    HostKilled(usize),
    /// A host is asked to stop with SIGTERM, and started again once its process has exited.
    HostStopped(usize),
    /// A host is asked to reload its settings with SIGHUP.
    HostReloaded(usize),
    /// The store has a fault of its own, such as being slow.
    StoreFails(StoreFault),
    /// The connections of a host to the store have a fault.
    StoreLink(usize, LinkFault),
    /// The connections of all hosts to a target have a fault.
    TargetLink(usize, LinkFault),
    /// The connections of callers to a host have a fault.
    CallerLink(usize, LinkFault),
    /// A target has a fault of its own, such as being slow.
    TargetFails(usize, TargetFault),
    /// A target crashes; later a new target starts at its address.
    TargetCrashed(usize),
    /// A target is marked as leaving in the store and drains; later a new target starts at its
    /// address.
    TargetLeaves(usize),
    /// An operator moves the route for repeatable calls to the other service.
    RouteMoved,
}

impl SoakFault {
    /// Returns the name of the kind, under which the report counts the fault.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::HostPaused(_) => "host_paused",
            Self::HostKilled(_) => "host_killed",
            Self::HostStopped(_) => "host_stopped",
            Self::HostReloaded(_) => "host_reloaded",
            Self::StoreFails(_) => "store_fails",
            Self::StoreLink(..) => "store_link",
            Self::TargetLink(..) => "target_link",
            Self::CallerLink(..) => "caller_link",
            Self::TargetFails(..) => "target_fails",
            Self::TargetCrashed(_) => "target_crashed",
            Self::TargetLeaves(_) => "target_leaves",
            Self::RouteMoved => "route_moved",
        }
    }
}

/// A fault and the time in which it is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time from the begin of the fault injection to the begin of this fault.
    pub at: ClockTime,
    /// How long the fault is active; stops and reloads of hosts, replacements of targets and moves
    /// of routes take their own time instead.
    pub duration: ClockTime,
    /// The fault to inject.
    pub fault: SoakFault,
}

/// Draws the faults of a run, sorted by their begin.
pub fn plan_faults(settings: &SoakSettings) -> Vec<PlannedFault> {
    let mut rng = StdRng::seed_from_u64(settings.seed);
    let mut faults = Vec::new();
    let mut at = 0;
    loop {
        at += rng.random_range(1..2 * MEAN_FAULT_INTERVAL_MS);
        if at >= settings.fault_time.as_ms() {
            break;
        }
        let mut fault = draw_fault(&mut rng, settings);
        let repeats = if rng.random_ratio(1, SERIES_ONE_IN) {
            rng.random_range(1..=MAX_SERIES_REPEATS)
        } else {
            0
        };
        for number in 0..=u64::from(repeats) {
            let begin = at + number * SERIES_INTERVAL_MS;
            let longest = settings.fault_time.as_ms().saturating_sub(begin);
            if longest <= MIN_FAULT_MS {
                break;
            }
            let duration = rng.random_range(MIN_FAULT_MS..=MAX_FAULT_MS).min(longest);
            faults.push(PlannedFault {
                at: ClockTime::from_ms(begin),
                duration: ClockTime::from_ms(duration),
                fault,
            });
            fault = redraw_same_kind(&mut rng, settings, fault);
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

/// Returns a fault of the same kind at a host or target drawn anew.
fn redraw_same_kind(rng: &mut StdRng, settings: &SoakSettings, fault: SoakFault) -> SoakFault {
    let host = rng.random_range(0..settings.hosts);
    let target = rng.random_range(0..settings.targets);
    match fault {
        SoakFault::HostPaused(_) => SoakFault::HostPaused(host),
        SoakFault::HostKilled(_) => SoakFault::HostKilled(host),
        SoakFault::HostStopped(_) => SoakFault::HostStopped(host),
        SoakFault::HostReloaded(_) => SoakFault::HostReloaded(host),
        SoakFault::StoreLink(_, link) => SoakFault::StoreLink(host, link),
        SoakFault::TargetLink(_, link) => SoakFault::TargetLink(target, link),
        SoakFault::CallerLink(_, link) => SoakFault::CallerLink(host, link),
        SoakFault::TargetFails(_, fault) => SoakFault::TargetFails(target, fault),
        SoakFault::TargetCrashed(_) => SoakFault::TargetCrashed(target),
        SoakFault::TargetLeaves(_) => SoakFault::TargetLeaves(target),
        SoakFault::StoreFails(_) | SoakFault::RouteMoved => fault,
    }
}

fn draw_fault(rng: &mut StdRng, settings: &SoakSettings) -> SoakFault {
    let host = rng.random_range(0..settings.hosts);
    let target = rng.random_range(0..settings.targets);
    match rng.random_range(0..12) {
        0 => SoakFault::HostPaused(host),
        1 => SoakFault::HostKilled(host),
        2 => SoakFault::HostStopped(host),
        3 => SoakFault::HostReloaded(host),
        4 => SoakFault::StoreFails(draw_store_fault(rng)),
        5 => SoakFault::StoreLink(host, draw_link_fault(rng)),
        6 => SoakFault::TargetLink(target, draw_link_fault(rng)),
        7 => SoakFault::CallerLink(host, draw_link_fault(rng)),
        8 => SoakFault::TargetFails(target, draw_target_fault(rng)),
        9 => SoakFault::TargetCrashed(target),
        10 => SoakFault::TargetLeaves(target),
        _ => SoakFault::RouteMoved,
    }
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delayed(rng.random_range(20..600)),
        1 => LinkFault::Reset,
        2 => LinkFault::CutForward,
        3 => LinkFault::CutBackward,
        _ => LinkFault::CutBoth,
    }
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..4) {
        0 => StoreFault::Down,
        1 => StoreFault::Slow(rng.random_range(100..2_000)),
        2 => StoreFault::LosesAnswers,
        _ => StoreFault::ForgetsHistory,
    }
}

fn draw_target_fault(rng: &mut StdRng) -> TargetFault {
    match rng.random_range(0..12) {
        0 => TargetFault::LosesAnswer,
        1 => TargetFault::Full,
        2 => TargetFault::NoSeal,
        3 => TargetFault::WrongId,
        6 => TargetFault::RepeatsAnswers,
        7 => TargetFault::Fails,
        8 => TargetFault::BreaksStreams,
        9 => TargetFault::TricklesStreams,
        10 => TargetFault::SlowEvents(rng.random_range(100..400)),
        11 => TargetFault::WantsPause(rng.random_range(600..3_000)),
        // A sixth of the targets' faults are slow ones, as callers cancel only calls that last.
        _ => TargetFault::Slow(rng.random_range(100..2_500)),
    }
}
