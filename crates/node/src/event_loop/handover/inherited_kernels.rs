//! Links to the kernels of earlier processes, for runs that those processes started and that continue.
//!
//! A kernel reports a run only through the address at which the run was started. The successor therefore
//! opens a second link to that address, which continues at its predecessor's cursor in the kernel's notices,
//! until the last of these runs has ended.

use super::*;
use crate::kernel;

/// Maximum number of inherited kernels; the poller has one key for each. There is one inherited kernel for
/// each hand-over whose runs continue, and runs end within their deadline.
const MAX_INHERITED_KERNELS: usize = 4;
/// Additional time, after the longest deadline of any class, until a run that its kernel has not reported
/// counts as failed.
const EXPIRY_GRACE: Micros = Micros::millis(2_000);

/// The link to the kernel of an earlier process.
#[derive(Debug)]
pub(in crate::event_loop) struct InheritedKernel<S: System> {
    pub(in crate::event_loop) kernel: Kernel<S>,
    /// The earlier process's runs on this kernel that have not ended.
    pub(in crate::event_loop) runs: BTreeSet<RequestId>,
    /// Poller key of the link.
    pub(in crate::event_loop) key: usize,
    /// When runs that have not ended count as failed.
    pub(super) expires_at: Timestamp,
}

impl<S: System> Node<S> {
    /// Snapshots of the kernel links whose runs are to continue in a successor. This process's own link comes
    /// first.
    pub(super) fn kernel_snapshots(&self) -> Vec<kernel::KernelSnapshot> {
        let inherited = &self.handover.inherited_kernels;
        let inherited_runs: BTreeSet<RequestId> =
            inherited.iter().flat_map(|kernel| kernel.runs.iter().copied()).collect();
        let running = self.engine.running_attempts().into_iter();
        let own_runs = running.filter(|id| !inherited_runs.contains(id)).collect();
        let mut snapshots = vec![self.kernel.snapshot(own_runs)];
        snapshots
            .extend(inherited.iter().map(|link| link.kernel.snapshot(link.runs.iter().copied().collect())));
        snapshots
    }

    /// Opens links to the kernels of earlier processes that still have runs, [`MAX_INHERITED_KERNELS`] at
    /// most.
    pub(super) fn inherit_kernels(&mut self, snapshots: &[kernel::KernelSnapshot]) {
        let has_effect =
            |name: &str| self.class_slots.find(name).is_none_or(|class| self.engine.has_effect(class));
        let expires_at = self.clock.now().plus(self.engine.longest_deadline()).plus(EXPIRY_GRACE);
        let busy = snapshots.iter().filter(|snapshot| !snapshot.runs.is_empty());
        self.handover.inherited_kernels = busy
            .take(MAX_INHERITED_KERNELS)
            .zip(FIRST_INHERITED_KERNEL..)
            .map(|(snapshot, key)| InheritedKernel {
                kernel: Kernel::restore(snapshot, key, &self.system, has_effect),
                runs: snapshot.runs.iter().copied().collect(),
                key,
                expires_at,
            })
            .collect();
    }

    /// Fails the runs that a kernel has not reported for longer than any run may take, and removes that
    /// kernel.
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

    /// Writes queued commands to the inherited kernels, and removes kernels that have no runs left.
    pub(super) fn flush_inherited_kernels(&mut self) {
        let now = self.clock.now();
        for inherited in &mut self.handover.inherited_kernels {
            inherited.kernel.flush(now, &mut self.counters);
        }
        self.handover.inherited_kernels.retain(|inherited| !inherited.runs.is_empty());
    }
}
