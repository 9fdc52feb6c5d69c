//! A client reads a long answer over a slow link. Meanwhile hundreds of clients come that ask once and keep their
//! connection. The long answer has to arrive whole.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::stand_ins::{Answers, Broker, Case, Log, Outcome, Verdict, call_id, request, start_discovery, start_nodes};

/// The descriptors that the configuration tells, the least that the pages name.
const SOCKETS: u32 = 256;
/// Clients that ask once and keep their connection.
const CROWD: u64 = 400;
/// Time between two clients of the crowd: only a few requests are open at a time.
const CROWD_EVERY: Duration = Duration::from_millis(2);
/// How long a client of the crowd keeps its connection: longer than the case takes.
const KEPT: Duration = Duration::from_secs(20);
/// The length of a part's value in the long answer. The answer has five of them and stays under 64 KiB, the most that a body
/// may hold.
const VALUE_BYTES: usize = 12_500;
/// The slow link: so many bytes each time, so often, and so many that it holds.
const READ_BYTES: usize = 1_000;
const READ_EVERY: Duration = Duration::from_millis(50);
const LINK_BYTES: i32 = 4096;
/// The time that the client of the long answer waits, in seconds.
const BUDGET: &str = "6.0";

/// How the long answer has ended.
struct LongAnswer {
    bytes: usize,
    expected: Option<usize>,
    end: String,
    seconds: f64,
}

pub fn play(case: &Case) -> Outcome<Verdict> {
    let log = case.log();
    let (nodes, rows) = start_nodes(&log, Answers { after: Duration::from_millis(5), value_bytes: VALUE_BYTES })?;
    let mut broker = Broker::start(case, start_discovery(rows)?, SOCKETS)?;
    let mut stream = connect_over_link(broker.address)?;
    stream.write_all(request("full-search", &call_id(1), &[0, 1, 2, 3, 4], "pump", BUDGET).as_bytes())?;
    let started = Instant::now();
    case.note("the slow client has sent its full-search");
    let reading = {
        let log = log.clone();
        thread::spawn(move || read_slowly(stream, started, &log))
    };
    thread::sleep(Duration::from_millis(1200));
    for node in &nodes {
        let mut answers = node.answers.lock().map_err(|_| "a node has failed")?;
        answers.value_bytes = 16;
    }
    let (answered, failed) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    if case.trouble {
        case.note(&format!("{CROWD} clients come, ask once and stay"));
        for number in 0..CROWD {
            let (address, answered, failed) = (broker.address, answered.clone(), failed.clone());
            thread::spawn(move || {
                let ask = || -> std::io::Result<()> {
                    let mut stream = TcpStream::connect(address)?;
                    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
                    let id = call_id(100 + number);
                    stream.write_all(request("quick-find", &id, &[number % 24], "valve", "4.0").as_bytes())?;
                    let mut buffer = [0; 1024];
                    if stream.read(&mut buffer)? > 0 {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    // It keeps its connection for good, and looks at it only before it asks again.
                    thread::sleep(KEPT);
                    Ok(())
                };
                if ask().is_err() {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
            });
            thread::sleep(CROWD_EVERY);
        }
    }
    let long = reading.join().map_err(|_| "the reading thread failed")?;
    case.note(&format!(
        "crowd: {} answered, {} failed",
        answered.load(Ordering::Relaxed),
        failed.load(Ordering::Relaxed)
    ));
    let lines = broker.log_lines("connection closed while idle");
    case.note(&format!("broker: {} connections closed while idle", lines.len()));
    if broker.has_ended() {
        return Err("the broker has ended".into());
    }
    let LongAnswer { bytes, expected, end, seconds } = long;
    let summary = format!("the long answer: {bytes} of {expected:?} bytes after {seconds:.2} s, {end}");
    case.note(&summary);
    let budget: f64 = BUDGET.parse()?;
    Ok(match expected {
        Some(expected) if bytes >= expected && seconds <= budget => Verdict::Held(summary),
        None if seconds > budget => return Err("the long answer never began".into()),
        _ => Verdict::Broken(summary),
    })
}

/// An IPv4 address, as the system's C library takes it.
#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Connects with a receive buffer of `LINK_BYTES`, which has to be set before. The standard library has no call for that.
fn connect_over_link(address: SocketAddr) -> std::io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOCK_CLOEXEC: i32 = 0o2000000;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(address) = address else { return Err(ErrorKind::InvalidInput.into()) };
    let to = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the descriptor is new and owned by the stream alone; the pointers are to live values of the stated lengths.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if descriptor < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &LINK_BYTES, 4) != 0
            || connect(descriptor, &to, size_of::<SocketAddress>() as u32) != 0
        {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Reads an answer at the speed of the slow link.
fn read_slowly(mut stream: TcpStream, started: Instant, log: &Log) -> LongAnswer {
    let (mut got, mut expected) = (Vec::new(), None);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
    let end = loop {
        let mut buffer = vec![0; READ_BYTES];
        match stream.read(&mut buffer) {
            Ok(0) => break "closed by the broker".to_string(),
            Ok(count) => got.extend_from_slice(&buffer[..count]),
            Err(e) => break e.to_string(),
        }
        if expected.is_none() {
            expected = whole_length(&got);
            if let Some(length) = expected {
                log.note(&format!("the slow client's answer has begun; it has {length} bytes"));
            }
        }
        if expected.is_some_and(|expected| got.len() >= expected) {
            break "whole".to_string();
        }
        thread::sleep(READ_EVERY);
    };
    LongAnswer { bytes: got.len(), expected, end, seconds: started.elapsed().as_secs_f64() }
}

/// The length of an answer with its head, once the head is there.
fn whole_length(got: &[u8]) -> Option<usize> {
    let text = String::from_utf8_lossy(got);
    let head = text.find("\r\n\r\n")? + 4;
    let lower = text[..head].to_ascii_lowercase();
    let length: usize = lower.split_once("content-length: ")?.1.split('\r').next()?.parse().ok()?;
    Some(head + length)
}
