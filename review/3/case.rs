// Case: a new configuration lengthens the window of a keyed class; keys that ran before it run again inside the window.
//
// Every second one booking is sent and served. With the disruption, the configuration file is replaced and SIGHUP is
// sent, once, in the middle of the run: the window for repeats of `booking` then is the site's 29,220 ms instead of
// 5,000 ms. Each booking is tried again 8 s after its first try. A repeat that is written to the node within the window
// of the settings in effect must not be run.
#[path = "../common/lib.rs"]
mod common;
use common::*;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SHORT_WINDOW_MS: u64 = 5_000;
const LONG_WINDOW_MS: u64 = 29_220;
const BOOKINGS: u64 = 20;
/// The new configuration comes after this many bookings.
const RELOAD_AFTER: u64 = 10;
const REPEAT_AFTER_MS: u64 = 8_000;

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
    let kernel = Kernel::start(world.clone(), note.clone(), 1, Box::new(|_, rng| vec![rng.between(5.0, 15.0), rng.between(5.0, 15.0)]));
    let (store, members) = (store(world.clone(), note.clone(), 3), membership());
    let listen = format!("127.0.0.1:{}", free_port());
    let admin = format!("127.0.0.1:{}", free_port());
    let settings = |window_ms| {
        let classes = [
            Class { name: "timetable", effect: "pure", goal_ms: 3700, deadline_ms: 9700, window_ms: 5000, calls: true },
            Class { name: "booking", effect: "token", goal_ms: 2900, deadline_ms: 9700, window_ms, calls: true },
        ];
        let site = Site {
            listen: listen.clone(), kernel: kernel.address.clone(), store: store.clone(), members: members.clone(),
            admin: admin.clone(), stop_ms: 3200, memory_mb: 192, sockets: 512, cores: 6, classes: &classes,
        };
        site.json()
    };
    let config = tmp.0.join("config.json");
    std::fs::write(&config, settings(SHORT_WINDOW_MS)).expect("the configuration");
    let mut node = Node::start(root, &config, &tmp.0, &admin, "", &tmp.0.join("node.log"));
    if !wait_until(Duration::from_secs(15), || health_check(&listen)) {
        note.both("could not run: the node did not come up");
        return COULD_NOT_RUN;
    }
    let window = Arc::new(Mutex::new(SHORT_WINDOW_MS));
    let verdicts: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut bookings = Vec::new();
    let began = Instant::now();
    for n in 1..=BOOKINGS {
        let shared = (world.clone(), note.clone(), listen.clone(), window.clone(), verdicts.clone());
        bookings.push(thread::spawn(move || {
            let (world, note, listen, window, verdicts) = shared;
            let key = format!("{:032x}", 0xabc0_0000u64 + n);
            let body = format!("booking {n}");
            let send = |txn: u64| {
                let txn = format!("{txn:016x}");
                let ingress_ms = unix_ms();
                let attempt = Attempt {
                    txn: &txn, class: "booking", key: Some(&key), body: body.as_bytes(), ingress_ms, ttl_ms: None, router: n % 4,
                };
                let answer = send_attempt(&listen, &world, &note, &attempt, Duration::from_secs(11));
                let ran = lock(&world).starts.contains_key(&txn);
                (ingress_ms, answer, ran)
            };
            let (first_ingress_ms, _, first_ran) = send(n);
            if !first_ran {
                return;
            }
            thread::sleep(Duration::from_millis(REPEAT_AFTER_MS).saturating_sub(Duration::from_millis(unix_ms() - first_ingress_ms)));
            let window_ms = *lock(&window);
            let (again_ms, _, ran_again) = send(1000 + n);
            let later_ms = again_ms - first_ingress_ms;
            if ran_again && later_ms < window_ms {
                let what = format!("duplicate: booking {n} ran again {later_ms} ms after the try that ran; the window in effect is {window_ms} ms");
                note.line(&format!("BROKEN {what}"));
                lock(&verdicts).push(what);
            }
        }));
        thread::sleep(Duration::from_millis(500));
        if trouble && n == RELOAD_AFTER {
            let new = tmp.0.join("new.json");
            std::fs::write(&new, settings(LONG_WINDOW_MS)).expect("the new configuration");
            std::fs::rename(&new, &config).expect("the new configuration");
            node.signal(SIGHUP);
            if !wait_until(Duration::from_secs(2), || admin_call(&admin, "INFO").contains("reload_success:1|")) {
                note.both("could not run: the node did not take the new configuration");
                return COULD_NOT_RUN;
            }
            *lock(&window) = LONG_WINDOW_MS;
            note.both(&format!("the node has taken the new configuration after {:.1} s: the window of booking is {LONG_WINDOW_MS} ms", began.elapsed().as_secs_f64()));
        }
    }
    for booking in bookings {
        let _ = booking.join();
    }
    let verdicts = lock(&verdicts);
    let has_crashed = node.has_ended();
    note.both(&format!("{BOOKINGS} bookings; run again inside the window: {}; node crashed {has_crashed}", verdicts.len()));
    for what in verdicts.iter().take(3) {
        note.both(what);
    }
    if verdicts.is_empty() && !has_crashed { HELD } else { BROKEN }
}
