//! The pure core on a wire that exists only here: clock, losses and stops are the story's.

use dunepond_membership::{
    About, Actions, Core, Envelope, Event, Head, Id, Limits, MembershipOptions, PeerError, PeerState,
    RefusalReason, RequestKind, Seal, Sign, Span, VERSION, frame, unframe,
};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::VecDeque;
use std::net::SocketAddr;

#[path = "core/fresh.rs"]
mod fresh;
#[path = "core/versions.rs"]
mod versions;

const KEY: &str = "a key of the stories";

fn at(number: usize) -> SocketAddr {
    format!("127.0.0.1:{}", 7000 + number).parse().unwrap()
}

fn name(number: usize) -> String {
    format!("n{number}")
}

fn told(number: usize, incarnation: u64, count: usize, key: bool) -> MembershipOptions {
    let known = (0..count).map(|other| (name(other), at(other))).collect();
    let mut told = MembershipOptions::new(&name(number), incarnation, at(number), known, number as u64);
    told.key = key.then(|| KEY.into());
    told
}

struct World {
    now: f64,
    cores: Vec<Core>,
    /// Who stands still.
    stopped: Vec<bool>,
    wire: VecDeque<(f64, usize, usize, Vec<u8>)>,
    waits: Vec<Vec<(usize, Vec<u8>)>>,
    heard: Vec<Vec<String>>,
    /// A flood loses datagrams and no requests.
    flood: bool,
    /// All datagrams, lost or not: from, to, bytes.
    sent: Vec<(usize, usize, Vec<u8>)>,
    asked: u64,
}

impl World {
    fn new(count: usize, key: bool) -> World {
        let cores = (0..count)
            .map(|number| Core::new(&told(number, 1, count, key), [number as u8; 32], 0.0).unwrap());
        World {
            now: 0.0,
            cores: cores.collect(),
            stopped: vec![false; count],
            wire: VecDeque::new(),
            waits: vec![Vec::new(); count],
            heard: vec![Vec::new(); count],
            flood: false,
            sent: Vec::new(),
            asked: 0,
        }
    }

    fn carry(&mut self, from: usize, orders: Actions, lost: &impl Fn(usize, usize) -> bool) {
        for (to, bytes) in orders.datagrams {
            let to = usize::from(to.port()) - 7000;
            self.sent.push((from, to, bytes.clone()));
            if to < self.cores.len() && !lost(from, to) {
                self.wire.push_back((self.now + 0.01, from, to, bytes));
            }
        }
        self.heard[from].extend(orders.changes.iter().map(|change| match change {
            Event::PeerUp(peer) => format!("came {} {}", peer.name, peer.incarnation),
            Event::PeerSuspected(name) => format!("suspect {name}"),
            Event::PeerDown(name) => format!("left {name}"),
            other => panic!("{other:?} is no change"),
        }));
    }

    /// Plays until `end`, in steps of 10 ms.
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
                    let orders = self.cores[number].on_datagram(self.now, at(from), &bytes);
                    self.carry(number, orders, &lost);
                }
                let orders = self.cores[number].tick(self.now);
                self.carry(number, orders, &lost);
                for sign in self.cores[number].signs() {
                    self.ask(number, sign, &lost);
                }
            }
        }
    }

    /// Carries a request for a sign of life there and back; where datagrams are lost one way, so are connections, but for a flood.
    fn ask(&mut self, from: usize, sign: Sign, lost: &impl Fn(usize, usize) -> bool) {
        let to: usize = sign.to[1..].parse().unwrap();
        let passes = self.flood || !(lost(from, to) || lost(to, from));
        let mut answer = None;
        if passes && !self.stopped[to] {
            let about = |kind| About::Ask { id: 1, kind, within_ms: 100 };
            let head = self.cores[from].head(&sign.to, about(RequestKind::LivenessCheck.into()));
            let asked = &mut self.cores[to];
            self.asked += 1;
            let said = Envelope { version: 2, speaks: Span::OURS, count: self.asked };
            if asked.believes(self.now, &said, &head, at(from)).is_ok() {
                let (body, orders) = asked.sign_asked(&head, &sign.body).unwrap();
                answer = Some((asked.head(&name(from), About::Answer { id: 1 }), body));
                self.carry(to, orders, lost);
            }
        }
        let said = Envelope { version: 2, speaks: Span::OURS, count: 0 };
        let answer = answer.as_ref().map(|(head, body)| (&said, head, &body[..]));
        let orders = self.cores[from].sign_came(self.now, &sign.to, at(to), answer);
        assert_eq!(orders.fault, None);
        self.carry(from, orders, lost);
    }

    fn standings(&self, number: usize) -> Vec<PeerState> {
        self.cores[number].members().iter().map(|peer| peer.state).collect()
    }

    fn all_here(&self) -> bool {
        let others = self.cores.len() - 1;
        (0..self.cores.len()).all(|number| self.standings(number) == vec![PeerState::Alive; others])
    }

    fn forget(&mut self) {
        self.heard.iter_mut().for_each(Vec::clear);
    }
}

