//! State of the request reducer.

use crate::crash_suspects::{CompletedDigests, CrashSuspects};
use crate::effect::RefusalCode;
use crate::probe::ProbeTable;
use crate::retry::RetryBudget;
use crate::spec::RequestSpec;
use crocusyard_admission::prelude::*;
use crocusyard_base::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Settings of the request reducer.
#[derive(Clone, Debug, Default)]
pub struct RequestSettings {
    /// Upper 64 bits of all attempt and claim ids; each process needs a different value.
    pub id_prefix: u64,
    /// Limits, timeouts and intervals.
    pub limits: RequestLimits,
}

/// Limits, timeouts and intervals of the request reducer.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimits {
    /// Fraction of a retry that each new request adds to the retry budget.
    pub retry_ratio: f64,
    /// Capacity of the retry budget, in retries; the budget starts full.
    pub retry_reserve: f64,
    /// Maximum number of retries of one request.
    pub max_retries: u32,
    /// Maximum number of resumes of one stream without a new chunk in between.
    pub max_resumes: u32,
    /// Wait before the first retry, which doubles with each further retry.
    pub initial_backoff: ClockTime,
    /// Longest wait before a retry.
    pub max_backoff: ClockTime,
    /// Time from the first write of a claim within which its call must be dispatched or refused.
    pub dispatch_window: ClockTime,
    /// Wait before the second read of a claim that another host holds; it grows to eight times.
    pub claim_poll_interval: ClockTime,
    /// Time for which another host's claim is polled before the target's execution record is read.
    pub execution_check_delay: ClockTime,
    /// Maximum number of failed tries in a row to reach the table service, or to read an execution
    /// record.
    pub max_table_tries: u32,
    /// Maximum number of requests of this host that wait for another one with the same key.
    pub max_key_waiters: usize,
    /// Time after the deadline of a claimed call for which its answer is still awaited and
    /// recorded.
    pub claim_linger: ClockTime,
    /// Time to the first chunk after which an engine without load is probed.
    pub first_chunk_timeout: ClockTime,
    /// Time from one chunk to the next after which an engine without load is probed.
    pub between_chunks_timeout: ClockTime,
    /// Time without a byte after which a plain service without load is probed.
    pub service_idle_timeout: ClockTime,
    /// Time within which a target has to answer a probe.
    pub probe_timeout: ClockTime,
    /// Minimum time between two probes of one target.
    pub probe_interval: ClockTime,
    /// Number of crashed targets at which a digest is refused.
    pub max_crashed_targets: usize,
    /// Time after its last crash for which a digest stays suspected.
    pub crash_suspect_ttl: ClockTime,
    /// Wait before each attempt of a suspected request, for crash reports of other hosts.
    pub crash_report_wait: ClockTime,
    /// Maximum number of suspected digests that are kept.
    pub max_crash_suspects: usize,
    /// Maximum number of digests of completed requests that are kept.
    pub max_completed_digests: usize,
    /// Minimum time between two reports that one model is missing.
    pub missing_model_interval: ClockTime,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            // With 0.09 and a reserve of 10, attempts stay below 1.1 times the requests from the
            // 1,000th request on, and the first requests of a new host can still be retried.
            retry_ratio: 0.09,
            retry_reserve: 10.0,
            max_retries: 3,
            max_resumes: 3,
            initial_backoff: ClockTime::from_ms(25),
            max_backoff: ClockTime::from_secs(1),
            // Below the 3 s after which a leaving target must no longer receive new work, because
            // the target is chosen before the claim is written.
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
            // An urgent gossip update reaches 9 hosts in two hops, at once or with the pings of the
            // next half second. A request that did not cause the crash still starts within the
            // 1.7 s to its first token.
            crash_report_wait: ClockTime::from_ms(750),
            max_crash_suspects: 4096,
            // About 15 s of a host's requests at the planned peak load, in about 200 KB.
            max_completed_digests: 4096,
            missing_model_interval: ClockTime::from_secs(1),
        }
    }
}

