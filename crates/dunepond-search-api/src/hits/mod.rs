//! Results of single parts, and their merging into the first hits of a search.

mod merger;
mod part_result;
mod raw;

use serde::Serialize;
use serde_json::Value;
use serde_json::value::RawValue;

pub use merger::HitMerger;
pub use part_result::{ExpectedResult, PartResult};

/// One hit in the result of a part, as the node returned it.
#[derive(Clone, Debug)]
pub struct Hit {
    /// Id of the document.
    pub id: String,
    /// Relevance score; `None` if the node returned none.
    pub score: Option<f64>,
    /// The hit's values for the sort keys, in the order of the keys.
    pub sort: Vec<Value>,
    /// The document's JSON, which is passed to the client unparsed; `None` if the request's `_source` filter excludes
    /// it.
    pub source: Option<Box<RawValue>>,
}

/// A hit in the format in which the client receives it.
#[derive(Debug, Serialize)]
pub struct HitDocument<'a> {
    /// Name of the index.
    #[serde(rename = "_index")]
    pub index: &'a str,
    /// Id of the document.
    #[serde(rename = "_id")]
    pub id: String,
    /// Relevance score; `null` in the response if there is none.
    #[serde(rename = "_score")]
    pub score: Option<f64>,
    /// The document's JSON; left out of the response if the request's `_source` filter excludes it.
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    /// The hit's values for the sort keys; left out of the response if there are none.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}
