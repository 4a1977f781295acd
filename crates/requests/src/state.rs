//! State of the request reducer.

use crate::blame::{BlameTable, ProvenTable};
use crate::budget::RetryBudget;
use crate::effect::RefusalCode;
use crate::probe::ProbeTable;
use crate::spec::RequestSpec;
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Settings of the request reducer.
#[derive(Clone, Debug, Default)]
pub struct RequestSettings {
    /// Distinguishes the identifiers of this process from those of every other.
    pub id_prefix: u64,
    /// Limits and intervals.
    pub limits: RequestLimits,
}

/// Limits and intervals of the request reducer.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimits {
    /// Retries that each new request earns.
    pub retry_ratio: f64,
    /// Retries that can be saved up; the budget starts with them.
    pub retry_reserve: f64,
    /// Retries of one request.
    pub max_retries: u32,
    /// Resumes of one stream without a new chunk in between.
    pub max_resumes: u32,
    /// Wait before the first retry; it doubles with each further one.
    pub initial_backoff: ClockTime,
    /// Longest wait before a retry.
    pub max_backoff: ClockTime,
    /// Time after the first claim request within which the call is dispatched or given up.
    pub dispatch_window: ClockTime,
    /// Shortest wait between two reads of a claim that another host holds; it grows to eight times.
    pub claim_poll_interval: ClockTime,
    /// Wait on another host's claim before the target's record is read.
    pub execution_check_delay: ClockTime,
    /// Table calls of one kind that a request makes in a row when answers fail.
    pub max_table_tries: u32,
    /// Repeats of one key that wait in this host.
    pub max_key_waiters: usize,
    /// Time after its deadline for which a claimed call is still collected and recorded.
    pub claim_linger: ClockTime,
    /// Time to the first chunk of an engine with no load.
    pub first_chunk_timeout: ClockTime,
    /// Time between two chunks of an engine with no load.
    pub between_chunks_timeout: ClockTime,
    /// Time without a byte from a plain service with no load.
    pub service_idle_timeout: ClockTime,
    /// Time for a probe to be answered.
    pub probe_timeout: ClockTime,
    /// Time between two probes of one target.
    pub probe_interval: ClockTime,
    /// Crashed targets after which a digest is refused.
    pub max_crashed_targets: usize,
    /// Time for which blame stands after the last crash.
    pub crash_suspect_ttl: ClockTime,
    /// Wait of a blamed request before each attempt, for news of its crashes at other hosts.
    pub crash_report_wait: ClockTime,
    /// Blamed digests that are remembered.
    pub max_crash_suspects: usize,
    /// Digests of completed requests that are remembered.
    pub max_completed_digests: usize,
    /// Time between two demands for one model.
    pub demand_interval: ClockTime,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            // With 0.09 and a reserve of 10, attempts stay below 1.1 times the requests from the
            // 1,000th request on, and the first requests of a new host can be retried as well.
            retry_ratio: 0.09,
            retry_reserve: 10.0,
            max_retries: 3,
            max_resumes: 3,
            initial_backoff: ClockTime::from_ms(25),
            max_backoff: ClockTime::from_secs(1),
            // Below the 3 s within which a leaving target must receive no new work, because the
            // target is chosen before the claim is written.
            dispatch_window: ClockTime::from_secs(2),
            claim_poll_interval: ClockTime::from_ms(50),
            execution_check_delay: ClockTime::from_secs(2),
            max_table_tries: 3,
            max_key_waiters: 64,
            claim_linger: ClockTime::from_secs(300),
            first_chunk_timeout: ClockTime::from_secs(2),
            between_chunks_timeout: ClockTime::from_secs(1),
            service_idle_timeout: ClockTime::from_secs(10),
            probe_timeout: ClockTime::from_secs(2),
            probe_interval: ClockTime::from_secs(5),
            max_crashed_targets: 2,
            crash_suspect_ttl: ClockTime::from_secs(600),
            // Urgent news reaches 9 hosts in two hops at once, or with the pings of the next half
            // second. An innocent request still starts within the 1.7 s to its first token.
            crash_report_wait: ClockTime::from_ms(750),
            max_crash_suspects: 4096,
            // Some 15 s of a host's requests at the planned peak, in about 200 KB.
            max_completed_digests: 4096,
            demand_interval: ClockTime::from_secs(1),
        }
    }
}

