//! The HTTP/1.1 codec of both sides: heads by httparse, bodies by length or in chunks. Header names of the protocol appear here only.

use std::io::Write;
use std::rc::Rc;

use crate::body::Body;
use crate::buffers::{BUFFER_BYTES, Buffer, Pool};

/// Longest head, with its start line.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADER_COUNT: usize = 64;

/// Why a message cannot be taken: the status that says so, and the words for it.
#[derive(Debug, PartialEq)]
pub struct HttpError {
    pub status: u16,
    pub why: String,
}

pub fn refusal(status: u16, why: impl Into<String>) -> HttpError {
    HttpError { status, why: why.into() }
}

/// How the body that follows is framed, and how far it has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkTerminator,
    Trailer,
    /// An answer that states no length: what comes until its sender closes in order.
    UntilClose,
    Done,
}

/// A head with the fields that either side reads; absent ones are empty.
#[derive(Debug, PartialEq)]
pub struct Head {
    pub method: String,
    pub path: String,
    pub status: u16,
    pub request_id: String,
    pub query_class: String,
    pub time_budget: String,
    pub is_retry: bool,
    pub tenant: String,
    /// The parts of a query in the streamed form; empty in the other.
    pub segments: String,
    pub keep_alive: bool,
    pub expects_continue: bool,
    framing: Framing,
}

/// A message of which the head is in.
pub struct Message {
    pub head: Head,
    pub body: Option<Buffer>,
    /// Where it goes in the streamed form.
    raw: Option<Rc<Body>>,
}

/// The value of a Content-Length header: digits alone, no sign.
fn content_length(value: &str) -> Result<usize, HttpError> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let count = value.parse::<usize>().ok().filter(|_| digits);
    count.ok_or_else(|| refusal(400, "Content-Length: not a length"))
}

/// Whether a Connection header keeps the connection, where it says so.
fn keep_alive(value: &str) -> Option<bool> {
    let value = value.to_ascii_lowercase();
    let option = value.split(',').map(str::trim).find(|v| matches!(*v, "close" | "keep-alive"));
    option.map(|option| option == "keep-alive")
}

/// How the body is framed, by its headers; `head` has what holds where none of them is given.
fn framing(chunked: bool, length: Option<usize>, head: &Head) -> Result<Framing, HttpError> {
    match (chunked, length) {
        // Both together are how requests are smuggled past a front.
        (true, Some(_)) => Err(refusal(400, "Content-Length: given beside Transfer-Encoding")),
        (true, None) => Ok(Framing::ChunkSize),
        // In the streamed form whoever takes it says how long it may be.
        (false, Some(length)) if length > BUFFER_BYTES && head.segments.is_empty() => Err(body_too_long()),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(head.framing),
    }
}

fn fields(headers: &[httparse::Header], version: u8, unstated: Framing) -> Result<Head, HttpError> {
    let mut head = Head {
        method: String::new(),
        path: String::new(),
        status: 0,
        request_id: String::new(),
        query_class: String::new(),
        time_budget: String::new(),
        is_retry: false,
        tenant: String::new(),
        segments: String::new(),
        keep_alive: version == 1,
        expects_continue: false,
        framing: unstated,
    };
    let mut length = None;
    let mut chunked = false;
    for header in headers {
        let text = || {
            let text = std::str::from_utf8(header.value).map_err(|_| format!("{}: not UTF-8", header.name));
            text.map(|t| t.trim().to_string()).map_err(|why| refusal(400, why))
        };
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let stated = content_length(&text()?)?;
                if length.is_some_and(|before| before != stated) {
                    return Err(refusal(400, "Content-Length: given twice"));
                }
                length = Some(stated);
            }
            "transfer-encoding" => {
                if !text()?.eq_ignore_ascii_case("chunked") {
                    return Err(refusal(501, "Transfer-Encoding: only chunked is known"));
                }
                chunked = true;
            }
            "connection" => head.keep_alive = keep_alive(&text()?).unwrap_or(head.keep_alive),
            "expect" => head.expects_continue = text()?.eq_ignore_ascii_case("100-continue"),
            "x-call-id" | "x-opaque-id" => head.request_id = text()?,
            "x-call-class" => head.query_class = text()?,
            "x-budget" => head.time_budget = text()?,
            "x-again" => head.is_retry = text()? == "1",
            "x-caller" => head.tenant = text()?,
            "x-buckets" => {
                if !head.segments.is_empty() {
                    return Err(refusal(400, "X-Buckets: given twice"));
                }
                head.segments = text()?;
            }
            _ => {}
        }
    }
    head.framing = framing(chunked, length, &head)?;
    // Nothing can follow it.
    head.keep_alive &= head.framing != Framing::UntilClose;
    Ok(head)
}

