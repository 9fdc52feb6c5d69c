//! Deserializes the fields of a node's search response that the broker uses. Duplicate fields and more hits than requested
//! are errors; surplus hits are detected before they are stored, so that they can't exhaust memory.

use std::fmt;

use serde::Deserialize;
use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use serde_json::value::RawValue;

/// A node's search response; fields are `None` where the response lacks them.
#[derive(Default)]
pub(super) struct RawResponse {
    pub(super) timed_out: Option<bool>,
    pub(super) shards: Option<Shards>,
    pub(super) hits: Option<RawHits>,
    pub(super) terminated_early: Option<bool>,
}

/// The `_shards` object. Deserialization errors, which are logged, contain the names of the types `Shards`, `Total` and
/// `OneHit`, so these names must not change.
#[derive(Deserialize)]
pub(super) struct Shards {
    #[serde(default)]
    pub(super) failed: u64,
}

/// The `hits` object of a response.
pub(super) struct RawHits {
    pub(super) total: Option<Total>,
    pub(super) max_score: Option<f64>,
    pub(super) hits: Vec<OneHit>,
}

/// The `hits.total` object of a response.
#[derive(Deserialize)]
pub(super) struct Total {
    pub(super) value: u64,
    pub(super) relation: Option<String>,
}

/// One entry of `hits.hits` in a response.
#[derive(Deserialize)]
pub(super) struct OneHit {
    #[serde(rename = "_index")]
    pub(super) index: Option<String>,
    #[serde(rename = "_id")]
    pub(super) id: String,
    #[serde(rename = "_score")]
    pub(super) score: Option<f64>,
    #[serde(default)]
    pub(super) sort: Vec<Value>,
    #[serde(rename = "_source")]
    pub(super) source: Option<Box<RawValue>>,
}

impl RawResponse {
    /// Deserializes a complete response; fails if it has more than `max_hits` hits.
    pub(super) fn parse(bytes: &[u8], max_hits: usize) -> Result<Self, serde_json::Error> {
        let mut deserializer = serde_json::Deserializer::from_slice(bytes);
        let response = deserializer.deserialize_map(ResponseVisitor { max_hits })?;
        deserializer.end()?;
        Ok(response)
    }
}

/// Sets a field, and fails if it was set before.
fn set_once<T, E: Error>(field: &mut Option<T>, name: &'static str, value: T) -> Result<(), E> {
    if field.replace(value).is_some() { Err(E::duplicate_field(name)) } else { Ok(()) }
}

/// Deserializes a complete search response.
struct ResponseVisitor {
    max_hits: usize,
}

impl<'de> Visitor<'de> for ResponseVisitor {
    type Value = RawResponse;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawResponse, A::Error> {
        let mut response = RawResponse::default();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "timed_out" => set_once(&mut response.timed_out, "timed_out", map.next_value()?)?,
                "_shards" => set_once(&mut response.shards, "_shards", map.next_value()?)?,
                "hits" => {
                    let hits = map.next_value_seed(HitsVisitor { max_hits: self.max_hits })?;
                    set_once(&mut response.hits, "hits", hits)?;
                }
                "terminated_early" => {
                    set_once(&mut response.terminated_early, "terminated_early", map.next_value()?)?;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(response)
    }
}

/// Deserializes the `hits` object of a response.
struct HitsVisitor {
    max_hits: usize,
}

impl<'de> DeserializeSeed<'de> for HitsVisitor {
    type Value = RawHits;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<RawHits, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for HitsVisitor {
    type Value = RawHits;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("hits: an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<RawHits, A::Error> {
        let (mut total, mut max_score, mut hits) = (None, None, None);
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "total" => set_once(&mut total, "total", map.next_value::<Total>()?)?,
                "max_score" => set_once(&mut max_score, "max_score", map.next_value::<Option<f64>>()?)?,
                "hits" => {
                    let list = map.next_value_seed(HitListVisitor { max_hits: self.max_hits })?;
                    set_once(&mut hits, "hits", list)?;
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let hits = hits.ok_or_else(|| A::Error::missing_field("hits.hits"))?;
        Ok(RawHits { total, max_score: max_score.flatten(), hits })
    }
}

/// Deserializes the list `hits.hits` of a response.
struct HitListVisitor {
    max_hits: usize,
}

impl<'de> DeserializeSeed<'de> for HitListVisitor {
    type Value = Vec<OneHit>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Vec<OneHit>, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for HitListVisitor {
    type Value = Vec<OneHit>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("hits.hits: a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<OneHit>, A::Error> {
        let mut hits = Vec::new();
        while let Some(hit) = seq.next_element()? {
            if hits.len() == self.max_hits {
                return Err(A::Error::custom(format!(
                    "hits.hits: more than the {} asked for",
                    self.max_hits
                )));
            }
            hits.push(hit);
        }
        Ok(hits)
    }
}
