//! Stand-ins for a broker's peers (nodes, a discovery server and clients), and the broker itself as a process.

mod broker;
mod client;
mod config;
mod discovery;
mod node;

use std::time::Duration;

pub use broker::{Broker, broker_program, launch, launch_command, scratch_path};
pub use client::{Client, Response, query_request};
pub use config::{config, set_timeouts, settings};
pub use discovery::DiscoveryServer;
pub use node::{Node, NodeBehavior};

/// Maximum time that a stand-in waits for an expected event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
