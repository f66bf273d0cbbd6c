//! A new configuration under which requests with a key may come again for longer, while keys that ran under the
//! shorter window are still known.

use crate::common::*;
use std::path::Path;
use std::time::{Duration, Instant};

const REQUESTS: usize = 20;
/// The window before and after the reload.
const SHORT_WINDOW_MS: u64 = 5_000;
const LONG_WINDOW_MS: u64 = 29_220;
/// A run takes longer than the gateway waits for it.
const WORK_MS: u64 = 700;
const PATIENCE_MS: u64 = 400;
/// Times from the first request to the reload, and to the first further try.
const RELOAD_AT_MS: u64 = 3_000;
const AGAIN_AT_MS: u64 = 9_000;

pub fn run(root: &Path, folder: &Path) -> ! {
    let record = Record::new(folder);
    let temporary = temporary_folder();
    let kernel = Kernel::new(&record);
    let (kernel_port, members) = (kernel.listen(), membership());
    let config = |window| {
        let mut configuration = Configuration::small(kernel_port, None, members);
        configuration.classes[2].window = window;
        configuration.json()
    };
    let mut node = Node::start(root, &temporary, 1, &config(SHORT_WINDOW_MS), free_port(), None);
    node.wait_ready();
    sleep_ms(1_000);
    let connection = Connection::open(&node.address).unwrap_or_else(|| cannot_run("connecting"));
    let began = Instant::now();
    let mut firsts: Vec<(u16, String, Try)> = Vec::new();
    for index in 0..REQUESTS {
        let (number, key) = (index as u16 + 1, format!("{index:032x}"));
        let mut request = Try::new("booking", Some(&key), &format!("work={WORK_MS} number={index}"));
        kernel.register(&request.id, "booking", Some(&key), &request.body);
        connection.write(&request.records(number));
        let answer = connection.wait(number, Instant::now() + Duration::from_millis(PATIENCE_MS));
        if answer.is_none() {
            connection.write(&fcgi(ABORT, number, &[]));
        }
        kernel.over(&request.id);
        record.line(&format!("{} key {key}: the gateway stops waiting", request.id));
        firsts.push((number, key, request));
        if began.elapsed() > Duration::from_millis(RELOAD_AT_MS - PATIENCE_MS) {
            break;
        }
    }
    sleep_ms(RELOAD_AT_MS.saturating_sub(began.elapsed().as_millis() as u64));
    if has_trouble() {
        // The new file replaces the old one as a whole.
        let path = temporary.join("config-1.json");
        let written = std::fs::write(temporary.join("new.json"), config(LONG_WINDOW_MS));
        if written.and_then(|()| std::fs::rename(temporary.join("new.json"), &path)).is_err() {
            cannot_run("replacing the configuration");
        }
        node.signal("-HUP");
        sleep_ms(200);
        let taken = node.call("INFO").is_some_and(|info| info.contains("balancer.reload_success:1|c"));
        record.line(&format!("SIGHUP; the new configuration was taken: {taken}"));
        if !taken {
            cannot_run("the new configuration was not taken");
        }
    }
    let window = if has_trouble() { LONG_WINDOW_MS } else { SHORT_WINDOW_MS };
    sleep_ms(AGAIN_AT_MS.saturating_sub(began.elapsed().as_millis() as u64));
    let connection = Connection::open(&node.address).unwrap_or_else(|| cannot_run("connecting"));
    let mut broken = Vec::new();
    for (number, key, first) in &firsts {
        let mut again = Try::new("booking", Some(key), &String::from_utf8_lossy(&first.body));
        kernel.register(&again.id, "booking", Some(key), &again.body);
        connection.write(&again.records(*number));
        let answer = connection.wait(*number, Instant::now() + Duration::from_secs(3));
        kernel.over(&again.id);
        let text = answer.map_or("none".to_string(), |answer| answer.status.to_string());
        let age = again.ingress - first.ingress;
        record.line(&format!("{} key {key}, tried again after {age} ms: {text}", again.id));
        let runs = kernel.runs().into_iter().filter(|run| run.key.as_deref() == Some(key)).count();
        if runs > 1 && age < window {
            broken.push(format!("key {key} ran {runs} times, {age} ms apart, with a window of {window} ms"));
        }
    }
    if node.has_exited() {
        broken.push("the process ended".into());
    }
    finish(&record, &temporary, &broken)
}
