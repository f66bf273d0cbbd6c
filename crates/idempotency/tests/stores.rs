//! Tests of both backends by themselves: what they guarantee about a batch, and which errors they report when
//! they cannot be used.

use gaugestand_admission::time::UnixTime;
use gaugestand_fakes::postgres::{Fault, Postgres};
use gaugestand_idempotency::blocking_client::BlockingClient;
use gaugestand_idempotency::postgres::{Login, Session};
use gaugestand_idempotency::row::{Batch, Cause, Outcome, Row, RowState, Work, Write};
use gaugestand_idempotency::sqlite::{self, Options, Sqlite};
use gaugestand_idempotency::worker::{self, Worker};
use std::io::Read;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;

/// A folder for one test, which is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("gaugestand-stores-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("the folder can be created");
        Folder(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("record.db")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn row(key: &str, sequence: u64, state: RowState) -> Row {
    Row {
        key: key.into(),
        holder: u128::MAX - 7,
        fingerprint: 9,
        ingress: UnixTime(1_000),
        expires: UnixTime(2_000),
        sequence,
        state,
    }
}

fn put(key: &str, sequence: u64, state: RowState) -> Write {
    Write::Put(row(key, sequence, state))
}

fn completed(bytes: &[u8]) -> RowState {
    RowState::Completed(bytes.to_vec())
}

fn login(password: &str) -> Login {
    Login { user: "u".into(), password: password.into(), database: "d".into(), node: "n3".into() }
}

/// An opened backend of either kind: a SQLite file, or a session with the fake PostgreSQL server.
enum Backend {
    Sqlite { store: Sqlite, _folder: Folder },
    Postgres { client: BlockingClient, _server: Postgres, number: u64 },
}

impl Backend {
    fn both() -> [Backend; 2] {
        let folder = Folder::new();
        let store = Sqlite::open(&folder.file(), &Options::default()).expect("the new store opens");
        let server = Postgres::start("pw").expect("the fake server starts");
        let (client, _) =
            BlockingClient::take_name(server.address(), login("pw"), 100).expect("the login succeeds");
        [Backend::Sqlite { store, _folder: folder }, Backend::Postgres { client, _server: server, number: 0 }]
    }

    fn execute(&mut self, work: Work) -> Outcome {
        match self {
            Backend::Sqlite { store, .. } => store.execute(&work),
            Backend::Postgres { client, number, .. } => {
                *number += 1;
                client.execute(&Batch { number: *number, work }).expect("the connection works")
            }
        }
    }

    fn commit(&mut self, writes: &[Write]) -> Outcome {
        self.execute(Work::Commit(writes.to_vec()))
    }

    fn lookup(&mut self, key: &str) -> Option<Row> {
        let Outcome::Rows(rows) = self.execute(Work::Lookup(vec![key.into(), "none".into()])) else {
            panic!("expected rows")
        };
        rows.into_iter().next()
    }
}

/// A stalled store carries out writes long after the node gave up on them, and after later writes of the same
/// key. None of them may undo a newer one.
#[test]
fn a_row_only_replaces_one_of_an_earlier_sequence_number_or_state() {
    for mut store in Backend::both() {
        let steps = [
            (put("k", 5, RowState::Intent), 5, RowState::Intent),
            (put("k", 5, completed(b"\0r\xff")), 5, completed(b"\0r\xff")),
            // The intent is written again, as after a broken connection: it must not replace the result.
            (put("k", 5, RowState::Intent), 5, completed(b"\0r\xff")),
            (put("k", 4, RowState::Failed), 5, completed(b"\0r\xff")),
            (Write::Remove { key: "k".into(), sequence: 4 }, 5, completed(b"\0r\xff")),
            (Write::Probe, 5, completed(b"\0r\xff")),
            (put("k", 6, RowState::Intent), 6, RowState::Intent),
            (put("k", 6, RowState::Failed), 6, RowState::Failed),
        ];
        for (write, sequence, state) in steps {
            assert_eq!(store.commit(std::slice::from_ref(&write)), Outcome::Done);
            assert_eq!(store.lookup("k"), Some(row("k", sequence, state)), "{write:?}");
        }
        assert_eq!(store.commit(&[Write::Remove { key: "k".into(), sequence: 6 }]), Outcome::Done);
        assert_eq!(store.lookup("k"), None);
    }
}

#[test]
fn each_incarnation_has_its_epoch_and_recovers_the_rows_of_the_one_before() {
    let folder = Folder::new();
    for incarnation in 1..4 {
        let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("the store opens");
        let found = store.recover(&folder.file(), 10).expect("the rows can be read");
        assert_eq!(
            (found.epoch, found.row_count, found.rows.len() as u64),
            (incarnation, incarnation - 1, incarnation - 1)
        );
        assert_eq!(
            store.execute(&Work::Commit(vec![put(&format!("k{incarnation}"), incarnation, completed(b"r"))])),
            Outcome::Done
        );
        // With more rows than the limit, only their number is returned.
        let found = store.recover(&folder.file(), 0).expect("the rows can be read");
        assert_eq!((found.row_count, found.rows.len()), (incarnation, 0));
    }
    let server = Postgres::start("pw").expect("the fake server starts");
    for incarnation in 1..4u64 {
        let (mut client, found) =
            BlockingClient::take_name(server.address(), login("pw"), 2).expect("the login succeeds");
        assert_eq!((found.epoch, found.row_count), (incarnation, incarnation - 1));
        assert_eq!(found.rows.len() as u64, if incarnation < 4 { incarnation - 1 } else { 0 });
        let work = Work::Commit(vec![put(&format!("k{incarnation}"), incarnation, completed(b"r"))]);
        assert_eq!(client.execute(&Batch { number: 1, work }).expect("the connection works"), Outcome::Done);
    }
    let (_, found) = BlockingClient::take_name(server.address(), login("pw"), 2).expect("the login succeeds");
    assert_eq!((found.row_count, found.rows.len()), (3, 0));
}

#[test]
fn many_rows_are_read_page_by_page_and_another_nodes_are_not() {
    let server = Postgres::start("pw").expect("the fake server starts");
    let (mut client, _) =
        BlockingClient::take_name(server.address(), login("pw"), 10_000).expect("the login succeeds");
    let writes: Vec<Write> = (0..2_500).map(|i| put(&format!("k{i}"), i + 1, completed(b"r"))).collect();
    let work = Work::Commit(writes);
    assert_eq!(client.execute(&Batch { number: 1, work }).expect("the connection works"), Outcome::Done);
    let (_, found) =
        BlockingClient::take_name(server.address(), login("pw"), 10_000).expect("the login succeeds");
    assert_eq!(found.rows.len(), 2_500);
    let other = Login { node: "n4".into(), ..login("pw") };
    assert_eq!(
        BlockingClient::take_name(server.address(), other, 10_000).expect("the login succeeds").1.row_count,
        0
    );
    // A read-only client reads the rows without taking the node's name.
    assert_eq!(
        BlockingClient::read_only(server.address(), login("pw")).expect("the login succeeds").1.len(),
        2_500
    );
}

/// Two processes run under one node's name, as the first was believed dead. The first must write nothing once
/// the second has taken the name, or both would run the same key.
#[test]
fn a_second_process_of_the_same_name_fences_the_first_one() {
    let server = Postgres::start("pw").expect("the fake server starts");
    let (mut first, _) =
        BlockingClient::take_name(server.address(), login("pw"), 10).expect("the login succeeds");
    let (mut second, _) =
        BlockingClient::take_name(server.address(), login("pw"), 10).expect("the login succeeds");
    let batch = |number| Batch { number, work: Work::Commit(vec![put("k", 1, RowState::Intent)]) };
    assert_eq!(first.execute(&batch(1)).expect("the connection works"), Outcome::NotDone(Cause::Fenced));
    assert_eq!(server.rows(), 0);
    assert_eq!(second.execute(&batch(1)).expect("the connection works"), Outcome::Done);
}

/// A server rejects a transaction. Whether the transaction may have been made decides if it is made again or
/// looked up first.
#[test]
fn a_failed_transaction_changes_nothing_and_reports_its_cause() {
    let server = Postgres::start("pw").expect("the fake server starts");
    let (mut client, _) =
        BlockingClient::take_name(server.address(), login("pw"), 10).expect("the login succeeds");
    let cases = [
        ("40P01", Outcome::NotDone(Cause::Busy)),
        ("53100", Outcome::NotDone(Cause::Full)),
        ("25006", Outcome::NotDone(Cause::ReadOnly)),
        ("40003", Outcome::Unknown(Cause::Other)),
        ("57P01", Outcome::Unknown(Cause::Link)),
        ("XX000", Outcome::NotDone(Cause::Other)),
    ];
    for (i, (code, outcome)) in cases.into_iter().enumerate() {
        server.inject_faults(&[Fault::Error(code)]);
        let work = Work::Commit(vec![put("k", 1, RowState::Intent)]);
        assert_eq!(
            client.execute(&Batch { number: i as u64, work }).expect("the connection works"),
            outcome,
            "{code}"
        );
        assert_eq!(server.rows(), 0);
    }
    server.send_single_bytes(true);
    let work = Work::Commit(vec![put("k", 1, RowState::Intent)]);
    assert_eq!(client.execute(&Batch { number: 9, work }).expect("the connection works"), Outcome::Done);
    server.inject_faults(&[Fault::Garbage]);
    let work = Work::Commit(vec![put("k", 1, completed(b"r"))]);
    assert!(
        client.execute(&Batch { number: 10, work }).is_err(),
        "a malformed message must not count as an outcome"
    );
}

#[test]
fn a_database_that_cannot_be_used_is_a_clear_error() {
    let server = Postgres::start("right").expect("the fake server starts");
    let wrong = BlockingClient::take_name(server.address(), login("wrong"), 10)
        .expect_err("a wrong password must be rejected");
    assert!(wrong.to_string().contains("password authentication failed (28P01)"), "{wrong}");
    assert_eq!(server.logins(), (0, 1));
    let no_tables = BlockingClient::read_only(server.address(), login("right"))
        .expect_err("missing tables must be an error");
    assert!(no_tables.to_string().contains("no tables"), "{no_tables}");
    server.set_version(7);
    let newer = BlockingClient::take_name(server.address(), login("right"), 10)
        .expect_err("a newer version must be an error");
    assert!(
        newer.to_string().contains("version 7") && newer.to_string().contains("newer program"),
        "{newer}"
    );
}

#[test]
fn garbage_from_a_server_is_an_error_and_never_a_panic_or_an_event() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..2_000 {
        let mut session = Session::new(Rc::new(login("pw")), None, 10).expect("the login can be encoded");
        let len = rng.usize(1..64);
        let mut bytes: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(len).collect();
        if rng.bool() {
            // A valid header, so that the body of the message is parsed too.
            let tag = *rng.choice(b"RZSEDCK123NT").expect("there are tags");
            let head = [&[tag][..], &(bytes.len() as u32 + 4).to_be_bytes()].concat();
            bytes.splice(0..0, head);
        }
        for piece in bytes.chunks(rng.usize(1..8)) {
            match session.receive(piece) {
                Ok(events) => assert!(events.is_empty(), "{bytes:?}"),
                Err(_) => break,
            }
        }
    }
}

