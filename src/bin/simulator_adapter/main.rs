//! Hosts one [`Controller`] for each instance of the simulator's wire, on standard input and output.
#![forbid(unsafe_code)]

mod wire;

use gaugestand_admission::{Action, Controller, Event, Time};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use wire::{Message, WireError};

/// One hosted worker life and the events it has in the current batch.
struct Instance {
    controller: Controller,
    events: Vec<Event>,
}

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = io::BufWriter::with_capacity(1 << 16, io::stdout().lock());
    match serve(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("gaugestand-drill: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), String> {
    let mut instances: BTreeMap<u64, Instance> = BTreeMap::new();
    let mut now: Option<Time> = None;
    let mut reply = String::new();
    let mut actions: Vec<Action> = Vec::new();
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|e| e.to_string())? == 0 {
            return Ok(());
        }
        number += 1;
        let text = line.trim_end_matches(['\n', '\r']);
        if text.is_empty() {
            continue;
        }
        let at = |e: WireError| format!("line {number}: {e}");
        match wire::parse(text).map_err(at)? {
            Message::Frame(t) => now = Some(t),
            Message::Up { who, seed, settings } => match settings.and_then(|s| Controller::new(s, seed)) {
                Ok(controller) => {
                    instances.insert(who, Instance { controller, events: Vec::new() });
                }
                Err(e) => wire::write_broken(&mut reply, who, &e.to_string()),
            },
            Message::Exit { who } => {
                instances.remove(&who);
            }
            Message::Event { who, event } => {
                if let Some(i) = instances.get_mut(&who) {
                    i.events.push(event);
                }
            }
            Message::Unknown => {}
            Message::Commit => {
                let t = now.ok_or_else(|| format!("line {number}: commit before any frame"))?;
                for (who, i) in &mut instances {
                    // A fresh instance steps once without events so that it can set its first timer.
                    if i.events.is_empty() && i.controller.is_started() {
                        continue;
                    }
                    actions.clear();
                    i.controller.step(t, &i.events, &mut actions);
                    i.events.clear();
                    for a in &actions {
                        wire::write_action(&mut reply, *who, a);
                    }
                }
                reply.push_str("next\n");
                output.write_all(reply.as_bytes()).map_err(|e| e.to_string())?;
                output.flush().map_err(|e| e.to_string())?;
                reply.clear();
            }
        }
    }
}
