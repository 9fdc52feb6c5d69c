//! Two-phase scans before nodes that hold real text and answer from real summaries of it, or lie, stall and lag.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use dunepond_testkit::prefilter_cluster::{
    PrefilterCluster, ProbeBehavior, SegmentResults, parse_answer, query_request, term,
};
use dunepond_testkit::stand_ins::{Answer, Client};
use rstest::rstest;

const KDL: &str = "phases least-segments=6 share=0.3 audits=0\ncounters every=0.2\n";
const WIDE: std::ops::Range<usize> = 0..24;

fn cluster(kdl: &str, behavior: impl Fn(usize) -> ProbeBehavior) -> PrefilterCluster {
    PrefilterCluster::start(
        Path::new(env!("CARGO_BIN_EXE_dunepond-testkit")),
        kdl,
        Duration::from_micros(200),
        false,
        behavior,
    )
}

struct QueryResult {
    said: SegmentResults,
    answer: Answer,
    took: f64,
}

/// Asks for all of `segs`; whatever comes is never falsely whole, in time, and covers no shard twice.
fn ask(cluster: &PrefilterCluster, id: &str, segs: &[usize], budget: f64, word: &str) -> QueryResult {
    let from = Instant::now();
    let answer = Client::connect(&cluster.broker).request(&query_request("find", id, segs, budget, word));
    let (said, took) = (parse_answer(&answer), from.elapsed().as_secs_f64());
    assert!(took <= budget + 0.05, "late: {took}");
    assert!(
        !said.is_falsely_complete(&cluster.corpus, word, segs, from, Instant::now()),
        "falsely whole: {answer:?}"
    );
    QueryResult { said, answer, took }
}

fn wide_segments() -> Vec<usize> {
    WIDE.collect()
}

/// The first scan of a table type is asked about first; until there is something to go by, each second one is.
fn first(cluster: &PrefilterCluster, word: &str) -> QueryResult {
    ask(cluster, "c1", &wide_segments(), 2.0, word)
}

fn until(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < Duration::from_secs(10), "{what}");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn only_possible_matches_are_searched() {
    let cluster = cluster(KDL, |_| ProbeBehavior::Honest);
    let (word, segs) = (term(10, 3), wide_segments());
    let asked = first(&cluster, &word);
    let (matching, _) = cluster.corpus.partition_by_match(&word, &segs);
    assert!(asked.said.complete && asked.said.found == matching, "{:?}", asked.said);
    assert!(asked.said.pruned.len() > 12, "{:?}", asked.said);
    assert_eq!(cluster.searches(), segs.len() - asked.said.pruned.len());
    for left in asked.answer.body["left_out"].as_array().unwrap() {
        let seg = left["bucket"].as_u64().unwrap() as usize;
        let by: Vec<_> = left["words"].as_array().unwrap().iter().map(|w| w.as_str().unwrap()).collect();
        let holders = by.iter().filter(|name| {
            let number: usize = name.strip_prefix("s-").unwrap().parse().unwrap();
            cluster.nodes[number].holds_segment(seg)
        });
        assert!(holders.count() == 2 && by[0] != by[1], "{left}");
    }
}

#[test]
fn all_pruned_is_complete_and_empty() {
    let cluster = cluster(KDL, |_| ProbeBehavior::Honest);
    let asked = first(&cluster, "nobody-has-this");
    assert!(asked.said.complete && asked.said.searched.is_empty(), "{:?}", asked.said);
    assert_eq!((asked.said.pruned.len(), cluster.searches()), (24, 0));
}