/// The disk fills while the node serves, and an operator frees space.
#[test]
fn a_full_disk_loses_nothing_and_takes_writes_again_once_there_is_space() {
    let folder = Folder::new();
    let options = Options { max_pages: 24, ..Options::default() };
    let mut store = Sqlite::open(&folder.file(), &options).expect("the store opens");
    let big = vec![7; 4_000];
    let mut made = 0;
    let cause = loop {
        match store.execute(&Work::Commit(vec![put(&format!("k{made}"), made + 1, completed(&big))])) {
            Outcome::Done => made += 1,
            Outcome::NotDone(cause) | Outcome::Unknown(cause) => break cause,
            Outcome::Rows(_) => panic!("a commit must not return rows"),
        }
        assert!(made < 100, "the page limit has no effect");
    };
    assert_eq!(cause, Cause::Full);
    assert_eq!(store.recover(&folder.file(), 100).expect("the rows can be read").row_count, made);
    // Removing rows needs no space, and frees some.
    let remove = (0..3).map(|i| Write::Remove { key: format!("k{i}"), sequence: 100 }).collect();
    assert_eq!(store.execute(&Work::Commit(remove)), Outcome::Done);
    assert_eq!(store.execute(&Work::Commit(vec![put("more", 90, completed(&big))])), Outcome::Done);
}

