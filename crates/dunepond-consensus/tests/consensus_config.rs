//! Tests of the check of the consensus parameters in the operator's file.

use dunepond_consensus::*;
use dunepond_simulation::fixtures::consensus_config;
use rstest::rstest;

#[rstest]
#[case(|config: &mut ConsensusConfig| config.name.clear(), ConsensusConfigError::NoName)]
#[case(|config: &mut ConsensusConfig| config.voters.clear(), ConsensusConfigError::NoVoters)]
#[case(|config: &mut ConsensusConfig| config.voters.push(String::from("n1")), ConsensusConfigError::DuplicateVoter(String::from("n1")))]
#[case(|config: &mut ConsensusConfig| config.lease_seconds = 0.0, ConsensusConfigError::Lease { lease: 0.0, min: 0.2, max: 60.0 })]
#[case(|config: &mut ConsensusConfig| config.drift_ratio = 1.0, ConsensusConfigError::Drift { drift: 1.0, max: 0.2 })]
#[case(|config: &mut ConsensusConfig| config.longest_query_seconds = 0.0, ConsensusConfigError::LongestTimeout(0.0))]
#[case(|config: &mut ConsensusConfig| config.fill_deadline_seconds = f64::INFINITY, ConsensusConfigError::FillsDeadline(f64::INFINITY))]
#[case(|config: &mut ConsensusConfig| config.max_changed_ratio = 1.5, ConsensusConfigError::MostChanged(1.5))]
fn rejects_invalid_parameter(
    #[case] invalidate: fn(&mut ConsensusConfig),
    #[case] error: ConsensusConfigError,
) {
    let mut config = consensus_config("n1", 3);
    assert_eq!(config.check(), Ok(()));
    invalidate(&mut config);
    assert_eq!(config.check(), Err(error.clone()));
    assert!(!error.help().is_empty());
}

#[test]
fn switch_bound_error_names_valid_bound_and_lease() {
    let mut config = consensus_config("n1", 3);
    config.switch_bound_seconds = 1.5;
    let Err(ConsensusConfigError::Bound { bound, wait, lease }) = config.check() else {
        panic!("the bound has to be rejected, since the quiescence period is longer")
    };
    assert_eq!((bound, wait), (1.5, config.quiescence_seconds()));
    assert!(ConsensusConfigError::Bound { bound, wait, lease }.to_string().contains("raise bound to 1.632"));
    assert_eq!(
        ConsensusConfig { switch_bound_seconds: wait, ..config.clone() }.check(),
        Ok(()),
        "the bound that the error names is valid"
    );
    assert_eq!(
        ConsensusConfig { lease_seconds: lease - 1e-9, ..config }.check(),
        Ok(()),
        "a lease just below the one that the error names is valid"
    );
}
