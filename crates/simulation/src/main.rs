//! The command line of the simulator.
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

/// Reads that `fleet --faults rest` measures: enough for a figure of two places.
const IDLE_COST_READS: u64 = 200_000;

#[derive(Clone, Debug)]
enum Command {
    /// Play many worlds.
    Run { seeds: String, virtual_secs: u64, jobs: Option<usize>, json: bool },
    /// Play one world again, in words.
    Replay { virtual_secs: u64, trace: bool, seed: u64 },
    /// Several real processes with faults between them.
    Fleet {
        nodes: usize,
        seed: u64,
        runs: u64,
        secs: u64,
        faults: String,
        program: Option<PathBuf>,
        most: u64,
        json: bool,
    },
    /// Find the fewest faults that still break the rule.
    Shrink { virtual_secs: u64, seed: u64 },
}

fn commands() -> OptionParser<Command> {
    let secs = || long("virtual-secs").help("Length of a world (30)").argument("SECONDS").fallback(30);
    let seed = || positional("SEED").help("The seed");
    let run = {
        let seeds =
            long("seeds").help("From and up to, as in 0..100").argument("RANGE").fallback("0..100".into());
        let jobs = long("jobs").help("Worlds at a time").argument("N").optional();
        let json = long("json").help("Print one last line of JSON").switch();
        let virtual_secs = secs();
        construct!(Command::Run { seeds, virtual_secs, jobs, json })
            .to_options()
            .descr("Play a world for each seed and check every rule")
            .command("run")
    };
    let replay = {
        let (virtual_secs, seed) = (secs(), seed());
        let trace = long("trace").help("Tell what happens, step by step").switch();
        construct!(Command::Replay { virtual_secs, trace, seed })
            .to_options()
            .descr("Play the world of one seed again")
            .command("replay")
    };
    let shrink = {
        let (virtual_secs, seed) = (secs(), seed());
        construct!(Command::Shrink { virtual_secs, seed })
            .to_options()
            .descr("Leave out faults as long as the rule still breaks")
            .command("shrink")
    };
    let fleet = {
        let nodes = long("nodes").help("Processes, 7 at most (3)").argument("N").fallback(3);
        let seed = long("seed").help("The first seed (0)").argument("SEED").fallback(0);
        let runs = long("runs").help("Seeds, one after the other (1)").argument("N").fallback(1);
        let faults = long("faults")
            .help("Which plan: accord, or rest: none, and what a fleet costs")
            .argument("PLAN")
            .fallback("accord".into());
        let program =
            long("program").help("The node; else the one beside this program").argument("FILE").optional();
        let json = long("json").help("Print one last line of JSON").switch();
        let secs = long("secs").help("How long faults are thrown (20)").argument("SECONDS").fallback(20);
        let most = long("most")
            .help("Longest contradiction that is let pass; what is stated else. Leases leave none, but for pauses")
            .argument("MS")
            .fallback(process_cluster::CONTRADICT_MS);
        construct!(Command::Fleet { nodes, seed, runs, secs, faults, program, most, json })
            .to_options()
            .descr("Start several real processes, throw faults between them, and check what they do")
            .command("fleet")
    };
    construct!([run, replay, shrink, fleet]).to_options().descr("A virtual world for booking nodes")
}

/// Why a command cannot be carried out.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error("--seeds: give a range, as in 0..100")]
    NoRange,
    #[error("--seeds: {0} is no number")]
    NoNumber(String),
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    #[error("--program: give the node's program; it is not beside this one")]
    NoProgram,
    #[error("--faults: there is no plan {0}; there are accord and rest")]
    UnknownPlan(String),
    #[error("--nodes: from 1 to 7")]
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
    println!("  again: gaugestand-sim replay {} --trace", outcome.seed);
}

