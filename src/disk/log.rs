use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

use prost::Message;

use super::{Error, frame};
use crate::consensus::Record;

const IDENTITY: &str = "identity";
const LOCK: &str = "lock";
const SEGMENT: &str = "segment-";

/// The durable state of one replica, in a folder of its own.
///
/// ```
/// use pomelogate::{consensus::{Entry, Record}, disk::Log};
///
/// let folder = tempfile::tempdir().unwrap();
/// let (mut log, found) = Log::open(folder.path(), 7).unwrap();
/// assert!(found.is_empty());
/// let entry = Entry { index: 1, term: 1, ..Entry::default() };
/// log.write(&Record { entries: vec![entry.clone()], ..Record::default() }).unwrap();
/// drop(log);
/// let (log, found) = Log::open(folder.path(), 8).unwrap();
/// assert_eq!((log.identity(), found.entries), (7, vec![entry]));
/// ```
#[derive(Debug)]
pub struct Log {
    folder: PathBuf,
    identity: u64,
    segment: File,
    number: u64,
    hard: Record,
    syncs: u64,
    failed: bool,
    _lock: File,
}

impl Log {
    /// Opens the folder, makes it where it is missing, and reads what is durable.
    ///
    /// A new folder gets `identity`; an old one keeps its own.
    ///
    /// # Errors
    ///
    /// Where another process holds the folder, or a file is damaged or cannot be used.
    pub fn open(folder: &Path, identity: u64) -> Result<(Self, Record), Error> {
        io_at(folder, fs::create_dir_all(folder))?;
        let lock = lock(folder)?;
        let numbers = segments(folder)?;
        let identity = identify(folder, identity, &numbers)?;
        let mut state = Record::default();
        let last = numbers.last().copied();
        if let Some(number) = last {
            replay(&segment_path(folder, number), &mut state)?;
        }
        let number = last.unwrap_or(0);
        let segment = open_segment(folder, number)?;
        let hard = Record { hard_state: state.hard_state.clone(), ..Record::default() };
        let folder = folder.to_path_buf();
        let log =
            Self { folder, identity, segment, number, hard, syncs: 0, failed: false, _lock: lock };
        Ok((log, state))
    }

    /// The identity that the folder got when it was created.
    pub fn identity(&self) -> u64 {
        self.identity
    }

    /// How often data was synced since the folder was opened.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Makes `record` durable: on return it is synced.
    ///
    /// # Errors
    ///
    /// Where a write or a sync failed. Nothing can be written from then on: a later sync could
    /// succeed though the data of the failed one is lost.
    pub fn write(&mut self, record: &Record) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed(self.folder.clone()));
        }
        if record.hard_state.is_some() {
            self.hard.hard_state.clone_from(&record.hard_state);
        }
        let written =
            if record.snapshot.is_some() { self.replace(record) } else { self.append(record) };
        self.failed = written.is_err();
        written
    }

    fn append(&mut self, record: &Record) -> Result<(), Error> {
        let mut bytes = Vec::new();
        frame::put(&mut bytes, &record.encode_to_vec());
        let written = self.segment.write_all(&bytes).and_then(|()| self.segment.sync_data());
        self.syncs += 1;
        io_at(&segment_path(&self.folder, self.number), written)
    }

    /// Begins a new segment with a snapshot and what follows it; then the old one is not needed.
    fn replace(&mut self, record: &Record) -> Result<(), Error> {
        let whole = Record { hard_state: self.hard.hard_state.clone(), ..record.clone() };
        let mut bytes = Vec::new();
        frame::put(&mut bytes, &whole.encode_to_vec());
        let number = self.number + 1;
        write_whole(&self.folder, &segment_name(number), &bytes)?;
        self.syncs += 1;
        self.segment = open_segment(&self.folder, number)?;
        let old = segment_path(&self.folder, std::mem::replace(&mut self.number, number));
        io_at(&old, fs::remove_file(&old))
    }
}

fn io_at<T>(path: &Path, result: io::Result<T>) -> Result<T, Error> {
    result.map_err(|source| Error::Io(path.to_path_buf(), source))
}

fn lock(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK);
    let file = io_at(&path, OpenOptions::new().create(true).append(true).open(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked(folder.to_path_buf())),
        Err(TryLockError::Error(source)) => Err(Error::Io(path, source)),
    }
}

fn identify(folder: &Path, fresh: u64, segments: &[u64]) -> Result<u64, Error> {
    let path = folder.join(IDENTITY);
    match fs::read(&path) {
        Ok(bytes) => frame::get(&bytes)
            .and_then(|(payload, _)| Some(u64::from_le_bytes(payload.try_into().ok()?)))
            .ok_or(Error::Damaged(path, 0)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            if !segments.is_empty() {
                return Err(Error::NoIdentity(folder.to_path_buf()));
            }
            let mut bytes = Vec::new();
            frame::put(&mut bytes, &fresh.to_le_bytes());
            write_whole(folder, IDENTITY, &bytes)?;
            if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                io_at(parent, sync_folder(parent))?;
            }
            Ok(fresh)
        }
        Err(error) => Err(Error::Io(path, error)),
    }
}

/// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
fn write_whole(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Error> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.tmp"));
    let written = File::create(&temporary).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        sync_folder(folder)
    });
    io_at(&path, written)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(segment_name(number))
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT}{number:016}")
}

fn open_segment(folder: &Path, number: u64) -> Result<File, Error> {
    let path = segment_path(folder, number);
    let file = io_at(&path, OpenOptions::new().create(true).append(true).open(&path))?;
    io_at(folder, sync_folder(folder))?;
    Ok(file)
}

fn segments(folder: &Path) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for entry in io_at(folder, fs::read_dir(folder))? {
        let name = io_at(folder, entry)?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(SEGMENT));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads a segment; a record cut short at its end is cut off.
fn replay(path: &Path, state: &mut Record) -> Result<(), Error> {
    let bytes = io_at(path, fs::read(path))?;
    let mut read = 0;
    while read < bytes.len() {
        let rest = &bytes[read..];
        let record =
            frame::get(rest).and_then(|(payload, n)| Some((Record::decode(payload).ok()?, n)));
        let Some((record, length)) = record else {
            if frame::any_later(rest) {
                return Err(Error::Damaged(path.to_path_buf(), read as u64));
            }
            return cut(path, read as u64);
        };
        state.merge_later(record);
        read += length;
    }
    Ok(())
}

fn cut(path: &Path, length: u64) -> Result<(), Error> {
    let file = io_at(path, OpenOptions::new().write(true).open(path))?;
    io_at(path, file.set_len(length).and_then(|()| file.sync_all()))
}
