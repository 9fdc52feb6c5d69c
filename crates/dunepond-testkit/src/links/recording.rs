//! Records what a link carried and replays it long after, as a queue on the way does that was thought lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::{Duration, timeout};

/// The most that is recorded of one stream, and of datagrams.
const MAX_STREAM_BYTES: usize = 1 << 20;
const MAX_DATAGRAMS: usize = 256;
/// For the answers to one stream that is replayed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Default)]
struct Recorded {
    streams: BTreeMap<u64, Vec<u8>>,
    datagrams: Vec<Vec<u8>>,
}

/// Records nothing until it is started.
#[derive(Default)]
pub struct Recording(Mutex<Option<Recorded>>);

impl Recording {
    /// Records from now on, beginning with nothing.
    pub fn start(&self) {
        *self.0.lock().unwrap() = Some(Recorded::default());
    }

    /// Adds bytes to the stream of this number, up to a limit.
    pub fn record_stream(&self, number: u64, bytes: &[u8]) {
        if let Some(pile) = &mut *self.0.lock().unwrap() {
            let stream = pile.streams.entry(number).or_default();
            let room = MAX_STREAM_BYTES - stream.len();
            stream.extend_from_slice(&bytes[..bytes.len().min(room)]);
        }
    }

    /// Adds a datagram, up to a limit.
    pub fn record_datagram(&self, bytes: &[u8]) {
        if let Some(pile) =
            self.0.lock().unwrap().as_mut().filter(|pile| pile.datagrams.len() < MAX_DATAGRAMS)
        {
            pile.datagrams.push(bytes.to_vec());
        }
    }

    /// Delivers all of it to its target; how many streams and datagrams.
    pub async fn replay(&self, to: SocketAddr) -> std::io::Result<(usize, usize)> {
        let Some(pile) = self.0.lock().unwrap().take() else { return Ok((0, 0)) };
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        for datagram in &pile.datagrams {
            socket.send_to(datagram, to).await?;
        }
        for stream in pile.streams.values() {
            let mut out = TcpStream::connect(to).await?;
            // A peer that closes in the middle has read enough.
            if out.write_all(stream).await.is_ok() {
                let mut answers = Vec::new();
                let _ = timeout(REPLY_TIMEOUT, out.read_to_end(&mut answers)).await;
            }
        }
        Ok((pile.streams.len(), pile.datagrams.len()))
    }
}
