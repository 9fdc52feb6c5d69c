//! Formats that auditors, the fill service and readers of the log depend on: files of earlier builds can be read, and
//! the same values are still written as the same bytes.

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
use dunepond_simulation::fixtures::{config_version, consensus_config, shard_map};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

/// Content of a golden file.
fn golden(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn text(text: &str) -> String {
    text.to_string()
}

/// Audit records of all kinds, equal to those in `audit.jsonl`.
fn records() -> Vec<AuditRecord> {
    let (request_id, node, id, digest) = (text("c-1"), text("s-1"), text("7/1/s-3"), text("00ff"));
    let fill = |state: &str| AuditEvent::Fill {
        id: id.clone(),
        segment: 1,
        node: text("s-3"),
        source: node.clone(),
        bytes: 67_108_864,
        state: text(state),
    };
    let events = vec![
        AuditEvent::Phase {
            phase: AuditPhase::Unconfigured,
            first_version: 0,
            last_version: 0,
            lease_expires_at: 0.0,
        },
        AuditEvent::Phase {
            phase: AuditPhase::Active,
            first_version: 6,
            last_version: 6,
            lease_expires_at: 9.5,
        },
        AuditEvent::Phase {
            phase: AuditPhase::Joint,
            first_version: 6,
            last_version: 7,
            lease_expires_at: 9.5,
        },
        AuditEvent::Phase {
            phase: AuditPhase::LeaseExpired,
            first_version: 6,
            last_version: 7,
            lease_expires_at: 9.5,
        },
        AuditEvent::AttemptSent {
            request_id: request_id.clone(),
            segment_id: 1,
            node: node.clone(),
            attempt: 2,
            non_idempotent: true,
            phase: AuditPhase::Active,
            versions: vec![6, 7],
        },
        AuditEvent::Answer {
            request_id: request_id.clone(),
            status: 200,
            complete: true,
            segments: vec![0, 1],
            map_epoch: Some(12),
        },
        AuditEvent::Answer {
            request_id: request_id.clone(),
            status: 429,
            complete: false,
            segments: Vec::new(),
            map_epoch: None,
        },
        AuditEvent::Rejected { request_id, why: text("cut") },
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
            admitted: true,
            floor_units: 100_000,
            leased_units: BTreeMap::from([(text("cold"), 800_000), (text("further"), 0)]),
            usable_from: 1.5,
            lease_expires_at: 9.5,
            window_seconds: 60.0,
        },
        AuditEvent::RecordsLost { count: 12 },
    ];
    let times = (0..).map(|n| 1.25 + f64::from(n));
    times
        .zip(events)
        .map(|(at, event)| AuditRecord { at, broker: text("n1"), incarnation: 1_790_000_000_000, event })
        .collect()
}

#[test]
fn audit_log_format() {
    let stored = golden("audit.jsonl");
    let written: String = records().iter().map(|line| serde_json::to_string(line).unwrap() + "\n").collect();
    assert_eq!(written, stored);
    let read: Vec<AuditRecord> = stored.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(read, records());
}

/// Operators search for these names in the log and the counters, so they must not change.
#[test]
fn phase_names_in_the_log() {
    let phases = [AuditPhase::Unconfigured, AuditPhase::Active, AuditPhase::Joint, AuditPhase::LeaseExpired];
    assert_eq!(phases.map(|phase| phase.to_string()), ["None", "Alone", "Joint", "Cut"]);
}

fn request() -> FillRequest {
    FillRequest {
        id: text("7/1/s-3"),
        segment: 1,
        node: text("s-3"),
        source: text("s-1"),
        bytes: 67_108_864,
        bytes_per_second: 33_554_432,
    }
}

fn result() -> FillResult {
    FillResult { source: text("s-2"), bytes: 67_000_000 }
}

#[test]
fn fill_request_and_result_formats() {
    assert_eq!(serde_json::to_string(&request()).unwrap(), golden("fill-order.json"));
    assert_eq!(serde_json::from_str::<FillRequest>(&golden("fill-order.json")).unwrap(), request());
    assert_eq!(serde_json::to_string(&result()).unwrap(), golden("fill-done.json"));
    assert_eq!(serde_json::from_str::<FillResult>(&golden("fill-done.json")).unwrap(), result());
}

