// Parts shared by the cases: base64, FastCGI, the node as a process, stand-ins of the kernel, the store and the
// membership service, and the record. Standard library only.
#![allow(dead_code)]

use std::collections::{BinaryHeap, HashMap, HashSet};
use std::cmp::Reverse;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

// ---- Record ------------------------------------------------------------------------------------------------

/// The file `record.txt` of a case: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> Self {
        Record(Arc::new(Mutex::new(File::create(path).expect("record.txt can be written"))), Instant::now())
    }
    pub fn line(&self, text: &str) {
        let ms = self.1.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(lock(&self.0), "{ms:10.2} ms  {text}");
    }
    pub fn both(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---- Random numbers ----------------------------------------------------------------------------------------

pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
    pub fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---- Base64 and fields of JSON lines ------------------------------------------------------------------------

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(ALPHABET[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = ALPHABET.iter().position(|known| *known == byte) else { continue };
        bits = (bits << 6) | value as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    out
}

/// The value of a text field in a line of JSON. The commands of a node hold no escaped characters.
pub fn text_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":\""))? + name.len() + 4;
    line[start..].split('"').next()
}

pub fn number_field(line: &str, name: &str) -> Option<u64> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    line[start..].split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
}

// ---- FastCGI ------------------------------------------------------------------------------------------------

pub fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let [id_high, id_low] = id.to_be_bytes();
    let [high, low] = (content.len() as u16).to_be_bytes();
    let mut out = vec![1, kind, id_high, id_low, high, low, 0, 0];
    out.extend(content);
    out
}

pub fn begin(id: u16) -> Vec<u8> {
    record(1, id, &[0, 1, 1, 0, 0, 0, 0, 0])
}

pub fn pair(name: &str, value: &str) -> Vec<u8> {
    let mut out = vec![name.len() as u8];
    if value.len() < 128 {
        out.push(value.len() as u8);
    } else {
        out.extend((value.len() as u32 | 0x8000_0000).to_be_bytes());
    }
    out.extend(name.bytes());
    out.extend(value.bytes());
    out
}

pub struct Attempt<'a> {
    pub txn: &'a str,
    pub class: &'a str,
    pub key: Option<&'a str>,
    pub body: &'a [u8],
    pub ingress_ms: u64,
    pub ttl_ms: Option<u64>,
    pub router: u64,
}

pub fn attempt_records(fcgi: u16, attempt: &Attempt<'_>) -> Vec<u8> {
    let mut params = Vec::new();
    params.extend(pair("REQUEST_METHOD", "POST"));
    params.extend(pair("SCRIPT_NAME", &format!("/svc/{}", attempt.class)));
    params.extend(pair("HTTP_X_TXN", attempt.txn));
    params.extend(pair("HTTP_X_INGRESS_TIME", &attempt.ingress_ms.to_string()));
    params.extend(pair("HTTP_X_ROUTER", &attempt.router.to_string()));
    params.extend(pair("HTTP_X_CPU_HINT", "20.00"));
    params.extend(pair("HTTP_X_WORKING_SET_KB", "24.5"));
    params.extend(pair("HTTP_X_SHED_ORDER", "0.5000"));
    if let Some(key) = attempt.key {
        params.extend(pair("HTTP_X_TXN_KEY", key));
    }
    if let Some(ttl) = attempt.ttl_ms {
        params.extend(pair("HTTP_X_TTL_MS", &ttl.to_string()));
    }
    let mut out = begin(fcgi);
    out.extend(record(4, fcgi, &params));
    out.extend(record(4, fcgi, &[]));
    out.extend(record(5, fcgi, attempt.body));
    out.extend(record(5, fcgi, &[]));
    out
}

#[derive(Debug, Clone)]
pub struct Answer {
    pub fcgi: u16,
    /// 0 if the answer has no status line.
    pub status: u16,
    pub protocol_status: u8,
    pub body: Vec<u8>,
}

/// Reads the answers that arrive on one connection.
#[derive(Default)]
pub struct AnswerReader {
    input: Vec<u8>,
    open: HashMap<u16, Vec<u8>>,
}

