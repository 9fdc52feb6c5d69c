//! Several brokers' links in one process, on sockets of 127.0.0.1 that are bound before anybody is told of them.
#![allow(dead_code, reason = "each story uses what it needs")]

use crossbeam_channel::Receiver;
use dunepond_membership::{
    Bound, Event, MembershipOptions, PeerError, Peers, RequestKind, Responder, bind, start_on,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Longer than anything here takes; a wait that ends otherwise fails its story.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub struct Broker {
    pub peers: Peers,
    pub events: Receiver<Event>,
}

pub fn bound() -> Bound {
    bind("127.0.0.1:0".parse().unwrap()).unwrap()
}

/// What a broker is told in these stories: quick, so that a suspicion takes a second.
pub fn told(name: &str, incarnation: u64, known: &[(&str, SocketAddr)]) -> MembershipOptions {
    let known = known.iter().map(|(name, at)| (name.to_string(), *at)).collect();
    let mut told = MembershipOptions::new(name, incarnation, "127.0.0.1:0".parse().unwrap(), known, 7);
    told.timing.probe_interval_seconds = 0.2;
    told.timing.probe_timeout_seconds = 0.08;
    told.timing.suspicion_timeout_seconds = 0.8;
    told.timing.announce_interval_seconds = 0.1;
    told
}

pub fn run(bound: Bound, told: MembershipOptions) -> Broker {
    let (peers, events) = start_on(bound, told).unwrap();
    Broker { peers, events }
}

/// Brokers `n1`, `n2`, ... that know each other, each told a little otherwise by `change`.
pub fn fleet(count: usize, change: impl Fn(&mut MembershipOptions)) -> Vec<Broker> {
    let bounds: Vec<Bound> = (0..count).map(|_| bound()).collect();
    let names: Vec<String> = (1..=count).map(|number| format!("n{number}")).collect();
    let known: Vec<(&str, SocketAddr)> =
        names.iter().map(String::as_str).zip(bounds.iter().map(Bound::at)).collect();
    let all: Vec<MembershipOptions> = names
        .iter()
        .map(|name| {
            let mut told = told(name, 1, &known);
            change(&mut told);
            told
        })
        .collect();
    bounds.into_iter().zip(all).map(|(bound, told)| run(bound, told)).collect()
}

impl Broker {
    /// The first event for which `wanted` has something; asks meanwhile are echoed.
    pub fn until<T>(&self, what: &str, mut wanted: impl FnMut(&Event) -> Option<T>) -> T {
        let end = Instant::now() + PATIENCE;
        loop {
            let event = self.events.recv_deadline(end).unwrap_or_else(|_| panic!("{what} did not come"));
            if let Some(found) = wanted(&event) {
                return found;
            }
            if let Event::Request { body, responder: token, .. } = event {
                self.peers.respond(token, Ok(body));
            }
        }
    }

    pub fn came(&self, name: &str) -> u64 {
        self.until(name, |event| match event {
            Event::PeerUp(peer) if peer.name == name => Some(peer.incarnation),
            _ => None,
        })
    }

    pub fn left(&self, name: &str) {
        self.until(&format!("the end of {name}"), |event| {
            matches!(event, Event::PeerDown(who) if who == name).then_some(())
        });
    }

    pub fn asked(&self) -> (String, RequestKind, Vec<u8>, Responder) {
        let end = Instant::now() + PATIENCE;
        loop {
            match self.events.recv_deadline(end).expect("an ask") {
                Event::Request { from, kind, body, responder: token } => return (from, kind, body, token),
                _ => continue,
            }
        }
    }

    /// The end of ask `id`.
    pub fn end(&self, id: u64) -> Result<Vec<u8>, PeerError> {
        self.until(&format!("the answer to {id}"), |event| match event {
            Event::Response { id: ended, result: body, .. } if *ended == id => Some(body.clone()),
            _ => None,
        })
    }

    pub fn ask(&self, to: &str, body: &[u8], within: f64) -> Result<Vec<u8>, PeerError> {
        let id = self.peers.request(to, RequestKind::State, body.to_vec(), within).unwrap();
        self.end(id)
    }
}

impl Broker {
    pub fn all_came(&self, names: &[&str]) {
        let mut missing = names.to_vec();
        while !missing.is_empty() {
            let came = self.until("a peer", |event| match event {
                Event::PeerUp(peer) => Some(peer.name.clone()),
                _ => None,
            });
            missing.retain(|name| *name != came);
        }
    }

    /// Waits until `there` is so.
    pub fn wait(&self, what: &str, there: impl Fn(&Peers) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !there(&self.peers) {
            assert!(Instant::now() < end, "{what} did not come: {:?}", self.peers.counters());
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Broker {
    /// The ends of all of `ids`, in whatever order they come.
    pub fn ends(&self, ids: &[u64]) -> Vec<Result<Vec<u8>, PeerError>> {
        let mut ends = Vec::new();
        while ends.len() < ids.len() {
            ends.push(self.until("an answer", |event| match event {
                Event::Response { id, result: body, .. } if ids.contains(id) => Some(body.clone()),
                _ => None,
            }));
        }
        ends
    }
}
