//! The OpenSearch-style query API, built from its public description, free of input and output.
//!
//! [`request`] reads a search out of a path, its parameters and a body, and names the place of whatever will not do;
//! [`routing`] says which segments it goes to; [`node`] is what a node that speaks the API is sent and what its answers
//! mean; [`hits`] merges what nodes found; [`answer`] is what the client hears, with partial results in the API's words.

pub mod answer;
pub mod error;
pub mod hits;
pub mod json;
pub mod node;
pub mod query;
pub mod request;
pub mod routing;
pub mod target;

pub use error::ApiError;
pub use hits::{Found, Merge};
pub use request::{Call, Limits, Search, Sort};
