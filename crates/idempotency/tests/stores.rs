//! Both backends by themselves: what they promise of a batch, and what they say when they can't be used.

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

/// A folder of one test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("gaugestand-stores-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).expect("a folder");
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

fn good(bytes: &[u8]) -> RowState {
    RowState::Completed(bytes.to_vec())
}

fn login(password: &str) -> Login {
    Login { user: "u".into(), password: password.into(), database: "d".into(), node: "n3".into() }
}

/// One backend of either kind, ready for work.
enum Backend {
    Sqlite { store: Sqlite, _folder: Folder },
    Postgres { client: BlockingClient, _server: Postgres, number: u64 },
}

impl Backend {
    fn both() -> [Backend; 2] {
        let folder = Folder::new();
        let store = Sqlite::open(&folder.file(), &Options::default()).expect("a new store");
        let server = Postgres::start("pw").expect("it listens");
        let (client, _) = BlockingClient::take_name(server.address(), login("pw"), 100).expect("a login");
        [Backend::Sqlite { store, _folder: folder }, Backend::Postgres { client, _server: server, number: 0 }]
    }

    fn execute(&mut self, work: Work) -> Outcome {
        match self {
            Backend::Sqlite { store, .. } => store.execute(&work),
            Backend::Postgres { client, number, .. } => {
                *number += 1;
                client.execute(&Batch { number: *number, work }).expect("a sound connection")
            }
        }
    }

    fn commit(&mut self, writes: &[Write]) -> Outcome {
        self.execute(Work::Commit(writes.to_vec()))
    }

    fn lookup(&mut self, key: &str) -> Option<Row> {
        let Outcome::Rows(rows) = self.execute(Work::Lookup(vec![key.into(), "none".into()])) else {
            panic!("rows")
        };
        rows.into_iter().next()
    }
}

