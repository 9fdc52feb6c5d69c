//! The scenarios: what hostile clients do, and at which deployment.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;

use super::requests::{self, QueryShape, always, batches, http_request, query};
use super::{Answers, HostileClients, HostilePort, MakeRequest, NODES, NodeBehavior, Pace};

/// Number of clients in a crowd: fewer than a broker with 1,024 descriptors may accept.
const CROWD: usize = 700;
/// Length of the text of a large query in bytes: with its head and the rest of its body it is shorter than 64 KiB.
const LARGE_TEXT_BYTES: usize = 60_000;
/// Length of a large answer to a part in bytes.
const LARGE_VALUE_BYTES: usize = 60_000;
/// Queries and parts in flight that the settings of the sites allow at the most.
const MAX_IN_FLIGHT: usize = 200;
/// The part of a core that a broker has, where it has little.
const SMALL_CPU_SHARE: f64 = 0.25;
/// A pause so short that a crowd's pieces keep coming, and so long that no request is complete in time.
const PIECE_PAUSE: Duration = Duration::from_millis(100);
/// Number of hits of a node's answer to a search, as many as a search asks for unless it says otherwise; and their length.
const HITS: usize = 10;
const HIT_BYTES: usize = 5_000;
/// Length of the longest id of a request that is accepted, in characters.
const MAX_ID_BYTES: usize = 200;
/// Number of clients of each kind in a mixed crowd.
const MIXED_GROUP: usize = 100;
/// A search API with the limits that the documentation of the operator's file shows.
const SEARCH_API: &str = "search listen=\"127.0.0.1:0\"\n";
const BODIES: &str = "bodies {\n longest \"64MiB\"\n memory one=\"1MiB\" all=\"8MiB\"\n}\n";
const PREFILTER: &str = "phases least-segments=2 share=0.25 fresh=0 known=20000 audits=0.01\n";
const ALL_FEATURES: &str = "bodies {\n longest \"64MiB\"\n memory one=\"1MiB\" all=\"8MiB\"\n}\n\
    phases least-segments=2 share=0.25 fresh=0 known=20000 audits=0.01\n\
    search listen=\"127.0.0.1:0\"\n";

/// What hostile clients do at a deployment.
pub struct Scenario {
    /// Name of the scenario.
    pub name: &'static str,
    /// The picture of the report that it belongs to.
    pub picture: &'static str,
    /// Port of the hostile clients.
    pub port: HostilePort,
    /// The hostile clients.
    pub clients: Vec<HostileClients>,
    /// What the operator's file enables.
    pub operator_kdl: &'static str,
    /// How the nodes that do not hang treat parts.
    pub node_behavior: NodeBehavior,
    /// Number of nodes that hang.
    pub hanging_nodes: usize,
    /// Queries and parts in flight that the settings allow; 0 for no limit.
    pub max_in_flight: usize,
    /// The part of a core that the broker gets; `None` for all of one.
    pub cpu_share: Option<f64>,
}

impl Scenario {
    /// A scenario at the port for queries of a broker with no feature enabled, in front of sound nodes.
    fn new(name: &'static str, picture: &'static str, clients: Vec<HostileClients>) -> Self {
        Self {
            name,
            picture,
            port: HostilePort::Queries,
            clients,
            operator_kdl: "",
            node_behavior: small_answers(),
            hanging_nodes: 0,
            max_in_flight: MAX_IN_FLIGHT,
            cpu_share: None,
        }
    }

    fn with_large_answers(mut self) -> Self {
        self.node_behavior = NodeBehavior::Answers("v".repeat(LARGE_VALUE_BYTES).into());
        self
    }

    fn at_search_api(mut self) -> Self {
        (self.port, self.operator_kdl) = (HostilePort::SearchApi, SEARCH_API);
        self
    }

    fn with_hanging_nodes(mut self, count: usize) -> Self {
        self.hanging_nodes = count;
        self
    }

    fn with_operator_file(mut self, text: &'static str) -> Self {
        self.operator_kdl = text;
        self
    }

    fn without_in_flight_limit(mut self) -> Self {
        self.max_in_flight = 0;
        self
    }

    fn with_small_cpu_share(mut self) -> Self {
        self.cpu_share = Some(SMALL_CPU_SHARE);
        self
    }
}

fn small_answers() -> NodeBehavior {
    NodeBehavior::Answers("v-q1".into())
}

fn crowd(pace: Pace, answers: Answers, request: MakeRequest) -> Vec<HostileClients> {
    vec![HostileClients { count: CROWD, pace, answers, request }]
}

