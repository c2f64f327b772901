//! The network traffic of list synchronization per VM at the size the system is designed for,
//! computed from the sizes of real messages.

use std::{io::Write, time::Instant};

use pomelogate::{
    list::{Draft, Kind},
    list_state::{Command, Fetch, Settings, StateMachine, Store, Versions, VmVersions},
    replica::StateMachine as _,
};
use prost::Message;

const CUSTOMERS: usize = 900;
const CHANGES_PER_DAY: f64 = 6_400.0;
const SECS_PER_DAY: f64 = 86_400.0;
const VMS: f64 = 350.0;
const REGIONS: f64 = 27.0;
const REPLICAS: f64 = 3.0;
const RELAYS_PER_REGION: f64 = 2.0;
const BUDGET_BYTES_PER_SEC: f64 = 10_000.0;

fn plans(version: u64) -> Draft {
    let entries = (0..CUSTOMERS).map(|index| {
        let key = format!("{:064x}", if index == 0 { version } else { index as u64 * 7919 });
        format!(r#"{{"customer":"customer-{index:04}","plan":"plan","home":"jakarta","keys":["{key}"]}}"#)
    });
    let content = format!("[{}]", entries.collect::<Vec<_>>().join(","));
    Draft { kind: Kind::Plans, version, content: content.into_bytes() }
}

#[test]
fn list_traffic_per_vm_stays_within_budget() {
    let mut machine = StateMachine::default();
    let allowance = br#"[{"plan":"plan","regions":["jakarta"],"models":[],"services":[],"limits":{"concurrency":1,"queue":1,"tokens_per_minute":1}}]"#;
    let draft = Draft { kind: Kind::Allowances, version: 1, content: allowance.to_vec() };
    machine.apply(1, &Command::change(draft).encode_to_vec());
    machine.apply(2, &Command::change(plans(1)).encode_to_vec());
    let versions = machine.store().versions();
    machine.apply(3, &Command::change(plans(2)).encode_to_vec());
    let vms_per_region = VMS / REGIONS;
    let vm = "region-27-vm-12".to_owned();
    let fetch = Fetch {
        vm: vm.clone(),
        region: "region-27".to_owned(),
        versions,
        relayed_versions: vec![],
    };
    let report = VmVersions { vm, region: "region-27".to_owned(), versions };
    let fetch_with_reports =
        Fetch { relayed_versions: vec![report; vms_per_region.ceil() as usize], ..fetch.clone() };
    let update = machine.store().updates_since(&fetch);
    let empty_update = machine
        .store()
        .updates_since(&Fetch { versions: machine.store().versions(), ..fetch.clone() });
    let full_update_bytes = machine.store().full_update().encoded_len();
    let command_bytes = Command::compact_change(plans(3), machine.store()).encoded_len();
    let interval_secs = Settings::default().fetch_interval.as_secs_f64();
    let changes_per_sec = CHANGES_PER_DAY / SECS_PER_DAY;
    let delta_bytes = update.encoded_len() as f64;
    let plain_fetch_rate =
        (fetch.encoded_len() + empty_update.encoded_len()) as f64 / interval_secs;
    let relay_fetch_rate =
        (fetch_with_reports.encoded_len() + empty_update.encoded_len()) as f64 / interval_secs;
    let plain_rate = plain_fetch_rate + delta_bytes * changes_per_sec;
    let relay_rate = relay_fetch_rate
        + delta_bytes * changes_per_sec
        + (vms_per_region - RELAYS_PER_REGION) / RELAYS_PER_REGION * plain_rate;
    let replica_rate = RELAYS_PER_REGION * REGIONS / REPLICAS
        * (relay_fetch_rate + delta_bytes * changes_per_sec)
        + command_bytes as f64 * changes_per_sec * (REPLICAS - 1.0);
    let change_count = 50;
    let start = Instant::now();
    for version in 3..3 + change_count {
        let command = Command::compact_change(plans(version), machine.store()).encode_to_vec();
        machine.apply(version, &command);
    }
    let apply_time = start.elapsed() / u32::try_from(change_count).expect("few");
    let mut store = Store::default();
    let snapshot_bytes = machine.snapshot().len();
    let start = Instant::now();
    store.apply(&machine.store().full_update()).expect("update");
    let book = store.book().expect("book");
    let full_update_time = start.elapsed();
    assert_eq!(book.plans().entries.len(), CUSTOMERS);
    let out = &mut std::io::stdout();
    writeln!(
        out,
        "make and apply a change {apply_time:?}, apply a full update {full_update_time:?}"
    )
    .ok();
    writeln!(out, "snapshot of the state machine {snapshot_bytes} B").ok();
    writeln!(
        out,
        "delta {delta_bytes} B, fetch {} B, fetch with reports {} B, empty update {} B, \
         full update {full_update_bytes} B, command {command_bytes} B",
        fetch.encoded_len(),
        fetch_with_reports.encoded_len(),
        empty_update.encoded_len()
    )
    .ok();
    writeln!(
        out,
        "plain VM {plain_rate:.0} B/s, relay {relay_rate:.0} B/s, replica {replica_rate:.0} B/s"
    )
    .ok();
    assert!(Versions::default() != versions);
    assert!(
        plain_rate < BUDGET_BYTES_PER_SEC && relay_rate < BUDGET_BYTES_PER_SEC,
        "plain {plain_rate:.0}, relay {relay_rate:.0}"
    );
    assert!(replica_rate < BUDGET_BYTES_PER_SEC, "replica {replica_rate:.0}");
}