impl AnswerReader {
    /// Adds bytes; returns the answers that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Answer> {
        self.input.extend(bytes);
        let mut answers = Vec::new();
        let mut at = 0;
        while self.input.len() >= at + 8 {
            let head = &self.input[at..at + 8];
            let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let total = 8 + length + usize::from(head[6]);
            if self.input.len() < at + total {
                break;
            }
            let (kind, id) = (head[1], u16::from_be_bytes([head[2], head[3]]));
            let content = &self.input[at + 8..at + 8 + length];
            match kind {
                6 => self.open.entry(id).or_default().extend(content),
                3 => {
                    let text = self.open.remove(&id).unwrap_or_default();
                    let split = text.windows(4).position(|four| four == b"\r\n\r\n");
                    let (head, body) = match split {
                        Some(at) => (String::from_utf8_lossy(&text[..at]).into_owned(), text[at + 4..].to_vec()),
                        None => (String::new(), Vec::new()),
                    };
                    let status = head.strip_prefix("Status: ").and_then(|rest| rest.get(..3));
                    let status = status.and_then(|digits| digits.parse().ok()).unwrap_or(0);
                    answers.push(Answer { fcgi: id, status, protocol_status: content.get(4).copied().unwrap_or(0), body });
                }
                _ => {}
            }
            at += total;
        }
        self.input.drain(..at);
        answers
    }
}

/// One request on a new connection. `None` if the connection ends without a whole answer or none comes in time.
pub fn ask(address: &str, records: &[u8], timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(records).ok()?;
    read_answer(&mut stream, timeout)
}

pub fn read_answer(stream: &mut TcpStream, timeout: Duration) -> Option<Answer> {
    let until = Instant::now() + timeout;
    let mut reader = AnswerReader::default();
    let mut chunk = [0; 16384];
    loop {
        let left = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
        stream.set_read_timeout(Some(left)).ok()?;
        let length = stream.read(&mut chunk).ok().filter(|length| *length > 0)?;
        if let Some(answer) = reader.push(&chunk[..length]).into_iter().next() {
            return Some(answer);
        }
    }
}

pub fn health_check(address: &str) -> bool {
    let mut params = pair("REQUEST_METHOD", "GET");
    params.extend(pair("SCRIPT_NAME", "/status/live"));
    let mut records = begin(1);
    records.extend(record(4, 1, &params));
    records.extend(record(4, 1, &[]));
    records.extend(record(5, 1, &[]));
    ask(address, &records, Duration::from_secs(1)).is_some_and(|answer| answer.status == 200)
}

// ---- The node -----------------------------------------------------------------------------------------------

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// A port that was free a moment ago.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port").port()
}

pub struct Class<'a> {
    pub name: &'a str,
    pub effect: &'a str,
    pub goal_ms: u64,
    pub deadline_ms: u64,
    pub window_ms: u64,
    pub calls: bool,
}

pub struct Site<'a> {
    pub listen: String,
    pub kernel: String,
    pub store: String,
    pub members: String,
    pub admin: String,
    pub stop_ms: u64,
    pub memory_mb: u64,
    pub sockets: u64,
    pub cores: u64,
    pub classes: &'a [Class<'a>],
}

impl Site<'_> {
    pub fn json(&self) -> String {
        let classes: Vec<String> = self.classes.iter().map(|class| format!(
            r#"{{"name":"{}","effect":"{}","goal-time":{}000000,"hard-limit":{}000000,"dedup-window":{}000000,"worth":1.0,"late-worth":0.0}}"#,
            class.name, class.effect, class.goal_ms, class.deadline_ms, class.window_ms
        )).collect();
        let calls: Vec<String> = self.classes.iter().map(|class| class.calls.to_string()).collect();
        let skips: Vec<&str> = self.classes.iter().map(|_| "0.0").collect();
        format!(
            r#"{{"name":"n1","listen":"{}","kernel":"{}","store":"{}","members":"{}","admin_addr":"{}","seed":"8c1f30d27a5be964","stop_ms":{},
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"settings":{{"classes":[{}],"fleet-size":11,"worth-by":"work","over-share-worth":0.1,"realms":[],"tick":2000000,
"caps":{{"retry-after":true,"max-retry-after":1000000000}},
"extra":{{"below":"tier","callers":3,"calls-out":0.0,"class-calls":[{}],"class-skip-worth":[{}],"cold":false,"cores":{},
"dep-window":5000000000,"fresh-for":0,"full-checks":true,"gauges":["cpu_busy","runnable","mem_used","sockets"],"halt":"discard",
"heeded":1000000000,"heap-kb":70698.0,"key-kb":1.0,"list-follows":true,"run-factor":8.0,"signal":"allowance","stays-for":200000000,
"caller-idle":30000000000,"passes-deadline":false}},
"rules":{{"grace-to-answer":80000000,"cold-share":0.22,"cold":18000000000,"drain-grace":1800000000,"fall":2000000000,"fall-multiple":5.0}}}}}}
"#,
            self.listen, self.kernel, self.store, self.members, self.admin, self.stop_ms, self.memory_mb, self.sockets,
            classes.join(","), calls.join(","), skips.join(","), self.cores
        )
    }
}

