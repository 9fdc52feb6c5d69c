//! A toy store to try the broker with: a discovery agent at 127.0.0.1:8500, and three nodes that hold four segments.
//!
//! `cargo run --example toy_store` starts it. With the arguments `-- hang 1`, node 1 accepts attempts but never
//! answers them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

const NODES: usize = 3;

fn address(node: usize) -> String {
    format!("127.0.0.1:{}", 9001 + node)
}

/// Answers each attempt with a value made of its payload and segment.
fn run_node(mut stream: TcpStream, name: &str, hangs: bool) -> io::Result<()> {
    loop {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut frame)?;
        let Some((b'A', mut rest)) = frame.split_first() else { continue };
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let fields: Vec<_> = line.split(' ').collect();
            let [id, segment, _, length] = fields[..] else { return Ok(()) };
            let Some(after) = length.parse::<usize>().ok().and_then(|length| rest.get(end + 1 + length..))
            else {
                return Ok(());
            };
            let text = String::from_utf8_lossy(&rest[end + 1..rest.len() - after.len()]).into_owned();
            rest = after;
            println!("{name}: part {id} of shard {segment}");
            if hangs {
                continue;
            }
            thread::sleep(Duration::from_millis(5));
            let answer = format!("E{id} hit 1 -\n{text} in shard {segment}, says {name}");
            // One write: a second one would wait for the broker's acknowledgement of the first.
            stream.write_all(&[&(answer.len() as u32).to_be_bytes(), answer.as_bytes()].concat())?;
        }
    }
}

/// Answers a request for the endpoint list at once. Answers a watch with an empty list of changes, but only after the
/// wait that it asks for, as the nodes never change.
fn run_discovery(stream: TcpStream) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    let line = |n: usize| {
        let dial = address(n);
        format!(
            r#"{{"host":"node-{n}","dial":"{dial}","site":"here","class":"toy","block":{n},"health":"ready","share":1.0,"born_ms":0}}"#
        )
    };
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        let wait = head.split_once("wait=").and_then(|w| w.1.split(' ').next()?.parse::<u64>().ok());
        let lines =
            if wait.is_some() { String::new() } else { (0..NODES).map(line).collect::<Vec<_>>().join(",") };
        thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
        let body = format!(r#"{{"seq":1,"whole":{},"hosts":[{lines}]}}"#, wait.is_none());
        write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    }
}

fn serve(
    address: &str,
    handler: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    println!("listening on {address}");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // Disables Nagle's algorithm, with which a small frame would wait until the previous one is acknowledged.
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            thread::spawn(move || handler(stream));
        }
    });
    Ok(())
}

fn main() -> io::Result<()> {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let hangs = match arguments.first().map(String::as_str) {
        Some("hang") => arguments.get(1).and_then(|node| node.parse::<usize>().ok()),
        _ => None,
    };
    for n in 0..NODES {
        serve(&address(n), move |stream| run_node(stream, &format!("node-{n}"), hangs == Some(n)))?;
    }
    serve("127.0.0.1:8500", run_discovery)?;
    loop {
        thread::park();
    }
}
