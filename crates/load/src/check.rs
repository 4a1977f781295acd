//! Checks of the answers of the stand-ins, which are determined by the call.

use crocusyard_standins::answers::answer_token;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Defect of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallDefect {
    /// Some content differs from the expected answer to this call.
    Wrong,
    /// The answer ended early although it was marked as complete.
    Partial,
    /// A token came twice.
    Duplicate,
}

/// Numbers of defects; all must be 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DefectCounts {
    /// Answers with wrong content.
    pub wrong: u64,
    /// Answers that ended early although they were marked as complete.
    pub partial: u64,
    /// Tokens that came twice.
    pub duplicate: u64,
    /// Keyed calls that ran more than once.
    pub ran_twice: u64,
    /// Keyed calls that were answered in whole but did not run.
    pub never_ran: u64,
}

impl DefectCounts {
    /// Counts a defect.
    pub fn add(&mut self, defect: CallDefect) {
        match defect {
            CallDefect::Wrong => self.wrong += 1,
            CallDefect::Partial => self.partial += 1,
            CallDefect::Duplicate => self.duplicate += 1,
        }
    }

    /// Returns whether there is any defect.
    pub fn any(&self) -> bool {
        *self != Self::default()
    }
}

/// Checks one streamed answer, token by token and across resumes.
#[derive(Clone, Debug)]
pub struct StreamCheck {
    model: String,
    prompt: String,
    expected: u32,
    received: u32,
    duplicates: u64,
    is_wrong: bool,
}

impl StreamCheck {
    /// Starts the check of an answer of `expected` tokens.
    pub fn new(model: &str, prompt: &str, expected: u32) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            expected,
            received: 0,
            duplicates: 0,
            is_wrong: false,
        }
    }

    /// Checks the next token.
    pub fn push_token(&mut self, token: &str) {
        let token_at = |index| answer_token(&self.model, &self.prompt, index);
        if self.received < self.expected && token == token_at(self.received) {
            self.received += 1;
        } else if (0..self.received).any(|index| token == token_at(index)) {
            self.duplicates += 1;
        } else {
            self.is_wrong = true;
        }
    }

    /// Expects the first token again, because the call is repeated from its start.
    pub fn restart(&mut self) {
        self.received = 0;
    }

    /// Returns the number of correct tokens so far.
    pub fn received(&self) -> u32 {
        self.received
    }

    /// Returns the defects of the answer; `ended` is whether it was marked as complete.
    pub fn defects(&self, ended: bool) -> Vec<CallDefect> {
        let mut defects = Vec::new();
        if self.is_wrong {
            defects.push(CallDefect::Wrong);
        }
        if ended && self.received < self.expected {
            defects.push(CallDefect::Partial);
        }
        for _ in 0..self.duplicates {
            defects.push(CallDefect::Duplicate);
        }
        defects
    }
}

/// The call that the answer of a plain stand-in must echo.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainCheck<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path below the service, with its first slash.
    pub path: &'a str,
    /// Query, without the question mark.
    pub query: &'a str,
    /// Request body; empty if there is none.
    pub body: &'a str,
}

#[derive(Deserialize)]
struct EchoedCall {
    method: String,
    path: String,
    query: String,
    body: String,
}

impl PlainCheck<'_> {
    /// Returns the defect of a received answer, if it has one.
    pub fn defect(&self, answer: &[u8]) -> Option<CallDefect> {
        match serde_json::from_slice::<EchoedCall>(answer) {
            Err(error) if error.is_eof() => Some(CallDefect::Partial),
            Err(_) => Some(CallDefect::Wrong),
            Ok(echo) => {
                let is_right = echo.method == self.method
                    && echo.path == self.path
                    && echo.query == self.query
                    && echo.body == self.body;
                (!is_right).then_some(CallDefect::Wrong)
            }
        }
    }
}

/// Returns the number of keyed calls that ran more than once, and of answered ones that never ran.
///
/// `runs` holds, for each stand-in, how often each key ran. Keys of other load runs, which are not
/// in `sent`, are ignored.
pub fn check_runs(
    runs: &[BTreeMap<String, u64>],
    sent: &BTreeSet<String>,
    answered: &BTreeSet<String>,
) -> (u64, u64) {
    let count = |key: &String| -> u64 { runs.iter().filter_map(|runs| runs.get(key)).sum() };
    let twice = sent.iter().filter(|key| count(key) > 1).count();
    let never = answered.iter().filter(|key| count(key) == 0).count();
    (twice as u64, never as u64)
}
