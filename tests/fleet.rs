//! Tests of clusters of real node processes that commit versions of the cluster's settings, with faults
//! injected into the links between the processes.

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

/// Longest time for which [`retry`] repeats an operation before the test fails.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two attempts of a repeated operation.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The executable of the node under test.
fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_gaugestand"))
}

/// Starts a cluster of three processes, commits a first version, which blocks `subject(1)`, and waits until
/// it is active at all three. `serial`, a number that no other test uses, distinguishes the folder of this
/// cluster from those of other clusters.
fn three_processes(serial: u64) -> ProcessCluster {
    let cluster = ProcessCluster::start(program(), 3, 1_000_000 + serial).expect("three processes start");
    let version = cluster.commit(0, &blocking_content(1)).expect("the first version is committed");
    cluster.await_active(&[0, 1, 2], version).expect("the first version is active at all three");
    cluster
}

/// Sleeps for one and a half lease durations, after which every lease of an older version has expired.
fn wait_until_leases_expire() {
    thread::sleep(Duration::from_millis(CONTRADICT_MS * 3 / 2));
}

/// Repeats `attempt` until it succeeds. Panics with its last error once [`RETRY_TIMEOUT`] has passed.
fn retry(mut attempt: impl FnMut() -> Result<(), String>) {
    let started = Instant::now();
    while let Err(error) = attempt() {
        assert!(started.elapsed() < RETRY_TIMEOUT, "{error}");
        thread::sleep(RETRY_INTERVAL);
    }
}

/// The error text of an operator's call that must be rejected. `because` is the reason for the rejection; it
/// is the panic message if the call succeeds.
fn rejection<T: Debug>(result: Result<T, ProcessClusterError>, because: &str) -> String {
    result.expect_err(because).to_string()
}

/// Sends a read about this subject to a process on a connection of its own.
fn read_about(cluster: &ProcessCluster, process: usize, request: u64, subject: u64) -> Result<Reply, String> {
    let mut gateway = cluster.gateway(process).map_err(|error| error.to_string())?;
    gateway.read_about(request, subject).map_err(|error| error.to_string())
}

/// Sends a keyed request to a process on a connection of its own.
fn book(cluster: &ProcessCluster, process: usize, request: u64, key: &str) -> Reply {
    cluster.gateway(process).expect("the process serves").book(request, key, b"b").expect("the node answers")
}

/// Repeats a read about a subject, with a new request id each time, until the reply is `expected`. A single
/// read is not enough, as each node activates a version at its own time.
fn await_reply(cluster: &ProcessCluster, process: usize, mut request: u64, subject: u64, expected: &Reply) {
    retry(|| {
        request += 1;
        let reply = read_about(cluster, process, request, subject);
        if reply.as_ref() == Ok(expected) {
            Ok(())
        } else {
            Err(format!("reply {reply:?}, expected {expected:?}"))
        }
    });
}

/// Parses the JSON of an operator's call or a configuration file.
fn parse(answer: &str) -> Value {
    serde_json::from_str(answer).expect("valid JSON")
}

// Processes are partitioned, killed and paused while versions are proposed. No process may act on a version
// more than one lease duration after another process has acted on a newer one, and no accepted version may be
// lost.
#[test]
fn committed_versions_stay_in_effect_through_partitions_kills_and_pauses() {
    for (seed, nodes) in [(1, 3), (2, 5), (3, 3)] {
        let plan = fault_plan(seed, nodes, 6_000);
        let outcome = run(program(), nodes, seed, &plan, Duration::from_millis(CONTRADICT_MS))
            .expect("the processes start");
        println!("seed {seed}, {nodes} processes: {outcome}");
        let violations = &outcome.violations;
        assert!(violations.is_empty(), "seed {seed}, {nodes} processes: {violations:#?} under {plan:#?}");
        assert!(outcome.accepted > 0 && outcome.observations > 0, "seed {seed}: {outcome}");
    }
}

