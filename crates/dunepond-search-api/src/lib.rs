//! The OpenSearch-style query API, built from its public description, without input or output.
//!
//! [`request`] parses a request and names the place of each fault; [`routing`] selects the segments of a search;
//! [`node`] is what a node that speaks the API is sent, and what its responses mean; [`hits`] merges what nodes found;
//! [`response`] is what the client is sent, with partial results in the API's terms.

#![warn(missing_docs)]

pub mod error;
pub mod hits;
pub mod json;
pub mod node;
pub mod query;
pub mod request;
pub mod response;
pub mod routing;
pub mod target;

pub use error::ApiError;
pub use hits::{HitMerger, PartResult};
pub use request::{ApiRequest, RequestLimits, Search, SortKey};

/// What could be parsed, or the error that the client is sent.
type Parsed<T> = Result<T, ApiError>;
