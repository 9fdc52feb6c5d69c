//! Golden tests of simulated fleets: one with a single voter that commits every kind of entry, and a small one whose
//! voters restart, are replaced and are recovered. The same seeds give the same bytes, so everything that the voters
//! write and send is compared.

use std::collections::{BTreeMap, VecDeque};

use dunepond_consensus::*;
use dunepond_quota::{QuotaEntry, QuotaShare};
use dunepond_rebalance::{
    Action, ActionBatch, CommittedEntry, Operation, PauseReason, Plan, ResumeTrigger, Step, StepKind,
    StepLimits, order_steps,
};
use dunepond_settlement::{SettlementEntry, ShareRelease, StartedFill};
use dunepond_simulation::fixtures::{config_version, consensus_config, settlement, shard_map};
use protobuf::Message as _;
use raft::eraftpb::{Entry as RaftEntry, Message, Snapshot};
use serde::{Deserialize, Serialize};

use super::documents::{allotment_entry, full_version, shared_quotas, text, voter_info};
use super::{CBOR_TAG, encode_document, golden, join_records, reencode, split_records};

const TICK_SECONDS: f64 = 0.025;

/// An entry of the log, with the names of the stored format.
#[derive(Serialize, Deserialize)]
enum StoredLogEntry {
    Entry(Command),
    Terms(ConsensusConfig),
    Stage { number: u64 },
    Returned { number: u64 },
    Seat { voter: String, seat: FolderStart },
    Voted(Voted),
    Calm { epoch: u64 },
}

/// A replacement of voters, with the names of the stored format.
#[derive(Serialize, Deserialize)]
struct Voted {
    number: u64,
    joins: Option<(String, FolderStart)>,
    leaves: Option<(String, Option<u64>)>,
}

/// A record of the journal. The format has no names, so only the order of the fields matters.
#[derive(Serialize, Deserialize)]
struct Record {
    folder: Option<(String, u64, u64, u64)>,
    hard_state: Option<Vec<u8>>,
    entries: Vec<(u64, u64, Vec<u8>)>,
    snapshot: Option<Vec<u8>>,
    replaces_entries: bool,
}

/// Asserts that each journal record in `stored`, and each document in it, is the same after decoding and encoding.
/// Returns the number of log entries of each kind.
fn check_records(name: &str, stored: &[u8]) -> BTreeMap<String, usize> {
    let (records, mut kinds) = (split_records(stored), BTreeMap::new());
    for bytes in &records {
        let batch: WriteBatch = postcard::from_bytes(bytes).unwrap();
        assert!(batch.encode() == *bytes, "{name}: a record differs after re-encoding");
        let record: Record = postcard::from_bytes(bytes).unwrap();
        assert!(
            postcard::to_stdvec(&record).unwrap() == *bytes,
            "{name}: a record's fields differ after re-encoding"
        );
        for (_, _, entry) in &record.entries {
            let entry = RaftEntry::parse_from_bytes(entry).unwrap();
            for log_entry in
                [&entry.data, &entry.context].into_iter().filter(|bytes| bytes.starts_with(&CBOR_TAG))
            {
                assert!(
                    reencode::<StoredLogEntry>(log_entry) == log_entry[..],
                    "{name}: a log entry differs after re-encoding"
                );
                *kinds.entry(entry_kind(log_entry)).or_default() += 1;
            }
        }
        if let Some(snapshot) = &record.snapshot {
            let snapshot = Snapshot::parse_from_bytes(snapshot).unwrap();
            assert!(
                reencode::<ReplicatedState>(snapshot.get_data()) == snapshot.get_data(),
                "{name}: a snapshot differs after re-encoding"
            );
        }
    }
    let mut stored_voter = StoredVoter::new();
    records.iter().for_each(|record| stored_voter.apply_record(record).unwrap());
    kinds
}

/// The kind of a log entry: the names of its nested enum variants, outermost first.
fn entry_kind(log_entry: &[u8]) -> String {
    let value: ciborium::Value = ciborium::from_reader(&log_entry[CBOR_TAG.len()..]).unwrap();
    let (mut names, mut value) = (Vec::new(), &value);
    while let ciborium::Value::Map(fields) = value
        && let [(ciborium::Value::Text(name), inner)] = &fields[..]
        && name.starts_with(char::is_uppercase)
    {
        names.push(name.clone());
        value = inner;
    }
    names.join(" ")
}

/// A fleet of one voter, with the journal records that it has written and the outcomes of its entries.
struct SingleVoter {
    voter: Voter,
    now: f64,
    records: Vec<Vec<u8>>,
    outcomes: Vec<String>,
}

