//! The command line of the simulator `gaugestand-sim`. Exit status 0: no rule was broken; 1: a rule was broken;
//! 2: the command could not be carried out.
#![forbid(unsafe_code)]

use bpaf::{OptionParser, Parser, construct, long, positional};
use gaugestand_admission::time::Micros;
use gaugestand_simulation::process_cluster;
use gaugestand_simulation::world::{Outcome, play};
use rayon::prelude::*;
use std::collections::BTreeSet;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

/// Number of reads that `fleet --faults rest` measures: enough for CPU times precise to two decimal places.
const IDLE_COST_READS: u64 = 200_000;

/// The sub-command that the program runs, with its arguments.
#[derive(Clone, Debug)]
enum Command {
    /// Runs a world for each seed of a range.
    Run { seeds: String, virtual_secs: u64, jobs: Option<usize>, json: bool },
    /// Runs the world of one seed and prints its result, with a trace if requested.
    Replay { virtual_secs: u64, trace: bool, seed: u64 },
    /// Runs clusters of real processes with faults between them.
    Fleet {
        nodes: usize,
        seed: u64,
        runs: u64,
        secs: u64,
        faults: String,
        program: Option<PathBuf>,
        max_overlap_ms: u64,
        json: bool,
    },
    /// Reduces the faults of a world to those needed to break the same rule.
    Shrink { virtual_secs: u64, seed: u64 },
}

fn commands() -> OptionParser<Command> {
    let secs =
        || long("virtual-secs").help("Simulated seconds of a world (30)").argument("SECONDS").fallback(30);
    let seed = || positional("SEED").help("The seed of the world");
    let run = {
        let seeds = long("seeds")
            .help("Range of seeds, as in 0..100 (without 100)")
            .argument("RANGE")
            .fallback("0..100".into());
        let jobs = long("jobs").help("Number of worlds that run at a time").argument("N").optional();
        let json = long("json").help("Print a summary as a last line of JSON").switch();
        let virtual_secs = secs();
        construct!(Command::Run { seeds, virtual_secs, jobs, json })
            .to_options()
            .descr("Run a world for each seed and check every rule")
            .command("run")
    };
    let replay = {
        let (virtual_secs, seed) = (secs(), seed());
        let trace = long("trace").help("Print each step of the world").switch();
        construct!(Command::Replay { virtual_secs, trace, seed })
            .to_options()
            .descr("Run the world of one seed and print its result")
            .command("replay")
    };
    let shrink = {
        let (virtual_secs, seed) = (secs(), seed());
        construct!(Command::Shrink { virtual_secs, seed })
            .to_options()
            .descr("Leave out every fault that is not needed to break the same rule")
            .command("shrink")
    };
    let fleet = {
        let nodes = long("nodes").help("Number of processes, 1 to 7 (3)").argument("N").fallback(3);
        let seed = long("seed").help("The first seed (0)").argument("SEED").fallback(0);
        let runs = long("runs").help("Seeds, one run after the other (1)").argument("N").fallback(1);
        let faults = long("faults")
            .help("The plan: accord, or rest (no faults; measures the cost of an idle cluster)")
            .argument("PLAN")
            .fallback("accord".into());
        let program =
            long("program").help("The node's program; else the one beside this").argument("FILE").optional();
        let json = long("json").help("Print a summary as a last line of JSON").switch();
        let secs = long("secs")
            .help("Seconds for which faults are injected, or the idle cluster is measured (20)")
            .argument("SECONDS")
            .fallback(20);
        let max_overlap_ms = long("most")
            .help("Longest allowed overlap of conflicting versions (400). Leases leave none, except around pauses")
            .argument("MS")
            .fallback(process_cluster::CONTRADICT_MS);
        construct!(Command::Fleet { nodes, seed, runs, secs, faults, program, max_overlap_ms, json })
            .to_options()
            .descr("Start clusters of real processes, inject faults and check the cluster's rules")
            .command("fleet")
    };
    construct!([run, replay, shrink, fleet])
        .to_options()
        .descr("Simulate booking nodes with faults, and check the rules of the platform")
}

