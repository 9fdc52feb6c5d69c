//! What voters write and send: one alone that enters each kind of entry, and a few that come, go and are brought back.
//! The same seeds give the same bytes, so whole runs are compared.

use std::collections::{BTreeMap, VecDeque};

use dunepond_consensus::*;
use dunepond_quota::{QuotaEntry as Limit, QuotaShare};
use dunepond_rebalance::{
    Action, ActionBatch, CommittedEntry as Move, Operation, PauseReason, Plan, ResumeTrigger,
    Step as PlanStep, StepKind, StepLimits, order_steps,
};
use dunepond_settlement::{SettlementEntry as Debt, ShareRelease, StartedFill};
use dunepond_simulation::fixtures::{config_version, consensus_config, settlement, shard_map};
use protobuf::Message as _;
use raft::eraftpb::{Entry as LogEntry, Message, Snapshot};
use serde::{Deserialize, Serialize};

use super::documents::{allot, bounds, full_version, named, text};
use super::{MARK, again, document, framed, golden, unframed};

const TURN: f64 = 0.025;

/// What stands in an entry of the log.
#[derive(Serialize, Deserialize)]
enum Item {
    Entry(Command),
    Terms(ConsensusConfig),
    Stage { number: u64 },
    Returned { number: u64 },
    Seat { voter: String, seat: VoterSlot },
    Voted(Voted),
    Calm { epoch: u64 },
}

#[derive(Serialize, Deserialize)]
struct Voted {
    number: u64,
    joins: Option<(String, VoterSlot)>,
    leaves: Option<(String, Option<u64>)>,
}

/// A record of the journal: the order of the parts is its form.
#[derive(Serialize, Deserialize)]
struct Record {
    folder: Option<(String, u64, u64, u64)>,
    hard: Option<Vec<u8>>,
    entries: Vec<(u64, u64, Vec<u8>)>,
    snapshot: Option<Vec<u8>>,
    replaces: bool,
}

/// Reads each record and all documents in it, writes them again, and says which kinds of items there were.
fn check_records(name: &str, stored: &[u8]) -> BTreeMap<String, usize> {
    let (records, mut kinds) = (unframed(stored), BTreeMap::new());
    for bytes in &records {
        let save: WriteBatch = postcard::from_bytes(bytes).unwrap();
        assert!(save.encode() == *bytes, "{name}: a record");
        let record: Record = postcard::from_bytes(bytes).unwrap();
        assert!(postcard::to_stdvec(&record).unwrap() == *bytes, "{name}: a record's parts");
        for (_, _, entry) in &record.entries {
            let entry = LogEntry::parse_from_bytes(entry).unwrap();
            for item in [&entry.data, &entry.context].into_iter().filter(|item| item.starts_with(&MARK)) {
                assert!(again::<Item>(item) == item[..], "{name}: an item");
                *kinds.entry(kind(item)).or_default() += 1;
            }
        }
        if let Some(snapshot) = &record.snapshot {
            let snapshot = Snapshot::parse_from_bytes(snapshot).unwrap();
            assert!(
                again::<ReplicatedState>(snapshot.get_data()) == snapshot.get_data(),
                "{name}: a snapshot"
            );
        }
    }
    let mut saved = StoredVoter::new();
    records.iter().for_each(|record| saved.apply_record(record).unwrap());
    kinds
}

/// The names of an item's variants, outermost first.
fn kind(item: &[u8]) -> String {
    let value: ciborium::Value = ciborium::from_reader(&item[MARK.len()..]).unwrap();
    let (mut names, mut value) = (Vec::new(), &value);
    while let ciborium::Value::Map(parts) = value
        && let [(ciborium::Value::Text(name), inner)] = &parts[..]
        && name.starts_with(char::is_uppercase)
    {
        names.push(name.clone());
        value = inner;
    }
    names.join(" ")
}

struct Alone {
    voter: Voter,
    now: f64,
    records: Vec<Vec<u8>>,
    outcomes: Vec<String>,
}

impl Alone {
    fn take(&mut self, orders: Effects) {
        if !orders.write_batch.is_empty() {
            self.records.push(orders.write_batch.encode());
        }
        self.outcomes.extend(orders.outcomes.iter().map(|outcome| match &outcome.result {
            Ok(_) => text("applied"),
            Err(why) => format!("{}: {why}", outcome.index),
        }));
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / TURN) as usize {
            self.now += TURN;
            let orders = self.voter.tick(self.now);
            self.take(orders);
        }
    }

    /// Enters it; it has to apply.
    fn enter(&mut self, entry: Command) {
        let shown = format!("{entry:?}");
        let orders = self.voter.propose(self.now, entry).unwrap_or_else(|why| panic!("{shown}: {why}"));
        self.take(orders);
        self.run(0.2);
    }

    fn propose(&mut self, version: ConfigVersion, seconds: f64) {
        self.enter(Command::Propose(Box::new(version)));
        self.run(seconds);
    }
}

