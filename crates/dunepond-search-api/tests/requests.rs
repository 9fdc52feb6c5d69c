//! Parsing of valid and invalid requests, the place that errors name, and the normalization of equal searches.

use dunepond_search_api::query::{Operator, Query};
use dunepond_search_api::request::{SourceFilter, TrackTotalHits, parse};
use dunepond_search_api::*;
use rstest::rstest;
use serde_json::{Value, json};

fn indices() -> Vec<String> {
    ["quick-find", "full-search", "fix-request"].map(String::from).to_vec()
}

fn limits() -> RequestLimits {
    RequestLimits {
        max_clauses: 8,
        max_bool_depth: 3,
        max_regexp_chars: 10,
        max_text_chars: 40,
        max_searches: 3,
        max_result_window: 100,
        ..RequestLimits::default()
    }
}

fn parse_request(method: &str, target: &str, body: &str) -> Result<ApiRequest, ApiError> {
    parse(method, target, body.as_bytes(), &indices(), &limits())
}

/// Parses a search that must be valid.
fn parse_search(target: &str, body: &str) -> Search {
    match parse_request("POST", target, body) {
        Ok(ApiRequest::Search(search)) => *search,
        other => panic!("{other:?}"),
    }
}

/// Parses a search with this query, and returns the query in its normalized form.
fn normalize_query(query: Value) -> Result<Value, ApiError> {
    let request = parse_request("POST", "/full-search/_search", &json!({"query": query}).to_string())?;
    let ApiRequest::Search(search) = request else { panic!("{request:?}") };
    Ok(search.query.normalized())
}

#[rstest]
#[case::match_without_options(json!({"match": {"text": "a b"}}), json!({"match": {"text": {"query": "a b", "operator": "or"}}}))]
#[case::match_with_options(json!({"match": {"text": {"query": "a", "operator": "AND"}}}), json!({"match": {"text": {"query": "a", "operator": "and"}}}))]
#[case::match_number(json!({"match": {"code": 7}}), json!({"match": {"code": {"query": "7", "operator": "or"}}}))]
#[case::phrase(json!({"match_phrase": {"text": "a b"}}), json!({"match_phrase": {"text": {"query": "a b", "slop": 0}}}))]
#[case::term(json!({"term": {"repo": "x"}}), json!({"term": {"repo": {"value": "x"}}}))]
#[case::terms(json!({"terms": {"repo": ["x", 2, true]}}), json!({"terms": {"repo": ["x", 2, true]}}))]
#[case::prefix(json!({"prefix": {"path": "src/"}}), json!({"prefix": {"path": {"value": "src/"}}}))]
#[case::regexp(json!({"regexp": {"path": {"value": "a.*"}}}), json!({"regexp": {"path": {"value": "a.*"}}}))]
#[case::range(json!({"range": {"size": {"lt": 9, "gte": 1}}}), json!({"range": {"size": {"gte": 1, "lt": 9}}}))]
#[case::exists(json!({"exists": {"field": "a.b"}}), json!({"exists": {"field": "a.b"}}))]
#[case::match_all(json!({"match_all": {}}), json!({"match_all": {}}))]
#[case::query_string(json!({"query_string": {"query": "  a   AND \"b  c\" "}}), json!({"query_string": {"query": "a AND \"b  c\"", "default_operator": "or"}}))]
#[case::bool_query(json!({"bool": {"must": {"term": {"a": 1}}, "should": [{"term": {"b": 2}}]}}),
    json!({"bool": {"must": [{"term": {"a": {"value": 1}}}], "should": [{"term": {"b": {"value": 2}}}], "minimum_should_match": 0}}))]
#[case::bool_with_should_only(json!({"bool": {"should": [{"term": {"b": 2}}]}}),
    json!({"bool": {"should": [{"term": {"b": {"value": 2}}}], "minimum_should_match": 1}}))]
fn normalizes_queries(#[case] query: Value, #[case] normalized: Value) {
    assert_eq!(normalize_query(query).unwrap(), normalized);
    // Normalizing a normalized query doesn't change it.
    assert_eq!(normalize_query(normalized.clone()).unwrap(), normalized);
}

