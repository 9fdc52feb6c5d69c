use rstest::rstest;

use super::head::MAX_HEAD_BYTES;
use super::*;
use crate::buffers::Pool;

/// Feeds a request in pieces of this size; gives what its body came to, or why it was refused.
fn fed(bytes: &[u8], pieces: usize) -> Result<Option<String>, u16> {
    let pool = Pool::default();
    let (mut input, mut message) = (pool.acquire(), None);
    for piece in bytes.chunks(pieces) {
        assert_eq!(input.read_from(piece).unwrap(), piece.len());
        if message.is_none() {
            message = parse_request(&mut input).map_err(|r| r.status)?.map(Message::new);
        }
        if let Some(message) = &mut message
            && message.read_body(&mut input, &pool).map_err(|r| r.status)?
        {
            return Ok(Some(String::from_utf8_lossy(message.body_bytes()).into_owned()));
        }
    }
    Ok(None)
}

/// Feeds an answer in pieces of this size, and then its sender's close or reset; gives what its body came to.
fn told(bytes: &str, pieces: usize, finish_at_close: bool) -> Option<String> {
    let pool = Pool::default();
    let (mut input, mut message) = (pool.acquire(), None);
    for piece in bytes.as_bytes().chunks(pieces) {
        assert_eq!(input.read_from(piece).unwrap(), piece.len());
        if message.is_none() {
            message = parse_response(&mut input).unwrap().map(Message::new);
        }
        if let Some(message) = &mut message
            && message.read_body(&mut input, &pool).unwrap()
        {
            return Some(String::from_utf8_lossy(message.body_bytes()).into_owned());
        }
    }
    let message = message.as_mut().filter(|_| finish_at_close)?;
    let whole = message.finish_at_close()
        && !message.head.keep_alive
        && message.read_body(&mut input, &pool).unwrap();
    whole.then(|| String::from_utf8_lossy(message.body_bytes()).into_owned())
}

#[rstest]
#[case::no_length("200 OK\r\n\r\nhello", Some("hello"), None)]
#[case::no_length_and_kept_alive("200 OK\r\nConnection: keep-alive\r\n\r\nhello", Some("hello"), None)]
#[case::cut_short("200 OK\r\nContent-Length: 6\r\n\r\nhello", None, None)]
#[case::without_a_body("204 No Content\r\n\r\n", Some(""), Some(""))]
fn response_without_length_ends_at_close(
    #[case] bytes: &str,
    #[case] finish_at_close: Option<&str>,
    #[case] reset: Option<&str>,
    #[values(1, 1000)] pieces: usize,
) {
    let bytes = format!("HTTP/1.1 {bytes}");
    assert_eq!(told(&bytes, pieces, true).as_deref(), finish_at_close);
    assert_eq!(told(&bytes, pieces, false).as_deref(), reset);
}

const CHUNKED: &str = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

#[rstest]
#[case::by_length("POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello".to_string(), Some("hello"))]
#[case::none("GET /a HTTP/1.1\r\n\r\n".to_string(), Some(""))]
#[case::chunks(format!("{CHUNKED}2;x=y\r\nhe\r\n3\r\nllo\r\n0\r\nT: 1\r\n\r\n"), Some("hello"))]
#[case::not_all(format!("{CHUNKED}2\r\nhe\r\n3\r\nllo\r\n0\r\n"), None)]
fn body_does_not_depend_on_segmentation(
    #[case] bytes: String,
    #[case] body: Option<&str>,
    #[values(1, 7, 1000)] pieces: usize,
) {
    assert_eq!(fed(bytes.as_bytes(), pieces).unwrap().as_deref(), body);
}

#[rstest]
#[case::endless_head(format!("GET /a HTTP/1.1\r\nA: {}", "x".repeat(MAX_HEAD_BYTES)), 431)]
#[case::huge_chunk(format!("{CHUNKED}10001\r\n"), 413)]
#[case::many_chunks(format!("{CHUNKED}{}", format!("8000\r\n{}\r\n", "x".repeat(0x8000)).repeat(3)), 413)]
#[case::endless_size(format!("{CHUNKED}1;{}", "x".repeat(2 * MAX_HEAD_BYTES)), 400)]
#[case::endless_trailer(format!("{CHUNKED}0\r\n{}", "x".repeat(2 * MAX_HEAD_BYTES)), 400)]
#[case::overlong_chunk(format!("{CHUNKED}2\r\nhello\r\n"), 400)]
#[case::no_size(format!("{CHUNKED}zz\r\n"), 400)]
#[case::two_lengths("POST /a HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n".to_string(), 400)]
#[case::signed("POST /a HTTP/1.1\r\nContent-Length: +5\r\n\r\n".to_string(), 400)]
#[case::coded("POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".to_string(), 501)]
fn oversized_or_malformed_request_is_rejected(#[case] bytes: String, #[case] status: u16) {
    assert_eq!(fed(bytes.as_bytes(), 5000), Err(status));
}

#[test]
fn mangled_request_is_parsed_or_rejected() {
    let whole = format!("{CHUNKED}5\r\nhello\r\n0\r\nT: 1\r\n\r\n");
    for at in 0..whole.len() {
        for byte in [0, b'\r', b'\n', b' ', b'9', b':', 0xff] {
            let mut mangled = whole.clone().into_bytes();
            mangled[at] = byte;
            if let Ok(Some(body)) = fed(&mangled, 3) {
                assert!(body.len() <= whole.len());
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
