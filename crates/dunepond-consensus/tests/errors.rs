//! Tests of error messages and their help texts, and of the errors with which a voter rejects messages and data
//! folders.

use std::collections::BTreeSet;
use std::mem::discriminant;

use dunepond_consensus::*;
use dunepond_settlement::SettlementError;
use dunepond_simulation::fixtures::consensus_config;
use rstest::rstest;

#[test]
fn every_error_has_message_and_help() {
    use Rejection::*;
    let text = || String::from("x");
    let fault = dunepond_shard_map::MapFault::NoSegments;
    let rejections = [
        NotLeader(None),
        AlreadyProposed { number: 1 },
        WrongNumber { given: 1, expected: 2 },
        WrongBase { given: 1, in_force: 2 },
        InvalidRule { key: "least", value: 2.0, expected: "a ratio" },
        InvalidStage(2.0),
        InvalidMap(vec![fault; 5]),
        MapsDisabled,
        MapDropped(1),
        OwnerExcluded { segment: 1, owner: text() },
        TooManySegments { changed: 2, total: 4, max_ratio: 0.2 },
        NotProposed(1),
        LeaderOnly(1),
        FillsMissing { number: 1, missing: 2 },
        FillNotNeeded { number: 1, segment: 2, holder: text() },
        RollingBack(1),
        AlreadySettled(text()),
        AlreadyApplied,
        Settlement(SettlementError::InvalidName { name: text() }),
        Quota(dunepond_quota::QuotaError::NoChange),
        Busy,
        Rebalance(Box::new(dunepond_rebalance::RebalanceError::NoMap)),
        ConfigWhileProposed(1),
        StaleEpoch { stated: 1, known: 2 },
        OtherFleet,
        LeasesSuspended,
        UnknownKey { number: 1, key: text() },
        UnknownKeyAtVoter { number: 1, key: text(), voter: text() },
        UnknownEntry,
        UnknownPart(text()),
        NoVoters,
        DuplicateVoter(text()),
        WrongVotersNumber { given: 1, expected: 2 },
        VotersUnchanged,
        VotersPending { number: 1 },
        TooManyVoterChanges { joins: vec![text()], leaves: vec![text()] },
        VotersSuperseded { number: 1 },
        NotAVoter(text()),
        DigestMismatch { number: 1, stated: text(), actual: text() },
        MissingDocument(1),
        StaleReply { stated: 1, known: 2 },
        UnexpectedReply(1),
        NoLeader,
        ClockWentBack { from: 2.0, to: 1.0 },
        ClockDrift { local: 1.0, leader: 2.0 },
    ];
    // If a variant is added to `Rejection`, this match does not compile until it lists the variant. Its largest number
    // is the length that the list of examples must have.
    let count = |rejection: &Rejection| match rejection {
        NotLeader(_)
        | AlreadyProposed { .. }
        | WrongNumber { .. }
        | WrongBase { .. }
        | InvalidRule { .. }
        | InvalidStage(_)
        | InvalidMap(_)
        | MapsDisabled => 8,
        MapDropped(_)
        | OwnerExcluded { .. }
        | TooManySegments { .. }
        | NotProposed(_)
        | LeaderOnly(_)
        | FillsMissing { .. } => 14,
        FillNotNeeded { .. }
        | RollingBack(_)
        | AlreadySettled(_)
        | AlreadyApplied
        | Settlement(_)
        | Quota(_)
        | Rebalance(_)
        | Busy
        | ConfigWhileProposed(_)
        | StaleEpoch { .. }
        | OtherFleet
        | LeasesSuspended
        | UnknownKey { .. }
        | UnknownKeyAtVoter { .. }
        | UnknownEntry
        | UnknownPart(_)
        | NoVoters
        | DuplicateVoter(_)
        | WrongVotersNumber { .. }
        | VotersUnchanged
        | VotersPending { .. }
        | TooManyVoterChanges { .. }
        | VotersSuperseded { .. }
        | NotAVoter(_)
        | DigestMismatch { .. }
        | MissingDocument(_) => 40,
        StaleReply { .. } | UnexpectedReply(_) | NoLeader | ClockWentBack { .. } | ClockDrift { .. } => 45,
    };
    assert_eq!(rejections.iter().map(count).max(), Some(rejections.len()));
    let errors = [
        ConsensusError::Config(ConsensusConfigError::NoName),
        ConsensusError::NotAVoter(text()),
        ConsensusError::ForeignFolder { owner: text(), name: text() },
        ConsensusError::Recovery(RecoveryError::NoState),
        ConsensusError::StaleEpoch { from: text(), stated: 1, known: 2 },
        ConsensusError::OtherFleet { from: text() },
        ConsensusError::CorruptRecord("a write batch"),
        ConsensusError::CorruptLog("a gap"),
        ConsensusError::MalformedMessage(text()),
        ConsensusError::UnsupportedProtocol { from: text(), version: 2, supported: 1 },
        ConsensusError::SenderMismatch { from: text(), stated: text() },
    ];
    let messages = rejections.iter().map(|rejection| (rejection.to_string(), rejection.help()));
    let messages: Vec<_> =
        messages.chain(errors.iter().map(|error| (error.to_string(), error.help()))).collect();
    assert!(messages.iter().all(|(message, help)| message.len() > 8 && help.len() > 15));
    assert_eq!(
        rejections.iter().map(discriminant).collect::<std::collections::HashSet<_>>().len(),
        rejections.len()
    );
    assert_eq!(messages.iter().map(|(message, _)| message).collect::<BTreeSet<_>>().len(), messages.len());
}

