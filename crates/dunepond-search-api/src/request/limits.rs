//! Limits on requests to the search API.

use crate::json::JsonLimits;
use crate::query::QueryLimits;

/// Limits on one request to the search API. If a request exceeds a limit, the error names the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLimits {
    /// Maximum length of one JSON document, such as a request body, in bytes.
    pub max_document_bytes: usize,
    /// Maximum nesting depth of objects and lists.
    pub max_depth: usize,
    /// Maximum number of values in one JSON document.
    pub max_values: usize,
    /// Maximum number of leaf clauses in a query; each term of a `terms` query counts as one.
    pub max_clauses: usize,
    /// Maximum nesting depth of `bool` queries.
    pub max_bool_depth: usize,
    /// Maximum length of a regular expression, in characters.
    pub max_regexp_chars: usize,
    /// Maximum length of the text of a query, in characters.
    pub max_text_chars: usize,
    /// Maximum number of searches in one `_msearch`.
    pub max_searches: usize,
    /// Maximum sum of `from` and `size`.
    pub max_result_window: u64,
    /// Maximum number of `routing` values.
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
