//! Kills the child processes of a run once the run itself has ended, in whatever way, SIGKILL included.
//!
//! Guarantee: a guarded process is killed within moments of the end of the process that guards it, stopped (SIGSTOP) or
//! not. A small shell reads a pipe whose writing end only the guarding process holds; when the pipe ends, the shell kills
//! all that is still on its list. A process is taken off the list before it is waited for, so that its process id cannot
//! have been reused by then.

use std::io::{self, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// Reads lines `+ PID` and `- PID`; at the end of input it kills all that is left and removes the folder. It ignores the
/// signals of the terminal, so that Ctrl-C ends the run first.
const SCRIPT: &str = r#"
trap '' INT TERM HUP QUIT
pids=' '
while read -r op pid; do
    case "$op" in
        +) pids="$pids$pid " ;;
        -) pids="${pids%% $pid *} ${pids#* $pid }" ;;
    esac
done
for pid in $pids; do kill -9 "$pid"; done 2>/dev/null
rm -rf -- "$1"
"#;

/// A guard over child processes and their folder.
#[derive(Debug)]
pub struct Guard {
    shell: Child,
    commands: Mutex<Option<ChildStdin>>,
}

impl Guard {
    /// Starts a guard; at its end this folder is removed as well.
    ///
    /// # Errors
    /// The shell cannot be started.
    pub fn over(folder: &std::path::Path) -> io::Result<Self> {
        let mut command = Command::new("sh");
        command.args(["-c", SCRIPT, "guard"]).arg(folder).stdin(Stdio::piped());
        let mut shell = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let commands = Mutex::new(shell.stdin.take());
        Ok(Guard { shell, commands })
    }

    fn send(&self, op: char, child: &Child) {
        let mut commands = self.commands.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(commands) = commands.as_mut() {
            // A shell that was ended by hand guards nothing any more; the run goes on without it.
            let _ = writeln!(commands, "{op} {}", child.id());
        }
    }

    /// Has this process end with the run.
    pub fn watch(&self, child: &Child) {
        self.send('+', child);
    }

    /// Kills a process and waits for it.
    pub fn end(&self, child: &mut Child) {
        let _ = child.kill();
        self.send('-', child);
        let _ = child.wait();
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.commands.lock().unwrap_or_else(|e| e.into_inner()).take());
        let _ = self.shell.wait();
    }
}
