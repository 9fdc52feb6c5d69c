//! A broker among stand-ins for its peers, over loopback.

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