pub struct Node {
    pub child: Child,
}

impl Node {
    /// Starts the node with the `run` command of deploy/balancer.toml, from the root of the repository.
    pub fn start(root: &Path, config: &Path, tmp: &Path, admin: &str, extra_args: &str, log: &Path) -> Self {
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).expect("a run command");
        let run = run.split('"').next().expect("a run command");
        let log = File::options().create(true).append(true).open(log).expect("the node's log");
        let mut command = Command::new("/bin/sh");
        // The node ends with this program, however that ends.
        unsafe { command.pre_exec(|| { prctl(1, SIGKILL as u64); Ok(()) }) };
        let child = command
            .args(["-c", &format!("{run}{extra_args}")])
            .current_dir(root)
            .env("BALANCER_CONFIG", config)
            .env("BALANCER_ADMIN_ADDR", admin)
            .env("TMPDIR", tmp)
            .env_remove("BALANCER_NAME")
            .env_remove("BALANCER_LISTEN")
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("the node's log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the node starts");
        Node { child }
    }
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
    /// Resident memory in KiB, as the system shows it: anonymous pages and all pages.
    pub fn memory_kb(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("0");
            line.trim().split(' ').next().and_then(|digits| digits.parse().ok()).unwrap_or(0)
        };
        (field("RssAnon:"), field("VmRSS:"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if !self.has_ended() {
            self.signal(SIGCONT);
            self.signal(SIGKILL);
        }
        let _ = self.child.wait();
    }
}

pub fn wait_until(timeout: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// A call at the second address; the whole answer.
pub fn admin_call(address: &str, call: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address) else { return String::new() };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = String::new();
    if stream.write_all(format!("{call}\n").as_bytes()).is_ok() {
        let _ = stream.read_to_string(&mut answer);
    }
    answer
}

/// A folder of its own under the system's folder for temporary files; removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("gaugestand-review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempFolder(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The membership service: reads reports and drops them.
pub fn membership() -> String {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a UDP socket");
    let address = socket.local_addr().expect("its address").to_string();
    thread::spawn(move || {
        let mut buffer = [0; 256];
        while socket.recv(&mut buffer).is_ok() {}
    });
    address
}

// ---- What gateways sent, shared by gateways, kernel and store ------------------------------------------------

#[derive(Clone, Debug)]
pub struct Sent {
    pub class: String,
    pub key: Option<String>,
    pub body: Vec<u8>,
    /// Answered or withdrawn: the request is over.
    pub over: bool,
}

/// What the platform knows: the requests that were sent, and the store's replies to calls.
#[derive(Default)]
pub struct World {
    pub sent: HashMap<String, Sent>,
    /// Results of runs by request id.
    pub results: HashMap<String, Vec<Vec<u8>>>,
    /// Number of started runs by request id.
    pub starts: HashMap<String, u32>,
    /// Times (Unix ms) of the started runs by idempotency key.
    pub key_starts: HashMap<String, Vec<String>>,
    /// The reply that the store gave to the call with this body.
    pub replies: HashMap<Vec<u8>, Vec<u8>>,
    pub broken: Vec<String>,
    pub links_broken: u32,
}

