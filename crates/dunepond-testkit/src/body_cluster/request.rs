//! Queries in the raw form, whose bodies may be large, and the clients that send them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::stand_ins::{Answer, Client};

/// The most that is written at a time.
const BLOCK_BYTES: usize = 64 * 1024;
/// A paced client writes so many blocks a second.
const BLOCKS_PER_SECOND: usize = 20;
/// For each read and write.
const IO_TIMEOUT: Duration = Duration::from_secs(60);
const DEFAULT_BUDGET_SECONDS: f64 = 20.0;

/// A query in the raw form.
#[derive(Clone, Debug)]
pub struct BodyRequest {
    /// Its query class.
    pub query_class: &'static str,
    /// Its id, which also draws its body.
    pub id: String,
    /// The tenant that asks.
    pub tenant: &'static str,
    /// The shards that it asks for.
    pub shards: Vec<usize>,
    /// The time that its client gives it.
    pub budget_seconds: f64,
    /// The length of its body.
    pub body_bytes: u64,
    /// Sent in chunks, its length not stated.
    pub chunked: bool,
    /// The client's pace; as fast as it goes where none.
    pub bytes_per_second: Option<u64>,
    /// The client disconnects after so many bytes.
    pub disconnect_after_bytes: Option<u64>,
}

/// What became of a request.
#[derive(Debug)]
pub struct BodyOutcome {
    /// `None` where the connection ended without one.
    pub answer: Option<Answer>,
    /// From when it was connected to its answer.
    pub elapsed_seconds: f64,
}

impl BodyOutcome {
    /// The status code; 0 without an answer.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, |answer| answer.status)
    }

    /// The words of a rejection; empty where there are none.
    pub fn error_text(&self) -> String {
        let words = self.answer.as_ref().and_then(|answer| answer.body["error"].as_str());
        words.unwrap_or_default().to_string()
    }
}

/// A request whose body is sent with its length stated, as fast as it goes.
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

/// Fills a block with the bytes of this id's body from `offset` on: no two blocks are alike, so that none can stand for another.
fn fill_block(id: &str, offset: u64, block: &mut [u8]) {
    let seed = u64::from(crc32fast::hash(id.as_bytes()));
    for (i, byte) in block.iter_mut().enumerate() {
        let place = offset + i as u64;
        *byte = (place.wrapping_mul(31) ^ (place >> 8) ^ (place >> 16) ^ seed) as u8;
    }
}

impl BodyRequest {
    /// What a node that got all of the body answers: its length and checksum.
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

    /// Request line and header fields.
    pub fn head(&self) -> String {
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

    /// Sends it on a connection of its own and waits for what becomes of it.
    pub fn send(&self, address: SocketAddr) -> BodyOutcome {
        // Its time counts from when it can ask: hundreds that connect at once wait for each other in the system.
        let stream = TcpStream::connect(address);
        let started = Instant::now();
        let answer = stream.ok().and_then(|stream| self.exchange(stream, started));
        BodyOutcome { answer, elapsed_seconds: started.elapsed().as_secs_f64() }
    }

    fn exchange(&self, mut stream: TcpStream, started: Instant) -> Option<Answer> {
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
        stream.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
        stream.write_all(self.head().as_bytes()).ok()?;
        let mut block = vec![0; self.block_bytes()];
        let mut offset = 0;
        while offset < self.body_bytes {
            if self.disconnect_after_bytes.is_some_and(|limit| offset >= limit) {
                return None;
            }
            let count = block.len().min((self.body_bytes - offset) as usize);
            fill_block(&self.id, offset, &mut block[..count]);
            // It may have been answered already: the answer is still there to be read.
            if self.write_block(&mut stream, &block[..count]).is_err() {
                break;
            }
            offset += count as u64;
            self.keep_pace(offset, started);
        }
        if self.chunked {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        if self.disconnect_after_bytes.is_some() {
            return None;
        }
        Client::from_stream(stream).read_answer()
    }

    fn block_bytes(&self) -> usize {
        match self.bytes_per_second {
            Some(rate) => (rate as usize / BLOCKS_PER_SECOND).clamp(1, BLOCK_BYTES),
            None => BLOCK_BYTES,
        }
    }

    fn write_block(&self, stream: &mut TcpStream, block: &[u8]) -> std::io::Result<()> {
        if !self.chunked {
            return stream.write_all(block);
        }
        stream.write_all(format!("{:x}\r\n", block.len()).as_bytes())?;
        stream.write_all(block)?;
        stream.write_all(b"\r\n")
    }

    fn keep_pace(&self, sent_bytes: u64, started: Instant) {
        if let Some(rate) = self.bytes_per_second {
            let due = sent_bytes as f64 / rate as f64;
            thread::sleep(Duration::from_secs_f64((due - started.elapsed().as_secs_f64()).max(0.0)));
        }
    }
}