#[rstest]
#[case::unknown_query(json!({"fuzzy": {"a": "b"}}), "[query.fuzzy] unknown query [fuzzy]")]
#[case::two_queries(json!({"term": {"a": 1}, "match": {"b": 2}}), "[query] expected one key and found 2")]
#[case::no_query(json!({}), "[query] expected one key and found 0")]
#[case::list_as_query(json!([]), "[query] expected an object")]
#[case::unknown_option(json!({"match": {"a": {"query": "b", "boost": 2}}}), "[query.match.a] unknown key [boost]")]
#[case::nested_query(json!({"bool": {"must": [{"match_all": {}}, {"term": {"a": []}}]}}), "[query.bool.must[1].term.a]")]
#[case::pattern_as_field(json!({"term": {"a*": 1}}), "[query.term.a*] not the name of a field")]
#[case::minimum_above_count(json!({"bool": {"should": [], "minimum_should_match": 1}}), "[query.bool.minimum_should_match] must be at most 0, the number of queries in [should], but is 1")]
#[case::two_lower_bounds(json!({"range": {"a": {"gt": 1, "gte": 2}}}), "[query.range.a] expected one lower bound")]
#[case::no_bounds(json!({"range": {"a": {}}}), "[query.range.a]")]
#[case::regexp_too_long(json!({"regexp": {"a": "12345678901"}}), "longer than max_regex_length [10]")]
#[case::text_too_long(json!({"match": {"a": "x".repeat(41)}}), "longer than max_text_length [40]")]
#[case::too_many_clauses(json!({"terms": {"a": [1, 2, 3, 4, 5, 6, 7, 8, 9]}}), "more than max_clauses [8]")]
#[case::bool_too_deep(json!({"bool": {"must": {"bool": {"must": {"bool": {"must": {"bool": {}}}}}}}}), "deeper than max_bool_depth [3]")]
#[case::wildcard(json!({"query_string": {"query": "a*"}}), "[query.query_string.query] [*] is not supported")]
#[case::unclosed_parenthesis(json!({"query_string": {"query": "(a"}}), "a [(] is not closed")]
#[case::unopened_parenthesis(json!({"query_string": {"query": "a)"}}), "a [)] without a matching [(]")]
#[case::unclosed_quote(json!({"query_string": {"query": "\"a"}}), "a [\"] is not closed")]
#[case::empty_query_string(json!({"query_string": {"query": "  "}}), "is empty")]
fn invalid_query_is_rejected_with_place(#[case] query: Value, #[case] expected: &str) {
    let error = normalize_query(query).unwrap_err();
    assert!(error.reason.contains(expected), "{}", error.reason);
    assert_eq!((error.status, error.body()["status"].clone()), (400, json!(400)));
    assert_eq!(error.body()["error"]["root_cause"][0]["reason"], json!(error.reason));
}

#[rstest]
#[case::duplicate_key(r#"{"size":1,"size":2}"#, "duplicate key [size]")]
#[case::nested_duplicate_key(r#"{"query":{"bool":{"must":[],"must":[]}}}"#, "duplicate key [must]")]
#[case::unknown_key(r#"{"aggs":{}}"#, "unknown key [aggs]")]
#[case::trailing_data(r#"{} {}"#, "trailing")]
#[case::number_out_of_range(r#"{"size":1e400}"#, "out of range")]
#[case::negative_number(r#"{"from":-1}"#, "[from] expected a whole number")]
#[case::window_too_large(r#"{"from":60,"size":41}"#, "max_result_window [100]")]
#[case::window_overflows(r#"{"from":18446744073709551615,"size":10}"#, "max_result_window [100]")]
#[case::timeout_without_unit(r#"{"timeout":"soon"}"#, "[timeout] expected a time")]
#[case::zero_timeout(r#"{"timeout":"0s"}"#, "[timeout] expected a time above 0")]
#[case::unknown_sort_order(r#"{"sort":[{"a":"up"}]}"#, "[sort[0].a] expected [asc] or [desc]")]
#[case::unknown_missing_position(
    r#"{"sort":[{"a":{"missing":"x"}}]}"#,
    "[missing] must be [_first] or [_last]"
)]
#[case::pattern_in_source(r#"{"_source":["a*"]}"#, "[_source] not the name of a field")]
#[case::not_an_object("[1]", "expected an object")]
fn invalid_body_is_rejected(#[case] body: &str, #[case] expected: &str) {
    let error = parse_request("POST", "/full-search/_search", body).unwrap_err();
    assert!(error.reason.contains(expected), "{}", error.reason);
}