#[test]
fn http_fill_client_sends_request_and_reads_result() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    let (request_text, response) = (golden("fill-order.json"), golden("fill-done.json"));
    let service = thread::spawn(move || {
        let (mut connection, _) = listener.accept().unwrap();
        connection.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
        while !String::from_utf8_lossy(&received).ends_with(&request_text) {
            let bytes = connection.read(&mut buffer).unwrap();
            assert!(bytes > 0, "{}", String::from_utf8_lossy(&received));
            received.extend_from_slice(&buffer[..bytes]);
        }
        write!(connection, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{response}", response.len())
            .unwrap();
        String::from_utf8(received).unwrap()
    });
    assert_eq!(HttpFillClient::new(at).fill(&request(), Duration::from_secs(20)).unwrap(), result());
    let received = service.join().unwrap().to_ascii_lowercase();
    assert!(received.starts_with("post /fill http/1.1\r\n"), "{received}");
    assert!(received.contains("\r\ncontent-type: application/json\r\n"), "{received}");
}

/// Collects a line for each event: its level, target, message, field names in order, and the value of the field
/// `about`.
#[derive(Clone, Default)]
struct EventCollector(Arc<Mutex<Vec<String>>>);

#[derive(Default)]
/// Visits the fields of one event.
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

impl Subscriber for EventCollector {
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

/// Explanations of several kinds, in the order of the lines in `explain.txt`.
fn explanations() -> Vec<Explanation> {
    let config = ConsensusConfig { lease_seconds: 0.5, ..consensus_config("n1", 1) };
    let mut voter = Voter::open(config, StoredVoter::new(), 0.0, 1).unwrap();
    let mut explanations = Vec::new();
    let mut collect = |voter: &Voter, effects: Effects| {
        let changes =
            effects.outcomes.into_iter().filter_map(|outcome| Some((outcome.index, outcome.result.ok()?)));
        explanations.extend(changes.filter_map(|(index, change): (u64, StateChange)| {
            Explanation::for_change(index, &change, voter.state())
        }));
    };
    let mut now = 0.0;
    let mut propose = |voter: &mut Voter, now: &mut f64, command| {
        let effects = voter.propose(*now, command).unwrap();
        collect(voter, effects);
        for _ in 0..150 {
            *now += 0.02;
            let effects = voter.tick(*now);
            collect(voter, effects);
        }
    };
    for _ in 0..100 {
        now += 0.02;
        let _ = voter.tick(now);
    }
    propose(&mut voter, &mut now, Command::Propose(Box::new(config_version(1, Some(shard_map(1, false))))));
    propose(&mut voter, &mut now, Command::Propose(Box::new(config_version(2, Some(shard_map(2, true))))));
    let completed = Command::FillCompleted { number: 2, segment: 0, holder: text("cold2") };
    propose(&mut voter, &mut now, completed);

    let mut balances = Balances::new(
        dunepond_settlement::SettlementTerms::default(),
        BrokerPartners::default(),
        SettlementLedger::default(),
    )
    .unwrap();
    let mut counts = CarriedCounts::new();
    counts.record("n1", 1, "south", "north", 700);
    balances.update_counts(0.0, &counts);
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
        node: text("s-3"),
        source: text("s-1"),
        from: text("north"),
        to: text("south"),
        bytes: 1000,
        rate: 65_536.0,
        settles: Some(settlement.clone()),
    };
    explanations.push(Explanation::for_fill(&fill, None, &balances));
    explanations.push(Explanation::for_settlement(&settlement, &balances));
    explanations.push(Explanation::for_refusal(
        &ProposedEntry::logged(9),
        &Rejection::NoLeader,
        voter.state(),
    ));
    explanations
}

#[test]
fn explanation_log_fields_and_subject_names() {
    let collector = EventCollector::default();
    tracing::subscriber::with_default(collector.clone(), || explanations().iter().for_each(Explanation::log));
    let events: Vec<String> = collector.0.lock().unwrap().clone();
    assert_eq!(events.join("\n") + "\n", golden("explain.txt"));
    let names = [
        (Subject::Version, "version"),
        (Subject::Refused, "refused"),
        (Subject::Fill, "fill"),
        (Subject::Settlement, "settlement"),
        (Subject::Quota, "limit"),
        (Subject::Rebalance, "move"),
        (Subject::Voters, "voters"),
        (Subject::Entry, "entry"),
    ];
    for (subject, name) in names {
        assert_eq!(subject.name(), name);
    }
}
