//! Log lines about the steps of requests.

use crocusyard_base::prelude::*;
use log::kv::{Error, Key, Source, Value, VisitSource};
use log::{Level, Record};

/// Length to which request ids are cut in log lines, bytes; callers choose the text of their ids.
pub const REQUEST_ID_MAX_BYTES: usize = 64;

/// A step in the handling of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStep {
    /// The request arrived.
    Arrived,
    /// The request waits in the queue for a target.
    Queued,
    /// The request was refused.
    Refused,
    /// The request was sent to a target.
    Dispatched,
    /// The request is sent again after a failed attempt.
    Retried,
    /// The stream of the request continues from another attempt or connection.
    Resumed,
    /// The caller closed its connection before the end.
    Abandoned,
    /// The request ended.
    Ended,
}

impl RequestStep {
    /// Returns the message of the log line for the step.
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

/// The attributes that a log line holds about a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestFields<'a> {
    /// Identifier that the caller also sees.
    pub request_id: &'a RequestId,
    /// Tenant that the caller belongs to.
    pub tenant: &'a TenantName,
    /// Class of the request.
    pub class: &'a ClassName,
    /// Target of the attempt; `None` if the step has no target.
    pub target: Option<&'a TargetName>,
    /// Outcome, as named in problem documents; `None` if the step has no outcome.
    pub outcome: Option<&'static str>,
}

impl Source for RequestFields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), Error> {
        let request_id = truncate_request_id(&self.request_id.0);
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

/// Logs a step of a request; `module` is the `module_path!()` of the calling module.
pub fn log_request(
    level: Level,
    module: &'static str,
    step: RequestStep,
    fields: &RequestFields<'_>,
) {
    let logger = log::logger();
    write_request(logger, level, module, step, fields);
}

/// Logs a step of a request with a given logger.
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

/// Returns the longest prefix of up to [`REQUEST_ID_MAX_BYTES`] bytes that ends between characters.
fn truncate_request_id(text: &str) -> &str {
    let mut end = text.len().min(REQUEST_ID_MAX_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
