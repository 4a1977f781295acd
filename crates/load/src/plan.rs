//! What a load run is to do.

use crate::addresses::check_loopback;
use crate::error::{InvalidPlanSnafu, LoadError};
use crocusyard_base::prelude::*;
use snafu::ensure;
use std::net::SocketAddr;
use std::str::FromStr;

/// Longest run; a mistyped duration must not occupy the machine.
const SPAN_MAX: ClockTime = ClockTime::from_secs(3600);
/// Most calls of one run; all of them are planned in memory.
const CALLS_MAX: usize = 2_000_000;
/// Highest mean rate, calls a second.
const RATE_MAX: f64 = 20_000.0;
/// Longest chat answer, tokens; longer answers would outlast the wait at the end of a run.
const TOKENS_MAX: u32 = 4096;

/// How arrivals spread over a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalShape {
    /// Equal gaps.
    Constant,
    /// Independent arrivals.
    Poisson,
    /// Independent arrivals whose rate alternates between a low and a high level.
    Bursty,
    /// A day in the span of the run: a morning peak of small and an evening peak of large requests.
    Day,
    /// Demand for one group of models rises tenfold at half of the span.
    Shift,
}

impl FromStr for ArrivalShape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "constant" => Ok(Self::Constant),
            "poisson" => Ok(Self::Poisson),
            "bursty" => Ok(Self::Bursty),
            "day" => Ok(Self::Day),
            "shift" => Ok(Self::Shift),
            _ => Err("expected constant, poisson, bursty, day or shift".to_owned()),
        }
    }
}

/// Relative shares of the kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MixShares {
    /// Streamed chats.
    pub chat: f64,
    /// Plain reads.
    pub get: f64,
    /// Keyed calls that may run only once.
    pub post: f64,
}

impl FromStr for MixShares {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let shares: Result<Vec<f64>, _> = text.split(',').map(|part| part.trim().parse()).collect();
        let [chat, get, post] = shares.unwrap_or_default()[..] else {
            return Err("expected three numbers: CHAT,GET,POST".to_owned());
        };
        let is_share = |share: &f64| share.is_finite() && *share >= 0.0;
        if ![chat, get, post].iter().all(is_share) || chat + get + post <= 0.0 {
            return Err("expected shares of at least 0, one of them above 0".to_owned());
        }
        Ok(Self { chat, get, post })
    }
}

/// A load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entry hosts that are asked for addresses.
    pub entries: Vec<SocketAddr>,
    /// Stand-ins of plain services that are asked at the end which calls ran.
    pub plain_standins: Vec<SocketAddr>,
    /// Spread of the arrivals.
    pub shape: ArrivalShape,
    /// Mean arrival rate, calls a second; `shift` exceeds it in its second half.
    pub rate: f64,
    /// Time in which calls arrive.
    pub span: ClockTime,
    /// Most calls.
    pub max_calls: usize,
    /// Seed of the schedule.
    pub seed: u64,
    /// Models and adapters, most popular first.
    pub models: Vec<String>,
    /// Plain services, most popular first.
    pub services: Vec<String>,
    /// Tenants, most active first.
    pub tenants: Vec<String>,
    /// Exponent of the Zipf distributions of models, services and tenants; 0 is uniform.
    pub skew: f64,
    /// Kinds of calls.
    pub mix: MixShares,
    /// Answer length of a small chat, tokens; a large one has four times as many.
    pub tokens: u32,
    /// Share of chats in class `batch`; the others are `interactive`.
    pub batch_share: f64,
    /// Most calls in progress; calls that arrive beyond it are dropped and counted.
    pub max_in_flight: usize,
    /// Time after the last arrival in which calls may end.
    pub drain: ClockTime,
}

impl Default for LoadPlan {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            plain_standins: Vec::new(),
            shape: ArrivalShape::Poisson,
            rate: 20.0,
            span: ClockTime::from_secs(10),
            max_calls: 100_000,
            seed: 1,
            models: Vec::new(),
            services: Vec::new(),
            tenants: Vec::new(),
            skew: 1.0,
            mix: MixShares {
                chat: 0.7,
                get: 0.2,
                post: 0.1,
            },
            tokens: 32,
            batch_share: 0.0,
            max_in_flight: 4096,
            drain: ClockTime::from_secs(30),
        }
    }
}

impl LoadPlan {
    /// Checks that the plan is bounded and stays on this machine.
    ///
    /// # Errors
    ///
    /// Fails on an address off loopback and on a value out of bounds.
    pub fn check(&self) -> Result<(), LoadError> {
        for address in self.entries.iter().chain(&self.plain_standins) {
            check_loopback(*address)?;
        }
        let is_rate = self.rate > 0.0 && self.rate <= RATE_MAX;
        let is_calls = (1..=CALLS_MAX).contains(&self.max_calls);
        let is_span = self.span > ClockTime::ZERO && self.span <= SPAN_MAX;
        let is_drain = self.drain <= SPAN_MAX;
        let is_tokens = (1..=TOKENS_MAX).contains(&self.tokens);
        let is_skew = self.skew.is_finite() && self.skew >= 0.0;
        let expected = "the rate must be above 0 and at most 20000 calls a second";
        ensure!(is_rate, InvalidPlanSnafu { expected });
        let expected = "the number of calls must be 1 to 2000000";
        ensure!(is_calls, InvalidPlanSnafu { expected });
        let expected = "the span must be above 0 and at most an hour";
        ensure!(is_span, InvalidPlanSnafu { expected });
        let expected = "the time to end must be at most an hour";
        ensure!(is_drain, InvalidPlanSnafu { expected });
        let expected = "the answer length must be 1 to 4096 tokens";
        ensure!(is_tokens, InvalidPlanSnafu { expected });
        let expected = "the skew must be at least 0";
        ensure!(is_skew, InvalidPlanSnafu { expected });
        let expected = "the batch share must be 0 to 1";
        let is_share = (0.0..=1.0).contains(&self.batch_share);
        ensure!(is_share, InvalidPlanSnafu { expected });
        let expected = "at least one entry host must be given";
        ensure!(!self.entries.is_empty(), InvalidPlanSnafu { expected });
        let expected = "at least one tenant must be given";
        ensure!(!self.tenants.is_empty(), InvalidPlanSnafu { expected });
        let needs_services = self.mix.get + self.mix.post > 0.0;
        let expected = "plain calls need a service; give one or a mix without plain calls";
        ensure!(
            !needs_services || !self.services.is_empty(),
            InvalidPlanSnafu { expected }
        );
        Ok(())
    }
}
