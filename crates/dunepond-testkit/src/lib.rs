//! Test support that tests and experiments share: stand-ins for a broker's peers, fault injection, process control,
//! load generation, an auditor of broker records, and reports.

#![warn(missing_docs)]

pub mod auditor;
pub mod body_cluster;
pub mod experiments;
pub mod faulty_disk;
pub mod fleet;
mod frames;
pub mod hostile_clients;
pub mod links;
pub mod load;
pub mod memory_store;
mod part_runs;
pub mod prefilter_cluster;
pub mod processes;
pub mod report;
pub mod restart_cluster;
pub mod search_cluster;
pub mod shutdown;
pub mod stand_ins;
