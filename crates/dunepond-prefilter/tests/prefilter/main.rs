//! Tests of the prefilter against a cluster model that knows the actual content: replicas that answer falsely, lag,
//! stall and disagree, and content that changes.

mod cluster_model;
mod properties;

use std::collections::BTreeSet;

use dunepond_prefilter::*;

use cluster_model::{ClusterModel, config, query};

/// The requests among `actions`.
fn requests(actions: &[Action]) -> Vec<CanMatchRequest> {
    let mut requests = Vec::new();
    for action in actions {
        if let Action::Send(request) = action {
            requests.push(request.clone());
        }
    }
    requests
}

/// The search plan of a query among `actions`.
fn plan(actions: &[Action], query_id: QueryId) -> Option<SearchPlan> {
    let mut plans =
        actions.iter().filter_map(|action| if let Action::Search(plan) = action { Some(plan) } else { None });
    plans.find(|plan| plan.query == query_id).cloned()
}

/// An answer about version 1 of a segment.
fn segment_answer(segment: SegmentIndex, answer: CanMatch) -> SegmentAnswer {
    SegmentAnswer { segment, answer, version: 1 }
}

/// Gives the same answer to all requests until the query has a plan, and returns the plan.
fn answer_all(
    prefilter: &mut Prefilter,
    cluster: &ClusterModel,
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
        assert!(!requests.is_empty(), "query {query_id} waits for nothing and has no plan");
        actions.clear();
        for request in requests {
            let answers: Vec<_> =
                request.segments.iter().map(|segment| segment_answer(*segment, answer)).collect();
            actions.extend(prefilter.on_response(0.1, cluster, request.id, &answers));
        }
        actions.extend(prefilter.flush(0.1));
    }
}

#[test]
fn one_request_per_node() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    let requests = requests(&open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..24)));
    let nodes: BTreeSet<_> = requests.iter().map(|request| request.node).collect();
    assert_eq!(nodes.len(), requests.len());
    assert_eq!(requests.iter().map(|request| request.segments.len()).sum::<usize>(), 24);
}

/// Queries of the same text that are opened in the same iteration of the event loop share requests. A query that is
/// opened after these requests were sent asks again, because an answer in flight may have been decided before the query
/// arrived.
#[test]
fn shares_requests_within_iteration() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    // These queries provide the samples that show prefiltering to be beneficial. Without them, only one query at a time
    // would be prefiltered.
    for id in 100..120 {
        let actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(id, 0..8));
        if !requests(&actions).is_empty() {
            answer_all(&mut prefilter, &cluster, actions, id, CanMatch::CannotMatch);
        }
        prefilter.on_query_end(0.1, id, true);
    }
    let same_text = |id| PrefilterQuery { key: 5, ..query(id, 0..8) };
    assert_eq!(prefilter.open(1.0, &cluster, same_text(1)), []);
    assert_eq!(prefilter.open(1.0, &cluster, same_text(2)), []);
    let first = requests(&prefilter.flush(1.0));
    assert_eq!(first.iter().map(|request| request.segments.len()).sum::<usize>(), 8);
    let later = requests(&open_and_flush(&mut prefilter, 1.0, &cluster, same_text(3)));
    assert_eq!(later.iter().map(|request| request.segments.len()).sum::<usize>(), 8);
}

#[test]
fn pruning_all_gives_empty_plan() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    let actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..8));
    let plan = answer_all(&mut prefilter, &cluster, actions, 1, CanMatch::CannotMatch);
    assert_eq!((plan.search.len(), plan.pruned.len()), (0, 8));
}

#[test]
fn no_denials_search_all() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    let actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..8));
    let plan = answer_all(&mut prefilter, &cluster, actions, 1, CanMatch::MayMatch);
    assert_eq!((plan.search.len(), plan.pruned.len()), (8, 0));
}

/// Segments without an answer by the deadline are searched, and later answers do not change the plan.
#[test]
fn late_answers_do_not_count() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    let requests = requests(&open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..8)));
    let due = prefilter.next_deadline().unwrap();
    assert!((due - 0.3 * 4.0).abs() < 1e-9);
    assert_eq!(prefilter.on_deadline(due - 0.01), []);
    let plan = plan(&prefilter.on_deadline(due), 1).unwrap();
    assert_eq!(plan.search.len(), 8);
    for request in requests {
        let denials: Vec<_> =
            request.segments.iter().map(|segment| segment_answer(*segment, CanMatch::CannotMatch)).collect();
        assert_eq!(prefilter.on_response(due + 0.1, &cluster, request.id, &denials), []);
    }
    assert_eq!(prefilter.in_flight(), InFlight::default());
}

