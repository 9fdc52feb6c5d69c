//! Parses requests. A key or parameter that is not supported is reported as an error instead of being ignored.

mod body;
mod limits;
mod multi;
mod params;
mod search;
mod values;

use serde_json::Value;

use crate::Parsed;
use crate::error::ApiError;
use crate::json;
use crate::query::QueryParser;
use crate::target::RequestTarget;

pub use limits::RequestLimits;
pub use search::{Search, SortKey, SourceFilter, TrackTotalHits};

/// A parsed request.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiRequest {
    /// Request for the name and version of the service.
    Info,
    /// Request for the state of the nodes.
    Health,
    /// A search that returns its first hits.
    Search(Box<Search>),
    /// A search that returns only the number of its hits.
    Count(Box<Search>),
    /// Several searches, answered in this order. For an invalid search, the response contains an error in place of a
    /// result.
    Multi(Vec<Result<Search, ApiError>>),
    /// An update of all documents that match the query of a search.
    Update(Box<Search>),
}

impl ApiRequest {
    /// Returns the number of searches in the request.
    pub fn search_count(&self) -> usize {
        match self {
            Self::Info | Self::Health => 0,
            Self::Search(_) | Self::Count(_) | Self::Update(_) => 1,
            Self::Multi(searches) => searches.len(),
        }
    }

    /// Returns the search at `position`, counted from 0.
    ///
    /// # Errors
    /// Returns the error of an invalid search of a multi-search, or an error if there is no search at `position`.
    pub fn search(&self, position: usize) -> Result<&Search, ApiError> {
        let none = || ApiError::argument(format!("the request has no search [{position}]"));
        match self {
            Self::Search(search) | Self::Count(search) | Self::Update(search) if position == 0 => Ok(search),
            Self::Multi(searches) => searches.get(position).ok_or_else(none)?.as_ref().map_err(Clone::clone),
            _ => Err(none()),
        }
    }
}

/// Parses a request. `indices` are the names of the served indices; a parsed search refers to an index by its position in
/// this list.
///
/// # Errors
/// Returns the error response for the client, with the first error in the request and its place.
pub fn parse(
    method: &str,
    target: &str,
    body: &[u8],
    indices: &[String],
    limits: &RequestLimits,
) -> Result<ApiRequest, ApiError> {
    let target = RequestTarget::parse(target)?;
    let names: Vec<&str> = target.path.iter().map(String::as_str).collect();
    let require_method = |allowed: &[&str]| {
        if allowed.contains(&method) {
            return Ok(());
        }
        Err(ApiError::method(method, &format!("/{}", names.join("/")), &allowed.join(", ")))
    };
    let parser = RequestParser { indices, limits };
    match names[..] {
        [] => require_method(&["GET", "HEAD"]).map(|()| ApiRequest::Info),
        ["_cluster", "health"] => require_method(&["GET"]).map(|()| ApiRequest::Health),
        ["_msearch"] | [_, "_msearch"] => {
            require_method(&["GET", "POST"])?;
            target.reject_unknown(&["pretty"])?;
            let default_index = if names.len() == 2 { Some(parser.index(names[0])?) } else { None };
            parser.multi_search(body, default_index).map(ApiRequest::Multi)
        }
        [index, "_search"] => {
            require_method(&["GET", "POST"])?;
            parser.search_of(index, &target, body).map(ApiRequest::Search)
        }
        [index, "_count"] => {
            require_method(&["GET", "POST"])?;
            parser.search_of(index, &target, body).map(ApiRequest::Count)
        }
        [index, "_update_by_query"] => {
            require_method(&["POST"])?;
            parser.search_of(index, &target, body).map(ApiRequest::Update)
        }
        _ => Err(ApiError::no_handler(method, &format!("/{}", names.join("/")))),
    }
}

/// Parses one request; contains the names of the served indices and the limits on the request.
struct RequestParser<'a> {
    indices: &'a [String],
    limits: &'a RequestLimits,
}

impl RequestParser<'_> {
    fn search_of(&self, index: &str, target: &RequestTarget, body: &[u8]) -> Parsed<Box<Search>> {
        let index = self.index(index)?;
        Ok(Box::new(self.search(index, target, body)?))
    }

    fn search(&self, index: usize, target: &RequestTarget, body: &[u8]) -> Parsed<Search> {
        target.reject_unknown(&params::KNOWN_PARAMS)?;
        let mut search = Search::match_all(index);
        let mut body_keys = Vec::new();
        if !body.iter().all(u8::is_ascii_whitespace) {
            body_keys = self.apply_body(&mut search, &self.document(body)?)?;
        }
        // A value that is given both in the body and as a parameter is an error, because one of the two would have to
        // be ignored.
        for (key, _) in &target.params {
            let body_name = if key == "q" { "query" } else { key.as_str() };
            if body_keys.iter().any(|body_key| body_key == key || body_key == body_name) {
                return Err(ApiError::argument(format!("[{key}] is given in the body and as a parameter")));
            }
        }
        self.apply_params(&mut search, target)?;
        self.check_window(&search)?;
        Ok(search)
    }

    /// The position of the index with this name among the served indices.
    fn index(&self, name: &str) -> Parsed<usize> {
        if name.contains(['*', ',']) || name == "_all" {
            return Err(ApiError::argument(format!(
                "[{name}]: expected one index at a time; patterns are not supported"
            )));
        }
        self.indices.iter().position(|index| index == name).ok_or_else(|| ApiError::no_index(name))
    }

    fn document(&self, body: &[u8]) -> Parsed<Value> {
        let max = self.limits.max_document_bytes;
        if body.len() > max {
            return Err(ApiError::too_large(format!("longer than max_document [{max}]")));
        }
        json::parse(body, self.limits.json())
    }

    fn query_parser(&self) -> QueryParser {
        QueryParser::new(self.limits.query())
    }

    /// Fails if the sum of `from` and `size` exceeds `max_result_window`.
    fn check_window(&self, search: &Search) -> Parsed<()> {
        let max = self.limits.max_result_window;
        if search.from.checked_add(search.size).is_none_or(|window| window > max) {
            let reason = format!("[from] + [size] must be at most max_result_window [{max}]");
            return Err(ApiError::argument(reason));
        }
        Ok(())
    }

    /// Parses routing values that are separated by commas.
    fn routing(&self, value: &str) -> Parsed<Vec<String>> {
        let values: Vec<_> = value.split(',').map(str::to_string).collect();
        let max = self.limits.max_routing_values;
        if values.iter().any(String::is_empty) || values.len() > max {
            let reason = format!("expected up to {max} values, none of them empty");
            return Err(ApiError::argument(reason).at("routing"));
        }
        Ok(values)
    }
}