pub type Shared = Arc<Mutex<World>>;

// ---- Store ---------------------------------------------------------------------------------------------------

/// The store: answers each call OK after `delay_ms`, with a reply that names the call.
pub fn store(world: Shared, note: Record, delay_ms: u64) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("the store listens");
    let address = listener.local_addr().expect("its address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, note) = (world.clone(), note.clone());
            thread::spawn(move || serve_store(stream, &world, &note, delay_ms));
        }
    });
    address
}

fn serve_store(stream: TcpStream, world: &Shared, note: &Record, delay_ms: u64) {
    let _ = stream.set_nodelay(true);
    let Ok(write) = stream.try_clone() else { return };
    let write = Arc::new(Mutex::new(write));
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        if words.len() == 4 && words[0] == "CALL" {
            let id = words[1].to_string();
            let length: usize = words[3].parse().unwrap_or(0);
            let mut body = vec![0; length + 2];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            body.truncate(length);
            let mut reply = b"reply to ".to_vec();
            reply.extend(&body);
            note.line(&format!("store: call of {id}: {}", String::from_utf8_lossy(&body)));
            lock(world).replies.insert(body, reply.clone());
            let write = write.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(delay_ms));
                let mut out = format!("{id} OK {}\r\n", reply.len()).into_bytes();
                out.extend(&reply);
                out.extend(b"\r\n");
                let _ = lock(&write).write_all(&out);
            });
        }
        line.clear();
    }
}

// ---- Kernel --------------------------------------------------------------------------------------------------

/// The work of a run: stretches of time in milliseconds, with a call between two of them.
pub type Plan = Box<dyn Fn(&str, &mut Rng) -> Vec<f64> + Send>;

struct Run {
    stretches: Vec<f64>,
    /// Number of the stretch that is under way.
    at: usize,
    started: Instant,
    /// Body of the call that the run waits for.
    waits_for: Option<Vec<u8>>,
    replies: Vec<Vec<u8>>,
    /// Number of this run, unique in the kernel.
    number: u64,
}

struct KernelState {
    world: Shared,
    note: Record,
    plan: Plan,
    rng: Rng,
    runs: HashMap<String, Run>,
    run_count: u64,
    notices: Vec<String>,
    link: Option<(u64, TcpStream)>,
    links: u64,
    /// Whether the node has sent OPEN on the present link; nothing is said on a link before.
    is_open: bool,
    due: BinaryHeap<(Reverse<Instant>, String, u64, usize)>,
    /// Time at which the link to be opened next may be answered; notices on it go silent until then.
    started: Instant,
    /// Output that waits while the kernel's side of the link is silent.
    held_back: Vec<u8>,
    silent_until: Option<Instant>,
    /// Results are filled up to this many bytes.
    result_bytes: usize,
    /// Longest pause in milliseconds between the two pieces of a notice; 0 if notices arrive whole.
    max_pause_ms: f64,
}

/// A kernel at one address. Runs take the time of their plan, whatever else runs.
#[derive(Clone)]
pub struct Kernel {
    state: Arc<(Mutex<KernelState>, Condvar)>,
    pub address: String,
}