/// An operator names a wrong or damaged file. The node must neither serve from it nor alter it.
#[test]
fn a_file_that_cannot_be_used_is_an_error_of_one_line_and_unchanged() {
    let assert_rejected = |path: &PathBuf, words: &str| {
        let error = Sqlite::open(path, &Options::default()).map(|_| ()).expect_err(words).to_string();
        assert!(
            error.contains(words) && error.contains(&path.display().to_string()) && !error.contains('\n'),
            "{error}"
        );
    };
    let folder = Folder::new();
    let write_rows = |folder: &Folder| {
        let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("the store opens");
        let rows = (0..200).map(|i| put(&format!("k{i}"), i + 1, completed(&[9; 500]))).collect();
        assert_eq!(store.execute(&Work::Commit(rows)), Outcome::Done);
    };
    write_rows(&folder);
    // Another process owns the store: the lock file excludes a second owner, also within the same process.
    let owner = Sqlite::open(&folder.file(), &Options::default()).expect("the store opens");
    assert_rejected(&folder.file(), "in use by another process; end that process, nothing was changed");
    // The store can be checked read-only while it has an owner.
    sqlite::check(&folder.file()).expect("the store is intact");
    drop(owner);
    // Another program holds the write lock.
    let other = rusqlite::Connection::open(folder.file()).expect("the database opens");
    other.execute_batch("BEGIN EXCLUSIVE").expect("the lock is free");
    assert_rejected(&folder.file(), "locked by another program");
    drop(other);
    // A file of a newer version, and one of another program.
    let cases =
        [("PRAGMA user_version = 99", "has version 99"), ("PRAGMA application_id = 5", "of another program")];
    for (sql, words) in cases {
        let other = Folder::new();
        write_rows(&other);
        rusqlite::Connection::open(other.file())
            .and_then(|c| c.execute_batch(sql))
            .expect("the file can be changed");
        let before = std::fs::read(other.file()).expect("the file can be read");
        assert_rejected(&other.file(), words);
        assert_eq!(std::fs::read(other.file()).expect("the file can be read"), before, "{words}");
    }
    assert_rejected(&PathBuf::from("/proc/no/such/folder/record.db"), "must exist and be writable");
    let text = folder.0.join("notes.txt");
    std::fs::write(&text, "not a database, but long enough to look at; ".repeat(40))
        .expect("the file can be written");
    assert_rejected(&text, "is damaged");
}

