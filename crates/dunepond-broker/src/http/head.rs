//! Parses the heads of requests and responses.

use super::{HttpError, body_too_long};
use crate::buffers::{BUFFER_BYTES, Buffer};

/// Maximum length of a head, including the start line, of the line of a chunk size, and of all trailers together.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How many headers a head may have.
const MAX_HEADER_COUNT: usize = 64;

/// How the rest of a body is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Framing {
    /// This many bytes of the body are left.
    Length(usize),
    /// The size line of a chunk is next.
    ChunkSize,
    /// This many bytes of the current chunk are left.
    Chunk(usize),
    /// The line end after a chunk is next.
    ChunkTerminator,
    /// A trailer line, or the empty line after the trailers, is next.
    Trailer,
    /// The body of a response without a length, which ends when the sender closes the connection.
    UntilClose,
    /// The body is complete.
    Done,
}

/// The head of a request or response, with the fields that the broker reads. Absent fields are empty; their values are
/// not validated here.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Method of a request.
    pub method: String,
    /// Path of a request, with its query string.
    pub path: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// `X-Call-Id`, or `X-Opaque-Id` at the search API: the client's id for the request.
    pub request_id: String,
    /// `X-Call-Class`: the query class.
    pub query_class: String,
    /// `X-Budget`: how long the client waits for the response, in seconds.
    pub time_budget: String,
    /// `X-Again`: whether the client marks the request as a retry.
    pub is_retry: bool,
    /// `X-Caller`: the tenant.
    pub tenant: String,
    /// `X-Buckets`: the segments of a streamed request and their weights; empty for other requests.
    pub segments: String,
    /// Whether the connection stays open after the message.
    pub keep_alive: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// How the part of the body that has not been read is framed.
    pub(super) framing: Framing,
}

/// Parses the value of a Content-Length header, which must consist of digits only.
fn content_length(value: &str) -> Result<usize, HttpError> {
    let is_numeric = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let count = value.parse::<usize>().ok().filter(|_| is_numeric);
    count.ok_or_else(|| HttpError::new(400, "Content-Length: not a length"))
}

/// Returns whether a Connection header keeps the connection open; `None` if it has neither `close` nor `keep-alive`.
fn keep_alive(value: &str) -> Option<bool> {
    let value = value.to_ascii_lowercase();
    let option = value.split(',').map(str::trim).find(|v| matches!(*v, "close" | "keep-alive"));
    option.map(|option| option == "keep-alive")
}

/// Returns how the body is framed; if no header says so, the framing that is set in `head`.
fn framing(body: &BodyHeaders, head: &Head) -> Result<Framing, HttpError> {
    match (body.chunked, body.length) {
        // Both headers together would allow request smuggling.
        (true, Some(_)) => Err(HttpError::new(400, "Content-Length: given beside Transfer-Encoding")),
        (true, None) => Ok(Framing::ChunkSize),
        // A streamed body may be longer; the body store limits its length.
        (false, Some(length)) if length > BUFFER_BYTES && head.segments.is_empty() => Err(body_too_long()),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(head.framing),
    }
}

/// The headers that determine how the body is framed.
#[derive(Default)]
struct BodyHeaders {
    length: Option<usize>,
    chunked: bool,
}

impl Head {
    /// Creates a head with empty fields, for HTTP/1.`version`.
    fn empty(version: u8, framing: Framing) -> Self {
        Self {
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
            framing,
        }
    }

