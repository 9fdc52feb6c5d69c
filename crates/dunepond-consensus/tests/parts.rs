//! The parts by themselves: the table, the terms, what a member believes, what may be done at a moment, the errors.

use std::collections::BTreeSet;
use std::mem::discriminant;
use std::sync::Arc;

use dunepond_consensus::*;
use dunepond_settlement::SettlementError;
use dunepond_simulation::fixtures::{config_version, consensus_config, routing_rules, shard_map};
use proptest::prelude::*;
use rstest::rstest;

fn some_rules() -> impl Strategy<Value = RoutingRules> {
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
            )| RoutingRules {
                minimum_shares: least,
                complete_at: whole_at,
                retry_budget_ratio: budget_share,
                retry_budget_min: budget_free,
                drain_grace_seconds: drain_grace,
                slow_start_multiple: cold_multiple,
                max_attempts: dispatch_cap,
                hedging_enabled: second_copies,
                keyed_retries_enabled: repeats,
                max_retry_after_seconds: longest_wait,
            },
        )
}

/// Whether whatever `a` allows `b` allows, too.
fn within(a: &RoutingRules, b: &RoutingRules) -> bool {
    let least = |a: &[f64], b: &[f64]| b.iter().enumerate().all(|(i, b)| a.get(i).is_some_and(|a| a >= b));
    least(&a.minimum_shares, &b.minimum_shares)
        && least(&a.complete_at, &b.complete_at)
        && a.retry_budget_ratio <= b.retry_budget_ratio
        && a.retry_budget_min <= b.retry_budget_min
        && a.drain_grace_seconds <= b.drain_grace_seconds
        && a.slow_start_multiple <= b.slow_start_multiple
        && a.max_attempts <= b.max_attempts
        && a.hedging_enabled <= b.hedging_enabled
        && a.keyed_retries_enabled <= b.keyed_retries_enabled
        && a.max_retry_after_seconds <= b.max_retry_after_seconds
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    #[test]
    fn the_stricter_is_within_both_and_no_stricter_than_needed(a in some_rules(), b in some_rules()) {
        let both = strictest_rules(&a, &b);
        prop_assert!(within(&both, &a) && within(&both, &b));
        prop_assert_eq!(&both, &strictest_rules(&b, &a));
        prop_assert_eq!(&strictest_rules(&a, &a), &a);
        prop_assert_eq!(&strictest_rules(&both, &a), &both);
    }
}

#[rstest]
#[case(|terms: &mut ConsensusConfig| terms.name.clear(), ConsensusConfigError::NoName)]
#[case(|terms: &mut ConsensusConfig| terms.voters.clear(), ConsensusConfigError::NoVoters)]
#[case(|terms: &mut ConsensusConfig| terms.voters.push(String::from("n1")), ConsensusConfigError::DuplicateVoter(String::from("n1")))]
#[case(|terms: &mut ConsensusConfig| terms.lease_seconds = 0.0, ConsensusConfigError::Lease { lease: 0.0, least: 0.2, most: 60.0 })]
#[case(|terms: &mut ConsensusConfig| terms.drift_ratio = 1.0, ConsensusConfigError::Drift { drift: 1.0, most: 0.2 })]
#[case(|terms: &mut ConsensusConfig| terms.longest_query_seconds = 0.0, ConsensusConfigError::LongestTimeout(0.0))]
#[case(|terms: &mut ConsensusConfig| terms.fill_deadline_seconds = f64::INFINITY, ConsensusConfigError::FillsDeadline(f64::INFINITY))]
#[case(|terms: &mut ConsensusConfig| terms.max_changed_ratio = 1.5, ConsensusConfigError::MostChanged(1.5))]
fn terms_that_will_not_do(#[case] spoil: fn(&mut ConsensusConfig), #[case] why: ConsensusConfigError) {
    let mut terms = consensus_config("n1", 3);
    assert_eq!(terms.check(), Ok(()));
    spoil(&mut terms);
    assert_eq!(terms.check(), Err(why.clone()));
    assert!(!why.help().is_empty());
}

