//! Tests of the lease client with hand-made replies: which of them it adopts, and on which versions the broker may act
//! at which time.

use std::sync::Arc;

use dunepond_consensus::*;
use dunepond_shard_map::ShardMap;
use dunepond_simulation::fixtures::{config_version, consensus_config, routing_rules, shard_map};

/// A lease grant with the given active and proposed version and their documents. The state in the grant is applied up
/// to the log index `index`.
fn grant(
    index: u64,
    active: Option<&ConfigVersion>,
    proposed: Option<(&ConfigVersion, RolloutStep)>,
) -> LeaseGrant {
    let documents = active.into_iter().chain(proposed.map(|(version, _)| version)).cloned().map(Arc::new);
    LeaseGrant {
        lease_seconds: 1.0,
        required_parts: Vec::new(),
        fleet_id: 0,
        epoch: 0,
        index,
        active: active.map(|version| (version.number, version.digest())),
        proposed: proposed.map(|(version, step)| ProposedVersion {
            number: version.number,
            digest: version.digest(),
            step,
        }),
        highest_number: 9,
        maps_enabled: true,
        voters: Vec::new(),
        voters_number: 0,
        documents: documents.collect(),
        completed_fills: Vec::new(),
        settlements: SettlementUpdate::default(),
        quota: None,
        leader: String::from("n2"),
        leader_run_id: 7,
        received_at: 500.0,
    }
}

fn next_request(client: &mut LeaseClient, at: f64) -> LeaseRequest {
    client.tick(at).expect("a request is due").1
}

fn deliver_grant(
    client: &mut LeaseClient,
    at: f64,
    request: &LeaseRequest,
    grant: LeaseGrant,
) -> Result<(), Rejection> {
    let answer = LeaseAnswer::Granted(Box::new(grant));
    client.handle_reply(
        at,
        "n2",
        LeaseReply { id: request.id, run_id: request.run_id, sent_at: request.sent_at, answer },
    )
}

fn lease_client() -> LeaseClient {
    LeaseClient::new(consensus_config("n1", 3), None, 100.0, 1)
}

#[test]
fn lease_counts_from_request_and_expires_at_time_of_use() {
    let (mut client, first_version) = (lease_client(), config_version(1, Some(shard_map(1, false))));
    let before = client.active_config();
    assert_eq!(
        (before.phase(100.0), before.owner(0, 100.0)),
        (ConfigPhase::Unconfigured, SegmentOwner::Unavailable(1.0))
    );
    let request = next_request(&mut client, 100.0);
    deliver_grant(&mut client, 100.9, &request, grant(5, Some(&first_version), None)).unwrap();
    let active_config = client.active_config();
    assert_eq!(active_config.phase(100.99), ConfigPhase::Active(1));
    assert_eq!(active_config.owner(0, 100.99), SegmentOwner::Node("s0b"));
    assert_eq!(
        active_config.phase(101.0),
        ConfigPhase::LeaseExpired(1),
        "the lease counts from the request, not from the reply a tenth of a second ago"
    );
    assert_eq!(
        active_config.owner(0, 106.0),
        SegmentOwner::Unavailable(1.0),
        "the lease has expired during a suspension"
    );
    assert_eq!(active_config.rules(106.0), Some(&first_version.rules));
    assert_eq!(
        active_config.phase(99.0),
        ConfigPhase::LeaseExpired(1),
        "a clock that went back does not extend the lease"
    );
}

#[test]
fn rejects_stale_and_unexpected_replies() {
    let (first_version, second_version) =
        (config_version(1, Some(shard_map(1, false))), config_version(2, Some(shard_map(2, false))));
    let mut client = lease_client();
    let first = next_request(&mut client, 100.0);
    let second = next_request(&mut client, 100.4);
    deliver_grant(
        &mut client,
        100.5,
        &first,
        grant(6, Some(&first_version), Some((&second_version, RolloutStep::Joint))),
    )
    .unwrap();
    assert_eq!(client.active_config().phase(100.6), ConfigPhase::Joint(1, 2));
    let late = deliver_grant(&mut client, 100.6, &second, grant(5, Some(&first_version), None));
    assert_eq!(late, Err(Rejection::StaleReply { stated: 5, known: 6 }));
    assert_eq!(client.active_config().phase(100.6), ConfigPhase::Joint(1, 2));
    assert_eq!(
        deliver_grant(&mut client, 100.7, &first, grant(7, Some(&second_version), None)),
        Err(Rejection::UnexpectedReply(first.id))
    );
    // A reply to an earlier or later process of the same broker, which sent a request with the same id.
    let third = LeaseRequest { run_id: 1, ..next_request(&mut client, 100.6) };
    assert_eq!(
        deliver_grant(&mut client, 100.7, &third, grant(7, Some(&second_version), None)),
        Err(Rejection::UnexpectedReply(third.id))
    );
}

