//! The core on a simulated network: the test controls clock, losses and stalls.

use dunepond_membership::{
    Actions, Authenticator, Core, Envelope, Event, Limits, LivenessCheck, MembershipOptions, Message,
    MessageHeader, MessageType, PROTOCOL_VERSION, PeerError, PeerId, PeerState, RefusalReason, RequestKind,
    VersionRange, decode, encode,
};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::VecDeque;
use std::net::SocketAddr;

#[path = "core/replay.rs"]
mod replay;
#[path = "core/versions.rs"]
mod versions;

const KEY: &str = "a key of these tests";

fn at(number: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 7000 + number).parse().unwrap()
}

fn name(number: usize) -> String {
    format!("n{number}")
}

fn options(number: usize, incarnation: u64, count: usize, key: bool) -> MembershipOptions {
    let known = (0..count).map(|other| (name(other), at(other))).collect();
    let mut options = MembershipOptions::new(&name(number), incarnation, at(number), known, number as u64);
    options.key = key.then(|| KEY.into());
    options
}

struct World {
    now: f64,
    cores: Vec<Core>,
    /// Stalled brokers.
    stopped: Vec<bool>,
    wire: VecDeque<(f64, usize, usize, Vec<u8>)>,
    waits: Vec<Vec<(usize, Vec<u8>)>>,
    changes: Vec<Vec<String>>,
    /// A flood loses datagrams and no requests.
    flood: bool,
    /// All datagrams, lost or not: from, to, bytes.
    sent: Vec<(usize, usize, Vec<u8>)>,
    asked: u64,
}

impl World {
    fn new(count: usize, key: bool) -> World {
        let cores = (0..count)
            .map(|number| Core::new(&options(number, 1, count, key), [number as u8; 32], 0.0).unwrap());
        World {
            now: 0.0,
            cores: cores.collect(),
            stopped: vec![false; count],
            wire: VecDeque::new(),
            waits: vec![Vec::new(); count],
            changes: vec![Vec::new(); count],
            flood: false,
            sent: Vec::new(),
            asked: 0,
        }
    }

    fn carry(&mut self, from: usize, actions: Actions, lost: &impl Fn(usize, usize) -> bool) {
        for (to, bytes) in actions.datagrams {
            let to = usize::from(to.port()) - 7000;
            self.sent.push((from, to, bytes.clone()));
            if to < self.cores.len() && !lost(from, to) {
                self.wire.push_back((self.now + 0.01, from, to, bytes));
            }
        }
        self.changes[from].extend(actions.changes.iter().map(|change| match change {
            Event::PeerUp(peer) => format!("up {} {}", peer.name, peer.incarnation),
            Event::PeerSuspected(name) => format!("suspect {name}"),
            Event::PeerDown(name) => format!("down {name}"),
            other => panic!("{other:?} is no change"),
        }));
    }

    /// Runs until `end`, in steps of 10 ms.
    fn play(&mut self, end: f64, lost: impl Fn(usize, usize) -> bool) {
        while self.now < end {
            self.now += 0.01;
            while self.wire.front().is_some_and(|next| next.0 <= self.now) {
                let (_, from, to, bytes) = self.wire.pop_front().unwrap();
                self.waits[to].push((from, bytes));
            }
            for number in 0..self.cores.len() {
                if self.stopped[number] {
                    continue;
                }
                for (from, bytes) in std::mem::take(&mut self.waits[number]) {
                    let actions = self.cores[number].on_datagram(self.now, at(from), &bytes);
                    self.carry(number, actions, &lost);
                }
                let actions = self.cores[number].tick(self.now);
                self.carry(number, actions, &lost);
                for check in self.cores[number].due_liveness_checks() {
                    self.check_liveness(number, check, &lost);
                }
            }
        }
    }

