//! A simulated network of membership cores. The test controls its clock, losses and stalls.

use dunepond_membership::{
    Actions, Authenticator, Core, Envelope, Event, LivenessCheck, MembershipOptions, Message, MessageHeader,
    MessageType, PeerId, PeerState, RequestKind, VersionRange, encode,
};
use std::collections::VecDeque;
use std::net::SocketAddr;

pub const KEY: &str = "a key of these tests";

/// Returns the listen address of broker `number`.
pub fn address(number: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 7000 + number).parse().unwrap()
}

/// Returns the name of broker `number`.
pub fn name(number: usize) -> String {
    format!("n{number}")
}

/// Returns the options of broker `number` of `count` brokers, with or without a key.
pub fn options(number: usize, incarnation: u64, count: usize, key: bool) -> MembershipOptions {
    let known_peers = (0..count).map(|other| (name(other), address(other))).collect();
    let mut options =
        MembershipOptions::new(&name(number), incarnation, address(number), known_peers, number as u64);
    options.key = key.then(|| KEY.into());
    options
}

/// Membership cores on a simulated network.
pub struct SimulatedNetwork {
    /// Simulated time, in seconds.
    pub now: f64,
    pub cores: Vec<Core>,
    /// Whether each broker is stalled, so that it neither receives nor sends.
    pub stalled: Vec<bool>,
    /// Datagrams in flight: time of arrival, sender, receiver, bytes.
    pub in_flight: VecDeque<(f64, usize, usize, Vec<u8>)>,
    /// Datagrams that have arrived at each broker and wait to be read: sender, bytes.
    pub inboxes: Vec<Vec<(usize, Vec<u8>)>>,
    /// Membership changes that each broker reported, as text.
    pub changes: Vec<Vec<String>>,
    /// Whether losses are caused by a flood, which affects datagrams but not connections.
    pub datagram_flood: bool,
    /// All datagrams that were sent, including lost ones: sender, receiver, bytes.
    pub sent: Vec<(usize, usize, Vec<u8>)>,
    /// Number of liveness checks that reached their receiver, which is also the sequence number of the last of them.
    pub check_count: u64,
}

impl SimulatedNetwork {
    pub fn new(count: usize, key: bool) -> SimulatedNetwork {
        let cores = (0..count)
            .map(|number| Core::new(&options(number, 1, count, key), [number as u8; 32], 0.0).unwrap());
        SimulatedNetwork {
            now: 0.0,
            cores: cores.collect(),
            stalled: vec![false; count],
            in_flight: VecDeque::new(),
            inboxes: vec![Vec::new(); count],
            changes: vec![Vec::new(); count],
            datagram_flood: false,
            sent: Vec::new(),
            check_count: 0,
        }
    }

    /// Records the actions of broker `from`, and sends its datagrams except those for whose sender and receiver `lost`
    /// returns true.
    pub fn deliver(&mut self, from: usize, actions: Actions, lost: &impl Fn(usize, usize) -> bool) {
        for (to, bytes) in actions.datagrams {
            let to = usize::from(to.port()) - 7000;
            self.sent.push((from, to, bytes.clone()));
            if to < self.cores.len() && !lost(from, to) {
                self.in_flight.push_back((self.now + 0.01, from, to, bytes));
            }
        }
        self.changes[from].extend(actions.changes.iter().map(|change| match change {
            Event::PeerUp(peer) => format!("up {} {}", peer.name, peer.incarnation),
            Event::PeerSuspected(name) => format!("suspect {name}"),
            Event::PeerDown(name) => format!("down {name}"),
            other => panic!("{other:?} is not a membership change"),
        }));
    }

