//! Clusters of real processes that commit versions, with faults injected between them.

use gaugestand_fakes::relay::Delivery;
use gaugestand_simulation::fakes::gateway::Reply;
use gaugestand_simulation::process_cluster::{
    CONTRADICT_MS, Fault, ProcessCluster, ProcessClusterError, blocking_content, fault_plan, run, subject,
};
use serde_json::{Value, json};
use std::fmt::Debug;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// How long something may take that is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_gaugestand"))
}

/// Three processes that act on a first version.
fn three_processes(serial: u64) -> ProcessCluster {
    let cluster = ProcessCluster::start(program(), 3, 1_000_000 + serial).expect("three processes");
    let version = cluster.commit(0, &blocking_content(1)).expect("a first version");
    cluster.await_active(&[0, 1, 2], version).expect("active");
    cluster
}

/// Sleeps until every lease of an older version has expired.
fn outlast_all_leases() {
    thread::sleep(Duration::from_millis(CONTRADICT_MS * 3 / 2));
}

/// Retries until it succeeds, or fails with the last error.
fn retry(mut attempt: impl FnMut() -> Result<(), String>) {
    let started = Instant::now();
    while let Err(error) = attempt() {
        assert!(started.elapsed() < RETRY_TIMEOUT, "{error}");
        thread::sleep(RETRY_INTERVAL);
    }
}

/// The words of a rejection.
fn rejection<T: Debug>(result: Result<T, ProcessClusterError>, because: &str) -> String {
    result.expect_err(because).to_string()
}

fn read_about(cluster: &ProcessCluster, process: usize, request: u64, subject: u64) -> Result<Reply, String> {
    let mut gateway = cluster.gateway(process).map_err(|error| error.to_string())?;
    gateway.read_about(request, subject).map_err(|error| error.to_string())
}

fn book(cluster: &ProcessCluster, process: usize, request: u64, key: &str) -> Reply {
    cluster.gateway(process).expect("up").book(request, key, b"b").expect("an answer")
}

/// Reads until the reply is this one: a version is activated at each node in its own time.
fn await_reply(cluster: &ProcessCluster, process: usize, mut request: u64, subject: u64, expected: &Reply) {
    retry(|| {
        request += 1;
        let reply = read_about(cluster, process, request, subject);
        if reply.as_ref() == Ok(expected) { Ok(()) } else { Err(format!("{reply:?} and not {expected:?}")) }
    });
}

fn parse(answer: &str) -> Value {
    serde_json::from_str(answer).expect("JSON")
}

// Processes are partitioned, killed and paused while versions are proposed. No process may act on a version after another
// one has begun to act on a newer one, and what was accepted stays.
#[test]
fn committed_versions_hold_through_partitions_kills_and_pauses() {
    for (seed, nodes) in [(1, 3), (2, 5), (3, 3)] {
        let plan = fault_plan(seed, nodes, 6_000);
        let outcome =
            run(program(), nodes, seed, &plan, Duration::from_millis(CONTRADICT_MS)).expect("a run");
        println!("seed {seed}, {nodes} processes: {outcome}");
        let violations = &outcome.violations;
        assert!(violations.is_empty(), "seed {seed}, {nodes} processes: {violations:#?} under {plan:#?}");
        assert!(outcome.accepted > 0 && outcome.observations > 0, "seed {seed}: {outcome}");
    }
}

// A node is cut off while the others commit a version that it does not know. It has to go on with what no version can
// forbid, and must not serve the rest.
#[test]
fn a_partitioned_node_serves_what_no_version_can_forbid() {
    let cluster = three_processes(1);
    cluster.inject(Fault::AllLinks { process: 0, outbound: Delivery::Withheld, inbound: Delivery::Withheld });
    let second = cluster.commit(1, &blocking_content(2)).expect("the others are a majority");
    cluster.await_active(&[1, 2], second).expect("active at the others");
    let mut cut_off = cluster.gateway(0).expect("it still serves");
    // Keyed, and about a subject: a newer version may decide otherwise, also on what the old one blocks.
    assert_eq!(cut_off.book(1, "key-1", b"b").expect("an answer"), Reply::Rejected);
    assert_eq!(cut_off.read_about(2, subject(7)).expect("an answer"), Reply::Rejected);
    assert_eq!(cut_off.read_about(3, subject(1)).expect("an answer"), Reply::Rejected);
    // What no list can name goes on.
    assert!(matches!(cut_off.read(4).expect("an answer"), Reply::Served(_)));
    assert!(matches!(book(&cluster, 1, 5, "key-2"), Reply::Served(_)));
    let proposal = cluster.call(0, &format!("PROPOSE - - {}", blocking_content(3)));
    let why = rejection(proposal, "it reaches nobody");
    assert!(why.contains("no majority") || why.contains("no answer"), "{why}");
    cluster.inject(Fault::Heal);
    cluster.await_active(&[0], second).expect("active once it reaches the others");
    assert!(matches!(cut_off.book(6, "key-1", b"b").expect("an answer"), Reply::Served(_)));
}