/// What a body of the ordinary form, or one that is not to be taken in the streamed form, may not exceed.
pub fn body_too_long() -> HttpError {
    refusal(413, "body: over 64 KiB")
}

impl Head {
    /// The length that its body is stated to have.
    pub fn length(&self) -> Option<u64> {
        if let Framing::Length(length) = self.framing { Some(length as u64) } else { None }
    }
}

fn incomplete_head(input: &Buffer) -> Result<Option<Head>, HttpError> {
    if input.held().len() > MAX_HEAD_BYTES { Err(refusal(431, "head: over 16 KiB")) } else { Ok(None) }
}

/// Takes a request's head out of `input`; `None` until all of it is in.
pub fn request(input: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input.held()) {
        Err(e) => Err(refusal(400, format!("head: {e}"))),
        Ok(httparse::Status::Partial) => incomplete_head(input),
        Ok(httparse::Status::Complete(used)) => {
            let mut head = fields(request.headers, request.version.unwrap_or(0), Framing::Length(0))?;
            head.method = request.method.unwrap_or_default().to_string();
            head.path = request.path.unwrap_or_default().to_string();
            input.consume(used);
            Ok(Some(head))
        }
    }
}

/// Takes a response's head out of `input`; `None` until all of it is in.
pub fn response(input: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(input.held()) {
        Err(e) => Err(refusal(400, format!("head: {e}"))),
        Ok(httparse::Status::Partial) => incomplete_head(input),
        Ok(httparse::Status::Complete(used)) => {
            let status = response.code.unwrap_or(0);
            let bare = matches!(status, 100..=199 | 204 | 304);
            let unstated = if bare { Framing::Done } else { Framing::UntilClose };
            let mut head = fields(response.headers, response.version.unwrap_or(0), unstated)?;
            head.status = status;
            input.consume(used);
            Ok(Some(head))
        }
    }
}

impl Message {
    pub fn after(head: Head) -> Self {
        Self { head, body: None, raw: None }
    }

    /// From its first byte on its body goes there.
    pub fn streaming_into(head: Head, body: &Rc<Body>) -> Self {
        Self { head, body: None, raw: Some(body.clone()) }
    }

    pub fn text(&self) -> &[u8] {
        self.body.as_ref().map_or(&[], Buffer::held)
    }

    /// Moves what has come of the body out of `input`; true once all of it is in.
    pub fn take(&mut self, input: &mut Buffer, pool: &Pool) -> Result<bool, HttpError> {
        loop {
            self.head.framing = match self.head.framing {
                Framing::Done | Framing::Length(0) => return Ok(true),
                Framing::Length(left) => match self.moved(input, left, pool)? {
                    0 => return Ok(false),
                    moved => Framing::Length(left - moved),
                },
                Framing::UntilClose => match self.moved(input, usize::MAX, pool)? {
                    0 => return Ok(false),
                    _ => Framing::UntilClose,
                },
                Framing::Chunk(0) => Framing::ChunkTerminator,
                Framing::Chunk(left) => match self.moved(input, left, pool)? {
                    0 => return Ok(false),
                    moved => Framing::Chunk(left - moved),
                },
                Framing::ChunkSize => match httparse::parse_chunk_size(input.held()) {
                    Err(_) => return Err(refusal(400, "body: not a chunk")),
                    Ok(httparse::Status::Partial) => return self.wait(input),
                    Ok(httparse::Status::Complete((used, size))) => {
                        input.consume(used);
                        match size {
                            0 => Framing::Trailer,
                            size if size > BUFFER_BYTES as u64 && self.raw.is_none() => {
                                return Err(body_too_long());
                            }
                            size => Framing::Chunk(size as usize),
                        }
                    }
                },
                Framing::ChunkTerminator => match input.held() {
                    [b'\r', b'\n', ..] => {
                        input.consume(2);
                        Framing::ChunkSize
                    }
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(refusal(400, "body: a chunk longer than it says")),
                },
                Framing::Trailer => match input.held().windows(2).position(|w| w == b"\r\n") {
                    None => return self.wait(input),
                    Some(at) => {
                        input.consume(at + 2);
                        if at == 0 { Framing::Done } else { Framing::Trailer }
                    }
                },
            }
        }
    }

    /// Its sender has closed in order; a reset is no end. True if that was the end of a body that states no length.
    pub fn finish_at_close(&mut self) -> bool {
        let ends = self.head.framing == Framing::UntilClose;
        if ends {
            self.head.framing = Framing::Done;
        }
        ends
    }

