//! Clients that misuse their connections, or use them harder than a sound client does.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, Socket, Type};

/// Stack of a client's thread; there are hundreds of them.
const STACK_BYTES: usize = 128 * 1024;
/// Receive buffer of a client that reads no answers: the operating system then takes little of what the broker writes.
const SMALL_RECEIVE_BUFFER_BYTES: usize = 2048;
/// Longest wait of one call of a client's socket, so that the client notices that its run is over.
const CALL_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// How a hostile client sends its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pace {
    /// As fast as the connection takes them, without waiting for answers.
    FullSpeed,
    /// One request at a time, with this pause after each, whether or not it was answered.
    Bursts(Duration),
    /// The first part of one request, of this many bytes at the most; then nothing.
    StopsAfter(usize),
    /// In pieces of this many bytes, with this pause between them.
    Slowly {
        /// Length of a piece in bytes.
        bytes: usize,
        /// Pause after each piece.
        pause: Duration,
    },
    /// Requests on a new connection each, which is closed this long after the request was sent.
    LeavesAfter(Duration),
}

/// What a hostile client does with the answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answers {
    /// Reads and discards them.
    Read,
    /// Leaves them unread.
    LeftUnread,
}

/// Makes the request with this number, the same for the same number.
pub type MakeRequest = Arc<dyn Fn(u64) -> Vec<u8> + Send + Sync>;

/// A group of equal hostile clients, each with one connection at a time.
#[derive(Clone)]
pub struct HostileClients {
    /// Number of clients.
    pub count: usize,
    /// How they send requests.
    pub pace: Pace,
    /// What they do with answers.
    pub answers: Answers,
    /// Makes their requests.
    pub request: MakeRequest,
}

/// Number of reads that began with an answer of each status. A read may contain several answers.
pub type StatusCounts = BTreeMap<u16, usize>;

/// What the clients of a group share.
#[derive(Default)]
struct Shared {
    is_over: AtomicBool,
    statuses: Mutex<StatusCounts>,
}

impl Shared {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Counts the status of the answer that `bytes` begin with, if they begin with one.
    fn count_answer(&self, bytes: &[u8]) {
        let status = bytes.strip_prefix(b"HTTP/1.1 ").and_then(|rest| rest.get(..3));
        if let Some(status) = status.and_then(|digits| std::str::from_utf8(digits).ok()?.parse().ok()) {
            *self.statuses.lock().unwrap().entry(status).or_default() += 1;
        }
    }
}

/// Hostile clients that run until they are stopped.
pub struct RunningClients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl RunningClients {
    /// Ends the clients, waits for them and returns the statuses of the answers that they read.
    ///
    /// # Panics
    /// If a client has panicked.
    pub fn stop(self) -> StatusCounts {
        self.shared.is_over.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a hostile client panicked"));
        self.shared.statuses.lock().unwrap().clone()
    }
}

impl HostileClients {
    /// Starts the clients. Each connects again when its connection has ended.
    ///
    /// # Panics
    /// If a thread cannot be started.
    pub fn start(&self, address: SocketAddr) -> RunningClients {
        let shared = Arc::new(Shared::default());
        let start = |number: usize| {
            let (clients, shared) = (self.clone(), shared.clone());
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            let numbers = (number as u64..).step_by(self.count);
            builder.spawn(move || clients.run_one(address, numbers, &shared)).unwrap()
        };
        RunningClients { threads: (0..self.count).map(start).collect(), shared }
    }

    /// Runs one client, whose requests have these numbers.
    fn run_one(&self, address: SocketAddr, mut numbers: impl Iterator<Item = u64>, shared: &Arc<Shared>) {
        while !shared.is_over() {
            if let Ok(stream) = self.connect(address) {
                let _ = self.use_connection(&stream, &mut numbers, shared);
            }
            if !matches!(self.pace, Pace::LeavesAfter(_)) {
                thread::sleep(RECONNECT_PAUSE);
            }
        }
    }

    fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
        if self.answers == Answers::LeftUnread {
            socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)?;
        }
        socket.connect_timeout(&address.into(), Duration::from_secs(1))?;
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(CALL_TIMEOUT))?;
        stream.set_read_timeout(Some(Duration::from_millis(1)))?;
        Ok(stream)
    }

    /// Uses a connection until it ends or the run is over. Returns the error that ended it.
    fn use_connection(
        &self,
        mut stream: &TcpStream,
        numbers: &mut impl Iterator<Item = u64>,
        shared: &Arc<Shared>,
    ) -> std::io::Result<()> {
        match self.pace {
            Pace::FullSpeed => {
                let _reader = match self.answers {
                    Answers::Read => Some(discard_answers(stream.try_clone()?, shared.clone())),
                    Answers::LeftUnread => None,
                };
                for number in numbers {
                    write_all(stream, &(self.request)(number), shared)?;
                }
                Ok(())
            }
            Pace::Bursts(pause) => {
                for number in numbers {
                    write_all(stream, &(self.request)(number), shared)?;
                    self.read_available(stream, shared)?;
                    thread::sleep(pause);
                }
                Ok(())
            }
            Pace::StopsAfter(bytes) => {
                let request = (self.request)(numbers.next().unwrap_or(0));
                write_all(stream, &request[..bytes.min(request.len())], shared)?;
                self.wait_until_closed(stream, shared)
            }
            Pace::Slowly { bytes, pause } => {
                for number in numbers {
                    for piece in (self.request)(number).chunks(bytes) {
                        write_all(stream, piece, shared)?;
                        self.read_available(stream, shared)?;
                        thread::sleep(pause);
                    }
                }
                Ok(())
            }
            Pace::LeavesAfter(pause) => {
                stream.write_all(&(self.request)(numbers.next().unwrap_or(0)))?;
                thread::sleep(pause);
                Ok(())
            }
        }
    }

    /// Reads what has arrived, if the client reads answers. Fails if the connection has ended.
    fn read_available(&self, mut stream: &TcpStream, shared: &Shared) -> std::io::Result<()> {
        if self.answers == Answers::LeftUnread {
            return Ok(());
        }
        let mut buffer = [0; 16 * 1024];
        match stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => shared.count_answer(&buffer[..count]),
            Err(e) if is_timeout(&e) => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Waits until the broker has closed the connection or the run is over.
    fn wait_until_closed(&self, stream: &TcpStream, shared: &Arc<Shared>) -> std::io::Result<()> {
        let mut last = Instant::now();
        while !shared.is_over() {
            self.read_available(stream, shared)?;
            // Whether the broker has closed a connection whose answers stay unread shows only by writing.
            if self.answers == Answers::LeftUnread && stream.take_error()?.is_some() {
                return Ok(());
            }
            thread::sleep(CALL_TIMEOUT.saturating_sub(last.elapsed()));
            last = Instant::now();
        }
        Ok(())
    }
}

/// Reads and discards what a connection receives, in a thread, until it ends.
fn discard_answers(mut stream: TcpStream, shared: Arc<Shared>) -> JoinHandle<()> {
    let builder = thread::Builder::new().stack_size(STACK_BYTES);
    let read = move || {
        let mut buffer = [0; 16 * 1024];
        loop {
            match stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(count) => shared.count_answer(&buffer[..count]),
                Err(e) if is_timeout(&e) => {}
                Err(_) => return,
            }
        }
    };
    builder.spawn(read).expect("a thread can be started")
}

/// Writes all bytes, however long that takes, unless the run is over; the connection has then to be closed.
fn write_all(mut stream: &TcpStream, mut bytes: &[u8], shared: &Arc<Shared>) -> std::io::Result<()> {
    while !bytes.is_empty() {
        if shared.is_over() {
            return Err(ErrorKind::Interrupted.into());
        }
        match stream.write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(e) if is_timeout(&e) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted)
}
