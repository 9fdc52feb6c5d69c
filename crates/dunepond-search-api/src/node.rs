//! Encodes the request for one part (the share of a search or update for one segment) to a node that implements the
//! API, and interprets the node's response.

use serde_json::Value;

use crate::hits::{ExpectedResult, PartResult};
use crate::json::{self, JsonLimits};

/// Maximum length of the excerpt of an unexpected response that is logged, in bytes.
const MAX_LOGGED_BYTES: usize = 120;
const MAX_RESPONSE_DEPTH: usize = 16;
const MAX_ERROR_VALUES: usize = 1000;
const MAX_UPDATE_VALUES: usize = 10_000;

/// The outcome of a part, derived from the node's response. The variant alone tells whether the part may have run.
#[derive(Clone, Debug)]
pub enum NodeOutcome {
    /// The part of a search succeeded and returned this result.
    Found(Box<PartResult>),
    /// The part of an update is complete and changed this many documents.
    Updated(u64),
    /// The node rejected the part before running it.
    Rejected,
    /// The part failed for this reason and may have run.
    Failed(String),
}

/// Request line and headers of the request for one part.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Value of the `Host` header, which names the node.
    pub host: &'a str,
    /// Name of the index that the node searches or updates.
    pub index: &'a str,
    /// Last element of the path: `_search` or `_update_by_query`.
    pub operation: &'a str,
    /// Index of the segment.
    pub segment: usize,
    /// Id of the request, sent as `X-Opaque-Id` so that it appears in the node's log.
    pub id: &'a str,
    /// Time that the node may take to respond, in milliseconds.
    pub timeout_ms: u64,
    /// Length of the body, in bytes.
    pub body_bytes: u64,
}

impl RequestHead<'_> {
    /// Returns the request line and headers as they are sent. `index` and `operation` are plain text, so they are not
    /// percent-encoded.
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

/// Interprets a response by its status and body. `expected` describes a valid search result; it is `None` for an update.
pub fn read_response(status: u16, body: &str, expected: Option<&ExpectedResult>) -> NodeOutcome {
    match (status, expected) {
        (200, Some(expected)) => match PartResult::parse(body.as_bytes(), expected) {
            Ok(result) => NodeOutcome::Found(Box::new(result)),
            Err(why) => NodeOutcome::Failed(why),
        },
        (200, None) => match updated_documents(body) {
            Ok(count) => NodeOutcome::Updated(count),
            Err(why) => NodeOutcome::Failed(why),
        },
        // Only the error type `rejected_execution_exception` proves that the node did not run the part. A 429 or 503 without
        // it may come from a server between the broker and the node.
        (429 | 503, _) if is_rejected_execution(body) => NodeOutcome::Rejected,
        _ => NodeOutcome::Failed(format!("{status}: {}", excerpt(body))),
    }
}

/// Returns the escaped start of a response body for a log line.
fn excerpt(body: &str) -> String {
    let start = &body[..body.floor_char_boundary(MAX_LOGGED_BYTES)];
    start.escape_debug().to_string()
}

/// Whether an error response says that the node rejected the part before running it.
fn is_rejected_execution(body: &str) -> bool {
    let limits = JsonLimits { max_depth: MAX_RESPONSE_DEPTH, max_values: MAX_ERROR_VALUES };
    let Ok(document) = json::parse(body.as_bytes(), limits) else { return false };
    document.pointer("/error/type").and_then(Value::as_str) == Some("rejected_execution_exception")
}

/// Returns the number of documents that an update changed; fails if the update is incomplete.
fn updated_documents(body: &str) -> Result<u64, String> {
    let limits = JsonLimits { max_depth: MAX_RESPONSE_DEPTH, max_values: MAX_UPDATE_VALUES };
    let document = json::parse(body.as_bytes(), limits).map_err(|error| error.reason)?;
    if document.get("timed_out") != Some(&Value::Bool(false)) {
        return Err("timed_out".to_string());
    }
    let failures = document.get("failures").and_then(Value::as_array).ok_or("failures: not a list")?;
    if !failures.is_empty() {
        return Err(format!("failures: {}", failures.len()));
    }
    document.get("updated").and_then(Value::as_u64).ok_or_else(|| "updated: not a number".to_string())
}
