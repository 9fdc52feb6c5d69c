//! `dunepond-broker query`: queries a broker at either port and prints the response. For people and scripts; the broker itself does not use
//! it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};

/// Searches of a file that are sent in one `_msearch`.
const MAX_SEARCHES_PER_REQUEST: usize = 20;
/// Longer than any query may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);

/// Where to send a query, and how to print the response.
pub struct Target<'a> {
    /// The broker's address.
    pub address: SocketAddr,
    /// The query class.
    pub index: &'a str,
    /// Prints JSON instead of a table.
    pub json: bool,
}

/// Why a query has no result to be printed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The broker can't be reached, or the connection failed.
    #[error("{address}: {source}")]
    Connection {
        /// The broker's address.
        address: SocketAddr,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The connection was closed before a whole head had arrived.
    #[error("{0}: closed without an answer")]
    NoResponse(SocketAddr),
    /// Something else listens at the address.
    #[error("{0}: does not speak HTTP")]
    NotHttp(SocketAddr),
    /// The broker answered with an error.
    #[error("answered {status}: {reason}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The reason in the response.
        reason: String,
    },
    /// The file of searches can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The file ends with the first line of a pair.
    #[error("{}: a head without its search at the end", .0.display())]
    IncompletePair(PathBuf),
}

/// A response of the broker.
struct Response {
    status: u16,
    body: Vec<u8>,
}

fn exchange(address: SocketAddr, request: &str) -> Result<Response, QueryError> {
    let failed = |source| QueryError::Connection { address, source };
    let mut stream = TcpStream::connect(address).map_err(failed)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(failed)?;
    stream.write_all(request.as_bytes()).map_err(failed)?;
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).map_err(failed)? == 0 {
            return Err(QueryError::NoResponse(address));
        }
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(QueryError::NotHttp(address))?;
    let lower = head.to_ascii_lowercase();
    let length =
        lower.split_once("content-length: ").and_then(|(_, rest)| rest.split('\r').next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).map_err(failed)?;
    Ok(Response { status, body })
}

fn post(path: &str, headers: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: dunepond\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The JSON of a response, if its status is 200.
fn parse_response(response: &Response) -> Result<Value, QueryError> {
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if response.status == 200 {
        return Ok(value);
    }
    let reason = value.pointer("/error/reason").or(value.get("error")).and_then(Value::as_str);
    let reason = reason.unwrap_or("no reason given").to_string();
    Err(QueryError::Rejected { status: response.status, reason })
}

/// Searches at the search API's port by a query string, or for everything without one.
pub fn search(target: &Target, query: Option<&str>, size: u64) -> Result<String, QueryError> {
    let query = query.map_or(json!({"match_all": {}}), |q| json!({"query_string": {"query": q}}));
    let body = json!({"query": query, "size": size}).to_string();
    let answer =
        parse_response(&exchange(target.address, &post(&format!("/{}/_search", target.index), "", &body))?)?;
    Ok(if target.json { pretty(&answer) } else { format_hits(&answer) })
}

/// Queries some segments at the clients' port with a text, within this many seconds.
pub fn query(target: &Target, text: &str, shards: &[u64], seconds: f64) -> Result<String, QueryError> {
    let share = 1.0 / shards.len().max(1) as f64;
    let segments: Vec<_> = shards.iter().map(|shard| json!({"bucket": shard, "part": share})).collect();
    let body = json!({"buckets": segments, "body": text}).to_string();
    let headers = format!("X-Call-Id: query-{}\r\nX-Budget: {seconds}\r\n", std::process::id());
    let answer =
        parse_response(&exchange(target.address, &post(&format!("/{}", target.index), &headers, &body))?)?;
    if target.json {
        return Ok(pretty(&answer));
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY).set_header(["shard", "value"]);
    for part in answer["found"].as_array().into_iter().flatten() {
        table.add_row([part["bucket"].to_string(), part["item"].as_str().unwrap_or_default().to_string()]);
    }
    let whole = if answer["finished"] == json!(true) { "whole" } else { "NOT WHOLE" };
    Ok(format!("{table}\n{whole}\n"))
}

/// Sends a file of searches in the format of `_msearch`, several per request, with a progress bar on standard error.
pub fn search_file(target: &Target, path: &Path) -> Result<String, QueryError> {
    let unreadable = |source| QueryError::File { path: path.to_path_buf(), source };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let lines: Vec<&str> = text.lines().collect();
    if lines.len() % 2 == 1 {
        return Err(QueryError::IncompletePair(path.to_path_buf()));
    }
    let bar = ProgressBar::new(lines.len() as u64 / 2);
    if let Ok(style) = ProgressStyle::with_template("{pos}/{len} searches, {per_sec}, {elapsed}") {
        bar.set_style(style);
    }
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY);
    table.set_header(["search", "status", "hits", "shards", ""]);
    let (mut all, mut number) = (Vec::new(), 0);
    for pairs in lines.chunks(2 * MAX_SEARCHES_PER_REQUEST) {
        let body = pairs.join("\n") + "\n";
        let request = post(&format!("/{}/_msearch", target.index), "", &body);
        let answer = parse_response(&exchange(target.address, &request)?)?;
        for one in answer["responses"].as_array().into_iter().flatten() {
            number += 1;
            table.add_row(summary_row(number, one));
            all.push(one.clone());
        }
        bar.set_position(number);
    }
    bar.finish_and_clear();
    Ok(if target.json { pretty(&json!(all)) } else { format!("{table}\n") })
}

fn summary_row(number: u64, one: &Value) -> [String; 5] {
    let shards = &one["_shards"];
    let why = one.pointer("/error/reason").and_then(Value::as_str).unwrap_or_default();
    let partial = if shards["failed"].as_u64().unwrap_or(0) > 0 { "NOT WHOLE" } else { why };
    [
        number.to_string(),
        one["status"].to_string(),
        one["hits"]["total"]["value"].as_u64().map_or(String::new(), |total| total.to_string()),
        shards["successful"].as_u64().map_or(String::new(), |s| format!("{s} of {}", shards["total"])),
        partial.to_string(),
    ]
}

fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

fn format_hits(answer: &Value) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY).set_header(["id", "score", "document"]);
    for hit in answer["hits"]["hits"].as_array().into_iter().flatten() {
        let source = hit.get("_source").map_or(String::new(), Value::to_string);
        let score = hit["_score"].as_f64().map_or(String::new(), |score| format!("{score:.3}"));
        table.add_row([hit["_id"].as_str().unwrap_or_default().to_string(), score, source]);
    }
    let (total, shards) = (&answer["hits"]["total"], &answer["_shards"]);
    let least = if total["relation"] == json!("gte") { "at least " } else { "" };
    let mut out = format!(
        "{table}\n{least}{} found, {} of {} shards, {} ms\n",
        total["value"], shards["successful"], shards["total"], answer["took"]
    );
    for failure in shards["failures"].as_array().into_iter().flatten() {
        let why = failure.pointer("/reason/reason").and_then(Value::as_str).unwrap_or_default();
        out += &format!("NOT WHOLE: shard {}: {why}\n", failure["shard"]);
    }
    out
}
