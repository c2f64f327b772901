//! What a replica's folder promises, on the real disk.

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

fn write(log: &mut Log, indexes: &[u64]) {
    for &index in indexes {
        let record = Record { entries: vec![entry(index)], ..Record::default() };
        log.write(&record).expect("written");
    }
}

fn segment(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder).expect("a folder").map(|file| file.expect("a file").path());
    let mut segments: Vec<_> =
        files.filter(|path| path.to_string_lossy().contains("segment-")).collect();
    assert_eq!(segments.len(), 1, "one segment at a time");
    segments.remove(0)
}

proptest! {
    #![proptest_config(Config { cases: 64, failure_persistence: None, ..Config::default() })]

    /// Wherever the last write was cut, what was synced before it is there, and writing goes on.
    #[test]
    fn a_torn_tail_is_cut_and_nothing_else(lost in 1u64..50) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut log, _) = Log::open(folder.path(), 1).expect("opened");
        write(&mut log, &[1, 2, 3]);
        drop(log);
        let path = segment(folder.path());
        let file = OpenOptions::new().write(true).open(&path).expect("the segment");
        let length = file.metadata().expect("its length").len();
        file.set_len(length - lost.min(length / 3 - 1)).expect("cut");
        let (mut log, found) = Log::open(folder.path(), 2).expect("a torn tail is no damage");
        prop_assert_eq!(found.entries, vec![entry(1), entry(2)]);
        write(&mut log, &[3]);
        drop(log);
        let (_, found) = Log::open(folder.path(), 2).expect("opened");
        prop_assert_eq!(found.entries.len(), 3);
    }

    /// Damage before the last record is never taken for a torn tail.
    #[test]
    fn damage_in_the_middle_stops_with_the_remedy(place in 0.0f64..0.66) {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut log, _) = Log::open(folder.path(), 1).expect("opened");
        write(&mut log, &[1, 2, 3]);
        drop(log);
        let path = segment(folder.path());
        let mut bytes = fs::read(&path).expect("the segment");
        let place = (bytes.len() as f64 * place) as usize;
        bytes[place] ^= 0x20;
        fs::write(&path, bytes).expect("damaged");
        let error = Log::open(folder.path(), 2).expect_err("damage");
        prop_assert!(matches!(error, Error::Damaged(..)), "{error}");
        prop_assert!(error.to_string().contains("readmit"));
    }
}

#[test]
fn a_folder_serves_one_process_at_a_time() {
    let folder = tempfile::tempdir().expect("a folder");
    let (log, _) = Log::open(folder.path(), 1).expect("opened");
    assert!(matches!(Log::open(folder.path(), 2), Err(Error::Locked(_))));
    drop(log);
    assert_eq!(Log::open(folder.path(), 2).expect("opened").0.identity(), 1);
}

#[test]
fn state_without_its_identity_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = Log::open(folder.path(), 1).expect("opened");
    write(&mut log, &[1]);
    drop(log);
    fs::remove_file(folder.path().join("identity")).expect("removed");
    assert!(matches!(Log::open(folder.path(), 2), Err(Error::NoIdentity(_))));
}

#[test]
fn a_snapshot_replaces_the_log_and_keeps_the_vote() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = Log::open(folder.path(), 1).expect("opened");
    let hard_state = Some(HardState {
        term: 4,
        voted_for: "jakarta-1".to_owned(),
        voted_for_disk_id: 9,
        group_id: 9,
    });
    log.write(&Record { hard_state: hard_state.clone(), ..Record::default() }).expect("written");
    write(&mut log, &[1, 2, 3]);
    let snapshot = Some(Snapshot { index: 2, term: 1, ..Snapshot::default() });
    let entries = vec![entry(3)];
    log.write(&Record { hard_state: None, snapshot: snapshot.clone(), entries }).expect("written");
    write(&mut log, &[4]);
    drop(log);
    let (_, found) = Log::open(folder.path(), 2).expect("opened");
    assert_eq!(found, Record { hard_state, snapshot, entries: vec![entry(3), entry(4)] });
    segment(folder.path());
}

#[test]
fn nothing_is_written_after_a_failed_write() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut log, _) = Log::open(folder.path(), 1).expect("opened");
    fs::remove_dir_all(folder.path()).expect("the folder vanishes");
    let snapshot = Some(Snapshot { index: 2, term: 1, ..Snapshot::default() });
    let record = Record { snapshot, ..Record::default() };
    assert!(matches!(log.write(&record), Err(Error::Io(..))));
    assert!(matches!(log.write(&record), Err(Error::Failed(_))));
}