// One node is partitioned while the others commit a version that the partitioned node does not know. The
// partitioned node must serve the requests that no version can block, and reject all others.
#[test]
fn a_partitioned_node_serves_only_requests_that_no_version_can_block() {
    let cluster = three_processes(1);
    cluster.inject(Fault::AllLinks { process: 0, outbound: Delivery::Withheld, inbound: Delivery::Withheld });
    let second = cluster.commit(1, &blocking_content(2)).expect("the other two are a majority");
    cluster.await_active(&[1, 2], second).expect("the version becomes active at the other two");
    let mut partitioned_gateway = cluster.gateway(0).expect("the partitioned node accepts connections");
    // The node rejects a keyed request and reads about a subject, because a newer version may decide
    // otherwise on them, even on `subject(1)`, which the old version blocks.
    assert_eq!(partitioned_gateway.book(1, "key-1", b"b").expect("the node answers"), Reply::Rejected);
    assert_eq!(partitioned_gateway.read_about(2, subject(7)).expect("the node answers"), Reply::Rejected);
    assert_eq!(partitioned_gateway.read_about(3, subject(1)).expect("the node answers"), Reply::Rejected);
    // The node serves a read without a subject, because no list can name it.
    assert!(matches!(partitioned_gateway.read(4).expect("the node answers"), Reply::Served(_)));
    assert!(matches!(book(&cluster, 1, 5, "key-2"), Reply::Served(_)));
    let proposal = cluster.call(0, &format!("PROPOSE - - {}", blocking_content(3)));
    let why = rejection(proposal, "the proposer reaches no other node");
    assert!(why.contains("no majority") || why.contains("no answer"), "{why}");
    cluster.inject(Fault::Heal);
    cluster
        .await_active(&[0], second)
        .expect("the version becomes active at the partitioned node after the partition");
    assert!(matches!(
        partitioned_gateway.book(6, "key-1", b"b").expect("the node answers"),
        Reply::Served(_)
    ));
}

// An operator unblocks 12 subjects one after the other. A version that only removes blocks does not conflict
// with any older version, so it becomes active without waiting for the expiry of old leases. If each version
// waited, the next proposal would be rejected because the previous version is not active yet, and nodes would
// have no lease meanwhile.
#[test]
fn versions_that_only_unblock_become_active_without_waiting_for_old_leases() {
    let cluster = three_processes(7);
    let blocking = |count: u64| {
        let blocked: Vec<String> = (0..count).map(|i| format!("{:016x}", subject(100 + i))).collect();
        json!({"settings": null, "lists": {"fraud": {"barred": blocked}}})
    };
    let first = cluster.commit(0, &blocking(12)).expect("the version is committed");
    cluster.await_active(&[0, 1, 2], first).expect("the version becomes active");
    for left in (0..12).rev() {
        let propose = || {
            let proposal = cluster.call(0, &format!("PROPOSE {} - {}", first + 11 - left, blocking(left)));
            proposal.map_err(|error| error.to_string())
        };
        let mut answer = propose();
        // On a busy machine the leader may change, so a rejection with `no majority` is retried. Any other
        // rejection fails the test, in particular one because the previous version is not active yet.
        while answer.as_ref().is_err_and(|why| why.contains("no majority")) {
            thread::sleep(RETRY_INTERVAL);
            answer = propose();
        }
        assert_eq!(answer, Ok(format!("{{\"version\":{}}}", first + 12 - left)));
    }
    cluster.await_active(&[0, 1, 2], first + 12).expect("the version becomes active");
    for process in 0..3 {
        let reply = read_about(&cluster, process, 1_000, subject(100)).expect("the node answers");
        assert!(matches!(reply, Reply::Served(_) | Reply::Rejected), "{reply:?}");
    }
    // A version that blocks a further subject waits for the expiry of old leases, and becomes active after
    // that.
    let last = cluster.commit(0, &blocking(1)).expect("the version is committed");
    cluster.await_active(&[0, 1, 2], last).expect("the version becomes active");
    await_reply(&cluster, 1, 2_000, subject(100), &Reply::Blocked);
}

// A process is paused until its lease has expired, while requests wait in its sockets. After the pause it
// must not decide by its old version, even in the first iteration of its event loop.
#[test]
fn a_process_that_was_paused_decides_nothing_by_its_old_version() {
    let cluster = three_processes(2);
    let gateways: Vec<_> = (0..4).map(|_| cluster.gateway(0).expect("the process serves")).collect();
    cluster.signal(0, "-STOP");
    let read = |(request, mut gateway): (usize, gaugestand_simulation::fakes::gateway::Gateway)| {
        thread::spawn(move || gateway.read_about(100 + request as u64, subject(1)))
    };
    let waiting: Vec<_> = gateways.into_iter().enumerate().map(read).collect();
    let second = cluster.commit(1, &blocking_content(2)).expect("the other two are a majority");
    cluster.await_active(&[1, 2], second).expect("the version becomes active at the other two");
    wait_until_leases_expire();
    cluster.signal(0, "-CONT");
    for thread in waiting {
        let reply = thread.join().expect("the reader does not panic").expect("the node answers");
        // The first version blocks the subject, the second does not. Without a lease the node must reject the
        // request, so that another node decides.
        assert_eq!(reply, Reply::Rejected);
    }
    cluster.await_active(&[0], second).expect("the version becomes active");
    await_reply(&cluster, 0, 200, subject(2), &Reply::Blocked);
    let other = read_about(&cluster, 0, 300, subject(1)).expect("the node answers");
    assert!(matches!(other, Reply::Served(_)), "{other:?}");
}