fn none(_: usize, _: usize) -> bool {
    false
}

#[rstest]
fn who_stood_still_gives_nobody_up_and_is_taken_back(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    assert!(world.all_here());
    world.forget();
    world.stopped[0] = true;
    // Nothing that was sent meanwhile reaches it either: a socket holds so much only.
    world.play(11.0, |_, to| to == 0);
    assert!(world.heard[1].contains(&"left n0".into()), "{:?}", world.heard[1]);
    world.stopped[0] = false;
    world.play(20.0, none);
    assert!(!world.heard[0].iter().any(|change| change.starts_with("left")), "{:?}", world.heard[0]);
    assert!(world.all_here(), "{:?}", world.heard);
}

/// n3 is suspected when n0 stops, and refutes it while n0 hears nothing.
#[rstest]
fn the_time_in_which_we_stood_still_is_not_held_against_others(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    world.forget();
    while !world.heard[0].contains(&"suspect n3".into()) {
        let next = world.now + 0.01;
        world.play(next, |from, _| from == 3);
    }
    world.stopped[0] = true;
    let woken = world.now + 5.0;
    world.play(woken, |_, to| to == 0);
    world.stopped[0] = false;
    world.play(woken + 5.0, none);
    assert!(!world.heard[0].contains(&"left n3".into()), "{:?}", world.heard[0]);
    assert!(world.all_here(), "{:?}", world.heard);
}

#[rstest]
fn a_cut_one_way_ends_nobody_as_long_as_others_can_ask(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    world.forget();
    world.play(30.0, |from, to| (from, to) == (0, 1));
    assert!(!world.heard.iter().flatten().any(|change| change.starts_with("left")), "{:?}", world.heard);
}

#[test]
fn a_suspicion_is_refuted() {
    let mut world = World::new(4, false);
    world.play(3.0, none);
    world.forget();
    world.play(6.0, |from, _| from == 3);
    assert!(world.heard.iter().flatten().any(|change| change == "suspect n3"));
    world.play(12.0, none);
    assert!(!world.heard[..3].iter().flatten().any(|change| change == "left n3"), "{:?}", world.heard);
    assert!(world.all_here());
}

/// No datagram comes to n0, whoever sends it: a flood has its socket. It lives, and answers over connections.
#[rstest]
fn whose_datagrams_are_crowded_out_is_given_up_by_nobody(
    #[values(false, true)] key: bool,
    #[values(2, 5)] count: usize,
) {
    let mut world = World::new(count, key);
    world.play(3.0, none);
    world.forget();
    world.flood = true;
    world.play(40.0, |_, to| to == 0);
    let heard: Vec<&String> = world.heard.iter().flatten().collect();
    assert!(heard.iter().any(|change| change.starts_with("suspect")), "{heard:?}");
    assert!(!heard.iter().any(|change| change.starts_with("left")), "{heard:?}");
    // Who is dead is given up as before.
    world.stopped[0] = true;
    world.play(60.0, |_, to| to == 0);
    assert!(world.heard[1].contains(&"left n0".into()), "{:?}", world.heard[1]);
}

/// A request in a member's name is a sign of its life only with the pass that went to its address.
#[test]
fn a_sign_of_life_needs_the_pass() {
    let mut world = World::new(3, false);
    world.play(3.0, none);
    let mut head = world.cores[1]
        .head("n0", About::Ask { id: 1, kind: RequestKind::LivenessCheck.into(), within_ms: 100 });
    let body = postcard::to_stdvec(&Vec::<Vec<u8>>::new()).unwrap();
    assert!(world.cores[0].sign_asked(&head, &body).is_ok());
    head.echo ^= 1;
    let fault = world.cores[0].sign_asked(&head, &body).unwrap_err();
    assert!(matches!(fault, PeerError::Claimed { .. }), "{fault:?}");
}

#[rstest]
fn halves_that_gave_each_other_up_find_each_other_again(#[values(false, true)] key: bool) {
    let mut world = World::new(5, key);
    world.play(3.0, none);
    world.play(15.0, |from, to| (from < 2) != (to < 2));
    assert!(world.standings(0).contains(&PeerState::Down));
    world.play(25.0, none);
    assert!(world.all_here(), "{:?}", world.heard);
}