impl SingleVoter {
    fn record_effects(&mut self, effects: Effects) {
        if !effects.write_batch.is_empty() {
            self.records.push(effects.write_batch.encode());
        }
        self.outcomes.extend(effects.outcomes.iter().map(|outcome| match &outcome.result {
            Ok(_) => text("applied"),
            Err(reason) => format!("{}: {reason}", outcome.index),
        }));
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / TICK_SECONDS) as usize {
            self.now += TICK_SECONDS;
            let effects = self.voter.tick(self.now);
            self.record_effects(effects);
        }
    }

    /// Commits a command. Panics if the voter rejects it.
    fn commit(&mut self, command: Command) {
        let description = format!("{command:?}");
        let effects =
            self.voter.propose(self.now, command).unwrap_or_else(|reason| panic!("{description}: {reason}"));
        self.record_effects(effects);
        self.run(0.2);
    }

    /// Commits the proposal of a configuration version, and then advances the voter by `seconds`.
    fn propose(&mut self, version: ConfigVersion, seconds: f64) {
        self.commit(Command::Propose(Box::new(version)));
        self.run(seconds);
    }
}

/// Asserts that the voter's replicated state, when encoded, equals the golden file `name`, also after decoding and
/// encoding it.
fn check_state(single: &SingleVoter, name: &str) {
    let stored = golden(name, &encode_document(single.voter.state()));
    assert!(reencode::<ReplicatedState>(&stored) == stored, "{name}");
}

fn commit_versions(single: &mut SingleVoter) {
    single.propose(config_version(1, Some(shard_map(1, false))), 3.0);
    let second =
        ConfigVersion { first_stage_ratio: Some(0.5), ..config_version(2, Some(shard_map(2, true))) };
    single.propose(second, 0.0);
    check_state(single, "state-open");
    let fill_completed =
        |number| Command::FillCompleted { number, segment: 0, holder: format!("cold{number}") };
    single.commit(fill_completed(2));
    single.run(3.0);
    check_state(single, "state-staged");
    single.commit(Command::Activate { number: 2 });
    let extensions = vec![full_version(3).extensions[0].clone()];
    single.propose(
        ConfigVersion {
            first_stage_ratio: Some(0.5),
            extensions,
            ..config_version(3, Some(shard_map(3, false)))
        },
        3.0,
    );
    single.commit(Command::Withdraw { number: 3, why: text("a test") });
    check_state(single, "state-returning");
    single.run(3.0);
    single.propose(config_version(4, Some(shard_map(4, true))), 0.0);
    single.commit(Command::Withdraw { number: 4, why: text("a test") });
}

fn commit_settlements(single: &mut SingleVoter) {
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
    for entry in [
        allotment_entry(),
        SettlementEntry::Release(release),
        SettlementEntry::Settle(settlement("6")),
        SettlementEntry::StartFill(started),
    ] {
        single.commit(Command::Settlement(entry));
    }
}

