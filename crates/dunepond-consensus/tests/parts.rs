//! The parts by themselves: the table, the terms, what a member believes, what may be done at a moment, the errors.

use std::collections::BTreeSet;
use std::mem::discriminant;
use std::sync::Arc;

use dunepond_consensus::*;
use dunepond_settlement::DebtError;
use dunepond_simulation::fleet::{map, rules, terms, version};
use proptest::prelude::*;
use rstest::rstest;

fn some_rules() -> impl Strategy<Value = Rules> {
    let share = || 0.0..=1.0f64;
    let lists = (prop::collection::vec(share(), 0..3), prop::collection::vec(share(), 0..3));
    (
        lists,
        share(),
        0.0..9.0f64,
        0.0..9.0f64,
        1.0..9.0f64,
        1usize..9,
        any::<bool>(),
        any::<bool>(),
        0.0..9.0f64,
    )
        .prop_map(
            |(
                (least, whole_at),
                budget_share,
                budget_free,
                drain_grace,
                cold_multiple,
                dispatch_cap,
                second_copies,
                repeats,
                longest_wait,
            )| Rules {
                least,
                whole_at,
                budget_share,
                budget_free,
                drain_grace,
                cold_multiple,
                dispatch_cap,
                second_copies,
                repeats,
                longest_wait,
            },
        )
}

/// Whether whatever `a` allows `b` allows, too.
fn within(a: &Rules, b: &Rules) -> bool {
    let least = |a: &[f64], b: &[f64]| b.iter().enumerate().all(|(i, b)| a.get(i).is_some_and(|a| a >= b));
    least(&a.least, &b.least)
        && least(&a.whole_at, &b.whole_at)
        && a.budget_share <= b.budget_share
        && a.budget_free <= b.budget_free
        && a.drain_grace <= b.drain_grace
        && a.cold_multiple <= b.cold_multiple
        && a.dispatch_cap <= b.dispatch_cap
        && a.second_copies <= b.second_copies
        && a.repeats <= b.repeats
        && a.longest_wait <= b.longest_wait
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn the_stricter_is_within_both_and_no_stricter_than_needed(a in some_rules(), b in some_rules()) {
        let both = stricter(&a, &b);
        prop_assert!(within(&both, &a) && within(&both, &b));
        prop_assert_eq!(&both, &stricter(&b, &a));
        prop_assert_eq!(&stricter(&a, &a), &a);
        prop_assert_eq!(&stricter(&both, &a), &both);
    }
}

#[rstest]
#[case(|terms: &mut Terms| terms.name.clear(), TermsError::NoName)]
#[case(|terms: &mut Terms| terms.voters.clear(), TermsError::NoVoters)]
#[case(|terms: &mut Terms| terms.voters.push(String::from("n1")), TermsError::DoubledVoter(String::from("n1")))]
#[case(|terms: &mut Terms| terms.lease = 0.0, TermsError::Lease { lease: 0.0, least: 0.2, most: 60.0 })]
#[case(|terms: &mut Terms| terms.drift = 1.0, TermsError::Drift { drift: 1.0, most: 0.2 })]
#[case(|terms: &mut Terms| terms.longest_timeout = 0.0, TermsError::LongestTimeout(0.0))]
#[case(|terms: &mut Terms| terms.fills_deadline = f64::INFINITY, TermsError::FillsDeadline(f64::INFINITY))]
#[case(|terms: &mut Terms| terms.most_changed = 1.5, TermsError::MostChanged(1.5))]
fn terms_that_will_not_do(#[case] spoil: fn(&mut Terms), #[case] why: TermsError) {
    let mut terms = terms("n1", 3);
    assert_eq!(terms.check(), Ok(()));
    spoil(&mut terms);
    assert_eq!(terms.check(), Err(why.clone()));
    assert!(!why.help().is_empty());
}

#[test]
fn the_bound_is_checked_and_what_would_do_is_named() {
    let mut terms = terms("n1", 3);
    terms.bound = 1.5;
    let Err(TermsError::Bound { bound, wait, lease }) = terms.check() else {
        panic!("1.6 s and drift do not fit")
    };
    assert_eq!((bound, wait), (1.5, terms.wait()));
    assert!(TermsError::Bound { bound, wait, lease }.to_string().contains("raise bound to 1.632"));
    assert_eq!(Terms { bound: wait, ..terms.clone() }.check(), Ok(()), "as the one way says");
    assert_eq!(Terms { lease: lease - 1e-9, ..terms }.check(), Ok(()), "and as the other says");
}

