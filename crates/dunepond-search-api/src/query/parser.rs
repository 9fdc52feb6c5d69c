//! The query parser. It enforces the limits on clauses, nesting and text length while it parses.

use serde_json::{Map, Value};

use super::fields::{
    field_name, object, operator, reject_unknown, required, scalar, scalar_text, single_entry, text,
    unknown_key, whole_number,
};
use super::{BoolQuery, Operator, Query, QueryLimits, RangeBound};
use crate::Parsed;
use crate::error::ApiError;

const RANGE_KEYS: [&str; 4] = ["gt", "gte", "lt", "lte"];
const BOOL_KEYS: [&str; 5] = ["must", "filter", "should", "must_not", "minimum_should_match"];
const QUERY_STRING_KEYS: [&str; 3] = ["query", "default_field", "default_operator"];

/// Parses queries. The limit on clauses applies to all queries that one parser parses, taken together. For a query to
/// have the full limit, it needs a parser of its own.
pub struct QueryParser {
    pub(super) limits: QueryLimits,
    clauses: usize,
}

/// A field and the text to match, parsed from `{FIELD: TEXT}` or, with options, from `{FIELD: {KEY: TEXT, ...}}`.
struct FieldText<'v> {
    field: String,
    text: String,
    options: Option<&'v Map<String, Value>>,
}

impl FieldText<'_> {
    fn option(&self, key: &str) -> Option<&Value> {
        self.options?.get(key)
    }
}

impl QueryParser {
    /// Creates a parser that has not counted any clauses yet.
    pub fn new(limits: QueryLimits) -> Self {
        Self { limits, clauses: 0 }
    }

    /// Parses the query at the path `place` of the document.
    ///
    /// # Errors
    /// Returns the first error in the query, with its path in the document.
    pub fn parse(&mut self, place: &str, value: &Value) -> Result<Query, ApiError> {
        self.parse_nested(place, value, 0)
    }

    fn parse_nested(&mut self, place: &str, value: &Value, depth: usize) -> Parsed<Query> {
        let (kind, inner) = single_entry(place, value)?;
        let place = &format!("{place}.{kind}");
        if kind != "bool" {
            self.count_clauses(place, 1)?;
        }
        match kind.as_str() {
            "match_all" => empty_object(place, inner).map(|()| Query::MatchAll),
            "match_none" => empty_object(place, inner).map(|()| Query::MatchNone),
            "match" => self.parse_match(place, inner),
            "match_phrase" => self.parse_phrase(place, inner),
            "prefix" => {
                let FieldText { field, text, .. } = self.field_text(place, inner, "value", &["value"])?;
                Ok(Query::Prefix { field, value: text })
            }
            "regexp" => {
                let FieldText { field, text, .. } = self.field_text(place, inner, "value", &["value"])?;
                let place = &format!("{place}.{field}");
                self.check_length(place, &text, "max_regex_length", self.limits.max_regexp_chars)?;
                Ok(Query::Regexp { field, value: text })
            }
            "term" => parse_term(place, inner),
            "terms" => self.parse_terms(place, inner),
            "range" => parse_range(place, inner),
            "exists" => parse_exists(place, inner),
            "query_string" => self.parse_query_string_object(place, inner),
            "bool" => self.parse_bool(place, inner, depth),
            _ => Err(ApiError::parsing(format!("unknown query [{kind}]")).at(place)),
        }
    }

    pub(super) fn count_clauses(&mut self, place: &str, count: usize) -> Parsed<()> {
        self.clauses += count;
        let max = self.limits.max_clauses;
        if self.clauses > max {
            return Err(ApiError::argument(format!("more than max_clauses [{max}]")).at(place));
        }
        Ok(())
    }

    pub(super) fn check_length(&self, place: &str, text: &str, limit: &str, max_chars: usize) -> Parsed<()> {
        if text.chars().count() > max_chars {
            return Err(ApiError::argument(format!("longer than {limit} [{max_chars}]")).at(place));
        }
        Ok(())
    }

    fn parse_match(&self, place: &str, inner: &Value) -> Parsed<Query> {
        let parsed = self.field_text(place, inner, "query", &["query", "operator"])?;
        let operator = match parsed.option("operator") {
            Some(value) => operator(&format!("{place}.{}.operator", parsed.field), value)?,
            None => Operator::default(),
        };
        Ok(Query::Match { field: parsed.field, text: parsed.text, operator })
    }

    fn parse_phrase(&self, place: &str, inner: &Value) -> Parsed<Query> {
        let parsed = self.field_text(place, inner, "query", &["query", "slop"])?;
        let slop = match parsed.option("slop") {
            Some(value) => whole_number(&format!("{place}.{}.slop", parsed.field), value)?,
            None => 0,
        };
        Ok(Query::Phrase { field: parsed.field, text: parsed.text, slop })
    }

