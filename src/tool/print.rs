use std::fmt::Write;

use crate::{
    admin::{Status, Way},
    figure::{Quantiles, Snapshot, Summary},
};

pub(super) fn status(status: &Status) -> String {
    let mut text = format!(
        "VM {} in {} ({})\nplans at version {}, allowances at version {}\n\nVMs:\n",
        status.vm, status.region, status.zone, status.versions.plans, status.versions.allowances
    );
    for member in &status.members {
        let _ = writeln!(text, "  {:<16} {:<16} {}", member.vm, member.region, member.address);
    }
    text.push_str("\ntargets:\n");
    for target in &status.targets {
        let serves = target.serves.join(", ");
        let load = target.load;
        let _ = writeln!(
            text,
            "  {:<20} {:<16} {:<20} {} running, {} waiting",
            target.target, target.region, serves, load.running, load.waiting
        );
    }
    text
}

pub(super) fn figures(snapshot: &Snapshot) -> String {
    let mut text = String::new();
    for summary in &snapshot.summaries {
        text.push_str(&one(summary));
    }
    for refusals in &snapshot.refusals {
        let reason = serde_json::to_value(refusals.reason).unwrap_or_default();
        let _ = writeln!(
            text,
            "refused for {}: {}",
            reason.as_str().unwrap_or_default(),
            refusals.count
        );
    }
    if text.is_empty() { "no requests yet\n".to_owned() } else { text }
}

fn one(summary: &Summary) -> String {
    let customer = summary.customer.as_ref().map_or("(other)", |customer| customer.as_str());
    let mut text = format!(
        "{customer}, {}: {} answered, {} refused, {} unknown, {} in another region, {:.3} engine-seconds\n",
        summary.class,
        summary.answered,
        summary.refused,
        summary.unknown,
        summary.elsewhere,
        summary.engine_seconds
    );
    let lines = [
        ("first byte", summary.first_byte),
        ("total", summary.total),
        ("queue", summary.queue),
        ("between", summary.between),
    ];
    for (name, quantiles) in lines {
        text.push_str(&line(name, quantiles));
    }
    text
}

fn line(name: &str, quantiles: Quantiles) -> String {
    let Quantiles { count, p50_ms, p95_ms, p99_ms, max_ms } = quantiles;
    format!(
        "  {name:<11} p50 {p50_ms} ms, p95 {p95_ms} ms, p99 {p99_ms} ms, max {max_ms} ms ({count})\n"
    )
}

pub(super) fn way(way: &Way) -> String {
    let customer = way.customer.as_ref().map_or("(unknown)", |customer| customer.as_str());
    let outcome = serde_json::to_value(way.outcome).unwrap_or_default();
    let outcome = outcome.as_str().unwrap_or_default();
    let trail = if way.way.is_empty() { "(no target)" } else { &way.way };
    format!(
        "request {} of {customer}: {} {outcome} in {} ms\nway: {trail}\n",
        way.request, way.status, way.total_ms
    )
}
