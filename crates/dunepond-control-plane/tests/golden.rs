//! Stored forms that auditors, fillers and readers of the log rely on: what earlier builds wrote is read as it was meant,
//! and the same values give the same bytes.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use dunepond_consensus::{Command, ConsensusConfig, Effects, Rejection, StateChange, StoredVoter, Voter};
use dunepond_control_plane::explain::{Explanation, ProposedEntry, Subject};
use dunepond_control_plane::{
    AuditEvent, AuditPhase, AuditRecord, FillClient, FillRequest, FillResult, HttpFillClient,
};
use dunepond_settlement::{Balances, BrokerPartners, CarriedCounts, Fill, Settlement, SettlementLedger};
use dunepond_simulation::fleet::{map, terms, version};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

fn golden(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn text(text: &str) -> String {
    text.to_string()
}

fn lines() -> Vec<AuditRecord> {
    let (call, node, id, digest) = (text("c-1"), text("s-1"), text("7/1/s-3"), text("00ff"));
    let fill = |state: &str| AuditEvent::Fill {
        id: id.clone(),
        segment: 1,
        holder: text("s-3"),
        source: node.clone(),
        bytes: 67_108_864,
        state: text(state),
    };
    let acts = vec![
        AuditEvent::Phase { phase: AuditPhase::Unconfigured, from: 0, to: 0, until: 0.0 },
        AuditEvent::Phase { phase: AuditPhase::Active, from: 6, to: 6, until: 9.5 },
        AuditEvent::Phase { phase: AuditPhase::Joint, from: 6, to: 7, until: 9.5 },
        AuditEvent::Phase { phase: AuditPhase::LeaseExpired, from: 6, to: 7, until: 9.5 },
        AuditEvent::AttemptSent {
            request_id: call.clone(),
            segment_id: 1,
            node: node.clone(),
            attempt: 2,
            non_idempotent: true,
            phase: AuditPhase::Active,
            versions: vec![6, 7],
        },
        AuditEvent::Answer {
            request_id: call.clone(),
            status: 200,
            complete: true,
            segments: vec![0, 1],
            map_epoch: Some(12),
        },
        AuditEvent::Answer {
            request_id: call.clone(),
            status: 429,
            complete: false,
            segments: Vec::new(),
            map_epoch: None,
        },
        AuditEvent::Rejected { request_id: call, why: text("cut") },
        AuditEvent::Settled {
            id: format!("{id}@n1"),
            debtor: text("north"),
            creditor: text("south"),
            bytes: 1 << 40,
            number: 7,
        },
        fill("planned"),
        fill("done"),
        AuditEvent::Proposed { number: 7, digest: digest.clone() },
        AuditEvent::Confirmed { number: 7, digest: digest.clone() },
        AuditEvent::Withdrawn { number: 7, digest },
        AuditEvent::QuotaShare {
            generation: 3,
            counted: true,
            floor: 100_000,
            parts: BTreeMap::from([(text("cold"), 800_000), (text("further"), 0)]),
            from: 1.5,
            until: 9.5,
            window: 60.0,
        },
        AuditEvent::RecordsLost { count: 12 },
    ];
    let times = (0..).map(|n| 1.25 + f64::from(n));
    times
        .zip(acts)
        .map(|(at, act)| AuditRecord { at, broker: text("n1"), incarnation: 1_790_000_000_000, event: act })
        .collect()
}

#[test]
fn the_audit_log_is_written_and_read_as_before() {
    let stored = golden("audit.jsonl");
    let written: String = lines().iter().map(|line| serde_json::to_string(line).unwrap() + "\n").collect();
    assert_eq!(written, stored);
    let read: Vec<AuditRecord> = stored.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(read, lines());
}

fn order() -> FillRequest {
    FillRequest {
        id: text("7/1/s-3"),
        segment: 1,
        holder: text("s-3"),
        source: text("s-1"),
        bytes: 67_108_864,
        rate: 33_554_432,
    }
}

fn filled() -> FillResult {
    FillResult { source: text("s-2"), bytes: 67_000_000 }
}

#[test]
fn a_fill_is_ordered_and_answered_as_before() {
    assert_eq!(serde_json::to_string(&order()).unwrap(), golden("fill-order.json"));
    assert_eq!(serde_json::from_str::<FillRequest>(&golden("fill-order.json")).unwrap(), order());
    assert_eq!(serde_json::to_string(&filled()).unwrap(), golden("fill-done.json"));
    assert_eq!(serde_json::from_str::<FillResult>(&golden("fill-done.json")).unwrap(), filled());
}

#[test]
fn a_filler_gets_the_stored_order_and_its_stored_answer_is_understood() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (order_text, answer) = (golden("fill-order.json"), golden("fill-done.json"));
    let filler = thread::spawn(move || {
        let (mut asker, _) = listener.accept().unwrap();
        asker.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let (mut heard, mut piece) = (Vec::new(), [0; 4096]);
        while !String::from_utf8_lossy(&heard).ends_with(&order_text) {
            let bytes = asker.read(&mut piece).unwrap();
            assert!(bytes > 0, "{}", String::from_utf8_lossy(&heard));
            heard.extend_from_slice(&piece[..bytes]);
        }
        write!(asker, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{answer}", answer.len()).unwrap();
        String::from_utf8(heard).unwrap()
    });
    assert_eq!(HttpFillClient::new(at).fill(&order(), Duration::from_secs(20)).unwrap(), filled());
    let heard = filler.join().unwrap().to_ascii_lowercase();
    assert!(heard.starts_with("post /fill http/1.1\r\n"), "{heard}");
    assert!(heard.contains("\r\ncontent-type: application/json\r\n"), "{heard}");
}

/// What a reader of the log finds: target, message, the names of the fields in their order, and `about`.
#[derive(Clone, Default)]
struct Heard(Arc<Mutex<Vec<String>>>);

#[derive(Default)]
struct Fields {
    names: Vec<&'static str>,
    about: String,
    message: String,
}

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.names.push(field.name());
        if field.name() == "about" {
            self.about = value.to_string();
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        match field.name() {
            "message" => self.message = format!("{value:?}"),
            name => self.names.push(name),
        }
    }
}

