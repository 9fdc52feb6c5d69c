//! Documents that stand for themselves: versions, requests and replies for leases, what a broker keeps.

use std::collections::BTreeMap;
use std::sync::Arc;

use dunepond_consensus::*;
use dunepond_quota::{Bounds, Report, Told as Parts};
use dunepond_settlement::{Agreed, Allot, Ledger, Settlement};
use dunepond_simulation::fleet::{map, settlement, terms, version};

use super::{again_json, golden};

pub fn text(text: &str) -> String {
    String::from(text)
}

pub fn named(name: &str, at: Option<&str>) -> Named {
    Named { name: text(name), at: at.map(text) }
}

/// With all that a version may have: a map, leaving nodes, a first stage, what it follows, keys of a later program.
pub fn full_version(number: u64) -> Version {
    let more = |key: &str, must| More { key: text(key), text: text("{\"a\": [1, 2.50]}"), must };
    Version {
        follows: Some(number - 1),
        stage: Some(0.25),
        standings: Standings { draining: vec![text("s8a")], gone: vec![text("s9a"), text("s9b")] },
        at: 1_700_000_000.25,
        more: vec![more("omens", false), more("rules.least_brokers", true)],
        ..version(number, Some(map(number, true)))
    }
}

pub fn bounds() -> Bounds {
    Bounds::new(vec![text("cold"), text("customer anna")], 7, 0.35, 500).unwrap()
}

fn report() -> Report {
    let needs = BTreeMap::from([(text("cold"), 120_000), (text("customer anna"), 7)]);
    Report { shrunk: 3, bounds: bounds(), needs }
}

fn bare_request() -> Ask {
    Ask {
        id: 1,
        broker: text("b1"),
        sent: 0.5,
        knows: Vec::new(),
        joint: None,
        incarnation: 2,
        debts: 0,
        limits: None,
        passed: false,
        pressed: false,
    }
}

fn full_request() -> Ask {
    Ask {
        id: u64::MAX,
        sent: 1234.0625,
        knows: vec![(1, version(1, None).digest()), (2, full_version(2).digest())],
        joint: Some(2),
        incarnation: 1 << 60,
        debts: 70_000,
        limits: Some(report()),
        passed: true,
        pressed: true,
        ..bare_request()
    }
}

pub fn allot() -> Agreed {
    let parts = vec![(text("fleet"), 900), (text("b1"), 100)];
    Agreed::Allot(Allot { number: 0, debtor: text("north"), creditor: text("south"), debt: 1000, parts })
}

fn some_debts(ledger: bool) -> DebtsTold {
    let settle = Agreed::Settle(Settlement { bytes: 11, ..settlement("7") });
    let mut applied = Ledger::default();
    applied.apply(&allot()).unwrap();
    applied.apply(&Agreed::Settle(settlement("6"))).unwrap();
    let entries = vec![Noted { floor: 0, entry: allot() }, Noted { floor: 4, entry: settle }];
    DebtsTold { from: 4, count: 6, ledger: ledger.then(|| Box::new(applied)), entries }
}

fn first_grant() -> Now {
    Now {
        lease: 1.0,
        must: Vec::new(),
        fleet: 0,
        epoch: 0,
        index: 1,
        in_force: None,
        open: None,
        highest: 0,
        maps: false,
        voters: Vec::new(),
        voting: 0,
        documents: Vec::new(),
        done: Vec::new(),
        debts: DebtsTold::default(),
        limits: None,
        leader: text("n1"),
        run: 9,
        heard: 0.75,
    }
}

fn full_grant(step: Step) -> Now {
    let (one, two) = (version(1, Some(map(1, false))), full_version(2));
    let parts = BTreeMap::from([(text("cold"), 50_000)]);
    Now {
        must: vec![text("omens")],
        fleet: 77,
        epoch: 3,
        index: 40_000,
        in_force: Some((1, one.digest())),
        open: Some(Open { number: 2, digest: two.digest(), step }),
        highest: 2,
        maps: true,
        voters: vec![named("n1", None), named("n2", Some("10.0.0.2:7000"))],
        voting: 5,
        documents: vec![Arc::new(one), Arc::new(two)],
        done: vec![(0, text("cold1")), (3, text("s3b"))],
        debts: some_debts(step == Step::Joint),
        limits: Some(Parts { generation: 8, floor: 50_000, counted: true, shrunk: 6, parts }),
        ..first_grant()
    }
}

