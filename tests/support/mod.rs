//! Scripted peers on loopback and the real program between them: each does only what its test says.
#![allow(dead_code, missing_docs)]

pub mod frame_corruptor;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};
use std::ffi::{OsStr, OsString};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest that any test waits for anything: far beyond what it takes.
const PATIENCE: Duration = Duration::from_secs(20);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

fn patient(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    stream.set_nodelay(true).expect("no delay");
    stream
}

/// The configuration of the tests: one safe class and one keyed class, both with calls.
pub fn config(kernel: u16, store: u16, members: u16) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "goal-time": 3_000_000_000u64, "hard-limit": 6_000_000_000u64,
            "dedup-window": 9_000_000_000u64, "worth": 1.0, "late-worth": 0.0})
    };
    json!({"name": "n3", "listen": "127.0.0.1:0", "kernel": format!("127.0.0.1:{kernel}"),
        "store": format!("127.0.0.1:{store}"), "members": format!("127.0.0.1:{members}"),
        "seed": "8c1f30d27a5be964", "stop_ms": 4000, "novel": {"key": 1},
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
        "settings": {"classes": [class("quote", "pure"), class("booking", "token")], "fleet-size": 2,
            "worth-by": "work", "over-share-worth": 0.1, "realms": [], "tick": 2_000_000, "novel": "x",
            "caps": {"retry-after": true, "max-retry-after": 1_000_000_000u64},
            "extra": {"below": "tier", "callers": 2, "calls-out": 0.0, "class-calls": [true, true],
                "class-skip-worth": [0.0, 0.0], "cold": false, "cores": 4, "dep-window": 5_000_000_000u64,
                "fresh-for": 0, "full-checks": true, "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
                "halt": "discard", "heeded": 1_000_000_000, "heap-kb": 70000.0, "key-kb": 100.0,
                "list-follows": true, "run-factor": 8.0, "signal": "allowance", "stays-for": 200_000_000,
                "caller-idle": 30_000_000_000u64},
            "rules": {"grace-to-answer": 80_000_000, "cold-share": 0.22, "cold": 18_000_000_000u64,
                "drain-grace": 300_000_000, "fall": 2_000_000_000, "fall-multiple": 5.0}}})
}

/// A configuration for a node that takes in as much as it gets: for benches, of which the cap is not what is measured.
pub fn wide(text: &mut Value) {
    text["limits"]["sockets"] = 1024.into();
    text["settings"]["extra"]["cores"] = 512.into();
    text["settings"]["extra"]["heap-kb"] = 900_000.0.into();
    text["settings"]["extra"]["key-kb"] = 0.01.into();
    for class in 0..2 {
        text["settings"]["classes"][class]["hard-limit"] = 20_000_000_000u64.into();
        text["settings"]["classes"][class]["goal-time"] = 15_000_000_000u64.into();
    }
}

/// The program with a place of its own for its configuration.
pub fn program(config: &Value, subcommand: &str) -> (Command, PathBuf) {
    let path = place("json");
    std::fs::write(&path, config.to_string()).expect("a configuration file");
    (command(&path, subcommand), path)
}

