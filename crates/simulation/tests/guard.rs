//! The guard over child processes: no process of a run outlives the run, however the run ends.

use gaugestand_simulation::guard::Guard;
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command};

// A run that is killed cannot clean up. Its processes would go on serving and holding ports; the guard's shell sees the
// pipe end and kills what is on its list, and nothing else.
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