// An operator unblocks subjects one after the other. Such versions conflict with nobody: if they waited for old leases, the
// next proposal would come too early, and nodes would be without a lease meanwhile.
#[test]
fn compatible_versions_follow_each_other_without_a_wait() {
    let cluster = three_processes(7);
    let blocking = |count: u64| {
        let blocked: Vec<String> = (0..count).map(|i| format!("{:016x}", subject(100 + i))).collect();
        json!({"settings": null, "lists": {"fraud": {"barred": blocked}}})
    };
    let first = cluster.commit(0, &blocking(12)).expect("committed");
    cluster.await_active(&[0, 1, 2], first).expect("active");
    for left in (0..12).rev() {
        let propose = || {
            let proposal = cluster.call(0, &format!("PROPOSE {} - {}", first + 11 - left, blocking(left)));
            proposal.map_err(|error| error.to_string())
        };
        let mut answer = propose();
        // The leader may change under load; what must not come is that the version before is not active yet.
        while answer.as_ref().is_err_and(|why| why.contains("no majority")) {
            thread::sleep(RETRY_INTERVAL);
            answer = propose();
        }
        assert_eq!(answer, Ok(format!("{{\"version\":{}}}", first + 12 - left)));
    }
    cluster.await_active(&[0, 1, 2], first + 12).expect("active");
    for process in 0..3 {
        let reply = read_about(&cluster, process, 1_000, subject(100)).expect("an answer");
        assert!(matches!(reply, Reply::Served(_) | Reply::Rejected), "{reply:?}");
    }
    // Blocking one subject more does wait.
    let last = cluster.commit(0, &blocking(1)).expect("committed");
    cluster.await_active(&[0, 1, 2], last).expect("active");
    await_reply(&cluster, 1, 2_000, subject(100), &Reply::Blocked);
}

// A process is paused, and requests wait in its sockets. When it goes on, its lease has expired: it must not decide by the
// version that it had, in the very first iteration of its event loop.
#[test]
fn a_process_that_was_paused_decides_nothing_by_its_old_version() {
    let cluster = three_processes(2);
    let gateways: Vec<_> = (0..4).map(|_| cluster.gateway(0).expect("up")).collect();
    cluster.signal(0, "-STOP");
    let read = |(request, mut gateway): (usize, gaugestand_simulation::fakes::gateway::Gateway)| {
        thread::spawn(move || gateway.read_about(100 + request as u64, subject(1)))
    };
    let waiting: Vec<_> = gateways.into_iter().enumerate().map(read).collect();
    let second = cluster.commit(1, &blocking_content(2)).expect("the others are a majority");
    cluster.await_active(&[1, 2], second).expect("active at the others");
    outlast_all_leases();
    cluster.signal(0, "-CONT");
    for thread in waiting {
        let reply = thread.join().expect("no panic").expect("an answer");
        // The first version blocks it, the second does not: without a lease another node has to decide.
        assert_eq!(reply, Reply::Rejected);
    }
    cluster.await_active(&[0], second).expect("active");
    await_reply(&cluster, 0, 200, subject(2), &Reply::Blocked);
    let other = read_about(&cluster, 0, 300, subject(1)).expect("an answer");
    assert!(matches!(other, Reply::Served(_)), "{other:?}");
}