/// A stalled store carries out writes long after the node gave up on them, and after later ones of the same key. None of
/// them may undo what was decided since.
#[test]
fn a_row_only_replaces_one_of_an_earlier_sequence_number_or_state() {
    for mut store in Backend::both() {
        let steps = [
            (put("k", 5, RowState::Intent), 5, RowState::Intent),
            (put("k", 5, good(b"\0r\xff")), 5, good(b"\0r\xff")),
            // The same batch once more, after a break: the intent must not undo the outcome.
            (put("k", 5, RowState::Intent), 5, good(b"\0r\xff")),
            (put("k", 4, RowState::Failed), 5, good(b"\0r\xff")),
            (Write::Remove { key: "k".into(), sequence: 4 }, 5, good(b"\0r\xff")),
            (Write::Probe, 5, good(b"\0r\xff")),
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
        let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("a store");
        let found = store.recover(&folder.file(), 10).expect("rows");
        assert_eq!(
            (found.epoch, found.row_count, found.rows.len() as u64),
            (incarnation, incarnation - 1, incarnation - 1)
        );
        assert_eq!(
            store.execute(&Work::Commit(vec![put(&format!("k{incarnation}"), incarnation, good(b"r"))])),
            Outcome::Done
        );
        // More rows than there is room for: their number alone.
        let found = store.recover(&folder.file(), 0).expect("rows");
        assert_eq!((found.row_count, found.rows.len()), (incarnation, 0));
    }
    let server = Postgres::start("pw").expect("it listens");
    for incarnation in 1..4u64 {
        let (mut client, found) =
            BlockingClient::take_name(server.address(), login("pw"), 2).expect("a login");
        assert_eq!((found.epoch, found.row_count), (incarnation, incarnation - 1));
        assert_eq!(found.rows.len() as u64, if incarnation < 4 { incarnation - 1 } else { 0 });
        let work = Work::Commit(vec![put(&format!("k{incarnation}"), incarnation, good(b"r"))]);
        assert_eq!(client.execute(&Batch { number: 1, work }).expect("sound"), Outcome::Done);
    }
    let (_, found) = BlockingClient::take_name(server.address(), login("pw"), 2).expect("a login");
    assert_eq!((found.row_count, found.rows.len()), (3, 0));
}

#[test]
fn many_rows_are_read_page_by_page_and_another_nodes_are_not() {
    let server = Postgres::start("pw").expect("it listens");
    let (mut client, _) = BlockingClient::take_name(server.address(), login("pw"), 10_000).expect("a login");
    let writes: Vec<Write> = (0..2_500).map(|i| put(&format!("k{i}"), i + 1, good(b"r"))).collect();
    let work = Work::Commit(writes);
    assert_eq!(client.execute(&Batch { number: 1, work }).expect("sound"), Outcome::Done);
    let (_, found) = BlockingClient::take_name(server.address(), login("pw"), 10_000).expect("a login");
    assert_eq!(found.rows.len(), 2_500);
    let other = Login { node: "n4".into(), ..login("pw") };
    assert_eq!(BlockingClient::take_name(server.address(), other, 10_000).expect("a login").1.row_count, 0);
    // Looking at rows takes no name.
    assert_eq!(BlockingClient::read_only(server.address(), login("pw")).expect("a login").1.len(), 2_500);
}

/// Two processes run under one node's name, as one was believed dead. The first must write nothing from then on, or both
/// would run the same key.
#[test]
fn a_second_process_of_the_same_name_fences_the_first_one() {
    let server = Postgres::start("pw").expect("it listens");
    let (mut first, _) = BlockingClient::take_name(server.address(), login("pw"), 10).expect("a login");
    let (mut second, _) = BlockingClient::take_name(server.address(), login("pw"), 10).expect("a login");
    let batch = |number| Batch { number, work: Work::Commit(vec![put("k", 1, RowState::Intent)]) };
    assert_eq!(first.execute(&batch(1)).expect("sound"), Outcome::NotDone(Cause::Fenced));
    assert_eq!(server.rows(), 0);
    assert_eq!(second.execute(&batch(1)).expect("sound"), Outcome::Done);
}

/// A server refuses a transaction. Whether it may have been made decides if it is made again or looked up first.
#[test]
fn a_transaction_that_fails_has_done_nothing_and_says_why() {
    let server = Postgres::start("pw").expect("it listens");
    let (mut client, _) = BlockingClient::take_name(server.address(), login("pw"), 10).expect("a login");
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
        assert_eq!(client.execute(&Batch { number: i as u64, work }).expect("sound"), outcome, "{code}");
        assert_eq!(server.rows(), 0);
    }
    server.send_single_bytes(true);
    let work = Work::Commit(vec![put("k", 1, RowState::Intent)]);
    assert_eq!(client.execute(&Batch { number: 9, work }).expect("sound"), Outcome::Done);
    server.inject_faults(&[Fault::Garbage]);
    let work = Work::Commit(vec![put("k", 1, good(b"r"))]);
    assert!(client.execute(&Batch { number: 10, work }).is_err(), "garbage passed for an outcome");
}

#[test]
fn a_database_that_cannot_be_used_is_a_clear_error() {
    let server = Postgres::start("right").expect("it listens");
    let wrong =
        BlockingClient::take_name(server.address(), login("wrong"), 10).expect_err("a wrong password");
    assert!(wrong.to_string().contains("password authentication failed (28P01)"), "{wrong}");
    assert_eq!(server.logins(), (0, 1));
    let none = BlockingClient::read_only(server.address(), login("right")).expect_err("no tables");
    assert!(none.to_string().contains("no tables"), "{none}");
    server.set_version(7);
    let newer = BlockingClient::take_name(server.address(), login("right"), 10).expect_err("a newer version");
    assert!(
        newer.to_string().contains("version 7") && newer.to_string().contains("newer program"),
        "{newer}"
    );
}

