//! Settings of a load run.

use crate::addresses::check_loopback;
use crate::error::{InvalidPlanSnafu, LoadError};
use crocusyard_base::prelude::*;
use snafu::ensure;
use std::net::SocketAddr;
use std::str::FromStr;

/// Longest span and longest drain time, so that a mistyped duration does not occupy the machine.
const MAX_SPAN: ClockTime = ClockTime::from_secs(3600);
/// Upper bound of the calls of a run; all of them are planned in memory.
const MAX_CALLS: usize = 2_000_000;
/// Highest mean rate, calls per second.
const MAX_RATE: f64 = 20_000.0;
/// Longest answer of a small chat, tokens; longer ones would not end within the drain time.
const MAX_TOKENS: u32 = 4096;

/// Distribution of the arrivals over a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalShape {
    /// Equal times between arrivals.
    Constant,
    /// Independent arrivals at a constant rate.
    Poisson,
    /// Independent arrivals whose rate alternates between a low and a high level.
    Bursty,
    /// A whole day compressed into the span: a morning peak of small requests and an evening peak
    /// of large ones.
    Day,
    /// Demand for the least popular third of the models rises tenfold after half of the span.
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

/// Relative shares of the kinds of calls; they need not add up to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MixShares {
    /// Streamed chats.
    pub chat: f64,
    /// Reads from plain services.
    pub get: f64,
    /// Keyed calls to plain services, each of which may run only once.
    pub post: f64,
}

impl FromStr for MixShares {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let shares: Result<Vec<f64>, _> = text.split(',').map(|text| text.trim().parse()).collect();
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

/// Settings of a load run.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Entry hosts that are asked for addresses, in this order.
    pub entries: Vec<SocketAddr>,
    /// Plain service stand-ins that are asked at the end how often each keyed call ran.
    pub plain_standins: Vec<SocketAddr>,
    /// Distribution of the arrivals.
    pub shape: ArrivalShape,
    /// Mean arrival rate, calls per second; the shape `shift` exceeds it in the second half.
    pub rate: f64,
    /// Length of the time in which calls arrive.
    pub span: ClockTime,
    /// Upper bound of the number of calls.
    pub max_calls: usize,
    /// Seed of the schedule.
    pub seed: u64,
    /// Models and adapters, most popular first; if empty, an entry host is asked for them.
    pub models: Vec<String>,
    /// Plain services, most popular first.
    pub services: Vec<String>,
    /// Tenants, most active first.
    pub tenants: Vec<String>,
    /// Exponent of the Zipf distributions of models, services and tenants; 0 is uniform.
    pub skew: f64,
    /// Shares of the kinds of calls.
    pub mix: MixShares,
    /// Answer length of a small chat, tokens; a large one has four times as many.
    pub tokens: u32,
    /// Share of chats in class `batch`; the others are `interactive`.
    pub batch_share: f64,
    /// Upper bound of the calls in progress; calls that arrive while it is reached are dropped and
    /// counted.
    pub max_in_flight: usize,
    /// Time after the last arrival in which calls can still end.
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
    /// Checks that all values are within bounds and all addresses on this machine.
    ///
    /// # Errors
    ///
    /// Fails on an address off loopback and on a value out of bounds.
    pub fn check(&self) -> Result<(), LoadError> {
        for address in self.entries.iter().chain(&self.plain_standins) {
            check_loopback(*address)?;
        }
        let is_rate_valid = self.rate > 0.0 && self.rate <= MAX_RATE;
        let is_calls_valid = (1..=MAX_CALLS).contains(&self.max_calls);
        let is_span_valid = self.span > ClockTime::ZERO && self.span <= MAX_SPAN;
        let is_drain_valid = self.drain <= MAX_SPAN;
        let is_tokens_valid = (1..=MAX_TOKENS).contains(&self.tokens);
        let is_skew_valid = self.skew.is_finite() && self.skew >= 0.0;
        let expected = "the rate must be above 0 and at most 20000 calls a second";
        ensure!(is_rate_valid, InvalidPlanSnafu { expected });
        let expected = "the number of calls must be 1 to 2000000";
        ensure!(is_calls_valid, InvalidPlanSnafu { expected });
        let expected = "the span must be above 0 and at most an hour";
        ensure!(is_span_valid, InvalidPlanSnafu { expected });
        let expected = "the drain time must be at most an hour";
        ensure!(is_drain_valid, InvalidPlanSnafu { expected });
        let expected = "the answer length must be 1 to 4096 tokens";
        ensure!(is_tokens_valid, InvalidPlanSnafu { expected });
        let expected = "the skew must be at least 0";
        ensure!(is_skew_valid, InvalidPlanSnafu { expected });
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
