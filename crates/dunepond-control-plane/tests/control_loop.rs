//! The control loop of a single broker, with a data directory in memory: failing disks, restarts and refused starts.

mod support;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_consensus::ConfigPhase;
use dunepond_control_plane::{
    ControlPlane, ControlPlaneConfig, ControlPlaneError, Partner, QuotaConfig, TestDoubles,
    monotonic_seconds, start,
};
use dunepond_quota::{LocalQuota, SharedQuotas};
use dunepond_testkit::memory_store::{FaultPlan, MemoryStore};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

fn config(version: Option<PathBuf>) -> ControlPlaneConfig {
    ControlPlaneConfig {
        consensus: support::single_voter(false),
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
        max_message_memory_bytes: 1 << 30,
        query_class_count: 1,
        seed: 7,
    }
}

/// Starts a control plane on these files. Returns it with a counter of how often it woke the event loop.
fn start_on(files: &MemoryStore, config: ControlPlaneConfig) -> (ControlPlane, Arc<AtomicUsize>) {
    let wake_count = Arc::new(AtomicUsize::new(0));
    let counter = wake_count.clone();
    let wake = move || {
        counter.fetch_add(1, Ordering::Relaxed);
    };
    (start(config, doubles(files), wake).unwrap(), wake_count)
}

fn doubles(files: &MemoryStore) -> TestDoubles {
    TestDoubles { storage: Some(Arc::new(files.clone())), ..TestDoubles::default() }
}

/// Waits until `condition` returns true. Its arguments are the current phase of the configuration and whether the lease
/// is valid.
fn wait(control_plane: &ControlPlane, what: &str, condition: impl Fn(ConfigPhase, bool) -> bool) {
    let started = Instant::now();
    let active = || control_plane.handle().active_config();
    while !condition(active().phase(monotonic_seconds()), monotonic_seconds() < active().lease_expires_at()) {
        assert!(started.elapsed() < TIMEOUT, "{what}: {:?}", active().phase(monotonic_seconds()));
        thread::sleep(Duration::from_millis(5));
    }
}

/// Writes a configuration version without a map to a file and returns its path.
fn version(directory: &tempfile::TempDir, number: u64) -> PathBuf {
    let path = directory.path().join("version.json");
    let text = serde_json::json!({"number": number, "who": "a test", "why": "", "at": 0.0,
        "rules": {"least": [0.5], "whole_at": [1.0], "budget_share": 0.1, "budget_free": 20.0, "drain_grace": 1.0,
            "cold_multiple": 2.0, "dispatch_cap": 2, "second_copies": false, "repeats": false, "longest_wait": 2.0},
        "standings": {"draining": [], "gone": []}, "map": null});
    std::fs::write(&path, text.to_string()).unwrap();
    path
}

#[test]
fn voter_is_silent_while_the_disk_fails() {
    let files = MemoryStore::default();
    let (control_plane, wake_count) = start_on(&files, config(None));
    wait(&control_plane, "a lease", |_, leased| leased);
    let directory = tempfile::tempdir().unwrap();
    files.set_plan(FaultPlan::DiskFull);
    // The voter cannot write to its journal, so it cannot commit this version.
    control_plane.handle().reload_version(Some(version(&directory, 1)));
    wait(&control_plane, "no lease", |phase, leased| !leased && phase == ConfigPhase::Unconfigured);
    files.set_plan(FaultPlan::NoFault);
    wait(&control_plane, "the version", |phase, _| phase == ConfigPhase::Active(1));
    assert!(wake_count.load(Ordering::Relaxed) >= 3);
    control_plane.stop();
}

#[rstest]
#[case::intact(&[])]
#[case::incomplete_last_record(&[9, 0, 0, 0, 1])]
fn active_version_survives_a_restart(#[case] appended: &[u8]) {
    let directory = tempfile::tempdir().unwrap();
    let files = MemoryStore::default();
    let (control_plane, _) = start_on(&files, config(Some(version(&directory, 1))));
    wait(&control_plane, "the version", |phase, _| phase == ConfigPhase::Active(1));
    control_plane.stop();
    let mut journal = files.contents("voter.journal").unwrap();
    journal.extend_from_slice(appended);
    files.overwrite("voter.journal", journal);
    let (control_plane, _) = start_on(&files, config(None));
    // Before the first lease the strictest rules of all known versions apply, so the phase contains the number of the
    // stored version.
    assert!(matches!(
        control_plane.handle().active_config().phase(monotonic_seconds()),
        ConfigPhase::LeaseExpired(1) | ConfigPhase::Active(1)
    ));
    wait(&control_plane, "a lease with the version", |phase, _| phase == ConfigPhase::Active(1));
    let active = control_plane.handle().active_config();
    let rules = active.rules(monotonic_seconds()).unwrap();
    assert_eq!((rules.max_attempts, rules.hedging_enabled), (2, false));
    control_plane.stop();
}