/// Why a command cannot be carried out.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("--seeds: expected a range, as in 0..100")]
    NotARange,
    #[error("--seeds: {0} is not a whole number")]
    NotANumber(String),
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    #[error(
        "--program: the node's program is not at the given path, or not beside this program if none is given"
    )]
    NoProgram,
    #[error("--faults: unknown plan {0}, expected accord or rest")]
    UnknownPlan(String),
    #[error("--nodes: expected a number from 1 to 7")]
    NodeCount,
    #[error(transparent)]
    ProcessCluster(#[from] process_cluster::ProcessClusterError),
}

fn print_outcome(outcome: &Outcome) {
    for v in &outcome.violations {
        println!("seed {}: rule '{}' broken at {} us: {}", outcome.seed, v.rule, v.at.0, v.observed);
    }
    println!("  site: {}", outcome.site);
    for (at, fault) in &outcome.plan {
        println!("  {:>10} us  {fault:?}", at.0);
    }
    println!("  replay: gaugestand-sim replay {} --trace", outcome.seed);
}

/// Runs a world for each seed of the range and prints a summary; returns whether no rule was broken.
fn run(seeds: &str, secs: u64, jobs: Option<usize>, json: bool) -> Result<bool, CommandError> {
    let (from, to) = seeds.split_once("..").ok_or(CommandError::NotARange)?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| CommandError::NotANumber(text.to_string()));
    let range = number(from)?..number(to)?;
    let mut pool = rayon::ThreadPoolBuilder::new();
    if let Some(jobs) = jobs {
        pool = pool.num_threads(jobs);
    }
    let pool = pool.build()?;
    let started = Instant::now();
    let length = Micros::millis(secs.saturating_mul(1000));
    let outcomes: Vec<Outcome> = pool
        .install(|| range.into_par_iter().map(|seed| play(seed, length, &BTreeSet::new(), false)).collect());
    let real = started.elapsed().as_secs_f64();
    let mut digest = blake3::Hasher::new();
    for outcome in &outcomes {
        digest.update(outcome.digest.as_bytes());
    }
    let digest = digest.finalize().to_hex()[..16].to_string();
    let broken: Vec<&Outcome> = outcomes.iter().filter(|o| !o.violations.is_empty()).collect();
    broken.iter().take(5).for_each(|outcome| print_outcome(outcome));
    let sum = |of: fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>();
    let (n, violations) = (outcomes.len(), broken.len());
    let virtual_secs = n as u64 * secs;
    println!(
        "{n} worlds, {} attempts: {} served, {} rejected, {} failed; {violations} broke a rule; {virtual_secs} s simulated in {real:.1} s",
        sum(|o| o.attempts),
        sum(|o| o.served),
        sum(|o| o.rejected),
        sum(|o| o.failed)
    );
    if json {
        println!(
            "{{\"seeds\": {n}, \"violations\": {violations}, \"digest\": \"{digest}\", \
             \"virtual_secs\": {virtual_secs}, \"real_secs\": {real:.3}}}"
        );
    }
    Ok(violations == 0)
}

/// The path of the node's program: the one given, else `gaugestand` beside this program. An error if it does
/// not exist.
fn node_program(program: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    let default_program = || Some(std::env::current_exe().ok()?.with_file_name("gaugestand"));
    let program = program.or_else(default_program).filter(|p| p.exists());
    program.ok_or(CommandError::NoProgram)
}

/// Measures and prints the CPU time of an idle cluster, and that of a read in a cluster and at a standalone
/// process.
fn print_idle_cost(nodes: usize, secs: u64, program: Option<PathBuf>) -> Result<bool, CommandError> {
    let program = node_program(program)?;
    let cost = process_cluster::measure_idle_cost(&program, nodes, secs, IDLE_COST_READS)?;
    println!(
        "{nodes} idle processes: {:.1} ms of CPU per second each, {:.1} at most; a read {:.2} us of CPU, \
         {:.2} at a standalone process (ratio {:.3})",
        cost.mean_ms,
        cost.max_ms,
        cost.read_us,
        cost.standalone_read_us,
        cost.read_us / cost.standalone_read_us
    );
    Ok(true)
}

