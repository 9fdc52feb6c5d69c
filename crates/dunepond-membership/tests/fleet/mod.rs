//! Several brokers in one process, on sockets of 127.0.0.1 that are bound before any of them starts.
#![allow(dead_code, reason = "each test uses what it needs")]

use crossbeam_channel::Receiver;
use dunepond_membership::{
    BoundSockets, Event, MembershipOptions, PeerError, Peers, RequestKind, Responder, bind, start_on,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longer than anything here takes; a wait that exceeds it fails its test.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Broker {
    pub peers: Peers,
    pub events: Receiver<Event>,
}

pub fn bound() -> BoundSockets {
    bind("127.0.0.1:0".parse().unwrap()).unwrap()
}

/// Short timing, so that a suspicion takes a second.
pub fn options(name: &str, incarnation: u64, known: &[(&str, SocketAddr)]) -> MembershipOptions {
    let known = known.iter().map(|(name, at)| (name.to_string(), *at)).collect();
    let mut options = MembershipOptions::new(name, incarnation, "127.0.0.1:0".parse().unwrap(), known, 7);
    options.timing.probe_interval_seconds = 0.2;
    options.timing.probe_timeout_seconds = 0.08;
    options.timing.suspicion_timeout_seconds = 0.8;
    options.timing.announce_interval_seconds = 0.1;
    options
}

pub fn run(bound: BoundSockets, options: MembershipOptions) -> Broker {
    let (peers, events) = start_on(bound, options).unwrap();
    Broker { peers, events }
}

/// Brokers `n1`, `n2`, ... that know each other, with options adapted by `change`.
pub fn fleet(count: usize, change: impl Fn(&mut MembershipOptions)) -> Vec<Broker> {
    let bounds: Vec<BoundSockets> = (0..count).map(|_| bound()).collect();
    let names: Vec<String> = (1..=count).map(|number| format!("n{number}")).collect();
    let known: Vec<(&str, SocketAddr)> =
        names.iter().map(String::as_str).zip(bounds.iter().map(BoundSockets::local_addr)).collect();
    let all: Vec<MembershipOptions> = names
        .iter()
        .map(|name| {
            let mut options = options(name, 1, &known);
            change(&mut options);
            options
        })
        .collect();
    bounds.into_iter().zip(all).map(|(bound, options)| run(bound, options)).collect()
}

impl Broker {
    /// The first event for which `wanted` returns something; requests meanwhile are echoed.
    pub fn until<T>(&self, what: &str, mut wanted: impl FnMut(&Event) -> Option<T>) -> T {
        let end = Instant::now() + PATIENCE;
        loop {
            let event = self.events.recv_deadline(end).unwrap_or_else(|_| panic!("{what} did not come"));
            if let Some(found) = wanted(&event) {
                return found;
            }
            if let Event::Request { body, responder, .. } = event {
                self.peers.respond(responder, Ok(body));
            }
        }
    }

    pub fn up(&self, name: &str) -> u64 {
        self.until(name, |event| match event {
            Event::PeerUp(peer) if peer.name == name => Some(peer.incarnation),
            _ => None,
        })
    }

    pub fn down(&self, name: &str) {
        self.until(&format!("the end of {name}"), |event| {
            matches!(event, Event::PeerDown(who) if who == name).then_some(())
        });
    }

    pub fn next_request(&self) -> (String, RequestKind, Vec<u8>, Responder) {
        let end = Instant::now() + PATIENCE;
        loop {
            match self.events.recv_deadline(end).expect("a request") {
                Event::Request { from, kind, body, responder } => return (from, kind, body, responder),
                _ => continue,
            }
        }
    }

    /// The end of request `id`.
    pub fn response(&self, id: u64) -> Result<Vec<u8>, PeerError> {
        self.until(&format!("the response to {id}"), |event| match event {
            Event::Response { id: ended, result, .. } if *ended == id => Some(result.clone()),
            _ => None,
        })
    }

    pub fn call(&self, to: &str, body: &[u8], timeout_seconds: f64) -> Result<Vec<u8>, PeerError> {
        let id = self.peers.request(to, RequestKind::State, body.to_vec(), timeout_seconds).unwrap();
        self.response(id)
    }
}

impl Broker {
    pub fn all_up(&self, names: &[&str]) {
        let mut missing = names.to_vec();
        while !missing.is_empty() {
            let came = self.until("a peer", |event| match event {
                Event::PeerUp(peer) => Some(peer.name.clone()),
                _ => None,
            });
            missing.retain(|name| *name != came);
        }
    }

    /// Waits until `condition` holds.
    pub fn wait(&self, what: &str, condition: impl Fn(&Peers) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !condition(&self.peers) {
            assert!(Instant::now() < end, "{what} did not come: {:?}", self.peers.counters());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Broker {
    /// The ends of all of `ids`, in any order.
    pub fn responses(&self, ids: &[u64]) -> Vec<Result<Vec<u8>, PeerError>> {
        let mut ends = Vec::new();
        while ends.len() < ids.len() {
            ends.push(self.until("a response", |event| match event {
                Event::Response { id, result, .. } if ids.contains(id) => Some(result.clone()),
                _ => None,
            }));
        }
        ends
    }
}
