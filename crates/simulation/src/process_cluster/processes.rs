//! Starts and ends the processes of a cluster and writes their files. No process outlives its
//! [`ProcessCluster`].

use super::node_config::{cluster_script, configuration};
use super::{ANSWER_TIMEOUT, ProcessClusterError, START_TIMEOUT, lock};
use crate::fakes::gateway::Gateway;
use crate::guard::Guard;
use gaugestand_fakes::kernel::AutoKernel;
use gaugestand_fakes::relay::Relay;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Length of a clock tick, the unit of CPU times in `/proc/PID/stat`, in milliseconds.
const CLOCK_TICK_MS: u64 = 10;
/// Index of the user time in `/proc/PID/stat`, from 0 for the field after the process's name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time in `/proc/PID/stat`, counted like [`USER_TIME_FIELD`].
const SYSTEM_TIME_FIELD: usize = 12;

/// A running process.
struct Process {
    child: Child,
    /// Address and port at which the process listens for gateways.
    address: String,
    /// The second address of the process, where it listens for operators.
    admin: Option<SocketAddr>,
}

/// Addresses at which a running process listens for gateways and for operators.
pub(super) struct Addresses {
    pub gateway: String,
    pub admin: SocketAddr,
}

/// Name and files that a process is started with.
struct ProcessFiles {
    name: String,
    config: PathBuf,
    script: PathBuf,
}

/// Number of processes of each kind.
#[derive(Clone, Copy)]
pub(super) struct Size {
    /// Processes that are members of the cluster from the beginning; all are started.
    pub members: usize,
    /// Further processes that are prepared, but neither members nor started.
    pub spares: usize,
    /// Whether each process serves alone, without a cluster.
    pub standalone: bool,
}

impl Size {
    fn members(members: usize) -> Self {
        Size { members, spares: 0, standalone: false }
    }
}

/// Node processes with a relay between each pair. The processes end when this value is dropped, or when this
/// program ends in any other way.
pub struct ProcessCluster {
    /// A helper that ends the processes if this program is killed.
    guard: Guard,
    program: PathBuf,
    folder: PathBuf,
    files: Vec<ProcessFiles>,
    processes: Vec<Mutex<Option<Process>>>,
    /// One lock for each process, held from the kill of the process to its restart, so that a second fault of
    /// the same process waits.
    pub(super) restarts: Vec<Mutex<()>>,
    /// Address at which each process listens for its peers, once the process has reported it. The relays to the
    /// process connect to this address, which changes with each start.
    peer_addresses: Vec<Arc<Mutex<Option<SocketAddr>>>>,
    standalone: bool,
    /// Relays by the number of the connecting process and of the accepting one; the first number is the lower
    /// one.
    pub(super) relays: BTreeMap<(usize, usize), Relay>,
    _kernels: Vec<(TcpListener, AutoKernel)>,
}