#[test]
fn garbage_from_a_server_is_an_error_and_never_a_panic_or_an_event() {
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..2_000 {
        let mut session = Session::new(Rc::new(login("pw")), None, 10).expect("a login");
        let len = rng.usize(1..64);
        let mut bytes: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(len).collect();
        if rng.bool() {
            // A sound head, so that what is in the message is read too.
            let tag = *rng.choice(b"RZSEDCK123NT").expect("a tag");
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

/// The disk fills while the node serves, and an operator makes space.
#[test]
fn a_full_disk_loses_nothing_and_takes_writes_again_once_there_is_space() {
    let folder = Folder::new();
    let options = Options { max_pages: 24, ..Options::default() };
    let mut store = Sqlite::open(&folder.file(), &options).expect("a store");
    let big = vec![7; 4_000];
    let mut made = 0;
    let cause = loop {
        match store.execute(&Work::Commit(vec![put(&format!("k{made}"), made + 1, good(&big))])) {
            Outcome::Done => made += 1,
            Outcome::NotDone(cause) | Outcome::Unknown(cause) => break cause,
            Outcome::Rows(_) => panic!("nobody asked"),
        }
        assert!(made < 100, "the file has no bound");
    };
    assert_eq!(cause, Cause::Full);
    assert_eq!(store.recover(&folder.file(), 100).expect("rows").row_count, made);
    // Removing rows needs no room, and makes some.
    let remove = (0..3).map(|i| Write::Remove { key: format!("k{i}"), sequence: 100 }).collect();
    assert_eq!(store.execute(&Work::Commit(remove)), Outcome::Done);
    assert_eq!(store.execute(&Work::Commit(vec![put("more", 90, good(&big))])), Outcome::Done);
}

/// An operator names a wrong or damaged file. The node must neither serve from it nor alter it.
#[test]
fn a_file_that_cannot_be_used_is_an_error_of_one_line_and_unchanged() {
    let refused = |path: &PathBuf, words: &str| {
        let e = Sqlite::open(path, &Options::default()).map(|_| ()).expect_err(words).to_string();
        assert!(e.contains(words) && e.contains(&path.display().to_string()) && !e.contains('\n'), "{e}");
    };
    let folder = Folder::new();
    let sound = |folder: &Folder| {
        let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("a store");
        let rows = (0..200).map(|i| put(&format!("k{i}"), i + 1, good(&[9; 500]))).collect();
        assert_eq!(store.execute(&Work::Commit(rows)), Outcome::Done);
    };
    sound(&folder);
    // Another process: the lock file is the same, whoever has it.
    let owner = Sqlite::open(&folder.file(), &Options::default()).expect("a store");
    refused(&folder.file(), "another process serves from it");
    // One that only looks is welcome meanwhile.
    sqlite::check(&folder.file()).expect("sound");
    drop(owner);
    // Another program that holds the write lock.
    let other = rusqlite::Connection::open(folder.file()).expect("a connection");
    other.execute_batch("BEGIN EXCLUSIVE").expect("the lock");
    refused(&folder.file(), "locked by another program");
    drop(other);
    // A newer version, and a file of something else.
    let cases = [
        ("PRAGMA user_version = 99", "is of version 99"),
        ("PRAGMA application_id = 5", "of another program"),
    ];
    for (sql, words) in cases {
        let other = Folder::new();
        sound(&other);
        rusqlite::Connection::open(other.file()).and_then(|c| c.execute_batch(sql)).expect("changed");
        let before = std::fs::read(other.file()).expect("bytes");
        refused(&other.file(), words);
        assert_eq!(std::fs::read(other.file()).expect("bytes"), before, "{words}");
    }
    refused(&PathBuf::from("/proc/no/such/folder/record.db"), "must be there and writable");
    let text = folder.0.join("notes.txt");
    std::fs::write(&text, "not a database, but long enough to look at; ".repeat(40)).expect("written");
    refused(&text, "is damaged");
}

/// A disk returns other bytes than were written. A row that is read from them could be served as a booking's result.
#[test]
fn a_damaged_file_is_rejected_or_yields_what_was_written() {
    let folder = Folder::new();
    let rows: Vec<Row> = (0..100).map(|i| row(&format!("k{i}"), i + 1, good(&[i as u8; 300]))).collect();
    {
        let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("a store");
        let writes = rows.iter().cloned().map(Write::Put).collect();
        assert_eq!(store.execute(&Work::Commit(writes)), Outcome::Done);
    }
    let bytes = std::fs::read(folder.file()).expect("bytes");
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut refused, mut opened) = (0, 0);
    for _ in 0..120 {
        let other = Folder::new();
        let mut damaged = bytes.clone();
        // A run of bytes, as a bad sector would be; the pages with rows and indexes are all in reach.
        let at = rng.usize(..damaged.len());
        let to = (at + rng.usize(1..600)).min(damaged.len());
        damaged[at..to].iter_mut().for_each(|b| *b = rng.u8(..));
        std::fs::write(other.file(), &damaged).expect("written");
        match Sqlite::open(&other.file(), &Options::default()).and_then(|s| s.recover(&other.file(), 1_000)) {
            Err(e) => {
                refused += 1;
                assert!(!e.to_string().contains('\n'), "{e}");
            }
            // Free space may hold anything.
            Ok(mut found) => {
                opened += 1;
                found.rows.sort_by_key(|r| r.sequence);
                assert!(found.rows == rows, "rows that nobody wrote");
            }
        }
    }
    assert!(refused > 60 && opened > 0, "{refused} refused, {opened} opened");
}

#[test]
fn pruning_removes_expired_rows_and_nothing_else() {
    let folder = Folder::new();
    let mut store = Sqlite::open(&folder.file(), &Options::default()).expect("a store");
    assert_eq!(store.execute(&Work::Commit(vec![put("k", 1, good(b"r"))])), Outcome::Done);
    assert_eq!(
        (store.prune(UnixTime(1_999)).expect("done"), store.prune(UnixTime(2_000)).expect("done")),
        (0, 1)
    );
    let server = Postgres::start("pw").expect("it listens");
    let (mut client, _) = BlockingClient::take_name(server.address(), login("pw"), 10).expect("a login");
    let work = Work::Commit(vec![put("k", 1, good(b"r"))]);
    assert_eq!(client.execute(&Batch { number: 1, work }).expect("sound"), Outcome::Done);
    for (before, left) in [(1_999, 1), (2_000, 0)] {
        assert_eq!(client.prune(UnixTime(before)).expect("sound"), Outcome::Done);
        assert_eq!(server.rows(), left);
    }
}

/// A disk that does not answer until it is released.
struct Stuck(mpsc::Receiver<()>);

impl worker::Backend for Stuck {
    fn execute(&mut self, _: &Work) -> Outcome {
        let _ = self.0.recv();
        Outcome::Done
    }
}

/// A disk does not answer. The event loop must go on, and the end of the process must not wait for the thread.
#[test]
fn a_worker_that_is_held_by_the_disk_holds_nobody_else() {
    let (release, held) = mpsc::channel();
    let (mut ours, theirs) = UnixStream::pair().expect("a pair");
    let mut worker = Worker::start(Stuck(held), theirs).expect("a thread");
    let batch = |number| Batch { number, work: Work::Commit(vec![Write::Probe]) };
    // It is stuck in the first; the queue takes some more and then says that it is full, and never waits.
    let mut taken = 0;
    while worker.submit(batch(taken)).is_ok() {
        taken += 1;
        assert!(taken < 10, "the queue has no bound");
    }
    assert_eq!(worker.outcome(), None);
    for number in 0..taken {
        release.send(()).expect("the thread is there");
        let mut byte = [0];
        ours.read_exact(&mut byte).expect("a byte that wakes");
        assert_eq!(worker.outcome(), Some((number, Outcome::Done)));
    }
    // Dropped while it is stuck, it is not waited for.
    worker.submit(batch(99)).expect("room");
    drop(worker);
}
