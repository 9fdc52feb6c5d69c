//! Fault injection on network links between processes. Each ordered pair of processes has a relay, which listens for
//! TCP and UDP on one loopback port. On a connection from `a` to `b`, requests are subject to the conditions of the
//! link from `a` to `b`, and answers to those of the link from `b` to `a`. Conditions can be changed at run time. All
//! random decisions derive from one seed.

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

/// Faults and limits of a link in one direction. Ratios are between 0 and 1.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkConditions {
    /// Ratio of datagrams that are lost. On a TCP stream, the ratio of chunks that are delayed by
    /// `RETRANSMIT_DELAY_SECONDS`, together with all data after them, as by a retransmission.
    pub loss_ratio: f64,
    /// Delay of all messages, in seconds.
    pub delay_seconds: f64,
    /// Largest additional delay, in seconds. The additional delay is drawn uniformly for each message.
    pub jitter_seconds: f64,
    /// Ratio of datagrams that are delayed by a further `REORDER_DELAY_SECONDS`, so that later ones overtake them.
    pub reorder_ratio: f64,
    /// Ratio of datagrams that are delivered twice.
    pub duplicate_ratio: f64,
    /// Limit of the throughput, in bytes per second; `None` if there is no limit.
    pub bytes_per_second: Option<f64>,
    /// Whether the link is partitioned: datagrams are lost, and streams stall until the partition ends.
    pub partitioned: bool,
    /// Whether all data is discarded, although the relay accepts connections. Meanwhile, it opens no new ones to the
    /// target.
    pub half_open: bool,
}

/// Conditions without faults.
pub const HEALTHY: LinkConditions = LinkConditions {
    loss_ratio: 0.0,
    delay_seconds: 0.0,
    jitter_seconds: 0.0,
    reorder_ratio: 0.0,
    duplicate_ratio: 0.0,
    bytes_per_second: None,
    partitioned: false,
    half_open: false,
};
/// Conditions of a partitioned link, which delivers nothing.
pub const PARTITIONED: LinkConditions = LinkConditions { partitioned: true, ..HEALTHY };
/// Delay of a retransmission: the shortest one that operating systems use.
const RETRANSMIT_DELAY_SECONDS: f64 = 0.2;
/// Additional delay of a reordered datagram.
const REORDER_DELAY_SECONDS: f64 = 0.05;

/// State of the link from one process to another.
struct Direction {
    conditions: watch::Sender<LinkConditions>,
    /// Number of resets so far; each change breaks all open connections.
    resets: watch::Sender<u64>,
    /// Number of delivered chunks and datagrams.
    delivered_count: AtomicU64,
    recording: recording::Recording,
}

/// State of the relay from one process to another, with the links of both directions.
struct Relay {
    forward: Arc<Direction>,
    backward: Arc<Direction>,
    /// Address of the process that the relay leads to.
    target: SocketAddr,
    seed: u64,
}

impl Relay {
    /// Returns the random number generator of one stream. Each connection and direction has its own, so that its draws
    /// do not depend on the others.
    fn rng(&self, stream_number: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed ^ stream_number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }
}

/// Relays between all pairs of processes. They stop when the value is dropped.
pub struct Links {
    process_names: Vec<String>,
    directions: BTreeMap<(String, String), Arc<Direction>>,
    /// Address of the relay for each pair of names: the connecting process and the target.
    relay_addresses: BTreeMap<(String, String), SocketAddr>,
    /// Address of each process itself, by name.
    process_addresses: BTreeMap<String, SocketAddr>,
    runtime: Option<Runtime>,
}