// In one case a node has less memory than the others and could not hold the keys of the proposed window; in
// another the proposal drops a class that has load. The cluster rejects such a proposal before it commits
// anything, and names the node and the reason.
#[test]
fn a_version_that_one_node_could_not_act_on_is_rejected_with_its_name() {
    let small = |process: usize, config: &mut Value| {
        if process == 2 {
            config["settings"]["extra"]["heap-kb"] = json!(400.0);
        }
    };
    let cluster = ProcessCluster::with_config(program(), 3, 1_000_003, small).expect("three processes start");
    cluster.await_active(&[0, 1, 2], 0).expect("a quorum confirms that there is no version");
    let mut gateway = cluster.gateway(2).expect("the process serves");
    for n in 0..30 {
        gateway.book(1 + n, &format!("key-{n}"), b"b").expect("the node answers");
    }
    assert!(matches!(book(&cluster, 1, 50, "key-1"), Reply::Served(_)));
    let text = std::fs::read_to_string(cluster.configuration(0)).expect("the configuration file is read");
    let mut settings = parse(&text)["settings"].clone();
    settings["classes"][1]["dedup-window"] = json!(900_000_000_000u64);
    let content = |settings: &Value| json!({"settings": settings, "lists": {}});
    let why = rejection(cluster.commit(0, &content(&settings)), "the keys need more memory than n2 has");
    assert!(why.contains("n2: keys of"), "{why}");
    // A proposal that drops a class with load is rejected unless the operator forces it, as the last proposal
    // does.
    settings["classes"][1]["dedup-window"] = json!(9_000_000_000u64);
    settings["classes"].as_array_mut().expect("the classes are an array").truncate(1);
    let why = rejection(cluster.commit(0, &content(&settings)), "the class that is dropped has load");
    assert!(why.contains("class booking is dropped") && why.contains("--force"), "{why}");
    settings["classes"][0]["goal-time"] = json!("soon");
    let why = rejection(cluster.commit(0, &content(&settings)), "goal-time is not a number");
    assert!(why.contains("unsound"), "{why}");
    assert_eq!(cluster.call(0, "HISTORY").expect("the node answers"), "[]");
    settings["classes"][0]["goal-time"] = json!(2_000_000_000u64);
    let answer = cluster
        .call(1, &format!("PROPOSE 0 force {}", content(&settings)))
        .expect("the version is committed");
    assert_eq!(answer, "{\"version\":1}");
    cluster.await_active(&[0, 1, 2], 1).expect("the version becomes active");
    // Each node now rejects requests of the dropped class. A further proposal that expects version 0 is out
    // of date.
    assert_eq!(book(&cluster, 1, 90, "key"), Reply::Rejected);
    assert!(matches!(
        cluster.gateway(1).expect("the process serves").read(91).expect("the node answers"),
        Reply::Served(_)
    ));
    let why = rejection(
        cluster.call(1, &format!("PROPOSE 0 - {}", content(&settings))),
        "the proposal expects version 0",
    );
    assert!(why.contains("out of date: version 1"), "{why}");
}

// An operator changes a setting of the cluster in the configuration file of one node, and reloads it. The
// node must reject the reload. If the node accepted it, the change would have no effect, but the operator
// would believe that the change was in effect.
#[test]
fn a_reload_changes_a_nodes_own_settings_and_rejects_those_of_the_cluster() {
    let cluster = three_processes(4);
    let text = std::fs::read_to_string(cluster.configuration(0)).expect("the configuration file is read");
    let settings = parse(&text)["settings"].clone();
    let version =
        cluster.commit(0, &json!({"settings": settings, "lists": {}})).expect("the version is committed");
    cluster.await_active(&[0, 1, 2], version).expect("the version becomes active");
    let reload = |change: &dyn Fn(&mut Value)| {
        let mut file = parse(&text);
        change(&mut file);
        std::fs::write(cluster.configuration(0), file.to_string())
            .expect("the configuration file is written");
        cluster.signal(0, "-HUP");
    };
    reload(&|file| file["settings"]["classes"][0]["worth"] = json!(9.0));
    cluster.await_metric(0, "reload_failure", 1).expect("the node rejects the reload");
    reload(&|file| file["settings"]["extra"]["cores"] = json!(5));
    cluster.await_metric(0, "reload_success", 1).expect("the node accepts the reload");
}

