// Case: the link to the kernel breaks, and a run gets the reply to its first call as the reply to its second one.
//
// Gateways send ordinary requests; runs of `timetable` make two calls, one after the other. With the disruption, the
// link to the kernel breaks about once a second, and one notice in three arrives in two pieces. The kernel gives a run
// that waits for a call the reply that comes with the next IODONE for it, and ignores an IODONE for any other run.
#[path = "../common/lib.rs"]
mod common;
use common::*;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// First tries a second, over all gateways.
const TRIES_PER_S: f64 = 150.0;
const GATEWAYS: u64 = 40;
const SECONDS: u64 = 80;
/// Mean time between two breaks of the link to the kernel.
const BREAK_EVERY_S: f64 = 1.0;
/// Longest pause between two pieces of a notice; one notice in three arrives in two pieces.
const MAX_PAUSE_MS: f64 = 20.0;

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
    // Two calls for a timetable, one for the others, and work of some milliseconds before, between and after them.
    let plan: Plan = Box::new(|class, rng| {
        let mut part = |mean: f64| rng.between(0.3 * mean, 1.7 * mean);
        match class {
            "timetable" => vec![part(6.0), part(6.0), part(6.0)],
            _ => vec![part(8.0), part(8.0)],
        }
    });
    let kernel = Kernel::start(world.clone(), note.clone(), 1, plan);
    let store = store(world.clone(), note.clone(), 3);
    let class = |name, effect, goal_ms| Class { name, effect, goal_ms, deadline_ms: 9700, window_ms: 29220, calls: true };
    let classes = [class("timetable", "pure", 3700), class("fare-quote", "pure", 3700), class("booking", "token", 2900)];
    let listen = format!("127.0.0.1:{}", free_port());
    let admin = format!("127.0.0.1:{}", free_port());
    let site = Site {
        listen: listen.clone(),
        kernel: kernel.address.clone(),
        store,
        members: membership(),
        admin: admin.clone(),
        stop_ms: 3200,
        memory_mb: 192,
        sockets: 512,
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
    if trouble {
        kernel.send_in_pieces(MAX_PAUSE_MS);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let counts: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let mut gateways = Vec::new();
    for gateway in 0..GATEWAYS {
        let (stop, next, world, note, listen, counts) =
            (stop.clone(), next.clone(), world.clone(), note.clone(), listen.clone(), counts.clone());
        gateways.push(thread::spawn(move || {
            let mut rng = Rng(1000 + gateway);
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_secs_f64(rng.between(0.5, 1.5) * GATEWAYS as f64 / TRIES_PER_S - 0.03));
                let n = next.fetch_add(1, Ordering::Relaxed);
                let (txn, key) = (format!("{n:016x}"), format!("{:032x}", 0xabc0_0000u64 + n));
                let (class, key) = match rng.next() % 10 {
                    0..6 => ("timetable", None),
                    6..8 => ("fare-quote", None),
                    _ => ("booking", Some(key.as_str())),
                };
                let body = format!("body of {n}");
                let attempt = Attempt {
                    txn: &txn, class, key, body: body.as_bytes(), ingress_ms: unix_ms(), ttl_ms: None, router: gateway % 5,
                };
                let answer = send_attempt(&listen, &world, &note, &attempt, Duration::from_secs(11));
                let what = answer.map_or("no whole answer".to_string(), |answer| answer.status.to_string());
                *lock(&counts).entry(what).or_default() += 1;
            }
        }));
    }
    let began = Instant::now();
    let mut rng = Rng(77);
    while began.elapsed() < Duration::from_secs(SECONDS) && !node.has_ended() {
        thread::sleep(Duration::from_secs_f64(rng.between(0.5, 1.5) * BREAK_EVERY_S));
        if trouble {
            kernel.break_link();
        }
    }
    stop.store(true, Ordering::Relaxed);
    for gateway in gateways {
        let _ = gateway.join();
    }
    let has_crashed = node.has_ended();
    let world = lock(&world);
    let twice = world.starts.values().filter(|starts| **starts > 1).count();
    note.both(&format!(
        "answers {:?}; links broken {}; requests started twice {twice}; rules broken {}; node crashed {has_crashed}",
        lock(&counts), world.links_broken, world.broken.len()
    ));
    for what in world.broken.iter().take(5) {
        note.both(what);
    }
    if world.broken.is_empty() && !has_crashed { HELD } else { BROKEN }
}