#[test]
fn oversized_document_is_rejected() {
    let deep = format!("{}{}", "[".repeat(40), "]".repeat(40));
    assert!(
        parse_request("POST", "/full-search/_search", &deep).unwrap_err().reason.contains("max_depth [32]")
    );
    let unclosed = "[".repeat(60_000);
    assert!(
        parse_request("POST", "/full-search/_search", &unclosed)
            .unwrap_err()
            .reason
            .contains("max_depth [32]")
    );
    let long = format!("{{\"query\":\"{}\"}}", "x".repeat(70_000));
    assert_eq!(parse_request("POST", "/full-search/_search", &long).unwrap_err().status, 413);
    let many = format!("[{}1]", "1,".repeat(20_000));
    assert!(parse_request("POST", "/full-search/_search", &many).unwrap_err().reason.contains("max_values"));
    assert!(parse("POST", "/full-search/_search", b"{\"\xff\":1}", &indices(), &limits()).is_err());
}

#[rstest]
#[case::unknown_parameter("/full-search/_search?foo=1", "unrecognized parameter: [foo]")]
#[case::duplicate_parameter("/full-search/_search?size=1&size=2", "[size] is given twice")]
#[case::preference("/full-search/_search?preference=_local", "[preference] not supported")]
#[case::two_indices("/full-search,quick-find/_search", "one index at a time")]
#[case::all_indices("/_all/_search", "one index at a time")]
#[case::unknown_index("/none/_search", "no such index [none]")]
#[case::unknown_path("/full-search/_mapping", "no handler found")]
#[case::invalid_percent_encoding("/full-search/_search?q=%zz", "not percent-encoded")]
#[case::control_character("/full-search/_search?q=a%0ab", "not percent-encoded")]
#[case::empty_routing_value("/full-search/_search?routing=a,,b", "[routing]")]
#[case::df_without_q("/full-search/_search?df=a", "[df] has no effect without [q]")]
#[case::invalid_boolean(
    "/full-search/_search?allow_partial_search_results=maybe",
    "[allow_partial_search_results]"
)]
fn invalid_target_is_rejected(#[case] target: &str, #[case] expected: &str) {
    let error = parse_request("GET", target, "").unwrap_err();
    assert!(error.reason.contains(expected), "{}", error.reason);
}