// One node has less memory than the others, or a class with load would be dropped: the proposal is rejected before anything
// is committed, with the node's name and the reason.
#[test]
fn a_version_that_one_node_could_not_act_on_is_rejected_with_its_name() {
    let small = |process: usize, config: &mut Value| {
        if process == 2 {
            config["settings"]["extra"]["heap-kb"] = json!(400.0);
        }
    };
    let cluster = ProcessCluster::with_config(program(), 3, 1_000_003, small).expect("three processes");
    cluster.await_active(&[0, 1, 2], 0).expect("a quorum knows that there is none");
    let mut gateway = cluster.gateway(2).expect("up");
    for n in 0..30 {
        gateway.book(1 + n, &format!("key-{n}"), b"b").expect("an answer");
    }
    assert!(matches!(book(&cluster, 1, 50, "key-1"), Reply::Served(_)));
    let text = std::fs::read_to_string(cluster.configuration(0)).expect("its file");
    let mut settings = parse(&text)["settings"].clone();
    settings["classes"][1]["dedup-window"] = json!(900_000_000_000u64);
    let content = |settings: &Value| json!({"settings": settings, "lists": {}});
    let why = rejection(cluster.commit(0, &content(&settings)), "too much for one node");
    assert!(why.contains("n2: keys of"), "{why}");
    // Dropping the class with load may be forced.
    settings["classes"][1]["dedup-window"] = json!(9_000_000_000u64);
    settings["classes"].as_array_mut().expect("classes").truncate(1);
    let why = rejection(cluster.commit(0, &content(&settings)), "it starves bookings");
    assert!(why.contains("class booking is dropped") && why.contains("--force"), "{why}");
    settings["classes"][0]["goal-time"] = json!("soon");
    let why = rejection(cluster.commit(0, &content(&settings)), "not a number");
    assert!(why.contains("unsound"), "{why}");
    assert_eq!(cluster.call(0, "HISTORY").expect("an answer"), "[]");
    settings["classes"][0]["goal-time"] = json!(2_000_000_000u64);
    let answer = cluster.call(1, &format!("PROPOSE 0 force {}", content(&settings))).expect("committed");
    assert_eq!(answer, "{\"version\":1}");
    cluster.await_active(&[0, 1, 2], 1).expect("active");
    // The class is closed at each node, and another proposal that expects version 0 is out of date.
    assert_eq!(book(&cluster, 1, 90, "key"), Reply::Rejected);
    assert!(matches!(cluster.gateway(1).expect("up").read(91).expect("an answer"), Reply::Served(_)));
    let why = rejection(cluster.call(1, &format!("PROPOSE 0 - {}", content(&settings))), "out of date");
    assert!(why.contains("out of date: version 1"), "{why}");
}

// An operator changes a setting of the cluster in one node's file. If that were accepted it would have no effect, and would
// look as if it had.
#[test]
fn a_reload_changes_a_nodes_own_settings_and_rejects_those_of_the_cluster() {
    let cluster = three_processes(4);
    let text = std::fs::read_to_string(cluster.configuration(0)).expect("its file");
    let settings = parse(&text)["settings"].clone();
    let version = cluster.commit(0, &json!({"settings": settings, "lists": {}})).expect("committed");
    cluster.await_active(&[0, 1, 2], version).expect("active");
    let reload = |change: &dyn Fn(&mut Value)| {
        let mut file = parse(&text);
        change(&mut file);
        std::fs::write(cluster.configuration(0), file.to_string()).expect("written");
        cluster.signal(0, "-HUP");
    };
    reload(&|file| file["settings"]["classes"][0]["worth"] = json!(9.0));
    cluster.await_metric(0, "reload_failure", 1).expect("rejected");
    reload(&|file| file["settings"]["extra"]["cores"] = json!(5));
    cluster.await_metric(0, "reload_success", 1).expect("accepted");
}