fn states(alone: &Alone, name: &str) {
    let stored = golden(name, &document(alone.voter.state()));
    assert!(again::<ReplicatedState>(&stored) == stored, "{name}");
}

fn enter_versions(alone: &mut Alone) {
    alone.propose(config_version(1, Some(shard_map(1, false))), 3.0);
    let two = ConfigVersion { first_stage_ratio: Some(0.5), ..config_version(2, Some(shard_map(2, true))) };
    alone.propose(two, 0.0);
    states(alone, "state-open");
    let fill = |number| Command::FillCompleted { number, segment: 0, holder: format!("cold{number}") };
    alone.enter(fill(2));
    alone.run(3.0);
    states(alone, "state-staged");
    alone.enter(Command::Activate { number: 2 });
    let more = vec![full_version(3).extensions[0].clone()];
    alone.propose(
        ConfigVersion {
            first_stage_ratio: Some(0.5),
            extensions: more,
            ..config_version(3, Some(shard_map(3, false)))
        },
        3.0,
    );
    alone.enter(Command::Withdraw { number: 3, why: text("a test") });
    states(alone, "state-returning");
    alone.run(3.0);
    alone.propose(config_version(4, Some(shard_map(4, true))), 0.0);
    alone.enter(Command::Withdraw { number: 4, why: text("a test") });
}

fn enter_debts(alone: &mut Alone) {
    let (debtor, creditor) = (text("north"), text("south"));
    let release = ShareRelease { number: 1, debtor, creditor, broker: text("b1"), bytes: 40 };
    let started = StartedFill {
        id: text("2/5/s0a"),
        segment: 5,
        holder: text("s0a"),
        source: text("s0b"),
        from: text("south"),
        to: text("north"),
        bytes: 4096,
        rate: 65_536,
        settles: Some(settlement("5")),
        at: 1_700_000_000,
    };
    for entry in [allot(), Debt::Release(release), Debt::Settle(settlement("6")), Debt::StartFill(started)] {
        alone.enter(Command::Settlement(entry));
    }
}

fn enter_limits(alone: &mut Alone) {
    let part = |units| QuotaShare { broker: text("b1"), quota: text("cold"), units };
    for entry in [
        Limit::Configure(bounds()),
        Limit::AddBroker { broker: text("b1") },
        Limit::AddBroker { broker: text("b2") },
        Limit::SetShares { shares: vec![part(9000), QuotaShare { broker: text("b2"), ..part(70) }] },
        Limit::SetShares { shares: vec![part(100)] },
    ] {
        alone.enter(Command::Quota(entry));
    }
    states(alone, "state-limits");
    // The leader says that the larger part is over, and may be the only one to say so.
    alone.run(4.0);
    alone.enter(Command::Quota(Limit::AddBroker { broker: text("b3") }));
    alone.enter(Command::Quota(Limit::RemoveBroker { broker: text("b3") }));
}

fn plan(id: &str) -> Plan {
    Plan {
        id: text(id),
        proposed_by: text("ann"),
        reason: text("a test"),
        desired_state: Default::default(),
        ordered: false,
        operations: vec![
            Operation::Split { segment: 0, split_keys: vec![1 << 40], into: vec![100, 101] },
            Operation::Move { segment: 1, from: text("s1a"), to: text("s2a") },
            Operation::ChangeOwner { segment: 3, to: text("s3a") },
        ],
        nodes: BTreeMap::new(),
        replica_groups: BTreeMap::new(),
        partners: BTreeMap::new(),
        sizes: Default::default(),
    }
}

/// Makes the plan's owners those of the map in force.
fn fitting(alone: &Alone, id: &str) -> (Plan, Vec<PlanStep>) {
    let proof = alone.voter.state().map_proof().unwrap().clone();
    let mut plan = plan(id);
    let owner = |segment: u64| proof.segment(segment).unwrap().owner.clone();
    let other = if owner(3) == "s3a" { "s3b" } else { "s3a" };
    plan.operations[1] = Operation::Move { segment: 1, from: owner(1), to: text("s2a") };
    plan.operations[2] = Operation::ChangeOwner { segment: 3, to: text(other) };
    let steps =
        order_steps(&plan, &proof, StepLimits { max_actions: 2, max_changed_ratio: 1.0 }, |_| false).unwrap();
    (plan, steps)
}

