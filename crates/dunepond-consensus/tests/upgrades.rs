//! Old and new programs: documents of format 1, and what a later program may add.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};
use dunepond_simulation::fleet::Fleet;

/// Written by the program of commit 63ed26b: one voter's journal (520 settlements, version 1 in force, 2 open), the
/// version below with its digest, and what a broker kept.
const JOURNAL: &[u8] = include_bytes!("data/format-1/journal");
const VERSION: &[u8] = include_bytes!("data/format-1/version");
const DIGEST: &str = include_str!("data/format-1/digest");
const KEPT: &[u8] = include_bytes!("data/format-1/kept");

const KEY: &str = "rules.least_brokers";

fn more(key: &str, must: bool) -> Extension {
    Extension { key: key.to_string(), json: String::from("{\"a\": [1, 2.50]}"), required: must }
}

fn later(number: u64, more: Extension) -> ConfigVersion {
    ConfigVersion { extensions: vec![more], ..config_version(number, Some(shard_map(number, false))) }
}

fn propose(version: &ConfigVersion) -> Command {
    Command::Propose(Box::new(version.clone()))
}

#[test]
fn documents_of_format_1_are_read_and_gone_on_from() {
    let one = ConfigVersion { first_stage_ratio: Some(0.5), ..config_version(1, Some(shard_map(1, false))) };
    let read = ConfigVersion::unpacked(VERSION).unwrap();
    assert_eq!((&read, read.digest().as_str()), (&one, DIGEST));
    let (mut saved, mut rest) = (StoredVoter::new(), JOURNAL);
    while let Some((length, more)) = rest.split_first_chunk::<4>() {
        let (record, more) = more.split_at(u32::from_le_bytes(*length) as usize);
        saved.apply_record(record).unwrap();
        rest = more;
    }
    let mut voter = Voter::open(consensus_config("n1", 1), saved, 0.0, 1).unwrap();
    (1..400).for_each(|n| drop(voter.tick(0.02 * f64::from(n))));
    let state = voter.state();
    assert!(voter.is_leader() && voter.has_state());
    // Its fill was never done: it was taken back since, by the deadline.
    assert_eq!((state.active_number(), state.highest_number, state.open.is_none()), (1, 2, true));
    assert_eq!(state.voters.voters.iter().map(|voter| voter.name.as_str()).collect::<Vec<_>>(), ["n1"]);
    voter.propose(8.0, propose(&config_version(3, Some(shard_map(3, false))))).unwrap();
    assert_eq!(voter.state().open.as_ref().map(|open| open.version.number), Some(3));
    let kept = PersistedState::decode(KEPT).unwrap();
    let member = LeaseClient::new(consensus_config("n1", 1), Some(kept), 0.0, 1);
    assert_eq!(
        (member.active_config().phase(0.0), member.active_config().proposed_number()),
        (ConfigPhase::LeaseExpired(1), Some(2))
    );
}

#[test]
fn a_key_that_is_not_known_is_kept_and_passed_on_byte_for_byte() {
    let mut fleet = Fleet::with_map(3, 1, 70);
    let two = later(2, more("omens", false));
    fleet.propose(propose(&two)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))));
    // Through the log, snapshots, a restart, a new folder, and to each broker.
    fleet.kill(0);
    fleet.wipe_folder(0);
    fleet.start(0);
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.are_voters_ready())
    );
    for n in 0..4 {
        let acting = fleet.brokers[n].lease_client.as_ref().unwrap().active_config();
        assert_eq!(acting.versions().0, Some(&two));
        assert_eq!(acting.versions().0.unwrap().digest(), two.digest());
    }
    assert_ne!(two.digest(), ConfigVersion { extensions: Vec::new(), ..two }.digest());
}

fn newer(fleet: &mut Fleet, n: usize) {
    let broker = &mut fleet.brokers[n];
    broker.lease_client.as_mut().unwrap().add_known_keys(&[KEY]);
    if let Some(voter) = &mut broker.voter {
        voter.add_known_keys(&[KEY]);
    }
}

#[test]
fn a_rule_that_some_voter_does_not_know_is_not_proposed_and_has_no_vote() {
    let mut fleet = Fleet::with_map(3, 1, 71);
    let leader = fleet.leader().unwrap();
    let two = later(2, more(KEY, true));
    let key = String::from(KEY);
    assert_eq!(fleet.propose(propose(&two)), Err(Rejection::UnknownKey { number: 2, key: key.clone() }));
    newer(&mut fleet, leader);
    fleet.run_for(3.0);
    let refused = fleet.propose(propose(&two)).unwrap_err();
    assert!(matches!(refused, Rejection::UnknownKeyAtVoter { number: 2, .. }), "{refused}");
    // From a leader that does not look: the two old ones do not vote for it, and say why.
    fleet.propose_unchecked_at(leader, propose(&two)).unwrap();
    fleet.run_for(3.0);
    assert!((0..3).all(|n| fleet.state(n).highest_number == 1), "not agreed on");
    let said = |n: usize| {
        fleet.brokers[n].log.iter().any(|line| line.contains("withholds its vote") && line.contains(KEY))
    };
    assert!((0..3).filter(|n| *n != leader).all(said));
    assert!(
        fleet.all_have_leases() && fleet.all_in_phase(&ConfigPhase::Active(1)),
        "and all go on as they were"
    );
    // Those two go on without it once it is gone.
    fleet.kill(leader);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    fleet.propose(propose(&config_version(2, Some(shard_map(2, false))))).unwrap();
    fleet.start(leader);
    assert!(
        fleet.run_until(8.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases())
    );
}

#[test]
fn what_newer_voters_agree_on_is_adopted_by_no_older_broker() {
    let mut fleet = Fleet::with_map(3, 2, 72);
    (0..4).for_each(|n| newer(&mut fleet, n));
    fleet.run_for(3.0);
    fleet.propose(propose(&later(2, more(KEY, true)))).unwrap();
    assert!(fleet.run_until(5.0, |fleet| (0..4).all(|n| fleet.phase(n) == ConfigPhase::Active(2))));
    assert_eq!(fleet.phase(4), ConfigPhase::LeaseExpired(1));
    let why = Rejection::UnknownKey { number: 2, key: String::from(KEY) };
    assert!(fleet.brokers[4].rejections.contains(&why));
}
