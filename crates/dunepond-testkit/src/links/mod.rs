//! Faulty links: a relay for each ordered pair of processes, TCP and UDP on one port of loopback. Connections from `a` to `b`
//! suffer the conditions of the link from `a` to `b` on the way there, and those of the link from `b` to `a` on the way back.
//! Conditions are changed at run time, and chance is drawn from one seed.

mod recording;
mod tcp;
mod udp;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

/// The conditions of a link in one direction. Ratios are from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConditions {
    /// Share of messages that are lost. A stream loses nothing: what is lost, and all behind it, is `RETRANSMIT_DELAY_SECONDS` late.
    pub loss_ratio: f64,
    /// Added to all that passes.
    pub delay_seconds: f64,
    /// The most that is added to that, drawn for each message.
    pub jitter_seconds: f64,
    /// Share of datagrams that come `REORDER_DELAY_SECONDS` later, behind others.
    pub reorder_ratio: f64,
    /// Share of datagrams that come twice.
    pub duplicate_ratio: f64,
    /// The rate limit, if there is one.
    pub bytes_per_second: Option<f64>,
    /// Datagrams are lost; a stream is held up until the link is healthy again.
    pub cut: bool,
    /// Connections are accepted, and what comes on them is discarded.
    pub half_open: bool,
}

/// Nothing is lost or late.
pub const HEALTHY: LinkConditions = LinkConditions {
    loss_ratio: 0.0,
    delay_seconds: 0.0,
    jitter_seconds: 0.0,
    reorder_ratio: 0.0,
    duplicate_ratio: 0.0,
    bytes_per_second: None,
    cut: false,
    half_open: false,
};
/// Nothing passes.
pub const CUT: LinkConditions = LinkConditions { cut: true, ..HEALTHY };
/// What an operating system waits at least before it retransmits.
const RETRANSMIT_DELAY_SECONDS: f64 = 0.2;
const REORDER_DELAY_SECONDS: f64 = 0.05;

/// One direction between two processes.
struct Direction {
    conditions: watch::Sender<LinkConditions>,
    /// Raised to break all connections that are open.
    resets: watch::Sender<u64>,
    delivered: AtomicU64,
    recording: recording::Recording,
}

/// What a relay works on: both directions, and where it leads.
struct Relay {
    forward: Arc<Direction>,
    backward: Arc<Direction>,
    target: SocketAddr,
    seed: u64,
}

impl Relay {
    /// A generator of its own for each connection and direction, whatever the others draw.
    fn rng(&self, number: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// Relays between all pairs of processes; they end when this is dropped.
pub struct Links {
    names: Vec<String>,
    directions: BTreeMap<(String, String), Arc<Direction>>,
    at: BTreeMap<(String, String), SocketAddr>,
    real: BTreeMap<String, SocketAddr>,
    runtime: Option<Runtime>,
}

impl Links {
    /// Healthy links between all of these, each by its name and its own address.
    ///
    /// # Errors
    /// Where the system gives no ports.
    pub fn between(peers: &[(String, SocketAddr)], seed: u64) -> std::io::Result<Self> {
        let runtime =
            Builder::new_multi_thread().worker_threads(2).thread_name("links").enable_all().build()?;
        let pairs: Vec<_> = peers.iter().flat_map(|a| peers.iter().map(move |b| (a, b))).collect();
        let pairs: Vec<_> = pairs.into_iter().filter(|(a, b)| a.0 != b.0).collect();
        let direction = |_| {
            let (conditions, resets) = (watch::Sender::new(HEALTHY), watch::Sender::new(0));
            Arc::new(Direction {
                conditions,
                resets,
                delivered: AtomicU64::new(0),
                recording: Default::default(),
            })
        };
        let key = |a: &str, b: &str| (a.to_string(), b.to_string());
        let directions: BTreeMap<_, _> =
            pairs.iter().map(|(a, b)| (key(&a.0, &b.0), direction(()))).collect();
        let mut at = BTreeMap::new();
        for (i, (a, b)) in pairs.iter().enumerate() {
            let (there, back) = (directions[&key(&a.0, &b.0)].clone(), directions[&key(&b.0, &a.0)].clone());
            let relay = Arc::new(Relay {
                forward: there,
                backward: back,
                target: b.1,
                seed: seed ^ ((i as u64) << 32),
            });
            let (listener, socket) = runtime.block_on(pair_of_sockets())?;
            at.insert(key(&a.0, &b.0), listener.local_addr()?);
            runtime.spawn(tcp::run(relay.clone(), listener));
            runtime.spawn(udp::run(relay, socket));
        }
        let names = peers.iter().map(|peer| peer.0.clone()).collect();
        Ok(Self { names, directions, at, real: peers.iter().cloned().collect(), runtime: Some(runtime) })
    }

    /// Where `from` has to connect to reach `to`.
    pub fn relay_address(&self, from: &str, to: &str) -> SocketAddr {
        self.at[&(from.to_string(), to.to_string())]
    }

    /// Sets how the link from one to the other carries from now on.
    pub fn set(&self, from: &str, to: &str, conditions: &LinkConditions) {
        self.directions[&(from.to_string(), to.to_string())].conditions.send_replace(conditions.clone());
    }

    /// Sets how all links carry from now on.
    pub fn set_all(&self, conditions: &LinkConditions) {
        for direction in self.directions.values() {
            direction.conditions.send_replace(conditions.clone());
        }
    }

    /// Sets both directions between each of `some` and all others.
    pub fn set_around(&self, some: &[&str], conditions: &LinkConditions) {
        for (from, to) in self.directions.keys() {
            if some.contains(&from.as_str()) || some.contains(&to.as_str()) {
                self.set(from, to, conditions);
            }
        }
    }

    /// Partitions the processes into groups; one that is in none is alone.
    pub fn partition(&self, groups: &[&[&str]]) {
        let of = |name: &str| groups.iter().position(|group| group.contains(&name));
        for (from, to) in self.directions.keys() {
            let together = of(from).is_some() && of(from) == of(to);
            self.set(from, to, if together { &HEALTHY } else { &CUT });
        }
    }

    /// Breaks all connections between the two.
    pub fn reset(&self, a: &str, b: &str) {
        for (from, to) in [(a, b), (b, a)] {
            self.directions[&(from.to_string(), to.to_string())].resets.send_modify(|count| *count += 1);
        }
    }

    /// Records from now on what goes from the one to the other, on new connections.
    pub fn record(&self, from: &str, to: &str) {
        self.directions[&(from.to_string(), to.to_string())].recording.start();
        self.reset(from, to);
    }

    /// Delivers what was recorded a second time; how many streams and datagrams.
    pub fn replay(&self, from: &str, to: &str) -> (usize, usize) {
        let direction = &self.directions[&(from.to_string(), to.to_string())];
        let runtime = self.runtime.as_ref().expect("until the end");
        runtime.block_on(direction.recording.replay(self.real[to])).unwrap()
    }

    /// Chunks of streams and datagrams that were delivered to `to`.
    pub fn delivered(&self, from: &str, to: &str) -> u64 {
        self.directions[&(from.to_string(), to.to_string())].delivered.load(Ordering::Relaxed)
    }

    /// Chunks and datagrams that all links have delivered.
    pub fn total_delivered(&self) -> u64 {
        self.directions.values().map(|direction| direction.delivered.load(Ordering::Relaxed)).sum()
    }

    /// The names of the processes.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        // Without waiting for tasks, which end at their next await.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A listener, and a datagram socket on the same port.
async fn pair_of_sockets() -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut last = None;
    for _ in 0..64 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(e) => last = Some(e),
        }
    }
    Err(last.expect("tried"))
}