#[test]
fn rejects_invalid_documents_and_lease_expires() {
    let first_version = config_version(1, Some(shard_map(1, false)));
    let mut client = lease_client();
    let request = next_request(&mut client, 100.0);
    deliver_grant(&mut client, 100.1, &request, grant(5, Some(&first_version), None)).unwrap();
    // Three invalid grants: a document that differs from the committed digest, a map with a gap, and no document.
    let (mut altered_version, mut gap_version) =
        (config_version(2, Some(shard_map(2, false))), config_version(2, Some(shard_map(2, false))));
    gap_version.map.as_mut().unwrap().segments.remove(1);
    gap_version.map = gap_version.map.map(dunepond_shard_map::ShardMap::with_digest);
    let mut altered_grant = grant(6, Some(&first_version), Some((&altered_version, RolloutStep::Joint)));
    altered_version.rules = routing_rules(8);
    altered_grant.documents = vec![Arc::new(altered_version)];
    let mut grant_without_document = grant(6, Some(&first_version), Some((&gap_version, RolloutStep::Joint)));
    grant_without_document.documents.clear();
    let request = next_request(&mut client, 100.4);
    assert!(matches!(
        deliver_grant(&mut client, 100.5, &request, altered_grant),
        Err(Rejection::DigestMismatch { number: 2, .. })
    ));
    let request = next_request(&mut client, 100.8);
    assert!(matches!(
        deliver_grant(
            &mut client,
            100.9,
            &request,
            grant(6, Some(&first_version), Some((&gap_version, RolloutStep::Joint)))
        ),
        Err(Rejection::InvalidMap(_))
    ));
    assert_eq!(client.active_config().phase(100.95), ConfigPhase::Active(1));
    let request = next_request(&mut client, 101.3);
    assert_eq!(
        deliver_grant(&mut client, 101.4, &request, grant_without_document),
        Err(Rejection::MissingDocument(2))
    );
    assert_eq!(
        client.active_config().phase(101.4),
        ConfigPhase::LeaseExpired(1),
        "none of the replies granted a lease"
    );
}

#[test]
fn backward_clock_and_excessive_drift_end_lease() {
    let first_version = config_version(1, Some(shard_map(1, false)));
    let mut backward_client = lease_client();
    let request = next_request(&mut backward_client, 100.0);
    deliver_grant(&mut backward_client, 100.1, &request, grant(5, Some(&first_version), None)).unwrap();
    backward_client.tick(99.9);
    assert_eq!(backward_client.active_config().phase(100.2), ConfigPhase::LeaseExpired(1));
    assert!(matches!(backward_client.distrust_reason(), Some(Rejection::ClockWentBack { .. })));
    // The client's clock advances by 10 s and the leader's by 11 s, which exceeds a drift of 1% of each clock.
    let mut slow_client = lease_client();
    for n in 0..20 {
        let at = 100.0 + 0.5 * f64::from(n);
        let request = next_request(&mut slow_client, at);
        let grant_of_leader =
            LeaseGrant { received_at: 500.0 + 0.55 * f64::from(n), ..grant(5, Some(&first_version), None) };
        let _ = deliver_grant(&mut slow_client, at + 0.01, &request, grant_of_leader);
    }
    assert!(
        matches!(slow_client.distrust_reason(), Some(Rejection::ClockDrift { .. })),
        "{:?}",
        slow_client.distrust_reason()
    );
    assert_eq!(slow_client.active_config().phase(109.6), ConfigPhase::LeaseExpired(1));
    // A lease of another leader is accepted, since it may have been the first leader's clock that was wrong.
    let request = next_request(&mut slow_client, 110.0);
    deliver_grant(
        &mut slow_client,
        110.01,
        &request,
        LeaseGrant { leader: String::from("n3"), ..grant(5, Some(&first_version), None) },
    )
    .unwrap();
    assert_eq!(
        (slow_client.active_config().phase(110.1), slow_client.distrust_reason()),
        (ConfigPhase::Active(1), None)
    );
    let mut accurate_client = lease_client();
    for n in 0..40 {
        let at = 100.0 + 0.5 * f64::from(n);
        let request = next_request(&mut accurate_client, at);
        let grant_of_leader =
            LeaseGrant { received_at: 500.0 + 0.509 * f64::from(n), ..grant(5, Some(&first_version), None) };
        deliver_grant(&mut accurate_client, at + 0.01, &request, grant_of_leader).unwrap();
    }
}

#[test]
fn rejects_earlier_epoch_and_other_fleet() {
    let first_version = config_version(1, Some(shard_map(1, false)));
    let grant_of =
        |fleet_id, epoch, index| LeaseGrant { fleet_id, epoch, ..grant(index, Some(&first_version), None) };
    let mut client = lease_client();
    let request = next_request(&mut client, 100.0);
    deliver_grant(&mut client, 100.1, &request, grant_of(5, 2, 100)).unwrap();
    let rejected = [(5, 1, Rejection::StaleEpoch { stated: 1, known: 2 }), (6, 9, Rejection::OtherFleet)];
    // After a restart from the persisted state, the client rejects the same grants.
    let persisted = PersistedState::decode(&client.persisted_state().encode()).unwrap();
    let mut restarted = LeaseClient::new(consensus_config("n1", 3), Some(persisted), 100.2, 2);
    for (n, (fleet_id, epoch, rejection)) in rejected.into_iter().enumerate() {
        let at = 100.4 + 0.4 * n as f64;
        let request = next_request(&mut client, at);
        assert_eq!(
            deliver_grant(&mut client, at, &request, grant_of(fleet_id, epoch, 200)),
            Err(rejection.clone())
        );
        let request = next_request(&mut restarted, at);
        assert_eq!(
            deliver_grant(&mut restarted, at, &request, grant_of(fleet_id, epoch, 200)),
            Err(rejection)
        );
    }
    assert_eq!(
        (client.active_config().phase(101.0), restarted.active_config().phase(101.0)),
        (ConfigPhase::LeaseExpired(1), ConfigPhase::LeaseExpired(1))
    );
}