#[rstest]
#[case::all_may(|_: usize| ProbeBehavior::MatchAll)]
#[case::nobody_knows(|_: usize| ProbeBehavior::UnknownAll)]
#[case::all_speak_of_a_version_to_come_alone(|i: usize| if i.is_multiple_of(3) { ProbeBehavior::FutureVersion } else { ProbeBehavior::MatchAll })]
#[case::none_knows_the_letter(|_: usize| ProbeBehavior::RejectProbe)]
#[case::all_close(|_: usize| ProbeBehavior::Close)]
#[case::all_garble(|_: usize| ProbeBehavior::Malformed)]
#[case::all_speak_of_others(|_: usize| ProbeBehavior::OtherSegments)]
#[case::all_stall(|_: usize| ProbeBehavior::Stall)]
fn all_searched_without_two_denials(#[case] behavior: fn(usize) -> ProbeBehavior) {
    let cluster = cluster(KDL, behavior);
    let asked = first(&cluster, "nobody-has-this");
    assert!(asked.said.complete && asked.said.searched.len() == 24, "{:?}", asked.said);
    assert_eq!((cluster.searches(), cluster.repeated_parts()), (24, 0));
}

/// What stalls costs phase one's share of the time at most, and what did answer is still left out.
#[rstest]
#[case::one(1)]
#[case::a_third(4)]
fn stalled_probes_cost_bounded_time(#[case] stalled: usize) {
    let cluster = cluster(KDL, |i| if i < stalled { ProbeBehavior::Stall } else { ProbeBehavior::Honest });
    let asked = first(&cluster, "nobody-has-this");
    assert!(asked.said.complete && asked.took < 0.3 * 2.0 + 0.3, "{} {:?}", asked.took, asked.said);
    assert!(!asked.said.pruned.is_empty(), "{:?}", asked.said);
    // They rest meanwhile: the next that is asked about does not wait for them all over again.
    let before: usize = cluster.nodes[..stalled].iter().map(|node| node.probes()).sum();
    ask(&cluster, "c2", &wide_segments(), 2.0, "nobody-has-this");
    ask(&cluster, "c3", &wide_segments(), 2.0, "nobody-has-this");
    let after: usize = cluster.nodes[..stalled].iter().map(|node| node.probes()).sum();
    assert!(after <= before + stalled, "{before} {after}");
}

/// A node that closes on the letter is on a connection for questions alone: no part is lost with it.
#[test]
fn unknown_probe_frame_backs_off() {
    let cluster = cluster(KDL, |_| ProbeBehavior::RejectProbe);
    for i in 0..10 {
        let asked = ask(&cluster, &format!("c{i}"), &wide_segments(), 2.0, &term(50, i));
        assert!(asked.said.complete && asked.said.searched.len() == 24, "{:?}", asked.said);
    }
    assert_eq!((cluster.searches(), cluster.repeated_parts()), (240, 0));
    assert!(cluster.probes() <= 24, "{}", cluster.probes());
}

/// It denies one shard that matches, as one of three holders.
#[rstest]
#[case::denies_one(ProbeBehavior::DenySegment(4))]
#[case::denies_all(ProbeBehavior::DenyAll)]
#[case::says_the_old_truth(ProbeBehavior::StaleContent)]
fn one_false_denial_prunes_nothing(#[case] lie: ProbeBehavior) {
    let cluster = cluster(KDL, |i| if i.is_multiple_of(3) { lie } else { ProbeBehavior::Honest });
    let segs = wide_segments();
    segs.iter().for_each(|seg| cluster.corpus.advance_version(*seg));
    for i in 0..20 {
        let word = term(50, i);
        let asked = ask(&cluster, &format!("c{i}"), &segs, 2.0, &word);
        let (matching, _) = cluster.corpus.partition_by_match(&word, &segs);
        assert!(asked.said.complete && asked.said.found == matching, "{:?}", asked.said);
    }
}

#[test]
fn mixed_versions_are_no_evidence() {
    let cluster = cluster(KDL, |i| {
        if i.is_multiple_of(2) { ProbeBehavior::PreviousVersion } else { ProbeBehavior::Honest }
    });
    let segs = wide_segments();
    segs.iter().for_each(|seg| cluster.corpus.advance_version(*seg));
    // Of any three holders that follow each other one or two lag: they may agree on the old version only where both do.
    let asked = first(&cluster, "nobody-has-this");
    assert!(asked.said.complete, "{:?}", asked.said);
    assert!(asked.said.pruned.len() < 24, "{:?}", asked.said);
}