impl Subscriber for Heard {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        let (level, target) = (event.metadata().level(), event.metadata().target());
        let Fields { names, about, message } = fields;
        let line = format!("{level} {target} {message:?} {} about={about}", names.join(" "));
        self.0.lock().unwrap().push(line);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

fn whys() -> Vec<Explanation> {
    let terms = ConsensusConfig { lease_seconds: 0.5, ..terms("n1", 1) };
    let mut voter = Voter::open(terms, StoredVoter::new(), 0.0, 1).unwrap();
    let mut found = Vec::new();
    let mut take = |voter: &Voter, orders: Effects| {
        let changes = orders.outcomes.into_iter().filter_map(|o| Some((o.index, o.result.ok()?)));
        found.extend(changes.filter_map(|(index, change): (u64, StateChange)| {
            Explanation::for_change(index, &change, voter.state())
        }));
    };
    let mut now = 0.0;
    let mut propose = |voter: &mut Voter, now: &mut f64, entry| {
        let orders = voter.propose(*now, entry).unwrap();
        take(voter, orders);
        for _ in 0..150 {
            *now += 0.02;
            let orders = voter.tick(*now);
            take(voter, orders);
        }
    };
    for _ in 0..100 {
        now += 0.02;
        let _ = voter.tick(now);
    }
    propose(&mut voter, &mut now, Command::Propose(Box::new(version(1, Some(map(1, false))))));
    propose(&mut voter, &mut now, Command::Propose(Box::new(version(2, Some(map(2, true))))));
    let filled = Command::FillCompleted { number: 2, segment: 0, holder: text("cold2") };
    propose(&mut voter, &mut now, filled);

    let mut book = Balances::new(
        dunepond_settlement::SettlementTerms::default(),
        BrokerPartners::default(),
        SettlementLedger::default(),
    )
    .unwrap();
    let mut counts = CarriedCounts::new();
    counts.record("n1", 1, "south", "north", 700);
    book.update_counts(0.0, &counts);
    let settlement = Settlement {
        id: text("2/0/s-3@fleet"),
        debtor: text("north"),
        creditor: text("south"),
        bytes: 500,
        segment: 0,
        holder: text("s-3"),
        source: text("s-1"),
    };
    let fill = Fill {
        id: text("2/0/s-3"),
        segment: 0,
        holder: text("s-3"),
        source: text("s-1"),
        from: text("north"),
        to: text("south"),
        bytes: 1000,
        rate: 65_536.0,
        settles: Some(settlement.clone()),
    };
    found.push(Explanation::for_fill(&fill, None, &book));
    found.push(Explanation::for_settlement(&settlement, &book));
    found.push(Explanation::for_refusal(&ProposedEntry::logged(9), &Rejection::NoLeader, voter.state()));
    found
}

#[test]
fn a_decision_is_explained_under_the_documented_names() {
    let heard = Heard::default();
    tracing::subscriber::with_default(heard.clone(), || whys().iter().for_each(Explanation::log));
    let heard: Vec<String> = heard.0.lock().unwrap().clone();
    assert_eq!(heard.join("\n") + "\n", golden("explain.txt"));
    let names = [
        (Subject::Version, "version"),
        (Subject::Refused, "refused"),
        (Subject::Fill, "fill"),
        (Subject::Settlement, "settlement"),
        (Subject::Limit, "limit"),
        (Subject::Move, "move"),
        (Subject::Voters, "voters"),
        (Subject::Entry, "entry"),
    ];
    for (about, name) in names {
        assert_eq!(about.name(), name);
    }
}