impl Links {
    /// Starts relays between all of these processes, given by name and address. All links are healthy at first.
    ///
    /// # Errors
    /// Returns an error if the runtime cannot be started or no port can be bound.
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
                delivered_count: AtomicU64::new(0),
                recording: Default::default(),
            })
        };
        let key = |a: &str, b: &str| (a.to_string(), b.to_string());
        let directions: BTreeMap<_, _> =
            pairs.iter().map(|(a, b)| (key(&a.0, &b.0), direction(()))).collect();
        let mut relay_addresses = BTreeMap::new();
        for (i, (a, b)) in pairs.iter().enumerate() {
            let forward = directions[&key(&a.0, &b.0)].clone();
            let backward = directions[&key(&b.0, &a.0)].clone();
            let relay = Arc::new(Relay { forward, backward, target: b.1, seed: seed ^ ((i as u64) << 32) });
            let (listener, socket) = runtime.block_on(bind_tcp_and_udp())?;
            relay_addresses.insert(key(&a.0, &b.0), listener.local_addr()?);
            runtime.spawn(tcp::run(relay.clone(), listener));
            runtime.spawn(udp::run(relay, socket));
        }
        let process_names = peers.iter().map(|peer| peer.0.clone()).collect();
        Ok(Self {
            process_names,
            directions,
            relay_addresses,
            process_addresses: peers.iter().cloned().collect(),
            runtime: Some(runtime),
        })
    }

    /// Returns the address to which `from` must connect or send in order to reach `to` through the relay.
    pub fn relay_address(&self, from: &str, to: &str) -> SocketAddr {
        self.relay_addresses[&(from.to_string(), to.to_string())]
    }

    /// Sets the conditions of the link from `from` to `to`.
    pub fn set_conditions(&self, from: &str, to: &str, conditions: &LinkConditions) {
        self.directions[&(from.to_string(), to.to_string())].conditions.send_replace(conditions.clone());
    }

    /// Sets the conditions of all links.
    pub fn set_all_conditions(&self, conditions: &LinkConditions) {
        for direction in self.directions.values() {
            direction.conditions.send_replace(conditions.clone());
        }
    }

    /// Sets the conditions of all links to or from one of these processes.
    pub fn set_conditions_around(&self, names: &[&str], conditions: &LinkConditions) {
        for (from, to) in self.directions.keys() {
            if names.contains(&from.as_str()) || names.contains(&to.as_str()) {
                self.set_conditions(from, to, conditions);
            }
        }
    }

    /// Partitions the processes into groups: links within a group are healthy, all others are partitioned. A process in no
    /// group is isolated.
    pub fn partition(&self, groups: &[&[&str]]) {
        let group_of = |name: &str| groups.iter().position(|group| group.contains(&name));
        for (from, to) in self.directions.keys() {
            let same_group = group_of(from).is_some() && group_of(from) == group_of(to);
            self.set_conditions(from, to, if same_group { &HEALTHY } else { &PARTITIONED });
        }
    }

    /// Resets all connections between the two processes.
    pub fn reset_connections(&self, a: &str, b: &str) {
        for (from, to) in [(a, b), (b, a)] {
            self.directions[&(from.to_string(), to.to_string())].resets.send_modify(|count| *count += 1);
        }
    }

    /// Starts to record the data from `from` to `to`. Resets their connections, so that streams are recorded from their
    /// beginning.
    pub fn start_recording(&self, from: &str, to: &str) {
        self.directions[&(from.to_string(), to.to_string())].recording.start();
        self.reset_connections(from, to);
    }

    /// Stops the recording and delivers the recorded data to `to` again. Returns the numbers of streams and datagrams.
    ///
    /// # Panics
    /// Panics if the data cannot be sent.
    pub fn replay(&self, from: &str, to: &str) -> (usize, usize) {
        let direction = &self.directions[&(from.to_string(), to.to_string())];
        let runtime = self.runtime.as_ref().expect("the runtime exists until the links are dropped");
        runtime.block_on(direction.recording.replay(self.process_addresses[to])).unwrap()
    }

    /// Returns the number of stream chunks and datagrams that were delivered from `from` to `to`.
    pub fn delivered_count(&self, from: &str, to: &str) -> u64 {
        self.directions[&(from.to_string(), to.to_string())].delivered_count.load(Ordering::Relaxed)
    }

    /// Returns the number of stream chunks and datagrams that were delivered on all links.
    pub fn total_delivered_count(&self) -> u64 {
        self.directions.values().map(|direction| direction.delivered_count.load(Ordering::Relaxed)).sum()
    }

    /// Returns the names of the processes.
    pub fn process_names(&self) -> &[String] {
        &self.process_names
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        // Does not wait for the tasks, which end at their next await point.
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Binds a TCP listener and a UDP socket to the same port.
async fn bind_tcp_and_udp() -> std::io::Result<(TcpListener, UdpSocket)> {
    let mut last_error = None;
    for _ in 0..64 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.expect("at least one attempt failed"))
}
