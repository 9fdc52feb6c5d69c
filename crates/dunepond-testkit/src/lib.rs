//! The laboratory: stand-ins for a broker's peers that tests and experiments share, faults, load and reports.

pub mod auditor;
pub mod disk;
pub mod experiments;
pub mod fleet;
pub mod links;
pub mod lives;
pub mod load;
pub mod memory_store;
pub mod processes;
pub mod report;
pub mod search_cluster;
pub mod shutdown;
pub mod stand_ins;
pub mod texts;
pub mod wide;
