//! The processes of a cluster: their files, starting and ending them. No process outlives its cluster.

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

/// Milliseconds of a clock tick in `/proc/PID/stat`.
const CLOCK_TICK_MS: u64 = 10;
/// Places of the user and the system time in `/proc/PID/stat`, counted from after the name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// A running process.
struct Process {
    child: Child,
    /// Where it listens for gateways.
    address: String,
    /// Its second address, for operators.
    admin: Option<SocketAddr>,
}

/// Where a running process listens.
pub(super) struct Addresses {
    pub gateway: String,
    pub admin: SocketAddr,
}

/// What a process is started with.
struct ProcessFiles {
    name: String,
    config: PathBuf,
    script: PathBuf,
}

/// How many processes a cluster has.
#[derive(Clone, Copy)]
pub(super) struct Size {
    /// Members from the beginning.
    pub members: usize,
    /// Prepared, neither members nor started.
    pub spares: usize,
    /// There is no cluster: each process is on its own.
    pub standalone: bool,
}

impl Size {
    fn members(members: usize) -> Self {
        Size { members, spares: 0, standalone: false }
    }
}

/// Processes with relays between them. Whatever happens, no process outlives it.
pub struct ProcessCluster {
    /// Ends the processes if this program is killed.
    guard: Guard,
    program: PathBuf,
    folder: PathBuf,
    files: Vec<ProcessFiles>,
    processes: Vec<Mutex<Option<Process>>>,
    /// Held from the end of a process to its start: two faults may come to one at a time.
    pub(super) restarts: Vec<Mutex<()>>,
    /// Where each process listens for the others, once it has reported it; relays follow it.
    peer_addresses: Vec<Arc<Mutex<Option<SocketAddr>>>>,
    standalone: bool,
    /// By the process that connects and the one that is connected to.
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
    /// Starts so many processes of this program. `serial` tells its folder from those of other runs.
    ///
    /// # Errors
    /// A folder, socket or configuration file cannot be made ([`ProcessClusterError::Io`]), or a process does
    /// not start ([`ProcessClusterError::Start`]). Processes started before it are ended.
    pub fn start(program: &Path, members: usize, serial: u64) -> Result<Self, ProcessClusterError> {
        Self::with_config(program, members, serial, |_, _| ())
    }

    /// The same, with changes to the configuration of each.
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

    /// The same with more processes prepared, in order, that are not members and not started:
    /// [`ProcessCluster::start_process`] starts one.
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
        fs::create_dir_all(&folder).map_err(ProcessClusterError::io("a folder"))?;
        let guard = Guard::over(&folder).map_err(ProcessClusterError::io("a guard over the processes"))?;
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

