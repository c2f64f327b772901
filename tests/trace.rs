//! From a request's identifier to the cause of its end, with nothing but logs.
//!
//! `tests/trace/` holds lines that VMs wrote in runs beside faults, and lines of other requests. One
//! field was renamed by hand after the run: the receiver of a hand-over is `to`, as it is written now.

use std::{fs, path::Path};

use pomelogate::trace::Trace;

fn log(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/trace");
    fs::read_to_string(folder.join(name)).expect("a log")
}

/// The trace of the request that `name` tells of, among the lines of many others.
fn trace(name: &str) -> Trace {
    let own = log(name);
    let request = own
        .lines()
        .find_map(|line| line.split_once("\"request\":\"")?.1.split('"').next())
        .expect("a request");
    let mut trace = Trace::new(request);
    // The logs of several VMs come in any order.
    let mut lines: Vec<&str> = own.lines().collect();
    lines.reverse();
    trace.read(&log("others.log"));
    trace.read(&lines.join("\n"));
    assert_eq!(trace.lines().len(), lines.len(), "no line of others, none lost");
    trace
}

#[test]
fn a_refusal_beside_idle_targets_names_what_was_expected_where() {
    let cause = trace("refused.log").cause();
    assert!(cause.starts_with("refused full, it did not run"), "{cause}");
    assert!(cause.contains("would be late: expected here"), "{cause}");
}

#[test]
fn an_answer_that_broke_off_names_where_it_came_from_and_how_far_it_got() {
    let cause = trace("broken-off.log").cause();
    assert!(cause.starts_with("broken off: "), "{cause}");
    assert!(cause.contains("pieces from"), "{cause}");
}

#[test]
fn an_unknown_outcome_names_the_target_that_was_lost() {
    let trace = trace("unknown.log");
    let cause = trace.cause();
    assert!(cause.starts_with("outcome unknown, it may have run: target `i-"), "{cause}");
    assert!(cause.contains("connection closed"), "{cause}");
}

#[test]
fn lines_are_in_the_order_of_their_times_with_the_vm_that_wrote_each() {
    let trace = trace("unknown.log");
    assert!(trace.lines().is_sorted_by_key(|line| line.millis()));
    assert!(trace.lines().iter().all(|line| line.vm.starts_with("edge-")));
}

#[test]
fn what_is_no_line_of_a_log_is_passed_over() {
    let mut trace = Trace::new("7f");
    trace.read("7f\n{\"request\":\"7f\"\n{\"request\":\"7f\",\"msg\":1}\n\u{0} 7f {}\n");
    assert!(trace.lines().is_empty());
    assert!(trace.cause().contains("no VM logged its end"));
}
