//! A self-contained HTML page with plots: goodput and latency over time, load of the hosts, retries by cause, and goodput
//! against offered load for our decision module and the baselines.

use crate::baseline::BalancerKind;
use crate::run::{run_scenario, run_scenario_with, Depth, Outcome, RunOptions};
use crate::scenario::Scenario;
use plotters::prelude::*;
use rayon::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::RangeInclusive;

/// Multiples of the scenario's load at which goodput is plotted.
const LOAD_MULTIPLES: [f64; 8] = [0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0];
/// Number of runs of a report in addition to one per seed.
pub const LOAD_RUNS: u64 = (LOAD_MULTIPLES.len() * BalancerKind::ALL.len()) as u64;
/// Maximum number of hosts with a series of their own.
const MAX_HOST_SERIES: usize = 16;

/// A series of a plot.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Runs the scenario and renders the page. Calls `on_run_done` after each run, possibly from several threads.
///
/// # Errors
///
/// The configuration of the scenario's proxies is invalid, there is no seed, or a plot cannot be drawn.
pub fn page(
    scenario: &Scenario,
    seeds: &RangeInclusive<u64>,
    depth: Depth,
    on_run_done: impl Fn() + Sync,
) -> Result<String, String> {
    let limits = RunOptions { stop_on_violation: false, ..RunOptions::default() };
    let runs: Vec<Outcome> = seeds
        .clone()
        .into_par_iter()
        .map(|seed| {
            let outcome = run_scenario(scenario, seed, depth, &limits);
            on_run_done();
            outcome
        })
        .collect::<Result<_, _>>()?;
    let Some(first) = runs.first() else { return Err("no seed".to_owned()) };
    let mut page = String::new();
    let _ = write!(
        page,
        "<!doctype html><html lang=en><meta charset=utf-8><title>{0}</title>\
         <style>body{{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}}\
         table{{border-collapse:collapse}}td,th{{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}}\
         td:first-child,th:first-child{{text-align:left}}.bad{{color:#b00}}svg{{max-width:100%;height:auto}}</style>\
         <h1>{0}</h1><p>{1}</p>",
        escape(&scenario.name),
        escape(&scenario.about)
    );
    let _ = write!(
        page,
        "<p>{} hosts in {} pods and {} zones, {} proxies, {} calls a second; {depth:?} depth. Plots over time are of \
         seed {}; faults are grey.</p>",
        scenario.fleet.hosts,
        scenario.fleet.pods,
        scenario.fleet.zones,
        scenario.load.proxies,
        scenario.load.rate,
        first.seed
    );
    for (title, unit, series) in series_over_time(first) {
        page += &plot(title, "seconds", unit, &series, &fault_intervals(&first.scenario))?;
    }
    page += &plot(
        "Goodput against offered load",
        "worth offered a second",
        "worth served a second",
        &goodput_by_load(scenario, *seeds.start(), &on_run_done)?,
        &[],
    )?;
    page += &fault_table(&first.scenario);
    page += &seed_table(&runs);
    page += "</html>\n";
    Ok(page)
}

/// Title, unit and series of each plot over time.
fn series_over_time(run: &Outcome) -> Vec<(&'static str, &'static str, Vec<Series>)> {
    let seconds = || (0_u32..).zip(&run.metrics.seconds);
    let series = |name: &str, value: &dyn Fn(&crate::metrics::RequestMetrics) -> f64| Series {
        name: name.to_owned(),
        points: seconds()
            .filter_map(|(at, second)| Some((at.into(), value(second.requests.as_ref()?))))
            .collect(),
    };
    let goodput =
        vec![series("offered", &|part| part.offered_value), series("served", &|part| part.earned_value)];
    let latency = [50.0, 90.0, 99.0]
        .map(|percentile| series(&format!("p{percentile}"), &move |part| part.latency_ms(percentile)));
    let hosts = run.scenario.fleet.hosts.min(MAX_HOST_SERIES);
    let load = (0..hosts).map(|host| Series {
        name: format!("host {host}"),
        points: seconds()
            .map(|(at, second)| (at.into(), second.host.get(&host).copied().unwrap_or_default().into()))
            .collect(),
    });
    let causes = run.metrics.repeats.keys().map(|&cause| Series {
        name: cause.to_owned(),
        points: seconds()
            .map(|(at, second)| (at.into(), second.repeats.get(cause).copied().unwrap_or_default().into()))
            .collect(),
    });
    let refused = Series {
        name: "refusals".to_owned(),
        points: seconds().map(|(at, second)| (at.into(), second.refused.into())).collect(),
    };
    vec![
        ("Goodput", "worth a second", goodput),
        ("Time to an answer, of what was served, by when it was asked", "milliseconds", latency.into()),
        ("Attempts at each host", "a second", load.collect()),
        ("Repeats by cause, and refusals", "a second", causes.chain([refused]).collect()),
    ]
}

