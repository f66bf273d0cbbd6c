//! Kills the child processes of a run when the run itself ends, in whatever way, SIGKILL included.
//!
//! Guarantee: a guarded process, stopped (SIGSTOP) or not, is killed within moments of the end of the process
//! that guards it. A shell script reads a pipe whose writing end only the guarding process holds; when the pipe
//! is closed, the script kills all processes that are still on its list. A process is taken off the list before
//! it is waited for: until then, its process id cannot be reused for another process.

use std::io::{self, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// The shell script of the guard. It reads lines `+ PID` and `- PID`, which put a process on its list and take
/// it off. At the end of input it kills the listed processes and removes the folder. It ignores the signals of
/// the terminal, so that Ctrl-C ends the run first.
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

/// A shell process that kills the watched child processes and removes their folder when this value is dropped
/// or this program ends.
#[derive(Debug)]
pub struct Guard {
    shell: Child,
    commands: Mutex<Option<ChildStdin>>,
}

impl Guard {
    /// Starts a guard that watches no process yet and removes this folder at its end.
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
            // Writing fails if someone has killed the shell; the run then goes on without a guard.
            let _ = writeln!(commands, "{op} {}", child.id());
        }
    }

    /// Puts a process on the guard's list, so that it is killed when the run ends.
    pub fn watch(&self, child: &Child) {
        self.send('+', child);
    }

    /// Kills a process, takes it off the guard's list and waits for it.
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