impl Drop for ProcessCluster {
    fn drop(&mut self) {
        for process in &self.processes {
            if let Some(process) = lock(process).as_mut() {
                self.guard.end(&mut process.child);
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl ProcessCluster {
    /// Starts a cluster of this many processes of this program. `serial` tells the cluster's folder from
    /// those of other clusters that this process starts.
    ///
    /// # Errors
    /// A folder, socket or configuration file cannot be made ([`ProcessClusterError::Io`]), or a process does
    /// not start ([`ProcessClusterError::Start`]). Processes that were started before are ended.
    pub fn start(program: &Path, members: usize, serial: u64) -> Result<Self, ProcessClusterError> {
        Self::with_config(program, members, serial, |_, _| ())
    }

    /// Starts a cluster as [`ProcessCluster::start`] does, after `change` has been applied to the configuration
    /// of each process; `change` is given the process's number.
    ///
    /// # Errors
    /// As for [`ProcessCluster::start`]; a changed configuration that the program rejects is a
    /// [`ProcessClusterError::Start`].
    pub fn with_config(
        program: &Path,
        members: usize,
        serial: u64,
        change: impl Fn(usize, &mut Value),
    ) -> Result<Self, ProcessClusterError> {
        Self::prepare(program, Size::members(members), serial, change)
    }

    /// Starts a cluster as [`ProcessCluster::start`] does and prepares further processes that are neither
    /// members nor started. Their numbers follow those of the members; [`ProcessCluster::start_process`] starts
    /// one.
    ///
    /// # Errors
    /// As for [`ProcessCluster::start`].
    pub fn with_spares(
        program: &Path,
        members: usize,
        spares: usize,
        serial: u64,
    ) -> Result<Self, ProcessClusterError> {
        Self::prepare(program, Size { spares, ..Size::members(members) }, serial, |_, _| ())
    }

    pub(super) fn prepare(
        program: &Path,
        size: Size,
        serial: u64,
        change: impl Fn(usize, &mut Value),
    ) -> Result<Self, ProcessClusterError> {
        let processes = size.members + size.spares;
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("gaugestand-cluster-{id}-{serial}-{processes}"));
        fs::create_dir_all(&folder)
            .map_err(ProcessClusterError::io("creating the folder of the processes"))?;
        let guard =
            Guard::over(&folder).map_err(ProcessClusterError::io("starting the guard of the processes"))?;
        let peer_addresses: Vec<_> = (0..processes).map(|_| Arc::new(Mutex::new(None))).collect();
        let relays = start_relays(&peer_addresses)?;
        let mut cluster = ProcessCluster {
            guard,
            program: program.to_path_buf(),
            folder,
            files: Vec::new(),
            processes: Vec::new(),
            restarts: (0..processes).map(|_| Mutex::new(())).collect(),
            peer_addresses,
            standalone: size.standalone,
            relays,
            _kernels: Vec::new(),
        };
        for process in 0..processes {
            cluster.prepare_process(process, size.members, &change)?;
        }
        (0..size.members).try_for_each(|process| cluster.start_process(process))?;
        Ok(cluster)
    }

    /// Writes the files of a process and starts the fake kernel that it connects to.
    fn prepare_process(
        &mut self,
        process: usize,
        members: usize,
        change: impl Fn(usize, &mut Value),
    ) -> Result<(), ProcessClusterError> {
        let kernel = TcpListener::bind("127.0.0.1:0")
            .map_err(ProcessClusterError::io("binding the kernel's socket"))?;
        let kernel_address =
            kernel.local_addr().map_err(ProcessClusterError::io("binding the kernel's socket"))?;
        let name = format!("n{process}");
        let config = self.folder.join(format!("{name}.json"));
        let script = self.folder.join(format!("{name}.star"));
        let mut settings = configuration(&name, kernel_address);
        change(process, &mut settings);
        fs::write(&config, settings.to_string())
            .map_err(ProcessClusterError::io("writing a configuration"))?;
        fs::write(&script, self.script(process, members))
            .map_err(ProcessClusterError::io("writing a script"))?;
        let served = AutoKernel::serve(&kernel);
        self._kernels.push((kernel, served));
        self.files.push(ProcessFiles { name, config, script });
        self.processes.push(Mutex::new(None));
        Ok(())
    }

    fn script(&self, process: usize, members: usize) -> String {
        if self.standalone {
            return String::new();
        }
        let address = |member: usize| {
            // A process connects neither to itself nor to members that connect to it.
            let unused = SocketAddr::from(([127, 0, 0, 1], 0));
            self.relays.get(&(process, member)).map_or(unused, Relay::address)
        };
        let addresses: Vec<SocketAddr> = (0..members).map(address).collect();
        let number = if process < members { None } else { Some(process) };
        cluster_script(&addresses, number, &self.folder.join(format!("n{process}.log")))
    }

    /// Starts a prepared or ended process and waits until it reports where it listens for gateways.
    ///
    /// # Errors
    /// [`ProcessClusterError::Io`] if the program cannot be run, and [`ProcessClusterError::Start`] if the
    /// process ends, or logs for too long, without reporting its address. The process is then ended and counts
    /// as not running.
    pub fn start_process(&self, process: usize) -> Result<(), ProcessClusterError> {
        let files = &self.files[process];
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--settings").arg(&files.script).env("BALANCER_CONFIG", &files.config);
        command.env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN").env_remove("BALANCER_ADMIN_ADDR");
        command.env_remove("TMPDIR").stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(ProcessClusterError::io("starting the program"))?;
        self.guard.watch(&child);
        let log = child.stderr.take().ok_or(ProcessClusterError::NoStandardError)?;
        let mut started = Process { child, address: String::new(), admin: None };
        if let Err(error) = await_addresses(log, &mut started, &self.peer_addresses[process]) {
            self.guard.end(&mut started.child);
            return Err(ProcessClusterError::Start { name: files.name.clone(), error: Box::new(error) });
        }
        *lock(&self.processes[process]) = Some(started);
        Ok(())
    }

    /// Sends a signal to a process, if it runs; `signal` is the option of the command `kill`, as in `-STOP`.
    pub fn signal(&self, process: usize, signal: &str) {
        if let Some(process) = lock(&self.processes[process]).as_ref() {
            let _ = Command::new("kill").args([signal, &process.child.id().to_string()]).status();
        }
    }

    /// Kills a process (SIGKILL) and waits for its end; does nothing if the process is not running.
    pub fn kill(&self, process: usize) {
        let killed = lock(&self.processes[process]).take();
        if let Some(mut killed) = killed {
            self.guard.end(&mut killed.child);
        }
    }

    /// Number of processes, including the spares.
    pub(super) fn len(&self) -> usize {
        self.files.len()
    }

    pub(super) fn name(&self, process: usize) -> &str {
        &self.files[process].name
    }

    /// Path of a process's configuration file.
    pub fn configuration(&self, process: usize) -> &Path {
        &self.files[process].config
    }

    /// Addresses at which a process listens; an error if the process is not running.
    pub(super) fn addresses(&self, process: usize) -> Result<Addresses, ProcessClusterError> {
        let running = lock(&self.processes[process]);
        let addresses = running
            .as_ref()
            .and_then(|running| Some(Addresses { gateway: running.address.clone(), admin: running.admin? }));
        addresses.ok_or(ProcessClusterError::NotRunning)
    }

    /// Address at which a process listens for its peers, once the process has reported it.
    pub fn peer_address(&self, process: usize) -> Option<SocketAddr> {
        *lock(&self.peer_addresses[process])
    }

    /// Address of the relay to a spare, at which the other processes reach it when it joins.
    pub fn relay_address(&self, process: usize) -> Option<SocketAddr> {
        self.relays.get(&(0, process)).map(Relay::address)
    }

    /// Connects a gateway to a process.
    ///
    /// # Errors
    /// [`ProcessClusterError::NotRunning`] if the process is stopped, and [`ProcessClusterError::Io`] if it
    /// cannot be connected to.
    pub fn gateway(&self, process: usize) -> Result<Gateway, ProcessClusterError> {
        let address = self.addresses(process)?.gateway;
        Gateway::connect(&address, ANSWER_TIMEOUT).map_err(ProcessClusterError::io("connecting the gateway"))
    }

    /// CPU time (user and system) that a process has used since its start, in milliseconds; `None` if the
    /// process is not running.
    pub(super) fn cpu_ms(&self, process: usize) -> Option<u64> {
        let running = lock(&self.processes[process]);
        let stat = fs::read_to_string(format!("/proc/{}/stat", running.as_ref()?.child.id())).ok()?;
        // The process's name may contain any character; the last closing parenthesis ends it.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        Some((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) * CLOCK_TICK_MS)
    }
}

/// Starts one relay for each pair of processes. The process with the lower number connects through it.
fn start_relays(
    peer_addresses: &[Arc<Mutex<Option<SocketAddr>>>],
) -> Result<BTreeMap<(usize, usize), Relay>, ProcessClusterError> {
    let mut relays = BTreeMap::new();
    for (to, address) in peer_addresses.iter().enumerate() {
        for from in 0..to {
            let relay = Relay::start(address.clone()).map_err(ProcessClusterError::io("starting a relay"))?;
            relays.insert((from, to), relay);
        }
    }
    Ok(relays)
}

/// Reads a process's log until the process reports where it listens for gateways. Later lines are read and
/// discarded by a thread, so that the process never blocks on a full pipe.
fn await_addresses(
    log: impl Read + Send + 'static,
    process: &mut Process,
    peer_address: &Mutex<Option<SocketAddr>>,
) -> Result<(), ProcessClusterError> {
    let started = Instant::now();
    let mut log = BufReader::new(log);
    let mut logged = String::new();
    while process.address.is_empty() {
        let mut line = String::new();
        let read = log.read_line(&mut line).map_err(ProcessClusterError::io("reading the standard error"))?;
        if read == 0 || started.elapsed() > START_TIMEOUT {
            return Err(ProcessClusterError::NotListening(logged));
        }
        if let Some(address) = value_of("fellows=", &line).and_then(|address| address.parse().ok()) {
            *lock(peer_address) = Some(address);
        } else if let Some(address) = value_of("admin=", &line).and_then(|address| address.parse().ok()) {
            process.admin = Some(address);
        } else if let Some(address) = value_of("address=", &line) {
            process.address = address.to_string();
        }
        logged += &line;
    }
    thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
    Ok(())
}

/// The value of a field in a line of the log; `key` includes the equals sign.
fn value_of<'a>(key: &str, line: &'a str) -> Option<&'a str> {
    let (_, rest) = line.split_once(key)?;
    rest.split(['"', ' ', '\n']).next()
}
