//! The compiled program as a child process, connected to peers that the test scripts: kernel, store,
//! membership service and gateways. The program is killed and its files are removed when the scene is
//! dropped.

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

/// Pause between two health checks while a test waits until the node is healthy.
const HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The running program, its files and the sockets on which its peers listen.
pub struct Scene {
    child: Child,
    /// The program's standard error: its log and, after SIGUSR1, its counters.
    stderr: BufReader<Box<dyn Read>>,
    /// The configuration that the program was first started with.
    configuration: Value,
    configuration_path: PathBuf,
    /// File of the operators' settings, if the program was started with one.
    script_path: Option<PathBuf>,
    /// Folder in which the processes of the node find each other; `None` unless the scene is replaceable.
    handover_dir: Option<PathBuf>,
    /// Address (host and port) on which the program listens for gateways.
    pub address: String,
    /// The second address (host and port); empty if the configuration has none.
    pub admin: String,
    /// Listener for the program's connections to the kernel.
    pub kernel: TcpListener,
    /// Socket for the program's connections to the store. The socket is bound at the start, and listens only
    /// after the test has called `listen`.
    pub store: Socket,
    /// Socket that receives the membership reports.
    pub members: UdpSocket,
}

impl Scene {
    /// Starts the program. `change` may alter its configuration beforehand.
    pub fn new(change: impl FnOnce(&mut Value)) -> Self {
        Scene::with_script(None, change)
    }

    /// Starts the program with the operators' settings in `script`. `change` may alter its configuration
    /// beforehand.
    pub fn with_script(script: Option<&str>, change: impl FnOnce(&mut Value)) -> Self {
        Scene::start(None, script, change)
    }

    /// Starts the program with a store that listens and a kernel that is connected and up.
    pub fn with_kernel() -> (Self, Kernel) {
        let scene = Scene::new(|_| ());
        scene.store.listen(16).expect("the store listens");
        let kernel = scene.connect_kernel();
        (scene, kernel)
    }

    /// Starts the program with a second address, a folder in which a successor finds it, and a `key-kb` of 1.
    pub fn replaceable() -> Self {
        Scene::replaceable_with(|configuration| configuration["settings"]["extra"]["key-kb"] = json!(1.0))
    }

    /// Starts the program as [`Scene::replaceable`] does, but with the default `key-kb`. `change` may alter
    /// the configuration beforehand.
    pub fn replaceable_with(change: impl FnOnce(&mut Value)) -> Self {
        let handover_dir = temporary_path("d");
        std::fs::create_dir(&handover_dir).expect("creating the hand-over folder");
        Scene::start(Some(handover_dir), None, |configuration| {
            configuration["admin_addr"] = json!("127.0.0.1:0");
            change(configuration);
        })
    }

    fn start(handover_dir: Option<PathBuf>, script: Option<&str>, change: impl FnOnce(&mut Value)) -> Self {
        let kernel = TcpListener::bind("127.0.0.1:0").expect("binding the kernel's port");
        // The store's socket is bound but does not listen: connections are refused until the test calls
        // `listen`.
        let store = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creating the store's socket");
        store.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("binding the store's port");
        // With the timeouts, a test that waits for a connection or a datagram that never comes fails instead
        // of hanging.
        store.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
        SockRef::from(&kernel).set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");
        let members = UdpSocket::bind("127.0.0.1:0").expect("binding the membership port");
        members.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the timeout");

        let port =
            |address: std::io::Result<SocketAddr>| address.expect("the address of a bound socket").port();
        let store_port =
            store.local_addr().ok().and_then(|a| a.as_socket()).expect("the store's address").port();
        let mut configuration =
            configuration(port(kernel.local_addr()), store_port, port(members.local_addr()));
        change(&mut configuration);
        let configuration_path = temporary_path("json");
        std::fs::write(&configuration_path, configuration.to_string())
            .expect("writing the configuration file");
        let script_path = script.map(|text| {
            let path = temporary_path("star");
            std::fs::write(&path, text).expect("writing the script");
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

    /// A copy of the configuration that the program was first started with.
    pub fn configuration(&self) -> Value {
        self.configuration.clone()
    }

    /// The folder in which the processes of the node find each other. Panics unless the scene is replaceable.
    pub fn handover_dir(&self) -> &Path {
        self.handover_dir.as_deref().expect("a scene that was made by Scene::replaceable")
    }

    /// The program's process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Memory of the program in kB: the value of a line of its process status, such as `VmRSS:`.
    pub fn memory_kb(&self, line_start: &str) -> u64 {
        let path = format!("/proc/{}/status", self.pid());
        let status = std::fs::read_to_string(path).expect("reading the process status");
        let value =
            status.lines().find_map(|line| line.strip_prefix(line_start)).expect("a line of this name");
        let number = value.split_whitespace().next().and_then(|number| number.parse().ok());
        number.expect("the memory in kB is a number")
    }
}

/// Starting, stopping and reloading the program.
impl Scene {
    /// Starts a second process of the node, with a kernel and a second address of its own.
    pub fn start_successor(&self) -> Successor {
        self.start_successor_in(self.handover_dir.as_deref())
    }

    /// Starts a second process of the node, with a kernel and a second address of its own, which looks for
    /// its predecessor in the folder `handover_dir`.
    pub fn start_successor_in(&self, handover_dir: Option<&Path>) -> Successor {
        Successor::start(&self.configuration, handover_dir)
    }

    /// Kills the program with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("killing the program");
        let _ = self.child.wait();
    }

    /// Kills the program with SIGKILL and starts it again, with the same configuration file and peers.
    pub fn restart(&mut self) {
        self.restart_with(|| ());
    }

    /// Restarts the program as [`Scene::restart`] does, and calls `between` after the kill and before the
    /// start.
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

    /// Replaces the configuration file with one that contains `text`, and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        let next = self.configuration_path.with_extension("next");
        std::fs::write(&next, text).expect("writing the configuration file");
        std::fs::rename(&next, &self.configuration_path).expect("replacing the configuration file");
        self.signal("-HUP");
    }

    /// Overwrites the script of the operators' settings with `text`, and sends SIGHUP.
    pub fn reload_script(&self, text: &str) {
        std::fs::write(self.script_path.as_ref().expect("a scene with a script"), text)
            .expect("writing the script");
        self.signal("-HUP");
    }

    /// Sends a signal to the program. `option` is the option of `kill` for the signal, such as `-TERM`.
    pub fn signal(&self, option: &str) {
        send_signal(&self.child, option);
    }

    /// Suspends the program with SIGSTOP until [`Scene::resume`], and waits until it is suspended. When the
    /// program continues, it finds everything that peers have sent in the meantime.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let began = Instant::now();
        // The state follows the process name, which may contain any characters and ends at the last
        // parenthesis.
        while !std::fs::read_to_string(&stat)
            .expect("reading the program's process state")
            .rsplit(')')
            .next()
            .is_some_and(|state| state.starts_with(" T"))
        {
            assert!(began.elapsed() < TEST_TIMEOUT, "the program was not suspended within {TEST_TIMEOUT:?}");
            std::thread::yield_now();
        }
    }

