//! The frame of a record in a file: a magic number, the length, a checksum and the payload.

const MAGIC: [u8; 4] = *b"PGL1";
const HEADER_BYTES: usize = 12;

/// Appends a frame with `payload` to `buffer`.
pub(super) fn append(buffer: &mut Vec<u8>, payload: &[u8]) {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    buffer.extend_from_slice(&MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&checksum(length, payload).to_le_bytes());
    buffer.extend_from_slice(payload);
}

/// Decodes the frame at the start of `bytes`, if it is complete and its checksum matches. Returns
/// its payload and its length in bytes, header included.
pub(super) fn decode_first(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let rest = bytes.strip_prefix(&MAGIC)?;
    let (length, rest) = rest.split_first_chunk::<4>()?;
    let (stored_checksum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length);
    let payload = rest.get(..usize::try_from(length).ok()?)?;
    (checksum(length, payload) == u32::from_le_bytes(*stored_checksum))
        .then_some((payload, HEADER_BYTES + payload.len()))
}

/// Whether a valid frame starts anywhere after the first byte of `bytes`.
pub(super) fn contains_later_frame(bytes: &[u8]) -> bool {
    (1..bytes.len()).any(|start| decode_first(&bytes[start..]).is_some())
}

fn checksum(length: u32, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
