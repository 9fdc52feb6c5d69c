//! What the log answers to "why": each kind of decision has its line, with the word, the limit and what was weighed, and
//! no line is long or broken, whatever names come in.

use dunepond_consensus::{
    Command, ConfigVersion, ConsensusConfig, Effects, Rejection, ReplicatedState, StateChange, StoredVoter,
    Voter,
};
use dunepond_control_plane::explain::{Explanation, MAX_LINE_BYTES, ProposedEntry, Subject};
use dunepond_settlement::{
    Balances, BrokerPartners, CarriedCounts, Fill, FillDemand, Settlement, SettlementLedger,
};
use dunepond_simulation::fleet::{map, terms, version};

/// One voter, alone, whose log holds what is proposed.
struct Fleet {
    voter: Voter,
    now: f64,
    seen: Vec<(u64, StateChange)>,
}

impl Fleet {
    fn new() -> Self {
        let terms = ConsensusConfig { lease_seconds: 0.5, ..terms("n1", 1) };
        let mut fleet = Self {
            voter: Voter::open(terms, StoredVoter::new(), 0.0, 1).unwrap(),
            now: 0.0,
            seen: Vec::new(),
        };
        fleet.run(2.0);
        fleet
    }

    fn take(&mut self, orders: Effects) {
        let done = orders.outcomes.into_iter().filter_map(|o| Some((o.index, o.result.ok()?)));
        self.seen.extend(done);
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / 0.02) as usize {
            self.now += 0.02;
            let orders = self.voter.tick(self.now);
            self.take(orders);
        }
    }

    fn enter(&mut self, entry: Command) {
        let orders = self.voter.propose(self.now, entry).unwrap();
        self.take(orders);
    }

    /// The line of the last entry.
    fn why(&self) -> Explanation {
        let (index, change) = self.seen.last().expect("an entry");
        Explanation::for_change(*index, change, self.voter.state()).expect("a line")
    }

    fn state(&self) -> &ReplicatedState {
        self.voter.state()
    }
}

fn propose(number: u64, cold: bool, word: &str) -> Command {
    let who = word.to_string();
    Command::Propose(Box::new(ConfigVersion {
        proposed_by: who,
        reason: word.to_string(),
        ..version(number, Some(map(number, cold)))
    }))
}

#[test]
fn a_version_names_who_proposed_it_the_wait_and_the_fills_and_then_its_end() {
    let mut fleet = Fleet::new();
    fleet.enter(propose(1, false, "mara"));
    let why = fleet.why();
    assert_eq!((why.subject, why.authority.as_str()), (Subject::Version, "mara: mara"));
    assert!(why.limit.contains("5 s") && why.what.starts_with("1 is proposed"), "{why}");
    fleet.run(3.0);
    assert!(fleet.why().what.starts_with("1 is in force"), "{}", fleet.why());
    fleet.enter(propose(2, true, "ann"));
    assert!(
        fleet.why().alternatives.contains("follows 1") && fleet.why().alternatives.ends_with("1 fills"),
        "{}",
        fleet.why()
    );
    fleet.enter(Command::Withdraw { number: 2, why: String::from("too early") });
    let why = fleet.why();
    assert!(why.what.starts_with("2 is withdrawn") && why.alternatives.contains("too early"), "{why}");
    assert_eq!(why.authority, "ann: ann");
}

#[test]
fn a_fill_that_is_done_tells_what_is_left() {
    let mut fleet = Fleet::new();
    fleet.enter(propose(1, false, "mara"));
    fleet.run(3.0);
    fleet.enter(propose(2, true, "mara"));
    fleet.enter(Command::FillCompleted { number: 2, segment: 0, holder: String::from("cold2") });
    let why = fleet.why();
    assert_eq!(why.subject, Subject::Fill);
    assert!(why.what.contains("2/0/cold2") && why.alternatives.starts_with("0 fills"), "{why}");
}

