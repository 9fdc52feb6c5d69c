//! The format of the operator's plan file, and the encodings of offers and replies, which brokers of other builds must
//! be able to decode.

use std::collections::BTreeMap;

use dunepond_rebalance::{Capacity, DesiredState, NodeSpec, Operation, Plan, SegmentSizes};

use super::offers::{OfferReply, PlanOffer};
use super::read_plan;
use crate::tests::golden::{assert_same, golden, golden_path};

fn plan() -> Plan {
    let text = str::to_string;
    let capacity = |bytes, segments| Capacity { bytes, segments };
    Plan {
        id: text("2026-12-s3"),
        proposed_by: text("mara"),
        reason: text("s-3 takes over from s-1"),
        desired_state: DesiredState::Pause,
        ordered: true,
        operations: vec![
            Operation::Split { segment: 0, split_keys: vec![1 << 62], into: vec![10, 11] },
            Operation::Move { segment: 11, from: text("s-1"), to: text("s-3") },
            Operation::Merge { segments: vec![4, 5], into: 12 },
            Operation::ChangeOwner { segment: 7, to: text("s-2") },
        ],
        nodes: BTreeMap::from([(
            text("s-3"),
            NodeSpec {
                partner: Some(text("south")),
                replica_group: Some(text("left")),
                capacity: capacity(Some(500_000_000), Some(40)),
            },
        )]),
        replica_groups: BTreeMap::from([(text("left"), capacity(Some(2_000_000_000), None))]),
        partners: BTreeMap::from([(text("south"), capacity(None, Some(100)))]),
        sizes: SegmentSizes { default_bytes: 67_108_864, segment_bytes: BTreeMap::from([(11, 33_554_432)]) },
    }
}

#[test]
fn plan_file_format() {
    assert_eq!(read_plan(&golden_path("plan.json")).unwrap(), plan());
    assert_same("plan-compact.json", serde_json::to_string(&plan()).unwrap().as_bytes());
    assert_eq!(read_plan(&golden_path("plan-compact.json")).unwrap(), plan());
    for (name, state) in
        [("go", DesiredState::Run), ("pause", DesiredState::Pause), ("withdraw", DesiredState::Withdraw)]
    {
        assert_eq!(serde_json::to_value(state).unwrap(), name);
    }
}

#[test]
fn plan_offer_and_reply_formats() {
    let offer = PlanOffer { plan: plan(), max_concurrent_actions: 4, is_repeat: true };
    assert_same("offer.bin", &postcard::to_stdvec(&offer).unwrap());
    let read: PlanOffer = postcard::from_bytes(&golden("offer.bin")).unwrap();
    assert_eq!((read.plan, read.max_concurrent_actions, read.is_repeat), (plan(), 4, true));

    let text = str::to_string;
    let replies = [
        OfferReply::Accepted,
        OfferReply::Known(text("ended: Done")),
        OfferReply::NotLeader(Some(text("n2"))),
        OfferReply::NotLeader(None),
        OfferReply::RetryLater(text("another plan runs")),
        OfferReply::Refused { why: text("no room"), help: text("give it room") },
    ];
    let bytes: Vec<u8> = replies.iter().flat_map(|reply| postcard::to_stdvec(reply).unwrap()).collect();
    assert_same("offer-answers.bin", &bytes);
    let mut rest = &golden("offer-answers.bin")[..];
    for reply in replies {
        let (read, remaining) = postcard::take_from_bytes::<OfferReply>(rest).unwrap();
        assert_eq!(format!("{read:?}"), format!("{reply:?}"));
        rest = remaining;
    }
    assert!(rest.is_empty());
}
