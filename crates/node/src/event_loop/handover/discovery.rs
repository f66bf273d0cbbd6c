//! Search for the active process of this node: when a process starts, and when a successor has lost its link
//! to the active process.

use super::*;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Time between two searches for the active process. A restart is delayed by at most this time; each search
/// costs one connection attempt.
pub(super) const SEARCH_INTERVAL: Micros = Micros::millis(20);
/// How long a starting process waits for the holder of the service lock to answer, or for the listening
/// address to become free. Both are released within a moment after a predecessor dies; if they are still held
/// after this time, the start fails and an operator has to find out why.
const DISCOVERY_TIMEOUT: Micros = Micros::millis(3_000);

/// Paths at which the processes of one node find each other.
#[derive(Debug)]
pub(super) struct HandoverPaths {
    /// Socket at which the active process accepts hand-over links.
    pub socket: PathBuf,
    /// File of the service lock.
    pub lock: PathBuf,
}

/// Why no other process can take over from this one.
#[derive(Debug, thiserror::Error)]
enum HandoverUnavailable {
    #[error("an idempotency store (record) is configured, and only one process can write to it")]
    IdempotencyStore,
    #[error("a cluster (fleet) is configured, and only one process can write its consensus log")]
    ConsensusLog,
    #[error("TMPDIR is unset or empty; it names the directory of the hand-over socket and the lock")]
    TmpdirNotSet,
    #[error("cannot use {}: {problem}", path.display())]
    Path { path: PathBuf, problem: io::Error },
}

impl HandoverUnavailable {
    fn log(&self) {
        let why = self.to_string();
        tracing::info!(why, "hand-over: not available; no other process can take over from this one");
    }
}

impl HandoverPaths {
    /// Paths in the directory `$TMPDIR`, named after the node and its address for gateways; or why this node
    /// has no hand-over.
    fn of(config: &Config) -> Result<Self, HandoverUnavailable> {
        if config.operators.record.is_some() {
            return Err(HandoverUnavailable::IdempotencyStore);
        }
        if config.operators.fleet.is_some() {
            return Err(HandoverUnavailable::ConsensusLog);
        }
        let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty());
        let directory = directory.ok_or(HandoverUnavailable::TmpdirNotSet)?;
        let is_plain = |c: char| c.is_ascii_alphanumeric();
        let name: String = config.name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect();
        let address = config.listen.to_string().replace(|c: char| !is_plain(c), "_");
        let base = Path::new(&directory).join(format!("gaugestand-{name}-{address}"));
        Ok(HandoverPaths { socket: base.with_extension("sock"), lock: base.with_extension("lock") })
    }
}

/// Result of one search by a starting process.
enum SearchResult<S: System> {
    /// A hand-over link to the active process.
    Predecessor(S::HandoverLink),
    /// The service lock, which this process has just acquired: there is no active process.
    Lock(S::ServiceLock),
}

impl<S: System> HandoverState<S> {
    /// Determines whether this process becomes the active one of its node, or the successor of another
    /// process. Returns the listener of an active process; a successor receives its predecessor's listener
    /// later.
    pub(in crate::event_loop) fn discover(
        system: &S,
        config: &Config,
    ) -> Result<(Self, Option<S::Listener>), NodeError> {
        let paths = match HandoverPaths::of(config) {
            Ok(paths) => paths,
            Err(reason) => return Self::without_handover(system, config, &reason),
        };
        let started_at = system.moment().mono;
        let timed_out = || system.moment().mono.since(started_at) >= DISCOVERY_TIMEOUT;
        loop {
            match Self::search_once(system, &paths) {
                Err(reason) => return Self::without_handover(system, config, &reason),
                Ok(Some(SearchResult::Predecessor(link))) => {
                    tracing::info!(
                        "hand-over: another process of this node is active; waiting to take over from it"
                    );
                    let mut state = HandoverState::new(Handover::successor(), Some(paths));
                    state.predecessor_link = Some(FramedLink::new(link));
                    return Ok((state, None));
                }
                Ok(Some(SearchResult::Lock(lock))) => {
                    let listener = listen_when_free(system, config, timed_out)?;
                    let mut state = HandoverState::new(Handover::active(), Some(paths));
                    state.lock = Some(lock);
                    state.listen_for_successor(system);
                    return Ok((state, Some(listener)));
                }
                Ok(None) if timed_out() => {
                    let problem = io::Error::other(
                        "another process holds the service lock (this node's .lock file in TMPDIR) and did \
                         not answer within 3 s; end that process",
                    );
                    return Err(NodeError::Io("cannot find the active process of this node", problem));
                }
                Ok(None) => sleep_before_retry(),
            }
        }
    }