    /// A chunk's size or a trailer may be short of its end, but not for ever.
    fn wait(&self, input: &Buffer) -> Result<bool, HttpError> {
        if input.held().len() > MAX_HEAD_BYTES {
            Err(refusal(400, "body: a chunk without an end"))
        } else {
            Ok(false)
        }
    }

    fn moved(&mut self, input: &mut Buffer, left: usize, pool: &Pool) -> Result<usize, HttpError> {
        let held = input.held();
        let held = &held[..held.len().min(left)];
        if held.is_empty() {
            return Ok(0);
        }
        let moved = match &self.raw {
            Some(body) => {
                body.put(held);
                held.len()
            }
            None => self.body.get_or_insert_with(|| pool.take()).put(held),
        };
        if moved < held.len() {
            return Err(body_too_long());
        }
        input.consume(moved);
        Ok(moved)
    }
}

/// The bytes of an answer; `wait` in seconds becomes `Retry-After`.
pub fn answer(status: u16, body: &str, wait: f64, keep: bool) -> Vec<u8> {
    let words = match status {
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
    let _ = write!(out, "HTTP/1.1 {status} {words}\r\nContent-Type: application/json\r\n");
    if wait > 0.0 {
        let _ = write!(out, "Retry-After: {wait:.3}\r\n");
    }
    if !keep {
        let _ = write!(out, "Connection: close\r\n");
    }
    let _ = write!(out, "Content-Length: {length}\r\n\r\n{body}");
    out
}

pub fn get(path: &str, host: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    /// Feeds a request in pieces of this size; gives what its body came to, or why it was refused.
    fn fed(bytes: &[u8], pieces: usize) -> Result<Option<String>, u16> {
        let pool = Pool::default();
        let (mut input, mut message) = (pool.take(), None);
        for piece in bytes.chunks(pieces) {
            assert_eq!(input.read_from(piece).unwrap(), piece.len());
            if message.is_none() {
                message = request(&mut input).map_err(|r| r.status)?.map(Message::after);
            }
            if let Some(message) = &mut message
                && message.take(&mut input, &pool).map_err(|r| r.status)?
            {
                return Ok(Some(String::from_utf8_lossy(message.text()).into_owned()));
            }
        }
        Ok(None)
    }

    /// Feeds an answer in pieces of this size, and then its sender's close or reset; gives what its body came to.
    fn told(bytes: &str, pieces: usize, finish_at_close: bool) -> Option<String> {
        let pool = Pool::default();
        let (mut input, mut message) = (pool.take(), None);
        for piece in bytes.as_bytes().chunks(pieces) {
            assert_eq!(input.read_from(piece).unwrap(), piece.len());
            if message.is_none() {
                message = response(&mut input).unwrap().map(Message::after);
            }
            if let Some(message) = &mut message
                && message.take(&mut input, &pool).unwrap()
            {
                return Some(String::from_utf8_lossy(message.text()).into_owned());
            }
        }
        let message = message.as_mut().filter(|_| finish_at_close)?;
        let whole =
            message.finish_at_close() && !message.head.keep_alive && message.take(&mut input, &pool).unwrap();
        whole.then(|| String::from_utf8_lossy(message.text()).into_owned())
    }

    #[rstest]
    #[case::no_length("200 OK\r\n\r\nhello", Some("hello"), None)]
    #[case::no_length_and_kept_alive("200 OK\r\nConnection: keep-alive\r\n\r\nhello", Some("hello"), None)]
    #[case::cut_short("200 OK\r\nContent-Length: 6\r\n\r\nhello", None, None)]
    #[case::without_a_body("204 No Content\r\n\r\n", Some(""), Some(""))]
    fn an_answer_without_a_length_ends_where_its_sender_closes_and_nowhere_else(
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
    fn a_body_comes_to_the_same_in_any_pieces(
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
    fn what_exceeds_its_bounds_is_refused(#[case] bytes: String, #[case] status: u16) {
        assert_eq!(fed(bytes.as_bytes(), 5000), Err(status));
    }

    #[test]
    fn a_mangled_request_is_taken_or_refused_and_no_more() {
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
    fn an_answer_tells_when_to_come_back_and_that_it_is_the_last() {
        let text = String::from_utf8(answer(429, "", 0.25, false)).unwrap();
        assert!(text.starts_with("HTTP/1.1 429 "));
        assert!(text.contains("\r\nRetry-After: 0.250\r\n") && text.contains("\r\nConnection: close\r\n"));
    }
}