/// A disk returns other bytes than were written. A row that is decoded from them could be sent as the result
/// of a booking.
#[test]
fn a_damaged_file_is_rejected_or_yields_what_was_written() {
    let folder = Folder::new();
    let rows: Vec<Row> = (0..100).map(|i| row(&format!("k{i}"), i + 1, completed(&[i as u8; 300]))).collect();
    {
        let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("the store opens");
        let writes = rows.iter().cloned().map(Write::Put).collect();
        assert_eq!(store.execute(&Work::Commit(writes)), Outcome::Done);
    }
    let bytes = std::fs::read(folder.file()).expect("the file can be read");
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut rejected, mut opened) = (0, 0);
    for _ in 0..120 {
        let other = Folder::new();
        let mut damaged = bytes.clone();
        // A run of bytes is overwritten, as by a bad sector; any page with rows or indexes may be damaged.
        let at = rng.usize(..damaged.len());
        let to = (at + rng.usize(1..600)).min(damaged.len());
        damaged[at..to].iter_mut().for_each(|b| *b = rng.u8(..));
        std::fs::write(other.file(), &damaged).expect("the file can be written");
        match Sqlite::open(&other.file(), &Options::default()).and_then(|s| s.recover(&other.file(), 1_000)) {
            Err(error) => {
                rejected += 1;
                assert!(!error.to_string().contains('\n'), "{error}");
            }
            // The damage is in free space of the file, whose bytes have no meaning.
            Ok(mut found) => {
                opened += 1;
                found.rows.sort_by_key(|r| r.sequence);
                assert!(found.rows == rows, "the recovered rows differ from those written");
            }
        }
    }
    assert!(rejected > 60 && opened > 0, "{rejected} rejected, {opened} opened");
}

