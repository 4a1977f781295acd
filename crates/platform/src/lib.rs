//! Client of the platform: table service, object store and host list.
//!
//! The client distinguishes failed writes by whether they may have taken effect. It returns
//! [`TableAnswer::Failed`] only if the call did not reach the table service or was refused by it, and
//! [`TableAnswer::Unknown`] if the answer was lost.

use awc::error::SendRequestError;
use awc::Client;
use bytes::Bytes;
use crocusyard_base::prelude::*;
use crocusyard_border::platform::{
    HostListing, RowPage, RowWrite, StoredRow, TableTransaction, TransactionResult,
};
use crocusyard_transport::prelude::*;
use futures_util::Stream;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;

/// Names that users of this crate commonly import.
pub mod prelude {
    pub use crate::{PlatformAddresses, PlatformClient, PlatformError, PlatformTimeouts};
}

/// Largest answer of the platform, bytes.
const BODY_LIMIT: usize = 64 << 20;

/// Reason why a call to the object store or the host list failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The service could not be reached, or its answer was incomplete, malformed or too late.
    #[snafu(display("platform did not answer: {reason}"))]
    Unreachable {
        /// Error of the HTTP client, or a description of the failure.
        reason: String,
    },
    /// The service answered with an error.
    #[snafu(display("platform answered with HTTP status {status}"))]
    Status {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformAddresses {
    /// Address of the table service.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the host list.
    pub hosts: SocketAddr,
}

/// Timeouts for the answers of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformTimeouts {
    /// Timeout for calls to the table service.
    pub table: Duration,
    /// Timeout for reads of objects.
    pub objects: Duration,
    /// Timeout for reads of the host list.
    pub hosts: Duration,
}

/// Client of the platform; clones share connections.
#[derive(Clone)]
pub struct PlatformClient {
    client: Client,
    addresses: PlatformAddresses,
    timeouts: PlatformTimeouts,
}

