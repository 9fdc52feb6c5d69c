//! The prefilter against a model that knows the truth: replicas that misstate, lag, stall and disagree, content that changes.

use std::collections::{BTreeMap, BTreeSet};

use dunepond_prefilter::*;
use proptest::prelude::*;

const SEGS: usize = 24;
const NODES: usize = 12;

/// A ring: a segment is replicated on the node of its half number and the next two. Its content in a version matches a
/// text or does not, for good.
#[derive(Clone, Default)]
struct World {
    versions: BTreeMap<SegmentIndex, Version>,
    drained: BTreeSet<NodeId>,
    pressed: bool,
}

impl World {
    fn version(&self, segment: SegmentIndex) -> Version {
        self.versions.get(&segment).copied().unwrap_or(1)
    }

    fn matches(&self, key: QueryKey, segment: SegmentIndex, version: Version) -> bool {
        let mut hash = key.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (segment as u64) << 32 ^ version;
        hash = (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (hash ^ hash >> 32).is_multiple_of(4)
    }
}

impl NodeView for World {
    fn replicas(&self, segment: SegmentIndex) -> Vec<NodeId> {
        let all = (0..3).map(|j| (segment / 2 + j) % NODES);
        all.filter(|node| !self.drained.contains(node)).collect()
    }

    fn outstanding(&self, node: NodeId) -> usize {
        node % 2
    }

    fn is_congested(&self) -> bool {
        self.pressed
    }
}

fn config() -> PrefilterConfig {
    PrefilterConfig {
        min_segments: 4,
        time_ratio: 0.3,
        max_age_seconds: 0.0,
        max_entries: 500,
        audit_ratio: 0.02,
    }
}

fn query(id: QueryId, segments: std::ops::Range<usize>) -> PrefilterQuery {
    PrefilterQuery {
        id,
        query_class: 0,
        key: id % 7,
        idempotent: true,
        complete_at: 1.0,
        time_left_seconds: 4.0,
        segments: segments.collect(),
    }
}

fn requests(actions: &[Action]) -> Vec<CanMatchRequest> {
    let mut requests = Vec::new();
    for action in actions {
        if let Action::Send(request) = action {
            requests.push(request.clone());
        }
    }
    requests
}

fn plan(actions: &[Action], query_id: QueryId) -> Option<SearchPlan> {
    let mut plans =
        actions.iter().filter_map(|action| if let Action::Search(plan) = action { Some(plan) } else { None });
    plans.find(|plan| plan.query == query_id).cloned()
}

/// An answer about the first version.
fn segment_answer(segment: SegmentIndex, answer: CanMatch) -> SegmentAnswer {
    SegmentAnswer { segment, answer, version: 1 }
}

/// Answers all requests alike, until there is a plan.
fn answer_all(
    prefilter: &mut Prefilter,
    world: &World,
    actions: Vec<Action>,
    query_id: QueryId,
    answer: CanMatch,
) -> SearchPlan {
    let mut actions = actions;
    loop {
        if let Some(plan) = plan(&actions, query_id) {
            return plan;
        }
        let requests = requests(&actions);
        assert!(!requests.is_empty(), "it waits for nothing and has no plan");
        actions.clear();
        for request in requests {
            let answers: Vec<_> =
                request.segments.iter().map(|segment| segment_answer(*segment, answer)).collect();
            actions.extend(prefilter.on_response(0.1, world, request.id, &answers));
        }
        actions.extend(prefilter.flush(0.1));
    }
}

#[test]
fn one_request_per_node() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    let requests = requests(&opened(&mut prefilter, 0.0, &world, query(1, 0..24)));
    let nodes: BTreeSet<_> = requests.iter().map(|request| request.node).collect();
    assert_eq!(nodes.len(), requests.len());
    assert_eq!(requests.iter().map(|request| request.segments.len()).sum::<usize>(), 24);
}