/// Two that agree on a lie are found out by audits, and then nothing rests on their words.
#[test]
fn audits_find_agreeing_liars() {
    let kdl = "phases least-segments=6 share=0.3 audits=1.0\ncounters every=0.2\n";
    let cluster = cluster(kdl, |_| ProbeBehavior::DenyAll);
    let (word, segs) = (term(100, 1), wide_segments());
    let mut told = Vec::new();
    for i in 0..40 {
        let from = Instant::now();
        let answer = Client::connect(&cluster.broker).request(&query_request(
            "find",
            &format!("c{i}"),
            &segs,
            2.0,
            &word,
        ));
        let said = parse_answer(&answer);
        told.push(said.is_falsely_complete(&cluster.corpus, &word, &segs, from, Instant::now()));
        thread::sleep(Duration::from_millis(20));
    }
    // All nodes lie, which no evidence can stand: the audits stop it.
    assert!(told[0], "nothing was denied");
    assert!(told[20..].iter().all(|falsely| !falsely), "{told:?}");
    assert!(cluster.broker.log_text().contains("a trusted prefilter answer excluded it"));
}

/// The content moves while phase one is under way, and again between the phases.
#[test]
fn changed_content_is_not_pruned() {
    let cluster = cluster(KDL, |_| ProbeBehavior::ReplyAfterMillis(30));
    let segs = wide_segments();
    for i in 0..12 {
        thread::scope(|scope| {
            let texts = cluster.corpus.clone();
            scope.spawn(move || {
                for seg in WIDE {
                    texts.advance_version(seg);
                    thread::sleep(Duration::from_millis(3));
                }
            });
            let asked = ask(&cluster, &format!("c{i}"), &segs, 2.0, &term(50, i));
            assert!(asked.said.complete, "{:?}", asked.said);
        });
    }
}

#[test]
fn draining_node_gets_no_probes_or_parts() {
    // Phase one lasts its whole time of 1.8 s, as the node never answers; by then the broker has read that it drains.
    let kdl = KDL.replace("share=0.3", "share=0.6");
    let cluster = cluster(&kdl, |i| if i == 0 { ProbeBehavior::Stall } else { ProbeBehavior::Honest });
    let asked = thread::scope(|scope| {
        let asking = scope.spawn(|| ask(&cluster, "c1", &wide_segments(), 3.0, &term(50, 1)));
        until("the node was not asked", || cluster.nodes[0].probes() > 0);
        let lines =
            cluster.nodes.iter().map(|n| n.endpoint(if n.number == 0 { "draining" } else { "ready" }));
        cluster.discovery.publish(lines.collect());
        cluster.discovery.wait_until_read();
        asking.join().unwrap()
    });
    assert!(asked.said.complete && cluster.nodes[0].searches() == 0, "{:?}", asked.said);
    let before = cluster.nodes[0].probes();
    (2..8).for_each(|i| drop(ask(&cluster, &format!("c{i}"), &wide_segments(), 2.0, &term(50, 1))));
    assert_eq!((cluster.nodes[0].probes(), cluster.nodes[0].searches()), (before, 0));
}

#[test]
fn narrow_and_non_idempotent_skip_prefilter() {
    let cluster = cluster(KDL, |_| ProbeBehavior::Honest);
    let narrow = ask(&cluster, "c1", &[0, 1, 2, 3, 4], 2.0, "nobody-has-this");
    assert!(narrow.said.complete && narrow.said.searched.len() == 5);
    let answer = Client::connect(&cluster.broker).request(&query_request(
        "fix",
        "c2",
        &wide_segments(),
        2.0,
        "nobody-has-this",
    ));
    assert_eq!(
        (parse_answer(&answer).searched.len(), cluster.probes(), cluster.repeated_parts()),
        (24, 0, 0)
    );
}

