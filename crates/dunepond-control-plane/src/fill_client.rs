//! Clients of the fill service, which copies segments between nodes for the operator.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::FillError;

/// A request to fill a node. A retry of the same fill has the same id, whichever broker sends it: the service answers at once
/// for a fill that is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillRequest {
    /// Id of the fill.
    pub id: String,
    /// Segment to copy.
    pub segment: u64,
    /// Node to fill.
    #[serde(rename = "holder")]
    pub node: String,
    /// Node to copy from.
    pub source: String,
    /// Size of the segment.
    pub bytes: u64,
    /// Highest rate.
    #[serde(rename = "rate")]
    pub bytes_per_second: u64,
}

/// What was done. The source differs from the request's if an earlier request with the same id named another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillResult {
    /// Node that was copied from.
    pub source: String,
    /// Bytes that were copied.
    pub bytes: u64,
}

/// Access to the fill service; called on threads of its own.
pub trait FillClient: Send + Sync {
    /// Blocks until the fill is done or has failed, at most for `timeout`.
    fn fill(&self, request: &FillRequest, timeout: Duration) -> Result<FillResult, FillError>;
}

/// The fill service over HTTP: `POST /fill` with the request as JSON, answered with 200 once the fill is done. The body of the
/// answer is empty, or the result as JSON.
pub struct HttpFillClient {
    at: SocketAddr,
}

impl HttpFillClient {
    /// A client of the service at this address.
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
