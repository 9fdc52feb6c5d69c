//! Load generator with an open workload: arrival times are fixed beforehand, and latencies count from there. If a slow
//! request delayed the following ones, the measured latencies would be too low.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::report::Curve;
use crate::stand_ins::{Client, Response, query_request};

/// Number of clients that send the requests. A client has one request in flight at a time, so that this must exceed the
/// largest number of requests in flight.
const CLIENT_COUNT: usize = 48;
/// Longest latency that can be recorded, in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Number of significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// A workload of queries with Poisson arrivals at a fixed mean rate.
pub struct Workload {
    /// Address at which the broker takes the requests.
    pub broker_address: SocketAddr,
    /// Mean arrival rate, in requests per second.
    pub requests_per_second: f64,
    /// Time over which requests arrive, in seconds.
    pub duration_seconds: f64,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Prefix of the request ids, which the number of the request follows.
    pub id_prefix: &'static str,
}

/// Results of a workload.
pub struct LoadReport {
    /// Latencies of all requests in microseconds, from the time at which the request was due to its end.
    pub latencies_micros: Histogram<u64>,
    /// Number of requests answered with status 200.
    pub served_count: u64,
    /// Number of requests answered with status 429 or 503.
    pub rejected_count: u64,
    /// Number of requests answered with another status, or not at all.
    pub failed_count: u64,
}

impl LoadReport {
    /// Returns a quantile of the latencies, in seconds. `quantile` is between 0 and 1.
    pub fn latency_seconds(&self, quantile: f64) -> f64 {
        self.latencies_micros.value_at_quantile(quantile) as f64 / 1e6
    }

    /// Returns a curve of the latency percentiles: percentage of the requests on the x axis, latency in milliseconds on
    /// the y axis.
    pub fn latency_curve(&self, name: &str) -> Curve {
        let point = |percent: i32| {
            let percent = f64::from(percent);
            (percent, 1e3 * self.latency_seconds(percent / 100.0))
        };
        Curve { name: name.to_string(), points: (0..=100).map(point).collect() }
    }

    /// Records the end of a request; `status` is `None` if there was no answer.
    fn record(&mut self, due: Instant, status: Option<u16>) {
        let _ = self.latencies_micros.record(due.elapsed().as_micros() as u64);
        match status {
            Some(200) => self.served_count += 1,
            Some(429 | 503) => self.rejected_count += 1,
            _ => self.failed_count += 1,
        }
    }
}

/// State that the clients of a workload share.
struct SharedWorkload<R, A> {
    broker_address: SocketAddr,
    /// When each request is due, by its number.
    arrivals: Vec<Instant>,
    /// Number of the next request that a client sends.
    next_number: AtomicUsize,
    build_request: R,
    on_answer: A,
    report: Mutex<LoadReport>,
}

impl<R: Fn(usize) -> String, A: Fn(usize, Instant, Option<&Response>)> SharedWorkload<R, A> {
    /// Sends requests, each when it is due, until none is left. Connects again after a request without an answer.
    fn run_client(&self) {
        let mut client = Client::connect_to(self.broker_address);
        loop {
            let number = self.next_number.fetch_add(1, Ordering::Relaxed);
            let Some(&due) = self.arrivals.get(number) else { return };
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let request = (self.build_request)(number);
            let sent_at = Instant::now();
            let answer = client.try_request(&request);
            (self.on_answer)(number, sent_at, answer.as_ref());
            let status = answer.map(|answer| answer.status);
            if status.is_none() {
                client = Client::connect_to(self.broker_address);
            }
            self.report.lock().unwrap().record(due, status);
        }
    }
}

impl Workload {
    /// Runs the workload with small queries and returns its results.
    pub fn run(&self) -> LoadReport {
        let prefix = self.id_prefix;
        let build_request =
            move |number: usize| query_request("find", &format!("{prefix}{number}"), &[number % 6], "20.0");
        self.run_with(build_request, |_, _, _| {})
    }

    /// Runs the workload with custom requests and returns its results. `build_request` gets the number of the request.
    /// `on_answer` gets the number, the time at which the request was sent, and the answer, if there was one.
    pub fn run_with(
        &self,
        build_request: impl Fn(usize) -> String + Send + Sync + 'static,
        on_answer: impl Fn(usize, Instant, Option<&Response>) + Send + Sync + 'static,
    ) -> LoadReport {
        let latencies_micros = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, LATENCY_DIGITS);
        let latencies_micros = latencies_micros.expect("the bounds of the histogram are valid");
        let workload = Arc::new(SharedWorkload {
            broker_address: self.broker_address,
            arrivals: self.draw_arrivals(),
            next_number: AtomicUsize::new(0),
            build_request,
            on_answer,
            report: Mutex::new(LoadReport {
                latencies_micros,
                served_count: 0,
                rejected_count: 0,
                failed_count: 0,
            }),
        });
        let start_client = |_| {
            let workload = workload.clone();
            thread::spawn(move || workload.run_client())
        };
        let clients: Vec<_> = (0..CLIENT_COUNT).map(start_client).collect();
        clients.into_iter().for_each(|client| client.join().unwrap());
        let workload = Arc::into_inner(workload).expect("all clients have ended");
        workload.report.into_inner().expect("no client has panicked")
    }

    /// Draws the times of Poisson arrivals. They are drawn beforehand, so that they do not depend on the answers.
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
