//! Evaluation of scripts: a valid script gives settings, any other an error of one line with place and hint.

use gaugestand_settings::*;

fn evaluate_valid(text: &str) -> Settings {
    evaluate("op.star", text.to_string()).unwrap_or_else(|e| panic!("{text}: {e}"))
}

#[test]
fn the_documented_lines_enable_the_sqlite_or_the_postgres_store() {
    let s = evaluate_valid(
        r#"record(backend = "sqlite", path = "/var/lib/gaugestand/record.db", sync = "full")"#,
    );
    let record = s.record.expect("the script sets an idempotency store");
    let path = "/var/lib/gaugestand/record.db".into();
    assert_eq!(record.backend, Backend::Sqlite { path, sync: SyncMode::Full });
    assert_eq!((record.entries, record.batch, record.stall_ms), (100_000, 512, 250));
    let s = evaluate_valid(
        "host = '10.0.0.7'\nrecord(backend = 'postgres', address = host + ':5432', database = 'gs', \
         user = 'n3', password_file = '/etc/gs.pass', stall_ms = 400)\nlog(form = 'json', level = 'warn')",
    );
    let record = s.record.expect("the script sets an idempotency store");
    let Backend::Postgres { address, database, .. } = record.backend else {
        panic!("the backend is not PostgreSQL")
    };
    assert_eq!((address.port(), database.as_str(), record.stall_ms), (5432, "gs", 400));
    assert_eq!(s.log, LogSettings { form: LogFormat::Json, level: LogLevel::Warn });
    assert_eq!(evaluate_valid(""), Settings::default());
}

#[test]
fn the_members_of_a_cluster_keep_the_order_of_the_script() {
    let s = evaluate_valid(
        "fleet(name = 'north', members = ['n%s=10.0.0.%s:7000' % (i, i) for i in [2, 1]], path = '/f', lists = 'both')",
    );
    let fleet = s.fleet.expect("the script sets a cluster");
    let members: Vec<String> = fleet.members.iter().map(|(name, at)| format!("{name} {at}")).collect();
    assert_eq!(members, ["n2 10.0.0.2:7000", "n1 10.0.0.1:7000"]);
    assert_eq!(
        (fleet.contradict_ms, fleet.drift_ppm, fleet.lists, fleet.listen),
        (2_000, 500, Lists::Both, None)
    );
}

#[test]
fn an_error_is_one_line_with_its_place_and_a_hint() {
    let cases = [
        ("\n\nrecord(bakend = 'sqlite')", "op.star:3:1: record: `bakend`", "did you mean `backend`?"),
        ("recrod(backend = 'sqlite')", "op.star:1:1: `recrod`", "did you mean `record`?"),
        ("record(backend = 'oracle')", "op.star:1:1: record: `backend` is \"oracle\"", "\"postgres\""),
        ("record(backend = 7)", "op.star:1:1: record: `backend` is of type int", "expected one of"),
        ("record(backend = 'sqlite', sync = 'full')", "op.star:1:1: record: `path` is missing", "add path ="),
        ("record(backend = 'sqlite', path = 'a', sync = 'off')", "op.star:1:1: record: `sync`", "\"full\""),
        ("record(backend = 'sqlite', path = 'a', user = 'u')", "op.star:1:1: record: `user`", "postgres"),
        ("record(backend = 'postgres', address = 'db')", "op.star:1:1: record: `address`", "a port"),
        ("record(path = '')", "op.star:1:1: record: `path` is \"\"", "expected a text that is not empty"),
        ("fleet(name = 'f', path = 'p')", "op.star:1:1: fleet: `members` is missing", "add members = ["),
        ("fleet(name = 'f', path = 'p', members = [])", "op.star:1:1: fleet: `members` is empty", "name all"),
        (
            "fleet(name = 'f', path = 'p', members = ['n1'])",
            "op.star:1:1: fleet: `members` has \"n1\"",
            "expected a name and an address, as in \"n1=10.",
        ),
        (
            "fleet(name = 'f', path = 'p', members = 'n1=1.1.1.1:1')",
            "op.star:1:1: fleet: `members` is of type string",
            "expected a list",
        ),
        (
            "fleet(name = 'f', path = 'p', members = ['n=1.1.1.1:1', 'n=1.1.1.1:2'])",
            "op.star:1:1: fleet: `members` has the name \"n\" twice",
            "expected each node once, with a name",
        ),
        ("  log(level = 'info'", "op.star:1", "Starlark"),
        ("log(level = 'info')\nlog(level = 'warn')", "op.star:2:1: log: is set twice", "keep one"),
        ("log('info')", "op.star:1:1", "by name"),
        (
            "record(entries = 99)",
            "op.star:1:1: record: `entries` is out of range",
            "expected a whole number from 100 to",
        ),
        ("x = 1 // 0", "op.star:1:5", "ero"),
        ("load('other.star', 'x')", "op.star:1:1", "load"),
        ("open('/etc/passwd')", "op.star:1:1: `open`", "known names: record, fleet, log"),
    ];
    for (text, place, hint) in cases {
        let e = evaluate("op.star", text.to_string()).expect_err(text).to_string();
        assert!(e.starts_with(place) && e.contains(hint) && !e.contains('\n'), "{text}: {e}");
    }
}

#[test]
fn a_script_that_exceeds_the_step_memory_or_call_depth_limit_is_rejected() {
    let endless = "def f():\n    for i in range(1000000000):\n        pass\nf()";
    let huge = "def f():\n    x = []\n    for i in range(150000):\n        x.append(str(i) * 100)\nf()";
    let deep = "def f(n):\n    return f(n)\nf(1)";
    for text in [endless, huge, deep] {
        let e = evaluate("op.star", text.to_string()).expect_err(text).to_string();
        assert!(!e.contains('\n') && e.starts_with("op.star"), "{e}");
    }
}

#[test]
fn the_script_that_comes_with_the_program_is_valid_and_keeps_all_defaults() {
    assert_eq!(evaluate_valid(include_str!("../../../deploy/operator.star")), Settings::default());
}
