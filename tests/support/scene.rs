//! The real program in the middle of its peers, all of them scripted by the test: kernel, store, membership listener
//! and gateways. The program is killed and its files are removed when the scene is dropped.

use super::admin::{admin_call, info_value};
use super::configuration::configuration;
use super::gateway::Gateway;
use super::kernel::Kernel;
use super::program::{ServingProgram, exits_successfully, send_signal, start_serving};
use super::store::StoreConnection;
use super::successor::Successor;
use super::{TEST_TIMEOUT, temporary_path};
use serde_json::{Value, json};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::{Duration, Instant};

/// Pause between two health checks while a test waits for a good one.
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The program and the listeners of all its peers.
pub struct Scene {
    child: Child,
    /// The program's log.
    stderr: BufReader<Box<dyn Read>>,
    configuration: Value,
    configuration_path: PathBuf,
    /// The operators' settings, if the program was started with some.
    script_path: Option<PathBuf>,
    /// Where processes of the node find each other.
    handover_dir: Option<PathBuf>,
    /// Where gateways connect.
    pub address: String,
    /// Where operators' calls come in; empty unless the configuration has one.
    pub admin: String,
    pub kernel: TcpListener,
    /// Bound, and listening only after a test has had it listen.
    pub store: Socket,
    pub members: UdpSocket,
}

impl Scene {
    /// Starts the program; `change` may alter its configuration.
    pub fn new(change: impl FnOnce(&mut Value)) -> Self {
        Scene::with_script(None, change)
    }

    /// The same with the operators' settings.
    pub fn with_script(script: Option<&str>, change: impl FnOnce(&mut Value)) -> Self {
        Scene::start(None, script, change)
    }

    /// A scene whose store listens and whose kernel is connected and up.
    pub fn with_kernel() -> (Self, Kernel) {
        let scene = Scene::new(|_| ());
        scene.store.listen(16).expect("listening");
        let kernel = scene.connect_kernel();
        (scene, kernel)
    }

    /// A scene with a second address, and a folder in which a successor finds the program.
    pub fn replaceable() -> Self {
        Scene::replaceable_with(|configuration| configuration["settings"]["extra"]["key-kb"] = json!(1.0))
    }

    /// The same; `change` may alter its configuration.
    pub fn replaceable_with(change: impl FnOnce(&mut Value)) -> Self {
        let handover_dir = temporary_path("d");
        std::fs::create_dir(&handover_dir).expect("a folder");
        Scene::start(Some(handover_dir), None, |configuration| {
            configuration["admin_addr"] = json!("127.0.0.1:0");
            change(configuration);
        })
    }

    fn start(handover_dir: Option<PathBuf>, script: Option<&str>, change: impl FnOnce(&mut Value)) -> Self {
        let kernel = TcpListener::bind("127.0.0.1:0").expect("a port");
        // Bound but not listening: connections are refused until a test lets it listen.
        let store = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        store.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        // A test that waits for a connection which never comes fails instead of hanging.
        store.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
        SockRef::from(&kernel).set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
        let members = UdpSocket::bind("127.0.0.1:0").expect("a port");
        members.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");

        let port = |address: std::io::Result<SocketAddr>| address.expect("bound").port();
        let store_port = store.local_addr().ok().and_then(|a| a.as_socket()).expect("bound").port();
        let mut configuration =
            configuration(port(kernel.local_addr()), store_port, port(members.local_addr()));
        change(&mut configuration);
        let configuration_path = temporary_path("json");
        std::fs::write(&configuration_path, configuration.to_string()).expect("a configuration file");
        let script_path = script.map(|text| {
            let path = temporary_path("star");
            std::fs::write(&path, text).expect("a script");
            path
        });

        let ServingProgram { child, stderr, address, admin } =
            start_serving(&configuration_path, script_path.as_deref(), handover_dir.as_deref());
        Scene {
            child,
            stderr,
            configuration,
            configuration_path,
            script_path,
            handover_dir,
            address,
            admin,
            kernel,
            store,
            members,
        }
    }

    /// The configuration that the program was started with.
    pub fn configuration(&self) -> Value {
        self.configuration.clone()
    }

    /// The folder in which processes of the node find each other.
    pub fn handover_dir(&self) -> &Path {
        self.handover_dir.as_deref().expect("a replaceable scene")
    }

    /// The program's process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

/// Starting, stopping and reloading the program.
impl Scene {
    /// Starts a second process of the node, with a kernel and a second address of its own.
    pub fn start_successor(&self) -> Successor {
        self.start_successor_in(self.handover_dir.as_deref())
    }

    /// The same, which looks for other processes in this folder.
    pub fn start_successor_in(&self, handover_dir: Option<&Path>) -> Successor {
        Successor::start(&self.configuration, handover_dir)
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
        self.kill();
        between();
        let program = start_serving(
            &self.configuration_path,
            self.script_path.as_deref(),
            self.handover_dir.as_deref(),
        );
        self.child = program.child;
        self.stderr = program.stderr;
        self.address = program.address;
        self.admin = program.admin;
    }

