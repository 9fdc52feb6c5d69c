//! The fleet's thread alone, on a folder in memory: what a disk that fails and a restart do to it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_consensus::{ConfigPhase, ConsensusConfig};
use dunepond_control_plane::{
    ControlPlane, ControlPlaneConfig, ControlPlaneError, Partner, QuotaConfig, TestDoubles,
    monotonic_seconds, start,
};
use dunepond_quota::{LocalQuota, SharedQuotas};
use dunepond_testkit::files::{Mem, Plan};
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(20);

fn told(version: Option<PathBuf>) -> ControlPlaneConfig {
    let terms = ConsensusConfig {
        name: "n1".to_string(),
        voters: vec!["n1".to_string()],
        lease_seconds: 0.3,
        drift_ratio: 0.01,
        switch_bound_seconds: 1.0,
        longest_query_seconds: 0.1,
        fill_deadline_seconds: 10.0,
        max_changed_ratio: 1.0,
        maps_enabled: false,
        map_requirements: dunepond_shard_map::MapConstraints { min_replicas: 1, min_zones: 1 },
    };
    ControlPlaneConfig {
        terms,
        listen_address: SocketAddr::from(([127, 0, 0, 1], 0)),
        data_directory: PathBuf::from("/nowhere"),
        known_brokers: Vec::new(),
        key_file: None,
        version_file: version,
        audit_log_file: None,
        partners: Vec::new(),
        link_rates: Vec::new(),
        fills: None,
        slow_start: None,
        quotas: None,
        rebalancing: None,
        query_class_count: 1,
        seed: 7,
    }
}

fn begin(files: &Mem, version: Option<PathBuf>) -> (ControlPlane, Arc<AtomicUsize>) {
    begin_with(files, told(version))
}

fn begin_with(files: &Mem, told: ControlPlaneConfig) -> (ControlPlane, Arc<AtomicUsize>) {
    let woken = Arc::new(AtomicUsize::new(0));
    let counted = woken.clone();
    let stand_ins = TestDoubles { storage: Some(Arc::new(files.clone())), ..TestDoubles::default() };
    let wake = move || {
        counted.fetch_add(1, Ordering::Relaxed);
    };
    (start(told, stand_ins, wake).unwrap(), woken)
}

fn wait(fleet: &ControlPlane, what: &str, is_so: impl Fn(ConfigPhase, bool) -> bool) {
    let began = Instant::now();
    let acting = || fleet.handle().active_config();
    while !is_so(acting().phase(monotonic_seconds()), monotonic_seconds() < acting().lease_expires_at()) {
        assert!(began.elapsed() < PATIENCE, "{what}: {:?}", acting().phase(monotonic_seconds()));
        thread::sleep(Duration::from_millis(5));
    }
}

fn version(folder: &tempfile::TempDir, number: u64) -> PathBuf {
    let path = folder.path().join("version.json");
    let text = serde_json::json!({"number": number, "who": "a test", "why": "", "at": 0.0,
        "rules": {"least": [0.5], "whole_at": [1.0], "budget_share": 0.1, "budget_free": 20.0, "drain_grace": 1.0,
            "cold_multiple": 2.0, "dispatch_cap": 2, "second_copies": false, "repeats": false, "longest_wait": 2.0},
        "standings": {"draining": [], "gone": []}, "map": null});
    std::fs::write(&path, text.to_string()).unwrap();
    path
}

#[test]
fn a_voter_whose_disk_fails_is_silent_until_it_can_be_written_again() {
    let files = Mem::default();
    let (fleet, woken) = begin(&files, None);
    wait(&fleet, "a lease", |_, leased| leased);
    let folder = tempfile::tempdir().unwrap();
    files.plan(Plan::Full);
    // What is proposed now cannot be promised.
    fleet.handle().reload_version(Some(version(&folder, 1)));
    wait(&fleet, "no lease", |phase, leased| !leased && phase == ConfigPhase::Unconfigured);
    files.plan(Plan::Serve);
    wait(&fleet, "the version", |phase, _| phase == ConfigPhase::Active(1));
    assert!(woken.load(Ordering::Relaxed) >= 3);
    fleet.stop();
}

#[rstest]
#[case::as_it_was(&[])]
#[case::with_a_record_torn_as_its_writer_went(&[9, 0, 0, 0, 1])]
fn a_version_in_force_outlasts_a_restart(#[case] torn: &[u8]) {
    let folder = tempfile::tempdir().unwrap();
    let files = Mem::default();
    let (fleet, _) = begin(&files, Some(version(&folder, 1)));
    wait(&fleet, "the version", |phase, _| phase == ConfigPhase::Active(1));
    fleet.stop();
    let mut journal = files.peek("voter.journal").unwrap();
    journal.extend_from_slice(torn);
    files.poke("voter.journal", journal);
    let (fleet, _) = begin(&files, None);
    // Before the first lease the strictest of what was known holds.
    assert!(matches!(
        fleet.handle().active_config().phase(monotonic_seconds()),
        ConfigPhase::LeaseExpired(1) | ConfigPhase::Active(1)
    ));
    wait(&fleet, "a lease on it", |phase, _| phase == ConfigPhase::Active(1));
    let acting = fleet.handle().active_config();
    let rules = acting.rules(monotonic_seconds()).unwrap();
    assert_eq!((rules.max_attempts, rules.hedging_enabled), (2, false));
    fleet.stop();
}

