//! Stand-ins for the second review: gateways (FastCGI), the kernel, the store, and the start and end of the
//! project's own processes. Written from the pages of the protocol; the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Ends the program with status 2: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end_children();
    std::process::exit(2)
}

// ---- Record ----------------------------------------------------------------------------------------------

/// `record.txt`: what was sent, answered and run, each line with its time in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:>7} {text}", self.began.elapsed().as_millis());
    }
}

// ---- Processes -------------------------------------------------------------------------------------------

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this program started and that has not been waited for.
pub fn signal(pid: u32, option: &str) {
    let _ = Command::new("kill").args([option, &pid.to_string()]).status();
}

pub fn end_children() {
    for pid in lock(&CHILDREN).drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).stderr(Stdio::null()).status();
    }
}

/// Ends the program with status 2 and all its processes after this time.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        cannot_run("it took too long");
    });
}

pub fn temporary_folder() -> PathBuf {
    let base = std::env::var_os("TMPDIR").map_or_else(|| PathBuf::from("/tmp"), PathBuf::from);
    let folder = base.join(format!("gaugestand-review-{}-{}", std::process::id(), unix_ms()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        cannot_run(&format!("temporary folder: {error}"));
    }
    folder
}

pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no free port"));
    listener.local_addr().map_or(0, |address| address.port())
}

/// A process of the booking node, started with the `run` line of the deploy file.
pub struct Node {
    pub child: Child,
    pub address: String,
    pub admin: String,
}

impl Node {
    /// Starts the program from the root of the repository.
    pub fn start(root: &Path, folder: &Path, number: u32, config: &str, listen: u16, script: Option<&Path>) -> Self {
        let path = folder.join(format!("config-{number}.json"));
        if std::fs::write(&path, config).is_err() {
            cannot_run("writing the configuration");
        }
        let shared = folder.join("shared");
        let _ = std::fs::create_dir_all(&shared);
        let log = File::create(folder.join(format!("log-{number}.txt")));
        let log = log.unwrap_or_else(|_| cannot_run("creating the log"));
        let run = run_line(root);
        let run = match script {
            Some(script) => format!("{run} --settings {}", script.display()),
            None => run,
        };
        let admin = free_port();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).current_dir(root);
        command.env("BALANCER_CONFIG", &path).env("BALANCER_NAME", "n3").env("TMPDIR", &shared);
        command.env("BALANCER_LISTEN", format!("127.0.0.1:{listen}"));
        command.env("BALANCER_ADMIN_ADDR", format!("127.0.0.1:{admin}"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().unwrap_or_else(|_| cannot_run("starting the program"));
        lock(&CHILDREN).push(child.id());
        Node { child, address: format!("127.0.0.1:{listen}"), admin: format!("127.0.0.1:{admin}") }
    }

    pub fn signal(&self, option: &str) {
        signal(self.child.id(), option);
    }

    pub fn has_exited(&mut self) -> bool {
        let exited = matches!(self.child.try_wait(), Ok(Some(_)));
        if exited {
            let id = self.child.id();
            lock(&CHILDREN).retain(|pid| *pid != id);
        }
        exited
    }

    /// Waits for the exit; false if it did not come in time.
    pub fn wait_exit(&mut self, ms: u64) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(ms) {
            if self.has_exited() {
                return true;
            }
            sleep_ms(5);
        }
        self.has_exited()
    }

