//! Links that fail: a relay for each ordered pair of processes, TCP and UDP on one port of loopback. What the relay from
//! `a` to `b` carries there is bent by how the link `a` to `b` is, and what comes back on it by how `b` to `a` is, as
//! on a wire. All is changed at run time and drawn from one seed; it ends with the value.

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

/// How a link carries what goes one way. Times in seconds, shares from 0 to 1.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConditions {
    /// Share of messages that are lost. A stream loses nothing, but what is lost comes `RETRANSMIT_DELAY_SECONDS` later, and all behind it.
    pub loss_ratio: f64,
    /// Added to all that passes.
    pub delay_seconds: f64,
    /// Up to so much more, drawn for each message.
    pub jitter_seconds: f64,
    /// Share of datagrams that come `REORDER_DELAY_SECONDS` later, behind others.
    pub reorder_ratio: f64,
    /// Share of datagrams that come twice.
    pub duplicate_ratio: f64,
    /// Bytes a second.
    pub bytes_per_second: Option<f64>,
    /// Datagrams are lost; a stream holds what it has until the link is whole again, and then brings it late.
    pub cut: bool,
    /// Connections are accepted, and what comes on them is thrown away.
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
/// What a system waits at least before it sends a lost segment again.
const RETRANSMIT_DELAY_SECONDS: f64 = 0.2;
const REORDER_DELAY_SECONDS: f64 = 0.05;

/// One way between two processes.
struct Direction {
    conditions: watch::Sender<LinkConditions>,
    /// Raised to break all connections that are open.
    resets: watch::Sender<u64>,
    delivered: AtomicU64,
    recording: recording::Recording,
}

/// What a relay works on: the way there, the way back, and where it leads.
struct Relay {
    forward: Arc<Direction>,
    backward: Arc<Direction>,
    target: SocketAddr,
    seed: u64,
}

impl Relay {
    /// Chance of its own for each thing that passes, whatever the others draw.
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
    /// Whole links between all of these, each by its name and where it listens itself.
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

    /// Where `from` has to send what is for `to`.
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

    /// Both ways between each of `some` and all others.
    pub fn set_around(&self, some: &[&str], conditions: &LinkConditions) {
        for (from, to) in self.directions.keys() {
            if some.contains(&from.as_str()) || some.contains(&to.as_str()) {
                self.set(from, to, conditions);
            }
        }
    }

    /// Cut apart into these groups, whole within each; who is in none is alone.
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

    /// From now on all that goes from the one to the other is kept, on connections of its own that begin now.
    pub fn record(&self, from: &str, to: &str) {
        self.directions[&(from.to_string(), to.to_string())].recording.start();
        self.reset(from, to);
    }

    /// Brings what was kept a second time; how many streams and datagrams.
    pub fn replay(&self, from: &str, to: &str) -> (usize, usize) {
        let direction = &self.directions[&(from.to_string(), to.to_string())];
        let runtime = self.runtime.as_ref().expect("until the end");
        runtime.block_on(direction.recording.replay(self.real[to])).unwrap()
    }

    /// Chunks of streams and datagrams that came out at `to`'s end.
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
        // Without waiting for tasks, each of which ends at its next word to the runtime.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A listener, and a socket for datagrams of the same number.
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