/// Index, in force, open; with all documents.
fn now(index: u64, old: Option<&Version>, new: Option<(&Version, Step)>) -> Now {
    let documents = old.into_iter().chain(new.map(|(version, _)| version)).cloned().map(Arc::new);
    Now {
        lease: 1.0,
        must: Vec::new(),
        fleet: 0,
        epoch: 0,
        index,
        in_force: old.map(|version| (version.number, version.digest())),
        open: new.map(|(version, step)| Open { number: version.number, digest: version.digest(), step }),
        highest: 9,
        maps: true,
        voters: Vec::new(),
        voting: 0,
        documents: documents.collect(),
        done: Vec::new(),
        debts: DebtsTold::default(),
        limits: None,
        leader: String::from("n2"),
        run: 7,
        heard: 500.0,
    }
}

fn asked(member: &mut Member, at: f64) -> Ask {
    member.tick(at).expect("it is time to ask").1
}

fn answered(member: &mut Member, at: f64, ask: &Ask, now: Now) -> Result<(), Refusal> {
    let answer = Answer::Granted(Box::new(now));
    member.told(at, "n2", Told { id: ask.id, incarnation: ask.incarnation, sent: ask.sent, answer })
}

fn member() -> Member {
    Member::new(terms("n1", 3), None, 100.0, 1)
}

#[test]
fn a_lease_counts_from_the_question_and_its_end_is_seen_at_the_act() {
    let (mut member, one) = (member(), version(1, Some(map(1, false))));
    let before = member.acting();
    assert_eq!((before.at(100.0), before.owner(0, 100.0)), (Phase::None, Owner::Refused(1.0)));
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.9, &ask, now(5, Some(&one), None)).unwrap();
    let acting = member.acting();
    assert_eq!(acting.at(100.99), Phase::Alone(1));
    assert_eq!(acting.owner(0, 100.99), Owner::Only("s0b"));
    assert_eq!(acting.at(101.0), Phase::Cut(1), "though the answer came a tenth of a second ago");
    assert_eq!(acting.owner(0, 106.0), Owner::Refused(1.0), "after a stand-still");
    assert_eq!(acting.rules(106.0), Some(&one.rules));
    assert_eq!(acting.at(99.0), Phase::Cut(1), "a clock that went back says nothing");
}

#[test]
fn an_answer_that_was_overtaken_or_not_asked_for_is_not_taken() {
    let (one, two) = (version(1, Some(map(1, false))), version(2, Some(map(2, false))));
    let mut member = member();
    let first = asked(&mut member, 100.0);
    let second = asked(&mut member, 100.4);
    answered(&mut member, 100.5, &first, now(6, Some(&one), Some((&two, Step::Joint)))).unwrap();
    assert_eq!(member.acting().at(100.6), Phase::Joint(1, 2));
    let late = answered(&mut member, 100.6, &second, now(5, Some(&one), None));
    assert_eq!(late, Err(Refusal::Older { said: 5, known: 6 }));
    assert_eq!(member.acting().at(100.6), Phase::Joint(1, 2));
    assert_eq!(
        answered(&mut member, 100.7, &first, now(7, Some(&two), None)),
        Err(Refusal::Unasked(first.id))
    );
    // Another run of the same broker asked with the same id.
    let third = Ask { incarnation: 1, ..asked(&mut member, 100.6) };
    assert_eq!(
        answered(&mut member, 100.7, &third, now(7, Some(&two), None)),
        Err(Refusal::Unasked(third.id))
    );
}

