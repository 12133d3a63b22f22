//! Renders an audit report as a static HTML page with a plot for each service.

use std::fmt::Write;

use plotters::prelude::*;
use thiserror::Error;

use crate::audit::AuditCounts;
use crate::audit_report::{AuditReport, ServiceReport};

const PLOT_WIDTH_PX: u32 = 720;
const ROW_HEIGHT_PX: u32 = 28;
const AXIS_HEIGHT_PX: u32 = 60;
const LABEL_WIDTH_PX: u32 = 180;
const BAR_MARGIN_PX: u32 = 4;
/// Maximum number of callers shown for each service; the rows are in descending order of traffic.
const MAX_SHOWN_CALLERS: usize = 20;

/// Reason why a page cannot be rendered.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PageError {
    /// The plot of a service cannot be drawn; contains the error of the plotting library.
    #[error("cannot draw plot: {0}")]
    Plot(String),
}

/// Returns the HTML page of a report.
///
/// # Errors
///
/// Returns [`PageError::Plot`] if the plotting library fails.
pub fn render(report: &AuditReport) -> Result<String, PageError> {
    let mut page = String::from(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>hollyhead report</title></head><body>\n<h1>Traffic by service, target and caller</h1>\n",
    );
    for service in &report.services {
        page += &service_section(service)?;
    }
    page += "</body></html>\n";
    Ok(page)
}

fn service_section(service: &ServiceReport) -> Result<String, PageError> {
    let mut text = format!("<h2>Service {}</h2>\n", escape(&service.service));
    text += &plot(service)?;
    let targets = service.targets.iter().map(|line| (line.target.to_string(), &line.counts));
    text += &table("Target", targets);
    let callers = service.callers.iter().take(MAX_SHOWN_CALLERS);
    let callers = callers.map(|line| (line.caller.to_string(), &line.counts));
    let tail = [("callers without a row".to_owned(), &service.tail)];
    text += &table("Caller", callers.chain(tail));
    for line in &service.drops {
        let reason = escape(&line.reason);
        text += &format!("<p>Dropped because of {reason}: {} packets.</p>\n", line.dropped);
    }
    Ok(text)
}

fn table<'a>(heading: &str, rows: impl Iterator<Item = (String, &'a AuditCounts)>) -> String {
    let mut text = format!(
        "<table><tr><th>{heading}</th><th>opened</th><th>delivered</th><th>relayed</th>\
         <th>dropped</th></tr>\n"
    );
    for (name, counts) in rows {
        let AuditCounts { opened, delivered, relayed, dropped, .. } = counts;
        let name = escape(&name);
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "<tr><td>{name}</td><td>{opened}</td><td>{delivered}</td><td>{relayed}</td>\
             <td>{dropped}</td></tr>"
        );
    }
    text + "</table>\n"
}

/// Returns an SVG bar chart of the packets delivered to each target, or a paragraph if there are
/// none.
fn plot(service: &ServiceReport) -> Result<String, PageError> {
    let count = service.targets.len();
    let max_delivered = service.targets.iter().map(|line| line.counts.delivered).max().unwrap_or(0);
    if max_delivered == 0 {
        return Ok("<p>No packet was delivered to a target.</p>\n".to_owned());
    }
    let mut svg = String::new();
    let height = ROW_HEIGHT_PX * count as u32 + AXIS_HEIGHT_PX;
    let root = SVGBackend::with_string(&mut svg, (PLOT_WIDTH_PX, height)).into_drawing_area();
    let plot_error = |err: String| PageError::Plot(err);
    let mut chart = ChartBuilder::on(&root)
        .caption("Packets delivered to each target", ("sans-serif", 16))
        .y_label_area_size(LABEL_WIDTH_PX)
        .x_label_area_size(ROW_HEIGHT_PX)
        .build_cartesian_2d(0..max_delivered, (0..count).into_segmented())
        .map_err(|err| plot_error(err.to_string()))?;
    let label = |at: &SegmentValue<usize>| match at {
        SegmentValue::CenterOf(index) => {
            service.targets.get(*index).map(|line| line.target.to_string()).unwrap_or_default()
        }
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(count)
        .y_label_formatter(&label)
        .draw()
        .map_err(|err| plot_error(err.to_string()))?;
    let bars =
        service.targets.iter().enumerate().map(|(index, line)| (index, line.counts.delivered));
    let bars = Histogram::horizontal(&chart).style(BLUE.filled()).margin(BAR_MARGIN_PX).data(bars);
    chart.draw_series(bars).map_err(|err| plot_error(err.to_string()))?;
    root.present().map_err(|err| plot_error(err.to_string()))?;
    drop(chart);
    drop(root);
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
