//! Ends the processes of a run once the run itself has ended, in whatever way: also by SIGKILL, when nothing of its own runs.
//!
//! Guarantee: a process that was put under the guard is killed within moments of the end of whoever put it there, stopped
//! (SIGSTOP) or not. How: a small shell has the one end of a pipe whose other end only that one has; when the pipe ends, it kills
//! all that is still on its list. A process is taken off the list before it is waited for, so that its number cannot be
//! another's by then.

use std::io::{self, Write};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::Mutex;

/// Lines `+ PID` and `- PID`; at the end of them all that is left is killed, and the folder goes. Signals of the terminal are
/// not for it.
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

/// A guard over processes, and a folder of theirs.
#[derive(Debug)]
pub struct Guard {
    shell: Child,
    says: Mutex<Option<ChildStdin>>,
}

impl Guard {
    /// Starts one; at its end this folder is removed as well.
    pub fn over(folder: &std::path::Path) -> io::Result<Self> {
        let mut command = Command::new("sh");
        command.args(["-c", SCRIPT, "guard"]).arg(folder).stdin(Stdio::piped());
        let mut shell = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn()?;
        let says = Mutex::new(shell.stdin.take());
        Ok(Guard { shell, says })
    }

    fn say(&self, op: char, child: &Child) {
        let mut says = self.says.lock().unwrap_or_else(|e| e.into_inner());
        if let Some(says) = says.as_mut() {
            // One that was ended by hand guards nothing any more; the run goes on without it.
            let _ = writeln!(says, "{op} {}", child.id());
        }
    }

    /// This process is to end with the run.
    pub fn watch(&self, child: &Child) {
        self.say('+', child);
    }

    /// Kills a process and waits for it.
    pub fn end(&self, child: &mut Child) {
        let _ = child.kill();
        self.say('-', child);
        let _ = child.wait();
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        drop(self.says.lock().unwrap_or_else(|e| e.into_inner()).take());
        let _ = self.shell.wait();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::unix::process::ExitStatusExt;

    #[test]
    fn what_is_on_its_list_is_killed_when_the_pipe_ends_and_nothing_else() {
        let folder = std::env::temp_dir().join(format!("gaugestand-guard-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("in it")).expect("a folder");
        let guard = Guard::over(&folder).expect("a shell");
        let sleep = || Command::new("sleep").arg("1000").spawn().expect("it starts");
        let mut all: Vec<Child> = (0..4).map(|_| sleep()).collect();
        let mut other = sleep();
        all.iter().for_each(|child| guard.watch(child));
        // One that is stopped hears of no other signal; one that was ended is off the list, whichever stood beside it.
        let stop = Command::new("kill").args(["-STOP", &all[0].id().to_string()]).status();
        assert!(stop.expect("kill runs").success());
        guard.end(&mut all[2]);
        let mut again = sleep();
        guard.watch(&again);
        // As at the end of the run by SIGKILL: the system closes the pipe.
        drop(guard);
        for (i, child) in all.iter_mut().enumerate() {
            assert_eq!(child.wait().expect("waited for").signal(), Some(9), "process {i}");
        }
        assert_eq!(again.wait().expect("waited for").signal(), Some(9));
        assert!(other.try_wait().expect("asked").is_none(), "it was not on the list");
        assert!(!folder.exists());
        let _ = other.kill();
        let _ = other.wait();
    }
}
