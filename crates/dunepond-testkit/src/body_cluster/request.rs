//! Streamed queries and the clients that send them. Such a query has its properties in HTTP header fields instead of a JSON
//! body, so its body can have any content and size.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::stand_ins::{Client, Response};

/// Maximum number of body bytes in one write.
const BLOCK_BYTES: usize = 64 * 1024;
/// Number of blocks per second into which a client with a limited rate divides its body.
const BLOCKS_PER_SECOND: usize = 20;
/// Timeout of each read and each write of a client.
const IO_TIMEOUT: Duration = Duration::from_secs(60);
/// Time budget that [`body_request`] gives a query.
const DEFAULT_BUDGET_SECONDS: f64 = 20.0;

/// A streamed query: its properties are in HTTP header fields instead of a JSON body.
#[derive(Clone, Debug)]
pub struct BodyRequest {
    /// The query class, which is also the path of the request.
    pub query_class: &'static str,
    /// The query's id, which also seeds the content of its body.
    pub id: String,
    /// The tenant that sends the query.
    pub tenant: &'static str,
    /// The shards that the query covers, with equal shares.
    pub shards: Vec<usize>,
    /// The time budget that the client states, in seconds.
    pub budget_seconds: f64,
    /// The length of the body, in bytes.
    pub body_bytes: u64,
    /// Whether the body is sent with chunked transfer encoding, without a stated length.
    pub chunked: bool,
    /// The rate at which the client sends the body, in bytes per second; `None` for no limit.
    pub bytes_per_second: Option<u64>,
    /// Number of body bytes after which the client disconnects; `None` if it waits for the answer.
    pub disconnect_after_bytes: Option<u64>,
}

/// Outcome of a request.
#[derive(Debug)]
pub struct BodyOutcome {
    /// The answer; `None` if the connection ended without one or the client disconnected.
    pub response: Option<Response>,
    /// Time from the established connection until the whole answer was read, the connection failed or the client disconnected,
    /// in seconds.
    pub elapsed_seconds: f64,
}

impl BodyOutcome {
    /// Returns the HTTP status code, or 0 without an answer.
    pub fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |response| response.status)
    }

    /// Returns the error text of an answer that rejects the request; empty if there is none.
    pub fn error_text(&self) -> String {
        let error = self.response.as_ref().and_then(|response| response.body["error"].as_str());
        error.unwrap_or_default().to_string()
    }
}

/// Returns a request of tenant `left` whose body is sent with a stated length and no rate limit.
pub fn body_request(query_class: &'static str, id: &str, shards: &[usize], body_bytes: u64) -> BodyRequest {
    BodyRequest {
        query_class,
        id: id.to_string(),
        tenant: "left",
        shards: shards.to_vec(),
        budget_seconds: DEFAULT_BUDGET_SECONDS,
        body_bytes,
        chunked: false,
        bytes_per_second: None,
        disconnect_after_bytes: None,
    }
}

/// Fills `block` with the bytes from `offset` of the body of request `id`. Blocks differ by id and by offset, so that a block
/// that is swapped for another changes the checksum.
fn fill_block(id: &str, offset: u64, block: &mut [u8]) {
    let seed = u64::from(crc32fast::hash(id.as_bytes()));
    for (i, byte) in block.iter_mut().enumerate() {
        let position = offset + i as u64;
        *byte = (position.wrapping_mul(31) ^ (position >> 8) ^ (position >> 16) ^ seed) as u8;
    }
}

impl BodyRequest {
    /// Returns the value that a node answers after receiving the whole body: the body's length and CRC-32.
    pub fn expected_value(&self) -> String {
        let mut checksum = crc32fast::Hasher::new();
        let mut block = vec![0; BLOCK_BYTES];
        let mut offset = 0;
        while offset < self.body_bytes {
            let count = block.len().min((self.body_bytes - offset) as usize);
            fill_block(&self.id, offset, &mut block[..count]);
            checksum.update(&block[..count]);
            offset += count as u64;
        }
        format!("{}:{:08x}", self.body_bytes, checksum.finalize())
    }

    /// Returns the request line and the header fields, with the empty line that ends them.
    pub fn header(&self) -> String {
        let share = 1.0 / self.shards.len() as f64;
        let buckets: Vec<_> = self.shards.iter().map(|shard| format!("{shard}={share:.6}")).collect();
        let framing = match self.chunked {
            true => "Transfer-Encoding: chunked".to_string(),
            false => format!("Content-Length: {}", self.body_bytes),
        };
        format!(
            "POST /{} HTTP/1.1\r\nX-Call-Id: {}\r\nX-Caller: {}\r\nX-Budget: {}\r\nX-Buckets: {}\r\n{framing}\r\n\r\n",
            self.query_class,
            self.id,
            self.tenant,
            self.budget_seconds,
            buckets.join(",")
        )
    }

    /// Sends the request on a new connection and waits for its outcome.
    pub fn send(&self, address: SocketAddr) -> BodyOutcome {
        // Measured from the established connection: when hundreds of clients connect at once, they wait for each other in the
        // operating system.
        let stream = TcpStream::connect(address);
        let started = Instant::now();
        let response = stream.ok().and_then(|stream| self.exchange(stream, started));
        BodyOutcome { response, elapsed_seconds: started.elapsed().as_secs_f64() }
    }

    /// Sends the request and reads the answer. Returns `None` if the client disconnects or the connection fails.
    fn exchange(&self, mut stream: TcpStream, started: Instant) -> Option<Response> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
        stream.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
        stream.write_all(self.header().as_bytes()).ok()?;
        let mut block = vec![0; self.block_bytes()];
        let mut offset = 0;
        while offset < self.body_bytes {
            if self.disconnect_after_bytes.is_some_and(|limit| offset >= limit) {
                return None;
            }
            let count = block.len().min((self.body_bytes - offset) as usize);
            fill_block(&self.id, offset, &mut block[..count]);
            // A write may fail because the broker has answered early; that answer can still be read.
            if self.write_block(&mut stream, &block[..count]).is_err() {
                break;
            }
            offset += count as u64;
            self.wait_for_rate(offset, started);
        }
        if self.chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        if self.disconnect_after_bytes.is_some() {
            return None;
        }
        Client::from_stream(stream).read_response()
    }

    /// Returns the number of body bytes per write.
    fn block_bytes(&self) -> usize {
        match self.bytes_per_second {
            Some(rate) => (rate as usize / BLOCKS_PER_SECOND).clamp(1, BLOCK_BYTES),
            None => BLOCK_BYTES,
        }
    }

    /// Writes a block of the body, as one chunk if the body is chunked.
    fn write_block(&self, stream: &mut TcpStream, block: &[u8]) -> std::io::Result<()> {
        if !self.chunked {
            return stream.write_all(block);
        }
        stream.write_all(format!("{:x}\r\n", block.len()).as_bytes())?;
        stream.write_all(block)?;
        stream.write_all(b"\r\n")
    }

    /// Sleeps until the time at which `sent_bytes` are due at the client's rate.
    fn wait_for_rate(&self, sent_bytes: u64, started: Instant) {
        if let Some(rate) = self.bytes_per_second {
            let due_seconds = sent_bytes as f64 / rate as f64;
            thread::sleep(Duration::from_secs_f64((due_seconds - started.elapsed().as_secs_f64()).max(0.0)));
        }
    }
}
