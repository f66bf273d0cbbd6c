//! Support for the tests of the compiled program: starts the program and simulates its peers on loopback, as
//! a test directs.
//!
//! Each test has its own process, files and ports. The support code fails a test only where the program does
//! not start or end, or where a peer does not receive what it expects within [`TEST_TIMEOUT`].
#![allow(dead_code, missing_docs, unused_imports)]

mod admin;
mod configuration;
mod fastcgi;
pub mod frame_corruptor;
mod gateway;
mod kernel;
mod program;
mod scene;
mod store;
mod successor;

pub use admin::{admin_call, info_value};
pub use configuration::{check_config, configuration, lift_limits};
pub use fastcgi::{
    ABORT_REQUEST, BEGIN_REQUEST, PARAMS, STDIN, begin_record, fcgi_record, name_value_pair, request_records,
};
pub use gateway::{Gateway, Response, TXN_A, TXN_B, TXN_C, TXN_D, attempt_records, status_and_body};
pub use kernel::Kernel;
pub use program::{override_program, program};
pub use scene::Scene;
pub use store::StoreConnection;
pub use successor::Successor;

use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Longest time that a test waits for one event: far longer than an event takes on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Unix time (since 1970) in milliseconds, the unit in which gateways state the ingress time.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a system time after 1970").as_millis() as u64
}

/// Sets [`TEST_TIMEOUT`] as the read timeout of a stream, and turns off Nagle's algorithm.
fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("setting the read timeout");
    stream.set_nodelay(true).expect("setting TCP_NODELAY");
    stream
}

/// A path with this extension in the system's folder for temporary files. It is unique to the call.
pub fn temporary_path(extension: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("gaugestand-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    std::env::temp_dir().join(name).with_extension(extension)
}
