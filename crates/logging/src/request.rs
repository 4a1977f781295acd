//! Log lines about requests.

use crocusyard_base::prelude::*;
use log::kv::{Error, Key, Source, Value, VisitSource};
use log::{Level, Record};

/// Longest request id that is logged, bytes; callers choose its text.
pub const REQUEST_ID_MAX_BYTES: usize = 64;

/// A step in the life of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// It arrived.
    Arrived,
    /// It waits for a target.
    Queued,
    /// It was refused.
    Refused,
    /// It was sent to a target.
    Dispatched,
    /// It is sent again after a failed attempt.
    Retried,
    /// Its stream continues from another attempt or connection.
    Resumed,
    /// Its caller left.
    Abandoned,
    /// It ended.
    Ended,
}

impl RequestStep {
    /// Returns the message of the log line.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Arrived => "request arrived",
            Self::Queued => "request queued",
            Self::Refused => "request refused",
            Self::Dispatched => "request dispatched",
            Self::Retried => "request retried",
            Self::Resumed => "request resumed",
            Self::Abandoned => "request abandoned",
            Self::Ended => "request ended",
        }
    }
}

/// What a log line tells about a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestFields<'a> {
    /// Identifier shown to the caller.
    pub request_id: &'a RequestId,
    /// Tenant.
    pub tenant: &'a TenantName,
    /// Class.
    pub class: &'a ClassName,
    /// Target of the attempt.
    pub target: Option<&'a TargetName>,
    /// Outcome, as in problem documents.
    pub outcome: Option<&'static str>,
}

impl Source for RequestFields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), Error> {
        let request_id = shorten(&self.request_id.0);
        visitor.visit_pair(Key::from("request_id"), Value::from(request_id))?;
        visitor.visit_pair(Key::from("tenant"), Value::from(self.tenant.as_str()))?;
        visitor.visit_pair(Key::from("class"), Value::from(self.class.as_str()))?;
        if let Some(target) = self.target {
            visitor.visit_pair(Key::from("target"), Value::from(target.as_str()))?;
        }
        if let Some(outcome) = self.outcome {
            visitor.visit_pair(Key::from("outcome"), Value::from(outcome))?;
        }
        Ok(())
    }
}

/// Logs a step of a request; `module` is the `module_path!()` of the place that logs.
pub fn log_request(
    level: Level,
    module: &'static str,
    step: RequestStep,
    fields: &RequestFields<'_>,
) {
    let logger = log::logger();
    write_request(logger, level, module, step, fields);
}

/// Writes a step of a request to a given logger.
pub fn write_request(
    logger: &dyn log::Log,
    level: Level,
    module: &'static str,
    step: RequestStep,
    fields: &RequestFields<'_>,
) {
    let metadata = log::Metadata::builder().level(level).target(module).build();
    if level > log::max_level() || !logger.enabled(&metadata) {
        return;
    }
    logger.log(
        &Record::builder()
            .metadata(metadata)
            .args(format_args!("{}", step.as_str()))
            .module_path_static(Some(module))
            .key_values(fields)
            .build(),
    );
}

fn shorten(text: &str) -> &str {
    let mut end = text.len().min(REQUEST_ID_MAX_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
