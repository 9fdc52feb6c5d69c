//! A client that sends HTTP requests to a broker and reads the answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{Value, json};

use super::{Broker, WAIT_TIMEOUT};

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The status line and the header fields, with the empty line that ends them.
    pub header: String,
    /// The body as JSON, or null if it is not JSON.
    pub body: Value,
}

/// A client with one connection.
pub struct Client {
    /// The underlying connection, for tests that read, write or close it directly.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// Returns the HTTP request of a query of these shards, with equal shares; `budget` is its time budget, in seconds.
pub fn query_request(query_class: &str, id: &str, shards: &[usize], budget: &str) -> String {
    let share = 1.0 / shards.len() as f64;
    let buckets: Vec<_> = shards.iter().map(|shard| json!({"bucket": shard, "part": share})).collect();
    let body = json!({"buckets": buckets, "body": "q1"}).to_string();
    format!(
        "POST /{query_class} HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {id}\r\nX-Call-Class: {query_class}\r\n\
         X-Budget: {budget}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Client {
    /// Connects to a broker's client address.
    ///
    /// # Panics
    /// If the connection fails.
    pub fn connect(broker: &Broker) -> Self {
        Self::connect_to(broker.address)
    }

    /// Connects to an address.
    ///
    /// # Panics
    /// If the connection fails.
    pub fn connect_to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self::from_stream(stream)
    }

    /// Creates a client on an open connection and leaves its timeouts unchanged.
    pub fn from_stream(stream: TcpStream) -> Self {
        Self { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Sends a request without waiting for the answer.
    ///
    /// # Panics
    /// If the request cannot be written.
    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).unwrap();
    }

    /// Sends a request and waits for the answer; `None` if the connection ends first or the read times out.
    pub fn try_request(&mut self, request: &str) -> Option<Response> {
        self.stream.write_all(request.as_bytes()).ok()?;
        self.read_response()
    }

    /// Sends a request and waits for the answer.
    ///
    /// # Panics
    /// If the connection ends first or the read times out.
    pub fn request(&mut self, request: &str) -> Response {
        self.send(request);
        self.read_response().expect("expected an answer, but the connection ended or the read timed out")
    }

    /// Reads the next answer; `None` if the connection ends first or the read times out.
    ///
    /// # Panics
    /// If the answer has no valid `Content-Length` or status code.
    pub fn read_response(&mut self) -> Option<Response> {
        let mut header = String::new();
        while !header.ends_with("\r\n\r\n") {
            if self.reader.read_line(&mut header).ok()? == 0 {
                return None;
            }
        }
        let length = header.split_once("Content-Length: ").unwrap().1.split('\r').next().unwrap();
        let mut body = vec![0; length.parse().unwrap()];
        self.reader.read_exact(&mut body).ok()?;
        let status = header.split(' ').nth(1).unwrap().parse().unwrap();
        Some(Response { status, header, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
    }
}
