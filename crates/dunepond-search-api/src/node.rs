//! What a node that speaks the API is sent, and what each of its answers means for the part that was sent.

use serde_json::Value;

use crate::hits::{Expected, Found};
use crate::json::{self, Bounds};

/// Of a node's words, so many characters go into a log.
const SHOWN: usize = 120;

/// What an answer means. Whether a part may have run hangs on it alone.
#[derive(Clone, Debug)]
pub enum Meaning {
    Found(Box<Found>),
    /// Of an update: documents touched.
    Updated(u64),
    /// Turned away unseen: it never ran.
    Rejected,
    /// It failed, and may have run.
    Failed(String),
}

/// The head of the request for one part, before so many bytes of text: `what` is `_search` or `_update_by_query`. The
/// names in it are ours and plain.
pub fn head(host: &str, index: &str, what: &str, seg: usize, id: &str, wait_ms: u64, length: u64) -> Vec<u8> {
    format!(
        "POST /{index}/{what}?preference=_shards:{seg}&timeout={wait_ms}ms HTTP/1.1\r\nHost: {host}\r\n\
         X-Opaque-Id: {id}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    )
    .into_bytes()
}

fn words(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(SHOWN)]).escape_debug().to_string()
}

/// The API's name for the kind of an error, where the answer has that form.
fn kind(body: &[u8]) -> Option<String> {
    let document = json::read(body, Bounds { depth: 16, values: 1000 }).ok()?;
    document.pointer("/error/type").and_then(Value::as_str).map(str::to_string)
}

/// What an answer with this status and body means. `expected` is what a search was asked for; nothing for an update.
pub fn meaning(status: u16, body: &[u8], expected: Option<&Expected>) -> Meaning {
    match (status, expected) {
        (200, Some(expected)) => match Found::read(body, expected) {
            Ok(found) => Meaning::Found(Box::new(found)),
            Err(why) => Meaning::Failed(why),
        },
        (200, None) => match updated(body) {
            Ok(count) => Meaning::Updated(count),
            Err(why) => Meaning::Failed(why),
        },
        // Only where the node says that it was not begun: any other refusal may come from behind it.
        (429 | 503, _) if kind(body).as_deref() == Some("rejected_execution_exception") => Meaning::Rejected,
        _ => Meaning::Failed(format!("{status}: {}", words(body))),
    }
}

fn updated(body: &[u8]) -> Result<u64, String> {
    let document = json::read(body, Bounds { depth: 16, values: 10_000 }).map_err(|e| e.reason)?;
    if document.get("timed_out") != Some(&Value::Bool(false)) {
        return Err("timed_out".to_string());
    }
    let failures = document.get("failures").and_then(Value::as_array).ok_or("failures: not a list")?;
    if !failures.is_empty() {
        return Err(format!("failures: {}", failures.len()));
    }
    document.get("updated").and_then(Value::as_u64).ok_or_else(|| "updated: not a number".to_string())
}
