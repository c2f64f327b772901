//! Figures: what a board holds, how much memory it takes, and what reaches statsd.
#![expect(clippy::print_stdout, reason = "the measured size is shown with --nocapture")]

use std::{net::UdpSocket, time::Duration};

use pomelogate::{
    figure::{Board, Outcome, Sample, Statsd},
    id,
    outcome::Reason,
    path::Class,
    settings::Figures,
};

const CUSTOMERS: usize = 900;
const CONTROL_BYTES: usize = 64 * 1024 * 1024;

#[test]
fn a_board_keeps_customers_and_classes_apart() {
    let board = Board::default();
    let (leads, planners) = (id::Customer::from("leads"), id::Customer::from("planners"));
    for milliseconds in 1..=100 {
        board.record(&Sample {
            customer: Some(&leads),
            first_byte: Some(Duration::from_millis(milliseconds)),
            total: Duration::from_millis(2 * milliseconds),
            between: &[Duration::from_millis(43); 2],
            engine: Duration::from_millis(500),
            elsewhere: milliseconds > 90,
            ..Sample::default()
        });
    }
    board.record(&Sample {
        customer: Some(&planners),
        class: Class::Batch,
        outcome: Outcome::Refused,
        reason: Some(Reason::Overloaded),
        queue: Some(Duration::from_secs(3)),
        ..Sample::default()
    });
    let snapshot = board.snapshot();
    let [one, two] = snapshot.summaries.as_slice() else { panic!("{snapshot:?}") };
    assert_eq!((one.customer.as_ref(), one.answered, one.elsewhere), (Some(&leads), 100, 10));
    assert_eq!(
        (one.first_byte.p50_ms, one.first_byte.p95_ms, one.first_byte.max_ms),
        (50, 95, 100)
    );
    assert_eq!((one.between.count, one.between.p99_ms), (200, 43));
    assert!((one.engine_seconds - 50.0).abs() < 1e-9);
    assert_eq!((two.class, two.refused, two.queue.count), (Class::Batch, 1, 1));
    assert_eq!((snapshot.refusals[0].reason, snapshot.refusals[0].count), (Reason::Overloaded, 1));
}

#[test]
fn a_board_is_bounded_and_counts_customers_beyond_the_bound_together() {
    let board = Board::default();
    for number in 0..CUSTOMERS {
        let customer = id::Customer::from(format!("customer-{number}"));
        for class in [Class::Interactive, Class::Batch] {
            board.record(&Sample { customer: Some(&customer), class, ..Sample::default() });
        }
    }
    let summaries = board.snapshot().summaries;
    let answered: u64 = summaries.iter().map(|summary| summary.answered).sum();
    assert_eq!(answered, 2 * CUSTOMERS as u64);
    assert!(summaries.len() < 2 * CUSTOMERS, "{} rows", summaries.len());
    assert!(summaries.iter().any(|summary| summary.customer.is_none() && summary.answered > 1));
    let bytes = board.bytes();
    println!("{} rows, {bytes} bytes, {} a row", summaries.len(), bytes / summaries.len());
    assert!(bytes < CONTROL_BYTES / 2, "{bytes} bytes");
}

#[test]
fn statsd_gets_each_sample() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let statsd = Some(server.local_addr().unwrap());
    let settings = Figures { statsd, prefix: "p".to_owned() };
    let board = Board::with(Statsd::open(&settings).unwrap());
    let customer = id::Customer::from("leads");
    let total = Duration::from_millis(7);
    board.record(&Sample { customer: Some(&customer), total, ..Sample::default() });
    let mut lines = Vec::new();
    for _ in 0..2 {
        let mut buffer = [0; 512];
        let length = server.recv(&mut buffer).unwrap();
        lines.push(String::from_utf8_lossy(&buffer[..length]).trim_end().to_owned());
    }
    let tags = "#customer:leads,class:interactive";
    assert_eq!(lines, [format!("p.requests.answered:1|c|{tags}"), format!("p.total:7|ms|{tags}")]);
}