/// Runs the plan of each seed on a cluster of real processes and prints the results; returns whether no rule
/// was broken.
fn run_process_clusters(
    nodes: usize,
    seeds: Range<u64>,
    secs: u64,
    program: Option<PathBuf>,
    (max_overlap, json): (Duration, bool),
) -> Result<bool, CommandError> {
    let program = node_program(program)?;
    let (mut violations, first) = (0, seeds.start);
    let mut digest = blake3::Hasher::new();
    for seed in seeds {
        let plan = process_cluster::fault_plan(seed, nodes, secs.saturating_mul(1000));
        // The digest covers the plans alone: the timing of real processes does not follow from the seed.
        digest.update(format!("{plan:?}").as_bytes());
        let outcome = process_cluster::run(&program, nodes, seed, &plan, max_overlap)?;
        println!("seed {seed}, {nodes} processes: {outcome}");
        // One fault in the node can cause many violations: only the first few are printed.
        for v in outcome.violations.iter().take(5) {
            println!("  rule '{}' broken: {}", v.rule, v.observed);
        }
        if !outcome.violations.is_empty() {
            plan.iter().for_each(|(at, fault)| println!("  {at:>6} ms  {fault:?}"));
            println!("  run again: gaugestand-sim fleet --nodes {nodes} --seed {seed} --secs {secs}");
        }
        violations += outcome.violations.len();
    }
    if json {
        let digest = digest.finalize().to_hex()[..16].to_string();
        println!("{{\"violations\": {violations}, \"seed\": {first}, \"digest\": \"{digest}\"}}");
    }
    Ok(violations == 0)
}

/// Leaves out, one after the other, the faults without which the first broken rule stays the same, and prints
/// the faults that remain. Returns whether the world of the seed breaks no rule at all.
fn shrink(seed: u64, length: Micros) -> bool {
    let full = play(seed, length, &BTreeSet::new(), false);
    let Some(rule) = full.violations.first().map(|v| v.rule) else {
        println!("seed {seed} breaks no rule");
        return true;
    };
    let mut left_out = BTreeSet::new();
    for i in 0..full.plan.len() {
        left_out.insert(i);
        let still_broken =
            play(seed, length, &left_out, false).violations.first().is_some_and(|v| v.rule == rule);
        if !still_broken {
            left_out.remove(&i);
        }
    }
    println!("seed {seed}, rule '{rule}': these faults are enough to break it");
    for (i, (at, fault)) in full.plan.iter().enumerate().filter(|(i, _)| !left_out.contains(i)) {
        println!("  {i}: {:>10} us  {fault:?}", at.0);
    }
    false
}

fn main() -> ExitCode {
    let rules_hold = match commands().run() {
        Command::Run { seeds, virtual_secs, jobs, json } => run(&seeds, virtual_secs, jobs, json),
        Command::Replay { virtual_secs, trace, seed } => {
            let outcome =
                play(seed, Micros::millis(virtual_secs.saturating_mul(1000)), &BTreeSet::new(), trace);
            outcome.trace.iter().for_each(|line| println!("{line}"));
            print_outcome(&outcome);
            println!("  digest {}", outcome.digest);
            Ok(outcome.violations.is_empty())
        }
        Command::Fleet { nodes, seed, runs, secs, faults, program, max_overlap_ms, json } => {
            if faults == "rest" {
                print_idle_cost(nodes, secs, program)
            } else if faults != "accord" {
                Err(CommandError::UnknownPlan(faults))
            } else if !(1..=7).contains(&nodes) {
                Err(CommandError::NodeCount)
            } else {
                let max_overlap = Duration::from_millis(max_overlap_ms);
                run_process_clusters(
                    nodes,
                    seed..seed.saturating_add(runs),
                    secs,
                    program,
                    (max_overlap, json),
                )
            }
        }
        Command::Shrink { virtual_secs, seed } => {
            Ok(shrink(seed, Micros::millis(virtual_secs.saturating_mul(1000))))
        }
    };
    match rules_hold {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("gaugestand-sim: {problem}");
            ExitCode::from(2)
        }
    }
}
