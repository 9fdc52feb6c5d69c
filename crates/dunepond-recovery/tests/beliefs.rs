//! What is believed after a restart, and what is owed.

use dunepond_recovery::ledger::owed;
use dunepond_recovery::*;
use dunepond_routing::{Beliefs, Ledger, NodeBelief, SampleBelief};
use proptest::prelude::*;
use rstest::rstest;

const AT: f64 = 1_000_000.0;

fn at(unix: f64) -> Stamp {
    Stamp { unix, ..Stamp::default() }
}

fn types() -> Vec<String> {
    vec!["find".to_string(), "fix".to_string()]
}

fn node(node: usize) -> Identity {
    Identity { node, name: format!("s-{node}"), dial: format!("127.0.0.1:{}", 9000 + node), started: 500.0 }
}

fn list(count: usize) -> Vec<Identity> {
    (0..count).map(node).collect()
}

fn sample(ago: f64) -> SampleBelief {
    SampleBelief { table_type: 0, sent_ago: ago + 0.2, took: 0.2, ago, served: true, fault: false }
}

fn learned(count: usize) -> Beliefs {
    let samples = |_| (0..8).map(|i| sample(8.0 - i as f64)).collect();
    let nodes = (0..count).map(|node| NodeBelief { node, aside: node == 0, samples: samples(node) });
    Beliefs {
        nodes: nodes.collect(),
        fleet: vec![(0.2, 1.0, 0.1); 64],
        reaped: vec![(1.0, 30.0, true)],
        ease: Some(0.1),
    }
}

fn saved() -> SavedBeliefs {
    SavedBeliefs::decode(&SavedBeliefs::of(at(AT), &types(), &list(8), &learned(8)).encode()).unwrap()
}

#[rstest]
#[case::at_once(0.0, 8)]
#[case::half_a_minute(30.0, 4)]
#[case::a_minute(60.0, 2)]
#[case::long_ago(100.0, 0)]
#[case::hours(7200.0, 0)]
#[case::a_clock_set_a_little(-0.5, 8)]
#[case::a_clock_set_back(-3600.0, 0)]
fn the_older_it_is_the_less_is_believed_and_nothing_in_the_end(#[case] elapsed: f64, #[case] samples: usize) {
    let believed = saved().believe(&at(AT + elapsed), &types(), &list(8));
    let (_, verdict) = &believed.nodes[0];
    if samples == 0 {
        assert_eq!((verdict, &believed.beliefs), (&Verdict::TooOld, &Beliefs::default()));
    } else {
        assert_eq!(*verdict, Verdict::Believed { samples, aside: true });
        // The newest are kept, older by the time that has passed.
        let first = &believed.beliefs.nodes[0].samples[0];
        assert!((first.ago - (samples as f64 + elapsed.max(0.0))).abs() < 1e-9, "{first:?}");
    }
}

/// A file from hours ago names a node that has recovered: nothing is held against it.
#[test]
fn a_node_set_aside_hours_ago_is_not_shunned() {
    let believed = saved().believe(&at(AT + 3.0 * 3600.0), &types(), &list(8));
    assert!(believed.beliefs.nodes.iter().all(|node| !node.aside));
}

#[rstest]
#[case::started(Identity { started: 600.0, ..node(0) }, Verdict::Started)]
#[case::moved(Identity { dial: "127.0.0.1:1".to_string(), ..node(0) }, Verdict::Moved)]
#[case::renamed(Identity { name: "other".to_string(), ..node(0) }, Verdict::Gone)]
fn of_a_node_that_is_another_now_nothing_is_believed(#[case] changed: Identity, #[case] verdict: Verdict) {
    let mut present = list(8);
    present[0] = changed;
    let believed = saved().believe(&at(AT), &types(), &present);
    assert_eq!(believed.nodes[0], ("s-0".to_string(), verdict));
    assert!(!believed.beliefs.nodes.iter().any(|belief| belief.node == 0));
    // And of the others a little less, as the list has changed.
    assert_eq!(believed.weight.same, 7.0 / 8.0);
    assert_eq!(believed.nodes[1].1, Verdict::Believed { samples: 7, aside: false });
}

#[test]
fn before_a_list_with_none_of_the_old_nodes_nothing_is_believed() {
    let present: Vec<_> = (0..8).map(|i| Identity { name: format!("new-{i}"), ..node(i) }).collect();
    let believed = saved().believe(&at(AT), &types(), &present);
    assert_eq!(believed.beliefs, Beliefs::default());
    assert!(believed.nodes.iter().all(|(_, verdict)| *verdict == Verdict::Gone));
}

