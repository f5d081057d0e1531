//! Reports on simulated failovers without and with the warm standby: how long each phase took and what the standby
//! costs. Prints text and writes an HTML page with plots.
//!
//! `cargo run --release --example failovers -- [--seeds N] [--out FILE] [--sizes 600,4000] [--debug-log yes]`
#![allow(dead_code)]

mod check;
mod failover;
mod site;
mod store;
mod worker;
mod world;

use std::fmt::Write as _;
use std::time::Instant;

use failover::PHASES;
use plotters::prelude::*;
use site::{LONG_LEASES, SHORT_LEASES, WorkerTiming};
use willowshore_standby::settings::StandbySettings;
use willowshore_standby::status::DurationHistogram;
use world::{Fault, World};

/// Time for which a failed leader is suspended or partitioned.
const FAILURE_MS: u64 = 20_000;
/// Time for which a simulation continues after the failure.
const OBSERVED_MS: u64 = 40_000;
/// Approximate time for which the new leader of a cost simulation writes its decision log, from its election to the
/// end.
const LOG_WRITTEN_S: f64 = 40.0;
/// The end of the time axis of the plots.
const PLOT_MAX_MS: u64 = 12_000;

/// A failure of the leader in a site with the given timing, without or with the standby.
struct Case {
    failure: &'static str,
    fault: Fault,
    timing: WorkerTiming,
    standby: bool,
}

/// The phase times and the number of violations over all seeds of a case.
struct Outcome {
    case: Case,
    phases: [Vec<Option<u64>>; PHASES.len()],
    violations: usize,
}

/// What a fleet costs its controllers: times of epochs and heartbeats, and the new leader's decision log.
struct Cost {
    machines: usize,
    standby: bool,
    /// Time from the failure until the fleet counted as reconciled.
    reconciled_ms: Option<u64>,
    violations: usize,
    epochs: u64,
    epoch_us: f64,
    heartbeats: u64,
    heartbeat_us: f64,
    /// Payload bytes of the decision log sent to the standbys, per second of [`LOG_WRITTEN_S`].
    bytes_per_s: f64,
    records: usize,
    entries: usize,
    /// Wall-clock time of the simulation.
    simulated_in_s: f64,
}

struct Arguments {
    seeds: u64,
    /// Whether to format and discard all log lines, so that the measured times include the cost of logging.
    debug_log: bool,
    out: String,
    sizes: Vec<usize>,
}

fn parse_arguments() -> Result<Arguments, String> {
    let mut arguments = Arguments {
        seeds: 70,
        debug_log: false,
        out: "target/takeovers.html".into(),
        sizes: vec![600, 4_000],
    };
    let mut rest = std::env::args().skip(1);
    while let Some(name) = rest.next() {
        let value = rest.next().ok_or(format!("{name} needs a value"))?;
        let number = |text: &str| text.parse().map_err(|_| format!("{name}: {text} is no number"));
        match name.as_str() {
            "--seeds" => arguments.seeds = number(&value)? as u64,
            "--out" => arguments.out = value,
            "--debug-log" => arguments.debug_log = value == "yes",
            "--sizes" => {
                let sizes = value.split(',').filter(|size| !size.is_empty()).map(number);
                arguments.sizes = sizes.collect::<Result<_, _>>()?;
            }
            _ => return Err(format!("{name} is not known")),
        }
    }
    Ok(arguments)
}

fn failover_cases() -> Vec<Case> {
    let failures = [
        ("kill", Fault::CrashLeader),
        ("freeze", Fault::FreezeLeader(FAILURE_MS)),
        ("cut", Fault::PartitionLeader(FAILURE_MS, true)),
    ];
    let mut cases = Vec::new();
    for (failure, fault) in failures {
        for timing in [SHORT_LEASES, LONG_LEASES] {
            for standby in [false, true] {
                cases.push(Case { failure, fault, timing, standby });
            }
        }
    }
    cases
}

fn simulate_failovers(case: Case, seeds: u64) -> Outcome {
    let mut phases: [Vec<Option<u64>>; PHASES.len()] = Default::default();
    let mut violations = 0;
    for seed in 1..=seeds {
        let at = 20_000 + seed * 137;
        let mut world = World::busy(seed, case.timing);
        world.standby = case.standby.then(StandbySettings::default);
        world.run(&[(at, case.fault)], at + OBSERVED_MS);
        violations += world.checker.violations.len();
        let times = world.trace.map(|trace| trace.phases.times()).unwrap_or_default();
        phases.iter_mut().zip(times).for_each(|(all, time)| all.push(time));
    }
    Outcome { case, phases, violations }
}

