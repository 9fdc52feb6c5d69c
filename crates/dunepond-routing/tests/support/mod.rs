//! Support for the tests of a single router: a deployment, a recording transport and simulated nodes.
#![allow(dead_code, unused_imports, reason = "no test file uses all of it")]

mod cluster;
mod deployment;
mod transport;

pub use cluster::*;
pub use deployment::*;
pub use transport::*;
