//! Tests that stored data and messages to a database keep their form, whatever names the code uses.
//!
//! The fixtures were made by the library of the last build before the renames of issue 30 (commit d61e325).
//! One process wrote [`rows`] and one probe to `store-of-record-1.db`, another wrote two log records to
//! `agreed-log-1.db`. `postgres-session-1.bin` holds the bytes that a session sent, in one piece per step,
//! each after its length.

mod server_messages;

use gaugestand_admission::log_record::LogRecord;
use gaugestand_admission::time::UnixTime;
use gaugestand_idempotency::consensus_log::ConsensusLog;
use gaugestand_idempotency::postgres::{Event, Login, Session};
use gaugestand_idempotency::row::{Batch, Outcome, Row, RowState, Work, Write};
use gaugestand_idempotency::sqlite::{Options, Sqlite, for_each_row, open_read_only};
use rusqlite::Connection;
use rusqlite::types::Value;
use server_messages::{data_row, message};
use std::path::{Path, PathBuf};
use std::rc::Rc;

const STORE_OF_RECORD: &[u8] = include_bytes!("fixtures/store-of-record-1.db");
const CONSENSUS_LOG: &[u8] = include_bytes!("fixtures/agreed-log-1.db");
const POSTGRES_SESSION: &[u8] = include_bytes!("fixtures/postgres-session-1.bin");

const LOG_OWNER: &str = "node n1 of fleet \"north\" (n1, n2, n3)";
/// End of a window that is over, in microseconds of Unix time.
const PAST: UnixTime = UnixTime(1_700_000_029_220_000);
/// End of a window that ends some decades from now, in microseconds of Unix time.
const FUTURE: UnixTime = UnixTime(4_000_000_000_000_000);

/// A folder for one test, which is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gaugestand-forms-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the folder can be created");
        Folder(path)
    }

    fn write_file(&self, name: &str, bytes: &[u8]) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, bytes).expect("the fixture can be copied");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The rows in the fixtures: an intent, two with a result, a failed one, and two whose window is over.
fn rows() -> Vec<Row> {
    let row = |key: &str, n: u128, expires: UnixTime, state: RowState| Row {
        key: key.into(),
        holder: u128::MAX - n,
        fingerprint: (n << 64) | 0x0102_0304,
        ingress: UnixTime(1_700_000_000_000_000 + n as u64),
        expires,
        sequence: (1 << 40) | n as u64,
        state,
    };
    vec![
        row("open", 1, FUTURE, RowState::Intent),
        row("done", 2, FUTURE, RowState::Completed(b"result \x00\xff of a booking".to_vec())),
        row("done-empty", 3, FUTURE, RowState::Completed(vec![])),
        row("failed", 4, FUTURE, RowState::Failed),
        row("expired-open", 5, PAST, RowState::Intent),
        row("expired-done \u{e9}\u{4e2d}", 6, PAST, RowState::Completed(b"late".to_vec())),
    ]
}

fn sorted(mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows
}

/// The whole content of a file: its application id and version, its schema, and every column of every row.
fn contents(path: &Path) -> Vec<String> {
    let connection = Connection::open(path).expect("the file is an SQLite database");
    let pragma = |name: &str| {
        let value: i64 = connection.pragma_query_value(None, name, |row| row.get(0)).expect(name);
        format!("{name} {value}")
    };
    let mut all = vec![pragma("application_id"), pragma("user_version")];
    let schema = read(&connection, "SELECT type, name, tbl_name, sql FROM sqlite_schema ORDER BY name");
    all.extend(schema);
    for table in names_of_tables(&connection) {
        let rows = read(&connection, &format!("SELECT * FROM {table} ORDER BY 1"));
        all.extend(rows.into_iter().map(|row| format!("{table}: {row}")));
    }
    all
}

fn names_of_tables(connection: &Connection) -> Vec<String> {
    let mut names = connection
        .prepare("SELECT name FROM sqlite_schema WHERE type = 'table' ORDER BY name")
        .expect("the SQL is valid");
    let names = names.query_map([], |row| row.get(0)).expect("the query runs");
    names.collect::<Result<_, _>>().expect("the names can be read")
}

