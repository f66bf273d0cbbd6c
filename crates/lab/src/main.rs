//! The command line of the laboratory.
#![forbid(unsafe_code)]

use bpaf::{OptionParser, Parser, construct, long, positional};
use gaugestand_core::facade::Micros;
use gaugestand_lab::world::{Outcome, play};
use rayon::prelude::*;
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::time::Instant;

#[derive(Clone, Debug)]
enum Command {
    /// Play many worlds.
    Run { seeds: String, virtual_secs: u64, jobs: Option<usize>, json: bool },
    /// Play one world again, in words.
    Replay { virtual_secs: u64, trace: bool, seed: u64 },
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
    construct!([run, replay, shrink]).to_options().descr("A virtual world for booking nodes")
}

fn tell(outcome: &Outcome) {
    for v in &outcome.violations {
        println!("seed {}: rule '{}' broken at {} us: {}", outcome.seed, v.rule, v.at.0, v.seen);
    }
    println!("  site: {}", outcome.site);
    for (at, fault) in &outcome.plan {
        println!("  {:>10} us  {fault:?}", at.0);
    }
    println!("  again: gaugestand-lab replay {} --trace", outcome.seed);
}

fn run(seeds: &str, secs: u64, jobs: Option<usize>, json: bool) -> Result<bool, String> {
    let (from, to) = seeds.split_once("..").ok_or("--seeds: give a range, as in 0..100")?;
    let number = |s: &str| s.parse::<u64>().map_err(|_| format!("--seeds: {s} is no number"));
    let range = number(from)?..number(to)?;
    let mut pool = rayon::ThreadPoolBuilder::new();
    if let Some(jobs) = jobs {
        pool = pool.num_threads(jobs);
    }
    let pool = pool.build().map_err(|e| e.to_string())?;
    let (began, length) = (Instant::now(), Micros::millis(secs.saturating_mul(1000)));
    let outcomes: Vec<Outcome> = pool
        .install(|| range.into_par_iter().map(|seed| play(seed, length, &BTreeSet::new(), false)).collect());
    let real = began.elapsed().as_secs_f64();
    let mut digest = blake3::Hasher::new();
    for outcome in &outcomes {
        digest.update(outcome.digest.as_bytes());
    }
    let digest = digest.finalize().to_hex()[..16].to_string();
    let bad: Vec<&Outcome> = outcomes.iter().filter(|o| !o.violations.is_empty()).collect();
    bad.iter().take(5).for_each(|o| tell(o));
    let sum = |of: fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>();
    let (n, violations) = (outcomes.len(), bad.len());
    let virtual_secs = n as u64 * secs;
    println!(
        "{n} worlds, {} tries: {} served, {} refused, {} failed; {violations} broke a rule; {virtual_secs} s in {real:.1} s",
        sum(|o| o.tries),
        sum(|o| o.served),
        sum(|o| o.refused),
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
            tell(&outcome);
            println!("  digest {}", outcome.digest);
            Ok(outcome.violations.is_empty())
        }
        Command::Shrink { virtual_secs, seed } => {
            Ok(shrink(seed, Micros::millis(virtual_secs.saturating_mul(1000))))
        }
    };
    match kept {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(problem) => {
            eprintln!("gaugestand-lab: {problem}");
            ExitCode::from(2)
        }
    }
}