#[test]
fn a_document_is_judged_by_each_adopter_and_a_faulty_one_lets_the_lease_run_out() {
    let one = version(1, Some(map(1, false)));
    let mut member = member();
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.1, &ask, now(5, Some(&one), None)).unwrap();
    // Other rules under the digest that was agreed on; a map with a gap; none at all.
    let (mut other, mut gap) = (version(2, Some(map(2, false))), version(2, Some(map(2, false))));
    gap.map.as_mut().unwrap().segments.remove(1);
    gap.map = gap.map.map(dunepond_shard_map::Map::sealed);
    let mut stale = now(6, Some(&one), Some((&other, Step::Joint)));
    other.rules = rules(8);
    stale.documents = vec![Arc::new(other)];
    let mut none = now(6, Some(&one), Some((&gap, Step::Joint)));
    none.documents.clear();
    let ask = asked(&mut member, 100.4);
    assert!(matches!(answered(&mut member, 100.5, &ask, stale), Err(Refusal::Digest { number: 2, .. })));
    let ask = asked(&mut member, 100.8);
    assert!(matches!(
        answered(&mut member, 100.9, &ask, now(6, Some(&one), Some((&gap, Step::Joint)))),
        Err(Refusal::Map(_))
    ));
    assert_eq!(member.acting().at(100.95), Phase::Alone(1));
    let ask = asked(&mut member, 101.3);
    assert_eq!(answered(&mut member, 101.4, &ask, none), Err(Refusal::NoDocument(2)));
    assert_eq!(member.acting().at(101.4), Phase::Cut(1), "no lease came of any of them");
}

#[test]
fn a_clock_that_goes_back_or_runs_off_ends_all_trust_in_it() {
    let one = version(1, Some(map(1, false)));
    let mut back = member();
    let ask = asked(&mut back, 100.0);
    answered(&mut back, 100.1, &ask, now(5, Some(&one), None)).unwrap();
    back.tick(99.9);
    assert_eq!(back.acting().at(100.2), Phase::Cut(1));
    assert!(matches!(back.distrusted(), Some(Refusal::ClockBack { .. })));
    // Ten of its seconds, in which the leader counted eleven: past 1% each.
    let mut slow = member();
    for n in 0..20 {
        let at = 100.0 + 0.5 * f64::from(n);
        let ask = asked(&mut slow, at);
        let heard = Now { heard: 500.0 + 0.55 * f64::from(n), ..now(5, Some(&one), None) };
        let _ = answered(&mut slow, at + 0.01, &ask, heard);
    }
    assert!(matches!(slow.distrusted(), Some(Refusal::Drift { .. })), "{:?}", slow.distrusted());
    assert_eq!(slow.acting().at(109.6), Phase::Cut(1));
    // Another leader counts as it does: it may have been the first one's clock.
    let ask = asked(&mut slow, 110.0);
    answered(&mut slow, 110.01, &ask, Now { leader: String::from("n3"), ..now(5, Some(&one), None) })
        .unwrap();
    assert_eq!((slow.acting().at(110.1), slow.distrusted()), (Phase::Alone(1), None));
    let mut fine = member();
    for n in 0..40 {
        let at = 100.0 + 0.5 * f64::from(n);
        let ask = asked(&mut fine, at);
        let heard = Now { heard: 500.0 + 0.509 * f64::from(n), ..now(5, Some(&one), None) };
        answered(&mut fine, at + 0.01, &ask, heard).unwrap();
    }
}

#[test]
fn an_answer_of_before_the_fleet_was_brought_back_or_of_another_fleet_is_not_believed() {
    let one = version(1, Some(map(1, false)));
    let of = |fleet, epoch, index| Now { fleet, epoch, ..now(index, Some(&one), None) };
    let mut member = member();
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.1, &ask, of(5, 2, 100)).unwrap();
    let later = [(5, 1, Refusal::OldEpoch { said: 1, known: 2 }), (6, 9, Refusal::OtherFleet)];
    // Also after a restart, which has it from the folder.
    let kept = Kept::of(&member.kept().bytes()).unwrap();
    let mut again = Member::new(terms("n1", 3), Some(kept), 100.2, 2);
    for (n, (fleet, epoch, why)) in later.into_iter().enumerate() {
        let at = 100.4 + 0.4 * n as f64;
        let ask = asked(&mut member, at);
        assert_eq!(answered(&mut member, at, &ask, of(fleet, epoch, 200)), Err(why.clone()));
        let ask = asked(&mut again, at);
        assert_eq!(answered(&mut again, at, &ask, of(fleet, epoch, 200)), Err(why));
    }
    assert_eq!((member.acting().at(101.0), again.acting().at(101.0)), (Phase::Cut(1), Phase::Cut(1)));
}

#[test]
fn what_is_kept_is_known_after_a_restart_without_a_lease() {
    let (one, two) = (version(1, Some(map(1, false))), version(2, Some(map(2, false))));
    let mut member = member();
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.1, &ask, now(6, Some(&one), Some((&two, Step::Joint)))).unwrap();
    let kept = Kept::of(&member.kept().bytes()).unwrap();
    let again = Member::new(terms("n1", 3), Some(kept), 100.2, 2).acting();
    assert_eq!(again.at(100.2), Phase::Cut(1));
    assert_eq!(again.rules(100.2), Some(&stricter(&one.rules, &two.rules)));
    assert_eq!(again.owner(0, 100.2), Owner::Refused(1.0));
    assert_eq!(Kept::of(&[9, 9]), Err(AgreeError::Record("what a broker keeps")));
}