    /// Puts another configuration in place of the present one, and has the program reload.
    pub fn reload(&self, text: &str) {
        let next = self.configuration_path.with_extension("next");
        std::fs::write(&next, text).expect("a configuration file");
        std::fs::rename(&next, &self.configuration_path).expect("put in place");
        self.signal("-HUP");
    }

    /// Puts another script in place of the present one, and has the program reload.
    pub fn reload_script(&self, text: &str) {
        std::fs::write(self.script_path.as_ref().expect("a script"), text).expect("written");
        self.signal("-HUP");
    }

    /// Sends a signal by its option of `kill`, such as `-TERM`.
    pub fn signal(&self, option: &str) {
        send_signal(&self.child, option);
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
            .is_some_and(|state| state.starts_with(" T"))
        {
            assert!(began.elapsed() < TEST_TIMEOUT, "it does not stop");
            std::thread::yield_now();
        }
    }

    /// Lets a paused program go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits for the end of the program; true if its status is success.
    pub fn exits_successfully(&mut self) -> bool {
        exits_successfully(&mut self.child)
    }
}

/// The peers' ends of the connections.
impl Scene {
    /// Accepts the first connection to the kernel and reports that the kernel is up.
    pub fn connect_kernel(&self) -> Kernel {
        let mut kernel = self.accept_kernel();
        assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 0}));
        kernel.boot();
        kernel
    }

    /// Accepts a connection to the kernel.
    pub fn accept_kernel(&self) -> Kernel {
        Kernel::new(self.kernel.accept().expect("a link").0)
    }

    /// Accepts a connection to the store.
    pub fn accept_store(&self) -> StoreConnection {
        StoreConnection::new(self.store.accept().expect("a link").0.into())
    }

    /// A connection to the store that sends nothing: it takes a place in the store's backlog.
    pub fn fill_store_backlog(&self) -> Socket {
        let to = self.store.local_addr().expect("bound");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_nonblocking(true).expect("non-blocking");
        let _ = socket.connect(&to);
        socket
    }

    /// A new connection of a gateway.
    pub fn gateway(&self) -> Gateway {
        Gateway::connect(&self.address)
    }

    /// Waits until health checks are good: the kernel is up, and keyed requests can be taken.
    pub fn await_healthy(&self) {
        let began = Instant::now();
        while self.gateway().health_check("").status != "200 OK" {
            assert!(began.elapsed() < TEST_TIMEOUT, "it never came into service");
            std::thread::sleep(HEALTH_POLL_INTERVAL);
        }
    }

    /// The next datagram to the membership listener.
    pub fn membership_report(&self) -> String {
        let mut datagram = [0; 64];
        let len = self.members.recv(&mut datagram).expect("a report");
        String::from_utf8_lossy(&datagram[..len]).into_owned()
    }
}

/// What the program reports: its second address, its log and its counters.
impl Scene {
    /// What an operator's call is answered, up to the end of the connection.
    pub fn admin_call(&self, line: &str) -> String {
        admin_call(&self.admin, line)
    }

    /// The value of this name in the answer to `INFO`.
    pub fn info_value(&self, name: &str) -> u64 {
        info_value(&self.admin_call("INFO\n"), name)
    }

    /// The next line of the log.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.stderr.read_line(&mut line).expect("a line");
        line
    }

    /// Reads on until a line of the log contains this.
    pub fn await_log_line(&mut self, words: &str) {
        loop {
            let line = self.next_log_line();
            assert!(!line.is_empty(), "standard error ended before {words}");
            if line.contains(words) {
                return;
            }
        }
    }

    /// Closes the reading end of the program's standard error.
    pub fn close_stderr(&mut self) {
        let (reader, _) = std::io::pipe().expect("a pipe");
        self.stderr = BufReader::new(Box::new(reader));
    }

    /// The value of a counter, asked for with SIGUSR1.
    pub fn counter(&mut self, name: &str) -> u64 {
        self.signal("-USR1");
        self.next_printed_counter(name)
    }

    /// The value of a counter in the list that comes next on standard error.
    pub fn next_printed_counter(&mut self, name: &str) -> u64 {
        let mut value = None;
        loop {
            let mut line = String::new();
            assert_ne!(self.stderr.read_line(&mut line).expect("a counter"), 0, "standard error ended");
            let (key, number) = line.trim().split_once(' ').expect("a name and a value");
            if key == name {
                value = number.parse().ok();
            }
            // The last one of the list.
            if key == "reports_sent" {
                return value.expect("a counter of that name");
            }
        }
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.configuration_path);
        self.script_path.iter().for_each(|path| drop(std::fs::remove_file(path)));
        self.handover_dir.iter().for_each(|path| drop(std::fs::remove_dir_all(path)));
    }
}
