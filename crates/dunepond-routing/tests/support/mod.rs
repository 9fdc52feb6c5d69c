//! What the tests of one router share: its deployment, a recording transport and simulated nodes.
#![allow(dead_code, unused_imports, reason = "each test file uses its own part")]

mod cluster;
mod deployment;
mod transport;

pub use cluster::*;
pub use deployment::*;
pub use transport::*;
