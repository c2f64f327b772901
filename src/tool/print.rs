use std::fmt::Write;

use serde::Serialize;

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
        let (vm, region) = (member.vm.as_str(), member.region.as_str());
        let _ = writeln!(text, "  {vm:<16} {region:<16} {}", member.address);
    }
    text.push_str("\ntargets:\n");
    for target in &status.targets {
        let (name, region) = (target.target.as_str(), target.region.as_str());
        let serves = target.serves.join(", ");
        let load = target.load;
        let _ = writeln!(
            text,
            "  {name:<16} {region:<16} {serves:<20} {} running, {} waiting",
            load.running, load.waiting
        );
    }
    text.push_str("\nother regions:\n");
    for other in &status.elsewhere {
        let (region, need) = (other.region.as_str(), &other.need);
        let counts =
            format!("{} targets, {} free, {} waiting", other.targets, other.free, other.waiting);
        let _ = writeln!(text, "  {region:<16} {need}: {counts}");
    }
    text
}

pub(super) fn figures(snapshot: &Snapshot) -> String {
    let mut text = String::new();
    for summary in &snapshot.summaries {
        text.push_str(&one(summary));
    }
    for refusals in &snapshot.refusals {
        let _ = writeln!(text, "refused for {}: {}", word(&refusals.reason), refusals.count);
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

pub(super) fn ways(ways: &[Way]) -> String {
    ways.iter().map(way).collect()
}

fn way(way: &Way) -> String {
    let customer = way.customer.as_ref().map_or("(unknown)", |customer| customer.as_str());
    let reason = way.reason.map(|reason| format!(" ({})", word(&reason))).unwrap_or_default();
    let trail = if way.way.is_empty() { "(no target)" } else { &way.way };
    format!(
        "{}: request {} of {customer}: {} {}{reason} in {} ms\n  way: {trail}\n",
        way.vm,
        way.request,
        way.status,
        word(&way.outcome),
        way.total_ms
    )
}

/// The word that stands for `value` in JSON.
fn word<T: Serialize>(value: &T) -> String {
    let json = serde_json::to_value(value).unwrap_or_default();
    json.as_str().unwrap_or_default().to_owned()
}