fn read(connection: &Connection, sql: &str) -> Vec<String> {
    let mut statement = connection.prepare(sql).expect("the SQL is valid");
    let columns = statement.column_count();
    let rows = statement.query_map([], |row| {
        let values: Vec<Value> = (0..columns).map(|i| row.get(i)).collect::<Result<_, _>>()?;
        Ok(format!("{values:?}"))
    });
    rows.expect("the query runs").collect::<Result<_, _>>().expect("the rows can be read")
}

// An operator replaces the old program by the new one. If the new program could not read the rows, or read
// them wrongly, repeats of bookings that ran under the old program would run a second time.
#[test]
fn the_sqlite_store_of_the_build_before_the_renames_is_read() {
    let folder = Folder::new("sqlite-read");
    let path = folder.write_file("record.db", STORE_OF_RECORD);
    let mut read_rows = Vec::new();
    for_each_row(&open_read_only(&path).expect("the store opens read-only"), |row| read_rows.push(row))
        .expect("the rows can be read");
    assert_eq!(sorted(read_rows), sorted(rows()));
    let mut store = Sqlite::open(&path, &Options::default()).expect("the file opens");
    let recovery = store.recover(&path, 100).expect("the rows can be read");
    assert_eq!((sorted(recovery.rows), recovery.row_count, recovery.epoch), (sorted(rows()), 6, 2));
    let looked_up = store.execute(&Work::Lookup(vec!["done".into(), "open".into(), "unknown".into()]));
    assert_eq!(looked_up, Outcome::Rows(vec![rows()[1].clone(), rows()[0].clone()]));
    assert_eq!(store.prune(PAST).expect("rows are pruned"), 2);
    let remaining = store.recover(&path, 100).expect("the rows can be read");
    assert_eq!(sorted(remaining.rows), sorted(rows()[..4].to_vec()));
}

// An operator goes back to the old program after a day with the new one: the new program must write exactly
// what the old one would have written.
#[test]
fn the_sqlite_store_is_written_as_by_the_build_before_the_renames() {
    let folder = Folder::new("sqlite-write");
    let before = contents(&folder.write_file("before.db", STORE_OF_RECORD));
    let path = folder.0.join("now.db");
    let mut store = Sqlite::open(&path, &Options::default()).expect("the file is created");
    let writes = rows().into_iter().map(Write::Put).collect();
    assert_eq!(store.execute(&Work::Commit(writes)), Outcome::Done);
    assert_eq!(store.execute(&Work::Commit(vec![Write::Probe])), Outcome::Done);
    drop(store);
    assert_eq!(contents(&path), before);
    // Two lines for the kind of file, three for the schema (two tables and an index by SQLite itself), one
    // row for the node and six for keys.
    assert_eq!(before.len(), 2 + 3 + 1 + 6, "{before:#?}");
}

// A node of a cluster restarts with the new program. If it lost its vote or an entry that it had
// acknowledged, two leaders could be elected, or a committed decision be lost.
#[test]
fn the_consensus_log_of_the_build_before_the_renames_is_read() {
    let folder = Folder::new("log-read");
    let path = folder.write_file("fleet.db", CONSENSUS_LOG);
    let (_log, found) = ConsensusLog::open(&path, LOG_OWNER, &Options::default()).expect("the file opens");
    assert_eq!(found.incarnation, 2);
    assert_eq!(found.hard_state, Some(b"state \x00\xff 2".to_vec()));
    assert_eq!(found.snapshot, Some(b"base up to 2".to_vec()));
    let entries = [(3, b"entry 3".to_vec()), (4, b"entry 4 again".to_vec()), (5, vec![])];
    assert_eq!(found.entries, entries);
}