#[test]
fn the_bound_is_checked_and_what_would_do_is_named() {
    let mut terms = consensus_config("n1", 3);
    terms.switch_bound_seconds = 1.5;
    let Err(ConsensusConfigError::Bound { bound, wait, lease }) = terms.check() else {
        panic!("1.6 s and drift do not fit")
    };
    assert_eq!((bound, wait), (1.5, terms.quiescence_seconds()));
    assert!(ConsensusConfigError::Bound { bound, wait, lease }.to_string().contains("raise bound to 1.632"));
    assert_eq!(
        ConsensusConfig { switch_bound_seconds: wait, ..terms.clone() }.check(),
        Ok(()),
        "as the one way says"
    );
    assert_eq!(
        ConsensusConfig { lease_seconds: lease - 1e-9, ..terms }.check(),
        Ok(()),
        "and as the other says"
    );
}

/// Index, in force, open; with all documents.
fn now(index: u64, old: Option<&ConfigVersion>, new: Option<(&ConfigVersion, RolloutStep)>) -> LeaseGrant {
    let documents = old.into_iter().chain(new.map(|(version, _)| version)).cloned().map(Arc::new);
    LeaseGrant {
        lease_seconds: 1.0,
        required_parts: Vec::new(),
        fleet_id: 0,
        epoch: 0,
        index,
        active: old.map(|version| (version.number, version.digest())),
        proposed: new.map(|(version, step)| ProposedVersion {
            number: version.number,
            digest: version.digest(),
            step,
        }),
        highest_number: 9,
        maps_enabled: true,
        voters: Vec::new(),
        voters_number: 0,
        documents: documents.collect(),
        completed_fills: Vec::new(),
        settlements: SettlementUpdate::default(),
        quota: None,
        leader: String::from("n2"),
        leader_run: 7,
        received_at: 500.0,
    }
}

fn asked(member: &mut LeaseClient, at: f64) -> LeaseRequest {
    member.tick(at).expect("it is time to ask").1
}

fn answered(member: &mut LeaseClient, at: f64, ask: &LeaseRequest, now: LeaseGrant) -> Result<(), Rejection> {
    let answer = LeaseAnswer::Granted(Box::new(now));
    member.handle_reply(
        at,
        "n2",
        LeaseReply { id: ask.id, incarnation: ask.incarnation, sent_at: ask.sent_at, answer },
    )
}

fn member() -> LeaseClient {
    LeaseClient::new(consensus_config("n1", 3), None, 100.0, 1)
}

#[test]
fn a_lease_counts_from_the_question_and_its_end_is_seen_at_the_act() {
    let (mut member, one) = (member(), config_version(1, Some(shard_map(1, false))));
    let before = member.active_config();
    assert_eq!(
        (before.phase(100.0), before.owner(0, 100.0)),
        (ConfigPhase::Unconfigured, SegmentOwner::Unavailable(1.0))
    );
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.9, &ask, now(5, Some(&one), None)).unwrap();
    let acting = member.active_config();
    assert_eq!(acting.phase(100.99), ConfigPhase::Active(1));
    assert_eq!(acting.owner(0, 100.99), SegmentOwner::Node("s0b"));
    assert_eq!(
        acting.phase(101.0),
        ConfigPhase::LeaseExpired(1),
        "though the answer came a tenth of a second ago"
    );
    assert_eq!(acting.owner(0, 106.0), SegmentOwner::Unavailable(1.0), "after a stand-still");
    assert_eq!(acting.rules(106.0), Some(&one.rules));
    assert_eq!(acting.phase(99.0), ConfigPhase::LeaseExpired(1), "a clock that went back says nothing");
}

#[test]
fn an_answer_that_was_overtaken_or_not_asked_for_is_not_taken() {
    let (one, two) =
        (config_version(1, Some(shard_map(1, false))), config_version(2, Some(shard_map(2, false))));
    let mut member = member();
    let first = asked(&mut member, 100.0);
    let second = asked(&mut member, 100.4);
    answered(&mut member, 100.5, &first, now(6, Some(&one), Some((&two, RolloutStep::Joint)))).unwrap();
    assert_eq!(member.active_config().phase(100.6), ConfigPhase::Joint(1, 2));
    let late = answered(&mut member, 100.6, &second, now(5, Some(&one), None));
    assert_eq!(late, Err(Rejection::StaleReply { said: 5, known: 6 }));
    assert_eq!(member.active_config().phase(100.6), ConfigPhase::Joint(1, 2));
    assert_eq!(
        answered(&mut member, 100.7, &first, now(7, Some(&two), None)),
        Err(Rejection::UnexpectedReply(first.id))
    );
    // Another run of the same broker asked with the same id.
    let third = LeaseRequest { incarnation: 1, ..asked(&mut member, 100.6) };
    assert_eq!(
        answered(&mut member, 100.7, &third, now(7, Some(&two), None)),
        Err(Rejection::UnexpectedReply(third.id))
    );
}

