//! The encoding of the reply to a proposal, which brokers of other builds must be able to decode.

use super::ProposalReply;
use crate::tests::golden::{assert_same, golden};

#[test]
fn proposal_reply_format() {
    let text = str::to_string;
    let replies = [
        ProposalReply::Accepted,
        ProposalReply::NotLeader(Some(text("n2"))),
        ProposalReply::NotLeader(None),
        ProposalReply::RetryLater(text("version 6 is open")),
        ProposalReply::NumberUsed { expected: 9 },
        ProposalReply::Refused { why: text("no map"), help: text("bring one") },
    ];
    let bytes: Vec<u8> = replies.iter().flat_map(|reply| postcard::to_stdvec(reply).unwrap()).collect();
    assert_same("proposal-answers.bin", &bytes);
    let mut rest = &golden("proposal-answers.bin")[..];
    for reply in replies {
        let (read, remaining) = postcard::take_from_bytes::<ProposalReply>(rest).unwrap();
        assert_eq!(format!("{read:?}"), format!("{reply:?}"));
        rest = remaining;
    }
    assert!(rest.is_empty());
}