#[test]
fn body_and_parameters_are_applied() {
    let body = json!({"query": {"match": {"a": "b"}}, "sort": ["_score", {"day": {"order": "desc", "missing": "_first"}}],
        "_source": {"includes": ["a"], "excludes": "b"}, "terminate_after": 5});
    let target = "/full-search/_search?from=2&size=3&timeout=1500ms&track_total_hits=true&routing=r1,r2&allow_partial_search_results=false";
    let search = parse_search(target, &body.to_string());
    assert_eq!((search.index, search.from, search.size, search.result_window()), (1, 2, 3, 5));
    assert_eq!(
        (search.timeout_seconds, search.track_total_hits, search.allow_partial_results),
        (Some(1.5), TrackTotalHits::Exactly, false)
    );
    assert_eq!((search.routing.len(), search.terminate_after), (2, Some(5)));
    assert!(search.sort[0].descending && search.sort[1].missing_first);
    let node_body: Value = serde_json::from_str(&search.node_request_body()).unwrap();
    assert_eq!((node_body["from"].clone(), node_body["size"].clone()), (json!(0), json!(5)));
    assert_eq!(node_body["sort"][1], json!({"day": {"order": "desc", "missing": "_first"}}));
    assert_eq!(node_body["_source"], json!({"includes": ["a"], "excludes": ["b"]}));
    assert!(matches!(search.source, SourceFilter::Fields { .. }));
    let duplicate = parse_request("POST", "/full-search/_search?size=3", r#"{"size":4}"#).unwrap_err();
    assert!(duplicate.reason.contains("[size] is given in the body and as a parameter"));
}

#[test]
fn q_parameter_is_parsed_as_query_string() {
    let search = parse_search("/full-search/_search?q=pump+AND%20valve&df=text&default_operator=AND", "");
    let expected = Query::QueryString {
        text: "pump AND valve".into(),
        field: Some("text".into()),
        operator: Operator::And,
    };
    assert_eq!(search.query, expected);
}

/// Equal searches must have equal bodies, because nodes may cache results by the body's text, and the prefilter
/// identifies a search by the hash of its body.
#[test]
fn equal_searches_have_equal_bodies() {
    let a = parse_search(
        "/full-search/_search?size=5",
        r#"{"query":{"match":{"a":"x"}},"track_total_hits":true}"#,
    );
    let b = parse_search(
        "/full-search/_search?track_total_hits=true",
        r#"{ "size" : 5, "query":{"match":{"a":{"operator":"or","query":"x"}}}}"#,
    );
    assert_eq!(a.node_request_body(), b.node_request_body());
}

#[test]
fn multi_search_parses_each_search_separately() {
    let lines = [
        r#"{"index":"quick-find"}"#,
        r#"{"query":{"match_all":{}}}"#,
        r#"{}"#,
        r#"{"size":1}"#,
        r#"{"index":"none"}"#,
        r#"{}"#,
    ];
    let body = lines.join("\n") + "\n";
    let Ok(ApiRequest::Multi(searches)) = parse_request("POST", "/full-search/_msearch", &body) else {
        panic!()
    };
    assert_eq!(searches[0].as_ref().unwrap().index, 0);
    assert_eq!(searches[1].as_ref().map(|s| (s.index, s.size)).unwrap(), (1, 1));
    assert_eq!(searches[2].as_ref().unwrap_err().status, 404);
    // Without a default index, a search that names no index is invalid, but the other searches are not affected.
    let Ok(ApiRequest::Multi(searches)) = parse_request("POST", "/_msearch", &body) else { panic!() };
    assert!(searches[1].as_ref().unwrap_err().reason.contains("no [index]"));
    assert!(
        parse_request("POST", "/_msearch", body.trim_end())
            .unwrap_err()
            .reason
            .contains("terminated by a newline")
    );
    assert!(
        parse_request("POST", "/_msearch", &body.repeat(2)).unwrap_err().reason.contains("max_searches [3]")
    );
    assert!(
        parse_request("POST", "/_msearch", "{}\n").unwrap_err().reason.contains("not followed by its search")
    );
    let with_preference =
        parse_request("POST", "/_msearch", "{\"index\":\"quick-find\",\"preference\":\"x\"}\n{}\n");
    assert!(matches!(with_preference, Ok(ApiRequest::Multi(searches)) if searches[0].is_err()));
}

#[rstest]
#[case("GET", "/", true)]
#[case("HEAD", "/", true)]
#[case("DELETE", "/", false)]
#[case("GET", "/_cluster/health", true)]
#[case("PUT", "/full-search/_search", false)]
#[case("GET", "/fix-request/_update_by_query", false)]
#[case("POST", "/fix-request/_update_by_query", true)]
#[case("GET", "/full-search/_count", true)]
fn methods_are_restricted_as_in_api(#[case] method: &str, #[case] target: &str, #[case] allowed: bool) {
    let outcome = parse_request(method, target, "");
    assert_eq!(outcome.is_ok(), allowed, "{outcome:?}");
    assert!(allowed || outcome.unwrap_err().status == 405);
}
