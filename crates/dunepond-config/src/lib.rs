//! Reads and checks the configuration that the programs of this workspace read at startup.
//!
//! [`deployment`] and [`host_settings`] read the deployment's settings (JSON, see [`Fields`]), [`operator`] reads the
//! operator's file (KDL), and [`migrate`] converts a configuration of the earlier format. For compatibility, keys in
//! the files keep their old names, which differ from the terms in the code; only this crate maps one to the other.
//! Every error names the offending key or its position in the file.
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