/// Phase of a request in progress.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum RequestPhase {
    /// The claim row is being read, or the request has just arrived.
    ReadingClaim,
    /// The claim row will be read again at `at`.
    PollingClaim { at: ClockTime },
    /// Another request of this host with the same idempotency key is in progress.
    WaitingForOwner,
    /// The request is in the admission queue.
    Queued,
    /// The claim is being written, or changed to name another target.
    WritingClaim,
    /// An attempt is in progress.
    Running,
    /// A target will be chosen for the next attempt at `at`.
    Retrying { at: ClockTime },
    /// The stream will be resumed on the same target at `at`.
    Resuming { at: ClockTime },
    /// The answer is being recorded: that of the attempt `source`, or with `None` the one from the
    /// target's execution record. `retry_at` is set while a failed write waits to be repeated.
    Recording {
        source: Option<AttemptId>,
        retry_at: Option<ClockTime>,
    },
    /// The target's execution record is being read. `retry_at` is set while the next read waits.
    Checking { retry_at: Option<ClockTime> },
}

/// A claim of a request's call, or the claim of another host that the request waits for.
#[derive(Clone, Debug)]
pub(crate) struct ClaimState {
    pub(crate) claim: ClaimId,
    /// Target that the claim names for the call.
    pub(crate) target: Option<TargetName>,
    /// Time of the first write of an own claim, or of the first read of another host's claim.
    pub(crate) since: ClockTime,
    /// Version of the released row that the claim replaces; `None` if there was no row.
    pub(crate) replaced_version: Option<u64>,
    /// Whether the reply to a write was lost, so that the write may still take effect.
    pub(crate) maybe_written: bool,
}

/// The attempt of a request that is in progress.
#[derive(Clone, Debug)]
pub(crate) struct AttemptEntry {
    pub(crate) attempt: AttemptId,
    pub(crate) target: TargetName,
    pub(crate) started: ClockTime,
    /// Time of the start, or of the last event of the attempt's connection.
    pub(crate) last_activity: ClockTime,
    /// Whether bytes of the attempt may have been sent.
    pub(crate) sent: bool,
    pub(crate) head_received: bool,
    pub(crate) first_chunk_at: Option<ClockTime>,
    /// Whether the attempt continues a stream that an earlier attempt started.
    pub(crate) is_resume: bool,
    pub(crate) idle_timeouts: IdleTimeouts,
}

/// Times without activity after which the target of an attempt is probed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleTimeouts {
    /// Timeout up to the first chunk.
    pub(crate) first_chunk: ClockTime,
    /// Timeout after the first chunk.
    pub(crate) between_chunks: ClockTime,
}

/// An engine's stream, which can be resumed by the id of the attempt that started it.
#[derive(Clone, Debug)]
pub(crate) struct StreamState {
    /// Attempt that started the stream.
    pub(crate) origin: AttemptId,
    pub(crate) target: TargetName,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) spec: RequestSpec,
    pub(crate) arrived: ClockTime,
    pub(crate) phase: RequestPhase,
    /// Time of the request's timer in `RequestState::timers`.
    pub(crate) wake_at: ClockTime,
    /// Work as admission counts it, from leaving the queue to the end of the request.
    pub(crate) admitted: Option<QueuedWork>,
    /// Time at which the request left the queue.
    pub(crate) dispatched: Option<ClockTime>,
    pub(crate) attempt: Option<AttemptEntry>,
    pub(crate) stream: Option<StreamState>,
    pub(crate) tried_targets: Vec<TargetName>,
    /// Target of the last attempt, for the metrics and for the failure domain to avoid.
    pub(crate) last_target: Option<TargetName>,
    /// Number of attempts, without resumes.
    pub(crate) attempt_count: u32,
    /// Number of resumes since the last new chunk.
    pub(crate) resume_count: u32,
    /// Whether a target may have run an attempt that has ended.
    pub(crate) may_have_run: bool,
    /// Index of the next chunk for the caller.
    pub(crate) next_chunk: u32,
    /// Whether the head of an answer was passed on.
    pub(crate) head_delivered: bool,
    pub(crate) first_chunk_at: Option<ClockTime>,
    pub(crate) last_chunk_at: Option<ClockTime>,
    /// Key of the claim's row, for a call with an idempotency key that may not run twice.
    pub(crate) claim_row: Option<Arc<str>>,
    /// Claim of this request; its id stays the same if the claim is written again.
    pub(crate) claim: Option<ClaimState>,
    /// Whether the write of `claim` was requested and is not known to be refused.
    pub(crate) claim_requested: bool,
    /// Whether `claim` is known to be in the row.
    pub(crate) claim_granted: bool,
    /// Version of the row, if the last read showed that its claim was released.
    pub(crate) released_version: Option<u64>,
    /// Another host's claim in the row.
    pub(crate) other_claim: Option<ClaimState>,
    /// Number of tries in a row that failed to read or write the claim's row, or to read the
    /// execution record.
    pub(crate) failed_tries: u32,
    /// Whether the caller has left or was refused while the call goes on.
    pub(crate) detached: bool,
    /// Whether the request waits for its model to be loaded.
    pub(crate) awaiting_model: bool,
    /// Number of attempts that ended before a byte was sent.
    pub(crate) unsent_attempts: usize,
    /// Time at which `crash_suspects::must_wait` began to hold the next attempt back.
    pub(crate) held_since: Option<ClockTime>,
    /// Reason of the refusal that the caller received, for the metrics.
    pub(crate) refusal_code: Option<RefusalCode>,
}