#[rstest]
#[case::empty(&[], |error: &ConsensusError| matches!(error, ConsensusError::MalformedMessage(_)))]
#[case::newer_protocol(&[3, 1], |error: &ConsensusError| matches!(error, ConsensusError::UnsupportedProtocol { version: 3, supported: 2, .. }))]
#[case::malformed(&[2, 255, 255, 255], |error: &ConsensusError| matches!(error, ConsensusError::MalformedMessage(_)))]
fn rejects_malformed_message(#[case] bytes: &[u8], #[case] is_expected: fn(&ConsensusError) -> bool) {
    let mut voter = Voter::open(consensus_config("n1", 3), StoredVoter::new(), 0.0, 1).unwrap();
    assert!(is_expected(&voter.receive(0.0, "n2", bytes).unwrap_err()));
}

#[test]
fn rejects_false_sender_and_non_voter() {
    let mut n2 = Voter::open(consensus_config("n2", 3), StoredVoter::new(), 0.0, 2).unwrap();
    let hello = n2.tick(0.1).messages.into_iter().find(|(to, _)| to == "n1").unwrap().1;
    let mut n1 = Voter::open(consensus_config("n1", 3), StoredVoter::new(), 0.0, 1).unwrap();
    assert_eq!(
        n1.receive(0.1, "n3", &hello).unwrap_err(),
        ConsensusError::SenderMismatch { from: String::from("n3"), stated: String::from("n2") }
    );
    assert!(n1.receive(0.1, "n2", &hello).is_ok());
    let mut single_voter = Voter::open(consensus_config("n1", 1), StoredVoter::new(), 0.0, 1).unwrap();
    assert_eq!(
        single_voter.receive(0.1, "n2", &hello).unwrap_err(),
        ConsensusError::NotAVoter(String::from("n2"))
    );
    // A request that states another broker than its sender gets no reply.
    let request = LeaseRequest {
        id: 1,
        broker: String::from("n9"),
        sent_at: 0.0,
        known_versions: Vec::new(),
        joint_version: None,
        run_id: 1,
        known_settlements: 0,
        demand: None,
        overloaded: false,
        forwarded: false,
    };
    assert!(single_voter.handle_lease_request(0.2, "n8", request).replies.is_empty());
}

#[test]
fn rejects_foreign_and_corrupt_folder() {
    let mut voter = Voter::open(consensus_config("n1", 1), StoredVoter::new(), 0.0, 1).unwrap();
    let record = voter.tick(0.1).write_batch.encode();
    let mut stored = StoredVoter::new();
    stored.apply_record(&record).unwrap();
    let other = Voter::open(consensus_config("n2", 2), stored.clone(), 0.0, 1).err().unwrap();
    assert_eq!(other, ConsensusError::ForeignFolder { owner: String::from("n1"), name: String::from("n2") });
    assert_eq!(stored.apply_record(&[7]), Err(ConsensusError::CorruptRecord("a write batch")));
    let non_voter = ConsensusConfig { name: String::from("n7"), ..consensus_config("n1", 3) };
    assert_eq!(
        Voter::open(non_voter, StoredVoter::new(), 0.0, 1).err().unwrap(),
        ConsensusError::NotAVoter(String::from("n7"))
    );
}