    /// Stores the value of a header if it is one that the broker reads.
    fn apply(&mut self, header: &httparse::Header, body: &mut BodyHeaders) -> Result<(), HttpError> {
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let length = content_length(&header_text(header)?)?;
                if body.length.is_some_and(|previous| previous != length) {
                    return Err(HttpError::new(400, "Content-Length: given twice"));
                }
                body.length = Some(length);
            }
            "transfer-encoding" => {
                if !header_text(header)?.eq_ignore_ascii_case("chunked") {
                    return Err(HttpError::new(501, "Transfer-Encoding: only chunked is known"));
                }
                body.chunked = true;
            }
            "connection" => self.keep_alive = keep_alive(&header_text(header)?).unwrap_or(self.keep_alive),
            "expect" => self.expects_continue = header_text(header)?.eq_ignore_ascii_case("100-continue"),
            "x-call-id" | "x-opaque-id" => self.request_id = header_text(header)?,
            "x-call-class" => self.query_class = header_text(header)?,
            "x-budget" => self.time_budget = header_text(header)?,
            "x-again" => self.is_retry = header_text(header)? == "1",
            "x-caller" => self.tenant = header_text(header)?,
            "x-buckets" => {
                if !self.segments.is_empty() {
                    return Err(HttpError::new(400, "X-Buckets: given twice"));
                }
                self.segments = header_text(header)?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// Returns the value of a header without surrounding white space.
fn header_text(header: &httparse::Header) -> Result<String, HttpError> {
    match std::str::from_utf8(header.value) {
        Ok(text) => Ok(text.trim().to_string()),
        Err(_) => Err(HttpError::new(400, format!("{}: not UTF-8", header.name))),
    }
}

/// Reads the headers that the broker uses. `default_framing` applies if no header says how the body is framed.
fn parse_headers(
    headers: &[httparse::Header],
    version: u8,
    default_framing: Framing,
) -> Result<Head, HttpError> {
    let mut head = Head::empty(version, default_framing);
    let mut body = BodyHeaders::default();
    for header in headers {
        head.apply(header, &mut body)?;
    }
    head.framing = framing(&body, &head)?;
    // No message can follow a body that ends with the connection's close.
    head.keep_alive &= head.framing != Framing::UntilClose;
    Ok(head)
}

impl Head {
    /// Returns the value of the Content-Length header. Valid only before any byte of the body has been read.
    pub fn declared_length(&self) -> Option<u64> {
        if let Framing::Length(length) = self.framing { Some(length as u64) } else { None }
    }
}

/// Fails if a head, or the part of it that has arrived, is too long.
fn check_length(head_bytes: usize) -> Result<(), HttpError> {
    if head_bytes > MAX_HEAD_BYTES { Err(HttpError::new(431, "head: over 16 KiB")) } else { Ok(()) }
}

/// Parses and removes the head of a request from `input`; `None` until all of it has arrived.
pub fn parse_request(input: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input.filled()) {
        Err(e) => Err(HttpError::new(400, format!("head: {e}"))),
        Ok(httparse::Status::Partial) => check_length(input.filled().len()).map(|()| None),
        Ok(httparse::Status::Complete(used)) => {
            check_length(used)?;
            let mut head = parse_headers(request.headers, request.version.unwrap_or(0), Framing::Length(0))?;
            head.method = request.method.unwrap_or_default().to_string();
            head.path = request.path.unwrap_or_default().to_string();
            input.consume(used);
            Ok(Some(head))
        }
    }
}

/// Parses and removes the head of a response from `input`; `None` until all of it has arrived.
pub(super) fn parse_response_head(input: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(input.filled()) {
        Err(e) => Err(HttpError::new(400, format!("head: {e}"))),
        Ok(httparse::Status::Partial) => check_length(input.filled().len()).map(|()| None),
        Ok(httparse::Status::Complete(used)) => {
            check_length(used)?;
            let status = response.code.unwrap_or(0);
            let has_no_body = matches!(status, 100..=199 | 204 | 304);
            let default_framing = if has_no_body { Framing::Done } else { Framing::UntilClose };
            let mut head = parse_headers(response.headers, response.version.unwrap_or(0), default_framing)?;
            head.status = status;
            if has_no_body {
                // A length describes the body that another method or status would have.
                head.framing = Framing::Done;
            }
            input.consume(used);
            Ok(Some(head))
        }
    }
}
