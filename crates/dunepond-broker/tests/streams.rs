//! How many attempts are sent on a node connection at once, independently of how many of them share a frame.

use dunepond_testkit::stand_ins::{Broker, Client, Node, NodeBehavior, config, query_request};
use rstest::rstest;
use serde_json::json;

/// Guards against sending more attempts on a connection than its limit: the node would leave the excess attempts
/// unread, and the cancel frames behind them.
#[rstest]
#[case::a_frame_fills_a_connection(2, 2, &[2, 2, 2])]
#[case::a_connection_carries_less_than_a_frame_may_hold(2, 4, &[2, 2, 2])]
#[case::a_frame_that_does_not_fit_goes_on_another(3, 2, &[2, 2, 2])]
#[case::two_frames_fit(4, 2, &[4, 2])]
fn connection_carries_the_configured_number_of_attempts(
    #[case] streams: usize,
    #[case] attempts_per_frame: usize,
    #[case] attempts_per_connection: &[usize],
) {
    let node = Node::start("n0");
    node.set_behavior(NodeBehavior::Hang);
    let list = dunepond_testkit::stand_ins::DiscoveryServer::start(vec![node.endpoint("ready")]);
    let mut config = config(list.address, vec![node.endpoint("ready")]);
    *config.pointer_mut("/settings/ceilings/streamsPerConn").unwrap() = json!(streams);
    *config.pointer_mut("/settings/familyInfo/partsACall").unwrap() = json!(attempts_per_frame);
    let broker = Broker::start(&config);
    let mut client = Client::connect(&broker);
    client.send(&query_request("find", "c1", &[0, 1, 2, 3, 4, 5], "2.0"));
    node.wait_for_frames('A', 3);
    let parts: Vec<_> = node.frames_of_type('A').iter().map(|f| f.matches(" d=").count()).collect();
    assert_eq!((parts, node.connection_count()), (vec![2, 2, 2], attempts_per_connection.len()));
}
