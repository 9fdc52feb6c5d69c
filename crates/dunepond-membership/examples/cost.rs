//! Measures the cost of membership and requests for fleets of the given sizes:
//! `cargo run --release -p dunepond-membership --example cost [brokers ...]`.
//!
//! All brokers run in this process, so the processor time of one broker is that of the process divided by the number of
//! brokers.

use dunepond_membership::{BoundSockets, Event, MembershipOptions, Peers, RequestKind, bind, start_on};
use std::time::{Duration, Instant};

const IDLE_TIME: Duration = Duration::from_secs(5);
const REQUEST_COUNT: usize = 5000;
const BODY_BYTES: usize = 1024;

/// Returns the processor time that this process has used, in seconds: the sum of fields 14 and 15 of `/proc/self/stat`,
/// which are in hundredths of a second.
fn processor_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    [11, 12].iter().filter_map(|at| fields.get(*at)?.parse::<f64>().ok()).sum::<f64>() / 100.0
}

fn measure(count: usize) {
    let local = "127.0.0.1:0".parse().expect("an address");
    let bounds: Vec<BoundSockets> = (0..count).map(|_| bind(local).expect("ports")).collect();
    let known: Vec<_> =
        bounds.iter().enumerate().map(|(number, bound)| (format!("n{number}"), bound.local_addr())).collect();
    let started = Instant::now();
    let fleet: Vec<(Peers, _)> = bounds
        .into_iter()
        .zip(&known)
        .map(|(sockets, (name, at))| {
            let mut options = MembershipOptions::new(name, 1, *at, known.clone(), at.port().into());
            // The requests below exceed the default limit on requests per second.
            options.limits.max_requests_per_second = u32::MAX;
            start_on(sockets, options).expect("a start")
        })
        .collect();
    while fleet.iter().any(|(peers, _)| peers.members().len() + 1 < count) {
        std::thread::sleep(Duration::from_millis(1));
    }
    let joined = started.elapsed().as_secs_f64();
    std::thread::sleep(Duration::from_secs(3));
    let sent = || fleet.iter().map(|(peers, _)| peers.counters().datagrams_out).sum::<u64>() as f64;
    let (sent_before, used_before) = (sent(), processor_seconds());
    std::thread::sleep(IDLE_TIME);
    let each = |all: f64| all / IDLE_TIME.as_secs_f64() / count as f64;
    let (datagrams, used) = (each(sent() - sent_before), each(processor_seconds() - used_before) * 1e3);

    let (client, responses) = &fleet[0];
    let (server, requests) = &fleet[1];
    let mut latencies_us: Vec<f64> = Vec::with_capacity(REQUEST_COUNT);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut remaining = REQUEST_COUNT;
            while remaining > 0 {
                if let Ok(Event::Request { body, responder, .. }) = requests.recv() {
                    server.respond(responder, Ok(body));
                    remaining -= 1;
                }
            }
        });
        for _ in 0..REQUEST_COUNT {
            let started = Instant::now();
            client.request("n1", RequestKind::LeaseReply, vec![7; BODY_BYTES], 5.0).expect("room");
            loop {
                match responses.recv().expect("the membership runs") {
                    Event::Response { result, .. } => break drop(result.expect("an echo")),
                    _ => continue,
                }
            }
            latencies_us.push(started.elapsed().as_secs_f64() * 1e6);
        }
    });
    latencies_us.sort_by(f64::total_cmp);
    let quantile = |ratio: f64| latencies_us[(latencies_us.len() as f64 * ratio) as usize];
    println!(
        "| {count} | {joined:.2} s | {datagrams:.1} | {used:.2} ms/s | {:.0} | {:.0} |",
        quantile(0.5),
        quantile(0.99)
    );
    fleet.into_iter().for_each(|(peers, _)| peers.stop());
}

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|count| count.parse().ok()).collect();
    println!(
        "| brokers | all joined | datagrams out, each, a second | processor, each | request p50 µs | request p99 µs |"
    );
    println!("|---|---|---|---|---|---|");
    for count in if counts.is_empty() { vec![3, 5, 15, 30] } else { counts } {
        measure(count.max(2));
    }
}
