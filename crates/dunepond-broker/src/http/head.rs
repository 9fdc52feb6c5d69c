//! Heads of requests and responses.

use super::{HttpError, body_too_long};
use crate::buffers::{BUFFER_BYTES, Buffer};

/// Longest head, including the start line.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADER_COUNT: usize = 64;

/// How the body is framed, and how much of it is left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Framing {
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkTerminator,
    Trailer,
    /// A response without a length: it ends where its sender closes the connection.
    UntilClose,
    Done,
}

/// A head with the fields that either side reads; absent ones are empty, and none are validated here.
#[derive(Debug, PartialEq)]
pub struct Head {
    /// Of a request.
    pub method: String,
    /// Of a request, with its query string.
    pub path: String,
    /// Of a response.
    pub status: u16,
    /// `X-Call-Id`, or `X-Opaque-Id` at the search API.
    pub request_id: String,
    /// `X-Call-Class`.
    pub query_class: String,
    /// `X-Budget`, in seconds.
    pub time_budget: String,
    /// `X-Again`: the client marks the request as a retry.
    pub is_retry: bool,
    /// `X-Caller`.
    pub tenant: String,
    /// `X-Buckets`: the parts of a streamed request; empty for others.
    pub segments: String,
    /// The connection stays open after the message.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    pub(super) framing: Framing,
}

/// The value of a Content-Length header: digits only, no sign.
fn content_length(value: &str) -> Result<usize, HttpError> {
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let count = value.parse::<usize>().ok().filter(|_| digits);
    count.ok_or_else(|| HttpError::new(400, "Content-Length: not a length"))
}

/// Whether a Connection header keeps the connection open; `None` if it names neither option.
fn keep_alive(value: &str) -> Option<bool> {
    let value = value.to_ascii_lowercase();
    let option = value.split(',').map(str::trim).find(|v| matches!(*v, "close" | "keep-alive"));
    option.map(|option| option == "keep-alive")
}

/// How the body is framed, by its headers; `head` has the default.
fn framing(body: &BodyHeaders, head: &Head) -> Result<Framing, HttpError> {
    match (body.chunked, body.length) {
        // Guards against request smuggling.
        (true, Some(_)) => Err(HttpError::new(400, "Content-Length: given beside Transfer-Encoding")),
        (true, None) => Ok(Framing::ChunkSize),
        // The length of a streamed body is bounded by the body store.
        (false, Some(length)) if length > BUFFER_BYTES && head.segments.is_empty() => Err(body_too_long()),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(head.framing),
    }
}

/// The headers that frame the body.
#[derive(Default)]
struct BodyHeaders {
    length: Option<usize>,
    chunked: bool,
}

impl Head {
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

    /// Takes over a header, if it is one that either side needs.
    fn apply(&mut self, header: &httparse::Header, body: &mut BodyHeaders) -> Result<(), HttpError> {
        match header.name.to_ascii_lowercase().as_str() {
            "content-length" => {
                let length = content_length(&text(header)?)?;
                if body.length.is_some_and(|before| before != length) {
                    return Err(HttpError::new(400, "Content-Length: given twice"));
                }
                body.length = Some(length);
            }
            "transfer-encoding" => {
                if !text(header)?.eq_ignore_ascii_case("chunked") {
                    return Err(HttpError::new(501, "Transfer-Encoding: only chunked is known"));
                }
                body.chunked = true;
            }
            "connection" => self.keep_alive = keep_alive(&text(header)?).unwrap_or(self.keep_alive),
            "expect" => self.expects_continue = text(header)?.eq_ignore_ascii_case("100-continue"),
            "x-call-id" | "x-opaque-id" => self.request_id = text(header)?,
            "x-call-class" => self.query_class = text(header)?,
            "x-budget" => self.time_budget = text(header)?,
            "x-again" => self.is_retry = text(header)? == "1",
            "x-caller" => self.tenant = text(header)?,
            "x-buckets" => {
                if !self.segments.is_empty() {
                    return Err(HttpError::new(400, "X-Buckets: given twice"));
                }
                self.segments = text(header)?;
            }
            _ => {}
        }
        Ok(())
    }
}

/// The value of a header, without white space around it.
fn text(header: &httparse::Header) -> Result<String, HttpError> {
    match std::str::from_utf8(header.value) {
        Ok(text) => Ok(text.trim().to_string()),
        Err(_) => Err(HttpError::new(400, format!("{}: not UTF-8", header.name))),
    }
}

/// Reads the headers that either side needs; `default_framing` is the framing without a length.
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
    // No message can follow a body that ends with the connection.
    head.keep_alive &= head.framing != Framing::UntilClose;
    Ok(head)
}

impl Head {
    /// The length in the Content-Length header, as long as no byte of the body has been read.
    pub fn declared_length(&self) -> Option<u64> {
        if let Framing::Length(length) = self.framing { Some(length as u64) } else { None }
    }
}

fn incomplete_head(input: &Buffer) -> Result<Option<Head>, HttpError> {
    if input.filled().len() > MAX_HEAD_BYTES {
        Err(HttpError::new(431, "head: over 16 KiB"))
    } else {
        Ok(None)
    }
}

/// Parses a request's head out of `input`; `None` until all of it has arrived.
pub fn parse_request(input: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(input.filled()) {
        Err(e) => Err(HttpError::new(400, format!("head: {e}"))),
        Ok(httparse::Status::Partial) => incomplete_head(input),
        Ok(httparse::Status::Complete(used)) => {
            let mut head = parse_headers(request.headers, request.version.unwrap_or(0), Framing::Length(0))?;
            head.method = request.method.unwrap_or_default().to_string();
            head.path = request.path.unwrap_or_default().to_string();
            input.consume(used);
            Ok(Some(head))
        }
    }
}

/// Parses a response's head out of `input`; `None` until all of it has arrived.
pub fn parse_response(input: &mut Buffer) -> Result<Option<Head>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_COUNT];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(input.filled()) {
        Err(e) => Err(HttpError::new(400, format!("head: {e}"))),
        Ok(httparse::Status::Partial) => incomplete_head(input),
        Ok(httparse::Status::Complete(used)) => {
            let status = response.code.unwrap_or(0);
            let bare = matches!(status, 100..=199 | 204 | 304);
            let default_framing = if bare { Framing::Done } else { Framing::UntilClose };
            let mut head = parse_headers(response.headers, response.version.unwrap_or(0), default_framing)?;
            head.status = status;
            input.consume(used);
            Ok(Some(head))
        }
    }
}
