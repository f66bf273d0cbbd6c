//! What the tests of the program share: the program itself, and peers on loopback which do only what a test says.
//!
//! Each test has its own program, files and ports. Nothing here decides whether a test passes, except that a peer panics
//! when what it waits for does not come within [`TEST_TIMEOUT`] or is not what it was told to expect.
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

/// Longest that any test waits for anything: far beyond what it takes on a busy machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Milliseconds since 1970, as gateways state the time of ingress.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

fn with_read_timeout(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream.set_nodelay(true).expect("no delay");
    stream
}

/// A path in the system's folder for temporary files that no other test has.
pub fn temporary_path(extension: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("gaugestand-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    std::env::temp_dir().join(name).with_extension(extension)
}
