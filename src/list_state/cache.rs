use std::{fs, io, io::Write, path::Path};

const FILE_NAME: &str = "lists.cache";
const TEMPORARY_FILE_NAME: &str = "lists.cache.new";

/// Replaces the cache file. On return the file and its folder are synced to disk.
///
/// # Errors
///
/// If the folder cannot be written. The versions in the image must not be served then.
pub fn save_cache(folder: &Path, image: &[u8]) -> io::Result<()> {
    let temporary_path = folder.join(TEMPORARY_FILE_NAME);
    let mut file = fs::File::create(&temporary_path)?;
    file.write_all(&crc32fast::hash(image).to_le_bytes())?;
    file.write_all(image)?;
    file.sync_all()?;
    fs::rename(&temporary_path, folder.join(FILE_NAME))?;
    fs::File::open(folder)?.sync_all()
}

/// Reads the cache file; `None` if there is none.
///
/// # Errors
///
/// If the file cannot be read or is damaged. A damaged file is not ignored, because the VM could
/// then serve older versions than before.
pub fn load_cache(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    match bytes.split_first_chunk() {
        Some((checksum, image)) if *checksum == crc32fast::hash(image).to_le_bytes() => {
            Ok(Some(image.to_vec()))
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!(
                "`{FILE_NAME}` is damaged; remove it and start the VM with its peers reachable"
            ),
        )),
    }
}
