//! Explanations: each kind of decision has a line with who decided it, the limit and the alternatives. Long names and
//! reasons do not exceed the line's maximum length or add line breaks.

use dunepond_consensus::{
    Command, ConfigVersion, ConsensusConfig, Effects, Rejection, ReplicatedState, StateChange, StoredVoter,
    Voter,
};
use dunepond_control_plane::explain::{Explanation, MAX_LINE_BYTES, ProposedEntry, Subject};
use dunepond_settlement::{
    Balances, BrokerPartners, CarriedCounts, Fill, FillDemand, Settlement, SettlementLedger,
};
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};

/// A single voter with a simulated clock, and the changes that its log entries made.
struct SingleVoter {
    voter: Voter,
    /// Current time in seconds.
    now: f64,
    /// Changes of the replicated state, with the index of their log entry.
    changes: Vec<(u64, StateChange)>,
}

impl SingleVoter {
    fn new() -> Self {
        let config = ConsensusConfig { lease_seconds: 0.5, ..consensus_config("n1", 1) };
        let mut single = Self {
            voter: Voter::open(config, StoredVoter::new(), 0.0, 1).unwrap(),
            now: 0.0,
            changes: Vec::new(),
        };
        single.run(2.0);
        single
    }

    fn collect(&mut self, effects: Effects) {
        for outcome in effects.outcomes {
            self.changes.extend(outcome.result.ok().map(|change| (outcome.index, change)));
        }
    }

    /// Advances the clock by `seconds`, with a tick every 20 ms.
    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / 0.02) as usize {
            self.now += 0.02;
            let effects = self.voter.tick(self.now);
            self.collect(effects);
        }
    }

    fn propose(&mut self, command: Command) {
        let effects = self.voter.propose(self.now, command).unwrap();
        self.collect(effects);
    }

    /// The explanation of the last change.
    fn last_explanation(&self) -> Explanation {
        let (index, change) = self.changes.last().expect("a change");
        Explanation::for_change(*index, change, self.voter.state()).expect("an explanation")
    }

    fn state(&self) -> &ReplicatedState {
        self.voter.state()
    }
}

/// The command to propose a configuration version. The version's reason is the same text as its `proposer`. If
/// `unfilled`, the version's map has a replica that must be filled.
fn propose(number: u64, unfilled: bool, proposer: &str) -> Command {
    Command::Propose(Box::new(ConfigVersion {
        proposed_by: proposer.to_string(),
        reason: proposer.to_string(),
        ..config_version(number, Some(shard_map(number, unfilled)))
    }))
}

#[test]
fn version_changes_are_explained() {
    let mut single = SingleVoter::new();
    single.propose(propose(1, false, "mara"));
    let why = single.last_explanation();
    assert_eq!((why.subject, why.authority.as_str()), (Subject::Version, "mara: mara"));
    assert!(why.limit.contains("5 s") && why.what.starts_with("1 is proposed"), "{why}");
    single.run(3.0);
    assert!(single.last_explanation().what.starts_with("1 is in force"), "{}", single.last_explanation());
    single.propose(propose(2, true, "ann"));
    assert!(
        single.last_explanation().alternatives.contains("follows 1")
            && single.last_explanation().alternatives.ends_with("1 fills"),
        "{}",
        single.last_explanation()
    );
    single.propose(Command::Withdraw { number: 2, why: String::from("too early") });
    let why = single.last_explanation();
    assert!(why.what.starts_with("2 is withdrawn") && why.alternatives.contains("too early"), "{why}");
    assert_eq!(why.authority, "ann: ann");
}

#[test]
fn completed_fill_is_explained() {
    let mut single = SingleVoter::new();
    single.propose(propose(1, false, "mara"));
    single.run(3.0);
    single.propose(propose(2, true, "mara"));
    single.propose(Command::FillCompleted { number: 2, segment: 0, holder: String::from("cold2") });
    let why = single.last_explanation();
    assert_eq!(why.subject, Subject::Fill);
    assert!(why.what.contains("2/0/cold2") && why.alternatives.starts_with("0 fills"), "{why}");
}

