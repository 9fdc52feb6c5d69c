//! Reads and checks the configuration that the programs start with.
//!
//! [`deployment`] and [`host_settings`] read the deployment's settings (JSON, see [`Fields`]), [`operator`] reads the
//! operator's file (KDL), and [`migrate`] converts a configuration of the earlier format. Keys in the files keep their names
//! for compatibility; only this crate maps them to the terms of the code. Every error names the offending key or its place.
//!
//! Durations are seconds and sizes are bytes, unless a name says otherwise.

#![warn(missing_docs)]

mod deployment;
mod error;
mod fields;
mod host_settings;
pub mod migrate;
pub mod operator;
mod strict_json;

pub use deployment::deployment;
pub use error::ConfigError;
pub use fields::Fields;
pub use host_settings::{HostSettings, host_settings};
pub use strict_json::parse_json;
