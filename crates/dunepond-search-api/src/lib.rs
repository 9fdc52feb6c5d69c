//! The OpenSearch-style search API, implemented from its public description. This crate does no I/O.
//!
//! [`request`] parses requests and reports where an error is; [`routing`] selects the segments of a search; [`node`]
//! encodes the requests to nodes that implement the API and interprets their responses; [`hits`] merges the results of
//! parts; [`response`] builds the responses to clients and marks partial results in the way that the API defines.

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

/// A parsed value, or the error that is returned to the client.
type Parsed<T> = Result<T, ApiError>;
