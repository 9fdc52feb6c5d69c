//! A broker with stand-ins for its clients, nodes and discovery, over loopback.

mod attempts;
mod command_line;
mod connections;
mod discovery;
mod lifecycle;
mod limits;
mod requests;

use dunepond_testkit::stand_ins::Node;

fn nodes(count: usize) -> Vec<Node> {
    (0..count).map(|i| Node::start(&format!("s-{i}"))).collect()
}