#[test]
fn without_maps_in_the_terms_a_broker_that_is_cut_off_goes_on() {
    let terms = Terms { maps: false, ..terms("n1", 3) };
    let mut member = Member::new(terms, None, 100.0, 1);
    assert_eq!(member.acting().owner(0, 100.0), Owner::Refused(1.0), "it may have been away for long");
    let ask = asked(&mut member, 100.0);
    let one = version(1, None);
    answered(&mut member, 100.1, &ask, Now { maps: false, ..now(5, Some(&one), None) }).unwrap();
    assert_eq!((member.acting().at(102.0), member.acting().owner(0, 102.0)), (Phase::Cut(1), Owner::Free));
    // Another voter's file has maps: one may come from now on.
    let ask = asked(&mut member, 102.0);
    answered(&mut member, 102.1, &ask, now(6, Some(&one), None)).unwrap();
    assert_eq!(member.acting().owner(0, 104.0), Owner::Refused(1.0));
}

#[test]
fn every_error_says_what_is_wrong_and_what_to_do() {
    use Refusal::*;
    let text = || String::from("x");
    let fault = dunepond_shard_map::Fault::NoSegments;
    let refusals = [
        NotLeader(None),
        Open { open: 1 },
        Number { given: 1, expected: 2 },
        Follows { given: 1, in_force: 2 },
        Rules { key: "least", value: 2.0, expected: "a share" },
        Stage(2.0),
        Map(vec![fault; 5]),
        MapsOff,
        MapDropped(1),
        OwnerLeaves { segment: 1, owner: text() },
        TooMany { changed: 2, of: 4, most: 0.2 },
        NotOpen(1),
        LeaderOnly(1),
        Unfilled { number: 1, left: 2 },
        NotNeeded { number: 1, segment: 2, holder: text() },
        Returning(1),
        Settled(text()),
        Known,
        Debt(DebtError::Name { name: text() }),
        Limit(dunepond_quota::LimitError::Nothing),
        Busy,
        Move(Box::new(dunepond_rebalance::MoveError::NoMap)),
        TermsWhileOpen(1),
        OldEpoch { said: 1, known: 2 },
        OtherFleet,
        Quiet,
        NotUnderstood { number: 1, key: text() },
        NotUnderstoodAt { number: 1, key: text(), voter: text() },
        UnknownEntry,
        UnknownPart(text()),
        NoVoters,
        VoterTwice(text()),
        VotersNumber { given: 1, expected: 2 },
        VotersSame,
        VotersWait { number: 1 },
        VotersAtOnce { joins: vec![text()], leaves: vec![text()] },
        VotersPassed { number: 1 },
        VotesNot(text()),
        Digest { number: 1, said: text(), is: text() },
        NoDocument(1),
        Older { said: 1, known: 2 },
        Unasked(1),
        NoLeader,
        ClockBack { from: 2.0, to: 1.0 },
        Drift { here: 1.0, there: 2.0 },
    ];
    // A new variant does not build until it stands here, and then in the list.
    let count = |refusal: &Refusal| match refusal {
        NotLeader(_)
        | Open { .. }
        | Number { .. }
        | Follows { .. }
        | Rules { .. }
        | Stage(_)
        | Map(_)
        | MapsOff => 8,
        MapDropped(_)
        | OwnerLeaves { .. }
        | TooMany { .. }
        | NotOpen(_)
        | LeaderOnly(_)
        | Unfilled { .. } => 14,
        NotNeeded { .. }
        | Returning(_)
        | Settled(_)
        | Known
        | Debt(_)
        | Limit(_)
        | Move(_)
        | Busy
        | TermsWhileOpen(_)
        | OldEpoch { .. }
        | OtherFleet
        | Quiet
        | NotUnderstood { .. }
        | NotUnderstoodAt { .. }
        | UnknownEntry
        | UnknownPart(_)
        | NoVoters
        | VoterTwice(_)
        | VotersNumber { .. }
        | VotersSame
        | VotersWait { .. }
        | VotersAtOnce { .. }
        | VotersPassed { .. }
        | VotesNot(_)
        | Digest { .. }
        | NoDocument(_) => 40,
        Older { .. } | Unasked(_) | NoLeader | ClockBack { .. } | Drift { .. } => 45,
    };
    assert_eq!(refusals.iter().map(count).max(), Some(refusals.len()));
    let errors = [
        AgreeError::Terms(TermsError::NoName),
        AgreeError::NoVoter(text()),
        AgreeError::OthersFolder { is: text(), name: text() },
        AgreeError::Recovery(RecoveryError::Nothing),
        AgreeError::OldEpoch { from: text(), said: 1, known: 2 },
        AgreeError::OtherFleet { from: text() },
        AgreeError::Record("a save"),
        AgreeError::Log("a gap"),
        AgreeError::Garbled(text()),
        AgreeError::Newer { from: text(), version: 2, ours: 1 },
        AgreeError::OthersName { from: text(), says: text() },
    ];
    let said = refusals.iter().map(|r| (r.to_string(), r.help()));
    let said: Vec<_> = said.chain(errors.iter().map(|e| (e.to_string(), e.help()))).collect();
    assert!(said.iter().all(|(what, help)| what.len() > 8 && help.len() > 15));
    assert_eq!(
        refusals.iter().map(discriminant).collect::<std::collections::HashSet<_>>().len(),
        refusals.len()
    );
    assert_eq!(said.iter().map(|(what, _)| what).collect::<BTreeSet<_>>().len(), said.len());
}