impl Kernel {
    pub fn start(world: Shared, note: Record, seed: u64, plan: Plan) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the kernel listens");
        let address = listener.local_addr().expect("its address").to_string();
        let state = KernelState {
            world,
            note,
            plan,
            rng: Rng(seed),
            runs: HashMap::new(),
            run_count: 0,
            notices: Vec::new(),
            link: None,
            links: 0,
            is_open: false,
            due: BinaryHeap::new(),
            started: Instant::now(),
            held_back: Vec::new(),
            silent_until: None,
            result_bytes: 0,
            max_pause_ms: 0.0,
        };
        let kernel = Kernel { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let accepting = kernel.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let kernel = accepting.clone();
                let number = {
                    let mut state = lock(&kernel.state.0);
                    state.links += 1;
                    let number = state.links;
                    if let Some((_, old)) = state.link.take() {
                        let _ = old.shutdown(Shutdown::Both);
                    }
                    let Ok(copy) = stream.try_clone() else { continue };
                    state.held_back.clear();
                    state.silent_until = None;
                    state.is_open = false;
                    state.link = Some((number, copy));
                    number
                };
                thread::spawn(move || kernel.serve(stream, number));
            }
        });
        let working = kernel.clone();
        thread::spawn(move || working.work());
        kernel
    }

    /// Breaks the link: what the node sent and the kernel has not read is lost with it.
    pub fn break_link(&self) {
        let mut state = lock(&self.state.0);
        if let Some((number, stream)) = state.link.take() {
            let _ = stream.shutdown(Shutdown::Both);
            state.note.line(&format!("kernel: link {number} breaks"));
            let broken = &mut lock(&state.world).links_broken;
            *broken += 1;
        }
    }

    /// From now on results have at least this many bytes.
    pub fn fill_results(&self, bytes: usize) {
        lock(&self.state.0).result_bytes = bytes;
    }

    /// From now on notices arrive in pieces, with a pause of up to this many milliseconds between them.
    pub fn send_in_pieces(&self, max_pause_ms: f64) {
        lock(&self.state.0).max_pause_ms = max_pause_ms;
    }

    /// Lets the kernel's side be silent for this long: what it says in the meantime arrives afterwards, in order.
    pub fn be_silent(&self, ms: u64) {
        let mut state = lock(&self.state.0);
        state.silent_until = Some(Instant::now() + Duration::from_millis(ms));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, number: u64) {
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        while matches!(lines.read_line(&mut line), Ok(n) if n > 0) {
            if !line.ends_with('\n') {
                return;
            }
            let mut state = lock(&self.state.0);
            if state.link.as_ref().is_none_or(|(present, _)| *present != number) {
                return;
            }
            state.command(line.trim_end());
            self.state.1.notify_all();
            drop(state);
            line.clear();
        }
    }

    /// Ends stretches of work when they are due.
    fn work(&self) {
        let mut state = lock(&self.state.0);
        loop {
            let now = Instant::now();
            if state.silent_until.is_some_and(|until| until <= now) {
                state.silent_until = None;
                let held_back = std::mem::take(&mut state.held_back);
                state.write(&held_back);
            }
            while state.due.peek().is_some_and(|(due, ..)| due.0 <= now) {
                if let Some((_, id, run, stretch)) = state.due.pop() {
                    state.stretch_ended(&id, run, stretch);
                }
            }
            let next = state.due.peek().map(|(due, ..)| due.0);
            let next = next.into_iter().chain(state.silent_until).min();
            let wait = next.map_or(Duration::from_millis(50), |next| next.saturating_duration_since(Instant::now()));
            state = match self.state.1.wait_timeout(state, wait.max(Duration::from_micros(50))) {
                Ok((state, _)) => state,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

impl KernelState {
    fn write(&mut self, bytes: &[u8]) {
        if !self.is_open {
            return;
        }
        if self.silent_until.is_some() {
            self.held_back.extend(bytes);
            return;
        }
        if let Some((_, stream)) = &mut self.link {
            let _ = stream.write_all(bytes);
        }
    }

    /// Sends a line. Where notices arrive in pieces, one in three does so: its second half, and what the kernel says
    /// in the meantime, arrives after a pause.
    fn line(&mut self, text: &str) {
        let line = format!("{text}\n").into_bytes();
        let is_split = self.max_pause_ms > 0.0 && self.silent_until.is_none() && self.rng.next() % 3 == 0;
        if !is_split {
            return self.write(&line);
        }
        let (first, second) = line.split_at(line.len() / 2);
        self.write(first);
        let pause = self.rng.between(0.0, self.max_pause_ms);
        self.silent_until = Some(Instant::now() + Duration::from_secs_f64(pause / 1000.0));
        self.write(second);
    }

    fn notice(&mut self, event: &str, rest: &str) {
        let text = format!(r#"{{"event":"{event}","cursor":{},{rest}}}"#, self.notices.len() + 1);
        self.notices.push(text.clone());
        self.line(&text);
    }

    fn command(&mut self, line: &str) {
        let id = text_field(line, "handle").unwrap_or("").to_string();
        match text_field(line, "event").unwrap_or("") {
            "OPEN" => {
                let cursor = number_field(line, "cursor").unwrap_or(0) as usize;
                self.is_open = true;
                self.note.line(&format!("kernel: link {} opens after notice {cursor}", self.links));
                let lasted = self.started.elapsed().as_millis() + 20_000;
                self.line(&format!(r#"{{"event":"BOOTED","fate":"old","lasted":{lasted}}}"#));
                let missed = self.notices.get(cursor..).unwrap_or_default().to_vec();
                for notice in missed {
                    self.line(&notice);
                }
            }
            "SYSINFO" => {
                let ticket = text_field(line, "ticket").unwrap_or("").to_string();
                let running = self.runs.values().filter(|run| run.waits_for.is_none()).count();
                self.line(&format!(r#"{{"event":"INFO","ticket":"{ticket}","figures":[0.4,{running},0.1,3]}}"#));
            }
            "POST" => {
                let ticket = text_field(line, "ticket").unwrap_or("").to_string();
                self.line(&format!(r#"{{"event":"POSTED","ticket":"{ticket}","fate":"good"}}"#));
            }
            "SCHED" => self.sched(&id, line),
            "IODONE" => self.iodone(&id, line),
            "PREEMPT" => {
                if self.runs.remove(&id).is_some() {
                    self.note.line(&format!("kernel: PREEMPT {id}: the run is stopped"));
                    self.notice("REAP", &format!(r#""handle":"{id}","fate":"cut","lasted":1,"arg":"""#));
                }
            }
            _ => {}
        }
    }

    fn sched(&mut self, id: &str, line: &str) {
        let body = unbase64(text_field(line, "arg").unwrap_or(""));
        let class = text_field(line, "entry").unwrap_or("").to_string();
        let world = self.world.clone();
        let mut world = lock(&world);
        let Some(sent) = world.sent.get(id).cloned() else {
            self.note.line(&format!("kernel: SCHED {id}: no such request"));
            return self.line(&format!(r#"{{"event":"EINVAL","fate":"SCHED","handle":"{id}"}}"#));
        };
        if sent.class != class || sent.body != body {
            world.broken.push(format!("lost: the class or body of {id} reached the kernel changed"));
        }
        if self.runs.contains_key(id) {
            return self.note.line(&format!("kernel: SCHED {id}: runs already, nothing happens"));
        }
        if sent.over {
            self.note.line(&format!("kernel: SCHED {id}: the request is over, nothing is started"));
            return self.notice("REAP", &format!(r#""handle":"{id}","fate":"gone","lasted":0,"arg":"""#));
        }
        let stretches = (self.plan)(&class, &mut self.rng);
        self.run_count += 1;
        let number = self.run_count;
        let starts = world.starts.entry(id.to_string()).or_default();
        *starts += 1;
        self.note.line(&format!("kernel: SCHED {id} ({class}): run {number} starts, start {starts} of this request"));
        if let Some(key) = &sent.key {
            let runs = world.key_starts.entry(key.clone()).or_default();
            runs.push(id.to_string());
            if runs.len() > 1 {
                let all = runs.join(", ");
                self.note.line(&format!("BROKEN duplicate: key {key} runs again: {all}"));
                world.broken.push(format!("duplicate: key {key} was run by {all}"));
            }
        }
        let due = Instant::now() + Duration::from_secs_f64(stretches[0] / 1000.0);
        self.due.push((Reverse(due), id.to_string(), number, 0));
        let run = Run { stretches, at: 0, started: Instant::now(), waits_for: None, replies: Vec::new(), number };
        self.runs.insert(id.to_string(), run);
    }

    fn iodone(&mut self, id: &str, line: &str) {
        let reply = unbase64(text_field(line, "arg").unwrap_or(""));
        let Some(run) = self.runs.get_mut(id) else {
            return self.note.line(&format!("kernel: IODONE {id}: no run, ignored"));
        };
        let Some(call) = run.waits_for.take() else {
            return self.note.line(&format!("kernel: IODONE {id}: the run waits for no call, ignored"));
        };
        let call_text = String::from_utf8_lossy(&call).into_owned();
        let reply_text = String::from_utf8_lossy(&reply).into_owned();
        self.note.line(&format!("kernel: IODONE {id}: run {} waits for {call_text:?} and gets {reply_text:?}", run.number));
        let mut world = lock(&self.world);
        if world.replies.get(&call) != Some(&reply) {
            self.note.line(&format!("BROKEN lost: the call {call_text:?} got another reply: {reply_text:?}"));
            world.broken.push(format!("lost: the call {call_text:?} got another reply: {reply_text:?}"));
        }
        run.replies.push(reply);
        run.at += 1;
        let due = Instant::now() + Duration::from_secs_f64(run.stretches[run.at] / 1000.0);
        self.due.push((Reverse(due), id.to_string(), run.number, run.at));
    }

    fn stretch_ended(&mut self, id: &str, number: u64, stretch: usize) {
        let Some(run) = self.runs.get_mut(id).filter(|run| run.number == number && run.at == stretch) else { return };
        if stretch + 1 < run.stretches.len() {
            let call = format!("call {} of run {number} of {id}", stretch + 1).into_bytes();
            run.waits_for = Some(call.clone());
            let over = lock(&self.world).sent.get(id).is_none_or(|sent| sent.over);
            if over {
                self.runs.remove(id);
                self.note.line(&format!("kernel: run {number} of {id} is cut at a call, its request is over"));
                return self.notice("REAP", &format!(r#""handle":"{id}","fate":"cut","lasted":1,"arg":"""#));
            }
            self.note.line(&format!("kernel: run {number} of {id} asks for call {}", stretch + 1));
            return self.notice("IOREQ", &format!(r#""handle":"{id}","arg":"{}""#, base64(&call)));
        }
        let Some(run) = self.runs.remove(id) else { return };
        let mut result = format!("result of run {number} of {id}").into_bytes();
        for reply in &run.replies {
            result.extend(b"; ");
            result.extend(reply);
        }
        if result.len() < self.result_bytes {
            result.resize(self.result_bytes, b'.');
        }
        lock(&self.world).results.entry(id.to_string()).or_default().push(result.clone());
        self.note.line(&format!("kernel: run {number} of {id} ends good"));
        let lasted = run.started.elapsed().as_secs_f64() * 1000.0;
        self.notice("REAP", &format!(r#""handle":"{id}","fate":"good","lasted":{lasted:.1},"arg":"{}""#, base64(&result)));
    }
}

// ---- Gateways ------------------------------------------------------------------------------------------------

/// Sends one attempt on a new connection and waits for its answer. Notes both, and checks a result that is served.
pub fn send_attempt(address: &str, world: &Shared, note: &Record, attempt: &Attempt<'_>, timeout: Duration) -> Option<Answer> {
    let sent = Sent {
        class: attempt.class.to_string(),
        key: attempt.key.map(str::to_string),
        body: attempt.body.to_vec(),
        over: false,
    };
    lock(world).sent.insert(attempt.txn.to_string(), sent);
    note.line(&format!("gateway: sends {} ({}, key {})", attempt.txn, attempt.class, attempt.key.unwrap_or("none")));
    let answer = ask(address, &attempt_records(1, attempt), timeout);
    let mut world = lock(world);
    if let Some(sent) = world.sent.get_mut(attempt.txn) {
        sent.over = true;
    }
    match &answer {
        None => note.line(&format!("gateway: {} gets no whole answer", attempt.txn)),
        Some(answer) => {
            let text = String::from_utf8_lossy(&answer.body);
            note.line(&format!("gateway: {} gets {} {:?}", attempt.txn, answer.status, text.trim_end_matches('.')));
            if answer.status == 200 {
                let mut tries: HashSet<&String> = HashSet::new();
                for (id, other) in &world.sent {
                    if id == attempt.txn || attempt.key.is_some() && other.key.as_deref() == attempt.key {
                        tries.insert(id);
                    }
                }
                let made = tries.iter().any(|id| world.results.get(*id).is_some_and(|results| results.contains(&answer.body)));
                if !made {
                    let what = format!("lost: {} was served with what no run made for it", attempt.txn);
                    note.line(&format!("BROKEN {what}"));
                    world.broken.push(what);
                }
            }
        }
    }
    answer
}