    /// Carries a liveness check there and back. Where datagrams are lost one way, so are connections, except in a flood.
    fn check_liveness(&mut self, from: usize, check: LivenessCheck, lost: &impl Fn(usize, usize) -> bool) {
        let to: usize = check.to[1..].parse().unwrap();
        let passes = self.flood || !(lost(from, to) || lost(to, from));
        let mut answer = None;
        if passes && !self.stopped[to] {
            let about = |kind| MessageType::Request { id: 1, kind, timeout_ms: 100 };
            let header = self.cores[from].header_for(&check.to, about(RequestKind::LivenessCheck.into()));
            let asked = &mut self.cores[to];
            self.asked += 1;
            let said = Envelope { version: 2, supported: VersionRange::SUPPORTED, sequence: self.asked };
            if asked.authenticate_request(self.now, &said, &header, at(from)).is_ok() {
                let (body, actions) = asked.answer_liveness_check(&header, &check.body).unwrap();
                answer = Some((asked.header_for(&name(from), MessageType::Response { id: 1 }), body));
                self.carry(to, actions, lost);
            }
        }
        let envelope = Envelope { version: 2, supported: VersionRange::SUPPORTED, sequence: 0 };
        let answer =
            answer.as_ref().map(|(header, body)| Message { envelope, header: header.clone(), payload: body });
        let actions = self.cores[from].on_liveness_result(self.now, &check.to, at(to), answer.as_ref());
        assert_eq!(actions.error, None);
        self.carry(from, actions, lost);
    }

    fn states(&self, number: usize) -> Vec<PeerState> {
        self.cores[number].members().iter().map(|peer| peer.state).collect()
    }

    fn all_alive(&self) -> bool {
        let others = self.cores.len() - 1;
        (0..self.cores.len()).all(|number| self.states(number) == vec![PeerState::Alive; others])
    }

    fn clear_changes(&mut self) {
        self.changes.iter_mut().for_each(Vec::clear);
    }
}

fn none(_: usize, _: usize) -> bool {
    false
}

#[rstest]
fn a_stalled_broker_declares_no_peer_down_and_rejoins(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    assert!(world.all_alive());
    world.clear_changes();
    world.stopped[0] = true;
    // Nothing sent meanwhile reaches it either: a socket buffers only so much.
    world.play(11.0, |_, to| to == 0);
    assert!(world.changes[1].contains(&"down n0".into()), "{:?}", world.changes[1]);
    world.stopped[0] = false;
    world.play(20.0, none);
    assert!(!world.changes[0].iter().any(|change| change.starts_with("down")), "{:?}", world.changes[0]);
    assert!(world.all_alive(), "{:?}", world.changes);
}

/// n3 is suspected when n0 stalls, and refutes the suspicion while n0 receives nothing.
#[rstest]
fn timeouts_of_others_are_extended_by_our_stall(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    world.clear_changes();
    while !world.changes[0].contains(&"suspect n3".into()) {
        let next = world.now + 0.01;
        world.play(next, |from, _| from == 3);
    }
    world.stopped[0] = true;
    let woken = world.now + 5.0;
    world.play(woken, |_, to| to == 0);
    world.stopped[0] = false;
    world.play(woken + 5.0, none);
    assert!(!world.changes[0].contains(&"down n3".into()), "{:?}", world.changes[0]);
    assert!(world.all_alive(), "{:?}", world.changes);
}

#[rstest]
fn a_one_way_cut_brings_no_peer_down_while_indirect_probes_pass(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    world.clear_changes();
    world.play(30.0, |from, to| (from, to) == (0, 1));
    assert!(!world.changes.iter().flatten().any(|change| change.starts_with("down")), "{:?}", world.changes);
}

#[test]
fn a_suspicion_is_refuted() {
    let mut world = World::new(4, false);
    world.play(3.0, none);
    world.clear_changes();
    world.play(6.0, |from, _| from == 3);
    assert!(world.changes.iter().flatten().any(|change| change == "suspect n3"));
    world.play(12.0, none);
    assert!(!world.changes[..3].iter().flatten().any(|change| change == "down n3"), "{:?}", world.changes);
    assert!(world.all_alive());
}

/// No datagram reaches n0, as a flood fills its socket. It is alive, and responds over connections.
#[rstest]
fn a_peer_whose_datagrams_are_crowded_out_stays_up(
    #[values(false, true)] key: bool,
    #[values(2, 5)] count: usize,
) {
    let mut world = World::new(count, key);
    world.play(3.0, none);
    world.clear_changes();
    world.flood = true;
    world.play(40.0, |_, to| to == 0);
    let changes: Vec<&String> = world.changes.iter().flatten().collect();
    assert!(changes.iter().any(|change| change.starts_with("suspect")), "{changes:?}");
    assert!(!changes.iter().any(|change| change.starts_with("down")), "{changes:?}");
    // A dead peer is declared down as before.
    world.stopped[0] = true;
    world.play(60.0, |_, to| to == 0);
    assert!(world.changes[1].contains(&"down n0".into()), "{:?}", world.changes[1]);
}

