//! What following the lists costs a VM at the size to design for, from measured message sizes.

use std::{io::Write, time::Instant};

use pomelogate::{
    list::{Draft, Kind},
    list_state::{Command, Fetch, Settings, StateMachine, Store, Versions, VmVersions},
    replica::StateMachine as _,
};
use prost::Message;

const CUSTOMERS: usize = 900;
const CHANGES_A_DAY: f64 = 6_400.0;
const DAY: f64 = 86_400.0;
const VMS: f64 = 350.0;
const REGIONS: f64 = 27.0;
const REPLICAS: f64 = 3.0;
const RELAYS: f64 = 2.0;
const BUDGET: f64 = 10_000.0;

fn plans(version: u64) -> Draft {
    let entries = (0..CUSTOMERS).map(|place| {
        let key = format!("{:064x}", if place == 0 { version } else { place as u64 * 7919 });
        format!(r#"{{"customer":"customer-{place:04}","plan":"plan","home":"jakarta","keys":["{key}"]}}"#)
    });
    let content = format!("[{}]", entries.collect::<Vec<_>>().join(","));
    Draft { kind: Kind::Plans, version, content: content.into_bytes() }
}

#[test]
fn a_node_stays_within_its_bytes_a_second() {
    let mut machine = StateMachine::default();
    let allowance = br#"[{"plan":"plan","regions":["jakarta"],"models":[],"services":[],"limits":{"concurrency":1,"queue":1,"tokens_per_minute":1}}]"#;
    let draft = Draft { kind: Kind::Allowances, version: 1, content: allowance.to_vec() };
    machine.apply(1, &Command::change(draft).encode_to_vec());
    machine.apply(2, &Command::change(plans(1)).encode_to_vec());
    let versions = machine.store().versions();
    machine.apply(3, &Command::change(plans(2)).encode_to_vec());
    let region = VMS / REGIONS;
    let vm = "region-27-vm-12".to_owned();
    let own = Fetch {
        vm: vm.clone(),
        region: "region-27".to_owned(),
        versions,
        relayed_versions: vec![],
    };
    let served = VmVersions { vm, region: "region-27".to_owned(), versions };
    let with_reports =
        Fetch { relayed_versions: vec![served; region.ceil() as usize], ..own.clone() };
    let update = machine.store().updates_since(&own);
    let empty = machine
        .store()
        .updates_since(&Fetch { versions: machine.store().versions(), ..own.clone() });
    let whole = machine.store().full_update().encoded_len();
    let command = Command::compact_change(plans(3), machine.store()).encoded_len();
    let period = Settings::default().fetch_interval.as_secs_f64();
    let changes = CHANGES_A_DAY / DAY;
    let delta = update.encoded_len() as f64;
    let exchange = (own.encoded_len() + empty.encoded_len()) as f64 / period;
    let report = (with_reports.encoded_len() + empty.encoded_len()) as f64 / period;
    let plain = exchange + delta * changes;
    let relay = report + delta * changes + (region - RELAYS) / RELAYS * plain;
    let replica = RELAYS * REGIONS / REPLICAS * (report + delta * changes)
        + command as f64 * changes * (REPLICAS - 1.0);
    let rounds = 50;
    let begin = Instant::now();
    for version in 3..3 + rounds {
        let command = Command::compact_change(plans(version), machine.store()).encode_to_vec();
        machine.apply(version, &command);
    }
    let apply = begin.elapsed() / u32::try_from(rounds).expect("few");
    let mut list_sync = Store::default();
    let snapshot = machine.snapshot().len();
    let begin = Instant::now();
    list_sync.apply(&machine.store().full_update()).expect("update");
    let book = list_sync.book().expect("book");
    let take = begin.elapsed();
    assert_eq!(book.plans().entries.len(), CUSTOMERS);
    let out = &mut std::io::stdout();
    writeln!(out, "difference and apply {apply:?}, take a whole list {take:?}").ok();
    writeln!(out, "snapshot of the machine {snapshot} B").ok();
    writeln!(
        out,
        "delta {delta} B, fetch {} B, fetch with reports {} B, empty update {} B, whole {whole} B, \
         command {command} B",
        own.encoded_len(),
        with_reports.encoded_len(),
        empty.encoded_len()
    )
    .ok();
    writeln!(out, "plain VM {plain:.0} B/s, relay {relay:.0} B/s, replica {replica:.0} B/s").ok();
    assert!(Versions::default() != versions);
    assert!(plain < BUDGET && relay < BUDGET, "plain {plain:.0}, relay {relay:.0}");
    assert!(replica < BUDGET, "replica {replica:.0}");
}