fn few(count: usize, answers: Answers, request: MakeRequest) -> Vec<HostileClients> {
    vec![HostileClients { count, pace: Pace::FullSpeed, answers, request }]
}

fn large_query(segments: usize) -> MakeRequest {
    let shape = QueryShape { query_class: "find", segments, text_bytes: LARGE_TEXT_BYTES, budget: "2.5" };
    Arc::new(move |number| query(&shape, &format!("large{number}")).into_bytes())
}

fn small_query(query_class: &'static str, budget: &'static str) -> MakeRequest {
    let shape = QueryShape { query_class, segments: 1, text_bytes: 2, budget };
    batches(move |number| query(&shape, &format!("small{number}")))
}

/// Requests that the broker turns away, each under a new name.
fn unsound_requests() -> MakeRequest {
    batches(|number| {
        let headers = format!("X-Call-Id: bad{number}\r\nX-Caller: tenant{number}\r\nX-Budget: 1.0\r\n");
        match number % 3 {
            0 => http_request(&format!("POST /class{number}"), &headers, "{}"),
            1 => http_request(
                "POST /find",
                &headers,
                "{\"buckets\":[{\"bucket\":99,\"part\":1.0}],\"body\":\"\"}",
            ),
            _ => http_request("POST /find", &headers, "{\"buckets\":[],\"body\":\"\"}"),
        }
    })
}

/// Bodies of many small JSON values, which take many times their length once they are parsed.
fn costly_json() -> MakeRequest {
    let fields: Vec<_> = (0..4_500).map(|number| format!("\"{number}\":[[]]")).collect();
    let body = format!("{{{}}}", fields.join(","));
    always(http_request("POST /find", "X-Call-Id: json\r\nX-Budget: 1.0\r\n", &body))
}

/// A streamed request of 1 MiB, in the raw form.
fn streamed_request() -> MakeRequest {
    Arc::new(|number| {
        let headers = format!("X-Call-Id: raw{number}\r\nX-Budget: 2.5\r\nX-Buckets: 0=1.0\r\n");
        http_request("POST /find", &headers, &"b".repeat(1 << 20)).into_bytes()
    })
}

/// A request for many searches at once.
fn multi_search(searches: usize, text_bytes: usize) -> MakeRequest {
    let line = json!({"query": {"match": {"title": "t".repeat(text_bytes)}}});
    let body = format!("{{\"index\":\"find\"}}\n{line}\n").repeat(searches);
    always(http_request("POST /_msearch", "", &body))
}

fn search_request(text_bytes: usize) -> MakeRequest {
    let body = json!({"query": {"match": {"title": "t".repeat(text_bytes)}}}).to_string();
    always(http_request("POST /find/_search", "", &body))
}

/// A response of a node with as many hits as a result window has.
fn search_hits() -> NodeBehavior {
    let hit = |number: usize| json!({"_index": "find", "_id": format!("d{number}"), "_score": 1.0, "_source": {"text": "x".repeat(HIT_BYTES)}});
    let hits: Vec<_> = (0..HITS).map(hit).collect();
    let response = json!({"took": 1, "timed_out": false,
        "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
        "hits": {"total": {"value": HITS, "relation": "eq"}, "max_score": 1.0, "hits": hits}});
    NodeBehavior::Answers(response.to_string().into())
}

/// Returns all scenarios.
pub fn scenarios() -> Vec<Scenario> {
    let ready = || batches(|_| "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n".to_string());
    let mut all = crowd_scenarios();
    all.extend(flood_scenarios(&ready));
    all
}