/// A request in a member's name shows that it is alive only with the token that went to its address.
#[test]
fn a_liveness_check_needs_the_address_token() {
    let mut world = World::new(3, false);
    world.play(3.0, none);
    let mut header = world.cores[1].header_for(
        "n0",
        MessageType::Request { id: 1, kind: RequestKind::LivenessCheck.into(), timeout_ms: 100 },
    );
    let body = postcard::to_stdvec(&Vec::<Vec<u8>>::new()).unwrap();
    assert!(world.cores[0].answer_liveness_check(&header, &body).is_ok());
    header.echoed_token ^= 1;
    let error = world.cores[0].answer_liveness_check(&header, &body).unwrap_err();
    assert!(matches!(error, PeerError::UnverifiedSender { .. }), "{error:?}");
}

#[rstest]
fn halves_of_a_partition_merge_again(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    world.play(15.0, |from, to| (from < 2) != (to < 2));
    assert!(world.states(0).contains(&PeerState::Down));
    world.play(25.0, none);
    assert!(world.all_alive(), "{:?}", world.changes);
}

#[rstest]
fn a_later_incarnation_wins(#[values(false, true)] key: bool) {
    let mut world = World::new(3, key);
    world.play(3.0, none);
    let old = world.cores[2].local_id().clone();
    world.cores[2] = Core::new(&options(2, 2, 3, key), [9; 32], world.now).unwrap();
    world.clear_changes();
    world.play(8.0, none);
    assert!(world.changes[0].contains(&"up n2 2".into()), "{:?}", world.changes[0]);
    assert!(world.all_alive());
    let authenticator = Authenticator::new(key.then_some(KEY)).unwrap();
    let late = MessageHeader {
        from: old,
        to: name(0),
        issued_token: 0,
        echoed_token: 0,
        message_type: MessageType::Gossip,
    };
    let error = world.cores[0]
        .on_datagram(world.now, at(2), &encode(&Envelope::VERSION_1, &late, b"", &authenticator))
        .error;
    assert!(matches!(error, Some(PeerError::StaleIncarnation { incarnation: 1, known: 2, .. })), "{error:?}");
}

/// Sends `message` from `n2`, a member, to `n0`, with updates about others.
fn from_n2(world: &mut World, message: foca::Message<PeerId>, said: &[foca::Member<PeerId>]) -> Actions {
    let (src, dst) = (world.cores[2].local_id().clone(), world.cores[0].local_id().clone());
    let header = MessageHeader {
        from: src.clone(),
        to: name(0),
        issued_token: 0,
        echoed_token: 0,
        message_type: MessageType::Gossip,
    };
    let mut payload = postcard::to_stdvec(&foca::Header { src, src_incarnation: 0, dst, message }).unwrap();
    payload.extend([0, said.len() as u8]);
    said.iter().for_each(|member| payload.extend(postcard::to_stdvec(member).unwrap()));
    world.cores[0].on_datagram(
        world.now,
        at(2),
        &encode(&Envelope::VERSION_1, &header, &payload, &Authenticator::new(None).unwrap()),
    )
}

#[test]
fn gossip_cannot_replace_an_incarnation_that_was_heard() {
    let mut world = World::new(3, false);
    world.play(3.0, none);
    world.clear_changes();
    let later = PeerId { incarnation: u64::MAX, ..world.cores[1].local_id().clone() };
    let ended = foca::Member::new(later, 0, foca::State::Down);
    let actions = from_n2(&mut world, foca::Message::Gossip, &[ended]);
    world.carry(0, actions, &none);
    world.play(10.0, none);
    assert!(world.changes.iter().flatten().next().is_none(), "{:?}", world.changes);
}

#[test]
fn gossip_cannot_make_us_send_to_strangers() {
    let mut world = World::new(3, false);
    world.play(3.0, none);
    let target = PeerId {
        name: "far".into(),
        incarnation: 1,
        renewals: 0,
        listen_address: "192.0.2.1:53".parse().unwrap(),
    };
    let actions = from_n2(&mut world, foca::Message::PingReq { target, probe_number: 1 }, &[]);
    assert!(
        actions.error.is_none() && actions.datagrams.iter().all(|(to, _)| to.ip().is_loopback()),
        "{actions:?}"
    );
}

