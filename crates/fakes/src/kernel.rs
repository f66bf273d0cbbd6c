//! A kernel on real sockets, without cores: what it is asked is done at once.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A kernel that does at once whatever it is asked, for one life of the node after the other. The result of a run
/// is the body and the number of the run among all, so that no two are alike.
#[derive(Clone, Debug, Default)]
pub struct AutoKernel {
    runs: Arc<Mutex<Vec<(String, String)>>>,
    holds: bool,
}

/// What a life of the node has at its address of the kernel, over its links.
#[derive(Debug, Default)]
struct Life {
    /// Numbered from 1.
    notices: Vec<String>,
    handles: BTreeSet<String>,
}

impl AutoKernel {
    /// One that ends no run.
    pub fn holding() -> Self {
        AutoKernel { holds: true, ..AutoKernel::default() }
    }

    /// Serves on this listener until the test ends.
    pub fn serve(listener: &TcpListener) -> Self {
        let kernel = AutoKernel::default();
        kernel.serve_also(listener);
        kernel
    }

    /// Serves on this listener as well: one kernel with several addresses.
    pub fn serve_also(&self, listener: &TcpListener) {
        let (Ok(listener), kernel) = (listener.try_clone(), self.clone()) else { return };
        let life = Arc::new(Mutex::new(Life::default()));
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let (kernel, life) = (kernel.clone(), life.clone());
                std::thread::spawn(move || kernel.link(stream, &life));
            }
        });
    }

    fn link(&self, stream: TcpStream, life: &Mutex<Life>) {
        let Ok(copy) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut lines = BufReader::new(copy);
        let mut stream = stream;
        let mut line = String::new();
        // The node may be killed at any point: then its link ends, in the middle of a line or not.
        while matches!(lines.read_line(&mut line), Ok(n) if n > 0) {
            let Ok(command) = serde_json::from_str::<Value>(&line) else { return };
            line.clear();
            let mut life = life.lock().unwrap_or_else(|e| e.into_inner());
            let said = match command["event"].as_str() {
                Some("OPEN") => {
                    let read = command["cursor"].as_u64().unwrap_or(0) as usize;
                    if read == 0 {
                        *life = Life::default();
                    }
                    let boot = json!({"event": "BOOTED", "fate": "old", "lasted": 5}).to_string();
                    boot + "\n" + &life.notices.get(read..).unwrap_or_default().concat()
                }
                Some("SYSINFO") => {
                    json!({"event": "INFO", "ticket": command["ticket"], "figures": [0.1, 0.0, 0.1, 3.0]})
                        .to_string()
                        + "\n"
                }
                Some("SCHED") if !self.holds => {
                    // One that has run, or runs, is not run again.
                    if !life.handles.insert(command["handle"].to_string()) {
                        continue;
                    }
                    let body = STANDARD.decode(command["arg"].as_str().unwrap_or("")).unwrap_or_default();
                    let body = String::from_utf8_lossy(&body).into_owned();
                    let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
                    let result = format!("{body}#{}", runs.len());
                    runs.push((body, result.clone()));
                    let cursor = life.notices.len() + 1;
                    let notice = json!({"event": "REAP", "cursor": cursor, "handle": command["handle"],
                        "fate": "good", "lasted": 1, "arg": STANDARD.encode(result)});
                    life.notices.push(format!("{notice}\n"));
                    format!("{notice}\n")
                }
                _ => continue,
            };
            if stream.write_all(said.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Results of the runs of this body, in order.
    pub fn results(&self, body: &str) -> Vec<String> {
        let runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        runs.iter().filter(|(b, _)| b == body).map(|(_, r)| r.clone()).collect()
    }
}
