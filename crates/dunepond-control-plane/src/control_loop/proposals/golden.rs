//! Stored forms: what a voter answers to a proposal.

use super::ProposalReply;
use crate::golden::{assert_same, golden};

#[test]
fn answers_to_proposals_are_as_before() {
    let text = str::to_string;
    let answers = [
        ProposalReply::Accepted,
        ProposalReply::NotLeader(Some(text("n2"))),
        ProposalReply::NotLeader(None),
        ProposalReply::RetryLater(text("version 6 is open")),
        ProposalReply::NumberUsed { expected: 9 },
        ProposalReply::Refused { why: text("no map"), help: text("bring one") },
    ];
    let bytes: Vec<u8> = answers.iter().flat_map(|answer| postcard::to_stdvec(answer).unwrap()).collect();
    assert_same("proposal-answers.bin", &bytes);
    let mut rest = &golden("proposal-answers.bin")[..];
    for answer in answers {
        let (read, behind) = postcard::take_from_bytes::<ProposalReply>(rest).unwrap();
        assert_eq!(format!("{read:?}"), format!("{answer:?}"));
        rest = behind;
    }
    assert!(rest.is_empty());
}