#[test]
fn pruning_removes_expired_rows_and_nothing_else() {
    let folder = Folder::new();
    let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("the store opens");
    assert_eq!(store.execute(&Work::Commit(vec![put("k", 1, completed(b"r"))])), Outcome::Done);
    assert_eq!(
        (
            store.prune(UnixTime(1_999)).expect("rows are pruned"),
            store.prune(UnixTime(2_000)).expect("rows are pruned")
        ),
        (0, 1)
    );
    let server = Postgres::start("pw").expect("the fake server starts");
    let (mut client, _) =
        BlockingClient::take_name(server.address(), login("pw"), 10).expect("the login succeeds");
    let work = Work::Commit(vec![put("k", 1, completed(b"r"))]);
    assert_eq!(client.execute(&Batch { number: 1, work }).expect("the connection works"), Outcome::Done);
    for (before, left) in [(1_999, 1), (2_000, 0)] {
        assert_eq!(client.prune(UnixTime(before)).expect("the connection works"), Outcome::Done);
        assert_eq!(server.rows(), left);
    }
}

/// A backend whose disk does not answer until the test sends a message.
struct BlockedDisk(mpsc::Receiver<()>);

impl worker::Backend for BlockedDisk {
    fn execute(&mut self, _: &Work) -> Outcome {
        let _ = self.0.recv();
        Outcome::Done
    }
}

/// A disk does not answer. The event loop must go on, and the end of the process must not wait for the
/// worker's thread.
#[test]
fn a_worker_blocked_by_the_disk_blocks_neither_the_event_loop_nor_the_exit() {
    let (release, released) = mpsc::channel();
    let (mut ours, theirs) = UnixStream::pair().expect("a socket pair can be created");
    let mut worker = Worker::start(BlockedDisk(released), theirs).expect("the thread starts");
    let batch = |number| Batch { number, work: Work::Commit(vec![Write::Probe]) };
    // The thread is blocked in the first batch. The queue accepts a few more and then reports that it is
    // full; submitting never waits.
    let mut taken = 0;
    while worker.submit(batch(taken)).is_ok() {
        taken += 1;
        assert!(taken < 10, "the queue must be bounded");
    }
    assert_eq!(worker.outcome(), None);
    for number in 0..taken {
        release.send(()).expect("the thread is waiting");
        let mut byte = [0];
        ours.read_exact(&mut byte).expect("the thread writes a byte to wake the loop");
        assert_eq!(worker.outcome(), Some((number, Outcome::Done)));
    }
    // Dropping the worker while its thread is blocked does not wait for the thread.
    worker.submit(batch(99)).expect("the queue has room");
    drop(worker);
}