/// Picture (a): hundreds of clients at once.
fn crowd_scenarios() -> Vec<Scenario> {
    let slowly = Pace::Slowly { bytes: 2_000, pause: PIECE_PAUSE };
    let half = Pace::StopsAfter(LARGE_TEXT_BYTES / 2);
    let whole = Pace::Bursts(PIECE_PAUSE);
    let fields = || always(requests::head_of_short_fields(5_000));
    let (read, unread) = (Answers::Read, Answers::LeftUnread);
    vec![
        Scenario::new("crowd-slow-writers", "a", crowd(slowly, read, large_query(1))),
        Scenario::new("crowd-half-requests", "a", crowd(half, read, large_query(1))),
        Scenario::new("crowd-short-fields", "a", crowd(Pace::StopsAfter(16_000), read, fields())),
        Scenario::new("crowd-fields-slowly", "a", crowd(slowly, read, fields())),
        Scenario::new("crowd-small-chunks", "a", crowd(slowly, read, always(requests::small_chunks(20_000)))),
        Scenario::new("crowd-large-queries-hang", "a", crowd(whole, read, large_query(1)))
            .with_hanging_nodes(NODES),
        Scenario::new("crowd-large-queries-hang-unlimited", "a", crowd(whole, read, large_query(1)))
            .with_hanging_nodes(NODES)
            .without_in_flight_limit(),
        Scenario::new("crowd-large-answers-unread", "a", crowd(whole, unread, large_query(6)))
            .with_large_answers(),
        Scenario::new("crowd-large-answers-read", "a", crowd(whole, read, large_query(6)))
            .with_large_answers(),
        Scenario::new("crowd-pipelined-unread", "a", crowd(whole, unread, small_query("find", "1.0")))
            .with_large_answers(),
        Scenario::new("crowd-streamed-half", "a", crowd(Pace::StopsAfter(500_000), read, streamed_request()))
            .with_operator_file(BODIES),
        Scenario::new(
            "crowd-streamed-slowly",
            "a",
            crowd(Pace::Slowly { bytes: 20_000, pause: PIECE_PAUSE }, read, streamed_request()),
        )
        .with_operator_file(BODIES),
        Scenario::new("crowd-multi-search", "a", crowd(whole, unread, multi_search(100, 500)))
            .at_search_api()
            .with_hits(),
        Scenario::new("crowd-search-half", "a", crowd(half, read, search_request(60_000))).at_search_api(),
        Scenario::new("crowd-search-hits-unread", "a", crowd(whole, unread, search_request(10)))
            .at_search_api()
            .with_hits(),
        Scenario::new("crowd-prefilter-large", "a", crowd(whole, read, large_query(6)))
            .with_operator_file(PREFILTER),
        Scenario::new("crowd-answers-in-part", "a", crowd(whole, read, queries_with_long_ids(6)))
            .with_node_behavior(NodeBehavior::AnswersInPart("v".repeat(LARGE_VALUE_BYTES).into()))
            .without_in_flight_limit(),
        Scenario::new("crowd-nodes-read-nothing", "a", crowd(whole, read, large_query(6)))
            .with_node_behavior(NodeBehavior::ReadsNothing)
            .without_in_flight_limit(),
        Scenario::new("crowd-long-ids", "a", crowd(whole, read, queries_with_long_ids(6)))
            .without_in_flight_limit(),
        Scenario::new("crowd-returning-unread", "a", vec![returning(CROWD, unread, large_query(6))])
            .with_large_answers(),
        Scenario::new("crowd-returning-half", "a", vec![returning(CROWD, read, half_of(large_query(1)))]),
        Scenario::new("crowd-mixed", "a", mixed_crowd()).with_large_answers().with_hanging_nodes(2),
        Scenario::new("crowd-mixed-small-share", "a", mixed_crowd())
            .with_large_answers()
            .with_hanging_nodes(2)
            .with_small_cpu_share(),
        Scenario::new("crowd-mixed-all-features", "a", mixed_crowd_with_uploads())
            .with_operator_file(ALL_FEATURES)
            .with_large_answers()
            .with_hanging_nodes(2)
            .without_in_flight_limit(),
        Scenario::new("crowd-streamed-mixed-small-share", "a", mixed_crowd_with_uploads())
            .with_operator_file(BODIES)
            .with_hanging_nodes(2)
            .with_small_cpu_share(),
    ]
}

/// Clients that each leave soon after their request, and come again.
fn returning(count: usize, answers: Answers, request: MakeRequest) -> HostileClients {
    HostileClients { count, pace: Pace::LeavesAfter(PIECE_PAUSE), answers, request }
}

/// The first halves of these requests.
fn half_of(request: MakeRequest) -> MakeRequest {
    Arc::new(move |number| {
        let mut bytes = request(number);
        bytes.truncate(bytes.len() / 2);
        bytes
    })
}

/// Queries with the longest ids that are accepted.
fn queries_with_long_ids(segments: usize) -> MakeRequest {
    let shape = QueryShape { query_class: "find", segments, text_bytes: 2, budget: "2.0" };
    Arc::new(move |number| query(&shape, &format!("{number:0>MAX_ID_BYTES$}")).into_bytes())
}