    /// One call at the second address; none if there was no answer within a second.
    pub fn call(&self, line: &str) -> Option<String> {
        let mut stream = TcpStream::connect(&self.admin).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(format!("{line}\n").as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        Some(answer)
    }

    /// Waits until `PING` says that this process takes clients.
    pub fn wait_ready(&mut self) {
        for _ in 0..600 {
            if self.call("PING").is_some_and(|answer| answer.starts_with("done")) {
                return;
            }
            if self.has_exited() {
                cannot_run("the program exited at its start");
            }
            sleep_ms(25);
        }
        cannot_run("the program was not ready within 15 s");
    }
}

/// The value of `run` in the deploy file.
fn run_line(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    match line.and_then(|line| line.split_once('"')) {
        Some((run, _)) => run.to_string(),
        None => cannot_run("deploy/balancer.toml names no `run`"),
    }
}

// ---- Configuration ---------------------------------------------------------------------------------------

/// One class of the settings; times in milliseconds.
pub struct Class {
    pub name: &'static str,
    pub effect: &'static str,
    pub aim: u64,
    pub deadline: u64,
    pub window: u64,
    pub calls: bool,
}

pub struct Configuration {
    pub kernel: u16,
    pub store: Option<u16>,
    pub members: u16,
    pub stop_ms: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub cores: u64,
    /// Memory that the settings book for a remembered key.
    pub key_kb: f64,
    pub classes: Vec<Class>,
}

impl Configuration {
    /// A small node: three classes with the times of the brief.
    pub fn small(kernel: u16, store: Option<u16>, members: u16) -> Self {
        let class = |name, effect, aim, window, calls| Class { name, effect, aim, deadline: 9_700, window, calls };
        Configuration {
            kernel,
            store,
            members,
            stop_ms: 3_200,
            memory_mb: 192,
            sockets: 512,
            cores: 6,
            key_kb: 112.67,
            classes: vec![
                class("timetable", "pure", 3_700, 5_000, store.is_some()),
                class("fare-quote", "pure", 3_700, 5_000, store.is_some()),
                class("booking", "token", 2_900, 29_220, store.is_some()),
            ],
        }
    }

