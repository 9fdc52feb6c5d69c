//! Valid and invalid responses of nodes, the merging of hits, and partial responses to clients.

use dunepond_search_api::hits::{ExpectedResult, Hit, HitDocument, HitMerger, PartResult};
use dunepond_search_api::node::{NodeOutcome, read_response};
use dunepond_search_api::request::{TrackTotalHits, parse};
use dunepond_search_api::response::{self, MissingPart, PartOutcomes};
use dunepond_search_api::*;
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

const EXPECTED: ExpectedResult =
    ExpectedResult { index: "full-search", max_hits: 3, sort_keys: Some(0), total_untracked: false };

fn document(hits: Value, total: u64) -> Value {
    json!({"timed_out": false, "_shards": {"total": 1, "successful": 1, "failed": 0},
        "hits": {"total": {"value": total, "relation": "eq"}, "max_score": 2.0, "hits": hits}})
}

fn hit(id: &str, score: f64) -> Value {
    json!({"_index": "full-search", "_id": id, "_score": score, "_source": {"a": id}})
}

#[test]
fn parses_valid_response() {
    let bytes = document(json!([hit("a", 2.0), hit("b", 1.0)]), 7).to_string();
    let found = PartResult::parse(bytes.as_bytes(), &EXPECTED).unwrap();
    assert_eq!((found.total, found.total_is_exact, found.hits.len()), (7, true, 2));
}

#[rstest]
#[case::broken(|d: Value| d.to_string()[..40].to_string(), "EOF")]
#[case::behind(|d: Value| d.to_string() + "x", "trailing")]
#[case::twice(|d: Value| d.to_string().replacen("\"timed_out\"", "\"timed_out\":false,\"timed_out\"", 1), "duplicate field")]
#[case::timed_out(|mut d: Value| { d["timed_out"] = json!(true); d.to_string() }, "timed_out")]
#[case::shards(|mut d: Value| { d["_shards"]["failed"] = json!(1); d.to_string() }, "_shards.failed")]
// The names of types stand in the node's log lines: renaming them must not change these.
#[case::shards_type(|mut d: Value| { d["_shards"] = json!(false); d.to_string() }, "expected struct Shards")]
#[case::hit_type(|mut d: Value| { d["hits"]["hits"][0] = json!([]); d.to_string() }, "struct OneHit with 5 elements")]
#[case::no_hits(|mut d: Value| { d["hits"] = json!([]); d.to_string() }, "hits: an object")]
#[case::another_index(|mut d: Value| { d["hits"]["hits"][0]["_index"] = json!("x"); d.to_string() }, "of another index")]
#[case::no_id(|mut d: Value| { d["hits"]["hits"][0]["_id"] = json!(null); d.to_string() }, "expected a string")]
#[case::too_many(|mut d: Value| { d["hits"]["hits"] = json!([hit("a", 1.0), hit("b", 1.0), hit("c", 1.0), hit("d", 1.0)]); d.to_string() }, "more than the 3 asked for")]
#[case::total(|mut d: Value| { d["hits"]["total"]["value"] = json!(1); d.to_string() }, "less than there are hits")]
#[case::no_total(|mut d: Value| { d["hits"]["total"] = json!(5); d.to_string() }, "Total")]
#[case::keys(|mut d: Value| { d["hits"]["hits"][0]["sort"] = json!([1]); d.to_string() }, "1 keys where 0")]
#[case::deep(|_: Value| "[".repeat(100_000), "an object")]
#[case::deep_inside(|d: Value| d.to_string().replacen("\"timed_out\"", &format!("\"x\":{},\"timed_out\"", "[".repeat(100_000)), 1), "expected value")]
fn invalid_response_fails_the_part(#[case] spoil: fn(Value) -> String, #[case] why: &str) {
    let bytes = spoil(document(json!([hit("a", 2.0), hit("b", 1.0)]), 7));
    let NodeOutcome::Failed(said) = read_response(200, bytes.as_bytes(), Some(&EXPECTED)) else { panic!() };
    assert!(said.contains(why), "{said}");
}