// An operator goes back to the old program: it must be able to read its log after the new program has served.
#[test]
fn the_consensus_log_is_written_as_by_the_build_before_the_renames() {
    let folder = Folder::new("log-write");
    let before = contents(&folder.write_file("before.db", CONSENSUS_LOG));
    let path = folder.0.join("now.db");
    let (mut log, _) =
        ConsensusLog::open(&path, LOG_OWNER, &Options::default()).expect("the file is created");
    let first = LogRecord {
        hard_state: Some(b"state \x00\xff 1".to_vec()),
        entries: (1..=5).map(|n| (n, format!("entry {n}").into_bytes())).collect(),
        ..LogRecord::default()
    };
    let second = LogRecord {
        hard_state: Some(b"state \x00\xff 2".to_vec()),
        snapshot: Some(b"base up to 2".to_vec()),
        truncate_from: Some(4),
        entries: vec![(4, b"entry 4 again".to_vec()), (5, vec![])],
        compact_through: Some(2),
    };
    assert_eq!(log.write(&first), Outcome::Done);
    assert_eq!(log.write(&second), Outcome::Done);
    drop(log);
    assert_eq!(contents(&path), before);
    assert!(before.iter().any(|row| row.starts_with("entry: ")), "{before:#?}");
}

/// The bytes that the session sent in the build before the renames, one element for each step.
fn expected_outputs() -> Vec<Vec<u8>> {
    let mut unread = POSTGRES_SESSION;
    let mut outputs = Vec::new();
    while let Some((len, after)) = unread.split_first_chunk::<4>() {
        let (output_bytes, after) = after.split_at(u32::from_be_bytes(*len) as usize);
        outputs.push(output_bytes.to_vec());
        unread = after;
    }
    outputs
}

/// Bytes as escaped text, so that a failed assertion shows where two outputs differ.
fn to_text(outputs: &[Vec<u8>]) -> Vec<String> {
    outputs.iter().map(|output_bytes| output_bytes.escape_ascii().to_string()).collect()
}

/// A session and the bytes that it has sent, one element for each step.
struct Conversation {
    session: Session,
    sent: Vec<Vec<u8>>,
}

impl Conversation {
    fn receive_from_server(&mut self, messages: &[&[u8]]) -> Vec<Event> {
        let events = self.session.receive(&messages.concat()).expect("the session accepts the messages");
        self.sent.push(self.session.output());
        events
    }
}

// Nodes of both builds share one database, and an upgraded node must find the rows of the node before it. The
// texts of the statements must not change either: with another name of a table, the program would create a
// new, empty table.
#[test]
fn the_postgres_session_sends_what_the_build_before_the_renames_sent() {
    let login = Login {
        user: "booking".into(),
        password: b"secret".to_vec(),
        database: "bookings".into(),
        node: "n3".into(),
    };
    let mut session = Session::new(Rc::new(login), None, 100).expect("the login can be encoded");
    let sent = vec![session.output()];
    let mut conversation = Conversation { session, sent };

    let authenticated = message(b'R', &0u32.to_be_bytes());
    let ready = message(b'Z', b"I");
    let undefined_table = message(b'E', b"SERROR\0C42P01\0Mno such table\0\0");
    conversation.receive_from_server(&[&authenticated, &ready]);
    conversation.receive_from_server(&[&undefined_table, &ready]);
    conversation.receive_from_server(&[&ready]);
    conversation.receive_from_server(&[&data_row(b"1"), &ready]);
    conversation.receive_from_server(&[&ready]);
    conversation.receive_from_server(&[&data_row(&7i64.to_be_bytes()), &ready]);
    let events = conversation.receive_from_server(&[&ready]);
    assert!(matches!(&events[..], [Event::Ready(Some(found))] if found.epoch == 7), "{events:?}");

    let mut writes: Vec<Write> = rows().into_iter().map(Write::Put).collect();
    writes.push(Write::Remove { key: "gone".into(), sequence: (1 << 40) | 9 });
    writes.push(Write::Probe);
    let commit = Batch { number: 1, work: Work::Commit(writes) };
    assert!(conversation.session.submit(&commit).expect("the statements can be encoded"));
    let fence_passed = message(b'C', b"UPDATE 1\0");
    let events = conversation.receive_from_server(&[&fence_passed, &ready]);
    assert_eq!(events, [Event::Outcome(1, Outcome::Done)]);

    let lookup = Batch { number: 2, work: Work::Lookup(vec!["open".into(), "done".into()]) };
    assert!(conversation.session.submit(&lookup).expect("the statements can be encoded"));
    conversation.receive_from_server(&[&ready]);
    conversation.session.prune(3, PAST).expect("the statements can be encoded");
    conversation.receive_from_server(&[&ready]);

    assert_eq!(to_text(&conversation.sent), to_text(&expected_outputs()));
}
