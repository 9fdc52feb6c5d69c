//! Sound clients beside hostile ones: what became of their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use std::net::TcpStream;

use crate::stand_ins::{Client, query_request};

/// Number of sound clients.
const CLIENTS: usize = 4;
/// Pause of a sound client after each answer.
const PAUSE: Duration = Duration::from_millis(10);
/// By the protocol specification, an answer that comes later than this after the client's time counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Outcomes of the requests of all sound clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct SoundOutcomes {
    /// Requests answered with 200 in time.
    pub served: usize,
    /// Requests answered with 429 or 503 in time.
    pub rejected: usize,
    /// Requests with another answer in time.
    pub failed: usize,
    /// Requests answered later than the protocol allows.
    pub late: usize,
    /// Requests without an answer, or whose connection was closed twice without one.
    pub lost: usize,
    /// Requests that could not be sent, as no connection came up in time.
    pub unconnected: usize,
    /// The longest time until an answer.
    pub longest_wait: Duration,
}

impl SoundOutcomes {
    /// Number of requests that got no answer within the time that the protocol allows.
    pub fn unanswered_in_time(&self) -> usize {
        self.late + self.lost
    }

    fn add(&mut self, other: Self) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.late += other.late;
        self.lost += other.lost;
        self.unconnected += other.unconnected;
        self.longest_wait = self.longest_wait.max(other.longest_wait);
    }
}

/// Sound clients that run until they are stopped.
pub struct SoundClients {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<SoundOutcomes>>,
}

/// One sound client.
struct SoundClient {
    address: SocketAddr,
    name: String,
    query_class: &'static str,
    budget: Duration,
    segments: usize,
    connection: Option<Client>,
    outcomes: SoundOutcomes,
}

impl SoundClients {
    /// Starts the clients, whose requests have `budget` to be answered and name one of the first `segments` segments.
    pub fn start(address: SocketAddr, query_class: &'static str, budget: Duration, segments: usize) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let start = |number: usize| {
            let is_over = is_over.clone();
            thread::spawn(move || {
                let mut client = SoundClient {
                    address,
                    name: format!("sound{number}"),
                    query_class,
                    budget,
                    segments,
                    connection: None,
                    outcomes: SoundOutcomes::default(),
                };
                for request in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        break;
                    }
                    client.request(request);
                    thread::sleep(PAUSE);
                }
                client.outcomes
            })
        };
        Self { threads: (0..CLIENTS).map(start).collect(), is_over }
    }

    /// Ends the clients after their present request, and returns the outcomes of all requests.
    ///
    /// # Panics
    /// If a client has panicked.
    pub fn stop(self) -> SoundOutcomes {
        self.is_over.store(true, Ordering::SeqCst);
        let mut total = SoundOutcomes::default();
        for thread in self.threads {
            total.add(thread.join().expect("a sound client panicked"));
        }
        total
    }
}

impl SoundClient {
    /// Sends a request and records its outcome. As a broker may close a resting connection, a request that meets the close
    /// is sent once more on a new one.
    fn request(&mut self, number: usize) {
        let started_at = Instant::now();
        let was_open = self.connection.is_some();
        let status = match self.send_once(number, 0) {
            Sent::Unanswered if was_open && started_at.elapsed() < self.budget => self.send_once(number, 1),
            sent => sent,
        };
        let waited = started_at.elapsed();
        let outcomes = &mut self.outcomes;
        match status {
            Sent::Unconnected => outcomes.unconnected += 1,
            Sent::Unanswered => outcomes.lost += 1,
            Sent::Answered(_) if waited > self.budget + ANSWER_GRACE => outcomes.late += 1,
            Sent::Answered(200) => outcomes.served += 1,
            Sent::Answered(429 | 503) => outcomes.rejected += 1,
            Sent::Answered(_) => outcomes.failed += 1,
        }
        if !matches!(status, Sent::Unconnected) {
            outcomes.longest_wait = outcomes.longest_wait.max(waited);
        }
    }

    fn send_once(&mut self, number: usize, sent_before: usize) -> Sent {
        let deadline = self.budget + 2 * ANSWER_GRACE;
        if self.connection.is_none() {
            let Ok(stream) = TcpStream::connect_timeout(&self.address, self.budget) else {
                return Sent::Unconnected;
            };
            let is_set_up = stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(deadline)));
            self.connection = is_set_up.ok().map(|()| Client::from_stream(stream));
        }
        let Some(client) = &mut self.connection else { return Sent::Unconnected };
        let id = format!("{}-{number}-{sent_before}", self.name);
        let budget = format!("{:.3}", self.budget.as_secs_f64());
        let request = query_request(self.query_class, &id, &[number % self.segments], &budget);
        let answer = client.try_request(&request);
        if answer.as_ref().is_none_or(|answer| answer.header.contains("Connection: close")) {
            self.connection = None;
        }
        answer.map_or(Sent::Unanswered, |answer| Sent::Answered(answer.status))
    }
}

/// What became of a request that was sent once.
#[derive(Clone, Copy)]
enum Sent {
    Unconnected,
    Unanswered,
    Answered(u16),
}