#[rstest]
#[case::rejected(429, "rejected_execution_exception", true)]
#[case::rejected_503(503, "rejected_execution_exception", true)]
#[case::another_429(429, "circuit_breaking_exception", false)]
#[case::another_503(503, "search_phase_execution_exception", false)]
#[case::fault(500, "rejected_execution_exception", false)]
#[case::missing(404, "index_not_found_exception", false)]
fn only_rejected_execution_never_ran(#[case] status: u16, #[case] kind: &str, #[case] never_ran: bool) {
    let body = json!({"error": {"type": kind, "reason": "x"}, "status": status}).to_string();
    let rejected = matches!(read_response(status, body.as_bytes(), Some(&EXPECTED)), NodeOutcome::Rejected);
    assert_eq!(rejected, never_ran);
    // Without a body that says so it may come from anything between broker and node.
    assert!(!matches!(read_response(status, b"busy", None), NodeOutcome::Rejected));
}

#[rstest]
#[case::good(json!({"timed_out": false, "updated": 3, "failures": []}), Some(3))]
#[case::timed_out(json!({"timed_out": true, "updated": 3, "failures": []}), None)]
#[case::failures(json!({"timed_out": false, "updated": 3, "failures": [{}]}), None)]
#[case::silent(json!({"timed_out": false, "failures": []}), None)]
fn update_counts_only_if_complete(#[case] body: Value, #[case] count: Option<u64>) {
    let found = read_response(200, body.to_string().as_bytes(), None);
    let told = if let NodeOutcome::Updated(count) = found { Some(count) } else { None };
    assert_eq!(told, count);
}

fn found(hits: &[(&str, f64)]) -> PartResult {
    let hit = |(id, score): &(&str, f64)| Hit {
        id: id.to_string(),
        score: Some(*score),
        sort: vec![],
        source: None,
    };
    let hits: Vec<_> = hits.iter().map(hit).collect();
    PartResult {
        total: hits.len() as u64,
        total_is_exact: true,
        max_score: Some(1.0),
        hits,
        terminated_early: false,
    }
}

fn ids(hits: &[HitDocument]) -> Vec<String> {
    hits.iter().map(|hit| hit.id.clone()).collect()
}

#[test]
fn merges_first_hits_with_stable_ties() {
    let parts = [(2, found(&[("c", 1.0), ("d", 1.0)])), (0, found(&[("a", 1.0)])), (1, found(&[("b", 3.0)]))];
    for order in [[0, 1, 2], [2, 1, 0], [1, 0, 2]] {
        let mut merge = HitMerger::new(&[], 3);
        for at in order {
            merge.add(parts[at].0, parts[at].1.clone());
            assert!(merge.hit_count() <= 3);
        }
        assert_eq!(merge.total, 4);
        assert_eq!(ids(&merge.into_hits("x", 0)), ["b", "a", "c"]);
    }
}

fn sorted(keys: &[Value]) -> PartResult {
    let hits = keys.iter().enumerate().map(|(i, key)| Hit {
        id: i.to_string(),
        score: None,
        sort: vec![key.clone()],
        source: None,
    });
    PartResult {
        total: 9,
        total_is_exact: true,
        max_score: None,
        hits: hits.collect(),
        terminated_early: false,
    }
}

#[rstest]
#[case::up(false, false, ["1", "3", "0", "2"])]
#[case::down(true, false, ["0", "3", "1", "2"])]
#[case::missing_first(false, true, ["2", "1", "3", "0"])]
fn sorts_by_keys_and_missing(
    #[case] descending: bool,
    #[case] missing_first: bool,
    #[case] expected: [&str; 4],
) {
    let sort = [SortKey { field: "n".into(), descending, missing_first }];
    let mut merge = HitMerger::new(&sort, 10);
    merge.add(0, sorted(&[json!(10), json!(2), Value::Null, json!(2.5)]));
    assert_eq!(ids(&merge.into_hits("x", 0)), expected);
}