fn commit_quotas(single: &mut SingleVoter) {
    let share = |units| QuotaShare { broker: text("b1"), quota: text("cold"), units };
    for entry in [
        QuotaEntry::Configure(shared_quotas()),
        QuotaEntry::AddBroker { broker: text("b1") },
        QuotaEntry::AddBroker { broker: text("b2") },
        QuotaEntry::SetShares { shares: vec![share(9000), QuotaShare { broker: text("b2"), ..share(70) }] },
        QuotaEntry::SetShares { shares: vec![share(100)] },
    ] {
        single.commit(Command::Quota(entry));
    }
    check_state(single, "state-limits");
    // The leader itself releases the units taken from the shrunk share; no other proposer may do so.
    single.run(4.0);
    single.commit(Command::Quota(QuotaEntry::AddBroker { broker: text("b3") }));
    single.commit(Command::Quota(QuotaEntry::RemoveBroker { broker: text("b3") }));
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

/// A plan whose operations are valid for the active map, and its steps.
fn plan_for_active_map(single: &SingleVoter, id: &str) -> (Plan, Vec<Step>) {
    let verified_map = single.voter.state().verified_map().unwrap().clone();
    let mut plan = plan(id);
    let owner = |segment: u64| verified_map.segment(segment).unwrap().owner.clone();
    let new_owner = if owner(3) == "s3a" { "s3b" } else { "s3a" };
    plan.operations[1] = Operation::Move { segment: 1, from: owner(1), to: text("s2a") };
    plan.operations[2] = Operation::ChangeOwner { segment: 3, to: text(new_owner) };
    let steps =
        order_steps(&plan, &verified_map, StepLimits { max_actions: 2, max_changed_ratio: 1.0 }, |_| false)
            .unwrap();
    (plan, steps)
}

fn commit_rebalancing(single: &mut SingleVoter) {
    let (accepted, steps) = plan_for_active_map(single, "p1");
    let plan = || text("p1");
    let batches: Vec<&ActionBatch> =
        steps.iter().flat_map(|step| step.rollback.iter().chain([&step.forward])).collect();
    assert!(batches.iter().any(|batch| batch.kind == StepKind::Fence));
    let mut actions = batches.iter().flat_map(|batch| &batch.actions);
    assert!(actions.any(|planned| matches!(planned.action, Action::Switch { .. })));
    single.commit(Command::Rebalance(CommittedEntry::Accepted {
        plan: Box::new(accepted),
        steps,
        max_actions: 2,
    }));
    for reason in
        [PauseReason::Overload { overloaded_percent: 40 }, PauseReason::Operator { name: text("ann") }]
    {
        single.commit(Command::Rebalance(CommittedEntry::Paused { plan: plan(), reason }));
    }
    single.commit(Command::Rebalance(CommittedEntry::Resumed {
        plan: plan(),
        trigger: ResumeTrigger::Operator(text("ann")),
    }));
    let overload = PauseReason::Overload { overloaded_percent: 40 };
    single.commit(Command::Rebalance(CommittedEntry::Paused { plan: plan(), reason: overload }));
    single.commit(Command::Rebalance(CommittedEntry::Resumed {
        plan: plan(),
        trigger: ResumeTrigger::LoadNormal(5),
    }));
    let failed = PauseReason::StepFailed { reason: text("a test") };
    single.commit(Command::Rebalance(CommittedEntry::Paused { plan: plan(), reason: failed }));
    single.commit(Command::Rebalance(CommittedEntry::Resumed {
        plan: plan(),
        trigger: ResumeTrigger::Operator(text("ann")),
    }));
    let state = single.voter.state();
    let running = state.rebalance().running.as_ref().unwrap();
    let batch = running.current_batch().unwrap();
    let transition = batch.transition(state.verified_map().unwrap(), running.steps_done).unwrap();
    let (number, digest) = (state.highest_number + 1, text(transition.to().digest()));
    single.commit(Command::Rebalance(CommittedEntry::StepStarted { plan: plan(), turn: 0, number, digest }));
    check_state(single, "state-plan");
    let (withdrawn_by, reason) = (text("ann"), text("a test"));
    single.commit(Command::Rebalance(CommittedEntry::Withdrawn { plan: plan(), withdrawn_by, reason }));
}

fn commit_voter_changes(single: &mut SingleVoter) {
    let voter_change = |number, voters| {
        let (proposed_by, reason) = (text("ann"), text("a test"));
        Command::ChangeVoters(Box::new(VoterChange {
            number,
            voters,
            proposed_by,
            reason,
            proposed_at_unix_seconds: 1_700_000_000.0,
        }))
    };
    single.commit(voter_change(1, vec![voter_info("n1", None), voter_info("n2", Some("10.0.0.2:7000"))]));
    check_state(single, "state-voting");
    single.commit(voter_change(2, vec![voter_info("n1", Some("10.0.0.1:7000"))]));
}

#[test]
fn single_voter_journal_matches_golden_files() {
    let open = |config: ConsensusConfig, stored: StoredVoter, now, seed| {
        Voter::open(config, stored, now, seed).unwrap()
    };
    let voter = open(consensus_config("n1", 1), StoredVoter::new(), 0.0, 31);
    let mut single = SingleVoter { voter, now: 0.0, records: Vec::new(), outcomes: Vec::new() };
    single.run(3.0);
    commit_versions(&mut single);
    commit_settlements(&mut single);
    commit_quotas(&mut single);
    commit_voter_changes(&mut single);
    commit_rebalancing(&mut single);
    // The voter restarts with another consensus configuration.
    let mut stored_voter = StoredVoter::new();
    single.records.iter().for_each(|record| stored_voter.apply_record(record).unwrap());
    single.voter = open(
        ConsensusConfig { lease_seconds: 0.8, ..consensus_config("n1", 1) },
        stored_voter,
        single.now,
        32,
    );
    single.run(3.0);
    check_state(&single, "state-after");
    let stored = golden("alone.journal", &join_records(&single.records));
    assert_eq!(single.outcomes.iter().filter(|outcome| *outcome != "applied").collect::<Vec<_>>(), [""; 0]);
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
        assert!(kinds.contains_key(kind), "no entry of kind {kind}: {kinds:?}");
    }
    let checkpoint = single.voter.checkpoint().encode();
    check_records("checkpoint", &join_records(&[golden("alone.whole", &checkpoint)]));
    // A voter starts from the journal in the golden file.
    let mut stored_voter = StoredVoter::new();
    split_records(&stored).iter().for_each(|record| stored_voter.apply_record(record).unwrap());
    let voter = open(consensus_config("n1", 1), stored_voter, 0.0, 33);
    assert!(voter.has_state());
}

