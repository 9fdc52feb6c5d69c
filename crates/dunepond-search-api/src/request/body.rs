//! Parses the JSON body of a search.

use serde_json::{Map, Value};

use super::values::{field_names, seconds, sort_key, unless_zero};
use super::{RequestParser, Search, SortKey, SourceFilter, TrackTotalHits};
use crate::Parsed;
use crate::error::ApiError;

const KNOWN_KEYS: [&str; 8] =
    ["query", "from", "size", "sort", "_source", "timeout", "track_total_hits", "terminate_after"];

impl RequestParser<'_> {
    /// Sets the values in a request body on `search`, and returns the body's keys.
    pub(super) fn apply_body(&self, search: &mut Search, document: &Value) -> Parsed<Vec<String>> {
        let Some(map) = document.as_object() else { return Err(ApiError::parsing("expected an object")) };
        for (key, value) in map {
            match key.as_str() {
                "query" => search.query = self.query_parser().parse("query", value)?,
                "from" => search.from = whole_number(key, value)?,
                "size" => search.size = whole_number(key, value)?,
                "sort" => search.sort = sort_keys(value)?,
                "_source" => search.source = source_filter(value)?,
                "timeout" => search.timeout_seconds = Some(seconds(key, text(key, value)?)?),
                "track_total_hits" => search.track_total_hits = track_total_hits(key, value)?,
                "terminate_after" => search.terminate_after = unless_zero(whole_number(key, value)?),
                _ => {
                    let reason = format!("unknown key [{key}], expected one of [{}]", KNOWN_KEYS.join(", "));
                    return Err(ApiError::parsing(reason));
                }
            }
        }
        Ok(map.keys().cloned().collect())
    }
}

fn whole_number(key: &str, value: &Value) -> Parsed<u64> {
    value.as_u64().ok_or_else(|| ApiError::parsing("expected a whole number, 0 or more").at(key))
}

pub(super) fn text<'v>(key: &str, value: &'v Value) -> Parsed<&'v str> {
    value.as_str().ok_or_else(|| ApiError::parsing("expected a string").at(key))
}

fn track_total_hits(key: &str, value: &Value) -> Parsed<TrackTotalHits> {
    match value {
        Value::Bool(true) => Ok(TrackTotalHits::Exactly),
        Value::Bool(false) => Ok(TrackTotalHits::No),
        value => Ok(TrackTotalHits::UpTo(whole_number(key, value)?)),
    }
}

/// The entries of a list; any other value is treated as a list with one entry.
fn as_list(value: &Value) -> &[Value] {
    value.as_array().map_or(std::slice::from_ref(value), Vec::as_slice)
}

fn sort_keys(value: &Value) -> Parsed<Vec<SortKey>> {
    let mut keys = Vec::new();
    for (position, value) in as_list(value).iter().enumerate() {
        keys.push(sort_entry(&format!("sort[{position}]"), value)?);
    }
    Ok(keys)
}

/// Parses `FIELD`, `{FIELD: ORDER}` or `{FIELD: {"order": ORDER, "missing": POSITION}}`.
fn sort_entry(place: &str, value: &Value) -> Parsed<SortKey> {
    if let Some(field) = value.as_str() {
        return sort_key(place, field, None);
    }
    let (field, options) = value
        .as_object()
        .and_then(single_entry)
        .ok_or_else(|| ApiError::parsing("expected a field and its order").at(place))?;
    let place = format!("{place}.{field}");
    if let Some(order) = options.as_str() {
        return sort_key(&place, field, Some(order));
    }
    let options = options.as_object().ok_or_else(|| ApiError::parsing("expected an order").at(&place))?;
    if let Some(key) = options.keys().find(|key| !["order", "missing"].contains(&key.as_str())) {
        return Err(
            ApiError::parsing(format!("unknown key [{key}], expected one of [order, missing]")).at(&place)
        );
    }
    let order = options.get("order").map(|order| order.as_str().unwrap_or_default());
    let mut key = sort_key(&place, field, order)?;
    key.missing_first = missing_first(&place, options)?;
    Ok(key)
}

fn single_entry(map: &Map<String, Value>) -> Option<(&String, &Value)> {
    if map.len() == 1 { map.iter().next() } else { None }
}

fn missing_first(place: &str, options: &Map<String, Value>) -> Parsed<bool> {
    let Some(missing) = options.get("missing") else { return Ok(false) };
    match missing.as_str() {
        Some("_last") => Ok(false),
        Some("_first") => Ok(true),
        _ => Err(ApiError::argument("[missing] must be [_first] or [_last]").at(place)),
    }
}

fn source_filter(value: &Value) -> Parsed<SourceFilter> {
    match value {
        Value::Bool(true) => Ok(SourceFilter::All),
        Value::Bool(false) => Ok(SourceFilter::None),
        Value::Object(map) => {
            let (mut includes, mut excludes) = (Vec::new(), Vec::new());
            for (key, value) in map {
                let place = format!("_source.{key}");
                match key.as_str() {
                    "includes" => includes = source_fields(&place, value)?,
                    "excludes" => excludes = source_fields(&place, value)?,
                    _ => return Err(ApiError::parsing("expected [includes] or [excludes]").at(&place)),
                }
            }
            Ok(SourceFilter::Fields { includes, excludes })
        }
        value => {
            let includes = source_fields("_source", value)?;
            Ok(SourceFilter::Fields { includes, excludes: Vec::new() })
        }
    }
}

fn source_fields(place: &str, value: &Value) -> Parsed<Vec<String>> {
    let names: Option<Vec<&str>> = as_list(value).iter().map(Value::as_str).collect();
    let names = names
        .ok_or_else(|| ApiError::parsing("expected the name of a field, or a list of names").at(place))?;
    field_names(place, names.into_iter())
}
