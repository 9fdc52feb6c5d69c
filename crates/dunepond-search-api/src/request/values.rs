//! Parsers of values in URL parameters and request bodies. Each takes the name of the parameter or the value's path in
//! the body as `place`; its error messages begin with it.

use crate::Parsed;
use crate::error::ApiError;
use crate::request::SortKey;

/// Parses the value of a parameter as a whole number.
pub(super) fn whole_number(place: &str, text: &str) -> Parsed<u64> {
    let is_plain = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = if is_plain { text.parse().ok() } else { None };
    number.ok_or_else(|| ApiError::argument("expected a whole number, 0 or more").at(place))
}

/// Parses the value of a parameter as a boolean; a parameter without a value is true.
pub(super) fn boolean(place: &str, text: &str) -> Parsed<bool> {
    match text {
        "true" | "" => Ok(true),
        "false" => Ok(false),
        _ => Err(ApiError::argument("expected [true] or [false]").at(place)),
    }
}

/// Parses a duration such as `500ms`, and returns it in seconds.
pub(super) fn seconds(place: &str, text: &str) -> Parsed<f64> {
    let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let unit_seconds = match unit {
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(ApiError::argument("expected a time such as [500ms] or [2s]").at(place)),
    };
    match number.parse::<u32>() {
        Ok(number) if number > 0 => Ok(f64::from(number) * unit_seconds),
        _ => Err(ApiError::argument("expected a time above 0, such as [500ms] or [2s]").at(place)),
    }
}

/// Converts a limit of a request: 0 means no limit and is returned as `None`.
pub(super) fn unless_zero(number: u64) -> Option<u64> {
    if number > 0 { Some(number) } else { None }
}

/// Checks and returns names of fields; fails if one is empty or has characters that nodes would interpret as a pattern.
pub(super) fn field_names<'t>(place: &str, names: impl Iterator<Item = &'t str>) -> Parsed<Vec<String>> {
    names.map(|name| field_name(place, name)).collect()
}

fn field_name(place: &str, name: &str) -> Parsed<String> {
    let is_plain = |c: char| c.is_alphanumeric() || matches!(c, '_' | '.' | '-' | '@');
    if !name.is_empty() && name.chars().all(is_plain) {
        Ok(name.to_string())
    } else {
        Err(ApiError::argument("not the name of a field; patterns are not supported").at(place))
    }
}

/// Creates a sort key. Without an `order`, `_score` is descending and any other field is ascending.
pub(super) fn sort_key(place: &str, field: &str, order: Option<&str>) -> Parsed<SortKey> {
    let field = field_name(place, field)?;
    let descending = match order {
        Some("asc") => false,
        Some("desc") => true,
        None => field == "_score",
        Some(_) => return Err(ApiError::parsing("expected [asc] or [desc]").at(place)),
    };
    Ok(SortKey { field, descending, missing_first: false })
}
