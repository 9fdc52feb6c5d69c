//! Valid and invalid requests, each fault with its place; and equal bodies for equal searches.

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

fn request(method: &str, target: &str, body: &str) -> Result<ApiRequest, ApiError> {
    parse(method, target, body.as_bytes(), &indices(), &limits())
}

fn search(target: &str, body: &str) -> Search {
    match request("POST", target, body) {
        Ok(ApiRequest::Search(search)) => *search,
        other => panic!("{other:?}"),
    }
}

fn query(body: Value) -> Result<Value, ApiError> {
    let call = request("POST", "/full-search/_search", &json!({"query": body}).to_string())?;
    let ApiRequest::Search(search) = call else { panic!("{call:?}") };
    Ok(search.query.normalized())
}

#[rstest]
#[case::match_short(json!({"match": {"text": "a b"}}), json!({"match": {"text": {"query": "a b", "operator": "or"}}}))]
#[case::match_long(json!({"match": {"text": {"query": "a", "operator": "AND"}}}), json!({"match": {"text": {"query": "a", "operator": "and"}}}))]
#[case::number(json!({"match": {"code": 7}}), json!({"match": {"code": {"query": "7", "operator": "or"}}}))]
#[case::phrase(json!({"match_phrase": {"text": "a b"}}), json!({"match_phrase": {"text": {"query": "a b", "slop": 0}}}))]
#[case::term(json!({"term": {"repo": "x"}}), json!({"term": {"repo": {"value": "x"}}}))]
#[case::terms(json!({"terms": {"repo": ["x", 2, true]}}), json!({"terms": {"repo": ["x", 2, true]}}))]
#[case::prefix(json!({"prefix": {"path": "src/"}}), json!({"prefix": {"path": {"value": "src/"}}}))]
#[case::regexp(json!({"regexp": {"path": {"value": "a.*"}}}), json!({"regexp": {"path": {"value": "a.*"}}}))]
#[case::range(json!({"range": {"size": {"lt": 9, "gte": 1}}}), json!({"range": {"size": {"gte": 1, "lt": 9}}}))]
#[case::exists(json!({"exists": {"field": "a.b"}}), json!({"exists": {"field": "a.b"}}))]
#[case::all(json!({"match_all": {}}), json!({"match_all": {}}))]
#[case::string(json!({"query_string": {"query": "  a   AND \"b  c\" "}}), json!({"query_string": {"query": "a AND \"b  c\"", "default_operator": "or"}}))]
#[case::boolean(json!({"bool": {"must": {"term": {"a": 1}}, "should": [{"term": {"b": 2}}]}}),
    json!({"bool": {"must": [{"term": {"a": {"value": 1}}}], "should": [{"term": {"b": {"value": 2}}}], "minimum_should_match": 0}}))]
#[case::should_alone(json!({"bool": {"should": [{"term": {"b": 2}}]}}),
    json!({"bool": {"should": [{"term": {"b": {"value": 2}}}], "minimum_should_match": 1}}))]
fn normalizes_queries(#[case] written: Value, #[case] normal: Value) {
    assert_eq!(query(written).unwrap(), normal);
    // The normalized query parses to itself.
    assert_eq!(query(normal.clone()).unwrap(), normal);
}

#[rstest]
#[case::unknown(json!({"fuzzy": {"a": "b"}}), "[query.fuzzy] unknown query [fuzzy]")]
#[case::two(json!({"term": {"a": 1}, "match": {"b": 2}}), "[query] expected one key and found 2")]
#[case::empty(json!({}), "[query] expected one key and found 0")]
#[case::list(json!([]), "[query] expected an object")]
#[case::option(json!({"match": {"a": {"query": "b", "boost": 2}}}), "[query.match.a] unknown key [boost]")]
#[case::nested(json!({"bool": {"must": [{"match_all": {}}, {"term": {"a": []}}]}}), "[query.bool.must[1].term.a]")]
#[case::pattern(json!({"term": {"a*": 1}}), "[query.term.a*] not the name of a field")]
#[case::least(json!({"bool": {"should": [], "minimum_should_match": 1}}), "[query.bool.minimum_should_match] asks for 1 of 0")]
#[case::bounds(json!({"range": {"a": {"gt": 1, "gte": 2}}}), "[query.range.a] expected one lower bound")]
#[case::no_bounds(json!({"range": {"a": {}}}), "[query.range.a]")]
#[case::regexp(json!({"regexp": {"a": "12345678901"}}), "longer than max_regex_length [10]")]
#[case::text(json!({"match": {"a": "x".repeat(41)}}), "longer than max_text_length [40]")]
#[case::clauses(json!({"terms": {"a": [1, 2, 3, 4, 5, 6, 7, 8, 9]}}), "more than max_clauses [8]")]
#[case::deep(json!({"bool": {"must": {"bool": {"must": {"bool": {"must": {"bool": {}}}}}}}}), "deeper than max_bool_depth [3]")]
#[case::star(json!({"query_string": {"query": "a*"}}), "[query.query_string.query] [*] is not supported")]
#[case::open(json!({"query_string": {"query": "(a"}}), "a [(] is left open")]
#[case::closed(json!({"query_string": {"query": "a)"}}), "a [)] that closes nothing")]
#[case::quote(json!({"query_string": {"query": "\"a"}}), "a [\"] is left open")]
#[case::nothing(json!({"query_string": {"query": "  "}}), "is empty")]
fn refuses_invalid_query_with_place(#[case] written: Value, #[case] expected: &str) {
    let error = query(written).unwrap_err();
    assert!(error.reason.contains(expected), "{}", error.reason);
    assert_eq!((error.status, error.body()["status"].clone()), (400, json!(400)));
    assert_eq!(error.body()["error"]["root_cause"][0]["reason"], json!(error.reason));
}