#[test]
fn persisted_versions_apply_without_lease_after_restart() {
    let (first_version, second_version) =
        (config_version(1, Some(shard_map(1, false))), config_version(2, Some(shard_map(2, false))));
    let mut client = lease_client();
    let request = next_request(&mut client, 100.0);
    deliver_grant(
        &mut client,
        100.1,
        &request,
        grant(6, Some(&first_version), Some((&second_version, RolloutStep::Joint))),
    )
    .unwrap();
    let persisted = PersistedState::decode(&client.persisted_state().encode()).unwrap();
    let restarted = LeaseClient::new(consensus_config("n1", 3), Some(persisted), 100.2, 2).active_config();
    assert_eq!(restarted.phase(100.2), ConfigPhase::LeaseExpired(1));
    assert_eq!(restarted.rules(100.2), Some(&strictest_rules(&first_version.rules, &second_version.rules)));
    assert_eq!(restarted.owner(0, 100.2), SegmentOwner::Unavailable(1.0));
    assert_eq!(
        PersistedState::decode(&[9, 9]),
        Err(ConsensusError::CorruptRecord("the persisted state of a broker"))
    );
}

/// Returns a shard map like [`shard_map`], in which segment 0 has moved from node `s0a` to node `new`.
fn map_with_moved_segment(epoch: u64) -> ShardMap {
    let mut map = shard_map(epoch, false);
    map.segments[0].replicas[0].node = "new".to_string();
    map.segments[0].owner = "s0b".to_string();
    map.with_digest()
}

/// Guards against reads from a node that a later version drops, and from one that an earlier version does not name.
#[test]
fn segment_is_read_only_from_replicas_of_all_versions_in_force() {
    let (first, second) =
        (config_version(1, Some(shard_map(1, false))), config_version(2, Some(map_with_moved_segment(2))));
    let mut client = lease_client();
    assert_eq!(client.active_config().readable_replicas(0, 100.0), None);
    let request = next_request(&mut client, 100.0);
    deliver_grant(&mut client, 100.1, &request, grant(5, Some(&first), None)).unwrap();
    assert_eq!(client.active_config().readable_replicas(0, 100.2), Some(vec!["s0a", "s0b"]));
    let request = next_request(&mut client, 100.9);
    deliver_grant(&mut client, 101.0, &request, grant(6, Some(&first), Some((&second, RolloutStep::Joint))))
        .unwrap();
    assert_eq!(client.active_config().readable_replicas(0, 101.1), Some(vec!["s0b"]));
    // Without a lease the broker cannot know which version is in force.
    assert_eq!(client.active_config().readable_replicas(0, 110.0), Some(vec!["s0b"]));
    let request = next_request(&mut client, 110.0);
    deliver_grant(&mut client, 110.1, &request, grant(7, Some(&second), None)).unwrap();
    assert_eq!(client.active_config().readable_replicas(0, 110.2), Some(vec!["new", "s0b"]));
    assert_eq!(client.active_config().readable_replicas(99, 110.2), None);
}

#[test]
fn without_maps_expired_lease_allows_any_replica() {
    let config = ConsensusConfig { maps_enabled: false, ..consensus_config("n1", 3) };
    let mut client = LeaseClient::new(config, None, 100.0, 1);
    assert_eq!(
        client.active_config().owner(0, 100.0),
        SegmentOwner::Unavailable(1.0),
        "before the first lease a map may have become active"
    );
    let request = next_request(&mut client, 100.0);
    let first_version = config_version(1, None);
    deliver_grant(
        &mut client,
        100.1,
        &request,
        LeaseGrant { maps_enabled: false, ..grant(5, Some(&first_version), None) },
    )
    .unwrap();
    assert_eq!(
        (client.active_config().phase(102.0), client.active_config().owner(0, 102.0)),
        (ConfigPhase::LeaseExpired(1), SegmentOwner::AnyReplica)
    );
    // The grant shows that maps are enabled in the fleet, although this broker's file does not enable them, so a map
    // may become active from now on.
    let request = next_request(&mut client, 102.0);
    deliver_grant(&mut client, 102.1, &request, grant(6, Some(&first_version), None)).unwrap();
    assert_eq!(client.active_config().owner(0, 104.0), SegmentOwner::Unavailable(1.0));
}
