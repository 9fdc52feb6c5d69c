//! Every error says what is wrong, where, and what can be done.

use dunepond_membership::{Core, Limits, MembershipOptions, PeerError, RefusalReason, Span, Timing};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// One of each variant. The match makes a variant that is missing here a fault of compilation.
macro_rules! one_of_each {
    ($each:ident, $type:ident: $($variant:ident $fields:tt,)*) => {
        fn $each() -> Vec<$type> {
            let all = vec![$(made!($type $variant $fields)),*];
            all.iter().for_each(|one| match one { $($type::$variant { .. } => {})* });
            all
        }
    };
}
macro_rules! made {
    ($type:ident $variant:ident ()) => { $type::$variant };
    ($type:ident $variant:ident ($value:expr)) => { $type::$variant($value) };
    ($type:ident $variant:ident {$($field:ident: $value:expr),*}) => { $type::$variant { $($field: $value.into()),* } };
}

const AT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7400);

one_of_each!(refusals, RefusalReason:
    Busy(), Late(), Seal(), Malformed(), Flood(), Full(), Dropped(), Declined("n2 is no voter".into()),
    TooLarge { most: 4u64 }, Version { theirs: 2, ours: 1 }, UnverifiedSender { name: "n2" }, NotMe { name: "n2" },
    Stale { name: "n2", known: 3u64 }, Versions { theirs: Span::only(3), ours: Span::OURS }, Kind { kind: 9u32 }, Pass(), Old(),
);

one_of_each!(faults, PeerError:
    Bind { at: AT, why: "in use" }, Thread { why: "no descriptor" }, Name { name: "", most: 64usize },
    Twice { name: "n2", one: AT, other: AT }, Key { has: 3usize, least: 16usize }, Bound { which: "asks", value: 0.0 },
    Unknown { to: "n2" }, Busy { to: "n2", most: 7usize }, TooLarge { to: "n2", bytes: 9usize, most: 7usize },
    Resting { to: "n2", wait: 0.5 }, Unreachable { to: "n2", at: AT, why: "refused" }, Late { to: "n2", within: 0.5 },
    Broken { to: "n2" }, Refused { to: "n2", why: RefusalReason::Busy }, Garbled { from: "n2" },
    Version { from: "n2", theirs: Span::only(3), ours: Span::OURS }, Kind { to: "n2", path: "/sign", version: 1 }, Claimed { from: "n2", name: "n3" }, Seal { from: "n2" },
    Stale { name: "n2", said: 1u64, known: 2u64 }, NotUs { to: "n2" }, Unproven { name: "n2" }, Old { name: "n2" }, Flood { name: "n2", most: 7u32 },
    Full { most: 7usize }, Membership { from: "n2", why: "no" }, Stopped(),
);

#[test]
fn each_says_what_can_be_done() {
    let refusals = refusals().into_iter().map(|refused| (refused.to_string(), refused.help()));
    let faults = faults().into_iter().map(|fault| (fault.to_string(), fault.help()));
    for (said, help) in refusals.chain(faults) {
        assert!(said.len() > 3 && help.len() > 20 && help != said, "{said}: {help}");
    }
}

#[test]
fn what_cannot_work_is_refused_by_its_name() {
    let at = "127.0.0.1:7400".parse().unwrap();
    let fault = |change: &dyn Fn(&mut MembershipOptions)| {
        let mut told = MembershipOptions::new("n1", 1, at, vec![], 1);
        change(&mut told);
        Core::new(&told, [0; 32], 0.0).err()
    };
    assert_eq!(fault(&|_| {}), None);
    let bound = |which, value| Some(PeerError::Bound { which, value });
    assert_eq!(
        fault(&|told| told.limits = Limits { max_requests: 0, ..Limits::default() }),
        bound("asks", 0.0)
    );
    assert_eq!(fault(&|told| told.limits.max_datagram_bytes = 100), bound("datagram", 100.0));
    assert_eq!(fault(&|told| told.limits.max_receive_bytes = 1), bound("bytes_in", 1.0));
    assert_eq!(
        fault(&|told| told.timing = Timing { probe_timeout_seconds: 2.0, ..Timing::default() }),
        bound("rtt", 2.0)
    );
    assert_eq!(fault(&|told| told.timing.idle_timeout_seconds = -1.0), bound("idle", -1.0));
    assert_eq!(fault(&|told| told.key = Some("short".into())), Some(PeerError::Key { has: 5, least: 16 }));
    assert!(matches!(fault(&|told| told.name = "a b".into()), Some(PeerError::Name { .. })));
    let twice = ["127.0.0.1:1", "127.0.0.1:2"].map(|at| ("n2".to_owned(), at.parse().unwrap()));
    assert!(matches!(fault(&|told| told.known_peers = twice.to_vec()), Some(PeerError::Twice { .. })));
}
