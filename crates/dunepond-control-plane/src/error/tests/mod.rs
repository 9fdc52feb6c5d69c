//! Every error names the file or address at fault and has a help text.

use std::path::PathBuf;

use dunepond_consensus::ConsensusConfigError;
use dunepond_membership::PeerError;

use super::{ControlPlaneError, FillError, PlanError, VersionError};

#[test]
fn every_error_names_its_source_and_has_help() {
    let (path, why) = (PathBuf::from("/a/b"), "no".to_string());
    let at = || "127.0.0.1:1".to_string();
    let start_errors = [
        ControlPlaneError::ConsensusConfig(ConsensusConfigError::NoVoters),
        ControlPlaneError::Links(PeerError::Stopped),
        ControlPlaneError::DataDirectory { path: path.clone(), why: why.clone() },
        ControlPlaneError::Key { path: path.clone(), why: why.clone() },
        ControlPlaneError::AuditLog { path: path.clone(), why: why.clone() },
        ControlPlaneError::Thread { why: why.clone() },
        ControlPlaneError::Consensus { why: why.clone(), help: "look".to_string() },
        ControlPlaneError::LostMajority { path: path.clone(), why: why.clone(), help: "look".to_string() },
    ];
    assert!(start_errors.iter().all(|e| !e.help().is_empty() && !e.to_string().is_empty()));
    let version_errors = [
        VersionError::NotFound { path: path.clone() },
        VersionError::Unreadable { path: path.clone(), why: why.clone() },
        VersionError::Invalid { path: path.clone(), line: 1, column: 2, why: why.clone() },
        VersionError::QueryClassCount { path: path.clone(), key: "least", found: 1, expected: 2 },
        VersionError::Rule { path: path.clone(), key: "least", value: 2.0, expected: "a share" },
        VersionError::TooLarge { path: path.clone(), bytes: 2, max_bytes: 1 },
        VersionError::VoterAddress { path: path.clone(), name: "n4".to_string(), at: why.clone() },
        VersionError::UnknownKey { path: path.clone(), key: "rules.x".to_string() },
        VersionError::Map { path, faults: 1, first: why.clone(), help: why.clone() },
    ];
    assert!(version_errors.iter().all(|e| e.to_string().starts_with("/a/b") && !e.help().is_empty()));
    let plan_errors = [
        PlanError::NotFound { path: PathBuf::from("/a/b") },
        PlanError::Unreadable { path: PathBuf::from("/a/b"), why: "no".to_string() },
        PlanError::Invalid {
            path: PathBuf::from("/a/b"),
            why: dunepond_rebalance::RebalanceError::MissingId.into(),
        },
    ];
    assert!(plan_errors.iter().all(|e| e.to_string().starts_with("/a/b") && !e.help().is_empty()));
    let fill_errors = [
        FillError::Unreachable { at: at(), why: why.clone() },
        FillError::Rejected { at: at(), status: 500, id: "1/2/a".to_string() },
        FillError::InvalidResponse { at: at(), id: "1/2/a".to_string(), why },
    ];
    assert!(fill_errors.iter().all(|e| e.to_string().contains("127.0.0.1:1") && !e.help().is_empty()));
}
