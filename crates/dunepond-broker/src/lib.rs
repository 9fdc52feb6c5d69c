//! The broker process as a library: used by the program `dunepond-broker`, and by the testkit, which runs it with test
//! doubles.

#![warn(missing_docs)]

mod background;
mod body;
mod body_store;
pub mod buffers;
pub mod clock;
pub mod config;
mod config_reload;
mod connection_end;
mod control_plane;
mod discovery;
pub mod downstream;
mod endpoint;
mod event_loop;
mod frames;
mod http;
pub mod iteration;
pub mod logger;
pub mod migrate;
pub mod persistence;
mod prefilter;
mod prefilter_connections;
pub mod query_command;
mod query_request;
pub mod read_turn;
mod router;
mod run_id;
mod search_api;
mod signals;
mod socket_buffers;
mod upstream;

pub use control_plane::check as check_fleet;
pub use event_loop::{Hooks, serve};
pub use signals::{CaughtSignals, catch_signals};

#[cfg(test)]
mod tests;
