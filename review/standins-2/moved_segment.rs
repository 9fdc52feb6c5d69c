//! A rebalancing plan moves a segment from one node to another while engineers are searching. Once the move is done, the
//! old node misses the writes; no search may be answered from it.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::stand_ins::{
    Answers, Broker, CELLS, Case, Log, Outcome, SEGMENTS, SPAN, Store, Verdict, call_id, request, start_discovery,
    start_nodes_of,
};

const BROKERS: usize = 3;
/// The segment that moves from the first of its nodes to the next one behind its last.
const MOVED: u64 = 0;
/// Searches after the move.
const SEARCHES: u64 = 60;

/// A folder that is removed with this value.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn play(case: &Case) -> Outcome<Verdict> {
    let mut store = Store::default();
    for segment in 0..SEGMENTS {
        store.holders.insert(segment as u64, holders(segment));
    }
    let store = Arc::new(Mutex::new(store));
    let answers = Answers { after: Duration::from_millis(5), value_bytes: 0 };
    let (nodes, rows) = start_nodes_of(&case.log(), answers, Some(store.clone()))?;
    let discovery = start_discovery(rows)?;
    let fills = start_fills(case.log(), store.clone())?;
    let folder = Folder(std::env::temp_dir().join(format!("dunepond-review-{}", std::process::id())));
    fs::create_dir_all(&folder.0)?;
    fs::write(folder.0.join("key"), "a secret of this case alone")?;
    let ports: Vec<_> = (0..BROKERS).map(|_| free_port()).collect::<Outcome<_>>()?;
    let mut brokers = Vec::new();
    for broker in 0..BROKERS {
        let operator = write_operator_file(&folder.0, &ports, broker, fills)?;
        brokers.push(Broker::spawn(&format!("n{broker}"), discovery, 1024, "info", Some(&operator))?);
    }
    for broker in &mut brokers {
        broker.wait_until_ready(case)?;
    }
    // The first version: its map says what discovery says.
    fs::write(folder.0.join("version-0"), first_version())?;
    brokers[0].hang_up()?;
    wait_for_version(case, &brokers, 1)?;
    let first = ask(&brokers[0], "fix-request", 1, "write")?;
    case.note(&format!("fix-request 1: {first}"));
    if case.trouble {
        fs::write(folder.0.join("plan-0"), plan())?;
        brokers[0].hang_up()?;
        case.note("the plan is offered: segment 0 from s-0 to s-3");
        // One version to fill the new node, one to switch to it.
        wait_for_version(case, &brokers, 3)?;
        let mut store = store.lock().map_err(|_| "a node has failed")?;
        let holders = store.holders.entry(MOVED).or_default();
        holders.retain(|node| node != "s-0");
        case.note(&format!("the plan's last version is in force at all brokers alone; {holders:?} get the writes"));
    }
    thread::sleep(Duration::from_secs(1));
    let second = ask(&brokers[1], "fix-request", 2, "write")?;
    case.note(&format!("fix-request 2: {second}"));
    if !first.contains("revision 1 written") || !second.contains("revision 2 written") {
        return Err("a fix-request was not answered".into());
    }
    thread::sleep(Duration::from_secs(1));
    let at = case.log().started.elapsed();
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..SEARCHES {
        let answer = ask(&brokers[number as usize % BROKERS], "full-search", 100 + number, "read")?;
        case.note(&format!("full-search {number}: {answer}"));
        *seen.entry(answer).or_default() += 1;
    }
    for node in &nodes {
        let parts = node.parts.lock().map_err(|_| "a node has failed")?;
        let count = parts.iter().filter(|part| part.at > at).count();
        if count > 0 {
            case.note(&format!("{}: {count} parts of these searches", node.name));
        }
    }
    let whole = |answer: &str| answer.starts_with("200 ") && answer.contains(r#""finished":true"#);
    let stale: usize = seen.iter().filter(|(answer, _)| whole(answer) && !answer.contains("revision 2 ")).map(|(_, n)| n).sum();
    let sound: usize = seen.iter().filter(|(answer, _)| whole(answer) && answer.contains("revision 2 ")).map(|(_, n)| n).sum();
    if sound == 0 {
        return Err("no search was answered from a node that holds the segment".into());
    }
    let counts = format!("{stale} of {SEARCHES} searches marked whole lack a write that was answered before, {sound} have it");
    Ok(if stale == 0 { Verdict::Held(counts) } else { Verdict::Broken(counts) })
}

/// The nodes that hold a segment at first: as discovery's replica groups and the settings' span say.
fn holders(segment: usize) -> Vec<String> {
    (0..SPAN).map(|next| format!("s-{}", (segment + next) % CELLS)).collect()
}

/// A port that is free for TCP and UDP.
fn free_port() -> Outcome<u16> {
    for _ in 0..50 {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address.port());
        }
    }
    Err("no free port".into())
}

