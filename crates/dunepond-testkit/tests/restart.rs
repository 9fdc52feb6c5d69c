//! Brokers that are killed and started again, on folders that fail, before lists that have changed.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::processes::{WAIT_TIMEOUT, wait_until};
use dunepond_testkit::restart_cluster::{RestartCluster, unix_ms};
use dunepond_testkit::stand_ins::{Answer, Broker, Client, NodeBehavior, query_request};
use rstest::rstest;
use serde_json::{Value, json};

const KDL: &str = "state folder=\"FOLDER\" every=0.1\ncounters every=0.2\n";

/// Every `HANG`th node hangs in an outage.
const HANG: usize = 4;

fn cluster(nodes: usize) -> RestartCluster {
    let mut cluster = RestartCluster::new(Path::new(env!("CARGO_BIN_EXE_dunepond-testkit")), nodes);
    cluster.adjust_config = lengthen_timeouts;
    cluster
}

/// `calm` is asked for where a story is about whether scans are served: by `find`'s target of 0.4 s the broker turns
/// away, and rightly, what it would serve too late on a machine that is busy with others.
fn lengthen_timeouts(config: &mut Value) {
    let settings = &mut config["settings"];
    let mut calm = settings["services"][0].clone();
    (calm["name"], calm["aimMs"], calm["deadlineMs"]) = (json!("calm"), json!(10_000.0), json!(15_000.0));
    settings["services"].as_array_mut().unwrap().push(calm);
    let family = &mut settings["familyInfo"];
    (family["leastShare"], family["wholeAt"]) = (json!([0.5, 1.0, 0.5]), json!([1.0, 1.0, 1.0]));
    family["secondStep"] = json!([0, 0, 0]);
}

/// A scan of four shards, and how long it took.
fn one(client: &mut Client, table_type: &str, id: &str, i: usize, budget: &str) -> (Answer, Duration) {
    let segs: Vec<_> = (0..4).map(|j| (i * 7 + j * 5) % 48).collect();
    let began = Instant::now();
    (client.request(&query_request(table_type, id, &segs, budget)), began.elapsed())
}