#[test]
fn inconsistent_consensus_config_is_refused() {
    let mut config = config(None);
    config.consensus.switch_bound_seconds = 0.2;
    let error = start(config, TestDoubles::default(), || ()).map(drop).unwrap_err();
    assert!(matches!(error, ControlPlaneError::ConsensusConfig(_)), "{error}");
    assert!(error.help().contains("bound"));
}

#[test]
fn missing_data_directory_is_named() {
    let error = start(config(None), TestDoubles::default(), || ()).map(drop).unwrap_err();
    assert!(
        matches!(error, ControlPlaneError::DataDirectory { .. }) && error.to_string().contains("/nowhere"),
        "{error}"
    );
}

/// The quotas are configured for three brokers, so the floors of the two that do not run remain unused. The only
/// running broker reports a demand, so its leases grant it all units above the three floors, both before and after a
/// restart.
#[test]
fn spare_quota_is_leased_by_demand() {
    let shared = SharedQuotas::new(vec!["cold".to_string()], 3, 0.3, 100).unwrap();
    let with_quotas = || ControlPlaneConfig {
        quotas: Some(QuotaConfig { shared: shared.clone(), plan_interval_seconds: 0.1 }),
        ..config(None)
    };
    let files = MemoryStore::default();
    let (control_plane, _) = start_on(&files, with_quotas());
    control_plane.handle().set_demand(BTreeMap::from([("cold".to_string(), 900_000)]));
    let available_units = |control_plane: &ControlPlane, now: f64| {
        let active = control_plane.handle().active_config();
        let quota = active.quota(now);
        LocalQuota::new(&shared, 0.0).available_units(quota.allocation, quota.lease_valid, "cold", now)
    };
    wait(&control_plane, "the broker's share", |_, _| {
        available_units(&control_plane, monotonic_seconds()) == 800_000
    });
    let expires_at = control_plane.handle().active_config().lease_expires_at();
    assert_eq!(available_units(&control_plane, expires_at + 60.0), 100_000, "a minute after the last lease");
    control_plane.stop();
    let (control_plane, _) = start_on(&files, with_quotas());
    wait(&control_plane, "the broker's share after the restart", |_, _| {
        available_units(&control_plane, monotonic_seconds()) == 800_000
    });
    // A broker without a demand keeps its share as long as no other broker has a demand.
    control_plane.handle().set_demand(BTreeMap::new());
    control_plane.stop();
}

#[test]
fn mismatched_recovery_order_prevents_the_start() {
    let directory = tempfile::tempdir().unwrap();
    let files = MemoryStore::default();
    let (control_plane, _) = start_on(&files, config(None));
    wait(&control_plane, "a lease", |_, leased| leased);
    control_plane.stop();
    let order = serde_json::json!({"folder": 1, "last": 1, "lost": ["n2"], "highest": 0, "word": "yes"});
    let path = directory.path().join("majority-lost.json");
    std::fs::write(&path, order.to_string()).unwrap();
    let config = ControlPlaneConfig { data_directory: directory.path().to_path_buf(), ..config(None) };
    let error = start(config, doubles(&files), || ()).map(drop).unwrap_err();
    assert!(
        matches!(error, ControlPlaneError::LostMajority { .. })
            && error.to_string().contains("this voter has folder"),
        "{error}"
    );
    assert!(error.help().contains("lost the least") && path.exists());
}

/// Two hundred configured brokers connect to one broker at the same time: no connection is closed to make room.
#[test]
fn connections_of_all_configured_brokers_are_kept() {
    let mut config = config(None);
    let brokers = (0..200).map(|broker| format!("b{broker}")).collect();
    config.partners = vec![Partner { name: "north".to_string(), brokers, metered: false }];
    let (control_plane, _) = start_on(&MemoryStore::default(), config);
    let response_count = || {
        let mut connections: Vec<_> =
            (0..200).map(|_| TcpStream::connect(control_plane.listen_address()).unwrap()).collect();
        for connection in &mut connections {
            connection.set_read_timeout(Some(TIMEOUT)).unwrap();
            let _ = connection.write_all(b"GET / HTTP/1.1\r\nhost: n1\r\n\r\n");
        }
        let responses = connections.iter_mut().filter_map(|connection| connection.read(&mut [0; 64]).ok());
        responses.filter(|bytes| *bytes > 0).count()
    };
    // Retried because a connection without a request is closed after two seconds. On a busy machine, this time may pass
    // before the test sends the request.
    assert!((0..5).any(|_| response_count() == 200));
    control_plane.stop();
}
