use std::{fs, io, io::Write, path::Path};

const NAME: &str = "lists.cache";
const DRAFT: &str = "lists.cache.new";

/// Writes the cache file of a list_sync; when this returns, file and folder are synced.
///
/// # Errors
///
/// Where the folder cannot be written; the versions must not be served then.
pub fn save_cache(folder: &Path, image: &[u8]) -> io::Result<()> {
    let draft = folder.join(DRAFT);
    let mut file = fs::File::create(&draft)?;
    file.write_all(&crc32fast::hash(image).to_le_bytes())?;
    file.write_all(image)?;
    file.sync_all()?;
    fs::rename(&draft, folder.join(NAME))?;
    fs::File::open(folder)?.sync_all()
}

/// Reads the cache file of a list_sync; nothing where there is none.
///
/// # Errors
///
/// Where the file cannot be read or is damaged: a damaged file must not be passed over, since
/// the VM could serve older versions than it did.
pub fn load_cache(folder: &Path) -> io::Result<Option<Vec<u8>>> {
    let bytes = match fs::read(folder.join(NAME)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    match bytes.split_first_chunk() {
        Some((sum, image)) if *sum == crc32fast::hash(image).to_le_bytes() => {
            Ok(Some(image.to_vec()))
        }
        _ => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("`{NAME}` is damaged; remove it and start the VM with its peers reachable"),
        )),
    }
}