// A node, each third time the leader, is killed in the middle of a proposal, from before its validation to after its commit.
// What was accepted has to be kept by all nodes, under one number.
#[test]
fn nothing_committed_is_lost_when_a_node_is_killed_at_each_proposal() {
    let cluster = three_processes(5);
    let mut committed = vec![blocking_content(1)];
    for round in 0..6 {
        let victim = round % 3;
        let survivor = (victim + 1) % 3;
        let content = blocking_content(10 + round as u64);
        let proposed = thread::scope(|scope| {
            let proposal = scope.spawn(|| cluster.call(survivor, &format!("PROPOSE - - {content}")));
            // Later from round to round: before its validation at first, after its commit at last.
            thread::sleep(Duration::from_millis(round as u64 * 4));
            cluster.kill(victim);
            proposal.join().expect("no panic")
        });
        cluster.start_process(victim).expect("it starts again");
        let kept = if proposed.is_ok() { content } else { blocking_content(20 + round as u64) };
        if proposed.is_err() {
            cluster.commit(survivor, &kept).expect("committed with all nodes up");
        }
        committed.push(kept);
        let history = parse(&cluster.call(survivor, "HISTORY").expect("up"));
        let last = history.as_array().and_then(|history| history.last());
        let last = last.and_then(|version| version["version"].as_u64()).expect("a version");
        cluster.await_active(&[0, 1, 2], last).expect("active at all three");
        let versions: Vec<Value> = (1..=last).map(|version| same_content(&cluster, version)).collect();
        for content in &committed {
            let is_kept = versions.iter().any(|version| version["lists"] == content["lists"]);
            assert!(is_kept, "{content} is lost: {versions:?}");
        }
    }
}

/// The content of a version, which has to be the same at all three processes.
fn same_content(cluster: &ProcessCluster, version: u64) -> Value {
    let show = |process| cluster.call(process, &format!("SHOW {version}")).expect("kept");
    let contents: Vec<String> = (0..3).map(show).collect();
    assert!(contents.iter().all(|content| *content == contents[0]), "version {version}: {contents:?}");
    parse(&contents[0])
}

// Strangers connect to the address for nodes, send garbage, or nothing at all: no link between nodes may suffer.
#[test]
fn garbage_and_strangers_end_their_own_link_alone() {
    let cluster = three_processes(6);
    for garbage in
        [&b"\xff\xff\xff\xffgarbage"[..], &b"\x04\0\0\0\xff\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n", b""]
    {
        for process in 0..3 {
            let address = cluster.peer_address(process).expect("it listens");
            let mut stranger = TcpStream::connect(address).expect("accepted");
            stranger.write_all(garbage).expect("sent");
        }
    }
    // More connections than there are places, none of which identifies itself.
    let connect = |n: usize| TcpStream::connect(cluster.peer_address(n % 3)?).ok();
    let strangers: Vec<TcpStream> = (0..40).filter_map(connect).collect();
    let version = cluster.commit(2, &blocking_content(2)).expect("the cluster goes on");
    cluster.await_active(&[0, 1, 2], version).expect("active");
    drop(strangers);
}

/// Waits until a process reports that these are the members, by name, and that all of them vote.
fn await_voters(cluster: &ProcessCluster, process: usize, names: &[&str]) {
    retry(|| {
        let answer = cluster.call(process, "STATUS").map_err(|error| error.to_string())?;
        let status: Value = serde_json::from_str(&answer).map_err(|error| error.to_string())?;
        let members = status["members"].as_array().ok_or("no members")?;
        let voters = members.iter().filter(|member| member["votes"] == true);
        let voters: Vec<&str> = voters.filter_map(|member| member["name"].as_str()).collect();
        let all = voters == names && members.len() == names.len();
        if all { Ok(()) } else { Err(format!("{names:?} and not {answer}")) }
    });
}

/// Requests a change of the membership until it is committed: another version may be pending, or the leader may have to hand
/// over leadership first.
fn change_membership(cluster: &ProcessCluster, process: usize, call: &str) {
    retry(|| match cluster.call(process, call).map_err(|error| error.to_string()) {
        // It may be committed though no answer came.
        Err(why) if !why.contains("has that name") => Err(format!("{call}: {why}")),
        _ => Ok(()),
    });
}