fn asked(target: &str) -> Search {
    let names = ["full-search".to_string()];
    match parse("GET", target, b"", &names, &RequestLimits::default()) {
        Ok(ApiRequest::Search(search)) => *search,
        other => panic!("{other:?}"),
    }
}

fn missing_part(segment: usize, reason: &str) -> MissingPart {
    MissingPart { segment, reason: reason.to_string() }
}

#[test]
fn partial_response_is_marked() {
    let search = asked("/full-search/_search");
    let mut merge = HitMerger::new(&[], 10);
    merge.add(0, found(&[("a", 1.0)]));
    let missing = vec![missing_part(1, "node is silent"), missing_part(2, "not asked")];
    let parts = PartOutcomes { total: 5, successful: 1, skipped: 2, missing, timed_out: true };
    let answer = response::search_response(12, "full-search", &search, &parts, merge).unwrap();
    let answer: Value = serde_json::from_str(answer.text()).unwrap();
    assert_eq!(answer["_shards"]["failed"], json!(2));
    assert_eq!(answer["_shards"]["successful"], json!(3));
    assert_eq!(answer["_shards"]["skipped"], json!(2));
    assert_eq!(answer["_shards"]["failures"][0]["shard"], json!(1));
    assert_eq!(
        (answer["timed_out"].clone(), answer["hits"]["total"]["relation"].clone()),
        (json!(true), json!("gte"))
    );
}

#[test]
fn refuses_partial_if_not_allowed() {
    let search = asked("/full-search/_search?allow_partial_search_results=false");
    let parts = PartOutcomes {
        total: 2,
        successful: 1,
        missing: vec![missing_part(1, "x")],
        ..PartOutcomes::default()
    };
    let error =
        response::search_response(1, "full-search", &search, &parts, HitMerger::new(&[], 10)).unwrap_err();
    assert_eq!((error.status, error.kind), (503, "search_phase_execution_exception"));
    assert!(response::count_response("full-search", &parts, &HitMerger::new(&[], 0)).is_err());
    let whole = PartOutcomes { total: 2, successful: 1, skipped: 1, ..PartOutcomes::default() };
    assert!(response::search_response(1, "full-search", &search, &whole, HitMerger::new(&[], 10)).is_ok());
    let count = response::count_response("full-search", &whole, &HitMerger::new(&[], 0)).unwrap();
    assert!(count.text().contains("\"count\":0"), "{}", count.text());
}

#[rstest]
#[case::up_to("/full-search/_search?track_total_hits=2", Some((2, "gte")))]
#[case::exactly("/full-search/_search?track_total_hits=true", Some((3, "eq")))]
#[case::not("/full-search/_search?track_total_hits=false", None)]
fn totals_follow_tracking(#[case] target: &str, #[case] expected: Option<(u64, &str)>) {
    let search = asked(target);
    assert!(matches!(
        search.track_total_hits,
        TrackTotalHits::No | TrackTotalHits::Exactly | TrackTotalHits::UpTo(2)
    ));
    let mut merge = HitMerger::new(&[], 10);
    merge.add(0, found(&[("a", 1.0), ("b", 1.0), ("c", 1.0)]));
    let parts = PartOutcomes { total: 1, successful: 1, ..PartOutcomes::default() };
    let answer = response::search_response(1, "full-search", &search, &parts, merge).unwrap();
    let answer: Value = serde_json::from_str(answer.text()).unwrap();
    let total = answer["hits"].get("total").cloned();
    assert_eq!(total, expected.map(|(value, relation)| json!({"value": value, "relation": relation})));
}

