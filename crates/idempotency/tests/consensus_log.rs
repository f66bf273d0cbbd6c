//! A cluster's log on disk: what is written is found, and a file that is not this node's, or not whole, is left alone.

use gaugestand_admission::log_record::LogRecord;
use gaugestand_idempotency::consensus_log::ConsensusLog;
use gaugestand_idempotency::row::Outcome;
use gaugestand_idempotency::sqlite::{Options, Sqlite};
use rusqlite::Connection;
use std::fs;
use std::path::PathBuf;

const OWNER: &str = "node n1 of fleet \"north\" (n1, n2, n3)";

/// A folder of one test, for its file and what SQLite puts beside it.
struct LogFolder(PathBuf);

impl LogFolder {
    fn new(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("gaugestand-diary-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        LogFolder(folder)
    }

    fn file(&self) -> PathBuf {
        self.0.join("fleet.db")
    }

    fn change(&self, sql: &str) {
        let changed = Connection::open(self.file()).and_then(|c| c.execute_batch(sql));
        changed.expect("changed");
    }
}

impl Drop for LogFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn record(from: u64, to: u64) -> LogRecord {
    let put = (from..=to).map(|at| (at, format!("entry {at}").into_bytes())).collect();
    LogRecord {
        hard_state: Some(format!("state {to}").into_bytes()),
        truncate_from: Some(from),
        entries: put,
        ..LogRecord::default()
    }
}

#[test]
fn what_is_written_is_recovered_by_the_next_incarnation() {
    let folder = LogFolder::new("found");
    for incarnation in 1..=3 {
        let (mut consensus_log, found) =
            ConsensusLog::open(&folder.file(), OWNER, &Options::default()).expect("opened");
        assert_eq!(found.incarnation, incarnation);
        assert!(ConsensusLog::open(&folder.file(), OWNER, &Options::default()).is_err(), "it has one writer");
        if incarnation == 1 {
            assert_eq!((found.hard_state, found.snapshot, found.entries.len()), (None, None, 0));
            assert_eq!(consensus_log.write(&record(1, 9)), Outcome::Done);
            // Another leader's entries replace some; written twice it is the same.
            assert_eq!(consensus_log.write(&record(6, 7)), Outcome::Done);
            assert_eq!(consensus_log.write(&record(6, 7)), Outcome::Done);
            let forget = LogRecord {
                compact_through: Some(2),
                snapshot: Some(b"base".to_vec()),
                ..LogRecord::default()
            };
            assert_eq!(consensus_log.write(&forget), Outcome::Done);
            continue;
        }
        let places: Vec<u64> = found.entries.iter().map(|e| e.0).collect();
        assert_eq!((places, found.snapshot), (vec![3, 4, 5, 6, 7], Some(b"base".to_vec())));
        assert_eq!(found.hard_state, Some(b"state 7".to_vec()));
    }
}

/// An operator copies one node's log to another, or a disk damages it. A node that went on with it could vote twice in one
/// term.
#[test]
fn a_file_that_is_damaged_or_not_this_nodes_is_unchanged() {
    let cases = [
        ("UPDATE entry SET value = x'00' WHERE place = 2", "is damaged (entry 2"),
        ("UPDATE cell SET value = x'00' WHERE name = 'state'", "is damaged (state"),
        (
            "UPDATE life SET owner = 'node n2 of fleet \"south\" (n2)'",
            "belongs to node n2 of fleet \"south\"",
        ),
        ("PRAGMA user_version = 7", "is of version 7, this program knows up to 1"),
        ("PRAGMA application_id = 7", "is a file of another program"),
    ];
    for (i, (sql, why)) in cases.into_iter().enumerate() {
        let folder = LogFolder::new(&format!("case{i}"));
        let (mut consensus_log, _) =
            ConsensusLog::open(&folder.file(), OWNER, &Options::default()).expect("opened");
        assert_eq!(consensus_log.write(&record(1, 3)), Outcome::Done);
        drop(consensus_log);
        folder.change(sql);
        let before = fs::read(folder.file()).expect("there");
        let message = ConsensusLog::open(&folder.file(), OWNER, &Options::default())
            .map(|_| ())
            .expect_err(sql)
            .to_string();
        assert!(
            message.starts_with("agreed log") && message.contains(why) && message.lines().count() == 1,
            "{message}"
        );
        assert_eq!(fs::read(folder.file()).expect("there"), before, "{sql}: it was changed");
    }
    // A store of record is none, nor is a log a store of record.
    let folder = LogFolder::new("store");
    drop(Sqlite::open(&folder.file(), &Options::default()).expect("a store"));
    let message = ConsensusLog::open(&folder.file(), OWNER, &Options::default())
        .map(|_| ())
        .expect_err("another file")
        .to_string();
    assert!(message.contains("is a file of another program"), "{message}");
}

/// The disk fills in the middle of a record. What was acknowledged must be there after a restart, and nothing of the half
/// that was not.
#[test]
fn a_full_disk_loses_no_record_that_was_written() {
    let folder = LogFolder::new("full");
    let small = Options { max_pages: 40, ..Options::default() };
    let (mut consensus_log, _) = ConsensusLog::open(&folder.file(), OWNER, &small).expect("opened");
    let big = |at: u64| LogRecord { entries: vec![(at, vec![7; 8_000])], ..LogRecord::default() };
    let done = (1..100).take_while(|at| consensus_log.write(&big(*at)) == Outcome::Done).count() as u64;
    assert!((2..60).contains(&done), "{done} pages");
    // Room again: what failed is made again, in its order.
    assert_eq!(
        consensus_log.write(&LogRecord { compact_through: Some(done / 2), ..LogRecord::default() }),
        Outcome::Done
    );
    assert_eq!(consensus_log.write(&big(done + 1)), Outcome::Done);
    drop(consensus_log);
    let (_, found) = ConsensusLog::open(&folder.file(), OWNER, &small).expect("opened");
    let places: Vec<u64> = found.entries.iter().map(|e| e.0).collect();
    assert_eq!(places, (done / 2 + 1..=done + 1).collect::<Vec<_>>());
}
