//! `dunepond-broker query`: queries a broker at either port and prints the answer. For people and scripts; the broker itself does not use it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};

/// Searches of a file that are sent in one `_msearch`.
const MAX_SEARCHES_PER_REQUEST: usize = 20;
/// Longer than any query may take.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(120);

/// What is asked, and where.
pub struct Target<'a> {
    pub at: SocketAddr,
    pub index: &'a str,
    pub json: bool,
}

fn exchange(at: SocketAddr, request: &str) -> Result<(u16, Vec<u8>), String> {
    let failed = |e: std::io::Error| format!("{at}: {e}");
    let mut stream = TcpStream::connect(at).map_err(failed)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(failed)?;
    stream.write_all(request.as_bytes()).map_err(failed)?;
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).map_err(failed)? == 0 {
            return Err(format!("{at}: closed without an answer"));
        }
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| format!("{at}: does not speak HTTP"))?;
    let lower = head.to_ascii_lowercase();
    let length =
        lower.split_once("content-length: ").and_then(|(_, rest)| rest.split('\r').next()?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).map_err(failed)?;
    Ok((status, body))
}

fn post(path: &str, heads: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: dunepond\r\n{heads}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn read(status: u16, body: &[u8]) -> Result<Value, String> {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    match status {
        200 => Ok(value),
        _ => {
            let why = value.pointer("/error/reason").or(value.get("error")).and_then(Value::as_str);
            Err(format!("answered {status}: {}", why.unwrap_or("no reason given")))
        }
    }
}

/// Asks the API's door with a query string, or everything without one.
pub fn search(ask: &Target, query: Option<&str>, size: u64) -> Result<String, String> {
    let query = query.map_or(json!({"match_all": {}}), |q| json!({"query_string": {"query": q}}));
    let body = json!({"query": query, "size": size}).to_string();
    let (status, body) = exchange(ask.at, &post(&format!("/{}/_search", ask.index), "", &body))?;
    let answer = read(status, &body)?;
    Ok(if ask.json { pretty(&answer) } else { format_hits(&answer) })
}

/// Asks the first door for some shards with a text.
pub fn scan(ask: &Target, text: &str, shards: &[u64], seconds: f64) -> Result<String, String> {
    let share = 1.0 / shards.len().max(1) as f64;
    let segments: Vec<_> = shards.iter().map(|shard| json!({"bucket": shard, "part": share})).collect();
    let body = json!({"buckets": segments, "body": text}).to_string();
    let heads = format!("X-Call-Id: query-{}\r\nX-Budget: {seconds}\r\n", std::process::id());
    let (status, body) = exchange(ask.at, &post(&format!("/{}", ask.index), &heads, &body))?;
    let answer = read(status, &body)?;
    if ask.json {
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

/// Sends a file of searches, line by line in pairs, some of them together; a line of progress on standard error.
pub fn many(ask: &Target, path: &Path) -> Result<String, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let lines: Vec<&str> = text.lines().collect();
    if lines.len() % 2 == 1 {
        return Err(format!("{}: a head without its search at the end", path.display()));
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
        let (status, body) = exchange(ask.at, &post(&format!("/{}/_msearch", ask.index), "", &body))?;
        let answer = read(status, &body)?;
        for one in answer["responses"].as_array().into_iter().flatten() {
            number += 1;
            table.add_row(row(number, one));
            all.push(one.clone());
        }
        bar.set_position(number);
    }
    bar.finish_and_clear();
    Ok(if ask.json { pretty(&json!(all)) } else { format!("{table}\n") })
}

fn row(number: u64, one: &Value) -> [String; 5] {
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