fn write_operator_file(folder: &Path, ports: &[u16], broker: usize, fills: SocketAddr) -> Outcome<PathBuf> {
    let root = folder.display();
    fs::create_dir_all(folder.join(format!("fleet-{broker}")))?;
    let voters: String = ports.iter().enumerate().map(|(n, port)| format!("    voter \"n{n}\" at=\"127.0.0.1:{port}\"\n")).collect();
    let text = format!(
        r#"fleet listen="127.0.0.1:{port}" folder="{root}/fleet-{broker}" lease=1.0 drift=0.01 bound=7.5 {{
{voters}    key "{root}/key"
    version "{root}/version-{broker}"
    moves "{root}/plan-{broker}"
    fills at="{fills}" deadline=60 segment="1MiB" rate="32MiB"
    map least-holders=2 least-zones=2 most-changed=0.2
}}
"#,
        port = ports[broker],
    );
    let path = folder.join(format!("operator-{broker}.kdl"));
    fs::write(&path, text)?;
    Ok(path)
}

fn first_version() -> String {
    let width = (1u128 << 64) / SEGMENTS as u128;
    let segments: Vec<_> = (0..SEGMENTS)
        .map(|segment| {
            let from = segment as u128 * width;
            let to = if segment + 1 == SEGMENTS { "null".to_string() } else { (from + width).to_string() };
            let nodes = holders(segment);
            let replicas: Vec<_> = nodes
                .iter()
                .zip(["0.34", "0.33", "0.33"])
                .map(|(node, share)| format!(r#"{{"node":"{node}","partner":"","filled":true,"share":{share}}}"#))
                .collect();
            format!(
                r#"{{"id":{segment},"keys":{{"from":{from},"to":{to}}},"owner":"{}","holders":[{}]}}"#,
                nodes[1],
                replicas.join(",")
            )
        })
        .collect();
    format!(
        r#"{{"number":1,"follows":null,"stage":null,"rules":{{"least":[0.6,1.0,1.0],"whole_at":[0.6,1.0,1.0],"budget_share":0.05,"budget_free":20,"drain_grace":2.0,"cold_multiple":2.5,"dispatch_cap":4,"second_copies":true,"repeats":true,"longest_wait":2.0}},
"standings":{{"draining":[],"gone":[]}},"map":{{"epoch":1,"hash":"xxh3-64","digest":"","segments":[{}]}},"who":"mara","why":"the first map","at":1790000000}}"#,
        segments.join(",")
    )
}

fn plan() -> String {
    format!(
        r#"{{"id":"2026-12-s-3","who":"mara","why":"s-3 takes over from s-0","word":"go","ordered":false,"operations":[{{"move":{{"segment":{MOVED},"from":"s-0","to":"s-3"}}}}]}}"#
    )
}

/// Waits until each broker acts on a version alone.
fn wait_for_version(case: &Case, brokers: &[Broker], number: u64) -> Outcome<()> {
    let (started, line) = (Instant::now(), format!("phase Alone [{number}],"));
    while started.elapsed() < Duration::from_secs(40) {
        if brokers.iter().all(|broker| !broker.log_lines(&line).is_empty()) {
            for (name, broker) in brokers.iter().enumerate() {
                for line in broker.log_lines(&line).iter().take(1) {
                    case.note(&format!("n{name}: {line}"));
                }
            }
            return Ok(());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Err(format!("version {number} was not in force at all brokers within 40 s").into())
}

/// Sends a request for the segment that moves, and returns status and body of the answer.
fn ask(broker: &Broker, class: &str, number: u64, text: &str) -> Outcome<String> {
    let mut stream = TcpStream::connect(broker.address)?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    stream.write_all(request(class, &call_id(number), &[MOVED], text, "6.0").as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (status, body) = read_message(&mut reader)?;
    let status = status.split(' ').nth(1).unwrap_or("").to_string();
    Ok(format!("{status} {}", String::from_utf8_lossy(&body)))
}

/// Reads a first line and a body with a Content-Length.
fn read_message(reader: &mut impl BufRead) -> Outcome<(String, Vec<u8>)> {
    let (mut first, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err("closed within a head".into());
        }
        if first.is_empty() {
            first = line.trim_end().to_string();
        } else if let Some((_, value)) = line.split_once(':').filter(|(name, _)| name.eq_ignore_ascii_case("content-length")) {
            length = value.trim().parse()?;
        } else if line.trim_end().is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((first, body))
}

/// The fill service: a holder gets what its source has, and all writes from then on.
fn start_fills(log: Log, store: Arc<Mutex<Store>>) -> Outcome<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if let Err(error) = fill(stream, &log, &store) {
                log.note(&format!("fill service: {error}"));
            }
        }
    });
    Ok(address)
}

fn fill(stream: TcpStream, log: &Log, store: &Mutex<Store>) -> Outcome<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let (mut stream, (first, body)) = (stream, read_message(&mut reader)?);
    let body = String::from_utf8_lossy(&body).replace([' ', '\n'], "");
    log.note(&format!("fill service: {first}: {body}"));
    let text = |key: &str| -> Outcome<String> {
        let rest = body.split_once(&format!("\"{key}\":")).ok_or(format!("no {key}"))?.1;
        Ok(rest.split([',', '}']).next().unwrap_or("").trim_matches('"').to_string())
    };
    let (segment, holder, source): (u64, _, _) = (text("segment")?.parse()?, text("holder")?, text("source")?);
    {
        let mut store = store.lock().map_err(|_| "a node has failed")?;
        let has = store.at_node.get(&(source, segment)).copied().unwrap_or(0);
        store.at_node.insert((holder.clone(), segment), has);
        let holders = store.holders.entry(segment).or_default();
        if !holders.contains(&holder) {
            holders.push(holder);
        }
    }
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
    Ok(())
}