impl PlatformClient {
    /// Makes a client; it connects on the first call.
    pub fn new(addresses: PlatformAddresses, timeouts: PlatformTimeouts) -> Self {
        let client = Client::builder()
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            client,
            addresses,
            timeouts,
        }
    }

    /// Carries out a call to the table service.
    pub async fn call_table(&self, call: &TableCall) -> TableAnswer {
        match call {
            TableCall::Get { key } => self.get_row(key).await,
            TableCall::Scan {
                prefix,
                after,
                limit,
            } => self.scan(prefix, after.as_deref(), *limit).await,
            TableCall::Transact { changes } => self.transact(changes).await,
        }
    }

    /// Reads an object; `None` if the store has none under the key.
    pub async fn get_object(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let url = format!("http://{}/objects/{key}", self.addresses.objects);
        let mut response = self
            .client
            .get(url)
            .timeout(self.timeouts.objects)
            .send()
            .await
            .map_err(unreachable)?;
        match response.status().as_u16() {
            200 => {}
            404 => return Ok(None),
            status => return Err(PlatformError::Status { status }),
        }
        let body = response.body().limit(BODY_LIMIT);
        match actix_rt::time::timeout(self.timeouts.objects, body).await {
            Ok(Ok(object)) => Ok(Some(object)),
            Ok(Err(error)) => Err(PlatformError::Unreachable {
                reason: error.to_string(),
            }),
            Err(_) => Err(invalid_answer()),
        }
    }

    /// Writes an object. Keys are digests of the objects, so a repeated write is harmless.
    pub async fn put_object(&self, key: &str, object: Bytes) -> Result<(), PlatformError> {
        let url = format!("http://{}/objects/{key}", self.addresses.objects);
        let response = self
            .client
            .put(url)
            .send_body(object)
            .await
            .map_err(unreachable)?;
        if response.status().is_success() {
            return Ok(());
        }
        Err(PlatformError::Status {
            status: response.status().as_u16(),
        })
    }

    /// Reads the host list.
    pub async fn list_hosts(&self) -> Result<HostListing, PlatformError> {
        let url = format!("http://{}/hosts", self.addresses.hosts);
        let timeout = self.timeouts.hosts;
        let response = self
            .client
            .get(url)
            .timeout(timeout)
            .send()
            .await
            .map_err(unreachable)?;
        if !response.status().is_success() {
            return Err(PlatformError::Status {
                status: response.status().as_u16(),
            });
        }
        self.read_json(response, timeout)
            .await
            .ok_or_else(invalid_answer)
    }

    async fn get_row(&self, key: &str) -> TableAnswer {
        let url = format!("http://{}/table/row", self.addresses.table);
        let timeout = self.timeouts.table;
        let Ok(request) = self.client.get(url).timeout(timeout).query(&[("key", key)]) else {
            return TableAnswer::Failed;
        };
        let Ok(response) = request.send().await else {
            return TableAnswer::Failed;
        };
        match response.status().as_u16() {
            200 => match self.read_json::<StoredRow, _>(response, timeout).await {
                Some(row) => TableAnswer::Row(Some(table_row(row))),
                None => TableAnswer::Failed,
            },
            404 => TableAnswer::Row(None),
            _ => TableAnswer::Failed,
        }
    }

    async fn scan(&self, prefix: &str, after: Option<&str>, limit: u32) -> TableAnswer {
        let url = format!("http://{}/table/rows", self.addresses.table);
        let limit = limit.to_string();
        let mut query = vec![("prefix", prefix), ("limit", &limit)];
        query.extend(after.map(|after| ("after", after)));
        let timeout = self.timeouts.table;
        let Ok(request) = self.client.get(url).timeout(timeout).query(&query) else {
            return TableAnswer::Failed;
        };
        let Ok(response) = request.send().await else {
            return TableAnswer::Failed;
        };
        if !response.status().is_success() {
            return TableAnswer::Failed;
        }
        match self.read_json::<RowPage, _>(response, timeout).await {
            Some(page) => TableAnswer::Rows {
                rows: page.rows.into_iter().map(table_row).collect(),
                more: page.more,
            },
            None => TableAnswer::Failed,
        }
    }

    async fn transact(&self, changes: &[RowChange]) -> TableAnswer {
        let url = format!("http://{}/table/transact", self.addresses.table);
        let body = TableTransaction {
            changes: changes.iter().map(row_write).collect(),
        };
        let timeout = self.timeouts.table;
        let response = match self
            .client
            .post(url)
            .timeout(timeout)
            .send_json(&body)
            .await
        {
            Ok(response) => response,
            Err(error) if proves_unsent(&error) => return TableAnswer::Failed,
            Err(_) => return TableAnswer::Unknown,
        };
        match response.status().as_u16() {
            200 => {}
            // With these statuses the service refuses a transaction before it applies any change.
            400..=499 | 503 => return TableAnswer::Failed,
            _ => return TableAnswer::Unknown,
        }
        match self
            .read_json::<TransactionResult, _>(response, timeout)
            .await
        {
            Some(result) if result.committed => TableAnswer::Committed {
                versions: result.versions,
            },
            Some(result) => TableAnswer::Conflict {
                rows: result.found.into_iter().map(table_row).collect(),
            },
            None => TableAnswer::Unknown,
        }
    }

    /// Reads and parses a body; `None` if it is malformed, incomplete or too late.
    async fn read_json<T, S>(
        &self,
        mut response: awc::ClientResponse<S>,
        timeout: Duration,
    ) -> Option<T>
    where
        T: DeserializeOwned,
        S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let body = response.json::<T>().limit(BODY_LIMIT);
        actix_rt::time::timeout(timeout, body).await.ok()?.ok()
    }
}

fn unreachable(error: SendRequestError) -> PlatformError {
    PlatformError::Unreachable {
        reason: error.to_string(),
    }
}

/// Returns the error for an answer that was late, incomplete or malformed.
fn invalid_answer() -> PlatformError {
    PlatformError::Unreachable {
        reason: "the answer timed out or is malformed".to_owned(),
    }
}

fn table_row(row: StoredRow) -> TableRow {
    TableRow {
        key: row.key.into(),
        version: row.version,
        value: row.value.into(),
    }
}

/// Converts a change; the table service takes version 0 as the absence of the row.
fn row_write(change: &RowChange) -> RowWrite {
    RowWrite {
        key: change.key.to_string(),
        expect_version: match change.expect {
            RowExpect::Absent => Some(0),
            RowExpect::Version(version) => Some(version),
            RowExpect::Any => None,
        },
        value: change.value.as_deref().map(str::to_owned),
    }
}