/// Two queries of one text within an iteration share requests; one that comes when these were sent asks again, as an answer
/// in flight may have been decided before it came.
#[test]
fn shares_requests_within_iteration() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    // Shown to be beneficial, or only one at a time would be tried.
    for id in 100..120 {
        let actions = opened(&mut prefilter, 0.0, &world, query(id, 0..8));
        if !requests(&actions).is_empty() {
            answer_all(&mut prefilter, &world, actions, id, CanMatch::CannotMatch);
        }
        prefilter.on_query_end(0.1, id, true);
    }
    let same = |id| PrefilterQuery { key: 5, ..query(id, 0..8) };
    assert_eq!(prefilter.open(1.0, &world, same(1)), []);
    assert_eq!(prefilter.open(1.0, &world, same(2)), []);
    let first = requests(&prefilter.flush(1.0));
    assert_eq!(first.iter().map(|request| request.segments.len()).sum::<usize>(), 8);
    let later = requests(&opened(&mut prefilter, 1.0, &world, same(3)));
    assert_eq!(later.iter().map(|request| request.segments.len()).sum::<usize>(), 8);
}

#[test]
fn pruning_all_gives_empty_plan() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    let actions = opened(&mut prefilter, 0.0, &world, query(1, 0..8));
    let plan = answer_all(&mut prefilter, &world, actions, 1, CanMatch::CannotMatch);
    assert_eq!((plan.search.len(), plan.pruned.len()), (0, 8));
}

#[test]
fn no_denials_search_all() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    let actions = opened(&mut prefilter, 0.0, &world, query(1, 0..8));
    let plan = answer_all(&mut prefilter, &world, actions, 1, CanMatch::MayMatch);
    assert_eq!((plan.search.len(), plan.pruned.len()), (8, 0));
}

/// Whether one node stalls or all: what was not answered by the deadline is searched, and a late answer changes nothing.
#[test]
fn late_answers_do_not_count() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    let requests = requests(&opened(&mut prefilter, 0.0, &world, query(1, 0..8)));
    let due = prefilter.next_deadline().unwrap();
    assert!((due - 0.3 * 4.0).abs() < 1e-9);
    assert_eq!(prefilter.on_deadline(due - 0.01), []);
    let plan = plan(&prefilter.on_deadline(due), 1).unwrap();
    assert_eq!(plan.search.len(), 8);
    for request in requests {
        let denials: Vec<_> =
            request.segments.iter().map(|segment| segment_answer(*segment, CanMatch::CannotMatch)).collect();
        assert_eq!(prefilter.on_response(due + 0.1, &world, request.id, &denials), []);
    }
    assert_eq!(prefilter.in_flight(), InFlight::default());
}

#[test]
fn failed_requests_search_segments() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    let mut actions = opened(&mut prefilter, 0.0, &world, query(1, 0..8));
    for request in requests(&actions) {
        actions.extend(prefilter.on_failure(0.1, &world, request.id, RequestFailure::NoConnection));
    }
    actions.extend(prefilter.flush(0.1));
    assert_eq!(plan(&actions, 1).unwrap().search.len(), 8);
}

#[test]
fn ineligible_queries_search_directly() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    let plain = |prefilter: &mut Prefilter, world: &World, wide: PrefilterQuery| {
        let id = wide.id;
        let actions = opened(prefilter, 0.0, world, wide);
        requests(&actions).is_empty() && plan(&actions, id).is_some()
    };
    assert!(plain(&mut prefilter, &world, query(1, 0..3)));
    assert!(plain(&mut prefilter, &world, PrefilterQuery { idempotent: false, ..query(2, 0..8) }));
    assert!(plain(&mut prefilter, &world, PrefilterQuery { complete_at: 0.6, ..query(5, 0..8) }));
    assert!(plain(&mut prefilter, &World { pressed: true, ..World::default() }, query(3, 0..8)));
    assert!(!plain(&mut prefilter, &world, query(4, 0..8)));
}

/// Its client has too little time for both: the search alone may still fit.
#[test]
fn short_deadline_searches_directly() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    for id in 0..20 {
        let actions = opened(&mut prefilter, 0.0, &world, query(id, 0..8));
        if !requests(&actions).is_empty() {
            answer_all(&mut prefilter, &world, actions, id, CanMatch::CannotMatch);
        }
        prefilter.on_query_end(1.0, id, true);
    }
    let hasty = PrefilterQuery { time_left_seconds: 1.2, ..query(30, 0..8) };
    assert!(requests(&opened(&mut prefilter, 0.0, &world, hasty)).is_empty());
}

/// The content changed after the plan: what was pruned on the old version must be searched.
#[test]
fn changed_content_revokes_pruning() {
    let (mut prefilter, world) = (Prefilter::new(config(), 1), World::default());
    let actions = opened(&mut prefilter, 0.0, &world, query(1, 0..8));
    answer_all(&mut prefilter, &world, actions, 1, CanMatch::CannotMatch);
    assert_eq!(prefilter.take_revoked(1), []);
    prefilter.record_search(0.2, 5, 3, 2, true);
    assert_eq!(prefilter.take_revoked(1), [3]);
    assert_eq!(prefilter.take_revoked(1), []);
}

