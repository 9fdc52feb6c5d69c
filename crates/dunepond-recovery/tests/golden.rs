//! Stored forms: what earlier builds wrote is read as it was meant, and the same values give the same bytes.

use std::path::Path;

use dunepond_recovery::{Entry, Identity, SavedBeliefs, Stamp, VERSION};
use dunepond_routing::{Beliefs, Ledger, NodeBelief, SampleBelief};

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn stamp() -> Stamp {
    Stamp { unix: 1_790_000_000.25, boot: "6f1c2a".to_string(), uptime: 86_400.5 }
}

fn identities() -> Vec<Identity> {
    let identity = |node, name: &str, dial: &str, started| Identity {
        node,
        name: name.to_string(),
        dial: dial.to_string(),
        started,
    };
    vec![identity(0, "s-1", "10.1.0.1:9000", 0.0), identity(3, "s-2", "10.1.0.2:9000", 1_789_999_000.0)]
}

fn sample(table_type: usize, ago: f64, served: bool, fault: bool) -> SampleBelief {
    SampleBelief { table_type, sent_ago: ago + 0.25, took: 0.25, ago, served, fault }
}

fn table_types() -> Vec<String> {
    vec!["find".to_string(), "fix".to_string()]
}

fn saved_beliefs() -> SavedBeliefs {
    let nodes = vec![
        NodeBelief {
            node: 0,
            aside: true,
            samples: vec![sample(0, 3.0, true, false), sample(1, 2.0, false, true)],
        },
        NodeBelief { node: 3, aside: false, samples: vec![sample(1, 1.0, false, false)] },
        // The list does not name it: it is not kept.
        NodeBelief { node: 9, aside: false, samples: vec![sample(0, 1.0, true, false)] },
    ];
    let beliefs = Beliefs {
        nodes,
        fleet: vec![(0.25, 1.5, 0.125), (0.5, 0.75, 1.0)],
        reaped: vec![(4.0, 30.0, true), (2.0, 15.0, false)],
        ease: Some(0.0625),
    };
    SavedBeliefs::of(stamp(), &table_types(), &identities(), &beliefs)
}

#[test]
fn learned_values_are_written_and_read_as_before() {
    assert_eq!(VERSION, 1);
    let saved = saved_beliefs();
    assert_eq!(saved.encode(), golden("beliefs.bin"));
    let read = SavedBeliefs::decode(&golden("beliefs.bin")).unwrap();
    assert_eq!(read, saved);
    assert_eq!(read.encode(), golden("beliefs.bin"));
    assert_eq!((read.at(), read.table_types(), read.count()), (&stamp(), &table_types()[..], 2));
}

#[test]
fn learned_values_without_a_baseline_are_written_and_read_as_before() {
    let saved = SavedBeliefs::of(Stamp::default(), &[], &[], &Beliefs::default());
    assert_eq!(saved.encode(), golden("beliefs-none.bin"));
    assert_eq!(SavedBeliefs::decode(&golden("beliefs-none.bin")).unwrap(), saved);
}

#[test]
fn records_of_spent_budgets_are_written_and_read_as_before() {
    let ledger = Ledger {
        further: vec![0.5, 2.25],
        taken: vec![(0.5, 1.0), (1.5, 40.0)],
        // The last is not on the list: it is not kept.
        cold: vec![(3, vec![0.25, 0.75]), (9, vec![1.0])],
    };
    let entries = [
        ("begun.bin", Entry::Begun { at: stamp() }),
        ("ended.bin", Entry::ended(stamp(), &identities(), &ledger)),
        ("ended-none.bin", Entry::ended(Stamp::default(), &[], &Ledger::default())),
    ];
    for (name, entry) in entries {
        assert_eq!(entry.encode(), golden(name), "{name}");
        let read = Entry::decode(&golden(name)).unwrap();
        assert_eq!(read, entry, "{name}");
        assert_eq!(read.encode(), golden(name), "{name}");
    }
}