fn measure_cost(machines: usize, standby: bool) -> Cost {
    let began = Instant::now();
    let mut world = World::fleet(1, machines);
    world.standby = standby.then(StandbySettings::default);
    world.run(&[(18_000, Fault::CrashLeader)], 60_000);
    let simulated_in_s = began.elapsed().as_secs_f64();
    let log = world.decision_log_cost_of_leader();
    Cost {
        machines,
        standby,
        reconciled_ms: world.trace.and_then(|trace| trace.phases.reconciled),
        violations: world.checker.violations.len(),
        epochs: world.epochs.count,
        epoch_us: world.epochs.mean_us(),
        heartbeats: world.heartbeats.count,
        heartbeat_us: world.heartbeats.mean_us(),
        // The decision log of the new leader.
        bytes_per_s: log.bytes as f64 / LOG_WRITTEN_S,
        records: log.records,
        entries: log.entries,
        simulated_in_s,
    }
}

fn case_name(case: &Case) -> String {
    let standby = if case.standby { "with standby" } else { "without" };
    let report_s = case.timing.report_ms as f64 / 1_000.0;
    format!("{}, reports every {report_s} s, {standby}", case.failure)
}

/// Returns the distribution of a phase's times, and the number of runs that did not reach the phase.
fn summarize(times: &[Option<u64>]) -> (DurationHistogram, usize) {
    let mut durations = DurationHistogram::default();
    times.iter().flatten().for_each(|ms| durations.record(*ms));
    (durations, times.iter().filter(|time| time.is_none()).count())
}

fn text_report(outcomes: &[Outcome], costs: &[Cost]) -> String {
    let mut text = String::new();
    for outcome in outcomes {
        let _ =
            writeln!(text, "{} ({} rules broken)", case_name(&outcome.case), outcome.violations);
        for (phase, times) in PHASES.iter().zip(&outcome.phases) {
            let (durations, not_reached) = summarize(times);
            let (p50, p90) = (durations.percentile(50.0), durations.percentile(90.0));
            let max = durations.max();
            let _ = writeln!(
                text,
                "  {phase:20} p50 {p50:6} p90 {p90:6} max {max:6} ms, {not_reached} not seen"
            );
        }
    }
    for c in costs {
        let reconciled = c.reconciled_ms.map_or("not seen".into(), |ms| format!("{ms} ms"));
        let _ = writeln!(
            text,
            "{} machines, standby {}: settled after {reconciled}; epoch {:.0} us ({} epochs); report \
             {:.1} us ({} reports); log {:.0} bytes a second, {} records kept, {} entries; {} rules broken; played in {:.1} s",
            c.machines,
            c.standby,
            c.epoch_us,
            c.epochs,
            c.heartbeat_us,
            c.heartbeats,
            c.bytes_per_s,
            c.records,
            c.entries,
            c.violations,
            c.simulated_in_s
        );
    }
    text
}

/// Draws the cumulative distribution of each phase's times as an SVG image.
fn plot_svg(outcome: &Outcome) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (820, 340)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(case_name(&outcome.case), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0..PLOT_MAX_MS, 0.0..1.0)?;
        chart.configure_mesh().x_desc("ms since the failure").y_desc("part of the plays").draw()?;
        for (index, (phase, times)) in PHASES.iter().zip(&outcome.phases).enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let mut seen: Vec<u64> = times.iter().flatten().copied().collect();
            seen.sort_unstable();
            let total = times.len().max(1) as f64;
            let points = seen.iter().enumerate().map(|(i, ms)| (*ms, (i + 1) as f64 / total));
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(*phase)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
        area.present()?;
    }
    Ok(svg)
}

fn html_page(outcomes: &[Outcome], costs: &[Cost]) -> Result<String, Box<dyn std::error::Error>> {
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>Changes of leader</title>\n\
         <h1>Changes of leader</h1>\n<p>Simulated machines; times since the failure.</p>\n",
    );
    for outcome in outcomes {
        page += &plot_svg(outcome)?;
    }
    let _ = writeln!(page, "<pre>{}</pre>", text_report(outcomes, costs));
    Ok(page)
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments = parse_arguments()?;
    if arguments.debug_log {
        let log = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG);
        log.with_writer(std::io::sink).init();
    }
    let outcomes: Vec<Outcome> = failover_cases()
        .into_iter()
        .map(|case| simulate_failovers(case, arguments.seeds))
        .collect();
    let costs: Vec<Cost> = arguments
        .sizes
        .iter()
        .flat_map(|machines| [false, true].map(|standby| measure_cost(*machines, standby)))
        .collect();
    print!("{}", text_report(&outcomes, &costs));
    std::fs::write(&arguments.out, html_page(&outcomes, &costs)?)?;
    println!("written to {}", arguments.out);
    Ok(())
}
