use rstest::rstest;

use super::head::MAX_HEAD_BYTES;
use super::*;
use crate::buffers::{Buffer, Pool};

/// Reads a chunk into `input`, in as many reads as it takes while the buffer grows.
fn read_whole(input: &mut Buffer, mut chunk: &[u8]) {
    while !chunk.is_empty() {
        assert_ne!(input.read_from(&mut chunk).unwrap(), 0, "the buffer is full");
    }
}

/// Parses a request that arrives in chunks of `chunk_bytes`. Returns its body, `None` if the request is incomplete, or
/// the status of the rejection.
fn parse_request_in_chunks(bytes: &[u8], chunk_bytes: usize) -> Result<Option<String>, u16> {
    let pool = Pool::default();
    let (mut input, mut message) = (pool.acquire(), None);
    for chunk in bytes.chunks(chunk_bytes) {
        read_whole(&mut input, chunk);
        if message.is_none() {
            message = parse_request(&mut input).map_err(|error| error.status)?.map(Message::new);
        }
        if let Some(message) = &mut message
            && message.read_body(&mut input, &pool).map_err(|error| error.status)?
        {
            return Ok(Some(String::from_utf8_lossy(message.body_bytes()).into_owned()));
        }
    }
    Ok(None)
}

/// Parses a response that arrives in chunks of `chunk_bytes`, followed by a close of the connection if `is_closed` and
/// by a reset otherwise. Returns its body; `None` if the response is incomplete.
fn parse_response_in_chunks(bytes: &str, chunk_bytes: usize, is_closed: bool) -> Option<String> {
    let pool = Pool::default();
    let (mut input, mut responses) = (pool.acquire(), ResponseReader::default());
    let body = |message: Message| String::from_utf8_lossy(message.body_bytes()).into_owned();
    for chunk in bytes.as_bytes().chunks(chunk_bytes) {
        read_whole(&mut input, chunk);
        if let Some(message) = responses.read(&mut input, &pool).unwrap() {
            assert!(!responses.has_partial_response());
            return Some(body(message));
        }
    }
    if !is_closed || !responses.finish_at_close() {
        return None;
    }
    let message = responses.read(&mut input, &pool).unwrap()?;
    (!message.head.keep_alive).then(|| body(message))
}

#[rstest]
#[case::no_length("200 OK\r\n\r\nhello", Some("hello"), None)]
#[case::no_length_and_kept_alive("200 OK\r\nConnection: keep-alive\r\n\r\nhello", Some("hello"), None)]
#[case::truncated("200 OK\r\nContent-Length: 6\r\n\r\nhello", None, None)]
#[case::interim_response_before("100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello", Some("hello"), None)]
#[case::interim_response_alone("100 Continue\r\n\r\n", None, None)]
#[case::without_a_body_despite_a_length("204 No Content\r\nContent-Length: 5\r\n\r\n", Some(""), Some(""))]
#[case::without_a_body_despite_chunks(
    "304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
    Some(""),
    Some("")
)]
#[case::without_a_body("204 No Content\r\n\r\n", Some(""), Some(""))]
fn response_without_length_ends_at_close(
    #[case] bytes: &str,
    #[case] after_close: Option<&str>,
    #[case] after_reset: Option<&str>,
    #[values(1, 1000)] chunk_bytes: usize,
) {
    let bytes = format!("HTTP/1.1 {bytes}");
    assert_eq!(parse_response_in_chunks(&bytes, chunk_bytes, true).as_deref(), after_close);
    assert_eq!(parse_response_in_chunks(&bytes, chunk_bytes, false).as_deref(), after_reset);
}

/// A body of which each chunk has a signature as its extension.
static SIGNED_BODY: std::sync::LazyLock<String> = std::sync::LazyLock::new(|| "x".repeat(30_000));

const CHUNKED: &str = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