#[rstest]
fn a_new_life_wins_over_the_old_one(#[values(false, true)] key: bool) {
    let mut world = World::new(3, key);
    world.play(3.0, none);
    let old = world.cores[2].me().clone();
    world.cores[2] = Core::new(&told(2, 2, 3, key), [9; 32], world.now).unwrap();
    world.forget();
    world.play(8.0, none);
    assert!(world.heard[0].contains(&"came n2 2".into()), "{:?}", world.heard[0]);
    assert!(world.all_here());
    let seal = Seal::new(key.then_some(KEY)).unwrap();
    let late = Head { from: old, to: name(0), gives: 0, echo: 0, about: About::Members };
    let fault =
        world.cores[0].on_datagram(world.now, at(2), &frame(&Envelope::FIRST, &late, b"", &seal)).fault;
    assert!(matches!(fault, Some(PeerError::Stale { said: 1, known: 2, .. })), "{fault:?}");
}

/// What `n2`, a member, sends to `n0`: `message`, and what it says of others.
fn from_n2(world: &mut World, message: foca::Message<Id>, said: &[foca::Member<Id>]) -> Actions {
    let (src, dst) = (world.cores[2].me().clone(), world.cores[0].me().clone());
    let head = Head { from: src.clone(), to: name(0), gives: 0, echo: 0, about: About::Members };
    let mut load = postcard::to_stdvec(&foca::Header { src, src_incarnation: 0, dst, message }).unwrap();
    load.extend([0, said.len() as u8]);
    said.iter().for_each(|member| load.extend(postcard::to_stdvec(member).unwrap()));
    world.cores[0].on_datagram(
        world.now,
        at(2),
        &frame(&Envelope::FIRST, &head, &load, &Seal::new(None).unwrap()),
    )
}

#[test]
fn nobody_speaks_for_anothers_life() {
    let mut world = World::new(3, false);
    world.play(3.0, none);
    world.forget();
    let later = Id { incarnation: u64::MAX, ..world.cores[1].me().clone() };
    let ended = foca::Member::new(later, 0, foca::State::Down);
    let orders = from_n2(&mut world, foca::Message::Gossip, &[ended]);
    world.carry(0, orders, &none);
    world.play(10.0, none);
    assert!(world.heard.iter().flatten().next().is_none(), "{:?}", world.heard);
}

#[test]
fn nobody_makes_us_send_to_where_no_member_is() {
    let mut world = World::new(3, false);
    world.play(3.0, none);
    let target =
        Id { name: "far".into(), incarnation: 1, renewed: 0, listen: "192.0.2.1:53".parse().unwrap() };
    let orders = from_n2(&mut world, foca::Message::PingReq { target, probe_number: 1 }, &[]);
    assert!(
        orders.fault.is_none() && orders.datagrams.iter().all(|(to, _)| to.ip().is_loopback()),
        "{orders:?}"
    );
}