/// A path of this test's own.
pub fn place(extension: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("gaugestand-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    std::env::temp_dir().join(name).with_extension(extension)
}

fn command(config: &Path, subcommand: &str) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gaugestand"));
    command.arg(subcommand).env("BALANCER_CONFIG", config);
    command.env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN").env_remove("BALANCER_ADMIN_ADDR");
    // Processes find others of their node in it: each test's are its own.
    command.env_remove("TMPDIR");
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Another build to start in the place of this one.
static PROGRAM: Mutex<Option<OsString>> = Mutex::new(None);

/// Benches put an earlier build in the place of this one, to compare with.
pub fn set_program(other: Option<&OsStr>) {
    *PROGRAM.lock().expect("no thread has panicked") = other.map(OsStr::to_os_string);
}

fn word(text: &str) -> String {
    text.trim().split(['"', ' ']).next().unwrap_or_default().to_string()
}

/// Starts the program on a configuration and waits until it listens. Whoever has the child waits for its end.
#[allow(clippy::zombie_processes)]
fn serve(
    config: &Path,
    script: Option<&Path>,
    folder: Option<&Path>,
) -> (Child, BufReader<Box<dyn Read>>, [String; 2]) {
    let mut command = command(config, "serve");
    if let Some(other) = PROGRAM.lock().expect("no thread has panicked").clone() {
        let mut earlier = Command::new(other);
        earlier.arg("serve").env("BALANCER_CONFIG", config).stdout(Stdio::piped()).stderr(Stdio::piped());
        command = earlier;
    }
    command.envs(folder.iter().map(|f| ("TMPDIR", f)));
    command.args(script.iter().flat_map(|s| [OsStr::new("--settings"), s.as_os_str()]));
    let mut child = command.spawn().expect("the program starts");
    let said: Box<dyn Read> = Box::new(child.stderr.take().expect("piped"));
    let mut said = BufReader::new(said);
    let mut admin = String::new();
    loop {
        let mut line = String::new();
        if said.read_line(&mut line).expect("a first line") == 0 {
            panic!("it ended at once: {:?}", child.wait());
        }
        let said_so = ["address=", "address\":\"", "listens on "].iter().find_map(|w| line.split_once(w));
        if let Some((_, address)) = said_so {
            return (child, said, [word(address), admin]);
        }
        if let Some((_, address)) = line.split_once("admin=") {
            admin = word(address);
        }
    }
}

/// What an operator's call at this address is answered.
pub fn call(admin: &str, line: &str) -> String {
    let mut caller = patient(TcpStream::connect(admin).expect("the second address"));
    caller.write_all(line.as_bytes()).expect("sent");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("text, then an end");
    answer
}

/// The figure of this name in the answer to `INFO`.
pub fn figure(answer: &str, name: &str) -> u64 {
    assert!(answer.ends_with("\nend\n"), "{answer}");
    let line =
        answer.lines().find_map(|l| l.strip_prefix("balancer.")?.strip_prefix(name)?.strip_prefix(':'));
    let (n, kind) = line.and_then(|l| l.split_once('|')).unwrap_or_else(|| panic!("no {name} in {answer}"));
    assert_eq!(kind, if name == "concurrent" { "g" } else { "c" }, "{name}");
    n.parse().expect("a number")
}

/// The node and the listeners of all its peers.
pub struct Scene {
    child: Child,
    said: BufReader<Box<dyn Read>>,
    config: PathBuf,
    script: Option<PathBuf>,
    /// Where processes of the node find each other.
    folder: Option<PathBuf>,
    text: Value,
    pub address: String,
    /// Where operators' calls come in; empty unless the configuration has one.
    pub admin: String,
    pub kernel: TcpListener,
    pub store: Socket,
    pub members: UdpSocket,
}

impl Scene {
    /// Starts the program; `change` may alter its configuration.
    pub fn new(change: impl FnOnce(&mut Value)) -> Self {
        Scene::with(None, change)
    }

    /// The same with the operators' script.
    pub fn with(script: Option<&str>, change: impl FnOnce(&mut Value)) -> Self {
        Scene::within(None, script, change)
    }

    /// A scene whose program can be replaced, with a second address.
    pub fn shared() -> Self {
        Scene::shared_with(|text| text["settings"]["extra"]["key-kb"] = json!(1.0))
    }

    /// The same; `change` may alter its configuration.
    pub fn shared_with(change: impl FnOnce(&mut Value)) -> Self {
        let folder = place("d");
        std::fs::create_dir(&folder).expect("a folder");
        Scene::within(Some(folder), None, |text| {
            text["admin_addr"] = json!("127.0.0.1:0");
            change(text);
        })
    }

    fn within(folder: Option<PathBuf>, script: Option<&str>, change: impl FnOnce(&mut Value)) -> Self {
        let kernel = TcpListener::bind("127.0.0.1:0").expect("a port");
        // Bound but not listening: connections are refused until a test lets it listen.
        let store = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        store.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        // Whoever waits for a link that never comes is told so.
        store.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        SockRef::from(&kernel).set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let members = UdpSocket::bind("127.0.0.1:0").expect("a port");
        members.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        let port = |a: std::io::Result<SocketAddr>| a.expect("bound").port();
        let store_port = store.local_addr().ok().and_then(|a| a.as_socket()).expect("bound").port();
        let mut text = config(port(kernel.local_addr()), store_port, port(members.local_addr()));
        change(&mut text);
        let (config, script) = (place("json"), script.map(|text| (place("star"), text)));
        std::fs::write(&config, text.to_string()).expect("a configuration file");
        let script = script.map(|(path, text)| {
            std::fs::write(&path, text).expect("a script");
            path
        });
        let (child, said, [address, admin]) = serve(&config, script.as_deref(), folder.as_deref());
        Scene { child, said, config, script, folder, text, address, admin, kernel, store, members }
    }

    /// Starts a second process of the node, with a kernel and a second address of its own.
    pub fn successor(&self) -> Successor {
        self.successor_in(self.folder.as_deref())
    }

    /// The same, which looks for other processes in this folder.
    pub fn successor_in(&self, folder: Option<&Path>) -> Successor {
        let kernel = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut text = self.text.clone();
        text["kernel"] = json!(kernel.local_addr().expect("bound").to_string());
        let config = place("json");
        std::fs::write(&config, text.to_string()).expect("a configuration file");
        let mut command = command(&config, "serve");
        command.envs(folder.iter().map(|f| ("TMPDIR", f)));
        let mut child = command.spawn().expect("the program starts");
        let mut said = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        while !line.contains("admin=") {
            line.clear();
            assert_ne!(said.read_line(&mut line).expect("a line"), 0, "it ended at once");
        }
        let admin = line.split_once("admin=").map(|(_, admin)| word(admin)).expect("an address");
        std::thread::spawn(move || std::io::copy(&mut said, &mut std::io::stderr()));
        Successor { child, config, kernel, admin }
    }

    /// The folder in which processes of the node find each other.
    pub fn folder(&self) -> &Path {
        self.folder.as_deref().expect("a shared scene")
    }

    /// Kills the program outright.
    pub fn kill(&mut self) {
        self.child.kill().expect("it can be killed");
        let _ = self.child.wait();
    }

    /// Kills the program outright and starts it again, with the same configuration and peers.
    pub fn restart(&mut self) {
        self.restart_with(|| ());
    }

    /// The same, with something done in between.
    pub fn restart_with(&mut self, between: impl FnOnce()) {
        self.child.kill().expect("it can be killed");
        let _ = self.child.wait();
        between();
        (self.child, self.said, [self.address, self.admin]) =
            serve(&self.config, self.script.as_deref(), self.folder.as_deref());
    }

    /// Puts another script in place of the present one, and tells the program.
    pub fn reload_script(&self, text: &str) {
        std::fs::write(self.script.as_ref().expect("a script"), text).expect("written");
        self.signal("-HUP");
    }

    /// The program's id, for what the system tells of it.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// A scene whose kernel is linked and up.
    pub fn up() -> (Self, Kernel) {
        let scene = Scene::new(|_| ());
        scene.store.listen(16).expect("listening");
        let kernel = scene.link();
        (scene, kernel)
    }

    /// Takes the first link of the kernel, and says that it is up.
    pub fn link(&self) -> Kernel {
        let mut kernel = self.accept_kernel();
        assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 0}));
        kernel.boot();
        kernel
    }

    /// Waits until checks are good: the kernel is up, and keyed requests can be taken.
    pub fn await_good(&self) {
        let began = Instant::now();
        while self.gateway().check("").status != "200 OK" {
            assert!(began.elapsed() < PATIENCE, "it never came into service");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn accept_kernel(&self) -> Kernel {
        Kernel::on(self.kernel.accept().expect("a link").0)
    }

    pub fn accept_store(&self) -> StorePeer {
        StorePeer::on(self.store.accept().expect("a link").0.into())
    }

    pub fn gateway(&self) -> Gateway {
        Gateway::to(&self.address)
    }

    pub fn report(&self) -> String {
        let mut buf = [0; 64];
        let n = self.members.recv(&mut buf).expect("a report");
        String::from_utf8_lossy(&buf[..n]).into_owned()
    }

    /// Puts another configuration in place of the present one, and tells the program.
    pub fn reload(&self, text: &str) {
        let next = self.config.with_extension("next");
        std::fs::write(&next, text).expect("a configuration file");
        std::fs::rename(&next, &self.config).expect("put in place");
        self.signal("-HUP");
    }

    /// The configuration that the program was started with.
    pub fn configuration(&self) -> Value {
        self.text.clone()
    }

    /// What an operator's call is answered, up to the end of the connection.
    pub fn call(&self, line: &str) -> String {
        call(&self.admin, line)
    }

    /// The figure of this name.
    pub fn figure(&self, name: &str) -> u64 {
        figure(&self.call("INFO\n"), name)
    }

    /// The next line on standard error.
    pub fn said(&mut self) -> String {
        let mut line = String::new();
        self.said.read_line(&mut line).expect("a line");
        line
    }

    /// Reads on until a line on standard error that contains this.
    pub fn await_said(&mut self, words: &str) {
        loop {
            let line = self.said();
            assert!(!line.is_empty(), "standard error ended before {words}");
            if line.contains(words) {
                return;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Stops the program where it is, until [`Scene::resume`]: what happens meanwhile is all there when it goes on.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let began = Instant::now();
        // After the name, which may hold anything but ends with the last parenthesis.
        while !std::fs::read_to_string(&stat)
            .expect("it is there")
            .rsplit(')')
            .next()
            .is_some_and(|s| s.starts_with(" T"))
        {
            assert!(began.elapsed() < PATIENCE, "it does not stop");
            std::thread::yield_now();
        }
    }

    /// Has it go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// A connection to the store that says nothing: it fills the store's queue.
    pub fn dial_store(&self) -> Socket {
        let to = self.store.local_addr().expect("bound");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("non-blocking");
        let _ = socket.connect(&to);
        socket
    }

    /// Closes the reading end of the program's standard error.
    pub fn stop_listening_to_errors(&mut self) {
        let (reader, _) = std::io::pipe().expect("a pipe");
        drop(std::mem::replace(&mut self.said, BufReader::new(Box::new(reader))));
    }

    /// The value of a counter, asked for with SIGUSR1.
    pub fn counter(&mut self, name: &str) -> u64 {
        self.signal("-USR1");
        self.counter_printed(name)
    }

    /// The value of a counter in the list that comes next on standard error.
    pub fn counter_printed(&mut self, name: &str) -> u64 {
        let mut value = None;
        loop {
            let mut line = String::new();
            assert_ne!(self.said.read_line(&mut line).expect("a counter"), 0, "standard error ended");
            let (key, n) = line.trim().split_once(' ').expect("a name and a value");
            if key == name {
                value = n.parse().ok();
            }
            if key == "reports_sent" {
                return value.expect("a counter of that name");
            }
        }
    }

    /// Waits for the end of the program; true if it ended well.
    pub fn ended_well(&mut self) -> bool {
        ended_well(&mut self.child)
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        self.script.iter().for_each(|s| drop(std::fs::remove_file(s)));
        self.folder.iter().for_each(|f| drop(std::fs::remove_dir_all(f)));
    }
}

/// Waits for the end of a process; true if it ended well.
fn ended_well(child: &mut Child) -> bool {
    let began = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("a child") {
            return status.success();
        }
        assert!(began.elapsed() < PATIENCE, "it does not end");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A further process of a node.
pub struct Successor {
    child: Child,
    config: PathBuf,
    pub kernel: TcpListener,
    pub admin: String,
}

impl Successor {
    /// Waits until it says that it takes clients.
    pub fn await_yes(&self) {
        let began = Instant::now();
        while call(&self.admin, "PING\n") != "done\n" {
            assert!(began.elapsed() < PATIENCE, "it never said yes: {}", call(&self.admin, "PING\n"));
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for its end; true if it ended well.
    pub fn ended_well(&mut self) -> bool {
        ended_well(&mut self.child)
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        self.child.kill().expect("it can be killed");
        let _ = self.child.wait();
    }
}

impl Drop for Successor {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// The kernel's side of its link.
pub struct Kernel {
    lines: BufReader<TcpStream>,
    pub cursor: u64,
    /// Questions for gauges that were answered.
    pub gauges: u64,
    /// What they are answered with.
    pub busy: [f64; 4],
}

impl Kernel {
    pub fn on(stream: TcpStream) -> Self {
        Kernel { lines: BufReader::new(patient(stream)), cursor: 0, gauges: 0, busy: [0.1, 0.0, 0.1, 3.0] }
    }

    pub fn say(&mut self, mut notice: Value, numbered: bool) {
        if numbered {
            self.cursor += 1;
            notice["cursor"] = json!(self.cursor);
        }
        self.lines.get_mut().write_all(format!("{notice}\n").as_bytes()).expect("the node reads");
    }

    /// Says the beginning of a notice.
    pub fn say_part(&mut self, text: &str) {
        self.lines.get_mut().write_all(text.as_bytes()).expect("the node reads");
    }

    pub fn boot(&mut self) {
        self.say(json!({"event": "BOOTED", "fate": "old", "lasted": 5}), false);
    }

    /// The next command as it comes.
    pub fn any_command(&mut self) -> Value {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("a command");
        serde_json::from_str(&line).expect("one JSON object a line")
    }

    /// The next command that is no question for gauges; those are answered.
    pub fn command(&mut self) -> Value {
        let began = Instant::now();
        loop {
            let command = self.any_command();
            assert!(began.elapsed() < PATIENCE, "nothing but questions for gauges");
            if command["event"] != "SYSINFO" {
                return command;
            }
            self.info(&command);
        }
    }

    /// Answers questions for gauges to the end of the link, and fails if any other command comes.
    pub fn expect_end(&mut self) {
        let mut line = String::new();
        while self.lines.read_line(&mut line).is_ok_and(|n| n > 0) {
            let command: Value = serde_json::from_str(&line).expect("one JSON object a line");
            assert_eq!(command["event"], "SYSINFO", "{command}");
            // It may end meanwhile.
            let answer = json!({"event": "INFO", "ticket": command["ticket"], "figures": self.busy});
            let _ = self.lines.get_mut().write_all(format!("{answer}\n").as_bytes());
            line.clear();
        }
    }

    pub fn info(&mut self, question: &Value) {
        self.gauges += 1;
        self.say(json!({"event": "INFO", "ticket": question["ticket"], "figures": self.busy}), false);
    }

    /// Reads a command for this request, and its body.
    pub fn expect(&mut self, event: &str, id: &str) -> Vec<u8> {
        let command = self.command();
        assert_eq!((&command["event"], &command["handle"]), (&json!(event), &json!(id)), "{command}");
        STANDARD.decode(command["arg"].as_str().unwrap_or("")).expect("base64")
    }

    /// Answers questions for gauges for a while, and fails if any other command comes.
    pub fn expect_nothing(&mut self, questions: u64) {
        for _ in 0..questions {
            let command = self.any_command();
            assert_eq!(command["event"], "SYSINFO", "{command}");
            self.info(&command);
        }
    }

    pub fn reap(&mut self, id: &str, fate: &str, result: &[u8]) {
        let arg = STANDARD.encode(result);
        self.say(json!({"event": "REAP", "handle": id, "fate": fate, "lasted": 7, "arg": arg}), true);
    }

    pub fn io_req(&mut self, id: &str, body: &[u8]) {
        self.say(json!({"event": "IOREQ", "handle": id, "arg": STANDARD.encode(body)}), true);
    }
}

/// The store's side of its link.
pub struct StorePeer {
    lines: BufReader<TcpStream>,
}

impl StorePeer {
    pub fn on(stream: TcpStream) -> Self {
        StorePeer { lines: BufReader::new(patient(stream)) }
    }

    /// The next line and, with a call, its body.
    pub fn line(&mut self) -> (String, Vec<u8>) {
        let mut line = String::new();
        self.lines.read_line(&mut line).expect("a line");
        let line = line.trim_end().to_string();
        let mut body = Vec::new();
        if line.starts_with("CALL ") {
            let len: usize = line.rsplit(' ').next().and_then(|l| l.parse().ok()).expect("a length");
            body = vec![0; len + 2];
            self.lines.read_exact(&mut body).expect("a body");
            assert_eq!(body.split_off(len), b"\r\n");
        }
        (line, body)
    }

    /// Reads a call for this request; returns its body.
    pub fn expect_call(&mut self, id: &str) -> Vec<u8> {
        let (line, body) = self.line();
        assert!(line.starts_with(&format!("CALL {id} ")), "{line}");
        body
    }

    /// Whether a call for this request comes on it, and not its end.
    pub fn try_call(&mut self, id: &str) -> bool {
        let mut line = String::new();
        let read = self.lines.read_line(&mut line).unwrap_or(0);
        read > 0 && line.starts_with(&format!("CALL {id} "))
    }

    pub fn reply(&mut self, bytes: &[u8]) {
        self.lines.get_mut().write_all(bytes).expect("the node reads");
    }
}

/// An answer as a gateway reads it.
#[derive(Debug, PartialEq)]
pub struct Answer {
    pub id: u16,
    pub protocol_status: u8,
    pub status: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Ids of tries.
pub const A: &str = "9b1f03aa5c7e2d41";
pub const B: &str = "9b1f03aa5c7e2d42";
pub const C: &str = "9b1f03aa5c7e2d43";

/// The number, the status and the body of an answer.
pub fn served(answer: &Answer) -> (u16, &str, &[u8]) {
    (answer.id, &answer.status[..3], &answer.body)
}

/// A record with padding, as some gateways send it.
pub fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let padding = (8 - content.len() % 8) % 8;
    let mut out = vec![1, kind];
    out.extend(id.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([padding as u8, 0]);
    out.extend(content);
    out.resize(out.len() + padding, 0);
    out
}

pub fn pair(name: &str, value: &str) -> Vec<u8> {
    let mut out = vec![name.len() as u8];
    // The longer form of a length may be used for any.
    out.extend((value.len() as u32 | 0x8000_0000).to_be_bytes());
    out.extend(name.bytes().chain(value.bytes()));
    out
}

/// All records of a request with these parameters and this body.
pub fn records(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let params: Vec<u8> = params.iter().flat_map(|(n, v)| pair(n, v)).collect();
    let mut out = record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(record(4, id, &params));
    out.extend(record(4, id, &[]));
    if !body.is_empty() {
        out.extend(record(5, id, body));
    }
    out.extend(record(5, id, &[]));
    out
}

/// All records of a try of class `class`, with changes to its parameters: an empty value takes one out.
pub fn try_records(id: u16, class: &str, txn: &str, changes: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let (path, now) = (format!("/svc/{class}"), unix_ms().to_string());
    let mut params = vec![
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", path.as_str()),
        ("HTTP_X_TXN", txn),
        ("HTTP_X_INGRESS_TIME", now.as_str()),
        ("HTTP_X_ROUTER", "1"),
        ("HTTP_X_CPU_HINT", "12.50"),
        ("HTTP_X_WORKING_SET_KB", "24.5"),
        ("HTTP_X_SHED_ORDER", "0.6250"),
    ];
    if class == "booking" {
        params.push(("HTTP_X_TXN_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    }
    for change in changes {
        params.retain(|p| p.0 != change.0);
        params.push(*change);
    }
    params.retain(|p| !p.1.is_empty());
    records(id, &params, body)
}

/// A gateway's connection.
pub struct Gateway {
    pub stream: TcpStream,
}

impl Gateway {
    /// A connection to a node.
    pub fn to(address: &str) -> Self {
        Gateway { stream: patient(TcpStream::connect(address).expect("accepted")) }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the node reads");
    }

    pub fn request(&mut self, id: u16, class: &str, txn: &str, body: &[u8]) {
        self.send(&try_records(id, class, txn, &[], body));
    }

    /// A health check and its answer.
    pub fn check(&mut self, query: &str) -> Answer {
        self.send(&records(1, &[("SCRIPT_NAME", "/status/live"), ("QUERY_STRING", query)], &[]));
        self.answer()
    }

    /// A try of a keyed request and its answer; an error if the connection ends first.
    pub fn book(&mut self, txn: &str, key: &str, body: &str) -> std::io::Result<(String, Vec<u8>)> {
        let records = try_records(1, "booking", txn, &[("HTTP_X_TXN_KEY", key)], body.as_bytes());
        self.stream.write_all(&records)?;
        let answer = self.read_answer()?;
        Ok((answer.status[..3].to_string(), answer.body))
    }

    /// A read and the status of its answer; an error if the connection ends first.
    pub fn read(&mut self, txn: &str) -> std::io::Result<String> {
        self.stream.write_all(&try_records(1, "quote", txn, &[], b"q"))?;
        Ok(self.read_answer()?.status[..3].to_string())
    }

    /// Reads one record.
    pub fn record(&mut self) -> std::io::Result<(u8, u16, Vec<u8>)> {
        let mut head = [0; 8];
        self.stream.read_exact(&mut head)?;
        let mut content = vec![0; usize::from(u16::from_be_bytes([head[4], head[5]])) + usize::from(head[6])];
        self.stream.read_exact(&mut content)?;
        content.truncate(usize::from(u16::from_be_bytes([head[4], head[5]])));
        assert_eq!(head[0], 1);
        Ok((head[1], u16::from_be_bytes([head[2], head[3]]), content))
    }

    /// Reads the next answer; answers of several requests never mix here.
    pub fn answer(&mut self) -> Answer {
        self.read_answer().expect("an answer")
    }

    fn read_answer(&mut self) -> std::io::Result<Answer> {
        let mut out = Vec::new();
        let (id, protocol_status) = loop {
            match self.record()? {
                (6, _, content) => out.extend(content),
                (3, id, content) => break (id, content[4]),
                other => panic!("record {other:?}"),
            }
        };
        let end = out.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(out.len());
        let head = String::from_utf8_lossy(&out[..end]).into_owned();
        let mut fields: Vec<(String, String)> = head
            .lines()
            .filter_map(|l| l.split_once(": "))
            .map(|(n, v)| (n.to_string(), v.to_string()))
            .collect();
        let status = if fields.is_empty() { String::new() } else { fields.remove(0).1 };
        let body = out.get(end + 4..).unwrap_or_default().to_vec();
        Ok(Answer { id, protocol_status, status, fields, body })
    }

    /// True if the node closes the connection with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}

/// What `check-config` makes of a configuration.
pub fn check_config(config: &Value) -> Output {
    let (mut command, path) = program(config, "check-config");
    let out = command.output().expect("the program runs");
    let _ = std::fs::remove_file(path);
    out
}
