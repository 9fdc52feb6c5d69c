//! A bad client sends hundreds of requests at once, the last one with a chunk that is longer than it says. What is too much
//! reads like a request of its own, which nobody has sent: no node may get it.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::stand_ins::{Answers, Broker, Case, Outcome, Verdict, call_id, request, start_discovery, start_nodes};

/// "Hundreds of requests at once": requests before the last one.
const REQUESTS: usize = 900;
/// The client's link: it reads so many bytes each time, so often.
const READ_BYTES: usize = 4096;
const READ_EVERY: Duration = Duration::from_millis(20);
/// How long the client reads.
const READ_SECONDS: f64 = 8.0;

pub fn play(case: &Case) -> Outcome<Verdict> {
    let answers = Answers { after: Duration::from_millis(20), value_bytes: 16 };
    let (nodes, rows) = start_nodes(&case.log(), answers)?;
    let broker = Broker::start(case, start_discovery(rows)?, 1024)?;
    let mut hidden = Vec::new();
    for client in 0..3u64 {
        let id = call_id(1000 + client);
        hidden.push(id.clone());
        let got = play_client(case, &broker, client, &id)?;
        let statuses = statuses(&got);
        case.note(&format!("client {client}: read {} bytes; statuses {statuses:?}", got.len()));
    }
    thread::sleep(Duration::from_millis(300));
    let mut ran = Vec::new();
    for node in &nodes {
        let parts = node.parts.lock().map_err(|_| "a node has failed")?;
        let of_hidden = parts.iter().filter(|part| hidden.iter().any(|id| part.id.starts_with(id.as_str())));
        ran.extend(of_hidden.map(|part| format!("{} got part {} of segment {} at {:.3} s", node.name, part.id, part.segment, part.at.as_secs_f64())));
    }
    for line in broker.log_lines("admitted") {
        case.note(&format!("broker: {line}"));
    }
    Ok(if ran.is_empty() {
        Verdict::Held("no node got a part of what stood behind the unreadable chunk".to_string())
    } else {
        Verdict::Broken(format!("{} of {} hidden fix-requests ran: {}", ran.len(), hidden.len(), ran.join("; ")))
    })
}

/// Plays one bad client and returns what it was sent.
fn play_client(case: &Case, broker: &Broker, client: u64, hidden_id: &str) -> Outcome<Vec<u8>> {
    let mut stream = TcpStream::connect(broker.address)?;
    let count = if case.trouble { REQUESTS } else { 1 };
    let mut bytes = Vec::new();
    for _ in 0..count {
        // A table type that doesn't exist.
        bytes.extend_from_slice(b"POST /no-such-type HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    }
    let head = format!(
        "POST /quick-find HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: {}\r\nX-Budget: 4.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        call_id(client)
    );
    bytes.extend_from_slice(head.as_bytes());
    // The chunk says 5 bytes and has more.
    bytes.extend_from_slice(b"5\r\n{\"buc");
    bytes.extend_from_slice(request("fix-request", hidden_id, &[client], "nobody sent this", "6.0").as_bytes());
    case.note(&format!("client {client}: {count} requests, and one with a chunk that is longer than it says, in {} bytes", bytes.len()));
    let mut writer = stream.try_clone()?;
    let writing = thread::spawn(move || writer.write_all(&bytes));
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    let (started, mut got, mut quiet) = (Instant::now(), Vec::new(), 0);
    while started.elapsed().as_secs_f64() < READ_SECONDS && quiet < 4 {
        let mut buffer = vec![0; READ_BYTES];
        match stream.read(&mut buffer) {
            Ok(0) => {
                case.note(&format!("client {client}: the broker has closed"));
                break;
            }
            Ok(count) => {
                quiet = 0;
                got.extend_from_slice(&buffer[..count]);
                thread::sleep(READ_EVERY);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => quiet += 1,
            Err(e) => {
                case.note(&format!("client {client}: {e}"));
                break;
            }
        }
    }
    let written = writing.join().map_err(|_| "the writing thread failed")?;
    case.note(&format!("client {client}: its bytes were written: {written:?}"));
    Ok(got)
}

/// Counts the answers by status.
fn statuses(got: &[u8]) -> Vec<(String, usize)> {
    let text = String::from_utf8_lossy(got);
    let mut counts: Vec<(String, usize)> = Vec::new();
    for (at, _) in text.match_indices("HTTP/1.1 ") {
        let status = text[at + 9..].chars().take(3).collect::<String>();
        match counts.iter_mut().find(|(known, _)| *known == status) {
            Some((_, count)) => *count += 1,
            None => counts.push((status, 1)),
        }
    }
    counts
}
