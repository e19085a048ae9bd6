//! Runs the decision bench: every scenario, every policy, one table.

use std::time::Duration;

use clap::Parser;
use curlewcleat_bench::{
    make_trace, run, FirstCome, LeastInFlight, OurScheduler, Policy, RandomChoice, RunReport,
    TargetSpec, TierSpec, TraceSpec, TwoChoices,
};

/// Compares ways to place requests over seeded traces.
#[derive(Parser)]
struct Arguments {
    /// Seconds of each trace.
    #[arg(long, default_value_t = 240)]
    seconds: u64,
    /// Seeds: this many, from 1.
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// Only scenarios whose name contains this.
    #[arg(long, default_value = "")]
    only: String,
    /// Print comma-separated values.
    #[arg(long)]
    csv: bool,
}

struct Scenario {
    name: String,
    targets: Vec<TargetSpec>,
    trace: TraceSpec,
    report_lag: Duration,
}

fn main() {
    let arguments = Arguments::parse();
    let scenarios = scenarios(&arguments);
    for scenario in scenarios.iter().filter(|scenario| scenario.name.contains(&arguments.only)) {
        if !arguments.csv {
            println!("== {}", scenario.name);
            println!(
                "{:<20} {:>6} {:>6} {:>6} {:>6} {:>7} {:>8} {:>8} {:>11}",
                "policy",
                "top",
                "middle",
                "low",
                "total",
                "wasted",
                "top p99",
                "accounts",
                "p99 ns"
            );
        }
        for policy in 0..6 {
            let reports: Vec<(&str, RunReport)> =
                (1..=arguments.seeds).map(|seed| one(scenario, policy, seed)).collect();
            print_row(&arguments, scenario, &reports);
        }
    }
}

fn one(scenario: &Scenario, policy: usize, seed: u64) -> (&'static str, RunReport) {
    let trace = TraceSpec { seed, ..scenario.trace.clone() };
    let jobs = make_trace(&trace, &scenario.targets);
    let targets = scenario.targets.len();
    let slots = scenario.targets.iter().map(|target| target.slots).collect();
    let lowest = trace.tiers.len() as u8 - 1;
    let mut policy: Box<dyn Policy> = match policy {
        0 => Box::new(RandomChoice::new(targets, seed)),
        1 => Box::new(LeastInFlight::new(trace.entries, targets, seed)),
        2 => Box::new(TwoChoices::new(targets, seed)),
        3 => Box::new(FirstCome::new(slots)),
        4 => Box::new(OurScheduler::new(&scenario.targets, lowest, trace.accounts, 10)),
        _ => Box::new(
            OurScheduler::new(&scenario.targets, lowest, trace.accounts, 10).without_affinity(),
        ),
    };
    let report = run(&jobs, &scenario.targets, policy.as_mut(), scenario.report_lag);
    (policy.name(), report)
}

fn print_row(arguments: &Arguments, scenario: &Scenario, reports: &[(&str, RunReport)]) {
    let count = reports.len() as f64;
    let mean = |value: &dyn Fn(&RunReport) -> f64| {
        reports.iter().map(|(_, report)| value(report)).sum::<f64>() / count
    };
    let name = reports[0].0;
    let top = mean(&|report| report.share(0));
    let middle = mean(&|report| report.share(1));
    let low = mean(&|report| report.share(2));
    let total = mean(&RunReport::total_share);
    let wasted = mean(&|report| report.wasted_prefill as f64 / report.total_prefill.max(1) as f64);
    let p99 = mean(&|report| {
        report.tiers.get(&0).map_or(0.0, |tier| tier.first_ms.value_at_quantile(0.99) as f64)
    });
    let accounts = mean(&|report| report.account_range().0);
    let decision = mean(&|report| report.decision_ns.value_at_quantile(0.99) as f64);
    if arguments.csv {
        println!(
            "{},{name},{top:.4},{middle:.4},{low:.4},{total:.4},{wasted:.4},{p99:.0},{accounts:.4}",
            scenario.name
        );
    } else {
        println!(
            "{name:<20} {top:>6.3} {middle:>6.3} {low:>6.3} {total:>6.3} {wasted:>7.4} {p99:>8.0} {accounts:>8.3} {decision:>11.0}"
        );
    }
}

fn engines(count: usize) -> Vec<TargetSpec> {
    // Two generations of hardware: a third is slower.
    (0..count).map(|index| TargetSpec::normal(if index % 3 == 2 { 1.6 } else { 1.0 })).collect()
}

fn tier(share: f64, deadline_ms: u64, prompt_share: f64, prefixes: u64) -> TierSpec {
    TierSpec {
        share,
        deadline: Duration::from_millis(deadline_ms),
        prompt_share,
        work: None,
        prefixes,
    }
}

fn sahel_volt() -> Vec<TierSpec> {
    vec![tier(0.2, 3_000, 0.2, 0), tier(0.4, 10_000, 0.3, 20), tier(0.4, 30_000, 0.4, 50)]
}

fn atlas() -> Vec<TierSpec> {
    vec![tier(0.2, 5_000, 0.3, 20), tier(0.4, 15_000, 0.5, 60), tier(0.4, 60_000, 0.8, 60)]
}

fn scenarios(arguments: &Arguments) -> Vec<Scenario> {
    let base = |name: &str, tiers: Vec<TierSpec>, load: f64| Scenario {
        name: name.to_string(),
        targets: engines(18),
        trace: TraceSpec {
            seed: 1,
            duration: Duration::from_secs(arguments.seconds),
            load,
            burst: None,
            tiers,
            accounts: 5,
            flood: 1.0,
            entries: 7,
        },
        report_lag: Duration::from_secs(1),
    };
    let mut all = Vec::new();
    for load in [0.5, 0.9, 1.2, 3.0] {
        all.push(base(&format!("sahel-volt, load {load}"), sahel_volt(), load));
        all.push(base(&format!("atlas, load {load}"), atlas(), load));
    }
    let third = Duration::from_secs(arguments.seconds / 3);
    let mut slowed = base("one engine slowed to a quarter, load 0.9", sahel_volt(), 0.9);
    slowed.targets[0].slowed = Some((third, 4.0));
    all.push(slowed);
    let mut slowed = base("one engine slowed to a quarter, load 3", sahel_volt(), 3.0);
    slowed.targets[0].slowed = Some((third, 4.0));
    all.push(slowed);
    let mut gone = base("two engines gone, load 0.9", sahel_volt(), 0.9);
    gone.targets[0].gone = Some(third);
    gone.targets[1].gone = Some(third);
    all.push(gone);
    let mut late = base("load reports 5 s late, load 0.9", sahel_volt(), 0.9);
    late.report_lag = Duration::from_secs(5);
    all.push(late);
    let mut flood = base("one account floods, load 1.2", sahel_volt(), 1.2);
    flood.trace.flood = 8.0;
    all.push(flood);
    let mut burst = base("closing-window burst to 3, atlas", atlas(), 0.7);
    burst.trace.burst = Some(3.0);
    all.push(burst);
    let mut contract = base("contract files ahead of unlocks, load 1.2", sahel_volt(), 1.2);
    contract.trace.tiers[0].work = Some((20_000.0, 60_000.0));
    contract.trace.tiers[0].share = 0.05;
    contract.trace.tiers[0].deadline = Duration::from_millis(1_000);
    contract.trace.tiers[2].work = Some((5_000_000.0, 20_000_000.0));
    contract.trace.tiers[2].share = 0.55;
    all.push(contract);
    all
}
