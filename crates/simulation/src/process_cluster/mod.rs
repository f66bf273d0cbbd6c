//! Several real processes of the node, with relays between each pair, faults thrown between them by a seeded plan, and a checker
//! that knows nothing of how a node decides: it sees which version each process acted on, and when, by one clock.
//!
//! Each version bars one subject of its own and no other. A read about that subject is refused with the wish not to try elsewhere
//! where, and only where, the node acts on that version. So each answered probe says on which version a process acted at some
//! moment between its sending and its answer; of two versions the newer one must not be seen at one process before the older
//! one was seen for the last time at another, but for the stated time.

use crate::fakes::gateway::{Gateway, Verdict};
use crate::guard::Guard;
use gaugestand_fakes::kernel::AutoKernel;
use gaugestand_fakes::relay::{Relay, Way};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a version may be acted on without the word of a majority, in milliseconds.
pub const CONTRADICT_MS: u64 = 400;
/// Time between two probes of a process.
const PROBE: Duration = Duration::from_millis(15);
/// All processes have to act on the last version this long after the last fault.
const TOGETHER: Duration = Duration::from_secs(15);
/// Longest wait for a process to say where it listens.
const START: Duration = Duration::from_secs(20);
/// Longest wait for an answer of a process that is not stopped.
const ANSWER: Duration = Duration::from_secs(20);

/// What is done to the processes and between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Between two processes: from the first to the second, and back.
    Ways(usize, usize, Way, Way),
    /// Between one process and all others.
    Alone(usize, Way, Way),
    /// The connection between two ends.
    Close(usize, usize),
    /// It ends in the middle of what it next carries.
    Middle(usize, usize, usize),
    /// All links are well again.
    Heal,
    /// SIGKILL, and started again after so many milliseconds.
    Kill(usize, u64),
    /// SIGSTOP, and SIGCONT after so many milliseconds.
    Stop(usize, u64),
    /// A new version is proposed at this process.
    Propose(usize),
}

/// Faults by time, in milliseconds.
pub type Plan = Vec<(u64, Fault)>;

/// The plan of a seed: proposals all through, and faults between them.
pub fn plan(seed: u64, nodes: usize, ms: u64) -> Plan {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut plan: Plan = Vec::new();
    let ways = [Way::Open, Way::Held, Way::Lost, Way::Slow(Duration::from_millis(150))];
    let mut t = 300;
    while t < ms {
        plan.push((t, Fault::Propose(rng.usize(..nodes))));
        t += rng.u64(250..900);
    }
    let mut t = 1_000;
    while t + 500 < ms {
        let (a, b) = (rng.usize(..nodes), rng.usize(..nodes));
        let (there, back) = (ways[rng.usize(..4)], ways[rng.usize(..4)]);
        plan.push((
            t,
            match rng.u8(..8) {
                0 | 1 => Fault::Alone(a, there, back),
                2 if a != b => Fault::Ways(a, b, there, back),
                3 if a != b => Fault::Close(a, b),
                4 if a != b => Fault::Middle(a, b, rng.usize(..200)),
                5 => Fault::Kill(a, rng.u64(0..1_200)),
                6 => Fault::Stop(a, rng.u64(100..2_000)),
                _ => Fault::Heal,
            },
        ));
        t += rng.u64(200..1_200);
    }
    plan.sort_by_key(|p| p.0);
    plan
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Violation {
    /// Which.
    pub rule: &'static str,
    /// What was seen.
    pub seen: String,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Rules that were broken.
    pub violations: Vec<Violation>,
    /// Versions that proposals were told of.
    pub agreed: usize,
    /// Proposals that were turned down.
    pub refused: usize,
    /// Probes that showed a version.
    pub seen: usize,
    /// Probes that were refused for want of a lease.
    pub unleased: usize,
    /// Probes in all.
    pub probes: usize,
    /// Longest time for which two processes acted on versions that contradict each other.
    pub longest: Duration,
    /// From a proposal's answer to the first probe that showed its version, at each process, in order.
    pub effect: Vec<Duration>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = |share: f64| {
            let place = (self.effect.len() as f64 * share) as usize;
            self.effect.get(place.min(self.effect.len().saturating_sub(1))).map_or(0, |d| d.as_millis())
        };
        write!(
            f,
            "{} versions agreed, {} proposals turned down, {} probes ({} showed a version, {} had no lease), longest \
             contradiction {} us of {CONTRADICT_MS} ms, in effect {} ms after the answer (median), {} ms (99%)",
            self.agreed,
            self.refused,
            self.probes,
            self.seen,
            self.unleased,
            self.longest.as_micros(),
            at(0.5),
            at(0.99)
        )
    }
}