fn reply(answer: Answer) -> Told {
    Told { id: 7, incarnation: 2, sent: 0.5, answer }
}

#[test]
fn versions() {
    let draft = Version { follows: None, stage: None, ..version(1, None) };
    for (name, version) in [
        ("version-bare", draft),
        ("version-map", version(3, Some(map(3, false)))),
        ("version-full", full_version(2)),
    ] {
        let stored = golden(name, &version.packed());
        let read = Version::unpacked(&stored).unwrap();
        assert_eq!(read, version, "{name}");
        assert_eq!(read.packed(), stored, "{name}");
        golden(&format!("{name}.digest"), version.digest().as_bytes());
        // The operator's file has the parts by name.
        let name = format!("{name}.json");
        let stored = golden(&name, &serde_json::to_vec_pretty(&version).unwrap());
        assert_eq!(again_json::<Version>(&stored), stored, "{name}");
    }
}

#[test]
fn operators_documents() {
    let voting = Voting {
        number: 4,
        voters: vec![named("n1", None), named("n2", Some("10.0.0.2:7000"))],
        who: text("ann"),
        why: text("a test"),
        at: 1_700_000_000.0,
    };
    let stored = golden("voting.json", &serde_json::to_vec_pretty(&voting).unwrap());
    assert_eq!(again_json::<Voting>(&stored), stored);
    let word = Recovery { folder: 5, last: 60, lost: vec![text("n2")], highest: 3, word: text(WORD) };
    let stored = golden("recovery.json", &serde_json::to_vec_pretty(&word).unwrap());
    assert_eq!(again_json::<Recovery>(&stored), stored);
}

#[test]
fn lease_requests() {
    for (name, request) in [("request-bare", bare_request()), ("request-full", full_request())] {
        let stored = golden(name, &request.bytes());
        let read = Ask::of(&stored).unwrap();
        assert_eq!(read, request, "{name}");
        assert_eq!(read.bytes(), stored, "{name}");
    }
}

#[test]
fn lease_replies() {
    let others = vec![named("n2", None), named("n3", Some("10.0.0.3:7000"))];
    for (name, answer) in [
        ("reply-no-leader", Answer::NoLeader),
        ("reply-no-voter", Answer::NoVoter(others)),
        ("reply-granted-first", Answer::Granted(Box::new(first_grant()))),
        ("reply-granted-joint", Answer::Granted(Box::new(full_grant(Step::Joint)))),
        ("reply-granted-staged", Answer::Granted(Box::new(full_grant(Step::Staged(0.25))))),
        ("reply-granted-returning", Answer::Granted(Box::new(full_grant(Step::Returning)))),
    ] {
        let told = reply(answer);
        let stored = golden(name, &told.bytes());
        let read = Told::of(&stored).unwrap();
        assert_eq!(read, told, "{name}");
        assert_eq!(read.bytes(), stored, "{name}");
    }
}

#[test]
fn what_a_broker_keeps() {
    let mut member = Member::new(terms("b1", 3), None, 0.0, 5);
    let empty = golden("kept-empty", &member.kept().bytes());
    assert_eq!(Kept::of(&empty).unwrap().bytes(), empty);
    let (_, ask) = member.tick(0.0).unwrap();
    let two = Version { more: vec![full_version(2).more[0].clone()], ..full_version(2) };
    let grant = Now {
        must: Vec::new(),
        open: Some(Open { number: 2, digest: two.digest(), step: Step::Joint }),
        documents: vec![Arc::new(version(1, Some(map(1, false)))), Arc::new(two)],
        done: vec![(0, text("s0b"))],
        ..full_grant(Step::Joint)
    };
    let answer = Answer::Granted(Box::new(grant));
    member
        .told(0.1, "n1", Told { id: ask.id, incarnation: ask.incarnation, sent: ask.sent, answer })
        .unwrap();
    let stored = golden("kept-full", &member.kept().bytes());
    let read = Kept::of(&stored).unwrap();
    assert_eq!(read, member.kept());
    assert_eq!(read.bytes(), stored);
}