    /// Parses a field and its text from `{FIELD: TEXT}` or `{FIELD: {KEY: TEXT, ...}}`, where KEY is `key`. The inner
    /// object of the second form may only have keys in `known`, which includes `key`.
    fn field_text<'v>(
        &self,
        place: &str,
        inner: &'v Value,
        key: &str,
        known: &[&str],
    ) -> Parsed<FieldText<'v>> {
        let (field, inner) = single_entry(place, inner)?;
        let mut place = format!("{place}.{field}");
        let field = field_name(&place, field)?;
        let options = inner.as_object();
        let mut value = inner;
        if let Some(options) = options {
            reject_unknown(&place, options, known)?;
            value = required(&place, options, key)?;
            place = format!("{place}.{key}");
        }
        let text = scalar_text(&place, value)?;
        self.check_length(&place, &text, "max_text_length", self.limits.max_text_chars)?;
        Ok(FieldText { field, text, options })
    }

    fn parse_terms(&mut self, place: &str, inner: &Value) -> Parsed<Query> {
        let (field, inner) = single_entry(place, inner)?;
        let place = &format!("{place}.{field}");
        let list = inner.as_array().filter(|list| !list.is_empty());
        let list = list.ok_or_else(|| ApiError::parsing("expected a list of terms").at(place))?;
        self.count_clauses(place, list.len() - 1)?;
        let field = field_name(place, field)?;
        let mut values = Vec::new();
        for (position, value) in list.iter().enumerate() {
            values.push(scalar(&format!("{place}[{position}]"), value)?);
        }
        Ok(Query::Terms { field, values })
    }

    fn parse_query_string_object(&mut self, place: &str, inner: &Value) -> Parsed<Query> {
        let map = object(place, inner)?;
        reject_unknown(place, map, &QUERY_STRING_KEYS)?;
        let query = required(place, map, "query")?;
        let query_place = format!("{place}.query");
        let text = self.parse_query_string(&query_place, &text(&query_place, query)?)?;
        let field = match map.get("default_field") {
            Some(field) => {
                let place = format!("{place}.default_field");
                Some(field_name(&place, field.as_str().unwrap_or_default())?)
            }
            None => None,
        };
        let operator = match map.get("default_operator") {
            Some(value) => operator(&format!("{place}.default_operator"), value)?,
            None => Operator::default(),
        };
        Ok(Query::QueryString { text, field, operator })
    }

    fn parse_bool(&mut self, place: &str, inner: &Value, depth: usize) -> Parsed<Query> {
        let max_depth = self.limits.max_bool_depth;
        if depth >= max_depth {
            return Err(ApiError::argument(format!("deeper than max_bool_depth [{max_depth}]")).at(place));
        }
        let mut query = BoolQuery::default();
        let mut minimum = None;
        for (key, value) in object(place, inner)? {
            let place = &format!("{place}.{key}");
            let list = match key.as_str() {
                "must" => &mut query.must,
                "filter" => &mut query.filter,
                "should" => &mut query.should,
                "must_not" => &mut query.must_not,
                "minimum_should_match" => {
                    minimum = Some(whole_number(place, value)?);
                    continue;
                }
                _ => return Err(unknown_key(place, key, &BOOL_KEYS)),
            };
            self.parse_list(place, value, depth + 1, list)?;
        }
        let only_should = query.must.is_empty() && query.filter.is_empty();
        let default_minimum = u64::from(only_should && !query.should.is_empty());
        query.minimum_should_match = minimum.unwrap_or(default_minimum);
        if query.minimum_should_match > query.should.len() as u64 {
            let (requested, count) = (query.minimum_should_match, query.should.len());
            let reason =
                format!("must be at most {count}, the number of queries in [should], but is {requested}");
            return Err(ApiError::argument(reason).at(&format!("{place}.minimum_should_match")));
        }
        Ok(Query::Bool(Box::new(query)))
    }

    /// Parses a list of queries; a single query is accepted in place of a list with one entry.
    fn parse_list(&mut self, place: &str, value: &Value, depth: usize, list: &mut Vec<Query>) -> Parsed<()> {
        let Some(values) = value.as_array() else {
            list.push(self.parse_nested(place, value, depth)?);
            return Ok(());
        };
        for (position, value) in values.iter().enumerate() {
            list.push(self.parse_nested(&format!("{place}[{position}]"), value, depth)?);
        }
        Ok(())
    }
}

fn empty_object(place: &str, inner: &Value) -> Parsed<()> {
    reject_unknown(place, object(place, inner)?, &[])
}

fn parse_term(place: &str, inner: &Value) -> Parsed<Query> {
    let (field, inner) = single_entry(place, inner)?;
    let place = &format!("{place}.{field}");
    let value = match inner.as_object() {
        None => scalar(place, inner)?,
        Some(map) => {
            reject_unknown(place, map, &["value"])?;
            scalar(&format!("{place}.value"), required(place, map, "value")?)?
        }
    };
    Ok(Query::Term { field: field_name(place, field)?, value })
}

fn parse_exists(place: &str, inner: &Value) -> Parsed<Query> {
    let map = object(place, inner)?;
    reject_unknown(place, map, &["field"])?;
    let field = required(place, map, "field")?;
    let place = &format!("{place}.field");
    Ok(Query::Exists { field: field_name(place, &text(place, field)?)? })
}

fn parse_range(place: &str, inner: &Value) -> Parsed<Query> {
    let (field, inner) = single_entry(place, inner)?;
    let place = &format!("{place}.{field}");
    let mut bounds: Vec<RangeBound> = Vec::new();
    for (key, value) in object(place, inner)? {
        let Some(known) = RANGE_KEYS.into_iter().find(|known| known == key) else {
            return Err(unknown_key(place, key, &RANGE_KEYS));
        };
        bounds.push(RangeBound { key: known, value: scalar(&format!("{place}.{key}"), value)? });
    }
    let has = |key: &str| bounds.iter().any(|bound| bound.key == key);
    if bounds.is_empty() || (has("gt") && has("gte")) || (has("lt") && has("lte")) {
        return Err(ApiError::parsing("expected one lower bound, one upper bound, or both").at(place));
    }
    bounds.sort_by_key(|bound| bound.key);
    Ok(Query::Range { field: field_name(place, field)?, bounds })
}