    pub fn json(&self) -> String {
        let ns = |ms: u64| ms * 1_000_000;
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|class| {
                format!(
                    r#"{{"name":"{}","effect":"{}","goal-time":{},"hard-limit":{},"dedup-window":{},"worth":1.0,"late-worth":0.0}}"#,
                    class.name, class.effect, ns(class.aim), ns(class.deadline), ns(class.window)
                )
            })
            .collect();
        let calls: Vec<String> = self.classes.iter().map(|class| class.calls.to_string()).collect();
        let skips: Vec<&str> = self.classes.iter().map(|_| "0.0").collect();
        let store = self.store.map_or(String::new(), |port| format!(r#""store":"127.0.0.1:{port}","#));
        let below = if self.store.is_some() { "tier" } else { "silent" };
        format!(
            r#"{{"name":"n3","listen":"127.0.0.1:1","kernel":"127.0.0.1:{}","members":"127.0.0.1:{}",{store}"seed":"8c1f30d27a5be964","stop_ms":{},"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"settings":{{"classes":[{}],"fleet-size":11,"worth-by":"work","over-share-worth":0.1,"realms":[],"tick":2000000,"caps":{{"retry-after":true,"max-retry-after":1000000000}},"extra":{{"below":"{below}","callers":3,"calls-out":0.0,"class-calls":[{}],"class-skip-worth":[{}],"cold":false,"cores":{},"dep-window":5000000000,"fresh-for":0,"full-checks":true,"gauges":["cpu_busy","runnable","mem_used","sockets"],"halt":"discard","heeded":1000000000,"heap-kb":70698.0,"key-kb":{:.2},"list-follows":true,"run-factor":8.0,"signal":"allowance","stays-for":200000000,"caller-idle":30000000000}},"rules":{{"grace-to-answer":80000000,"cold-share":0.22,"cold":18000000000,"drain-grace":1800000000,"fall":2000000000,"fall-multiple":5.0}}}}}}"#,
            self.kernel,
            self.members,
            self.stop_ms,
            self.memory_mb,
            self.sockets,
            classes.join(","),
            calls.join(","),
            skips.join(","),
            self.cores,
            self.key_kb,
        )
    }
}

/// A membership service that reads the reports.
pub fn membership() -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no UDP port"));
    let port = socket.local_addr().map_or(0, |address| address.port());
    thread::spawn(move || {
        let mut buffer = [0; 256];
        while socket.recv(&mut buffer).is_ok() {}
    });
    port
}

// ---- Texts -----------------------------------------------------------------------------------------------

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = BASE64[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

pub fn decode64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut bits = 0u32;
    let mut count = 0;
    for digit in text.bytes().filter_map(|byte| BASE64.iter().position(|known| *known == byte)) {
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}

/// The value of a key in one line of JSON without nesting; strings of ASCII without escapes, or numbers.
pub fn field(line: &str, key: &str) -> Option<String> {
    let rest = line.split_once(&format!("\"{key}\":"))?.1;
    match rest.strip_prefix('"') {
        Some(text) => Some(text.split_once('"')?.0.to_string()),
        None => Some(rest.chars().take_while(|c| !",}".contains(*c)).collect()),
    }
}

/// A number in the plan that a body carries, such as `work=300`.
fn plan(body: &[u8], key: &str) -> u64 {
    let text = String::from_utf8_lossy(body);
    let prefix = format!("{key}=");
    let value = text.split(' ').find_map(|word| word.strip_prefix(&prefix).map(str::to_string));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

// ---- The kernel ------------------------------------------------------------------------------------------

/// What the machine knows of a request that gateways have written to the booking node.
#[derive(Clone)]
struct Known {
    class: String,
    body: Vec<u8>,
    key: Option<String>,
    is_over: bool,
}

/// One run that the kernel began.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub id: String,
    pub key: Option<String>,
    pub began_ms: u64,
    pub address: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum RunPhase {
    Working,
    AtCall,
    Over,
}

struct Run {
    phase: RunPhase,
    stopped: bool,
    reply: Option<Vec<u8>>,
    address: usize,
}

#[derive(Default)]
struct AddressState {
    notices: Vec<String>,
    link: Option<TcpStream>,
    link_number: u64,
}

#[derive(Default)]
struct KernelState {
    known: HashMap<String, Known>,
    runs: HashMap<String, Run>,
    addresses: Vec<AddressState>,
    records: Vec<RunRecord>,
    results: HashMap<Vec<u8>, String>,
    /// Keys of faults that the kernel saw: a changed body or class, or a reply that was changed.
    faults: Vec<String>,
    check_ms: u64,
    result_bytes: usize,
    is_quiet: bool,
    serial: u64,
}

/// The kernel of one machine, with one or more addresses. The body of a request states what its run does:
/// `work=MS` on the cores, then `calls=N` calls with `work=MS` after each.
#[derive(Clone)]
pub struct Kernel {
    state: Arc<Mutex<KernelState>>,
    changed: Arc<Condvar>,
    record: Record,
}

impl Kernel {
    pub fn new(record: &Record) -> Self {
        let state = KernelState { check_ms: 20, ..KernelState::default() };
        Kernel { state: Arc::new(Mutex::new(state)), changed: Arc::default(), record: record.clone() }
    }

    /// Sets how long the work of a deep health check takes.
    pub fn set_check_ms(&self, ms: u64) {
        lock(&self.state).check_ms = ms;
    }

    /// Whether requests that the kernel does not know are left out of the record.
    pub fn set_quiet(&self, is_quiet: bool) {
        lock(&self.state).is_quiet = is_quiet;
    }

    /// Sets the size up to which results are filled.
    pub fn set_result_bytes(&self, bytes: usize) {
        lock(&self.state).result_bytes = bytes;
    }

    /// Listens at one more address; returns its port.
    pub fn listen(&self) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port for the kernel"));
        let port = listener.local_addr().map_or(0, |address| address.port());
        let address = {
            let mut state = lock(&self.state);
            state.addresses.push(AddressState::default());
            state.addresses.len() - 1
        };
        let kernel = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let kernel = kernel.clone();
                thread::spawn(move || kernel.serve(stream, address));
            }
        });
        port
    }

    /// Breaks the link at an address.
    pub fn cut(&self, address: usize) {
        if let Some(link) = lock(&self.state).addresses[address].link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
    }

    pub fn register(&self, id: &str, class: &str, key: Option<&str>, body: &[u8]) {
        let known = Known { class: class.into(), body: body.into(), key: key.map(str::to_string), is_over: false };
        lock(&self.state).known.insert(id.into(), known);
    }

    /// The request was answered, or its gateway no longer waits for it.
    pub fn over(&self, id: &str) {
        let mut state = lock(&self.state);
        if let Some(known) = state.known.get_mut(id) {
            known.is_over = true;
        }
        self.changed.notify_all();
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        lock(&self.state).records.clone()
    }

    pub fn faults(&self) -> Vec<String> {
        lock(&self.state).faults.clone()
    }

    /// The request whose run made this result.
    pub fn maker_of(&self, result: &[u8]) -> Option<String> {
        lock(&self.state).results.get(result).cloned()
    }

    fn serve(&self, stream: TcpStream, address: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut lines = BufReader::new(copy);
        let mut line = String::new();
        let mut link_number = 0;
        while matches!(lines.read_line(&mut line), Ok(read) if read > 0) {
            let event = field(&line, "event").unwrap_or_default();
            let id = field(&line, "handle").unwrap_or_default();
            if event == "OPEN" {
                link_number = self.open(&line, &stream, address);
            } else if lock(&self.state).addresses[address].link_number != link_number || link_number == 0 {
                return;
            }
            match event.as_str() {
                "OPEN" => {}
                "SCHED" => self.schedule(&line, id, address),
                "PREEMPT" => {
                    if let Some(run) = lock(&self.state).runs.get_mut(&id) {
                        run.stopped = true;
                    }
                    self.changed.notify_all();
                }
                "IODONE" => self.reply(&line, &id),
                "SYSINFO" => {
                    let ticket = field(&line, "ticket").unwrap_or_default();
                    let mut state = lock(&self.state);
                    let working = state.runs.values().filter(|run| run.phase == RunPhase::Working).count();
                    let busy = (working as f64 / 6.0).min(1.0);
                    let info = format!(r#"{{"event":"INFO","ticket":"{ticket}","figures":[{busy:.2},{working},0.1,9]}}"#);
                    send(&mut state.addresses[address], &info);
                }
                "POST" => {
                    let ticket = field(&line, "ticket").unwrap_or_default();
                    let kernel = self.clone();
                    thread::spawn(move || {
                        let check_ms = lock(&kernel.state).check_ms;
                        sleep_ms(check_ms);
                        let posted = format!(r#"{{"event":"POSTED","ticket":"{ticket}","fate":"good"}}"#);
                        send(&mut lock(&kernel.state).addresses[address], &posted);
                    });
                }
                _ => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
            line.clear();
        }
    }

    fn open(&self, line: &str, stream: &TcpStream, address: usize) -> u64 {
        let cursor: usize = field(line, "cursor").and_then(|cursor| cursor.parse().ok()).unwrap_or(0);
        let mut state = lock(&self.state);
        let address = &mut state.addresses[address];
        if let Some(old) = address.link.take() {
            let _ = old.shutdown(Shutdown::Both);
        }
        address.link = stream.try_clone().ok();
        address.link_number += 1;
        send(address, r#"{"event":"BOOTED","fate":"old","lasted":60000}"#);
        for notice in address.notices.get(cursor..).unwrap_or_default().to_vec() {
            send(address, &notice);
        }
        address.link_number
    }

    fn schedule(&self, line: &str, id: String, address: usize) {
        let class = field(line, "entry").unwrap_or_default();
        let body = decode64(&field(line, "arg").unwrap_or_default());
        let mut state = lock(&self.state);
        let Some(known) = state.known.get(&id).cloned() else {
            if !state.is_quiet {
                self.record.line(&format!("kernel {address}: SCHED {id} is unknown: EINVAL"));
            }
            let notice = format!(r#"{{"event":"EINVAL","fate":"SCHED","handle":"{id}"}}"#);
            return send(&mut state.addresses[address], &notice);
        };
        if known.class != class || known.body != body {
            state.faults.push(format!("{id}: its class or body reached the kernel changed"));
        }
        if state.runs.get(&id).is_some_and(|run| run.phase != RunPhase::Over) {
            return;
        }
        if known.is_over {
            return notify(&mut state.addresses[address], &format!(r#""event":"REAP","handle":"{id}","fate":"gone","lasted":0,"arg":"""#));
        }
        let key = known.key.clone();
        self.record.line(&format!("kernel {address}: run {id} {class} key {}", key.as_deref().unwrap_or("-")));
        state.records.push(RunRecord { id: id.clone(), key, began_ms: unix_ms(), address });
        state.runs.insert(id.clone(), Run { phase: RunPhase::Working, stopped: false, reply: None, address });
        let kernel = self.clone();
        thread::spawn(move || kernel.work(&id, &known));
    }

    fn reply(&self, line: &str, id: &str) {
        let body = decode64(&field(line, "arg").unwrap_or_default());
        let mut state = lock(&self.state);
        let expected = format!("reply {id} ").into_bytes();
        if !body.starts_with(&expected) {
            state.faults.push(format!("{id}: got a reply that is not for its call"));
        }
        if let Some(run) = state.runs.get_mut(id).filter(|run| run.phase == RunPhase::AtCall) {
            run.reply = Some(body);
        }
        self.changed.notify_all();
    }

    fn work(&self, id: &str, known: &Known) {
        let work = plan(&known.body, "work");
        let calls = plan(&known.body, "calls");
        for call in 0..=calls {
            if !self.take_time(id, work) {
                return;
            }
            if call == calls {
                break;
            }
            let mut state = lock(&self.state);
            let Some(run) = state.runs.get_mut(id) else { return };
            run.phase = RunPhase::AtCall;
            let address = run.address;
            let arg = encode64(format!("call {call} of {id}").as_bytes());
            notify(&mut state.addresses[address], &format!(r#""event":"IOREQ","handle":"{id}","arg":"{arg}""#));
            loop {
                let is_over = state.known.get(id).is_none_or(|known| known.is_over);
                let Some(run) = state.runs.get_mut(id) else { return };
                if run.reply.take().is_some() {
                    run.phase = RunPhase::Working;
                    break;
                }
                if run.stopped || is_over {
                    return self.end(&mut state, id, "cut", b"");
                }
                state = self.changed.wait(state).unwrap_or_else(|poisoned| poisoned.into_inner());
            }
        }
        let mut state = lock(&self.state);
        state.serial += 1;
        let mut result = format!("result {} of {id} ", state.serial).into_bytes();
        let size = state.result_bytes.max(result.len());
        result.resize(size, b'x');
        state.results.insert(result.clone(), id.to_string());
        self.end(&mut state, id, "good", &result);
    }

    /// Works for this time; false if the run was stopped.
    fn take_time(&self, id: &str, ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(ms);
        let mut state = lock(&self.state);
        loop {
            if state.runs.get(id).is_none_or(|run| run.stopped) {
                self.end(&mut state, id, "cut", b"");
                return false;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            state = self.changed.wait_timeout(state, left).map_or_else(|poisoned| poisoned.into_inner().0, |(state, _)| state);
        }
    }

    fn end(&self, state: &mut KernelState, id: &str, fate: &str, result: &[u8]) {
        let Some(run) = state.runs.get_mut(id) else { return };
        run.phase = RunPhase::Over;
        let address = run.address;
        self.record.line(&format!("kernel {address}: end {id} {fate}"));
        let arg = encode64(result);
        notify(&mut state.addresses[address], &format!(r#""event":"REAP","handle":"{id}","fate":"{fate}","lasted":1,"arg":"{arg}""#));
    }
}

fn notify(address: &mut AddressState, fields: &str) {
    let notice = format!(r#"{{"cursor":{},{fields}}}"#, address.notices.len() + 1);
    address.notices.push(notice.clone());
    send(address, &notice);
}

fn send(address: &mut AddressState, line: &str) {
    if let Some(link) = &mut address.link {
        if link.write_all(format!("{line}\n").as_bytes()).is_err() {
            address.link = None;
        }
    }
}

// ---- The store -------------------------------------------------------------------------------------------

/// A store that answers each call with `reply ID BODY` after a time.
pub fn store(delay_ms: u64) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port for the store"));
    let port = listener.local_addr().map_or(0, |address| address.port());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(copy) = stream.try_clone() else { return };
                let mut lines = BufReader::new(copy);
                let mut line = String::new();
                while matches!(lines.read_line(&mut line), Ok(read) if read > 0) {
                    let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
                    line.clear();
                    if words.len() < 4 {
                        continue;
                    }
                    let mut body = vec![0; words[3].parse::<usize>().unwrap_or(0) + 2];
                    if lines.read_exact(&mut body).is_err() {
                        return;
                    }
                    body.truncate(body.len() - 2);
                    let Ok(mut out) = stream.try_clone() else { return };
                    thread::spawn(move || {
                        sleep_ms(delay_ms);
                        let mut reply = format!("reply {} ", words[1]).into_bytes();
                        reply.extend(body);
                        let mut text = format!("{} OK {}\r\n", words[1], reply.len()).into_bytes();
                        text.extend(reply);
                        text.extend(b"\r\n");
                        let _ = out.write_all(&text);
                    });
                }
            });
        }
    });
    port
}

// ---- Gateways --------------------------------------------------------------------------------------------

pub const BEGIN: u8 = 1;
pub const ABORT: u8 = 2;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;

pub fn fcgi(kind: u8, number: u16, content: &[u8]) -> Vec<u8> {
    let mut out = vec![1, kind];
    out.extend(number.to_be_bytes());
    out.extend((content.len() as u16).to_be_bytes());
    out.extend([0, 0]);
    out.extend(content);
    out
}

fn pair(name: &str, value: &str) -> Vec<u8> {
    let mut out = vec![name.len() as u8, value.len() as u8];
    out.extend(name.bytes().chain(value.bytes()));
    out
}

/// One try of a request.
#[derive(Clone)]
pub struct Try {
    pub id: String,
    pub class: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    pub ingress: u64,
}

static IDS: AtomicU64 = AtomicU64::new(1);

impl Try {
    pub fn new(class: &str, key: Option<&str>, body: &str) -> Self {
        let number = IDS.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id()));
        let (key, body) = (key.map(str::to_string), body.as_bytes().to_vec());
        Try { id, class: class.into(), key, body, ingress: unix_ms() }
    }

    /// The records of the try, with the time of this call as `X-Ingress-Time`.
    pub fn records(&mut self, number: u16) -> Vec<u8> {
        self.ingress = unix_ms();
        let mut params = pair("SCRIPT_NAME", &format!("/svc/{}", self.class));
        params.extend(pair("REQUEST_METHOD", "POST"));
        params.extend(pair("HTTP_X_TXN", &self.id));
        params.extend(pair("HTTP_X_INGRESS_TIME", &self.ingress.to_string()));
        params.extend(pair("HTTP_X_ROUTER", "1"));
        params.extend(pair("HTTP_X_CPU_HINT", "300.00"));
        params.extend(pair("HTTP_X_WORKING_SET_KB", "24.5"));
        params.extend(pair("HTTP_X_SHED_ORDER", "0.5"));
        if let Some(key) = &self.key {
            params.extend(pair("HTTP_X_TXN_KEY", key));
        }
        let mut out = fcgi(BEGIN, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
        out.extend(fcgi(PARAMS, number, &params));
        out.extend(fcgi(PARAMS, number, &[]));
        out.extend(fcgi(STDIN, number, &self.body));
        out.extend(fcgi(STDIN, number, &[]));
        out
    }
}

pub fn health_check(number: u16, deep: bool) -> Vec<u8> {
    let mut params = pair("SCRIPT_NAME", "/status/live");
    params.extend(pair("REQUEST_METHOD", "GET"));
    params.extend(pair("QUERY_STRING", if deep { "engine=1" } else { "" }));
    let mut out = fcgi(BEGIN, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(fcgi(PARAMS, number, &params));
    out.extend(fcgi(PARAMS, number, &[]));
    out.extend(fcgi(STDIN, number, &[]));
    out
}

/// A whole answer to one request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status; 0 if the request ended with OVERLOADED and no response.
    pub status: u16,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl Answer {
    pub fn is_served(&self) -> bool {
        self.status == 200
    }

    pub fn is_refused(&self) -> bool {
        matches!(self.status, 429 | 503 | 0)
    }
}

#[derive(Default)]
struct Answers {
    by_number: BTreeMap<u16, Vec<Answer>>,
    partial: HashMap<u16, Vec<u8>>,
    ended: Option<(Instant, String)>,
}

/// A connection of a gateway.
#[derive(Clone)]
pub struct Connection {
    stream: Arc<TcpStream>,
    answers: Arc<(Mutex<Answers>, Condvar)>,
}

impl Connection {
    pub fn open(address: &str) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        let _ = stream.set_nodelay(true);
        let connection = Connection { stream: Arc::new(stream), answers: Arc::default() };
        let reader = connection.clone();
        thread::spawn(move || reader.read());
        Some(connection)
    }

    pub fn write(&self, bytes: &[u8]) -> bool {
        (&*self.stream).write_all(bytes).is_ok()
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn read(&self) {
        let mut stream = &*self.stream;
        let end = loop {
            let mut header = [0; 8];
            if let Err(error) = stream.read_exact(&mut header) {
                break error.to_string();
            }
            let number = u16::from_be_bytes([header[2], header[3]]);
            let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
            let mut content = vec![0; length + usize::from(header[6])];
            if let Err(error) = stream.read_exact(&mut content) {
                break error.to_string();
            }
            content.truncate(length);
            let mut answers = lock(&self.answers.0);
            match header[1] {
                6 => answers.partial.entry(number).or_default().extend(content),
                3 => {
                    let text = answers.partial.remove(&number).unwrap_or_default();
                    let answer = parse_answer(&text);
                    answers.by_number.entry(number).or_default().push(answer);
                }
                _ => {}
            }
            self.answers.1.notify_all();
        };
        lock(&self.answers.0).ended = Some((Instant::now(), end));
        self.answers.1.notify_all();
    }

    /// Whether the other side has ended the connection.
    pub fn has_ended(&self) -> bool {
        lock(&self.answers.0).ended.is_some()
    }

    /// The answers to the request under this number so far.
    pub fn answers(&self, number: u16) -> Vec<Answer> {
        lock(&self.answers.0).by_number.get(&number).cloned().unwrap_or_default()
    }

    /// Forgets the answers under a number, which may then be used again.
    pub fn reuse(&self, number: u16) {
        lock(&self.answers.0).by_number.remove(&number);
    }

    /// Waits for the answer under this number; none if the connection ended first or the time is over.
    pub fn wait(&self, number: u16, until: Instant) -> Option<Answer> {
        let mut answers = lock(&self.answers.0);
        loop {
            if let Some(answer) = answers.by_number.get(&number).and_then(|list| list.first()) {
                return Some(answer.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if answers.ended.is_some() || left.is_zero() {
                return None;
            }
            answers = self.answers.1.wait_timeout(answers, left).map_or_else(|poisoned| poisoned.into_inner().0, |(answers, _)| answers);
        }
    }
}

fn parse_answer(text: &[u8]) -> Answer {
    let split = text.windows(4).position(|four| four == b"\r\n\r\n");
    let (head, body) = split.map_or((&text[..0], text), |at| (&text[..at], &text[at + 4..]));
    let head = String::from_utf8_lossy(head).into_owned();
    let status = head.lines().find_map(|line| line.strip_prefix("Status: "));
    let status = status.and_then(|status| status.split(' ').next()?.parse().ok()).unwrap_or(0);
    Answer { status, body: body.to_vec(), at: Instant::now() }
}

/// Ends the case: removes the folder, ends all processes, and exits with 1 if a rule was broken.
pub fn finish(record: &Record, folder: &Path, broken: &[String]) -> ! {
    end_children();
    for entry in std::fs::read_dir(folder).into_iter().flatten().flatten() {
        let name = entry.file_name().to_string_lossy().into_owned();
        if name.starts_with("log-") {
            for line in std::fs::read_to_string(entry.path()).unwrap_or_default().lines() {
                record.line(&format!("{name}: {line}"));
            }
        }
    }
    let _ = std::fs::remove_dir_all(folder);
    for fault in broken {
        record.line(&format!("BROKEN: {fault}"));
        println!("BROKEN: {fault}");
    }
    if broken.is_empty() {
        record.line("the rule held");
        println!("the rule held");
    }
    std::process::exit(i32::from(!broken.is_empty()))
}

/// Whether the case is to cause its trouble.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

