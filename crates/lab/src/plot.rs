//! Plots of a report, as SVG: answers by second, load by server, and how evenly it fell.

use crate::report::Report;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::{Path, PathBuf};

const SIZE: (u32, u32) = (900, 420);

type Failed = Box<dyn std::error::Error>;
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Writes all plots into a folder; returns their paths.
pub fn draw(report: &Report, folder: &Path) -> Result<Vec<PathBuf>, Failed> {
    type Plot = fn(&Report, &Area) -> Result<(), Failed>;
    let plots: [(&str, Plot); 3] =
        [("answers.svg", answers), ("servers.svg", servers), ("spread.svg", spread)];
    let mut paths = Vec::new();
    for (name, plot) in plots {
        let path = folder.join(name);
        {
            let area = SVGBackend::new(&path, SIZE).into_drawing_area();
            area.fill(&WHITE)?;
            plot(report, &area)?;
            area.present()?;
        }
        paths.push(path);
    }
    Ok(paths)
}

/// Counts of tenths of a second, by whole seconds.
fn by_second(series: &[u32]) -> Vec<f64> {
    series.chunks(10).map(|chunk| f64::from(chunk.iter().sum::<u32>())).collect()
}

fn most(lines: &[Vec<f64>]) -> f64 {
    lines.iter().flatten().copied().fold(1.0, f64::max) * 1.1
}

fn lines(
    area: &Area,
    title: &str,
    unit: &str,
    named: &[(&str, RGBColor, Vec<f64>)],
    top: f64,
) -> Result<(), Failed> {
    let long = named.iter().map(|line| line.2.len()).max().unwrap_or(1).max(2);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..(long - 1) as f64, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(WHITE).draw()?;
    for (name, colour, points) in named {
        let colour = *colour;
        let points = points.iter().enumerate().map(|(second, value)| (second as f64, *value));
        chart
            .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    Ok(())
}

fn answers(report: &Report, area: &Area) -> Result<(), Failed> {
    let series = &report.series;
    let named = [
        ("sent", BLACK, by_second(&series.sent)),
        ("satisfied", RGBColor(0, 120, 60), by_second(&series.satisfied)),
        ("dismissed", RGBColor(200, 120, 0), by_second(&series.dismissed)),
        ("failed, broken or unreached", RGBColor(190, 0, 0), by_second(&series.failed)),
    ];
    let top = most(&named.clone().map(|line| line.2));
    lines(area, &format!("{}: tries a second", report.scenario), "tries a second", &named, top)
}

/// Each server's relays over what its rating makes its share.
fn servers(report: &Report, area: &Area) -> Result<(), Failed> {
    let whole: u64 = report.by_server.iter().map(|load| load.relays).sum();
    let rated: f64 = report.by_server.iter().map(|load| load.rating).sum();
    let shares: Vec<(bool, f64)> = report
        .by_server
        .iter()
        .map(|load| (load.cold, load.relays as f64 / (whole.max(1) as f64 * load.rating / rated.max(1e-9))))
        .collect();
    let top = shares.iter().map(|share| share.1).fold(1.5, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{}: relays over rated share, by server", report.scenario), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(54)
        .build_cartesian_2d(0.0..shares.len().max(1) as f64, 0.0..top)?;
    chart.configure_mesh().x_desc("server (orange: started cold)").y_desc("over its share").draw()?;
    chart.draw_series(shares.iter().enumerate().map(|(at, (cold, share))| {
        let colour = if *cold { RGBColor(220, 130, 0) } else { RGBColor(40, 90, 160) };
        Rectangle::new([(at as f64 + 0.1, 0.0), (at as f64 + 0.9, *share)], colour.filled())
    }))?;
    chart.draw_series(LineSeries::new([(0.0, 1.0), (shares.len() as f64, 1.0)], BLACK))?;
    Ok(())
}

fn spread(report: &Report, area: &Area) -> Result<(), Failed> {
    let windows = &report.spread.windows;
    let of = |of: fn(&crate::report::Window) -> f64| windows.iter().map(of).collect::<Vec<f64>>();
    let named = [
        ("busiest server over the mean", RGBColor(190, 0, 0), of(|it| it.most_over_mean)),
        ("idlest server over the mean", RGBColor(40, 90, 160), of(|it| it.least_over_mean)),
        ("variation", RGBColor(120, 120, 120), of(|it| it.variation)),
    ];
    let top = most(&named.clone().map(|line| line.2)).max(2.0);
    lines(
        area,
        &format!("{}: windows of ten seconds, by their beginning", report.scenario),
        "of the rated share",
        &named,
        top,
    )
}
