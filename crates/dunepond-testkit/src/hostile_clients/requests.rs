//! Requests of hostile clients, sound and unsound ones.

use std::fmt::Write;
use std::sync::Arc;

use serde_json::json;

use super::client::MakeRequest;

/// Number of small requests that are written at a time by a client at full speed.
const BATCH: u64 = 64;

/// Makes requests that are all the same.
pub fn always(request: impl Into<Vec<u8>>) -> MakeRequest {
    let request = request.into();
    Arc::new(move |_| request.clone())
}

/// Makes batches of requests, each with a number of its own.
pub fn batches(request: impl Fn(u64) -> String + Send + Sync + 'static) -> MakeRequest {
    Arc::new(move |batch| {
        (0..BATCH).map(|number| request(batch * BATCH + number)).collect::<String>().into_bytes()
    })
}

/// Returns a request with this head line, headers and body; the length of the body is stated.
pub fn http_request(line: &str, headers: &str, body: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: backend.local\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A query of the first `segments` segments, with a text of `text_bytes`.
pub struct QueryShape {
    /// Name of the query class.
    pub query_class: &'static str,
    /// Number of segments.
    pub segments: usize,
    /// Length of the query's text in bytes.
    pub text_bytes: usize,
    /// The time that the client gives it, in seconds, as text.
    pub budget: &'static str,
}

/// Returns the query request with this id.
pub fn query(shape: &QueryShape, id: &str) -> String {
    let share = 1.0 / shape.segments as f64;
    let buckets: Vec<_> =
        (0..shape.segments).map(|segment| json!({"bucket": segment, "part": share})).collect();
    let body = json!({"buckets": buckets, "body": "q".repeat(shape.text_bytes)}).to_string();
    let QueryShape { query_class, budget, .. } = shape;
    let headers = format!("X-Call-Id: {id}\r\nX-Call-Class: {query_class}\r\nX-Budget: {budget}\r\n");
    http_request(&format!("POST /{query_class}"), &headers, &body)
}

/// Returns the head of a request with very many short fields, without its end.
pub fn head_of_short_fields(count: usize) -> String {
    let mut head = "GET /ready HTTP/1.1\r\n".to_string();
    for number in 0..count {
        let _ = write!(head, "{}:\r\n", (b'a' + (number % 26) as u8) as char);
    }
    head
}

/// Returns a request in chunks of one byte, without its end.
pub fn small_chunks(count: usize) -> String {
    let head =
        "POST /find HTTP/1.1\r\nX-Call-Id: chunks\r\nX-Budget: 1.0\r\nTransfer-Encoding: chunked\r\n\r\n";
    head.to_string() + &"1\r\nx\r\n".repeat(count)
}