#[test]
fn size_zero_returns_totals_only() {
    let search = asked("/full-search/_search?size=0");
    let mut merge = HitMerger::new(&[], search.result_window());
    merge.add(0, PartResult { hits: vec![], total: 5, ..found(&[]) });
    let parts = PartOutcomes { total: 1, successful: 1, ..PartOutcomes::default() };
    let answer = response::search_response(1, "full-search", &search, &parts, merge).unwrap();
    let answer: Value = serde_json::from_str(answer.text()).unwrap();
    assert_eq!(
        (answer["hits"]["hits"].clone(), answer["hits"]["total"]["value"].clone()),
        (json!([]), json!(5))
    );
}

#[test]
fn unknown_outcome_differs_from_rejection() {
    assert_eq!(
        (ApiError::unknown_outcome().status, ApiError::unknown_outcome().kind),
        (502, "unknown_outcome_exception")
    );
    assert_eq!(ApiError::rejected("full").status, 429);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(22),
        ..ProptestConfig::default()
    })]

    /// Parts in any order, each cut to the window: the first hits are those of a plain sort.
    #[test]
    fn merging_equals_sorting(
        parts in prop::collection::vec(prop::collection::vec(0..6i64, 0..12), 0..6),
        most in 0..15usize,
        descending: bool,
        turn in 0..6usize,
    ) {
        let sort = [SortKey { field: "n".into(), descending, missing_first: false }];
        let mut plain: Vec<(i64, usize, usize)> = Vec::new();
        let mut merge = HitMerger::new(&sort, most);
        for at in 0..parts.len() {
            let seg = (at + turn) % parts.len();
            let mut keys = parts[seg].clone();
            keys.sort_unstable();
            if descending { keys.reverse() }
            plain.extend(keys.iter().enumerate().map(|(i, key)| (if descending { -key } else { *key }, seg, i)));
            let hits = keys.iter().enumerate().map(|(i, key)| Hit {
                id: format!("{seg}-{i}"), score: None, sort: vec![json!(key)], source: None,
            });
            let hits: Vec<_> = hits.collect();
            merge.add(seg, PartResult { total: keys.len() as u64, total_is_exact: true, max_score: None, hits, terminated_early: false });
            prop_assert!(merge.hit_count() <= most);
        }
        plain.sort_unstable();
        let expected: Vec<_> = plain.iter().take(most).map(|(_, seg, i)| format!("{seg}-{i}")).collect();
        prop_assert_eq!(ids(&merge.into_hits("x", 0)), expected);
    }

    /// Any request fails or parses, and what nodes are sent for it parses to itself.
    #[test]
    fn any_request_parses_or_fails(
        target in "/(full-search|x)/_(search|count|msearch)(\\?[a-z_=&0-9%+]{0,30})?",
        body in "(\\{\"(query|sort|size|from|_source)\":)?[\\[\\]{}\":,a-z0-9_ .*\\\\\\n-]{0,80}",
    ) {
        let names = ["full-search".to_string()];
        if let Ok(ApiRequest::Search(search)) = parse("POST", &target, body.as_bytes(), &names, &RequestLimits::default()) {
            let text = search.node_request_body();
            let again = parse("POST", "/full-search/_search", text.as_bytes(), &names, &RequestLimits::default());
            let Ok(ApiRequest::Search(again)) = again else { return Err(TestCaseError::fail(format!("{text}: {again:?}"))) };
            prop_assert_eq!(&again.query, &search.query);
            prop_assert_eq!(again.node_request_body(), text);
        }
    }

    /// Any response is found or failed, with never more hits than asked for, and never a total below them.
    #[test]
    fn any_response_is_found_or_failed(at in 0..400usize, with in any::<u8>(), status in prop_oneof![Just(200u16), Just(429), 100..600u16]) {
        let mut bytes = document(json!([hit("a", 2.0), hit("b", 1.0)]), 7).to_string().into_bytes();
        let place = at % bytes.len();
        bytes[place] = with;
        if let NodeOutcome::Found(found) = read_response(status, &bytes, Some(&EXPECTED)) {
            prop_assert!(status == 200 && found.hits.len() <= 3 && (!found.total_is_exact || found.total >= found.hits.len() as u64));
        }
    }
}