// In each round another node, every third time the leader, is killed at another point of a proposal, from
// before the validation of the proposal to after its commit. All nodes must keep each accepted version, under
// the same number.
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
            // The kill comes later in each round: in the first before the validation, in the last after the
            // commit.
            thread::sleep(Duration::from_millis(round as u64 * 4));
            cluster.kill(victim);
            proposal.join().expect("the proposer does not panic")
        });
        cluster.start_process(victim).expect("the killed process starts again");
        let kept = if proposed.is_ok() { content } else { blocking_content(20 + round as u64) };
        if proposed.is_err() {
            cluster.commit(survivor, &kept).expect("the version is committed while all nodes are up");
        }
        committed.push(kept);
        let history = parse(&cluster.call(survivor, "HISTORY").expect("the node answers"));
        let last = history.as_array().and_then(|history| history.last());
        let last = last.and_then(|version| version["version"].as_u64()).expect("the history has a version");
        cluster.await_active(&[0, 1, 2], last).expect("the version becomes active at all three");
        let versions: Vec<Value> =
            (1..=last).map(|version| content_at_all_processes(&cluster, version)).collect();
        for content in &committed {
            let is_kept = versions.iter().any(|version| version["lists"] == content["lists"]);
            assert!(is_kept, "no version has the accepted content {content}: {versions:?}");
        }
    }
}

/// The content of this version. Panics unless all three processes have the version with the same content.
fn content_at_all_processes(cluster: &ProcessCluster, version: u64) -> Value {
    let show =
        |process| cluster.call(process, &format!("SHOW {version}")).expect("the process keeps the version");
    let contents: Vec<String> = (0..3).map(show).collect();
    assert!(contents.iter().all(|content| *content == contents[0]), "version {version}: {contents:?}");
    parse(&contents[0])
}

// Clients that are not nodes connect to the peer address of each node, and send garbage or nothing. The links
// between the nodes must not be affected.
#[test]
fn garbage_and_silent_connections_do_not_affect_links_between_nodes() {
    let cluster = three_processes(6);
    for garbage in
        [&b"\xff\xff\xff\xffgarbage"[..], &b"\x04\0\0\0\xff\xff\xff\xff"[..], b"GET / HTTP/1.1\r\n\r\n", b""]
    {
        for process in 0..3 {
            let address = cluster.peer_address(process).expect("the process listens");
            let mut stream = TcpStream::connect(address).expect("the connection is accepted");
            stream.write_all(garbage).expect("the garbage is sent");
        }
    }
    // These are more connections than the nodes accept, and no client identifies itself on them.
    let connect = |n: usize| TcpStream::connect(cluster.peer_address(n % 3)?).ok();
    let idle_connections: Vec<TcpStream> = (0..40).filter_map(connect).collect();
    let version = cluster.commit(2, &blocking_content(2)).expect("the cluster still commits");
    cluster.await_active(&[0, 1, 2], version).expect("the version becomes active");
    drop(idle_connections);
}

/// Waits until a process reports exactly these members, by name and in this order, and all of them as voters.
fn await_voters(cluster: &ProcessCluster, process: usize, names: &[&str]) {
    retry(|| {
        let answer = cluster.call(process, "STATUS").map_err(|error| error.to_string())?;
        let status: Value = serde_json::from_str(&answer).map_err(|error| error.to_string())?;
        let members = status["members"].as_array().ok_or("no members")?;
        let voters = members.iter().filter(|member| member["votes"] == true);
        let voters: Vec<&str> = voters.filter_map(|member| member["name"].as_str()).collect();
        let is_expected = voters == names && members.len() == names.len();
        if is_expected { Ok(()) } else { Err(format!("expected the voters {names:?}, got {answer}")) }
    });
}

