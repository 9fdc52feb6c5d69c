//! Load with open arrivals: a slow request does not delay the next one, which would hide how slow it is.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::report::Curve;
use crate::stand_ins::{Answer, Client, query_request};

/// Clients that share the arrivals. Each has one request out at a time, and there are more of them than requests are ever out.
const CLIENT_COUNT: usize = 48;
/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
const LATENCY_DIGITS: u8 = 3;

/// Small queries at a rate, for a time.
pub struct Load {
    /// The broker's address.
    pub to: SocketAddr,
    /// How many arrive in a second, on the average.
    pub requests_per_second: f64,
    /// For how long they arrive.
    pub duration_seconds: f64,
    /// Draws when each arrives.
    pub seed: u64,
    /// What their ids begin with.
    pub id_prefix: &'static str,
}

/// What became of a load.
pub struct LoadReport {
    /// Microseconds from when each request was due to its answer.
    pub latencies: Histogram<u64>,
    /// Answered with 200.
    pub served: u64,
    /// Answered with 429 or 503.
    pub rejected: u64,
    /// Answered with another status, or not at all.
    pub failed: u64,
}

impl LoadReport {
    /// The latency below which this share of the requests ended.
    pub fn latency_seconds(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e6
    }

    /// The latency in milliseconds over the percentage of requests that ended within it.
    pub fn latency_curve(&self, name: &str) -> Curve {
        let point = |percent: i32| {
            let percent = f64::from(percent);
            (percent, 1e3 * self.latency_seconds(percent / 100.0))
        };
        Curve { name: name.to_string(), points: (0..=100).map(point).collect() }
    }

    fn record(&mut self, due: Instant, status: Option<u16>) {
        let _ = self.latencies.record(due.elapsed().as_micros() as u64);
        match status {
            Some(200) => self.served += 1,
            Some(429 | 503) => self.rejected += 1,
            _ => self.failed += 1,
        }
    }
}

/// What the clients of a load share.
struct Work<R, A> {
    to: SocketAddr,
    /// When each request is due.
    arrivals: Vec<Instant>,
    next: AtomicUsize,
    request: R,
    on_answer: A,
    report: Mutex<LoadReport>,
}

impl<R: Fn(usize) -> String, A: Fn(usize, Instant, Option<&Answer>)> Work<R, A> {
    /// Takes arrivals until there are no more.
    fn run_client(&self) {
        let mut client = Client::connect_to(self.to);
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let Some(&due) = self.arrivals.get(number) else { return };
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let request = (self.request)(number);
            let sent = Instant::now();
            let answer = client.try_request(&request);
            (self.on_answer)(number, sent, answer.as_ref());
            let status = answer.map(|answer| answer.status);
            if status.is_none() {
                client = Client::connect_to(self.to);
            }
            self.report.lock().unwrap().record(due, status);
        }
    }
}

impl Load {
    /// Runs it with small queries of the ordinary form.
    pub fn run(&self) -> LoadReport {
        let prefix = self.id_prefix;
        let request =
            move |number: usize| query_request("find", &format!("{prefix}{number}"), &[number % 6], "20.0");
        self.run_with(request, |_, _, _| {})
    }

    /// Runs it with the requests that `request` makes of their numbers. `on_answer` gets the number, when it was sent, and its answer.
    pub fn run_with(
        &self,
        request: impl Fn(usize) -> String + Send + Sync + 'static,
        on_answer: impl Fn(usize, Instant, Option<&Answer>) + Send + Sync + 'static,
    ) -> LoadReport {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS);
        let latencies = latencies.expect("bounds are in order");
        let work = Arc::new(Work {
            to: self.to,
            arrivals: self.draw_arrivals(),
            next: AtomicUsize::new(0),
            request,
            on_answer,
            report: Mutex::new(LoadReport { latencies, served: 0, rejected: 0, failed: 0 }),
        });
        let start_client = |_| {
            let work = work.clone();
            thread::spawn(move || work.run_client())
        };
        let clients: Vec<_> = (0..CLIENT_COUNT).map(start_client).collect();
        clients.into_iter().for_each(|client| client.join().unwrap());
        let work = Arc::into_inner(work).expect("all clients have ended");
        work.report.into_inner().expect("no client has panicked")
    }

    /// Poisson arrivals, drawn ahead: the same whatever becomes of each.
    fn draw_arrivals(&self) -> Vec<Instant> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut offsets = Vec::new();
        let mut offset = 0.0;
        while offset < self.duration_seconds {
            offset += -(1.0 - rng.random::<f64>()).ln() / self.requests_per_second;
            offsets.push(offset);
        }
        let start = Instant::now();
        offsets.into_iter().map(|offset| start + Duration::from_secs_f64(offset)).collect()
    }
}