#[test]
fn terms_that_cannot_hold_are_refused_at_the_start_with_what_to_change() {
    let mut told = told(None);
    told.terms.switch_bound_seconds = 0.2;
    let error = start(told, TestDoubles::default(), || ()).map(drop).unwrap_err();
    assert!(matches!(error, ControlPlaneError::Terms(_)), "{error}");
    assert!(error.help().contains("bound"));
}

#[test]
fn a_folder_that_is_not_there_is_named() {
    let error = start(told(None), TestDoubles::default(), || ()).map(drop).unwrap_err();
    assert!(
        matches!(error, ControlPlaneError::DataDirectory { .. }) && error.to_string().contains("/nowhere"),
        "{error}"
    );
}

/// Three brokers may exist, so that two floors stay unused; what is spare goes to the only one that needs it, and outlasts
/// it in the log: after a restart it comes with the first lease.
#[test]
fn what_is_spare_is_leased_to_who_needs_it_and_is_gone_with_the_lease() {
    let bounds = SharedQuotas::new(vec!["cold".to_string()], 3, 0.3, 100).unwrap();
    let shares = || ControlPlaneConfig {
        quotas: Some(QuotaConfig { shared: bounds.clone(), plan_interval_seconds: 0.1 }),
        ..told(None)
    };
    let files = Mem::default();
    let (fleet, _) = begin_with(&files, shares());
    fleet.handle().set_demand(BTreeMap::from([("cold".to_string(), 900_000)]));
    let part = |fleet: &ControlPlane, now: f64| {
        let acting = fleet.handle().active_config();
        let heard = acting.quota(now);
        LocalQuota::new(&bounds, 0.0).available_units(heard.allocation, heard.lease_valid, "cold", now)
    };
    wait(&fleet, "its part", |_, _| part(&fleet, monotonic_seconds()) == 800_000);
    let until = fleet.handle().active_config().lease_expires_at();
    assert_eq!(part(&fleet, until + 60.0), 100_000, "a minute after its last lease");
    fleet.stop();
    let (fleet, _) = begin_with(&files, shares());
    wait(&fleet, "its part again", |_, _| part(&fleet, monotonic_seconds()) == 800_000);
    // Who needs nothing any more keeps it as long as nobody else does.
    fleet.handle().set_demand(BTreeMap::new());
    fleet.stop();
}

#[test]
fn a_word_on_a_lost_majority_that_does_not_fit_ends_the_start_and_says_what_it_risks() {
    let folder = tempfile::tempdir().unwrap();
    let files = Mem::default();
    let (fleet, _) = begin(&files, None);
    wait(&fleet, "a lease", |_, leased| leased);
    fleet.stop();
    let word = serde_json::json!({"folder": 1, "last": 1, "lost": ["n2"], "highest": 0, "word": "yes"});
    let path = folder.path().join("majority-lost.json");
    std::fs::write(&path, word.to_string()).unwrap();
    let told = ControlPlaneConfig { data_directory: folder.path().to_path_buf(), ..told(None) };
    let stand_ins = TestDoubles { storage: Some(Arc::new(files.clone())), ..TestDoubles::default() };
    let error = start(told, stand_ins, || ()).map(drop).unwrap_err();
    assert!(
        matches!(error, ControlPlaneError::LostMajority { .. }) && error.to_string().contains("here: folder"),
        "{error}"
    );
    assert!(error.help().contains("lost the least") && path.exists());
}

/// Two hundred brokers that the file names come to one at the same moment: nobody is sent away to make room.
#[test]
fn all_brokers_that_the_file_names_have_room_at_one() {
    let mut told = told(None);
    let brokers = (0..200).map(|broker| format!("b{broker}")).collect();
    told.partners = vec![Partner { name: "north".to_string(), brokers, metered: false }];
    let (fleet, _) = begin_with(&Mem::default(), told);
    let come = || {
        let mut guests: Vec<_> =
            (0..200).map(|_| TcpStream::connect(fleet.listen_address()).unwrap()).collect();
        for guest in &mut guests {
            guest.set_read_timeout(Some(PATIENCE)).unwrap();
            let _ = guest.write_all(b"GET / HTTP/1.1\r\nhost: n1\r\n\r\n");
        }
        guests.iter_mut().filter_map(|guest| guest.read(&mut [0; 64]).ok()).filter(|bytes| *bytes > 0).count()
    };
    // Again, as who says nothing for two seconds has to go, and a busy machine may let these pass.
    assert!((0..5).any(|_| come() == 200));
    fleet.stop();
}