/// A few voters on a network without loss, in which each message arrives one tick later.
struct SmallFleet {
    voters: BTreeMap<String, Voter>,
    records: BTreeMap<String, Vec<Vec<u8>>>,
    now: f64,
    in_flight: VecDeque<(String, String, Vec<u8>)>,
    /// Hash of all messages in the order in which they were sent.
    message_hash: blake3::Hasher,
    /// The first two messages of each kind.
    messages_by_kind: BTreeMap<String, Vec<Vec<u8>>>,
    lease_replies: Vec<LeaseReply>,
}

/// The kind of a message between voters: the variant of its body, and the raft library's type of the message in it.
fn message_kind(bytes: &[u8]) -> String {
    let value: ciborium::Value = ciborium::from_reader(&bytes[1 + CBOR_TAG.len()..]).unwrap();
    let fields = value.into_map().unwrap();
    let body = fields.into_iter().find(|(key, _)| key.as_text() == Some("body")).unwrap().1;
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

impl SmallFleet {
    fn start(&mut self, config: ConsensusConfig, seed: u64) {
        let mut stored_voter = StoredVoter::new();
        let records = self.records.entry(config.name.clone()).or_default();
        records.iter().for_each(|record| stored_voter.apply_record(record).unwrap());
        let voter = Voter::open(config.clone(), stored_voter, self.now, seed).unwrap();
        self.voters.insert(config.name, voter);
    }

    fn record_effects(&mut self, name: &str, effects: Effects) {
        if !effects.write_batch.is_empty() {
            self.records.entry(text(name)).or_default().push(effects.write_batch.encode());
        }
        self.lease_replies.extend(effects.replies.into_iter().map(|(_, reply)| reply));
        for (to, bytes) in effects.messages {
            self.message_hash.update(&bytes);
            let samples = self.messages_by_kind.entry(message_kind(&bytes)).or_default();
            if samples.len() < 2 {
                samples.push(bytes.clone());
            }
            self.in_flight.push_back((text(name), to, bytes));
        }
    }

    fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds / TICK_SECONDS) as usize {
            self.now += TICK_SECONDS;
            let now = self.now;
            for (from, to, bytes) in std::mem::take(&mut self.in_flight) {
                let Some(voter) = self.voters.get_mut(&to) else { continue };
                // Messages that a voter rejects are ignored.
                if let Ok(effects) = voter.receive(now, &from, &bytes) {
                    self.record_effects(&to, effects);
                }
            }
            for name in self.voters.keys().cloned().collect::<Vec<_>>() {
                let effects = self.voters.get_mut(&name).unwrap().tick(now);
                self.record_effects(&name, effects);
            }
        }
    }

    fn leader(&self) -> String {
        self.voters
            .iter()
            .find(|(_, voter)| voter.is_leader())
            .map(|(name, _)| name.clone())
            .expect("a voter leads")
    }

    fn propose(&mut self, command: Command) {
        let (leader, now) = (self.leader(), self.now);
        let effects = self.voters.get_mut(&leader).unwrap().propose(now, command).unwrap();
        self.record_effects(&leader, effects);
    }

    /// Sends the lease request of a broker to each voter.
    fn request_leases(&mut self) {
        let mut client = LeaseClient::new(consensus_config("b1", 3), None, self.now, 9);
        let (_, request) = client.tick(self.now).unwrap();
        for name in self.voters.keys().cloned().collect::<Vec<_>>() {
            let effects =
                self.voters.get_mut(&name).unwrap().handle_lease_request(self.now, "b1", request.clone());
            self.record_effects(&name, effects);
        }
        self.run(0.5);
    }
}

