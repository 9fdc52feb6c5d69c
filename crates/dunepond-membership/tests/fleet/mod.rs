//! Helpers that run several brokers in one process, on sockets of 127.0.0.1 that are bound before any broker starts.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use crossbeam_channel::Receiver;
use dunepond_membership::{
    BoundSockets, Event, MembershipOptions, PeerError, Peers, RequestKind, Responder, bind, start_on,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longest time that a test waits for anything; a longer wait fails the test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A running broker, with the channel of its events.
pub struct Broker {
    pub peers: Peers,
    pub events: Receiver<Event>,
}

/// Binds sockets to a free port.
pub fn bind_free_port() -> BoundSockets {
    bind("127.0.0.1:0".parse().unwrap()).unwrap()
}

/// Returns options with short intervals, so that a suspicion times out within a second.
pub fn options(name: &str, incarnation: u64, known_peers: &[(&str, SocketAddr)]) -> MembershipOptions {
    let known_peers = known_peers.iter().map(|(name, address)| (name.to_string(), *address)).collect();
    let mut options =
        MembershipOptions::new(name, incarnation, "127.0.0.1:0".parse().unwrap(), known_peers, 7);
    options.timing.probe_interval_seconds = 0.2;
    options.timing.probe_timeout_seconds = 0.08;
    options.timing.suspicion_timeout_seconds = 0.8;
    options.timing.announce_interval_seconds = 0.1;
    options
}

pub fn start_broker(sockets: BoundSockets, options: MembershipOptions) -> Broker {
    let (peers, events) = start_on(sockets, options).unwrap();
    Broker { peers, events }
}

/// Starts brokers `n1`, `n2`, ..., which are configured as peers of each other, with options adapted by `change`.
pub fn fleet(count: usize, change: impl Fn(&mut MembershipOptions)) -> Vec<Broker> {
    let sockets: Vec<BoundSockets> = (0..count).map(|_| bind_free_port()).collect();
    let names: Vec<String> = (1..=count).map(|number| format!("n{number}")).collect();
    let known_peers: Vec<(&str, SocketAddr)> =
        names.iter().map(String::as_str).zip(sockets.iter().map(BoundSockets::local_addr)).collect();
    let all_options: Vec<MembershipOptions> = names
        .iter()
        .map(|name| {
            let mut options = options(name, 1, &known_peers);
            change(&mut options);
            options
        })
        .collect();
    sockets.into_iter().zip(all_options).map(|(sockets, options)| start_broker(sockets, options)).collect()
}

impl Broker {
    /// Waits for the first event for which `select` returns a value, and returns that value. Requests that arrive
    /// before that event are answered with the request's body.
    pub fn wait_for_event<T>(&self, description: &str, mut select: impl FnMut(&Event) -> Option<T>) -> T {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let event = self
                .events
                .recv_deadline(deadline)
                .unwrap_or_else(|_| panic!("timed out waiting for {description}"));
            if let Some(selected) = select(&event) {
                return selected;
            }
            if let Event::Request { body, responder, .. } = event {
                self.peers.respond(responder, Ok(body));
            }
        }
    }

    /// Waits for the event that the peer `name` is up, and returns its incarnation.
    pub fn wait_for_up(&self, name: &str) -> u64 {
        self.wait_for_event(&format!("{name} to be up"), |event| match event {
            Event::PeerUp(peer) if peer.name == name => Some(peer.incarnation),
            _ => None,
        })
    }

    /// Waits for the event that the peer `name` is down.
    pub fn wait_for_down(&self, name: &str) {
        self.wait_for_event(&format!("{name} to be down"), |event| {
            matches!(event, Event::PeerDown(peer) if peer == name).then_some(())
        });
    }

    /// Waits for the next request of a peer, and drops other events that arrive before the request.
    pub fn next_request(&self) -> (String, RequestKind, Vec<u8>, Responder) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            match self.events.recv_deadline(deadline).expect("a request arrives in time") {
                Event::Request { from, kind, body, responder } => return (from, kind, body, responder),
                _ => continue,
            }
        }
    }

    /// Waits for the outcome of request `id`.
    pub fn wait_for_response(&self, id: u64) -> Result<Vec<u8>, PeerError> {
        self.wait_for_event(&format!("the response to request {id}"), |event| match event {
            Event::Response { id: completed, result, .. } if *completed == id => Some(result.clone()),
            _ => None,
        })
    }

    /// Sends a request, and waits for its outcome.
    pub fn call(&self, to: &str, body: &[u8], timeout_seconds: f64) -> Result<Vec<u8>, PeerError> {
        let id = self.peers.request(to, RequestKind::LeaseReply, body.to_vec(), timeout_seconds).unwrap();
        self.wait_for_response(id)
    }
}

impl Broker {
    /// Waits for the events that the peers in `names` are up.
    pub fn wait_for_all_up(&self, names: &[&str]) {
        let mut missing = names.to_vec();
        while !missing.is_empty() {
            let up = self.wait_for_event("a peer to be up", |event| match event {
                Event::PeerUp(peer) => Some(peer.name.clone()),
                _ => None,
            });
            missing.retain(|name| *name != up);
        }
    }

    /// Waits until `condition` holds, without reading events.
    pub fn wait_until(&self, description: &str, condition: impl Fn(&Peers) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !condition(&self.peers) {
            assert!(
                Instant::now() < deadline,
                "timed out waiting for {description}: {:?}",
                self.peers.counters()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Broker {
    /// Waits for the outcomes of all requests in `ids`, and returns them in the order of their arrival.
    pub fn wait_for_responses(&self, ids: &[u64]) -> Vec<Result<Vec<u8>, PeerError>> {
        let mut outcomes = Vec::new();
        while outcomes.len() < ids.len() {
            outcomes.push(self.wait_for_event("a response", |event| match event {
                Event::Response { id, result, .. } if ids.contains(id) => Some(result.clone()),
                _ => None,
            }));
        }
        outcomes
    }
}
