//! The prefilter against a model that knows the truth: replicas that misstate, lag, stall and disagree, content that changes.

mod properties;
mod world;

use std::collections::BTreeSet;

use dunepond_prefilter::*;

use world::{World, config, query};

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

/// Opens a query, and sends its requests unless it has a plan.
fn opened(prefilter: &mut Prefilter, now: f64, world: &World, wide: PrefilterQuery) -> Vec<Action> {
    let mut actions = prefilter.open(now, world, wide);
    actions.extend(prefilter.flush(now));
    actions
}