#[test]
fn a_refusal_names_the_proposer_the_limit_and_what_stands() {
    let mut fleet = Fleet::new();
    let entry = propose(7, false, "mara");
    let asked = ProposedEntry::of(&entry, "n3");
    let refusal = fleet.voter.propose(fleet.now, entry).unwrap_err();
    assert_eq!(refusal, Rejection::WrongNumber { given: 7, expected: 1 });
    let why = Explanation::for_refusal(&asked, &refusal, fleet.state());
    assert_eq!((why.subject, why.what.as_str()), (Subject::Refused, "version 7"));
    assert!(why.authority.contains("mara") && why.authority.ends_with("by n3"), "{why}");
    assert!(why.limit.contains("next number is 1") && why.alternatives.contains("in force 0"), "{why}");
}

fn book() -> Balances {
    let mut book = Balances::new(
        dunepond_settlement::SettlementTerms::default(),
        BrokerPartners::default(),
        SettlementLedger::default(),
    )
    .unwrap();
    let mut counts = CarriedCounts::new();
    counts.record("n1", 1, "south", "north", 700);
    counts.record("n1", 1, "south", "west", 300);
    book.update_counts(0.0, &counts);
    book
}

fn fill(name: &str) -> (Fill, FillDemand) {
    let text = |text: &str| text.to_string();
    let settles = Settlement {
        id: format!("2/0/{name}@fleet"),
        debtor: text("north"),
        creditor: text("south"),
        bytes: 500,
        segment: 0,
        holder: text(name),
        source: text("s1"),
    };
    let fill = Fill {
        id: format!("2/0/{name}"),
        segment: 0,
        holder: text(name),
        source: text("s1"),
        from: text("north"),
        to: text("south"),
        bytes: 1000,
        rate: 65_536.0,
        settles: Some(settles),
    };
    let sources =
        vec![(text("s1"), text("north")), (format!("{name}-2"), text("west")), (text("s3"), text("east"))];
    let need = FillDemand {
        version: 2,
        start: 0,
        segment: 0,
        holder: text(name),
        holder_partner: text("south"),
        sources,
        bytes: 1000,
    };
    (fill, need)
}

#[test]
fn a_fill_names_the_source_what_it_pays_and_the_others() {
    let (fill, need) = fill("cold");
    let why = Explanation::for_fill(&fill, Some(&need), &book());
    assert!(why.what.contains("from s1 of north") && why.authority.starts_with("version 2"), "{why}");
    assert!(why.limit.contains("500 of 1000 bytes paid off"), "{why}");
    assert!(why.alternatives.contains("cold-2 owed 300") && why.alternatives.contains("s3 owed 0"), "{why}");
}

#[test]
fn a_settlement_names_the_fill_and_what_was_seen() {
    let (fill, _) = fill("cold");
    let why = Explanation::for_settlement(fill.settles.as_ref().unwrap(), &book());
    assert_eq!(why.subject, Subject::Settlement);
    assert!(
        why.what.contains("500 bytes that north owed south") && why.authority.starts_with("fleet"),
        "{why}"
    );
    assert!(
        why.limit.contains("700 bytes were seen") && why.alternatives.contains("700 still open"),
        "{why}"
    );
}

#[test]
fn no_name_makes_a_line_long_or_breaks_it() {
    let long = "\n\u{1f98a}x".repeat(100_000);
    let mut fleet = Fleet::new();
    let entry = propose(3, false, &long);
    let asked = ProposedEntry::of(&entry, &long);
    let refusal = fleet.voter.propose(fleet.now, entry).unwrap_err();
    let mut lines = vec![Explanation::for_refusal(&asked, &refusal, fleet.state())];
    lines.push(Explanation::for_refusal(&asked, &Rejection::AlreadySettled(long.clone()), fleet.state()));
    fleet.enter(propose(1, false, &long));
    lines.push(fleet.why());
    fleet.enter(Command::Withdraw { number: 1, why: long.clone() });
    lines.push(fleet.why());
    let (fill, need) = fill(&long);
    lines.push(Explanation::for_fill(&fill, Some(&need), &book()));
    lines.push(Explanation::for_settlement(fill.settles.as_ref().unwrap(), &book()));
    let done = StateChange::FillCompleted { number: 1, segment: 0, holder: long };
    lines.push(Explanation::for_change(9, &done, fleet.state()).unwrap());
    for line in lines {
        let text = line.to_string();
        assert!(text.len() <= MAX_LINE_BYTES, "{} bytes: {text}", text.len());
        assert!(!text.chars().any(char::is_control), "{text}");
    }
}
