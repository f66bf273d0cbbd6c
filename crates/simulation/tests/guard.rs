//! Tests of the guard: no child process of a run outlives the run, however the run ends.

use gaugestand_simulation::guard::Guard;
use std::os::unix::process::ExitStatusExt;
use std::process::{Child, Command};

// A run that is killed cannot clean up, and its child processes would go on serving and holding ports. The
// guard's shell sees that the pipe is closed and has to kill the processes on its list, and no others.
#[test]
fn guard_kills_the_watched_processes_and_no_others_when_its_pipe_is_closed() {
    let folder = std::env::temp_dir().join(format!("gaugestand-guard-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("in it")).expect("the folder is created");
    let guard = Guard::over(&folder).expect("the guard's shell starts");
    let sleep = || Command::new("sleep").arg("1000").spawn().expect("sleep starts");
    let mut watched: Vec<Child> = (0..4).map(|_| sleep()).collect();
    let mut unwatched = sleep();
    watched.iter().for_each(|child| guard.watch(child));
    // A stopped process handles no signal but SIGKILL. An ended one is taken off the list, and its neighbours
    // in the list stay on it.
    let stop = Command::new("kill").args(["-STOP", &watched[0].id().to_string()]).status();
    assert!(stop.expect("kill runs").success());
    guard.end(&mut watched[2]);
    let mut watched_later = sleep();
    guard.watch(&watched_later);
    // Closes the pipe, as the system does when the run is ended by SIGKILL.
    drop(guard);
    for (i, child) in watched.iter_mut().enumerate() {
        assert_eq!(child.wait().expect("the process is waited for").signal(), Some(9), "process {i}");
    }
    assert_eq!(watched_later.wait().expect("the process is waited for").signal(), Some(9));
    assert!(
        unwatched.try_wait().expect("the state of the process is read").is_none(),
        "an unwatched process was killed"
    );
    assert!(!folder.exists());
    let _ = unwatched.kill();
    let _ = unwatched.wait();
}