/// Phase one has been seen to take 0.15 s, and the search behind it its time: a client that has less gets the search.
#[test]
fn short_budget_skips_prefilter() {
    let cluster = cluster(KDL, |_| ProbeBehavior::ReplyAfterMillis(75));
    for i in 0..10 {
        ask(&cluster, &format!("c{i}"), &wide_segments(), 2.0, "nobody-has-this");
    }
    let before = cluster.probes();
    let asked = ask(&cluster, "hasty", &wide_segments(), 0.4, "nobody-has-this");
    assert!(asked.said.complete && asked.said.searched.len() == 24 && asked.took < 0.3, "{:?}", asked.said);
    assert_eq!(cluster.probes(), before);
}

/// It leaves while its questions are out: nothing is searched for it, and nothing is left behind.
#[test]
fn disconnect_during_prefilter_cancels_search() {
    let cluster = cluster(KDL, |_| ProbeBehavior::ReplyAfterMillis(200));
    let mut client = Client::connect(&cluster.broker);
    client.send(&query_request("find", "c1", &wide_segments(), 2.0, "nobody-has-this"));
    until("no question came", || cluster.probes() > 0);
    drop(client);
    thread::sleep(Duration::from_millis(600));
    assert_eq!(cluster.searches(), 0);
    assert!(ask(&cluster, "c1", &wide_segments(), 2.0, "nobody-has-this").said.complete);
}

/// The same client asks again with another id while its first try is in phase one: each has its own answer.
#[test]
fn retry_during_prefilter_has_its_own_answer() {
    let cluster = cluster(KDL, |_| ProbeBehavior::ReplyAfterMillis(60));
    let word = term(50, 2);
    let (matching, _) = cluster.corpus.partition_by_match(&word, &wide_segments());
    thread::scope(|scope| {
        let tries = (0..4).map(|i| {
            let (cluster, word) = (&cluster, &word);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(20 * i));
                ask(cluster, &format!("try-{i}"), &wide_segments(), 2.0, word)
            })
        });
        for asked in tries.collect::<Vec<_>>() {
            let asked = asked.join().unwrap();
            assert!(asked.said.complete && asked.said.found == matching, "{:?}", asked.said);
        }
    });
    assert_eq!(cluster.repeated_parts(), 0);
}

#[test]
fn concurrent_queries_share_probes() {
    let cluster = cluster(KDL, |_| ProbeBehavior::Honest);
    let mut clients: Vec<_> = (0..6).map(|_| Client::connect(&cluster.broker)).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.send(&query_request("find", &format!("c{i}"), &wide_segments(), 2.0, "nobody-has-this"));
    }
    let answers: Vec<_> = clients.iter_mut().map(|client| client.read_answer().unwrap()).collect();
    assert!(answers.iter().all(|answer| parse_answer(answer).complete));
    // Twelve nodes, two words a shard: unshared they would be 24 for each that is asked about.
    assert!(cluster.probes() <= 3 * 24, "{}", cluster.probes());
}

#[test]
fn disabled_prefilter_changes_nothing() {
    let cluster = cluster("", |_| ProbeBehavior::Honest);
    let asked = first(&cluster, "nobody-has-this");
    assert_eq!((asked.said.searched.len(), cluster.probes()), (24, 0));
    assert!(asked.answer.body.get("left_out").is_none());
}

#[test]
fn reload_changes_terms_but_cannot_disable() {
    let cluster = cluster(KDL, |_| ProbeBehavior::Honest);
    first(&cluster, "nobody-has-this");
    cluster.reload_config("phases least-segments=40 audits=0\n");
    until("the file was not read", || cluster.broker.log_text().contains("operator's file reloaded"));
    let before = cluster.probes();
    (2..8).for_each(|i| drop(ask(&cluster, &format!("c{i}"), &wide_segments(), 2.0, "nobody-has-this")));
    assert_eq!(cluster.probes(), before);
    cluster.reload_config("");
    until("it was not named", || {
        cluster.broker.log_text().contains("phases, turned on or off, takes effect after a restart")
    });
}
