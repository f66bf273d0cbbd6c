//! Several real processes of the node that agree on versions, with faults thrown between them.

use gaugestand_fakes::relay::Way;
use gaugestand_simulation::fakes::gateway::Verdict;
use gaugestand_simulation::process_cluster::{CONTRADICT_MS, Fault, Rig, bars, plan, play, subject};
use serde_json::{Value, json};
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_gaugestand"))
}

/// Three processes that act on a first version.
fn three(seed: u64) -> Rig {
    let rig = Rig::start(program(), 3, 1_000_000 + seed).expect("three processes");
    let version = rig.agree(0, &bars(1)).expect("a first version");
    rig.await_effect(&[0, 1, 2], version).expect("in effect");
    rig
}

/// Long enough for every lease of an older version to be over.
fn a_lease_and_more() {
    thread::sleep(Duration::from_millis(CONTRADICT_MS * 3 / 2));
}

/// Tries again until it comes to something, or fails with what was seen last.
fn until(mut done: impl FnMut() -> Result<(), String>) {
    let began = Instant::now();
    while let Err(seen) = done() {
        assert!(began.elapsed() < Duration::from_secs(20), "{seen}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Asks until it is answered like this: a version comes into effect at each node in its own time.
fn await_verdict(rig: &Rig, me: usize, mut txn: u64, about: u64, verdict: &Verdict) {
    until(|| {
        txn += 1;
        let said = rig.gateway(me).and_then(|mut g| g.read_about(txn, about).map_err(|e| e.to_string()));
        if said.as_ref() == Ok(verdict) { Ok(()) } else { Err(format!("{said:?} and not {verdict:?}")) }
    });
}

#[test]
fn what_is_agreed_holds_through_cuts_kills_and_pauses() {
    for (seed, nodes) in [(1, 3), (2, 5), (3, 3)] {
        let plan = plan(seed, nodes, 6_000);
        let outcome =
            play(program(), nodes, seed, &plan, Duration::from_millis(CONTRADICT_MS)).expect("played");
        println!("seed {seed}, {nodes} processes: {outcome}");
        let broken = &outcome.violations;
        assert!(broken.is_empty(), "seed {seed}, {nodes} processes: {broken:#?} under {plan:#?}");
        assert!(outcome.agreed > 0 && outcome.seen > 0, "seed {seed}: {outcome}");
    }
}

#[test]
fn a_node_that_is_cut_off_goes_on_with_what_nothing_can_contradict() {
    let rig = three(1);
    rig.throw(Fault::Alone(0, Way::Held, Way::Held));
    let second = rig.agree(1, &bars(2)).expect("the others are a majority");
    rig.await_effect(&[1, 2], second).expect("in effect at the others");
    let mut cut_off = rig.gateway(0).expect("it still serves");
    // Keyed, and about a subject: a newer version may say otherwise, also of what the old one bars.
    assert_eq!(cut_off.book(1, "key-1", b"b").expect("an answer"), Verdict::Refused);
    assert_eq!(cut_off.read_about(2, subject(7)).expect("an answer"), Verdict::Refused);
    assert_eq!(cut_off.read_about(3, subject(1)).expect("an answer"), Verdict::Refused);
    // What no list has a say in goes on.
    assert!(matches!(cut_off.read(4).expect("an answer"), Verdict::Served(_)));
    assert!(matches!(
        rig.gateway(1).expect("up").book(5, "key-2", b"b").expect("an answer"),
        Verdict::Served(_)
    ));
    let refused = rig.ask(0, &format!("PROPOSE - - {}", bars(3))).expect_err("it hears nobody");
    assert!(refused.contains("no majority") || refused.contains("no answer"), "{refused}");
    rig.throw(Fault::Heal);
    rig.await_effect(&[0], second).expect("in effect once it hears the others");
    assert!(matches!(cut_off.book(6, "key-1", b"b").expect("an answer"), Verdict::Served(_)));
}

// Guards against a wait, and an end of service meanwhile, for a version that contradicts nobody: each of these lets one more
// subject through, and the next one is taken at once, where it would be too early after one that is waited for.
#[test]
fn versions_that_contradict_nobody_follow_each_other_without_a_wait() {
    let rig = three(7);
    let barring = |n: u64| {
        let barred: Vec<String> = (0..n).map(|i| format!("{:016x}", subject(100 + i))).collect();
        json!({"settings": null, "lists": {"fraud": {"barred": barred}}})
    };
    let first = rig.agree(0, &barring(12)).expect("agreed");
    rig.await_effect(&[0, 1, 2], first).expect("in effect");
    for left in (0..12).rev() {
        let propose = || rig.ask(0, &format!("PROPOSE {} - {}", first + 11 - left, barring(left)));
        let mut said = propose();
        // Leadership may move under load; what must not come is that the one before is not in effect yet.
        while said.as_ref().is_err_and(|why| why.contains("no majority")) {
            thread::sleep(Duration::from_millis(20));
            said = propose();
        }
        assert_eq!(said, Ok(format!("{{\"version\":{}}}", first + 12 - left)));
    }
    rig.await_effect(&[0, 1, 2], first + 12).expect("in effect");
    for me in 0..3 {
        let said = rig.gateway(me).expect("up").read_about(1_000, subject(100)).expect("an answer");
        assert!(matches!(said, Verdict::Served(_) | Verdict::Refused), "{said:?}");
    }
    // One subject more is waited for.
    let last = rig.agree(0, &barring(1)).expect("agreed");
    rig.await_effect(&[0, 1, 2], last).expect("in effect");
    await_verdict(&rig, 1, 2_000, subject(100), &Verdict::Barred);
}

#[test]
fn a_process_that_was_stopped_decides_nothing_by_the_version_that_it_had() {
    let rig = three(2);
    let waiting: Vec<_> = (0..4).map(|_| rig.gateway(0).expect("up")).collect();
    rig.signal(0, "-STOP");
    let asked: Vec<_> = waiting
        .into_iter()
        .enumerate()
        .map(|(n, mut gateway)| {
            // They wait in its sockets until it goes on, and are read in its first turn.
            thread::spawn(move || gateway.read_about(100 + n as u64, subject(1)))
        })
        .collect();
    let second = rig.agree(1, &bars(2)).expect("the others are a majority");
    rig.await_effect(&[1, 2], second).expect("in effect at the others");
    a_lease_and_more();
    rig.signal(0, "-CONT");
    for thread in asked {
        let verdict = thread.join().expect("no panic").expect("an answer");
        // The first version bars it, the second does not: without a lease it is for another node to say.
        assert_eq!(verdict, Verdict::Refused);
    }
    rig.await_effect(&[0], second).expect("in effect");
    await_verdict(&rig, 0, 200, subject(2), &Verdict::Barred);
    let other = rig.gateway(0).expect("up").read_about(300, subject(1)).expect("an answer");
    assert!(matches!(other, Verdict::Served(_)), "{other:?}");
}

#[test]
fn what_one_node_cannot_act_on_is_turned_down_whole_with_its_name() {
    let small = |me: usize, text: &mut Value| {
        if me == 2 {
            text["settings"]["extra"]["heap-kb"] = json!(400.0);
        }
    };
    let rig = Rig::with(program(), 3, 1_000_003, small).expect("three processes");
    rig.await_effect(&[0, 1, 2], 0).expect("a majority knows that there is none");
    let mut gateway = rig.gateway(2).expect("up");
    for n in 0..30 {
        gateway.book(1 + n, &format!("key-{n}"), b"b").expect("an answer");
    }
    assert!(matches!(
        rig.gateway(1).expect("up").book(50, "key-1", b"b").expect("an answer"),
        Verdict::Served(_)
    ));
    let text = std::fs::read_to_string(rig.configuration(0)).expect("its file");
    let mut settings = serde_json::from_str::<Value>(&text).expect("JSON")["settings"].clone();
    settings["classes"][1]["dedup-window"] = json!(900_000_000_000u64);
    let content = |settings: &Value| json!({"settings": settings, "lists": {}});
    let why = rig.agree(0, &content(&settings)).expect_err("too much for one");
    assert!(why.contains("n2: keys of"), "{why}");
    // Dropping the class that is asked for is not turned down for good.
    settings["classes"][1]["dedup-window"] = json!(9_000_000_000u64);
    settings["classes"].as_array_mut().expect("classes").truncate(1);
    let why = rig.agree(0, &content(&settings)).expect_err("it starves bookings");
    assert!(why.contains("class booking is dropped") && why.contains("--force"), "{why}");
    settings["classes"][0]["goal-time"] = json!("soon");
    let why = rig.agree(0, &content(&settings)).expect_err("no number");
    assert!(why.contains("unsound"), "{why}");
    assert_eq!(rig.ask(0, "HISTORY").expect("an answer"), "[]");
    settings["classes"][0]["goal-time"] = json!(2_000_000_000u64);
    let said = rig.ask(1, &format!("PROPOSE 0 force {}", content(&settings))).expect("agreed");
    assert_eq!(said, "{\"version\":1}");
    rig.await_effect(&[0, 1, 2], 1).expect("in effect");
    // The class is closed at each of them, and another proposal from the same ground is out of date.
    assert_eq!(rig.gateway(1).expect("up").book(90, "key", b"b").expect("an answer"), Verdict::Refused);
    assert!(matches!(rig.gateway(1).expect("up").read(91).expect("an answer"), Verdict::Served(_)));
    let why = rig.ask(1, &format!("PROPOSE 0 - {}", content(&settings))).expect_err("out of date");
    assert!(why.contains("out of date: version 1"), "{why}");
}

#[test]
fn a_reload_changes_what_is_a_nodes_own_and_turns_down_what_is_the_fleets() {
    let rig = three(4);
    let text = std::fs::read_to_string(rig.configuration(0)).expect("its file");
    let settings = serde_json::from_str::<Value>(&text).expect("JSON")["settings"].clone();
    let version = rig.agree(0, &json!({"settings": settings, "lists": {}})).expect("agreed");
    rig.await_effect(&[0, 1, 2], version).expect("in effect");
    let reload = |change: &dyn Fn(&mut Value)| {
        let mut file: Value = serde_json::from_str(&text).expect("JSON");
        change(&mut file);
        std::fs::write(rig.configuration(0), file.to_string()).expect("written");
        rig.signal(0, "-HUP");
    };
    reload(&|file| file["settings"]["classes"][0]["worth"] = json!(9.0));
    rig.await_figure(0, "reload_failure", 1).expect("turned down");
    reload(&|file| file["settings"]["extra"]["cores"] = json!(5));
    rig.await_figure(0, "reload_success", 1).expect("taken");
}

#[test]
fn a_leader_is_killed_at_each_proposal_and_nothing_agreed_is_lost() {
    let rig = three(5);
    let mut agreed = vec![bars(1)];
    for round in 0..6 {
        let victim = round % 3;
        let (survivor, content) = ((victim + 1) % 3, bars(10 + round as u64));
        let proposing = thread::scope(|scope| {
            let proposal = scope.spawn(|| rig.ask(survivor, &format!("PROPOSE - - {content}")));
            // From before it was checked to after it was agreed, as the rounds go.
            thread::sleep(Duration::from_millis(round as u64 * 4));
            rig.kill(victim);
            proposal.join().expect("no panic")
        });
        rig.begin(victim).expect("it starts again");
        let known = if proposing.is_ok() { content } else { bars(20 + round as u64) };
        if proposing.is_err() {
            rig.agree(survivor, &known).expect("agreed with all there");
        }
        agreed.push(known);
        let history: Value = serde_json::from_str(&rig.ask(survivor, "HISTORY").expect("up")).expect("JSON");
        let last =
            history.as_array().and_then(|h| h.last()).and_then(|v| v["version"].as_u64()).expect("some");
        rig.await_effect(&[0, 1, 2], last).expect("in effect at all three");
        let kept: Vec<Value> = (1..=last)
            .map(|v| {
                let all: Vec<String> =
                    (0..3).map(|me| rig.ask(me, &format!("SHOW {v}")).expect("kept")).collect();
                assert!(all.iter().all(|c| *c == all[0]), "version {v}: {all:?}");
                serde_json::from_str(&all[0]).expect("JSON")
            })
            .collect();
        for content in &agreed {
            let lists = |v: &Value| v["lists"].clone();
            assert!(kept.iter().any(|k| lists(k) == lists(content)), "{content} is lost: {kept:?}");
        }
    }
}

#[test]
fn garbage_and_strangers_end_their_own_link_alone() {
    let rig = three(6);
    for said in
        [&b"\xff\xff\xff\xffgarbage"[..], &b"\x04\0\0\0\xff\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n", b""]
    {
        for me in 0..3 {
            let mut stranger = TcpStream::connect(rig.fellows(me).expect("it listens")).expect("accepted");
            stranger.write_all(said).expect("sent");
        }
    }
    // More of them than there are places, none of which says who it is.
    let crowd: Vec<TcpStream> =
        (0..40).filter_map(|n| TcpStream::connect(rig.fellows(n % 3)?).ok()).collect();
    let version = rig.agree(2, &bars(2)).expect("the fleet goes on");
    rig.await_effect(&[0, 1, 2], version).expect("in effect");
    drop(crowd);
}

/// Waits until a process says that these are in, and have a vote, by name.
fn await_votes(rig: &Rig, me: usize, names: &[&str]) {
    until(|| {
        let said = rig.ask(me, "STATUS")?;
        let status: Value = serde_json::from_str(&said).map_err(|e| e.to_string())?;
        let members = status["members"].as_array().ok_or("no members")?;
        let voters = members.iter().filter(|m| m["votes"] == true);
        let voters: Vec<&str> = voters.filter_map(|m| m["name"].as_str()).collect();
        let all = voters == names && members.len() == names.len();
        if all { Ok(()) } else { Err(format!("{names:?} and not {said}")) }
    });
}

/// Asks for a change of members until it is agreed: another version may be in work, or who leads is to give that away first.
fn change(rig: &Rig, me: usize, words: &str) {
    until(|| match rig.ask(me, words) {
        // It may be agreed though no answer came.
        Err(why) if !why.contains("has that name") => Err(format!("{words}: {why}")),
        _ => Ok(()),
    });
}

// Guards against a fleet that has to be stopped to grow, a removed node that goes on, and a dead one that cannot be replaced.
#[test]
fn a_fleet_grows_from_one_to_three_replaces_its_first_node_and_shrinks_in_service() {
    let rig = Rig::growing(program(), 1, 3, 1_000_011).expect("one process");
    let version = rig.agree(0, &bars(1)).expect("one is a majority of one");
    rig.await_effect(&[0], version).expect("in effect");
    for (me, voters) in [(1, &["n0", "n1"][..]), (2, &["n0", "n1", "n2"])] {
        rig.begin(me).expect("it starts");
        let early = rig.gateway(me).expect("up").book(1, "early", b"b").expect("an answer");
        assert_eq!(early, Verdict::Refused, "it has not been let in");
        change(&rig, 0, &format!("JOIN n{me}={}", rig.reached_at(me).expect("a relay")));
        await_votes(&rig, 0, voters);
    }
    await_verdict(&rig, 2, 100, subject(1), &Verdict::Barred);
    let twice = rig.ask(1, &format!("JOIN n2={}", rig.reached_at(3).expect("a relay"))).expect_err("taken");
    assert!(twice.contains("node n2 has that name") || twice.contains("not in effect yet"), "{twice}");
    // The one that began the fleet is lost for good, and another one takes its place.
    rig.kill(0);
    rig.begin(3).expect("it starts");
    change(&rig, 1, &format!("JOIN n3={}", rig.reached_at(3).expect("a relay")));
    await_votes(&rig, 1, &["n0", "n1", "n2", "n3"]);
    change(&rig, 1, "REMOVE n0");
    await_votes(&rig, 2, &["n1", "n2", "n3"]);
    let version = rig.agree(2, &bars(2)).expect("three go on");
    rig.await_effect(&[1, 2, 3], version).expect("in effect");
    await_verdict(&rig, 3, 200, subject(2), &Verdict::Barred);
    // It comes back with its old file: it is told, and decides nothing that is the fleet's.
    rig.begin(0).expect("it starts");
    until(|| {
        let said = rig.ask(0, "STATUS")?;
        if said.contains("\"removed\":null") { Err(format!("it is not told: {said}")) } else { Ok(()) }
    });
    assert_eq!(rig.gateway(0).expect("up").book(9, "late", b"b").expect("an answer"), Verdict::Refused);
    // Back to one.
    change(&rig, 2, "REMOVE n3");
    change(&rig, 1, "REMOVE n2");
    await_votes(&rig, 1, &["n1"]);
    let version = rig.agree(1, &bars(3)).expect("one is a majority of one");
    rig.await_effect(&[1], version).expect("in effect");
    let last = rig.ask(1, "REMOVE n1").expect_err("the last one");
    assert!(last.contains("the last node that votes"), "{last}");
}

// Guards against a sub-command whose help ends in a panic: what it takes without a name has to stand last.
#[test]
fn each_sub_command_says_how_it_is_used() {
    for name in ["status", "history", "show", "diff", "propose", "rollback", "join", "remove"] {
        let said =
            std::process::Command::new(program()).args(["fleet", name, "--help"]).output().expect("it runs");
        let help = String::from_utf8_lossy(&said.stdout).into_owned();
        assert!(said.status.success() && help.contains("Usage"), "{name}: {help} {said:?}");
    }
}