/// The indices of nodes and table types are the process's own.
#[test]
fn nodes_and_table_types_are_known_by_their_names() {
    let mut present = list(8);
    present.iter_mut().for_each(|identity| identity.node = 7 - identity.node);
    let types = vec!["fix".to_string(), "find".to_string()];
    let believed = saved().believe(&at(AT), &types, &present);
    let first = &believed.beliefs.nodes[0];
    assert_eq!((first.node, first.aside, first.samples[0].table_type), (7, true, 1));
    let without = saved().believe(&at(AT), &types[..1], &present);
    assert!(without.beliefs.nodes.iter().all(|node| node.samples.is_empty()));
}

fn spent() -> Ledger {
    Ledger { further: vec![0.5, 0.1], taken: vec![(0.4, 3.0)], cold: vec![(2, vec![0.3])] }
}

#[test]
fn after_an_orderly_end_exactly_what_was_spent_is_owed() {
    let ended = Entry::decode(&Entry::ended(at(AT), &list(8), &spent()).encode()).unwrap();
    let records = [Entry::Begun { at: at(AT - 9.0) }, ended];
    let expected = Ledger { further: vec![1.5, 1.1], taken: vec![(1.4, 3.0)], cold: vec![(2, vec![1.3])] };
    assert_eq!(owed(&records, true, &at(AT + 1.0), &list(8)), Owed::Exactly(expected));
    // A node that has started since has its room again.
    let mut present = list(8);
    present[2].started = 700.0;
    let Owed::Exactly(ledger) = owed(&records, true, &at(AT + 1.0), &present) else { panic!() };
    assert_eq!(ledger.cold, []);
}

#[rstest]
#[case::crashed(vec![Entry::Begun { at: at(AT) }], true)]
#[case::crashed_after_an_orderly_end(vec![Entry::ended(at(AT), &[], &Ledger::default()), Entry::Begun { at: at(AT) }], true)]
#[case::the_last_may_be_missing(vec![Entry::ended(at(AT), &[], &Ledger::default())], false)]
#[case::nothing_can_be_read(vec![], false)]
#[case::a_clock_set_back(vec![Entry::ended(at(AT + 60.0), &[], &Ledger::default())], true)]
fn where_it_is_not_known_what_was_spent_all_of_it_was(#[case] records: Vec<Entry>, #[case] whole: bool) {
    assert_eq!(owed(&records, whole, &at(AT + 1.0), &list(8)), Owed::All);
}

/// The clock is set hours ahead, or back, between the end and the start: the machine's own tells that a second passed.
#[rstest]
#[case::ahead(7200.0)]
#[case::back(-7200.0)]
fn within_one_start_of_the_machine_a_clock_that_is_set_changes_nothing(#[case] set: f64) {
    let boot = |unix: f64, uptime: f64| Stamp { unix, boot: "b".to_string(), uptime };
    let records = [Entry::ended(boot(AT, 100.0), &list(8), &spent())];
    let Owed::Exactly(ledger) = owed(&records, true, &boot(AT + set, 101.0), &list(8)) else { panic!() };
    assert_eq!(ledger.further, [1.5, 1.1]);
    let saved = SavedBeliefs::of(boot(AT, 100.0), &types(), &list(8), &learned(8));
    assert_eq!(saved.weight(&boot(AT + set, 100.0), &list(8)).weight, 1.0);
    // Of another start only the clock tells.
    let after = Stamp { boot: "c".to_string(), ..boot(AT + set, 1.0) };
    assert_eq!(saved.weight(&after, &list(8)).weight, 0.0);
}

#[test]
fn a_new_folder_owes_nothing() {
    assert_eq!(owed(&[], true, &at(AT), &list(8)), Owed::Exactly(Ledger::default()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// Bytes that are whole as a file may still be anything: no panic, and nothing that is no time.
    #[test]
    fn any_bytes_are_refused_or_read(bytes in prop::collection::vec(any::<u8>(), 0..200), spot in 0..100usize, bits: u8) {
        let mut mangled = saved().encode();
        let place = spot * mangled.len() / 100;
        mangled[place] ^= bits;
        for bytes in [&bytes, &mangled] {
            if let Ok(saved) = SavedBeliefs::decode(bytes) {
                let believed = saved.believe(&at(AT + 1.0), &types(), &list(8));
                let samples = believed.beliefs.nodes.iter().flat_map(|node| &node.samples);
                prop_assert!(samples.into_iter().all(|s| s.ago.is_finite() && s.ago >= 0.0));
            }
            let _ = Entry::decode(bytes);
        }
    }

    /// The longer ago and the more changed, the less: never more than there was, never more than a moment before.
    #[test]
    fn weight_only_falls(elapsed in 0.0..300.0f64, more in 0.0..60.0f64, gone in 0..8usize) {
        let present = list(8 - gone);
        let (then, later) = (saved().weight(&at(AT + elapsed), &present), saved().weight(&at(AT + elapsed + more), &present));
        prop_assert!(later.weight <= then.weight && then.weight <= 1.0);
        prop_assert!(saved().weight(&at(AT + elapsed), &list(8)).weight >= then.weight);
    }
}
