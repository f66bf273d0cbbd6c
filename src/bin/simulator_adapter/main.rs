//! Connects the simulator to the admission controller: speaks the simulator's protocol on standard input and
//! output and hosts one [`Controller`] for each worker.
//!
//! Input comes in batches (`frame`, events, `commit`). Each batch gets one reply: the actions of all workers,
//! in the order of the workers' numbers, and then `next`. The end of input ends the program. A line that cannot
//! be parsed ends it with an error that names the line.
#![forbid(unsafe_code)]

mod error;
mod fields;
mod messages;
mod replies;
mod settings;

use error::AdapterError;
use gaugestand_admission::{Action, Controller, Event, Settings, SettingsError, Time};
use messages::Message;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Size of the output buffer, in bytes: large enough that a reply for many workers takes one write or a few.
const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

/// The controller of one running worker, and the worker's events in the current batch.
struct Worker {
    controller: Controller,
    events: Vec<Event>,
}

fn main() -> ExitCode {
    let input = io::stdin().lock();
    let output = io::BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    match serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gaugestand-drill: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl BufRead, mut output: impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut text = String::new();
    let mut line = 0u64;
    loop {
        text.clear();
        if input.read_line(&mut text)? == 0 {
            return Ok(());
        }
        line += 1;
        let text = text.trim_end_matches(['\n', '\r']);
        if text.is_empty() {
            continue;
        }
        let message = messages::parse(text).map_err(|error| AdapterError::Malformed { line, error })?;
        match message {
            Message::Frame(now) => host.now = Some(now),
            Message::WorkerStarted { worker, seed, settings } => host.start(worker, seed, settings),
            Message::WorkerDied { worker } => drop(host.workers.remove(&worker)),
            Message::Event { worker, event } => host.note_event(worker, event),
            Message::Unknown => {}
            Message::Commit => {
                host.step(host.now.ok_or(AdapterError::CommitBeforeFrame { line })?);
                output.write_all(host.reply.as_bytes())?;
                output.flush()?;
                host.reply.clear();
            }
        }
    }
}

/// The running workers by number, the time of the current batch, and the reply to it.
#[derive(Default)]
struct Host {
    workers: BTreeMap<u64, Worker>,
    now: Option<Time>,
    reply: String,
    /// Buffer for the actions of one worker, reused for the next one.
    actions: Vec<Action>,
}

impl Host {
    fn start(&mut self, worker: u64, seed: u64, settings: Result<Settings, SettingsError>) {
        match settings.and_then(|settings| Controller::new(settings, seed)) {
            Ok(controller) => {
                self.workers.insert(worker, Worker { controller, events: Vec::new() });
            }
            Err(error) => replies::write_broken(&mut self.reply, worker, &error),
        }
    }

    /// Queues an event for a worker's next step. Events of workers that are unknown or could not start are
    /// dropped.
    fn note_event(&mut self, worker: u64, event: Event) {
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.events.push(event);
        }
    }

    /// Steps the controllers of all workers with their events of the batch and writes their actions to the
    /// reply.
    fn step(&mut self, now: Time) {
        for (number, worker) in &mut self.workers {
            // A new worker is stepped even without events so that it can set its first timer.
            if worker.events.is_empty() && worker.controller.is_started() {
                continue;
            }
            self.actions.clear();
            worker.controller.step(now, &worker.events, &mut self.actions);
            worker.events.clear();
            for action in &self.actions {
                replies::write_action(&mut self.reply, *number, action);
            }
        }
        replies::write_next(&mut self.reply);
    }
}
