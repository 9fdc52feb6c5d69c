//! How many attempts a connection to a node carries at once, however many share a frame.

use dunepond_testkit::stand_ins::{Broker, Client, Node, NodeBehavior, config, query_request};
use rstest::rstest;
use serde_json::json;

/// Guards against attempts that wait unread at the node, with their cancel frames behind them.
#[rstest]
#[case::a_call_fills_a_connection(2, 2, &[2, 2, 2])]
#[case::a_connection_carries_less_than_a_call_may_hold(2, 4, &[2, 2, 2])]
#[case::a_call_that_does_not_fit_goes_on_another(3, 2, &[2, 2, 2])]
#[case::two_calls_fit(4, 2, &[4, 2])]
fn connection_carries_the_configured_number_of_attempts(
    #[case] streams: usize,
    #[case] a_call: usize,
    #[case] on_each: &[usize],
) {
    let node = Node::start("n0");
    node.set_behavior(NodeBehavior::Hang);
    let list = dunepond_testkit::stand_ins::DiscoveryServer::start(vec![node.endpoint("ready")]);
    let mut told = config(list.address, vec![node.endpoint("ready")]);
    *told.pointer_mut("/settings/ceilings/streamsPerConn").unwrap() = json!(streams);
    *told.pointer_mut("/settings/familyInfo/partsACall").unwrap() = json!(a_call);
    let broker = Broker::start(&told);
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0, 1, 2, 3, 4, 5], "2.0"));
    node.wait_for_frames('A', 3);
    let parts: Vec<_> = node.frames('A').iter().map(|f| f.matches(" d=").count()).collect();
    assert_eq!((parts, node.connections()), (vec![2, 2, 2], on_each.len()));
}