#[test]
fn a_document_is_judged_by_each_adopter_and_a_faulty_one_lets_the_lease_run_out() {
    let one = config_version(1, Some(shard_map(1, false)));
    let mut member = member();
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.1, &ask, now(5, Some(&one), None)).unwrap();
    // Other rules under the digest that was agreed on; a map with a gap; none at all.
    let (mut other, mut gap) =
        (config_version(2, Some(shard_map(2, false))), config_version(2, Some(shard_map(2, false))));
    gap.map.as_mut().unwrap().segments.remove(1);
    gap.map = gap.map.map(dunepond_shard_map::ShardMap::with_digest);
    let mut stale = now(6, Some(&one), Some((&other, RolloutStep::Joint)));
    other.rules = routing_rules(8);
    stale.documents = vec![Arc::new(other)];
    let mut none = now(6, Some(&one), Some((&gap, RolloutStep::Joint)));
    none.documents.clear();
    let ask = asked(&mut member, 100.4);
    assert!(matches!(
        answered(&mut member, 100.5, &ask, stale),
        Err(Rejection::DigestMismatch { number: 2, .. })
    ));
    let ask = asked(&mut member, 100.8);
    assert!(matches!(
        answered(&mut member, 100.9, &ask, now(6, Some(&one), Some((&gap, RolloutStep::Joint)))),
        Err(Rejection::InvalidMap(_))
    ));
    assert_eq!(member.active_config().phase(100.95), ConfigPhase::Active(1));
    let ask = asked(&mut member, 101.3);
    assert_eq!(answered(&mut member, 101.4, &ask, none), Err(Rejection::MissingDocument(2)));
    assert_eq!(
        member.active_config().phase(101.4),
        ConfigPhase::LeaseExpired(1),
        "no lease came of any of them"
    );
}

#[test]
fn a_clock_that_goes_back_or_runs_off_ends_all_trust_in_it() {
    let one = config_version(1, Some(shard_map(1, false)));
    let mut back = member();
    let ask = asked(&mut back, 100.0);
    answered(&mut back, 100.1, &ask, now(5, Some(&one), None)).unwrap();
    back.tick(99.9);
    assert_eq!(back.active_config().phase(100.2), ConfigPhase::LeaseExpired(1));
    assert!(matches!(back.distrust_reason(), Some(Rejection::ClockWentBack { .. })));
    // Ten of its seconds, in which the leader counted eleven: past 1% each.
    let mut slow = member();
    for n in 0..20 {
        let at = 100.0 + 0.5 * f64::from(n);
        let ask = asked(&mut slow, at);
        let heard = LeaseGrant { received_at: 500.0 + 0.55 * f64::from(n), ..now(5, Some(&one), None) };
        let _ = answered(&mut slow, at + 0.01, &ask, heard);
    }
    assert!(
        matches!(slow.distrust_reason(), Some(Rejection::ClockDrift { .. })),
        "{:?}",
        slow.distrust_reason()
    );
    assert_eq!(slow.active_config().phase(109.6), ConfigPhase::LeaseExpired(1));
    // Another leader counts as it does: it may have been the first one's clock.
    let ask = asked(&mut slow, 110.0);
    answered(&mut slow, 110.01, &ask, LeaseGrant { leader: String::from("n3"), ..now(5, Some(&one), None) })
        .unwrap();
    assert_eq!((slow.active_config().phase(110.1), slow.distrust_reason()), (ConfigPhase::Active(1), None));
    let mut fine = member();
    for n in 0..40 {
        let at = 100.0 + 0.5 * f64::from(n);
        let ask = asked(&mut fine, at);
        let heard = LeaseGrant { received_at: 500.0 + 0.509 * f64::from(n), ..now(5, Some(&one), None) };
        answered(&mut fine, at + 0.01, &ask, heard).unwrap();
    }
}

