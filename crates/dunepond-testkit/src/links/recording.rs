//! Records the data sent over a link and replays it later, like a network queue that delivers old packets after a long
//! delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{Duration, timeout};

/// Largest number of bytes that are recorded of one stream.
const MAX_STREAM_BYTES: usize = 1 << 20;
/// Largest number of datagrams that are recorded.
const MAX_DATAGRAMS: usize = 256;
/// Longest wait for the answers to one replayed stream.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Recorded {
    /// Bytes of each stream, by number of the connection.
    streams: BTreeMap<u64, Vec<u8>>,
    datagrams: Vec<Vec<u8>>,
}

/// A recording of the data sent in one direction. Nothing is recorded until it is started.
#[derive(Default)]
pub struct Recording(Mutex<Option<Recorded>>);

impl Recording {
    /// Starts to record, and discards an earlier recording.
    pub fn start(&self) {
        *self.0.lock().unwrap() = Some(Recorded::default());
    }

    /// Appends bytes to the stream of a connection, up to [`MAX_STREAM_BYTES`].
    pub fn record_stream(&self, connection_number: u64, bytes: &[u8]) {
        if let Some(recorded) = &mut *self.0.lock().unwrap() {
            let stream = recorded.streams.entry(connection_number).or_default();
            let free_bytes = MAX_STREAM_BYTES - stream.len();
            stream.extend_from_slice(&bytes[..bytes.len().min(free_bytes)]);
        }
    }

    /// Adds a datagram, up to [`MAX_DATAGRAMS`].
    pub fn record_datagram(&self, bytes: &[u8]) {
        if let Some(recorded) =
            self.0.lock().unwrap().as_mut().filter(|recorded| recorded.datagrams.len() < MAX_DATAGRAMS)
        {
            recorded.datagrams.push(bytes.to_vec());
        }
    }

    /// Stops the recording and delivers it to an address. Returns the numbers of streams and datagrams.
    pub async fn replay(&self, to: SocketAddr) -> std::io::Result<(usize, usize)> {
        let Some(recorded) = self.0.lock().unwrap().take() else { return Ok((0, 0)) };
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        for datagram in &recorded.datagrams {
            socket.send_to(datagram, to).await?;
        }
        for stream in recorded.streams.values() {
            let mut connection = TcpStream::connect(to).await?;
            // A failed write is no error: the peer may close the connection before it has read the whole stream.
            if connection.write_all(stream).await.is_ok() {
                let mut answers = Vec::new();
                let _ = timeout(REPLY_TIMEOUT, connection.read_to_end(&mut answers)).await;
            }
        }
        Ok((recorded.streams.len(), recorded.datagrams.len()))
    }
}