    /// Searches once. A process that answers at the socket is the active one. If none answers, the process
    /// that holds the service lock is active, or is about to be. Returns none if another process holds the
    /// lock and does not answer.
    fn search_once(
        system: &S,
        paths: &HandoverPaths,
    ) -> Result<Option<SearchResult<S>>, HandoverUnavailable> {
        if let Ok(link) = system.connect_for_handover(&paths.socket, PREDECESSOR) {
            return Ok(Some(SearchResult::Predecessor(link)));
        }
        match system.try_service_lock(&paths.lock) {
            Ok(lock) => Ok(lock.map(SearchResult::Lock)),
            Err(problem) => Err(HandoverUnavailable::Path { path: paths.lock.clone(), problem }),
        }
    }

    fn without_handover(
        system: &S,
        config: &Config,
        reason: &HandoverUnavailable,
    ) -> Result<(Self, Option<S::Listener>), NodeError> {
        reason.log();
        let listener = system
            .listen(config.listen, GATEWAY_LISTENER)
            .map_err(io_error("cannot listen for gateways at the address of `listen` or BALANCER_LISTEN"))?;
        Ok((HandoverState::new(Handover::active(), None), Some(listener)))
    }

    /// Listens for hand-over links of a successor. If that fails, the node serves without hand-over.
    pub(super) fn listen_for_successor(&mut self, system: &S) {
        let Some(HandoverPaths { socket, .. }) = &self.paths else { return };
        match system.listen_for_handover(socket, HANDOVER_LISTENER) {
            Ok(listener) => self.listener = Some(listener),
            Err(problem) => HandoverUnavailable::Path { path: socket.clone(), problem }.log(),
        }
    }

    /// Whether this process is a successor that has no link to the active process and searches for it.
    pub(super) fn is_searching(&self) -> bool {
        matches!(self.machine.role(), Role::Successor { .. }) && self.predecessor_link.is_none()
    }
}

/// Listens for gateways. While the address is in use, tries again until `timed_out` returns true: a process
/// that has just lost the service lock may still hold the address for a moment.
fn listen_when_free<S: System>(
    system: &S,
    config: &Config,
    timed_out: impl Fn() -> bool,
) -> Result<S::Listener, NodeError> {
    loop {
        let is_last_attempt = timed_out();
        match system.listen(config.listen, GATEWAY_LISTENER) {
            Ok(listener) => return Ok(listener),
            Err(problem) if is_last_attempt || problem.kind() != io::ErrorKind::AddrInUse => {
                return Err(NodeError::Io(
                    "cannot listen for gateways at the address of `listen` or BALANCER_LISTEN",
                    problem,
                ));
            }
            Err(_) => sleep_before_retry(),
        }
    }
}

fn sleep_before_retry() {
    std::thread::sleep(Duration::from_micros(SEARCH_INTERVAL.0));
}

impl<S: System> Node<S> {
    /// Searches for the active process, if this process has no link to one and the next search is due.
    pub(super) fn search_if_due(&mut self) {
        let now = self.clock.now();
        if !self.handover.is_searching() || now < self.handover.next_search {
            return;
        }
        let Some(paths) = &self.handover.paths else { return };
        self.handover.next_search = now.plus(SEARCH_INTERVAL);
        match self.system.connect_for_handover(&paths.socket, PREDECESSOR) {
            Ok(link) => self.handover.predecessor_link = Some(FramedLink::new(link)),
            // No process answers. The active one may have exited in the meantime, with keys that it never
            // replicated.
            Err(_) => self.on_handover_event(Event::Unlinked),
        }
    }
}