fn run(seeds: &str, secs: u64, jobs: Option<usize>, json: bool) -> Result<bool, CommandError> {
    let (from, to) = seeds.split_once("..").ok_or(CommandError::NoRange)?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| CommandError::NoNumber(text.to_string()));
    let range = number(from)?..number(to)?;
    let mut pool = rayon::ThreadPoolBuilder::new();
    if let Some(jobs) = jobs {
        pool = pool.num_threads(jobs);
    }
    let pool = pool.build()?;
    let began = Instant::now();
    let length = Micros::millis(secs.saturating_mul(1000));
    let outcomes: Vec<Outcome> = pool
        .install(|| range.into_par_iter().map(|seed| play(seed, length, &BTreeSet::new(), false)).collect());
    let real = began.elapsed().as_secs_f64();
    let mut digest = blake3::Hasher::new();
    for outcome in &outcomes {
        digest.update(outcome.digest.as_bytes());
    }
    let digest = digest.finalize().to_hex()[..16].to_string();
    let bad: Vec<&Outcome> = outcomes.iter().filter(|o| !o.violations.is_empty()).collect();
    bad.iter().take(5).for_each(|outcome| print_outcome(outcome));
    let sum = |of: fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>();
    let (n, violations) = (outcomes.len(), bad.len());
    let virtual_secs = n as u64 * secs;
    println!(
        "{n} worlds, {} tries: {} served, {} refused, {} failed; {violations} broke a rule; {virtual_secs} s in {real:.1} s",
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

fn node_program(program: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    let beside = || Some(std::env::current_exe().ok()?.with_file_name("gaugestand"));
    let program = program.or_else(beside).filter(|p| p.exists());
    program.ok_or(CommandError::NoProgram)
}

/// What a fleet costs that nothing is asked of, and what a request costs in it.
fn rest(nodes: usize, secs: u64, program: Option<PathBuf>) -> Result<bool, CommandError> {
    let program = node_program(program)?;
    let cost = process_cluster::measure_idle_cost(&program, nodes, secs, IDLE_COST_READS)?;
    println!(
        "{nodes} processes at rest: {:.1} ms of CPU a second each, {:.1} at most; a read {:.2} us of CPU, \
         {:.2} on its own ({:.3})",
        cost.mean_ms,
        cost.max_ms,
        cost.read_us,
        cost.standalone_read_us,
        cost.read_us / cost.standalone_read_us
    );
    Ok(true)
}

/// Plays plans of faults on real processes.
fn play_fleet(
    nodes: usize,
    seeds: Range<u64>,
    secs: u64,
    program: Option<PathBuf>,
    (most, json): (Duration, bool),
) -> Result<bool, CommandError> {
    let program = node_program(program)?;
    let (mut violations, first) = (0, seeds.start);
    let mut digest = blake3::Hasher::new();
    for seed in seeds {
        let plan = process_cluster::fault_plan(seed, nodes, secs.saturating_mul(1000));
        // Of the plan: when real processes do what is not the seed's.
        digest.update(format!("{plan:?}").as_bytes());
        let outcome = process_cluster::run(&program, nodes, seed, &plan, most)?;
        println!("seed {seed}, {nodes} processes: {outcome}");
        // The same thing seen again and again is told a few times.
        for v in outcome.violations.iter().take(5) {
            println!("  rule '{}' broken: {}", v.rule, v.seen);
        }
        if !outcome.violations.is_empty() {
            plan.iter().for_each(|(at, fault)| println!("  {at:>6} ms  {fault:?}"));
            println!("  again: gaugestand-sim fleet --nodes {nodes} --seed {seed} --secs {secs}");
        }
        violations += outcome.violations.len();
    }
    if json {
        let digest = digest.finalize().to_hex()[..16].to_string();
        println!("{{\"violations\": {violations}, \"seed\": {first}, \"digest\": \"{digest}\"}}");
    }
    Ok(violations == 0)
}

fn shrink(seed: u64, length: Micros) -> bool {
    let whole = play(seed, length, &BTreeSet::new(), false);
    let Some(rule) = whole.violations.first().map(|v| v.rule) else {
        println!("seed {seed} breaks no rule");
        return true;
    };
    let mut left_out = BTreeSet::new();
    for i in 0..whole.plan.len() {
        left_out.insert(i);
        let still = play(seed, length, &left_out, false).violations.first().is_some_and(|v| v.rule == rule);
        if !still {
            left_out.remove(&i);
        }
    }
    println!("seed {seed}, rule '{rule}': these faults are enough");
    for (i, (at, fault)) in whole.plan.iter().enumerate().filter(|(i, _)| !left_out.contains(i)) {
        println!("  {i}: {:>10} us  {fault:?}", at.0);
    }
    false
}

fn main() -> ExitCode {
    let kept = match commands().run() {
        Command::Run { seeds, virtual_secs, jobs, json } => run(&seeds, virtual_secs, jobs, json),
        Command::Replay { virtual_secs, trace, seed } => {
            let outcome =
                play(seed, Micros::millis(virtual_secs.saturating_mul(1000)), &BTreeSet::new(), trace);
            outcome.trace.iter().for_each(|line| println!("{line}"));
            print_outcome(&outcome);
            println!("  digest {}", outcome.digest);
            Ok(outcome.violations.is_empty())
        }
        Command::Fleet { nodes, seed, runs, secs, faults, program, most, json } => {
            if faults == "rest" {
                rest(nodes, secs, program)
            } else if faults != "accord" {
                Err(CommandError::UnknownPlan(faults))
            } else if !(1..=7).contains(&nodes) {
                Err(CommandError::NodeCount)
            } else {
                let most = Duration::from_millis(most);
                play_fleet(nodes, seed..seed.saturating_add(runs), secs, program, (most, json))
            }
        }
        Command::Shrink { virtual_secs, seed } => {
            Ok(shrink(seed, Micros::millis(virtual_secs.saturating_mul(1000))))
        }
    };
    match kept {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("gaugestand-sim: {problem}");
            ExitCode::from(2)
        }
    }
}
