//! What a node that speaks the API is sent for one part, and what its response means for that part.

use serde_json::Value;

use crate::hits::{ExpectedResult, PartResult};
use crate::json::{self, JsonLimits};

/// How much of a node's response is logged.
const MAX_LOGGED_BYTES: usize = 120;
const MAX_RESPONSE_DEPTH: usize = 16;
const MAX_ERROR_VALUES: usize = 1000;
const MAX_UPDATE_VALUES: usize = 10_000;

/// What a response means. It alone decides whether a part may have run.
#[derive(Clone, Debug)]
pub enum NodeOutcome {
    /// What a search found.
    Found(Box<PartResult>),
    /// How many documents an update has changed.
    Updated(u64),
    /// Rejected before it ran.
    Rejected,
    /// It failed, for this reason, and may have run.
    Failed(String),
}

/// The request for one part, as far as it stands before the body.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The node, as the `Host` header names it.
    pub host: &'a str,
    /// Name of the index.
    pub index: &'a str,
    /// `_search` or `_update_by_query`.
    pub operation: &'a str,
    /// Index of the segment.
    pub segment: usize,
    /// The request's id, for the node's log.
    pub id: &'a str,
    /// How long the node may take.
    pub timeout_ms: u64,
    /// Length of the body.
    pub body_bytes: u64,
}

impl RequestHead<'_> {
    /// The bytes that are sent. Names are plain text.
    pub fn encode(&self) -> Vec<u8> {
        let Self { host, index, operation, segment, id, timeout_ms, body_bytes } = self;
        format!(
            "POST /{index}/{operation}?preference=_shards:{segment}&timeout={timeout_ms}ms HTTP/1.1\r\n\
             Host: {host}\r\nX-Opaque-Id: {id}\r\nContent-Type: application/json\r\n\
             Content-Length: {body_bytes}\r\n\r\n"
        )
        .into_bytes()
    }
}

/// What a response with this status and body means. `expected` is what a search was asked for; absent for an update.
pub fn read_response(status: u16, body: &[u8], expected: Option<&ExpectedResult>) -> NodeOutcome {
    match (status, expected) {
        (200, Some(expected)) => match PartResult::parse(body, expected) {
            Ok(result) => NodeOutcome::Found(Box::new(result)),
            Err(why) => NodeOutcome::Failed(why),
        },
        (200, None) => match updated_documents(body) {
            Ok(count) => NodeOutcome::Updated(count),
            Err(why) => NodeOutcome::Failed(why),
        },
        // Only where the node says that it did not run: any other refusal may come from behind it.
        (429 | 503, _) if is_rejected_execution(body) => NodeOutcome::Rejected,
        _ => NodeOutcome::Failed(format!("{status}: {}", excerpt(body))),
    }
}

/// The start of a response, for a log.
fn excerpt(body: &[u8]) -> String {
    let start = &body[..body.len().min(MAX_LOGGED_BYTES)];
    String::from_utf8_lossy(start).escape_debug().to_string()
}

fn is_rejected_execution(body: &[u8]) -> bool {
    let limits = JsonLimits { max_depth: MAX_RESPONSE_DEPTH, max_values: MAX_ERROR_VALUES };
    let Ok(document) = json::parse(body, limits) else { return false };
    document.pointer("/error/type").and_then(Value::as_str) == Some("rejected_execution_exception")
}

/// How many documents a complete update has changed.
fn updated_documents(body: &[u8]) -> Result<u64, String> {
    let limits = JsonLimits { max_depth: MAX_RESPONSE_DEPTH, max_values: MAX_UPDATE_VALUES };
    let document = json::parse(body, limits).map_err(|error| error.reason)?;
    if document.get("timed_out") != Some(&Value::Bool(false)) {
        return Err("timed_out".to_string());
    }
    let failures = document.get("failures").and_then(Value::as_array).ok_or("failures: not a list")?;
    if !failures.is_empty() {
        return Err(format!("failures: {}", failures.len()));
    }
    document.get("updated").and_then(Value::as_u64).ok_or_else(|| "updated: not a number".to_string())
}
