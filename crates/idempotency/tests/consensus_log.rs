//! Tests of the consensus log on disk: what is written is recovered, and a file that belongs to another node
//! or is damaged is left unchanged.

use gaugestand_admission::log_record::LogRecord;
use gaugestand_idempotency::consensus_log::ConsensusLog;
use gaugestand_idempotency::row::Outcome;
use gaugestand_idempotency::sqlite::{Options, Sqlite};
use rusqlite::Connection;
use std::fs;
use std::path::PathBuf;

const OWNER: &str = "node n1 of fleet \"north\" (n1, n2, n3)";

/// A folder for one test, for the log's file and the files that SQLite puts beside it.
struct LogFolder(PathBuf);

impl LogFolder {
    fn new(name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("gaugestand-consensus-log-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("the folder can be created");
        LogFolder(folder)
    }

    fn file(&self) -> PathBuf {
        self.0.join("fleet.db")
    }

    fn change(&self, sql: &str) {
        let changed = Connection::open(self.file()).and_then(|c| c.execute_batch(sql));
        changed.expect("the file can be changed");
    }
}

impl Drop for LogFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn record(from: u64, to: u64) -> LogRecord {
    let new_entries = (from..=to).map(|index| (index, format!("entry {index}").into_bytes())).collect();
    LogRecord {
        hard_state: Some(format!("state {to}").into_bytes()),
        truncate_from: Some(from),
        entries: new_entries,
        ..LogRecord::default()
    }
}

#[test]
fn what_is_written_is_recovered_by_the_next_incarnation() {
    let folder = LogFolder::new("found");
    for incarnation in 1..=3 {
        let (mut consensus_log, found) =
            ConsensusLog::open(&folder.file(), OWNER, &Options::default()).expect("the log opens");
        assert_eq!(found.incarnation, incarnation);
        assert!(
            ConsensusLog::open(&folder.file(), OWNER, &Options::default()).is_err(),
            "a second writer must be rejected"
        );
        if incarnation == 1 {
            assert_eq!((found.hard_state, found.snapshot, found.entries.len()), (None, None, 0));
            assert_eq!(consensus_log.write(&record(1, 9)), Outcome::Done);
            // Another leader's entries replace some entries; a record that is written twice has the effect of
            // one.
            assert_eq!(consensus_log.write(&record(6, 7)), Outcome::Done);
            assert_eq!(consensus_log.write(&record(6, 7)), Outcome::Done);
            let compaction = LogRecord {
                compact_through: Some(2),
                snapshot: Some(b"base".to_vec()),
                ..LogRecord::default()
            };
            assert_eq!(consensus_log.write(&compaction), Outcome::Done);
            continue;
        }
        let indices: Vec<u64> = found.entries.iter().map(|e| e.0).collect();
        assert_eq!((indices, found.snapshot), (vec![3, 4, 5, 6, 7], Some(b"base".to_vec())));
        assert_eq!(found.hard_state, Some(b"state 7".to_vec()));
    }
}

/// An operator copies one node's log to another node, or a disk damages it. A node that went on with such a
/// log could vote twice in one term.
#[test]
fn a_file_that_is_damaged_or_belongs_to_another_node_is_rejected_and_unchanged() {
    let cases = [
        ("UPDATE entry SET value = x'00' WHERE place = 2", "is damaged (entry 2"),
        ("UPDATE cell SET value = x'00' WHERE name = 'state'", "is damaged (state"),
        (
            "UPDATE life SET owner = 'node n2 of fleet \"south\" (n2)'",
            "belongs to node n2 of fleet \"south\"",
        ),
        ("PRAGMA user_version = 7", "has version 7, this program supports up to 1"),
        ("PRAGMA application_id = 7", "is a file of another program"),
    ];
    for (i, (sql, expected)) in cases.into_iter().enumerate() {
        let folder = LogFolder::new(&format!("case{i}"));
        let (mut consensus_log, _) =
            ConsensusLog::open(&folder.file(), OWNER, &Options::default()).expect("the log opens");
        assert_eq!(consensus_log.write(&record(1, 3)), Outcome::Done);
        drop(consensus_log);
        folder.change(sql);
        let before = fs::read(folder.file()).expect("the file can be read");
        let message = ConsensusLog::open(&folder.file(), OWNER, &Options::default())
            .map(|_| ())
            .expect_err(sql)
            .to_string();
        assert!(
            message.starts_with("consensus log")
                && message.contains(expected)
                && message.lines().count() == 1,
            "{message}"
        );
        assert_eq!(
            fs::read(folder.file()).expect("the file can be read"),
            before,
            "{sql}: opening must not change the file"
        );
    }
    // An idempotency store's file is not accepted as a consensus log.
    let folder = LogFolder::new("store");
    drop(Sqlite::open(&folder.file(), &Options::default()).expect("the store opens"));
    let message = ConsensusLog::open(&folder.file(), OWNER, &Options::default())
        .map(|_| ())
        .expect_err("a store must not open as a consensus log")
        .to_string();
    assert!(message.contains("is a file of another program"), "{message}");
}

/// The disk fills in the middle of a record. After a restart, all records that were acknowledged must be
/// recovered, and nothing of the record that failed.
#[test]
fn a_full_disk_loses_no_record_that_was_written() {
    let folder = LogFolder::new("full");
    let options = Options { max_pages: 40, ..Options::default() };
    let (mut consensus_log, _) = ConsensusLog::open(&folder.file(), OWNER, &options).expect("the log opens");
    let big = |index: u64| LogRecord { entries: vec![(index, vec![7; 8_000])], ..LogRecord::default() };
    let done = (1..100).take_while(|index| consensus_log.write(&big(*index)) == Outcome::Done).count() as u64;
    assert!((2..60).contains(&done), "{done} records were written");
    // Compaction frees space. Then the record that failed can be written, after the records before it.
    assert_eq!(
        consensus_log.write(&LogRecord { compact_through: Some(done / 2), ..LogRecord::default() }),
        Outcome::Done
    );
    assert_eq!(consensus_log.write(&big(done + 1)), Outcome::Done);
    drop(consensus_log);
    let (_, found) = ConsensusLog::open(&folder.file(), OWNER, &options).expect("the log opens");
    let indices: Vec<u64> = found.entries.iter().map(|e| e.0).collect();
    assert_eq!(indices, (done / 2 + 1..=done + 1).collect::<Vec<_>>());
}
