//! The fleet's thread alone, on a folder in memory: what a disk that fails and a restart do to it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use dunepond_consensus::{Phase, Terms};
use dunepond_control_plane::{Fleet, FleetError, Partner, StandIns, Told, start, steady};
use dunepond_quota::{Bounds, Own};
use dunepond_testkit::files::{Mem, Plan};
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(20);

fn told(version: Option<PathBuf>) -> Told {
    let terms = Terms {
        name: "n1".to_string(),
        voters: vec!["n1".to_string()],
        lease: 0.3,
        drift: 0.01,
        bound: 1.0,
        longest_timeout: 0.1,
        fills_deadline: 10.0,
        most_changed: 1.0,
        maps: false,
        map: dunepond_shard_map::Terms { least_holders: 1, least_zones: 1 },
    };
    Told {
        terms,
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        folder: PathBuf::from("/nowhere"),
        known: Vec::new(),
        key: None,
        version,
        record: None,
        partners: Vec::new(),
        links: Vec::new(),
        fills: None,
        warming: None,
        limits: None,
        moves: None,
        table_types: 1,
        seed: 7,
    }
}

fn begin(files: &Mem, version: Option<PathBuf>) -> (Fleet, Arc<AtomicUsize>) {
    begin_with(files, told(version))
}

fn begin_with(files: &Mem, told: Told) -> (Fleet, Arc<AtomicUsize>) {
    let woken = Arc::new(AtomicUsize::new(0));
    let counted = woken.clone();
    let stand_ins = StandIns { files: Some(Arc::new(files.clone())), ..StandIns::default() };
    let wake = move || {
        counted.fetch_add(1, Ordering::Relaxed);
    };
    (start(told, stand_ins, wake).unwrap(), woken)
}

fn wait(fleet: &Fleet, what: &str, is_so: impl Fn(Phase, bool) -> bool) {
    let began = Instant::now();
    let acting = || fleet.hand().acting();
    while !is_so(acting().at(steady()), steady() < acting().until()) {
        assert!(began.elapsed() < PATIENCE, "{what}: {:?}", acting().at(steady()));
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
    fleet.hand().reread(Some(version(&folder, 1)));
    wait(&fleet, "no lease", |phase, leased| !leased && phase == Phase::None);
    files.plan(Plan::Serve);
    wait(&fleet, "the version", |phase, _| phase == Phase::Alone(1));
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
    wait(&fleet, "the version", |phase, _| phase == Phase::Alone(1));
    fleet.stop();
    let mut journal = files.peek("voter.journal").unwrap();
    journal.extend_from_slice(torn);
    files.poke("voter.journal", journal);
    let (fleet, _) = begin(&files, None);
    // Before the first lease the strictest of what was known holds.
    assert!(matches!(fleet.hand().acting().at(steady()), Phase::Cut(1) | Phase::Alone(1)));
    wait(&fleet, "a lease on it", |phase, _| phase == Phase::Alone(1));
    let acting = fleet.hand().acting();
    let rules = acting.rules(steady()).unwrap();
    assert_eq!((rules.dispatch_cap, rules.second_copies), (2, false));
    fleet.stop();
}

#[test]
fn terms_that_cannot_hold_are_refused_at_the_start_with_what_to_change() {
    let mut told = told(None);
    told.terms.bound = 0.2;
    let error = start(told, StandIns::default(), || ()).map(drop).unwrap_err();
    assert!(matches!(error, FleetError::Terms(_)), "{error}");
    assert!(error.help().contains("bound"));
}

#[test]
fn a_folder_that_is_not_there_is_named() {
    let error = start(told(None), StandIns::default(), || ()).map(drop).unwrap_err();
    assert!(matches!(error, FleetError::Folder { .. }) && error.to_string().contains("/nowhere"), "{error}");
}

/// Three brokers may exist, so that two floors stay unused; what is spare goes to the only one that needs it, and outlasts
/// it in the log: after a restart it comes with the first lease.
#[test]
fn what_is_spare_is_leased_to_who_needs_it_and_is_gone_with_the_lease() {
    let bounds = Bounds::new(vec!["cold".to_string()], 3, 0.3, 100).unwrap();
    let shares = || Told { limits: Some((bounds.clone(), 0.1)), ..told(None) };
    let files = Mem::default();
    let (fleet, _) = begin_with(&files, shares());
    fleet.hand().needs(BTreeMap::from([("cold".to_string(), 900_000)]));
    let part = |fleet: &Fleet, now: f64| {
        let acting = fleet.hand().acting();
        let heard = acting.limits(now);
        Own::new(&bounds, 0.0).part(heard.told, heard.live, "cold", now)
    };
    wait(&fleet, "its part", |_, _| part(&fleet, steady()) == 800_000);
    let until = fleet.hand().acting().until();
    assert_eq!(part(&fleet, until + 60.0), 100_000, "a minute after its last lease");
    fleet.stop();
    let (fleet, _) = begin_with(&files, shares());
    wait(&fleet, "its part again", |_, _| part(&fleet, steady()) == 800_000);
    // Who needs nothing any more keeps it as long as nobody else does.
    fleet.hand().needs(BTreeMap::new());
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
    let told = Told { folder: folder.path().to_path_buf(), ..told(None) };
    let stand_ins = StandIns { files: Some(Arc::new(files.clone())), ..StandIns::default() };
    let error = start(told, stand_ins, || ()).map(drop).unwrap_err();
    assert!(
        matches!(error, FleetError::Word { .. }) && error.to_string().contains("here: folder"),
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
        let mut guests: Vec<_> = (0..200).map(|_| TcpStream::connect(fleet.listen()).unwrap()).collect();
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
