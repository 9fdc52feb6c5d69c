//! Property test: any order of queries, answers, failures and changes, with at most one faulty replica of each segment.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_prefilter::*;
use proptest::prelude::*;

use crate::cluster_model::{ClusterModel, NODE_COUNT, SEGMENT_COUNT, config};

#[derive(Clone, Debug)]
enum Step {
    Open {
        from: usize,
        count: usize,
        key: QueryKey,
        time_left_seconds: f64,
    },
    /// The answer to an open request, by index, arrives.
    Answer(usize),
    /// The node decides its answer to an open request, by index; the answer arrives at a later [`Step::Answer`].
    DecideAnswer(usize),
    /// An open request, by index, fails.
    Fail(usize),
    Wait(f64),
    /// The content of a segment changes.
    ChangeContent(SegmentIndex),
    /// A node is drained; if there are 3 drained nodes already, all of them become available again.
    Drain(NodeId),
    /// A query that has a plan, by index, ends.
    EndQuery(usize),
    Audit,
    Search(SegmentIndex, QueryKey),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..SEGMENT_COUNT, 1..20usize, 0..5u64, 0.1..5.0f64)
            .prop_map(|(from, count, key, time_left_seconds)| Step::Open { from, count, key, time_left_seconds }),
        8 => (0..9usize).prop_map(Step::Answer),
        3 => (0..9usize).prop_map(Step::DecideAnswer),
        1 => (0..9usize).prop_map(Step::Fail),
        2 => (0.0..0.4f64).prop_map(Step::Wait),
        1 => (0..SEGMENT_COUNT).prop_map(Step::ChangeContent),
        1 => (0..NODE_COUNT).prop_map(Step::Drain),
        2 => (0..9usize).prop_map(Step::EndQuery),
        1 => Just(Step::Audit),
        1 => (0..SEGMENT_COUNT, 0..5u64).prop_map(|(segment, key)| Step::Search(segment, key)),
    ]
}

/// A node's answers according to the current content. Every third node is faulty: it denies all matches, and states a
/// version that may be `version_lag` too low. So at most one of the three replicas of a segment is on a faulty node.
fn answers(cluster: &ClusterModel, request: &CanMatchRequest, version_lag: u64) -> Vec<SegmentAnswer> {
    let answer = |segment: SegmentIndex| {
        let version = cluster.version(segment);
        if request.node.is_multiple_of(3) {
            let version = version.saturating_sub(version_lag).max(1);
            return SegmentAnswer { segment, answer: CanMatch::CannotMatch, version };
        }
        let matches = cluster.matches(request.key, segment, version);
        let answer = if matches { CanMatch::MayMatch } else { CanMatch::CannotMatch };
        SegmentAnswer { segment, answer, version }
    };
    request.segments.iter().copied().map(answer).collect()
}