#[rstest]
#[case::by_length("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello".to_string(), Some("hello"))]
#[case::none("GET /a HTTP/1.1\r\n\r\n".to_string(), Some(""))]
#[case::chunks(format!("{CHUNKED}2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: 1\r\n\r\n"), Some("hello"))]
#[case::incomplete(format!("{CHUNKED}2\r\nhe\r\n3\r\nllo\r\n0\r\n"), None)]
#[case::signed_chunks(format!("{CHUNKED}{}0\r\n\r\n", format!("64;{}\r\n{}\r\n", "s".repeat(90), "x".repeat(100)).repeat(300)), Some(SIGNED_BODY.as_str()))]
#[case::long_trailers(format!("{CHUNKED}0\r\n{}\r\n", "fine: n\r\n".repeat(MAX_HEAD_BYTES / 9)), Some(""))]
fn body_does_not_depend_on_segmentation(
    #[case] bytes: String,
    #[case] body: Option<&str>,
    #[values(1, 7, 1000)] chunk_bytes: usize,
) {
    assert_eq!(parse_request_in_chunks(bytes.as_bytes(), chunk_bytes).unwrap().as_deref(), body);
}

/// `endless_trailers` and `endless_extensions` guard against a message that hardly ever ends: each of its lines is
/// short enough, and there are ever more.
#[rstest]
#[case::endless_head(format!("GET /a HTTP/1.1\r\nA: {}", "x".repeat(MAX_HEAD_BYTES)), 431)]
#[case::long_head(format!("GET /a HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(MAX_HEAD_BYTES)), 431)]
#[case::many_headers(format!("GET /a HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65)), 400)]
#[case::endless_blank_lines("\r\n".repeat(MAX_HEAD_BYTES), 431)]
#[case::huge_chunk(format!("{CHUNKED}10001\r\n"), 413)]
#[case::many_chunks(format!("{CHUNKED}{}", format!("8000\r\n{}\r\n", "x".repeat(0x8000)).repeat(3)), 413)]
#[case::endless_size(format!("{CHUNKED}1;{}", "x".repeat(2 * MAX_HEAD_BYTES)), 400)]
#[case::endless_trailer(format!("{CHUNKED}0\r\n{}", "x".repeat(2 * MAX_HEAD_BYTES)), 400)]
#[case::endless_trailers(format!("{CHUNKED}0\r\n{}", "noise: n\r\n".repeat(MAX_HEAD_BYTES / 10 + 1)), 400)]
#[case::endless_extensions(format!("{CHUNKED}{}", format!("1;{}\r\nx\r\n", "e".repeat(1000)).repeat(20)), 400)]
#[case::overlong_chunk(format!("{CHUNKED}2\r\nhello\r\n"), 400)]
#[case::no_size(format!("{CHUNKED}zz\r\n"), 400)]
#[case::two_lengths("POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n".to_string(), 400)]
#[case::signed("POST /a HTTP/1.1\r\nContent-Length: +5\r\n\r\n".to_string(), 400)]
#[case::gzip("POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".to_string(), 501)]
fn oversized_or_malformed_request_is_rejected(
    #[case] bytes: String,
    #[case] status: u16,
    #[values(500, 5_000, 60_000)] chunk_bytes: usize,
) {
    assert_eq!(parse_request_in_chunks(bytes.as_bytes(), chunk_bytes), Err(status));
}

#[test]
fn long_head_of_a_response_is_rejected() {
    let pool = Pool::default();
    let mut input = pool.acquire();
    let response = format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "x".repeat(MAX_HEAD_BYTES));
    input.append(response.as_bytes());
    let error = ResponseReader::default().read(&mut input, &pool).err();
    assert_eq!(error.map(|error| error.status), Some(431));
}

#[test]
fn corrupted_request_is_parsed_or_rejected() {
    let request = format!("{CHUNKED}5\r\nhello\r\n0\r\nT: 1\r\n\r\n");
    for position in 0..request.len() {
        for byte in [0, b'\r', b'\n', b' ', b'9', b':', 0xff] {
            let mut corrupted = request.clone().into_bytes();
            corrupted[position] = byte;
            if let Ok(Some(body)) = parse_request_in_chunks(&corrupted, 3) {
                assert!(body.len() <= request.len());
            }
        }
    }
}

#[test]
fn response_has_retry_after_and_close() {
    let text = String::from_utf8(encode_response(429, "", 0.25, false)).unwrap();
    assert!(text.starts_with("HTTP/1.1 429 "));
    assert!(text.contains("\r\nRetry-After: 0.250\r\n") && text.contains("\r\nConnection: close\r\n"));
}
