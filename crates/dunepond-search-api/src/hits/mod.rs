//! What parts found, and the first hits over all parts.

mod merger;
mod part_result;
mod raw;

use serde::Serialize;
use serde_json::Value;
use serde_json::value::RawValue;

pub use merger::HitMerger;
pub use part_result::{ExpectedResult, PartResult};

/// One hit, as a node returned it.
#[derive(Clone, Debug)]
pub struct Hit {
    /// Id of the document.
    pub id: String,
    /// How well it matches, where that counts.
    pub score: Option<f64>,
    /// Its values of the sort keys.
    pub sort: Vec<Value>,
    /// The document, which is passed on without being parsed.
    pub source: Option<Box<RawValue>>,
}

/// A hit as it stands in a response.
#[derive(Debug, Serialize)]
pub struct HitDocument<'a> {
    /// Name of the index.
    #[serde(rename = "_index")]
    pub index: &'a str,
    /// Id of the document.
    #[serde(rename = "_id")]
    pub id: String,
    /// How well it matches, where that counts.
    #[serde(rename = "_score")]
    pub score: Option<f64>,
    /// The document.
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    /// Its values of the sort keys.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}
