//! The query of a search: parsed strictly, and put into the one form that nodes are sent.

mod fields;
mod parser;
mod query_string;

use serde_json::{Map, Value, json};

pub use parser::QueryParser;

/// What a query may cost to parse, and to run on nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryLimits {
    /// Leaves of the tree; each term of a `terms` counts.
    pub max_clauses: usize,
    /// `bool` within `bool`.
    pub max_bool_depth: usize,
    /// Characters of a regular expression.
    pub max_regexp_chars: usize,
    /// Characters of a text to be matched.
    pub max_text_chars: usize,
}

/// How the terms of a text are combined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Operator {
    /// Any of them matches.
    #[default]
    Or,
    /// All of them match.
    And,
}

/// A valid query. Variants and fields have the API's names, unless a comment says otherwise.
#[allow(missing_docs, reason = "the API's documentation describes the fields")]
#[derive(Clone, Debug, PartialEq)]
pub enum Query {
    MatchAll,
    MatchNone,
    Match {
        field: String,
        text: String,
        operator: Operator,
    },
    /// `match_phrase`.
    Phrase {
        field: String,
        text: String,
        slop: u64,
    },
    Term {
        field: String,
        value: Value,
    },
    Terms {
        field: String,
        values: Vec<Value>,
    },
    Prefix {
        field: String,
        value: String,
    },
    Regexp {
        field: String,
        value: String,
    },
    Range {
        field: String,
        bounds: Vec<RangeBound>,
    },
    Exists {
        field: String,
    },
    Bool(Box<BoolQuery>),
    QueryString {
        text: String,
        /// `default_field`.
        field: Option<String>,
        /// `default_operator`.
        operator: Operator,
    },
}

/// One bound of a range.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeBound {
    /// `gt`, `gte`, `lt` or `lte`.
    pub key: &'static str,
    /// What values are compared with.
    pub value: Value,
}

/// A combination of queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoolQuery {
    /// All of these match, and count for the score.
    pub must: Vec<Query>,
    /// All of these match.
    pub filter: Vec<Query>,
    /// Some of these match.
    pub should: Vec<Query>,
    /// None of these matches.
    pub must_not: Vec<Query>,
    /// How many of `should` match at least. Where the client does not say: 1 if nothing else must match, or 0.
    pub minimum_should_match: u64,
}

impl Operator {
    fn name(self) -> &'static str {
        match self {
            Self::Or => "or",
            Self::And => "and",
        }
    }
}

impl Query {
    /// The JSON that nodes are sent. It leaves nothing to defaults, so that equal queries are equal texts.
    pub fn normalized(&self) -> Value {
        match self {
            Self::MatchAll => json!({"match_all": {}}),
            Self::MatchNone => json!({"match_none": {}}),
            Self::Match { field, text, operator } => {
                json!({"match": object(field, json!({"query": text, "operator": operator.name()}))})
            }
            Self::Phrase { field, text, slop } => {
                json!({"match_phrase": object(field, json!({"query": text, "slop": slop}))})
            }
            Self::Term { field, value } => json!({"term": object(field, json!({"value": value}))}),
            Self::Terms { field, values } => json!({"terms": object(field, json!(values))}),
            Self::Prefix { field, value } => json!({"prefix": object(field, json!({"value": value}))}),
            Self::Regexp { field, value } => json!({"regexp": object(field, json!({"value": value}))}),
            Self::Range { field, bounds } => {
                let bounds: Map<_, _> =
                    bounds.iter().map(|bound| (bound.key.to_string(), bound.value.clone())).collect();
                json!({"range": object(field, Value::Object(bounds))})
            }
            Self::Exists { field } => json!({"exists": {"field": field}}),
            Self::QueryString { text, field, operator } => {
                let mut inner = json!({"query": text, "default_operator": operator.name()});
                if let Some(field) = field {
                    inner["default_field"] = json!(field);
                }
                json!({"query_string": inner})
            }
            Self::Bool(query) => json!({"bool": query.normalized()}),
        }
    }
}

/// An object with one key.
fn object(key: &str, value: Value) -> Value {
    Value::Object(Map::from_iter([(key.to_string(), value)]))
}

impl BoolQuery {
    fn normalized(&self) -> Value {
        let lists = [
            ("must", &self.must),
            ("filter", &self.filter),
            ("should", &self.should),
            ("must_not", &self.must_not),
        ];
        let mut map = Map::new();
        for (key, list) in lists {
            if !list.is_empty() {
                map.insert(key.to_string(), list.iter().map(Query::normalized).collect());
            }
        }
        map.insert("minimum_should_match".to_string(), json!(self.minimum_should_match));
        Value::Object(map)
    }
}