/// Asks for so many scans one after the other; how many were served whole before their query timeout.
fn ask(broker: &Broker, prefix: &str, count: usize) -> usize {
    let mut client = Client::connect(broker);
    let served = (0..count).filter(|i| {
        let start = Instant::now();
        for again in 0.. {
            let (answer, took) = one(&mut client, "calm", &format!("{prefix}{i}-{again}"), *i, "15.0");
            if answer.status == 200 {
                let whole = answer.body["finished"] == true && took < Duration::from_secs(15);
                if !whole {
                    println!("{prefix}{i}: not whole after {took:?}: {}", answer.body);
                }
                return whole;
            }
            // All holders of a shard may fall silent together on a busy machine, and then it is refused unsent. The
            // log has to have named them in this life: at rest, where it names none, a refusal is a failure.
            if answer.status != 429
                || !broker.log_text().contains("is ejected")
                || start.elapsed() > WAIT_TIMEOUT
            {
                println!("{prefix}{i}: {} {}", answer.status, answer.body);
                break;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    });
    served.count()
}

fn logged(broker: &Broker, words: &str) -> bool {
    let heard = wait_until(|| broker.log_text().contains(words));
    if !heard {
        println!("{}", broker.log_text());
    }
    heard
}

/// A life that has read its folder: the start waits 0.25 s for that, which is little on a busy machine, and one that
/// went on without it tells nothing of what stood there.
fn warmed_up(cluster: &RestartCluster, kdl: &str) -> Broker {
    let start = Instant::now();
    loop {
        let mut broker = cluster.start_broker(kdl);
        if !broker.log_text().contains("does not answer") {
            return broker;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "{}", broker.log_text());
        broker.signal("KILL");
        broker.exit_code();
    }
}

/// Whether the newest snapshot has all nodes that hang as set aside: killed before that, a life leaves less behind.
fn snapshot_written(cluster: &RestartCluster) -> bool {
    let Ok(shown) = dunepond_broker::persistence::describe(&cluster.folder, unix_ms() as f64 / 1e3) else {
        return false;
    };
    let aside = |i: usize| {
        let line = shown.lines().find(|line| line.contains(&format!("  s-{i} at ")));
        line.is_some_and(|line| line.contains("set aside"))
    };
    (0..cluster.nodes.len()).step_by(HANG).all(aside)
}

/// A life in which a quarter of the nodes hang and are set aside, and which is killed once that is written.
fn outage(cluster: &RestartCluster) -> Vec<usize> {
    let mut broker = warmed_up(cluster, KDL);
    let mut client = Client::connect(&broker);
    (0..60).for_each(|i| drop(one(&mut client, "find", &format!("a{i}"), i, "2.0")));
    cluster.set_behavior_of_every(HANG, NodeBehavior::Hang);
    let mut i = 0;
    let written = wait_until(|| {
        // On a slow machine 60 scans may not be enough to tell a node that hangs from one that is slow.
        one(&mut client, "find", &format!("b{i}"), i, "2.0");
        i += 1;
        i >= 60 && snapshot_written(cluster)
    });
    assert!(written, "{}", broker.log_text());
    broker.signal("KILL");
    broker.exit_code();
    (0..cluster.nodes.len()).step_by(HANG).collect()
}

/// The longest that any of 60 scans took, begun with this one.
fn slowest(broker: &Broker, prefix: &str, first: usize) -> Duration {
    let mut client = Client::connect(broker);
    let took = (first..first + 60).map(|i| one(&mut client, "calm", &format!("{prefix}{i}"), i, "15.0").1);
    took.max().unwrap()
}

/// A part that goes to a node that hangs is copied after two fifths of its target time where nothing is known of it, and
/// at once where it is known to have hung. Two fifths are 2 s here, which is more than a busy machine takes.
#[test]
fn hung_nodes_stay_ejected_after_crash() {
    let mut cluster = cluster(12);
    outage(&cluster);
    cluster.adjust_config = |config| {
        lengthen_timeouts(config);
        let services = config["settings"]["services"].as_array_mut().unwrap();
        services.iter_mut().for_each(|service| service["aimMs"] = json!(5_000.0));
    };
    let late = Duration::from_secs(2);
    let broker = warmed_up(&cluster, KDL);
    assert!(logged(&broker, "nodes restored"));
    let with = slowest(&broker, "c", 0);
    drop(broker);
    assert!(with < late, "{with:?}");
    // One that knows nothing meets such a node before it has learned how quick the others are, if not in each life.
    let waits = (0..5).any(|life| slowest(&cluster.start_broker(""), &format!("d{life}-"), life) >= late);
    assert!(waits, "a broker that forgets waits for no node either: the test shows nothing");
}

/// How long a node that was slow counts as slow goes by the longest target time: here there is none but `find`'s, and a
/// scan that this is too short for on a busy machine is refused. That costs the story nothing.
#[test]
fn recovered_node_returns_by_probation() {
    let mut cluster = cluster(12);
    cluster.adjust_config = |_| {};
    let hung = outage(&cluster);
    cluster.set_behavior_of_every(HANG, NodeBehavior::Serve);
    let given = |node: &usize| cluster.nodes[*node].frames('A').len();
    let before: Vec<_> = hung.iter().map(given).collect();
    let broker = warmed_up(&cluster, KDL);
    let mut client = Client::connect(&broker);
    // After the crash all counts as spent: trials, which may need a copy, wait until it does not.
    let mut i = 0;
    let back = wait_until(|| {
        let answer = one(&mut client, "find", &format!("c{i}"), i, "2.0").0;
        assert!(matches!(answer.status, 200 | 429), "{answer:?}");
        i += 1;
        broker.log_text().matches("is back in service").count() >= 2
            && hung.iter().zip(&before).all(|(node, before)| given(node) > before + 5)
    });
    assert!(back, "{:?} of {before:?}\n{}", hung.iter().map(given).collect::<Vec<_>>(), broker.log_text());
}

#[rstest]
#[case::started_since(|cluster: &mut RestartCluster| cluster.restart_node(0, 1_000))]
#[case::long_ago(|cluster: &mut RestartCluster| drop(std::fs::remove_dir_all(cluster.folder.join("none"))))]
fn restarted_node_has_no_history(#[case] change: fn(&mut RestartCluster)) {
    let mut cluster = cluster(12);
    outage(&cluster);
    cluster.set_behavior_of_every(1, NodeBehavior::Serve);
    change(&mut cluster);
    let broker = warmed_up(&cluster, KDL);
    assert!(logged(&broker, "nodes restored"));
    assert_eq!(ask(&broker, "c", 40), 40);
}

#[test]
fn new_endpoints_have_no_history() {
    let first = cluster(12);
    outage(&first);
    let second = cluster(12);
    // The same folder, and the same names at new addresses.
    std::fs::remove_dir_all(&second.folder).unwrap();
    std::fs::rename(&first.folder, &second.folder).unwrap();
    let broker = warmed_up(&second, KDL);
    assert!(logged(&broker, "0 of 12 nodes restored"));
    assert_eq!(ask(&broker, "c", 40), 40);
}

#[rstest]
#[case::cut(|bytes: &mut Vec<u8>| bytes.truncate(bytes.len() / 2))]
#[case::emptied(|bytes: &mut Vec<u8>| bytes.clear())]
#[case::a_byte_changed(|bytes: &mut Vec<u8>| { let at = bytes.len() / 2; bytes[at] ^= 0x10; })]
#[case::of_a_future_version(|bytes: &mut Vec<u8>| bytes[12] = 200)]
#[case::another_file(|bytes: &mut Vec<u8>| *bytes = b"#!/bin/sh\n".to_vec())]
#[case::longer(|bytes: &mut Vec<u8>| bytes.extend([0; 5000]))]
fn a_folder_in_which_every_file_is_damaged_does_no_harm(#[case] damage: fn(&mut Vec<u8>)) {
    let cluster = cluster(12);
    outage(&cluster);
    cluster.set_behavior_of_every(4, NodeBehavior::Serve);
    for entry in std::fs::read_dir(&cluster.folder).unwrap().flatten() {
        let mut bytes = std::fs::read(entry.path()).unwrap();
        if !bytes.is_empty() {
            damage(&mut bytes);
            std::fs::write(entry.path(), bytes).unwrap();
        }
    }
    let broker = cluster.start_broker(KDL);
    assert_eq!(ask(&broker, "c", 40), 40);
}

#[test]
fn clean_exit_charges_spent_budget_crash_charges_all() {
    // The end waits 0.3 s for its folder, and the next start 0.25 s: a story in which either was too slow is told
    // anew.
    let story = || {
        let cluster = cluster(12);
        let mut first = warmed_up(&cluster, KDL);
        assert!(logged(&first, "state: read"));
        ask(&first, "a", 20);
        first.signal("TERM");
        assert_eq!(first.exit_code(), Some(0));
        assert!(logged(&first, "written"));
        let mut second = cluster.start_broker(KDL);
        if [&first, &second].iter().any(|broker| broker.log_text().contains("does not answer")) {
            return false;
        }
        assert!(logged(&first, "state: written"));
        ask(&second, "b", 20);
        assert!(!second.log_text().contains("counts as spent"), "{}", second.log_text());
        second.signal("KILL");
        second.exit_code();
        let third = warmed_up(&cluster, KDL);
        assert!(logged(&third, "all of it counts as spent"));
        true
    };
    assert!(wait_until(story), "the folder has never answered in time");
}

/// Killed and started again and again while nodes fail what they are given: over all lives together the budget of
/// further dispatches holds, which a broker that forgets would break with each life. Its window is longer than all lives
/// take, so that it does not matter how soon they follow each other.
#[test]
fn crash_loop_keeps_retry_budget() {
    let lives = |kdl: &str| {
        let mut cluster = cluster(12);
        cluster.adjust_config = |config| config["settings"]["rules"]["budgetWindowMs"] = json!(60_000.0);
        // All fail, so that every part would need its further dispatches.
        cluster.set_behavior_of_every(1, NodeBehavior::ReplyStatus("fault"));
        let mut taken = Vec::new();
        for life in 0..4 {
            let mut broker = cluster.start_broker(kdl);
            let mut client = Client::connect(&broker);
            for i in 0..5 {
                taken.push(Instant::now());
                client.try_request(&query_request(
                    "find",
                    &format!("l{life}-{i}"),
                    &[i % 48, (i + 7) % 48],
                    "0.2",
                ));
                thread::sleep(Duration::from_millis(5));
            }
            broker.signal("KILL");
            broker.exit_code();
        }
        cluster.retry_budget_margin(&taken, 20.0, 0.1, 60.0)
    };
    let (with, without) = (lives(KDL), lives(""));
    assert!(with >= 0.0, "{with}");
    assert!(without < 0.0, "{without}: a broker that forgets keeps the budget too: the test shows nothing");
}

#[test]
fn cold_node_waits_while_budget_is_unknown() {
    let mut cluster = cluster(12);
    // What is counted of a cold node is counted for longer than the second life lasts.
    cluster.adjust_config = |config| {
        lengthen_timeouts(config);
        let rules = &mut config["settings"]["rules"];
        (rules["fallMs"], rules["coldMs"]) = (json!(60_000.0), json!(120_000.0));
    };
    cluster.restart_node(0, unix_ms());
    let given = || cluster.nodes[0].frames('A').len();
    // All shards at once: one part after the other would always find a warm node that is idle.
    let all: Vec<_> = (0..48).collect();
    let more = |broker: &Broker, prefix: &str| {
        let (mut client, before) = (Client::connect(broker), given());
        for i in 0..30 {
            client.request(&query_request("calm", &format!("{prefix}{i}"), &all, "15.0"));
        }
        given() - before
    };
    let mut first = warmed_up(&cluster, KDL);
    assert!(more(&first, "a") > 0, "the first life gives it nothing: the test shows nothing");
    first.signal("KILL");
    first.exit_code();
    assert_eq!(more(&cluster.start_broker(KDL), "b"), 0);
    assert!(more(&cluster.start_broker(""), "c") > 0, "a broker that forgets gives it nothing either");
}

#[test]
fn second_broker_runs_without_locked_folder() {
    let cluster = cluster(12);
    let first = warmed_up(&cluster, KDL);
    assert!(logged(&first, "state: read"));
    let second = cluster.start_broker(KDL);
    assert!(logged(&second, "another broker uses it"));
    assert_eq!((ask(&first, "a", 20), ask(&second, "b", 20)), (20, 20));
}

#[rstest]
#[case::full("full")]
#[case::read_only("read-only")]
#[case::broken("broken")]
fn failing_folder_is_used_after_recovery(#[case] words: &str) {
    let cluster = cluster(12);
    cluster.set_disk_fault(words);
    let broker = cluster.start_broker(KDL);
    assert!(logged(&broker, "running without it"));
    assert_eq!(ask(&broker, "a", 40), 40);
    cluster.set_disk_fault("");
    assert!(logged(&broker, "is in use again"));
    let snapshots = || {
        std::fs::read_dir(&cluster.folder)
            .unwrap()
            .flatten()
            .any(|e| e.file_name().to_string_lossy().ends_with(".snapshot"))
    };
    assert!(wait_until(snapshots), "no snapshot");
}

/// Full in the middle of service: each failure is named, and the folder is opened anew after its rest.
#[test]
fn full_disk_is_written_after_recovery() {
    let cluster = cluster(12);
    let broker = warmed_up(&cluster, KDL);
    ask(&broker, "a", 40);
    cluster.set_disk_fault("full");
    assert!(logged(&broker, "a snapshot failed"));
    assert_eq!(ask(&broker, "b", 40), 40);
    cluster.set_disk_fault("");
    assert!(logged(&broker, "is in use again"));
}

/// Whoever waited for the disk would wait for a minute.
#[test]
fn stalled_disk_delays_nothing() {
    let cluster = cluster(12);
    cluster.set_disk_fault("stall 60");
    let began = Instant::now();
    let mut broker = cluster.start_broker(KDL);
    assert!(logged(&broker, "does not answer; running without it"));
    assert_eq!(ask(&broker, "a", 60), 60);
    broker.signal("TERM");
    assert_eq!(broker.exit_code(), Some(0));
    assert!(began.elapsed() < Duration::from_secs(50), "{:?}", began.elapsed());
}
