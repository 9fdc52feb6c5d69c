//! Every error states what is wrong and what an operator can do about it.

use dunepond_membership::{Core, Limits, MembershipOptions, PeerError, RefusalReason, Timing, VersionRange};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Defines a function that returns one value of each variant of an enum. The function does not compile if a variant is
/// missing in the macro call.
macro_rules! one_value_per_variant {
    ($function:ident, $type:ident: $($variant:ident $fields:tt,)*) => {
        fn $function() -> Vec<$type> {
            let all = vec![$(construct!($type $variant $fields)),*];
            all.iter().for_each(|value| match value { $($type::$variant { .. } => {})* });
            all
        }
    };
}
/// Constructs a variant without fields, with one value, or with named fields.
macro_rules! construct {
    ($type:ident $variant:ident ()) => { $type::$variant };
    ($type:ident $variant:ident ($value:expr)) => { $type::$variant($value) };
    ($type:ident $variant:ident {$($field:ident: $value:expr),*}) => { $type::$variant { $($field: $value.into()),* } };
}

const ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7400);

one_value_per_variant!(refusals, RefusalReason:
    Busy(), Timeout(), AuthenticationFailed(), Malformed(), RateLimited(), TooManyMembers(), NoResponse(), Declined("n2 is no voter".into()),
    TooLarge { max_bytes: 4u64 }, UnsupportedVersionV1 { stated: 2, supported: 1 }, UnverifiedSender { name: "n2" }, WrongRecipient { name: "n2" },
    StaleIncarnation { name: "n2", known: 3u64 }, UnsupportedVersion { stated: VersionRange::exactly(3), supported: VersionRange::SUPPORTED },
    UnknownKind { kind: 9u32 }, InvalidToken(), Replayed(),
);

one_value_per_variant!(errors, PeerError:
    Bind { address: ADDRESS, reason: "in use" }, Thread { reason: "no descriptor" }, InvalidName { name: "", max_bytes: 64usize },
    ConflictingAddresses { name: "n2", first: ADDRESS, second: ADDRESS }, KeyTooShort { bytes: 3usize, min_bytes: 16usize },
    InvalidOption { option: "max_requests", value: 0.0 }, UnknownPeer { to: "n2" }, Busy { to: "n2", limit: 7usize },
    TooLarge { to: "n2", bytes: 9usize, max_bytes: 7usize }, BackingOff { to: "n2", wait_seconds: 0.5 },
    Unreachable { to: "n2", address: ADDRESS, reason: "refused" }, Timeout { to: "n2", timeout_seconds: 0.5 },
    ConnectionLost { to: "n2" }, Refused { to: "n2", reason: RefusalReason::Busy }, Malformed { from: "n2" },
    UnsupportedVersion { from: "n2", stated: VersionRange::exactly(3), supported: VersionRange::SUPPORTED },
    UnsupportedKind { to: "n2", path: "/sign", version: 1 }, UnverifiedSender { from: "n2", name: "n3" }, AuthenticationFailed { from: "n2" },
    StaleIncarnation { name: "n2", incarnation: 1u64, known: 2u64 }, WrongRecipient { to: "n2" }, InvalidToken { name: "n2" }, Replayed { name: "n2" },
    RateLimited { name: "n2", per_second: 7u32 }, TooManyMembers { limit: 7usize }, Gossip { from: "n2", reason: "no" }, Stopped(),
);

#[test]
fn every_error_has_message_and_help() {
    let refusals = refusals().into_iter().map(|reason| (reason.to_string(), reason.help()));
    let errors = errors().into_iter().map(|error| (error.to_string(), error.help()));
    for (message, help) in refusals.chain(errors) {
        assert!(message.len() > 3 && help.len() > 20 && help != message, "{message}: {help}");
    }
}

#[test]
fn invalid_options_are_named() {
    let address = "127.0.0.1:7400".parse().unwrap();
    let error = |change: &dyn Fn(&mut MembershipOptions)| {
        let mut options = MembershipOptions::new("n1", 1, address, vec![], 1);
        change(&mut options);
        Core::new(&options, [0; 32], 0.0).err()
    };
    assert_eq!(error(&|_| {}), None);
    let invalid = |option, value| Some(PeerError::InvalidOption { option, value });
    assert_eq!(
        error(&|options| options.limits = Limits { max_requests: 0, ..Limits::default() }),
        invalid("max_requests", 0.0)
    );
    assert_eq!(
        error(&|options| options.limits.max_datagram_bytes = 100),
        invalid("max_datagram_bytes", 100.0)
    );
    assert_eq!(error(&|options| options.limits.max_receive_bytes = 1), invalid("max_receive_bytes", 1.0));
    assert_eq!(
        error(&|options| options.timing = Timing { probe_timeout_seconds: 2.0, ..Timing::default() }),
        invalid("probe_timeout_seconds", 2.0)
    );
    assert_eq!(
        error(&|options| options.timing.idle_timeout_seconds = -1.0),
        invalid("idle_timeout_seconds", -1.0)
    );
    assert_eq!(
        error(&|options| options.key = Some("short".into())),
        Some(PeerError::KeyTooShort { bytes: 5, min_bytes: 16 })
    );
    assert!(matches!(error(&|options| options.name = "a b".into()), Some(PeerError::InvalidName { .. })));
    let conflicting =
        ["127.0.0.1:1", "127.0.0.1:2"].map(|address| ("n2".to_owned(), address.parse().unwrap()));
    assert!(matches!(
        error(&|options| options.known_peers = conflicting.to_vec()),
        Some(PeerError::ConflictingAddresses { .. })
    ));
}