    /// Writes a process's files and starts its kernel.
    fn prepare_process(
        &mut self,
        process: usize,
        members: usize,
        change: impl Fn(usize, &mut Value),
    ) -> Result<(), ProcessClusterError> {
        let kernel = TcpListener::bind("127.0.0.1:0").map_err(ProcessClusterError::io("a kernel"))?;
        let kernel_address = kernel.local_addr().map_err(ProcessClusterError::io("a kernel"))?;
        let name = format!("n{process}");
        let config = self.folder.join(format!("{name}.json"));
        let script = self.folder.join(format!("{name}.star"));
        let mut settings = configuration(&name, kernel_address);
        change(process, &mut settings);
        fs::write(&config, settings.to_string()).map_err(ProcessClusterError::io("a configuration"))?;
        fs::write(&script, self.script(process, members)).map_err(ProcessClusterError::io("a script"))?;
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
            // It never connects to itself, nor to processes that connect to it.
            let unused = SocketAddr::from(([127, 0, 0, 1], 0));
            self.relays.get(&(process, member)).map_or(unused, Relay::address)
        };
        let addresses: Vec<SocketAddr> = (0..members).map(address).collect();
        let number = if process < members { None } else { Some(process) };
        cluster_script(&addresses, number, &self.folder.join(format!("n{process}.log")))
    }

    /// Starts a process and waits until it reports where it listens.
    ///
    /// # Errors
    /// [`ProcessClusterError::Io`] if the program cannot be run, and [`ProcessClusterError::Start`] if the
    /// process ends, or logs for too long, without reporting its address. It is ended then and counts as not
    /// running.
    pub fn start_process(&self, process: usize) -> Result<(), ProcessClusterError> {
        let files = &self.files[process];
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--settings").arg(&files.script).env("BALANCER_CONFIG", &files.config);
        command.env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN").env_remove("BALANCER_ADMIN_ADDR");
        command.env_remove("TMPDIR").stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(ProcessClusterError::io("the program"))?;
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

    /// Sends a signal, by its option of `kill`.
    pub fn signal(&self, process: usize, signal: &str) {
        if let Some(process) = lock(&self.processes[process]).as_ref() {
            let _ = Command::new("kill").args([signal, &process.child.id().to_string()]).status();
        }
    }

    /// Kills a process (SIGKILL).
    pub fn kill(&self, process: usize) {
        let killed = lock(&self.processes[process]).take();
        if let Some(mut killed) = killed {
            self.guard.end(&mut killed.child);
        }
    }

    /// How many processes there are, spares among them.
    pub(super) fn len(&self) -> usize {
        self.files.len()
    }

    pub(super) fn name(&self, process: usize) -> &str {
        &self.files[process].name
    }

    /// The file of a process's configuration.
    pub fn configuration(&self, process: usize) -> &Path {
        &self.files[process].config
    }

    /// Where a process listens, if it runs.
    pub(super) fn addresses(&self, process: usize) -> Result<Addresses, ProcessClusterError> {
        let running = lock(&self.processes[process]);
        let addresses = running
            .as_ref()
            .and_then(|running| Some(Addresses { gateway: running.address.clone(), admin: running.admin? }));
        addresses.ok_or(ProcessClusterError::NotRunning)
    }

    /// Where a process listens for the others, once it has reported it.
    pub fn peer_address(&self, process: usize) -> Option<SocketAddr> {
        *lock(&self.peer_addresses[process])
    }

    /// Where the others reach a process that joins.
    pub fn relay_address(&self, process: usize) -> Option<SocketAddr> {
        self.relays.get(&(0, process)).map(Relay::address)
    }

    /// A gateway's connection to a process.
    ///
    /// # Errors
    /// [`ProcessClusterError::NotRunning`] if the process is stopped, and [`ProcessClusterError::Io`] if it
    /// cannot be connected to.
    pub fn gateway(&self, process: usize) -> Result<Gateway, ProcessClusterError> {
        let address = self.addresses(process)?.gateway;
        Gateway::connect(&address, ANSWER_TIMEOUT).map_err(ProcessClusterError::io("a gateway"))
    }

    /// CPU time that a process has used, in milliseconds.
    pub(super) fn cpu_ms(&self, process: usize) -> Option<u64> {
        let running = lock(&self.processes[process]);
        let stat = fs::read_to_string(format!("/proc/{}/stat", running.as_ref()?.child.id())).ok()?;
        // The name may contain anything; the last parenthesis ends it.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |field: usize| fields.get(field)?.parse::<u64>().ok();
        Some((ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?) * CLOCK_TICK_MS)
    }
}

/// One relay for each pair: of two processes the one with the lower number connects.
fn start_relays(
    peer_addresses: &[Arc<Mutex<Option<SocketAddr>>>],
) -> Result<BTreeMap<(usize, usize), Relay>, ProcessClusterError> {
    let mut relays = BTreeMap::new();
    for (to, address) in peer_addresses.iter().enumerate() {
        for from in 0..to {
            let relay = Relay::start(address.clone()).map_err(ProcessClusterError::io("a relay"))?;
            relays.insert((from, to), relay);
        }
    }
    Ok(relays)
}

/// Reads a process's log until it listens. What it logs later is read and dropped, so that it never blocks.
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
        let read = log.read_line(&mut line).map_err(ProcessClusterError::io("standard error"))?;
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

/// The value of a field in a line of the log.
fn value_of<'a>(key: &str, line: &'a str) -> Option<&'a str> {
    let (_, rest) = line.split_once(key)?;
    rest.split(['"', ' ', '\n']).next()
}
