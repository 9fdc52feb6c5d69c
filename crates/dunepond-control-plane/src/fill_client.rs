//! Who carries fills out: a service of the operator's, or a stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::FillError;

/// What a filler is asked for. The id is the same however often and by whomever it is asked: a fill that was done is
/// answered at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillRequest {
    pub id: String,
    pub segment: u64,
    pub holder: String,
    pub source: String,
    pub bytes: u64,
    /// Bytes a second, at most.
    pub rate: u64,
}

/// What was done: of a fill that an earlier asker had begun, from the source that it named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FillResult {
    pub source: String,
    pub bytes: u64,
}

/// Blocks until the fill is done or has failed; called on threads of its own.
pub trait FillClient: Send + Sync {
    fn fill(&self, order: &FillRequest, within: Duration) -> Result<FillResult, FillError>;
}

/// `POST /fill` with the order as JSON; 200 when it is done, with nothing or with what was done behind it.
pub struct HttpFillClient {
    at: SocketAddr,
}

impl HttpFillClient {
    pub fn new(at: SocketAddr) -> Self {
        Self { at }
    }
}

impl FillClient for HttpFillClient {
    fn fill(&self, order: &FillRequest, within: Duration) -> Result<FillResult, FillError> {
        let at = self.at.to_string();
        let unreachable = |why: String| FillError::Unreachable { at: at.clone(), why };
        let agent = ureq::Agent::config_builder().timeout_global(Some(within)).http_status_as_error(false);
        let agent = agent.build().new_agent();
        let body = serde_json::to_string(order).map_err(|e| unreachable(e.to_string()))?;
        let request = agent.post(format!("http://{}/fill", self.at)).content_type("application/json");
        let mut response = request.send(body).map_err(|e| unreachable(e.to_string()))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(FillError::Rejected { at, status, id: order.id.clone() });
        }
        let text = response.body_mut().read_to_string().map_err(|e| unreachable(e.to_string()))?;
        let as_ordered = FillResult { source: order.source.clone(), bytes: order.bytes };
        if text.trim().is_empty() {
            return Ok(as_ordered);
        }
        serde_json::from_str(&text).map_err(|e| FillError::InvalidResponse {
            at,
            id: order.id.clone(),
            why: e.to_string(),
        })
    }
}
