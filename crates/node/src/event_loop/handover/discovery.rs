//! Search for the active process of this node: at the start, and again when it was lost.

use super::*;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Time between two searches for another process. A restart is delayed by this at most; each search costs a connect.
pub(super) const SEARCH_INTERVAL: Micros = Micros::millis(20);
/// How long a starting process waits for the holder of the lock to answer, or for the address to be free. A predecessor
/// that has just died releases both within a moment; if they are still taken later, an operator has to look.
const DISCOVERY_TIMEOUT: Micros = Micros::millis(3_000);

/// Where processes of one node find each other.
#[derive(Debug)]
pub(super) struct HandoverPaths {
    pub socket: PathBuf,
    pub lock: PathBuf,
}

/// Why no other process can take over from this one.
#[derive(Debug, thiserror::Error)]
enum Unavailable {
    #[error("a store of record has one writer")]
    StoreOfRecord,
    #[error("a fleet's log has one writer")]
    ConsensusLog,
    #[error("TMPDIR is not set")]
    NoFolder,
    #[error("{}: {problem}", path.display())]
    Path { path: PathBuf, problem: io::Error },
}

impl Unavailable {
    fn log(&self) {
        let why = self.to_string();
        tracing::info!(why, "no other process can take over from this one");
    }
}

impl HandoverPaths {
    /// Paths in `$TMPDIR`, named after the node and its address.
    fn of(config: &Config) -> Result<Self, Unavailable> {
        if config.operators.record.is_some() {
            return Err(Unavailable::StoreOfRecord);
        }
        if config.operators.fleet.is_some() {
            return Err(Unavailable::ConsensusLog);
        }
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        let folder = folder.ok_or(Unavailable::NoFolder)?;
        let is_plain = |c: char| c.is_ascii_alphanumeric();
        let name: String = config.name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect();
        let address = config.listen.to_string().replace(|c: char| !is_plain(c), "_");
        let base = Path::new(&folder).join(format!("gaugestand-{name}-{address}"));
        Ok(HandoverPaths { socket: base.with_extension("sock"), lock: base.with_extension("lock") })
    }
}

/// What a starting process has found.
enum Found<S: System> {
    /// A link to the active process.
    Predecessor(S::HandoverLink),
    /// The service lock: there is no active process.
    Lock(S::ServiceLock),
}

impl<S: System> HandoverState<S> {
    /// Finds out whether this process is to be the active one of its node. Returns the listener that it then has; a
    /// successor gets its predecessor's.
    pub(in crate::event_loop) fn discover(
        system: &S,
        config: &Config,
    ) -> Result<(Self, Option<S::Listener>), NodeError> {
        let paths = match HandoverPaths::of(config) {
            Ok(paths) => paths,
            Err(reason) => return Self::without_handover(system, config, &reason),
        };
        let started_at = system.moment().mono;
        let is_late = || system.moment().mono.since(started_at) >= DISCOVERY_TIMEOUT;
        loop {
            match Self::find(system, &paths) {
                Err(reason) => return Self::without_handover(system, config, &reason),
                Ok(Some(Found::Predecessor(link))) => {
                    tracing::info!("another process of this node serves; waiting to take over from it");
                    let mut state = HandoverState::new(Handover::successor(), Some(paths));
                    state.predecessor_link = Some(FramedLink::new(link));
                    return Ok((state, None));
                }
                Ok(Some(Found::Lock(lock))) => {
                    let listener = listen_when_free(system, config, is_late)?;
                    let mut state = HandoverState::new(Handover::active(), Some(paths));
                    state.lock = Some(lock);
                    state.listen_for_successor(system);
                    return Ok((state, Some(listener)));
                }
                Ok(None) if is_late() => {
                    let problem = io::Error::other("another process has the claim and does not answer");
                    return Err(NodeError::Io("starting beside it", problem));
                }
                Ok(None) => pause(),
            }
        }
    }

    /// Whoever answers at the socket is the active process; otherwise whoever holds the lock is, or is about to be. Nothing
    /// if another process holds the lock and does not answer.
    fn find(system: &S, paths: &HandoverPaths) -> Result<Option<Found<S>>, Unavailable> {
        if let Ok(link) = system.connect_for_handover(&paths.socket, PREDECESSOR) {
            return Ok(Some(Found::Predecessor(link)));
        }
        match system.try_service_lock(&paths.lock) {
            Ok(lock) => Ok(lock.map(Found::Lock)),
            Err(problem) => Err(Unavailable::Path { path: paths.lock.clone(), problem }),
        }
    }

    fn without_handover(
        system: &S,
        config: &Config,
        reason: &Unavailable,
    ) -> Result<(Self, Option<S::Listener>), NodeError> {
        reason.log();
        let listener = system.listen(config.listen, GATEWAY_LISTENER).map_err(io_error("listening"))?;
        Ok((HandoverState::new(Handover::active(), None), Some(listener)))
    }

    /// Listens for a successor; the node also serves without.
    pub(super) fn listen_for_successor(&mut self, system: &S) {
        let Some(HandoverPaths { socket, .. }) = &self.paths else { return };
        match system.listen_for_handover(socket, HANDOVER_LISTENER) {
            Ok(listener) => self.listener = Some(listener),
            Err(problem) => Unavailable::Path { path: socket.clone(), problem }.log(),
        }
    }

    /// Whether this process searches for the active one.
    pub(super) fn is_searching(&self) -> bool {
        matches!(self.machine.role(), Role::Successor { .. }) && self.predecessor_link.is_none()
    }
}

/// Listens for callers. A process that has just lost the lock may hold the address for another moment.
fn listen_when_free<S: System>(
    system: &S,
    config: &Config,
    is_late: impl Fn() -> bool,
) -> Result<S::Listener, NodeError> {
    loop {
        let late = is_late();
        match system.listen(config.listen, GATEWAY_LISTENER) {
            Ok(listener) => return Ok(listener),
            Err(problem) if late || problem.kind() != io::ErrorKind::AddrInUse => {
                return Err(NodeError::Io("listening", problem));
            }
            Err(_) => pause(),
        }
    }
}

fn pause() {
    std::thread::sleep(Duration::from_micros(SEARCH_INTERVAL.0));
}

impl<S: System> Node<S> {
    /// Searches for the active process, if it is time to.
    pub(super) fn search(&mut self) {
        let now = self.clock.now();
        if !self.handover.is_searching() || now < self.handover.next_search {
            return;
        }
        let Some(paths) = &self.handover.paths else { return };
        self.handover.next_search = now.plus(SEARCH_INTERVAL);
        match self.system.connect_for_handover(&paths.socket, PREDECESSOR) {
            Ok(link) => self.handover.predecessor_link = Some(FramedLink::new(link)),
            // Nobody answers: it may have ended since, with keys that were never replicated.
            Err(_) => self.on_handover_event(Event::Unlinked),
        }
    }
}