/// One refutation, and the node is distrusted until it has been confirmed again.
#[test]
fn refuted_nodes_are_distrusted() {
    let (mut prefilter, world) =
        (Prefilter::new(PrefilterConfig { audit_ratio: 1.0, ..config() }, 1), World::default());
    let actions = opened(&mut prefilter, 0.0, &world, query(1, 0..8));
    let plan = answer_all(&mut prefilter, &world, actions, 1, CanMatch::CannotMatch);
    let audit = prefilter.audit(&world).unwrap();
    assert!(plan.pruned.iter().any(|left| left.segment == audit.segment));
    assert!(prefilter.record_search(0.3, audit.key, audit.segment, 1, true));
    assert_eq!(prefilter.distrusted_nodes(), 2);
    assert!(prefilter.take_revoked(1).contains(&audit.segment));
}

#[test]
fn no_audit_under_overload() {
    let (mut prefilter, world) =
        (Prefilter::new(PrefilterConfig { audit_ratio: 1.0, ..config() }, 1), World::default());
    let actions = opened(&mut prefilter, 0.0, &world, query(1, 0..8));
    answer_all(&mut prefilter, &world, actions, 1, CanMatch::CannotMatch);
    assert_eq!(prefilter.audit(&World { pressed: true, ..World::default() }), None);
    assert_eq!(prefilter.audit(&world), None);
}

#[derive(Clone, Debug)]
enum Step {
    Open {
        from: usize,
        count: usize,
        key: QueryKey,
        left: f64,
    },
    /// The oldest but so many requests is answered, or fails; or its node decides, and the answer is in flight until
    /// later.
    Answer(usize),
    Forms(usize),
    Fail(usize),
    Wait(f64),
    Moves(SegmentIndex),
    Drains(NodeId),
    Finish(usize),
    Audit,
    Search(SegmentIndex, QueryKey),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..SEGS, 1..20usize, 0..5u64, 0.1..5.0f64)
            .prop_map(|(from, count, key, left)| Step::Open { from, count, key, left }),
        8 => (0..9usize).prop_map(Step::Answer),
        3 => (0..9usize).prop_map(Step::Forms),
        1 => (0..9usize).prop_map(Step::Fail),
        2 => (0.0..0.4f64).prop_map(Step::Wait),
        1 => (0..SEGS).prop_map(Step::Moves),
        1 => (0..NODES).prop_map(Step::Drains),
        2 => (0..9usize).prop_map(Step::Finish),
        1 => Just(Step::Audit),
        1 => (0..SEGS, 0..5u64).prop_map(|(segment, key)| Step::Search(segment, key)),
    ]
}

/// Opens a query, and sends its requests unless it has a plan.
fn opened(prefilter: &mut Prefilter, now: f64, world: &World, wide: PrefilterQuery) -> Vec<Action> {
    let mut actions = prefilter.open(now, world, wide);
    actions.extend(prefilter.flush(now));
    actions
}

/// What a node answers now. Each third one misstates, so at most one of any three neighbours.
fn answers(world: &World, request: &CanMatchRequest, back: u64) -> Vec<SegmentAnswer> {
    let answer = |segment: SegmentIndex| {
        let version = world.version(segment);
        if request.node.is_multiple_of(3) {
            let version = version.saturating_sub(back).max(1);
            return SegmentAnswer { segment, answer: CanMatch::CannotMatch, version };
        }
        let matches = world.matches(request.key, segment, version);
        let answer = if matches { CanMatch::MayMatch } else { CanMatch::CannotMatch };
        SegmentAnswer { segment, answer, version }
    };
    request.segments.iter().copied().map(answer).collect()
}

