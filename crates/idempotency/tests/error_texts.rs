//! The texts of errors: operators read them, and search their logs for them. They are those of the build before the
//! errors were typed (commit d61e325).

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
    StoreFile { kind: "store of record", path: PathBuf::from("/d/r.db") }
}

fn log() -> StoreFile {
    StoreFile { kind: "agreed log", path: PathBuf::from("/d/f.db") }
}

#[test]
fn what_is_wrong_with_a_file_is_one_line_that_says_what_to_do() {
    let cases = [
        (
            OpenError::Path { file: store(), error: io::Error::other("no such folder") },
            "store of record /d/r.db: no such folder; its folder must be there and writable",
        ),
        (
            OpenError::Owned(store()),
            "store of record /d/r.db: another process serves from it; stop that one first",
        ),
        (
            OpenError::Locked(log()),
            "agreed log /d/f.db: locked by another program; end that one, nothing was changed",
        ),
        (
            OpenError::Foreign(store()),
            "store of record /d/r.db: is a file of another program; give another path, nothing was changed",
        ),
        (
            OpenError::Newer { file: store(), version: 7, known: 1 },
            "store of record /d/r.db: is of version 7, this program knows up to 1; use the newer program, nothing was \
             changed",
        ),
        (
            OpenError::Damaged { file: store(), damage: "page 3".into() },
            "store of record /d/r.db: is damaged (page 3); restore it, or move it away to start with none, nothing was \
             changed",
        ),
        (
            OpenError::OtherOwner { file: log(), owner: "node a".into(), node: "node b".into() },
            "agreed log /d/f.db: belongs to node a, this is node b; give each node its own path, nothing was changed",
        ),
        (
            OpenError::DamagedLog { file: log(), value: "entry 2".into() },
            "agreed log /d/f.db: is damaged (entry 2 is not as it was written); the others can do without this node: see \
             docs/operators/fleet.md before you move the file away, nothing was changed",
        ),
        (
            OpenError::Thread { kind: "agreed log", error: io::Error::other("no memory") },
            "agreed log: no memory",
        ),
        (OpenError::Other { file: store(), error: "odd".into() }, "store of record /d/r.db: odd"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn what_is_wrong_with_a_session_is_one_line() {
    let address: SocketAddr = "127.0.0.1:5432".parse().expect("an address");
    let cases = [
        (SessionError::Connect { address, error: "refused".into() }, "127.0.0.1:5432: refused"),
        (SessionError::Io("broken pipe".into()), "broken pipe"),
        (SessionError::Closed, "the server closed the connection"),
        (SessionError::Timeout, "no answer in time"),
        (SessionError::Login("no proof".into()), "login: no proof"),
        (SessionError::NoScram, "login: the server offers no SCRAM-SHA-256"),
        (
            SessionError::WeakPassword,
            "login: the server asks for a password in a weak form; set scram-sha-256 for this role",
        ),
        (
            SessionError::NewerTables { version: 7, known: 1 },
            "its tables are of version 7, this program knows 1; use the newer program",
        ),
        (SessionError::NoTables, "there are no tables of a store of record"),
        (SessionError::NoVersion, "its table of versions is empty; it is no store of record"),
        (SessionError::NoEpoch, "no epoch came back"),
        (SessionError::Unreadable("odd".into()), "a reply that cannot be read: odd"),
        (SessionError::TooLong, "a reply that is too long"),
        (SessionError::OutOfTurn, "a reply out of turn"),
        (SessionError::ReadyOutOfTurn, "ready out of turn"),
        (SessionError::OutcomeOutOfTurn, "an outcome before there was work"),
        (SessionError::UnexpectedRow, "a row that nobody asked for"),
        (SessionError::MalformedRow, "a row of another form"),
        (SessionError::Unsendable, "a statement that cannot be sent"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn an_error_of_the_server_names_the_step_that_it_ended() {
    let authenticated = message(b'R', &0u32.to_be_bytes());
    let ready = message(b'Z', b"I");
    let undefined_table = message(b'E', b"SERROR\0C42P01\0Mno such table\0\0");
    let refused = message(b'E', b"SERROR\0C42501\0Mnot\x07 allowed\0\0");
    // What the server answers, a step at a time; the error comes in place of the last one's.
    let steps: [(&[Vec<u8>], &str); 7] = [
        (&[], "login: not allowed (42501)"),
        (std::slice::from_ref(&authenticated), "its tables cannot be read: not allowed (42501)"),
        (&[authenticated.clone(), undefined_table], "its tables cannot be made: not allowed (42501)"),
        (
            &[authenticated.clone(), data_row(b"1")],
            "its tables are not as they should be: not allowed (42501)",
        ),
        (
            &[authenticated.clone(), data_row(b"1"), vec![]],
            "the node's name cannot be taken: not allowed (42501)",
        ),
        (
            &[authenticated.clone(), data_row(b"1"), vec![], data_row(&3i64.to_be_bytes())],
            "its rows cannot be read: not allowed (42501)",
        ),
        (
            &[authenticated.clone(), data_row(b"1"), vec![], data_row(&3i64.to_be_bytes()), vec![]],
            "not allowed (42501)",
        ),
    ];
    for (answers, text) in steps {
        let login = Login { user: "u".into(), password: vec![1], database: "d".into(), node: "n".into() };
        let mut session = Session::new(Rc::new(login), None, 10).expect("a login that can be sent");
        for answer in answers {
            session.receive(&[answer.as_slice(), &ready].concat()).expect(text);
        }
        let error = session.receive(&[refused.as_slice(), &ready].concat()).expect_err(text);
        assert_eq!(error.to_string(), text);
    }
}
