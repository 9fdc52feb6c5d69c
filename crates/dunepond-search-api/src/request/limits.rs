//! Limits of requests.

use crate::json::JsonLimits;
use crate::query::QueryLimits;

/// What one request may be. Refusals name the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimits {
    /// Bytes of one JSON document.
    pub max_document_bytes: usize,
    /// Objects and lists within each other.
    pub max_depth: usize,
    /// Values of one document.
    pub max_values: usize,
    /// Leaves of a query; each term of a `terms` counts.
    pub max_clauses: usize,
    /// `bool` within `bool`.
    pub max_bool_depth: usize,
    /// Characters of a regular expression.
    pub max_regexp_chars: usize,
    /// Characters of a text to be matched.
    pub max_text_chars: usize,
    /// Searches in one `_msearch`.
    pub max_searches: usize,
    /// `from` and `size` together.
    pub max_result_window: u64,
    /// Values of `routing`.
    pub max_routing_values: usize,
}

impl RequestLimits {
    pub(super) fn json(&self) -> JsonLimits {
        JsonLimits { max_depth: self.max_depth, max_values: self.max_values }
    }

    pub(super) fn query(&self) -> QueryLimits {
        QueryLimits {
            max_clauses: self.max_clauses,
            max_bool_depth: self.max_bool_depth,
            max_regexp_chars: self.max_regexp_chars,
            max_text_chars: self.max_text_chars,
        }
    }
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_document_bytes: 64 * 1024,
            max_depth: 32,
            max_values: 10_000,
            max_clauses: 1024,
            max_bool_depth: 8,
            max_regexp_chars: 1000,
            max_text_chars: 8192,
            max_searches: 100,
            max_result_window: 1000,
            max_routing_values: 100,
        }
    }
}
