//! The laboratory: stand-ins for a broker's peers that tests and experiments share, faults, load and reports.

pub mod auditor;
pub mod disk;
pub mod experiments;
pub mod files;
pub mod fleet;
pub mod links;
pub mod lives;
pub mod load;
pub mod pages;
pub mod processes;
pub mod report;
pub mod shutdown;
pub mod store;
pub mod texts;
pub mod wide;
