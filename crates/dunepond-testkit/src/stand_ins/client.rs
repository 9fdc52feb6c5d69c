//! A client's connection, its requests and their answers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::{Value, json};

use super::{Broker, WAIT_TIMEOUT};

/// An HTTP answer.
#[derive(Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Status line and header fields, with the empty line that ends them.
    pub head: String,
    /// The body; null where it is not JSON.
    pub body: Value,
}

/// A client's connection.
pub struct Client {
    /// The connection, for what goes past requests and answers.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// The text of a query of these shards; `budget` is the time that the client gives it, in seconds.
pub fn query_request(query_class: &str, id: &str, shards: &[usize], budget: &str) -> String {
    let part = 1.0 / shards.len() as f64;
    let buckets: Vec<_> = shards.iter().map(|s| json!({"bucket": s, "part": part})).collect();
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
    /// Where nobody accepts.
    pub fn connect(broker: &Broker) -> Self {
        Self::connect_to(broker.address)
    }

    /// Connects to an address.
    ///
    /// # Panics
    /// Where nobody accepts.
    pub fn connect_to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self::from_stream(stream)
    }

    /// A client on a connection that is there, with the timeouts it has.
    pub fn from_stream(stream: TcpStream) -> Self {
        Self { reader: BufReader::new(stream.try_clone().unwrap()), stream }
    }

    /// Sends without waiting for an answer.
    ///
    /// # Panics
    /// Where the connection has ended.
    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).unwrap();
    }

    /// Sends and waits for the answer; `None` where the connection ends first.
    pub fn try_request(&mut self, request: &str) -> Option<Answer> {
        self.stream.write_all(request.as_bytes()).ok()?;
        self.read_answer()
    }

    /// Sends and waits for the answer.
    ///
    /// # Panics
    /// Where the connection ends first.
    pub fn request(&mut self, request: &str) -> Answer {
        self.send(request);
        self.read_answer().expect("an answer")
    }

    /// The next answer; `None` where the connection ends first.
    pub fn read_answer(&mut self) -> Option<Answer> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let length = head.split_once("Content-Length: ").unwrap().1.split('\r').next().unwrap();
        let mut body = vec![0; length.parse().unwrap()];
        self.reader.read_exact(&mut body).ok()?;
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        Some(Answer { status, head, body: serde_json::from_slice(&body).unwrap_or(Value::Null) })
    }
}
