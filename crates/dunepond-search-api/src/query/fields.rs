//! Functions that read single values in a query. Each takes the value's path in the document as `place`; its error
//! messages begin with this path.

use serde_json::{Map, Value};

use super::Operator;
use crate::Parsed;
use crate::error::ApiError;

const MAX_FIELD_NAME_BYTES: usize = 200;

pub(super) fn unknown_key(place: &str, key: &str, known: &[&str]) -> ApiError {
    ApiError::parsing(format!("unknown key [{key}], expected one of [{}]", known.join(", "))).at(place)
}

/// Fails on a key that is not in `known`, because ignoring it would change the meaning of the query.
pub(super) fn reject_unknown(place: &str, map: &Map<String, Value>, known: &[&str]) -> Parsed<()> {
    match map.keys().find(|key| !known.contains(&key.as_str())) {
        Some(key) => Err(unknown_key(place, key, known)),
        None => Ok(()),
    }
}

pub(super) fn object<'v>(place: &str, value: &'v Value) -> Parsed<&'v Map<String, Value>> {
    value.as_object().ok_or_else(|| ApiError::parsing("expected an object").at(place))
}

/// The only entry of an object such as `{FIELD: OPTIONS}`; fails if the object has more or fewer entries.
pub(super) fn single_entry<'v>(place: &str, value: &'v Value) -> Parsed<(&'v String, &'v Value)> {
    let map = object(place, value)?;
    match (map.len(), map.iter().next()) {
        (1, Some(entry)) => Ok(entry),
        (count, _) => Err(ApiError::parsing(format!("expected one key and found {count}")).at(place)),
    }
}

/// The value of a mandatory key.
pub(super) fn required<'v>(place: &str, map: &'v Map<String, Value>, key: &str) -> Parsed<&'v Value> {
    map.get(key).ok_or_else(|| ApiError::parsing(format!("[{key}] is missing")).at(place))
}

pub(super) fn text(place: &str, value: &Value) -> Parsed<String> {
    value.as_str().map(str::to_string).ok_or_else(|| ApiError::parsing("expected a string").at(place))
}

/// A string, number or boolean, as terms and range bounds must be; fails for null, lists and objects.
pub(super) fn scalar(place: &str, value: &Value) -> Parsed<Value> {
    match value {
        Value::String(_) | Value::Number(_) | Value::Bool(_) => Ok(value.clone()),
        _ => Err(ApiError::parsing("expected a string, a number, true or false").at(place)),
    }
}

/// A scalar as a string; numbers and booleans are converted to their JSON text.
pub(super) fn scalar_text(place: &str, value: &Value) -> Parsed<String> {
    match scalar(place, value)? {
        Value::String(text) => Ok(text),
        other => Ok(other.to_string()),
    }
}

pub(super) fn whole_number(place: &str, value: &Value) -> Parsed<u64> {
    value.as_u64().ok_or_else(|| ApiError::parsing("expected a whole number, 0 or more").at(place))
}

pub(super) fn operator(place: &str, value: &Value) -> Parsed<Operator> {
    match value.as_str().map(str::to_ascii_lowercase).as_deref() {
        Some("and") => Ok(Operator::And),
        Some("or") => Ok(Operator::Or),
        _ => Err(ApiError::parsing("expected [and] or [or]").at(place)),
    }
}

/// A field's name; fails if it has characters that nodes would interpret as a pattern.
pub(super) fn field_name(place: &str, name: &str) -> Parsed<String> {
    let is_plain = |c: char| c.is_alphanumeric() || matches!(c, '_' | '.' | '-' | '@');
    if name.is_empty() || name.len() > MAX_FIELD_NAME_BYTES || !name.chars().all(is_plain) {
        return Err(ApiError::argument("not the name of a field; patterns are not supported").at(place));
    }
    Ok(name.to_string())
}