/// One process, with what is its own.
struct Process {
    child: Child,
    listen: String,
    admin: Option<SocketAddr>,
}

/// What a process is started with.
struct Place {
    name: String,
    config: PathBuf,
    script: PathBuf,
}

/// All of them. Whatever happens, no process outlives it.
pub struct Rig {
    /// For when this program ends without a word.
    guard: Guard,
    program: PathBuf,
    folder: PathBuf,
    places: Vec<Place>,
    processes: Vec<Mutex<Option<Process>>>,
    /// Held from the end of a process to its start: two faults may come to one at a time.
    restarts: Vec<Mutex<()>>,
    /// Where each listens for the others.
    fellows: Vec<Arc<Mutex<Option<SocketAddr>>>>,
    /// There is no fleet: each process is on its own.
    alone: bool,
    /// By the one who connects and the one who is connected to.
    relays: BTreeMap<(usize, usize), Relay>,
    _kernels: Vec<(TcpListener, AutoKernel)>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        for process in &self.processes {
            // A thread that panicked with it in hand has left it as it was.
            let mut process = process.lock().unwrap_or_else(|e| e.into_inner());
            if let Some(process) = process.as_mut() {
                self.guard.end(&mut process.child);
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn io_text(what: &str) -> impl Fn(std::io::Error) -> String + '_ {
    move |e| format!("{what}: {e}")
}

impl Rig {
    /// Starts so many processes of this program, with relays between them.
    pub fn start(program: &Path, nodes: usize, seed: u64) -> Result<Rig, String> {
        Rig::with(program, nodes, seed, |_, _| ())
    }

    /// The same, with changes to the configuration of each.
    pub fn with(
        program: &Path,
        nodes: usize,
        seed: u64,
        change: impl Fn(usize, &mut Value),
    ) -> Result<Rig, String> {
        Rig::made(program, (nodes, 0, false), seed, change)
    }

    /// The same with more processes prepared, in order, that are not members and not started: [`Rig::begin`] starts one.
    pub fn growing(program: &Path, nodes: usize, spares: usize, seed: u64) -> Result<Rig, String> {
        Rig::made(program, (nodes, spares, false), seed, |_, _| ())
    }

    /// Where the others reach a process that joins.
    pub fn reached_at(&self, me: usize) -> Option<SocketAddr> {
        self.relays.get(&(0, me)).map(Relay::address)
    }

    fn made(
        program: &Path,
        (began, spares, alone): (usize, usize, bool),
        seed: u64,
        change: impl Fn(usize, &mut Value),
    ) -> Result<Rig, String> {
        let (serial, nodes) = (std::process::id(), began + spares);
        let folder = std::env::temp_dir().join(format!("gaugestand-cluster-{serial}-{seed}-{nodes}"));
        fs::create_dir_all(&folder).map_err(io_text("a folder"))?;
        let guard = Guard::over(&folder).map_err(io_text("a guard over the processes"))?;
        let fellows: Vec<_> = (0..nodes).map(|_| Arc::new(Mutex::new(None))).collect();
        let mut relays = BTreeMap::new();
        for (b, target) in fellows.iter().enumerate() {
            for a in 0..b {
                relays.insert((a, b), Relay::to(target.clone()).map_err(io_text("a relay"))?);
            }
        }
        let mut rig = Rig {
            guard,
            program: program.to_path_buf(),
            folder,
            places: Vec::new(),
            processes: Vec::new(),
            restarts: (0..nodes).map(|_| Mutex::new(())).collect(),
            fellows,
            alone,
            relays,
            _kernels: Vec::new(),
        };
        for me in 0..nodes {
            let kernel = TcpListener::bind("127.0.0.1:0").map_err(io_text("a kernel"))?;
            let name = format!("n{me}");
            let at = kernel.local_addr().map_err(io_text("a kernel"))?;
            let (config, script) =
                (rig.folder.join(format!("{name}.json")), rig.folder.join(format!("{name}.star")));
            let mut text = configuration(&name, at);
            change(me, &mut text);
            fs::write(&config, text.to_string()).map_err(io_text("a configuration"))?;
            fs::write(&script, rig.script(me, began)).map_err(io_text("a script"))?;
            let served = AutoKernel::serve(&kernel);
            rig._kernels.push((kernel, served));
            rig.places.push(Place { name, config, script });
            rig.processes.push(Mutex::new(None));
        }
        (0..began).try_for_each(|me| rig.begin(me))?;
        Ok(rig)
    }

    /// CPU that a process has used, in milliseconds; of the system's ticks, ten each.
    fn cpu_ms(&self, me: usize) -> Option<u64> {
        let process = self.processes[me].lock().unwrap_or_else(|e| e.into_inner());
        let stat = fs::read_to_string(format!("/proc/{}/stat", process.as_ref()?.child.id())).ok()?;
        // After the name, which may hold anything: fields 14 and 15 are the twelfth and the thirteenth.
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        Some((fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?) * 10)
    }

    fn script(&self, me: usize, nodes: usize) -> String {
        if self.alone {
            return String::new();
        }
        let member = |other: usize| {
            // Itself, and who connects to it, it does not connect to.
            let nobody = SocketAddr::from(([127, 0, 0, 1], 0));
            let at = self.relays.get(&(me, other)).map_or(nobody, Relay::address);
            format!("\"n{other}={at}\"")
        };
        let members: Vec<String> = (0..nodes).map(member).collect();
        let path = self.folder.join(format!("n{me}.log"));
        let number = if me < nodes { String::new() } else { format!("number = {me}, ") };
        format!(
            "fleet(name = \"rig\", members = [{}], listen = \"127.0.0.1:0\", {number}path = \"{}\", contradict_ms = {CONTRADICT_MS}, \
             lists = \"barred\")\n",
            members.join(", "),
            path.display()
        )
    }

    /// Starts a process and waits until it says where it listens.
    pub fn begin(&self, me: usize) -> Result<(), String> {
        let place = &self.places[me];
        let mut command = Command::new(&self.program);
        command.arg("serve").arg("--settings").arg(&place.script).env("BALANCER_CONFIG", &place.config);
        command.env_remove("BALANCER_NAME").env_remove("BALANCER_LISTEN").env_remove("BALANCER_ADMIN_ADDR");
        command.env_remove("TMPDIR").stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(io_text("the program"))?;
        self.guard.watch(&child);
        let said = child.stderr.take().ok_or("no standard error")?;
        let mut process = Process { child, listen: String::new(), admin: None };
        let found = await_addresses(said, &mut process, &self.fellows[me]);
        if let Err(why) = found {
            self.guard.end(&mut process.child);
            return Err(format!("{}: {why}", place.name));
        }
        *self.processes[me].lock().unwrap_or_else(|e| e.into_inner()) = Some(process);
        Ok(())
    }

    /// Sends a signal to a process.
    pub fn signal(&self, me: usize, name: &str) {
        let process = self.processes[me].lock().unwrap_or_else(|e| e.into_inner());
        if let Some(process) = process.as_ref() {
            let _ = Command::new("kill").args([name, &process.child.id().to_string()]).status();
        }
    }

    /// Kills a process outright.
    pub fn kill(&self, me: usize) {
        let taken = self.processes[me].lock().unwrap_or_else(|e| e.into_inner()).take();
        if let Some(mut process) = taken {
            self.guard.end(&mut process.child);
        }
    }

    /// Where a process listens for gateways and for operators, if it is there.
    fn addresses(&self, me: usize) -> Option<(String, SocketAddr)> {
        let process = self.processes[me].lock().unwrap_or_else(|e| e.into_inner());
        process.as_ref().and_then(|p| Some((p.listen.clone(), p.admin?)))
    }

    /// Where a process listens for its fellows, once it has said so.
    pub fn fellows(&self, me: usize) -> Option<SocketAddr> {
        *self.fellows[me].lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The file of a process's configuration.
    pub fn configuration(&self, me: usize) -> &Path {
        &self.places[me].config
    }

    /// A gateway's connection to a process.
    pub fn gateway(&self, me: usize) -> Result<Gateway, String> {
        let (listen, _) = self.addresses(me).ok_or("it is not there")?;
        Gateway::connect(&listen, ANSWER).map_err(io_text("a gateway"))
    }

    /// What a process answers an operator's call about the fleet: what follows `done`, or what follows `error`.
    pub fn ask(&self, me: usize, words: &str) -> Result<String, String> {
        let (_, admin) = self.addresses(me).ok_or("it is not there")?;
        let answer = call(admin, &format!("FLEET {words}\n")).map_err(io_text("a call"))?;
        match answer.strip_prefix("done ") {
            Some(done) => Ok(done.trim_end().to_string()),
            None => Err(answer.trim_end().to_string()),
        }
    }

    /// Proposes a content until it is agreed or turned down for good; its number.
    pub fn agree(&self, me: usize, content: &Value) -> Result<u64, String> {
        let began = Instant::now();
        loop {
            match self.ask(me, &format!("PROPOSE - - {content}")) {
                Ok(said) => {
                    let said: Value = serde_json::from_str(&said).map_err(|e| e.to_string())?;
                    return said["version"].as_u64().ok_or("no number".into());
                }
                Err(why) if began.elapsed() > TOGETHER || why.contains("unsound") => return Err(why),
                // Nobody leads yet, or the one before it is not in effect yet.
                Err(_) => thread::sleep(Duration::from_millis(50)),
            }
        }
    }

    /// Waits until one of a process's figures is this.
    pub fn await_figure(&self, me: usize, name: &str, value: u64) -> Result<(), String> {
        let (_, admin) = self.addresses(me).ok_or("it is not there")?;
        let (began, line) = (Instant::now(), format!("balancer.{name}:{value}|c\n"));
        loop {
            let said = call(admin, "INFO\n").map_err(io_text("a call"))?;
            if said.contains(&line) {
                return Ok(());
            }
            if began.elapsed() > TOGETHER {
                return Err(said);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until these processes act on a version.
    pub fn await_effect(&self, processes: &[usize], version: u64) -> Result<(), String> {
        let began = Instant::now();
        let acts = |me: &usize| {
            let status = self.ask(*me, "STATUS").ok()?;
            let status: Value = serde_json::from_str(&status).ok()?;
            Some(status["acts"] == true && status["in_effect"].as_u64() == Some(version))
        };
        while !processes.iter().all(|me| acts(me) == Some(true)) {
            if began.elapsed() > TOGETHER {
                let views: Vec<_> = processes.iter().map(|me| self.ask(*me, "STATUS")).collect();
                return Err(format!("version {version} is not in effect: {views:?}"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn set(&self, a: usize, b: usize, there: Way, back: Way) {
        let (low, high) = (a.min(b), a.max(b));
        if let Some(relay) = self.relays.get(&(low, high)) {
            if a < b { relay.set(there, back) } else { relay.set(back, there) }
        }
    }

    /// Throws a fault between processes.
    pub fn throw(&self, fault: Fault) {
        match fault {
            Fault::Ways(a, b, there, back) => self.set(a, b, there, back),
            Fault::Alone(a, there, back) => {
                (0..self.places.len()).filter(|b| *b != a).for_each(|b| self.set(a, b, there, back));
            }
            Fault::Close(a, b) => self.relay(a, b, |r| r.close(false)),
            Fault::Middle(a, b, bytes) => self.relay(a, b, |r| r.close_in_the_middle(bytes)),
            Fault::Heal => self.relays.values().for_each(Relay::heal),
            // Whoever carries the plan out does the rest in its own time.
            Fault::Kill(..) | Fault::Stop(..) | Fault::Propose(_) => {}
        }
    }

    fn relay(&self, a: usize, b: usize, what: impl FnOnce(&Relay)) {
        if let Some(relay) = self.relays.get(&(a.min(b), a.max(b))) {
            what(relay);
        }
    }
}

/// Reads what a process says until it listens; what it says later is read and dropped, so that it is never held up.
fn await_addresses(
    said: impl Read + Send + 'static,
    process: &mut Process,
    fellows: &Mutex<Option<SocketAddr>>,
) -> Result<(), String> {
    let (began, mut said, mut heard) = (Instant::now(), BufReader::new(said), String::new());
    let word = |text: &str| text.split(['"', ' ', '\n']).next().unwrap_or_default().to_string();
    while process.listen.is_empty() {
        let mut line = String::new();
        if said.read_line(&mut line).map_err(io_text("standard error"))? == 0 || began.elapsed() > START {
            return Err(format!("it does not listen: {heard}"));
        }
        let after = |what: &str| line.split_once(what).map(|(_, rest)| word(rest));
        if let Some(at) = after("fellows=").and_then(|a| a.parse().ok()) {
            *fellows.lock().unwrap_or_else(|e| e.into_inner()) = Some(at);
        } else if let Some(at) = after("admin=").and_then(|a| a.parse().ok()) {
            process.admin = Some(at);
        } else if let Some(at) = after("address=") {
            process.listen = at;
        }
        heard += &line;
    }
    thread::spawn(move || std::io::copy(&mut said, &mut std::io::sink()));
    Ok(())
}

/// A configuration with one safe class and one keyed one.
fn configuration(name: &str, kernel: SocketAddr) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "goal-time": 3_000_000_000u64, "hard-limit": 6_000_000_000u64,
            "dedup-window": 9_000_000_000u64, "worth": 1.0, "late-worth": 0.0})
    };
    json!({"name": name, "listen": "127.0.0.1:0", "admin_addr": "127.0.0.1:0", "kernel": kernel.to_string(),
        "seed": "8c1f30d27a5be964", "stop_ms": 4000, "limits": {"memory_mb": 192, "sockets": 128},
        "settings": {"classes": [class("quote", "pure"), class("booking", "token")], "fleet-size": 2, "worth-by": "work",
            "over-share-worth": 0.1, "realms": [], "tick": 2_000_000,
            "caps": {"retry-after": true, "max-retry-after": 1_000_000_000u64},
            "extra": {"below": "none", "callers": 2, "calls-out": 0.0, "class-calls": [false, false],
                "class-skip-worth": [0.0, 0.0], "cold": false, "cores": 4, "gauges": ["cpu_busy", "runnable"],
                "halt": "discard", "heeded": 1_000_000_000, "heap-kb": 70000.0, "key-kb": 1.0, "list-follows": true,
                "run-factor": 8.0, "signal": "allowance", "caller-idle": 30_000_000_000u64},
            "rules": {"grace-to-answer": 80_000_000, "cold-share": 0.22, "cold": 18_000_000_000u64,
                "drain-grace": 300_000_000, "fall": 2_000_000_000, "fall-multiple": 5.0}}})
}

/// The subject that the version of this proposal bars.
pub fn subject(proposal: u64) -> u64 {
    0x1000_0000_0000_0000 + proposal
}

/// The content of the version of this proposal.
pub fn bars(proposal: u64) -> Value {
    json!({"settings": null, "lists": {"one": {"barred": [format!("{:016x}", subject(proposal))]}}})
}

/// What an operator's call is answered.
fn call(at: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&at, ANSWER)?;
    stream.set_read_timeout(Some(ANSWER))?;
    stream.write_all(line.as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// A probe that showed on which proposal's version a process acted, at some moment between the two.
#[derive(Clone, Copy, Debug)]
struct Seen {
    process: usize,
    proposal: u64,
    from: Instant,
    to: Instant,
}

/// What the threads of a run write down.
#[derive(Default)]
struct Notes {
    seen: Vec<Seen>,
    probes: usize,
    unleased: usize,
    /// By proposal: the version that it became, and when that was told.
    agreed: BTreeMap<u64, (u64, Instant)>,
    refused: usize,
    proposals: u64,
    violations: Vec<Violation>,
}

fn noted<T>(notes: &Mutex<Notes>, note: impl FnOnce(&mut Notes) -> T) -> T {
    note(&mut notes.lock().unwrap_or_else(|e| e.into_inner()))
}

/// Asks a process again and again about the subjects of the latest proposals.
fn probe(rig: &Rig, me: usize, notes: &Mutex<Notes>, over: &Mutex<bool>) {
    let (mut gateway, mut serial) = (None::<(String, Gateway)>, 0u64);
    while !*over.lock().unwrap_or_else(|e| e.into_inner()) {
        thread::sleep(PROBE);
        let Some((listen, _)) = rig.addresses(me) else { continue };
        if gateway.as_ref().is_none_or(|g| g.0 != listen) {
            gateway = Gateway::connect(&listen, ANSWER).ok().map(|g| (listen.clone(), g));
        }
        let Some((_, open)) = &mut gateway else { continue };
        let last = noted(notes, |n| n.proposals);
        for proposal in (1..=last).rev().take(4) {
            serial += 1;
            let txn = ((me as u64 + 1) << 48) + serial;
            let from = Instant::now();
            let Ok(verdict) = open.read_about(txn, subject(proposal)) else {
                gateway = None;
                break;
            };
            let to = Instant::now();
            noted(notes, |n| {
                n.probes += 1;
                match verdict {
                    Verdict::Barred => n.seen.push(Seen { process: me, proposal, from, to }),
                    Verdict::Refused => n.unleased += 1,
                    Verdict::Served(_) | Verdict::Failed(_) => {}
                }
            });
        }
    }
}

/// Proposes the next version at a process, and notes what it is told.
fn propose(rig: &Rig, me: usize, notes: &Mutex<Notes>) {
    let Some((_, admin)) = rig.addresses(me) else { return };
    let proposal = noted(notes, |n| {
        n.proposals += 1;
        n.proposals
    });
    let content = bars(proposal);
    let answer = call(admin, &format!("FLEET PROPOSE - - {content}\n")).unwrap_or_default();
    let version = answer.strip_prefix("done ").and_then(|a| serde_json::from_str::<Value>(a).ok());
    let version = version.and_then(|v| v["version"].as_u64());
    noted(notes, |n| match version {
        Some(version) => n.agreed.extend([(proposal, (version, Instant::now()))]),
        None => n.refused += 1,
    });
}

/// Plays a plan on so many processes of a program.
pub fn play(program: &Path, nodes: usize, seed: u64, plan: &Plan, most: Duration) -> Result<Outcome, String> {
    let rig = Rig::start(program, nodes, seed)?;
    let (notes, over) = (Mutex::new(Notes::default()), Mutex::new(false));
    thread::scope(|scope| {
        for me in 0..nodes {
            let (rig, notes, over) = (&rig, &notes, &over);
            scope.spawn(move || probe(rig, me, notes, over));
        }
        let began = Instant::now();
        for (at, fault) in plan {
            thread::sleep(Duration::from_millis(*at).saturating_sub(began.elapsed()));
            rig.throw(*fault);
            let (rig, notes) = (&rig, &notes);
            match *fault {
                Fault::Kill(me, after) => drop(scope.spawn(move || {
                    let _alone = rig.restarts[me].lock().unwrap_or_else(|e| e.into_inner());
                    rig.kill(me);
                    thread::sleep(Duration::from_millis(after));
                    if let Err(seen) = rig.begin(me) {
                        noted(notes, |n| n.violations.push(Violation { rule: "starts again", seen }));
                    }
                })),
                Fault::Stop(me, after) => drop(scope.spawn(move || {
                    rig.signal(me, "-STOP");
                    thread::sleep(Duration::from_millis(after));
                    rig.signal(me, "-CONT");
                })),
                Fault::Propose(me) => drop(scope.spawn(move || propose(rig, me, notes))),
                _ => {}
            }
        }
        rig.throw(Fault::Heal);
        // Whoever was stopped or killed last is back by then.
        thread::sleep(Duration::from_millis(2_200));
        if let Err(seen) = come_together(&rig, &notes) {
            noted(&notes, |n| n.violations.push(Violation { rule: "comes together", seen }));
        }
        *over.lock().unwrap_or_else(|e| e.into_inner()) = true;
    });
    let notes = notes.into_inner().unwrap_or_else(|e| e.into_inner());
    Ok(judge(&rig, notes, most))
}

/// Proposes one more version until it is agreed, and waits until all processes act on one, and the same.
fn come_together(rig: &Rig, notes: &Mutex<Notes>) -> Result<(), String> {
    let (began, nodes) = (Instant::now(), rig.places.len());
    let agreed_before = noted(notes, |n| n.agreed.len());
    let mut last = String::new();
    while began.elapsed() < TOGETHER {
        if noted(notes, |n| n.agreed.len()) == agreed_before {
            propose(rig, 0, notes);
        }
        let views: Vec<Option<Value>> = (0..nodes)
            .map(|me| {
                let answer = call(rig.addresses(me)?.1, "FLEET STATUS\n").ok()?;
                serde_json::from_str(answer.strip_prefix("done ")?).ok()
            })
            .collect();
        let acting = |v: &Option<Value>| {
            let v = v.as_ref()?;
            v["in_effect"].as_u64().filter(|e| v["acts"] == true && Some(*e) == v["last"].as_u64())
        };
        let versions: Vec<Option<u64>> = views.iter().map(acting).collect();
        let one = versions.first().copied().flatten().filter(|v| *v > 0);
        if one.is_some()
            && versions.iter().all(|v| *v == one)
            && noted(notes, |n| n.agreed.len()) > agreed_before
        {
            return Ok(());
        }
        last = format!("{views:?}");
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("after {} s: {last}", TOGETHER.as_secs()))
}

/// What a fleet costs that nothing is asked of: CPU in ms a second, of each process, and the most of them; what a read costs in us
/// of CPU at a process of it, over that at one on its own.
pub fn rest(program: &Path, nodes: usize, seconds: u64, reads: u64) -> Result<(f64, f64, f64, f64), String> {
    let rig = Rig::start(program, nodes, 9_000_000)?;
    let version = rig.agree(0, &bars(1))?;
    rig.await_effect(&(0..nodes).collect::<Vec<_>>(), version)?;
    let used = || (0..nodes).map(|me| rig.cpu_ms(me).unwrap_or(0)).collect::<Vec<_>>();
    let before = used();
    thread::sleep(Duration::from_secs(seconds));
    let each: Vec<f64> =
        used().iter().zip(&before).map(|(after, before)| (after - before) as f64 / seconds as f64).collect();
    let most = each.iter().copied().fold(0.0, f64::max);
    let alone = Rig::made(program, (1, 0, true), 9_000_001, |_, _| ())?;
    // In turns, so that what else the machine does falls on both.
    let (mut with, mut without) = (0, 0);
    for turn in 0..10 {
        for (rig, sum) in [(&rig, &mut with), (&alone, &mut without)] {
            let mut gateway = rig.gateway(0)?;
            let before = rig.cpu_ms(0).ok_or("it is not there")?;
            for n in 0..reads / 10 {
                gateway.read(1 + turn * reads + n).map_err(io_text("a read"))?;
            }
            *sum += rig.cpu_ms(0).ok_or("it is not there")? - before;
        }
    }
    let us = |ms: u64| ms as f64 * 1_000.0 / reads as f64;
    Ok((each.iter().sum::<f64>() / nodes as f64, most, us(with), us(without)))
}

/// Holds what was seen against the rules.
fn judge(rig: &Rig, notes: Notes, most: Duration) -> Outcome {
    let mut out = Outcome { violations: notes.violations, refused: notes.refused, ..Outcome::default() };
    (out.agreed, out.seen) = (notes.agreed.len(), notes.seen.len());
    (out.probes, out.unleased) = (notes.probes, notes.unleased);
    // What each process keeps under a number, and which proposal that was.
    let mut number_of: BTreeMap<u64, u64> = BTreeMap::new();
    let mut contents: BTreeMap<u64, String> = BTreeMap::new();
    for me in 0..rig.places.len() {
        for version in 1.. {
            let Some((_, admin)) = rig.addresses(me) else { break };
            let Ok(answer) = call(admin, &format!("FLEET SHOW {version}\n")) else { break };
            let Some(content) = answer.strip_prefix("done ") else {
                if contents.contains_key(&version) || version == 1 {
                    continue;
                }
                break;
            };
            let known = contents.entry(version).or_insert_with(|| content.to_string());
            if known != content {
                let seen = format!("version {version} is {known} and at {} {content}", rig.places[me].name);
                out.violations.push(Violation { rule: "one content a number", seen });
            }
            let proposal = (1..=notes.proposals).find(|p| content.contains(&format!("{:016x}", subject(*p))));
            number_of.extend(proposal.map(|p| (p, version)));
            if version > 1_000 {
                break;
            }
        }
    }
    for (proposal, (version, _)) in &notes.agreed {
        // The oldest may have been forgotten.
        if contents.contains_key(version) && number_of.get(proposal) != Some(version) {
            let seen = format!("proposal {proposal} was told that it is version {version}");
            out.violations.push(Violation { rule: "what was agreed stays", seen });
        }
    }
    let mut seen: Vec<(u64, Seen)> =
        notes.seen.iter().filter_map(|s| Some((*number_of.get(&s.proposal)?, *s))).collect();
    seen.sort_by_key(|s| s.0);
    for (older, old) in &seen {
        for (newer, new) in seen.iter().filter(|(version, s)| version > older && s.process != old.process) {
            let contradiction = old.from.saturating_duration_since(new.to);
            if contradiction > most && contradiction > out.longest {
                let (a, b) = (&rig.places[old.process].name, &rig.places[new.process].name);
                let seen = format!("{a} acted on {older} {contradiction:?} after {b} had acted on {newer}");
                out.violations.push(Violation { rule: "no contradiction", seen });
            }
            out.longest = out.longest.max(contradiction);
        }
    }
    for (proposal, (_, told)) in &notes.agreed {
        for me in 0..rig.places.len() {
            let first =
                notes.seen.iter().filter(|s| s.proposal == *proposal && s.process == me).map(|s| s.to).min();
            out.effect.extend(first.map(|first| first.saturating_duration_since(*told)));
        }
    }
    out.effect.sort();
    out
}