#[test]
fn an_answer_of_before_the_fleet_was_brought_back_or_of_another_fleet_is_not_believed() {
    let one = config_version(1, Some(shard_map(1, false)));
    let of = |fleet, epoch, index| LeaseGrant { fleet_id: fleet, epoch, ..now(index, Some(&one), None) };
    let mut member = member();
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.1, &ask, of(5, 2, 100)).unwrap();
    let later = [(5, 1, Rejection::StaleEpoch { said: 1, known: 2 }), (6, 9, Rejection::OtherFleet)];
    // Also after a restart, which has it from the folder.
    let kept = PersistedState::decode(&member.persisted_state().encode()).unwrap();
    let mut again = LeaseClient::new(consensus_config("n1", 3), Some(kept), 100.2, 2);
    for (n, (fleet, epoch, why)) in later.into_iter().enumerate() {
        let at = 100.4 + 0.4 * n as f64;
        let ask = asked(&mut member, at);
        assert_eq!(answered(&mut member, at, &ask, of(fleet, epoch, 200)), Err(why.clone()));
        let ask = asked(&mut again, at);
        assert_eq!(answered(&mut again, at, &ask, of(fleet, epoch, 200)), Err(why));
    }
    assert_eq!(
        (member.active_config().phase(101.0), again.active_config().phase(101.0)),
        (ConfigPhase::LeaseExpired(1), ConfigPhase::LeaseExpired(1))
    );
}

#[test]
fn what_is_kept_is_known_after_a_restart_without_a_lease() {
    let (one, two) =
        (config_version(1, Some(shard_map(1, false))), config_version(2, Some(shard_map(2, false))));
    let mut member = member();
    let ask = asked(&mut member, 100.0);
    answered(&mut member, 100.1, &ask, now(6, Some(&one), Some((&two, RolloutStep::Joint)))).unwrap();
    let kept = PersistedState::decode(&member.persisted_state().encode()).unwrap();
    let again = LeaseClient::new(consensus_config("n1", 3), Some(kept), 100.2, 2).active_config();
    assert_eq!(again.phase(100.2), ConfigPhase::LeaseExpired(1));
    assert_eq!(again.rules(100.2), Some(&strictest_rules(&one.rules, &two.rules)));
    assert_eq!(again.owner(0, 100.2), SegmentOwner::Unavailable(1.0));
    assert_eq!(
        PersistedState::decode(&[9, 9]),
        Err(ConsensusError::CorruptRecord("the persisted state of a broker"))
    );
}

#[test]
fn without_maps_in_the_terms_a_broker_that_is_cut_off_goes_on() {
    let terms = ConsensusConfig { maps_enabled: false, ..consensus_config("n1", 3) };
    let mut member = LeaseClient::new(terms, None, 100.0, 1);
    assert_eq!(
        member.active_config().owner(0, 100.0),
        SegmentOwner::Unavailable(1.0),
        "it may have been away for long"
    );
    let ask = asked(&mut member, 100.0);
    let one = config_version(1, None);
    answered(&mut member, 100.1, &ask, LeaseGrant { maps_enabled: false, ..now(5, Some(&one), None) })
        .unwrap();
    assert_eq!(
        (member.active_config().phase(102.0), member.active_config().owner(0, 102.0)),
        (ConfigPhase::LeaseExpired(1), SegmentOwner::AnyReplica)
    );
    // Another voter's file has maps: one may come from now on.
    let ask = asked(&mut member, 102.0);
    answered(&mut member, 102.1, &ask, now(6, Some(&one), None)).unwrap();
    assert_eq!(member.active_config().owner(0, 104.0), SegmentOwner::Unavailable(1.0));
}

