//! Errors in the format that the search API defines.

use std::fmt;

use serde_json::{Value, json};

/// An error response: why a request is rejected, or why a search returns no result.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiError {
    /// HTTP status code of the response.
    pub status: u16,
    /// The API's error type, such as `parsing_exception`.
    pub kind: &'static str,
    /// What is wrong and, for an error in a document, the path of the offending key.
    pub reason: String,
}

impl ApiError {
    fn new(status: u16, kind: &'static str, reason: impl Into<String>) -> Self {
        Self { status, kind, reason: reason.into() }
    }

    /// 400: the document is malformed or contains an unknown key.
    pub fn parsing(reason: impl Into<String>) -> Self {
        Self::new(400, "parsing_exception", reason)
    }

    /// 400: the request contains a value or an option that is not allowed or not supported.
    pub fn argument(reason: impl Into<String>) -> Self {
        Self::new(400, "illegal_argument_exception", reason)
    }

    /// 413: the request is longer than allowed.
    pub fn too_large(reason: impl Into<String>) -> Self {
        Self::new(413, "content_too_long_exception", reason)
    }

    /// 404: no index with this name is served.
    pub fn no_index(name: &str) -> Self {
        Self::new(404, "index_not_found_exception", format!("no such index [{name}]"))
    }

    /// 400: the API has no such path.
    pub fn no_handler(method: &str, path: &str) -> Self {
        Self::new(
            400,
            "illegal_argument_exception",
            format!("no handler found for uri [{path}] and method [{method}]"),
        )
    }

    /// 405: the path doesn't support this method; `allowed` lists the methods that it supports.
    pub fn method(method: &str, path: &str, allowed: &str) -> Self {
        let reason =
            format!("Incorrect HTTP method for uri [{path}] and method [{method}], allowed: [{allowed}]");
        Self::new(405, "method_not_allowed_exception", reason)
    }

    /// 429: the request was rejected before any part of it ran, so it is safe to retry.
    pub fn rejected(reason: impl Into<String>) -> Self {
        Self::new(429, "rejected_execution_exception", reason)
    }

    /// 503: too few parts of the search returned a result; the client may retry the search.
    pub fn shards_failed(reason: impl Into<String>) -> Self {
        Self::new(503, "search_phase_execution_exception", reason)
    }

    /// 502: non-idempotent parts of the request may have run, so a retry of the request may run them twice.
    pub fn unknown_outcome() -> Self {
        Self::new(
            502,
            "unknown_outcome_exception",
            "some parts may have run and some may not; running it again may run some of them twice",
        )
    }

    /// Prefixes the reason with `place`, the path of a key in the document or the name of a parameter.
    pub fn at(mut self, place: &str) -> Self {
        if !place.is_empty() {
            self.reason = format!("[{place}] {}", self.reason);
        }
        self
    }

    /// The JSON body of the error response.
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