/// Start and end of each fault, in seconds.
fn fault_intervals(scenario: &Scenario) -> Vec<(f64, f64)> {
    let interval = |fault: &crate::fault::Fault| fault.at.map(|at| (at, at + fault.duration));
    scenario.faults.iter().filter_map(interval).collect()
}

/// Goodput against offered load, in value per second, for each load balancer.
fn goodput_by_load(
    scenario: &Scenario,
    seed: u64,
    on_run_done: &(impl Fn() + Sync),
) -> Result<Vec<Series>, String> {
    let all: Vec<(BalancerKind, f64)> = BalancerKind::ALL
        .iter()
        .flat_map(|&balancer| LOAD_MULTIPLES.map(|multiple| (balancer, multiple)))
        .collect();
    let limits = RunOptions { stop_on_violation: false, ..RunOptions::default() };
    let runs: Vec<_> = all
        .into_par_iter()
        .map(|(balancer, multiple)| {
            let mut scenario = scenario.clone();
            scenario.load.rate = (scenario.load.rate * multiple).min(200_000.0);
            let outcome = run_scenario_with(&scenario, seed, Depth::Fleet, &limits, balancer, None);
            on_run_done();
            let seconds = scenario.seconds - scenario.warm_up;
            outcome.map(|run| {
                (balancer, (run.metrics.all.offered_value / seconds, run.metrics.all.earned_value / seconds))
            })
        })
        .collect::<Result<_, _>>()?;
    let mut series = BTreeMap::<BalancerKind, Vec<(f64, f64)>>::new();
    runs.into_iter().for_each(|(balancer, point)| series.entry(balancer).or_default().push(point));
    Ok(series
        .into_iter()
        .map(|(balancer, points)| Series { name: balancer.name().to_owned(), points })
        .collect())
}

/// Renders a plot as SVG. `intervals` are shaded.
fn plot(
    title: &str,
    x_label: &str,
    y_label: &str,
    series: &[Series],
    intervals: &[(f64, f64)],
) -> Result<String, String> {
    let points = || series.iter().flat_map(|series| &series.points);
    let max = |value: fn(&(f64, f64)) -> f64| points().map(value).fold(1.0_f64, f64::max);
    let (right, top) = (max(|point| point.0), max(|point| point.1) * 1.05);
    let mut text = String::new();
    let mut draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(&mut text, (960, 320)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        let grey = BLACK.mix(0.07).filled();
        let shade = |&(from, to): &(f64, f64)| Rectangle::new([(from, 0.0), (to.min(right), top)], grey);
        chart.draw_series(intervals.iter().filter(|interval| interval.0 < right).map(shade))?;
        chart.configure_mesh().light_line_style(TRANSPARENT).x_desc(x_label).y_desc(y_label).draw()?;
        for (number, series) in series.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            chart
                .draw_series(LineSeries::new(series.points.iter().copied(), color.stroke_width(2)))?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|error| format!("{title}: {error}"))?;
    Ok(text)
}

fn fault_table(scenario: &Scenario) -> String {
    if scenario.faults.is_empty() {
        return String::new();
    }
    let mut text = "<h2>Faults</h2><table><tr><th>what<th>at s<th>for s<th>hosts<th>proxies</tr>".to_owned();
    for fault in &scenario.faults {
        let targets = |targets: &crate::fault::Targets| match targets {
            crate::fault::Targets::These(indices) => escape(&format!("{indices:?}")),
            _ => "all".to_owned(),
        };
        let _ = write!(
            text,
            "<tr><td>{:?}<td>{:.3}<td>{:.3}<td>{}<td>{}</tr>",
            fault.kind,
            fault.at.unwrap_or_default(),
            fault.duration,
            targets(&fault.hosts),
            targets(&fault.proxies)
        );
    }
    text + "</table>"
}

fn seed_table(runs: &[Outcome]) -> String {
    let mut text =
        "<h2>Seeds</h2><table><tr><th>seed<th>served<th>p50 ms<th>p99 ms<th>attempts<th>broken<th>log</tr>"
            .to_owned();
    for run in runs {
        let all = &run.metrics.all;
        let class = if run.violations.is_empty() { "" } else { " class=bad" };
        let _ = write!(
            text,
            "<tr><td>{}<td>{:.4}<td>{:.1}<td>{:.1}<td>{}<td{class}>{}<td><code>{:016x}</code></tr>",
            run.seed,
            all.served_share(),
            all.latency_ms(50.0),
            all.latency_ms(99.0),
            run.metrics.attempts,
            run.violations.len(),
            run.hash
        );
    }
    text + "</table>"
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