/// Repeats an operator's call that changes the membership until the change is committed. A call fails while
/// another version is pending, or until the leader has handed over its leadership.
fn change_membership(cluster: &ProcessCluster, process: usize, call: &str) {
    retry(|| match cluster.call(process, call).map_err(|error| error.to_string()) {
        // An earlier call whose answer was lost may have committed the change: the name is then taken, or no
        // longer known.
        Err(why) if !why.contains("has that name") => Err(format!("{call}: {why}")),
        _ => Ok(()),
    });
}

// An operator adds nodes to a cluster in service, replaces a lost node, and removes nodes again. Clients
// must not notice: the cluster needs no stop, and a removed node no longer decides.
#[test]
fn a_cluster_grows_from_one_to_three_replaces_its_first_node_and_shrinks_in_service() {
    let cluster = ProcessCluster::with_spares(program(), 1, 3, 1_000_011).expect("one process starts");
    let join = |name: &str, process| {
        format!("JOIN {name}={}", cluster.relay_address(process).expect("the process has a relay"))
    };
    let version = cluster.commit(0, &blocking_content(1)).expect("one node is a majority of one");
    cluster.await_active(&[0], version).expect("the version becomes active");
    for (process, voters) in [(1, &["n0", "n1"][..]), (2, &["n0", "n1", "n2"])] {
        cluster.start_process(process).expect("the process starts");
        assert_eq!(
            book(&cluster, process, 1, "early"),
            Reply::Rejected,
            "process {process} has not joined yet"
        );
        change_membership(&cluster, 0, &join(&format!("n{process}"), process));
        await_voters(&cluster, 0, voters);
    }
    await_reply(&cluster, 2, 100, subject(1), &Reply::Blocked);
    let twice = rejection(cluster.call(1, &join("n2", 3)), "a member has this name already");
    assert!(twice.contains("node n2 has that name") || twice.contains("not in effect yet"), "{twice}");
    // The first node is lost permanently, and process 3 replaces it.
    cluster.kill(0);
    cluster.start_process(3).expect("the process starts");
    change_membership(&cluster, 1, &join("n3", 3));
    await_voters(&cluster, 1, &["n0", "n1", "n2", "n3"]);
    change_membership(&cluster, 1, "REMOVE n0");
    await_voters(&cluster, 2, &["n1", "n2", "n3"]);
    let version = cluster.commit(2, &blocking_content(2)).expect("the three members still commit");
    cluster.await_active(&[1, 2, 3], version).expect("the version becomes active");
    await_reply(&cluster, 3, 200, subject(2), &Reply::Blocked);
    // The removed node is started again with its old consensus log. The node must learn of its removal, and
    // reject requests on which the cluster decides.
    cluster.start_process(0).expect("the process starts");
    retry(|| {
        let status = cluster.call(0, "STATUS").map_err(|error| error.to_string())?;
        let knows = !status.contains("\"removed\":null");
        if knows { Ok(()) } else { Err(format!("process 0 does not know of its removal: {status}")) }
    });
    assert_eq!(book(&cluster, 0, 9, "late"), Reply::Rejected);
    // The cluster shrinks to one member.
    change_membership(&cluster, 2, "REMOVE n3");
    change_membership(&cluster, 1, "REMOVE n2");
    await_voters(&cluster, 1, &["n1"]);
    let version = cluster.commit(1, &blocking_content(3)).expect("one node is a majority of one");
    cluster.await_active(&[1], version).expect("the version becomes active");
    let why = rejection(cluster.call(1, "REMOVE n1"), "n1 is the last voter");
    assert!(why.contains("the last node that votes"), "{why}");
}

// An operator's script sends a malformed call to the second address. The answer must say what is expected,
// and the node must propose nothing.
#[test]
fn malformed_operator_calls_are_rejected_with_what_is_expected() {
    let cluster = ProcessCluster::start(program(), 1, 1_000_012).expect("one process starts");
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
    assert_eq!(cluster.call(0, "HISTORY").expect("the node answers"), "[]");
}

// The argument parser panics on `--help` of a sub-command if one of its positional arguments is not declared
// last.
#[test]
fn each_sub_command_prints_its_help() {
    for name in ["status", "history", "show", "diff", "propose", "rollback", "join", "remove"] {
        let output = std::process::Command::new(program())
            .args(["fleet", name, "--help"])
            .output()
            .expect("the program runs");
        let help = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && help.contains("Usage"), "{name}: {help} {output:?}");
    }
}