#[test]
fn what_is_sent_goes_to_the_relay_whatever_the_peer_says() {
    let (mut one, mut other) = (told(0, 1, 2, true), told(1, 1, 2, true));
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
fn a_flood_is_cut_and_strangers_cannot_crowd_out_the_file() {
    let mut told = told(0, 1, 3, false);
    told.limits = Limits { max_members: 4, max_datagrams_per_second: 10, ..Limits::default() };
    let mut core = Core::new(&told, [0; 32], 0.0).unwrap();
    let mut send = |number: usize| {
        let from = Id { name: name(number), incarnation: 1, renewed: 0, listen: at(number) };
        let dst = Id { name: name(0), incarnation: 0, renewed: 0, listen: at(0) };
        let call =
            foca::Header { src: from.clone(), src_incarnation: 0, dst, message: foca::Message::Announce };
        let head = Head { from, to: name(0), gives: 0, echo: 0, about: About::Members };
        let bytes =
            frame(&Envelope::FIRST, &head, &postcard::to_stdvec(&call).unwrap(), &Seal::new(None).unwrap());
        core.on_datagram(0.1, at(number), &bytes).fault
    };
    let faults: Vec<Option<PeerError>> = (10..20).map(&mut send).collect();
    assert_eq!(faults.iter().filter(|fault| fault.is_none()).count(), 4);
    assert!(matches!(faults[9], Some(PeerError::Full { most: 4 })), "{faults:?}");
    assert_eq!(send(1), None);
    let faults: Vec<Option<PeerError>> = (0..10).map(|_| send(1)).collect();
    assert!(matches!(faults[9], Some(PeerError::Flood { most: 10, .. })), "{faults:?}");
    assert_eq!(faults[8], None);

    // Names that only one member speaks of, and names that speak without becoming members, have the same bound.
    let mut world = World::new(3, false);
    world.play(3.0, none);
    let stranger = |number: usize| {
        let (name, listen) = (format!("s{number}"), at(100 + number));
        foca::Member::alive(Id { name, incarnation: 1, renewed: 0, listen })
    };
    for part in 0..20 {
        let named: Vec<_> = (20 * part..20 * (part + 1)).map(stranger).collect();
        let fault = from_n2(&mut world, foca::Message::Gossip, &named).fault;
        assert_eq!(fault.is_some(), part >= 12, "{part}: {fault:?}");
    }
    assert!(world.cores[0].members().len() <= 2 + 256);
    let mut core = Core::new(&told, [0; 32], 0.0).unwrap();
    let faults = (10..20).map(|number| {
        let from = Id { name: name(number), incarnation: 1, renewed: 0, listen: at(number) };
        let head = Head { from, to: name(0), gives: 0, echo: 0, about: About::Refused { id: 0 } };
        let load = postcard::to_stdvec(&RefusalReason::Full).unwrap();
        core.on_datagram(0.1, at(number), &frame(&Envelope::FIRST, &head, &load, &Seal::new(None).unwrap()))
            .fault
    });
    assert_eq!(faults.filter(|fault| matches!(fault, Some(PeerError::Full { .. }))).count(), 6);
}

#[test]
fn so_many_requests_a_second_and_no_more() {
    let mut told = told(0, 1, 2, true);
    told.limits.max_requests_per_second = 10;
    let mut core = Core::new(&told, [0; 32], 0.0).unwrap();
    let from = Id { name: name(1), incarnation: 1, renewed: 0, listen: at(1) };
    let about = About::Ask { id: 1, kind: RequestKind::Raft.into(), within_ms: 100 };
    let head = Head { from, to: name(0), gives: 0, echo: 0, about };
    let mut taken =
        |now: f64| (0..15).filter(|_| core.believes(now, &Envelope::FIRST, &head, at(1)).is_ok()).count();
    assert_eq!([taken(0.1), taken(1.0), taken(1.2)], [10, 0, 10]);
}

#[test]
fn a_newer_version_is_told_so_at_its_known_address_in_no_more_bytes() {
    let mut core = Core::new(&told(0, 1, 3, true), [0; 32], 0.0).unwrap();
    let newer = [VERSION + 1; 200];
    let theirs = Span::only(VERSION + 1);
    let orders = core.on_datagram(0.1, at(1), &newer);
    assert!(
        matches!(orders.fault, Some(PeerError::Version { theirs: said, ours: Span::OURS, .. }) if said == theirs)
    );
    let (to, bytes) = &orders.datagrams[0];
    assert!(*to == at(1) && bytes.len() <= newer.len());
    let (_, head, load) = unframe(bytes, core.seal(), "n0", Span::OURS).unwrap();
    assert_eq!(head.to, "n1");
    assert_eq!(
        postcard::from_bytes::<RefusalReason>(load).unwrap(),
        RefusalReason::Versions { theirs, ours: Span::OURS }
    );
    // Not to who is not known, not for a shorter message, and only so often.
    assert!(core.on_datagram(0.1, at(9), &newer).datagrams.is_empty());
    assert!(core.on_datagram(0.1, at(1), &newer[..20]).datagrams.is_empty());
    let sent: usize = (0..100).map(|_| core.on_datagram(0.2, at(1), &newer).datagrams.len()).sum();
    assert!(sent < 10, "{sent}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(34), ..ProptestConfig::default() })]

    /// Whatever comes, cut, spoilt or made up: without the key nobody becomes a member, and nothing ends us.
    #[test]
    fn nothing_unsealed_is_believed(bytes in proptest::collection::vec(any::<u8>(), 0..1500), flip in any::<(usize, u8)>(), sender in 0..4usize) {
        let mut core = Core::new(&told(0, 1, 3, true), [0; 32], 0.0).unwrap();
        let mut other = Core::new(&told(1, 1, 3, true), [1; 32], 0.0).unwrap();
        let (_, mut good) = other.tick(0.1).datagrams.into_iter().find(|(to, _)| *to == at(0)).unwrap();
        let place = flip.0 % good.len();
        good[place] ^= flip.1.max(1);
        for bytes in [&bytes, &good, &good[..place].to_vec()] {
            let orders = core.on_datagram(0.1, at(sender), bytes);
            prop_assert!(orders.fault.is_some() && orders.changes.is_empty());
        }
        prop_assert!(core.members().is_empty());
    }

    /// Without a key, garbage of a true address still ends nothing.
    #[test]
    fn garbage_ends_nothing(load in proptest::collection::vec(any::<u8>(), 0..1300), sender in 1..3usize) {
        let mut core = Core::new(&told(0, 1, 3, false), [0; 32], 0.0).unwrap();
        let from = Id { name: name(sender), incarnation: 1, renewed: 0, listen: at(sender) };
        let head = Head { from, to: name(0), gives: 1, echo: 1, about: About::Members };
        let orders = core.on_datagram(0.1, at(sender), &frame(&Envelope::FIRST, &head, &load, &Seal::new(None).unwrap()));
        prop_assert!(orders.fault.is_some(), "{:?}", orders);
    }
}