#[rstest]
#[case::duplicate(r#"{"size":1,"size":2}"#, "duplicate key [size]")]
#[case::duplicate_inside(r#"{"query":{"bool":{"must":[],"must":[]}}}"#, "duplicate key [must]")]
#[case::unknown(r#"{"aggs":{}}"#, "unknown key [aggs]")]
#[case::behind(r#"{} {}"#, "trailing")]
#[case::huge(r#"{"size":1e400}"#, "out of range")]
#[case::negative(r#"{"from":-1}"#, "[from] expected a whole number")]
#[case::window(r#"{"from":60,"size":41}"#, "max_result_window [100]")]
#[case::overflow(r#"{"from":18446744073709551615,"size":10}"#, "max_result_window [100]")]
#[case::timeout(r#"{"timeout":"soon"}"#, "[timeout] expected a time")]
#[case::no_time(r#"{"timeout":"0s"}"#, "[timeout] expected a time above 0")]
#[case::sort(r#"{"sort":[{"a":"up"}]}"#, "[sort[0].a] expected [asc] or [desc]")]
#[case::sort_missing(r#"{"sort":[{"a":{"missing":"x"}}]}"#, "[missing] is [_first] or [_last]")]
#[case::source(r#"{"_source":["a*"]}"#, "[_source] not the name of a field")]
#[case::not_an_object("[1]", "expected an object")]
fn refuses_invalid_body(#[case] body: &str, #[case] expected: &str) {
    let error = request("POST", "/full-search/_search", body).unwrap_err();
    assert!(error.reason.contains(expected), "{}", error.reason);
}

#[test]
fn refuses_oversized_documents() {
    let deep = format!("{}{}", "[".repeat(40), "]".repeat(40));
    assert!(request("POST", "/full-search/_search", &deep).unwrap_err().reason.contains("max_depth [32]"));
    let endless = "[".repeat(60_000);
    assert!(request("POST", "/full-search/_search", &endless).unwrap_err().reason.contains("max_depth [32]"));
    let long = format!("{{\"query\":\"{}\"}}", "x".repeat(70_000));
    assert_eq!(request("POST", "/full-search/_search", &long).unwrap_err().status, 413);
    let many = format!("[{}1]", "1,".repeat(20_000));
    assert!(request("POST", "/full-search/_search", &many).unwrap_err().reason.contains("max_values"));
    assert!(parse("POST", "/full-search/_search", b"{\"\xff\":1}", &indices(), &limits()).is_err());
}

#[rstest]
#[case::unknown("/full-search/_search?foo=1", "unrecognized parameter: [foo]")]
#[case::twice("/full-search/_search?size=1&size=2", "[size] is given twice")]
#[case::preference("/full-search/_search?preference=_local", "[preference] not supported")]
#[case::two_indices("/full-search,quick-find/_search", "one index at a time")]
#[case::all_indices("/_all/_search", "one index at a time")]
#[case::no_index("/none/_search", "no such index [none]")]
#[case::handler("/full-search/_mapping", "no handler found")]
#[case::encoded("/full-search/_search?q=%zz", "not percent-encoded")]
#[case::control("/full-search/_search?q=a%0ab", "not percent-encoded")]
#[case::routing("/full-search/_search?routing=a,,b", "[routing]")]
#[case::df("/full-search/_search?df=a", "[df] means nothing without [q]")]
#[case::partial("/full-search/_search?allow_partial_search_results=maybe", "[allow_partial_search_results]")]
fn refuses_invalid_target(#[case] target: &str, #[case] expected: &str) {
    let error = request("GET", target, "").unwrap_err();
    assert!(error.reason.contains(expected), "{}", error.reason);
}

