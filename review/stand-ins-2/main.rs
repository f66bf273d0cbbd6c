//! The cases of the second review: `stand-ins CASE ROOT FOLDER`. Exit status: 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod common;
mod idle_clients;
mod longer_window;
mod memory_in_upgrade;
mod slow_write;
mod withdrawn_check;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = arguments.as_slice() else {
        common::cannot_run("usage: stand-ins CASE ROOT FOLDER");
    };
    let (root, folder) = (Path::new(root), Path::new(folder));
    common::limit_time(110);
    match case.as_str() {
        "memory-in-upgrade" => memory_in_upgrade::run(root, folder),
        "slow-write" => slow_write::run(root, folder),
        "idle-clients" => idle_clients::run(root, folder),
        "longer-window" => longer_window::run(root, folder),
        "withdrawn-check" => withdrawn_check::run(root, folder),
        _ => common::cannot_run("no such case"),
    }
}
