//! The broker as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{DiscoveryServer, Node, WAIT_TIMEOUT, config};

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A broker's process. It is killed when this is dropped, and its log is printed.
pub struct Broker {
    child: Child,
    /// Where it listens for clients.
    pub address: SocketAddr,
    log: Arc<Mutex<String>>,
    /// What it logged until it listened.
    pub startup_log: String,
    /// Its configuration file.
    pub config_file: PathBuf,
    /// Its log is not printed at its end, as a failing test wants it.
    pub suppress_log: bool,
}

/// The broker's program: beside the running one, or one folder up where that is a test.
pub fn broker_program() -> PathBuf {
    let running = std::env::current_exe().unwrap();
    let folders = running.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join("dunepond-broker"))
        .find(|path| path.exists())
        .expect("dunepond-broker is built")
}

/// Runs the broker's program on a configuration, for [`Broker::from_child`]; one that does not start says why on its standard
/// error.
pub fn launch(config: &Value) -> (Child, PathBuf) {
    launch_command(Command::new(broker_program()), config)
}

/// As [`launch`], by a command that hosts a broker.
pub fn launch_command(mut command: Command, config: &Value) -> (Child, PathBuf) {
    let file = scratch_path("json");
    std::fs::write(&file, config.to_string()).unwrap();
    command.env_clear().env("GW_CONFIG", &file).stdin(Stdio::null()).stderr(Stdio::piped());
    command.env("GW_DISCOVERY", config["discovery"].as_str().unwrap());
    (command.spawn().unwrap(), file)
}

/// A path among the temporary files that nobody else uses, with this extension.
pub fn scratch_path(extension: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("dunepond-{}-{number}.{extension}", std::process::id());
    // A sync on a disk that others write to takes seconds, which no test is about; in memory it takes none.
    let memory = Path::new("/dev/shm");
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    folder.or_else(|| memory.is_dir().then(|| memory.into())).unwrap_or_else(std::env::temp_dir).join(name)
}

impl Broker {
    /// Starts the broker's program and waits until it listens.
    ///
    /// # Panics
    /// Where it ends before.
    pub fn start(config: &Value) -> Self {
        Self::from_child(launch(config))
    }

    /// As [`Broker::start`], with at most so many descriptors, fewer than its configuration says.
    pub fn start_with_descriptor_limit(limit: usize, config: &Value) -> Self {
        let mut command = Command::new("/bin/sh");
        let line = format!("ulimit -n {limit}; exec {}", broker_program().display());
        command.args(["-c", &line]);
        Self::from_child(launch_command(command, config))
    }

    /// Waits until a process that was launched listens.
    ///
    /// # Panics
    /// Where it ends before.
    pub fn from_child((mut child, config_file): (Child, PathBuf)) -> Self {
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut startup_log = String::new();
        let line = lines.by_ref().map_while(Result::ok).find(|line| {
            startup_log += &format!("{line}\n");
            line.contains("listening on")
        });
        let address = line.unwrap().split(' ').next_back().unwrap().parse().unwrap();
        // Read on to its end: the broker would stop on a full pipe.
        let log = Arc::new(Mutex::new(String::new()));
        let shared = log.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| *shared.lock().unwrap() += &format!("{line}\n"))
        });
        Self { child, address, log, startup_log, config_file, suppress_log: false }
    }

    /// A broker in front of these nodes, and the discovery server that names them.
    pub fn start_for(nodes: &[Node]) -> (Self, DiscoveryServer) {
        Self::start_for_with(nodes, "/name", json!("n1"))
    }

    /// As [`Broker::start_for`], with one value of its configuration replaced; `key` is a JSON pointer.
    pub fn start_for_with(nodes: &[Node], key: &str, value: Value) -> (Self, DiscoveryServer) {
        Self::start_for_changed(nodes, |config| *config.pointer_mut(key).unwrap() = value)
    }

    /// As [`Broker::start_for`], with its configuration changed.
    pub fn start_for_changed(nodes: &[Node], change: impl FnOnce(&mut Value)) -> (Self, DiscoveryServer) {
        let endpoints: Vec<_> = nodes.iter().map(|n| n.endpoint("ready")).collect();
        let discovery = DiscoveryServer::start(endpoints.clone());
        let mut config = config(discovery.address, endpoints);
        change(&mut config);
        (Self::start(&config), discovery)
    }

    /// Replaces its configuration file and has it read again.
    pub fn reload_config(&self, config: &Value) {
        std::fs::write(&self.config_file, config.to_string()).unwrap();
        self.signal("HUP");
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name without `SIG`.
    ///
    /// # Panics
    /// Where it cannot be sent.
    pub fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &line]).status().unwrap();
        assert!(status.success());
    }

    /// All that it has logged.
    pub fn log_text(&self) -> String {
        self.startup_log.clone() + &self.log.lock().unwrap()
    }

    /// Waits for its exit code; `None` where it does not end in time, or by a signal.
    pub fn exit_code(&mut self) -> Option<i32> {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Broker {
    fn drop(&mut self) {
        if !self.suppress_log {
            println!("{}", self.log_text());
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}
