//! Kernel links of earlier processes whose runs continue.
//!
//! A kernel reports a run only to the address that started it. The successor therefore opens a second link there, with its
//! predecessor's cursor in the kernel's notices, until the last of these runs is over.

use super::*;
use crate::kernel;

/// The poller has this many keys for inherited kernels. There is one for each hand-over whose runs continue, and runs are
/// over within their deadline.
const MAX_INHERITED_KERNELS: usize = 4;
/// How long past the longest deadline a kernel may stay silent about a run before the run counts as failed.
const EXPIRY_GRACE: Micros = Micros::millis(2_000);

/// The kernel link of an earlier process.
#[derive(Debug)]
pub(in crate::event_loop) struct InheritedKernel<S: System> {
    pub(in crate::event_loop) kernel: Kernel<S>,
    /// Its runs that are not over.
    pub(in crate::event_loop) runs: BTreeSet<RequestId>,
    /// The poller's key of the link.
    pub(in crate::event_loop) key: usize,
    /// When runs that are still not over count as failed.
    pub(super) expires_at: Timestamp,
}

impl<S: System> Node<S> {
    /// The kernel links whose runs are to continue in a successor, this process's own first.
    pub(super) fn kernel_snapshots(&self) -> Vec<kernel::KernelSnapshot> {
        let inherited = &self.handover.inherited_kernels;
        let inherited_runs: BTreeSet<RequestId> =
            inherited.iter().flat_map(|kernel| kernel.runs.iter().copied()).collect();
        let running = self.engine.running_attempts().into_iter();
        let own_runs = running.filter(|id| !inherited_runs.contains(id)).collect();
        let mut snapshots = vec![self.kernel.snapshot(own_runs)];
        snapshots.extend(inherited.iter().map(|i| i.kernel.snapshot(i.runs.iter().copied().collect())));
        snapshots
    }

    /// Opens links to the kernels of earlier processes.
    pub(super) fn inherit_kernels(&mut self, snapshots: &[kernel::KernelSnapshot]) {
        let expires_at = self.clock.now().plus(self.engine.longest_deadline()).plus(EXPIRY_GRACE);
        let busy = snapshots.iter().filter(|snapshot| !snapshot.runs.is_empty());
        self.handover.inherited_kernels = busy
            .take(MAX_INHERITED_KERNELS)
            .zip(FIRST_INHERITED_KERNEL..)
            .map(|(snapshot, key)| InheritedKernel {
                kernel: Kernel::restore(snapshot, key, &self.system),
                runs: snapshot.runs.iter().copied().collect(),
                key,
                expires_at,
            })
            .collect();
    }

    /// Fails runs that a kernel has not reported for longer than any run may take.
    pub(super) fn expire_inherited_kernels(&mut self) {
        let now = self.clock.now();
        for index in (0..self.handover.inherited_kernels.len()).rev() {
            if let Some(inherited) = self.handover.inherited_kernels.get_mut(index)
                && now >= inherited.expires_at
            {
                let runs = mem::take(&mut inherited.runs);
                for id in runs {
                    self.notify_engine(EngineEvent::RunEnded(id, RunOutcome::Failed));
                }
                self.handover.inherited_kernels.remove(index);
            }
        }
    }

    /// Writes to inherited kernels, and drops those without runs. A link may break: what is lost is sent again on the next.
    pub(super) fn flush_inherited_kernels(&mut self) {
        let now = self.clock.now();
        for inherited in &mut self.handover.inherited_kernels {
            inherited.kernel.flush(now);
        }
        self.handover.inherited_kernels.retain(|inherited| !inherited.runs.is_empty());
    }
}
