//! `dunepond-broker query`, which queries a broker at its port for clients or its search API's port and prints the
//! response. It is for people and scripts; the broker itself does not use it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};

use crate::run_id::RunId;

/// How many searches of a file are sent in one `_msearch` request.
const MAX_SEARCHES_PER_REQUEST: usize = 20;
/// How long to wait for a response; longer than any query may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);

/// Where to send a query, and how to print the response.
pub struct Target<'a> {
    /// The broker's address.
    pub address: SocketAddr,
    /// The query class, which is the index at the search API.
    pub index: &'a str,
    /// Whether to print JSON instead of a table.
    pub json: bool,
}

/// Why there is no response to print.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The operating system's source of randomness, from which the query's id is drawn, cannot be read.
    #[error("the system's random source: {0}")]
    NoRandomness(#[from] getrandom::Error),
    /// The broker cannot be reached, or the connection failed.
    #[error("{address}: {source}")]
    Connection {
        /// The broker's address.
        address: SocketAddr,
        /// The error that the system reports.
        source: std::io::Error,
    },
    /// The connection was closed before the head of the response had arrived.
    #[error("{0}: the connection was closed before a response arrived")]
    NoResponse(SocketAddr),
    /// The response is not HTTP, so that something else listens at the address.
    #[error("{0}: the response is not HTTP; check that the address is a broker's")]
    NotHttp(SocketAddr),
    /// The broker answered with an error.
    #[error("the broker answered {status}: {reason}")]
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The reason in the response.
        reason: String,
    },
    /// The file of searches cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The error that the system reports.
        source: std::io::Error,
    },
    /// The file ends with the header line of a search whose second line is missing.
    #[error("{}: the last header line has no search; each search needs two lines", .0.display())]
    IncompletePair(PathBuf),
}

/// A response of the broker.
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// Sends a request on a new connection and reads the response.
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

/// Returns a POST request; each of `headers` ends with a line end.
fn post(path: &str, headers: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: dunepond\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns the JSON of a response, or an error if its status is not 200.
fn parse_response(response: &Response) -> Result<Value, QueryError> {
    let value: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
    if response.status == 200 {
        return Ok(value);
    }
    let reason = value.pointer("/error/reason").or(value.get("error")).and_then(Value::as_str);
    let reason = reason.unwrap_or("no reason given").to_string();
    Err(QueryError::Rejected { status: response.status, reason })
}

/// Searches at the search API's port by a query string. Without one, every document matches.
pub fn search(target: &Target, query: Option<&str>, size: u64) -> Result<String, QueryError> {
    let query = query.map_or(json!({"match_all": {}}), |q| json!({"query_string": {"query": q}}));
    let body = json!({"query": query, "size": size}).to_string();
    let answer =
        parse_response(&exchange(target.address, &post(&format!("/{}/_search", target.index), "", &body))?)?;
    Ok(if target.json { pretty(&answer) } else { format_hits(&answer) })
}

/// Queries some segments at the clients' port with a text and a time budget in seconds.
pub fn query(target: &Target, text: &str, shards: &[u64], time_budget: f64) -> Result<String, QueryError> {
    let weight = 1.0 / shards.len().max(1) as f64;
    let segments: Vec<_> = shards.iter().map(|shard| json!({"bucket": shard, "part": weight})).collect();
    let body = json!({"buckets": segments, "body": text}).to_string();
    let run_id = RunId::random()?;
    let headers = format!("X-Call-Id: query-{run_id}\r\nX-Budget: {time_budget}\r\n");
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

/// Sends the searches of a file in the format of `_msearch`, several per request, with a progress bar on standard
/// error.
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
    let (mut responses, mut number) = (Vec::new(), 0);
    for pairs in lines.chunks(2 * MAX_SEARCHES_PER_REQUEST) {
        let body = pairs.join("\n") + "\n";
        let request = post(&format!("/{}/_msearch", target.index), "", &body);
        let answer = parse_response(&exchange(target.address, &request)?)?;
        for response in answer["responses"].as_array().into_iter().flatten() {
            number += 1;
            table.add_row(summary_row(number, response));
            responses.push(response.clone());
        }
        bar.set_position(number);
    }
    bar.finish_and_clear();
    Ok(if target.json { pretty(&json!(responses)) } else { format!("{table}\n") })
}

/// Returns the table row for the response to one search of a file.
fn summary_row(number: u64, response: &Value) -> [String; 5] {
    let shards = &response["_shards"];
    let reason = response.pointer("/error/reason").and_then(Value::as_str).unwrap_or_default();
    let note = if shards["failed"].as_u64().unwrap_or(0) > 0 { "NOT WHOLE" } else { reason };
    [
        number.to_string(),
        response["status"].to_string(),
        response["hits"]["total"]["value"].as_u64().map_or(String::new(), |total| total.to_string()),
        shards["successful"].as_u64().map_or(String::new(), |s| format!("{s} of {}", shards["total"])),
        note.to_string(),
    ]
}

/// Returns a JSON value as indented text.
fn pretty(value: &Value) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default() + "\n"
}

/// Returns the hits of a search response as a table, with a summary and the failed shards below it.
fn format_hits(answer: &Value) -> String {
    let mut table = Table::new();
    table.load_preset(comfy_table::presets::UTF8_HORIZONTAL_ONLY).set_header(["id", "score", "document"]);
    for hit in answer["hits"]["hits"].as_array().into_iter().flatten() {
        let source = hit.get("_source").map_or(String::new(), Value::to_string);
        let score = hit["_score"].as_f64().map_or(String::new(), |score| format!("{score:.3}"));
        table.add_row([hit["_id"].as_str().unwrap_or_default().to_string(), score, source]);
    }
    let (total, shards) = (&answer["hits"]["total"], &answer["_shards"]);
    let at_least = if total["relation"] == json!("gte") { "at least " } else { "" };
    let mut out = format!(
        "{table}\n{at_least}{} found, {} of {} shards, {} ms\n",
        total["value"], shards["successful"], shards["total"], answer["took"]
    );
    for failure in shards["failures"].as_array().into_iter().flatten() {
        let reason = failure.pointer("/reason/reason").and_then(Value::as_str).unwrap_or_default();
        out += &format!("NOT WHOLE: shard {}: {reason}\n", failure["shard"]);
    }
    out
}