#[test]
fn small_fleet_messages_and_journals_match_golden_files() {
    let mut fleet = SmallFleet {
        voters: BTreeMap::new(),
        records: BTreeMap::new(),
        now: 0.0,
        in_flight: VecDeque::new(),
        message_hash: blake3::Hasher::new(),
        messages_by_kind: BTreeMap::new(),
        lease_replies: Vec::new(),
    };
    (1..=3).for_each(|n| fleet.start(consensus_config(&format!("n{n}"), 3), n));
    fleet.run(3.0);
    fleet.propose(Command::Propose(Box::new(config_version(1, Some(shard_map(1, false))))));
    fleet.run(3.0);
    fleet.request_leases();
    // One voter restarts, one returns with an empty folder, and one is replaced by another.
    let any_follower =
        |fleet: &SmallFleet| fleet.voters.keys().find(|name| **name != fleet.leader()).cloned().unwrap();
    let restarted = any_follower(&fleet);
    fleet.voters.remove(&restarted);
    fleet.run(1.0);
    fleet.start(consensus_config(&restarted, 3), 11);
    fleet.run(3.0);
    let emptied = any_follower(&fleet);
    fleet.voters.remove(&emptied);
    fleet.records.remove(&emptied);
    fleet.run(1.0);
    fleet.start(consensus_config(&emptied, 3), 12);
    fleet.run(3.0);
    fleet.start(
        ConsensusConfig { voters: ["n1", "n2", "n3", "n4"].map(text).into(), ..consensus_config("n4", 3) },
        13,
    );
    let leaving = any_follower(&fleet);
    let remains = |name: &String| *name != leaving;
    let voters = ["n1", "n2", "n3", "n4"].map(text).into_iter().filter(remains);
    let voters: Vec<VoterInfo> = voters.map(|name| voter_info(&name, None)).collect();
    let (proposed_by, reason) = (text("ann"), text("a test"));
    fleet.propose(Command::ChangeVoters(Box::new(VoterChange {
        number: 1,
        voters,
        proposed_by,
        reason,
        proposed_at_unix_seconds: 0.0,
    })));
    fleet.run(4.0);
    fleet.request_leases();
    // All voters but one are permanently lost, and the fleet is recovered from the folder of the remaining one.
    let survivor = fleet.leader();
    let state = fleet.voters[&survivor].state();
    let names = state.voters.voters.iter().map(|voter| voter.name.clone());
    let lost_voters: Vec<String> = names.filter(|name| *name != survivor).collect();
    let highest_number = state.highest_number;
    fleet.voters.clear();
    fleet.in_flight.clear();
    let mut stored_voter = StoredVoter::new();
    fleet.records[&survivor].iter().for_each(|record| stored_voter.apply_record(record).unwrap());
    let config = ConsensusConfig {
        voters: ["n1", "n2", "n3", "n4"].map(text).into(),
        ..consensus_config(&survivor, 3)
    };
    let (folder_id, last_index) =
        Voter::open(config.clone(), stored_voter.clone(), fleet.now, 21).unwrap().recovery_position();
    let order = RecoveryOrder {
        folder_id,
        last_index,
        lost_voters,
        highest_number,
        confirmation: text(RECOVERY_CONFIRMATION),
    };
    let voter = Voter::recover(config, stored_voter, &order, fleet.now, 22).unwrap();
    fleet.records.get_mut(&survivor).unwrap().push(voter.checkpoint().encode());
    fleet.voters.insert(survivor.clone(), voter);
    fleet.run(6.0);
    assert_eq!(
        (fleet.voters[&survivor].state().epoch, fleet.voters[&survivor].state().leases_suspended),
        (2, false)
    );

    golden("few.all", fleet.message_hash.finalize().to_hex().as_bytes());
    let mut seen_kinds = Vec::new();
    for (kind, messages) in &fleet.messages_by_kind {
        golden(&format!("message-{}", kind.replace(' ', "-")), &join_records(messages));
        seen_kinds.push(kind.as_str());
    }
    let expected_kinds =
        ["Ask", "Heard", "Hello", "Raft MsgAppend", "Raft MsgHeartbeat", "Raft MsgSnapshot", "Told"];
    assert!(expected_kinds.iter().all(|kind| seen_kinds.contains(kind)), "{seen_kinds:?}");
    assert!(fleet.lease_replies.iter().any(|reply| matches!(reply.answer, LeaseAnswer::Granted(_))));
    let mut kinds = BTreeMap::new();
    for (name, records) in &fleet.records {
        let name = format!("few-{name}.journal");
        kinds.extend(check_records(&name, &golden(&name, &join_records(records))));
    }
    assert!(["Seat", "Voted", "Calm"].iter().all(|kind| kinds.contains_key(*kind)), "{kinds:?}");
}
