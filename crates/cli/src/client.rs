//! Calls to the HTTP interface of a host.

use crate::arguments::CliArguments;
use crate::error::{CliError, MissingKeySnafu};
use awc::http::{Method, StatusCode};
use awc::Client;
use crocusyard_border::admin::{ConflictReply, ProblemsReply};
use crocusyard_settings::prelude::{read_secret, KeySettings, KeySource, SecretText};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest answer that is read; a catalogue of the planned size has less than 2 MB.
const ANSWER_MAX_BYTES: usize = 32 << 20;

/// Client of one host.
pub(crate) struct HostClient {
    client: Client,
    host: SocketAddr,
    key: Option<SecretText>,
}

/// Refusal of a change of presets.
#[derive(Debug)]
pub(crate) enum ChangeRefusal {
    /// The catalogue has problems.
    Problems(ProblemsReply),
    /// Anything else.
    Other(CliError),
}

/// The part of a problem document that is shown.
#[derive(Deserialize)]
struct ProblemText {
    #[serde(default)]
    title: String,
    #[serde(default)]
    detail: String,
}

struct RawAnswer {
    status: StatusCode,
    body: Vec<u8>,
}

impl HostClient {
    /// Makes a client without a key, for the interface of callers.
    pub(crate) fn for_callers(arguments: &CliArguments) -> Result<Self, CliError> {
        Self::build(arguments, None)
    }

    /// Makes a client with the operator key.
    pub(crate) fn for_operators(arguments: &CliArguments) -> Result<Self, CliError> {
        let source = match &arguments.key_file {
            Some(file) => KeySource {
                file: Some(file.clone()),
                env: None,
            },
            None => KeySettings::default().operator,
        };
        let key = read_secret(&source).context(MissingKeySnafu { name: "operator" })?;
        Self::build(arguments, Some(key))
    }

    fn build(arguments: &CliArguments, key: Option<SecretText>) -> Result<Self, CliError> {
        if arguments.timeout_ms == 0 {
            let expected = "--timeout-ms must be above 0";
            return Err(CliError::InvalidOptions { expected });
        }
        let limit = Duration::from_millis(arguments.timeout_ms);
        Ok(Self {
            client: Client::builder().timeout(limit).finish(),
            host: arguments.host,
            key,
        })
    }

    /// Reads a resource.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, CliError> {
        let answer = self.call(Method::GET, path, query, &()).await?;
        if answer.status.is_success() {
            self.parse(&answer)
        } else {
            Err(self.refusal(&answer))
        }
    }

    /// Sends a command.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let answer = self.call(Method::POST, path, &[], body).await?;
        if answer.status.is_success() {
            self.parse(&answer)
        } else {
            Err(self.refusal(&answer))
        }
    }

    /// Sends a change of presets.
    pub(crate) async fn post_change<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, ChangeRefusal> {
        let answer = self
            .call(Method::POST, path, &[], body)
            .await
            .map_err(ChangeRefusal::Other)?;
        match answer.status {
            status if status.is_success() => self.parse(&answer).map_err(ChangeRefusal::Other),
            StatusCode::UNPROCESSABLE_ENTITY => match self.parse(&answer) {
                Ok(problems) => Err(ChangeRefusal::Problems(problems)),
                Err(_) => Err(ChangeRefusal::Other(self.refusal(&answer))),
            },
            StatusCode::CONFLICT => {
                let reply: ConflictReply = self.parse(&answer).map_err(ChangeRefusal::Other)?;
                Err(ChangeRefusal::Other(CliError::Conflict {
                    version: reply.version,
                    diff: reply.diff,
                }))
            }
            _ => Err(ChangeRefusal::Other(self.refusal(&answer))),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        body: &impl Serialize,
    ) -> Result<RawAnswer, CliError> {
        let unreachable = |cause: String| CliError::Unreachable {
            host: self.host.to_string(),
            cause,
        };
        let url = format!("http://{}{path}", self.host);
        let mut request = self.client.request(method.clone(), url);
        if !query.is_empty() {
            request = request
                .query(&query)
                .map_err(|error| unreachable(error.to_string()))?;
        }
        if let Some(key) = &self.key {
            request = request.bearer_auth(key.reveal());
        }
        let sending = if method == Method::GET {
            request.send()
        } else {
            request.send_json(body)
        };
        let mut answer = sending
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let status = answer.status();
        let body = answer
            .body()
            .limit(ANSWER_MAX_BYTES)
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(RawAnswer {
            status,
            body: body.to_vec(),
        })
    }

    fn parse<T: DeserializeOwned>(&self, answer: &RawAnswer) -> Result<T, CliError> {
        serde_json::from_slice(&answer.body).map_err(|error| CliError::MalformedAnswer {
            host: self.host.to_string(),
            cause: error.to_string(),
        })
    }

    fn refusal(&self, answer: &RawAnswer) -> CliError {
        let detail = match serde_json::from_slice::<ProblemText>(&answer.body) {
            Ok(problem) if !problem.detail.is_empty() => problem.detail,
            Ok(problem) => problem.title,
            Err(_) => String::new(),
        };
        let reason = answer.status.canonical_reason().unwrap_or("no detail");
        CliError::Refused {
            host: self.host.to_string(),
            status: answer.status.as_u16(),
            detail: if detail.is_empty() {
                reason.to_owned()
            } else {
                detail
            },
        }
    }
}