fn fixed() -> ProptestConfig {
    // The same cases each time: CI must not depend on chance. PROPTEST_CASES sets a larger number.
    ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(18), ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    /// With one faulty replica of each segment, which denies what matches and states any version, no segment is pruned that
    /// matched in every version it had from the query's arrival to its plan; and each query has one plan, in time, over all
    /// its segments.
    #[test]
    fn one_faulty_replica_is_tolerated(
        steps in prop::collection::vec(step(), 1..300),
        seed in 0..1000u64,
        back in 0..3u64,
    ) {
        let (mut prefilter, mut world) = (Prefilter::new(PrefilterConfig { audit_ratio: 0.2, ..config() }, seed), World::default());
        let (mut now, mut last) = (0.0, 0);
        let mut out: Vec<CanMatchRequest> = Vec::new();
        let mut formed: BTreeMap<u64, Vec<SegmentAnswer>> = BTreeMap::new();
        // Queries without a plan, with their arrival and the versions of their segments since.
        type Waiting = (PrefilterQuery, f64, BTreeMap<SegmentIndex, BTreeSet<Version>>);
        let mut waiting: BTreeMap<QueryId, Waiting> = BTreeMap::new();
        let mut judged: Vec<QueryId> = Vec::new();
        for step in steps {
            let mut actions = Vec::new();
            match step {
                Step::Open { from, count, key, left } => {
                    last += 1;
                    let segments: Vec<_> = (0..count).map(|i| (from + i) % SEGS).collect();
                    let wide = PrefilterQuery { id: last, query_class: 0, key, idempotent: true, complete_at: 1.0, time_left_seconds: left, segments: segments.clone() };
                    let had = segments.iter().map(|segment| (*segment, BTreeSet::from([world.version(*segment)]))).collect();
                    waiting.insert(last, (wide.clone(), now, had));
                    actions = prefilter.open(now, &world, wide);
                }
                Step::Answer(at) if !out.is_empty() => {
                    let request = out.remove(at % out.len());
                    let answers = formed.remove(&request.id).unwrap_or_else(|| answers(&world, &request, back));
                    actions = prefilter.on_response(now, &world, request.id, &answers);
                }
                Step::Forms(at) if !out.is_empty() => {
                    let request = &out[at % out.len()];
                    formed.entry(request.id).or_insert_with(|| answers(&world, request, back));
                }
                Step::Fail(at) if !out.is_empty() => {
                    let request = out.remove(at % out.len());
                    actions = prefilter.on_failure(now, &world, request.id, RequestFailure::Timeout);
                }
                Step::Wait(seconds) => {
                    now += seconds;
                    actions = prefilter.on_deadline(now);
                    prop_assert!(prefilter.next_deadline().is_none_or(|due| due > now));
                }
                Step::Moves(segment) => {
                    let version = world.version(segment) + 1;
                    world.versions.insert(segment, version);
                    for (_, _, had) in waiting.values_mut() {
                        if let Some(had) = had.get_mut(&segment) {
                            had.insert(version);
                        }
                    }
                }
                Step::Drains(node) if world.drained.len() < 3 => {
                    world.drained.insert(node);
                },
                Step::Drains(_) => world.drained.clear(),
                Step::Finish(at) if !judged.is_empty() => {
                    let id = judged.remove(at % judged.len());
                    prefilter.on_query_end(now, id, true);
                }
                Step::Audit => {
                    if let Some(audit) = prefilter.audit(&world) {
                        let version = world.version(audit.segment);
                        let found = world.matches(audit.key, audit.segment, version);
                        prefilter.record_search(now, audit.key, audit.segment, version, found);
                    }
                }
                Step::Search(segment, key) => {
                    let version = world.version(segment);
                    prefilter.record_search(now, key, segment, version, world.matches(key, segment, version));
                }
                _ => {}
            }
            actions.extend(prefilter.flush(now));
            for order in actions {
                match order {
                    Action::Send(request) => {
                        let holders = |segment: &SegmentIndex| world.replicas(*segment).contains(&request.node);
                        prop_assert!(request.segments.iter().all(holders));
                        out.push(request);
                    }
                    Action::Search(plan) => {
                        let (wide, came, had) = waiting.remove(&plan.query).expect("one plan a query_id");
                        prop_assert!(now <= came + 0.3 * wide.time_left_seconds + 0.4 + 1e-9);
                        let mut covered: Vec<SegmentIndex> = plan.search.clone();
                        covered.extend(plan.pruned.iter().map(|left| left.segment));
                        covered.sort_unstable();
                        let mut all = wide.segments.clone();
                        all.sort_unstable();
                        prop_assert_eq!(covered, all);
                        for left in &plan.pruned {
                            let empty = had[&left.segment].iter().any(|v| !world.matches(wide.key, left.segment, *v));
                            prop_assert!(empty, "{left:?} matched all the time");
                        }
                        judged.push(plan.query);
                    }
                }
            }
        }
    }
}
