//! Tests of compatibility with earlier and later builds: documents of format 1, the first stored format, and keys that
//! a later build adds to configuration versions.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};
use dunepond_simulation::fleet::Fleet;

/// Journal of a single voter, written by the build of commit 63ed26b. It contains 520 settlements, the active
/// configuration version 1 and the proposed version 2.
const JOURNAL: &[u8] = include_bytes!("data/format-1/journal");
/// The configuration version that `format_1_documents_are_read_and_voter_continues` constructs, packed by the build
/// that wrote [`JOURNAL`].
const VERSION: &[u8] = include_bytes!("data/format-1/version");
/// Digest of [`VERSION`], computed by the build that wrote [`JOURNAL`].
const DIGEST: &str = include_str!("data/format-1/digest");
/// Persisted state of a broker, written by the build that wrote [`JOURNAL`].
const PERSISTED: &[u8] = include_bytes!("data/format-1/kept");

/// A key of a configuration version that only a later build knows.
const KEY: &str = "rules.least_brokers";

fn extension(key: &str, required: bool) -> Extension {
    Extension { key: key.to_string(), json: String::from("{\"a\": [1, 2.50]}"), required }
}

fn version_with(number: u64, extension: Extension) -> ConfigVersion {
    ConfigVersion { extensions: vec![extension], ..config_version(number, Some(shard_map(number, false))) }
}

fn propose(version: &ConfigVersion) -> Command {
    Command::Propose(Box::new(version.clone()))
}

#[test]
fn format_1_documents_are_read_and_voter_continues() {
    let first_version =
        ConfigVersion { first_stage_ratio: Some(0.5), ..config_version(1, Some(shard_map(1, false))) };
    let read = ConfigVersion::unpacked(VERSION).unwrap();
    assert_eq!((&read, read.digest().as_str()), (&first_version, DIGEST));
    let (mut stored, mut rest) = (StoredVoter::new(), JOURNAL);
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let (record, tail) = tail.split_at(u32::from_le_bytes(*length) as usize);
        stored.apply_record(record).unwrap();
        rest = tail;
    }
    let mut voter = Voter::open(consensus_config("n1", 1), stored, 0.0, 1).unwrap();
    (1..400).for_each(|n| drop(voter.tick(0.02 * f64::from(n))));
    let state = voter.state();
    assert!(voter.is_leader() && voter.has_state());
    // The leader has withdrawn version 2 at the fill deadline, since its fill was never completed.
    assert_eq!((state.active_number(), state.highest_number, state.proposed.is_none()), (1, 2, true));
    assert_eq!(state.voters.voters.iter().map(|voter| voter.name.as_str()).collect::<Vec<_>>(), ["n1"]);
    voter.propose(8.0, propose(&config_version(3, Some(shard_map(3, false))))).unwrap();
    assert_eq!(voter.state().proposed.as_ref().map(|proposed| proposed.version.number), Some(3));
    let persisted = PersistedState::decode(PERSISTED).unwrap();
    let client = LeaseClient::new(consensus_config("n1", 1), Some(persisted), 0.0, 1);
    assert_eq!(
        (client.active_config().phase(0.0), client.active_config().proposed_number()),
        (ConfigPhase::LeaseExpired(1), Some(2))
    );
}

#[test]
fn unknown_optional_key_is_preserved() {
    let mut fleet = Fleet::with_map(3, 1, 70);
    let second_version = version_with(2, extension("omens", false));
    fleet.propose(propose(&second_version)).unwrap();
    assert!(fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2))));
    // Although no build knows the key, it is preserved in the log, in snapshots, after a restart and in a new folder,
    // and each broker receives it.
    fleet.kill(0);
    fleet.wipe_folder(0);
    fleet.start(0);
    assert!(
        fleet.run_until(5.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.are_voters_ready())
    );
    for n in 0..4 {
        let active_config = fleet.brokers[n].lease_client.as_ref().unwrap().active_config();
        assert_eq!(active_config.versions().0, Some(&second_version));
        assert_eq!(active_config.versions().0.unwrap().digest(), second_version.digest());
    }
    assert_ne!(second_version.digest(), ConfigVersion { extensions: Vec::new(), ..second_version }.digest());
}

fn add_known_key(fleet: &mut Fleet, n: usize) {
    let broker = &mut fleet.brokers[n];
    broker.lease_client.as_mut().unwrap().add_known_keys(&[KEY]);
    if let Some(voter) = &mut broker.voter {
        voter.add_known_keys(&[KEY]);
    }
}

#[test]
fn required_key_unknown_to_voter_is_rejected() {
    let mut fleet = Fleet::with_map(3, 1, 71);
    let leader = fleet.leader().unwrap();
    let second_version = version_with(2, extension(KEY, true));
    let key = String::from(KEY);
    assert_eq!(
        fleet.propose(propose(&second_version)),
        Err(Rejection::UnknownKey { number: 2, key: key.clone() })
    );
    add_known_key(&mut fleet, leader);
    fleet.run_for(3.0);
    let rejection = fleet.propose(propose(&second_version)).unwrap_err();
    assert!(matches!(rejection, Rejection::UnknownKeyAtVoter { number: 2, .. }), "{rejection}");
    // The leader proposes the version without this check. The two voters that do not know the key do not acknowledge
    // the entry, and log the reason.
    fleet.propose_unchecked_at(leader, propose(&second_version)).unwrap();
    fleet.run_for(3.0);
    assert!((0..3).all(|n| fleet.state(n).highest_number == 1), "the entry is not committed");
    let logs_withheld_acknowledgement = |n: usize| {
        fleet.brokers[n]
            .log
            .iter()
            .any(|line| line.contains("withholds acknowledgement") && line.contains(KEY))
    };
    assert!((0..3).filter(|n| *n != leader).all(logs_withheld_acknowledgement));
    assert!(
        fleet.all_have_leases() && fleet.all_in_phase(&ConfigPhase::Active(1)),
        "all brokers continue with version 1"
    );
    // Once the leader that proposed this version is down, the two voters that do not know its required key continue without
    // its log entry: they elect a leader, and accept another version 2 that does not contain the key.
    fleet.kill(leader);
    assert!(fleet.run_until(5.0, |fleet| fleet.leader().is_some()));
    fleet.propose(propose(&config_version(2, Some(shard_map(2, false))))).unwrap();
    fleet.start(leader);
    assert!(
        fleet.run_until(8.0, |fleet| fleet.all_in_phase(&ConfigPhase::Active(2)) && fleet.all_have_leases())
    );
}

#[test]
fn older_broker_rejects_version_with_unknown_required_key() {
    let mut fleet = Fleet::with_map(3, 2, 72);
    (0..4).for_each(|n| add_known_key(&mut fleet, n));
    fleet.run_for(3.0);
    fleet.propose(propose(&version_with(2, extension(KEY, true)))).unwrap();
    assert!(fleet.run_until(5.0, |fleet| (0..4).all(|n| fleet.phase(n) == ConfigPhase::Active(2))));
    assert_eq!(fleet.phase(4), ConfigPhase::LeaseExpired(1));
    let rejection = Rejection::UnknownKey { number: 2, key: String::from(KEY) };
    assert!(fleet.brokers[4].rejections.contains(&rejection));
}
