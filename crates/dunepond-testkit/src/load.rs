//! Load with open arrivals: what is slow does not make the next one wait, as it would hide how slow it is.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::stand_ins::{Answer, Client, query_request};

/// Small scans of the ordinary form, so many a second, for so long.
pub struct Load {
    pub to: SocketAddr,
    pub requests_per_second: f64,
    pub duration_seconds: f64,
    pub seed: u64,
    pub id_prefix: &'static str,
}

/// How they went: times in microseconds from when each was due, and how each ended.
pub struct LoadReport {
    pub latencies: Histogram<u64>,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
}

impl LoadReport {
    pub fn latency_seconds(&self, quantile: f64) -> f64 {
        self.latencies.value_at_quantile(quantile) as f64 / 1e6
    }
}

/// Clients that share the arrivals; each has one request out at a time, and more of them than ever are out.
const CLIENT_COUNT: usize = 48;

impl Load {
    pub fn run(&self) -> LoadReport {
        let prefix = self.id_prefix;
        let request =
            move |number: usize| query_request("find", &format!("{prefix}{number}"), &[number % 6], "20.0");
        self.run_with(request, |_, _, _| {})
    }

    /// The same with requests of one's own, each by its number, and a look at each answer: when it was asked for, and
    /// what it was.
    pub fn run_with(
        &self,
        request: impl Fn(usize) -> String + Send + Sync + 'static,
        on_answer: impl Fn(usize, Instant, Option<&Answer>) + Send + Sync + 'static,
    ) -> LoadReport {
        let (request, on_answer) = (Arc::new(request), Arc::new(on_answer));
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed);
        let mut due = Vec::new();
        let mut at = 0.0;
        while at < self.duration_seconds {
            // Poisson arrivals, drawn ahead: the same whatever becomes of each.
            at += -(1.0 - rng.random::<f64>()).ln() / self.requests_per_second;
            due.push(at);
        }
        let (due, next_request) = (Arc::new(due), Arc::new(AtomicU64::new(0)));
        let (start, to) = (Instant::now(), self.to);
        let latencies = Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds are in order");
        let report = Arc::new(Mutex::new(LoadReport { latencies, served: 0, rejected: 0, failed: 0 }));
        let workers = (0..CLIENT_COUNT).map(|_| {
            let (due, next_request, report) = (due.clone(), next_request.clone(), report.clone());
            let (request, on_answer) = (request.clone(), on_answer.clone());
            thread::spawn(move || {
                let mut client = Client::connect_to(to);
                loop {
                    let number = next_request.fetch_add(1, Ordering::Relaxed) as usize;
                    let Some(at) = due.get(number).map(|at| start + Duration::from_secs_f64(*at)) else {
                        return;
                    };
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    let (request, sent) = (request(number), Instant::now());
                    let answer = client.try_request(&request);
                    on_answer(number, sent, answer.as_ref());
                    let status = answer.map(|answer| answer.status);
                    if status.is_none() {
                        client = Client::connect_to(to);
                    }
                    let mut report = report.lock().unwrap();
                    let _ = report.latencies.record(at.elapsed().as_micros() as u64);
                    match status {
                        Some(200) => report.served += 1,
                        Some(429 | 503) => report.rejected += 1,
                        _ => report.failed += 1,
                    }
                }
            })
        });
        workers.collect::<Vec<_>>().into_iter().for_each(|worker| worker.join().unwrap());
        Arc::into_inner(report).and_then(|report| report.into_inner().ok()).expect("all workers have ended")
    }
}