#[test]
fn every_error_says_what_is_wrong_and_what_to_do() {
    use Rejection::*;
    let text = || String::from("x");
    let fault = dunepond_shard_map::MapFault::NoSegments;
    let refusals = [
        NotLeader(None),
        ChangeOpen { open: 1 },
        WrongNumber { given: 1, expected: 2 },
        WrongBase { given: 1, in_force: 2 },
        InvalidRule { key: "least", value: 2.0, expected: "a share" },
        InvalidStage(2.0),
        InvalidMap(vec![fault; 5]),
        MapsDisabled,
        MapDropped(1),
        OwnerExcluded { segment: 1, owner: text() },
        TooManySegments { changed: 2, of: 4, most: 0.2 },
        NotProposed(1),
        LeaderOnly(1),
        FillsMissing { number: 1, left: 2 },
        FillNotNeeded { number: 1, segment: 2, holder: text() },
        RollingBack(1),
        AlreadySettled(text()),
        AlreadyApplied,
        Settlement(SettlementError::InvalidName { name: text() }),
        Quota(dunepond_quota::QuotaError::NoChange),
        Busy,
        Rebalance(Box::new(dunepond_rebalance::RebalanceError::NoMap)),
        ConfigWhileOpen(1),
        StaleEpoch { said: 1, known: 2 },
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
        DigestMismatch { number: 1, said: text(), is: text() },
        MissingDocument(1),
        StaleReply { said: 1, known: 2 },
        UnexpectedReply(1),
        NoLeader,
        ClockWentBack { from: 2.0, to: 1.0 },
        ClockDrift { here: 1.0, there: 2.0 },
    ];
    // A new variant does not build until it stands here, and then in the list.
    let count = |refusal: &Rejection| match refusal {
        NotLeader(_)
        | ChangeOpen { .. }
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
        | ConfigWhileOpen(_)
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
    assert_eq!(refusals.iter().map(count).max(), Some(refusals.len()));
    let errors = [
        ConsensusError::Config(ConsensusConfigError::NoName),
        ConsensusError::NotAVoter(text()),
        ConsensusError::ForeignFolder { is: text(), name: text() },
        ConsensusError::Recovery(RecoveryError::NoState),
        ConsensusError::StaleEpoch { from: text(), said: 1, known: 2 },
        ConsensusError::OtherFleet { from: text() },
        ConsensusError::CorruptRecord("a write batch"),
        ConsensusError::CorruptLog("a gap"),
        ConsensusError::MalformedMessage(text()),
        ConsensusError::NewerProtocol { from: text(), version: 2, ours: 1 },
        ConsensusError::SenderMismatch { from: text(), says: text() },
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
#[case::empty(&[], |e: &ConsensusError| matches!(e, ConsensusError::MalformedMessage(_)))]
#[case::newer(&[3, 1], |e: &ConsensusError| matches!(e, ConsensusError::NewerProtocol { version: 3, ours: 2, .. }))]
#[case::garbled(&[2, 255, 255, 255], |e: &ConsensusError| matches!(e, ConsensusError::MalformedMessage(_)))]
fn messages_that_are_not_believed(#[case] bytes: &[u8], #[case] as_told: fn(&ConsensusError) -> bool) {
    let mut voter = Voter::open(consensus_config("n1", 3), StoredVoter::new(), 0.0, 1).unwrap();
    assert!(as_told(&voter.receive(0.0, "n2", bytes).unwrap_err()));
}

#[test]
fn a_message_under_anothers_name_or_from_no_voter_is_not_believed() {
    let mut n2 = Voter::open(consensus_config("n2", 3), StoredVoter::new(), 0.0, 2).unwrap();
    let hello = n2.tick(0.1).messages.into_iter().find(|(to, _)| to == "n1").unwrap().1;
    let mut n1 = Voter::open(consensus_config("n1", 3), StoredVoter::new(), 0.0, 1).unwrap();
    assert_eq!(
        n1.receive(0.1, "n3", &hello).unwrap_err(),
        ConsensusError::SenderMismatch { from: String::from("n3"), says: String::from("n2") }
    );
    assert!(n1.receive(0.1, "n2", &hello).is_ok());
    let mut alone = Voter::open(consensus_config("n1", 1), StoredVoter::new(), 0.0, 1).unwrap();
    assert_eq!(alone.receive(0.1, "n2", &hello).unwrap_err(), ConsensusError::NotAVoter(String::from("n2")));
    // A question in another's name is not answered.
    let ask = LeaseRequest {
        id: 1,
        broker: String::from("n9"),
        sent_at: 0.0,
        known_versions: Vec::new(),
        joint_version: None,
        incarnation: 1,
        known_settlements: 0,
        demand: None,
        overloaded: false,
        forwarded: false,
    };
    assert!(alone.handle_lease_request(0.2, "n8", ask).replies.is_empty());
}

#[test]
fn a_folder_of_another_broker_or_that_does_not_read_is_not_opened() {
    let mut voter = Voter::open(consensus_config("n1", 1), StoredVoter::new(), 0.0, 1).unwrap();
    let record = voter.tick(0.1).write_batch.encode();
    let mut saved = StoredVoter::new();
    saved.apply_record(&record).unwrap();
    let other = Voter::open(consensus_config("n2", 2), saved.clone(), 0.0, 1).err().unwrap();
    assert_eq!(other, ConsensusError::ForeignFolder { is: String::from("n1"), name: String::from("n2") });
    assert_eq!(saved.apply_record(&[7]), Err(ConsensusError::CorruptRecord("a write batch")));
    let nobody = ConsensusConfig { name: String::from("n7"), ..consensus_config("n1", 3) };
    assert_eq!(
        Voter::open(nobody, StoredVoter::new(), 0.0, 1).err().unwrap(),
        ConsensusError::NotAVoter(String::from("n7"))
    );
}
