use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::{Path, PathBuf},
};

use prost::Message;

use super::{Error, frame};
use crate::consensus::Record;

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
const SEGMENT_PREFIX: &str = "segment-";

/// The write-ahead log of one replica, in a folder of its own.
///
/// ```
/// use pomelogate::{consensus::{Entry, Record}, disk::Log};
///
/// let folder = tempfile::tempdir().unwrap();
/// let (mut log, state) = Log::open(folder.path(), 7).unwrap();
/// assert!(state.is_empty());
/// let entry = Entry { index: 1, term: 1, ..Entry::default() };
/// log.write(&Record { entries: vec![entry.clone()], ..Record::default() }).unwrap();
/// drop(log);
/// let (log, state) = Log::open(folder.path(), 8).unwrap();
/// assert_eq!((log.disk_id(), state.entries), (7, vec![entry]));
/// ```
#[derive(Debug)]
pub struct Log {
    folder: PathBuf,
    disk_id: u64,
    segment: File,
    segment_number: u64,
    /// A record with the latest hard state only, which each new segment has to repeat.
    hard_state_record: Record,
    sync_count: u64,
    write_failed: bool,
    _lock: File,
}

impl Log {
    /// Opens the folder, or creates it if it is missing, and reads the durable state.
    ///
    /// A new folder gets the disk ID `new_disk_id`; an existing one keeps its own.
    ///
    /// # Errors
    ///
    /// If another process has locked the folder, or a file is corrupted or cannot be used.
    pub fn open(folder: &Path, new_disk_id: u64) -> Result<(Self, Record), Error> {
        with_path(folder, fs::create_dir_all(folder))?;
        let lock_file = lock_folder(folder)?;
        let segment_numbers = list_segments(folder)?;
        let disk_id = read_or_create_disk_id(folder, new_disk_id, &segment_numbers)?;
        let mut state = Record::default();
        let last_number = segment_numbers.last().copied();
        if let Some(number) = last_number {
            replay(&segment_path(folder, number), &mut state)?;
        }
        let segment_number = last_number.unwrap_or(0);
        let segment = open_segment(folder, segment_number)?;
        let hard_state_record =
            Record { hard_state: state.hard_state.clone(), ..Record::default() };
        let folder = folder.to_path_buf();
        let log = Self {
            folder,
            disk_id,
            segment,
            segment_number,
            hard_state_record,
            sync_count: 0,
            write_failed: false,
            _lock: lock_file,
        };
        Ok((log, state))
    }

    /// The disk ID that the folder got when it was created.
    pub fn disk_id(&self) -> u64 {
        self.disk_id
    }

    /// The number of syncs since the folder was opened.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Writes `record` and syncs it to disk.
    ///
    /// # Errors
    ///
    /// If a write or a sync fails. All later writes fail too: a later sync could succeed although
    /// the data of the failed one is lost.
    pub fn write(&mut self, record: &Record) -> Result<(), Error> {
        if self.write_failed {
            return Err(Error::EarlierWriteFailed(self.folder.clone()));
        }
        if record.hard_state.is_some() {
            self.hard_state_record.hard_state.clone_from(&record.hard_state);
        }
        let result = if record.snapshot.is_some() {
            self.start_segment(record)
        } else {
            self.append(record)
        };
        self.write_failed = result.is_err();
        result
    }

    fn append(&mut self, record: &Record) -> Result<(), Error> {
        let mut bytes = Vec::new();
        frame::append(&mut bytes, &record.encode_to_vec());
        let result = self.segment.write_all(&bytes).and_then(|()| self.segment.sync_data());
        self.sync_count += 1;
        with_path(&segment_path(&self.folder, self.segment_number), result)
    }

    /// Starts a new segment with `record`, which holds a snapshot, and deletes the old segment.
    fn start_segment(&mut self, record: &Record) -> Result<(), Error> {
        let first_record =
            Record { hard_state: self.hard_state_record.hard_state.clone(), ..record.clone() };
        let mut bytes = Vec::new();
        frame::append(&mut bytes, &first_record.encode_to_vec());
        let number = self.segment_number + 1;
        write_file_atomically(&self.folder, &segment_name(number), &bytes)?;
        self.sync_count += 1;
        self.segment = open_segment(&self.folder, number)?;
        let old_path =
            segment_path(&self.folder, std::mem::replace(&mut self.segment_number, number));
        with_path(&old_path, fs::remove_file(&old_path))
    }
}

fn with_path<T>(path: &Path, result: io::Result<T>) -> Result<T, Error> {
    result.map_err(|source| Error::Io(path.to_path_buf(), source))
}

fn lock_folder(folder: &Path) -> Result<File, Error> {
    let path = folder.join(LOCK_FILE);
    let file = with_path(&path, OpenOptions::new().create(true).append(true).open(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked(folder.to_path_buf())),
        Err(TryLockError::Error(source)) => Err(Error::Io(path, source)),
    }
}

/// Reads the disk ID of the folder, or stores `new_disk_id` if the folder is new.
fn read_or_create_disk_id(
    folder: &Path,
    new_disk_id: u64,
    segment_numbers: &[u64],
) -> Result<u64, Error> {
    let path = folder.join(IDENTITY_FILE);
    match fs::read(&path) {
        Ok(bytes) => frame::decode_first(&bytes)
            .and_then(|(payload, _)| Some(u64::from_le_bytes(payload.try_into().ok()?)))
            .ok_or(Error::Corrupted(path, 0)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            if !segment_numbers.is_empty() {
                return Err(Error::MissingIdentity(folder.to_path_buf()));
            }
            let mut bytes = Vec::new();
            frame::append(&mut bytes, &new_disk_id.to_le_bytes());
            write_file_atomically(folder, IDENTITY_FILE, &bytes)?;
            if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
                with_path(parent, sync_folder(parent))?;
            }
            Ok(new_disk_id)
        }
        Err(error) => Err(Error::Io(path, error)),
    }
}

/// Writes a file under a temporary name, syncs it, renames it, and syncs the folder.
fn write_file_atomically(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), Error> {
    let path = folder.join(name);
    let temporary_path = folder.join(format!("{name}.tmp"));
    let result = File::create(&temporary_path).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary_path, &path)?;
        sync_folder(folder)
    });
    with_path(&path, result)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(segment_name(number))
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016}")
}

fn open_segment(folder: &Path, number: u64) -> Result<File, Error> {
    let path = segment_path(folder, number);
    let file = with_path(&path, OpenOptions::new().create(true).append(true).open(&path))?;
    with_path(folder, sync_folder(folder))?;
    Ok(file)
}

fn list_segments(folder: &Path) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for entry in with_path(folder, fs::read_dir(folder))? {
        let name = with_path(folder, entry)?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(SEGMENT_PREFIX));
        numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Reads a segment into `state`. Truncates the file before an incomplete record at its end.
fn replay(path: &Path, state: &mut Record) -> Result<(), Error> {
    let bytes = with_path(path, fs::read(path))?;
    let mut offset = 0;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let record = frame::decode_first(rest)
            .and_then(|(payload, length)| Some((Record::decode(payload).ok()?, length)));
        let Some((record, length)) = record else {
            if frame::contains_later_frame(rest) {
                return Err(Error::Corrupted(path.to_path_buf(), offset as u64));
            }
            return truncate(path, offset as u64);
        };
        state.merge_later(record);
        offset += length;
    }
    Ok(())
}

fn truncate(path: &Path, length: u64) -> Result<(), Error> {
    let file = with_path(path, OpenOptions::new().write(true).open(path))?;
    with_path(path, file.set_len(length).and_then(|()| file.sync_all()))
}