#[test]
fn honours_body_and_parameters() {
    let body = json!({"query": {"match": {"a": "b"}}, "sort": ["_score", {"day": {"order": "desc", "missing": "_first"}}],
        "_source": {"includes": ["a"], "excludes": "b"}, "terminate_after": 5});
    let target = "/full-search/_search?from=2&size=3&timeout=1500ms&track_total_hits=true&routing=r1,r2&allow_partial_search_results=false";
    let search = search(target, &body.to_string());
    assert_eq!((search.index, search.from, search.size, search.result_window()), (1, 2, 3, 5));
    assert_eq!(
        (search.timeout_seconds, search.track_total_hits, search.allow_partial_results),
        (Some(1.5), TrackTotalHits::Exactly, false)
    );
    assert_eq!((search.routing.len(), search.terminate_after), (2, Some(5)));
    assert!(search.sort[0].descending && search.sort[1].missing_first);
    let text: Value = serde_json::from_str(&search.node_request_body()).unwrap();
    assert_eq!((text["from"].clone(), text["size"].clone()), (json!(0), json!(5)));
    assert_eq!(text["sort"][1], json!({"day": {"order": "desc", "missing": "_first"}}));
    assert_eq!(text["_source"], json!({"includes": ["a"], "excludes": ["b"]}));
    assert!(matches!(search.source, SourceFilter::Fields { .. }));
    let doubled = request("POST", "/full-search/_search?size=3", r#"{"size":4}"#).unwrap_err();
    assert!(doubled.reason.contains("[size] is given in the body and as a parameter"));
}

#[test]
fn query_string_parameter() {
    let search = search("/full-search/_search?q=pump+AND%20valve&df=text&default_operator=AND", "");
    let expected = Query::QueryString {
        text: "pump AND valve".into(),
        field: Some("text".into()),
        operator: Operator::And,
    };
    assert_eq!(search.query, expected);
}

/// Nodes may cache by the text, and the prefilter identifies it by a hash.
#[test]
fn equal_searches_have_equal_bodies() {
    let a = search("/full-search/_search?size=5", r#"{"query":{"match":{"a":"x"}},"track_total_hits":true}"#);
    let b = search(
        "/full-search/_search?track_total_hits=true",
        r#"{ "size" : 5, "query":{"match":{"a":{"operator":"or","query":"x"}}}}"#,
    );
    assert_eq!(a.node_request_body(), b.node_request_body());
}

#[test]
fn multi_search_parses_each() {
    let lines = [
        r#"{"index":"quick-find"}"#,
        r#"{"query":{"match_all":{}}}"#,
        r#"{}"#,
        r#"{"size":1}"#,
        r#"{"index":"none"}"#,
        r#"{}"#,
    ];
    let body = lines.join("\n") + "\n";
    let Ok(ApiRequest::Multi(searches)) = request("POST", "/full-search/_msearch", &body) else { panic!() };
    assert_eq!(searches[0].as_ref().unwrap().index, 0);
    assert_eq!(searches[1].as_ref().map(|s| (s.index, s.size)).unwrap(), (1, 1));
    assert_eq!(searches[2].as_ref().unwrap_err().status, 404);
    // Without a default index, a search that names none has its own error too.
    let Ok(ApiRequest::Multi(searches)) = request("POST", "/_msearch", &body) else { panic!() };
    assert!(searches[1].as_ref().unwrap_err().reason.contains("no [index]"));
    assert!(
        request("POST", "/_msearch", body.trim_end()).unwrap_err().reason.contains("terminated by a newline")
    );
    assert!(request("POST", "/_msearch", &body.repeat(2)).unwrap_err().reason.contains("max_searches [3]"));
    assert!(request("POST", "/_msearch", "{}\n").unwrap_err().reason.contains("without its search"));
    let bad = request("POST", "/_msearch", "{\"index\":\"quick-find\",\"preference\":\"x\"}\n{}\n");
    assert!(matches!(bad, Ok(ApiRequest::Multi(searches)) if searches[0].is_err()));
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
fn methods_match_api(#[case] method: &str, #[case] target: &str, #[case] good: bool) {
    let outcome = request(method, target, "");
    assert_eq!(outcome.is_ok(), good, "{outcome:?}");
    assert!(good || outcome.unwrap_err().status == 405);
}
