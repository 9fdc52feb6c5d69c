//! Validates requests field by field; an error names the invalid field and what is wrong with it.

use std::collections::BTreeSet;

use dunepond_config::HostSettings;
use dunepond_routing::Part;
use serde_json::Value;

use super::Downstream;
use crate::body::Payload;
use crate::http::{Head, HttpError, Message};
use crate::query_request::QueryRequest;

const MAX_REQUEST_ID_BYTES: usize = 200;
/// Maximum rounding error of the weight of one part.
const WEIGHT_ROUNDING_TOLERANCE: f64 = 0.002;

impl Downstream {
    /// Returns the query of a request whose first byte arrived at `received_at`; `None` for a readiness check, which is to be
    /// answered with 200.
    pub(super) fn validate(
        &self,
        message: &Message,
        received_at: f64,
    ) -> Result<Option<QueryRequest>, HttpError> {
        let head = &message.head;
        let path = head.path.split('?').next().unwrap_or_default();
        if path == "/ready" {
            return match (head.method.as_str(), self.has_endpoints && !self.is_draining) {
                ("GET", true) => Ok(None),
                ("GET", false) => Err(HttpError::new(503, "not ready")),
                _ => Err(HttpError::new(405, "/ready: only GET")),
            };
        }
        let query_class = self.query_class_in_path(head)?;
        let body = dunepond_config::parse_json(message.body_bytes())
            .map_err(|e| HttpError::new(400, format!("body: {e}")))?;
        let text = body.get("body").and_then(Value::as_str);
        let text = text.ok_or_else(|| HttpError::new(400, "body: not a text"))?;
        let segments = body.get("buckets").and_then(Value::as_array).filter(|b| !b.is_empty());
        let segments = segments.ok_or_else(|| HttpError::new(400, "buckets: not a list of parts"))?;
        let entries = segments.iter().map(PartEntry::from_json);
        let parts = validate_parts(entries, PartFieldNames::JSON, &self.settings)?;
        query_request(head, query_class, received_at, parts, Payload::Inline(text.into()), &self.settings)
            .map(Some)
    }

    /// Returns the query class in the path; an error if the path names no query class, the method is not POST, or the
    /// class header names another class.
    fn query_class_in_path(&self, head: &Head) -> Result<usize, HttpError> {
        let path = head.path.split('?').next().unwrap_or_default();
        let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let index = |name: &str| self.settings.query_classes.iter().position(|t| t == name);
        let query_class = index(first).ok_or_else(|| HttpError::new(404, "path: nothing is served here"))?;
        if head.method != "POST" {
            return Err(HttpError::new(405, "path: only POST"));
        }
        if !head.query_class.is_empty() && index(&head.query_class) != Some(query_class) {
            return Err(HttpError::new(400, "X-Call-Class: not the table type in the path"));
        }
        Ok(query_class)
    }

    /// Returns the query of a streamed request. Its parts are in `X-Buckets: 3=0.5,9=0.5`, and are checked as strictly as those
    /// of a JSON body.
    pub(super) fn validate_streamed(&self, head: &Head, received_at: f64) -> Result<QueryRequest, HttpError> {
        let query_class = self.query_class_in_path(head)?;
        let entries = head.segments.split(',').map(PartEntry::from_header);
        let parts = validate_parts(entries, PartFieldNames::HEADER, &self.settings)?;
        query_request(head, query_class, received_at, parts, Payload::Released, &self.settings)
    }
}

/// Whether `text` has only digits and decimal points: infinity, exponents and other forms of a number are rejected.
fn is_plain_number(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.')
}

/// An entry of the list of parts, before validation.
struct PartEntry {
    /// Index of the segment; `None` if it is missing or of the wrong type.
    segment: Option<u64>,
    /// Weight of the part; `None` if it is missing or of the wrong type.
    weight: Option<f64>,
}

impl PartEntry {
    /// Reads an entry of `buckets` in a JSON body.
    fn from_json(entry: &Value) -> Self {
        Self {
            segment: entry.get("bucket").and_then(Value::as_u64),
            weight: entry.get("part").and_then(Value::as_f64),
        }
    }

    /// Reads an entry of `X-Buckets`.
    fn from_header(entry: &str) -> Self {
        match entry.split_once('=') {
            Some((segment, weight)) if is_plain_number(segment) && is_plain_number(weight) => {
                Self { segment: segment.parse().ok(), weight: weight.parse().ok() }
            }
            _ => Self { segment: None, weight: None },
        }
    }
}

/// The names of a part's fields in error messages.
struct PartFieldNames {
    segment: &'static str,
    weight: &'static str,
}

impl PartFieldNames {
    const JSON: Self = Self { segment: "buckets.bucket", weight: "buckets.part" };
    const HEADER: Self = Self { segment: "X-Buckets", weight: "X-Buckets" };
}

/// Returns the parts of a query, each with a segment and its weight in the answer, if all entries are valid.
fn validate_parts(
    entries: impl Iterator<Item = PartEntry>,
    field: PartFieldNames,
    settings: &HostSettings,
) -> Result<Vec<Part>, HttpError> {
    let invalid = |field: &str, reason: &str| HttpError::new(400, format!("{field}: {reason}"));
    let (mut parts, mut seen) = (Vec::with_capacity(entries.size_hint().0), BTreeSet::new());
    for entry in entries {
        let segment = entry.segment.filter(|segment| *segment < settings.segment_count as u64);
        let segment = segment.ok_or_else(|| invalid(field.segment, "no such shard"))? as usize;
        if !seen.insert(segment) {
            return Err(invalid(field.segment, &format!("{segment} is named twice")));
        }
        let weight = entry.weight.filter(|weight| (0.0..=1.0).contains(weight));
        let weight = weight.ok_or_else(|| invalid(field.weight, "not a share"))?;
        parts.push(Part { segment, weight, required_node: None });
    }
    // Each weight may be rounded, so the sum need not be exactly 1. With a larger difference, the configured shares of
    // an answer would lose their meaning.
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    if (sum - 1.0).abs() > WEIGHT_ROUNDING_TOLERANCE * parts.len() as f64 {
        return Err(invalid(field.weight, "the shares do not add up to 1"));
    }
    Ok(parts)
}

/// Builds a query from its parts and the fields of the request's head.
fn query_request(
    head: &Head,
    query_class: usize,
    received_at: f64,
    parts: Vec<Part>,
    payload: Payload,
    settings: &HostSettings,
) -> Result<QueryRequest, HttpError> {
    let invalid = |reason: &str| HttpError::new(400, reason);
    let id = &head.request_id;
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || !id.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(invalid("X-Call-Id: missing, too long or not in plain characters"));
    }
    let time_budget = Some(&head.time_budget).filter(|text| is_plain_number(text));
    let time_budget = time_budget.and_then(|text| text.parse::<f64>().ok()).filter(|b| b.is_finite());
    let time_budget = time_budget.ok_or_else(|| invalid("X-Budget: not a number of seconds"))?;
    if time_budget <= 0.0 {
        return Err(invalid("X-Budget: spent"));
    }
    // All tenants that the settings do not list share the index after the listed tenants.
    let tenant = settings.tenants.iter().position(|c| *c == head.tenant);
    Ok(QueryRequest {
        request_id: id.clone(),
        query_class,
        tenant: tenant.unwrap_or(settings.tenants.len()),
        deadline: received_at + time_budget,
        is_retry: head.is_retry,
        parts,
        payload,
    })
}