#[test]
fn refusal_is_explained() {
    let mut single = SingleVoter::new();
    let command = propose(7, false, "mara");
    let entry = ProposedEntry::of(&command, "n3");
    let refusal = single.voter.propose(single.now, command).unwrap_err();
    assert_eq!(refusal, Rejection::WrongNumber { given: 7, expected: 1 });
    let why = Explanation::for_refusal(&entry, &refusal, single.state());
    assert_eq!((why.subject, why.what.as_str()), (Subject::Refused, "version 7"));
    assert!(why.authority.contains("mara") && why.authority.ends_with("by n3"), "{why}");
    assert!(why.limit.contains("next number is 1") && why.alternatives.contains("in force 0"), "{why}");
}

fn balances() -> Balances {
    let mut balances = Balances::new(
        dunepond_settlement::SettlementTerms::default(),
        BrokerPartners::default(),
        SettlementLedger::default(),
    )
    .unwrap();
    let mut counts = CarriedCounts::new();
    counts.record("n1", 1, "south", "north", 700);
    counts.record("n1", 1, "south", "west", 300);
    balances.update_counts(0.0, &counts);
    balances
}

/// A planned fill of this node that pays off 500 bytes, and its demand.
fn fill(node: &str) -> (Fill, FillDemand) {
    let text = |text: &str| text.to_string();
    let settles = Settlement {
        id: format!("2/0/{node}@fleet"),
        debtor: text("north"),
        creditor: text("south"),
        bytes: 500,
        segment: 0,
        holder: text(node),
        source: text("s1"),
    };
    let fill = Fill {
        id: format!("2/0/{node}"),
        segment: 0,
        node: text(node),
        source: text("s1"),
        from: text("north"),
        to: text("south"),
        bytes: 1000,
        rate: 65_536.0,
        settles: Some(settles),
    };
    let sources =
        [(text("s1"), text("north")), (format!("{node}-2"), text("west")), (text("s3"), text("east"))];
    let demand = FillDemand {
        version: 2,
        start: 0,
        segment: 0,
        node: text(node),
        partner: text("south"),
        sources: sources.map(Into::into).into(),
        bytes: 1000,
    };
    (fill, demand)
}

#[test]
fn planned_fill_is_explained() {
    let (fill, demand) = fill("cold");
    let why = Explanation::for_fill(&fill, Some(&demand), &balances());
    assert!(why.what.contains("from s1 of north") && why.authority.starts_with("version 2"), "{why}");
    assert!(why.limit.contains("500 of 1000 bytes paid off"), "{why}");
    assert!(why.alternatives.contains("cold-2 owed 300") && why.alternatives.contains("s3 owed 0"), "{why}");
}

#[test]
fn settlement_is_explained() {
    let (fill, _) = fill("cold");
    let why = Explanation::for_settlement(fill.settles.as_ref().unwrap(), &balances());
    assert_eq!(why.subject, Subject::Settlement);
    assert!(
        why.what.contains("500 bytes that north owed south") && why.authority.starts_with("fleet"),
        "{why}"
    );
    assert!(
        why.limit.contains("700 bytes were carried") && why.alternatives.contains("700 still owed"),
        "{why}"
    );
}

#[test]
fn long_names_are_truncated() {
    let long = "\n\u{1f98a}x".repeat(100_000);
    let mut single = SingleVoter::new();
    let command = propose(3, false, &long);
    let entry = ProposedEntry::of(&command, &long);
    let refusal = single.voter.propose(single.now, command).unwrap_err();
    let mut lines = vec![Explanation::for_refusal(&entry, &refusal, single.state())];
    lines.push(Explanation::for_refusal(&entry, &Rejection::AlreadySettled(long.clone()), single.state()));
    single.propose(propose(1, false, &long));
    lines.push(single.last_explanation());
    single.propose(Command::Withdraw { number: 1, why: long.clone() });
    lines.push(single.last_explanation());
    let (fill, demand) = fill(&long);
    lines.push(Explanation::for_fill(&fill, Some(&demand), &balances()));
    lines.push(Explanation::for_settlement(fill.settles.as_ref().unwrap(), &balances()));
    let completed = StateChange::FillCompleted { number: 1, segment: 0, holder: long };
    lines.push(Explanation::for_change(9, &completed, single.state()).unwrap());
    for line in lines {
        let text = line.to_string();
        assert!(text.len() <= MAX_LINE_BYTES, "{} bytes: {text}", text.len());
        assert!(!text.chars().any(char::is_control), "{text}");
    }
}
