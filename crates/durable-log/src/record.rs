//! The bytes of a segment: a header, then records. Numbers are little-endian.
//!
//! Header: `PPKLLOG` and one byte of format version. Record: length of the payload (u32), CRC-32 of the length and of all
//! that follows the checksum (u32), sequence number (u64, from 1, one higher each time), kind (u8), payload.

/// The format version that this program writes; it reads this one and older ones.
pub const FORMAT_VERSION: u8 = 1;
/// The header's length in bytes.
pub(crate) const HEADER_BYTES: usize = 8;
/// The longest payload, in bytes.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 16 << 20;
/// What a segment begins with.
const MAGIC: &[u8; 7] = b"PPKLLOG";
/// The length in bytes of what stands before a record's payload.
const FRAME_BYTES: usize = 17;

/// What a record is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKind {
    /// Appended by the log's user.
    Appended = 0,
    /// Written by the compaction that made this segment.
    Compacted = 1,
    /// Ends the records of the compaction: all of them stand before it.
    CompactionEnd = 2,
}

/// One record in the bytes of a segment.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Record<'a> {
    pub sequence: u64,
    pub kind: RecordKind,
    pub payload: &'a [u8],
    /// Its whole length in bytes, with the frame.
    pub size: usize,
}

/// The header of a segment in the present format.
pub(crate) fn header() -> [u8; HEADER_BYTES] {
    let mut header = [FORMAT_VERSION; HEADER_BYTES];
    header[..MAGIC.len()].copy_from_slice(MAGIC);
    header
}

/// The format version of a segment; `None` where these bytes are no segment.
pub(crate) fn format_version(bytes: &[u8]) -> Option<u8> {
    let has_header = bytes.len() >= HEADER_BYTES && bytes.starts_with(MAGIC);
    has_header.then(|| bytes[MAGIC.len()])
}

/// Appends the bytes of a record to a buffer.
pub(crate) fn encode(buffer: &mut Vec<u8>, sequence: u64, kind: RecordKind, payload: &[u8]) {
    let length = (payload.len() as u32).to_le_bytes();
    let sequence = sequence.to_le_bytes();
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&length);
    checksum.update(&sequence);
    checksum.update(&[kind as u8]);
    checksum.update(payload);
    buffer.extend_from_slice(&length);
    buffer.extend_from_slice(&checksum.finalize().to_le_bytes());
    buffer.extend_from_slice(&sequence);
    buffer.push(kind as u8);
    buffer.extend_from_slice(payload);
}

/// The record at the beginning of these bytes; `None` unless it is whole and its checksum holds.
pub(crate) fn decode(bytes: &[u8]) -> Option<Record<'_>> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let expected_checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    let sequence = u64::from_le_bytes(bytes.get(8..16)?.try_into().ok()?);
    let kind = match bytes.get(16)? {
        0 => RecordKind::Appended,
        1 => RecordKind::Compacted,
        2 => RecordKind::CompactionEnd,
        _ => return None,
    };
    if length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let size = FRAME_BYTES + length;
    let payload = bytes.get(FRAME_BYTES..size)?;
    let mut checksum = crc32fast::Hasher::new();
    checksum.update(&bytes[..4]);
    checksum.update(&bytes[8..size]);
    if checksum.finalize() != expected_checksum {
        return None;
    }
    Some(Record {
        sequence,
        kind,
        payload,
        size,
    })
}
