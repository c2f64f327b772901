//! The durability of a replica's folder, on the real disk.

use std::{
    fs::{self, OpenOptions},
    path::{Path, PathBuf},
};

use pomelogate::{
    consensus::{Entry, HardState, Record, Snapshot},
    disk::{Error, Log},
};
use proptest::{prelude::*, test_runner::Config};

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, payload: vec![7; 40].into(), ..Entry::default() }
}

fn write_entries(log: &mut Log, indexes: &[u64]) {
    for &index in indexes {
        let record = Record { entries: vec![entry(index)], ..Record::default() };
        log.write(&record).expect("the record is written");
    }
}

fn only_segment(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder).expect("a folder").map(|file| file.expect("a file").path());
    let mut segments: Vec<_> =
        files.filter(|path| path.to_string_lossy().contains("segment-")).collect();
    assert_eq!(segments.len(), 1, "the folder holds one segment");
    segments.remove(0)
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, ..Config::default() })]

    /// Wherever a crash cuts the last record, all earlier records are read, and writes go on.
    #[test]
    fn a_torn_last_record_is_truncated_and_nothing_else(bytes_lost in 1u64..50) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut log, _) = Log::open(folder.path(), 1).expect("the folder opens");
        write_entries(&mut log, &[1, 2, 3]);
        drop(log);
        let path = only_segment(folder.path());
        let file = OpenOptions::new().write(true).open(&path).expect("the segment");
        let length = file.metadata().expect("its length").len();
        file.set_len(length - bytes_lost.min(length / 3 - 1)).expect("the segment is truncated");
        let (mut log, state) =
            Log::open(folder.path(), 2).expect("a torn last record is not corruption");
        prop_assert_eq!(state.entries, vec![entry(1), entry(2)]);
        write_entries(&mut log, &[3]);
        drop(log);
        let (_, state) = Log::open(folder.path(), 2).expect("the folder opens");
        prop_assert_eq!(state.entries.len(), 3);
    }

    /// Corruption before the last record is never taken for a torn last record.
    #[test]
    fn corruption_before_the_last_record_is_an_error_with_a_remedy(position in 0.0f64..0.66) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut log, _) = Log::open(folder.path(), 1).expect("the folder opens");
        write_entries(&mut log, &[1, 2, 3]);
        drop(log);
        let path = only_segment(folder.path());
        let mut bytes = fs::read(&path).expect("the segment");
        let offset = (bytes.len() as f64 * position) as usize;
        bytes[offset] ^= 0x20;
        fs::write(&path, bytes).expect("the segment is written");
        let error = Log::open(folder.path(), 2).expect_err("corruption");
        prop_assert!(matches!(error, Error::Corrupted(..)), "{error}");
        prop_assert!(error.to_string().contains("readmit"));
    }
}

#[test]
fn a_folder_can_be_opened_only_once_at_a_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let (log, _) = Log::open(folder.path(), 1).expect("the folder opens");
    assert!(matches!(Log::open(folder.path(), 2), Err(Error::Locked(_))));
    drop(log);
    assert_eq!(Log::open(folder.path(), 2).expect("the folder opens").0.disk_id(), 1);
}

#[test]
fn opening_state_without_its_identity_file_fails() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = Log::open(folder.path(), 1).expect("the folder opens");
    write_entries(&mut log, &[1]);
    drop(log);
    fs::remove_file(folder.path().join("identity")).expect("the identity file is removed");
    assert!(matches!(Log::open(folder.path(), 2), Err(Error::MissingIdentity(_))));
}

#[test]
fn a_snapshot_replaces_the_entries_it_covers_and_keeps_the_vote() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = Log::open(folder.path(), 1).expect("the folder opens");
    let hard_state = Some(HardState {
        term: 4,
        voted_for: "jakarta-1".to_owned(),
        voted_for_disk_id: 9,
        group_id: 9,
    });
    log.write(&Record { hard_state: hard_state.clone(), ..Record::default() })
        .expect("the hard state is written");
    write_entries(&mut log, &[1, 2, 3]);
    let snapshot = Some(Snapshot { index: 2, term: 1, ..Snapshot::default() });
    let entries = vec![entry(3)];
    log.write(&Record { hard_state: None, snapshot: snapshot.clone(), entries })
        .expect("the snapshot is written");
    write_entries(&mut log, &[4]);
    drop(log);
    let (_, state) = Log::open(folder.path(), 2).expect("the folder opens");
    assert_eq!(state, Record { hard_state, snapshot, entries: vec![entry(3), entry(4)] });
    only_segment(folder.path());
}

#[test]
fn every_write_after_a_failed_write_fails() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = Log::open(folder.path(), 1).expect("the folder opens");
    fs::remove_dir_all(folder.path()).expect("the folder vanishes");
    let snapshot = Some(Snapshot { index: 2, term: 1, ..Snapshot::default() });
    let record = Record { snapshot, ..Record::default() };
    assert!(matches!(log.write(&record), Err(Error::Io(..))));
    assert!(matches!(log.write(&record), Err(Error::EarlierWriteFailed(_))));
}