// An operator grows a cluster in service, replaces a node that is lost, and shrinks it again. If that needed a stop, or a
// removed node went on deciding, clients would notice.
#[test]
fn a_cluster_grows_from_one_to_three_replaces_its_first_node_and_shrinks_in_service() {
    let cluster = ProcessCluster::with_spares(program(), 1, 3, 1_000_011).expect("one process");
    let join =
        |name: &str, process| format!("JOIN {name}={}", cluster.relay_address(process).expect("a relay"));
    let version = cluster.commit(0, &blocking_content(1)).expect("one is a majority of one");
    cluster.await_active(&[0], version).expect("active");
    for (process, voters) in [(1, &["n0", "n1"][..]), (2, &["n0", "n1", "n2"])] {
        cluster.start_process(process).expect("it starts");
        assert_eq!(book(&cluster, process, 1, "early"), Reply::Rejected, "it has not joined");
        change_membership(&cluster, 0, &join(&format!("n{process}"), process));
        await_voters(&cluster, 0, voters);
    }
    await_reply(&cluster, 2, 100, subject(1), &Reply::Blocked);
    let twice = rejection(cluster.call(1, &join("n2", 3)), "a name that a member has");
    assert!(twice.contains("node n2 has that name") || twice.contains("not in effect yet"), "{twice}");
    // The first node is lost for good, and another one takes its place.
    cluster.kill(0);
    cluster.start_process(3).expect("it starts");
    change_membership(&cluster, 1, &join("n3", 3));
    await_voters(&cluster, 1, &["n0", "n1", "n2", "n3"]);
    change_membership(&cluster, 1, "REMOVE n0");
    await_voters(&cluster, 2, &["n1", "n2", "n3"]);
    let version = cluster.commit(2, &blocking_content(2)).expect("three go on");
    cluster.await_active(&[1, 2, 3], version).expect("active");
    await_reply(&cluster, 3, 200, subject(2), &Reply::Blocked);
    // It comes back with its old log: it learns of its removal, and decides nothing that is the cluster's.
    cluster.start_process(0).expect("it starts");
    retry(|| {
        let status = cluster.call(0, "STATUS").map_err(|error| error.to_string())?;
        let knows = !status.contains("\"removed\":null");
        if knows { Ok(()) } else { Err(format!("it does not know: {status}")) }
    });
    assert_eq!(book(&cluster, 0, 9, "late"), Reply::Rejected);
    // Back to one.
    change_membership(&cluster, 2, "REMOVE n3");
    change_membership(&cluster, 1, "REMOVE n2");
    await_voters(&cluster, 1, &["n1"]);
    let version = cluster.commit(1, &blocking_content(3)).expect("one is a majority of one");
    cluster.await_active(&[1], version).expect("active");
    let why = rejection(cluster.call(1, "REMOVE n1"), "the last voter");
    assert!(why.contains("the last node that votes"), "{why}");
}

// An operator's script calls the second address by hand and gets a word wrong: the answer has to say what is expected, and
// nothing may be proposed.
#[test]
fn malformed_operator_calls_are_rejected_with_what_is_expected() {
    let cluster = ProcessCluster::start(program(), 1, 1_000_012).expect("one process");
    let calls = "there are STATUS, HISTORY, SHOW, PROPOSE, ROLLBACK, JOIN and REMOVE";
    let join = "JOIN takes a name and an address, as in n4=10.0.0.4:7000";
    let propose = "PROPOSE takes a version or -, force or -, and the content";
    let cases = [
        ("", calls),
        ("STATUS now", calls),
        ("JOIN", calls),
        ("REMOVE", calls),
        ("JOIN n4", join),
        ("JOIN n4=10.0.0.4", join),
        ("REMOVE n4", "no node of the fleet has that name"),
        ("SHOW", "no such version is kept"),
        ("SHOW one", "no such version is kept"),
        ("ROLLBACK 9 force", "no such version is kept"),
        ("PROPOSE", propose),
        ("PROPOSE - -", propose),
        ("PROPOSE last - {}", propose),
    ];
    for (call, expected) in cases {
        assert_eq!(rejection(cluster.call(0, call), call), format!("error {expected}"), "{call}");
    }
    assert_eq!(cluster.call(0, "HISTORY").expect("an answer"), "[]");
}

// Help of a sub-command ends in a panic of the parser if a positional argument does not come last.
#[test]
fn each_sub_command_prints_its_help() {
    for name in ["status", "history", "show", "diff", "propose", "rollback", "join", "remove"] {
        let output =
            std::process::Command::new(program()).args(["fleet", name, "--help"]).output().expect("it runs");
        let help = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && help.contains("Usage"), "{name}: {help} {output:?}");
    }
}
