//! Client of the operator's fill service, which copies segments between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::FillError;

/// A request to fill a node. Retries of a fill have the same id, whichever broker sends them, so the fill service can
/// respond at once if the fill is already done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillRequest {
    /// Id of the fill.
    pub id: String,
    /// Id of the segment to copy.
    pub segment: u64,
    /// Name of the node to fill.
    #[serde(rename = "holder")]
    pub node: String,
    /// Name of the node to copy from.
    pub source: String,
    /// Size of the segment, in bytes.
    pub bytes: u64,
    /// Maximum rate of the copy, in bytes per second.
    #[serde(rename = "rate")]
    pub bytes_per_second: u64,
}

/// The result of a fill that is done. Its source differs from the request's if an earlier request with the same id
/// named another source.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillResult {
    /// Name of the node that the segment was copied from.
    pub source: String,
    /// Number of bytes that were copied.
    pub bytes: u64,
}

/// A client of the fill service. Each call is made on its own thread.
pub trait FillClient: Send + Sync {
    /// Requests the fill and blocks until it is done or has failed, or until `timeout` has passed.
    fn fill(&self, request: &FillRequest, timeout: Duration) -> Result<FillResult, FillError>;
}

/// Client of a fill service over HTTP. It sends `POST /fill` with the request as JSON; the service responds with status
/// 200 once the fill is done, and with an empty body or the result as JSON.
pub struct HttpFillClient {
    at: SocketAddr,
}

impl HttpFillClient {
    /// A client of the fill service at this address.
    pub fn new(at: SocketAddr) -> Self {
        Self { at }
    }
}

impl FillClient for HttpFillClient {
    fn fill(&self, request: &FillRequest, timeout: Duration) -> Result<FillResult, FillError> {
        let at = self.at.to_string();
        let unreachable = |why: String| FillError::Unreachable { at: at.clone(), why };
        let agent = ureq::Agent::config_builder().timeout_global(Some(timeout)).http_status_as_error(false);
        let agent = agent.build().new_agent();
        let body = serde_json::to_string(request).map_err(|e| unreachable(e.to_string()))?;
        let post = agent.post(format!("http://{}/fill", self.at)).content_type("application/json");
        let mut response = post.send(body).map_err(|e| unreachable(e.to_string()))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(FillError::Rejected { at, status, id: request.id.clone() });
        }
        let text = response.body_mut().read_to_string().map_err(|e| unreachable(e.to_string()))?;
        let as_requested = FillResult { source: request.source.clone(), bytes: request.bytes };
        if text.trim().is_empty() {
            return Ok(as_requested);
        }
        serde_json::from_str(&text).map_err(|e| FillError::InvalidResponse {
            at,
            id: request.id.clone(),
            why: e.to_string(),
        })
    }
}
