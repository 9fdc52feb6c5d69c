//! Parses `_msearch` requests, which contain several searches.

use serde_json::{Map, Value};

use super::body::text;
use super::{RequestParser, Search};
use crate::Parsed;
use crate::error::ApiError;

const KNOWN_HEADER_KEYS: [&str; 4] = ["index", "routing", "allow_partial_search_results", "preference"];
/// Maximum length of the body of an `_msearch`, as a multiple of the maximum length of one document. It applies even if
/// the maximum number of searches is greater.
const MAX_BODY_DOCUMENTS: usize = 16;

impl RequestParser<'_> {
    /// Parses pairs of lines: the first is a header that may name the index, the second is a search. A search without
    /// an index in its header uses `default_index`.
    pub(super) fn multi_search(
        &self,
        body: &[u8],
        default_index: Option<usize>,
    ) -> Parsed<Vec<Parsed<Search>>> {
        let max_searches = self.limits.max_searches;
        let max_bytes = self.limits.max_document_bytes * max_searches.min(MAX_BODY_DOCUMENTS);
        if body.len() > max_bytes {
            return Err(ApiError::too_large(format!(
                "longer than the [{max_bytes}] bytes that an msearch may have"
            )));
        }
        let Some(lines) = body.strip_suffix(b"\n") else {
            return Err(ApiError::argument("The msearch request must be terminated by a newline [\\n]"));
        };
        let lines: Vec<&[u8]> = lines.split(|byte| *byte == b'\n').collect();
        if lines.len() % 2 == 1 {
            return Err(ApiError::argument("the last header line is not followed by its search"));
        }
        if lines.len() / 2 > max_searches {
            return Err(ApiError::argument(format!("more than max_searches [{max_searches}]")));
        }
        Ok(lines.chunks(2).map(|pair| self.search_of_pair(pair[0], pair[1], default_index)).collect())
    }

    fn search_of_pair(&self, header: &[u8], body: &[u8], default_index: Option<usize>) -> Parsed<Search> {
        let header = self.header(header)?;
        let index = match optional_text(&header, "index")? {
            Some(name) => Some(self.index(name)?),
            None => default_index,
        };
        let index = index.ok_or_else(|| ApiError::argument("no [index] in the header line or the path"))?;
        let mut search = Search::match_all(index);
        self.apply_body(&mut search, &self.document(body)?)?;
        if let Some(routing) = optional_text(&header, "routing")? {
            search.routing = self.routing(routing)?;
        }
        if let Some(allow) = header.get("allow_partial_search_results") {
            search.allow_partial_results = allow.as_bool().ok_or_else(|| {
                ApiError::parsing("expected true or false").at("allow_partial_search_results")
            })?;
        }
        self.check_window(&search)?;
        Ok(search)
    }

    /// Parses a header line; a blank line is an empty header.
    fn header(&self, line: &[u8]) -> Parsed<Map<String, Value>> {
        let is_blank = line.iter().all(u8::is_ascii_whitespace);
        let header = if is_blank { Value::Object(Map::new()) } else { self.document(line)? };
        let Value::Object(header) = header else {
            return Err(ApiError::parsing("expected an object").at("head"));
        };
        if let Some(key) = header.keys().find(|key| !KNOWN_HEADER_KEYS.contains(&key.as_str())) {
            let reason = format!("unknown key [{key}], expected one of [{}]", KNOWN_HEADER_KEYS.join(", "));
            return Err(ApiError::parsing(reason).at("head"));
        }
        if header.contains_key("preference") {
            return Err(ApiError::argument("not supported: nodes are chosen by their load").at("preference"));
        }
        Ok(header)
    }
}

fn optional_text<'v>(header: &'v Map<String, Value>, key: &str) -> Parsed<Option<&'v str>> {
    header.get(key).map(|value| text(key, value)).transpose()
}