fn enter_moves(alone: &mut Alone) {
    let (taken, steps) = fitting(alone, "p1");
    let plan = || text("p1");
    let batches: Vec<&ActionBatch> =
        steps.iter().flat_map(|step| step.rollback.iter().chain([&step.forward])).collect();
    assert!(batches.iter().any(|batch| batch.kind == StepKind::Fence));
    let mut actions = batches.iter().flat_map(|batch| &batch.actions);
    assert!(actions.any(|planned| matches!(planned.action, Action::Switch { .. })));
    alone.enter(Command::Rebalance(Move::Accepted { plan: Box::new(taken), steps, max_actions: 2 }));
    for reason in
        [PauseReason::Overload { overloaded_percent: 40 }, PauseReason::Operator { name: text("ann") }]
    {
        alone.enter(Command::Rebalance(Move::Paused { plan: plan(), reason }));
    }
    alone.enter(Command::Rebalance(Move::Resumed {
        plan: plan(),
        trigger: ResumeTrigger::Operator(text("ann")),
    }));
    let overload = PauseReason::Overload { overloaded_percent: 40 };
    alone.enter(Command::Rebalance(Move::Paused { plan: plan(), reason: overload }));
    alone.enter(Command::Rebalance(Move::Resumed { plan: plan(), trigger: ResumeTrigger::LoadNormal(5) }));
    let failed = PauseReason::StepFailed { reason: text("a test") };
    alone.enter(Command::Rebalance(Move::Paused { plan: plan(), reason: failed }));
    alone.enter(Command::Rebalance(Move::Resumed {
        plan: plan(),
        trigger: ResumeTrigger::Operator(text("ann")),
    }));
    let state = alone.voter.state();
    let running = state.rebalance().running.as_ref().unwrap();
    let batch = running.current_batch().unwrap();
    let transition = batch.transition(state.map_proof().unwrap(), running.steps_done).unwrap();
    let (number, digest) = (state.highest_number + 1, text(transition.to().digest()));
    alone.enter(Command::Rebalance(Move::StepStarted { plan: plan(), turn: 0, number, digest }));
    states(alone, "state-plan");
    let (withdrawn_by, reason) = (text("ann"), text("a test"));
    alone.enter(Command::Rebalance(Move::Withdrawn { plan: plan(), withdrawn_by, reason }));
}

fn enter_votes(alone: &mut Alone) {
    let vote = |number, voters| {
        let (who, why) = (text("ann"), text("a test"));
        Command::ChangeVoters(Box::new(VoterChange {
            number,
            voters,
            proposed_by: who,
            reason: why,
            proposed_at_unix_seconds: 1_700_000_000.0,
        }))
    };
    alone.enter(vote(1, vec![named("n1", None), named("n2", Some("10.0.0.2:7000"))]));
    states(alone, "state-voting");
    alone.enter(vote(2, vec![named("n1", Some("10.0.0.1:7000"))]));
}

#[test]
fn a_voter_alone_writes_each_kind_of_entry() {
    let open =
        |terms: ConsensusConfig, saved: StoredVoter, now, seed| Voter::open(terms, saved, now, seed).unwrap();
    let voter = open(consensus_config("n1", 1), StoredVoter::new(), 0.0, 31);
    let mut alone = Alone { voter, now: 0.0, records: Vec::new(), outcomes: Vec::new() };
    alone.run(3.0);
    enter_versions(&mut alone);
    enter_debts(&mut alone);
    enter_limits(&mut alone);
    enter_votes(&mut alone);
    enter_moves(&mut alone);
    // Another start, with other terms.
    let mut saved = StoredVoter::new();
    alone.records.iter().for_each(|record| saved.apply_record(record).unwrap());
    alone.voter =
        open(ConsensusConfig { lease_seconds: 0.8, ..consensus_config("n1", 1) }, saved, alone.now, 32);
    alone.run(3.0);
    states(&alone, "state-after");
    let stored = golden("alone.journal", &framed(&alone.records));
    assert_eq!(alone.outcomes.iter().filter(|outcome| *outcome != "applied").collect::<Vec<_>>(), [""; 0]);
    let kinds = check_records("alone.journal", &stored);
    for kind in [
        "Entry Propose",
        "Entry Filled",
        "Entry Confirm",
        "Entry Withdraw",
        "Entry Debt Allot",
        "Entry Debt Release",
        "Entry Debt Settle",
        "Entry Debt Begin",
        "Entry Limit Bounds",
        "Entry Limit Seat",
        "Entry Limit Free",
        "Entry Limit Parts",
        "Entry Limit Settled",
        "Entry Move Taken",
        "Entry Move Begun",
        "Entry Move Paused",
        "Entry Move Resumed",
        "Entry Move Withdrawn",
        "Entry Vote",
        "Stage",
        "Returned",
        "Terms",
        "Seat",
    ] {
        assert!(kinds.contains_key(kind), "no {kind} in {kinds:?}");
    }
    let whole = alone.voter.checkpoint().encode();
    check_records("whole", &framed(&[golden("alone.whole", &whole)]));
    // A later start of this program goes on from the file.
    let mut saved = StoredVoter::new();
    unframed(&stored).iter().for_each(|record| saved.apply_record(record).unwrap());
    let voter = open(consensus_config("n1", 1), saved, 0.0, 33);
    assert!(voter.has_state());
}

