//! Fake of the kernel on real sockets. It simulates no cores: every run completes at once.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};

/// A kernel that completes every run at once and serves successive incarnations of a node. The result of a
/// run consists of the body of its request and the number of the run among all runs of the kernel, so that no
/// two results are equal.
#[derive(Clone, Debug, Default)]
pub struct AutoKernel {
    runs: Arc<Mutex<Vec<CompletedRun>>>,
    never_completes: bool,
}

#[derive(Clone, Debug)]
struct CompletedRun {
    body: String,
    result: String,
}

/// State that the kernel keeps for one incarnation of the node at one address of the kernel, across all
/// connections of that incarnation.
#[derive(Debug, Default)]
struct Incarnation {
    /// Notices sent to this incarnation, each a line of JSON; the cursor of the first is 1.
    notices: Vec<String>,
    /// Handles of the runs that this incarnation has started.
    handles: BTreeSet<String>,
}

impl AutoKernel {
    /// Creates a kernel that never completes a run: it ignores SCHED commands.
    pub fn never_completing() -> Self {
        AutoKernel { never_completes: true, ..AutoKernel::default() }
    }

    /// Creates a kernel that serves on `listener` in background threads until the test process ends.
    pub fn serve(listener: &TcpListener) -> Self {
        let kernel = AutoKernel::default();
        kernel.serve_also(listener);
        kernel
    }

    /// Serves on a further listener, in background threads: one kernel can have several addresses.
    pub fn serve_also(&self, listener: &TcpListener) {
        let Ok(listener) = listener.try_clone() else { return };
        let kernel = self.clone();
        let incarnation = Arc::new(Mutex::new(Incarnation::default()));
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let kernel = kernel.clone();
                let incarnation = incarnation.clone();
                std::thread::spawn(move || kernel.serve_connection(stream, &incarnation));
            }
        });
    }

    fn serve_connection(&self, mut stream: TcpStream, incarnation: &Mutex<Incarnation>) {
        let Ok(copy) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut lines = BufReader::new(copy);
        let mut line = String::new();
        // The node may be killed at any point: the connection then ends, perhaps in the middle of a line.
        while matches!(lines.read_line(&mut line), Ok(n) if n > 0) {
            let Ok(command) = serde_json::from_str::<Value>(&line) else { return };
            line.clear();
            let mut incarnation = incarnation.lock().unwrap_or_else(PoisonError::into_inner);
            let reply = match command["event"].as_str() {
                Some("OPEN") => incarnation.open(&command),
                Some("SYSINFO") => gauges(&command),
                Some("SCHED") if !self.never_completes => match self.complete_run(&command, &mut incarnation)
                {
                    Some(notice) => notice,
                    None => continue,
                },
                _ => continue,
            };
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Completes the run that `command` starts and returns the notice of its end. Returns `None` if this
    /// incarnation has started the run before, because a node may repeat commands.
    fn complete_run(&self, command: &Value, incarnation: &mut Incarnation) -> Option<String> {
        if !incarnation.handles.insert(command["handle"].to_string()) {
            return None;
        }
        let body = STANDARD.decode(command["arg"].as_str().unwrap_or("")).unwrap_or_default();
        let body = String::from_utf8_lossy(&body).into_owned();
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let result = format!("{body}#{}", runs.len());
        runs.push(CompletedRun { body, result: result.clone() });
        let cursor = incarnation.notices.len() + 1;
        let notice = json!({"event": "REAP", "cursor": cursor, "handle": command["handle"],
            "fate": "good", "lasted": 1, "arg": STANDARD.encode(result)});
        let line = format!("{notice}\n");
        incarnation.notices.push(line.clone());
        Some(line)
    }

    /// Results of all runs of requests with this body, in the order of the runs.
    pub fn results(&self, body: &str) -> Vec<String> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.iter().filter(|run| run.body == body).map(|run| run.result.clone()).collect()
    }
}

impl Incarnation {
    /// Returns the reply to the OPEN command of a new connection: a notice that the kernel is up, and every
    /// notice after the cursor that the command states. A cursor of 0 is that of a new incarnation, which
    /// starts without notices.
    fn open(&mut self, command: &Value) -> String {
        let cursor = command["cursor"].as_u64().unwrap_or(0) as usize;
        if cursor == 0 {
            *self = Incarnation::default();
        }
        let boot = json!({"event": "BOOTED", "fate": "old", "lasted": 5}).to_string();
        boot + "\n" + &self.notices.get(cursor..).unwrap_or_default().concat()
    }
}

/// Returns the reply to a SYSINFO command: the gauges of a machine with little load.
fn gauges(command: &Value) -> String {
    json!({"event": "INFO", "ticket": command["ticket"], "figures": [0.1, 0.0, 0.1, 3.0]}).to_string() + "\n"
}
