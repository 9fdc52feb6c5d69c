//! What parts found, and the first of it over all parts. Each answer of a node is checked before anything of it counts:
//! one that is spoilt is a part that failed, not one that found less.

use std::cmp::Ordering;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;

use crate::request::Sort;

/// One hit, as a node gave it. What it is about is passed on unread, unless it comes into the answer.
#[derive(Clone, Debug)]
pub struct Hit {
    pub id: String,
    pub score: Option<f64>,
    pub sort: Vec<Value>,
    pub source: Option<Box<RawValue>>,
}

/// What one part found.
#[derive(Clone, Debug)]
pub struct Found {
    pub total: u64,
    /// The total is no lower bound.
    pub exact: bool,
    pub max_score: Option<f64>,
    pub hits: Vec<Hit>,
    /// It stopped early, as the client allowed.
    pub terminated: bool,
}

#[derive(Deserialize)]
struct Shards {
    #[serde(default)]
    failed: u64,
}

#[derive(Deserialize)]
struct Total {
    value: u64,
    relation: Option<String>,
}

#[derive(Deserialize)]
struct OneHit {
    #[serde(rename = "_index")]
    index: Option<String>,
    #[serde(rename = "_id")]
    id: String,
    #[serde(rename = "_score")]
    score: Option<f64>,
    #[serde(default)]
    sort: Vec<Value>,
    #[serde(rename = "_source")]
    source: Option<Box<RawValue>>,
}

/// Hits up to as many as were asked for; one more is an error, before it is held.
struct Most(usize);

impl<'de> DeserializeSeed<'de> for Most {
    type Value = Vec<OneHit>;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<Vec<OneHit>, D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Most {
    type Value = Vec<OneHit>;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("hits.hits: a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<OneHit>, A::Error> {
        let mut hits = Vec::new();
        while let Some(hit) = seq.next_element()? {
            if hits.len() == self.0 {
                return Err(A::Error::custom(format!("hits.hits: more than the {} asked for", self.0)));
            }
            hits.push(hit);
        }
        Ok(hits)
    }
}

/// The `hits` of an answer.
struct Hits(usize);

struct ReadHits {
    total: Option<Total>,
    max_score: Option<f64>,
    hits: Vec<OneHit>,
}

impl<'de> DeserializeSeed<'de> for Hits {
    type Value = ReadHits;

    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<ReadHits, D::Error> {
        from.deserialize_map(self)
    }
}

/// Takes a field over that may be there once.
fn once<T, E: Error>(field: &mut Option<T>, name: &'static str, value: T) -> Result<(), E> {
    if field.replace(value).is_some() { Err(E::duplicate_field(name)) } else { Ok(()) }
}

impl<'de> Visitor<'de> for Hits {
    type Value = ReadHits;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("hits: an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ReadHits, A::Error> {
        let (mut total, mut max_score, mut hits) = (None, None, None);
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "total" => once(&mut total, "total", map.next_value::<Total>()?)?,
                "max_score" => once(&mut max_score, "max_score", map.next_value::<Option<f64>>()?)?,
                "hits" => once(&mut hits, "hits", map.next_value_seed(Most(self.0))?)?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        let hits = hits.ok_or_else(|| A::Error::missing_field("hits.hits"))?;
        Ok(ReadHits { total, max_score: max_score.flatten(), hits })
    }
}

/// A whole answer, as far as it is read.
struct Document(usize);

#[derive(Default)]
struct ReadDocument {
    timed_out: Option<bool>,
    shards: Option<Shards>,
    hits: Option<ReadHits>,
    terminated: Option<bool>,
}

impl<'de> Visitor<'de> for Document {
    type Value = ReadDocument;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ReadDocument, A::Error> {
        let mut read = ReadDocument::default();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "timed_out" => once(&mut read.timed_out, "timed_out", map.next_value()?)?,
                "_shards" => once(&mut read.shards, "_shards", map.next_value()?)?,
                "hits" => once(&mut read.hits, "hits", map.next_value_seed(Hits(self.0))?)?,
                "terminated_early" => once(&mut read.terminated, "terminated_early", map.next_value()?)?,
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(read)
    }
}

/// What a node was asked, as far as its answer is held to it.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    pub index: &'a str,
    /// Hits at most.
    pub most: usize,
    /// Keys of its order, where that is known.
    pub keys: Option<usize>,
    /// Totals are not tracked: there may be none.
    pub untracked: bool,
}

impl Found {
    /// Reads a node's answer; why not, where it will not do.
    pub fn read(bytes: &[u8], expected: &Expected) -> Result<Self, String> {
        let mut from = serde_json::Deserializer::from_slice(bytes);
        let read = from.deserialize_map(Document(expected.most));
        let read = read.and_then(|read| from.end().map(|()| read)).map_err(|e| e.to_string())?;
        if read.timed_out == Some(true) {
            // What it found by then is not what the part holds.
            return Err("timed_out".to_string());
        }
        if let Some(shards) = read.shards.filter(|shards| shards.failed > 0) {
            return Err(format!("_shards.failed: {}", shards.failed));
        }
        let ReadHits { total, max_score, hits } = read.hits.ok_or("hits: missing")?;
        let (total, exact) = match total {
            None if expected.untracked => (0, false),
            None => return Err("hits.total: missing".to_string()),
            Some(total) => match total.relation.as_deref() {
                None | Some("eq") => (total.value, true),
                Some("gte") => (total.value, false),
                Some(_) => return Err("hits.total.relation: neither eq nor gte".to_string()),
            },
        };
        if exact && total < hits.len() as u64 {
            return Err("hits.total.value: less than there are hits".to_string());
        }
        let hits = hits.into_iter().map(|hit| Self::hit(hit, expected)).collect::<Result<_, String>>()?;
        Ok(Self { total, exact, max_score, hits, terminated: read.terminated == Some(true) })
    }