/// Voters on a network that loses nothing; each message comes a turn later.
struct Few {
    voters: BTreeMap<String, Voter>,
    records: BTreeMap<String, Vec<Vec<u8>>>,
    now: f64,
    flying: VecDeque<(String, String, Vec<u8>)>,
    /// All messages in their order, and two of each kind.
    all: blake3::Hasher,
    kinds: BTreeMap<String, Vec<Vec<u8>>>,
    told: Vec<LeaseReply>,
}

/// What a message between voters is: the variant, and the library's own kind.
fn message_kind(bytes: &[u8]) -> String {
    let value: ciborium::Value = ciborium::from_reader(&bytes[1 + MARK.len()..]).unwrap();
    let parts = value.into_map().unwrap();
    let body = parts.into_iter().find(|(key, _)| key.as_text() == Some("body")).unwrap().1;
    let (name, inner) = body.into_map().unwrap().remove(0);
    let name = name.into_text().unwrap();
    match inner.as_bytes() {
        Some(bytes) => {
            let message = Message::parse_from_bytes(bytes).unwrap();
            format!("{name} {:?}", message.get_msg_type())
        }
        None => name,
    }
}

impl Few {
    fn start(&mut self, terms: ConsensusConfig, seed: u64) {
        let mut saved = StoredVoter::new();
        let records = self.records.entry(terms.name.clone()).or_default();
        records.iter().for_each(|record| saved.apply_record(record).unwrap());
        let voter = Voter::open(terms.clone(), saved, self.now, seed).unwrap();
        self.voters.insert(terms.name, voter);
    }

    fn take(&mut self, name: &str, orders: Effects) {
        if !orders.write_batch.is_empty() {
            self.records.entry(text(name)).or_default().push(orders.write_batch.encode());
        }
        self.told.extend(orders.replies.into_iter().map(|(_, told)| told));
        for (to, bytes) in orders.messages {
            self.all.update(&bytes);
            let kind = self.kinds.entry(message_kind(&bytes)).or_default();
            if kind.len() < 2 {
                kind.push(bytes.clone());
            }
            self.flying.push_back((text(name), to, bytes));
        }
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / TURN) as usize {
            self.now += TURN;
            let now = self.now;
            for (from, to, bytes) in std::mem::take(&mut self.flying) {
                let Some(voter) = self.voters.get_mut(&to) else { continue };
                // What a voter does not believe changes nothing here.
                if let Ok(orders) = voter.receive(now, &from, &bytes) {
                    self.take(&to, orders);
                }
            }
            for name in self.voters.keys().cloned().collect::<Vec<_>>() {
                let orders = self.voters.get_mut(&name).unwrap().tick(now);
                self.take(&name, orders);
            }
        }
    }

    fn leader(&self) -> String {
        self.voters
            .iter()
            .find(|(_, voter)| voter.is_leader())
            .map(|(name, _)| name.clone())
            .expect("one leads")
    }

    fn propose(&mut self, entry: Command) {
        let (leader, now) = (self.leader(), self.now);
        let orders = self.voters.get_mut(&leader).unwrap().propose(now, entry).unwrap();
        self.take(&leader, orders);
    }

    /// A broker asks each voter for a lease.
    fn ask(&mut self) {
        let mut member = LeaseClient::new(consensus_config("b1", 3), None, self.now, 9);
        let (_, ask) = member.tick(self.now).unwrap();
        for name in self.voters.keys().cloned().collect::<Vec<_>>() {
            let orders =
                self.voters.get_mut(&name).unwrap().handle_lease_request(self.now, "b1", ask.clone());
            self.take(&name, orders);
        }
        self.run(0.5);
    }
}

