//! What a run shows: a table, lines of JSON, a picture.

use std::fmt::Write;
use std::path::Path;

use plotters::prelude::*;
use serde_json::json;

use crate::Trouble;
use crate::figures::{Bin, bins};
use crate::history::{At, Event};
use crate::run::Run;

pub fn table(run: &Run) -> String {
    let figures = &run.verdict.figures;
    let mut out = String::new();
    let mut row = |name: &str, value: String| {
        let _ = writeln!(out, "{name:<34} {value}");
    };
    row("plan, seed", format!("{}, {}", run.plan.name, run.seed));
    row("tasks", figures.requests.to_string());
    row("within the latency objective, before and in all", {
        format!("{:.4}, {:.4}", figures.within_objective_before, figures.within_objective)
    });
    row("denied, broken off, unanswered", {
        format!("{}, {}, {}", figures.rejected, figures.failed, figures.never_answered)
    });
    row("attempted past the limit, writes", format!("{}, {}", figures.past_limit, figures.past_limit_writes));
    row("attempts in 100 ms, most", format!("{:.1}, {}", figures.attempts, figures.most_attempts));
    row("connections in 100 ms, most", format!("{:.1}, {}", figures.connections, figures.most_connections));
    row("lists in 100 ms, restarted", format!("{}, {}", figures.most_lists, figures.restarted));
    row("probes a request", format!("{:.3}", figures.health_checks_a_request));
    if let Some(took) = figures.full_service_ms {
        row("full service after, ms", if took < 0 { "never".to_owned() } else { took.to_string() });
    }
    row("in 10 s after the fault, worst of them", {
        format!("{:.4}, {:.4}", figures.within_objective_after, figures.worst_second)
    });
    row("attempts that crossed zones", format!("{:.4}", figures.crossing));
    if let Some(held) = figures.held {
        row("duties held, longest without, ms", format!("{held:.4}, {}", figures.longest_unheld_ms));
    }
    if !figures.handed_over_ms.is_empty() {
        row("handed over after, ms", format!("{:?}", figures.handed_over_ms));
    }
    if let Some(took) = figures.emptied_ms {
        let retired = figures.retired_ms.map_or("not".to_owned(), |took| took.to_string());
        row("site empty, retired after, ms", format!("{took}, {retired}"));
    }
    for broken in &run.verdict.broken {
        row(&format!("BROKEN {} at {} ms", broken.rule, broken.at_ms), broken.what.clone());
    }
    out
}

/// One line for the run, one for each tenth of a second, one for each event.
pub fn lines(run: &Run) -> String {
    let head = json!({"plan": run.plan.name, "seed": run.seed, "verdict": run.verdict});
    let bins = bins(&run.events).into_iter().enumerate();
    let bins = bins.map(|(at, bin)| json!({"tenth": at, "bin": bin}).to_string());
    let events = run.events.iter().map(|(at, event)| json!({"at": at, "event": event}).to_string());
    let all = std::iter::once(head.to_string()).chain(bins).chain(events);
    all.fold(String::new(), |text, line| text + &line + "\n")
}

/// Served share, attempts, connections, health checks and list calls for each 100 ms, with the faults marked.
pub fn picture(run: &Run, path: &Path) -> Result<(), Trouble> {
    draw(run, path).map_err(|why| Trouble::Picture { path: path.to_owned(), why: why.to_string() })
}

fn draw(run: &Run, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let bins = bins(&run.events);
    let first = run.events.iter().find(|(_, event)| matches!(event, Event::Asked { .. }));
    let start = first.map_or(0, |(at, _)| *at);
    let seconds = run.plan.seconds;
    let marks: Vec<(f64, bool)> =
        run.events.iter().filter_map(|(at, event)| mark(start, *at, event)).collect();
    let area = SVGBackend::new(path, (1000, 1000)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("{}, seed {}: {}", run.plan.name, run.seed, run.plan.about);
    let area = area.titled(&title, ("sans-serif", 16))?;
    let share = |bin: &Bin| bin.in_time as f64 / bin.requests.max(1) as f64;
    type Row = (&'static str, fn(&Bin) -> f64);
    let rows: [Row; 5] = [
        ("served within the latency objective, share", share),
        ("attempts", |bin| bin.attempts as f64),
        ("new connections to members", |bin| bin.connections as f64),
        ("probes", |bin| bin.health_checks as f64),
        ("lists asked for", |bin| bin.lists as f64),
    ];
    for ((name, of), area) in rows.iter().zip(area.split_evenly((5, 1))) {
        let points: Vec<(f64, f64)> = bins
            .iter()
            .enumerate()
            .map(|(at, bin)| ((at as f64 * 1e5 - start as f64) / 1e6, of(bin)))
            .filter(|&(at, _)| (0.0..seconds).contains(&at))
            .collect();
        let most = points.iter().map(|&(_, value)| value).fold(1.0, f64::max);
        let mut chart = ChartBuilder::on(&area)
            .caption(*name, ("sans-serif", 13))
            .margin(4)
            .x_label_area_size(18)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..seconds, 0.0..most * 1.05)?;
        chart.configure_mesh().light_line_style(WHITE).draw()?;
        for &(at, begins) in &marks {
            let colour = if begins { RED } else { GREEN };
            chart.draw_series(LineSeries::new([(at, 0.0), (at, most)], colour.mix(0.6)))?;
        }
        chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}

/// Where a fault begins, and where what it struck goes on.
fn mark(start: At, at: At, event: &Event) -> Option<(f64, bool)> {
    let begins = match event {
        Event::Fault { .. } => true,
        Event::WentOn { .. } | Event::Started { .. } | Event::Calm => false,
        _ => return None,
    };
    (at > start).then_some(((at - start) as f64 / 1e6, begins))
}