impl RequestEntry {
    pub(crate) fn new(spec: RequestSpec, now: ClockTime) -> Self {
        Self {
            spec,
            arrived: now,
            phase: RequestPhase::ReadingClaim,
            wake_at: ClockTime::NEVER,
            admitted: None,
            dispatched: None,
            attempt: None,
            stream: None,
            tried_targets: Vec::new(),
            last_target: None,
            attempt_count: 0,
            resume_count: 0,
            may_have_run: false,
            next_chunk: 0,
            head_delivered: false,
            first_chunk_at: None,
            last_chunk_at: None,
            claim_row: None,
            claim: None,
            claim_requested: false,
            claim_granted: false,
            released_version: None,
            other_claim: None,
            failed_tries: 0,
            detached: false,
            awaiting_model: false,
            unsent_attempts: 0,
            held_since: None,
            refusal_code: None,
        }
    }
}

/// Requests of this host with one idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct KeyRequests {
    /// Request in progress.
    pub(crate) owner: RequestKey,
    /// Repeats that wait for the end of the owner, in order of arrival.
    pub(crate) waiters: VecDeque<RequestKey>,
}

/// State of the request reducer.
#[derive(Clone, Debug, Default)]
pub struct RequestState {
    pub(crate) settings: RequestSettings,
    pub(crate) requests: BTreeMap<RequestKey, RequestEntry>,
    /// Request of each attempt in progress.
    pub(crate) attempts: BTreeMap<AttemptId, RequestKey>,
    /// Requests with an attempt in progress at each target.
    pub(crate) requests_by_target: BTreeMap<TargetName, BTreeSet<RequestKey>>,
    /// Timers of all requests in order of time; see `RequestEntry::wake_at`.
    pub(crate) timers: BTreeSet<(ClockTime, RequestKey)>,
    /// Requests that share an idempotency key, by claim row.
    pub(crate) key_requests: BTreeMap<Arc<str>, KeyRequests>,
    /// Earliest time of the next report that each model is missing.
    pub(crate) next_model_reports: BTreeMap<ModelName, ClockTime>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) crash_suspects: CrashSuspects,
    pub(crate) completed_digests: CompletedDigests,
    pub(crate) probes: ProbeTable,
    /// Number of identifiers made so far.
    pub(crate) id_count: u64,
}

impl RequestState {
    /// Makes a state without requests and with a full retry budget.
    pub fn new(settings: RequestSettings) -> Self {
        Self {
            retry_budget: RetryBudget::new(settings.limits.retry_reserve),
            settings,
            ..Self::default()
        }
    }

    /// Returns the number of requests in progress, including claimed calls whose callers have left.
    pub fn in_progress(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of attempts in progress per class, without classes that have none.
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

    /// Returns whether a request is in progress, even if its caller has left.
    pub fn is_in_progress(&self, key: RequestKey) -> bool {
        self.requests.contains_key(&key)
    }

    /// Returns the number of digests that are suspected of crashing targets.
    pub fn crash_suspects(&self) -> usize {
        self.crash_suspects.len()
    }

    /// Makes an identifier that is unique among all processes.
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

    /// Sets the timer of a request, at the latest to its deadline, or for a detached request to
    /// `RequestLimits::claim_linger` after it.
    pub(crate) fn set_wake(&mut self, key: RequestKey, wake: ClockTime) {
        let Some(entry) = self.requests.get_mut(&key) else {
            return;
        };
        let limit = match entry.detached {
            true => entry.spec.deadline + self.settings.limits.claim_linger,
            false => entry.spec.deadline,
        };
        let wake = wake.min(limit);
        self.timers.remove(&(entry.wake_at, key));
        entry.wake_at = wake;
        self.timers.insert((wake, key));
    }
}