#[test]
fn failed_requests_search_segments() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    let mut actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..8));
    for request in requests(&actions) {
        actions.extend(prefilter.on_failure(0.1, &cluster, request.id, RequestFailure::NoConnection));
    }
    actions.extend(prefilter.flush(0.1));
    assert_eq!(plan(&actions, 1).unwrap().search.len(), 8);
}

#[test]
fn ineligible_queries_search_directly() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    let is_direct = |prefilter: &mut Prefilter, cluster: &ClusterModel, query: PrefilterQuery| {
        let id = query.id;
        let actions = open_and_flush(prefilter, 0.0, cluster, query);
        requests(&actions).is_empty() && plan(&actions, id).is_some()
    };
    assert!(is_direct(&mut prefilter, &cluster, query(1, 0..3)));
    assert!(is_direct(&mut prefilter, &cluster, PrefilterQuery { idempotent: false, ..query(2, 0..8) }));
    assert!(is_direct(&mut prefilter, &cluster, PrefilterQuery { complete_at: 0.6, ..query(5, 0..8) }));
    assert!(is_direct(
        &mut prefilter,
        &ClusterModel { congested: true, ..ClusterModel::default() },
        query(3, 0..8)
    ));
    assert!(!is_direct(&mut prefilter, &cluster, query(4, 0..8)));
}

/// A query with too little time for asking and searching is searched directly.
#[test]
fn short_deadline_searches_directly() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    for id in 0..20 {
        let actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(id, 0..8));
        if !requests(&actions).is_empty() {
            answer_all(&mut prefilter, &cluster, actions, id, CanMatch::CannotMatch);
        }
        prefilter.on_query_end(1.0, id, true);
    }
    let short = PrefilterQuery { time_left_seconds: 1.2, ..query(30, 0..8) };
    assert!(requests(&open_and_flush(&mut prefilter, 0.0, &cluster, short)).is_empty());
}

/// If a segment's content changes after the plan was made, pruning on the old version is revoked.
#[test]
fn changed_content_revokes_pruning() {
    let (mut prefilter, cluster) = (Prefilter::new(config(), 1), ClusterModel::default());
    let actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..8));
    answer_all(&mut prefilter, &cluster, actions, 1, CanMatch::CannotMatch);
    assert_eq!(prefilter.take_revoked(1), []);
    prefilter.record_search(0.2, 5, 3, 2, true);
    assert_eq!(prefilter.take_revoked(1), [3]);
    assert_eq!(prefilter.take_revoked(1), []);
}

/// After a search finds a match in a pruned segment, the two nodes that denied it are distrusted and the pruning is
/// revoked.
#[test]
fn refuted_nodes_are_distrusted() {
    let (mut prefilter, cluster) =
        (Prefilter::new(PrefilterConfig { audit_ratio: 1.0, ..config() }, 1), ClusterModel::default());
    let actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..8));
    let plan = answer_all(&mut prefilter, &cluster, actions, 1, CanMatch::CannotMatch);
    let audit = prefilter.audit(&cluster).unwrap();
    assert!(plan.pruned.iter().any(|pruned| pruned.segment == audit.segment));
    assert!(prefilter.record_search(0.3, audit.key, audit.segment, 1, true));
    assert_eq!(prefilter.distrusted_nodes(), 2);
    assert!(prefilter.take_revoked(1).contains(&audit.segment));
}

#[test]
fn no_audit_under_overload() {
    let (mut prefilter, cluster) =
        (Prefilter::new(PrefilterConfig { audit_ratio: 1.0, ..config() }, 1), ClusterModel::default());
    let actions = open_and_flush(&mut prefilter, 0.0, &cluster, query(1, 0..8));
    answer_all(&mut prefilter, &cluster, actions, 1, CanMatch::CannotMatch);
    assert_eq!(prefilter.audit(&ClusterModel { congested: true, ..ClusterModel::default() }), None);
    assert_eq!(prefilter.audit(&cluster), None);
}

/// Opens a query, and returns its plan or its requests.
fn open_and_flush(
    prefilter: &mut Prefilter,
    now: f64,
    cluster: &ClusterModel,
    query: PrefilterQuery,
) -> Vec<Action> {
    let mut actions = prefilter.open(now, cluster, query);
    actions.extend(prefilter.flush(now));
    actions
}