/// Clients of all kinds at once: slow ones, such that stop, such that read nothing, and such that come and go.
fn mixed_crowd() -> Vec<HostileClients> {
    let slowly = Pace::Slowly { bytes: 2_000, pause: PIECE_PAUSE };
    let group = |pace, answers, request| HostileClients { count: MIXED_GROUP, pace, answers, request };
    let whole = Pace::Bursts(PIECE_PAUSE);
    vec![
        group(slowly, Answers::Read, large_query(1)),
        group(Pace::StopsAfter(LARGE_TEXT_BYTES / 2), Answers::Read, large_query(1)),
        group(slowly, Answers::Read, always(requests::head_of_short_fields(5_000))),
        group(whole, Answers::LeftUnread, large_query(6)),
        group(whole, Answers::Read, queries_with_long_ids(6)),
        returning(MIXED_GROUP, Answers::LeftUnread, large_query(6)),
        group(Pace::FullSpeed, Answers::LeftUnread, streamed_request()),
    ]
}

/// A mixed crowd, with clients that stop half way through a streamed body.
fn mixed_crowd_with_uploads() -> Vec<HostileClients> {
    let pace = Pace::StopsAfter(500_000);
    let uploads =
        HostileClients { count: MIXED_GROUP, pace, answers: Answers::Read, request: streamed_request() };
    mixed_crowd().into_iter().chain([uploads]).collect()
}

impl Scenario {
    fn with_node_behavior(mut self, behavior: NodeBehavior) -> Self {
        self.node_behavior = behavior;
        self
    }

    fn with_hits(mut self) -> Self {
        self.node_behavior = search_hits();
        self
    }
}

/// Picture (b): few clients at full speed.
fn flood_scenarios(ready: &dyn Fn() -> MakeRequest) -> Vec<Scenario> {
    let (read, unread) = (Answers::Read, Answers::LeftUnread);
    let leaves = |request| {
        vec![HostileClients { count: 16, pace: Pace::LeavesAfter(Duration::ZERO), answers: read, request }]
    };
    vec![
        Scenario::new("flood-ready", "b", few(1, read, ready())),
        Scenario::new("flood-ready-6", "b", few(6, read, ready())).with_small_cpu_share(),
        Scenario::new("flood-ready-6-unread", "b", few(6, unread, ready())).with_small_cpu_share(),
        Scenario::new("flood-ready-60", "b", few(60, read, ready())).with_small_cpu_share(),
        Scenario::new("flood-unsound", "b", few(1, read, unsound_requests())).with_small_cpu_share(),
        Scenario::new("flood-unsound-60", "b", few(60, read, unsound_requests())).with_small_cpu_share(),
        Scenario::new("flood-small-queries", "b", few(1, read, small_query("find", "1.0")))
            .with_small_cpu_share(),
        Scenario::new("flood-small-queries-60", "b", few(60, read, small_query("find", "1.0")))
            .with_small_cpu_share(),
        Scenario::new("flood-short-deadlines-hang", "b", few(30, read, small_query("find", "0.002")))
            .with_hanging_nodes(3)
            .with_small_cpu_share(),
        Scenario::new("flood-costly-json", "b", few(6, read, costly_json())).with_small_cpu_share(),
        Scenario::new("flood-costly-json-60", "b", few(60, read, costly_json())).with_small_cpu_share(),
        Scenario::new("flood-large-queries", "b", few(6, read, large_query(6))).with_small_cpu_share(),
        Scenario::new("flood-leavers", "b", leaves(small_query("find", "1.0"))).with_small_cpu_share(),
        Scenario::new("flood-leavers-ready", "b", leaves(ready())).with_small_cpu_share(),
        Scenario::new("flood-search-ready", "b", few(6, read, batches(|_| http_request("GET /", "", ""))))
            .at_search_api()
            .with_small_cpu_share(),
        Scenario::new(
            "flood-search-unsound",
            "b",
            few(6, read, batches(|number| http_request(&format!("GET /i{number}/_search"), "", "{"))),
        )
        .at_search_api()
        .with_small_cpu_share(),
        Scenario::new("flood-multi-search", "b", few(6, read, multi_search(100, 500)))
            .at_search_api()
            .with_hits()
            .with_small_cpu_share(),
        Scenario::new("flood-multi-search-large", "b", few(60, read, multi_search(100, 10)))
            .at_search_api()
            .with_hits()
            .without_in_flight_limit()
            .with_small_cpu_share(),
        Scenario::new(
            "flood-prefilter",
            "b",
            few(6, read, {
                let shape = QueryShape { query_class: "find", segments: 6, text_bytes: 100, budget: "1.0" };
                batches(move |number| {
                    query(&shape, &format!("p{number}")).replacen(
                        "qqqqqqqqqqqqqqqqqqqq",
                        &format!("{number:020}"),
                        1,
                    )
                })
            }),
        )
        .with_operator_file(PREFILTER)
        .with_small_cpu_share(),
    ]
}
