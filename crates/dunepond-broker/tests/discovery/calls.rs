//! Discovery calls whose responses are slow, never end or are malformed: the list is still received in time.

use std::time::Instant;

use rstest::rstest;

use crate::agent::{
    Call, MAX_UPDATE_DELAY, assert_only_second_node_serves, broker_awaiting_list, broker_with_watch,
    first_node_draining, http_response, nodes,
};

/// Guards against closing a slow call in favour of newer ones, which would be just as slow.
#[rstest]
#[case::not_started(0)]
#[case::within_the_head(20)]
#[case::within_the_list(120)]
fn slow_answer_accepted_beside_later_calls(#[case] sent_first: usize) {
    let nodes = nodes();
    let (broker, agent, mut slow) = broker_awaiting_list(&nodes);
    let text = http_response(&first_node_draining(2, &nodes).to_string());
    slow.write_text(&text[..sent_first]);
    let _later: Vec<_> = (0..7).map(|_| agent.accept_request()).collect();
    slow.write_text(&text[sent_first..]);
    assert!(slow.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// Guards against responses that arrive byte by byte without end and occupy all calls that are allowed at once.
#[test]
fn endless_answers_are_replaced_by_new_calls() {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_awaiting_list(&nodes);
    let mut endless = Vec::new();
    call.write_text("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
    for _ in 0..14 {
        endless.push(std::mem::replace(&mut call, agent.accept_request().0));
        call.write_text("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
        endless.iter_mut().for_each(|call| call.write_text(" "));
    }
    endless[..2].iter_mut().for_each(Call::wait_closed);
    let (mut next, _) = agent.accept_request();
    next.answer(&first_node_draining(2, &nodes));
    assert!(next.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}

/// Several calls in a row fail in the same way, and the list is still received in time.
#[rstest]
#[case::closed("", false)]
#[case::reset("", true)]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-", false)]
#[case::half_a_head_and_reset("HTTP/1.1 200 OK\r\nContent-", true)]
#[case::half_a_list("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":2,", false)]
#[case::half_a_list_and_reset("HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":2,", true)]
#[case::half_a_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"seq\":2,", false)]
#[case::an_error("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false)]
#[case::an_empty_answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false)]
#[case::invalid_json("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{\"seq\":2;", false)]
#[case::no_list("HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"seq\":2,\"whole\":true}", false)]
#[case::no_http("what is this\r\n\r\n", false)]
fn broken_calls_are_retried_in_time(#[case] sent: &str, #[case] reset: bool) {
    let nodes = nodes();
    let (broker, agent, mut call) = broker_with_watch(1, &nodes);
    let since = Instant::now();
    for _ in 0..4 {
        call.write_text(sent);
        if reset {
            call.reset();
        } else {
            drop(call);
        }
        let (next, path) = agent.accept_request();
        assert_eq!(path, "/v1/endpoints");
        call = next;
    }
    assert!(since.elapsed() < MAX_UPDATE_DELAY, "{:?}", since.elapsed());
    call.answer(&first_node_draining(2, &nodes));
    assert!(call.read_request().contains("index=2&"));
    assert_only_second_node_serves(&broker, &nodes);
}
