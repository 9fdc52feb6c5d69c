//! Starts a broker as a separate process and controls it.

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

/// Interval at which [`Broker::exit_code`] checks whether the process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running broker process. Dropping it prints the broker's log and kills the process.
pub struct Broker {
    child: Child,
    /// The address on which the broker accepts clients.
    pub address: SocketAddr,
    /// The log after startup, appended by a reader thread.
    log: Arc<Mutex<String>>,
    /// The log lines up to the one that reports the client address.
    pub startup_log: String,
    /// The path of the broker's configuration file.
    pub config_file: PathBuf,
    /// Whether the log is not printed when the broker is dropped. It is printed by default to help explain a failed test.
    pub suppress_log: bool,
}

/// Returns the path of the broker program: in the folder of the running program, or one folder up, as test programs are built
/// into a subfolder.
///
/// # Panics
/// If neither folder contains it.
pub fn broker_program() -> PathBuf {
    let running = std::env::current_exe().unwrap();
    let folders = running.ancestors().skip(1).take(2);
    folders
        .map(|folder| folder.join("dunepond-broker"))
        .find(|path| path.exists())
        .expect("dunepond-broker is missing next to the running program: build it first")
}

/// Starts the broker program with a configuration. Returns the process, whose standard error is piped, and the path of its
/// configuration file, for [`Broker::wait_until_listening`]. A broker that fails to start reports the reason on standard error.
pub fn launch(config: &Value) -> (Child, PathBuf) {
    launch_command(Command::new(broker_program()), config)
}

/// Like [`launch`], but runs `command`, which hosts a broker.
pub fn launch_command(mut command: Command, config: &Value) -> (Child, PathBuf) {
    let config_file = scratch_path("json");
    std::fs::write(&config_file, config.to_string()).unwrap();
    command.env_clear().env("GW_CONFIG", &config_file).stdin(Stdio::null()).stderr(Stdio::piped());
    command.env("GW_DISCOVERY", config["discovery"].as_str().unwrap());
    (command.spawn().unwrap(), config_file)
}

/// Returns a path with this extension for a temporary file or folder, unique to this process and call.
pub fn scratch_path(extension: &str) -> PathBuf {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("dunepond-{}-{number}.{extension}", std::process::id());
    // In-memory files are preferred: a sync to a disk that other processes write to can take seconds, and no test is about that.
    let shared_memory = Path::new("/dev/shm");
    let folder = std::env::var_os("TMPDIR").map(PathBuf::from);
    folder
        .or_else(|| shared_memory.is_dir().then(|| shared_memory.into()))
        .unwrap_or_else(std::env::temp_dir)
        .join(name)
}

impl Broker {
    /// Starts the broker program with a configuration and waits until it accepts clients.
    ///
    /// # Panics
    /// If the process ends before it accepts clients.
    pub fn start(config: &Value) -> Self {
        Self::wait_until_listening(launch(config))
    }

    /// Like [`Broker::start`], but limits the process to `limit` open file descriptors, fewer than its configuration states.
    ///
    /// # Panics
    /// If the process ends before it accepts clients.
    pub fn start_with_descriptor_limit(limit: usize, config: &Value) -> Self {
        let mut command = Command::new("/bin/sh");
        let shell_command = format!("ulimit -n {limit}; exec {}", broker_program().display());
        command.args(["-c", &shell_command]);
        Self::wait_until_listening(launch_command(command, config))
    }

    /// Waits until a process from [`launch`] or [`launch_command`] accepts clients.
    ///
    /// # Panics
    /// If the process ends before it accepts clients.
    pub fn wait_until_listening((mut child, config_file): (Child, PathBuf)) -> Self {
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let mut startup_log = String::new();
        let line = lines.by_ref().map_while(Result::ok).find(|line| {
            startup_log += &format!("{line}\n");
            line.contains("listening on")
        });
        let address = line.unwrap().split(' ').next_back().unwrap().parse().unwrap();
        // The log is read until it ends, as the broker would block on a full pipe.
        let log = Arc::new(Mutex::new(String::new()));
        let shared_log = log.clone();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| *shared_log.lock().unwrap() += &format!("{line}\n"))
        });
        Self { child, address, log, startup_log, config_file, suppress_log: false }
    }

    /// Starts a discovery server that lists `nodes`, and a broker that uses it.
    ///
    /// # Panics
    /// If the broker ends before it accepts clients.
    pub fn start_with_nodes(nodes: &[Node]) -> (Self, DiscoveryServer) {
        Self::start_with_config_value(nodes, "/name", json!("n1"))
    }

    /// Like [`Broker::start_with_nodes`], but with one value of the configuration replaced. `key` is a JSON pointer.
    ///
    /// # Panics
    /// If the configuration has no value at `key`, or the broker ends before it accepts clients.
    pub fn start_with_config_value(nodes: &[Node], key: &str, value: Value) -> (Self, DiscoveryServer) {
        Self::start_with_config(nodes, |config| *config.pointer_mut(key).unwrap() = value)
    }

    /// Like [`Broker::start_with_nodes`], but passes the configuration through `adjust_config` first.
    ///
    /// # Panics
    /// If the broker ends before it accepts clients.
    pub fn start_with_config(
        nodes: &[Node],
        adjust_config: impl FnOnce(&mut Value),
    ) -> (Self, DiscoveryServer) {
        let endpoints: Vec<_> = nodes.iter().map(|node| node.endpoint("ready")).collect();
        let discovery = DiscoveryServer::start(endpoints.clone());
        let mut config = config(discovery.address, endpoints);
        adjust_config(&mut config);
        (Self::start(&config), discovery)
    }

    /// Replaces the broker's configuration file and makes the broker reload it (SIGHUP).
    pub fn reload_config(&self, config: &Value) {
        std::fs::write(&self.config_file, config.to_string()).unwrap();
        self.signal("HUP");
    }

    /// Returns the broker's process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Whether the broker's process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to the broker, by its name without `SIG`, such as `TERM`.
    ///
    /// # Panics
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let shell_command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &shell_command]).status().unwrap();
        assert!(status.success(), "`{shell_command}` failed: {status}");
    }

    /// Returns the broker's whole log so far.
    pub fn log_text(&self) -> String {
        self.startup_log.clone() + &self.log.lock().unwrap()
    }

    /// Waits for the broker to end and returns its exit code; `None` if it does not end in time or is ended by a signal.
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
