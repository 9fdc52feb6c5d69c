//! Parses the URL parameters of a search.

use super::values::{boolean, field_names, seconds, sort_key, unless_zero, whole_number};
use super::{RequestParser, Search, SortKey, SourceFilter, TrackTotalHits};
use crate::Parsed;
use crate::error::ApiError;
use crate::query::{Operator, Query};
use crate::target::RequestTarget;

pub(super) const KNOWN_PARAMS: [&str; 16] = [
    "q",
    "df",
    "default_operator",
    "from",
    "size",
    "sort",
    "_source",
    "_source_includes",
    "_source_excludes",
    "timeout",
    "track_total_hits",
    "terminate_after",
    "allow_partial_search_results",
    "routing",
    "preference",
    "pretty",
];

impl RequestParser<'_> {
    pub(super) fn apply_params(&self, search: &mut Search, target: &RequestTarget) -> Parsed<()> {
        for (key, value) in &target.params {
            self.apply_param(search, target, key, value)?;
        }
        Ok(())
    }

    fn apply_param(&self, search: &mut Search, target: &RequestTarget, key: &str, value: &str) -> Parsed<()> {
        match key {
            "q" => search.query = self.query_param(target, value)?,
            "df" | "default_operator" if target.param("q").is_none() => {
                return Err(ApiError::argument("has no effect without [q]").at(key));
            }
            "from" => search.from = whole_number(key, value)?,
            "size" => search.size = whole_number(key, value)?,
            "sort" => search.sort = sort_param(value)?,
            "_source" => search.source = source_param(value)?,
            "_source_includes" => {
                let includes = field_names(key, value.split(','))?;
                let (_, excludes) = source_fields(&search.source);
                search.source = SourceFilter::Fields { includes, excludes };
            }
            "_source_excludes" => {
                let excludes = field_names(key, value.split(','))?;
                let (includes, _) = source_fields(&search.source);
                search.source = SourceFilter::Fields { includes, excludes };
            }
            "timeout" => search.timeout_seconds = Some(seconds(key, value)?),
            "track_total_hits" => search.track_total_hits = track_param(key, value)?,
            "terminate_after" => search.terminate_after = unless_zero(whole_number(key, value)?),
            "allow_partial_search_results" => search.allow_partial_results = boolean(key, value)?,
            "routing" => search.routing = self.routing(value)?,
            "preference" => {
                return Err(ApiError::argument("not supported: nodes are chosen by their load").at(key));
            }
            "pretty" => drop(boolean(key, value)?),
            _ => {}
        }
        Ok(())
    }

    /// The query of parameter `q`, with its default field (`df`) and its default operator (`default_operator`).
    fn query_param(&self, target: &RequestTarget, value: &str) -> Parsed<Query> {
        let field = target.param("df").map(str::to_string);
        let operator = match target.param("default_operator").map(str::to_ascii_lowercase).as_deref() {
            None | Some("or") => Operator::Or,
            Some("and") => Operator::And,
            _ => return Err(ApiError::argument("expected [and] or [or]").at("default_operator")),
        };
        let text = self.query_parser().parse_query_string("q", value)?;
        Ok(Query::QueryString { text, field, operator })
    }
}

/// The included and the excluded fields of a source filter; both lists are empty if the filter names no fields.
fn source_fields(source: &SourceFilter) -> (Vec<String>, Vec<String>) {
    match source {
        SourceFilter::Fields { includes, excludes } => (includes.clone(), excludes.clone()),
        SourceFilter::All | SourceFilter::None => (Vec::new(), Vec::new()),
    }
}

fn source_param(value: &str) -> Parsed<SourceFilter> {
    match value {
        "true" => Ok(SourceFilter::All),
        "false" => Ok(SourceFilter::None),
        names => {
            let includes = field_names("_source", names.split(','))?;
            Ok(SourceFilter::Fields { includes, excludes: Vec::new() })
        }
    }
}

/// Parses sort keys separated by commas, each `FIELD` or `FIELD:ORDER`.
fn sort_param(value: &str) -> Parsed<Vec<SortKey>> {
    let mut keys = Vec::new();
    for key in value.split(',') {
        let (field, order) = key.split_once(':').unwrap_or((key, ""));
        let order = if order.is_empty() { None } else { Some(order) };
        keys.push(sort_key("sort", field, order)?);
    }
    Ok(keys)
}

fn track_param(key: &str, value: &str) -> Parsed<TrackTotalHits> {
    match value {
        "true" => Ok(TrackTotalHits::Exactly),
        "false" => Ok(TrackTotalHits::No),
        number => Ok(TrackTotalHits::UpTo(whole_number(key, number)?)),
    }
}