#[test]
fn datagrams_go_to_the_configured_relay_whatever_the_peer_states() {
    let (mut one, mut other) = (options(0, 1, 2, true), options(1, 1, 2, true));
    one.known_peers = vec![("n1".into(), at(50))];
    other.known_peers = vec![("n0".into(), at(51))];
    let mut one = Core::new(&one, [0; 32], 0.0).unwrap();
    let mut other = Core::new(&other, [1; 32], 0.0).unwrap();
    for turn in 0..300 {
        let now = f64::from(turn) / 100.0;
        let (mine, theirs) = (one.tick(now), other.tick(now));
        let mut moves = VecDeque::from([(true, mine.datagrams), (false, theirs.datagrams)]);
        while let Some((from_one, sent)) = moves.pop_front() {
            for (to, bytes) in sent {
                assert_eq!(to, if from_one { at(50) } else { at(51) });
                let (taker, relay) = if from_one { (&mut other, at(60)) } else { (&mut one, at(61)) };
                moves.push_back((!from_one, taker.on_datagram(now, relay, &bytes).datagrams));
            }
        }
    }
    assert_eq!(one.members()[0].listen_address, at(1));
    assert_eq!(one.address("n1"), Some(at(50)));
}

#[test]
fn floods_are_limited_and_unknown_names_cannot_crowd_out_configured_ones() {
    let mut options = options(0, 1, 3, false);
    options.limits = Limits { max_members: 4, max_datagrams_per_second: 10, ..Limits::default() };
    let mut core = Core::new(&options, [0; 32], 0.0).unwrap();
    let mut send = |number: usize| {
        let from = PeerId { name: name(number), incarnation: 1, renewals: 0, listen_address: at(number) };
        let dst = PeerId { name: name(0), incarnation: 0, renewals: 0, listen_address: at(0) };
        let call =
            foca::Header { src: from.clone(), src_incarnation: 0, dst, message: foca::Message::Announce };
        let header = MessageHeader {
            from,
            to: name(0),
            issued_token: 0,
            echoed_token: 0,
            message_type: MessageType::Gossip,
        };
        let bytes = encode(
            &Envelope::VERSION_1,
            &header,
            &postcard::to_stdvec(&call).unwrap(),
            &Authenticator::new(None).unwrap(),
        );
        core.on_datagram(0.1, at(number), &bytes).error
    };
    let errors: Vec<Option<PeerError>> = (10..20).map(&mut send).collect();
    assert_eq!(errors.iter().filter(|error| error.is_none()).count(), 4);
    assert!(matches!(errors[9], Some(PeerError::TooManyMembers { limit: 4 })), "{errors:?}");
    assert_eq!(send(1), None);
    let errors: Vec<Option<PeerError>> = (0..10).map(|_| send(1)).collect();
    assert!(matches!(errors[9], Some(PeerError::RateLimited { per_second: 10, .. })), "{errors:?}");
    assert_eq!(errors[8], None);

    // Names that only gossip mentions, and names that send without becoming members, have the same limit.
    let mut world = World::new(3, false);
    world.play(3.0, none);
    let stranger = |number: usize| {
        let (name, listen) = (format!("s{number}"), at(100 + number));
        foca::Member::alive(PeerId { name, incarnation: 1, renewals: 0, listen_address: listen })
    };
    for part in 0..20 {
        let named: Vec<_> = (20 * part..20 * (part + 1)).map(stranger).collect();
        let error = from_n2(&mut world, foca::Message::Gossip, &named).error;
        assert_eq!(error.is_some(), part >= 12, "{part}: {error:?}");
    }
    assert!(world.cores[0].members().len() <= 2 + 256);
    let mut core = Core::new(&options, [0; 32], 0.0).unwrap();
    let errors = (10..20).map(|number| {
        let from = PeerId { name: name(number), incarnation: 1, renewals: 0, listen_address: at(number) };
        let header = MessageHeader {
            from,
            to: name(0),
            issued_token: 0,
            echoed_token: 0,
            message_type: MessageType::Refusal { id: 0 },
        };
        let payload = postcard::to_stdvec(&RefusalReason::TooManyMembers).unwrap();
        core.on_datagram(
            0.1,
            at(number),
            &encode(&Envelope::VERSION_1, &header, &payload, &Authenticator::new(None).unwrap()),
        )
        .error
    });
    assert_eq!(errors.filter(|error| matches!(error, Some(PeerError::TooManyMembers { .. }))).count(), 6);
}

