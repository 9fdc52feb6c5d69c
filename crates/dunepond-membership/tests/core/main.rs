//! Tests of the core on a simulated network.

mod failure_detection;
mod limits;
mod network;
mod replay;
mod untrusted_gossip;
mod versions;