    /// Runs the network until the simulated time `end`, in steps of 10 ms.
    pub fn run_until(&mut self, end: f64, lost: impl Fn(usize, usize) -> bool) {
        while self.now < end {
            self.now += 0.01;
            while self.in_flight.front().is_some_and(|next| next.0 <= self.now) {
                let (_, from, to, bytes) = self.in_flight.pop_front().unwrap();
                self.inboxes[to].push((from, bytes));
            }
            for number in 0..self.cores.len() {
                if self.stalled[number] {
                    continue;
                }
                for (from, bytes) in std::mem::take(&mut self.inboxes[number]) {
                    let actions = self.cores[number].on_datagram(self.now, address(from), &bytes);
                    self.deliver(number, actions, &lost);
                }
                let actions = self.cores[number].tick(self.now);
                self.deliver(number, actions, &lost);
                for check in self.cores[number].due_liveness_checks() {
                    self.check_liveness(number, check, &lost);
                }
            }
        }
    }

    /// Carries out a liveness check over a simulated connection. Unless `datagram_flood` is set, the connection fails
    /// if datagrams are lost in either direction.
    pub fn check_liveness(
        &mut self,
        from: usize,
        check: LivenessCheck,
        lost: &impl Fn(usize, usize) -> bool,
    ) {
        let to: usize = check.to[1..].parse().unwrap();
        let reachable = self.datagram_flood || !(lost(from, to) || lost(to, from));
        let mut response = None;
        if reachable && !self.stalled[to] {
            let request = |kind| MessageType::Request { id: 1, kind, timeout_ms: 100 };
            let header = self.cores[from].header_for(&check.to, request(RequestKind::LivenessCheck.into()));
            let receiver = &mut self.cores[to];
            self.check_count += 1;
            let envelope =
                Envelope { version: 2, supported: VersionRange::SUPPORTED, sequence: self.check_count };
            if receiver.authenticate_request(self.now, &envelope, &header, address(from)).is_ok() {
                let (body, actions) = receiver.answer_liveness_check(&header, &check.body).unwrap();
                response = Some((receiver.header_for(&name(from), MessageType::Response { id: 1 }), body));
                self.deliver(to, actions, lost);
            }
        }
        let envelope = Envelope { version: 2, supported: VersionRange::SUPPORTED, sequence: 0 };
        let response = response.as_ref().map(|(header, body)| Message {
            envelope,
            header: header.clone(),
            payload: body,
        });
        let actions =
            self.cores[from].on_liveness_result(self.now, &check.to, address(to), response.as_ref());
        assert_eq!(actions.error, None);
        self.deliver(from, actions, lost);
    }

    /// Returns the states in which broker `number` sees the other brokers.
    pub fn states(&self, number: usize) -> Vec<PeerState> {
        self.cores[number].members().iter().map(|peer| peer.state).collect()
    }

    /// Returns whether every broker sees every other broker as alive.
    pub fn all_alive(&self) -> bool {
        let others = self.cores.len() - 1;
        (0..self.cores.len()).all(|number| self.states(number) == vec![PeerState::Alive; others])
    }

    pub fn clear_changes(&mut self) {
        self.changes.iter_mut().for_each(Vec::clear);
    }
}

pub fn no_loss(_: usize, _: usize) -> bool {
    false
}

/// Delivers `message` of version 1 from the member n2 to n0, with updates about other members. Returns the actions of
/// n0.
pub fn deliver_from_n2(
    network: &mut SimulatedNetwork,
    message: foca::Message<PeerId>,
    updates: &[foca::Member<PeerId>],
) -> Actions {
    let (src, dst) = (network.cores[2].local_id().clone(), network.cores[0].local_id().clone());
    let header = MessageHeader {
        from: src.clone(),
        to: name(0),
        issued_token: 0,
        echoed_token: 0,
        message_type: MessageType::Gossip,
    };
    let mut payload = postcard::to_stdvec(&foca::Header { src, src_incarnation: 0, dst, message }).unwrap();
    payload.extend([0, updates.len() as u8]);
    updates.iter().for_each(|member| payload.extend(postcard::to_stdvec(member).unwrap()));
    network.cores[0].on_datagram(
        network.now,
        address(2),
        &encode(&Envelope::VERSION_1, &header, &payload, &Authenticator::new(None).unwrap()),
    )
}
