//! The query of a search: parsed strictly, and normalized to the form in which it is sent to nodes.

mod fields;
mod parser;
mod query_string;

use serde_json::{Map, Value, json};

pub use parser::QueryParser;

/// Limits on the cost of parsing a query and of running it on nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueryLimits {
    /// Maximum number of leaf clauses in the query; each term of a `terms` query counts as one.
    pub max_clauses: usize,
    /// Maximum nesting depth of `bool` queries.
    pub max_bool_depth: usize,
    /// Maximum length of a regular expression, in characters.
    pub max_regexp_chars: usize,
    /// Maximum length of the text of a query, in characters.
    pub max_text_chars: usize,
}

/// How the terms of a query's text are combined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Operator {
    /// A document matches if it has any of the terms.
    #[default]
    Or,
    /// A document matches if it has all of the terms.
    And,
}

/// A valid query. Variants and fields are named as in the API; where a name differs, a comment gives the API's name.
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
        /// Field in which terms of `text` that name no field are searched (`default_field`); `None` if the client gives
        /// none, which leaves the choice to the node.
        field: Option<String>,
        /// How terms of `text` that have no operator between them are combined (`default_operator`).
        operator: Operator,
    },
}

/// One bound of a range.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeBound {
    /// The comparison: `gt`, `gte`, `lt` or `lte`.
    pub key: &'static str,
    /// The bound that a document's values are compared with.
    pub value: Value,
}

/// A `bool` query, which combines other queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BoolQuery {
    /// Queries that must all match and that contribute to the score.
    pub must: Vec<Query>,
    /// Queries that must all match and that don't contribute to the score.
    pub filter: Vec<Query>,
    /// Queries of which at least `minimum_should_match` must match.
    pub should: Vec<Query>,
    /// Queries of which none may match.
    pub must_not: Vec<Query>,
    /// Number of `should` queries that must match. If the client gives none, it is 1 for a query that has `should` but
    /// neither `must` nor `filter`, and 0 otherwise.
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
    /// The query's JSON as it is sent to nodes. It states every default explicitly, so that equal queries have equal
    /// JSON.
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

/// Creates an object with one key.
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