/// What a request waits for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RequestPhase {
    /// The claim row is being read, or the request has just arrived.
    Reading,
    /// The claim row will be read again.
    Polling { at: ClockTime },
    /// Another request of this host with the same key is in progress.
    Joined,
    /// In the admission queue.
    Queued,
    /// The claim is being written.
    Claiming,
    /// An attempt is in progress.
    Running,
    /// A retry on another target is due.
    Retrying { at: ClockTime },
    /// A resume on the same target is due.
    Resuming { at: ClockTime },
    /// An answer is being recorded, that of an attempt or the one of the target's record; `retry`
    /// is when to record again after a failed try.
    Recording {
        answer: Option<AttemptId>,
        retry: Option<ClockTime>,
    },
    /// The target's record is being read; `retry` is when to read again after a failed try.
    Settling { retry: Option<ClockTime> },
}

/// A claim of this request, or the claim of another host that it waits for.
#[derive(Clone, Debug)]
pub(crate) struct ClaimState {
    pub(crate) claim: ClaimId,
    pub(crate) target: Option<TargetName>,
    /// When it was first requested or first seen.
    pub(crate) since: ClockTime,
    /// Version of the released row that it replaces.
    pub(crate) over: Option<u64>,
    /// Whether the answer to a write of it was lost, so that the write may still take effect.
    pub(crate) doubtful: bool,
}

/// The attempt in progress.
#[derive(Clone, Debug)]
pub(crate) struct AttemptEntry {
    pub(crate) attempt: AttemptId,
    pub(crate) target: TargetName,
    pub(crate) started: ClockTime,
    pub(crate) active: ClockTime,
    pub(crate) sent: bool,
    pub(crate) head: bool,
    pub(crate) first: Option<ClockTime>,
    pub(crate) resumes: bool,
    pub(crate) limits: SilenceLimits,
}

/// Silence after which an attempt's connection is doubted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SilenceLimits {
    pub(crate) first: ClockTime,
    pub(crate) between: ClockTime,
}

/// An engine's stream, which can be resumed under the attempt that started it.
#[derive(Clone, Debug)]
pub(crate) struct StreamState {
    pub(crate) origin: AttemptId,
    pub(crate) target: TargetName,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) spec: RequestSpec,
    pub(crate) arrived: ClockTime,
    pub(crate) phase: RequestPhase,
    /// Point of its timer in `RequestState::timers`.
    pub(crate) wake: ClockTime,
    /// Its place in admission, from leaving the queue to its end.
    pub(crate) admitted: Option<QueuedWork>,
    pub(crate) dispatched: Option<ClockTime>,
    pub(crate) attempt: Option<AttemptEntry>,
    pub(crate) stream: Option<StreamState>,
    pub(crate) tried: Vec<TargetName>,
    /// Last target, for the metrics and for the failure domain to avoid.
    pub(crate) target: Option<TargetName>,
    /// Attempts, without resumes.
    pub(crate) attempts: u32,
    /// Resumes since the last new chunk.
    pub(crate) resumes: u32,
    /// Whether an attempt that is over may have run.
    pub(crate) may_have_run: bool,
    /// Index of the next chunk for the caller.
    pub(crate) next: u32,
    /// Whether the caller has the head.
    pub(crate) head: bool,
    pub(crate) first: Option<ClockTime>,
    pub(crate) last: Option<ClockTime>,
    /// Row of the claim, for a keyed call that may not run twice.
    pub(crate) row: Option<Arc<str>>,
    /// This request's own claim; its id stays the same if it is written again.
    pub(crate) claim: Option<ClaimState>,
    /// Whether the own claim was requested and is not known to be refused.
    pub(crate) claiming: bool,
    /// Whether the own claim is known to stand.
    pub(crate) granted: bool,
    /// Version of the row, if the last read showed that its claim was released.
    pub(crate) released: Option<u64>,
    /// Another host's claim under the same key.
    pub(crate) holder: Option<ClaimState>,
    /// Table or record calls of the present kind that failed in a row.
    pub(crate) failures: u32,
    /// Whether nobody waits for the answer any more.
    pub(crate) detached: bool,
    /// Whether the request waits for its model to be loaded.
    pub(crate) wants_model: bool,
    /// Attempts that did not reach their targets.
    pub(crate) unreached: usize,
    /// When an attempt was first held back because the digest is blamed.
    pub(crate) held: Option<ClockTime>,
    /// Code of the refusal that the caller got, for the metrics.
    pub(crate) code: Option<RefusalCode>,
}

