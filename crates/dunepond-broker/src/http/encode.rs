//! Encodes complete responses and requests.

use std::io::Write;

/// Encodes a complete response. It has a `Retry-After` header if `retry_after`, in seconds, is above 0, and
/// `Connection: close` unless `keep_alive`.
pub fn encode_response(status: u16, body: &str, retry_after: f64, keep_alive: bool) -> Vec<u8> {
    let reason_phrase = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        507 => "Insufficient Storage",
        504 => "Gateway Timeout",
        _ => "Failed",
    };
    let mut out = Vec::with_capacity(160 + body.len());
    let length = body.len();
    let _ = write!(out, "HTTP/1.1 {status} {reason_phrase}\r\nContent-Type: application/json\r\n");
    if retry_after > 0.0 {
        let _ = write!(out, "Retry-After: {retry_after:.3}\r\n");
    }
    if !keep_alive {
        let _ = write!(out, "Connection: close\r\n");
    }
    let _ = write!(out, "Content-Length: {length}\r\n\r\n{body}");
    out
}

/// Encodes a GET request.
pub fn encode_get(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}
