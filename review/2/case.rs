// Case: clients whose requests never end fill the memory of the node above its limit.
//
// Gateways send ordinary requests all the time. With the disruption, bad clients do what the pages say of them: they
// open connections by the hundred and send messages with no end, several at once, to a class that does not exist, and
// the same again as soon as they are turned away. The platform is played by this program: it looks at the
// anonymous memory of the node every 10 ms, and kills the node when that alone is above `memory_mb`.
#[path = "../common/lib.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Half of the limits of DEPLOY-gaugestand.md ("at most 192 MB and 1,024 descriptors"), as on the crowd day.
const MEMORY_MB: u64 = 96;
const SOCKETS: u64 = 512;
/// Bad clients; each has one connection at a time.
const BAD_CLIENTS: u64 = 400;
/// Requests that a bad client begins at once: what one connection can have open.
const REQUESTS_AT_ONCE: u16 = 32;
/// Length of the path in each request, in bytes: one parameter of a request, whose parameters are under 16 KiB.
const PATH_BYTES: usize = 15_900;
const SECONDS: u64 = 25;
const TROUBLE_FROM_S: u64 = 5;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let root = Path::new(&arguments[1]).canonicalize().expect("the root of the repository");
    let note = Record::create(&Path::new(&arguments[2]).join("record.txt"));
    let tmp = TempFolder::create();
    let status = run(trouble, &root, &note, &tmp);
    drop(tmp);
    std::process::exit(status);
}

fn run(trouble: bool, root: &Path, note: &Record, tmp: &TempFolder) -> i32 {
    let world: Shared = Arc::new(Mutex::new(World::default()));
    let plan: Plan = Box::new(|_, rng| vec![rng.between(4.0, 12.0), rng.between(4.0, 12.0)]);
    let kernel = Kernel::start(world.clone(), note.clone(), 1, plan);
    let store = store(world.clone(), note.clone(), 3);
    let classes = [
        Class { name: "timetable", effect: "pure", goal_ms: 3700, deadline_ms: 9700, window_ms: 5000, calls: true },
        Class { name: "booking", effect: "token", goal_ms: 2900, deadline_ms: 9700, window_ms: 29220, calls: true },
    ];
    let listen = format!("127.0.0.1:{}", free_port());
    let admin = format!("127.0.0.1:{}", free_port());
    let site = Site {
        listen: listen.clone(),
        kernel: kernel.address.clone(),
        store,
        members: membership(),
        admin: admin.clone(),
        stop_ms: 3200,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        cores: 6,
        classes: &classes,
    };
    let config = tmp.0.join("config.json");
    std::fs::write(&config, site.json()).expect("the configuration");
    let mut node = Node::start(root, &config, &tmp.0, &admin, "", &tmp.0.join("node.log"));
    if !wait_until(Duration::from_secs(15), || health_check(&listen)) {
        note.both("could not run: the node did not come up");
        return COULD_NOT_RUN;
    }
    note.both(&format!("the node is up; limits: {MEMORY_MB} MB, {SOCKETS} descriptors; trouble: {trouble}"));
    let stop = Arc::new(AtomicBool::new(false));
    let counts: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let mut threads = Vec::new();
    let next = Arc::new(AtomicU64::new(1));
    for gateway in 0..4 {
        let (stop, next, world, note, listen, counts) =
            (stop.clone(), next.clone(), world.clone(), note.clone(), listen.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            let mut rng = Rng(1000 + gateway);
            while !stop.load(Ordering::Relaxed) {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let (txn, key) = (format!("{n:016x}"), format!("{:032x}", 0xabc0_0000u64 + n));
                let (class, key) = if rng.next() % 2 == 0 { ("timetable", None) } else { ("booking", Some(key.as_str())) };
                let body = format!("body of {n}");
                let attempt = Attempt {
                    txn: &txn, class, key, body: body.as_bytes(), ingress_ms: unix_ms(), ttl_ms: None, router: gateway,
                };
                let answer = send_attempt(&listen, &world, &note, &attempt, Duration::from_secs(11));
                let what = answer.map_or("no whole answer".to_string(), |answer| answer.status.to_string());
                *lock(&counts).entry(what).or_default() += 1;
                thread::sleep(Duration::from_secs_f64(rng.between(0.02, 0.08)));
            }
        }));
    }
    let opened = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let mut top = 0;
    let mut is_killed = false;
    let mut has_trouble = false;
    let mut next_line = Duration::ZERO;
    while began.elapsed() < Duration::from_secs(SECONDS) && !node.has_ended() {
        if trouble && !has_trouble && began.elapsed() >= Duration::from_secs(TROUBLE_FROM_S) {
            has_trouble = true;
            note.both(&format!(
                "{BAD_CLIENTS} bad clients begin: each sends {REQUESTS_AT_ONCE} requests with no end on a connection of its own"
            ));
            for _ in 0..BAD_CLIENTS {
                let (stop, listen, opened) = (stop.clone(), listen.clone(), opened.clone());
                let client = move || bad_client(&listen, &stop, &opened);
                threads.push(thread::Builder::new().stack_size(64 << 10).spawn(client).expect("a thread"));
            }
        }
        let (anonymous, resident) = node.memory_kb();
        top = top.max(anonymous);
        if began.elapsed() >= next_line || anonymous > MEMORY_MB * 1024 {
            next_line = began.elapsed() + Duration::from_millis(250);
            note.line(&format!(
                "platform: the node has {resident} KiB resident ({anonymous} KiB anonymous); bad clients connected {} times",
                opened.load(Ordering::Relaxed)
            ));
        }
        if anonymous > MEMORY_MB * 1024 {
            is_killed = true;
            note.both(&format!(
                "BROKEN crash: {anonymous} KiB of anonymous memory ({resident} KiB resident) are above the limit of {MEMORY_MB} MB; \
                 the platform kills the node {:.2} s after the bad clients began",
                began.elapsed().as_secs_f64() - TROUBLE_FROM_S as f64
            ));
            node.signal(SIGKILL);
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    let has_crashed = !is_killed && node.has_ended();
    thread::sleep(Duration::from_millis(300));
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    note.both(&format!("gateways: {:?}; top {top} KiB of anonymous memory", lock(&counts)));
    if has_crashed {
        note.both("the node ended by itself");
    }
    if is_killed || has_crashed { BROKEN } else { HELD }
}

/// Sends the same messages again and again, and reads whatever it is sent.
fn bad_client(listen: &str, stop: &AtomicBool, opened: &AtomicU64) {
    let path = format!("/svc/{}", "x".repeat(PATH_BYTES));
    while !stop.load(Ordering::Relaxed) {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            opened.fetch_add(1, Ordering::Relaxed);
            let _ = stream.set_write_timeout(Some(Duration::from_secs(3)));
            let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
            for id in 1..=REQUESTS_AT_ONCE {
                let mut start = begin(id);
                start.extend(record(4, id, &pair("SCRIPT_NAME", &path)));
                if stream.write_all(&start).is_err() {
                    break;
                }
            }
            let mut chunk = [0; 4096];
            while matches!(stream.read(&mut chunk), Ok(length) if length > 0) {}
        }
        thread::sleep(Duration::from_millis(5));
    }
}
