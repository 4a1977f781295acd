//! HTTP client of a host, for callers' and operators' commands.

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

/// Largest answer that is read, bytes. A catalogue of the planned size has less than 2 MB.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// HTTP client of one host.
pub(crate) struct HostClient {
    client: Client,
    host: SocketAddr,
    key: Option<SecretText>,
}

/// Reason why a change of presets was not made.
#[derive(Debug)]
pub(crate) enum ChangeRefusal {
    /// The host found problems in the catalogue.
    Problems(ProblemsReply),
    /// The call failed, or the host refused it for another reason.
    Other(CliError),
}

/// The fields of a problem document that are shown to the operator.
#[derive(Deserialize)]
struct ProblemText {
    #[serde(default)]
    title: String,
    #[serde(default)]
    detail: String,
}

/// An answer whose body is not parsed yet.
struct RawAnswer {
    status: StatusCode,
    body: Vec<u8>,
}

impl HostClient {
    /// Builds a client without a key, for the routes of callers.
    pub(crate) fn for_callers(arguments: &CliArguments) -> Result<Self, CliError> {
        Self::build(arguments, None)
    }

    /// Builds a client with the operator key, for the routes of operators.
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
            let expected = "--timeout-ms must be greater than 0";
            return Err(CliError::InvalidOptions { expected });
        }
        let timeout = Duration::from_millis(arguments.timeout_ms);
        Ok(Self {
            client: Client::builder().timeout(timeout).finish(),
            host: arguments.host,
            key,
        })
    }

    /// Sends a GET request and parses the answer.
    pub(crate) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, CliError> {
        let answer = self.call(Method::GET, path, query, &()).await?;
        if answer.status.is_success() {
            self.parse(&answer)
        } else {
            Err(self.refused_error(&answer))
        }
    }

    /// Sends a POST request and parses the answer.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let answer = self.call(Method::POST, path, &[], body).await?;
        if answer.status.is_success() {
            self.parse(&answer)
        } else {
            Err(self.refused_error(&answer))
        }
    }

    /// Sends a change of presets, and tells problems and conflicts apart from other refusals.
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
                Err(_) => Err(ChangeRefusal::Other(self.refused_error(&answer))),
            },
            StatusCode::CONFLICT => {
                let reply: ConflictReply = self.parse(&answer).map_err(ChangeRefusal::Other)?;
                Err(ChangeRefusal::Other(CliError::Conflict {
                    version: reply.version,
                    diff: reply.diff,
                }))
            }
            _ => Err(ChangeRefusal::Other(self.refused_error(&answer))),
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
        let response = if method == Method::GET {
            request.send()
        } else {
            request.send_json(body)
        };
        let mut answer = response
            .await
            .map_err(|error| unreachable(error.to_string()))?;
        let status = answer.status();
        let body = answer
            .body()
            .limit(MAX_ANSWER_BYTES)
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

    fn refused_error(&self, answer: &RawAnswer) -> CliError {
        let detail = match serde_json::from_slice::<ProblemText>(&answer.body) {
            Ok(problem) if !problem.detail.is_empty() => problem.detail,
            Ok(problem) => problem.title,
            Err(_) => String::new(),
        };
        let reason = answer
            .status
            .canonical_reason()
            .unwrap_or("the host gave no detail");
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
