//! Errors in the API's own form.

use std::fmt;

use serde_json::{Value, json};

/// Why a request is refused, or a search has no response.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    /// HTTP status.
    pub status: u16,
    /// The API's name for this kind of error.
    pub kind: &'static str,
    /// What is wrong, with its place in the document.
    pub reason: String,
}

impl ApiError {
    fn new(status: u16, kind: &'static str, reason: impl Into<String>) -> Self {
        Self { status, kind, reason: reason.into() }
    }

    /// The document is malformed, or has an unknown key.
    pub fn parsing(reason: impl Into<String>) -> Self {
        Self::new(400, "parsing_exception", reason)
    }

    /// The request asks for something that is not allowed or not supported.
    pub fn argument(reason: impl Into<String>) -> Self {
        Self::new(400, "illegal_argument_exception", reason)
    }

    /// The request is longer than allowed.
    pub fn too_large(reason: impl Into<String>) -> Self {
        Self::new(413, "content_too_long_exception", reason)
    }

    /// The index is not served.
    pub fn no_index(name: &str) -> Self {
        Self::new(404, "index_not_found_exception", format!("no such index [{name}]"))
    }

    /// The API has no such path.
    pub fn no_handler(method: &str, path: &str) -> Self {
        Self::new(
            400,
            "illegal_argument_exception",
            format!("no handler found for uri [{path}] and method [{method}]"),
        )
    }

    /// The path has other methods; `allowed` lists them.
    pub fn method(method: &str, path: &str, allowed: &str) -> Self {
        let reason =
            format!("Incorrect HTTP method for uri [{path}] and method [{method}], allowed: [{allowed}]");
        Self::new(405, "method_not_allowed_exception", reason)
    }

    /// Rejected before it ran: it may be retried.
    pub fn rejected(reason: impl Into<String>) -> Self {
        Self::new(429, "rejected_execution_exception", reason)
    }

    /// Too few parts have a result; the search may be retried.
    pub fn shards_failed(reason: impl Into<String>) -> Self {
        Self::new(503, "search_phase_execution_exception", reason)
    }

    /// Non-idempotent parts may have run, and a retry may run them twice.
    pub fn unknown_outcome() -> Self {
        Self::new(
            502,
            "unknown_outcome_exception",
            "some parts may have run and some may not; running it again may run some of them twice",
        )
    }

    /// Puts the place in the document before the reason.
    pub fn at(mut self, place: &str) -> Self {
        if !place.is_empty() {
            self.reason = format!("[{place}] {}", self.reason);
        }
        self
    }

    /// The JSON that the client is sent.
    pub fn body(&self) -> Value {
        let cause = json!({"type": self.kind, "reason": self.reason});
        json!({
            "error": {"root_cause": [cause], "type": self.kind, "reason": self.reason},
            "status": self.status,
        })
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}: {}", self.status, self.kind, self.reason)
    }
}