#[rstest]
#[case::empty(&[], |e: &AgreeError| matches!(e, AgreeError::Garbled(_)))]
#[case::newer(&[3, 1], |e: &AgreeError| matches!(e, AgreeError::Newer { version: 3, ours: 2, .. }))]
#[case::garbled(&[2, 255, 255, 255], |e: &AgreeError| matches!(e, AgreeError::Garbled(_)))]
fn messages_that_are_not_believed(#[case] bytes: &[u8], #[case] as_told: fn(&AgreeError) -> bool) {
    let mut voter = Voter::open(terms("n1", 3), Saved::new(), 0.0, 1).unwrap();
    assert!(as_told(&voter.received(0.0, "n2", bytes).unwrap_err()));
}

#[test]
fn a_message_under_anothers_name_or_from_no_voter_is_not_believed() {
    let mut n2 = Voter::open(terms("n2", 3), Saved::new(), 0.0, 2).unwrap();
    let hello = n2.tick(0.1).send.into_iter().find(|(to, _)| to == "n1").unwrap().1;
    let mut n1 = Voter::open(terms("n1", 3), Saved::new(), 0.0, 1).unwrap();
    assert_eq!(
        n1.received(0.1, "n3", &hello).unwrap_err(),
        AgreeError::OthersName { from: String::from("n3"), says: String::from("n2") }
    );
    assert!(n1.received(0.1, "n2", &hello).is_ok());
    let mut alone = Voter::open(terms("n1", 1), Saved::new(), 0.0, 1).unwrap();
    assert_eq!(alone.received(0.1, "n2", &hello).unwrap_err(), AgreeError::NoVoter(String::from("n2")));
    // A question in another's name is not answered.
    let ask = Ask {
        id: 1,
        broker: String::from("n9"),
        sent: 0.0,
        knows: Vec::new(),
        joint: None,
        incarnation: 1,
        debts: 0,
        limits: None,
        pressed: false,
        passed: false,
    };
    assert!(alone.asked(0.2, "n8", ask).told.is_empty());
}

#[test]
fn a_folder_of_another_broker_or_that_does_not_read_is_not_opened() {
    let mut voter = Voter::open(terms("n1", 1), Saved::new(), 0.0, 1).unwrap();
    let record = voter.tick(0.1).save.bytes();
    let mut saved = Saved::new();
    saved.take(&record).unwrap();
    let other = Voter::open(terms("n2", 2), saved.clone(), 0.0, 1).err().unwrap();
    assert_eq!(other, AgreeError::OthersFolder { is: String::from("n1"), name: String::from("n2") });
    assert_eq!(saved.take(&[7]), Err(AgreeError::Record("a save")));
    let nobody = Terms { name: String::from("n7"), ..terms("n1", 3) };
    assert_eq!(
        Voter::open(nobody, Saved::new(), 0.0, 1).err().unwrap(),
        AgreeError::NoVoter(String::from("n7"))
    );
}