    fn hit(hit: OneHit, expected: &Expected) -> Result<Hit, String> {
        let OneHit { index, id, score, sort, source } = hit;
        if index.is_some_and(|index| index != expected.index) {
            return Err("hits.hits._index: of another index".to_string());
        }
        if let Some(keys) = expected.keys.filter(|keys| *keys != sort.len()) {
            return Err(format!("hits.hits.sort: {} keys where {keys} were asked for", sort.len()));
        }
        if sort.iter().any(|key| key.is_array() || key.is_object()) {
            return Err("hits.hits.sort: a key that has no order".to_string());
        }
        Ok(Hit { id, score, sort, source })
    }
}

/// A hit on its way to the first of all, with where it came from: among equals the earlier segment's go first, and of
/// one segment's the earlier hit, so that the same parts in any order of coming make the same answer.
#[derive(Clone, Debug)]
struct Placed {
    hit: Hit,
    seg: usize,
    at: usize,
}

/// The first hits over all parts, of which never more are held than can come into the answer.
pub struct Merge {
    sort: Vec<Sort>,
    most: usize,
    first: Vec<Placed>,
    pub total: u64,
    pub exact: bool,
    pub max_score: Option<f64>,
    pub terminated: bool,
}

/// The order of two keys, as far as one is before the other whatever the direction: numbers, then texts, then truths.
fn keys(a: &Value, b: &Value) -> Ordering {
    let rank = |value: &Value| match value {
        Value::Number(_) => 0,
        Value::String(_) => 1,
        Value::Bool(_) => 2,
        _ => 3,
    };
    match (a, b) {
        (Value::Number(x), Value::Number(y)) => match (x.as_i64(), y.as_i64()) {
            (Some(x), Some(y)) => x.cmp(&y),
            _ => x.as_f64().unwrap_or(f64::NAN).total_cmp(&y.as_f64().unwrap_or(f64::NAN)),
        },
        (Value::String(x), Value::String(y)) => x.cmp(y),
        (Value::Bool(x), Value::Bool(y)) => x.cmp(y),
        _ => rank(a).cmp(&rank(b)),
    }
}

impl Merge {
    pub fn new(sort: &[Sort], most: usize) -> Self {
        Self {
            sort: sort.to_vec(),
            most,
            first: Vec::new(),
            total: 0,
            exact: true,
            max_score: None,
            terminated: false,
        }
    }

    fn before(sort: &[Sort], a: &Placed, b: &Placed) -> Ordering {
        let by_score = || {
            let score = |placed: &Placed| placed.hit.score.unwrap_or(f64::NEG_INFINITY);
            score(b).total_cmp(&score(a))
        };
        let by_keys = || {
            let each = sort.iter().zip(a.hit.sort.iter().zip(&b.hit.sort)).map(|(sort, (x, y))| {
                match (x.is_null(), y.is_null()) {
                    (true, true) => Ordering::Equal,
                    (true, false) if sort.missing_first => Ordering::Less,
                    (true, false) => Ordering::Greater,
                    (false, true) if sort.missing_first => Ordering::Greater,
                    (false, true) => Ordering::Less,
                    (false, false) if sort.descending => keys(y, x),
                    (false, false) => keys(x, y),
                }
            });
            each.fold(Ordering::Equal, Ordering::then)
        };
        let order = if sort.is_empty() { by_score() } else { by_keys() };
        order.then(a.seg.cmp(&b.seg)).then(a.at.cmp(&b.at))
    }

    /// A part is in.
    pub fn add(&mut self, seg: usize, found: Found) {
        self.total = self.total.saturating_add(found.total);
        self.exact &= found.exact;
        self.terminated |= found.terminated;
        self.max_score = match (self.max_score, found.max_score) {
            (Some(a), Some(b)) => Some(a.max(b)),
            (a, b) => a.or(b),
        };
        // Nodes give theirs in order, but nobody is held to that: each is looked at, and the last of those that are held
        // tells whether it can still be among them.
        let (sort, most, full) = (&self.sort, self.most, self.first.len() == self.most);
        let last = if full { self.first.last().cloned() } else { None };
        let placed = found.hits.into_iter().enumerate().map(|(at, hit)| Placed { hit, seg, at });
        let can = |placed: &Placed| last.as_ref().is_none_or(|last| Self::before(sort, placed, last).is_lt());
        self.first.extend(placed.filter(can));
        if self.first.len() > most && most > 0 {
            self.first.select_nth_unstable_by(most - 1, |a, b| Self::before(sort, a, b));
        }
        self.first.truncate(most);
    }

    /// How many hits are held at this moment.
    pub fn held(&self) -> usize {
        self.first.len()
    }

    /// The first of all, from a place on, as the API writes them.
    pub fn hits(mut self, index: &str, from: usize) -> Vec<Written<'_>> {
        let sort = &self.sort;
        self.first.sort_unstable_by(|a, b| Self::before(sort, a, b));
        let hits = self.first.into_iter().skip(from).map(|placed| placed.hit);
        let written = hits.map(|Hit { id, score, sort, source }| Written { index, id, score, source, sort });
        written.collect()
    }
}

/// A hit as it stands in an answer.
#[derive(Debug, Serialize)]
pub struct Written<'a> {
    #[serde(rename = "_index")]
    pub index: &'a str,
    #[serde(rename = "_id")]
    pub id: String,
    #[serde(rename = "_score")]
    pub score: Option<f64>,
    #[serde(rename = "_source", skip_serializing_if = "Option::is_none")]
    pub source: Option<Box<RawValue>>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sort: Vec<Value>,
}