impl RequestEntry {
    pub(crate) fn new(spec: RequestSpec, now: ClockTime) -> Self {
        Self {
            spec,
            arrived: now,
            phase: RequestPhase::Reading,
            wake: ClockTime::NEVER,
            admitted: None,
            dispatched: None,
            attempt: None,
            stream: None,
            tried: Vec::new(),
            target: None,
            attempts: 0,
            resumes: 0,
            may_have_run: false,
            next: 0,
            head: false,
            first: None,
            last: None,
            row: None,
            claim: None,
            claiming: false,
            granted: false,
            released: None,
            holder: None,
            failures: 0,
            detached: false,
            wants_model: false,
            unreached: 0,
            held: None,
            code: None,
        }
    }
}

/// Requests of this host under one idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct KeyWork {
    pub(crate) owner: RequestKey,
    pub(crate) waiters: VecDeque<RequestKey>,
}

/// State of the request reducer.
#[derive(Clone, Debug, Default)]
pub struct RequestState {
    pub(crate) settings: RequestSettings,
    pub(crate) requests: BTreeMap<RequestKey, RequestEntry>,
    pub(crate) attempts: BTreeMap<AttemptId, RequestKey>,
    /// Attempts in progress at each target.
    pub(crate) at_target: BTreeMap<TargetName, BTreeSet<RequestKey>>,
    pub(crate) timers: BTreeSet<(ClockTime, RequestKey)>,
    pub(crate) keys: BTreeMap<Arc<str>, KeyWork>,
    pub(crate) wanted: BTreeMap<ModelName, ClockTime>,
    pub(crate) budget: RetryBudget,
    pub(crate) blame: BlameTable,
    pub(crate) proven: ProvenTable,
    pub(crate) probes: ProbeTable,
    pub(crate) id_count: u64,
}

impl RequestState {
    /// Makes an empty state.
    pub fn new(settings: RequestSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings.limits.retry_reserve),
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of requests in progress, with claimed calls whose callers have left.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts in progress of each class that has any.
    pub fn attempts_by_class(&self) -> BTreeMap<ClassName, usize> {
        let mut counts = BTreeMap::new();
        for entry in self
            .attempts
            .values()
            .filter_map(|key| self.requests.get(key))
        {
            *counts.entry(entry.spec.class.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns whether a request is in progress, with or without a caller.
    pub fn is_in_progress(&self, key: RequestKey) -> bool {
        self.requests.contains_key(&key)
    }

    /// Returns the number of digests that are blamed for crashes.
    pub fn crash_suspects(&self) -> usize {
        self.blame.len()
    }

    /// Makes an identifier that no other process makes.
    pub(crate) fn make_id(&mut self) -> u128 {
        self.id_count += 1;
        (u128::from(self.settings.id_prefix) << 64) | u128::from(self.id_count)
    }

    /// Sets the phase of a request and its timer.
    pub(crate) fn set_phase(&mut self, key: RequestKey, phase: RequestPhase, wake: ClockTime) {
        if let Some(entry) = self.requests.get_mut(&key) {
            entry.phase = phase;
        }
        self.set_wake(key, wake);
    }

    /// Sets the timer of a request; it never lies behind the request's deadline.
    pub(crate) fn set_wake(&mut self, key: RequestKey, wake: ClockTime) {
        let Some(entry) = self.requests.get_mut(&key) else {
            return;
        };
        let limit = match entry.detached {
            true => entry.spec.deadline + self.settings.limits.claim_linger,
            false => entry.spec.deadline,
        };
        let wake = wake.min(limit);
        self.timers.remove(&(entry.wake, key));
        entry.wake = wake;
        self.timers.insert((wake, key));
    }
}
