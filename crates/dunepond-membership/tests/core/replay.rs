//! Replay protection against messages that were recorded long ago.

use dunepond_membership::{
    Authenticator, Core, Envelope, Message, MessageType, PROTOCOL_VERSION, PeerError, RequestKind,
    VersionRange, decode,
};
use rstest::rstest;

use crate::network::{KEY, SimulatedNetwork, address, no_loss, options};

/// Delivers the recorded datagrams to n0 again, in order and from the addresses of their senders. Returns the errors
/// with which n0 rejects them.
fn replay(network: &mut SimulatedNetwork, recorded: &[(usize, Vec<u8>)]) -> Vec<PeerError> {
    let mut errors = Vec::new();
    for (from, bytes) in recorded {
        let now = network.now;
        let actions = network.cores[0].on_datagram(now, address(*from), bytes);
        errors.extend(actions.error.clone());
        network.deliver(0, actions, &no_loss);
    }
    errors
}

/// Old datagrams of n2 are replayed to n0 after n2 has been down for so long that n0 no longer remembers it. n0 must
/// not add n2 again, whether or not n0 was restarted in the meantime.
#[rstest]
fn replayed_datagram_has_no_effect(#[values(false, true)] key: bool, #[values(false, true)] restarted: bool) {
    let mut network = SimulatedNetwork::new(3, key);
    network.run_until(5.0, no_loss);
    assert!(network.all_alive());
    let to_n0 = |sent: &&(usize, usize, Vec<u8>)| sent.1 == 0;
    let recorded: Vec<(usize, Vec<u8>)> =
        network.sent.iter().filter(to_n0).map(|sent| (sent.0, sent.2.clone())).collect();
    assert!(recorded.iter().filter(|datagram| datagram.0 == 2).count() > 3);
    network.stalled[2] = true;
    // n0 remembers a member for two minutes after it went down.
    network.run_until(160.0, no_loss);
    assert!(
        !network.cores[0].members().iter().any(|peer| peer.name == "n2"),
        "{:?}",
        network.cores[0].members()
    );
    if restarted {
        network.cores[0] = Core::new(&options(0, 2, 3, key), [77; 32], network.now).unwrap();
    }
    network.clear_changes();
    let errors = replay(&mut network, &recorded);
    assert_eq!(errors.len(), recorded.len(), "{errors:?}");
    network.run_until(161.0, no_loss);
    let about_n2 = |change: &&String| change.contains("n2");
    assert_eq!(network.changes[0].iter().find(about_n2), None, "{:?}", network.changes[0]);
    network.run_until(170.0, no_loss);
    let member_names: Vec<String> = network.cores[0].members().into_iter().map(|peer| peer.name).collect();
    assert_eq!(member_names, ["n1"], "{:?}", network.changes);
}

#[rstest]
fn replayed_request_has_no_effect(#[values(false, true)] key: bool) {
    let mut network = SimulatedNetwork::new(2, key);
    network.run_until(3.0, no_loss);
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 100 };
    let header = network.cores[1].header_for("n0", message_type);
    let authenticator = Authenticator::new(key.then_some(KEY)).unwrap();
    let bytes = network.cores[1].encode(PROTOCOL_VERSION, &header, b"take this");
    let authenticate = |core: &mut Core, now: f64| {
        let Message { envelope, header, .. } =
            decode(&bytes, &authenticator, "it", VersionRange::SUPPORTED).unwrap();
        core.authenticate_request(now, &envelope, &header, address(1))
    };
    assert_eq!(authenticate(&mut network.cores[0], 3.0), Ok(()));
    for after in [3.0, 3600.0] {
        let result = authenticate(&mut network.cores[0], after);
        assert!(matches!(result, Err(PeerError::Replayed { .. })), "{result:?}");
    }
    // The next incarnation of the receiver does not know the received sequence numbers, but it issues another address
    // token, which the replayed request does not echo.
    let mut next = Core::new(&options(0, 2, 2, key), [77; 32], 3600.0).unwrap();
    let result = authenticate(&mut next, 3600.0);
    assert!(
        matches!(result, Err(PeerError::InvalidToken { .. } | PeerError::UnverifiedSender { .. })),
        "{result:?}"
    );
}

/// A sender that lacks the receiver's address token receives the token in a hello, and sends its datagram again with
/// the token. The datagram is accepted at the same simulated time, so that no probe is lost.
#[rstest]
fn sender_without_token_is_accepted_after_hello(#[values(false, true)] key: bool) {
    let mut cores =
        [0, 1].map(|number| Core::new(&options(number, 1, 2, key), [number as u8; 32], 0.0).unwrap());
    let mut sent = cores[0].tick(0.1).datagrams;
    for round in 1..=3 {
        assert!(cores[1].members().is_empty());
        let [(to, bytes)] = &sent[..] else { panic!("{round}: {sent:?}") };
        let receiver = usize::from(to.port()) - 7000;
        sent = cores[receiver].on_datagram(0.1, address(1 - receiver), bytes).datagrams;
    }
    assert_eq!(cores[1].members()[0].name, "n0");
}

/// A request that arrives after requests with higher sequence numbers must not be rejected as a replay. A request whose
/// number is much lower than the highest one is rejected, since it can no longer be checked.
#[test]
fn reordered_requests_are_accepted_once() {
    let mut network = SimulatedNetwork::new(2, true);
    network.run_until(3.0, no_loss);
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 100 };
    let header = network.cores[1].header_for("n0", message_type);
    let mut authenticate = |sequence: u64, now: f64| {
        let envelope = Envelope { version: PROTOCOL_VERSION, supported: VersionRange::SUPPORTED, sequence };
        network.cores[0].authenticate_request(now, &envelope, &header, address(1)).is_ok()
    };
    assert_eq!(
        [5, 3, 5, 4, 3, 900, 2, 2].map(|sequence| authenticate(sequence, 3.0)),
        [true, true, false, true, false, true, true, false]
    );
    assert_eq!([5000, 4000, 3000].map(|sequence| authenticate(sequence, 5.0)), [true, true, false]);
}
