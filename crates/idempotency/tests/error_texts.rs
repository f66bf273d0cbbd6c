//! Tests of the texts of errors. Operators read these texts and search their logs for them, so a text changes
//! only together with its test here.

mod server_messages;

use gaugestand_idempotency::error::StoreFile;
use gaugestand_idempotency::postgres::{Login, Session};
use gaugestand_idempotency::{OpenError, SessionError};
use server_messages::{data_row, message};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

fn store() -> StoreFile {
    StoreFile { kind: "idempotency store", path: PathBuf::from("/d/r.db") }
}

fn log() -> StoreFile {
    StoreFile { kind: "consensus log", path: PathBuf::from("/d/f.db") }
}

#[test]
fn errors_of_files_are_one_line_that_says_what_to_do() {
    let cases = [
        (
            OpenError::Path { file: store(), error: io::Error::other("no such folder") },
            "idempotency store /d/r.db: no such folder; its folder must exist and be writable",
        ),
        (
            OpenError::Owned(store()),
            "idempotency store /d/r.db: in use by another process; end that process, nothing was changed",
        ),
        (
            OpenError::Locked(log()),
            "consensus log /d/f.db: locked by another program; end that program, nothing was changed",
        ),
        (
            OpenError::Foreign(store()),
            "idempotency store /d/r.db: is a file of another program; give another path, nothing was changed",
        ),
        (
            OpenError::Newer { file: store(), version: 7, known: 1 },
            "idempotency store /d/r.db: has version 7, this program supports up to 1; use the newer program, nothing was \
             changed",
        ),
        (
            OpenError::Damaged { file: store(), damage: "page 3".into() },
            "idempotency store /d/r.db: is damaged (page 3); restore it, or move it away to start with an empty one, \
             nothing was changed",
        ),
        (
            OpenError::OtherOwner { file: log(), owner: "node a".into(), node: "node b".into() },
            "consensus log /d/f.db: belongs to node a, this is node b; give each node its own path, nothing was changed",
        ),
        (
            OpenError::DamagedLog { file: log(), value: "entry 2".into() },
            "consensus log /d/f.db: is damaged (entry 2 differs from what was written); the cluster can go on without \
             this node: see docs/operators/fleet.md before you move the file away, nothing was changed",
        ),
        (
            OpenError::Thread { kind: "consensus log", error: io::Error::other("no memory") },
            "consensus log: the worker thread cannot be started: no memory",
        ),
        (
            OpenError::Other { file: store(), error: "odd".into() },
            "idempotency store /d/r.db: SQLite error: odd",
        ),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn errors_of_sessions_are_one_line() {
    let address: SocketAddr = "127.0.0.1:5432".parse().expect("the address is valid");
    let cases = [
        (
            SessionError::Connect { address, error: "refused".into() },
            "cannot connect to 127.0.0.1:5432: refused",
        ),
        (SessionError::Io("broken pipe".into()), "cannot read from or write to the connection: broken pipe"),
        (SessionError::Closed, "the server closed the connection"),
        (SessionError::Timeout, "the server did not answer within the time limit"),
        (SessionError::Login("no proof".into()), "login failed: no proof"),
        (SessionError::NoScram, "login failed: the server does not offer SCRAM-SHA-256"),
        (
            SessionError::WeakPassword,
            "login failed: the server asks for the password in clear text or as MD5; set scram-sha-256 for this role",
        ),
        (
            SessionError::NewerTables { version: 7, known: 1 },
            "the tables have version 7, this program supports 1; use the newer program",
        ),
        (SessionError::NoTables, "the database has no tables of an idempotency store"),
        (
            SessionError::NoVersion,
            "the table gaugestand_schema is empty; the database is not an idempotency store",
        ),
        (SessionError::NoEpoch, "the server returned no epoch for the node's name"),
        (SessionError::Unreadable("odd".into()), "malformed message: odd"),
        (SessionError::TooLong, "the server sent a message longer than 262144 bytes"),
        (SessionError::OutOfTurn, "the server sent a message that the session does not expect at this point"),
        (SessionError::ReadyOutOfTurn, "the server reported that it is ready although no work was in flight"),
        (SessionError::OutcomeOutOfTurn, "a batch ended although none had been sent"),
        (SessionError::UnexpectedRow, "the server sent a row for a statement that returns none"),
        (SessionError::MalformedRow, "the server sent a row with unexpected columns or values"),
        (SessionError::Unsendable, "a statement cannot be encoded: a value is too long for the protocol"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn an_error_of_the_server_names_the_step_that_failed() {
    let authenticated = message(b'R', &0u32.to_be_bytes());
    let ready = message(b'Z', b"I");
    let undefined_table = message(b'E', b"SERROR\0C42P01\0Mno such table\0\0");
    let rejected = message(b'E', b"SERROR\0C42501\0Mnot\x07 allowed\0\0");
    // The server's answers, one for each step; the error response takes the place of the answer in the last
    // step.
    let steps: [(&[Vec<u8>], &str); 7] = [
        (&[], "login rejected by the server: not allowed (42501)"),
        (std::slice::from_ref(&authenticated), "cannot read the version of the tables: not allowed (42501)"),
        (&[authenticated.clone(), undefined_table], "cannot create the tables: not allowed (42501)"),
        (
            &[authenticated.clone(), data_row(b"1")],
            "cannot prepare the statements; the tables must be those that this program creates: not allowed (42501)",
        ),
        (
            &[authenticated.clone(), data_row(b"1"), vec![]],
            "cannot register the node's name with a new epoch: not allowed (42501)",
        ),
        (
            &[authenticated.clone(), data_row(b"1"), vec![], data_row(&3i64.to_be_bytes())],
            "cannot read the node's rows: not allowed (42501)",
        ),
        (
            &[authenticated.clone(), data_row(b"1"), vec![], data_row(&3i64.to_be_bytes()), vec![]],
            "the server ended the session: not allowed (42501)",
        ),
    ];
    for (answers, text) in steps {
        let login = Login { user: "u".into(), password: vec![1], database: "d".into(), node: "n".into() };
        let mut session = Session::new(Rc::new(login), None, 10).expect("the login can be encoded");
        for answer in answers {
            session.receive(&[answer.as_slice(), &ready].concat()).expect(text);
        }
        let error = session.receive(&[rejected.as_slice(), &ready].concat()).expect_err(text);
        assert_eq!(error.to_string(), text);
    }
}