#[test]
fn requests_are_rate_limited() {
    let mut options = options(0, 1, 2, true);
    options.limits.max_requests_per_second = 10;
    let mut core = Core::new(&options, [0; 32], 0.0).unwrap();
    let from = PeerId { name: name(1), incarnation: 1, renewals: 0, listen_address: at(1) };
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 100 };
    let header = MessageHeader { from, to: name(0), issued_token: 0, echoed_token: 0, message_type };
    let mut taken = |now: f64| {
        (0..15)
            .filter(|_| core.authenticate_request(now, &Envelope::VERSION_1, &header, at(1)).is_ok())
            .count()
    };
    assert_eq!([taken(0.1), taken(1.0), taken(1.2)], [10, 0, 10]);
}

#[test]
fn a_newer_version_is_refused_at_its_configured_address_in_fewer_bytes() {
    let mut core = Core::new(&options(0, 1, 3, true), [0; 32], 0.0).unwrap();
    let newer = [PROTOCOL_VERSION + 1; 200];
    let theirs = VersionRange::exactly(PROTOCOL_VERSION + 1);
    let actions = core.on_datagram(0.1, at(1), &newer);
    assert!(
        matches!(actions.error, Some(PeerError::UnsupportedVersion { theirs: said, ours: VersionRange::SUPPORTED, .. }) if said == theirs)
    );
    let (to, bytes) = &actions.datagrams[0];
    assert!(*to == at(1) && bytes.len() <= newer.len());
    let Message { header, payload, .. } =
        decode(bytes, core.authenticator(), "n0", VersionRange::SUPPORTED).unwrap();
    assert_eq!(header.to, "n1");
    assert_eq!(
        postcard::from_bytes::<RefusalReason>(payload).unwrap(),
        RefusalReason::UnsupportedVersion { theirs, ours: VersionRange::SUPPORTED }
    );
    // Not to unknown addresses, not for a shorter message, and rate-limited.
    assert!(core.on_datagram(0.1, at(9), &newer).datagrams.is_empty());
    assert!(core.on_datagram(0.1, at(1), &newer[..20]).datagrams.is_empty());
    let sent: usize = (0..100).map(|_| core.on_datagram(0.2, at(1), &newer).datagrams.len()).sum();
    assert!(sent < 10, "{sent}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::default() })]

    /// Cut, corrupted or invented bytes: without the key nobody becomes a member, and nothing panics.
    #[test]
    fn unauthenticated_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..1500), flip in any::<(usize, u8)>(), sender in 0..4usize) {
        let mut core = Core::new(&options(0, 1, 3, true), [0; 32], 0.0).unwrap();
        let mut other = Core::new(&options(1, 1, 3, true), [1; 32], 0.0).unwrap();
        let (_, mut good) = other.tick(0.1).datagrams.into_iter().find(|(to, _)| *to == at(0)).unwrap();
        let place = flip.0 % good.len();
        good[place] ^= flip.1.max(1);
        for bytes in [&bytes, &good, &good[..place].to_vec()] {
            let actions = core.on_datagram(0.1, at(sender), bytes);
            prop_assert!(actions.error.is_some() && actions.changes.is_empty());
        }
        prop_assert!(core.members().is_empty());
    }

    /// Without a key, garbage from a configured address changes nothing.
    #[test]
    fn garbage_changes_nothing(payload in proptest::collection::vec(any::<u8>(), 0..1300), sender in 1..3usize) {
        let mut core = Core::new(&options(0, 1, 3, false), [0; 32], 0.0).unwrap();
        let from = PeerId { name: name(sender), incarnation: 1, renewals: 0, listen_address: at(sender) };
        let header = MessageHeader { from, to: name(0), issued_token: 1, echoed_token: 1, message_type: MessageType::Gossip };
        let actions = core.on_datagram(0.1, at(sender), &encode(&Envelope::VERSION_1, &header, &payload, &Authenticator::new(None).unwrap()));
        prop_assert!(actions.error.is_some(), "{:?}", actions);
    }
}
