//! What links cost: `cargo run --release -p dunepond-membership --example links [brokers ...]`. All brokers are in this one process, so
//! processor time is shared out evenly; figures of one machine.

use dunepond_membership::{Bound, Event, MembershipOptions, Peers, RequestKind, bind, start_on};
use std::time::{Duration, Instant};

const IDLE: Duration = Duration::from_secs(5);
const ASKS: usize = 5000;
const BODY: usize = 1024;

/// Processor time of this process, in seconds: fields 14 and 15 of its `stat`, in hundredths.
fn processor() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    [11, 12].iter().filter_map(|at| fields.get(*at)?.parse::<f64>().ok()).sum::<f64>() / 100.0
}

fn measure(count: usize) {
    let local = "127.0.0.1:0".parse().expect("an address");
    let bounds: Vec<Bound> = (0..count).map(|_| bind(local).expect("ports")).collect();
    let known: Vec<_> =
        bounds.iter().enumerate().map(|(number, bound)| (format!("n{number}"), bound.at())).collect();
    let begun = Instant::now();
    let fleet: Vec<(Peers, _)> = bounds
        .into_iter()
        .zip(&known)
        .map(|(bound, (name, at))| {
            let mut told = MembershipOptions::new(name, 1, *at, known.clone(), at.port().into());
            // One after the other they are more than one peer may send.
            told.limits.max_requests_per_second = u32::MAX;
            start_on(bound, told).expect("a start")
        })
        .collect();
    while fleet.iter().any(|(peers, _)| peers.members().len() + 1 < count) {
        std::thread::sleep(Duration::from_millis(1));
    }
    let joined = begun.elapsed().as_secs_f64();
    std::thread::sleep(Duration::from_secs(3));
    let sent = || fleet.iter().map(|(peers, _)| peers.counters().datagrams_out).sum::<u64>() as f64;
    let (sent_before, used_before) = (sent(), processor());
    std::thread::sleep(IDLE);
    let each = |all: f64| all / IDLE.as_secs_f64() / count as f64;
    let (datagrams, used) = (each(sent() - sent_before), each(processor() - used_before) * 1e3);

    let (asker, answers) = &fleet[0];
    let (asked, asks) = &fleet[1];
    let mut took: Vec<f64> = Vec::with_capacity(ASKS);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut left = ASKS;
            while left > 0 {
                if let Ok(Event::Request { body, responder: token, .. }) = asks.recv() {
                    asked.respond(token, Ok(body));
                    left -= 1;
                }
            }
        });
        for _ in 0..ASKS {
            let begun = Instant::now();
            asker.request("n1", RequestKind::State, vec![7; BODY], 5.0).expect("room");
            loop {
                match answers.recv().expect("the links are there") {
                    Event::Response { result: body, .. } => break drop(body.expect("an echo")),
                    _ => continue,
                }
            }
            took.push(begun.elapsed().as_secs_f64() * 1e6);
        }
    });
    took.sort_by(f64::total_cmp);
    let share = |part: f64| took[(took.len() as f64 * part) as usize];
    println!(
        "| {count} | {joined:.2} s | {datagrams:.1} | {used:.2} ms/s | {:.0} | {:.0} |",
        share(0.5),
        share(0.99)
    );
    fleet.into_iter().for_each(|(peers, _)| peers.stop());
}

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|count| count.parse().ok()).collect();
    println!(
        "| brokers | all know all | datagrams out, each, a second | processor, each | ask p50 µs | ask p99 µs |"
    );
    println!("|---|---|---|---|---|---|");
    for count in if counts.is_empty() { vec![3, 5, 15, 30] } else { counts } {
        measure(count.max(2));
    }
}