#[test]
fn a_few_voters_send_and_write_what_they_always_did() {
    let mut few = Few {
        voters: BTreeMap::new(),
        records: BTreeMap::new(),
        now: 0.0,
        flying: VecDeque::new(),
        all: blake3::Hasher::new(),
        kinds: BTreeMap::new(),
        told: Vec::new(),
    };
    (1..=3).for_each(|n| few.start(consensus_config(&format!("n{n}"), 3), n));
    few.run(3.0);
    few.propose(Command::Propose(Box::new(config_version(1, Some(shard_map(1, false))))));
    few.run(3.0);
    few.ask();
    // One starts again, one comes back with an empty folder, one takes the place of another.
    let other = |few: &Few| few.voters.keys().find(|name| **name != few.leader()).cloned().unwrap();
    let again = other(&few);
    few.voters.remove(&again);
    few.run(1.0);
    few.start(consensus_config(&again, 3), 11);
    few.run(3.0);
    let lost = other(&few);
    few.voters.remove(&lost);
    few.records.remove(&lost);
    few.run(1.0);
    few.start(consensus_config(&lost, 3), 12);
    few.run(3.0);
    few.start(
        ConsensusConfig { voters: ["n1", "n2", "n3", "n4"].map(text).into(), ..consensus_config("n4", 3) },
        13,
    );
    let goes = other(&few);
    let stays = |n: &String| *n != goes;
    let voters = ["n1", "n2", "n3", "n4"].map(text).into_iter().filter(stays);
    let voters: Vec<VoterInfo> = voters.map(|name| named(&name, None)).collect();
    let (who, why) = (text("ann"), text("a test"));
    few.propose(Command::ChangeVoters(Box::new(VoterChange {
        number: 1,
        voters,
        proposed_by: who,
        reason: why,
        proposed_at_unix_seconds: 0.0,
    })));
    few.run(4.0);
    few.ask();
    // All but one are lost for good, and the fleet is brought back from that one's folder.
    let stays = few.leader();
    let state = few.voters[&stays].state();
    let names = state.voters.voters.iter().map(|voter| voter.name.clone());
    let lost: Vec<String> = names.filter(|name| *name != stays).collect();
    let highest = state.highest_number;
    few.voters.clear();
    few.flying.clear();
    let mut saved = StoredVoter::new();
    few.records[&stays].iter().for_each(|record| saved.apply_record(record).unwrap());
    let own =
        ConsensusConfig { voters: ["n1", "n2", "n3", "n4"].map(text).into(), ..consensus_config(&stays, 3) };
    let (folder, last) = Voter::open(own.clone(), saved.clone(), few.now, 21).unwrap().recovery_position();
    let word = RecoveryOrder {
        folder_id: folder,
        last_index: last,
        lost_voters: lost,
        highest_number: highest,
        confirmation: text(RECOVERY_CONFIRMATION),
    };
    let voter = Voter::recover(own, saved, &word, few.now, 22).unwrap();
    few.records.get_mut(&stays).unwrap().push(voter.checkpoint().encode());
    few.voters.insert(stays.clone(), voter);
    few.run(6.0);
    assert_eq!((few.voters[&stays].state().epoch, few.voters[&stays].state().leases_suspended), (2, false));

    golden("few.all", few.all.finalize().to_hex().as_bytes());
    let mut seen = Vec::new();
    for (kind, messages) in &few.kinds {
        golden(&format!("message-{}", kind.replace(' ', "-")), &framed(messages));
        seen.push(kind.as_str());
    }
    let wanted = ["Ask", "Heard", "Hello", "Raft MsgAppend", "Raft MsgHeartbeat", "Raft MsgSnapshot", "Told"];
    assert!(wanted.iter().all(|kind| seen.contains(kind)), "{seen:?}");
    assert!(few.told.iter().any(|told| matches!(told.answer, LeaseAnswer::Granted(_))));
    let mut kinds = BTreeMap::new();
    for (name, records) in &few.records {
        let name = format!("few-{name}.journal");
        kinds.extend(check_records(&name, &golden(&name, &framed(records))));
    }
    assert!(["Seat", "Voted", "Calm"].iter().all(|kind| kinds.contains_key(*kind)), "{kinds:?}");
}
