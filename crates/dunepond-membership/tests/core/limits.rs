//! Limits on the rate of messages and on the number of names that are not configured.

use dunepond_membership::{
    Authenticator, Core, Envelope, Limits, MessageHeader, MessageType, PeerError, PeerId, RefusalReason,
    RequestKind, encode,
};

use crate::network::{SimulatedNetwork, address, deliver_from_n2, name, no_loss, options};

#[test]
fn floods_and_unknown_names_are_limited() {
    let mut options = options(0, 1, 3, false);
    options.limits = Limits { max_members: 4, max_datagrams_per_second: 10, ..Limits::default() };
    let mut core = Core::new(&options, [0; 32], 0.0).unwrap();
    let mut send = |number: usize| {
        let from =
            PeerId { name: name(number), incarnation: 1, renewals: 0, listen_address: address(number) };
        let dst = PeerId { name: name(0), incarnation: 0, renewals: 0, listen_address: address(0) };
        let announcement =
            foca::Header { src: from.clone(), src_incarnation: 0, dst, message: foca::Message::Announce };
        let header = MessageHeader {
            from,
            to: name(0),
            issued_token: 0,
            echoed_token: 0,
            message_type: MessageType::Gossip,
        };
        let bytes = encode(
            &Envelope::VERSION_1,
            &header,
            &postcard::to_stdvec(&announcement).unwrap(),
            &Authenticator::new(None).unwrap(),
        );
        core.on_datagram(0.1, address(number), &bytes).error
    };
    let errors: Vec<Option<PeerError>> = (10..20).map(&mut send).collect();
    assert_eq!(errors.iter().filter(|error| error.is_none()).count(), 4);
    assert!(matches!(errors[9], Some(PeerError::TooManyMembers { limit: 4 })), "{errors:?}");
    assert_eq!(send(1), None);
    let errors: Vec<Option<PeerError>> = (0..10).map(|_| send(1)).collect();
    assert!(matches!(errors[9], Some(PeerError::RateLimited { per_second: 10, .. })), "{errors:?}");
    assert_eq!(errors[8], None);

    // The limit on names that are not configured also applies to names in gossip updates, and to senders that do not
    // become members.
    let mut network = SimulatedNetwork::new(3, false);
    network.run_until(3.0, no_loss);
    let unknown_member = |number: usize| {
        let (name, listen_address) = (format!("s{number}"), address(100 + number));
        foca::Member::alive(PeerId { name, incarnation: 1, renewals: 0, listen_address })
    };
    for batch in 0..20 {
        let updates: Vec<_> = (20 * batch..20 * (batch + 1)).map(unknown_member).collect();
        let error = deliver_from_n2(&mut network, foca::Message::Gossip, &updates).error;
        assert_eq!(error.is_some(), batch >= 12, "{batch}: {error:?}");
    }
    assert!(network.cores[0].members().len() <= 2 + 256);
    let mut core = Core::new(&options, [0; 32], 0.0).unwrap();
    let errors = (10..20).map(|number| {
        let from =
            PeerId { name: name(number), incarnation: 1, renewals: 0, listen_address: address(number) };
        let header = MessageHeader {
            from,
            to: name(0),
            issued_token: 0,
            echoed_token: 0,
            message_type: MessageType::Refusal { id: 0 },
        };
        let payload = postcard::to_stdvec(&RefusalReason::TooManyMembers).unwrap();
        core.on_datagram(
            0.1,
            address(number),
            &encode(&Envelope::VERSION_1, &header, &payload, &Authenticator::new(None).unwrap()),
        )
        .error
    });
    assert_eq!(errors.filter(|error| matches!(error, Some(PeerError::TooManyMembers { .. }))).count(), 6);
}

#[test]
fn requests_are_rate_limited() {
    let mut options = options(0, 1, 2, true);
    options.limits.max_requests_per_second = 10;
    let mut core = Core::new(&options, [0; 32], 0.0).unwrap();
    let from = PeerId { name: name(1), incarnation: 1, renewals: 0, listen_address: address(1) };
    let message_type = MessageType::Request { id: 1, kind: RequestKind::Raft.into(), timeout_ms: 100 };
    let header = MessageHeader { from, to: name(0), issued_token: 0, echoed_token: 0, message_type };
    let mut accepted = |now: f64| {
        (0..15)
            .filter(|_| core.authenticate_request(now, &Envelope::VERSION_1, &header, address(1)).is_ok())
            .count()
    };
    assert_eq!([accepted(0.1), accepted(1.0), accepted(1.2)], [10, 0, 10]);
}
