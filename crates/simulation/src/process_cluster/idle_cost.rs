//! Measures the CPU time of a cluster without requests, and of a read in a cluster and at a standalone process.

use super::processes::Size;
use super::{ProcessCluster, ProcessClusterError, blocking_content};
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Serial number of the measured cluster, which is part of the name of its folder. The serial number of a run
/// is its seed, so the folders differ unless a run has this seed.
const CLUSTER_SERIAL: u64 = 9_000_000;
/// Serial number of the standalone process, which is part of the name of its folder.
const STANDALONE_SERIAL: u64 = 9_000_001;
/// Number of turns in which the reads go to the cluster and then to the standalone process, so that other load
/// on the machine affects both.
const ROUNDS: u64 = 10;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// CPU times of an idle cluster and of reads.
#[derive(Clone, Copy, Debug)]
pub struct IdleCost {
    /// CPU time of an idle process, in milliseconds per second: the mean of the processes.
    pub mean_ms: f64,
    /// CPU time of an idle process, in milliseconds per second: the highest of the processes.
    pub max_ms: f64,
    /// Mean CPU time of a read at a process of the cluster, in microseconds.
    pub read_us: f64,
    /// Mean CPU time of a read at a standalone process, in microseconds.
    pub standalone_read_us: f64,
}

/// Starts a cluster of this many processes, measures it without requests for this many seconds, and then
/// measures this many reads at its first process and at a standalone process.
///
/// # Errors
/// A process cannot be started or ends early, the first version does not become active in time, or a read
/// fails. All processes are ended in any case.
pub fn measure_idle_cost(
    program: &Path,
    processes: usize,
    seconds: u64,
    reads: u64,
) -> Result<IdleCost, ProcessClusterError> {
    let cluster = ProcessCluster::start(program, processes, CLUSTER_SERIAL)?;
    let version = cluster.commit(0, &blocking_content(1))?;
    cluster.await_active(&(0..processes).collect::<Vec<_>>(), version)?;
    let cpu_ms = |process| cluster.cpu_ms(process).unwrap_or(0);
    let before: Vec<u64> = (0..processes).map(cpu_ms).collect();
    thread::sleep(Duration::from_secs(seconds));
    let ms_per_s = |process: usize| (cpu_ms(process) - before[process]) as f64 / seconds as f64;
    let idle: Vec<f64> = (0..processes).map(ms_per_s).collect();
    let size = Size { members: 1, spares: 0, standalone: true };
    let standalone = ProcessCluster::prepare(program, size, STANDALONE_SERIAL, |_, _| ())?;
    let mut read_ms = 0;
    let mut standalone_read_ms = 0;
    for round in 0..ROUNDS {
        let first = 1 + round * reads;
        read_ms += cpu_ms_of_reads(&cluster, first, reads / ROUNDS)?;
        standalone_read_ms += cpu_ms_of_reads(&standalone, first, reads / ROUNDS)?;
    }
    let micros_per_read = |ms: u64| ms as f64 * MICROS_PER_MILLI / reads as f64;
    Ok(IdleCost {
        mean_ms: idle.iter().sum::<f64>() / processes as f64,
        max_ms: idle.iter().copied().fold(0.0, f64::max),
        read_us: micros_per_read(read_ms),
        standalone_read_us: micros_per_read(standalone_read_ms),
    })
}

/// CPU time that the first process of the cluster uses for this many reads, in milliseconds. The requests are
/// numbered from `first` on.
fn cpu_ms_of_reads(cluster: &ProcessCluster, first: u64, reads: u64) -> Result<u64, ProcessClusterError> {
    let cpu_ms = || cluster.cpu_ms(0).ok_or(ProcessClusterError::NotRunning);
    let mut gateway = cluster.gateway(0)?;
    let before = cpu_ms()?;
    for request in first..first + reads {
        gateway.read(request).map_err(ProcessClusterError::io("a read"))?;
    }
    Ok(cpu_ms()? - before)
}