fn proptest_config() -> ProptestConfig {
    // A fixed seed gives the same cases in each run, so that CI is deterministic. PROPTEST_CASES sets the number of
    // cases.
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(18), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(proptest_config())]

    /// With one faulty replica of each segment, which denies matches and states old versions, a segment is pruned only
    /// if one of its versions from the query's arrival to its plan has no match. Each plan is made in time and covers
    /// all segments of its query, and no query gets a second plan.
    #[test]
    fn one_faulty_replica_is_tolerated(
        steps in prop::collection::vec(step(), 1..300),
        seed in 0..1000u64,
        version_lag in 0..3u64,
    ) {
        let (mut prefilter, mut cluster) = (Prefilter::new(PrefilterConfig { audit_ratio: 0.2, ..config() }, seed), ClusterModel::default());
        let (mut now, mut last_id) = (0.0, 0);
        let mut requests: Vec<CanMatchRequest> = Vec::new();
        let mut decided_answers: BTreeMap<u64, Vec<SegmentAnswer>> = BTreeMap::new();
        // Queries without a plan, each with its arrival time and all versions that its segments have had since then.
        type Waiting = (PrefilterQuery, f64, BTreeMap<SegmentIndex, BTreeSet<Version>>);
        let mut waiting: BTreeMap<QueryId, Waiting> = BTreeMap::new();
        let mut planned: Vec<QueryId> = Vec::new();
        for step in steps {
            let mut actions = Vec::new();
            match step {
                Step::Open { from, count, key, time_left_seconds } => {
                    last_id += 1;
                    let segments: Vec<_> = (0..count).map(|i| (from + i) % SEGMENT_COUNT).collect();
                    let query = PrefilterQuery { id: last_id, query_class: 0, key, idempotent: true, complete_at: 1.0, time_left_seconds, segments: segments.clone() };
                    let seen_versions = segments.iter().map(|segment| (*segment, BTreeSet::from([cluster.version(*segment)]))).collect();
                    waiting.insert(last_id, (query.clone(), now, seen_versions));
                    actions = prefilter.open(now, &cluster, query);
                }
                Step::Answer(at) if !requests.is_empty() => {
                    let request = requests.remove(at % requests.len());
                    let answers = decided_answers.remove(&request.id).unwrap_or_else(|| answers(&cluster, &request, version_lag));
                    actions = prefilter.on_response(now, &cluster, request.id, &answers);
                }
                Step::DecideAnswer(at) if !requests.is_empty() => {
                    let request = &requests[at % requests.len()];
                    decided_answers.entry(request.id).or_insert_with(|| answers(&cluster, request, version_lag));
                }
                Step::Fail(at) if !requests.is_empty() => {
                    let request = requests.remove(at % requests.len());
                    actions = prefilter.on_failure(now, &cluster, request.id, RequestFailure::Timeout);
                }
                Step::Wait(seconds) => {
                    now += seconds;
                    actions = prefilter.on_deadline(now);
                    prop_assert!(prefilter.next_deadline().is_none_or(|due| due > now));
                }
                Step::ChangeContent(segment) => {
                    let version = cluster.version(segment) + 1;
                    cluster.versions.insert(segment, version);
                    for (_, _, seen_versions) in waiting.values_mut() {
                        if let Some(seen_versions) = seen_versions.get_mut(&segment) {
                            seen_versions.insert(version);
                        }
                    }
                }
                Step::Drain(node) if cluster.drained.len() < 3 => {
                    cluster.drained.insert(node);
                },
                Step::Drain(_) => cluster.drained.clear(),
                Step::EndQuery(at) if !planned.is_empty() => {
                    let id = planned.remove(at % planned.len());
                    prefilter.on_query_end(now, id, true);
                }
                Step::Audit => {
                    if let Some(audit) = prefilter.audit(&cluster) {
                        let version = cluster.version(audit.segment);
                        let found = cluster.matches(audit.key, audit.segment, version);
                        prefilter.record_search(now, audit.key, audit.segment, version, found);
                    }
                }
                Step::Search(segment, key) => {
                    let version = cluster.version(segment);
                    prefilter.record_search(now, key, segment, version, cluster.matches(key, segment, version));
                }
                _ => {}
            }
            actions.extend(prefilter.flush(now));
            for action in actions {
                match action {
                    Action::Send(request) => {
                        let has_replica = |segment: &SegmentIndex| cluster.replicas(*segment).contains(&request.node);
                        prop_assert!(request.segments.iter().all(has_replica));
                        requests.push(request);
                    }
                    Action::Search(plan) => {
                        let (query, arrived_at, seen_versions) = waiting.remove(&plan.query).expect("each query gets one plan");
                        prop_assert!(now <= arrived_at + 0.3 * query.time_left_seconds + 0.4 + 1e-9);
                        let mut covered: Vec<SegmentIndex> = plan.search.clone();
                        covered.extend(plan.pruned.iter().map(|pruned| pruned.segment));
                        covered.sort_unstable();
                        let mut all = query.segments.clone();
                        all.sort_unstable();
                        prop_assert_eq!(covered, all);
                        for pruned in &plan.pruned {
                            let had_no_match = seen_versions[&pruned.segment].iter().any(|v| !cluster.matches(query.key, pruned.segment, *v));
                            prop_assert!(had_no_match, "{pruned:?} matched in every version since the query arrived");
                        }
                        planned.push(plan.query);
                    }
                }
            }
        }
    }
}
