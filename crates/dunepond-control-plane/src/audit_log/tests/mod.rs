//! Tests the audit log with a file on disk.

use super::{AuditEvent, AuditLog, AuditPhase, AuditRecord};

#[test]
fn records_are_appended_to_an_existing_file_in_order() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("acts.jsonl");
    std::fs::write(&path, "{\"old\":1}\n").unwrap();
    let (sender, audit_log) = AuditLog::start(&path, "n1", 3).unwrap();
    sender.record_at(
        1.5,
        AuditEvent::Phase {
            phase: AuditPhase::Joint,
            first_version: 1,
            last_version: 2,
            lease_expires_at: 9.0,
        },
    );
    sender
        .clone()
        .record_at(2.0, AuditEvent::Rejected { request_id: "c".to_string(), why: "cut".to_string() });
    audit_log.finish();
    let text = std::fs::read_to_string(&path).unwrap();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert_eq!(
        lines[1],
        r#"{"at":1.5,"brk":"n1","run":3,"act":"phase","phase":"joint","from":1,"to":2,"until":9.0}"#
    );
    let last: AuditRecord = serde_json::from_str(lines[2]).unwrap();
    assert_eq!(last.event, AuditEvent::Rejected { request_id: "c".to_string(), why: "cut".to_string() });
}