    /// Continues the program after [`Scene::pause`].
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits for the exit of the program; true if its status is success.
    pub fn exits_successfully(&mut self) -> bool {
        exits_successfully(&mut self.child)
    }
}

/// Accepts and opens the peers' connections.
impl Scene {
    /// Accepts the program's first connection to the kernel and sends the notice that the kernel is up.
    pub fn connect_kernel(&self) -> Kernel {
        let mut kernel = self.accept_kernel();
        assert_eq!(kernel.command(), json!({"event": "OPEN", "cursor": 0}));
        kernel.boot();
        kernel
    }

    /// Accepts the program's next connection to the kernel.
    pub fn accept_kernel(&self) -> Kernel {
        Kernel::new(self.kernel.accept().expect("a connection to the kernel").0)
    }

    /// Accepts the program's next connection to the store.
    pub fn accept_store(&self) -> StoreConnection {
        StoreConnection::new(self.store.accept().expect("a connection to the store").0.into())
    }

    /// Opens a connection of the test to the store, which takes a place in the store's listen backlog until
    /// it is dropped.
    pub fn fill_store_backlog(&self) -> Socket {
        let to = self.store.local_addr().expect("the store's address");
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("creating a socket");
        socket.set_nonblocking(true).expect("setting the socket to non-blocking");
        let _ = socket.connect(&to);
        socket
    }

    /// Opens a new gateway connection to the program.
    pub fn gateway(&self) -> Gateway {
        Gateway::connect(&self.address)
    }

    /// Waits until a health check is answered with 200: the kernel is up, and the node accepts keyed
    /// requests.
    pub fn await_healthy(&self) {
        let began = Instant::now();
        while self.gateway().health_check("").status != "200 OK" {
            assert!(began.elapsed() < TEST_TIMEOUT, "the node was not healthy within {TEST_TIMEOUT:?}");
            std::thread::sleep(HEALTH_POLL_INTERVAL);
        }
    }

    /// Waits for the next membership report and returns its text.
    pub fn membership_report(&self) -> String {
        let mut datagram = [0; 64];
        let len = self.members.recv(&mut datagram).expect("a membership report");
        String::from_utf8_lossy(&datagram[..len]).into_owned()
    }
}

/// Reads what the program reports at its second address, in its log and in its counters.
impl Scene {
    /// Sends one line to the second address and returns all that is received until the node closes the
    /// connection.
    pub fn admin_call(&self, line: &str) -> String {
        admin_call(&self.admin, line)
    }

    /// The value of the counter or gauge `name` in the answer to `INFO` at the second address.
    pub fn info_value(&self, name: &str) -> u64 {
        info_value(&self.admin_call("INFO\n"), name)
    }

    /// Waits for the next line on standard error; empty after its end.
    pub fn next_log_line(&mut self) -> String {
        let mut line = String::new();
        self.stderr.read_line(&mut line).expect("reading standard error");
        line
    }

    /// Discards lines on standard error up to and including the first that contains `words`.
    pub fn await_log_line(&mut self, words: &str) {
        loop {
            let line = self.next_log_line();
            assert!(!line.is_empty(), "standard error ended before a line with: {words}");
            if line.contains(words) {
                return;
            }
        }
    }

    /// Closes the read end of the program's standard error.
    pub fn close_stderr(&mut self) {
        let (reader, _) = std::io::pipe().expect("creating a pipe");
        self.stderr = BufReader::new(Box::new(reader));
    }

    /// Sends SIGUSR1 and returns the value of the counter `name` in the list that the program prints.
    pub fn counter(&mut self, name: &str) -> u64 {
        self.signal("-USR1");
        self.next_printed_counter(name)
    }

    /// The value of the counter `name` in the next list of counters on standard error.
    pub fn next_printed_counter(&mut self, name: &str) -> u64 {
        let mut value = None;
        loop {
            let mut line = String::new();
            assert_ne!(
                self.stderr.read_line(&mut line).expect("reading standard error"),
                0,
                "standard error ended"
            );
            let (key, number) = line.trim().split_once(' ').expect("a counter's name and value");
            if key == name {
                value = number.parse().ok();
            }
            // `reports_sent` is the last counter of the list.
            if key == "reports_sent" {
                return value.expect("a counter of this name in the list");
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
