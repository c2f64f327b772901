//! A record in a file: a mark, the length, the checksum, the bytes.

const MARK: [u8; 4] = *b"PGL1";
const HEAD: usize = 12;

/// Puts `payload` at the end of `file`.
pub(super) fn put(file: &mut Vec<u8>, payload: &[u8]) {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    file.extend_from_slice(&MARK);
    file.extend_from_slice(&length.to_le_bytes());
    file.extend_from_slice(&checksum(length, payload).to_le_bytes());
    file.extend_from_slice(payload);
}

/// The payload of the whole record at the head of `bytes`, and the length of the record.
pub(super) fn get(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let rest = bytes.strip_prefix(&MARK)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length);
    let payload = rest.get(..usize::try_from(length).ok()?)?;
    (checksum(length, payload) == u32::from_le_bytes(*sum))
        .then_some((payload, HEAD + payload.len()))
}

/// Whether a whole record stands anywhere after the head of `bytes`.
pub(super) fn any_later(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|start| get(&bytes[start..]).is_some())
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
