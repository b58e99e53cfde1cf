//! A node in a process of its own.

use super::{wait_until, TEST_TIMEOUT};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};

/// The template of all configurations: one endpoint, the name `n0`, a class with semantics `safe` and 1,024 sockets.
/// [`NodeBuilder`] replaces these values.
const CONFIG: &str = include_str!("../exchanges/config.json");
/// An address at which no discovery service listens.
const NO_DISCOVERY: &str = "127.0.0.1:1";
/// Start of the log message of a node that accepts clients. The address for clients follows.
const SERVING: &str = "serving on ";

/// A running node. Dropping it kills the process and, if the test fails, prints its log.
pub struct Node {
    /// The node's process.
    pub child: Child,
    /// The address for clients.
    pub addr: SocketAddr,
    /// The JSON log lines that followed the message with the address for clients.
    pub log: Arc<Mutex<Vec<String>>>,
    /// Paths of the configuration and the operator file.
    pub files: [PathBuf; 2],
}

/// Settings of a node that is to be started.
pub struct NodeBuilder {
    test: String,
    name: String,
    replicas: Vec<SocketAddr>,
    operator: String,
    /// The value of the key `semantics`, as JSON, with the keys that it needs.
    semantics: String,
    discovery: String,
    allows_probes: bool,
    allows_hedging: bool,
    max_sockets: Option<usize>,
    listen: Option<SocketAddr>,
    environment: Vec<(String, PathBuf)>,
}

impl NodeBuilder {
    /// The node's name in its configuration; `n0` by default.
    pub fn name(mut self, name: &str) -> Self {
        self.name = name.into();
        self
    }

    /// The replicas on the endpoint list of the configuration; none by default.
    pub fn replicas(mut self, replicas: &[SocketAddr]) -> Self {
        self.replicas = replicas.into();
        self
    }

    /// The text of the operator file; empty by default.
    pub fn operator(mut self, operator: &str) -> Self {
        self.operator = operator.into();
        self
    }

    /// The semantics of class `chat`; `safe` by default.
    pub fn semantics(mut self, semantics: &str) -> Self {
        self.semantics = format!("\"{semantics}\"");
        self
    }

    /// Makes the class `chat` keyed: all replicas together recognise repeats of a request for this time, in seconds.
    pub fn keyed(mut self, retention_s: f64) -> Self {
        self.semantics = format!(r#""keyed","dedupScope":"all","memorySpan":{retention_s}"#);
        self
    }

    /// The address of the discovery service; by default an address without a listener.
    pub fn discovery(mut self, discovery: &str) -> Self {
        self.discovery = discovery.into();
        self
    }

    /// Whether the site settings allow probes of replicas; `false` by default.
    pub fn allows_probes(mut self, allows_probes: bool) -> Self {
        self.allows_probes = allows_probes;
        self
    }

    /// Whether the site settings allow a second attempt beside the first; `false` by default.
    pub fn allows_hedging(mut self, allows_hedging: bool) -> Self {
        self.allows_hedging = allows_hedging;
        self
    }

    /// Maximum number of sockets (`limits.sockets`); 1,024 by default.
    pub fn max_sockets(mut self, max_sockets: usize) -> Self {
        self.max_sockets = Some(max_sockets);
        self
    }

    /// The address for clients; a free port by default.
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = Some(listen);
        self
    }

    /// Additional environment variables of the process; none by default.
    pub fn environment(mut self, environment: Vec<(String, PathBuf)>) -> Self {
        self.environment = environment;
        self
    }

    /// Starts the node and waits until it accepts clients.
    pub fn start(self) -> Node {
        let files = [
            self.write_file("json", &self.config()),
            self.write_file("toml", &self.operator),
        ];
        let mut child = self.command(&files).spawn().unwrap();
        let (addr, log) = read_log(child.stderr.take().unwrap());
        Node {
            child,
            addr,
            log,
            files,
        }
    }

    fn config(&self) -> String {
        let endpoints: Vec<String> = self
            .replicas
            .iter()
            .enumerate()
            .map(|(index, addr)| configured_endpoint(index, *addr))
            .collect();
        let config = CONFIG
            .replace("DISCOVERY", &self.discovery)
            .replace("\"n0\"", &format!("\"{}\"", self.name));
        let list_start = config.find("{\"id\"").unwrap();
        let list_end = config.find("]},").unwrap();
        let config = config
            .replace(&config[list_start..list_end], &endpoints.join(","))
            .replace("\"safe\"", &self.semantics)
            .replace(
                "\"probes\":false",
                &format!("\"probes\":{}", self.allows_probes),
            )
            .replace(
                "\"secondCopies\":false",
                &format!("\"secondCopies\":{}", self.allows_hedging),
            );
        match self.max_sockets {
            Some(max) => config.replace("\"sockets\":1024", &format!("\"sockets\":{max}")),
            None => config,
        }
    }

    fn write_file(&self, kind: &str, text: &str) -> PathBuf {
        let Self { test, name, .. } = self;
        let file_name = format!("node-{test}-{name}-{}.{kind}", std::process::id());
        let path = std::env::temp_dir().join(file_name);
        std::fs::write(&path, text).unwrap();
        path
    }

    fn command(&self, [config, operator]: &[PathBuf; 2]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_poppykeel"));
        command
            .args(["serve", "--config"])
            .arg(config)
            .arg("--operator")
            .arg(operator)
            .args(["--log-format", "json"])
            .env("GW_ADMIN", "127.0.0.1:0")
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .env_remove("GW_DISCOVERY")
            .stderr(Stdio::piped());
        if let Some(listen) = self.listen {
            command.arg("--listen").arg(listen.to_string());
        }
        command
    }
}

/// An entry of the endpoint list in the configuration, as JSON.
fn configured_endpoint(index: usize, addr: SocketAddr) -> String {
    format!(
        r#"{{"id":"s-{index}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"up","weight":1.0,"started_ms":0}}"#
    )
}

/// Reads the log up to the line with the address for clients. A thread appends the following lines to the returned log.
fn read_log(stderr: ChildStderr) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
    let serving = lines
        .find(|line| line.contains(SERVING))
        .expect("the node did not start to serve");
    let addr = serving
        .split(SERVING)
        .nth(1)
        .and_then(|after| after.split('"').next())
        .unwrap();
    let log = Arc::new(Mutex::new(Vec::new()));
    let thread_log = log.clone();
    std::thread::spawn(move || lines.for_each(|line| thread_log.lock().unwrap().push(line)));
    (addr.parse().unwrap(), log)
}

impl Node {
    /// A node with default settings. `test` is part of the names of its files and has to be unique among tests.
    pub fn builder(test: &str) -> NodeBuilder {
        NodeBuilder {
            test: test.into(),
            name: "n0".into(),
            replicas: Vec::new(),
            operator: String::new(),
            semantics: "\"safe\"".into(),
            discovery: NO_DISCOVERY.into(),
            allows_probes: false,
            allows_hedging: false,
            max_sockets: None,
            listen: None,
            environment: Vec::new(),
        }
    }

    /// Sends a signal to the process; `signal` is the argument of `kill`, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until a line of [`Node::log`] contains this text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(text, || {
            let log = self.log.lock().unwrap();
            log.iter().any(|line| line.contains(text))
        });
    }

    /// Opens a connection to the node.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            for line in self.log.lock().unwrap().iter() {
                println!("{line}");
            }
        }
        for file in &self.files {
            // A leftover file is harmless.
            let _ = std::fs::remove_file(file);
        }
    }
}
