//! A client that withdraws a deep health check and then sends, under the same number, a request that never ends.

use crate::common::*;
use std::path::Path;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;

pub fn run(root: &Path, folder: &Path) -> ! {
    let record = Record::new(folder);
    let temporary = temporary_folder();
    let kernel = Kernel::new(&record);
    kernel.set_check_ms(120);
    let configuration = Configuration::small(kernel.listen(), None, membership());
    let mut node = Node::start(root, &temporary, 1, &configuration.json(), free_port(), None);
    node.wait_ready();
    let mut broken = Vec::new();
    for client in 0..CLIENTS {
        let connection = Connection::open(&node.address).unwrap_or_else(|| cannot_run("connecting"));
        connection.write(&health_check(1, true));
        if has_trouble() {
            sleep_ms(20);
            connection.write(&fcgi(ABORT, 1, &[]));
        }
        let answer = connection.wait(1, Instant::now() + Duration::from_secs(3));
        let text = answer.map_or("none".to_string(), |answer| answer.status.to_string());
        record.line(&format!("client {client}: health check, answer {text}"));
        connection.reuse(1);
        let mut request = Try::new("timetable", None, "work=40");
        let bytes = request.records(1);
        // All but the last record, which ends the request.
        connection.write(&bytes[..bytes.len() - 8]);
        record.line(&format!("client {client}: request {} without its end", request.id));
        let answer = connection.wait(1, Instant::now() + Duration::from_secs(3));
        let text = answer.as_ref().map_or("none".to_string(), |answer| answer.status.to_string());
        record.line(&format!("client {client}: request {}, answer {text}", request.id));
        if answer.is_some_and(|answer| answer.is_served()) {
            broken.push(format!("client {client}: {} was answered 'served'; nothing ran", request.id));
        }
        connection.close();
        sleep_ms(1_100);
    }
    if node.has_exited() {
        broken.push("the process ended".into());
    }
    finish(&record, &temporary, &broken)
}
